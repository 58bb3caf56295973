package depot

import (
	"errors"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Errors of Adapter.
var (
	// ErrGone means that the engine or model is not there.
	ErrGone = errors.New("depot: the engine does not hold the model")
	// ErrLater means that the engine cannot be given the order now.
	ErrLater = errors.New("depot: the engine carries out another order")
	// ErrNoRoom means that all adapter slots of the engine are in use.
	ErrNoRoom = errors.New("depot: all adapter slots are in use")
)

// AdapterUsed notes a request for an adapter at an engine.
func (d *Depot) AdapterUsed(now time.Time, key fleet.Key, modelName, adapter string) {
	if e := d.engines[key.ID]; e != nil && e.Born == key.Born {
		e.used[adapterName(modelName, adapter)] = now
	}
}

// Adapter returns the order that brings an adapter to an engine or makes room
// for it. It returns no order when the adapter is there or on its way.
func (d *Depot) Adapter(now time.Time, key fleet.Key, modelName, adapter string) (*Order, error) {
	e := d.engines[key.ID]
	if e == nil || e.Born != key.Born || e.Leaving {
		return nil, ErrGone
	}
	if e.reported.IsZero() {
		// What the engine holds is not known yet.
		return nil, ErrLater
	}
	r := fleet.Find(e.models, modelName)
	if r == nil {
		return nil, ErrGone
	}
	name := adapterName(modelName, adapter)
	if r.Has(adapter) {
		e.used[name] = now
		return nil, nil
	}
	for n, until := range e.pending {
		if !now.Before(until) {
			delete(e.pending, n)
		}
	}
	if len(e.todo) > 0 || !e.settled(now) || !d.mayOrder(now, e) {
		return nil, ErrLater
	}
	m := e.class.Models[modelName]
	if e.adapters() < e.class.AdapterSlots && e.size()+m.AdapterMB <= e.class.WeightsMB {
		e.used[name] = now
		e.pending[name] = now.Add(answerWait)
		o := d.send(now, e, Order{
			Load:    true,
			Model:   modelName,
			Adapter: adapter,
			Reason:  "adapter",
		})
		return &o, nil
	}
	oldModel, oldAdapter, last := "", "", now.Add(-adapterIdle)
	for _, held := range e.models {
		for _, a := range held.Adapters {
			n := adapterName(held.Model, a)
			if d.running[runKey{key: key, item: n}] > 0 {
				continue
			}
			if at := e.used[n]; at.Before(last) {
				oldModel, oldAdapter, last = held.Model, a, at
			}
		}
	}
	if oldAdapter == "" {
		return nil, ErrNoRoom
	}
	o := d.send(now, e, Order{
		Model:   oldModel,
		Adapter: oldAdapter,
		Reason:  "adapter-room",
	})
	return &o, nil
}
