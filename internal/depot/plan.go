package depot

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Step returns the orders that are due at now.
func (d *Depot) Step(now time.Time) []Order {
	var out []Order
	for _, e := range d.sorted() {
		if o := d.drive(now, e); o != nil {
			out = append(out, *o)
		}
	}
	if now.Before(d.nextPlan) {
		return out
	}
	d.nextPlan = now.Add(planEvery)
	for _, s := range d.services {
		d.plan(now, s)
	}
	return out
}

func (d *Depot) sorted() []*engine {
	out := make([]*engine, 0, len(d.engines))
	for _, e := range d.engines {
		if d.services[e.Service] != nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// drive takes the next step that was planned for an engine.
func (d *Depot) drive(now time.Time, e *engine) *Order {
	if len(e.todo) == 0 {
		return nil
	}
	if e.Leaving || now.Sub(e.todoFrom) > planTimeout {
		e.todo = nil
		return nil
	}
	if !e.settled(now) || !d.mayOrder(now, e) {
		return nil
	}
	for len(e.todo) > 0 && e.done(e.todo[0]) {
		e.todo = e.todo[1:]
	}
	if len(e.todo) == 0 {
		return nil
	}
	next := e.todo[0]
	if !next.load {
		if now.Sub(e.todoFrom) < unloadAhead {
			return nil
		}
		o := d.send(now, e, Order{
			Model:  next.model,
			Reason: e.reason,
		})
		return &o
	}
	s := d.services[e.Service]
	m, ok := e.class.Models[next.model]
	if !ok || e.size()+m.MB > e.class.WeightsMB {
		// Something else was loaded meanwhile; the next plan starts from there.
		e.todo = nil
		return nil
	}
	fromStore := e.fromStore(next.model)
	if fromStore && !s.mayLoad(now) {
		return nil
	}
	o := d.send(now, e, Order{
		Load:      true,
		Model:     next.model,
		FromStore: fromStore,
		Reason:    e.reason,
	})
	return &o
}

// fromStore reports whether a load takes the weights from the weight store.
func (e *engine) fromStore(name string) bool {
	return !slices.Contains(e.report.InMemory, name) && !slices.Contains(e.report.OnDisk, name)
}

func (e *engine) done(s step) bool {
	return s.load == (fleet.Find(e.models, s.model) != nil)
}

// refill adds the loads that the weight store allows meanwhile.
func (s *service) refill(now time.Time) {
	if dt := now.Sub(s.loadsAt); dt > 0 {
		s.loads = min(ceilingBurst, s.loads+dt.Seconds()*s.class.StoreLoadsPerSecond*ceilingUse)
		s.loadsAt = now
	}
}

// mayLoad takes one load from the weight store's allowance.
func (s *service) mayLoad(now time.Time) bool {
	s.refill(now)
	if s.loads < 1 {
		return false
	}
	s.loads--
	return true
}

// layout is what a service's engines hold or are about to hold, with the load
// that follows from it.
type layout struct {
	engines []*engine
	models  []*model
	// holders are the engines of each model, by their place in engines.
	holders map[string][]int
	// speed is the sum of the speeds of a model's holders.
	speed map[string]float64
	// loads are relative to the speed of the engines.
	loads []float64
	// change is used by gain.
	change []float64
}

func (d *Depot) layout(now time.Time, s *service) *layout {
	l := &layout{
		holders: map[string][]int{},
		speed:   map[string]float64{},
	}
	for _, e := range d.sorted() {
		if e.Service == s.name && !e.Leaving && !e.reported.IsZero() && now.Sub(e.reported) < 2*reportMaxAge {
			l.engines = append(l.engines, e)
		}
	}
	for _, m := range s.models {
		m.decay(now)
		l.models = append(l.models, m)
	}
	slices.SortFunc(l.models, func(a, b *model) int { return strings.Compare(a.Name, b.Name) })
	for i, e := range l.engines {
		for _, name := range e.future() {
			l.holders[name] = append(l.holders[name], i)
			l.speed[name] += e.speed()
		}
	}
	l.loads, l.change = make([]float64, len(l.engines)), make([]float64, len(l.engines))
	for name, at := range l.holders {
		m := s.models[name]
		if m == nil {
			continue
		}
		for _, i := range at {
			// Requests go to the holders by their speed, so that the work of a
			// model loads all of them alike.
			l.loads[i] += m.demand / l.speed[name]
		}
	}
	return l
}

// speed is the reciprocal of the engine's pace.
func (e *engine) speed() float64 { return 1 / e.pace }

// future is what the engine holds once its planned steps are done.
func (e *engine) future() []string {
	out := make([]string, 0, len(e.models)+1)
	for _, r := range e.models {
		if !slices.Contains(e.todo, step{model: r.Model}) {
			out = append(out, r.Model)
		}
	}
	if s := e.last; s != nil && s.order.Adapter == "" && s.order.Load && e.orders <= s.order.Expected+1 && !slices.Contains(out, s.order.Model) && (!s.answered || s.answer == Accepted) {
		out = append(out, s.order.Model)
	}
	for _, t := range e.todo {
		if t.load && !slices.Contains(out, t.model) {
			out = append(out, t.model)
		}
	}
	return out
}

// free reports whether new steps can be planned for an engine.
func (e *engine) free(now time.Time) bool { return len(e.todo) == 0 && e.settled(now) }

// plan decides on at most one change for each model that lacks a copy, and one
// more copy for the model that gains most.
func (d *Depot) plan(now time.Time, s *service) {
	s.refill(now)
	l := d.layout(now, s)
	if len(l.engines) == 0 {
		return
	}
	var absent []*model
	for _, m := range l.models {
		if !l.reached(now, m) && (m.waiting > 0 || now.Sub(m.last) < idleAfter && !m.last.IsZero()) {
			absent = append(absent, m)
		}
	}
	slices.SortStableFunc(absent, func(a, b *model) int { return cmp.Compare(b.waiting, a.waiting) })
	for _, m := range absent {
		if d.bring(now, s, l, m, "demand-absent", true) {
			l = d.layout(now, s)
		}
	}
	for range max(spreadLeast, len(l.engines)/spreadEngines) {
		if !d.spread(now, s, l) {
			break
		}
		l = d.layout(now, s)
	}
	d.preload(now, s, l)
}

// reached reports whether a model has a copy that requests can reach. Where
// requests wait for it, an engine without recent reports is not one.
func (l *layout) reached(now time.Time, m *model) bool {
	if m.waiting == 0 {
		return len(l.holders[m.Name]) > 0
	}
	return slices.ContainsFunc(l.holders[m.Name], func(i int) bool {
		return now.Sub(l.engines[i].reported) < silentAfter
	})
}

// option is a way to bring a model to an engine.
type option struct {
	engine *engine
	evict  []string
	cost   float64
}

// bring plans to load a model at the engine where that costs least.
func (d *Depot) bring(now time.Time, s *service, l *layout, m *model, reason string, must bool) bool {
	var best *option
	for i, e := range l.engines {
		if !e.free(now) || fleet.Find(e.models, m.Name) != nil {
			continue
		}
		evict, lost, ok := d.room(now, s, l, e, m, must)
		if !ok {
			continue
		}
		cost := l.loads[i] + lost
		if e.fromStore(m.Name) {
			cost += l.mean() * 0.5
			if s.loads < 1 {
				cost += l.mean() * 2
			}
		}
		if len(evict) > 0 {
			cost += l.mean() * 0.2
		}
		if best == nil || cost < best.cost {
			best = &option{
				engine: e,
				evict:  evict,
				cost:   cost,
			}
		}
	}
	if best == nil {
		return false
	}
	d.start(now, best.engine, best.evict, m.Name, reason)
	return true
}

func (l *layout) mean() float64 {
	var sum float64
	for _, x := range l.loads {
		sum += x
	}
	return sum/float64(len(l.loads)) + 1
}

func (d *Depot) start(now time.Time, e *engine, evict []string, load, reason string) {
	e.todo = e.todo[:0]
	for _, name := range evict {
		e.todo = append(e.todo, step{
			model: name,
		})
	}
	if load != "" {
		e.todo = append(e.todo, step{
			load:  true,
			model: load,
		})
	}
	e.todoFrom, e.reason = now, reason
}

// room chooses the models that make room for m at an engine, those with the
// least demand there first. A model that is in use and has no other copy stays,
// unless must is set and nobody has asked for it lately.
func (d *Depot) room(now time.Time, s *service, l *layout, e *engine, m *model, must bool) (evict []string, lost float64, ok bool) {
	free := e.class.WeightsMB - e.size()
	if free >= m.MB {
		return nil, 0, true
	}
	type candidate struct {
		name string
		mb   float64
		lost float64
	}
	var list []candidate
	for _, r := range e.models {
		x := s.models[r.Model]
		if x == nil {
			mb := e.class.Models[r.Model].MB
			list = append(list, candidate{name: r.Model, mb: mb})
			continue
		}
		others := len(l.holders[r.Model]) - 1
		unasked := min(now.Sub(x.last), now.Sub(d.begun))
		idle := x.waiting == 0 && (unasked > idleAfter || must && unasked > idleForced && d.running[runKey{key: e.Key(), item: r.Model}] == 0)
		if others < 1 && !idle {
			continue
		}
		runs := float64(d.running[runKey{key: e.Key(), item: r.Model}])
		cost := x.demand/max(1/paceMost, l.speed[r.Model]-e.speed()) - x.demand/l.speed[r.Model] + runs*l.mean()*0.02
		if others < 1 && !must {
			cost += l.mean() * 0.1
		}
		list = append(list, candidate{
			name: r.Model,
			mb:   x.MB + float64(len(r.Adapters))*x.AdapterMB,
			lost: cost,
		})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.lost, b.lost) })
	for _, c := range list {
		if free >= m.MB {
			break
		}
		evict = append(evict, c.name)
		free += c.mb
		lost += c.lost
	}
	return evict, lost, free >= m.MB
}

