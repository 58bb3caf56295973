package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/internal/wire"
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

// reporter follows the exchange with the planners.
type reporter struct {
	due     time.Time
	busy    bool
	last    time.Time
	seq     int64
	fetched time.Time
}

// stepReport exchanges demand and layouts with the planner of the domain. The
// planner itself asks the planners of the other domains.
func (l *loop) stepReport(now time.Time) {
	if l.report.busy || now.Before(l.report.due) || now.Sub(l.report.last) < urgentGap {
		return
	}
	planner := l.planner()
	if planner == "" {
		return
	}
	l.report.last = now
	l.report.due = now.Add(reportEvery)
	l.report.seq++
	report := &place.DemandReport{
		Node:        l.node.set.Node.Name,
		Incarnation: incarnationText(l.node.inc),
		Seq:         l.report.seq,
	}
	l.node.board.take(report)
	if planner == l.node.set.Node.Name {
		l.takeReport(*report)
		l.fetchLayouts(now)
		return
	}
	if held := l.layouts[l.node.set.Node.Domain]; held != nil {
		report.LayoutTerm, report.LayoutSeq = held.Term, held.Seq
	}
	l.exchange(l.node.set.Node.Domain, planner, &wire.DemandRequest{
		Domain: l.node.set.Node.Domain,
		Report: report,
		Held:   l.marksOf(),
		Loads:  l.ownLoads(now),
	})
}

// takeReport hands a report of the domain to the manager. What requests wait for
// and only another domain can provide is passed on.
func (l *loop) takeReport(r place.DemandReport) {
	l.inputs.Reports = append(l.inputs.Reports, r)
	own := l.node.set.Node.Domain
	for _, w := range r.Waiting {
		if w.Adapter == "" && !l.canHold(w.Model, own) || w.Adapter != "" && !l.holds(w.Model, own) {
			l.foreign[wantKey{model: w.Model, adapter: w.Adapter}] = w
		}
	}
}

// holds reports whether a domain has the model ready.
func (l *loop) holds(model, domain string) bool {
	held := l.layouts[domain]
	if held == nil {
		return false
	}
	return slices.ContainsFunc(held.Endpoints, func(e place.EndpointLayout) bool {
		return slices.ContainsFunc(e.Models, func(m place.ModelLayout) bool {
			return m.Model == model && m.Ready
		})
	})
}

// canHold reports whether an endpoint of the domain could be given the model.
func (l *loop) canHold(model, domain string) bool {
	cfg := l.view.Config()
	i := slices.IndexFunc(cfg.Models, func(m spec.Model) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	m := cfg.Models[i]
	return slices.ContainsFunc(cfg.Endpoints, func(e spec.Endpoint) bool {
		return e.Domain == domain && e.Service == m.Service && e.MemoryMiB >= m.MemoryMiB &&
			!l.gone[e.Name] && !l.loads[e.Name].Leaving
	})
}

// foreignReport is what the planner of another domain is asked for. Each want
// goes to one domain that can meet it.
func (l *loop) foreignReport(domain string) *place.DemandReport {
	own := l.node.set.Node
	var report *place.DemandReport
	for key, w := range l.foreign {
		can := l.canHold
		if w.Adapter != "" {
			can = l.holds
		}
		var able []string
		for d := range l.planners {
			if d != own.Domain && can(w.Model, d) {
				able = append(able, d)
			}
		}
		if rank.First("model/"+w.Model, able) != domain {
			continue
		}
		if report == nil {
			l.report.seq++
			report = &place.DemandReport{
				Node:        own.Name,
				Incarnation: incarnationText(l.node.inc),
				Seq:         l.report.seq,
			}
		}
		report.Waiting = append(report.Waiting, w)
		delete(l.foreign, key)
	}
	return report
}

func (l *loop) marksOf() []wire.LayoutMark {
	out := make([]wire.LayoutMark, 0, len(l.layouts))
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		held := l.layouts[name]
		out = append(out, wire.LayoutMark{
			Domain: name,
			Term:   held.Term,
			Seq:    held.Seq,
		})
	}
	return out
}

