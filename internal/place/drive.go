package place

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// newOrder returns an order for an endpoint with the fencing token and the
// deadline that apply there.
func (m *Manager) newOrder(now time.Time, e *endpoint, kind engine.OrderKind, i Item, mib int64) engine.Order {
	lifetime := m.settings.OrderDeadline
	fence := engine.Fence{
		Counter: m.authority.Epoch,
		Node:    m.settings.Node,
	}
	if e.ledger.Fencing() {
		lifetime, fence = m.settings.FencedOrderDeadline, e.ownFence
	}
	m.nextID++
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d-%s-%d", m.settings.Domain, m.settings.Node, m.settings.Incarnation, m.nextID),
		Fence:     fence,
		Kind:      kind,
		Model:     i.Model,
		Version:   i.Version,
		Adapter:   i.Adapter,
		MemoryMiB: mib,
		Deadline:  now.Add(lifetime),
	}
}

// bookAndSend books an order in the endpoint's ledger and appends the action that
// sends it.
func (m *Manager) bookAndSend(now time.Time, e *endpoint, o engine.Order, out []Action) ([]Action, error) {
	if err := e.ledger.Book(now, o); err != nil {
		return out, err
	}
	e.orders[o.ID] = &sentOrder{
		order:     o,
		decidedAt: now,
		polledAt:  now,
	}
	return append(out, SendOrder{
		Endpoint: e.Name,
		Order:    o,
	}), nil
}

// raiseFence chooses an unused fencing token above all that the endpoint has
// reported. Loads wait until a state shows that the endpoint has adopted it.
func (m *Manager) raiseFence(e *endpoint) {
	e.ownFence = engine.Fence{
		Counter: max(m.authority.Epoch, e.ledger.Fence().Counter+1, e.ownFence.Counter+1),
		Node:    m.settings.Node,
	}
}

// advanceEndpoint reads the state of an endpoint when that is due, polls its
// open orders, establishes the fencing token and advances its move.
func (m *Manager) advanceEndpoint(now time.Time, e *endpoint, out []Action) []Action {
	if !e.readSentAt.IsZero() && now.Sub(e.readSentAt) >= m.settings.AnswerTimeout {
		e.readSentAt = time.Time{}
		m.readsInFlight--
		m.stateReadFailed(now, e)
		m.counters.LostAnswers++
	}
	// A state that is read once no order of an earlier holder can arrive lets the
	// ledger book loads. Without this read the first load would wait for the next
	// periodic one.
	if e.ledger.CanSync(now) && e.failedReads == 0 {
		e.readDue = true
	}
	if m.readsInFlight < m.settings.MaxReads && e.readSentAt.IsZero() && (e.readDue || !now.Before(e.nextRead)) && (e.failedReads == 0 || !now.Before(e.nextRead)) {
		e.readSentAt, e.readDue = now, false
		m.readsInFlight++
		e.nextRead = now.Add(m.settings.AnswerTimeout)
		out = append(out, ReadState{
			Endpoint:    e.Name,
			RequestedAt: now,
		})
	}
	if !m.canOrder(now, e) {
		return out
	}
	out = m.pollOrders(now, e, out)
	if e.ledger.Fencing() {
		out = m.establishFence(now, e, out)
	}
	return m.advanceMove(now, e, out)
}

// stateReadFailed records a failed read of an endpoint's state. The time to the
// next read doubles with each failure up to StateInterval, so that dead endpoints
// do not delay reads of the others.
func (m *Manager) stateReadFailed(now time.Time, e *endpoint) {
	e.failedReads++
	e.nextRead = now.Add(min(m.settings.StateInterval, m.settings.AnswerTimeout<<min(e.failedReads-1, 6)))
}

// pollOrders queries the status of orders whose result is unknown and resends
// those that the endpoint has not seen.
func (m *Manager) pollOrders(now time.Time, e *endpoint, out []Action) []Action {
	for _, id := range slices.Sorted(maps.Keys(e.orders)) {
		s := e.orders[id]
		wait := m.settings.AnswerTimeout
		if s.phase == engine.OrderRunning || s.phase == engine.OrderUnknown {
			wait = m.settings.PollInterval
		}
		if now.Sub(s.polledAt) < wait {
			continue
		}
		s.polledAt = now
		lifetime := s.order.Deadline.Sub(s.decidedAt)
		if s.phase == engine.OrderUnknown && now.Before(s.order.Deadline.Add(-lifetime/5)) {
			s.phase = ""
			m.counters.ResentOrders++
			out = append(out, SendOrder{
				Endpoint: e.Name,
				Order:    s.order,
			})
			continue
		}
		if !now.Before(s.order.Deadline) && s.phase != engine.OrderRunning {
			// After the deadline only a state proves that the order is over.
			e.readDue = true
		}
		out = append(out, ReadOrder{
			Endpoint: e.Name,
			ID:       id,
		})
	}
	return out
}

