package coord

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/poison"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/store"
)

// leaseKey is the key of the coordinator's lease.
const leaseKey = "coordinator"

// runElection takes part in the election of the coordinator: it takes, renews
// and releases the lease.
func (n *Node) runElection(ctx context.Context) {
	keeper := lease.NewKeeper(n.opts.Rows, n.opts.Clock, lease.Settings{
		Key:           leaseKey,
		Holder:        n.opts.Address,
		Incarnation:   n.opts.Address + "/" + n.opts.Incarnation,
		Term:          n.opts.LeaseTerm,
		RenewInterval: n.opts.LeaseTerm / 3,
		ReclaimOwn:    true,
		Note:          n.encodeNote,
	})
	e := election{
		Node:   n,
		keeper: keeper,
	}
	if !sleep(ctx, n.firstElectionIn) {
		return
	}
	configWait := time.NewTimer(maxConfigWait)
	defer configWait.Stop()
	// A coordinator without a configuration issues no tokens, and keeps the other nodes from
	// admitting requests within their own fractions.
	select {
	case <-n.configured:
	case <-configWait.C:
	case <-ctx.Done():
		return
	}
	for {
		e.step(ctx)
		if !sleep(ctx, electionInterval) {
			return
		}
	}
}

// startDelay returns how long a node waits before it competes for the first time.
// It grows as the capacity shrinks, so that of nodes that start at the same time
// a larger one becomes the coordinator. It is spread by random, a number from 0 up
// to 1: by then most nodes of a large fleet have learned from others who
// coordinates, and need not read the lease.
func startDelay(capacity, random float64) time.Duration {
	shortfall := max(0, preferredCapacity-capacity) / preferredCapacity
	return time.Duration(shortfall * (float64(maxStartDelay) + random*float64(maxStartSpread)))
}

// election is this node's part in the election.
type election struct {
	*Node
	keeper           *lease.Keeper
	tenure           Tenure
	noteRead         bool // the note of the first row that was seen has been read
	coordinatorValid bool // whether the coordinator held the lease by its last report
	// coordinatorValidAt is when the coordinator last reported that it held the
	// lease, or when it sent its first report.
	coordinatorValidAt time.Time
	failed             bool
	era                int64 // of the last row, as logged
	// resigning is set while this node leaves the lease to a larger one;
	// resignedAt is when it began to.
	resigning  bool
	resignedAt time.Time
}

func (e *election) step(ctx context.Context) {
	now := e.opts.Clock.Now()
	competes := e.prepare(now)
	held := !e.tenure.Until.IsZero()
	event := lease.EventNone
	if competes && e.keeper.Next(now).Kind != lease.OpNone {
		bounded, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		ev, err := e.keeper.Step(bounded, e.opts.Clock.Now())
		cancel()
		event = ev.Kind
		e.logStoreState(err)
	}
	until := e.keeper.Until()
	switch {
	case !until.IsZero() && (!held || !e.keeper.Since().Equal(e.tenure.Since)):
		former, _, _ := strings.Cut(e.keeper.PreviousIncarnation(), "/")
		if !e.keeper.IsFormerKnown() {
			// The one that the copy of the store names may not be the last one.
			former = ""
		}
		e.tenure = Tenure{
			Since:  e.keeper.Since(),
			Fence:  e.keeper.Epoch(),
			First:  former == "" && e.keeper.IsFormerKnown(),
			Former: former,
		}
		e.tenure.OrdersFrom = e.ordersFrom(e.tenure, e.keeper.PreviousNote())
		e.mu.Lock()
		e.Node.ordersFrom = e.tenure.OrdersFrom
		e.mu.Unlock()
		if former != "" && former != e.opts.Address {
			go e.requestHandover(ctx, e.tenure)
		}
	case until.IsZero() && held:
		e.opts.Log.Info("lease ended", "event", string(event), "holder", e.keeper.Holder())
	}
	e.tenure.Until = until
	e.readNote(ctx)
	e.coord.post(ctx, tenureChanged{
		tenure: e.tenure,
	})
	now = e.opts.Clock.Now()
	e.logEra(event)
	e.mu.Lock()
	e.ownLease = nil
	if row, ok := e.keeper.Row(); ok {
		e.ownLease = &LeaseRow{
			Value:   row.Value,
			Version: row.Version,
			Valid:   e.keeper.Valid(now),
		}
	} else if !until.IsZero() {
		// The row is from a copy of the store, and not for others.
		e.ownLease = &LeaseRow{
			Valid: e.keeper.Valid(now),
		}
	}
	e.mu.Unlock()
	if _, ok := e.keeper.Row(); ok || e.keeper.Holder() != "" {
		e.setCoordinator(e.keeper.Holder(), !until.IsZero(), e.keeper.Version())
		return
	}
	// The holder is not known, for example from a copy of the store.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isCoordinator = !until.IsZero()
}

