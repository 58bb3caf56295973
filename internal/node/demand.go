package node

import (
	"sync"

	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/place"
)

// demandCollector collects the demand of requests between two reports to the
// planner. It implements entry.Demand.
type demandCollector struct {
	mu       sync.Mutex
	entries  map[demandKey]*place.DemandEntry
	waiting  map[waitKey]int64
	uses     map[place.AdapterUse]int64
	suspects map[string]bool
	// changed is closed and replaced whenever a layout changes.
	changed chan struct{}
	// urgent is signalled when a request begins to wait for a model, so that a
	// report is sent before the next regular one.
	urgent chan struct{}
}

type demandKey struct {
	model     string
	workspace string
	adapter   string
}

type waitKey struct {
	model   string
	adapter string
}

func newDemandCollector() *demandCollector {
	return &demandCollector{
		entries:  make(map[demandKey]*place.DemandEntry),
		waiting:  make(map[waitKey]int64),
		uses:     make(map[place.AdapterUse]int64),
		suspects: make(map[string]bool),
		changed:  make(chan struct{}),
		urgent:   make(chan struct{}, 1),
	}
}

// RecordArrival implements entry.Demand.
func (c *demandCollector) RecordArrival(model, workspace, adapter string, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(model, workspace, adapter)
	e.Requests++
	e.Tokens += tokens
}

// RecordEnd implements entry.Demand.
func (c *demandCollector) RecordEnd(u entry.RequestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(u.Model, u.Workspace, u.Adapter)
	e.Measured++
	if u.OnTarget {
		e.OnTarget++
	}
}

func (c *demandCollector) entry(model, workspace, adapter string) *place.DemandEntry {
	k := demandKey{
		model:     model,
		workspace: workspace,
		adapter:   adapter,
	}
	e := c.entries[k]
	if e == nil {
		e = &place.DemandEntry{
			Model:     model,
			Workspace: workspace,
			Adapter:   adapter,
		}
		c.entries[k] = e
	}
	return e
}

// TrackWaiting implements entry.Demand.
func (c *demandCollector) TrackWaiting(model, adapter string) (done func()) {
	k := waitKey{
		model:   model,
		adapter: adapter,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[k]++
	select {
	case c.urgent <- struct{}{}:
	default:
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting[k]--; c.waiting[k] == 0 {
			delete(c.waiting, k)
		}
	}
}

// LayoutChanged implements entry.Demand.
func (c *demandCollector) LayoutChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// notifyLayoutChanged wakes the requests that wait for a model.
func (c *demandCollector) notifyLayoutChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// MarkInUse implements entry.Demand.
func (c *demandCollector) MarkInUse(endpoint, model, adapter string) (done func()) {
	k := place.AdapterUse{
		Endpoint: endpoint,
		Model:    model,
		Adapter:  adapter,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses[k]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.uses[k]--; c.uses[k] == 0 {
			delete(c.uses, k)
		}
	}
}

// ReportLayoutMismatch implements entry.Demand.
func (c *demandCollector) ReportLayoutMismatch(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[endpoint] = true
}

// fillReport adds the demand collected since the last report to r. Waiting
// requests and running uses are reported again each time.
func (c *demandCollector) fillReport(r *place.DemandReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		r.Entries = append(r.Entries, *e)
	}
	clear(c.entries)
	for k, n := range c.waiting {
		r.Waiting = append(r.Waiting, place.WaitingRequests{
			Model:    k.model,
			Adapter:  k.adapter,
			Requests: n,
		})
	}
	for u, n := range c.uses {
		u.Running = n
		r.InUse = append(r.InUse, u)
	}
	for name := range c.suspects {
		r.Suspects = append(r.Suspects, name)
	}
	clear(c.suspects)
}
