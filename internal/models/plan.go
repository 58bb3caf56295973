package models

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Step returns the orders that are due at now, and plans new steps once every
// planInterval.
func (p *Planner) Step(now time.Time) []Order {
	var out []Order
	for _, e := range p.sorted() {
		if o := p.nextOrder(now, e); o != nil {
			out = append(out, *o)
		}
	}
	if now.Before(p.nextPlan) {
		return out
	}
	p.nextPlan = now.Add(planInterval)
	for _, s := range p.services {
		p.plan(now, s)
	}
	return out
}

// sorted returns the engines of known services, ordered by id.
func (p *Planner) sorted() []*engine {
	if p.sortedEngines != nil {
		return p.sortedEngines
	}
	out := make([]*engine, 0, len(p.engines))
	for _, e := range p.engines {
		if p.services[e.Service] != nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) })
	p.sortedEngines = out
	return out
}

// nextOrder returns the order for the engine's next planned step, or nil when
// there is none or it cannot be sent yet.
func (p *Planner) nextOrder(now time.Time, e *engine) *Order {
	if len(e.steps) == 0 {
		return nil
	}
	if e.Leaving || now.Sub(e.plannedAt) > planTimeout {
		e.steps = nil
		return nil
	}
	if !e.stateConfirmed(now) || !p.orderAllowed(now, e) {
		return nil
	}
	for len(e.steps) > 0 && e.hasApplied(e.steps[0]) {
		e.steps = e.steps[1:]
	}
	if len(e.steps) == 0 {
		return nil
	}
	next := e.steps[0]
	if !next.load {
		if now.Sub(e.plannedAt) < unloadNotice {
			return nil
		}
		o := p.issue(now, e, Order{
			Model:  next.model,
			Reason: e.stepsReason,
		})
		return &o
	}
	s := p.services[e.Service]
	m, ok := e.class.Models[next.model]
	if !ok || e.usedMB()+m.WeightsMB > e.class.WeightsMB {
		// The engine's state has changed since the plan; the next plan uses the
		// new one.
		e.steps = nil
		return nil
	}
	fromStore := e.fromStore(next.model)
	if fromStore && !s.takeLoadToken(now) {
		return nil
	}
	o := p.issue(now, e, Order{
		Load:      true,
		Model:     next.model,
		FromStore: fromStore,
		Reason:    e.stepsReason,
	})
	return &o
}

// fromStore reports whether loading a model reads its weights from the weight
// store, because the engine has them neither in memory nor on disk.
func (e *engine) fromStore(name string) bool {
	return !slices.Contains(e.report.InMemory, name) && !slices.Contains(e.report.OnDisk, name)
}

// hasApplied reports whether the engine's state already includes a step.
func (e *engine) hasApplied(s step) bool {
	return s.load == (fleet.Find(e.models, s.model) != nil)
}

// refill adds the load tokens that have accrued since the last call (a token
// bucket at storeRateShare of the store's rate).
func (s *service) refill(now time.Time) {
	if dt := now.Sub(s.refilledAt); dt > 0 {
		s.loadTokens = min(storeLoadBurst, s.loadTokens+dt.Seconds()*s.class.StoreLoadsPerSecond*storeRateShare)
		s.refilledAt = now
	}
}

// takeLoadToken takes one token for a load from the weight store, if there is
// one.
func (s *service) takeLoadToken(now time.Time) bool {
	s.refill(now)
	if s.loadTokens < 1 {
		return false
	}
	s.loadTokens--
	return true
}

// layout is the assignment of models to a service's engines once all planned
// steps are done, with the resulting load of each engine.
type layout struct {
	engines []*engine
	models  []*model
	// holders are the engines of each model, as indexes into engines.
	holders map[string][]int
	// ready is how many engines hold each model now and are not about to unload it.
	ready map[string]int
	// speed is the sum of the speeds of a model's holders.
	speed map[string]float64
	// loads are the loads of the engines, each relative to the engine's speed.
	loads []float64
	// meanLoad is the mean of loads plus 1, so that costs relative to it are never 0.
	meanLoad float64
	// loadDelta is scratch space of imbalanceReduction, 0 except for the engines in
	// changed.
	loadDelta []float64
	changed   []int
}

