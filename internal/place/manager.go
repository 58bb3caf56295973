package place

import (
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Settings of a Manager. Zero values are replaced by the defaults.
type Settings struct {
	Domain string
	// Node breaks ties between fences. It must be different for every process,
	// also for two incarnations of one node.
	Node uint64
	// Incarnation makes order ids unique.
	Incarnation string

	// OrderDeadline is the life of an order to an endpoint without fencing. No
	// order may be delayed longer on its way there (default 30 s).
	OrderDeadline time.Duration
	// FencedOrderDeadline is the same for endpoints with fencing (default 5 s).
	// There it matters only when an endpoint restarts and forgets its fence.
	FencedOrderDeadline time.Duration
	// LeaseWait is the lease's term with its margin: how long after the begin of
	// an outage a lease may still be valid (default 11 s).
	LeaseWait time.Duration
	// OutageLag is how long a node that stands in may not know that an outage is
	// over (default 5 s).
	OutageLag time.Duration
	// Margin covers clocks that run at different rates (default 0.1).
	Margin float64
	// AnswerWait is when an answer counts as lost (default 2 s).
	AnswerWait time.Duration
	// Poll is the time between two questions about a running order (default 500 ms).
	Poll time.Duration
	// StateEvery is the time between two reads of an endpoint's state while
	// nothing happens there (default 30 s: 87 endpoints of 2 KB at 5 KB/s).
	StateEvery time.Duration
	// Reads bounds the reads of states under way at once, so that a takeover is
	// no burst of all endpoints' states (default 16).
	Reads int
	// PlanEvery is the time between two plans (default 1 s).
	PlanEvery time.Duration
	// Drain is the time between taking an item out of the layout and unloading
	// it, in which the nodes learn of it (default 2 s).
	Drain time.Duration
	// MoveTimeout is when a move is given up (default 90 s).
	MoveTimeout time.Duration
	// AdaptersInFlight bounds the adapter loads at one endpoint (default 16,
	// where loads begin to slow each other down).
	AdaptersInFlight int
	// AdapterRoom is how many adapters of each model memory is kept free for
	// (default 4).
	AdapterRoom int
	// TokensPerSecond is the throughput of an endpoint of speed 1 (default 154:
	// 400,000 tokens/s on 2,600 accelerators).
	TokensPerSecond float64
	// Roles makes the manager divide busy models into prefill and decode.
	Roles bool
	// Policy decides the moves (default the planner).
	Policy Policy
}

func (s *Settings) defaults() {
	if s.OrderDeadline <= 0 {
		s.OrderDeadline = 30 * time.Second
	}
	if s.FencedOrderDeadline <= 0 {
		s.FencedOrderDeadline = 5 * time.Second
	}
	if s.LeaseWait <= 0 {
		s.LeaseWait = 11 * time.Second
	}
	if s.OutageLag <= 0 {
		s.OutageLag = 5 * time.Second
	}
	if s.Margin <= 0 {
		s.Margin = 0.1
	}
	if s.AnswerWait <= 0 {
		s.AnswerWait = 2 * time.Second
	}
	if s.Poll <= 0 {
		s.Poll = 500 * time.Millisecond
	}
	if s.StateEvery <= 0 {
		s.StateEvery = 30 * time.Second
	}
	if s.Reads <= 0 {
		s.Reads = 16
	}
	if s.PlanEvery <= 0 {
		s.PlanEvery = time.Second
	}
	if s.Drain <= 0 {
		s.Drain = 2 * time.Second
	}
	if s.MoveTimeout <= 0 {
		s.MoveTimeout = 90 * time.Second
	}
	if s.AdaptersInFlight <= 0 {
		s.AdaptersInFlight = 16
	}
	if s.AdapterRoom <= 0 {
		s.AdapterRoom = 4
	}
	if s.TokensPerSecond <= 0 {
		s.TokensPerSecond = 154
	}
	if s.Policy == nil {
		s.Policy = NewPlanner()
	}
}

// Authority is what allows a manager to give orders. The zero value allows
// nothing. The first three fields come from the domain's lease.
type Authority struct {
	// Until is the end of the lease's validity on the manager's clock.
	Until time.Time
	// Since is when this holding of the lease began.
	Since time.Time
	// Epoch is the lease's epoch. During an outage it is above the counter of
	// the last layout's term that the node has seen.
	Epoch int64
	// Outage is since when the platform's table has answered no node, as far as
	// this node can know, if it is to stand in as planner; zero otherwise. It
	// acts once no lease can be valid any more, and orders only fencing endpoints.
	Outage time.Time
}

// Action is what the manager wants done: SendOrder, ReadState or ReadOrder.
type Action interface{ action() }

// SendOrder asks to send an order. It must not be sent at or after the order's
// deadline; a worker checks that directly before the first byte. Sending it
// twice is harmless.
type SendOrder struct {
	Endpoint string
	Order    engine.Order
}

// ReadState asks for an endpoint's state. Asked goes back in the result.
type ReadState struct {
	Endpoint string
	Asked    time.Time
}

// ReadOrder asks for an endpoint's word on an order.
type ReadOrder struct {
	Endpoint string
	ID       string
}

func (SendOrder) action() {}
func (ReadState) action() {}
func (ReadOrder) action() {}

// StateResult is the outcome of a ReadState.
type StateResult struct {
	Endpoint string
	Asked    time.Time
	State    engine.State
	Err      error
}

// OrderResult is the outcome of a SendOrder or a ReadOrder.
type OrderResult struct {
	Endpoint string
	ID       string
	Status   engine.OrderStatus
	// Refused is the code of a refusal, empty when the order was accepted.
	Refused string
	// Err is set when there was no answer.
	Err error
}

// Inputs of one step. Everything is optional.
type Inputs struct {
	// Config is set when the configuration has changed.
	Config    *spec.Config
	Authority Authority
	States    []StateResult
	Orders    []OrderResult
	Reports   []DemandReport
	// Remote is what other domains of the region have; nil keeps the last one.
	Remote map[string]RemoteModel
	// Leaving names endpoints that are listed as leaving; nil keeps the last list.
	Leaving map[string]bool
}

// MoveRecord is a finished or abandoned move for operators.
type MoveRecord struct {
	At       time.Time
	Endpoint string
	Item     Item
	Reason   Reason
	Done     bool
	Sentence string
}

// Counters of a manager.
type Counters struct {
	Loads         int64 // model loads that finished
	Unloads       int64
	AdapterLoads  int64
	AdapterEvicts int64
	Abandoned     int64
	StaleFence    int64
	LostAnswers   int64
	Restarts      int64
	Takeovers     int64
	Resent        int64
	ByReason      map[Reason]int64
}

// sentOrder is an order whose final word is not known.
type sentOrder struct {
	order  engine.Order
	at     time.Time // when it was decided
	asked  time.Time // when it was last sent or asked about
	phase  engine.OrderPhase
	silent int // questions without an answer in a row
}

type movePhase int

const (
	moveDraining movePhase = iota
	moveUnloading
	moveLoading
	moveLoaded
)

type move struct {
	Move
	phase   movePhase
	begun   time.Time
	ready   time.Time // end of draining
	started time.Time // when the load was sent
	loadID  string
	unloads []string
	tries   int
	retryAt time.Time
}

type endpoint struct {
	spec.Endpoint
	ledger *Ledger
	// own is the fence of this manager at the endpoint.
	own engine.Fence
	// claimed is when the fence was last raised over another holder's.
	claimed time.Time

	readAsked time.Time // of the read under way, zero when none is
	wantRead  bool
	nextRead  time.Time
	fails     int

	role     engine.Role
	leaving  bool // by its own word
	listed   bool // by the platform's list
	orders   map[string]*sentOrder
	move     *move
	since    map[Item]time.Time
	dropping map[Item]time.Time // adapters taken out of the layout, and when
	tried    map[Item]time.Time // adapter loads that failed, and when
	layout   EndpointLayout
}

// fenced reports whether this manager's fence is the endpoint's highest, as
// far as the last state tells.
func (e *endpoint) fenced() bool {
	return e.own != (engine.Fence{}) && e.own == e.ledger.Fence()
}

// Manager is the planner of one failure domain as a state machine. It has no
// goroutine and does no I/O: Step returns what to do, and results come back in
// a later step, late, never or twice.
type Manager struct {
	set     Settings
	cfg     *spec.Config
	models  map[string]spec.Model
	adapts  map[Item]spec.Adapter // by model and adapter
	byModel map[string][]spec.Adapter
	eps     map[string]*endpoint
	names   []string
	demand  *Demand
	weights Weights
	remote  map[string]RemoteModel
	turns   map[string]int

	auth     Authority
	held     time.Time // Since of the holding that was begun
	stepped  time.Time
	term     engine.Fence
	outage   bool
	begun    bool
	nextPlan time.Time
	nextID   int64
	reads    int // states being read
	turn     int
	loadTime time.Duration

	seq       int64
	removed   map[string]int64 // endpoints that left the layout, and when
	published map[string]ModelDemand
	excess    map[string]float64
	counters  Counters
	records   []MoveRecord
}

// maxRecords bounds the records that nobody has fetched.
const maxRecords = 256

// NewManager returns a manager that knows no configuration and no endpoint.
func NewManager(set Settings) *Manager {
	set.defaults()
	return &Manager{
		set:       set,
		eps:       map[string]*endpoint{},
		demand:    NewDemand(),
		remote:    map[string]RemoteModel{},
		published: map[string]ModelDemand{},
		removed:   map[string]int64{},
		loadTime:  2 * time.Second,
		counters: Counters{
			ByReason: map[Reason]int64{},
		},
	}
}

// Step takes over the inputs and returns what is to be done at now, a time of
// a clock that goes on while the VM is suspended. Without authority it returns
// nothing.
func (m *Manager) Step(now time.Time, in Inputs) []Action {
	if in.Config != nil {
		m.configure(now, in.Config)
	}
	if in.Remote != nil {
		m.remote = in.Remote
	}
	for _, name := range m.names {
		e := m.eps[name]
		if in.Leaving != nil {
			e.listed = in.Leaving[name]
		}
	}
	m.authorise(now, in.Authority)
	for _, r := range in.States {
		m.onState(now, r)
	}
	for _, r := range in.Orders {
		m.onOrder(now, r)
	}
	for _, r := range in.Reports {
		if err := r.Validate(); err != nil {
			continue
		}
		m.demand.Add(now, r)
		for _, name := range r.Suspects {
			if e := m.eps[name]; e != nil {
				e.wantRead = true
			}
		}
	}
	m.demand.Advance(now)
	if !m.mayRead(now) || m.cfg == nil {
		return nil
	}
	var out []Action
	m.reads = 0
	for _, e := range m.eps {
		if !e.readAsked.IsZero() {
			m.reads++
		}
	}
	// Each step starts at another endpoint, so that none is always the last to
	// be read.
	m.turn++
	for i := range m.names {
		out = m.drive(now, m.eps[m.names[(i+m.turn)%len(m.names)]], out)
	}
	if !now.Before(m.nextPlan) {
		m.nextPlan = now.Add(m.set.PlanEvery)
		m.plan(now)
		for _, name := range m.names {
			if e := m.eps[name]; e.move != nil && e.move.begun.Equal(now) {
				out = m.driveMove(now, e, out)
			}
		}
	}
	out = m.driveAdapters(now, out)
	m.publish()
	return out
}

// mayRead reports whether the manager acts at all.
func (m *Manager) mayRead(now time.Time) bool {
	return now.Before(m.auth.Until) || m.standsIn(now)
}

// standsIn reports whether this node stands in during an outage.
func (m *Manager) standsIn(now time.Time) bool {
	return !m.auth.Outage.IsZero() && now.Sub(m.auth.Outage) >= m.set.LeaseWait
}

// mayOrder reports whether an endpoint may be given orders now. Endpoints
// without fencing need a valid lease and the end of the wait for the orders of
// the holder before.
func (m *Manager) mayOrder(now time.Time, e *endpoint) bool {
	if e.ledger.Fencing() {
		return m.mayRead(now)
	}
	return now.Before(m.auth.Until) && e.ledger.Settled()
}

// quiet is how long after its decision an order can still take effect.
func (m *Manager) quiet(fencing bool) time.Duration {
	life := m.set.OrderDeadline
	if fencing {
		life = m.set.FencedOrderDeadline
	}
	return life + time.Duration(float64(life)*m.set.Margin)
}

// authorise takes over the authority and begins a new holding.
func (m *Manager) authorise(now time.Time, a Authority) {
	valid := now.Before(a.Until)
	// A holding that lapsed, or a pause while standing in, is begun again:
	// another node may have stood in meanwhile, and an endpoint that restarted
	// does not remember its fence.
	lapsed := valid && !m.outage && !now.Before(m.auth.Until)
	paused := !valid && m.outage && now.Sub(m.stepped) > m.set.AnswerWait
	m.auth, m.stepped = a, now
	if !valid && !m.standsIn(now) {
		m.outage = false
		return
	}
	// Standing in during an outage is not a holding of the lease: endpoints
	// without fencing keep the quiet time of the last one.
	begins := !m.begun || valid && !a.Since.Equal(m.held) || m.outage == valid || lapsed || paused
	m.outage = !valid
	if !begins {
		return
	}
	fresh := valid && (!m.begun || !a.Since.Equal(m.held))
	m.begun = true
	m.counters.Takeovers++
	m.term = engine.Fence{
		Counter: max(a.Epoch, m.term.Counter+1),
		Node:    m.set.Node,
	}
	// A new term starts with a full layout.
	m.removed = map[string]int64{}
	if fresh {
		m.held = a.Since
	}
	for _, name := range m.names {
		e := m.eps[name]
		switch {
		case fresh:
			wait := m.quiet(e.Fencing)
			if e.Fencing {
				wait += m.set.OutageLag
			}
			e.ledger.Begin(a.Since.Add(wait))
		case e.Fencing:
			// Another node may have stood in until now, or still do so.
			e.ledger.Begin(now.Add(m.quiet(true) + m.set.OutageLag))
		}
		e.wantRead = true
		// What an earlier holding had under way is seen in the states; the
		// ledger keeps its memory booked.
		e.orders = map[string]*sentOrder{}
		e.move = nil
		e.dropping = map[Item]time.Time{}
	}
}

// configure takes over a configuration.
func (m *Manager) configure(now time.Time, cfg *spec.Config) {
	m.cfg = cfg
	m.models = make(map[string]spec.Model, len(cfg.Models))
	for _, x := range cfg.Models {
		m.models[x.Name] = x
	}
	m.adapts = make(map[Item]spec.Adapter, len(cfg.Adapters))
	m.byModel = map[string][]spec.Adapter{}
	for _, a := range cfg.Adapters {
		m.adapts[Item{Model: a.Model, Adapter: a.Name}] = a
		m.byModel[a.Model] = append(m.byModel[a.Model], a)
	}
	weights := make(map[string]float64, len(cfg.Workspaces))
	for _, w := range cfg.Workspaces {
		weights[w.Name] = w.Weight
	}
	m.demand.SetWeights(weights)

	kinds := map[string]spec.ServiceKind{}
	for _, s := range cfg.Services {
		kinds[s.Name] = s.Kind
	}
	domains := map[string]bool{}
	listed := map[string]bool{}
	for _, c := range cfg.Endpoints {
		if kinds[c.Service] == spec.KindPlain {
			continue
		}
		domains[c.Domain] = true
		if c.Domain != m.set.Domain {
			continue
		}
		listed[c.Name] = true
		e := m.eps[c.Name]
		if e != nil && (e.Address != c.Address || e.Fencing != c.Fencing) {
			// Another process behind the same name has its own memory.
			e = nil
		}
		if e == nil {
			e = m.newEndpoint(now, c)
			m.eps[c.Name] = e
		}
		e.Endpoint = c
		e.ledger.SetMemory(c.MemoryMiB)
	}
	for name := range m.eps {
		if !listed[name] {
			delete(m.eps, name)
			m.seq++
			m.removed[name] = m.seq
		}
	}
	m.names = slices.Sorted(maps.Keys(m.eps))
	m.setTurns(cfg, domains)
	m.weights.Set(m.set.Domain, slices.Sorted(maps.Keys(domains)), cfg.Limits.WeightLoadsPerSecond, cfg.Limits.WeightLoadsParallel)
}

// setTurns finds the place of this domain in each model's order of domains.
func (m *Manager) setTurns(cfg *spec.Config, domains map[string]bool) {
	regions := map[string]string{}
	for _, d := range cfg.Domains {
		regions[d.Name] = d.Region
	}
	var near []string
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if regions[name] == regions[m.set.Domain] {
			near = append(near, name)
		}
	}
	m.turns = make(map[string]int, len(m.models))
	for name := range m.models {
		m.turns[name] = max(0, slices.Index(rank.Order(name, near), m.set.Domain))
	}
}

