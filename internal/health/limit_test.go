package health

import (
	"math"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// TestParseLimit guards against limits that close an engine for good, lift its limit by
// mistake, or end the process.
func TestParseLimit(t *testing.T) {
	for _, tc := range []struct {
		values []string
		want   float64
		rule   LimitRule
	}{
		{},
		{values: []string{"1.4"}, want: 1.4, rule: PerSecond},
		{values: []string{" 12 "}, want: 12, rule: PerSecond},
		{values: []string{"1e-12"}, want: 1e-12, rule: PerSecond},
		{values: []string{"0"}, rule: Zero},
		{values: []string{"-0"}, rule: Zero},
		{values: []string{"1e-999"}, rule: Zero},
		{values: []string{"1e9"}, want: maxRequestRate, rule: CappedRate},
		{values: []string{"1e999"}, want: maxRequestRate, rule: CappedRate},
		{values: []string{"-3"}, rule: UnreadableLimit},
		{values: []string{"-1e999"}, rule: UnreadableLimit},
		{values: []string{""}, rule: UnreadableLimit},
		{values: []string{"few"}, rule: UnreadableLimit},
		{values: []string{"NaN"}, rule: UnreadableLimit},
		{values: []string{"inf"}, rule: UnreadableLimit},
		{values: []string{"1.4", "3"}, want: 1.4, rule: Lowest},
		{values: []string{"3, 1.4"}, want: 1.4, rule: Lowest},
		{values: []string{"few", "3"}, want: 3, rule: PerSecond},
		{values: []string{"", ""}, rule: UnreadableLimit},
	} {
		l := ParseLimit(tc.values)
		if l.Rate != tc.want || l.Rule != tc.rule {
			t.Errorf("%q is %v by rule %q, want %v by %q", tc.values, l.Rate, l.Rule, tc.want, tc.rule)
		}
		if l.IsNamed() != (tc.rule != "" && tc.rule != UnreadableLimit) {
			t.Errorf("%q names a limit: %v", tc.values, l.IsNamed())
		}
	}
}

// FuzzParseLimit guards against a rate beyond the bounds, whatever an engine sends.
func FuzzParseLimit(f *testing.F) {
	f.Add("1.4", "")
	f.Add("-1e999", "0x1p-2")
	f.Fuzz(func(t *testing.T, first, second string) {
		l := ParseLimit([]string{first, second})
		if !(l.Rate >= 0 && l.Rate <= maxRequestRate) || len(l.Text) > maxText || l.Rule == "" {
			t.Errorf("%q, %q is %v by rule %q", first, second, l.Rate, l.Rule)
		}
	})
}

// limitOf returns the limit in force of an incarnation.
func (t *Table) limitOf(key fleet.Key) (float64, bool) {
	r := (*t.records.Load())[key.ID]
	return r.limit.rate, r.incarnation == key.Incarnation && r.limit.isInForce()
}

// TestLimitLife guards against a limit that an answer which says nothing of now ends, that
// nothing ends, or that another incarnation inherits.
func TestLimitLife(t *testing.T) {
	const second = time.Second
	// answer is one answer: of a request sent at sent and answered at at, or of a report.
	type answer struct {
		sent, at    time.Duration
		incarnation int64
		text        string
		report      bool
	}
	for _, tc := range []struct {
		name    string
		answers []answer
		want    float64 // 0 if no limit is in force
	}{
		{name: "named", answers: []answer{{at: second, text: "1.4"}}, want: 1.4},
		{name: "changed", answers: []answer{{at: second, text: "1.4"}, {at: 2 * second, text: "3"}}, want: 3},
		{name: "changed at once", answers: []answer{{at: second, text: "1.4"}, {at: second + time.Millisecond, text: "3"}}, want: 3},
		{name: "not named any more", answers: []answer{{at: second, text: "1.4"}, {sent: 2 * second, at: 3 * second}}},
		{
			name:    "a slow answer that began before the need",
			answers: []answer{{at: second, text: "1.4"}, {sent: second / 2, at: 3 * second}},
			want:    1.4,
		},
		{
			name:    "an answer that was sent as the limit was named",
			answers: []answer{{at: second, text: "1.4"}, {sent: second + limitSettle/2, at: 3 * second}},
			want:    1.4,
		},
		{
			name:    "named again after its end",
			answers: []answer{{at: second, text: "1.4"}, {sent: 2 * second, at: 2 * second}, {sent: 2 * second, at: 3 * second, text: "2"}},
			want:    2,
		},
		{
			name:    "not readable",
			answers: []answer{{at: second, text: "1.4"}, {sent: 2 * second, at: 3 * second, text: "few"}},
			want:    1.4,
		},
		{
			name:    "reports do not name limits",
			answers: []answer{{at: second, text: "1.4"}, {sent: 2 * second, at: 3 * second, report: true}},
			want:    1.4,
		},
		{
			name: "reports named it before",
			answers: []answer{
				{at: second, text: "1.4"},
				{sent: second, at: 2 * second, text: "1.4", report: true},
				{sent: 3 * second, at: 3 * second, report: true},
			},
		},
		{
			name:    "of the former incarnation",
			answers: []answer{{at: second, text: "1.4", incarnation: -1}},
		},
		{
			name:    "a late answer of the former incarnation",
			answers: []answer{{at: second, text: "1.4"}, {sent: 2 * second, at: 3 * second, incarnation: -1}},
			want:    1.4,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.SetList(t0, listOf(1, false))
			for _, a := range tc.answers {
				from := Answer
				if a.report {
					from = Report
				}
				var values []string
				if a.text != "" {
					values = []string{a.text}
				}
				h.HearLimit(t0.Add(a.at), t0.Add(a.sent), key(1+a.incarnation), ParseLimit(values), from)
			}
			got, inForce := h.limitOf(key(1))
			if inForce != (tc.want > 0) || inForce && got != tc.want {
				t.Errorf("the limit is %v, in force %v, want %v", got, inForce, tc.want)
			}
		})
	}
}

