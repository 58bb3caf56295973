package coord

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/models"
)

const (
	// stepInterval is the time between two runs of Coordinator.step.
	stepInterval = 20 * time.Millisecond
	// reportInterval is the minimum time between two regular polls of an engine. If
	// nodes exchange messages with the coordinator less often, engines are polled
	// at that longer interval. After an order, an engine is polled earlier.
	reportInterval = 300 * time.Millisecond
	// reportTimeout and orderTimeout limit a call to an engine for a report and
	// for an order. An engine normally answers within a few milliseconds.
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 250 * time.Millisecond
	// maxOrderAttempts is how often an unanswered order is sent. Repeating it is
	// safe: an order carries the number of orders before it, so an engine
	// executes it at most once.
	maxOrderAttempts = 5
	// adapterLoadTime is the time until an ordered adapter is usable: the longest
	// usual load of an adapter plus the network delay of the order.
	adapterLoadTime = 14 * time.Millisecond
	// fetchTimeout limits how long the coordinator works on a request for an
	// adapter.
	fetchTimeout = 550 * time.Millisecond
	// memberTimeout is how long a silent node stays a member and keeps its
	// fraction of the rates reserved. It exceeds the longest expected network
	// partition, because a partitioned node keeps admitting requests.
	memberTimeout = 25 * time.Second
	// orderMargin is how long before the end of its lease a coordinator stops
	// sending orders, so that every order arrives within the lease.
	orderMargin = 300 * time.Millisecond
)

// Tenure is one uninterrupted period in which a node holds the coordinator's
// lease.
type Tenure struct {
	// Until is when the lease expires, zero when this node does not hold it.
	Until time.Time
	// Since is when the tenure began.
	Since time.Time
	// Fence is larger than that of every earlier tenure.
	Fence int64
	// First is set when no node held the lease before.
	First bool
	// Former is the address of the previous holder.
	Former string
	// OrdersFrom is when the first order may be sent. Engines do not check
	// fences, so one lease time must pass after the previous holder's last order.
	OrdersFrom time.Time
}

// Coordinator issues tokens, collects load reports and orders model loads while
// its node holds the lease. Only the goroutine of run accesses its state; other
// goroutines send it messages through post.
type Coordinator struct {
	node          string
	address       string
	clock         clock.Clock
	engines       Engines
	log           *slog.Logger
	health        *health.Table
	healthVersion int64 // at the last call of setEndpoints
	initialTokens float64
	leaseWait     time.Duration
	inbox         chan message

	config    *fleet.Config
	endpoints []fleet.Endpoint
	tenure    Tenure
	active    bool
	// resignedFence is the highest fence in a request of another holder that this
	// node resign. Tenures up to this fence are not resumed.
	resignedFence int64
	members       map[string]*member
	issuer        *grant.Issuer
	// places issues places at engines that name a limit of requests, as of limitVersion.
	places       *grant.Issuer
	limitVersion int64
	planner      *models.Planner
	polls        map[fleet.Key]*enginePoll
	fetches      []*adapterFetch
	// sending counts the orders without a final answer by engine. tenureEnded is closed
	// when the tenure ends, after which none of them is sent again.
	sending     map[fleet.Key]int
	tenureEnded chan struct{}
	// shortageLoggedAt is when a lack of tokens was last logged, by workspace.
	shortageLoggedAt map[string]time.Time
	// seq counts the changes that are sent to nodes; memberSeq is its value at
	// the last change of the members.
	seq       int64
	memberSeq int64
	// plainLoads are the active requests at endpoints of plain services as of
	// loadsSummedAt.
	plainLoads    []PlainLoad
	loadsSummedAt time.Time
	// plannedUnloads and plannedLoads are what the planner is about to change, as of
	// loadsSummedAt.
	plannedUnloads []EngineUnloads
	plannedLoads   []models.Load
	// engineCount is the last number assigned to an engine.
	engineCount int
}

// enginePoll is the polling state of one engine and its newest report.
type enginePoll struct {
	number      int
	stateSeq    int64 // of the last change of the state
	endpoint    fleet.Endpoint
	report      fleet.Report
	requestedAt time.Time // of the newest report
	nextPoll    time.Time
	polling     bool
	failed      bool
}

// message is an event that the coordinator's goroutine processes.
type message interface {
	apply(ctx context.Context, c *Coordinator, now time.Time)
}

type configChanged struct{ config *fleet.Config }

type endpointsChanged struct{ list []fleet.Endpoint }

type tenureChanged struct{ tenure Tenure }

type reportReceived struct {
	key         fleet.Key
	requestedAt time.Time
	took        time.Duration
	report      fleet.Report
	err         error
}

func newCoordinator(o Options) *Coordinator {
	return &Coordinator{
		node:             o.Node,
		address:          o.Address,
		clock:            o.Clock,
		engines:          o.Engines,
		log:              o.Log,
		health:           healthOf(o),
		initialTokens:    o.QuotaInitial,
		leaseWait:        o.LeaseWait,
		inbox:            make(chan message, 256),
		members:          make(map[string]*member),
		shortageLoggedAt: make(map[string]time.Time),
		polls:            make(map[fleet.Key]*enginePoll),
		sending:          make(map[fleet.Key]int),
	}
}

// healthOf returns what the endpoints say of themselves to this node.
func healthOf(o Options) *health.Table {
	if o.Table == nil {
		return health.New()
	}
	return o.Table.Health()
}

func (c *Coordinator) run(ctx context.Context) {
	t := time.NewTicker(stepInterval)
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
		c.planner.SetConfig(now, c.config)
		c.setEndpoints()
	}
}