// ordersFrom returns when a tenure may send its first order, given the note of
// the previous lease row. If the previous holder was an earlier incarnation of
// this node, it sends no more orders, but the time that it still had to wait
// for the holder before it remains.
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

// maxHandoverAttempts is how often the request to resign is sent to the former
// holder.
const maxHandoverAttempts = 3

// requestHandover sends the former holder a request to resign. If it does, this
// node waits only as long as the former holder's last order to each engine
// requires, instead of the full lease wait.
func (n *Node) requestHandover(ctx context.Context, t Tenure) {
	for range maxHandoverAttempts {
		sent := n.opts.Clock.Now()
		x := n.newExchange(sent)
		x.TokenRequests, x.PlaceRequests, x.Resign = nil, nil, t.Fence
		r, err := n.send(ctx, t.Former, false, x)
		if err == nil && r.Handover != nil {
			// The times in the handover count from the receipt of the reply, which is
			// after the former holder computed them, so the wait is never too short.
			n.coord.post(ctx, handoverReceived{
				fence:    t.Fence,
				at:       n.opts.Clock.Now(),
				handover: r.Handover,
			})
			return
		}
		if !sleep(ctx, minExchangeInterval) {
			return
		}
	}
	n.opts.Log.Warn("former coordinator did not resign", "former", t.Former, "fence", t.Fence)
}

// prepare applies the lease that the coordinator last reported. It reports
// whether this node may call the store for the lease: to renew or release its
// own, or to compete for it.
func (e *election) prepare(now time.Time) bool {
	e.mu.Lock()
	leaving, reportedLease, coordinatorLost, isDeputy := e.leaving, e.coordinatorLease, e.coordinatorLost, e.isDeputy
	coordinatorSilent := now.Sub(e.coordinatorSeenAt)
	reached := coordinatorSilent < coordinatorSilentAfter && !e.coordinatorEnded
	storeAnswers := !e.storeAnsweringSince.IsZero() && now.Sub(e.storeAnsweringSince) > competeAfter && e.storeAge(now) < maxRelayedStoreAge
	e.coordinatorLease, e.coordinatorLost = nil, false
	e.mu.Unlock()
	if leaving || e.resignsToLarger(now) {
		if !e.keeper.Released() {
			e.keeper.Release()
		}
		return true
	}
	if !e.keeper.Until().IsZero() {
		return true
	}
	if reportedLease != nil {
		if reportedLease.Valid || e.coordinatorValidAt.IsZero() {
			e.coordinatorValidAt = now
		}
		e.coordinatorValid = reportedLease.Valid
	}
	if reportedLease != nil && reportedLease.Valid && len(reportedLease.Value) > 0 {
		row := store.Row{
			Key:     leaseKey,
			Value:   reportedLease.Value,
			Version: reportedLease.Version,
		}
		if _, err := e.keeper.ApplyRow(now, row); err != nil {
			e.opts.Log.Warn("lease row of the coordinator cannot be decoded", "error", err.Error())
		}
	}
	if coordinatorLost {
		e.keeper.ReadNow()
	}
	if reached {
		return !e.coordinatorValid && storeAnswers && (isDeputy || now.Sub(e.coordinatorValidAt) > electionDelayTerms*e.opts.LeaseTerm)
	}
	return isDeputy || coordinatorSilent > electionDelayTerms*e.opts.LeaseTerm
}

