package models

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/fleet"
)

// fakeEngine executes orders like an engine that checks no fencing tokens.
type fakeEngine struct {
	fleet.Endpoint
	class         *fleet.EngineClass
	models        map[string][]string
	disk          map[string]bool
	orders        int64
	busyUntil     time.Time
	delayedOrders []delayedOrder
	// inUse is until when an unloaded adapter, as MODEL/ADAPTER, still has
	// requests and keeps its slot.
	inUse map[string]time.Time
}

type delayedOrder struct {
	order Order
	at    time.Time
}

// simulation is one Planner with the engines that execute its orders.
type simulation struct {
	t          *rapid.T
	now        time.Time
	planner    *Planner
	config     *fleet.Config
	engines    []*fakeEngine
	storeLoads []time.Time // from the weight store
}

func testConfig(models int) *fleet.Config {
	class := &fleet.EngineClass{
		Slots:               64,
		WeightsMB:           200000,
		AdapterSlots:        4,
		StoreLoadsPerSecond: 1.6,
		Models:              map[string]fleet.Model{},
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		class.Models[name] = fleet.Model{
			Name:      name,
			WeightsMB: []float64{65100, 72700, 34300}[i%3],
			AdapterMB: 66,
			Adapters:  10,
		}
	}
	return &fleet.Config{
		Version: 1,
		Services: map[string]*fleet.Service{
			"lm": {
				Name:   "lm",
				Engine: class,
			},
		},
	}
}

func newSimulation(t *rapid.T, engines, models int) *simulation {
	s := &simulation{
		t:      t,
		now:    time.Unix(1000, 0),
		config: testConfig(models),
	}
	for i := range engines {
		s.engines = append(s.engines, &fakeEngine{
			Endpoint: fleet.Endpoint{
				ID:          fmt.Sprintf("e%d", i),
				Incarnation: 1,
				Service:     "lm",
				Address:     "10.0.0.1:80",
			},
			class:  s.config.Services["lm"].Engine,
			models: map[string][]string{},
			disk:   map[string]bool{},
			inUse:  map[string]time.Time{},
		})
	}
	s.replaceCoordinator()
	return s
}

// replaceCoordinator starts a new Planner, as a new coordinator does.
func (s *simulation) replaceCoordinator() {
	s.planner = New(s.now, s.now)
	s.planner.SetConfig(s.now, s.config)
	s.setEndpoints()
}

func (s *simulation) setEndpoints() {
	var list []fleet.Endpoint
	for _, e := range s.engines {
		list = append(list, e.Endpoint)
	}
	s.planner.SetEndpoints(list)
}

func (e *fakeEngine) size() float64 {
	var mb float64
	for name, adapters := range e.models {
		mb += e.class.Models[name].WeightsMB + float64(len(adapters))*e.class.Models[name].AdapterMB
	}
	return mb
}

func (e *fakeEngine) adapters() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// execute executes an order at the engine and returns its answer.
func (s *simulation) execute(e *fakeEngine, o Order) Answer {
	if s.now.Before(e.busyUntil) || e.orders != o.Expected {
		return Refused
	}
	adapters, held := e.models[o.Model]
	if o.Adapter != "" {
		if !held {
			return Refused
		}
		e.orders++
		at := slices.Index(adapters, o.Adapter)
		switch {
		case o.Load && at < 0:
			e.models[o.Model] = append(slices.Clone(adapters), o.Adapter)
			if e.adapters() > e.class.AdapterSlots || e.size() > e.class.WeightsMB {
				s.t.Fatalf("%s was ordered to hold %d adapters in %.0f MB", e.ID, e.adapters(), e.size())
			}
			return Accepted
		case !o.Load && at >= 0 && rapid.Bool().Draw(s.t, "in use"):
			e.inUse[o.Model+"/"+o.Adapter] = s.now.Add(time.Second)
			return Accepted
		case !o.Load && at >= 0:
			e.models[o.Model] = slices.Delete(slices.Clone(adapters), at, at+1)
		}
		return AlreadyDone
	}
	if o.Load == held {
		return AlreadyDone
	}
	e.orders++
	if o.Load {
		if !e.disk[o.Model] {
			s.storeLoads = append(s.storeLoads, s.now)
			e.disk[o.Model] = true
		}
		e.models[o.Model] = nil
		if e.size() > e.class.WeightsMB {
			s.t.Fatalf("%s was ordered to hold %.0f MB of %.0f", e.ID, e.size(), e.class.WeightsMB)
		}
	} else {
		delete(e.models, o.Model)
	}
	e.busyUntil = s.now.Add(700 * time.Millisecond)
	return Accepted
}

