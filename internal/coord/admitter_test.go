package coord

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

// TestAdmitBetweenCoordinators guards against requests that are refused as over a rate which
// nobody reaches, because the last coordinator has just ended and no other one answers yet.
func TestAdmitBetweenCoordinators(t *testing.T) {
	const (
		rate = 100_000
		wait = 50 * time.Millisecond
	)
	for _, tc := range []struct {
		name     string
		tokens   float64
		usedUp   bool // by the word of the coordinator
		admitted bool
		within   time.Duration
	}{
		{name: "few tokens", tokens: 500, admitted: true, within: grant.CoordinatorTimeout + 200*time.Millisecond},
		{name: "more than the own fraction", tokens: rate, within: grant.CoordinatorTimeout + 300*time.Millisecond},
		{name: "used up", tokens: 500, usedUp: true, within: wait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewReal()
			a := NewAdmitter(clk, make(chan struct{}, 1), 0)
			a.SetConfig(&fleet.Config{
				Workspaces: map[string]*fleet.Workspace{"club": {Name: "club", Rate: rate, Burst: rate}},
			})
			reply := &Reply{
				Fraction: 0.25,
			}
			if tc.usedUp {
				reply.Shortages = []grant.Shortage{{Workspace: "club", RetryIn: time.Second}}
			}
			began := clk.Now()
			a.applyReply(began, reply)
			_, admitted := a.Admit(t.Context(), "club", tc.tokens, wait)
			if took := clk.Now().Sub(began); admitted != tc.admitted || took > tc.within {
				t.Errorf("admitted %v after %v, want %v within %v", admitted, took, tc.admitted, tc.within)
			}
		})
	}
}
