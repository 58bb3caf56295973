package health

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

var t0 = time.Unix(1000, 0)

func key(incarnation int64) fleet.Key {
	return fleet.Key{
		ID:          "a",
		Incarnation: incarnation,
	}
}

func listOf(incarnation int64, leaving bool) []fleet.Endpoint {
	return []fleet.Endpoint{{ID: "a", Incarnation: incarnation, Leaving: leaving}}
}

// TestOwnWordStays guards against a list that undoes what an engine said of itself: a
// list is seconds old, and a store that came back from a copy says "ready" again.
func TestOwnWordStays(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Table)
		ask    fleet.Key
		want   Reason
	}{
		{name: "nothing since", change: func(*Table) {}, ask: key(1), want: Leaving},
		{name: "a list that says ready", change: func(h *Table) { h.SetList(t0, listOf(1, false)) }, ask: key(1), want: Leaving},
		{
			name: "an entry that was gone and comes back",
			change: func(h *Table) {
				h.SetList(t0, nil)
				h.SetList(t0.Add(time.Minute), listOf(1, false))
			},
			ask:  key(1),
			want: Leaving,
		},
		{
			name: "lists that say leaving and then ready",
			change: func(h *Table) {
				h.SetList(t0, listOf(1, true))
				h.SetList(t0, listOf(1, false))
			},
			ask:  key(1),
			want: Leaving,
		},
		{name: "a list with an earlier incarnation", change: func(h *Table) { h.SetList(t0, listOf(0, false)) }, ask: key(0), want: Leaving},
		{name: "a new incarnation", change: func(h *Table) { h.SetList(t0, listOf(2, false)) }, ask: key(2)},
		{name: "a new incarnation that the list does not name yet", change: func(*Table) {}, ask: key(2)},
		{
			name: "a late word of the former incarnation",
			change: func(h *Table) {
				h.SetList(t0, listOf(2, false))
				h.SetLeaving(t0, key(1), Answer)
			},
			ask: key(2),
		},
		{
			name: "a new incarnation that turns requests away",
			change: func(h *Table) {
				h.SetClosed(t0, key(2), t0.Add(time.Minute))
			},
			ask:  key(2),
			want: Closed,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.SetList(t0, listOf(1, false))
			if !h.SetLeaving(t0, key(1), Answer) || h.SetLeaving(t0.Add(time.Second), key(1), Report) {
				t.Error("the engine's word is new once")
			}
			tc.change(h)
			if v := h.Ask(t0.Add(time.Second), tc.ask); v.Reason != tc.want || v.Usable != (tc.want == "") {
				t.Errorf("the engine %v, want %q", v, tc.want)
			}
		})
	}
}

// TestListedLeaving guards against an engine that gets requests although the list says
// that it leaves, or none although a newer list says that it is ready.
func TestListedLeaving(t *testing.T) {
	h := New()
	for i, leaving := range []bool{false, true, false, true} {
		h.SetList(t0, listOf(1, leaving))
		if v := h.Ask(t0, key(1)); v.Usable == leaving {
			t.Errorf("list %d says leaving %v; the engine %v", i, leaving, v)
		}
	}
}

// TestClosedEnds guards against an engine that stays closed after its deadline, and
// against a shorter time, or a list, that opens it before.
func TestClosedEnds(t *testing.T) {
	h := New()
	h.SetList(t0, listOf(1, false))
	h.SetClosed(t0, key(1), t0.Add(5*time.Second))
	h.SetClosed(t0.Add(time.Second), key(1), t0.Add(2*time.Second))
	h.SetList(t0.Add(time.Second), listOf(1, false))
	for _, tc := range []struct {
		after  time.Duration
		usable bool
	}{{after: 2500 * time.Millisecond}, {after: 4999 * time.Millisecond}, {after: 5 * time.Second, usable: true}} {
		v := h.Ask(t0.Add(tc.after), key(1))
		if v.Usable != tc.usable || !tc.usable && !v.Until.Equal(t0.Add(5*time.Second)) {
			t.Errorf("after %v the engine %v", tc.after, v)
		}
	}
	if len(h.Share(t0)) != 0 {
		t.Error("what an engine said to this node closes it to others")
	}
}