func (m *Manager) newEndpoint(now time.Time, c spec.Endpoint) *endpoint {
	e := &endpoint{
		Endpoint: c,
		ledger: NewLedger(LedgerSettings{
			Endpoint:  c.Name,
			MemoryMiB: c.MemoryMiB,
			Fencing:   c.Fencing,
			Margin:    m.set.Margin,
		}),
		wantRead: true,
		orders:   map[string]*sentOrder{},
		since:    map[Item]time.Time{},
		dropping: map[Item]time.Time{},
		tried:    map[Item]time.Time{},
	}
	// The endpoint may have been removed and added again, with orders under way
	// from before, so the wait starts anew.
	e.ledger.Begin(now.Add(m.quiet(c.Fencing)))
	return e
}

// Counters returns a copy of the counters.
func (m *Manager) Counters() Counters {
	out := m.counters
	out.ByReason = maps.Clone(out.ByReason)
	return out
}

// TakeRecords returns the moves that ended since the last call.
func (m *Manager) TakeRecords() []MoveRecord {
	out := m.records
	m.records = nil
	return out
}

// Ledger returns the ledger of an endpoint for inspection, nil if unknown.
func (m *Manager) Ledger(name string) *Ledger {
	if e := m.eps[name]; e != nil {
		return e.ledger
	}
	return nil
}
