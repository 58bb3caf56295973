package lead

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/store"
)

// leaseKey is the key of the coordinator's lease.
const leaseKey = "coordinator"

// elect takes part in the election of the coordinator.
func (n *Node) elect(ctx context.Context) {
	k := lease.NewKeeper(n.opts.Rows, n.opts.Clock, lease.Settings{
		Key:         leaseKey,
		Holder:      n.opts.Address,
		Incarnation: n.opts.Address + "/" + n.opts.Incarnation,
		Term:        n.opts.LeaseTerm,
		Renew:       n.opts.LeaseTerm / 3,
		Reclaim:     true,
		Note:        n.note,
	})
	e := election{
		Node: n,
		k:    k,
	}
	if !wait(ctx, n.startDelay()) {
		return
	}
	for {
		e.step(ctx)
		if !wait(ctx, electEvery) {
			return
		}
	}
}

// startDelay lets larger nodes that start at the same time coordinate.
func (n *Node) startDelay() time.Duration {
	small := max(0, fullCapacity-n.opts.Capacity) / fullCapacity
	return time.Duration(small * float64(startDelay))
}

// election is this node's part in the election.
type election struct {
	*Node
	k      *lease.Keeper
	tenure Tenure
	noted  bool // the note of the first row was read
	valid  bool // the coordinator held the lease when it last told of it
	// validAt is when the coordinator last held it.
	validAt time.Time
	failed  bool
	// resigning tells that this node leaves the lease to a larger one, since the
	// time resigned.
	resigning bool
	resigned  time.Time
}

func (e *election) step(ctx context.Context) {
	now := e.opts.Clock.Now()
	competes := e.prepare(now)
	held := !e.tenure.Until.IsZero()
	event := lease.EventNone
	if competes && e.k.Next(now).Kind != lease.OpNone {
		bounded, cancel := context.WithTimeout(ctx, electTimeout)
		ev, err := e.k.Step(bounded, e.opts.Clock.Now())
		cancel()
		event = ev.Kind
		e.report(err)
	}
	until := e.k.Until()
	switch {
	case !until.IsZero() && !held:
		former, _, _ := strings.Cut(e.k.Former(), "/")
		e.tenure = Tenure{
			Since:  e.k.Since(),
			Fence:  e.k.Epoch(),
			First:  former == "",
			Former: former,
		}
		e.tenure.OrdersFrom = e.ordersFrom(e.tenure, e.k.FormerNote())
		e.mu.Lock()
		e.Node.ordersFrom = e.tenure.OrdersFrom
		e.mu.Unlock()
		if former != "" && former != e.opts.Address {
			go e.askHandover(ctx, e.tenure)
		}
	case until.IsZero() && held:
		e.opts.Log.Info("lease ended", "event", string(event), "holder", e.k.Holder())
	}
	e.tenure.Until = until
	e.readNote(ctx)
	e.coord.post(ctx, tenureChanged{
		tenure: e.tenure,
	})
	now = e.opts.Clock.Now()
	e.mu.Lock()
	e.own = nil
	if row, ok := e.k.Row(); ok {
		e.own = &LeaseRow{
			Value:   row.Value,
			Version: row.Version,
			Valid:   e.k.Valid(now),
		}
	}
	e.mu.Unlock()
	if row, ok := e.k.Row(); ok {
		e.setLeader(e.k.Holder(), !until.IsZero(), row.Version)
	}
}

// ordersFrom is when a tenure may give its first order, by the note of the row
// before it. An earlier incarnation on this node is dead, but it may itself have
// waited for the orders of another node.
func (e *election) ordersFrom(t Tenure, note []byte) time.Time {
	if t.First {
		return t.Since
	}
	wait := e.opts.LeaseWait
	if t.Former == e.opts.Address {
		var former leaseNote
		if err := cbor.Unmarshal(note, &former); err == nil {
			wait = min(wait, former.OrdersIn)
		}
	}
	return t.Since.Add(wait)
}

// handoverTries is how often the former holder is asked to resign.
const handoverTries = 3

// askHandover asks the former holder to resign, so that this node need not wait
// for orders that the other may still have given.
func (n *Node) askHandover(ctx context.Context, t Tenure) {
	for range handoverTries {
		sent := n.opts.Clock.Now()
		x := n.message(sent)
		x.Draws, x.Resign = nil, t.Fence
		r, err := n.ask(ctx, t.Former, false, x)
		if err == nil && r.Handover != nil {
			// Counted from the answer, which is later than the other's clock.
			n.coord.post(ctx, handedOver{
				fence:    t.Fence,
				at:       n.opts.Clock.Now(),
				handover: r.Handover,
			})
			return
		}
		if !wait(ctx, exchangeEvery) {
			return
		}
	}
	n.opts.Log.Warn("former coordinator did not resign", "former", t.Former, "fence", t.Fence)
}

