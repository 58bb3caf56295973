package place

import (
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// onState processes the result of a ReadState.
func (m *Manager) onState(now time.Time, r StateResult) {
	e := m.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	if r.RequestedAt.Equal(e.readSentAt) {
		e.readSentAt = time.Time{}
	}
	if r.Err != nil {
		m.stateReadFailed(now, e)
		return
	}
	before := e.ledger.Incarnation()
	if !e.ledger.Apply(r.RequestedAt, now, r.State) {
		e.readDue = true
		return
	}
	e.failedReads = 0
	e.nextRead = now.Add(m.settings.StateInterval)
	e.role = r.State.Role
	e.reportedLeaving = r.State.Leaving
	if before != "" && before != r.State.Incarnation {
		m.counters.Restarts++
		e.evictedAt = map[Item]time.Time{}
		if e.move != nil {
			m.abandonMove(now, e, "the accelerator has restarted")
		}
	}
	running := map[string]bool{}
	for _, o := range r.State.Running {
		running[o.ID] = true
	}
	for id, s := range e.orders {
		if running[id] {
			s.phase = engine.OrderRunning
			continue
		}
		if !slices.Contains(e.ledger.PendingOrders(), id) {
			// The state proves that the order can no longer take effect.
			m.orderEnded(now, e, s, e.ledger.Has(itemOf(s.order)))
			delete(e.orders, id)
		}
	}
	for i := range e.residentSince {
		if !e.ledger.Has(i) {
			delete(e.residentSince, i)
			delete(e.evictedAt, i)
		}
	}
	for _, i := range e.ledger.Resident() {
		if _, ok := e.residentSince[i]; !ok {
			e.residentSince[i] = now
		}
	}
}

// onOrder processes the result of a SendOrder or a ReadOrder.
func (m *Manager) onOrder(now time.Time, r OrderResult) {
	e := m.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	s := e.orders[r.ID]
	if s == nil {
		return
	}
	if r.Err != nil {
		s.unanswered++
		m.counters.LostAnswers++
		return
	}
	s.unanswered = 0
	if r.ErrorCode != "" {
		if r.ErrorCode == engine.CodeStaleFence {
			m.counters.StaleFence++
		}
		m.orderEnded(now, e, s, false)
		delete(e.orders, r.ID)
		e.readDue = true
		return
	}
	s.phase = r.Status.Phase
	switch r.Status.Phase {
	case engine.OrderDone, engine.OrderFailed:
		m.orderEnded(now, e, s, r.Status.Phase == engine.OrderDone)
		delete(e.orders, r.ID)
		e.readDue = true
	}
}

// orderEnded updates the move and the counters after an order succeeded or
// failed. The ledger keeps the order's memory booked until a state proves that no
// copy can arrive.
func (m *Manager) orderEnded(now time.Time, e *endpoint, s *sentOrder, done bool) {
	switch s.order.Kind {
	case engine.OrderLoad:
		mv := e.move
		if mv == nil || mv.loadID != s.order.ID {
			return
		}
		if !done {
			m.abandonMove(now, e, "the accelerator did not load it")
			return
		}
		mv.phase = moveLoaded
		took := now.Sub(mv.loadSentAt)
		m.loadTime += (took - m.loadTime) / 8
	case engine.OrderLoadAdapter:
		if done {
			m.counters.AdapterLoads++
			m.counters.ByReason[ReasonAdapter]++
		} else {
			e.loadFailedAt[itemOf(s.order)] = now
		}
	case engine.OrderUnloadAdapter:
		if done {
			m.counters.AdapterEvictions++
			m.counters.ByReason[ReasonAdapterEvicted]++
		}
	case engine.OrderUnload:
		if done {
			m.counters.Unloads++
		}
	}
}

func (m *Manager) record(r MoveRecord) {
	m.records = append(m.records, r)
	if len(m.records) > maxRecords {
		m.records = m.records[len(m.records)-maxRecords:]
	}
}

func (m *Manager) abandonMove(now time.Time, e *endpoint, why string) {
	mv := e.move
	e.move = nil
	m.counters.Abandoned++
	m.record(MoveRecord{
		At:          now,
		Endpoint:    e.Name,
		Item:        mv.Load,
		Reason:      mv.Reason,
		Explanation: fmt.Sprintf("%s It was abandoned because %s.", mv.Explanation, why),
	})
}

func (m *Manager) finishMove(now time.Time, e *endpoint) {
	mv := e.move
	e.move = nil
	m.counters.ByReason[mv.Reason]++
	item := mv.Load
	if mv.Load != (Item{}) {
		m.counters.Loads++
	} else if len(mv.Evict) > 0 {
		item = mv.Evict[0]
	}
	m.record(MoveRecord{
		At:          now,
		Endpoint:    e.Name,
		Item:        item,
		Reason:      mv.Reason,
		Done:        true,
		Explanation: mv.Explanation,
	})
}
