package lead

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/depot"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

const (
	// tick is how often the coordinator looks at what is due.
	tick = 20 * time.Millisecond
	// reportEvery is the time between two reports of an engine.
	reportEvery = 300 * time.Millisecond
	// reportTimeout is when a report counts as lost, orderTimeout an answer to an order.
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 1200 * time.Millisecond
	// adapterSettle is how long a loaded adapter takes to be usable: the longest
	// usual load of an adapter and the way of the order.
	adapterSettle = 14 * time.Millisecond
	// fetchTimeout is how long a wait for an adapter lasts at the coordinator.
	fetchTimeout = 550 * time.Millisecond
	// memberGone is when a silent node no longer holds a fraction. It is above the
	// longest cut that is expected, because a node that is cut off keeps admitting.
	memberGone = 25 * time.Second
	// orderMargin is how long before the end of its lease a coordinator stops
	// giving orders; the order must arrive within the lease.
	orderMargin = 300 * time.Millisecond
)

// Tenure is a holding of the coordinator's lease.
type Tenure struct {
	// Until is the end of its validity, zero when it is not held.
	Until time.Time
	// Since is when it began.
	Since time.Time
	// Fence is larger than that of every earlier tenure.
	Fence int64
	// First tells that nobody held the lease before.
	First bool
	// Former is the address of the node that held it before.
	Former string
}

type member struct {
	Member
	incarnation string
	heard       time.Time
	waiting     []depot.Waiting
	running     []depot.Running
}

// Coordinator is the state of the node that holds the lease. All of it belongs
// to the goroutine of run.
type Coordinator struct {
	node      string
	address   string
	clock     clock.Clock
	engines   Engines
	log       *slog.Logger
	head      float64
	leaseWait time.Duration
	inbox     chan message

	config *fleet.Config
	list   []fleet.Endpoint
	tenure Tenure
	active bool
	// resigned is the highest fence of another holder that asked to resign.
	resigned int64
	members  map[string]*member
	issuer   *grant.Issuer
	depot    *depot.Depot
	reports  map[fleet.Key]*polled
	fetches  []*fetch
	// seq numbers changes that nodes are told of; memberSeq is that of the last
	// change of the members, and engineCount numbers the engines.
	// short is when it was last noted that a workspace had no tokens.
	short       map[string]time.Time
	seq         int64
	memberSeq   int64
	engineCount int
}

type polled struct {
	number   int
	stateSeq int64 // of the last change of the state
	endpoint fleet.Endpoint
	report   fleet.Report
	asked    time.Time // of the newest report
	next     time.Time
	asking   bool
	failed   bool
}

type fetch struct {
	Fetch
	by    time.Time
	reply chan<- Fetched
}

// message is something that the coordinator's goroutine has to deal with.
type message interface {
	apply(ctx context.Context, c *Coordinator, now time.Time)
}

type configChanged struct{ config *fleet.Config }

type endpointsChanged struct{ list []fleet.Endpoint }

type tenureChanged struct{ tenure Tenure }

type membersKnown struct{ list []Member }

type exchanged struct {
	x     *Exchange
	reply chan<- Reply
}

type reported struct {
	key   fleet.Key
	asked time.Time
	took  time.Duration
	r     fleet.Report
	err   error
}

type ordered struct {
	order  depot.Order
	answer depot.Answer
	err    error
}

func newCoordinator(o Options) *Coordinator {
	return &Coordinator{
		node:      o.Node,
		address:   o.Address,
		clock:     o.Clock,
		engines:   o.Engines,
		log:       o.Log,
		head:      o.QuotaHead,
		leaseWait: o.LeaseWait,
		inbox:     make(chan message, 256),
		members:   make(map[string]*member),
		short:     make(map[string]time.Time),
		reports:   make(map[fleet.Key]*polled),
	}
}

