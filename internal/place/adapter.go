package place

import (
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// adapterRetry is the wait after an adapter load that failed.
const adapterRetry = 2 * time.Second

// driveAdapters loads the adapters that requests wait for and evicts the least
// recently used ones without running requests where there is no room.
func (m *Manager) driveAdapters(now time.Time, out []Action) []Action {
	var wanted []Item
	for i, a := range m.demand.adapters {
		if !a.waiting.IsZero() {
			wanted = append(wanted, i)
		}
	}
	slices.SortFunc(wanted, func(a, b Item) int {
		if c := m.demand.adapters[a].waiting.Compare(m.demand.adapters[b].waiting); c != 0 {
			return c
		}
		return compareItems(a, b)
	})
	var refs map[string]map[Item]int64
	if len(wanted) > 0 {
		refs = m.demand.refs()
	}
	for _, w := range wanted {
		out = m.loadAdapter(now, w, refs, out)
	}
	for _, name := range m.names {
		out = m.dropAdapters(now, m.eps[name], out)
	}
	return out
}

// loadAdapter loads one adapter at an endpoint that has its model.
func (m *Manager) loadAdapter(now time.Time, w Item, refs map[string]map[Item]int64, out []Action) []Action {
	a, ok := m.adapts[w]
	if !ok {
		return out
	}
	var best *endpoint
	var bestItem Item
	bestFree := int64(-1 << 60)
	for _, name := range m.names {
		e := m.eps[name]
		if !e.usable() {
			continue
		}
		for _, i := range e.ledger.Resident() {
			if i.Model != w.Model || i.Adapter != "" || e.evicting(i) {
				continue
			}
			item := Item{
				Model:   w.Model,
				Version: i.Version,
				Adapter: w.Adapter,
			}
			if e.ledger.Has(item) && !e.evicting(item) || m.coming(e, item) {
				// It is there or on its way; the nodes will see it.
				return out
			}
			if !m.mayOrder(now, e) || now.Sub(e.tried[item]) < adapterRetry {
				continue
			}
			if free := e.ledger.FreeMiB(); free > bestFree {
				best, bestItem, bestFree = e, item, free
			}
		}
	}
	if best == nil {
		return out
	}
	if best.ledger.Cost(bestItem, a.MemoryMiB) > bestFree {
		m.evictAdapters(now, best, a.MemoryMiB-bestFree, refs[best.Name])
		return out
	}
	inFlight := 0
	for _, s := range best.orders {
		if s.order.Kind == engine.OrderLoadAdapter {
			inFlight++
		}
	}
	if inFlight >= m.set.AdaptersInFlight || best.ledger.Fencing() && !best.fenced() {
		return out
	}
	o := m.order(now, best, engine.OrderLoadAdapter, bestItem, a.MemoryMiB)
	if next, err := m.send(now, best, o, out); err == nil {
		return next
	}
	return out
}

// evictAdapters takes adapters out of the layout until need is free, those
// without running requests and least recently used first.
func (m *Manager) evictAdapters(now time.Time, e *endpoint, need int64, refs map[Item]int64) {
	for i := range e.dropping {
		need -= e.ledger.resident[i]
	}
	if need <= 0 {
		return
	}
	lastUse := func(i Item) time.Time {
		t := e.since[i]
		if a := m.demand.adapters[Item{Model: i.Model, Adapter: i.Adapter}]; a != nil && a.lastUse.After(t) {
			t = a.lastUse
		}
		return t
	}
	var idle []Item
	for _, i := range e.ledger.Resident() {
		key := Item{
			Model:   i.Model,
			Adapter: i.Adapter,
		}
		if i.Adapter == "" || e.evicting(i) || refs[key] > 0 {
			continue
		}
		if a := m.demand.adapters[key]; a != nil && !a.waiting.IsZero() {
			continue
		}
		idle = append(idle, i)
	}
	slices.SortFunc(idle, func(a, b Item) int {
		if c := lastUse(a).Compare(lastUse(b)); c != 0 {
			return c
		}
		return compareItems(a, b)
	})
	for _, i := range idle {
		if need <= 0 {
			return
		}
		e.dropping[i] = now
		need -= e.ledger.resident[i]
	}
}

// dropAdapters unloads the adapters whose time to drain is over.
func (m *Manager) dropAdapters(now time.Time, e *endpoint, out []Action) []Action {
	if len(e.dropping) == 0 || !m.mayOrder(now, e) {
		return out
	}
	if e.ledger.Fencing() && !e.fenced() {
		return out
	}
	var due []Item
	for _, i := range e.ledger.Resident() {
		since, ok := e.dropping[i]
		if !ok || now.Sub(since) < m.set.Drain || e.unloading(i) {
			continue
		}
		due = append(due, i)
	}
	if len(due) == 0 || !e.readAsked.IsZero() || e.wantRead {
		return out
	}
	refs := m.demand.refs()[e.Name]
	for _, i := range due {
		if refs[Item{Model: i.Model, Adapter: i.Adapter}] > 0 {
			// A node that had not seen the layout yet uses it.
			delete(e.dropping, i)
			continue
		}
		o := m.order(now, e, engine.OrderUnloadAdapter, i, 0)
		if next, err := m.send(now, e, o, out); err == nil {
			out = next
		}
	}
	return out
}