func (m endpointsChanged) apply(_ context.Context, c *Coordinator, _ time.Time) {
	c.endpoints = m.list
	if c.active {
		c.setEndpoints()
	}
}

func (m tenureChanged) apply(_ context.Context, c *Coordinator, now time.Time) {
	if m.tenure.Fence <= c.resignedFence && !m.tenure.Until.IsZero() {
		return
	}
	fresh := !m.tenure.Since.Equal(c.tenure.Since)
	c.tenure = m.tenure
	switch {
	case now.Before(c.tenure.Until) && (!c.active || fresh):
		c.beginTenure(now)
	case c.tenure.Until.IsZero() && c.active:
		// The tenure ends only when the lease is lost. After a mere expiry this node
		// continues with everything but orders until another node takes the lease.
		c.endTenure("lease lost")
	}
}

// beginTenure starts a tenure with new token buckets. Unless this is the first
// tenure they start nearly empty, because tokens that an earlier coordinator
// issued may still be spent.
func (c *Coordinator) beginTenure(now time.Time) {
	if c.active {
		close(c.tenureEnded)
	}
	c.active, c.tenureEnded = true, make(chan struct{})
	c.issuer = grant.NewIssuer(c.initialTokens, c.tenure.First)
	c.places, c.limitVersion = grant.NewIssuer(0, false), -1
	c.planner = models.New(now, c.tenure.OrdersFrom)
	c.polls = make(map[fleet.Key]*enginePoll)
	if c.config != nil {
		c.issuer.SetLimits(now, Limits(c.config))
		c.planner.SetConfig(now, c.config)
	}
	c.membersChanged()
	c.setEndpoints()
	for _, m := range c.members {
		m.lastExchange = now
	}
	c.log.Info("coordinator begins", "fence", c.tenure.Fence, "first", c.tenure.First, "former", c.tenure.Former,
		"members", len(c.members), "orders-in-ms", c.tenure.OrdersFrom.Sub(now).Milliseconds())
}

func (c *Coordinator) endTenure(why string) {
	c.active = false
	close(c.tenureEnded)
	c.failFetches("this node is no longer the coordinator")
	c.log.Warn("coordinator ends", "why", why, "fence", c.tenure.Fence)
}

func (c *Coordinator) setEndpoints() {
	c.healthVersion = c.health.Version()
	c.planner.SetEndpoints(c.plannedEndpoints(c.clock.Now()))
	seen := make(map[fleet.Key]bool, len(c.endpoints))
	for _, e := range c.endpoints {
		if c.config == nil || c.config.Services[e.Service] == nil || c.config.Services[e.Service].Engine == nil {
			continue
		}
		seen[e.Key()] = true
		if p := c.polls[e.Key()]; p != nil {
			p.endpoint = e
			continue
		}
		c.engineCount++
		c.polls[e.Key()] = &enginePoll{
			number:   c.engineCount,
			endpoint: e,
		}
	}
	for k := range c.polls {
		if !seen[k] {
			delete(c.polls, k)
		}
	}
}

// step polls engines whose next poll is due, sends the orders that are due and
// continues the waiting adapter loads.
func (c *Coordinator) step(ctx context.Context, now time.Time) {
	if c.health.Version() != c.healthVersion {
		c.setEndpoints()
	}
	reserved := c.reservedFraction(now)
	c.issuer.SetReserved(now, reserved)
	c.places.SetReserved(now, reserved)
	c.applyLimits(now)
	for key, p := range c.polls {
		if !p.polling && !now.Before(p.nextPoll) {
			p.polling = true
			p.nextPoll = now.Add(max(reportInterval, exchangeInterval(len(c.members))))
			go c.poll(ctx, key, p.endpoint, now)
		}
	}
	c.planner.SetWaiting(now, c.waiting())
	c.sumLoads(now)
	if c.mayOrder(now) {
		for _, o := range c.planner.Step(now) {
			c.sendOrder(ctx, o)
		}
	}
	c.processFetches(ctx, now)
}

func (c *Coordinator) poll(ctx context.Context, key fleet.Key, e fleet.Endpoint, requestedAt time.Time) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.engines.Report(bounded, e)
	c.post(ctx, reportReceived{
		key:         key,
		requestedAt: requestedAt,
		report:      r,
		err:         err,
	})
}

func (m reportReceived) apply(ctx context.Context, c *Coordinator, now time.Time) {
	p := c.polls[m.key]
	if p == nil {
		return
	}
	p.polling = false
	if failed := m.err != nil; failed != p.failed {
		p.failed = failed
		if failed {
			c.log.Warn("engine gives no report", "endpoint", m.key.ID, "error", m.err.Error())
		} else {
			c.log.Info("engine reports again", "endpoint", m.key.ID)
		}
	}
	if m.err != nil || m.report.Key.Incarnation != m.key.Incarnation || !c.active {
		return
	}
	m.report.Key = m.key
	if p.requestedAt.IsZero() || p.report.OrdersAccepted != m.report.OrdersAccepted || !reflect.DeepEqual(p.report.Models, m.report.Models) {
		c.seq++
		p.stateSeq = c.seq
	}
	p.report, p.requestedAt = m.report, m.requestedAt
	c.planner.SetReport(m.requestedAt, m.report)
	if c.mayOrder(now) {
		for _, o := range c.planner.Step(now) {
			c.sendOrder(ctx, o)
		}
	}
	c.processFetches(ctx, now)
}