func (s *simulation) send(o Order, outcome int) {
	i := slices.IndexFunc(s.engines, func(e *fakeEngine) bool { return e.ID == o.Key.ID })
	e := s.engines[i]
	switch {
	case outcome < 2:
		// The order is executed late and its answer is lost.
		e.delayedOrders = append(e.delayedOrders, delayedOrder{
			order: o,
			at:    s.now.Add(time.Duration(2+outcome*5) * time.Second),
		})
		s.planner.RecordAnswer(s.now, o, NoAnswer)
	case outcome < 4:
		// The order is executed at once and its answer is lost.
		s.execute(e, o)
		s.planner.RecordAnswer(s.now, o, NoAnswer)
	case e.Incarnation != o.Key.Incarnation:
		s.planner.RecordAnswer(s.now, o, Refused)
	default:
		s.planner.RecordAnswer(s.now, o, s.execute(e, o))
	}
}

// release removes unloaded adapters whose requests have ended.
func (e *fakeEngine) release(now time.Time) {
	for item, until := range e.inUse {
		if now.Before(until) {
			continue
		}
		delete(e.inUse, item)
		model, adapter, _ := strings.Cut(item, "/")
		if adapters, ok := e.models[model]; ok {
			e.models[model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == adapter })
		}
	}
}

func (e *fakeEngine) report(now time.Time) fleet.Report {
	r := fleet.Report{
		Key:            e.Key(),
		Busy:           now.Before(e.busyUntil),
		OrdersAccepted: e.orders,
	}
	for name, adapters := range e.models {
		r.Models = append(r.Models, fleet.Resident{
			Model:    name,
			Adapters: slices.Clone(adapters),
		})
	}
	for name := range e.disk {
		r.OnDisk = append(r.OnDisk, name)
	}
	return r
}

// TestNeverOvercommitted guards against orders that overcommit an engine's
// memory or adapter slots, or exceed the weight store's rate, while orders and
// answers are lost or late, engines restart and coordinators change.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(3, 8).Draw(t, "models"))
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(20, 200).Draw(t, "ms")) * time.Millisecond)
			for _, e := range s.engines {
				e.release(s.now)
				e.delayedOrders = slices.DeleteFunc(e.delayedOrders, func(l delayedOrder) bool {
					if s.now.Before(l.at) {
						return false
					}
					if l.order.Key.Incarnation == e.Incarnation {
						s.execute(e, l.order)
					}
					return true
				})
			}
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "restart")]
				e.Incarnation++
				e.orders, e.busyUntil, e.models = 0, time.Time{}, map[string][]string{}
				s.setEndpoints()
			case 1:
				s.replaceCoordinator()
			default:
			}
			model := fmt.Sprintf("m%d", rapid.IntRange(0, len(s.config.Services["lm"].Engine.Models)-1).Draw(t, "model"))
			s.planner.RecordDemand(s.now, "lm", model, rapid.Float64Range(0, 5000).Draw(t, "work"))
			s.planner.SetWaiting(s.now, []Waiting{{
				Service: "lm",
				Model:   model,
				Count:   rapid.IntRange(0, 2).Draw(t, "waiting"),
			}})
			for _, e := range s.engines {
				if rapid.IntRange(0, 3).Draw(t, "reports") > 0 {
					s.planner.SetReport(s.now, e.report(s.now))
				}
			}
			for _, o := range s.planner.Step(s.now) {
				s.send(o, rapid.IntRange(0, 12).Draw(t, "fate"))
			}
			e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "engine")]
			for range rapid.IntRange(0, 4).Draw(t, "adapters") {
				held := slices.Sorted(maps.Keys(e.models))
				if len(held) == 0 {
					break
				}
				model := rapid.SampledFrom(held).Draw(t, "of")
				adapter := fmt.Sprintf("a%d", rapid.IntRange(1, 9).Draw(t, "adapter"))
				if o, err := s.planner.NextAdapterOrder(s.now, e.Key(), model, adapter); err == nil && o != nil {
					s.send(*o, rapid.IntRange(0, 12).Draw(t, "fate"))
				}
			}
			s.checkStoreRate()
		}
	})
}