func (c *Coordinator) run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case m := <-c.inbox:
			m.apply(ctx, c, c.clock.Now())
		case <-t.C:
			if c.active {
				c.step(ctx, c.clock.Now())
			}
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) post(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

func (m configChanged) apply(_ context.Context, c *Coordinator, now time.Time) {
	c.config = m.config
	if c.active {
		c.issuer.SetLimits(now, Limits(c.config))
		c.depot.SetConfig(now, c.config)
		c.setEndpoints()
	}
}

func (m endpointsChanged) apply(_ context.Context, c *Coordinator, _ time.Time) {
	c.list = m.list
	if c.active {
		c.setEndpoints()
	}
}

func (m membersKnown) apply(_ context.Context, c *Coordinator, now time.Time) {
	if c.active {
		return
	}
	c.members = make(map[string]*member, len(m.list))
	for _, x := range m.list {
		// The list is told when members change, so a fraction in it may date from
		// a smaller fleet.
		x.Fraction = min(x.Fraction, 1/float64(len(m.list)))
		c.members[x.Node] = &member{
			Member: x,
			heard:  now,
		}
	}
}

func (m tenureChanged) apply(_ context.Context, c *Coordinator, now time.Time) {
	if m.tenure.Fence <= c.resigned && !m.tenure.Until.IsZero() {
		return
	}
	fresh := !m.tenure.Since.Equal(c.tenure.Since)
	c.tenure = m.tenure
	switch {
	case now.Before(c.tenure.Until) && (!c.active || fresh):
		c.begin(now)
	case c.tenure.Until.IsZero() && c.active:
		// A lease that lapsed is not enough: until another node holds it, this one
		// goes on with everything but orders.
		c.end("lease lost")
	}
}

// begin starts a tenure with fresh buckets: what an earlier coordinator issued
// may still be spent.
func (c *Coordinator) begin(now time.Time) {
	c.active = true
	c.issuer = grant.NewIssuer(c.head, c.tenure.First)
	c.depot = depot.New(now, c.ordersFrom())
	c.reports = make(map[fleet.Key]*polled)
	if c.config != nil {
		c.issuer.SetLimits(now, Limits(c.config))
		c.depot.SetConfig(now, c.config)
	}
	c.memberChanged()
	c.setEndpoints()
	for _, m := range c.members {
		m.heard = now
	}
	c.log.Info("coordinator begins", "fence", c.tenure.Fence, "first", c.tenure.First, "former", c.tenure.Former,
		"members", len(c.members), "orders-in-ms", c.ordersFrom().Sub(now).Milliseconds())
}

func (c *Coordinator) end(why string) {
	c.active = false
	c.failFetches("this node is no longer the coordinator")
	c.log.Warn("coordinator ends", "why", why, "fence", c.tenure.Fence)
}

// ordersFrom is when this tenure may give its first order. Engines do not check
// fences, so the last order of an earlier holder must be a lease time ago.
func (c *Coordinator) ordersFrom() time.Time {
	if c.tenure.First || c.tenure.Former == c.address {
		return c.tenure.Since
	}
	return c.tenure.Since.Add(c.leaseWait)
}

func (c *Coordinator) setEndpoints() {
	c.depot.SetEndpoints(c.list)
	seen := make(map[fleet.Key]bool, len(c.list))
	for _, e := range c.list {
		if c.config == nil || c.config.Services[e.Service] == nil || c.config.Services[e.Service].Engine == nil {
			continue
		}
		seen[e.Key()] = true
		if p := c.reports[e.Key()]; p != nil {
			p.endpoint = e
			continue
		}
		c.engineCount++
		c.reports[e.Key()] = &polled{
			number:   c.engineCount,
			endpoint: e,
		}
	}
	for k := range c.reports {
		if !seen[k] {
			delete(c.reports, k)
		}
	}
}

// step does what is due.
func (c *Coordinator) step(ctx context.Context, now time.Time) {
	c.issuer.SetReserved(now, c.reserved(now))
	for key, p := range c.reports {
		if !p.asking && !now.Before(p.next) {
			p.asking = true
			p.next = now.Add(reportEvery)
			go c.poll(ctx, key, p.endpoint, now)
		}
	}
	c.depot.SetWaiting(now, c.waiting())
	if c.mayOrder(now) {
		for _, o := range c.depot.Step(now) {
			c.give(ctx, o)
		}
	}
	c.driveFetches(ctx, now)
}

func (c *Coordinator) mayOrder(now time.Time) bool {
	return now.Before(c.tenure.Until.Add(-orderMargin))
}

// resign ends this node's orders for a new holder, and tells it when each
// engine may be given orders.
func (c *Coordinator) resign(now time.Time, fence int64) *Handover {
	if c.depot == nil || fence <= c.tenure.Fence {
		return nil
	}
	c.resigned = max(c.resigned, fence)
	h := &Handover{
		Others: max(0, c.ordersFrom().Sub(now)),
	}
	if c.active {
		// The levels are told once; a second question gets none.
		for name, level := range c.issuer.Levels(now) {
			h.Levels = append(h.Levels, grant.Loan{
				Workspace: name,
				Tokens:    level,
			})
		}
		c.end("another node holds the lease")
	}
	for key, at := range c.depot.Issued(now) {
		h.Engines = append(h.Engines, EngineHold{
			Key: key,
			In:  max(0, at.Add(c.leaseWait).Sub(now), h.Others),
		})
	}
	return h
}

// handedOver is the answer of the former holder.
type handedOver struct {
	fence    int64
	at       time.Time
	handover *Handover
}

func (m handedOver) apply(_ context.Context, c *Coordinator, now time.Time) {
	if !c.active || c.tenure.Fence != m.fence {
		return
	}
	engines := make(map[fleet.Key]time.Time, len(m.handover.Engines))
	for _, e := range m.handover.Engines {
		engines[e.Key] = m.at.Add(e.In)
	}
	c.depot.Hold(m.at.Add(m.handover.Others), engines)
	for _, l := range m.handover.Levels {
		c.issuer.Inherit(now, l.Workspace, l.Tokens)
	}
	c.log.Info("former coordinator resigned", "former", c.tenure.Former, "engines", len(engines),
		"others-in-ms", m.at.Add(m.handover.Others).Sub(now).Milliseconds())
}

// reserved is the sum of the fractions of nodes without contact.
func (c *Coordinator) reserved(now time.Time) float64 {
	var sum float64
	for name, m := range c.members {
		silent := now.Sub(m.heard)
		if silent > memberGone {
			delete(c.members, name)
			c.memberChanged()
			c.log.Warn("member removed", "member", name, "silent-ms", silent.Milliseconds())
			continue
		}
		if silent > grant.ReserveAfter {
			sum += m.Fraction
		}
	}
	return sum
}

func (c *Coordinator) waiting() []depot.Waiting {
	sums := map[modelKey]int{}
	for _, m := range c.members {
		for _, w := range m.waiting {
			sums[modelKey{service: w.Service, model: w.Model}] += w.Count
		}
	}
	out := make([]depot.Waiting, 0, len(sums))
	for k, n := range sums {
		out = append(out, depot.Waiting{
			Service: k.service,
			Model:   k.model,
			Count:   n,
		})
	}
	return out
}

func (c *Coordinator) poll(ctx context.Context, key fleet.Key, e fleet.Endpoint, asked time.Time) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.engines.Report(bounded, e)
	c.post(ctx, reported{
		key:   key,
		asked: asked,
		r:     r,
		err:   err,
	})
}

