package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	leaseTerm  = 10 * time.Second
	leaseRenew = 3 * time.Second
	// orderTimeout bounds the sending of an order. Its result is read later.
	orderTimeout = 2 * time.Second
	// reportEvery is how often a node reports its demand.
	reportEvery = time.Second
	// minReportGap is the minimum time between two reports, also when requests
	// that begin to wait for a model trigger them.
	minReportGap = 100 * time.Millisecond
	// fetchEvery is how often a planner fetches the layouts of other domains.
	fetchEvery = 2 * time.Second
	// loadEvery is how often a node reads the load reports of its assigned
	// endpoints.
	loadEvery = time.Second
	// outageAuthorityAfter is how long the table must have been unreachable
	// before a relay acts as planner without a lease. It is the lease term plus
	// a tenth.
	outageAuthorityAfter = leaseTerm + leaseTerm/10
)

// stepLease sends the next request of the lease protocol. Only relays are
// candidates, so that two nodes of each domain read the row instead of all of
// them.
func (l *loop) stepLease(now time.Time) {
	if ev := l.lease.CheckExpired(now); ev.Kind != lease.EventNone {
		l.recordLease(ev)
	}
	if l.leaseReleased != nil && l.lease.Released() {
		close(l.leaseReleased)
		l.leaseReleased = nil
	}
	candidate := l.peers.IsRelay() && !l.leaving || l.lease.Valid(now) || l.leaseReleased != nil
	if l.leaseInFlight || !candidate || now.Before(l.leaseDue) {
		return
	}
	op := l.lease.Next(now)
	if op.Kind == lease.OpNone {
		return
	}
	l.lease.MarkSent(op, now)
	l.leaseInFlight = true
	l.spawn(time.Duration(l.node.settings.Platform.Timeout), func(ctx context.Context) message {
		key := "lease/place/" + l.node.settings.Node.Domain
		done := leaseDone{
			op: op,
		}
		switch op.Kind {
		case lease.OpInsert:
			done.row, done.err = l.node.store.Insert(ctx, key, op.Value)
		case lease.OpUpdate:
			done.row, done.err = l.node.store.Update(ctx, key, op.Value, op.Version)
		default:
			done.row, done.err = l.node.store.Get(ctx, key)
		}
		return done
	})
}

// leaseDone is the outcome of a lease request to the table.
type leaseDone struct {
	op  lease.Op
	row store.Row
	err error
}

func (m leaseDone) handle(l *loop) {
	l.leaseInFlight = false
	now := l.node.clock.Now()
	ev, err := l.lease.HandleResult(m.op, now, m.row, m.err)
	if err != nil {
		l.leaseDue = now.Add(leaseRenew / 3)
	}
	if ev.Kind != lease.EventNone {
		l.recordLease(ev)
	}
}

func (l *loop) recordLease(ev lease.Event) {
	reason := audit.LeaseTaken
	switch ev.Kind {
	case lease.EventLost, lease.EventExpired:
		reason = audit.LeaseLost
	case lease.EventReleased:
		reason = audit.LeaseGivenBack
	}
	l.recordEvent(audit.Event{
		Reason: reason,
		Domain: l.node.settings.Node.Domain,
		Node:   l.node.settings.Node.Name,
	})
}

// planner returns the name of the own domain's planner, "" if none is known.
func (l *loop) planner() string {
	now := l.node.clock.Now()
	if l.authority(now) != (place.Authority{}) {
		return l.node.settings.Node.Name
	}
	if l.peers.IsRelay() && l.lease.Holder() != "" && !l.platformDown {
		return l.lease.Holder()
	}
	return l.planners[l.node.settings.Node.Domain]
}

// authority returns the authority of this node to send orders at now: that of
// its lease, or the outage authority; the zero value means none.
func (l *loop) authority(now time.Time) place.Authority {
	if l.lease.Valid(now) {
		l.outageAuth = place.Authority{}
		return place.Authority{
			Until: l.lease.Until(),
			Since: l.lease.Since(),
			Epoch: l.lease.Epoch(),
		}
	}
	return l.outageAuthority(now)
}

// outageAuthority lets the first relay act as planner once the table has been
// unreachable for longer than outageAuthorityAfter. It sends orders only to
// endpoints that check fencing tokens.
func (l *loop) outageAuthority(now time.Time) place.Authority {
	own := l.node.settings.Node
	first := ""
	if relays := l.peers.Relays(own.Domain); len(relays) > 0 {
		first = relays[0].Name
	}
	// The time of the latest successful table read by any node, as far as this
	// node knows.
	since := l.view.AsOf()
	down := l.platformDown && !since.IsZero() && now.Sub(since) > outageAuthorityAfter
	if l.leaving || !down || first != own.Name {
		l.outageAuth = place.Authority{}
		return l.outageAuth
	}
	if l.outageAuth == (place.Authority{}) {
		epoch := l.lease.Epoch()
		if held := l.layouts[own.Domain]; held != nil {
			epoch = max(epoch, held.Term.Counter)
		}
		l.outageAuth = place.Authority{
			Since:       now,
			Epoch:       epoch + 1,
			OutageSince: since,
		}
	}
	l.outageAuth.Until = now.Add(leaseTerm)
	return l.outageAuth
}