// resignsToLarger reports whether this node leaves the lease to a larger node.
// It competes again handoverDelay after it began to, once the lease is released.
func (e *election) resignsToLarger(now time.Time) bool {
	if e.resigning {
		if e.keeper.Released() && now.Sub(e.resignedAt) > handoverDelay {
			e.keeper.Resume()
			e.resigning = false
		}
		return e.resigning
	}
	if e.keeper.Until().IsZero() || now.Sub(e.keeper.Since()) < handoverDelay || e.opts.Capacity >= preferredCapacity {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigning = slices.ContainsFunc(e.members, func(m Member) bool { return m.Capacity >= preferredCapacity })
	if e.resigning {
		e.resignedAt = now
		e.opts.Log.Info("lease left to a larger node", "capacity", e.opts.Capacity, "members", len(e.members))
	}
	return e.resigning
}

// logEra logs what the first row of a new era of the store means for this node.
func (e *election) logEra(event lease.EventKind) {
	era := store.Era(e.keeper.Version())
	if era == e.era {
		return
	}
	e.opts.Log.Info("lease in a new era of the store", "era", era, "before", e.era, "holder", e.keeper.Holder(),
		"held", !e.tenure.Until.IsZero(), "event", string(event), "known-former", e.keeper.IsFormerKnown())
	e.era = era
}

func (e *election) logStoreState(err error) {
	if failed := err != nil; failed != e.failed {
		e.failed = failed
		if failed {
			e.opts.Log.Warn("lease not reached", "error", err.Error())
		} else {
			e.opts.Log.Info("lease reached again", "holder", e.keeper.Holder())
		}
	}
}

// readNote takes the members from the note of the first lease row that is seen,
// so that a process that starts while there is no coordinator knows its fraction
// of the rates.
func (e *election) readNote(ctx context.Context) {
	note := e.keeper.Note()
	if e.noteRead || len(note) == 0 {
		return
	}
	e.noteRead = true
	var former leaseNote
	if err := cbor.Unmarshal(note, &former); err != nil {
		e.opts.Log.Warn("lease note cannot be decoded", "error", err.Error())
		return
	}
	if err := poison.ValidateAll(former.Parts); err != nil {
		e.opts.Log.Warn("evidence in the lease note not usable", "error", err.Error())
	} else {
		e.opts.Parts.Merge(e.opts.Clock.Now(), former.Parts)
	}
	e.setMembers(ctx, former.Members, MembersVersion{})
	for _, m := range former.Members {
		if m.Node == e.opts.Node {
			e.setFraction(m.Fraction)
		}
	}
}

// leaseNote is stored with the lease row for later holders of the lease.
type leaseNote struct {
	Members []Member `cbor:"1,keyasint"`
	// OrdersIn is how long the holder still had to wait before its first order
	// when it wrote the note.
	OrdersIn time.Duration `cbor:"2,keyasint,omitempty"`
	// Parts is the evidence against parts of prompts, for processes that start after all
	// others have ended.
	Parts []poison.Evidence `cbor:"3,keyasint,omitempty"`
}

// encodeNote returns the note to write with the lease row. A node that does not
// hold the lease yet notes the full wait between the orders of two holders.
func (n *Node) encodeNote() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := leaseNote{
		Members:  n.members,
		OrdersIn: n.opts.LeaseWait,
		Parts:    n.opts.Parts.ShareStrong(n.opts.Clock.Now(), maxReplyParts),
	}
	if n.isCoordinator {
		out.OrdersIn = max(0, n.ordersFrom.Sub(n.opts.Clock.Now()))
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		// A note consists of strings and numbers only, which always encode.
		panic("coord: encode note: " + err.Error())
	}
	return b
}

// setCoordinator sets the holder of the lease as of a version of its row. Older
// versions than the known one are ignored.
func (n *Node) setCoordinator(address string, own bool, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version < n.leaseVersion {
		return
	}
	n.leaseVersion, n.isCoordinator = version, own
	if address == "" || address == n.coordinatorAddress {
		return
	}
	n.opts.Log.Info("coordinator known", "address", address, "before", n.coordinatorAddress, "version", version)
	n.coordinatorAddress = address
	n.requestExchange()
}

// deputiesOf returns the names of the members that may replace the coordinator
// first: those with the largest capacity, ties ordered by rendezvous hashing.
func deputiesOf(members []Member) []string {
	order := largestFirst(members, leaseKey)
	var out []string
	for _, m := range order[:min(deputyCount, len(order))] {
		out = append(out, m.Node)
	}
	return out
}

// largestFirst sorts members by descending capacity. Ties are ordered by
// rendezvous hashing of the purpose, so that all nodes compute the same order.
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
