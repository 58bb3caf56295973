// Package depot decides which models and adapters the engines hold, and gives
// the orders for it.
//
// Engines do not check fencing tokens. Each order therefore names the number of
// orders that the engine has accepted so far, and the engine compares it when
// it carries the order out. Orders are computed from a confirmed state of the
// engine only, and at most one order that names the same number takes effect.
// An order whose answer was lost can therefore be carried out late without
// harm: it fits the state that it names, and any other order makes it void.
//
// A Depot has no goroutine and does no I/O.
package depot

import (
	"math"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Order changes what an engine holds.
type Order struct {
	Key     fleet.Key
	Address string
	Load    bool
	Model   string
	// Adapter is empty for orders about the model itself.
	Adapter string
	// Expected is how many orders the engine must have accepted before.
	Expected int64
	// FromStore tells that the weights come from the weight store.
	FromStore bool
	Reason    string
}

// Answer is an engine's answer to an order.
type Answer int

// The answers to an order.
const (
	// Lost means that there was no answer; the order may take effect later.
	Lost Answer = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that there was nothing to wait for.
	Holds
	// Refused means that the order will have no effect.
	Refused
)

// String returns the name that logs use.
func (a Answer) String() string {
	return [...]string{"lost", "accepted", "holds", "refused"}[a]
}

const (
	// answerWait is when an order counts as lost.
	answerWait = 1500 * time.Millisecond
	// reportMaxAge is how old a report may be for a decision about an engine.
	reportMaxAge = 1200 * time.Millisecond
	// silentAfter is how old the last report of an engine may be before requests
	// that wait for its models get another copy: two reports in a row are missing.
	silentAfter = time.Second
	// settle is how long after an order a report may still show the state before it.
	settle = 400 * time.Millisecond
	// demandTime is the time constant of the demand for a model.
	demandTime = 1500 * time.Millisecond
	// idleAfter is how long nobody must have asked for the only copy of a model
	// before it makes room for others.
	idleAfter = 4 * time.Second
	// idleForced is the same where requests wait for a model that nobody holds
	// and the copy serves none.
	idleForced = 1200 * time.Millisecond
	// ceilingUse is the part of the weight store's rate that is used, and
	// ceilingBurst how many loads may begin at once.
	ceilingUse   = 0.9
	ceilingBurst = 2
	// gainLeast is the least relative gain for which a copy is made.
	gainLeast = 0.06
	// planEvery is the time between two plans.
	planEvery = 200 * time.Millisecond
	// planTimeout is when the steps for an engine are given up.
	planTimeout = 12 * time.Second
	// adapterIdle is how long an adapter must not have been asked for before it
	// makes room for another one.
	adapterIdle = 150 * time.Millisecond
	// unloadAhead is how long nodes are told before a model is unloaded.
	unloadAhead = 350 * time.Millisecond
)

type step struct {
	load  bool
	model string
}

type sent struct {
	order    Order
	at       time.Time
	answered bool
	answer   Answer
}

type engine struct {
	fleet.Endpoint
	class    *fleet.EngineClass
	report   fleet.Report
	reported time.Time
	// orders is how many orders the engine is known to have accepted.
	orders int64
	models []fleet.Resident
	last   *sent

	todo     []step
	todoFrom time.Time
	reason   string

	// pace is how long the engine takes for a unit of work, relative to others.
	pace float64

	used    map[string]time.Time // by MODEL/ADAPTER, last request
	pending map[string]time.Time // adapters ordered, until when they count as on their way
}

type model struct {
	fleet.Model
	demand  float64
	seen    time.Time
	last    time.Time
	waiting int
}

type service struct {
	name    string
	class   *fleet.EngineClass
	models  map[string]*model
	loads   float64 // loads that may begin now
	loadsAt time.Time
}

// Depot holds the state of all engines and models.
type Depot struct {
	services map[string]*service
	engines  map[string]*engine
	running  map[runKey]int
	nextPlan time.Time
	// begun is when the depot began to see demand.
	begun time.Time
	// hold is when engines may be given orders that are not known otherwise.
	hold   time.Time
	holds  map[fleet.Key]time.Time
	issued map[fleet.Key]time.Time
}

// runKey is a model, or an adapter as MODEL/ADAPTER, at an engine.
type runKey struct {
	key  fleet.Key
	item string
}

// New returns a Depot that knows no engines and gives no orders before a time.
// Its allowance of loads from the weight store begins empty, since another
// coordinator may have used it.
func New(now, ordersFrom time.Time) *Depot {
	return &Depot{
		services: make(map[string]*service),
		engines:  make(map[string]*engine),
		running:  make(map[runKey]int),
		begun:    now,
		hold:     ordersFrom,
		holds:    make(map[fleet.Key]time.Time),
		issued:   make(map[fleet.Key]time.Time),
	}
}

// Hold replaces the time before which no orders are given by one for each
// engine. An engine that is not named may be given orders from others on.
func (d *Depot) Hold(others time.Time, engines map[fleet.Key]time.Time) {
	d.hold, d.holds = others, engines
}

// Issued returns when each engine was given its last order. An order that is
// still on its way counts as given now.
func (d *Depot) Issued(now time.Time) map[fleet.Key]time.Time {
	for key := range d.issued {
		if e := d.engines[key.ID]; e != nil && e.Key() == key && e.last != nil && !e.last.answered {
			d.issued[key] = now
		}
	}
	return d.issued
}

// mayOrder reports whether an engine may be given an order yet.
func (d *Depot) mayOrder(now time.Time, e *engine) bool {
	from := d.hold
	if at, ok := d.holds[e.Key()]; ok {
		from = at
	}
	return !now.Before(from)
}

// SetPace takes over how long an engine takes for a unit of work, relative to
// others.
func (d *Depot) SetPace(key fleet.Key, pace float64) {
	if e := d.engines[key.ID]; e != nil && e.Born == key.Born && pace > 0 {
		e.pace += (pace - e.pace) * paceWeight
	}
}

// paceWeight is the weight of what one node tells of an engine's pace.
const paceWeight = 0.1

// SetConfig takes over a configuration.
func (d *Depot) SetConfig(now time.Time, c *fleet.Config) {
	seen := map[string]bool{}
	for _, s := range c.Engines() {
		seen[s.Name] = true
		sv := d.services[s.Name]
		if sv == nil {
			sv = &service{
				name:    s.Name,
				models:  make(map[string]*model),
				loadsAt: now,
			}
			d.services[s.Name] = sv
		}
		sv.class = s.Engine
		for name, m := range s.Engine.Models {
			if x := sv.models[name]; x != nil {
				x.Model = m
				continue
			}
			sv.models[name] = &model{
				Model: m,
				seen:  now,
			}
		}
		for name := range sv.models {
			if _, ok := s.Engine.Models[name]; !ok {
				delete(sv.models, name)
			}
		}
	}
	for name := range d.services {
		if !seen[name] {
			delete(d.services, name)
		}
	}
	for _, e := range d.engines {
		if s := d.services[e.Service]; s != nil {
			e.class = s.class
		}
	}
}

// SetEndpoints takes over the registered endpoints.
func (d *Depot) SetEndpoints(list []fleet.Endpoint) {
	seen := map[string]bool{}
	for i := range list {
		n := list[i]
		s := d.services[n.Service]
		if s == nil {
			continue
		}
		seen[n.ID] = true
		e := d.engines[n.ID]
		if e == nil || e.Born != n.Born {
			e = &engine{
				Endpoint: n,
				pace:     1,
				used:     make(map[string]time.Time),
				pending:  make(map[string]time.Time),
			}
			d.engines[n.ID] = e
		}
		e.class = s.class
		e.Leaving, e.Address, e.Domain = n.Leaving, n.Address, n.Domain
	}
	for id := range d.engines {
		if !seen[id] {
			delete(d.engines, id)
		}
	}
}

// SetReport takes over an engine's report that was asked for at a time.
func (d *Depot) SetReport(asked time.Time, r fleet.Report) {
	e := d.engines[r.Key.ID]
	if e == nil || e.Born != r.Key.Born || asked.Before(e.reported) || r.Orders < e.orders {
		return
	}
	if r.Orders == e.orders && e.last != nil && e.last.answered && e.last.answer == Holds && asked.Sub(e.last.at) < settle {
		// The report may be from before the order.
		return
	}
	e.report, e.reported, e.orders = r, asked, r.Orders
	e.models = make([]fleet.Resident, len(r.Models))
	for i, m := range r.Models {
		e.models[i] = fleet.Resident{
			Model:    m.Model,
			Version:  m.Version,
			Adapters: slices.Clone(m.Adapters),
		}
		for _, a := range m.Adapters {
			delete(e.pending, adapterName(m.Model, a))
		}
	}
	for _, item := range r.Pending {
		// A report names adapters on their way as MODEL/NAME@VERSION.
		name, _, _ := strings.Cut(item, "@")
		e.pending[name] = asked.Add(answerWait)
	}
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// Arrived counts the work of requests for a model.
func (d *Depot) Arrived(now time.Time, serviceName, name string, work float64) {
	m := d.model(serviceName, name)
	if m == nil {
		return
	}
	m.decay(now)
	m.demand += work / demandTime.Seconds()
	m.last = now
}

func (m *model) decay(now time.Time) {
	if dt := now.Sub(m.seen); dt > 0 {
		m.demand *= math.Exp(-dt.Seconds() / demandTime.Seconds())
		m.seen = now
	}
}

func (d *Depot) model(serviceName, name string) *model {
	s := d.services[serviceName]
	if s == nil {
		return nil
	}
	return s.models[name]
}

// Waiting is how many requests wait for a model.
type Waiting struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"`
}

// SetWaiting takes over how many requests wait for each model, over all nodes.
func (d *Depot) SetWaiting(now time.Time, list []Waiting) {
	for _, s := range d.services {
		for _, m := range s.models {
			m.waiting = 0
		}
	}
	for _, w := range list {
		if m := d.model(w.Service, w.Model); m != nil {
			m.waiting = w.Count
			if w.Count > 0 {
				m.last = now
			}
		}
	}
}

// Running is how many requests of a model and adapter are at an engine.
type Running struct {
	Key     fleet.Key `cbor:"1,keyasint"`
	Model   string    `cbor:"2,keyasint"`
	Adapter string    `cbor:"3,keyasint,omitempty"`
	Count   int       `cbor:"4,keyasint"`
}

// SetRunning takes over the requests under way, over all nodes.
func (d *Depot) SetRunning(list []Running) {
	clear(d.running)
	for _, r := range list {
		d.running[runKey{key: r.Key, item: r.Model}] += r.Count
		if r.Adapter != "" {
			d.running[runKey{key: r.Key, item: adapterName(r.Model, r.Adapter)}] += r.Count
		}
	}
}

// Answered takes over the answer to an order that was last sent at a time. Orders
// without an answer are sent several times.
func (d *Depot) Answered(sent time.Time, o Order, a Answer) {
	if sent.After(d.issued[o.Key]) {
		d.issued[o.Key] = sent
	}
	e := d.engines[o.Key.ID]
	if e == nil || e.Born != o.Key.Born || e.last == nil || e.last.order != o {
		return
	}
	e.last.answered, e.last.answer = true, a
	if o.Adapter == "" {
		if a == Accepted {
			e.orders = max(e.orders, o.Expected+1)
		}
		return
	}
	switch {
	case a == Accepted && !o.Load:
		// The adapter is in use and takes its place until its requests have ended.
		e.orders = max(e.orders, o.Expected+1)
	case a == Accepted, a == Holds && !o.Load:
		// The order takes effect at once, so the state is known without a report.
		e.orders = max(e.orders, o.Expected+1)
		e.setAdapter(o.Model, o.Adapter, o.Load)
		e.last = nil
	case a == Holds:
		e.setAdapter(o.Model, o.Adapter, true)
		e.last = nil
	default:
		delete(e.pending, adapterName(o.Model, o.Adapter))
	}
}

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
	delete(e.pending, adapterName(modelName, adapter))
}

