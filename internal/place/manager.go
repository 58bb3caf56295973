package place

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
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
	// FencedOrderDeadline is the same for endpoints with fencing (default 10 s).
	FencedOrderDeadline time.Duration
	// Margin covers clocks that run at different rates (default 0.1).
	Margin float64
	// AnswerWait is when an answer counts as lost (default 2 s).
	AnswerWait time.Duration
	// Poll is the time between two questions about a running order (default 500 ms).
	Poll time.Duration
	// StateEvery is the time between two reads of an endpoint's state while
	// nothing happens there (default 30 s: 87 endpoints of 2 KB at 5 KB/s).
	StateEvery time.Duration
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
		s.FencedOrderDeadline = 10 * time.Second
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

// Authority is what allows a manager to give orders. The zero value allows nothing.
type Authority struct {
	// Until is the end of the lease's validity on the manager's clock.
	Until time.Time
	// Since is when this holding of the lease began.
	Since time.Time
	// Epoch is the lease's epoch. During an outage it is above the counter of
	// the last layout's term that the node has seen.
	Epoch int64
	// Outage means that the platform's table answers no node and that this node
	// stands in as planner. Only fencing endpoints are ordered then.
	Outage bool
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

// Codes with which endpoints refuse orders.
const (
	RefusedStaleFence = "stale-fence"
	RefusedNoMemory   = "no-memory"
)

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
	term     engine.Fence
	outage   bool
	begun    bool
	nextPlan time.Time
	nextID   int64
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
	for _, name := range m.names {
		out = m.drive(now, m.eps[name], out)
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
	return now.Before(m.auth.Until) || m.auth.Outage
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

func (m *Manager) quiet() time.Duration {
	return m.set.OrderDeadline + time.Duration(float64(m.set.OrderDeadline)*m.set.Margin)
}

// authorise takes over the authority and begins a new holding.
func (m *Manager) authorise(now time.Time, a Authority) {
	m.auth = a
	valid := now.Before(a.Until)
	if !valid && !a.Outage {
		m.outage = false
		return
	}
	// Standing in during an outage is not a holding of the lease: endpoints
	// without fencing keep the quiet time of the last one.
	begins := !m.begun || valid && !a.Since.Equal(m.held) || !valid && !m.outage
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
		if fresh {
			e.ledger.Begin(a.Since.Add(m.quiet()))
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
			Quiet:     m.quiet(),
		}),
		wantRead: true,
		orders:   map[string]*sentOrder{},
		since:    map[Item]time.Time{},
		dropping: map[Item]time.Time{},
		tried:    map[Item]time.Time{},
	}
	// The endpoint may have been removed and added again, with orders under way
	// from before, so the wait starts anew.
	e.ledger.Begin(now.Add(m.quiet()))
	return e
}

// onState takes over a state that an endpoint gave.
func (m *Manager) onState(now time.Time, r StateResult) {
	e := m.eps[r.Endpoint]
	if e == nil {
		return
	}
	if r.Asked.Equal(e.readAsked) {
		e.readAsked = time.Time{}
	}
	if r.Err != nil {
		e.fails++
		e.nextRead = now.Add(m.set.AnswerWait)
		return
	}
	before := e.ledger.Incarnation()
	if !e.ledger.Apply(r.Asked, now, r.State) {
		e.wantRead = true
		return
	}
	e.fails = 0
	e.nextRead = now.Add(m.set.StateEvery)
	e.role = r.State.Role
	e.leaving = r.State.Leaving
	if before != "" && before != r.State.Incarnation {
		m.counters.Restarts++
		e.dropping = map[Item]time.Time{}
		if e.move != nil {
			m.abandon(now, e, "the accelerator has restarted")
		}
	}
	running := map[string]bool{}
	for _, o := range r.State.Running {
		running[o.ID] = true
	}
	for id, s := range e.orders {
		if running[id] {
			s.phase = engine.OrderRunning
			continue
		}
		if !slices.Contains(e.ledger.Open(), id) {
			// The state proves that the order is over.
			m.settle(now, e, s, e.ledger.Has(itemOf(s.order)))
			delete(e.orders, id)
		}
	}
	for i := range e.since {
		if !e.ledger.Has(i) {
			delete(e.since, i)
			delete(e.dropping, i)
		}
	}
	for _, i := range e.ledger.Resident() {
		if _, ok := e.since[i]; !ok {
			e.since[i] = now
		}
	}
}

