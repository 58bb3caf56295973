package node

import (
	"sync"

	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/place"
)

// board collects what callers ask for between two reports to the planner. It
// implements entry.Demand.
type board struct {
	mu       sync.Mutex
	served   map[servedKey]*place.DemandEntry
	waiting  map[wantKey]int64
	uses     map[place.Use]int64
	suspects map[string]bool
	changed  chan struct{}
	// urgent is signalled when a request begins to wait, so that the planner
	// hears of it before the next regular report.
	urgent chan struct{}
}

type servedKey struct {
	model     string
	workspace string
	adapter   string
}

type wantKey struct {
	model   string
	adapter string
}

func newBoard() *board {
	return &board{
		served:   make(map[servedKey]*place.DemandEntry),
		waiting:  make(map[wantKey]int64),
		uses:     make(map[place.Use]int64),
		suspects: make(map[string]bool),
		changed:  make(chan struct{}),
		urgent:   make(chan struct{}, 1),
	}
}

// Arrived implements entry.Demand.
func (b *board) Arrived(model, workspace, adapter string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(model, workspace, adapter)
	e.Requests++
	e.Tokens += tokens
}

// Served implements entry.Demand.
func (b *board) Served(u entry.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(u.Model, u.Workspace, u.Adapter)
	e.Begun++
	if u.OnTarget {
		e.OnTarget++
	}
}

func (b *board) entry(model, workspace, adapter string) *place.DemandEntry {
	k := servedKey{
		model:     model,
		workspace: workspace,
		adapter:   adapter,
	}
	e := b.served[k]
	if e == nil {
		e = &place.DemandEntry{
			Model:     model,
			Workspace: workspace,
			Adapter:   adapter,
		}
		b.served[k] = e
	}
	return e
}

// Wait implements entry.Demand.
func (b *board) Wait(model, adapter string) (done func()) {
	k := wantKey{
		model:   model,
		adapter: adapter,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[k]++
	select {
	case b.urgent <- struct{}{}:
	default:
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.waiting[k]--; b.waiting[k] == 0 {
			delete(b.waiting, k)
		}
	}
}

// Changed implements entry.Demand.
func (b *board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// layoutChanged wakes the requests that wait for a model.
func (b *board) layoutChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// Use implements entry.Demand.
func (b *board) Use(endpoint, model, adapter string) (done func()) {
	k := place.Use{
		Endpoint: endpoint,
		Model:    model,
		Adapter:  adapter,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uses[k]++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.uses[k]--; b.uses[k] == 0 {
			delete(b.uses, k)
		}
	}
}

// Suspect implements entry.Demand.
func (b *board) Suspect(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[endpoint] = true
}

// take fills a report with what was collected since the last one.
func (b *board) take(r *place.DemandReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.served {
		r.Entries = append(r.Entries, *e)
	}
	clear(b.served)
	for k, n := range b.waiting {
		r.Waiting = append(r.Waiting, place.Want{
			Model:    k.model,
			Adapter:  k.adapter,
			Requests: n,
		})
	}
	for u, n := range b.uses {
		u.Running = n
		r.InUse = append(r.InUse, u)
	}
	for name := range b.suspects {
		r.Suspects = append(r.Suspects, name)
	}
	clear(b.suspects)
}