func (m reported) apply(ctx context.Context, c *Coordinator, now time.Time) {
	p := c.reports[m.key]
	if p == nil {
		return
	}
	p.asking = false
	if failed := m.err != nil; failed != p.failed {
		p.failed = failed
		if failed {
			c.log.Warn("engine gives no report", "endpoint", m.key.ID, "error", m.err.Error())
		} else {
			c.log.Info("engine reports again", "endpoint", m.key.ID)
		}
	}
	if m.err != nil || m.r.Key.Born != m.key.Born || !c.active {
		return
	}
	m.r.Key = m.key
	if p.asked.IsZero() || p.report.Orders != m.r.Orders || !reflect.DeepEqual(p.report.Models, m.r.Models) {
		c.seq++
		p.stateSeq = c.seq
	}
	p.report, p.asked = m.r, m.asked
	c.depot.SetReport(m.asked, m.r)
	if c.mayOrder(now) {
		for _, o := range c.depot.Step(now) {
			c.give(ctx, o)
		}
	}
	c.driveFetches(ctx, now)
}

// give sends an order to an engine.
func (c *Coordinator) give(ctx context.Context, o depot.Order) {
	c.log.Info("order given", "endpoint", o.Key.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "from-store", o.FromStore, "reason", o.Reason, "fence", c.tenure.Fence)
	until := c.tenure.Until
	fence := c.tenure.Fence
	go func() {
		out := ordered{
			order: o,
		}
		if c.clock.Now().Before(until) {
			bounded, cancel := context.WithTimeout(ctx, orderTimeout)
			out.answer, out.err = c.engines.Order(bounded, o, c.node, fence)
			cancel()
		} else {
			out.answer, out.err = depot.Refused, fmt.Errorf("lead: the lease ended before the order was sent")
		}
		c.post(ctx, out)
	}()
}