// onOrder takes over an endpoint's word on an order.
func (m *Manager) onOrder(now time.Time, r OrderResult) {
	e := m.eps[r.Endpoint]
	if e == nil {
		return
	}
	s := e.orders[r.ID]
	if s == nil {
		return
	}
	if r.Err != nil {
		s.silent++
		m.counters.LostAnswers++
		return
	}
	s.silent = 0
	if r.Refused != "" {
		if r.Refused == RefusedStaleFence {
			m.counters.StaleFence++
		}
		m.settle(now, e, s, false)
		delete(e.orders, r.ID)
		e.wantRead = true
		return
	}
	s.phase = r.Status.Phase
	switch r.Status.Phase {
	case engine.OrderDone, engine.OrderFailed:
		m.settle(now, e, s, r.Status.Phase == engine.OrderDone)
		delete(e.orders, r.ID)
		e.wantRead = true
	}
}

// settle takes over that an order is over as far as the move goes. The ledger
// keeps its memory booked until a state proves that no copy can arrive.
func (m *Manager) settle(now time.Time, e *endpoint, s *sentOrder, done bool) {
	switch s.order.Kind {
	case engine.OrderLoad:
		mv := e.move
		if mv == nil || mv.loadID != s.order.ID {
			return
		}
		if !done {
			m.abandon(now, e, "the accelerator did not load it")
			return
		}
		mv.phase = moveLoaded
		took := now.Sub(mv.started)
		m.loadTime += (took - m.loadTime) / 8
	case engine.OrderLoadAdapter:
		if done {
			m.counters.AdapterLoads++
			m.counters.ByReason[ReasonAdapter]++
		} else {
			e.tried[itemOf(s.order)] = now
		}
	case engine.OrderUnloadAdapter:
		if done {
			m.counters.AdapterEvicts++
			m.counters.ByReason[ReasonAdapterGo]++
		}
	case engine.OrderUnload:
		if done {
			m.counters.Unloads++
		}
	}
}

func (m *Manager) record(r MoveRecord) {
	m.records = append(m.records, r)
	if len(m.records) > maxRecords {
		m.records = m.records[len(m.records)-maxRecords:]
	}
}

func (m *Manager) abandon(now time.Time, e *endpoint, why string) {
	mv := e.move
	e.move = nil
	m.counters.Abandoned++
	m.record(MoveRecord{
		At:       now,
		Endpoint: e.Name,
		Item:     mv.Load,
		Reason:   mv.Reason,
		Sentence: fmt.Sprintf("%s It was given up because %s.", mv.Sentence, why),
	})
}

func (m *Manager) finish(now time.Time, e *endpoint) {
	mv := e.move
	e.move = nil
	m.counters.ByReason[mv.Reason]++
	item := mv.Load
	if mv.Load != (Item{}) {
		m.counters.Loads++
	} else if len(mv.Evict) > 0 {
		item = mv.Evict[0]
	}
	m.record(MoveRecord{
		At:       now,
		Endpoint: e.Name,
		Item:     item,
		Reason:   mv.Reason,
		Done:     true,
		Sentence: mv.Sentence,
	})
}

// order makes an order for an endpoint under its current fence.
func (m *Manager) order(now time.Time, e *endpoint, kind engine.OrderKind, i Item, mib int64) engine.Order {
	life := m.set.OrderDeadline
	fence := engine.Fence{
		Counter: m.auth.Epoch,
		Node:    m.set.Node,
	}
	if e.ledger.Fencing() {
		life, fence = m.set.FencedOrderDeadline, e.own
	}
	m.nextID++
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d-%s-%d", m.set.Domain, m.set.Node, m.set.Incarnation, m.nextID),
		Fence:     fence,
		Kind:      kind,
		Model:     i.Model,
		Version:   i.Version,
		Adapter:   i.Adapter,
		MemoryMiB: mib,
		Deadline:  now.Add(life),
	}
}

// send books an order and asks to send it.
func (m *Manager) send(now time.Time, e *endpoint, o engine.Order, out []Action) ([]Action, error) {
	if err := e.ledger.Book(now, o); err != nil {
		return out, err
	}
	e.orders[o.ID] = &sentOrder{
		order: o,
		at:    now,
		asked: now,
	}
	return append(out, SendOrder{
		Endpoint: e.Name,
		Order:    o,
	}), nil
}

