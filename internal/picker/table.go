// Package picker chooses the endpoint for each request, based on load reports and
// on the outcomes of earlier requests at the endpoint.
package picker

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/models"
)

// Errors of Pick.
var (
	// ErrNotResident means that no reachable endpoint holds the model.
	ErrNotResident = errors.New("picker: no endpoint holds the model")
	// ErrNoEndpoint means that no endpoint of the service can take the request.
	ErrNoEndpoint = errors.New("picker: no endpoint takes new requests")
)

const (
	// silentAfter is how long an endpoint with running requests may send no byte
	// before others are preferred. It is twice the longest usual step of an engine.
	silentAfter = 700 * time.Millisecond
	// unreportedSilentAfter replaces silentAfter for giving an engine no more requests
	// while no reports arrive, as without a coordinator: a long queue also looks silent.
	unreportedSilentAfter = 1500 * time.Millisecond
	// minUnreachableBackoff is how long an endpoint to which a connection failed gets
	// no requests at first; each further failure doubles the time up to
	// maxUnreachableBackoff.
	minUnreachableBackoff = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// fullBackoff is how long an endpoint that rejected a request as full is avoided.
	fullBackoff = 150 * time.Millisecond
	// failureWeight is the weight of one outcome in the moving average of the
	// failure rate.
	failureWeight = 0.15
	// failureCost scales the cost with the failure rate: at a rate of 1 the cost is
	// multiplied by 1+failureCost.
	failureCost = 12
	// otherDomainCost is added for an engine in another failure domain, in requests.
	otherDomainCost = 4
	// affinityBonus is subtracted from the cost of the engine that all requests with
	// the same prompt part prefer, since its cache may hold that part, in requests.
	affinityBonus = 5
	// adapterLoadCost is added where the adapter must be loaded first, in requests.
	adapterLoadCost = 8
	// busyEngineCost is added where the load of the adapter would have to wait for
	// the load or unload of a model.
	busyEngineCost = 150
	// idleEngineLoad is the base cost of an engine without requests. Load matters
	// little below it: the longest pause between the events of a stream grows by
	// only half from 5 requests to 20.
	idleEngineLoad = 20
	// idleSlotShare limits the base cost to a fraction of the engine's slots: with
	// few slots, a slow engine is better than one whose slots are taken.
	idleSlotShare = 0.3
	// NearFullShare is the fraction of an endpoint's slots above which each further
	// request adds fullCost: reports are late, so the last slots may be taken.
	NearFullShare = 0.8
	fullCost      = 3
	// idlePlainLoad is the base cost of an endpoint of a plain service, which serves
	// few requests at once.
	idlePlainLoad = 2
	// jitterUnit is the mean of the random cost added to each endpoint, in requests,
	// for one other node; it grows with the square root of the number of other
	// nodes. All nodes get the same reports, so without jitter all of them would
	// choose the same endpoint until the next reports.
	jitterUnit = 0.2
	// staleReportCost is added for an engine that sends no reports while others do:
	// it is cut off from the coordinator, or about to fail.
	staleReportCost = 30
	// reportMaxAge is the age above which a load report is ignored.
	reportMaxAge = 1500 * time.Millisecond
	// paceWeight is the weight of one sample in an endpoint's pace.
	paceWeight = 0.05
	// minPace and maxPace bound one sample of an endpoint's pace.
	minPace = 0.3
	maxPace = 4
	// queueCost is added for each request queued at an engine, in requests: a queue
	// means that its slots or its memory are taken.
	queueCost = 3
	// highMemoryShare is the fraction of an engine's cache memory above which
	// running requests begin to be preempted.
	highMemoryShare = 0.85
)

// Table holds the state of all endpoints as one node knows it. It is safe for
// concurrent use.
type Table struct {
	mu        sync.Mutex
	domain    string
	nodes     int
	endpoints map[string]*endpointState
	health    *health.Table
	// pendingUnloads are the models that the coordinator is about to unload.
	pendingUnloads map[unloadKey]bool
	// busyEngines are the engines that are about to load or unload models.
	busyEngines map[fleet.Key]bool
	// loadEnds is when the next loads of models are expected to end.
	loadEnds map[modelKey]time.Time
	changed  chan struct{}
	// domainStates holds the failure domains with an endpoint to which a
	// connection failed.
	domainStates map[string]*domainState
	// newestReport is the time of the newest report of any engine.
	newestReport time.Time
	// randomExp returns an exponentially distributed number with a mean of 1.
	randomExp func() float64
	log       *slog.Logger
}

type endpointState struct {
	fleet.Endpoint
	// entryModels is what the registered entry says that the endpoint holds; Models
	// is what it holds by the newest source.
	entryModels []fleet.Resident
	report      fleet.Report
	reported    time.Time // when report was requested

	// missing is when the endpoint last answered that it lacks a model or an adapter.
	missing map[residentKey]time.Time

	running int
	sentAt  []time.Time // of requests that the last report may not include
	// waitingSince is when the endpoint last sent a byte while requests were
	// running, or when the first of them was sent; zero without running requests.
	waitingSince time.Time

	// suspectSince is when the engine was found to neither answer requests nor send
	// reports, zero if it does one of them.
	suspectSince time.Time

	failureRate        float64
	fullUntil          time.Time
	unreachableUntil   time.Time
	unreachableBackoff time.Duration
	pace               float64 // moving average of the relative time for a unit of work
	paceSamples        int
}

