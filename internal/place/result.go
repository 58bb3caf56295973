package place

import (
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// onState takes over a state that an endpoint gave.
func (m *Manager) onState(now time.Time, r StateResult) {
	e := m.eps[r.Endpoint]
	if e == nil {
		return
	}
	if r.Asked.Equal(e.readAsked) {
		e.readAsked = time.Time{}
	}
	if r.Err != nil {
		m.unread(now, e)
		return
	}
	before := e.ledger.Incarnation()
	if !e.ledger.Apply(r.Asked, now, r.State) {
		e.wantRead = true
		return
	}
	e.fails = 0
	e.nextRead = now.Add(m.set.StateEvery)
	e.role = r.State.Role
	e.leaving = r.State.Leaving
	if before != "" && before != r.State.Incarnation {
		m.counters.Restarts++
		e.dropping = map[Item]time.Time{}
		if e.move != nil {
			m.abandon(now, e, "the accelerator has restarted")
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
		if !slices.Contains(e.ledger.Open(), id) {
			// The state proves that the order is over.
			m.settle(now, e, s, e.ledger.Has(itemOf(s.order)))
			delete(e.orders, id)
		}
	}
	for i := range e.since {
		if !e.ledger.Has(i) {
			delete(e.since, i)
			delete(e.dropping, i)
		}
	}
	for _, i := range e.ledger.Resident() {
		if _, ok := e.since[i]; !ok {
			e.since[i] = now
		}
	}
}

// onOrder takes over an endpoint's word on an order.
func (m *Manager) onOrder(now time.Time, r OrderResult) {
	e := m.eps[r.Endpoint]
	if e == nil {
		return
	}
	s := e.orders[r.ID]
	if s == nil {
		return
	}
	if r.Err != nil {
		s.silent++
		m.counters.LostAnswers++
		return
	}
	s.silent = 0
	if r.Refused != "" {
		if r.Refused == engine.CodeStaleFence {
			m.counters.StaleFence++
		}
		m.settle(now, e, s, false)
		delete(e.orders, r.ID)
		e.wantRead = true
		return
	}
	s.phase = r.Status.Phase
	switch r.Status.Phase {
	case engine.OrderDone, engine.OrderFailed:
		m.settle(now, e, s, r.Status.Phase == engine.OrderDone)
		delete(e.orders, r.ID)
		e.wantRead = true
	}
}

// settle takes over that an order is over as far as the move goes. The ledger
// keeps its memory booked until a state proves that no copy can arrive.
func (m *Manager) settle(now time.Time, e *endpoint, s *sentOrder, done bool) {
	switch s.order.Kind {
	case engine.OrderLoad:
		mv := e.move
		if mv == nil || mv.loadID != s.order.ID {
			return
		}
		if !done {
			m.abandon(now, e, "the accelerator did not load it")
			return
		}
		mv.phase = moveLoaded
		took := now.Sub(mv.started)
		m.loadTime += (took - m.loadTime) / 8
	case engine.OrderLoadAdapter:
		if done {
			m.counters.AdapterLoads++
			m.counters.ByReason[ReasonAdapter]++
		} else {
			e.tried[itemOf(s.order)] = now
		}
	case engine.OrderUnloadAdapter:
		if done {
			m.counters.AdapterEvicts++
			m.counters.ByReason[ReasonAdapterGo]++
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

func (m *Manager) abandon(now time.Time, e *endpoint, why string) {
	mv := e.move
	e.move = nil
	m.counters.Abandoned++
	m.record(MoveRecord{
		At:       now,
		Endpoint: e.Name,
		Item:     mv.Load,
		Reason:   mv.Reason,
		Sentence: fmt.Sprintf("%s It was given up because %s.", mv.Sentence, why),
	})
}

func (m *Manager) finish(now time.Time, e *endpoint) {
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
		At:       now,
		Endpoint: e.Name,
		Item:     item,
		Reason:   mv.Reason,
		Done:     true,
		Sentence: mv.Sentence,
	})
}