const (
	// spreadLeast and spreadEngines are how many copies one plan may add: as many
	// as keep up with demand that moves, a fraction of the engines each plan.
	spreadLeast   = 2
	spreadEngines = 15
	// gainEngines is the number of engines for which gainLeast is meant. The part
	// that one copy can gain is smaller where there are more engines.
	gainEngines = 9
)

// spread gives one more copy to a model where that evens out the load of the
// engines. It reports whether it planned one.
func (d *Depot) spread(now time.Time, s *service, l *layout) bool {
	var best *option
	var bestModel *model
	total := l.pressure()
	if total <= 0 {
		return false
	}
	least := gainLeast * total * min(1, gainEngines/float64(len(l.engines)))
	bestGain := least
	hot := slices.Clone(l.models)
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(l.perCopy(b), l.perCopy(a)) })
	for _, m := range hot[:min(len(hot), hotModels)] {
		if len(l.holders[m.Name]) == 0 || m.demand <= 0 {
			continue
		}
		for i, e := range l.engines {
			if !e.free(now) || fleet.Find(e.models, m.Name) != nil {
				continue
			}
			if e.fromStore(m.Name) && s.loads < 1 {
				continue
			}
			evict, _, ok := d.room(now, s, l, e, m, false)
			if !ok {
				continue
			}
			gain := l.gain(s, i, evict, m)
			if len(evict) > 0 {
				gain -= least / 2
			}
			if e.fromStore(m.Name) {
				gain -= least / 2
			}
			if gain > bestGain {
				bestGain, bestModel = gain, m
				best = &option{
					engine: e,
					evict:  evict,
				}
			}
		}
	}
	if best == nil {
		return false
	}
	d.start(now, best.engine, best.evict, bestModel.Name, "demand-spread")
	return true
}