// NewTable returns an empty table for a node in the given failure domain.
func NewTable(domain string) *Table {
	return &Table{
		domain:         domain,
		nodes:          1,
		endpoints:      make(map[string]*endpointState),
		health:         health.New(),
		pendingUnloads: make(map[unloadKey]bool),
		busyEngines:    make(map[fleet.Key]bool),
		changed:        make(chan struct{}),
		domainStates:   make(map[string]*domainState),
		randomExp:      rand.ExpFloat64,
		log:            slog.New(slog.DiscardHandler),
	}
}

// Health returns what the endpoints say of themselves, which Pick obeys.
func (t *Table) Health() *health.Table { return t.health }

// SetLog sets the logger for failure domains that become unreachable or reachable.
func (t *Table) SetLog(log *slog.Logger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log = log
}

// SetNodes sets the number of nodes that send requests to the endpoints.
func (t *Table) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = max(1, n)
}

// Changed returns a channel that is closed at the next change of the endpoints or
// of the models that they hold.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetEndpoints replaces the list of registered endpoints. It returns the ids of
// those that were added, removed, and began to leave.
func (t *Table) SetEndpoints(now time.Time, list []fleet.Endpoint) (added, removed, leaving []string) {
	t.health.SetList(now, list)
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool, len(list))
	for i := range list {
		endpoint := &list[i]
		seen[endpoint.ID] = true
		e := t.endpoints[endpoint.ID]
		switch {
		case e == nil || e.Incarnation < endpoint.Incarnation || e.Address != endpoint.Address:
			added = append(added, endpoint.ID)
			t.endpoints[endpoint.ID] = &endpointState{
				Endpoint:    *endpoint,
				entryModels: endpoint.Models,
				pace:        1,
			}
		case e.Incarnation == endpoint.Incarnation:
			// A recent report is newer than the entry, and an entry that says what it
			// said before may be older than the last report.
			if now.Sub(e.reported) >= reportMaxAge && !reflect.DeepEqual(e.entryModels, endpoint.Models) {
				e.Models = endpoint.Models
			}
			e.entryModels = endpoint.Models
			if endpoint.Leaving && !e.Leaving {
				leaving = append(leaving, endpoint.ID)
			}
			e.Leaving, e.Slots, e.Service, e.Domain = endpoint.Leaving, endpoint.Slots, endpoint.Service, endpoint.Domain
		}
	}
	for id := range t.endpoints {
		if !seen[id] {
			delete(t.endpoints, id)
			removed = append(removed, id)
		}
	}
	t.notify()
	return added, removed, leaving
}

// SetReport applies an engine's report that was requested at requestedAt.
func (t *Table) SetReport(requestedAt time.Time, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[r.Key.ID]
	if e == nil || e.Incarnation != r.Key.Incarnation || requestedAt.Before(e.reported) {
		return
	}
	if r.OrdersAccepted >= e.report.OrdersAccepted {
		e.Models = r.Models
	}
	e.report, e.reported = r, requestedAt
	if !e.suspectSince.IsZero() && requestedAt.After(e.suspectSince) {
		t.log.Info("engine responds again", "endpoint", e.ID, "by", "report")
		e.suspectSince = time.Time{}
	}
	if requestedAt.After(t.newestReport) {
		t.newestReport = requestedAt
	}
	for len(e.sentAt) > 0 && !e.sentAt[0].After(requestedAt.Add(-reportLag)) {
		e.sentAt = e.sentAt[1:]
	}
	t.notify()
}

// reportLag is how much older the state in an engine's report may be than the
// report's time.
const reportLag = 150 * time.Millisecond

// SetPendingUnloads replaces the models that are about to be unloaded, for each
// engine with planned changes.
func (t *Table) SetPendingUnloads(models map[fleet.Key][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.pendingUnloads)
	clear(t.busyEngines)
	for key, names := range models {
		t.busyEngines[key] = true
		for _, name := range names {
			t.pendingUnloads[unloadKey{key: key, model: name}] = true
		}
	}
}

// modelKey is a model of a service.
type modelKey struct{ service, model string }

// SetLoads replaces the loads that are under way. reportedAt is when the remaining
// times counted from.
func (t *Table) SetLoads(reportedAt time.Time, loads []models.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadEnds = make(map[modelKey]time.Time, len(loads))
	for _, l := range loads {
		t.loadEnds[modelKey{service: l.Service, model: l.Model}] = reportedAt.Add(l.ReadyIn)
	}
}

// LoadEnd returns when the load of a model is expected to end, zero if none is known.
func (t *Table) LoadEnd(service, model string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadEnds[modelKey{service: service, model: model}]
}