// fetchLayouts asks the planners of the other domains for their layouts.
func (l *loop) fetchLayouts(now time.Time) {
	if now.Sub(l.report.fetched) < fetchEvery {
		return
	}
	l.report.fetched = now
	for domain, planner := range l.planners {
		if domain == l.node.set.Node.Domain {
			continue
		}
		req := &wire.DemandRequest{
			Domain: l.node.set.Node.Domain,
			Report: l.foreignReport(domain),
		}
		if held := l.layouts[domain]; held != nil {
			req.Held = []wire.LayoutMark{{
				Domain: domain,
				Term:   held.Term,
				Seq:    held.Seq,
			}}
		}
		l.exchange(domain, planner, req)
	}
}

// exchange sends one message to a planner.
func (l *loop) exchange(domain, planner string, req *wire.DemandRequest) {
	p, ok := l.peers.Lookup(domain, planner)
	if !ok {
		return
	}
	if domain == l.node.set.Node.Domain {
		l.report.busy = true
	}
	l.spawn(callTimeout, func(ctx context.Context) message {
		reply, err := l.node.wire.Demand(ctx, p.Address, req)
		return exchanged{
			domain: domain,
			req:    req,
			reply:  reply,
			err:    err,
		}
	})
}

// exchanged is the outcome of a message to a planner.
type exchanged struct {
	domain string
	req    *wire.DemandRequest
	reply  *wire.DemandReply
	err    error
}

func (m exchanged) handle(l *loop) {
	if m.domain == l.node.set.Node.Domain {
		l.report.busy = false
	}
	if m.err != nil || !m.reply.Planner {
		delete(l.planners, m.domain)
		return
	}
	for _, r := range m.reply.Layouts {
		next := place.Layout{}
		if held := l.layouts[r.Domain]; held != nil {
			next = *held
		}
		if err := next.Apply(r); err != nil {
			// The next exchange asks for the whole layout.
			klog.V(1).InfoS("Layout not applied", "domain", r.Domain, "error", err.Error())
			delete(l.layouts, r.Domain)
			continue
		}
		l.takeLayout(next)
	}
	now := l.node.clock.Now()
	for _, load := range m.reply.Loads {
		l.takeLoad(now, load)
	}
}

// demanded is a message to this node as a planner.
type demanded struct {
	req   *wire.DemandRequest
	reply chan<- *wire.DemandReply
}

func (m demanded) handle(l *loop) {
	now := l.node.clock.Now()
	out := &wire.DemandReply{
		Planner: l.authority(now) != (place.Authority{}),
	}
	if !out.Planner {
		m.reply <- out
		return
	}
	own := l.node.set.Node.Domain
	held := make(map[string]wire.LayoutMark, len(m.req.Held))
	for _, h := range m.req.Held {
		held[h.Domain] = h
	}
	if h := held[own]; true {
		out.Layouts = append(out.Layouts, l.manager.Reply(h.Term, h.Seq))
	}
	if m.req.Domain != own && m.req.Report != nil {
		// A domain that cannot hold a model asks for it here.
		l.inputs.Reports = append(l.inputs.Reports, *m.req.Report)
	}
	if m.req.Domain == own {
		if m.req.Report != nil {
			l.takeReport(*m.req.Report)
		}
		out.Layouts = append(out.Layouts, l.otherLayouts(held)...)
		for _, load := range m.req.Loads {
			l.takeLoad(now, load)
		}
		out.Loads = l.allLoads(now)
	}
	m.reply <- out
}

