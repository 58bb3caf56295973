package place

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// order makes an order for an endpoint under its current fence.
func (m *Manager) order(now time.Time, e *endpoint, kind engine.OrderKind, i Item, mib int64) engine.Order {
	life := m.set.OrderDeadline
	fence := engine.Fence{
		Counter: m.auth.Epoch,
		Node:    m.set.Node,
	}
	if e.ledger.Fencing() {
		life, fence = m.set.FencedOrderDeadline, e.own
	}
	m.nextID++
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d-%s-%d", m.set.Domain, m.set.Node, m.set.Incarnation, m.nextID),
		Fence:     fence,
		Kind:      kind,
		Model:     i.Model,
		Version:   i.Version,
		Adapter:   i.Adapter,
		MemoryMiB: mib,
		Deadline:  now.Add(life),
	}
}

// send books an order and asks to send it.
func (m *Manager) send(now time.Time, e *endpoint, o engine.Order, out []Action) ([]Action, error) {
	if err := e.ledger.Book(now, o); err != nil {
		return out, err
	}
	e.orders[o.ID] = &sentOrder{
		order: o,
		at:    now,
		asked: now,
	}
	return append(out, SendOrder{
		Endpoint: e.Name,
		Order:    o,
	}), nil
}

// raise takes an unused fence above all that the endpoint has reported. Loads
// wait until a state shows it.
func (m *Manager) raise(e *endpoint) {
	e.own = engine.Fence{
		Counter: max(m.auth.Epoch, e.ledger.Fence().Counter+1, e.own.Counter+1),
		Node:    m.set.Node,
	}
}

// drive does what an endpoint needs apart from new plans.
func (m *Manager) drive(now time.Time, e *endpoint, out []Action) []Action {
	if !e.readAsked.IsZero() && now.Sub(e.readAsked) >= m.set.AnswerWait {
		e.readAsked = time.Time{}
		m.reads--
		m.unread(now, e)
		m.counters.LostAnswers++
	}
	// A state read after the wait settles the ledger; without it the first load
	// would come with the next regular read.
	if e.ledger.SettlesBy(now) && e.fails == 0 {
		e.wantRead = true
	}
	if m.reads < m.set.Reads && e.readAsked.IsZero() && (e.wantRead || !now.Before(e.nextRead)) && (e.fails == 0 || !now.Before(e.nextRead)) {
		e.readAsked, e.wantRead = now, false
		m.reads++
		e.nextRead = now.Add(m.set.AnswerWait)
		out = append(out, ReadState{
			Endpoint: e.Name,
			Asked:    now,
		})
	}
	if !m.mayOrder(now, e) {
		return out
	}
	out = m.driveOrders(now, e, out)
	if e.ledger.Fencing() {
		out = m.driveFence(now, e, out)
	}
	return m.driveMove(now, e, out)
}

// unread notes that an endpoint did not give its state. It is asked less and
// less often, so that dead endpoints do not hold up the others.
func (m *Manager) unread(now time.Time, e *endpoint) {
	e.fails++
	e.nextRead = now.Add(min(m.set.StateEvery, m.set.AnswerWait<<min(e.fails-1, 6)))
}

// driveOrders asks about orders without a final word and sends them again when
// the endpoint has not seen them.
func (m *Manager) driveOrders(now time.Time, e *endpoint, out []Action) []Action {
	for _, id := range slices.Sorted(maps.Keys(e.orders)) {
		s := e.orders[id]
		wait := m.set.AnswerWait
		if s.phase == engine.OrderRunning || s.phase == engine.OrderUnseen {
			wait = m.set.Poll
		}
		if now.Sub(s.asked) < wait {
			continue
		}
		s.asked = now
		life := s.order.Deadline.Sub(s.at)
		if s.phase == engine.OrderUnseen && now.Before(s.order.Deadline.Add(-life/5)) {
			s.phase = ""
			m.counters.Resent++
			out = append(out, SendOrder{
				Endpoint: e.Name,
				Order:    s.order,
			})
			continue
		}
		if !now.Before(s.order.Deadline) && s.phase != engine.OrderRunning {
			// Only a state can settle it now.
			e.wantRead = true
		}
		out = append(out, ReadOrder{
			Endpoint: e.Name,
			ID:       id,
		})
	}
	return out
}

// driveFence makes this manager's fence the endpoint's highest. The order that
// carries it is a change to the role that the endpoint has, which changes
// nothing else.
func (m *Manager) driveFence(now time.Time, e *endpoint, out []Action) []Action {
	if e.ledger.Incarnation() == "" {
		return out
	}
	seen := e.ledger.Fence()
	if e.own == (engine.Fence{}) || e.own.Less(seen) {
		// Another holder has ordered something. Without a lease the other one
		// has the same right, and both taking turns would help nobody.
		if !now.Before(m.auth.Until) && !e.claimed.IsZero() && now.Sub(e.claimed) < m.quiet(true) {
			return out
		}
		e.claimed = now
		m.raise(e)
	}
	if e.fenced() {
		return out
	}
	for _, s := range e.orders {
		if s.order.Fence == e.own && !takesMemory(s.order.Kind) && now.Before(s.order.Deadline) {
			return out
		}
	}
	if !e.readAsked.IsZero() || e.wantRead {
		// The answer may show that the fence is in place.
		return out
	}
	return m.sendRole(now, e, e.role, out)
}

