package health

import (
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
