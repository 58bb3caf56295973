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
	// orderTimeout bounds the sending of an order; its effect is asked for later.
	orderTimeout = 2 * time.Second
	// reportEvery is how often a node reports its demand.
	reportEvery = time.Second
	// urgentGap bounds how often requests that wait for a model cause a report.
	urgentGap = 100 * time.Millisecond
	// fetchEvery is how often a planner asks the planners of other domains.
	fetchEvery = 2 * time.Second
	// loadEvery is how often a node reads the loads of its part of the endpoints.
	loadEvery = time.Second
	// standInAfter is how long the table and the planner are silent before a
	// relay plans without a lease.
	standInAfter = leaseTerm + leaseTerm/10
)

// stepLease sends the lease's next request. Relays are the candidates, so that
// two nodes of each domain read the row and not all of them.
func (l *loop) stepLease(now time.Time) {
	if ev := l.lease.Lapse(now); ev.Kind != lease.EventNone {
		l.noteLease(ev)
	}
	if l.drained != nil && l.lease.Released() {
		close(l.drained)
		l.drained = nil
	}
	candidate := l.peers.IsRelay() && !l.leaving || l.lease.Valid(now) || l.drained != nil
	if l.leaseBusy || !candidate || now.Before(l.leaseDue) {
		return
	}
	op := l.lease.Next(now)
	if op.Kind == lease.OpNone {
		return
	}
	l.lease.Sent(op, now)
	l.leaseBusy = true
	l.spawn(time.Duration(l.node.set.Platform.Timeout), func(ctx context.Context) message {
		key := "lease/place/" + l.node.set.Node.Domain
		done := leased{
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

// leased is the outcome of a request for the lease.
type leased struct {
	op  lease.Op
	row store.Row
	err error
}

func (m leased) handle(l *loop) {
	l.leaseBusy = false
	now := l.node.clock.Now()
	ev, err := l.lease.Answer(m.op, now, m.row, m.err)
	if err != nil {
		l.leaseDue = now.Add(leaseRenew / 3)
	}
	if ev.Kind != lease.EventNone {
		l.noteLease(ev)
	}
}

func (l *loop) noteLease(ev lease.Event) {
	reason := audit.LeaseTaken
	switch ev.Kind {
	case lease.EventLost, lease.EventLapsed:
		reason = audit.LeaseLost
	case lease.EventGiven:
		reason = audit.LeaseGivenBack
	}
	l.record(audit.Event{
		Reason: reason,
		Domain: l.node.set.Node.Domain,
		Node:   l.node.set.Node.Name,
	})
}

// planner names the planner of the own domain, "" while none is known.
func (l *loop) planner() string {
	now := l.node.clock.Now()
	if l.authority(now) != (place.Authority{}) {
		return l.node.set.Node.Name
	}
	if l.peers.IsRelay() && l.lease.Holder() != "" && !l.failing {
		return l.lease.Holder()
	}
	return l.planners[l.node.set.Node.Domain]
}

// authority is what allows this node to give orders now.
func (l *loop) authority(now time.Time) place.Authority {
	if l.lease.Valid(now) {
		l.standIn = place.Authority{}
		return place.Authority{
			Until: l.lease.Until(),
			Since: l.lease.Since(),
			Epoch: l.lease.Epoch(),
		}
	}
	return l.standInAuthority(now)
}

// standInAuthority lets the first relay plan while the table answers nobody and
// the planner is gone. Only endpoints that check fencing tokens are ordered.
func (l *loop) standInAuthority(now time.Time) place.Authority {
	own := l.node.set.Node
	first := ""
	if relays := l.peers.Relays(own.Domain); len(relays) > 0 {
		first = relays[0].Name
	}
	// The last read of any node that this one heard of.
	since := l.view.AsOf()
	down := l.failing && !since.IsZero() && now.Sub(since) > standInAfter
	if l.leaving || !down || first != own.Name {
		l.standIn = place.Authority{}
		return l.standIn
	}
	if l.standIn == (place.Authority{}) {
		epoch := l.lease.Epoch()
		if held := l.layouts[own.Domain]; held != nil {
			epoch = max(epoch, held.Term.Counter)
		}
		l.standIn = place.Authority{
			Since:  now,
			Epoch:  epoch + 1,
			Outage: since,
		}
	}
	l.standIn.Until = now.Add(leaseTerm)
	return l.standIn
}

// stepManager runs the placement state machine while this node may give orders.
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
		l.carryOut(a)
	}
	l.noteMoves()
	l.takeLayout(l.manager.Layout())
}

func (l *loop) noteMoves() {
	for _, r := range l.manager.TakeRecords() {
		l.node.stats.Inc(stats.PlaceMoves)
		l.record(moveEvent(r))
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
	case place.ReasonAdapterGo:
		e.Reason = audit.AdapterEvicted
	}
	if !r.Done {
		e.Reason = audit.MoveFailed
	}
	return e
}

// carryOut hands an action of the manager to a worker.
func (l *loop) carryOut(a place.Action) {
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
			return stateRead{
				Endpoint: a.Endpoint,
				Asked:    a.Asked,
				State:    st,
				Err:      err,
			}
		})
	case place.ReadOrder:
		address := endpointAddress(cfg, a.Endpoint)
		l.spawn(orderTimeout, func(ctx context.Context) message {
			st, err := l.node.engines.OrderStatus(ctx, address, a.ID)
			return orderRead{
				Endpoint: a.Endpoint,
				ID:       a.ID,
				Status:   st,
				Err:      err,
			}
		})
	}
}

func (l *loop) sendOrder(ctx context.Context, address string, a place.SendOrder) message {
	out := orderRead{
		Endpoint: a.Endpoint,
		ID:       a.Order.ID,
	}
	// A paused process may come here after the order's deadline.
	if !l.node.clock.Now().Before(a.Order.Deadline) {
		out.Err = errors.New("node: order not sent after its deadline")
		return out
	}
	out.Status, out.Err = l.node.engines.Order(ctx, address, a.Order)
	var refused *engine.StatusError
	if errors.As(out.Err, &refused) {
		out.Refused = refused.Code
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

// stateRead is an endpoint's state for the manager.
type stateRead place.StateResult

func (m stateRead) handle(l *loop) {
	l.inputs.States = append(l.inputs.States, place.StateResult(m))
}

// orderRead is an endpoint's word on an order for the manager.
type orderRead place.OrderResult

func (m orderRead) handle(l *loop) {
	l.inputs.Orders = append(l.inputs.Orders, place.OrderResult(m))
}

// takeLayout hands a layout that changed to routing.
func (l *loop) takeLayout(next place.Layout) {
	held := l.layouts[next.Domain]
	if held != nil && held.Term == next.Term && held.Seq == next.Seq {
		return
	}
	l.layouts[next.Domain] = &next
	l.node.routes.SetLayout(next)
	l.node.board.layoutChanged()
}