// Endpoints returns all registered endpoints.
func (t *Table) Endpoints() []fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]fleet.Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		out = append(out, e.Endpoint)
	}
	return out
}

// RecordProgress records that an endpoint sent a part of an answer.
func (t *Table) RecordProgress(now time.Time, key fleet.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	e.waitingSince = time.Time{}
	if e.running > 0 {
		e.waitingSince = now
	}
	if !e.suspectSince.IsZero() {
		t.log.Info("engine responds again", "endpoint", e.ID, "by", "answer")
		e.suspectSince = time.Time{}
	}
	t.recordReachable(e)
}

// find returns the endpoint of the given incarnation, or nil.
func (t *Table) find(key fleet.Key) *endpointState {
	e := t.endpoints[key.ID]
	if e == nil || e.Incarnation != key.Incarnation {
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
	// Faulted means an error in the endpoint, or an incomplete answer.
	Faulted
	// Unreachable means that no connection could be opened.
	Unreachable
	// Full means that the endpoint rejected the request without running it.
	Full
	// Missing means that the endpoint does not hold the model or adapter.
	Missing
	// Ended means that the attempt ended for a reason that does not depend on the
	// endpoint.
	Ended
)

// String returns the name of the outcome as written to logs.
func (o Outcome) String() string {
	return [...]string{"served", "faulted", "unreachable", "full", "missing", "ended"}[o]
}

// EndAttempt ends an attempt that Pick started, and applies its outcome to the
// endpoint.
func (t *Table) EndAttempt(now time.Time, key fleet.Key, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	t.endProbe(e)
	e.running = max(0, e.running-1)
	if e.running == 0 {
		e.waitingSince = time.Time{}
	}
	if n := len(e.sentAt); n > 0 && (o == Unreachable || o == Full || o == Missing) {
		e.sentAt = e.sentAt[:n-1]
	}
	switch o {
	case Served:
		e.failureRate *= 1 - failureWeight
		e.unreachableBackoff = 0
	case Faulted:
		e.failureRate += (1 - e.failureRate) * failureWeight
	case Unreachable:
		e.unreachableBackoff = min(maxUnreachableBackoff, max(minUnreachableBackoff, 2*e.unreachableBackoff))
		e.unreachableUntil = now.Add(e.unreachableBackoff)
		t.recordUnreachable(now, e)
	case Full:
		e.fullUntil = now.Add(fullBackoff)
	case Missing, Ended:
	}
}

// residentKey is an adapter of a model, or the model itself if there is no adapter.
type residentKey struct{ model, adapter string }

// RecordMissing records that an endpoint has answered that it lacks the adapter, or the
// model if there is no adapter. That holds until a report that was made later.
func (t *Table) RecordMissing(now time.Time, key fleet.Key, model, adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	if e.missing == nil {
		e.missing = make(map[residentKey]time.Time)
	}
	maps.DeleteFunc(e.missing, func(_ residentKey, at time.Time) bool { return !e.isNewest(now, at) })
	e.missing[residentKey{model: model, adapter: adapter}] = now
}

// isNewest reports whether what the endpoint answered at a time is newer than its last
// report.
func (e *endpointState) isNewest(now, at time.Time) bool {
	return now.Sub(at) < reportMaxAge && !e.reported.After(at.Add(reportLag))
}

// find returns the model at the endpoint, nil if it lacks it.
func (e *endpointState) find(now time.Time, model string) *fleet.Resident {
	r := fleet.Find(e.Models, model)
	if r == nil || e.isMissing(now, model, "") {
		return nil
	}
	return r
}

// has reports whether the endpoint, which holds the model r, holds the adapter too.
func (e *endpointState) has(now time.Time, r *fleet.Resident, adapter string) bool {
	return r.Has(adapter) && !e.isMissing(now, r.Model, adapter)
}

func (e *endpointState) isMissing(now time.Time, model, adapter string) bool {
	at, ok := e.missing[residentKey{model: model, adapter: adapter}]
	return ok && e.isNewest(now, at)
}

// RecordPace adds a sample of how long an endpoint took for a unit of work,
// relative to the usual time for the same work.
func (t *Table) RecordPace(key fleet.Key, relative float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key)
	if e == nil {
		return
	}
	e.paceSamples++
	weight := max(paceWeight, 1/float64(e.paceSamples+1))
	e.pace += (min(maxPace, max(minPace, relative)) - e.pace) * weight
}

// MeanPaces returns the moving average of the pace of each endpoint that has
// samples.
func (t *Table) MeanPaces() map[fleet.Key]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[fleet.Key]float64)
	for _, e := range t.endpoints {
		if e.paceSamples > 0 {
			out[e.Key()] = e.pace
		}
	}
	return out
}

// HasAvailableEndpoint reports whether any endpoint is neither leaving nor in
// backoff. One that turns requests away counts: refusals at once tell callers when to
// return.
func (t *Table) HasAvailableEndpoint(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if t.health.Ask(now, e.Key()).Reason != health.Leaving && !now.Before(e.unreachableUntil) {
			return true
		}
	}
	return false
}