// raise takes an unused fence above all that the endpoint has reported. Loads
// wait until a state shows it.
func (m *Manager) raise(e *endpoint) {
	e.own = engine.Fence{
		Counter: max(m.auth.Epoch, e.ledger.Fence().Counter+1, e.own.Counter+1),
		Node:    m.set.Node,
	}
}

// unanswered reports whether loads are under way of which the endpoint has not
// said that it received them. A higher fence would make it refuse them.
func (m *Manager) unanswered(now time.Time, e *endpoint) bool {
	for _, s := range e.orders {
		if takesMemory(s.order.Kind) && s.phase != engine.OrderRunning && now.Sub(s.at) < 3*m.set.AnswerWait {
			return true
		}
	}
	return false
}

// drive does what an endpoint needs apart from new plans.
func (m *Manager) drive(now time.Time, e *endpoint, out []Action) []Action {
	if !e.readAsked.IsZero() && now.Sub(e.readAsked) >= m.set.AnswerWait {
		e.readAsked = time.Time{}
		e.fails++
		m.counters.LostAnswers++
	}
	if e.readAsked.IsZero() && (e.wantRead || !now.Before(e.nextRead)) && (e.fails == 0 || !now.Before(e.nextRead)) {
		e.readAsked, e.wantRead = now, false
		e.nextRead = now.Add(m.set.AnswerWait)
		out = append(out, ReadState{
			Endpoint: e.Name,
			Asked:    now,
		})
	}
	if !m.mayOrder(now, e) {
		return out
	}
	out = m.driveOrders(now, e, out)
	if e.ledger.Fencing() {
		out = m.driveFence(now, e, out)
	}
	return m.driveMove(now, e, out)
}

// driveOrders asks about orders without a final word and sends them again when
// the endpoint has not seen them.
func (m *Manager) driveOrders(now time.Time, e *endpoint, out []Action) []Action {
	for _, id := range slices.Sorted(maps.Keys(e.orders)) {
		s := e.orders[id]
		wait := m.set.AnswerWait
		if s.phase == engine.OrderRunning || s.phase == engine.OrderUnseen {
			wait = m.set.Poll
		}
		if now.Sub(s.asked) < wait {
			continue
		}
		s.asked = now
		life := s.order.Deadline.Sub(s.at)
		if s.phase == engine.OrderUnseen && now.Before(s.order.Deadline.Add(-life/5)) {
			s.phase = ""
			m.counters.Resent++
			out = append(out, SendOrder{
				Endpoint: e.Name,
				Order:    s.order,
			})
			continue
		}
		if !now.Before(s.order.Deadline) && s.phase != engine.OrderRunning {
			// Only a state can settle it now.
			e.wantRead = true
		}
		out = append(out, ReadOrder{
			Endpoint: e.Name,
			ID:       id,
		})
	}
	return out
}

// driveFence makes this manager's fence the endpoint's highest. The order that
// carries it is a change to the role that the endpoint has, which changes
// nothing else.
func (m *Manager) driveFence(now time.Time, e *endpoint, out []Action) []Action {
	if e.ledger.Incarnation() == "" {
		return out
	}
	seen := e.ledger.Fence()
	if e.own == (engine.Fence{}) || e.own.Less(seen) {
		// Another holder has ordered something. Without a lease the other one
		// has the same right, and both taking turns would help nobody.
		if !now.Before(m.auth.Until) && !e.claimed.IsZero() && now.Sub(e.claimed) < m.quiet() {
			return out
		}
		e.claimed = now
		m.raise(e)
	} else if e.fenced() {
		for _, s := range e.orders {
			lost := s.phase != engine.OrderRunning && now.Sub(s.at) >= 3*m.set.AnswerWait
			if lost && takesMemory(s.order.Kind) {
				// A higher fence proves sooner than the deadline that the order
				// can no longer arrive.
				m.raise(e)
				break
			}
		}
	}
	if e.fenced() {
		return out
	}
	for _, s := range e.orders {
		if s.order.Fence == e.own && !takesMemory(s.order.Kind) && now.Before(s.order.Deadline) {
			return out
		}
	}
	if !e.readAsked.IsZero() || e.wantRead {
		// The answer may show that the fence is in place.
		return out
	}
	return m.sendRole(now, e, e.role, out)
}

