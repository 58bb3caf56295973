package lead

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/depot"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

const (
	// tick is how often the coordinator looks at what is due.
	tick = 20 * time.Millisecond
	// reportEvery is the least time between two reports of an engine. Where nodes
	// hear of them less often, they are asked for less often.
	reportEvery = 300 * time.Millisecond
	// reportTimeout is when a report counts as lost, orderTimeout an answer to an
	// order. An engine answers within a few milliseconds.
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 250 * time.Millisecond
	// orderTries is how often an order without an answer is sent. It takes effect
	// once at most, since it names the number of orders before it.
	orderTries = 5
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
	// OrdersFrom is when the first order may be given. Engines do not check fences,
	// so the last order of an earlier holder must be a lease time ago.
	OrdersFrom time.Time
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
	short     map[string]time.Time
	seq       int64
	memberSeq int64
	// plain are the requests at endpoints of plain services as of gathered.
	plain       []PlainLoad
	gathered    time.Time
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

// message is something that the coordinator's goroutine has to deal with.
type message interface {
	apply(ctx context.Context, c *Coordinator, now time.Time)
}

type configChanged struct{ config *fleet.Config }

type endpointsChanged struct{ list []fleet.Endpoint }

type tenureChanged struct{ tenure Tenure }

type reported struct {
	key   fleet.Key
	asked time.Time
	took  time.Duration
	r     fleet.Report
	err   error
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
	c.depot = depot.New(now, c.tenure.OrdersFrom)
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
		"members", len(c.members), "orders-in-ms", c.tenure.OrdersFrom.Sub(now).Milliseconds())
}

func (c *Coordinator) end(why string) {
	c.active = false
	c.failFetches("this node is no longer the coordinator")
	c.log.Warn("coordinator ends", "why", why, "fence", c.tenure.Fence)
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
			p.next = now.Add(max(reportEvery, exchangeInterval(len(c.members))))
			go c.poll(ctx, key, p.endpoint, now)
		}
	}
	c.depot.SetWaiting(now, c.waiting())
	c.gather(now)
	if c.mayOrder(now) {
		for _, o := range c.depot.Step(now) {
			c.give(ctx, o)
		}
	}
	c.driveFetches(ctx, now)
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