// TestLimitChanges guards against a log line for each answer of an engine in need, and
// against none where its limit comes, changes or goes.
func TestLimitChanges(t *testing.T) {
	h := New()
	h.SetList(t0, listOf(1, false))
	count := 0
	for i, text := range []string{"", "1.4", "1.4", "2", "2", "", ""} {
		var values []string
		if text != "" {
			values = []string{text}
		}
		at := t0.Add(time.Duration(i) * time.Second)
		if c := h.HearLimit(at, at, key(1), ParseLimit(values), Answer); c != nil {
			count++
		}
	}
	if count != 3 {
		t.Errorf("%d changes, want 3", count)
	}
}

// TestLimitsAreShared guards against nodes that go on sending to an engine which another node
// has heard to name a limit, and against a limit that other nodes keep after its end.
func TestLimitsAreShared(t *testing.T) {
	a, b, late := New(), New(), New()
	for _, h := range []*Table{a, b, late} {
		h.SetList(t0, listOf(1, false))
	}
	named := ParseLimit([]string{"1.4"})
	a.HearLimit(t0, t0, key(1), named, Answer)
	tell := func(now time.Time, from, to *Table) int {
		t.Helper()
		list := from.ShareLimits(now)
		if err := ValidateLimits(list); err != nil {
			t.Fatal(err)
		}
		return len(to.MergeLimits(now, list))
	}
	if n := tell(t0.Add(time.Second), a, b); n != 1 || tell(t0.Add(time.Second), a, b) != 0 {
		t.Errorf("the limit was new %d times", n)
	}
	if v := b.Ask(t0.Add(time.Second), key(1)); !v.Usable || !v.IsLimited || !v.LimitNamed.Equal(t0) {
		t.Errorf("the engine %+v", v)
	}
	if got := b.Limits()[key(1)]; got != 1.4 {
		t.Errorf("the limit is %v", got)
	}
	tell(t0.Add(time.Second), a, late)
	version := b.LimitVersion()
	for i := range 4 {
		at := t0.Add(time.Duration(i+2) * time.Second)
		a.HearLimit(at, at, key(1), Limit{}, Answer)
		tell(at, a, b)
	}
	if v := b.Ask(t0, key(1)); v.IsLimited || b.LimitVersion() == version {
		t.Error("the limit did not end at the other node")
	}
	// A node that has heard of the limit only tells it again.
	tell(t0.Add(7*time.Second), late, b)
	if v := b.Ask(t0, key(1)); v.IsLimited {
		t.Error("the limit came back")
	}
	tell(t0.Add(7*time.Second), b, late)
	if v := late.Ask(t0, key(1)); v.IsLimited {
		t.Error("the limit did not end at the third node")
	}
	end := t0.Add(2 * sharedAfterEnd)
	for _, h := range []*Table{a, b, late} {
		h.SetList(end, listOf(1, false))
		if !h.IsEmpty() {
			t.Error("an ended limit is kept")
		}
	}
}

// TestMergedLimitsAgree guards against nodes that hear the same statements in another order
// and disagree about the limit.
func TestMergedLimitsAgree(t *testing.T) {
	statements := []LimitStatement{
		{Key: key(1), Rate: 1.4, Age: 9 * time.Second},
		{Key: key(1), Rate: 3, Age: 6 * time.Second, Ended: true, AbsentAge: 4 * time.Second},
		{Key: key(1), Rate: 2, Age: time.Second},
		{Key: key(1), Rate: 1.4, Age: 9 * time.Second, Ended: true, AbsentAge: 7 * time.Second},
	}
	now := t0.Add(time.Minute)
	for i := range statements {
		for j := range statements {
			h := New()
			h.SetList(t0, listOf(1, false))
			order := append([]LimitStatement{statements[i], statements[j]}, statements...)
			h.MergeLimits(now, order)
			if got := h.Limits()[key(1)]; got != 2 {
				t.Errorf("in the order %v the limit is %v", order, got)
			}
		}
	}
}

// TestOddLimits guards against a message of another node that brings limits out of range.
func TestOddLimits(t *testing.T) {
	for _, s := range []LimitStatement{
		{Rate: 1},
		{Key: key(1), Rate: -1},
		{Key: key(1), Rate: math.NaN()},
		{Key: key(1), Rate: math.Inf(1)},
		{Key: key(1), Rate: 1, Age: -1},
		{Key: key(1), Rate: 1, AbsentAge: 2 * maxAge},
	} {
		if ValidateLimits([]LimitStatement{s}) == nil {
			t.Errorf("%+v is valid", s)
		}
	}
	if ValidateLimits(make([]LimitStatement, MaxShared+1)) == nil {
		t.Error("too many are valid")
	}
}
