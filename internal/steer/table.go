// Package steer chooses the endpoint for each request of the pipeline and
// judges endpoints by how requests fare there.
package steer

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Errors of Pick.
var (
	// ErrNotResident means that no endpoint that can be reached holds the model.
	ErrNotResident = errors.New("steer: no endpoint holds the model")
	// ErrNoEndpoint means that no endpoint of the service takes new requests.
	ErrNoEndpoint = errors.New("steer: no endpoint takes new requests")
)

const (
	// silentAfter is how long an endpoint may owe answers without sending a
	// byte before others are preferred. Twice the longest usual step of an engine.
	silentAfter = 700 * time.Millisecond
	// unreachable is how long an endpoint that took no connection is left alone
	// at first; each further failure doubles it up to unreachableMost.
	unreachable     = 500 * time.Millisecond
	unreachableMost = 4 * time.Second
	// fullFor is how long an endpoint that turned a request away is avoided.
	fullFor = 150 * time.Millisecond
	// failWeight is the weight of one outcome in the failure rate.
	failWeight = 0.15
	// failCost is how much a failure rate of 1 multiplies the cost.
	failCost = 12
	// farCost is what another failure domain adds, in requests.
	farCost = 4
	// affinityGain is how much the endpoint that sessions of the same prompt
	// part share is preferred, in requests.
	affinityGain = 5
	// fetchCost is what loading an adapter first adds, in requests.
	fetchCost = 8
	// busyCost is added where that load would wait for the load of a model.
	busyCost = 150
	// idleLoad is the load that an idle engine counts as. The longest pause
	// between the events of a stream grows by half from 5 requests to 20.
	idleLoad = 20
	// idleSlots bounds it, as a part of the engine's slots: where these are few, a
	// slow engine is better than one whose slots are taken.
	idleSlots = 0.3
	// nearFull is the part of an endpoint's slots above which each request more
	// adds fullCost: reports are late, so the last slots may be taken.
	nearFull = 0.8
	fullCost = 3
	// idlePlain is the same for an endpoint of a plain service, which serves
	// few requests at once.
	idlePlain = 2
	// spreadUnit is the mean random part of the cost of each choice, in requests,
	// times the root of the number of other nodes. All nodes get the same reports;
	// without it all of them choose the same endpoint until the next ones.
	spreadUnit = 0.2
	// staleCost is added where an engine gives no reports while others do. It is
	// cut off from the coordinator, or about to fail.
	staleCost = 30
	// reportMaxAge is when a load report no longer counts.
	reportMaxAge = 1500 * time.Millisecond
	// paceWeight is the weight of one sample in an endpoint's pace.
	paceWeight = 0.05
	// paceLeast and paceMost bound how much endpoints differ.
	paceLeast = 0.3
	paceMost  = 4
	// queueCost is what each request waiting at an engine adds, in requests:
	// a queue means that its slots or its memory are taken.
	queueCost = 3
	// memoryHigh is the part of an engine's cache memory above which running
	// requests begin to be preempted.
	memoryHigh = 0.85
)

// Table holds what one node knows of the endpoints.
type Table struct {
	mu     sync.Mutex
	domain string
	nodes  int
	ends   map[string]*end
	// closing are models that the coordinator is about to unload.
	closing map[closingKey]bool
	// busy are engines that are about to be given orders about models.
	busy    map[fleet.Key]bool
	changed chan struct{}
	// domains are the failure domains of which an endpoint took no connection.
	domains map[string]*reach
	// newest is the time of the newest report.
	newest time.Time
	// spread returns a random part of the cost of a choice.
	spread func() float64
	log    *slog.Logger
}

type end struct {
	fleet.Endpoint
	report   fleet.Report
	reported time.Time

	running int
	sends   []time.Time // since the report was taken
	owed    time.Time   // oldest send since the last byte, zero when none

	failRate  float64
	fullUntil time.Time
	awayUntil time.Time
	awayFor   time.Duration
	pace      float64 // relative time for a unit of work, learned
	paced     int     // samples of it
}

// NewTable returns a table without endpoints for a node of a failure domain.
func NewTable(domain string) *Table {
	return &Table{
		domain:  domain,
		nodes:   1,
		ends:    make(map[string]*end),
		closing: make(map[closingKey]bool),
		busy:    make(map[fleet.Key]bool),
		changed: make(chan struct{}),
		domains: make(map[string]*reach),
		spread:  rand.ExpFloat64,
		log:     slog.New(slog.DiscardHandler),
	}
}

// SetLog sets where changes of what is known of failure domains are told.
func (t *Table) SetLog(log *slog.Logger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log = log
}

// SetNodes tells how many nodes send to the endpoints.
func (t *Table) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = max(1, n)
}

