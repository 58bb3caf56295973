package poison

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/fleet"
)

var testStart = time.Unix(1000, 0)

func newTestTracker() *Tracker { return New(slog.New(slog.DiscardHandler)) }

func engine(i int) fleet.Key {
	return fleet.Key{
		ID:          fmt.Sprintf("e%d", i),
		Incarnation: 1,
	}
}

func isBlocked(t *Tracker, now time.Time, part string) bool {
	_, blocked, _ := t.Check(now, []string{part}, false)
	return blocked
}

// TestBlocked guards against a part that crashes engine after engine, and against
// blocking a sound part that stood beside it.
func TestBlocked(t *testing.T) {
	type event struct {
		at     time.Duration
		crash  int // number of the engine, 0 if the request was answered
		parts  []string
		others []string // parts of another request at the same engine
	}
	for _, tc := range []struct {
		name    string
		events  []event
		check   time.Duration
		blocked []string
		free    []string
	}{
		{
			name: "a part that was answered before, after three crashes",
			events: []event{
				{at: 0, parts: []string{"deadly"}},
				{at: 1 * time.Second, crash: 1, parts: []string{"first", "deadly"}},
				{at: 2 * time.Second, parts: []string{"first"}},
				{at: 3 * time.Second, crash: 2, parts: []string{"first", "deadly"}},
				{at: 4 * time.Second, parts: []string{"first"}},
				{at: 5 * time.Second, crash: 3, parts: []string{"first", "deadly"}},
			},
			check:   5 * time.Second,
			blocked: []string{"deadly"},
			free:    []string{"first"},
		},
		{
			name: "an unknown part after two crashes and the time to object",
			events: []event{
				{at: 0, parts: []string{"first"}},
				{at: 1 * time.Second, crash: 1, parts: []string{"first", "deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"first", "deadly"}},
			},
			check:   2*time.Second + objectionTime,
			blocked: []string{"deadly"},
			free:    []string{"first"},
		},
		{
			name: "an unknown part during the time to object",
			events: []event{
				{at: 1 * time.Second, crash: 1, parts: []string{"deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"deadly"}},
			},
			check: 2*time.Second + objectionTime/2,
			free:  []string{"deadly"},
		},
		{
			name: "an answer between the crashes",
			events: []event{
				{at: 1 * time.Second, crash: 1, parts: []string{"sound"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"sound"}},
				{at: 3 * time.Second, parts: []string{"sound"}},
				{at: 4 * time.Second, crash: 3, parts: []string{"sound"}},
			},
			check: time.Minute,
			free:  []string{"sound"},
		},
		{
			name: "engines that lose power at the same time",
			events: []event{
				{at: 1000 * time.Millisecond, crash: 1, parts: []string{"sound"}},
				{at: 1030 * time.Millisecond, crash: 2, parts: []string{"sound"}},
				{at: 1060 * time.Millisecond, crash: 3, parts: []string{"sound"}},
				{at: 1090 * time.Millisecond, crash: 4, parts: []string{"sound"}},
			},
			check: time.Minute,
			free:  []string{"sound"},
		},
		{
			name: "several requests that break off at one engine",
			events: []event{
				{at: 1 * time.Second, crash: 1, parts: []string{"sound"}},
				{at: 2 * time.Second, crash: 1, parts: []string{"sound"}},
				{at: 3 * time.Second, crash: 1, parts: []string{"sound"}},
			},
			check: time.Minute,
			free:  []string{"sound"},
		},
		{
			name: "a rare part that stood beside some of the crashes",
			events: []event{
				{at: 1 * time.Second, crash: 1, parts: []string{"deadly"}, others: []string{"rare"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"deadly"}, others: []string{"rare"}},
				{at: 3 * time.Second, crash: 3, parts: []string{"deadly"}},
			},
			check:   time.Minute,
			blocked: []string{"deadly"},
			free:    []string{"rare"},
		},
		{
			name: "a rare part that stood beside all but the last crash, and was taken for the cause",
			events: []event{
				{at: 1 * time.Second, crash: 1, parts: []string{"rare", "x-deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"rare", "x-deadly"}},
				{at: 3 * time.Second, crash: 3, parts: []string{"rare", "x-deadly"}},
				{at: 4 * time.Second, crash: 4, parts: []string{"x-deadly"}},
			},
			check:   4 * time.Second,
			blocked: []string{"x-deadly"},
			free:    []string{"rare"},
		},
		{
			name: "a part that was answered before, at a crash that has another cause",
			events: []event{
				{at: 0, parts: []string{"first"}},
				{at: 1 * time.Second, crash: 1, parts: []string{"first", "deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"first", "deadly"}},
				{at: 4 * time.Second, crash: 3, parts: []string{"first"}},
			},
			check:   4 * time.Second,
			blocked: []string{"deadly"},
			free:    []string{"first"},
		},
		{
			name: "the same during the time to object",
			events: []event{
				{at: 0, parts: []string{"first"}},
				{at: 1 * time.Second, crash: 1, parts: []string{"first", "deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"first", "deadly"}},
				{at: 2*time.Second + objectionTime/2, crash: 3, parts: []string{"first"}},
			},
			check: 2*time.Second + objectionTime/2,
			free:  []string{"first", "deadly"},
		},
		{
			name: "an answered part that crashes engines, beside one that no request was answered with",
			events: []event{
				{at: 0, parts: []string{"deadly"}},
				{at: 1 * time.Second, crash: 1, parts: []string{"rare", "deadly"}},
				{at: 2 * time.Second, crash: 2, parts: []string{"rare", "deadly"}},
				{at: 4 * time.Second, crash: 3, parts: []string{"deadly"}},
				{at: 5 * time.Second, crash: 4, parts: []string{"deadly"}},
				{at: 6 * time.Second, crash: 5, parts: []string{"deadly"}},
			},
			check:   6 * time.Second,
			blocked: []string{"deadly"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := newTestTracker()
			for _, e := range tc.events {
				now := testStart.Add(e.at)
				if e.crash == 0 {
					tr.RecordServed(now, e.parts)
					continue
				}
				tr.RecordCrash(now, engine(e.crash), "r", e.parts)
				if len(e.others) > 0 {
					tr.RecordCrash(now, engine(e.crash), "other", e.others)
				}
			}
			now := testStart.Add(tc.check)
			for _, part := range tc.blocked {
				if !isBlocked(tr, now, part) {
					t.Errorf("%s is not blocked", part)
				}
			}
			for _, part := range tc.free {
				if isBlocked(tr, now, part) {
					t.Errorf("%s is blocked", part)
				}
			}
		})
	}
}

// crashThreeTimes makes a part blocked and returns the time of the last crash.
func crashThreeTimes(tr *Tracker, part string) time.Time {
	now := testStart
	for i := 1; i <= crashesToBlock; i++ {
		now = testStart.Add(time.Duration(i) * time.Second)
		tr.RecordCrash(now, engine(i), "r", []string{part})
	}
	return now
}

// TestBlockEnds guards against a part that stays blocked for good, and against more than
// one request that tests it at a time.
func TestBlockEnds(t *testing.T) {
	t.Run("an answer to a request that was under way", func(t *testing.T) {
		tr := newTestTracker()
		now := crashThreeTimes(tr, "p")
		tr.RecordServed(now.Add(time.Millisecond), []string{"p"})
		if isBlocked(tr, now.Add(time.Millisecond), "p") {
			t.Error("the part is blocked although it was answered")
		}
	})
	t.Run("one test at a time, by one node", func(t *testing.T) {
		tr := newTestTracker()
		last := crashThreeTimes(tr, "p")
		due := last.Add(minBlock)
		if _, blocked, _ := tr.Check(due.Add(-time.Millisecond), []string{"p"}, true); !blocked {
			t.Error("a request passes before the block's time is over")
		}
		if _, blocked, _ := tr.Check(due, []string{"p"}, false); !blocked {
			t.Error("a request passes at a node that may not test")
		}
		if _, blocked, test := tr.Check(due, []string{"p"}, true); blocked || !test {
			t.Error("no request may test the part")
		}
		if _, blocked, _ := tr.Check(due.Add(time.Second), []string{"p"}, true); !blocked {
			t.Error("a second request passes while the first tests the part")
		}
		tr.RecordCrash(due.Add(2*time.Second), engine(9), "r", []string{"p"})
		if _, blocked, _ := tr.Check(due.Add(2*time.Second+3*minBlock/2), []string{"p"}, true); !blocked {
			t.Error("the time until the next test has not doubled")
		}
		if _, _, test := tr.Check(due.Add(2*time.Second+2*minBlock), []string{"p"}, true); !test {
			t.Error("the part is not tested again")
		}
	})
}

// TestWeakBlockIsTestedSooner guards against a part that is blocked for long on the evidence
// of two crashes.
func TestWeakBlockIsTestedSooner(t *testing.T) {
	tr := newTestTracker()
	now := testStart
	for i := 1; i <= crashesToBlockUnserved; i++ {
		now = now.Add(time.Second)
		tr.RecordCrash(now, engine(i), "r", []string{"p"})
	}
	if !isBlocked(tr, now.Add(objectionTime), "p") {
		t.Fatal("the part is not blocked")
	}
	if _, _, test := tr.Check(now.Add(minBlockUnserved), []string{"p"}, true); !test {
		t.Errorf("the part is not tested after %v", minBlockUnserved)
	}
}

// TestMerge guards against nodes that do not agree, and against evidence that an answer
// has refuted and that comes back from another node.
func TestMerge(t *testing.T) {
	now := testStart.Add(10 * time.Second)
	a, b := newTestTracker(), newTestTracker()
	a.RecordCrash(now.Add(-3*time.Second), engine(1), "r", []string{"p", "q"})
	b.RecordCrash(now.Add(-2*time.Second), engine(2), "r", []string{"p"})
	a.RecordCrash(now.Add(-1*time.Second), engine(3), "r", []string{"p"})
	a.Merge(now, b.Share(now))
	b.Merge(now, a.Share(now))
	for _, tr := range []*Tracker{a, b} {
		if !isBlocked(tr, now, "p") || isBlocked(tr, now, "q") {
			t.Errorf("p blocked %v, q blocked %v; want p only", isBlocked(tr, now, "p"), isBlocked(tr, now, "q"))
		}
	}
	before := b.Share(now)
	later := now.Add(time.Second)
	a.RecordServed(later, []string{"p"})
	b.Merge(later, a.ShareStrong(later, MaxShared))
	if isBlocked(b, later, "p") {
		t.Error("the answer at the other node has not ended the block")
	}
	for i := range before {
		for j := range before[i].Crashes {
			before[i].Crashes[j].Age += time.Second
		}
	}
	b.Merge(later, before)
	if isBlocked(b, later, "p") {
		t.Error("refuted evidence blocks the part again")
	}
}

// TestObjection guards against blocking a part because the nodes that have seen answers
// to it are not the ones that have seen the crashes.
func TestObjection(t *testing.T) {
	now := testStart
	a, b := newTestTracker(), newTestTracker()
	b.RecordServed(now, []string{"p"})
	for i := 1; i <= crashesToBlockUnserved; i++ {
		now = now.Add(time.Second)
		a.RecordCrash(now, engine(i), "r", []string{"p"})
	}
	b.Merge(now, a.Share(now))
	a.Merge(now, b.Share(now))
	if later := now.Add(2 * objectionTime); isBlocked(a, later, "p") || isBlocked(b, later, "p") {
		t.Error("the part is blocked although another node has seen an answer")
	}
}

// TestLateObjection guards against a block that rests on two crashes and lasts although
// another node says, after the time to object, that it has seen an answer.
func TestLateObjection(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	b.RecordServed(testStart, []string{"p"})
	now := testStart
	for i := 1; i <= crashesToBlockUnserved; i++ {
		now = now.Add(time.Second)
		a.RecordCrash(now, engine(i), "r", []string{"p"})
	}
	now = now.Add(objectionTime)
	if !isBlocked(a, now, "p") {
		t.Fatal("the part is not blocked without an objection")
	}
	b.Merge(now, a.Share(now))
	a.Merge(now, b.Share(now))
	if isBlocked(a, now, "p") {
		t.Error("the part is blocked although another node has seen an answer")
	}
}

// TestLaterAnswerIsPassedOn guards against a block that lasts because the node that has
// seen an answer after the crashes does not say so to one that knows an older answer.
func TestLaterAnswerIsPassedOn(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.RecordServed(testStart, []string{"p"})
	last := crashThreeTimes(a, "p")
	now := last.Add(time.Second)
	b.RecordServed(now, []string{"p"})
	b.Merge(now, a.Share(now))
	a.Merge(now, b.Share(now))
	if isBlocked(a, now, "p") || isBlocked(b, now, "p") {
		t.Errorf("the part is blocked: %v at the node with the crashes, %v at the other", isBlocked(a, now, "p"), isBlocked(b, now, "p"))
	}
}

// TestOneNodesCrashesAreRefuted guards against a node that blocks a sound part on its own
// crashes although the node that it reports them to has seen answers in between.
func TestOneNodesCrashesAreRefuted(t *testing.T) {
	now := testStart
	a, coordinator := newTestTracker(), newTestTracker()
	for i := 1; i <= crashesToBlock; i++ {
		now = now.Add(time.Second)
		coordinator.RecordServed(now.Add(-time.Millisecond), []string{"p"})
		a.RecordCrash(now, engine(i), "r", []string{"p"})
	}
	if !isBlocked(a, now, "p") {
		t.Fatal("the node does not block the part on what it has seen itself")
	}
	report := a.Share(now)
	coordinator.Merge(now, report)
	a.Merge(now, append(coordinator.ShareStrong(now, MaxShared), coordinator.Objections(now, report)...))
	if isBlocked(a, now, "p") {
		t.Error("the part is blocked although the coordinator has seen answers between the crashes")
	}
}

// TestBoundedMemory guards against memory that grows with the number of parts.
func TestBoundedMemory(t *testing.T) {
	tr := newTestTracker()
	last := crashThreeTimes(tr, "deadly")
	for i := range 3 * maxServed {
		now := last.Add(time.Duration(i) * time.Millisecond)
		tr.RecordServed(now, []string{fmt.Sprintf("s%d", i)})
		if i < 3*maxSuspects {
			tr.RecordCrash(now, engine(1000+i), "r", []string{fmt.Sprintf("c%d", i)})
		}
	}
	if len(tr.served) > maxServed || len(tr.suspects) > maxSuspects {
		t.Errorf("%d answered and %d suspected parts are kept", len(tr.served), len(tr.suspects))
	}
	if !isBlocked(tr, last.Add(time.Second), "deadly") {
		t.Error("the blocked part was dropped for others")
	}
	end := last.Add(forgetBlockedAfter + time.Hour)
	tr.RecordCrash(end, engine(1), "r", []string{"new"})
	if len(tr.suspects) != 1 {
		t.Errorf("%d suspected parts are kept after hours without a crash", len(tr.suspects))
	}
}

// TestAnyOrder guards against nodes that stay in disagreement because they get the same
// evidence in another order, more than once, or in parts.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := []*Tracker{newTestTracker(), newTestTracker(), newTestTracker()}
		parts := []string{"a", "b", "c"}
		now := testStart
		for i := range rapid.IntRange(1, 30).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(50, 400).Draw(r, "pause")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, 2).Draw(r, "node")]
			part := rapid.SampledFrom(parts).Draw(r, "part")
			switch rapid.IntRange(0, 3).Draw(r, "kind") {
			case 0:
				n.RecordServed(now, []string{part})
			case 1:
				o := nodes[rapid.IntRange(0, 2).Draw(r, "other")]
				o.Merge(now, n.Share(now))
			default:
				n.RecordCrash(now, engine(i), "r", []string{part})
			}
		}
		// The first round may join the crashes of several nodes, the second brings the answers
		// that speak against them, and the third passes these on.
		for range 3 {
			for _, n := range nodes {
				for _, o := range nodes {
					if n != o {
						o.Merge(now, n.share(now, 0, MaxShared))
					}
				}
			}
		}
		later := now.Add(2 * objectionTime)
		for _, part := range parts {
			want := isBlocked(nodes[0], later, part)
			for i, n := range nodes {
				if got := isBlocked(n, later, part); got != want {
					r.Fatalf("part %s is blocked %v at node %d and %v at node 0", part, got, i, want)
				}
			}
		}
	})
}

// TestEvidenceValidate guards against evidence of another node that takes unbounded
// memory or lies in the future.
func TestEvidenceValidate(t *testing.T) {
	long := make([]byte, maxPartLength+1)
	for _, tc := range []struct {
		name string
		e    Evidence
		ok   bool
	}{
		{name: "sound", e: Evidence{Part: "p", Crashes: []Crash{{Engine: engine(1), Age: time.Second}}}, ok: true},
		{name: "no part", e: Evidence{}},
		{name: "long part", e: Evidence{Part: string(long)}},
		{name: "many crashes", e: Evidence{Part: "p", Crashes: make([]Crash, maxCrashes+1)}},
		{name: "no engine", e: Evidence{Part: "p", Crashes: make([]Crash, 1)}},
		{name: "future crash", e: Evidence{Part: "p", Crashes: []Crash{{Engine: engine(1), Age: -1}}}},
		{name: "future answer", e: Evidence{Part: "p", Served: true, ServedAge: -1}},
	} {
		if err := tc.e.Validate(); (err == nil) != tc.ok {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
	if ValidateAll(make([]Evidence, MaxShared+1)) == nil {
		t.Error("a list of any length is accepted")
	}
}