// establishFence makes this manager's fencing token the endpoint's highest. It is
// sent with an order that sets the endpoint's current role again, which has no
// other effect.
func (m *Manager) establishFence(now time.Time, e *endpoint, out []Action) []Action {
	if e.ledger.Incarnation() == "" {
		return out
	}
	seen := e.ledger.Fence()
	if e.ownFence == (engine.Fence{}) || e.ownFence.Less(seen) {
		// Another manager has given orders. If this one has no lease either, both
		// have the same right, and it waits before it raises its token again:
		// otherwise they would keep fencing each other off.
		if !now.Before(m.authority.Until) && !e.fenceRaisedAt.IsZero() && now.Sub(e.fenceRaisedAt) < m.orderLifetime(true) {
			return out
		}
		e.fenceRaisedAt = now
		m.raiseFence(e)
	}
	if e.fenceConfirmed() {
		return out
	}
	for _, s := range e.orders {
		if s.order.Fence == e.ownFence && !takesMemory(s.order.Kind) && now.Before(s.order.Deadline) {
			return out
		}
	}
	if !e.readSentAt.IsZero() || e.readDue {
		// The pending state may show that the token is already in place.
		return out
	}
	return m.sendRoleOrder(now, e, e.role, out)
}

func (m *Manager) sendRoleOrder(now time.Time, e *endpoint, role engine.Role, out []Action) []Action {
	o := m.newOrder(now, e, engine.OrderRole, Item{}, 0)
	o.Role = role
	if o.Role == "" {
		o.Role = engine.RoleMixed
	}
	out, err := m.bookAndSend(now, e, o, out)
	if err != nil {
		e.readDue = true
	}
	return out
}

// advanceMove carries out the next step of the move at an endpoint: draining,
// unloading, loading, or a change of role.
func (m *Manager) advanceMove(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if mv == nil || !m.canOrder(now, e) {
		return out
	}
	if now.Sub(mv.startedAt) > m.settings.MoveTimeout {
		m.abandonMove(now, e, "it took too long")
		return out
	}
	if mv.Role != "" {
		return m.advanceRole(now, e, out)
	}
	if mv.phase == moveDraining {
		if now.Before(mv.drainedAt) {
			return out
		}
		mv.phase = moveUnloading
	}
	if mv.phase == moveUnloading {
		var done bool
		out, done = m.advanceUnload(now, e, out)
		if !done {
			return out
		}
		mv.phase = moveLoading
		if mv.Load == (Item{}) {
			m.finishMove(now, e)
			return out
		}
	}
	switch mv.phase {
	case moveLoading:
		if mv.loadID != "" {
			return out
		}
		if e.ledger.Has(mv.Load) {
			m.finishMove(now, e)
			return out
		}
		if m.weights.Available(now, m.loadsInFlight(), m.loadTime) <= 0 {
			return out
		}
		o := m.newOrder(now, e, engine.OrderLoad, mv.Load, mv.MiB)
		next, err := m.bookAndSend(now, e, o, out)
		if err != nil {
			// The memory is still booked for an order that may take effect. A state
			// read releases it.
			if !now.Before(mv.retryAt) {
				mv.retryAt = now.Add(m.settings.AnswerTimeout)
				e.readDue = true
			}
			return out
		}
		m.weights.Take()
		mv.loadID, mv.loadSentAt = o.ID, now
		return next
	case moveLoaded:
		if e.ledger.Has(mv.Load) {
			m.finishMove(now, e)
		}
	}
	return out
}

func (m *Manager) advanceRole(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if e.role == mv.Role {
		m.finishMove(now, e)
		return out
	}
	if now.Before(mv.retryAt) || e.ledger.Fencing() && !e.fenceConfirmed() {
		return out
	}
	mv.retryAt = now.Add(3 * m.settings.AnswerTimeout)
	return m.sendRoleOrder(now, e, mv.Role, out)
}

// advanceUnload sends the unload orders of a move and reports whether the last
// state shows all its items as unloaded.
func (m *Manager) advanceUnload(now time.Time, e *endpoint, out []Action) ([]Action, bool) {
	mv := e.move
	var rest []Item
	for _, i := range e.ledger.Resident() {
		for _, evicted := range mv.Evict {
			if covers(evicted, i) {
				rest = append(rest, i)
				break
			}
		}
	}
	if len(rest) == 0 {
		return out, true
	}
	for _, id := range mv.unloadIDs {
		if e.orders[id] != nil {
			return out, false
		}
	}
	if now.Before(mv.retryAt) || !e.readSentAt.IsZero() || e.readDue {
		return out, false
	}
	if e.ledger.Fencing() && !e.fenceConfirmed() {
		return out, false
	}
	mv.unloadAttempts++
	if mv.unloadAttempts > 3 {
		m.abandonMove(now, e, "the accelerator did not unload the items that had to be evicted")
		return out, false
	}
	mv.retryAt = now.Add(m.settings.AnswerTimeout)
	mv.unloadIDs = mv.unloadIDs[:0]
	// Adapters are unloaded before their model.
	slices.SortStableFunc(rest, func(a, b Item) int { return strings.Compare(b.Adapter, a.Adapter) })
	for _, i := range rest {
		kind := engine.OrderUnload
		if i.Adapter != "" {
			kind = engine.OrderUnloadAdapter
		}
		o := m.newOrder(now, e, kind, i, 0)
		var err error
		if out, err = m.bookAndSend(now, e, o, out); err == nil {
			mv.unloadIDs = append(mv.unloadIDs, o.ID)
		}
	}
	return out, false
}

// loadsInFlight counts the model loads that may be reading from the weight store.
func (m *Manager) loadsInFlight() int {
	n := 0
	for _, e := range m.endpoints {
		for _, s := range e.orders {
			if s.order.Kind == engine.OrderLoad {
				n++
			}
		}
	}
	return n
}