// stepManager steps the placement state machine. Without authority it passes
// only the configuration.
func (l *loop) stepManager(now time.Time) {
	auth := l.authority(now)
	l.inputs.Authority = auth
	if auth == (place.Authority{}) {
		l.inputs.States, l.inputs.Orders, l.inputs.Reports = nil, nil, nil
		l.manager.Step(now, place.Inputs{
			Config: l.inputs.Config,
		})
		l.inputs.Config = nil
		return
	}
	if !now.Before(l.remoteDue) {
		l.remoteDue = now.Add(time.Second)
		l.inputs.Remote = l.node.routes.Remote()
	}
	in := l.inputs
	l.inputs = place.Inputs{}
	for _, a := range l.manager.Step(now, in) {
		l.execute(a)
	}
	l.recordMoves()
	l.setLayout(l.manager.Layout())
}

func (l *loop) recordMoves() {
	for _, r := range l.manager.TakeRecords() {
		l.node.stats.Inc(stats.PlaceMoves)
		l.recordEvent(moveEvent(r))
	}
}

func moveEvent(r place.MoveRecord) audit.Event {
	e := audit.Event{
		Reason:   audit.MoveDemand,
		Model:    r.Item.Model,
		Endpoint: r.Endpoint,
		Other:    r.Item.Adapter,
	}
	switch r.Reason {
	case place.ReasonCoverage, place.ReasonInitial:
		e.Reason = audit.MoveCoverage
	case place.ReasonOnDemand:
		e.Reason = audit.MoveOnDemand
	case place.ReasonObsolete, place.ReasonMemory:
		e.Reason = audit.MoveUnloaded
	case place.ReasonRole:
		e.Reason = audit.RoleChanged
	case place.ReasonAdapter:
		e.Reason = audit.AdapterLoaded
	case place.ReasonAdapterEvicted:
		e.Reason = audit.AdapterEvicted
	}
	if !r.Done {
		e.Reason = audit.MoveFailed
	}
	return e
}

// execute runs an action of the placement manager in a worker.
func (l *loop) execute(a place.Action) {
	cfg := l.view.Config()
	switch a := a.(type) {
	case place.SendOrder:
		address := endpointAddress(cfg, a.Endpoint)
		l.node.stats.Inc(stats.PlaceOrders)
		l.spawn(orderTimeout, func(ctx context.Context) message {
			return l.sendOrder(ctx, address, a)
		})
	case place.ReadState:
		address := endpointAddress(cfg, a.Endpoint)
		l.spawn(orderTimeout, func(ctx context.Context) message {
			st, err := l.node.engines.State(ctx, address)
			return stateDone{
				Endpoint:    a.Endpoint,
				RequestedAt: a.RequestedAt,
				State:       st,
				Err:         err,
			}
		})
	case place.ReadOrder:
		address := endpointAddress(cfg, a.Endpoint)
		l.spawn(orderTimeout, func(ctx context.Context) message {
			st, err := l.node.engines.OrderStatus(ctx, address, a.ID)
			return orderDone{
				Endpoint: a.Endpoint,
				ID:       a.ID,
				Status:   st,
				Err:      err,
			}
		})
	}
}

func (l *loop) sendOrder(ctx context.Context, address string, a place.SendOrder) message {
	out := orderDone{
		Endpoint: a.Endpoint,
		ID:       a.Order.ID,
	}
	// A process that was paused may reach this point after the deadline.
	if !l.node.clock.Now().Before(a.Order.Deadline) {
		out.Err = errors.New("node: order not sent after its deadline")
		return out
	}
	out.Status, out.Err = l.node.engines.Order(ctx, address, a.Order)
	var refused *engine.StatusError
	if errors.As(out.Err, &refused) {
		out.ErrorCode = refused.Code
		out.Err = nil
	}
	if out.Err != nil {
		l.node.stats.Inc(stats.PlaceOrdersFailed)
	}
	return out
}

func endpointAddress(cfg *spec.Config, name string) string {
	i := slices.IndexFunc(cfg.Endpoints, func(e spec.Endpoint) bool { return e.Name == name })
	if i < 0 {
		return ""
	}
	return cfg.Endpoints[i].Address
}

// stateDone is the outcome of reading an endpoint's state, for the manager.
type stateDone place.StateResult

func (m stateDone) handle(l *loop) {
	l.inputs.States = append(l.inputs.States, place.StateResult(m))
}

// orderDone is the outcome of sending an order or reading its status, for the
// manager.
type orderDone place.OrderResult

func (m orderDone) handle(l *loop) {
	l.inputs.Orders = append(l.inputs.Orders, place.OrderResult(m))
}

// setLayout stores a layout that has changed and passes it to routing and to
// waiting requests.
func (l *loop) setLayout(next place.Layout) {
	held := l.layouts[next.Domain]
	if held != nil && held.Term == next.Term && held.Seq == next.Seq {
		return
	}
	l.layouts[next.Domain] = &next
	l.node.routes.SetLayout(next)
	l.node.demand.notifyLayoutChanged()
}