// checkStoreRate checks that loads from the weight store stay within its rate of
// 1.6 a second, with 10 % and three loads of tolerance.
func (s *simulation) checkStoreRate() {
	const window = 5 * time.Second
	n := 0
	for _, at := range s.storeLoads {
		if s.now.Sub(at) <= window {
			n++
		}
	}
	if bound := 1.6*window.Seconds()*1.1 + 3; float64(n) > bound {
		s.t.Fatalf("%d loads began within %v, the bound is %.1f", n, window, bound)
	}
}

// TestWaitingModelIsLoaded guards against a model that no engine holds never being
// loaded although requests wait for it and an idle model can be evicted.
func TestWaitingModelIsLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(6))
	e := fleet.Endpoint{
		ID:          "e0",
		Incarnation: 1,
		Service:     "lm",
	}
	p.SetEndpoints([]fleet.Endpoint{e})
	held := map[string]bool{"m0": true, "m1": true}
	orders := int64(0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r := fleet.Report{
			Key:            e.Key(),
			OrdersAccepted: orders,
			OnDisk:         []string{"m0", "m1", "m4"},
		}
		for _, name := range slices.Sorted(maps.Keys(held)) {
			if held[name] {
				r.Models = append(r.Models, fleet.Resident{Model: name})
			}
		}
		p.SetReport(now, r)
		p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m4", Count: 1}})
		for _, o := range p.Step(now) {
			held[o.Model] = o.Load
			orders++
			p.RecordAnswer(now, o, Accepted)
		}
		if held["m4"] {
			return
		}
	}
	t.Error("the model that requests wait for was not loaded within 10 s")
}

// TestBusyModelGetsReplica guards against leaving a busy model on one engine while
// another engine has enough free memory for a copy.
func TestBusyModelGetsReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(3))
	ends := []fleet.Endpoint{
		{ID: "e0", Incarnation: 1, Service: "lm"},
		{ID: "e1", Incarnation: 1, Service: "lm"},
	}
	p.SetEndpoints(ends)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		p.RecordDemand(now, "lm", "m0", 1000)
		p.SetReport(now, fleet.Report{Key: ends[0].Key(), Models: []fleet.Resident{{Model: "m0"}}})
		p.SetReport(now, fleet.Report{Key: ends[1].Key(), Models: []fleet.Resident{{Model: "m1"}, {Model: "m2"}}})
		for _, o := range p.Step(now) {
			if o.Load && o.Model == "m0" && o.Key.ID == "e1" {
				return
			}
			p.RecordAnswer(now, o, Refused)
		}
	}
	t.Error("no copy of the busy model was ordered within 3 s")
}

// TestForcedEviction guards against a model that stays unloaded because the copy
// to evict had a request a short time ago but serves none now, and against
// evicting the only copy of a model that serves requests.
func TestForcedEviction(t *testing.T) {
	for _, tc := range []struct {
		name    string
		running int
		within  time.Duration
		want    bool
	}{
		{name: "no running requests", within: 2500 * time.Millisecond, want: true},
		{name: "a running request", running: 1, within: 3500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(now, now)
			p.SetConfig(now, testConfig(6))
			e := fleet.Endpoint{ID: "e0", Incarnation: 1, Service: "lm"}
			p.SetEndpoints([]fleet.Endpoint{e})
			p.RecordDemand(now, "lm", "m0", 100)
			p.RecordDemand(now, "lm", "m1", 100)
			unloaded := false
			for end := now.Add(tc.within); now.Before(end); now = now.Add(50 * time.Millisecond) {
				p.SetReport(now, fleet.Report{
					Key:    e.Key(),
					Models: []fleet.Resident{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}},
					OnDisk: []string{"m4"},
				})
				p.RecordDemand(now, "lm", "m2", 1)
				p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m4", Count: 1}})
				p.SetRunning([]Running{{Key: e.Key(), Model: "m0", Count: tc.running}, {Key: e.Key(), Model: "m1", Count: tc.running}})
				for _, o := range p.Step(now) {
					unloaded = unloaded || !o.Load
					p.RecordAnswer(now, o, Refused)
				}
			}
			if unloaded != tc.want {
				t.Errorf("unloaded: %v, want %v", unloaded, tc.want)
			}
		})
	}
}