// paceMost bounds how much slower than others an engine counts as.
const paceMost = 4

// hotModels is how many models are considered for another copy in one plan.
const hotModels = 6

func (l *layout) perCopy(m *model) float64 {
	return m.demand / max(l.speed[m.Name], 1/paceMost)
}

// gain is by how much the pressure falls when models make room for another copy
// of m at engine at.
func (l *layout) gain(s *service, at int, evict []string, m *model) float64 {
	clear(l.change)
	speed := l.engines[at].speed()
	for _, name := range evict {
		x := s.models[name]
		if x == nil {
			continue
		}
		before := l.speed[name]
		l.shift(name, x.demand/max(before-speed, 1/paceMost)-x.demand/before)
		l.change[at] -= x.demand / max(before-speed, 1/paceMost)
	}
	before := l.speed[m.Name]
	l.shift(m.Name, m.demand/(before+speed)-m.demand/before)
	l.change[at] += m.demand / (before + speed)
	var gain float64
	for i, c := range l.change {
		if c != 0 {
			gain -= c * (2*l.loads[i] + c) * l.engines[i].speed()
		}
	}
	return gain
}

// shift changes the loads of a model's holders.
func (l *layout) shift(name string, by float64) {
	for _, i := range l.holders[name] {
		l.change[i] += by
	}
}

// pressure is lowest when the engines are loaded alike for their speed.
func (l *layout) pressure() float64 {
	var sum float64
	for i, x := range l.loads {
		sum += x * x * l.engines[i].speed()
	}
	return sum
}

// preload brings models that no engine holds into memory that is free.
func (d *Depot) preload(now time.Time, s *service, l *layout) {
	for _, m := range l.models {
		if len(l.holders[m.Name]) > 0 || s.loads < 1 {
			continue
		}
		for _, e := range l.engines {
			if e.free(now) && e.size()+m.MB <= e.class.WeightsMB {
				d.start(now, e, nil, m.Name, "coverage")
				return
			}
		}
	}
}
