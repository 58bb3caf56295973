package place

import (
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// usable reports whether an endpoint may be given new models.
func (e *endpoint) usable() bool {
	return !e.leaving && !e.listed && e.fails < 3 && e.ledger.Incarnation() != ""
}

// evicting reports whether an item is about to be unloaded. An unload that was
// sent counts until it is over, even if its move was given up: an endpoint may
// wait for long streams to end before it carries it out.
func (e *endpoint) evicting(i Item) bool {
	if _, ok := e.dropping[i]; ok {
		return true
	}
	if e.move != nil {
		for _, gone := range e.move.Evict {
			if covers(gone, i) {
				return true
			}
		}
	}
	return e.unloading(i)
}

// unloading reports whether an unload of the item is under way.
func (e *endpoint) unloading(i Item) bool {
	for _, s := range e.orders {
		if isUnload(s.order.Kind) && covers(itemOf(s.order), i) {
			return true
		}
	}
	for _, o := range e.ledger.running {
		if isUnload(o.Kind) && covers(itemOf(o), i) {
			return true
		}
	}
	return false
}

func isUnload(k engine.OrderKind) bool {
	return k == engine.OrderUnload || k == engine.OrderUnloadAdapter
}

// covers reports whether unloading one item takes another one with it.
func covers(gone, i Item) bool {
	return i.Model == gone.Model && i.Version == gone.Version && (gone.Adapter == "" || gone.Adapter == i.Adapter)
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
			Idle:      e.move == nil && m.mayOrder(now, e) && e.ledger.Settled() && (!e.ledger.Fencing() || e.fenced()),
			Hold:      m.quiet(e.ledger.Fencing()),
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