// TestBusyModelOnManyEngines guards against a minimum gain for another copy that is
// not scaled down with the number of engines. With 90 engines, one more copy of a
// model with half of the work then gains too little to be loaded, so the model's
// requests queue at seven engines while others are idle.
func TestBusyModelOnManyEngines(t *testing.T) {
	const engines, models, copies = 90, 45, 4
	now := time.Unix(1000, 0)
	config := testConfig(models)
	config.Services["lm"].Engine.StoreLoadsPerSecond = 13
	p := New(now, now)
	p.SetConfig(now, config)
	held := make([]map[string]bool, engines)
	orders := make([]int64, engines)
	ends := make([]fleet.Endpoint, engines)
	for i := range engines {
		ends[i] = fleet.Endpoint{ID: fmt.Sprintf("e%02d", i), Incarnation: 1, Service: "lm"}
		held[i] = map[string]bool{fmt.Sprintf("m%d", 1+i%(models-1)): true}
		if i < copies {
			held[i]["m0"] = true
		}
	}
	p.SetEndpoints(ends)
	holders := func() int {
		n := 0
		for _, h := range held {
			if h["m0"] {
				n++
			}
		}
		return n
	}
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		p.RecordDemand(now, "lm", "m0", 1000)
		for m := 1; m < models; m++ {
			p.RecordDemand(now, "lm", fmt.Sprintf("m%d", m), 1000/models)
		}
		for i, e := range ends {
			r := fleet.Report{Key: e.Key(), OrdersAccepted: orders[i]}
			for name := range held[i] {
				r.Models = append(r.Models, fleet.Resident{Model: name})
			}
			p.SetReport(now, r)
		}
		for _, o := range p.Step(now) {
			i := slices.IndexFunc(ends, func(e fleet.Endpoint) bool { return e.ID == o.Key.ID })
			orders[i]++
			held[i][o.Model] = o.Load
			if !o.Load {
				delete(held[i], o.Model)
			}
			p.RecordAnswer(now, o, Accepted)
		}
	}
	// The model with half of the work needs at least a third of the engines.
	if n := holders(); n < engines/3 {
		t.Errorf("after 8 s %d engines hold the model that gets half of the work, want %d or more", n, engines/3)
	}
}

// TestRepeatedOrderCountsAsIssued guards against a new coordinator that sends
// orders too soon. The time between orders of two lease holders counts from the
// last time the former holder sent its order, not from the first.
func TestRepeatedOrderCountsAsIssued(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(3))
	e := fleet.Endpoint{ID: "e0", Incarnation: 1, Service: "lm"}
	p.SetEndpoints([]fleet.Endpoint{e})
	p.SetReport(now, fleet.Report{Key: e.Key(), OnDisk: []string{"m0"}})
	p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m0", Count: 1}})
	// The first call of Step plans, the second one returns the order.
	orders := append(p.Step(now), p.Step(now)...)
	if len(orders) != 1 {
		t.Fatalf("%d orders were given", len(orders))
	}
	last := now.Add(time.Second)
	p.RecordAnswer(last, orders[0], NoAnswer)
	if at := p.LastOrderTimes(now.Add(2 * time.Second))[e.Key()]; !at.Equal(last) {
		t.Errorf("the last order time is %v, want %v", at, last)
	}
}

// TestRestartedEngineKeepsItsWait guards against orders of two lease holders within the lease
// time at an engine that restarted under its ID in between: the former holder's last order
// was for the incarnation before and reached the new one.
func TestRestartedEngineKeepsItsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now.Add(time.Hour))
	p.SetConfig(now, testConfig(3))
	e := fleet.Endpoint{ID: "e0", Incarnation: 2, Service: "lm"}
	p.SetEndpoints([]fleet.Endpoint{e})
	p.SetOrdersFrom(now, map[fleet.Key]time.Time{{ID: "e0", Incarnation: 1}: now.Add(3 * time.Second)})
	p.SetReport(now, fleet.Report{Key: e.Key(), OnDisk: []string{"m0"}})
	p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m0", Count: 1}})
	if orders := append(p.Step(now), p.Step(now)...); len(orders) > 0 {
		t.Errorf("%d orders were given before the wait of the engine's ID is over", len(orders))
	}
	later := now.Add(3 * time.Second)
	p.SetReport(later, fleet.Report{Key: e.Key(), OnDisk: []string{"m0"}})
	p.SetWaiting(later, []Waiting{{Service: "lm", Model: "m0", Count: 1}})
	if orders := append(p.Step(later), p.Step(later)...); len(orders) == 0 {
		t.Error("no order was given after the wait")
	}
}