// TestParseWait guards against times that block an engine for good or not at all, or
// that end the process.
func TestParseWait(t *testing.T) {
	const sent = "Sat, 05 Dec 2026 06:00:00 GMT"
	for _, tc := range []struct {
		text string
		want time.Duration
		rule Rule
	}{
		{text: "5", want: 5 * time.Second, rule: Seconds},
		{text: " 0.25 ", want: 250 * time.Millisecond, rule: Seconds},
		{text: "1e-12", want: 1, rule: Seconds},
		{text: "600", want: MaxWait, rule: Seconds},
		{text: "0", rule: Past},
		{text: "-3", rule: Past},
		{text: "-1e999", rule: Past},
		{text: "7200", want: MaxWait, rule: Capped},
		{text: "1e300", want: MaxWait, rule: Capped},
		{text: "1e999", want: MaxWait, rule: Capped},
		{text: "", want: unreadableWait, rule: Unreadable},
		{text: "soon", want: unreadableWait, rule: Unreadable},
		{text: "5, 7", want: unreadableWait, rule: Unreadable},
		{text: "NaN", want: unreadableWait, rule: Unreadable},
		{text: "inf", want: unreadableWait, rule: Unreadable},
		{text: "Sat, 05 Dec 2026 06:00:07 GMT", want: 7 * time.Second, rule: Date},
		{text: "Sat, 05 Dec 2026 05:59:59 GMT", rule: Past},
		{text: "Sun, 05 Dec 2100 06:00:00 GMT", want: MaxWait, rule: Capped},
		{text: "Mon, 05 Dec 9999 06:00:00 GMT", want: MaxWait, rule: Capped},
	} {
		// The node's clock differs from the engine's.
		w := ParseWait(tc.text, sent, t0)
		if w.For != tc.want || w.Rule != tc.rule {
			t.Errorf("%q is %v by rule %s, want %v by %s", tc.text, w.For, w.Rule, tc.want, tc.rule)
		}
	}
}

// FuzzParseWait guards against a time beyond the bounds, whatever an engine sends.
func FuzzParseWait(f *testing.F) {
	f.Add("5", "")
	f.Add("-1e999", "Sat, 05 Dec 2026 06:00:00 GMT")
	f.Fuzz(func(t *testing.T, text, sent string) {
		w := ParseWait(text, sent, t0)
		if w.For < 0 || w.For > MaxWait || len(w.Text) > maxText || w.Rule == "" {
			t.Errorf("%q is %v by rule %q", text, w.For, w.Rule)
		}
	})
}

// TestPeers guards against other nodes that do not learn that an engine leaves, and
// against statements that go around after the list says the same.
func TestPeers(t *testing.T) {
	a, b := New(), New()
	a.SetList(t0, listOf(1, false))
	b.SetList(t0, listOf(1, false))
	a.SetLeaving(t0, key(1), Answer)
	now := t0.Add(2 * time.Second)
	list := a.Share(now)
	if err := ValidateAll(list); err != nil || len(list) != 1 {
		t.Fatalf("shared %v, %v", list, err)
	}
	version := b.Version()
	if added := b.Merge(now, list); len(added) != 1 || len(b.Merge(now, list)) != 0 {
		t.Errorf("the statement was new %d times", len(added))
	}
	v := b.Ask(now, key(1))
	if v.Reason != Leaving || v.Source != Peer || !v.Since.Equal(t0) {
		t.Errorf("the engine %v", v)
	}
	if b.Version() == version {
		t.Error("the version did not change")
	}
	a.SetList(now, listOf(1, true))
	if list := a.Share(now); len(list) != 0 {
		t.Errorf("shared %v although the list says so", list)
	}
	b.SetList(now, nil)
	if list := b.Share(now); len(list) != 0 {
		t.Errorf("shared %v although the engine has left", list)
	}
}

// TestBounded guards against memory that grows with engines that come and go.
func TestBounded(t *testing.T) {
	h := New()
	var list []fleet.Endpoint
	for i := range maxRecords {
		list = append(list, fleet.Endpoint{
			ID:          fmt.Sprintf("listed%d", i),
			Incarnation: 1,
			Leaving:     true,
		})
	}
	h.SetList(t0, list)
	for i := range 20 {
		k := fleet.Key{
			ID:          fmt.Sprintf("e%d", i),
			Incarnation: 1,
		}
		h.SetLeaving(t0.Add(time.Duration(i)), k, Answer)
		if h.Ask(t0, k).Usable {
			t.Fatalf("the word of engine %d was not recorded", i)
		}
	}
	if n := len(*h.records.Load()); n > maxRecords {
		t.Errorf("%d records", n)
	}
	h.SetList(t0.Add(time.Second), nil)
	h.SetList(t0.Add(2*unlistedFor), nil)
	if n := len(*h.records.Load()); n != 0 {
		t.Errorf("%d records of engines that left long ago", n)
	}
}

// TestAskAllocates guards against work for the garbage collector in each choice.
func TestAskAllocates(t *testing.T) {
	h := New()
	h.SetLeaving(t0, key(1), Answer)
	if n := testing.AllocsPerRun(100, func() { h.Ask(t0, key(1)) }); n != 0 {
		t.Errorf("a question takes %v allocations", n)
	}
}

// TestConcurrent guards against questions that race with what engines say.
func TestConcurrent(t *testing.T) {
	h := New()
	list := listOf(1, false)
	var all sync.WaitGroup
	for _, f := range []func(int){
		func(int) { h.Ask(t0, key(1)) },
		func(i int) { h.SetClosed(t0, key(1), t0.Add(time.Duration(i))) },
		func(i int) { h.SetLeaving(t0, key(int64(i%3)), Answer) },
		func(int) { h.SetList(t0, list) },
		func(int) { h.Merge(t0, h.Share(t0)) },
	} {
		all.Go(func() {
			for i := range 500 {
				f(i)
			}
		})
	}
	all.Wait()
	if h.Ask(t0, key(2)).Usable {
		t.Error("the word of the newest incarnation was lost")
	}
}
