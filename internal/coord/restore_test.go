package coord

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/store"
)

// startOrdering starts nodes that give orders all the time, and returns them with the
// coordinator.
func (f *testFleet) startOrdering(names ...string) ([]*testNode, *testNode) {
	f.t.Helper()
	var nodes []*testNode
	for _, name := range names {
		nodes = append(nodes, f.startWithOrders(name))
	}
	first := f.awaitCoordinator(5*time.Second, nodes...)
	f.eventually("orders of the first holder", 8*time.Second, func() bool { return f.holderCount() == 1 })
	return nodes, first
}

func (f *testFleet) startWithOrders(name string) *testNode {
	f.t.Helper()
	n := f.start(name)
	if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
		f.t.Fatal(err)
	}
	n.SetEndpoints(context.Background(), testEndpoints, 1, true)
	f.t.Cleanup(f.generateOrders(n))
	return n
}

func (f *testFleet) orderCount() int {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	return len(f.engine.orders)
}

// TestCoordinatorGoesOnAfterRestore guards against a coordinator that is replaced, stops to
// give orders, or does not store again what it had stored, because the store was restored
// from a copy in which its lease is older or missing.
func TestCoordinatorGoesOnAfterRestore(t *testing.T) {
	for _, missing := range []bool{false, true} {
		t.Run("missing "+strconv.FormatBool(missing), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			var rows map[string]store.Row
			var next int64
			if !missing {
				n := f.start("a")
				f.awaitCoordinator(5*time.Second, n)
				rows, next = f.table.copy()
				n.kill()
			}
			nodes, first := f.startOrdering("a", "b", "c")
			f.awaitMembers(nodes)
			f.table.restore(rows, next)
			restored := time.Now()
			orders := f.orderCount()
			for time.Since(restored) < 3*testTerm {
				if !first.IsCoordinator() {
					t.Fatalf("%s is not the coordinator %v after the restore", first.opts.Node, time.Since(restored))
				}
				time.Sleep(5 * time.Millisecond)
			}
			f.eventually("orders after the restore", 3*time.Second, func() bool { return f.orderCount() > orders })
			if f.holderCount() != 1 {
				t.Error("another node gave orders")
			}
			rows, _ = f.table.copy()
			var rec lease.Record
			if err := cbor.Unmarshal(rows[leaseKey].Value, &rec); err != nil {
				t.Fatal(err)
			}
			var note leaseNote
			if err := cbor.Unmarshal(rec.Note, &note); err != nil {
				t.Fatal(err)
			}
			if rec.Holder != first.opts.Address || len(note.Members) != len(nodes) {
				t.Errorf("the row names %q and notes %d members, want %q and %d", rec.Holder, len(note.Members), first.opts.Address, len(nodes))
			}
		})
	}
}

// TestOneHolderAfterRestore guards against orders of two holders within less than the lease
// time, because a process trusts a lease row of a copy from which the store was restored.
func TestOneHolderAfterRestore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// run restores the store and ends the coordinator, or not.
		run func(f *testFleet, nodes []*testNode, first *testNode)
		// wantOther is set if another holder must follow.
		wantOther bool
	}{
		{name: "the coordinator ends at the restore", wantOther: true, run: func(f *testFleet, _ []*testNode, first *testNode) {
			rows, next := f.table.copy()
			time.Sleep(testTerm)
			f.table.restore(rows, next)
			first.kill()
		}},
		{name: "the row is missing and the coordinator ends", wantOther: true, run: func(f *testFleet, _ []*testNode, first *testNode) {
			f.table.restore(nil, 0)
			first.kill()
		}},
		{name: "the copy names a process that starts again", run: func(f *testFleet, nodes []*testNode, first *testNode) {
			rows, next := f.table.copy()
			first.kill()
			rest := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return n == first })
			f.eventually("orders of another holder", 10*time.Second, func() bool { return f.holderCount() == 2 })
			f.awaitCoordinator(5*time.Second, rest...)
			f.table.restore(rows, next)
			f.startWithOrders(first.opts.Address)
			time.Sleep(3 * testTerm)
		}},
		{name: "the copy names a process that starts again, and the coordinator ends", run: func(f *testFleet, nodes []*testNode, first *testNode) {
			rows, next := f.table.copy()
			first.kill()
			f.eventually("orders of another holder", 10*time.Second, func() bool { return f.holderCount() == 2 })
			f.table.restore(rows, next)
			for _, n := range nodes {
				if n != first {
					n.kill()
				}
			}
			f.startWithOrders(first.opts.Address)
			orders := f.orderCount()
			f.eventually("orders after the restore", 10*time.Second, func() bool { return f.orderCount() > orders })
		}},
		{name: "the row is missing and all processes start again", wantOther: true, run: func(f *testFleet, nodes []*testNode, _ *testNode) {
			f.table.restore(nil, 0)
			for _, n := range nodes {
				n.kill()
			}
			f.startWithOrders("d")
		}},
		{name: "the copy names a process that has left the lease to another, which ends", run: func(f *testFleet, nodes []*testNode, first *testNode) {
			rows, next := f.table.copy()
			first.ReleaseLease()
			f.eventually("orders of another holder", 10*time.Second, func() bool { return f.holderCount() == 2 })
			time.Sleep(2 * testLease)
			f.table.restore(rows, next)
			for _, n := range nodes {
				if n.IsCoordinator() {
					n.kill()
				}
			}
			f.eventually("orders of a third holder", 12*time.Second, func() bool { return f.holderCount() == 3 })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			nodes, first := f.startOrdering("a", "b", "c")
			tc.run(f, nodes, first)
			if tc.wantOther {
				f.eventually("orders of another holder", 12*time.Second, func() bool { return f.holderCount() == 2 })
			}
			time.Sleep(testWait)
			f.checkOrderGaps()
		})
	}
}

