package coord

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// stableTime is within which all nodes in contact must know what crashes engines: the
// shortest of the deployments.
const stableTime = 3 * time.Second

// blocks reports whether a node refuses requests with a part.
func (n *testNode) blocks(part string) bool {
	_, blocked, _ := n.opts.Parts.Check(n.opts.Clock.Now(), []string{part}, false)
	return blocked
}

// crashEngines records crashes under a part, each seen by another of the nodes.
func crashEngines(part string, nodes ...*testNode) {
	for i := range 5 {
		n := nodes[i%len(nodes)]
		n.opts.Parts.RecordCrash(n.opts.Clock.Now(), fleet.Key{ID: fmt.Sprintf("e%d", i), Incarnation: 1}, "r", []string{part})
		time.Sleep(120 * time.Millisecond)
	}
}

// TestCrashingPartIsKnownEverywhere guards against nodes that do not learn in time which
// part of prompts crashes engines: without the coordinator, without the store, and after
// a restart.
func TestCrashingPartIsKnownEverywhere(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *testFleet, first *testNode, nodes []*testNode)
		after  func(f *testFleet, nodes []*testNode) []*testNode
	}{
		{name: "all is well"},
		{
			name:   "the coordinator dies at the crashes",
			before: func(_ *testFleet, first *testNode, _ []*testNode) { first.kill() },
		},
		{
			name: "the store is away",
			before: func(f *testFleet, first *testNode, nodes []*testNode) {
				for _, n := range nodes {
					f.setDown(n, true)
				}
				first.kill()
			},
		},
		{
			name: "one process restarts",
			after: func(f *testFleet, nodes []*testNode) []*testNode {
				nodes[0].kill()
				return append([]*testNode{f.start(nodes[0].opts.Node)}, nodes[1:]...)
			},
		},
		{
			name: "one process restarts while the store is away",
			after: func(f *testFleet, nodes []*testNode) []*testNode {
				for _, n := range nodes {
					f.setDown(n, true)
				}
				nodes[0].kill()
				n := f.start(nodes[0].opts.Node)
				f.setDown(n, true)
				n.SetSeeds([]string{nodes[1].opts.Address})
				return append([]*testNode{n}, nodes[1:]...)
			},
		},
		{
			name: "all processes restart",
			after: func(f *testFleet, nodes []*testNode) []*testNode {
				time.Sleep(testTerm)
				for _, n := range nodes {
					n.kill()
				}
				var out []*testNode
				for _, n := range nodes {
					out = append(out, f.start(n.opts.Node))
				}
				return out
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			var nodes []*testNode
			for _, name := range []string{"a", "b", "c", "d"} {
				nodes = append(nodes, f.start(name))
			}
			first := f.awaitCoordinator(5*time.Second, nodes...)
			f.awaitMembers(nodes)
			for _, n := range nodes {
				if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
					t.Fatal(err)
				}
			}
			if tc.before != nil {
				tc.before(f, first, nodes)
				nodes = slices.DeleteFunc(nodes, func(n *testNode) bool { return n == first })
			}
			crashEngines("deadly", nodes...)
			if tc.after != nil {
				f.eventually("the block before the restart", stableTime, func() bool { return nodes[0].blocks("deadly") })
				nodes = tc.after(f, nodes)
			}
			f.eventually("the block at all nodes", stableTime, func() bool {
				for _, n := range nodes {
					if !n.blocks("deadly") {
						return false
					}
				}
				return true
			})
		})
	}
}