// settled reports whether the state of an engine is known well enough for an order.
func (e *engine) settled(now time.Time) bool {
	if e.reported.IsZero() || now.Sub(e.reported) > reportMaxAge || e.report.Busy || e.Leaving {
		return false
	}
	if e.report.Orders < e.orders {
		// An order was accepted that no report shows yet. Adapter orders are
		// known to have taken effect.
		if e.last != nil {
			return false
		}
		return true
	}
	s := e.last
	if s == nil || e.orders > s.order.Expected {
		return true
	}
	if !s.answered {
		return now.Sub(s.at) > answerWait
	}
	// After a refusal or a lost answer a report from after it decides.
	return e.reported.After(s.at.Add(settle)) || s.answer == Lost && now.Sub(s.at) > answerWait
}

// size is the memory that the engine's models and adapters take.
func (e *engine) size() float64 {
	var mb float64
	for _, r := range e.models {
		m, ok := e.class.Models[r.Model]
		if !ok {
			// The size of a model that the configuration does not name is unknown.
			return math.Inf(1)
		}
		mb += m.MB + float64(len(r.Adapters)+e.pendingOf(r.Model))*m.AdapterMB
	}
	return mb
}

func (e *engine) pendingOf(modelName string) int {
	n := 0
	for name := range e.pending {
		if m, _, _ := strings.Cut(name, "/"); m == modelName {
			n++
		}
	}
	return n
}

func (e *engine) adapters() int {
	n := len(e.pending)
	for _, r := range e.models {
		n += len(r.Adapters)
	}
	return n
}

// send notes an order that is about to be sent.
func (d *Depot) send(now time.Time, e *engine, o Order) Order {
	o.Key, o.Address = e.Key(), e.Address
	o.Expected = e.orders
	d.issued[e.Key()] = now
	e.last = &sent{
		order: o,
		at:    now,
	}
	return o
}

// Closing returns, for each engine with planned changes, the models that are
// about to be unloaded, so that new requests go elsewhere.
func (d *Depot) Closing() map[fleet.Key][]string {
	out := map[fleet.Key][]string{}
	for _, e := range d.engines {
		if len(e.todo) > 0 {
			out[e.Key()] = nil
		}
		for _, s := range e.todo {
			if !s.load {
				out[e.Key()] = append(out[e.Key()], s.model)
			}
		}
	}
	return out
}