func (p *Planner) layout(now time.Time, s *service) *layout {
	l := &layout{
		holders: map[string][]int{},
		ready:   map[string]int{},
		speed:   map[string]float64{},
	}
	for _, e := range p.sorted() {
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
		for _, r := range e.models {
			if !slices.Contains(e.steps, step{model: r.Model}) {
				l.ready[r.Model]++
			}
		}
		for _, name := range e.plannedModels() {
			l.holders[name] = append(l.holders[name], i)
			l.speed[name] += e.speed()
		}
	}
	l.loads, l.loadDelta = make([]float64, len(l.engines)), make([]float64, len(l.engines))
	for name, at := range l.holders {
		m := s.models[name]
		if m == nil {
			continue
		}
		for _, i := range at {
			// Requests are distributed in proportion to the holders' speed, so the
			// demand of a model adds the same relative load to each of them.
			l.loads[i] += m.demand / l.speed[name]
		}
	}
	var sum float64
	for _, x := range l.loads {
		sum += x
	}
	l.meanLoad = sum/float64(max(1, len(l.loads))) + 1
	return l
}

// limitedSpeed is the part of an engine's speed that is planned with while it takes a limited
// rate of requests.
const limitedSpeed = 0.1

// speed is the reciprocal of the engine's pace.
func (e *engine) speed() float64 {
	if e.isLimited {
		return limitedSpeed / e.pace
	}
	return 1 / e.pace
}

// plannedModels returns the models that the engine holds once its last order and
// its planned steps are done.
func (e *engine) plannedModels() []string {
	out := make([]string, 0, len(e.models)+1)
	for _, r := range e.models {
		if !slices.Contains(e.steps, step{model: r.Model}) {
			out = append(out, r.Model)
		}
	}
	if s := e.lastOrder; s != nil && s.order.Adapter == "" && s.order.Load && e.orders <= s.order.Expected+1 && !slices.Contains(out, s.order.Model) && (!s.answered || s.answer == Accepted) {
		out = append(out, s.order.Model)
	}
	for _, t := range e.steps {
		if t.load && !slices.Contains(out, t.model) {
			out = append(out, t.model)
		}
	}
	return out
}

// canPlan reports whether new steps can be planned for the engine.
func (e *engine) canPlan(now time.Time) bool { return len(e.steps) == 0 && e.stateConfirmed(now) }

// plan plans loads for models that are needed and have no reachable copy, then
// further copies of models in demand, then a preload into free memory.
func (p *Planner) plan(now time.Time, s *service) {
	s.refill(now)
	l := p.layout(now, s)
	if len(l.engines) == 0 {
		return
	}
	var absent []*model
	for _, m := range l.models {
		if !l.hasReachableCopy(now, m) && (m.waiting > 0 || now.Sub(m.lastRequest) < idleAfter && !m.lastRequest.IsZero()) {
			absent = append(absent, m)
		}
	}
	slices.SortStableFunc(absent, func(a, b *model) int { return cmp.Compare(b.waiting, a.waiting) })
	replicas := s.replicasPerPlan()
	for _, m := range absent[:min(len(absent), absentPerReplica*replicas)] {
		if p.planLoad(now, s, l, m, "demand-absent", true) {
			l = p.layout(now, s)
		}
	}
	for range replicas {
		if !p.planReplica(now, s, l) {
			break
		}
		l = p.layout(now, s)
	}
	p.preload(now, s, l)
}

// hasReachableCopy reports whether an engine holds the model. While requests
// wait for the model, engines without recent reports, and those that take a limited rate of
// requests, don't count.
func (l *layout) hasReachableCopy(now time.Time, m *model) bool {
	if m.waiting == 0 {
		return len(l.holders[m.Name]) > 0
	}
	return slices.ContainsFunc(l.holders[m.Name], func(i int) bool {
		return now.Sub(l.engines[i].reported) < silentAfter && !l.engines[i].isLimited
	})
}

// option is one way to load a model: the engine and the models to evict there.
type option struct {
	engine *engine
	evict  []string
	cost   float64
}