// TestListsOfTwoEras guards against nodes that learn of a restore of the store at different
// times and undo what others have read since: the one that knows has to get its list into
// force at the other, and not the other way round.
func TestListsOfTwoEras(t *testing.T) {
	ctx := context.Background()
	f := newTestFleet(t)
	entry := func(revision int64, leaving bool) []fleet.Change {
		e := *testEndpoints[0].Endpoint
		e.Leaving = leaving
		return []fleet.Change{{Name: "e", Version: revision, Endpoint: &e}}
	}
	leaving := func(n *testNode) bool {
		list := n.opts.Table.Endpoints()
		return len(list) == 1 && list[0].Leaving
	}
	knows, former := f.start("a"), f.start("b")
	for _, n := range []*testNode{knows, former} {
		if err := n.SetRawConfig(ctx, []byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
		n.SetEndpoints(ctx, entry(90, false), 100, true)
	}
	f.awaitCoordinator(5*time.Second, knows, former)
	knows.SetEndpoints(ctx, entry(store.Revision(1, 50), false), store.Revision(1, 60), true)
	knows.SetEndpoints(ctx, entry(store.Revision(1, 61), true), store.Revision(1, 61), false)
	former.SetEndpoints(ctx, entry(120, false), 120, false)
	f.eventually("the drain at both", 3*time.Second, func() bool { return leaving(knows) && leaving(former) })
	time.Sleep(time.Second)
	if !leaving(knows) || !leaving(former) {
		t.Error("the endpoint is in use again")
	}
}

// TestOlderConfigurationInCopy guards against an older configuration of a copy, from which
// the store was restored, that comes into force at a running node, or stays in force at one
// that starts from it while others know a newer one.
func TestOlderConfigurationInCopy(t *testing.T) {
	ctx := context.Background()
	f := newTestFleet(t)
	nodes := []*testNode{f.start("a"), f.start("b")}
	for _, n := range nodes {
		if err := n.SetRawConfig(ctx, []byte("12"), "store"); err != nil {
			t.Fatal(err)
		}
		n.SetEndpoints(ctx, testEndpoints, 1, true)
	}
	f.awaitCoordinator(5*time.Second, nodes...)
	for _, n := range nodes {
		if err := n.SetRawConfig(ctx, []byte("9"), "store"); err != nil {
			t.Fatal(err)
		}
		if got := n.opts.Server.Config().Version; got != 12 {
			t.Errorf("configuration %d of the copy is in force at %s", got, n.opts.Node)
		}
	}
	starting := f.start("c")
	if err := starting.SetRawConfig(ctx, []byte("9"), "store"); err != nil {
		t.Fatal(err)
	}
	f.eventually("the newer configuration at the node that started", time.Second, func() bool {
		return starting.opts.Server.Config().Version == 12
	})
}

// TestCoordinatorRenewsFirstAfterRestore guards against a deputy that competes with a sound
// coordinator at once, because the store never stopped to answer it.
func TestCoordinatorRenewsFirstAfterRestore(t *testing.T) {
	n := newTestFleet(t).prepare("a", 1)
	n.RecordStoreAnswer(ConfigReader)
	n.RecordStoreAnswer(EndpointReader)
	n.mu.Lock()
	before := n.storeAnsweringSince
	n.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	n.StoreRestored()
	n.RecordStoreAnswer(ConfigReader)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeAnsweringSince.After(before) {
		t.Error("the store counts as answering since before its restore")
	}
}

// TestExpiredCoordinatorAfterRestore guards against nodes without a coordinator, because the
// lease expired in an outage at the end of which the store was restored from a copy: until
// it is taken anew, the last coordinator serves all but orders, as after any expiry.
func TestExpiredCoordinatorAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	nodes, _ := f.startOrdering("a", "b", "c")
	f.awaitMembers(nodes)
	rows, next := f.table.copy()
	for _, n := range nodes {
		f.setDown(n, true)
	}
	time.Sleep(2 * testTerm)
	f.table.restore(rows, next)
	orders := f.orderCount()
	for _, n := range nodes {
		f.setDown(n, false)
	}
	f.eventually("orders after the restore", 8*time.Second, func() bool {
		if !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.IsCoordinator() }) {
			t.Fatal("no node is the coordinator")
		}
		return f.orderCount() > orders
	})
	f.checkOrderGaps()
}