func (m *Manager) sendRole(now time.Time, e *endpoint, role engine.Role, out []Action) []Action {
	o := m.order(now, e, engine.OrderRole, Item{}, 0)
	o.Role = role
	if o.Role == "" {
		o.Role = engine.RoleMixed
	}
	out, err := m.send(now, e, o, out)
	if err != nil {
		e.wantRead = true
	}
	return out
}

// driveMove takes the next step of the move at an endpoint.
func (m *Manager) driveMove(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if mv == nil || !m.mayOrder(now, e) {
		return out
	}
	if now.Sub(mv.begun) > m.set.MoveTimeout {
		m.abandon(now, e, "it took too long")
		return out
	}
	if mv.Role != "" {
		return m.driveRole(now, e, out)
	}
	if mv.phase == moveDraining {
		if now.Before(mv.ready) {
			return out
		}
		mv.phase = moveUnloading
	}
	if mv.phase == moveUnloading {
		var done bool
		out, done = m.driveUnload(now, e, out)
		if !done {
			return out
		}
		mv.phase = moveLoading
		if mv.Load == (Item{}) {
			m.finish(now, e)
			return out
		}
	}
	switch mv.phase {
	case moveLoading:
		if mv.loadID != "" {
			return out
		}
		if e.ledger.Has(mv.Load) {
			m.finish(now, e)
			return out
		}
		if m.weights.Ready(now, m.loading(), m.loadTime) <= 0 {
			return out
		}
		o := m.order(now, e, engine.OrderLoad, mv.Load, mv.MiB)
		next, err := m.send(now, e, o, out)
		if err != nil {
			// The space is still booked for an order that may take effect; the
			// state will release it.
			if !now.Before(mv.retryAt) {
				mv.retryAt = now.Add(m.set.AnswerWait)
				e.wantRead = true
			}
			return out
		}
		m.weights.Take()
		mv.loadID, mv.started = o.ID, now
		return next
	case moveLoaded:
		if e.ledger.Has(mv.Load) {
			m.finish(now, e)
		}
	}
	return out
}

func (m *Manager) driveRole(now time.Time, e *endpoint, out []Action) []Action {
	mv := e.move
	if e.role == mv.Role {
		m.finish(now, e)
		return out
	}
	if now.Before(mv.retryAt) || e.ledger.Fencing() && !e.fenced() {
		return out
	}
	mv.retryAt = now.Add(3 * m.set.AnswerWait)
	return m.sendRole(now, e, mv.Role, out)
}

// driveUnload sends the unloads of a move and reports whether a state shows
// that everything is gone.
func (m *Manager) driveUnload(now time.Time, e *endpoint, out []Action) ([]Action, bool) {
	mv := e.move
	var rest []Item
	for _, i := range e.ledger.Resident() {
		for _, gone := range mv.Evict {
			if covers(gone, i) {
				rest = append(rest, i)
				break
			}
		}
	}
	if len(rest) == 0 {
		return out, true
	}
	for _, id := range mv.unloads {
		if e.orders[id] != nil {
			return out, false
		}
	}
	if now.Before(mv.retryAt) || !e.readAsked.IsZero() || e.wantRead {
		return out, false
	}
	if e.ledger.Fencing() && !e.fenced() {
		return out, false
	}
	mv.tries++
	if mv.tries > 3 {
		m.abandon(now, e, "the accelerator did not unload what had to make room")
		return out, false
	}
	mv.retryAt = now.Add(m.set.AnswerWait)
	mv.unloads = mv.unloads[:0]
	// Adapters go before their model.
	slices.SortStableFunc(rest, func(a, b Item) int { return strings.Compare(b.Adapter, a.Adapter) })
	for _, i := range rest {
		kind := engine.OrderUnload
		if i.Adapter != "" {
			kind = engine.OrderUnloadAdapter
		}
		o := m.order(now, e, kind, i, 0)
		var err error
		if out, err = m.send(now, e, o, out); err == nil {
			mv.unloads = append(mv.unloads, o.ID)
		}
	}
	return out, false
}

// loading counts the model loads that may be using the weight store.
func (m *Manager) loading() int {
	n := 0
	for _, e := range m.eps {
		for _, s := range e.orders {
			if s.order.Kind == engine.OrderLoad {
				n++
			}
		}
	}
	return n
}