// planLoad plans to load a model at the engine with the lowest cost. It reports
// whether there was one.
func (p *Planner) planLoad(now time.Time, s *service, l *layout, m *model, reason string, force bool) bool {
	var best *option
	for i, e := range l.engines {
		if !e.canPlan(now) || fleet.Find(e.models, m.Name) != nil {
			continue
		}
		evict, lost, ok := p.chooseEvictions(now, s, l, e, m, force)
		if !ok {
			continue
		}
		cost := l.loads[i] + lost
		if e.fromStore(m.Name) {
			cost += l.meanLoad * 0.5
			if s.loadTokens < 1 {
				cost += l.meanLoad * 2
			}
		}
		if len(evict) > 0 {
			cost += l.meanLoad * 0.2
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
	p.setSteps(now, best.engine, best.evict, m.Name, reason)
	return true
}

// setSteps plans the unloads of evict and then the load of a model.
func (p *Planner) setSteps(now time.Time, e *engine, evict []string, load, reason string) {
	e.steps = e.steps[:0]
	for _, name := range evict {
		e.steps = append(e.steps, step{
			model: name,
		})
	}
	if load != "" {
		e.steps = append(e.steps, step{
			load:  true,
			model: load,
		})
	}
	e.plannedAt, e.stepsReason = now, reason
}

// chooseEvictions chooses the models to unload so that m fits into the engine's
// memory, those with the lowest cost first. The only loaded copy of a model is
// evicted only with force and when it is idle, which takes a shorter time for copies
// without running requests, shorter still the more requests wait for m. ok reports
// whether m fits then.
func (p *Planner) chooseEvictions(now time.Time, s *service, l *layout, e *engine, m *model, force bool) (evict []string, cost float64, ok bool) {
	free := e.class.WeightsMB - e.usedMB()
	if free >= m.WeightsMB {
		return nil, 0, true
	}
	type candidate struct {
		name string
		mb   float64
		cost float64
	}
	var list []candidate
	for _, r := range e.models {
		x := s.models[r.Model]
		if x == nil {
			mb := e.class.Models[r.Model].WeightsMB
			list = append(list, candidate{name: r.Model, mb: mb})
			continue
		}
		// A copy that is still being loaded serves no requests yet.
		others := l.ready[r.Model] - 1
		sinceRequest := min(now.Sub(x.lastRequest), now.Sub(p.startedAt))
		unusedFor := forcedIdleAfter
		if m.waiting > 1 && m.demand > x.demand {
			unusedFor = max(minForcedIdle, forcedIdleAfter/time.Duration(m.waiting))
		}
		isRunning := p.running[runKey{key: e.Key(), item: r.Model}] > 0
		idle := x.waiting == 0 && (sinceRequest > idleAfter || sinceRequest > unusedFor && !isRunning)
		if others < 1 && !(force && idle) {
			continue
		}
		runningCount := float64(p.running[runKey{key: e.Key(), item: r.Model}])
		cost := x.demand/max(minSpeed, l.speed[r.Model]-e.speed()) - x.demand/l.speed[r.Model] + runningCount*l.meanLoad*0.02
		list = append(list, candidate{
			name: r.Model,
			mb:   x.WeightsMB + float64(len(r.Adapters))*x.AdapterMB,
			cost: cost,
		})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []candidate
	for _, c := range list {
		if free >= m.WeightsMB {
			break
		}
		chosen = append(chosen, c)
		free += c.mb
	}
	// A larger model may make room enough without the smaller ones chosen before it.
	for _, c := range slices.Backward(chosen) {
		if free-c.mb >= m.WeightsMB {
			free -= c.mb
			continue
		}
		evict = append(evict, c.name)
		cost += c.cost
	}
	slices.Reverse(evict)
	return evict, cost, free >= m.WeightsMB
}

const (
	// minReplicasPerPlan is how many copies one plan may add at least, so that the
	// layout keeps up with shifting demand where the weight store is slow and engines
	// have the weights themselves.
	minReplicasPerPlan = 2
	// absentPerReplica is how many models without a copy are planned for each further
	// copy of others.
	absentPerReplica = 4
	// minGainEngines is the number of engines above which minGain is scaled down,
	// since the relative gain of one copy falls with the number of engines.
	minGainEngines = 9
)

// replicasPerPlan returns how many copies one plan may add: as many as the weight
// store can begin to load until the next plan. Further ones would wait, and their
// engines would take no other orders meanwhile.
func (s *service) replicasPerPlan() int {
	return max(minReplicasPerPlan, int(math.Ceil(s.class.StoreLoadsPerSecond*storeRateShare*planInterval.Seconds())))
}

// planReplica plans one more copy of a model where that balances the load of the
// engines best. It reports whether it planned one.
func (p *Planner) planReplica(now time.Time, s *service, l *layout) bool {
	var best *option
	var bestModel *model
	total := l.imbalance()
	if total <= 0 {
		return false
	}
	least := minGain * total * min(1, minGainEngines/float64(len(l.engines)))
	bestGain := least
	hot := slices.Clone(l.models)
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(l.demandPerCopy(b), l.demandPerCopy(a)) })
	for _, m := range hot[:min(len(hot), maxReplicaCandidates)] {
		if len(l.holders[m.Name]) == 0 || m.demand <= 0 {
			continue
		}
		for i, e := range l.engines {
			if !e.canPlan(now) || fleet.Find(e.models, m.Name) != nil {
				continue
			}
			if e.fromStore(m.Name) && s.loadTokens < 1 {
				continue
			}
			evict, _, ok := p.chooseEvictions(now, s, l, e, m, false)
			if !ok {
				continue
			}
			gain := l.imbalanceReduction(s, i, evict, m)
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
	p.setSteps(now, best.engine, best.evict, bestModel.Name, "demand-spread")
	return true
}

// minSpeed is the lowest speed that a model's holders are assumed to have together,
// none included.
const minSpeed = 0.25

// maxReplicaCandidates is how many models, those with the highest demand per
// copy, are considered for another copy.
const maxReplicaCandidates = 6

// demandPerCopy returns the model's demand relative to the speed of its holders.
func (l *layout) demandPerCopy(m *model) float64 {
	return m.demand / max(l.speed[m.Name], minSpeed)
}

// imbalanceReduction returns by how much the imbalance falls when the engine with
// index at unloads the models in evict and loads a copy of m.
func (l *layout) imbalanceReduction(s *service, at int, evict []string, m *model) float64 {
	speed := l.engines[at].speed()
	for _, name := range evict {
		x := s.models[name]
		if x == nil {
			continue
		}
		before := l.speed[name]
		l.shiftLoads(name, x.demand/max(before-speed, minSpeed)-x.demand/before)
		l.shiftLoad(at, -x.demand/max(before-speed, minSpeed))
	}
	before := l.speed[m.Name]
	l.shiftLoads(m.Name, m.demand/(before+speed)-m.demand/before)
	l.shiftLoad(at, m.demand/(before+speed))
	var gain float64
	for _, i := range l.changed {
		c := l.loadDelta[i]
		// An engine may be listed twice; its change counts once.
		l.loadDelta[i] = 0
		gain -= c * (2*l.loads[i] + c) * l.engines[i].speed()
	}
	l.changed = l.changed[:0]
	return gain
}

// shiftLoads adds a load change to each holder of a model.
func (l *layout) shiftLoads(name string, by float64) {
	for _, i := range l.holders[name] {
		l.shiftLoad(i, by)
	}
}

func (l *layout) shiftLoad(i int, by float64) {
	l.loadDelta[i] += by
	l.changed = append(l.changed, i)
}

// imbalance returns the sum of the squared loads, weighted by speed. For a given
// demand it is lowest when all engines have the same load relative to their
// speed.
func (l *layout) imbalance() float64 {
	var sum float64
	for i, x := range l.loads {
		sum += x * x * l.engines[i].speed()
	}
	return sum
}

// preload plans the load of one model that no engine holds into free memory.
func (p *Planner) preload(now time.Time, s *service, l *layout) {
	for _, m := range l.models {
		if len(l.holders[m.Name]) > 0 || s.loadTokens < 1 {
			continue
		}
		for _, e := range l.engines {
			if e.canPlan(now) && e.usedMB()+m.WeightsMB <= e.class.WeightsMB {
				p.setSteps(now, e, nil, m.Name, "coverage")
				return
			}
		}
	}
}