// TestModelAtUnreachableEngine guards against requests that wait for seconds for
// a model whose only holder is cut off. Up to a report age of 2.4 s (twice
// reportMaxAge) such a holder must not count as a reachable copy.
func TestModelAtUnreachableEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(3))
	ends := []fleet.Endpoint{{ID: "e0", Incarnation: 1, Service: "lm"}, {ID: "e1", Incarnation: 1, Service: "lm"}}
	p.SetEndpoints(ends)
	p.SetReport(now, fleet.Report{Key: ends[0].Key(), Models: []fleet.Resident{{Model: "m0"}}})
	cut := now
	for now.Sub(cut) < 1500*time.Millisecond {
		now = now.Add(50 * time.Millisecond)
		p.RecordDemand(now, "lm", "m0", 1000)
		p.RecordDemand(now, "lm", "m1", 2000)
		p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m0", Count: 3}})
		p.SetReport(now, fleet.Report{Key: ends[1].Key(), Models: []fleet.Resident{{Model: "m1"}}, OnDisk: []string{"m0"}})
		for _, o := range p.Step(now) {
			if o.Load && o.Model == "m0" && o.Key.ID == "e1" {
				return
			}
			p.RecordAnswer(now, o, Refused)
		}
	}
	t.Error("no other copy was ordered within 1.5 s of the last report")
}

// TestModelAtLimitedEngine guards against requests that wait for places at the only engine with
// their model, which limits requests, while another one could load the model.
func TestModelAtLimitedEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(3))
	ends := []fleet.Endpoint{{ID: "e0", Incarnation: 1, Service: "lm"}, {ID: "e1", Incarnation: 1, Service: "lm"}}
	p.SetLimited(map[fleet.Key]bool{ends[0].Key(): true})
	p.SetEndpoints(ends)
	began := now
	for now.Sub(began) < time.Second {
		now = now.Add(50 * time.Millisecond)
		p.RecordDemand(now, "lm", "m0", 1000)
		p.RecordDemand(now, "lm", "m1", 2000)
		p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m0", Count: 3}})
		p.SetReport(now, fleet.Report{Key: ends[0].Key(), Models: []fleet.Resident{{Model: "m0"}}})
		p.SetReport(now, fleet.Report{Key: ends[1].Key(), Models: []fleet.Resident{{Model: "m1"}}, OnDisk: []string{"m0"}})
		for _, o := range p.Step(now) {
			if o.Load && o.Model == "m0" && o.Key.ID == "e1" {
				return
			}
			p.RecordAnswer(now, o, Refused)
		}
	}
	t.Error("no other copy was ordered within a second")
}

// TestOnlyLoadedCopyStays guards against evicting the only copy of a model that
// serves requests because another engine is still loading a second one: on a day of
// the users' bench its requests then found no copy for 6 s.
func TestOnlyLoadedCopyStays(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(6))
	var list []fleet.Endpoint
	for i := range 2 {
		list = append(list, fleet.Endpoint{
			ID:          fmt.Sprintf("e%d", i),
			Incarnation: 1,
			Service:     "lm",
		})
	}
	p.SetEndpoints(list)
	report := func(i int, orders int64, models ...string) {
		r := fleet.Report{
			Key:            list[i].Key(),
			OrdersAccepted: orders,
		}
		for _, name := range models {
			r.Models = append(r.Models, fleet.Resident{Model: name})
		}
		p.SetReport(now, r)
	}
	evictions := func() []string {
		s := p.services["lm"]
		evict, _, ok := p.chooseEvictions(now, s, p.layout(now, s), p.engines["e0"], s.models["m4"], true)
		if !ok {
			return nil
		}
		return evict
	}
	report(0, 0, "m0", "m1")
	report(1, 0, "m2")
	for _, name := range []string{"m0", "m1", "m2"} {
		p.RecordDemand(now, "lm", name, 300)
	}
	o := p.issue(now, p.engines["e1"], Order{Load: true, Model: "m1"})
	p.RecordAnswer(now, o, Accepted)
	if evict := evictions(); len(evict) > 0 {
		t.Errorf("e0 unloads %v while e1 is still loading m1", evict)
	}
	now = now.Add(time.Second)
	report(0, 0, "m0", "m1")
	report(1, 1, "m1", "m2")
	if evict := evictions(); !slices.Equal(evict, []string{"m1"}) {
		t.Errorf("e0 unloads %v once e1 has loaded m1, want m1", evict)
	}
}

