package place

import (
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// usable reports whether new models may be placed at an endpoint: it is not
// leaving, its state is known, and the last reads did not fail.
func (e *endpoint) usable() bool {
	return !e.reportedLeaving && !e.listedLeaving && e.failedReads < 3 && e.ledger.Incarnation() != ""
}

// evicting reports whether an item is about to be unloaded. An unload order counts
// until it has ended, even if its move was abandoned: an endpoint may wait for
// long streams to end before it carries out the order.
func (e *endpoint) evicting(i Item) bool {
	if _, ok := e.evictedAt[i]; ok {
		return true
	}
	if e.move != nil {
		for _, evicted := range e.move.Evict {
			if covers(evicted, i) {
				return true
			}
		}
	}
	return e.unloading(i)
}

// unloading reports whether an unload order for the item was sent and has not
// ended.
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

// covers reports whether unloading the item unloaded also unloads i. Unloading a
// model unloads its adapters.
func covers(unloaded, i Item) bool {
	return i.Model == unloaded.Model && i.Version == unloaded.Version && (unloaded.Adapter == "" || unloaded.Adapter == i.Adapter)
}

// View returns the input for the policy.
func (m *Manager) View(now time.Time) *View {
	v := &View{
		Now:             now,
		LoadTime:        m.loadTime,
		TokensPerSecond: m.settings.TokensPerSecond,
	}
	running := m.demand.runningByAdapter()
	pending := 0
	for _, name := range m.endpointNames {
		e := m.endpoints[name]
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
			Idle:      e.move == nil && m.canOrder(now, e) && e.ledger.Synced() && (!e.ledger.Fencing() || e.fenceConfirmed()),
			BookedFor: m.orderLifetime(e.ledger.Fencing()),
		}
		reserved := e.ledger.reservedMiB()
		if e.move != nil && e.move.Load != (Item{}) && reserved[e.move.Load] == 0 {
			reserved[e.move.Load] = e.move.MiB
		}
		for _, i := range slices.SortedFunc(maps.Keys(reserved), compareItems) {
			if !e.ledger.Has(i) && !m.isLoading(e, i) {
				// Only a late copy of an earlier order could load this item.
				continue
			}
			ev.Items = append(ev.Items, ItemView{
				Item:            i,
				MiB:             reserved[i],
				Ready:           e.ledger.Has(i) && !e.evicting(i),
				ResidentSince:   e.residentSince[i],
				RunningRequests: running[name][Item{Model: i.Model, Adapter: i.Adapter}],
			})
		}
		v.Endpoints = append(v.Endpoints, ev)
	}
	for _, name := range slices.Sorted(maps.Keys(m.models)) {
		x := m.models[name]
		remote := m.remote[name]
		mv := ModelView{
			Spec:              x,
			Requests:          remote.Requests,
			Tokens:            remote.Tokens,
			Value:             remote.Value,
			Excess:            remote.Excess,
			RemoteReplicas:    remote.Replicas,
			DomainRank:        m.domainRanks[name],
			AdapterReserveMiB: m.adapterReserveMiB(name),
		}
		if d := m.demand.models[name]; d != nil {
			mv.Requests += d.requests.level
			mv.Tokens += d.tokens.level
			mv.Value += d.value.level
			mv.LastUse, mv.WaitingSince = d.lastUse, d.waitingSince
		}
		v.Models = append(v.Models, mv)
	}
	// Two more moves are allowed than the weight store can serve now, because moves
	// spend time on unloading before they load.
	v.MaxLoads = max(0, 2+m.weights.Available(now, m.loadsInFlight(), m.loadTime)-pending)
	return v
}

// isLoading reports whether the current move or an order without a known result
// loads the item.
func (m *Manager) isLoading(e *endpoint, i Item) bool {
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

// adapterReserveMiB is the memory to keep free for the adapters of a model: that
// of all its adapters, at most ReservedAdapters times the largest one.
func (m *Manager) adapterReserveMiB(model string) int64 {
	var sum, most int64
	for _, a := range m.adaptersByModel[model] {
		sum += a.MemoryMiB
		most = max(most, a.MemoryMiB)
	}
	return min(sum, int64(m.settings.ReservedAdapters)*most)
}

// plan runs the policy and begins the moves whose endpoints can take orders.
func (m *Manager) plan(now time.Time) {
	v := m.View(now)
	m.excess = excessLoad(v)
	moves := m.settings.Policy.Plan(v)
	if m.settings.Roles {
		moves = append(moves, planRoles(v, moves)...)
	}
	for _, x := range moves {
		e := m.endpoints[x.Endpoint]
		if e == nil || e.move != nil || !e.usable() || !m.canOrder(now, e) {
			continue
		}
		mv := &move{
			Move:      x,
			startedAt: now,
			drainedAt: now,
		}
		if len(x.Evict) > 0 {
			mv.drainedAt = now.Add(m.settings.DrainTime)
		}
		e.move = mv
	}
}
