package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// sendBuckets of sendWidth each remember when this process sent requests, so
	// that a report that lags by up to 3.2 s is completed with those sent since.
	sendBuckets = 32
	sendWidth   = 100 * time.Millisecond
)

// end is what this process knows of one endpoint. Traffic reads and writes it
// with atomics; the buckets have a lock of their own.
type end struct {
	id    uint32
	hash  uint64
	spec  spec.Endpoint
	speed float64
	dom   atomic.Pointer[domain]

	running  atomic.Int64 // own requests under way
	reported atomic.Int64 // running and queued as reported
	since    atomic.Int64 // own starts minus own ends since the report was sampled

	vmLeaving     atomic.Bool // listed by the platform
	listedLeaving atomic.Bool // told by the domain's planner
	ownLeaving    atomic.Bool // told by the endpoint

	failures  atomic.Int32
	ejections atomic.Int32
	ejected   atomic.Int64 // until, ns; 0 when not ejected
	slowFrom  atomic.Int64 // start of slow start, ns; 0 when none

	generation atomic.Uint32 // grows with each gap in the cache events
	lastSeq    atomic.Int64

	mu      sync.Mutex
	buckets [sendBuckets]int32
	head    int64 // number of the newest bucket
}

func newEnd(id uint32, s spec.Endpoint, d *domain) *end {
	e := &end{
		id:    id,
		hash:  nameHash(s.Name),
		spec:  s,
		speed: s.Speed,
	}
	if e.speed <= 0 {
		e.speed = 1
	}
	e.dom.Store(d)
	return e
}

// move attaches the endpoint to a replaced domain record.
func (e *end) move(d *domain) {
	e.dom.Store(d)
	if e.ejected.Load() != 0 {
		d.ejected.Add(1)
	}
}

func (e *end) leaving() bool {
	return e.vmLeaving.Load() || e.listedLeaving.Load() || e.ownLeaving.Load()
}

// outstanding estimates the requests at the endpoint now.
func (e *end) outstanding() float64 {
	n := e.reported.Load() + e.since.Load()
	return float64(max(n, e.running.Load(), 0))
}

func (e *end) bucket(now time.Time) int64 { return now.UnixNano() / int64(sendWidth) }

// advance clears the buckets up to number n. The lock is held.
func (e *end) advance(n int64) {
	if n <= e.head {
		return
	}
	for i := max(e.head+1, n-sendBuckets+1); i <= n; i++ {
		e.buckets[i%sendBuckets] = 0
	}
	e.head = n
}

func (e *end) count(now time.Time, by int32) {
	e.mu.Lock()
	n := e.bucket(now)
	e.advance(n)
	if n > e.head-sendBuckets {
		e.buckets[n%sendBuckets] += by
	}
	e.since.Add(int64(by))
	e.mu.Unlock()
}

func (e *end) start(now time.Time) {
	e.running.Add(1)
	e.count(now, 1)
}

func (e *end) finish(now time.Time) {
	e.running.Add(-1)
	e.count(now, -1)
}

// report takes over a load report and adds what was sent after it was sampled.
func (e *end) report(now time.Time, l engine.Load) {
	sampled := l.Sampled
	if sampled.IsZero() || sampled.After(now) {
		sampled = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(e.bucket(now))
	var after int64
	for i := max(e.bucket(sampled)+1, e.head-sendBuckets+1); i <= e.head; i++ {
		after += int64(e.buckets[i%sendBuckets])
	}
	e.reported.Store(int64(l.Running) + int64(l.Queued))
	e.since.Store(after)
	e.ownLeaving.Store(l.Leaving)
}

// event notes the number of a cache event. After a gap, evictions may have
// been missed, so what was known before counts less.
func (e *end) event(seq int64) {
	last := e.lastSeq.Load()
	switch {
	case seq == last+1 || last == 0:
	case seq > last:
		e.generation.Add(1)
	case last-seq > reorderWindow:
		// The numbers started again: the endpoint has restarted with an empty cache.
		e.generation.Add(forgetGenerations)
	default:
		// A late event within the window.
		return
	}
	e.lastSeq.Store(seq)
}

// slow is the part of its full work that an endpoint gets at now.
func (e *end) slow(now time.Time, period time.Duration) float64 {
	from := e.slowFrom.Load()
	if from == 0 {
		return 1
	}
	part := float64(now.UnixNano()-from) / float64(period)
	if part >= 1 {
		e.slowFrom.CompareAndSwap(from, 0)
		return 1
	}
	return max(0.1, part)
}

// isEjected reports whether the endpoint is ejected at now, and ends an
// ejection whose time is over.
func (e *end) isEjected(now time.Time) bool {
	until := e.ejected.Load()
	if until == 0 {
		return false
	}
	if now.UnixNano() < until {
		return true
	}
	if e.ejected.CompareAndSwap(until, 0) {
		e.dom.Load().ejected.Add(-1)
		// One more failure ejects it again.
		e.slowFrom.Store(now.UnixNano())
	}
	return false
}

// fail counts a failure and reports whether it ejects the endpoint.
func (e *end) fail(now time.Time, set *Settings) bool {
	n := e.failures.Add(1)
	limit := int32(set.Failures)
	if e.slowFrom.Load() != 0 {
		limit = 1
	}
	if n < limit || e.ejected.Load() != 0 {
		return false
	}
	times := min(e.ejections.Add(1)-1, 10)
	d := min(set.MaxEjection, time.Duration(float64(set.Ejection)*math.Pow(2, float64(times))))
	if !e.ejected.CompareAndSwap(0, now.Add(d).UnixNano()) {
		return false
	}
	e.failures.Store(0)
	e.dom.Load().ejected.Add(1)
	return true
}

// succeed ends a row of failures.
func (e *end) succeed() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
	}
	if e.slowFrom.Load() == 0 && e.ejections.Load() != 0 && e.ejected.Load() == 0 {
		e.ejections.Store(0)
	}
}