// TestPlanWithinStoreRate guards against plans for more copies than the weight store
// can begin to load: the rest waits, and the engines that are to load them take no
// orders for adapters meanwhile.
func TestPlanWithinStoreRate(t *testing.T) {
	now := time.Unix(1000, 0)
	config := testConfig(30)
	config.Services["lm"].Engine.StoreLoadsPerSecond = 28
	p := New(now, now)
	p.SetConfig(now, config)
	var list []fleet.Endpoint
	for i := range 192 {
		list = append(list, fleet.Endpoint{
			ID:          fmt.Sprintf("e%03d", i),
			Incarnation: 1,
			Service:     "lm",
		})
	}
	p.SetEndpoints(list)
	for range 5 {
		now = now.Add(planInterval)
		before := 0
		for i, e := range list {
			p.SetReport(now, fleet.Report{Key: e.Key(), Models: []fleet.Resident{{Model: fmt.Sprintf("m%d", i%30)}}})
			if len(p.engines[e.ID].steps) > 0 {
				before++
			}
		}
		p.RecordDemand(now, "lm", "m1", 1e6)
		p.Step(now)
		planned := 0
		for _, e := range p.engines {
			if len(e.steps) > 0 {
				planned++
			}
		}
		// Loads at 28 a second begin within the interval until the next plan, and
		// orders take some of the earlier steps.
		if most := before + int(math.Ceil(28*planInterval.Seconds())); planned > most {
			t.Fatalf("%d engines have planned loads after a plan, %d before; the store begins 28 loads a second", planned, before)
		}
	}
}

// TestRarestModelIsEvicted guards against unloading a model with more demand than another
// one that could go in its place. Without a second copy both had an infinite cost, and the
// first engine and its first model were chosen.
func TestRarestModelIsEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(6))
	ends := []fleet.Endpoint{{ID: "e0", Incarnation: 1, Service: "lm"}, {ID: "e1", Incarnation: 1, Service: "lm"}}
	p.SetEndpoints(ends)
	// m4 fits in the place of either model of either engine.
	held := [][]fleet.Resident{{{Model: "m0"}, {Model: "m1"}}, {{Model: "m3"}, {Model: "m6"}}}
	class := p.services["lm"].class
	class.Models["m6"] = fleet.Model{Name: "m6", WeightsMB: 72700}
	p.SetConfig(now, &fleet.Config{Version: 2, Services: map[string]*fleet.Service{"lm": {Name: "lm", Engine: class}}})
	for _, x := range []struct {
		model string
		work  float64
	}{{model: "m0", work: 4000}, {model: "m1", work: 3000}, {model: "m3", work: 2000}, {model: "m6", work: 10}} {
		p.RecordDemand(now, "lm", x.model, x.work)
	}
	now = now.Add(2 * forcedIdleAfter)
	for i, e := range ends {
		p.SetReport(now, fleet.Report{Key: e.Key(), Models: held[i], OnDisk: []string{"m4"}})
	}
	p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m4", Count: 1}})
	p.Step(now)
	want := []step{{model: "m6"}, {load: true, model: "m4"}}
	if got := p.engines["e1"].steps; !slices.Equal(got, want) {
		t.Errorf("e1 has the steps %v, want %v; e0 has %v", got, want, p.engines["e0"].steps)
	}
}