// prepare takes over what was heard, and reports whether to use the store.
func (e *election) prepare(now time.Time) bool {
	e.mu.Lock()
	leaving, heard, lost, deputy := e.leaving, e.heard, e.lost, e.deputy
	touch := now.Sub(e.touched) < relayAge && !e.ended
	answering := !e.answering.IsZero() && now.Sub(e.answering) > competeAfter && e.storeAge(now) < relayStore
	e.heard, e.lost = nil, false
	e.mu.Unlock()
	if leaving || e.leavesToLarger(now) {
		if !e.k.Released() {
			e.k.Release()
		}
		return true
	}
	if !e.k.Until().IsZero() {
		return true
	}
	if heard != nil {
		if heard.Valid || e.validAt.IsZero() {
			e.validAt = now
		}
		e.valid = heard.Valid
	}
	if heard != nil && heard.Valid {
		row := store.Row{
			Key:     leaseKey,
			Value:   heard.Value,
			Version: heard.Version,
		}
		if _, err := e.k.Heard(now, row); err != nil {
			e.opts.Log.Warn("lease of the coordinator not readable", "error", err.Error())
		}
	}
	if lost {
		e.k.Recheck()
	}
	if touch {
		return !e.valid && answering && (deputy || now.Sub(e.validAt) > electLater*e.opts.LeaseTerm)
	}
	return deputy || e.opts.Clock.Now().Sub(e.touched) > electLater*e.opts.LeaseTerm
}

// leavesToLarger reports whether this node leaves the lease to a larger node. It
// competes again when it gave the lease back some time ago.
func (e *election) leavesToLarger(now time.Time) bool {
	if e.resigning {
		if e.k.Released() && now.Sub(e.resigned) > handOverAfter {
			e.k.Resume()
			e.resigning = false
		}
		return e.resigning
	}
	if e.k.Until().IsZero() || now.Sub(e.k.Since()) < handOverAfter || e.opts.Capacity >= fullCapacity {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigning = slices.ContainsFunc(e.members, func(m Member) bool { return m.Capacity >= fullCapacity })
	if e.resigning {
		e.resigned = now
		e.opts.Log.Info("lease left to a larger node", "capacity", e.opts.Capacity, "members", len(e.members))
	}
	return e.resigning
}

func (e *election) report(err error) {
	if failed := err != nil; failed != e.failed {
		e.failed = failed
		if failed {
			e.opts.Log.Warn("lease not reached", "error", err.Error())
		} else {
			e.opts.Log.Info("lease reached again", "holder", e.k.Holder())
		}
	}
}

// readNote learns the members from the first row that is seen: a process that
// starts while there is no coordinator knows its fraction from it.
func (e *election) readNote(ctx context.Context) {
	note := e.k.Note()
	if e.noted || len(note) == 0 {
		return
	}
	e.noted = true
	var former leaseNote
	if err := cbor.Unmarshal(note, &former); err != nil {
		e.opts.Log.Warn("note of the lease not readable", "error", err.Error())
		return
	}
	e.know(ctx, former.Members, MembersVersion{})
	for _, m := range former.Members {
		if m.Node == e.opts.Node {
			e.Desk.setFraction(m.Fraction)
		}
	}
}

// leaseNote is what a coordinator leaves to its successors.
type leaseNote struct {
	Members []Member `cbor:"1,keyasint"`
	// OrdersIn is in what time its first order was allowed.
	OrdersIn time.Duration `cbor:"2,keyasint,omitempty"`
}

// note is written with the lease. A node that does not hold it yet may have to
// wait for all of the time between two holders.
func (n *Node) note() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := leaseNote{
		Members:  n.members,
		OrdersIn: n.opts.LeaseWait,
	}
	if n.holds {
		out.OrdersIn = max(0, n.ordersFrom.Sub(n.opts.Clock.Now()))
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		// A note has only strings and numbers, which always encode.
		panic("lead: encode note: " + err.Error())
	}
	return b
}

// setLeader takes over who holds the lease, as of a version of its row.
func (n *Node) setLeader(address string, own bool, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version < n.since {
		return
	}
	n.since, n.holds = version, own
	if address == "" || address == n.leader {
		return
	}
	n.opts.Log.Info("coordinator known", "address", address, "before", n.leader, "version", version)
	n.leader = address
	n.hurry()
}

// deputiesOf names the members that stand in for the coordinator: the largest
// ones, and among equals the first by rendezvous hashing.
func deputiesOf(members []Member) []string {
	order := largestFirst(members, leaseKey)
	var out []string
	for _, m := range order[:min(deputies, len(order))] {
		out = append(out, m.Node)
	}
	return out
}

// largestFirst orders members by their capacity, and equals by rendezvous hashing
// for a purpose, so that all nodes agree.
func largestFirst(members []Member, purpose string) []Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		if a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		return cmp.Compare(rank.Score(purpose, b.Node), rank.Score(purpose, a.Node))
	})
	return order
}