func (m *Manager) sendRole(now time.Time, e *endpoint, role engine.Role, out []Action) []Action {
	o := m.order(now, e, engine.OrderRole, Item{}, 0)
	o.Role = role
	if o.Role == "" {
		o.Role = engine.RoleMixed
	}
	out, err := m.send(now, e, o, out)
	if err != nil {
		e.wantRead = true
	}
	return out
}

// driveMove takes the next step of the move at an endpoint.
func (m *Manager) driveMove(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if mv == nil || !m.mayOrder(now, e) {
		return out
	}
	if now.Sub(mv.begun) > m.set.MoveTimeout {
		m.abandon(now, e, "it took too long")
		return out
	}
	if mv.Role != "" {
		return m.driveRole(now, e, out)
	}
	if mv.phase == moveDraining {
		if now.Before(mv.ready) {
			return out
		}
		mv.phase = moveUnloading
	}
	if mv.phase == moveUnloading {
		var done bool
		out, done = m.driveUnload(now, e, out)
		if !done {
			return out
		}
		mv.phase = moveLoading
		if mv.Load == (Item{}) {
			m.finish(now, e)
			return out
		}
	}
	switch mv.phase {
	case moveLoading:
		if mv.loadID != "" {
			return out
		}
		if e.ledger.Has(mv.Load) {
			m.finish(now, e)
			return out
		}
		if m.weights.Ready(now, m.loading(), m.loadTime) <= 0 {
			return out
		}
		o := m.order(now, e, engine.OrderLoad, mv.Load, mv.MiB)
		next, err := m.send(now, e, o, out)
		if err != nil {
			// The space is still booked for an order that may take effect; the
			// state will release it.
			if !now.Before(mv.retryAt) {
				mv.retryAt = now.Add(m.set.AnswerWait)
				e.wantRead = true
			}
			return out
		}
		m.weights.Take()
		mv.loadID, mv.started = o.ID, now
		return next
	case moveLoaded:
		if e.ledger.Has(mv.Load) {
			m.finish(now, e)
		}
	}
	return out
}

func (m *Manager) driveRole(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if e.role == mv.Role {
		m.finish(now, e)
		return out
	}
	if now.Before(mv.retryAt) || e.ledger.Fencing() && !e.fenced() {
		return out
	}
	mv.retryAt = now.Add(3 * m.set.AnswerWait)
	return m.sendRole(now, e, mv.Role, out)
}

// driveUnload sends the unloads of a move and reports whether a state shows
// that everything is gone.
func (m *Manager) driveUnload(now time.Time, e *endpoint, out []Action) ([]Action, bool) {
	mv := e.move
	var rest []Item
	for _, i := range e.ledger.Resident() {
		for _, gone := range mv.Evict {
			if i.Model == gone.Model && i.Version == gone.Version && (gone.Adapter == "" || gone.Adapter == i.Adapter) {
				rest = append(rest, i)
				break
			}
		}
	}
	if len(rest) == 0 {
		return out, true
	}
	for _, id := range mv.unloads {
		if e.orders[id] != nil {
			return out, false
		}
	}
	if now.Before(mv.retryAt) || !e.readAsked.IsZero() || e.wantRead {
		return out, false
	}
	if e.ledger.Fencing() {
		if !e.fenced() || m.unanswered(now, e) {
			return out, false
		}
		// The raised fence proves, once a state shows it, that no copy of the
		// evicted model's load can run again.
		m.raise(e)
	}
	mv.tries++
	if mv.tries > 3 {
		m.abandon(now, e, "the accelerator did not unload what had to make room")
		return out, false
	}
	mv.retryAt = now.Add(m.set.AnswerWait)
	mv.unloads = mv.unloads[:0]
	// Adapters go before their model.
	slices.SortStableFunc(rest, func(a, b Item) int { return strings.Compare(b.Adapter, a.Adapter) })
	for _, i := range rest {
		kind := engine.OrderUnload
		if i.Adapter != "" {
			kind = engine.OrderUnloadAdapter
		}
		o := m.order(now, e, kind, i, 0)
		var err error
		if out, err = m.send(now, e, o, out); err == nil {
			mv.unloads = append(mv.unloads, o.ID)
		}
	}
	return out, false
}

// loading counts the model loads that may be using the weight store.
func (m *Manager) loading() int {
	n := 0
	for _, e := range m.eps {
		for _, s := range e.orders {
			if s.order.Kind == engine.OrderLoad {
				n++
			}
		}
	}
	return n
}