// TestEvictionsAreNeeded guards against unloading a small model beside a large one that
// makes enough room by itself: its requests were refused and the load took longer.
func TestEvictionsAreNeeded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now, now)
	p.SetConfig(now, testConfig(6))
	e := fleet.Endpoint{ID: "e0", Incarnation: 1, Service: "lm"}
	p.SetEndpoints([]fleet.Endpoint{e})
	// m2 has 34,300 MB and the lowest cost, but m3 with 65,100 MB does not fit in its place.
	p.RecordDemand(now, "lm", "m0", 100)
	p.RecordDemand(now, "lm", "m1", 200)
	p.RecordDemand(now, "lm", "m2", 10)
	now = now.Add(2 * forcedIdleAfter)
	p.SetReport(now, fleet.Report{
		Key:    e.Key(),
		Models: []fleet.Resident{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}},
	})
	s := p.services["lm"]
	evict, _, ok := p.chooseEvictions(now, s, p.layout(now, s), p.engines["e0"], s.models["m3"], true)
	if want := []string{"m0"}; !ok || !slices.Equal(evict, want) {
		t.Errorf("e0 unloads %v (%v), want %v", evict, ok, want)
	}
}

// TestModelInDemandReplacesRareModel guards against a model with most of the demand that
// stays unloaded for seconds because the models that the engine holds get a request now
// and then, and against evicting those for a model with less demand or a single request.
func TestModelInDemandReplacesRareModel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		work    float64 // of each request for the absent model
		waiting int
		want    bool
	}{
		{name: "a multiple of the demand", work: 100, waiting: 5, want: true},
		{name: "a single request", work: 100, waiting: 1},
		{name: "less demand", work: 2, waiting: 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(now, now)
			p.SetConfig(now, testConfig(6))
			e := fleet.Endpoint{ID: "e0", Incarnation: 1, Service: "lm"}
			p.SetEndpoints([]fleet.Endpoint{e})
			unloaded := false
			for i := range 50 {
				now = now.Add(50 * time.Millisecond)
				p.SetReport(now, fleet.Report{
					Key:    e.Key(),
					Models: []fleet.Resident{{Model: "m0"}, {Model: "m1"}},
					OnDisk: []string{"m3"},
				})
				if i%14 == 0 {
					p.RecordDemand(now, "lm", "m0", 100)
					p.RecordDemand(now, "lm", "m1", 100)
				}
				if i%2 == 0 {
					p.RecordDemand(now, "lm", "m3", tc.work)
				}
				p.SetWaiting(now, []Waiting{{Service: "lm", Model: "m3", Count: tc.waiting}})
				for _, o := range p.Step(now) {
					unloaded = unloaded || !o.Load
					p.RecordAnswer(now, o, Refused)
				}
			}
			if unloaded != tc.want {
				t.Errorf("unloaded within 2.5 s: %v, want %v", unloaded, tc.want)
			}
		})
	}
}

// TestLoadEndAfterUnload guards against an expected time of a load that is too late, so
// that requests are refused that the load would serve: an unload without running requests
// does not wait for any.
func TestLoadEndAfterUnload(t *testing.T) {
	for _, tc := range []struct {
		name    string
		running int
		want    time.Duration
	}{
		{name: "no running requests", want: unloadNotice + reportLag + time.Second},
		{name: "a running request", running: 1, want: unloadNotice + unloadDrainTime + time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(now, now)
			config := testConfig(6)
			m := config.Services["lm"].Engine.Models["m4"]
			m.DiskLoad = time.Second
			config.Services["lm"].Engine.Models["m4"] = m
			p.SetConfig(now, config)
			e := fleet.Endpoint{ID: "e0", Incarnation: 1, Service: "lm"}
			p.SetEndpoints([]fleet.Endpoint{e})
			p.SetReport(now, fleet.Report{Key: e.Key(), Models: []fleet.Resident{{Model: "m1"}}, OnDisk: []string{"m4"}})
			p.SetRunning([]Running{{Key: e.Key(), Model: "m1", Count: tc.running}})
			p.setSteps(now, p.engines["e0"], []string{"m1"}, "m4", "demand-absent")
			loads := p.Loads(now)
			if len(loads) != 1 || loads[0].ReadyIn != tc.want {
				t.Errorf("loads are %+v, want one that is ready in %v", loads, tc.want)
			}
		})
	}
}
