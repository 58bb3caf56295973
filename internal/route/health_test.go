package route

import (
	"errors"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/health"
)

// TestHear guards against new work for an endpoint that has said in an answer that it
// leaves or wants none for a time, and against one that never gets work again.
func TestHear(t *testing.T) {
	leaving := engine.Statement{
		Leaving: true,
	}
	closed := engine.Statement{
		Wait: health.Wait{
			For:  3 * time.Second,
			Rule: health.Seconds,
		},
	}
	report := func(at time.Duration, leaving bool) func(*Table) {
		return func(tab *Table) {
			tab.SetLoad(start.Add(at), "near-00", engine.Load{
				Sampled: start.Add(at),
				Leaving: leaving,
			})
		}
	}
	for _, tc := range []struct {
		name   string
		said   engine.Statement
		after  func(*Table)
		at     time.Duration
		usable bool
	}{
		{name: "nothing said", at: time.Second, usable: true},
		{name: "leaves", said: leaving, at: time.Minute},
		{name: "leaves, and an older report does not say so", said: leaving, after: report(-time.Second, false), at: time.Minute},
		{name: "leaves, and a newer report says so", said: leaving, after: report(time.Second, true), at: time.Minute},
		{name: "leaves, and a process that does not leave has taken its place", said: leaving, after: report(time.Second, false), at: time.Minute, usable: true},
		{name: "wants none for 3 s", said: closed, at: 2999 * time.Millisecond},
		{name: "wanted none for 3 s", said: closed, at: 3 * time.Second, usable: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab, _, _ := newFleet(2)
			var choice Choice
			for choice.Endpoint != "near-00" {
				choice = mustPick(t, tab, request(0))
			}
			tab.Hear(start, choice, tc.said)
			if tc.after != nil {
				tc.after(tab)
			}
			if got := countPicks(t, tab, tc.at)["near-00"] > 0; got != tc.usable {
				t.Errorf("the endpoint gets requests: %v, want %v", got, tc.usable)
			}
			if got := tab.Usable(start.Add(tc.at), choice); got != tc.usable && !tc.usable {
				t.Error("a request that was assigned to the endpoint may be sent")
			}
		})
	}
}

// TestAllClosed guards against a request that waits, or is sent all the same, when every
// endpoint of its model wants none for a time.
func TestAllClosed(t *testing.T) {
	tab, _, _ := newFleet(2)
	waits := map[string]time.Duration{"near-00": 5 * time.Second, "near-01": 4 * time.Second, "far-00": 3 * time.Second, "far-01": 6 * time.Second}
	for {
		choice, err := tab.Pick(request(0))
		if err != nil {
			break
		}
		tab.Hear(start, choice, engine.Statement{
			Wait: health.Wait{
				For:  waits[choice.Endpoint],
				Rule: health.Seconds,
			},
		})
	}
	_, err := tab.Pick(request(time.Second))
	var closed *health.ClosedError
	if !errors.As(err, &closed) || !closed.Until.Equal(start.Add(3*time.Second)) {
		t.Errorf("the choice ended with %v, want the first that takes requests again", err)
	}
	if c := mustPick(t, tab, request(3*time.Second)); c.Endpoint != "far-00" {
		t.Errorf("chose %s", c.Endpoint)
	}
}