func (m ordered) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if m.answer == depot.Lost || m.answer == depot.Refused {
		text := ""
		if m.err != nil {
			text = m.err.Error()
		}
		c.log.Warn("order answered", "endpoint", m.order.Key.ID, "model", m.order.Model, "adapter", m.order.Adapter,
			"load", m.order.Load, "expected", m.order.Expected, "answer", m.answer.String(), "error", text)
	}
	if !c.active {
		return
	}
	c.depot.Answered(m.order, m.answer)
	if p := c.reports[m.order.Key]; p != nil {
		// The engine's state is wanted soon after an order.
		p.next = now.Add(reportEvery / 3)
	}
	c.driveFetches(ctx, now)
}

// driveFetches goes on with the adapters that are waited for.
func (c *Coordinator) driveFetches(ctx context.Context, now time.Time) {
	c.fetches = slices.DeleteFunc(c.fetches, func(f *fetch) bool {
		if !now.Before(f.by) {
			f.reply <- Fetched{
				Problem: "not in time",
			}
			return true
		}
		if !c.mayOrder(now) {
			return false
		}
		o, err := c.depot.Adapter(now, f.Key, f.Model, f.Adapter)
		switch {
		case err == depot.ErrGone:
			f.reply <- Fetched{
				Problem: err.Error(),
			}
			return true
		case err != nil:
			return false
		case o != nil:
			c.give(ctx, *o)
			return false
		}
		reply := f.reply
		time.AfterFunc(adapterSettle, func() { reply <- Fetched{} })
		return true
	})
}

func (c *Coordinator) failFetches(why string) {
	for _, f := range c.fetches {
		f.reply <- Fetched{
			Problem: why,
		}
	}
	c.fetches = nil
}

func (f *fetch) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if !c.active {
		f.reply <- Fetched{
			Problem: "this node is not the coordinator",
		}
		return
	}
	f.by = now.Add(fetchTimeout)
	c.fetches = append(c.fetches, f)
	c.driveFetches(ctx, now)
}

