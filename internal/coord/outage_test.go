package coord

import (
	"context"
	"errors"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
)

// TestRemovalAfterOutage guards against an endpoint that stays in use after its entry was
// removed because the node, or only its path, has just lost the store for a moment; and
// against endpoints that are dropped because their entries expired in an outage.
func TestRemovalAfterOutage(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for _, tc := range []struct {
		name    string
		outage  time.Duration
		relayed bool // another node reached the store meanwhile
		leaving bool // the endpoint announces that it leaves in place of its removal
		inFeed  bool // the removal is a change of the feed, not an entry that a full read lacks
		kept    bool // for missingGrace
	}{
		{name: "a lost call", outage: 500 * time.Millisecond, inFeed: true},
		{name: "a lost call, then a full read", outage: 500 * time.Millisecond},
		{name: "a cut as long as the lease", outage: 1500 * time.Millisecond, inFeed: true},
		{name: "a long cut of this node alone", outage: 6 * time.Second, relayed: true, inFeed: true},
		{name: "a long cut of this node alone, then a full read", outage: 6 * time.Second, relayed: true},
		{name: "an outage in which entries expire", outage: 3 * time.Second, inFeed: true, kept: true},
		{name: "the same, then a full read", outage: 3 * time.Second, kept: true},
		{name: "the endpoint leaves after a long outage", outage: 3 * time.Second, leaving: true, inFeed: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			n := newTestFleet(t).prepare("a", 1)
			clk := clock.NewFake()
			n.opts.Clock, n.opts.Heartbeat = clk, heartbeat
			if err := n.SetRawConfig(ctx, []byte("1"), "test"); err != nil {
				t.Fatal(err)
			}
			clk.Advance(time.Minute)
			n.SetEndpoints(ctx, testEndpoints, 60, true)
			n.RecordStoreAnswer(EndpointReader)
			clk.Advance(tc.outage / 2)
			n.SetStoreState(errors.New("lost"))
			clk.Advance(tc.outage / 2)
			if tc.relayed {
				running, stop := context.WithCancel(ctx)
				defer stop()
				go n.coord.run(running)
				if _, err := n.HandleExchange(ctx, &Exchange{Node: "b", Address: "b", StoreAge: 300 * time.Millisecond}); err != nil {
					t.Fatal(err)
				}
			}
			n.SetStoreState(nil)
			n.RecordStoreAnswer(EndpointReader)
			clk.Advance(100 * time.Millisecond)
			var changes []fleet.Change
			if tc.leaving {
				e := *testEndpoints[0].Endpoint
				e.Leaving = true
				changes = []fleet.Change{{Name: testEndpoints[0].Name, Version: 70, Endpoint: &e}}
			} else if tc.inFeed {
				changes = []fleet.Change{{Name: testEndpoints[0].Name, Version: 70}}
			}
			n.SetEndpoints(ctx, changes, 70, !tc.inFeed)
			inUse := false
			for _, e := range n.opts.Table.Endpoints() {
				inUse = inUse || e.ID == testEndpoints[0].Endpoint.ID && !e.Leaving
			}
			if inUse != tc.kept {
				t.Errorf("in use after its removal: %v, want %v", inUse, tc.kept)
			}
		})
	}
}
