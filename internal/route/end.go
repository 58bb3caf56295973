package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// sendBucketCount buckets of sendBucketWidth each count the requests that this
	// process sent. A load report that lags by up to 3.2 s is corrected by the
	// requests sent after it was sampled.
	sendBucketCount = 32
	sendBucketWidth = 100 * time.Millisecond
)

// endpoint is the state that this process keeps for one endpoint. Request
// handlers read and write it with atomics; mu guards the buckets.
type endpoint struct {
	id     uint32
	hash   uint64
	spec   spec.Endpoint
	speed  float64
	domain atomic.Pointer[domain]

	running     atomic.Int64 // requests of this process in flight
	reported    atomic.Int64 // running and queued requests in the last load report
	sinceReport atomic.Int64 // requests started minus finished by this process since the report was sampled

	vmLeaving       atomic.Bool // the platform lists the VM as leaving
	layoutLeaving   atomic.Bool // set in the layout of the domain's planner
	reportedLeaving atomic.Bool // set in the endpoint's load report

	// starts counts the processes that this endpoint has been, as far as its load reports
	// show. saidLeaving is when the current one said in an answer that it leaves, as Unix
	// time in ns; 0 if it did not.
	starts      atomic.Int64
	saidLeaving atomic.Int64

	failures      atomic.Int32
	ejections     atomic.Int32
	ejectedUntil  atomic.Int64 // Unix time in ns; 0 when not ejected
	slowStartFrom atomic.Int64 // Unix time in ns; 0 when not in slow start

	generation atomic.Uint32 // incremented at each gap in the cache events
	lastSeq    atomic.Int64

	mu      sync.Mutex
	buckets [sendBucketCount]int32
	newest  int64 // number of the newest bucket
}

func newEndpoint(id uint32, s spec.Endpoint, d *domain) *endpoint {
	e := &endpoint{
		id:    id,
		hash:  nameHash(s.Name),
		spec:  s,
		speed: s.Speed,
	}
	if e.speed <= 0 {
		e.speed = 1
	}
	e.domain.Store(d)
	return e
}

// setDomain attaches the endpoint to another record of its domain, and moves its
// ejection to the counter of that record.
func (e *endpoint) setDomain(d *domain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.domain.Swap(d)
	if e.ejectedUntil.Load() != 0 {
		old.ejected.Add(-1)
		d.ejected.Add(1)
	}
}

// retire detaches an endpoint that was replaced or removed from its domain.
// Attempts that are still running at it no longer change the domain's health.
func (e *endpoint) retire() { e.setDomain(&domain{}) }

// key identifies the process behind the endpoint for package health. An endpoint that was
// replaced in the configuration has another id.
func (e *endpoint) key() fleet.Key {
	return fleet.Key{
		ID:          e.spec.Name,
		Incarnation: int64(e.id)<<32 + e.starts.Load(),
	}
}

func (e *endpoint) leaving() bool {
	return e.vmLeaving.Load() || e.layoutLeaving.Load() || e.reportedLeaving.Load()
}

// outstanding estimates the number of requests running or queued at the endpoint.
func (e *endpoint) outstanding() float64 {
	n := e.reported.Load() + e.sinceReport.Load()
	return float64(max(n, e.running.Load(), 0))
}

func (e *endpoint) bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(sendBucketWidth) }

// advance makes n the newest bucket and clears those that it passes. The caller
// holds mu.
func (e *endpoint) advance(n int64) {
	if n <= e.newest {
		return
	}
	for i := max(e.newest+1, n-sendBucketCount+1); i <= n; i++ {
		e.buckets[i%sendBucketCount] = 0
	}
	e.newest = n
}

// addSends adds by to the current bucket and to sinceReport.
func (e *endpoint) addSends(now time.Time, by int32) {
	e.mu.Lock()
	n := e.bucketNumber(now)
	e.advance(n)
	if n > e.newest-sendBucketCount {
		e.buckets[n%sendBucketCount] += by
	}
	e.sinceReport.Add(int64(by))
	e.mu.Unlock()
}

