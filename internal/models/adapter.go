package models

import (
	"errors"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Errors of NextAdapterOrder.
var (
	// ErrNotHeld means that the engine is unknown or leaving, or does not hold the
	// model.
	ErrNotHeld = errors.New("models: the engine does not hold the model")
	// ErrNotReady means that the engine cannot be given an order now: its state is
	// not confirmed, or it has other orders first.
	ErrNotReady = errors.New("models: the engine cannot be given an order now")
	// ErrAdaptersInUse means that no adapter of the engine can be evicted: all of
	// them were used a short time ago or have requests running.
	ErrAdaptersInUse = errors.New("models: all adapters of the engine are in use")
)

// RecordAdapterUse records a request for an adapter at an engine, which the choice
// of the adapter to evict takes into account.
func (p *Planner) RecordAdapterUse(now time.Time, key fleet.Key, modelName, adapter string) {
	if e := p.engines[key.ID]; e != nil && e.Incarnation == key.Incarnation {
		e.lastUsed[adapterName(modelName, adapter)] = now
	}
}

// NextAdapterOrder returns the next order needed to load an adapter at an engine:
// the load itself, or the eviction of the least recently used adapter. It returns
// a nil order when the engine holds the adapter already.
func (p *Planner) NextAdapterOrder(now time.Time, key fleet.Key, modelName, adapter string) (*Order, error) {
	e := p.engines[key.ID]
	if e == nil || e.Incarnation != key.Incarnation || e.Leaving {
		return nil, ErrNotHeld
	}
	if e.reported.IsZero() {
		// Without a first report it is unknown what the engine holds.
		return nil, ErrNotReady
	}
	r := fleet.Find(e.models, modelName)
	if r == nil {
		return nil, ErrNotHeld
	}
	name := adapterName(modelName, adapter)
	if r.Has(adapter) {
		e.lastUsed[name] = now
		return nil, nil
	}
	for n, until := range e.pendingUntil {
		if !now.Before(until) {
			delete(e.pendingUntil, n)
		}
	}
	if len(e.steps) > 0 || !e.stateConfirmed(now) || !p.orderAllowed(now, e) {
		return nil, ErrNotReady
	}
	m := e.class.Models[modelName]
	if e.adapterCount() < e.class.AdapterSlots && e.usedMB()+m.AdapterMB <= e.class.WeightsMB {
		e.lastUsed[name] = now
		e.pendingUntil[name] = now.Add(orderTimeout)
		o := p.issue(now, e, Order{
			Load:    true,
			Model:   modelName,
			Adapter: adapter,
			Reason:  "adapter",
		})
		return &o, nil
	}
	lruModel, lruAdapter, lruUsed := "", "", now.Add(-adapterIdleAfter)
	for _, held := range e.models {
		for _, a := range held.Adapters {
			n := adapterName(held.Model, a)
			if p.running[runKey{key: key, item: n}] > 0 {
				continue
			}
			if at := e.lastUsed[n]; at.Before(lruUsed) {
				lruModel, lruAdapter, lruUsed = held.Model, a, at
			}
		}
	}
	if lruAdapter == "" {
		return nil, ErrAdaptersInUse
	}
	o := p.issue(now, e, Order{
		Model:   lruModel,
		Adapter: lruAdapter,
		Reason:  "adapter-room",
	})
	return &o, nil
}
