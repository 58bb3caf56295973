package keys

import (
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// requestFreshness is the age of the last confirmation that the configuration
	// is current up to which a node starts requests. A withdrawal must take effect
	// within 5 s of its acknowledgement, which may follow directly after that
	// confirmation.
	requestFreshness = 3 * time.Second
	// streamFreshness is the age up to which running requests continue. It is
	// longer than requestFreshness, so that a short partition ends fewer streams.
	// The rest of the 5 s is for the tick of the control loop and for ending the
	// streams.
	streamFreshness = 4500 * time.Millisecond
)

// Result is the outcome of a key check.
type Result int

// The results of a key check.
const (
	// OK means that the key gives access.
	OK Result = iota + 1
	// Unknown means that no key has this secret.
	Unknown
	// Withdrawn means that the key was withdrawn.
	Withdrawn
	// NotFresh means that the node's configuration is too old to decide whether
	// the key was added or withdrawn since. When Check returns it, nothing of the
	// request has been executed.
	NotFresh
)

// String implements fmt.Stringer.
func (r Result) String() string {
	switch r {
	case OK:
		return "ok"
	case Unknown:
		return "unknown-key"
	case Withdrawn:
		return "withdrawn-key"
	case NotFresh:
		return "not-fresh"
	}
	return "invalid"
}

// Verdict is the result of the key check of one request.
type Verdict struct {
	Result    Result
	Workspace string
	KeyID     string

	entry *entry
}

// Withdrawn returns a channel that is closed when the key of an accepted request
// is withdrawn or assigned to another workspace. All requests of a key share it.
// It is nil for a request that was not accepted.
func (v Verdict) Withdrawn() <-chan struct{} {
	if v.entry == nil {
		return nil
	}
	return v.entry.withdrawn
}

// Gate checks the keys of requests against the current configuration. Follow and
// the methods it calls, Update, RecordFresh and Tick, may only be called by the
// control loop. The other methods are safe for concurrent use.
type Gate struct {
	clock clock.Clock
	state atomic.Pointer[gateState]
	// freshAt is in nanoseconds since the Unix epoch, 0 for never.
	freshAt atomic.Int64
	// lapsed is the channel that Lapsed returns; lapsedClosed is set when it is
	// closed.
	lapsed       atomic.Pointer[chan struct{}]
	lapsedClosed bool
	config       *spec.Config
	counts       [NotFresh + 1]atomic.Int64
}

type gateState struct {
	table     *Table
	isolation spec.Isolation
}

// NewGate returns a gate without keys, whose results are NotFresh until
// RecordFresh is called.
func NewGate(c clock.Clock) *Gate {
	g := &Gate{clock: c}
	g.state.Store(&gateState{table: &Table{}})
	lapsed := make(chan struct{})
	g.lapsed.Store(&lapsed)
	return g
}

// Follow calls Update, RecordFresh and Tick. The order matters: freshAt applies to
// configuration c, and the previous one may already have been outdated at that
// time. The control loop calls it after each change of the view and every 250 ms.
func (g *Gate) Follow(c *spec.Config, freshAt time.Time) {
	if c != g.config {
		g.Update(c)
	}
	g.RecordFresh(freshAt)
	g.Tick()
}

// Update sets the configuration and closes the channels of withdrawn keys.
func (g *Gate) Update(c *spec.Config) {
	g.config = c
	table, removed := g.state.Load().table.next(c)
	g.state.Store(&gateState{table: table, isolation: c.Limits.WhenIsolated})
	for _, e := range removed {
		close(e.withdrawn)
	}
}

// RecordFresh records that at time at no revision above the one last passed to
// Update had been acknowledged; see feed.View.FreshAt. Update must be called
// first.
func (g *Gate) RecordFresh(at time.Time) {
	if !at.IsZero() && at.UnixNano() > g.freshAt.Load() {
		g.freshAt.Store(at.UnixNano())
	}
}

// Tick closes the channel of Lapsed when the configuration is too old for running
// requests, and replaces it when the configuration is fresh again. The control
// loop calls it every 250 ms or more often.
func (g *Gate) Tick() {
	serve := g.state.Load().isolation == spec.IsolationServe
	expired := !serve && !g.isFreshWithin(streamFreshness)
	if expired && !g.lapsedClosed {
		close(*g.lapsed.Load())
	}
	if !expired && g.lapsedClosed {
		lapsed := make(chan struct{})
		g.lapsed.Store(&lapsed)
	}
	g.lapsedClosed = expired
}

// Lapsed returns a channel that is closed when running requests with keys must
// end, because the node can no longer tell whether their keys were withdrawn. A
// request must call Lapsed before its first call of Still, so that it does not
// miss an expiry in between.
func (g *Gate) Lapsed() <-chan struct{} { return *g.lapsed.Load() }

// isFreshWithin reports whether the last confirmation is no older than limit.
func (g *Gate) isFreshWithin(limit time.Duration) bool {
	at := g.freshAt.Load()
	return at != 0 && g.clock.Now().UnixNano()-at <= int64(limit)
}

// Check checks the key of a new request and counts the result.
func (g *Gate) Check(secret string) Verdict {
	v := g.check(secret)
	g.counts[v.Result].Add(1)
	return v
}

func (g *Gate) check(secret string) Verdict {
	s := g.state.Load()
	sum, ok := digest(secret)
	if !ok {
		return Verdict{Result: Unknown}
	}
	if s.table.withdrawn[sum] {
		return Verdict{Result: Withdrawn}
	}
	if s.isolation != spec.IsolationServe && !g.isFreshWithin(requestFreshness) {
		return Verdict{Result: NotFresh}
	}
	e := s.table.find(sum)
	if e == nil {
		return Verdict{Result: Unknown}
	}
	return Verdict{Result: OK, Workspace: e.workspace, KeyID: e.keyID, entry: e}
}

// Still checks again the key of a running request that was accepted with v. A
// stream calls it before each write, because the channels are closed too late when
// the process was paused.
func (g *Gate) Still(v Verdict) Result {
	if v.Result != OK {
		return v.Result
	}
	select {
	case <-v.entry.withdrawn:
		return Withdrawn
	default:
	}
	if g.state.Load().isolation != spec.IsolationServe && !g.isFreshWithin(streamFreshness) {
		return NotFresh
	}
	return OK
}

// Begins checks again the key of an accepted request directly before its first
// byte is sent to an endpoint, because the process may have been paused since
// Check.
func (g *Gate) Begins(v Verdict) Result {
	r := g.Still(v)
	if r == OK && g.state.Load().isolation != spec.IsolationServe && !g.isFreshWithin(requestFreshness) {
		return NotFresh
	}
	return r
}

// Count returns how often Check returned the result.
func (g *Gate) Count(r Result) int64 { return g.counts[r].Load() }