func (e *endpoint) start(now time.Time) {
	e.running.Add(1)
	e.addSends(now, 1)
}

func (e *endpoint) finish(now time.Time) {
	e.running.Add(-1)
	e.addSends(now, -1)
}

// applyReport stores a load report and recounts the requests that this process
// sent after the report was sampled.
func (e *endpoint) applyReport(now time.Time, l engine.Load) {
	sampled := l.Sampled
	if sampled.IsZero() || sampled.After(now) {
		sampled = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(e.bucketNumber(now))
	var after int64
	for i := max(e.bucketNumber(sampled)+1, e.newest-sendBucketCount+1); i <= e.newest; i++ {
		after += int64(e.buckets[i%sendBucketCount])
	}
	e.reported.Store(int64(l.Running) + int64(l.Queued))
	e.sinceReport.Store(after)
	e.reportedLeaving.Store(l.Leaving)
	if said := e.saidLeaving.Load(); said != 0 && !l.Leaving && sampled.UnixNano() > said {
		// A process that leaves does not return, so this is another one.
		e.saidLeaving.Store(0)
		e.starts.Add(1)
	}
}

// recordCacheEvent tracks the sequence number of a cache event. After a gap,
// evictions may have been missed, so older knowledge of the cache counts less.
func (e *endpoint) recordCacheEvent(seq int64) {
	last := e.lastSeq.Load()
	switch {
	case seq == last+1 || last == 0:
	case seq > last:
		e.generation.Add(1)
	case last-seq > reorderWindow:
		// The sequence restarted: the endpoint has restarted with an empty cache.
		e.generation.Add(forgetGenerations)
	default:
		// The event was reordered within the window.
		return
	}
	e.lastSeq.Store(seq)
}

// slowStartFactor returns the share of its full load, from 0.1 to 1, that the endpoint
// gets at now.
func (e *endpoint) slowStartFactor(now time.Time, period time.Duration) float64 {
	from := e.slowStartFrom.Load()
	if from == 0 {
		return 1
	}
	part := float64(now.UnixNano()-from) / float64(period)
	if part >= 1 {
		e.slowStartFrom.CompareAndSwap(from, 0)
		return 1
	}
	return max(0.1, part)
}

// isEjected reports whether the endpoint is ejected at now. It ends an ejection
// that has expired and begins slow start.
func (e *endpoint) isEjected(now time.Time) bool {
	until := e.ejectedUntil.Load()
	if until == 0 {
		return false
	}
	if now.UnixNano() < until {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ejectedUntil.CompareAndSwap(until, 0) {
		e.domain.Load().ejected.Add(-1)
		// During slow start a single failure ejects the endpoint again.
		e.slowStartFrom.Store(now.UnixNano())
	}
	return false
}

// recordFailure counts a failure and reports whether it ejects the endpoint.
func (e *endpoint) recordFailure(now time.Time, set *Settings) bool {
	n := e.failures.Add(1)
	limit := int32(set.Failures)
	if e.slowStartFrom.Load() != 0 {
		limit = 1
	}
	if n < limit || e.ejectedUntil.Load() != 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	times := min(e.ejections.Add(1)-1, 10)
	d := min(set.MaxEjection, time.Duration(float64(set.Ejection)*math.Pow(2, float64(times))))
	if !e.ejectedUntil.CompareAndSwap(0, now.Add(d).UnixNano()) {
		return false
	}
	e.failures.Store(0)
	e.domain.Load().ejected.Add(1)
	return true
}

// recordSuccess resets the count of consecutive failures and, outside ejection and
// slow start, the count of ejections.
func (e *endpoint) recordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
	}
	if e.slowStartFrom.Load() == 0 && e.ejections.Load() != 0 && e.ejectedUntil.Load() == 0 {
		e.ejections.Store(0)
	}
}
