package place

import (
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Settings configure a Manager. Zero values are replaced by the defaults.
type Settings struct {
	Domain string
	// Node breaks ties between fencing tokens. It must be different for every
	// process, also for two incarnations of one node.
	Node uint64
	// Incarnation makes order ids unique.
	Incarnation string

	// OrderDeadline is the time until the deadline of an order to an endpoint
	// without fencing. No order may be delayed longer in transit (default 30 s).
	OrderDeadline time.Duration
	// FencedOrderDeadline is the same for endpoints with fencing (default 5 s).
	// There it matters only when an endpoint restarts and forgets its token.
	FencedOrderDeadline time.Duration
	// LeaseWait is the lease's term plus its margin: how long after the start of an
	// outage a lease may still be valid (default 11 s).
	LeaseWait time.Duration
	// OutageLag is the longest time for which a stand-in planner may not notice that
	// an outage is over (default 5 s).
	OutageLag time.Duration
	// ClockMargin extends the lifetime of orders by this fraction, for clocks that
	// run at different rates (default 0.1).
	ClockMargin float64
	// AnswerTimeout is the time after which an answer is considered lost (default 2 s).
	AnswerTimeout time.Duration
	// PollInterval is the time between two status queries for an order that the
	// endpoint runs or has not seen (default 500 ms).
	PollInterval time.Duration
	// StateInterval is the time between two periodic reads of an endpoint's state
	// (default 30 s: 87 endpoints with 2 KB of state each are read at 5 KB/s).
	StateInterval time.Duration
	// MaxReads limits concurrent state reads, so that a takeover does not read the
	// states of all endpoints in one burst (default 16).
	MaxReads int
	// PlanInterval is the time between two plans (default 1 s).
	PlanInterval time.Duration
	// DrainTime is the time between removing an item from the layout and unloading
	// it, in which the new layout reaches the nodes (default 2 s).
	DrainTime time.Duration
	// MoveTimeout is the time after which a move is abandoned (default 90 s).
	MoveTimeout time.Duration
	// MaxAdapterLoads limits concurrent adapter loads at one endpoint (default 16;
	// more loads slow each other down).
	MaxAdapterLoads int
	// ReservedAdapters is the number of adapters per model for which memory is kept
	// free (default 4).
	ReservedAdapters int
	// TokensPerSecond is the throughput of an endpoint with speed 1 (default 154:
	// 400,000 tokens/s on 2,600 accelerators).
	TokensPerSecond float64
	// Roles enables separate prefill and decode endpoints for models with enough
	// replicas.
	Roles bool
	// Policy decides the moves (default: a Planner).
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
	if s.ClockMargin <= 0 {
		s.ClockMargin = 0.1
	}
	if s.AnswerTimeout <= 0 {
		s.AnswerTimeout = 2 * time.Second
	}
	if s.PollInterval <= 0 {
		s.PollInterval = 500 * time.Millisecond
	}
	if s.StateInterval <= 0 {
		s.StateInterval = 30 * time.Second
	}
	if s.MaxReads <= 0 {
		s.MaxReads = 16
	}
	if s.PlanInterval <= 0 {
		s.PlanInterval = time.Second
	}
	if s.DrainTime <= 0 {
		s.DrainTime = 2 * time.Second
	}
	if s.MoveTimeout <= 0 {
		s.MoveTimeout = 90 * time.Second
	}
	if s.MaxAdapterLoads <= 0 {
		s.MaxAdapterLoads = 16
	}
	if s.ReservedAdapters <= 0 {
		s.ReservedAdapters = 4
	}
	if s.TokensPerSecond <= 0 {
		s.TokensPerSecond = 154
	}
	if s.Policy == nil {
		s.Policy = NewPlanner()
	}
}

// Authority determines when a manager may give orders. The zero value permits
// none. The first three fields come from the domain's lease.
type Authority struct {
	// Until is the end of the lease's validity on the manager's clock.
	Until time.Time
	// Since is when this tenure of the lease began.
	Since time.Time
	// Epoch is the lease's epoch. During an outage it is above the counter of
	// the last layout's term that the node has seen.
	Epoch int64
	// OutageSince is set on the node that acts as stand-in planner while the
	// platform's table is unreachable, and zero otherwise. It is the last time at
	// which the table answered any node, as far as this node knows. The stand-in
	// gives orders only once no lease can be valid any more, and only to fencing
	// endpoints.
	OutageSince time.Time
}

// Action is an I/O operation that the caller of Step carries out: SendOrder,
// ReadState or ReadOrder.
type Action interface{ action() }

// SendOrder sends an order to an endpoint. It must not be sent at or after the
// order's deadline, which a worker checks directly before it sends. Sending it
// twice is harmless.
type SendOrder struct {
	Endpoint string
	Order    engine.Order
}

// ReadState reads an endpoint's state. RequestedAt is copied to the StateResult.
type ReadState struct {
	Endpoint    string
	RequestedAt time.Time
}

// ReadOrder queries the status of an order at an endpoint.
type ReadOrder struct {
	Endpoint string
	ID       string
}

func (SendOrder) action() {}
func (ReadState) action() {}
func (ReadOrder) action() {}

// StateResult is the outcome of a ReadState.
type StateResult struct {
	Endpoint    string
	RequestedAt time.Time
	State       engine.State
	Err         error
}

// OrderResult is the outcome of a SendOrder or a ReadOrder.
type OrderResult struct {
	Endpoint string
	ID       string
	Status   engine.OrderStatus
	// ErrorCode is the endpoint's error code, empty when it accepted the order.
	ErrorCode string
	// Err is set when there was no answer.
	Err error
}

// Inputs are the events and changes for one step. All fields are optional.
type Inputs struct {
	// Config is set when the configuration has changed.
	Config    *spec.Config
	Authority Authority
	States    []StateResult
	Orders    []OrderResult
	Reports   []DemandReport
	// Remote holds the replicas and demand of the region's other domains by model;
	// nil keeps the previous value.
	Remote map[string]RemoteModel
	// Leaving holds the endpoints that the platform lists as leaving; nil keeps the
	// previous list.
	Leaving map[string]bool
}

// MoveRecord describes a finished or abandoned move to operators.
type MoveRecord struct {
	At          time.Time
	Endpoint    string
	Item        Item
	Reason      Reason
	Done        bool
	Explanation string
}

// Counters count the events of a manager since its start.
type Counters struct {
	Loads            int64 // model loads that finished
	Unloads          int64
	AdapterLoads     int64
	AdapterEvictions int64
	Abandoned        int64
	StaleFence       int64
	LostAnswers      int64
	Restarts         int64
	Takeovers        int64
	ResentOrders     int64
	ByReason         map[Reason]int64
}

// sentOrder is an order that was sent and whose result is not known.
type sentOrder struct {
	order      engine.Order
	decidedAt  time.Time // when it was decided
	polledAt   time.Time // when it was last sent or queried
	phase      engine.OrderPhase
	unanswered int // consecutive failed requests
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
	phase          movePhase
	startedAt      time.Time
	drainedAt      time.Time // when draining ends
	loadSentAt     time.Time // when the load was sent
	loadID         string
	unloadIDs      []string
	unloadAttempts int
	retryAt        time.Time
}

type endpoint struct {
	spec.Endpoint
	ledger *Ledger
	// ownFence is the fencing token that this manager uses at the endpoint.
	ownFence engine.Fence
	// fenceRaisedAt is when ownFence was last raised above another manager's token.
	fenceRaisedAt time.Time

	readSentAt  time.Time // of the pending read, zero if there is none
	readDue     bool
	nextRead    time.Time
	failedReads int

	role            engine.Role
	reportedLeaving bool // by the endpoint's state
	listedLeaving   bool // by the platform's list
	orders          map[string]*sentOrder
	move            *move
	residentSince   map[Item]time.Time
	evictedAt       map[Item]time.Time // when adapters were removed from the layout
	loadFailedAt    map[Item]time.Time // when adapter loads failed
	layout          EndpointLayout
}

// fenceConfirmed reports whether the last state shows this manager's fencing
// token as the endpoint's highest.
func (e *endpoint) fenceConfirmed() bool {
	return e.ownFence != (engine.Fence{}) && e.ownFence == e.ledger.Fence()
}

// Manager is the state machine that plans and carries out placement in one
// failure domain. It has no goroutine and does no I/O: Step returns actions, and
// their results are inputs of later steps. Results may be late, lost or repeated.
type Manager struct {
	settings        Settings
	cfg             *spec.Config
	models          map[string]spec.Model
	adapters        map[Item]spec.Adapter // by model and adapter
	adaptersByModel map[string][]spec.Adapter
	endpoints       map[string]*endpoint
	endpointNames   []string
	demand          *DemandEstimator
	weights         WeightLimiter
	remote          map[string]RemoteModel
	domainRanks     map[string]int

	authority     Authority
	tenureSince   time.Time // Since of the last lease tenure
	lastStep      time.Time
	term          engine.Fence
	standingIn    bool
	hasTenure     bool
	nextPlan      time.Time
	nextID        int64
	readsInFlight int // pending state reads
	firstEndpoint int
	loadTime      time.Duration

	layoutSeq       int64
	removed         map[string]int64 // layout number at which endpoints were removed
	publishedDemand map[string]ModelDemand
	excess          map[string]float64
	counters        Counters
	records         []MoveRecord
}

// maxRecords limits the records kept until TakeRecords is called.
const maxRecords = 256

// NewManager returns a manager without a configuration. Its first Step that
// receives one adds the endpoints.
func NewManager(set Settings) *Manager {
	set.defaults()
	return &Manager{
		settings:        set,
		endpoints:       map[string]*endpoint{},
		demand:          NewDemandEstimator(),
		remote:          map[string]RemoteModel{},
		publishedDemand: map[string]ModelDemand{},
		removed:         map[string]int64{},
		loadTime:        2 * time.Second,
		counters: Counters{
			ByReason: map[Reason]int64{},
		},
	}
}

// Step processes the inputs and returns the actions to carry out. now comes from
// a clock that continues while the VM is suspended. Without authority Step
// returns no actions.
func (m *Manager) Step(now time.Time, in Inputs) []Action {
	if in.Config != nil {
		m.applyConfig(now, in.Config)
	}
	if in.Remote != nil {
		m.remote = in.Remote
	}
	for _, name := range m.endpointNames {
		e := m.endpoints[name]
		if in.Leaving != nil {
			e.listedLeaving = in.Leaving[name]
		}
	}
	m.applyAuthority(now, in.Authority)
	for _, r := range in.States {
		m.onState(now, r)
	}
	for _, r := range in.Orders {
		m.onOrder(now, r)
	}
	for _, r := range in.Reports {
		m.demand.Add(now, r)
		for _, name := range r.Suspects {
			if e := m.endpoints[name]; e != nil {
				e.readDue = true
			}
		}
	}
	m.demand.Advance(now)
	if !m.active(now) || m.cfg == nil {
		return nil
	}
	var out []Action
	m.readsInFlight = 0
	for _, e := range m.endpoints {
		if !e.readSentAt.IsZero() {
			m.readsInFlight++
		}
	}
	// Each step starts with the next endpoint, so that MaxReads does not always
	// defer the same ones.
	m.firstEndpoint++
	for i := range m.endpointNames {
		out = m.advanceEndpoint(now, m.endpoints[m.endpointNames[(i+m.firstEndpoint)%len(m.endpointNames)]], out)
	}
	if !now.Before(m.nextPlan) {
		m.nextPlan = now.Add(m.settings.PlanInterval)
		m.plan(now)
		for _, name := range m.endpointNames {
			if e := m.endpoints[name]; e.move != nil && e.move.startedAt.Equal(now) {
				out = m.advanceMove(now, e, out)
			}
		}
	}
	out = m.advanceAdapters(now, out)
	m.publish()
	return out
}

// active reports whether the manager may act, as lease holder or as stand-in
// planner.
func (m *Manager) active(now time.Time) bool {
	return now.Before(m.authority.Until) || m.standsIn(now)
}

// standsIn reports whether this node acts as stand-in planner: the platform's
// table has been unreachable for so long that no lease can be valid.
func (m *Manager) standsIn(now time.Time) bool {
	return !m.authority.OutageSince.IsZero() && now.Sub(m.authority.OutageSince) >= m.settings.LeaseWait
}

// canOrder reports whether orders may be sent to an endpoint now. An endpoint
// without fencing needs a valid lease, and no order of an earlier holder may be
// able to arrive any more.
func (m *Manager) canOrder(now time.Time, e *endpoint) bool {
	if e.ledger.Fencing() {
		return m.active(now)
	}
	return now.Before(m.authority.Until) && e.ledger.Synced()
}

// orderLifetime is how long an order can take effect after it was decided.
func (m *Manager) orderLifetime(fencing bool) time.Duration {
	lifetime := m.settings.OrderDeadline
	if fencing {
		lifetime = m.settings.FencedOrderDeadline
	}
	return lifetime + time.Duration(float64(lifetime)*m.settings.ClockMargin)
}

// applyAuthority stores the authority and begins a new tenure where needed.
func (m *Manager) applyAuthority(now time.Time, a Authority) {
	valid := now.Before(a.Until)
	// After the lease expired, or after a pause of a stand-in planner, a new tenure
	// begins: another node may have acted as stand-in meanwhile, and an endpoint
	// that restarted has forgotten its token.
	expired := valid && !m.standingIn && !now.Before(m.authority.Until)
	paused := !valid && m.standingIn && now.Sub(m.lastStep) > m.settings.AnswerTimeout
	m.authority, m.lastStep = a, now
	if !valid && !m.standsIn(now) {
		m.standingIn = false
		return
	}
	// A stand-in planner does not hold the lease: endpoints without fencing keep the
	// staleUntil of the last lease tenure.
	begins := !m.hasTenure || valid && !a.Since.Equal(m.tenureSince) || m.standingIn == valid || expired || paused
	m.standingIn = !valid
	if !begins {
		return
	}
	newLease := valid && (!m.hasTenure || !a.Since.Equal(m.tenureSince))
	m.hasTenure = true
	m.counters.Takeovers++
	m.term = engine.Fence{
		Counter: max(a.Epoch, m.term.Counter+1),
		Node:    m.settings.Node,
	}
	// A new term starts with a full layout.
	m.removed = map[string]int64{}
	if newLease {
		m.tenureSince = a.Since
	}
	for _, name := range m.endpointNames {
		e := m.endpoints[name]
		switch {
		case newLease:
			wait := m.orderLifetime(e.Fencing)
			if e.Fencing {
				wait += m.settings.OutageLag
			}
			e.ledger.BeginTenure(a.Since.Add(wait))
		case e.Fencing:
			// Another node may have been stand-in planner until now, or still be.
			e.ledger.BeginTenure(now.Add(m.orderLifetime(true) + m.settings.OutageLag))
		}
		e.readDue = true
		// The states show the orders of an earlier tenure that are running; the
		// ledger keeps their memory booked.
		e.orders = map[string]*sentOrder{}
		e.move = nil
		e.evictedAt = map[Item]time.Time{}
	}
}

// applyConfig adds, updates and removes endpoints and models according to a
// configuration.
func (m *Manager) applyConfig(now time.Time, cfg *spec.Config) {
	m.cfg = cfg
	m.models = make(map[string]spec.Model, len(cfg.Models))
	for _, x := range cfg.Models {
		m.models[x.Name] = x
	}
	m.adapters = make(map[Item]spec.Adapter, len(cfg.Adapters))
	m.adaptersByModel = map[string][]spec.Adapter{}
	for _, a := range cfg.Adapters {
		m.adapters[Item{Model: a.Model, Adapter: a.Name}] = a
		m.adaptersByModel[a.Model] = append(m.adaptersByModel[a.Model], a)
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
		if c.Domain != m.settings.Domain {
			continue
		}
		listed[c.Name] = true
		e := m.endpoints[c.Name]
		if e != nil && (e.Address != c.Address || e.Fencing != c.Fencing) {
			// Another process under the same name has its own memory and needs a new
			// ledger.
			e = nil
		}
		if e == nil {
			e = m.newEndpoint(now, c)
			m.endpoints[c.Name] = e
		}
		e.Endpoint = c
		e.ledger.SetMemory(c.MemoryMiB)
	}
	for name := range m.endpoints {
		if !listed[name] {
			delete(m.endpoints, name)
			m.layoutSeq++
			m.removed[name] = m.layoutSeq
		}
	}
	m.endpointNames = slices.Sorted(maps.Keys(m.endpoints))
	m.rankDomains(cfg, domains)
	m.weights.SetLimits(m.settings.Domain, slices.Sorted(maps.Keys(domains)), cfg.Limits.WeightLoadsPerSecond, cfg.Limits.WeightLoadsParallel)
}

// rankDomains computes the position of this domain in the order of the region's
// domains for each model.
func (m *Manager) rankDomains(cfg *spec.Config, domains map[string]bool) {
	regions := map[string]string{}
	for _, d := range cfg.Domains {
		regions[d.Name] = d.Region
	}
	var sameRegion []string
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if regions[name] == regions[m.settings.Domain] {
			sameRegion = append(sameRegion, name)
		}
	}
	m.domainRanks = make(map[string]int, len(m.models))
	for name := range m.models {
		m.domainRanks[name] = max(0, slices.Index(rank.Order(name, sameRegion), m.settings.Domain))
	}
}

func (m *Manager) newEndpoint(now time.Time, c spec.Endpoint) *endpoint {
	e := &endpoint{
		Endpoint: c,
		ledger: NewLedger(LedgerSettings{
			Endpoint:    c.Name,
			MemoryMiB:   c.MemoryMiB,
			Fencing:     c.Fencing,
			ClockMargin: m.settings.ClockMargin,
		}),
		readDue:       true,
		orders:        map[string]*sentOrder{},
		residentSince: map[Item]time.Time{},
		evictedAt:     map[Item]time.Time{},
		loadFailedAt:  map[Item]time.Time{},
	}
	// The endpoint may have been removed and added again while orders to it were in
	// transit, so the wait for those orders starts again.
	e.ledger.BeginTenure(now.Add(m.orderLifetime(c.Fencing)))
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

// Ledger returns the ledger of an endpoint for inspection, nil if the endpoint is
// unknown.
func (m *Manager) Ledger(name string) *Ledger {
	if e := m.endpoints[name]; e != nil {
		return e.ledger
	}
	return nil
}
