package coord

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// leavingBound is within which all nodes in contact must know that an engine leaves, which
// is when no more requests may reach it.
const leavingBound = 2 * time.Second

// newEngineFleet returns four nodes with a configuration and engines, and their coordinator.
func newEngineFleet(t *testing.T) (f *testFleet, nodes []*testNode, first *testNode) {
	t.Helper()
	f = newTestFleet(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		nodes = append(nodes, f.start(name))
	}
	first = f.awaitCoordinator(5*time.Second, nodes...)
	f.awaitMembers(nodes)
	for _, n := range nodes {
		if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
		n.SetEndpoints(context.Background(), testEndpoints, 1, true)
	}
	return f, nodes, first
}

// TestLeavingIsKnownEverywhere guards against nodes that go on sending to an engine that
// another node has heard to leave: the store does not tell them, since the engine is cut
// off from it, or it is down, or the coordinator is away.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *testFleet, first *testNode, nodes []*testNode)
	}{
		{name: "all is well"},
		{
			name: "the store is away",
			before: func(f *testFleet, _ *testNode, nodes []*testNode) {
				for _, n := range nodes {
					f.setDown(n, true)
				}
			},
		},
		{
			name:   "the coordinator is away",
			before: func(_ *testFleet, first *testNode, _ []*testNode) { first.kill() },
		},
		{
			name: "the store and the coordinator are away",
			before: func(f *testFleet, first *testNode, nodes []*testNode) {
				for _, n := range nodes {
					f.setDown(n, true)
				}
				first.kill()
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, nodes, first := newEngineFleet(t)
			if tc.before != nil {
				tc.before(f, first, nodes)
			}
			nodes = slices.DeleteFunc(nodes, func(n *testNode) bool { return n == first })
			key := fleet.Key{
				ID:          "e",
				Incarnation: 1,
			}
			// As package serve does when an answer says it.
			nodes[0].opts.Table.Health().SetLeaving(time.Now(), key, health.Answer)
			f.eventually("all nodes know", leavingBound, func() bool {
				for _, n := range nodes {
					if n.opts.Table.Health().Ask(time.Now(), key).Reason != health.Leaving {
						return false
					}
				}
				return true
			})
			// The list still says that the engine is ready.
			for _, n := range nodes {
				n.SetEndpoints(context.Background(), testEndpoints, 2, true)
				if n.opts.Table.Health().Ask(time.Now(), key).Usable {
					t.Error("a list undid what the engine said")
				}
			}
		})
	}
}

// TestNothingLoadedAtLeavingEngine guards against a coordinator that loads a model at an
// engine that has said in an answer, and not in its entry, that it leaves.
func TestNothingLoadedAtLeavingEngine(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	f.awaitCoordinator(3*time.Second, n)
	n.SetEndpoints(context.Background(), testEndpoints, 1, true)
	n.SetLeaving(fleet.Key{
		ID:          "e",
		Incarnation: 1,
	}, health.Report)
	done := n.TrackWaiting("lm", "m0")
	defer done()
	time.Sleep(testWait + time.Second)
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	if len(f.engine.orders) > 0 {
		t.Errorf("%d orders reached the engine", len(f.engine.orders))
	}
}

// TestTooManyStatements guards against memory and time spent on a message of a node that
// sends too much.
func TestTooManyStatements(t *testing.T) {
	x := &Exchange{
		Node:    "a",
		Address: "a",
	}
	for i := range health.MaxShared + 1 {
		x.LeavingEngines = append(x.LeavingEngines, health.Statement{
			Key: fleet.Key{
				ID: fmt.Sprint(i),
			},
		})
	}
	if x.Validate() == nil {
		t.Error("a message with too many statements is valid")
	}
	x.LeavingEngines = x.LeavingEngines[:1]
	if err := x.Validate(); err != nil {
		t.Error(err)
	}
}
