package place

import (
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// adapterRetryDelay is how long an endpoint gets no new load of an adapter
// after a load of the same adapter failed there.
const adapterRetryDelay = 2 * time.Second

// advanceAdapters loads the adapters that requests wait for, longest wait first.
// Where memory is short, it evicts the least recently used adapters that have no
// running requests.
func (m *Manager) advanceAdapters(now time.Time, out []Action) []Action {
	var wanted []Item
	for i, a := range m.demand.adapters {
		if !a.waitingSince.IsZero() {
			wanted = append(wanted, i)
		}
	}
	slices.SortFunc(wanted, func(a, b Item) int {
		if c := m.demand.adapters[a].waitingSince.Compare(m.demand.adapters[b].waitingSince); c != 0 {
			return c
		}
		return compareItems(a, b)
	})
	var running map[string]map[Item]int64
	if len(wanted) > 0 {
		running = m.demand.runningByAdapter()
	}
	for _, w := range wanted {
		out = m.loadAdapter(now, w, running, out)
	}
	for _, name := range m.endpointNames {
		out = m.unloadAdapters(now, m.endpoints[name], out)
	}
	return out
}

// loadAdapter loads an adapter at the endpoint with the most free memory among
// those that have its model, and evicts other adapters there if it does not fit.
func (m *Manager) loadAdapter(now time.Time, w Item, running map[string]map[Item]int64, out []Action) []Action {
	a, ok := m.adapters[w]
	if !ok {
		return out
	}
	var best *endpoint
	var bestItem Item
	bestFree := int64(-1 << 60)
	for _, name := range m.endpointNames {
		e := m.endpoints[name]
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
			if e.ledger.Has(item) && !e.evicting(item) || m.isLoading(e, item) {
				// The adapter is resident or being loaded. Nodes see it in the layout.
				return out
			}
			if !m.canOrder(now, e) || now.Sub(e.loadFailedAt[item]) < adapterRetryDelay {
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
	if best.ledger.AdditionalMiB(bestItem, a.MemoryMiB) > bestFree {
		m.evictAdapters(now, best, a.MemoryMiB-bestFree, running[best.Name])
		return out
	}
	inFlight := 0
	for _, s := range best.orders {
		if s.order.Kind == engine.OrderLoadAdapter {
			inFlight++
		}
	}
	if inFlight >= m.settings.MaxAdapterLoads || best.ledger.Fencing() && !best.fenceConfirmed() {
		return out
	}
	o := m.newOrder(now, best, engine.OrderLoadAdapter, bestItem, a.MemoryMiB)
	if next, err := m.bookAndSend(now, best, o, out); err == nil {
		return next
	}
	return out
}

// evictAdapters removes adapters without running requests from the layout, least
// recently used first, until their memory adds up to needMiB.
func (m *Manager) evictAdapters(now time.Time, e *endpoint, needMiB int64, running map[Item]int64) {
	for i := range e.evictedAt {
		needMiB -= e.ledger.resident[i]
	}
	if needMiB <= 0 {
		return
	}
	lastUse := func(i Item) time.Time {
		t := e.residentSince[i]
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
		if i.Adapter == "" || e.evicting(i) || running[key] > 0 {
			continue
		}
		if a := m.demand.adapters[key]; a != nil && !a.waitingSince.IsZero() {
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
		if needMiB <= 0 {
			return
		}
		e.evictedAt[i] = now
		needMiB -= e.ledger.resident[i]
	}
}

// unloadAdapters unloads the evicted adapters whose drain time has passed.
func (m *Manager) unloadAdapters(now time.Time, e *endpoint, out []Action) []Action {
	if len(e.evictedAt) == 0 || !m.canOrder(now, e) {
		return out
	}
	if e.ledger.Fencing() && !e.fenceConfirmed() {
		return out
	}
	var due []Item
	for _, i := range e.ledger.Resident() {
		since, ok := e.evictedAt[i]
		if !ok || now.Sub(since) < m.settings.DrainTime || e.unloading(i) {
			continue
		}
		due = append(due, i)
	}
	if len(due) == 0 || !e.readSentAt.IsZero() || e.readDue {
		return out
	}
	running := m.demand.runningByAdapter()[e.Name]
	for _, i := range due {
		if running[Item{Model: i.Model, Adapter: i.Adapter}] > 0 {
			// A node with an older layout still uses the adapter, so it stays.
			delete(e.evictedAt, i)
			continue
		}
		o := m.newOrder(now, e, engine.OrderUnloadAdapter, i, 0)
		if next, err := m.bookAndSend(now, e, o, out); err == nil {
			out = next
		}
	}
	return out
}