// otherLayouts returns the layouts of other domains that differ from the held ones.
func (l *loop) otherLayouts(held map[string]wire.LayoutMark) []place.LayoutReply {
	var out []place.LayoutReply
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		have := l.layouts[name]
		if h := held[name]; name == l.node.set.Node.Domain || h.Term == have.Term && h.Seq == have.Seq {
			continue
		}
		out = append(out, place.LayoutReply{
			Domain:  name,
			Term:    have.Term,
			Seq:     have.Seq,
			Full:    true,
			Changed: have.Endpoints,
			Demand:  have.Demand,
		})
	}
	return out
}

// stepLoads reads the load reports of this node's part of the domain's model
// endpoints, so that each endpoint is asked by one node.
func (l *loop) stepLoads(now time.Time) {
	if now.Before(l.loadDue) {
		return
	}
	l.loadDue = now.Add(loadEvery)
	cfg := l.view.Config()
	local := l.peers.Local()
	for _, e := range cfg.Endpoints {
		if e.Domain != l.node.set.Node.Domain || e.MemoryMiB == 0 || l.loadBusy[e.Name] {
			continue
		}
		if rank.First("load/"+e.Name, local) != l.node.set.Node.Name {
			continue
		}
		l.loadBusy[e.Name] = true
		name, address, after := e.Name, e.Address, l.cacheSeq[e.Name]
		l.spawn(callTimeout, func(ctx context.Context) message {
			load, err := l.node.engines.Load(ctx, address)
			out := loadRead{
				endpoint: name,
				load:     load,
				err:      err,
			}
			if err == nil {
				// Without the events routing falls back to its own guesses.
				out.events, _ = l.node.engines.CacheEvents(ctx, address, after)
			}
			return out
		})
	}
}

// loadRead is a load report with cache events.
type loadRead struct {
	endpoint string
	load     engine.Load
	events   []engine.CacheEvent
	err      error
}

func (m loadRead) handle(l *loop) {
	l.loadBusy[m.endpoint] = false
	if m.err != nil {
		return
	}
	now := l.node.clock.Now()
	if n := len(m.events); n > 0 {
		l.cacheSeq[m.endpoint] = m.events[n-1].Seq
		l.node.routes.CacheEvents(now, m.endpoint, m.events)
	}
	l.takeLoad(now, wire.EndpointLoad{
		Endpoint:        m.endpoint,
		Running:         m.load.Running,
		Queued:          m.load.Queued,
		TokensPerSecond: int64(m.load.TokensPerSecond),
		Age:             max(0, time.Since(m.load.Sampled)),
		Leaving:         m.load.Leaving,
	})
}

// takeLoad takes over a report unless a newer one is held.
func (l *loop) takeLoad(now time.Time, load wire.EndpointLoad) {
	at := now.Add(-load.Age)
	if !at.After(l.loadAt[load.Endpoint]) {
		return
	}
	l.loadAt[load.Endpoint] = at
	l.loads[load.Endpoint] = load
	l.node.routes.SetLoad(now, load.Endpoint, engine.Load{
		Running:         load.Running,
		Queued:          load.Queued,
		TokensPerSecond: float64(load.TokensPerSecond),
		Sampled:         at,
		Leaving:         load.Leaving,
	})
}

// loadAge is how old a load report may be to be passed on.
const loadAge = 5 * time.Second

// ownLoads are the reports that this node read itself.
func (l *loop) ownLoads(now time.Time) []wire.EndpointLoad {
	local := l.peers.Local()
	return l.pickLoads(now, func(name string) bool {
		return rank.First("load/"+name, local) == l.node.set.Node.Name
	})
}

func (l *loop) allLoads(now time.Time) []wire.EndpointLoad {
	return l.pickLoads(now, func(string) bool { return true })
}

func (l *loop) pickLoads(now time.Time, want func(string) bool) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for name, load := range l.loads {
		age := now.Sub(l.loadAt[name])
		if age > loadAge || !want(name) {
			continue
		}
		load.Age = age
		out = append(out, load)
	}
	return out
}