// Changed is closed when endpoints or what they hold change next.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetEndpoints takes over all registered endpoints. It returns the names of
// those that are new, gone, and newly leaving.
func (t *Table) SetEndpoints(list []fleet.Endpoint) (added, removed, leaving []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool, len(list))
	for i := range list {
		n := &list[i]
		seen[n.ID] = true
		e := t.ends[n.ID]
		switch {
		case e == nil || e.Born < n.Born || e.Address != n.Address:
			added = append(added, n.ID)
			t.ends[n.ID] = &end{
				Endpoint: *n,
				pace:     1,
			}
		case e.Born == n.Born:
			// A report may be newer than the entry.
			if n.Orders >= e.report.Orders {
				e.Models = n.Models
			}
			if n.Leaving && !e.Leaving {
				leaving = append(leaving, n.ID)
			}
			e.Leaving, e.Slots, e.Service, e.Domain = n.Leaving, n.Slots, n.Service, n.Domain
			e.Orders = max(e.Orders, n.Orders)
		}
	}
	for id := range t.ends {
		if !seen[id] {
			delete(t.ends, id)
			removed = append(removed, id)
		}
	}
	t.notify()
	return added, removed, leaving
}

// SetReport takes over an engine's report that was taken at a time.
func (t *Table) SetReport(taken time.Time, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ends[r.Key.ID]
	if e == nil || e.Born != r.Key.Born || taken.Before(e.reported) {
		return
	}
	if r.Orders >= e.Orders {
		e.Orders = r.Orders
		e.Models = r.Models
	}
	e.report, e.reported = r, taken
	if taken.After(t.newest) {
		t.newest = taken
	}
	for len(e.sends) > 0 && !e.sends[0].After(taken.Add(-reportLag)) {
		e.sends = e.sends[1:]
	}
	t.notify()
}

// reportLag is how far an engine's report is behind the moment of the answer.
const reportLag = 150 * time.Millisecond

// SetClosing takes over which models are about to be unloaded where.
func (t *Table) SetClosing(models map[fleet.Key][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.closing)
	clear(t.busy)
	for key, names := range models {
		t.busy[key] = true
		for _, name := range names {
			t.closing[closingKey{key: key, model: name}] = true
		}
	}
}

// Endpoints returns all endpoints that are known.
func (t *Table) Endpoints() []fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]fleet.Endpoint, 0, len(t.ends))
	for _, e := range t.ends {
		out = append(out, e.Endpoint)
	}
	return out
}

// Byte notes that an endpoint sent a part of an answer.
func (t *Table) Byte(now time.Time, key fleet.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	e.owed = time.Time{}
	if e.running > 0 {
		e.owed = now
	}
	t.reached(e)
}

func (t *Table) find(key fleet.Key) *end {
	e := t.ends[key.ID]
	if e == nil || e.Born != key.Born {
		return nil
	}
	return e
}

// Outcome is how an attempt at an endpoint ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Served means that the endpoint answered in full.
	Served Outcome = iota
	// Faulted means an error of the endpoint's own, or an answer that broke off.
	Faulted
	// Unreachable means that no connection could be opened.
	Unreachable
	// Full means that the endpoint turned the request away.
	Full
	// Missing means that the endpoint does not hold the model or adapter.
	Missing
	// Ended means that the attempt says nothing about the endpoint.
	Ended
)

// String returns the name that logs use.
func (o Outcome) String() string {
	return [...]string{"served", "faulted", "unreachable", "full", "missing", "ended"}[o]
}

// Done ends an attempt.
func (t *Table) Done(now time.Time, key fleet.Key, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	t.tried(e)
	e.running = max(0, e.running-1)
	if e.running == 0 {
		e.owed = time.Time{}
	}
	if n := len(e.sends); n > 0 && (o == Unreachable || o == Full || o == Missing) {
		e.sends = e.sends[:n-1]
	}
	switch o {
	case Served:
		e.failRate *= 1 - failWeight
		e.awayFor = 0
	case Faulted:
		e.failRate += (1 - e.failRate) * failWeight
	case Unreachable:
		e.awayFor = min(unreachableMost, max(unreachable, 2*e.awayFor))
		e.awayUntil = now.Add(e.awayFor)
		t.unreached(now, e)
	case Full:
		e.fullUntil = now.Add(fullFor)
	case Missing, Ended:
	}
}

// Pace learns how long an endpoint took for a unit of work, relative to the
// mean of all endpoints of its service.
func (t *Table) Pace(key fleet.Key, relative float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	e.paced++
	weight := max(paceWeight, 1/float64(e.paced+1))
	e.pace += (min(paceMost, max(paceLeast, relative)) - e.pace) * weight
}

// Paces returns the learned pace of each endpoint.
func (t *Table) Paces() map[fleet.Key]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[fleet.Key]float64)
	for _, e := range t.ends {
		if e.paced > 0 {
			out[e.Key()] = e.pace
		}
	}
	return out
}

// Healthy reports whether any endpoint could take a request now.
func (t *Table) Healthy(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.ends {
		if !e.Leaving && !now.Before(e.awayUntil) {
			return true
		}
	}
	return false
}
