package coord

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
)

var limitedEngine = fleet.Key{
	ID:          "e",
	Incarnation: 1,
}

// nameLimit records that an engine named a limit in an answer at a node, as package serve does.
func (n *testNode) nameLimit(text ...string) {
	now := time.Now()
	n.opts.Table.Health().HearLimit(now, now, limitedEngine, health.ParseLimit(text), health.Answer)
}

// TestLimitIsKnownEverywhere guards against nodes that send as before to an engine which
// another node has heard to name a limit, and against a limit that outlasts its end there.
func TestLimitIsKnownEverywhere(t *testing.T) {
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
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, nodes, first := newEngineFleet(t)
			if tc.before != nil {
				tc.before(f, first, nodes)
			}
			nodes = slices.DeleteFunc(nodes, func(n *testNode) bool { return n == first })
			allSay := func(limited bool) func() bool {
				return func() bool {
					for _, n := range nodes {
						if n.opts.Table.Health().Ask(time.Now(), limitedEngine).IsLimited != limited {
							return false
						}
					}
					return true
				}
			}
			nodes[0].nameLimit("1.4")
			f.eventually("all nodes know the limit", leavingBound, allSay(true))
			f.eventually("all nodes know its end", 2*leavingBound, func() bool {
				// Answers without a limit go on.
				nodes[0].nameLimit()
				return allSay(false)()
			})
		})
	}
}

// TestPlacesHoldOverHandovers guards against requests beyond an engine's limit where the
// coordinator is killed again and again, and against none at all.
func TestPlacesHoldOverHandovers(t *testing.T) {
	const rate = 5.0
	f, nodes, _ := newEngineFleet(t)
	nodes[0].nameLimit(fmt.Sprint(rate))
	f.eventually("all nodes know the limit", leavingBound, func() bool {
		for _, n := range nodes {
			if !n.opts.Table.Health().Ask(time.Now(), limitedEngine).IsLimited {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	var taken []time.Time
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() {
			for ctx.Err() == nil {
				turn, leave := n.Pacer.Wait(limitedEngine, 3, time.Now())
				for ctx.Err() == nil {
					if _, ok := n.Pacer.Take(limitedEngine, turn); ok {
						mu.Lock()
						taken = append(taken, time.Now())
						mu.Unlock()
						break
					}
					select {
					case <-n.Pacer.Changed():
					case <-time.After(20 * time.Millisecond):
					}
				}
				leave()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range 2 {
		first := f.awaitCoordinator(8*time.Second, nodes...)
		first.kill()
		nodes = slices.DeleteFunc(nodes, func(n *testNode) bool { return n == first })
		time.Sleep(4 * time.Second)
	}
	cancel()
	all.Wait()
	for _, first := range taken {
		n := 0
		for _, at := range taken {
			if !at.Before(first) && at.Sub(first) < 4*time.Second {
				n++
			}
		}
		if float64(n) > 6*rate+5 {
			t.Fatalf("%d places were taken within 4 s, %v are allowed", n, 6*rate+5)
		}
	}
	if least := int(rate * 4); len(taken) < least {
		t.Errorf("%d places were taken, want %d at least", len(taken), least)
	}
}

// TestPlacesInOrder guards against places for requests that arrived later or are less urgent
// than others at the same node.
func TestPlacesInOrder(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	f.awaitCoordinator(3*time.Second, n)
	n.SetEndpoints(context.Background(), testEndpoints, 1, true)
	n.nameLimit("4")
	now := time.Now()
	var order []string
	type waiter struct {
		name    string
		urgency int
		arrived time.Time
	}
	list := []waiter{
		{name: "less urgent", urgency: 6, arrived: now.Add(-time.Minute)},
		{name: "second", urgency: 3, arrived: now},
		{name: "first", urgency: 3, arrived: now.Add(-time.Second)},
	}
	takes := make([]func() bool, len(list))
	for i, w := range list {
		turn, leave := n.Pacer.Wait(limitedEngine, w.urgency, w.arrived)
		takes[i] = func() bool {
			if _, ok := n.Pacer.Take(limitedEngine, turn); !ok {
				return false
			}
			leave()
			order = append(order, w.name)
			return true
		}
	}
	if n.Pacer.Has(limitedEngine, 0) {
		t.Error("a request that does not wait has a place")
	}
	f.eventually("all have places", 3*time.Second, func() bool {
		for i, take := range takes {
			if take != nil && take() {
				takes[i] = nil
			}
		}
		return len(order) == len(list)
	})
	if want := []string{"first", "second", "less urgent"}; !slices.Equal(order, want) {
		t.Errorf("places in the order %q, want %q", order, want)
	}
}

// TestLoweredLimitDropsHeldTokens guards against places that a node still has from a higher
// limit and uses after it heard a lower one (LIMIT).
func TestLoweredLimitDropsHeldTokens(t *testing.T) {
	clk := clock.NewFake()
	table := health.New()
	hear := func(text string) {
		table.HearLimit(clk.Now(), clk.Now(), limitedEngine, health.ParseLimit([]string{text}), health.Answer)
	}
	p := NewPacer(clk, table)
	hear("20")
	if p.Has(limitedEngine, 0) {
		t.Fatal("a place without a token")
	}
	const held = 4
	p.applyReply(clk.Now(), []grant.Grant{{
		Workspace: placeName(limitedEngine),
		Tokens:    held,
	}}, nil, 0)
	if _, ok := p.Take(limitedEngine, 0); !ok {
		t.Fatal("no place with a token")
	}
	clk.Advance(100 * time.Millisecond)
	hear("1")
	for i := range held {
		if _, ok := p.Take(limitedEngine, 0); ok {
			t.Fatalf("place %d of the higher limit is used under the lower one", i+1)
		}
	}
	// Those of the lower limit are used.
	p.applyReply(clk.Now(), []grant.Grant{{
		Workspace: placeName(limitedEngine),
		Tokens:    1,
	}}, nil, 0)
	if _, ok := p.Take(limitedEngine, 0); !ok {
		t.Error("no place with a token of the lower limit")
	}
}