// usable reports whether an endpoint may be given new models.
func (e *endpoint) usable() bool {
	return !e.leaving && !e.listed && e.fails < 3 && e.ledger.Incarnation() != ""
}

// evicting reports whether an item is about to be unloaded.
func (e *endpoint) evicting(i Item) bool {
	if _, ok := e.dropping[i]; ok {
		return true
	}
	if e.move == nil {
		return false
	}
	for _, gone := range e.move.Evict {
		if i.Model == gone.Model && i.Version == gone.Version && (gone.Adapter == "" || gone.Adapter == i.Adapter) {
			return true
		}
	}
	return false
}

// View is the picture that the policy decides on.
func (m *Manager) View(now time.Time) *View {
	v := &View{
		Now:             now,
		LoadTime:        m.loadTime,
		TokensPerSecond: m.set.TokensPerSecond,
	}
	refs := m.demand.refs()
	pending := 0
	for _, name := range m.names {
		e := m.eps[name]
		if e.move != nil && e.move.Load != (Item{}) && e.move.loadID == "" {
			pending++
		}
		if !e.usable() {
			continue
		}
		ev := EndpointView{
			Name:      name,
			MemoryMiB: e.ledger.MemoryMiB(),
			FreeMiB:   e.ledger.FreeMiB(),
			Speed:     e.Speed,
			Role:      e.role,
			Idle:      e.move == nil && m.mayOrder(now, e) && (!e.ledger.Fencing() || e.fenced()),
		}
		if !e.ledger.Fencing() {
			ev.Hold = m.quiet()
		}
		possible := e.ledger.possible()
		if e.move != nil && e.move.Load != (Item{}) && possible[e.move.Load] == 0 {
			possible[e.move.Load] = e.move.MiB
		}
		for _, i := range slices.SortedFunc(maps.Keys(possible), compareItems) {
			if !e.ledger.Has(i) && !m.coming(e, i) {
				// Only a late copy of an old order could bring it back.
				continue
			}
			ev.Items = append(ev.Items, ItemView{
				Item:  i,
				MiB:   possible[i],
				Ready: e.ledger.Has(i) && !e.evicting(i),
				Since: e.since[i],
				Refs:  refs[name][Item{Model: i.Model, Adapter: i.Adapter}],
			})
		}
		v.Endpoints = append(v.Endpoints, ev)
	}
	for _, name := range slices.Sorted(maps.Keys(m.models)) {
		x := m.models[name]
		away := m.remote[name]
		mv := ModelView{
			Spec:       x,
			Requests:   away.Requests,
			Tokens:     away.Tokens,
			Value:      away.Value,
			Excess:     away.Excess,
			Remote:     away.Replicas,
			Turn:       m.turns[name],
			AdapterMiB: m.adapterRoom(name),
		}
		if d := m.demand.models[name]; d != nil {
			mv.Requests += d.requests.level
			mv.Tokens += d.tokens.level
			mv.Value += d.value.level
			mv.LastUse, mv.Waiting = d.lastUse, d.waiting
		}
		v.Models = append(v.Models, mv)
	}
	// Moves may be decided a little ahead of the weight store: unloading takes
	// its time first.
	v.Loads = max(0, 2+m.weights.Ready(now, m.loading(), m.loadTime)-pending)
	return v
}

// coming reports whether an item is being loaded on purpose.
func (m *Manager) coming(e *endpoint, i Item) bool {
	if e.move != nil && e.move.Load == i {
		return true
	}
	for _, s := range e.orders {
		if takesMemory(s.order.Kind) && itemOf(s.order) == i {
			return true
		}
	}
	for _, o := range e.ledger.running {
		if takesMemory(o.Kind) && itemOf(o) == i {
			return true
		}
	}
	return false
}

// adapterRoom is the memory kept free for the adapters of a model.
func (m *Manager) adapterRoom(model string) int64 {
	var sum, most int64
	for _, a := range m.byModel[model] {
		sum += a.MemoryMiB
		most = max(most, a.MemoryMiB)
	}
	return min(sum, int64(m.set.AdapterRoom)*most)
}

// plan asks the policy for moves and begins those that are possible.
func (m *Manager) plan(now time.Time) {
	v := m.View(now)
	m.excess = excess(v)
	moves := m.set.Policy.Plan(v)
	if m.set.Roles {
		moves = append(moves, planRoles(v, moves)...)
	}
	for _, x := range moves {
		e := m.eps[x.Endpoint]
		if e == nil || e.move != nil || !e.usable() || !m.mayOrder(now, e) {
			continue
		}
		mv := &move{
			Move:  x,
			begun: now,
			ready: now,
		}
		if len(x.Evict) > 0 {
			mv.ready = now.Add(m.set.Drain)
		}
		e.move = mv
	}
}

