// Package models decides which models and adapters the engines hold, and creates
// the orders that load and unload them.
//
// Engines do not check fencing tokens. Each order therefore carries the number
// of orders that the engine has accepted so far (Order.Expected), and the engine
// compares that number with its own when it executes the order. Orders are
// computed from a confirmed state of the engine only, and at most one order with
// the same number takes effect. An order whose answer was lost can therefore be
// executed late without harm: it still fits the state that it was computed from,
// and the engine refuses it once any other order was accepted.
//
// A Planner has no goroutine and does no I/O.
package models

import (
	"math"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Order makes an engine load or unload one model or adapter.
type Order struct {
	Key     fleet.Key
	Address string
	Load    bool
	Model   string
	// Adapter is empty for orders about the model itself.
	Adapter string
	// Expected is how many orders the engine must have accepted before this one;
	// it refuses the order if the number differs.
	Expected int64
	// FromStore reports whether the weights come from the weight store, rather
	// than from the engine's memory or disk.
	FromStore bool
	Reason    string
}

// Answer is an engine's answer to an order.
type Answer int

// The answers to an order.
const (
	// NoAnswer means that there was no answer; the order may take effect later.
	NoAnswer Answer = iota
	// Accepted means that the engine is executing the order.
	Accepted
	// AlreadyDone means that the engine was in the ordered state already, or that
	// the order took effect at once.
	AlreadyDone
	// Refused means that the order will have no effect.
	Refused
)

// String returns the name of the answer as written to logs.
func (a Answer) String() string {
	return [...]string{"lost", "accepted", "holds", "refused"}[a]
}

const (
	// orderTimeout is the time without an answer after which an order is treated
	// as lost.
	orderTimeout = 1500 * time.Millisecond
	// reportMaxAge is the maximum age of a report that orders are based on.
	reportMaxAge = 1200 * time.Millisecond
	// silentAfter is the age of an engine's last report after which its copies no
	// longer count for waiting requests: two reports in a row are missing.
	silentAfter = time.Second
	// reportLag is how long after an order a report may still show the state
	// before that order.
	reportLag = 400 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of a
	// model's demand.
	demandTimeConstant = 1500 * time.Millisecond
	// idleAfter is the time without requests after which the only copy of a model
	// may be evicted.
	idleAfter = 4 * time.Second
	// forcedIdleAfter replaces idleAfter for a copy without running requests when
	// requests wait for a model that no engine holds.
	forcedIdleAfter = 1200 * time.Millisecond
	// minForcedIdle is the lower bound of forcedIdleAfter divided by the number of
	// waiting requests, which applies to copies of models with less demand: evicting
	// them keeps fewer requests waiting. It covers the interval at which nodes report
	// running requests.
	minForcedIdle = 450 * time.Millisecond
	// storeRateShare is the fraction of the weight store's rate that is used, and
	// storeLoadBurst is how many loads from the store may begin at once.
	storeRateShare = 0.9
	storeLoadBurst = 2
	// minGain is the minimum relative reduction of the imbalance that justifies
	// another copy of a model.
	minGain      = 0.06
	planInterval = 200 * time.Millisecond
	// planTimeout is the age at which the remaining planned steps of an engine are
	// dropped.
	planTimeout = 12 * time.Second
	// adapterIdleAfter is the time without requests after which an adapter may be
	// evicted.
	adapterIdleAfter = 150 * time.Millisecond
	// unloadNotice is how long a planned unload is announced to the nodes before
	// it is ordered.
	unloadNotice = 350 * time.Millisecond
)

// step is a planned load or unload of a model.
type step struct {
	load  bool
	model string
}

// sentOrder is the last order to an engine, and its answer once there is one.
type sentOrder struct {
	order    Order
	at       time.Time
	answered bool
	answer   Answer
}

type engine struct {
	fleet.Endpoint
	class    *fleet.EngineClass
	report   fleet.Report
	reported time.Time // when report was requested
	// orders is how many orders the engine is known to have accepted.
	orders    int64
	models    []fleet.Resident
	lastOrder *sentOrder

	steps       []step
	plannedAt   time.Time
	stepsReason string

	// isLimited is set while the engine takes a limited rate of requests.
	isLimited bool
	// pace is how long the engine takes for a unit of work, relative to other
	// engines; above 1 it is slower.
	pace float64

	lastUsed     map[string]time.Time // last request for each MODEL/ADAPTER
	pendingUntil map[string]time.Time // until when an ordered MODEL/ADAPTER is assumed to be loading
}

type model struct {
	fleet.Model
	demand      float64
	decayedAt   time.Time
	lastRequest time.Time
	waiting     int
}

type service struct {
	name       string
	class      *fleet.EngineClass
	models     map[string]*model
	loadTokens float64 // loads from the weight store that may begin now
	refilledAt time.Time
}

// Planner holds the state of all engines and models, plans which models each
// engine holds, and creates the orders for it.
type Planner struct {
	services map[string]*service
	limited  map[fleet.Key]bool // see SetLimited
	engines  map[string]*engine
	// sortedEngines is the result of sorted, nil after a change of engines or services.
	sortedEngines []*engine
	running       map[runKey]int
	nextPlan      time.Time
	// startedAt is when the planner was created; it knows no earlier demand.
	startedAt time.Time
	// ordersFrom is the time from which engines that engineOrdersFrom does not
	// list, by ID, may be given orders.
	ordersFrom       time.Time
	engineOrdersFrom map[string]time.Time
	lastIssued       map[fleet.Key]time.Time
}

// runKey is a model, or an adapter as MODEL/ADAPTER, at an engine.
type runKey struct {
	key  fleet.Key
	item string
}

// New returns a Planner without engines that creates no orders before ordersFrom.
// Its allowance of loads from the weight store starts empty, since the previous
// coordinator may have used it up.
func New(now, ordersFrom time.Time) *Planner {
	return &Planner{
		services:         make(map[string]*service),
		engines:          make(map[string]*engine),
		running:          make(map[runKey]int),
		startedAt:        now,
		ordersFrom:       ordersFrom,
		engineOrdersFrom: make(map[string]time.Time),
		lastIssued:       make(map[fleet.Key]time.Time),
	}
}

// SetOrdersFrom sets, for each engine, the time before which it is given no
// orders. Engines that are not listed may be given orders from otherEngines on. The time
// applies to all incarnations of an engine: an order reaches whichever runs.
func (p *Planner) SetOrdersFrom(otherEngines time.Time, engines map[fleet.Key]time.Time) {
	p.ordersFrom = otherEngines
	clear(p.engineOrdersFrom)
	for key, at := range engines {
		if at.After(p.engineOrdersFrom[key.ID]) {
			p.engineOrdersFrom[key.ID] = at
		}
	}
}

// LastOrderTimes returns when each engine was sent its last order. An order that
// was not answered yet is treated as sent now, since it may be sent again.
func (p *Planner) LastOrderTimes(now time.Time) map[fleet.Key]time.Time {
	for key := range p.lastIssued {
		if e := p.engines[key.ID]; e != nil && e.Key() == key && e.lastOrder != nil && !e.lastOrder.answered {
			p.lastIssued[key] = now
		}
	}
	return p.lastIssued
}

// orderAllowed reports whether an engine may be given an order yet.
func (p *Planner) orderAllowed(now time.Time, e *engine) bool {
	from := p.ordersFrom
	if at, ok := p.engineOrdersFrom[e.ID]; ok {
		from = at
	}
	return !now.Before(from)
}

// SetLimited sets which engines take a limited rate of requests.
func (p *Planner) SetLimited(limited map[fleet.Key]bool) {
	p.limited = limited
	for _, e := range p.engines {
		e.isLimited = limited[e.Key()]
	}
}

// RecordPace adds a node's measurement of how long an engine takes for a unit of
// work, relative to other engines, to the engine's moving average.
func (p *Planner) RecordPace(key fleet.Key, pace float64) {
	if e := p.engines[key.ID]; e != nil && e.Incarnation == key.Incarnation && pace > 0 {
		e.pace += (pace - e.pace) * paceWeight
	}
}

// paceWeight is the weight of one node's measurement in an engine's pace.
const paceWeight = 0.1

// SetConfig applies a configuration: its services, engine classes and models.
func (p *Planner) SetConfig(now time.Time, c *fleet.Config) {
	p.sortedEngines = nil
	seen := map[string]bool{}
	for _, s := range c.Engines() {
		seen[s.Name] = true
		known := p.services[s.Name]
		if known == nil {
			known = &service{
				name:       s.Name,
				models:     make(map[string]*model),
				refilledAt: now,
			}
			p.services[s.Name] = known
		}
		known.class = s.Engine
		for name, m := range s.Engine.Models {
			if known := known.models[name]; known != nil {
				known.Model = m
				continue
			}
			known.models[name] = &model{
				Model:     m,
				decayedAt: now,
			}
		}
		for name := range known.models {
			if _, ok := s.Engine.Models[name]; !ok {
				delete(known.models, name)
			}
		}
	}
	for name := range p.services {
		if !seen[name] {
			delete(p.services, name)
		}
	}
	for _, e := range p.engines {
		if s := p.services[e.Service]; s != nil {
			e.class = s.class
		}
	}
}

// SetEndpoints replaces the list of registered endpoints.
func (p *Planner) SetEndpoints(list []fleet.Endpoint) {
	p.sortedEngines = nil
	seen := map[string]bool{}
	for i := range list {
		endpoint := list[i]
		s := p.services[endpoint.Service]
		if s == nil {
			continue
		}
		seen[endpoint.ID] = true
		e := p.engines[endpoint.ID]
		if e == nil || e.Incarnation != endpoint.Incarnation {
			e = &engine{
				Endpoint:     endpoint,
				pace:         1,
				lastUsed:     make(map[string]time.Time),
				pendingUntil: make(map[string]time.Time),
			}
			p.engines[endpoint.ID] = e
		}
		e.class, e.isLimited = s.class, p.limited[endpoint.Key()]
		e.Leaving, e.Address, e.Domain = endpoint.Leaving, endpoint.Address, endpoint.Domain
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
}

// SetReport applies an engine's report that was requested at requestedAt. Reports
// that are older than the known state are ignored.
func (p *Planner) SetReport(requestedAt time.Time, r fleet.Report) {
	e := p.engines[r.Key.ID]
	if e == nil || e.Incarnation != r.Key.Incarnation || requestedAt.Before(e.reported) || r.OrdersAccepted < e.orders {
		return
	}
	if r.OrdersAccepted == e.orders && e.lastOrder != nil && e.lastOrder.answered && e.lastOrder.answer == AlreadyDone && requestedAt.Sub(e.lastOrder.at) < reportLag {
		// The report may have been made before the order took effect.
		return
	}
	e.report, e.reported, e.orders = r, requestedAt, r.OrdersAccepted
	e.models = make([]fleet.Resident, len(r.Models))
	for i, m := range r.Models {
		e.models[i] = fleet.Resident{
			Model:    m.Model,
			Version:  m.Version,
			Adapters: slices.Clone(m.Adapters),
		}
		for _, a := range m.Adapters {
			delete(e.pendingUntil, adapterName(m.Model, a))
		}
	}
	for _, item := range r.LoadingAdapters {
		// A report lists adapters that are being loaded as MODEL/NAME@VERSION.
		name, _, _ := strings.Cut(item, "@")
		e.pendingUntil[name] = requestedAt.Add(orderTimeout)
	}
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// RecordDemand adds the work of requests that arrived for a model to its demand.
func (p *Planner) RecordDemand(now time.Time, serviceName, name string, work float64) {
	m := p.model(serviceName, name)
	if m == nil {
		return
	}
	m.decay(now)
	m.demand += work / demandTimeConstant.Seconds()
	m.lastRequest = now
}

func (m *model) decay(now time.Time) {
	if dt := now.Sub(m.decayedAt); dt > 0 {
		m.demand *= math.Exp(-dt.Seconds() / demandTimeConstant.Seconds())
		m.decayedAt = now
	}
}

func (p *Planner) model(serviceName, name string) *model {
	s := p.services[serviceName]
	if s == nil {
		return nil
	}
	return s.models[name]
}

// Waiting is the number of requests that wait for a model to be loaded.
type Waiting struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"`
}

// SetWaiting replaces the number of requests that wait for each model, summed
// over all nodes.
func (p *Planner) SetWaiting(now time.Time, list []Waiting) {
	for _, s := range p.services {
		for _, m := range s.models {
			m.waiting = 0
		}
	}
	for _, w := range list {
		if m := p.model(w.Service, w.Model); m != nil {
			m.waiting = w.Count
			if w.Count > 0 {
				m.lastRequest = now
			}
		}
	}
}

// Running is the number of requests of a model and adapter that run at an engine.
type Running struct {
	Key     fleet.Key `cbor:"1,keyasint"`
	Model   string    `cbor:"2,keyasint"`
	Adapter string    `cbor:"3,keyasint,omitempty"`
	Count   int       `cbor:"4,keyasint"`
}

// SetRunning replaces the numbers of running requests, summed over all nodes.
func (p *Planner) SetRunning(list []Running) {
	clear(p.running)
	for _, r := range list {
		p.running[runKey{key: r.Key, item: r.Model}] += r.Count
		if r.Adapter != "" {
			p.running[runKey{key: r.Key, item: adapterName(r.Model, r.Adapter)}] += r.Count
		}
	}
}

// RecordAnswer records the answer to an order. The order may have been sent
// several times; sent is when it was sent last.
func (p *Planner) RecordAnswer(sent time.Time, o Order, a Answer) {
	if sent.After(p.lastIssued[o.Key]) {
		p.lastIssued[o.Key] = sent
	}
	e := p.engines[o.Key.ID]
	if e == nil || e.Incarnation != o.Key.Incarnation || e.lastOrder == nil || e.lastOrder.order != o {
		return
	}
	e.lastOrder.answered, e.lastOrder.answer = true, a
	if o.Adapter == "" {
		if a == Accepted {
			e.orders = max(e.orders, o.Expected+1)
		}
		return
	}
	switch {
	case a == Accepted && !o.Load:
		// The adapter is in use and keeps its slot until its requests have ended.
		e.orders = max(e.orders, o.Expected+1)
	case a == Accepted, a == AlreadyDone && !o.Load:
		// The order took effect at once, so the new state is known without a report.
		e.orders = max(e.orders, o.Expected+1)
		e.setAdapter(o.Model, o.Adapter, o.Load)
		e.lastOrder = nil
	case a == AlreadyDone:
		e.setAdapter(o.Model, o.Adapter, true)
		e.lastOrder = nil
	default:
		delete(e.pendingUntil, adapterName(o.Model, o.Adapter))
	}
}

// setAdapter records whether the engine holds an adapter.
func (e *engine) setAdapter(modelName, adapter string, held bool) {
	r := fleet.Find(e.models, modelName)
	if r == nil {
		return
	}
	at := slices.Index(r.Adapters, adapter)
	switch {
	case held && at < 0:
		r.Adapters = append(r.Adapters, adapter)
	case !held && at >= 0:
		r.Adapters = slices.Delete(r.Adapters, at, at+1)
	}
	delete(e.pendingUntil, adapterName(modelName, adapter))
}

// stateConfirmed reports whether the engine's state is known well enough to
// compute an order from it.
func (e *engine) stateConfirmed(now time.Time) bool {
	if e.reported.IsZero() || now.Sub(e.reported) > reportMaxAge || e.report.Busy || e.Leaving {
		return false
	}
	if e.report.OrdersAccepted < e.orders {
		// No report shows the last accepted order yet. Where lastOrder is nil it
		// was an adapter order that is known to have taken effect.
		if e.lastOrder != nil {
			return false
		}
		return true
	}
	s := e.lastOrder
	if s == nil || e.orders > s.order.Expected {
		return true
	}
	if !s.answered {
		return now.Sub(s.at) > orderTimeout
	}
	// After a refusal or a lost answer, only a report made after the order shows
	// the state. A lost order is given up after orderTimeout.
	return e.reported.After(s.at.Add(reportLag)) || s.answer == NoAnswer && now.Sub(s.at) > orderTimeout
}

// usedMB returns the memory that the engine's models and adapters take,
// adapters that are being loaded included.
func (e *engine) usedMB() float64 {
	var mb float64
	for _, r := range e.models {
		m, ok := e.class.Models[r.Model]
		if !ok {
			// The model is not in the configuration, so its size is unknown.
			return math.Inf(1)
		}
		mb += m.WeightsMB + float64(len(r.Adapters)+e.pendingAdapters(r.Model))*m.AdapterMB
	}
	return mb
}

func (e *engine) pendingAdapters(modelName string) int {
	n := 0
	for name := range e.pendingUntil {
		if m, _, _ := strings.Cut(name, "/"); m == modelName {
			n++
		}
	}
	return n
}

// adapterCount includes adapters that are being loaded.
func (e *engine) adapterCount() int {
	n := len(e.pendingUntil)
	for _, r := range e.models {
		n += len(r.Adapters)
	}
	return n
}

// issue completes an order with the engine's address and order count, and records
// it as the engine's last order.
func (p *Planner) issue(now time.Time, e *engine, o Order) Order {
	o.Key, o.Address = e.Key(), e.Address
	o.Expected = e.orders
	p.lastIssued[e.Key()] = now
	e.lastOrder = &sentOrder{
		order: o,
		at:    now,
	}
	return o
}

// Load is a load of a model that is under way or planned.
type Load struct {
	Service string        `cbor:"1,keyasint"`
	Model   string        `cbor:"2,keyasint"`
	ReadyIn time.Duration `cbor:"3,keyasint"`
}

// Loads returns the loads of models that are under way or planned, for each model
// the one that ends first.
func (p *Planner) Loads(now time.Time) []Load {
	soonest := map[Load]time.Duration{}
	for _, e := range p.engines {
		s := p.services[e.Service]
		if s == nil {
			continue
		}
		for name, at := range p.loadEnds(now, e) {
			if e.class.Models[name].Name == "" {
				continue
			}
			key := Load{Service: e.Service, Model: name}
			if d, ok := soonest[key]; !ok || at.Sub(now) < d {
				soonest[key] = at.Sub(now)
			}
		}
	}
	out := make([]Load, 0, len(soonest))
	for l, d := range soonest {
		l.ReadyIn = d
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int { return strings.Compare(a.Model, b.Model) })
	return out
}

// loadEnds returns when the loads of the engine that are under way or planned are
// expected to end, by model.
func (p *Planner) loadEnds(now time.Time, e *engine) map[string]time.Time {
	var out map[string]time.Time
	add := func(name string, at time.Time) {
		if out == nil {
			out = make(map[string]time.Time)
		}
		out[name] = at
	}
	if s := e.lastOrder; s != nil && s.order.Load && s.order.Adapter == "" && (!s.answered || s.answer == Accepted) && fleet.Find(e.models, s.order.Model) == nil {
		add(s.order.Model, s.at.Add(e.loadTime(s.order.Model, s.order.FromStore)))
	}
	start := now
	for _, step := range e.steps {
		if !step.load {
			start = latest(start, e.plannedAt.Add(unloadNotice)).Add(p.unloadTime(e, step.model))
			continue
		}
		if _, ok := out[step.model]; !ok {
			add(step.model, start.Add(e.loadTime(step.model, e.fromStore(step.model))))
		}
	}
	return out
}

// unloadTime returns how long an unload usually takes: its order, the requests that
// still run, and the report that shows its end.
func (p *Planner) unloadTime(e *engine, model string) time.Duration {
	if p.running[runKey{key: e.Key(), item: model}] == 0 {
		return reportLag
	}
	return unloadDrainTime
}

// unloadDrainTime is how long an unload usually takes while requests run.
const unloadDrainTime = 700 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// loadTime returns how long a load of a model takes at the engine.
func (e *engine) loadTime(name string, fromStore bool) time.Duration {
	m := e.class.Models[name]
	switch {
	case fromStore:
		return m.StoreLoad
	case slices.Contains(e.report.InMemory, name):
		return m.MemoryLoad
	}
	return m.DiskLoad
}

// PendingUnloads returns, for each engine with planned steps, the models that are
// about to be unloaded, so that nodes send new requests to other engines.
func (p *Planner) PendingUnloads() map[fleet.Key][]string {
	out := map[fleet.Key][]string{}
	for _, e := range p.engines {
		if len(e.steps) > 0 {
			out[e.Key()] = nil
		}
		for _, s := range e.steps {
			if !s.load {
				out[e.Key()] = append(out[e.Key()], s.model)
			}
		}
	}
	return out
}