func (m exchanged) apply(_ context.Context, c *Coordinator, now time.Time) {
	x := m.x
	if x.Resign != 0 {
		m.reply <- Reply{
			Handover: c.resign(now, x.Resign),
		}
		return
	}
	if !c.active {
		m.reply <- Reply{}
		return
	}
	if x.Leaving {
		delete(c.members, x.Node)
		c.memberChanged()
		m.reply <- Reply{
			Coordinator: true,
		}
		return
	}
	mem := c.members[x.Node]
	if mem == nil {
		mem = &member{}
		c.members[x.Node] = mem
		c.memberChanged()
		c.log.Info("member joined", "member", x.Node, "address", x.Address, "members", len(c.members))
	}
	if mem.incarnation != x.Incarnation && mem.incarnation != "" {
		c.log.Info("member restarted", "member", x.Node, "incarnation", x.Incarnation)
	}
	mem.Node, mem.Address, mem.incarnation, mem.heard = x.Node, x.Address, x.Incarnation, now
	mem.Capacity = x.Capacity
	mem.waiting = x.Waiting
	mem.Fraction = 1 / float64(len(c.members))
	for _, w := range x.Work {
		c.depot.Arrived(now, w.Service, w.Model, w.Tokens)
	}
	r := Reply{
		Coordinator: true,
		Fraction:    mem.Fraction,
		Term:        c.tenure.Fence,
	}
	for _, d := range x.Draws {
		if got := c.issuer.Issue(now, d.Workspace, d.Want, d.Need); got > 0 {
			r.Loans = append(r.Loans, grant.Loan{
				Workspace: d.Workspace,
				Tokens:    got,
			})
		} else if d.Need > 0 {
			c.tellShort(now, x.Node, d)
		}
	}
	if !x.Brief {
		mem.running = x.Running
		c.tell(now, x, &r)
	}
	m.reply <- r
}

// shortEvery is the least time between two lines about one workspace without
// tokens.
const shortEvery = time.Second

// tellShort notes why a node got no tokens.
func (c *Coordinator) tellShort(now time.Time, node string, d grant.Draw) {
	if now.Sub(c.short[d.Workspace]) < shortEvery {
		return
	}
	c.short[d.Workspace] = now
	c.log.Warn("no tokens to issue", "workspace", d.Workspace, "member", node, "want", d.Want, "need", d.Need,
		"level", c.issuer.Level(now, d.Workspace), "reserved", c.reserved(now), "members", len(c.members), "config", c.configVersion())
}

func (c *Coordinator) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// memberChanged has all nodes told of the members.
func (c *Coordinator) memberChanged() {
	c.seq++
	c.memberSeq = c.seq
}

// tell takes over what a full exchange says of engines, and answers with what
// the node does not know yet.
func (c *Coordinator) tell(now time.Time, x *Exchange, r *Reply) {
	for _, u := range x.Running {
		if u.Adapter != "" {
			c.depot.AdapterUsed(now, u.Key, u.Model, u.Adapter)
		}
	}
	for _, p := range x.Paces {
		c.depot.SetPace(p.Key, p.Pace)
	}
	c.depot.SetRunning(c.running())
	known := x.Seq
	if x.Term != c.tenure.Fence {
		known = -1
	}
	r.Seq = c.seq
	if c.memberSeq > known {
		r.Members = c.memberList()
	}
	for _, p := range c.reports {
		if p.asked.IsZero() {
			continue
		}
		l := LoadReport{
			Engine:    p.number,
			Age:       now.Sub(p.asked),
			Active:    p.report.Active,
			Queued:    p.report.Queued,
			CacheUsed: p.report.CacheUsed,
			Busy:      p.report.Busy,
		}
		if p.stateSeq > known {
			l.State = &EngineState{
				Key:        p.report.Key,
				Models:     p.report.Models,
				Orders:     p.report.Orders,
				CacheTotal: p.report.CacheTotal,
			}
		}
		r.Reports = append(r.Reports, l)
	}
	for key, models := range c.depot.Closing() {
		r.Closing = append(r.Closing, Closing{
			Key:    key,
			Models: models,
		})
	}
}

func (c *Coordinator) running() []depot.Running {
	var out []depot.Running
	for _, m := range c.members {
		out = append(out, m.running...)
	}
	return out
}

func (c *Coordinator) memberList() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return out
}