// publish brings the layout up to date and numbers what changed.
func (m *Manager) publish() {
	for _, name := range m.names {
		e := m.eps[name]
		next := m.layoutOf(e)
		if e.layout.Seq > 0 && equalLayout(e.layout, next) {
			continue
		}
		m.seq++
		next.Seq = m.seq
		e.layout = next
		delete(m.removed, name)
	}
	for name := range m.published {
		if _, ok := m.models[name]; !ok && m.published[name].Requests != 0 {
			m.seq++
			m.published[name] = ModelDemand{
				Model: name,
				Seq:   m.seq,
			}
		}
	}
	for name := range m.models {
		var next ModelDemand
		if d := m.demand.models[name]; d != nil {
			next = ModelDemand{
				Requests: float32(d.requests.level),
				Tokens:   float32(d.tokens.level),
				Value:    float32(d.value.level),
			}
			// In tenths, so that the layout does not change all the time.
			next.Excess = float32(math.Round(m.excess[name]/max(d.tokens.level, 1)*10) / 10 * d.tokens.level)
		}
		next.Model = name
		old, ok := m.published[name]
		next.Seq = old.Seq
		if old == next || !ok && next.Requests == 0 {
			continue
		}
		m.seq++
		next.Seq = m.seq
		m.published[name] = next
	}
}

func (m *Manager) layoutOf(e *endpoint) EndpointLayout {
	out := EndpointLayout{
		Endpoint: e.Name,
		Role:     e.role,
		Leaving:  e.leaving || e.listed,
	}
	if e.fails >= 3 {
		return out
	}
	if e.move != nil && e.move.Load != (Item{}) && !e.ledger.Has(e.move.Load) {
		out.Models = append(out.Models, ModelLayout{
			Model:   e.move.Load.Model,
			Version: e.move.Load.Version,
			Coming:  true,
		})
	}
	// Items are in order: a model comes directly before its adapters.
	for _, i := range e.ledger.Resident() {
		if i.Adapter == "" {
			out.Models = append(out.Models, ModelLayout{
				Model:   i.Model,
				Version: i.Version,
				Ready:   !e.evicting(i),
			})
			continue
		}
		n := len(out.Models)
		if n > 0 && out.Models[n-1].Model == i.Model && out.Models[n-1].Version == i.Version && !e.evicting(i) {
			out.Models[n-1].Adapters = append(out.Models[n-1].Adapters, i.Adapter)
		}
	}
	return out
}

func equalLayout(a, b EndpointLayout) bool {
	return a.Role == b.Role && a.Leaving == b.Leaving && slices.EqualFunc(a.Models, b.Models, func(x, y ModelLayout) bool {
		return x.Model == y.Model && x.Version == y.Version && x.Ready == y.Ready && x.Coming == y.Coming && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Layout is the whole layout.
func (m *Manager) Layout() Layout {
	out := Layout{
		Domain: m.set.Domain,
		Term:   m.term,
		Seq:    m.seq,
	}
	for _, name := range m.names {
		if e := m.eps[name]; e.layout.Seq > 0 {
			out.Endpoints = append(out.Endpoints, e.layout)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.published)) {
		out.Demand = append(out.Demand, m.published[name])
	}
	return out
}

// Reply is what a node that holds the layout of a term and number needs.
func (m *Manager) Reply(term engine.Fence, seq int64) LayoutReply {
	full := m.Layout()
	out := LayoutReply{
		Domain: full.Domain,
		Term:   full.Term,
		Seq:    full.Seq,
	}
	if term != full.Term || seq > full.Seq || seq <= 0 {
		out.Full, out.Changed, out.Demand = true, full.Endpoints, full.Demand
		return out
	}
	out.Base = seq
	for _, e := range full.Endpoints {
		if e.Seq > seq {
			out.Changed = append(out.Changed, e)
		}
	}
	for _, d := range full.Demand {
		if d.Seq > seq {
			out.Demand = append(out.Demand, d)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.removed)) {
		if m.removed[name] > seq {
			out.Removed = append(out.Removed, name)
		}
	}
	return out
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
