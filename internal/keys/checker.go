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
	// Stale means that the node's configuration is too old to decide whether
	// the key was added or withdrawn since. When Check returns it, nothing of the
	// request has been executed.
	Stale
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
	case Stale:
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

// Checker checks the keys of requests against the current configuration. SetConfig
// and the methods it calls, Update, RecordFresh and Tick, may only be called by the
// control loop. The other methods are safe for concurrent use.
type Checker struct {
	clock clock.Clock
	state atomic.Pointer[checkerState]
	// freshAt is in nanoseconds since the Unix epoch, 0 for never.
	freshAt atomic.Int64
	// expired is the channel that Expired returns; expiredClosed is set when it is
	// closed.
	expired       atomic.Pointer[chan struct{}]
	expiredClosed bool
	config        *spec.Config
	counts        [Stale + 1]atomic.Int64
}

type checkerState struct {
	table     *Table
	isolation spec.Isolation
}

// NewChecker returns a checker without keys, whose results are Stale until
// RecordFresh is called.
func NewChecker(clk clock.Clock) *Checker {
	c := &Checker{clock: clk}
	c.state.Store(&checkerState{table: &Table{}})
	ch := make(chan struct{})
	c.expired.Store(&ch)
	return c
}

// SetConfig calls Update, RecordFresh and Tick. The order matters: freshAt applies
// to config, and the previous configuration may already have been outdated at that
// time. The control loop calls it after each change of the view and every 250 ms.
func (c *Checker) SetConfig(config *spec.Config, freshAt time.Time) {
	if config != c.config {
		c.Update(config)
	}
	c.RecordFresh(freshAt)
	c.Tick()
}

// Update sets the configuration and closes the channels of withdrawn keys.
func (c *Checker) Update(config *spec.Config) {
	c.config = config
	table, removed := c.state.Load().table.next(config)
	c.state.Store(&checkerState{table: table, isolation: config.Limits.WhenIsolated})
	for _, e := range removed {
		close(e.withdrawn)
	}
}

// RecordFresh records that no revision above the one last passed to Update had
// been acknowledged at the time freshAt; see feed.View.FreshAt. Update must be
// called first.
func (c *Checker) RecordFresh(freshAt time.Time) {
	if !freshAt.IsZero() && freshAt.UnixNano() > c.freshAt.Load() {
		c.freshAt.Store(freshAt.UnixNano())
	}
}

// Tick closes the channel of Expired when the configuration is too old for running
// requests, and replaces it when the configuration is fresh again. The control
// loop calls it every 250 ms or more often.
func (c *Checker) Tick() {
	serve := c.state.Load().isolation == spec.IsolationServe
	expired := !serve && !c.isFreshWithin(streamFreshness)
	if expired && !c.expiredClosed {
		close(*c.expired.Load())
	}
	if !expired && c.expiredClosed {
		ch := make(chan struct{})
		c.expired.Store(&ch)
	}
	c.expiredClosed = expired
}

// Expired returns a channel that is closed when running requests with keys must
// end, because the node no longer knows whether their keys were withdrawn. A
// request must call Expired before its first call of Recheck, so that it does not
// miss an expiry in between.
func (c *Checker) Expired() <-chan struct{} { return *c.expired.Load() }

// isFreshWithin reports whether the last confirmation is no older than limit.
func (c *Checker) isFreshWithin(limit time.Duration) bool {
	at := c.freshAt.Load()
	return at != 0 && c.clock.Now().UnixNano()-at <= int64(limit)
}

// Check checks the key of a new request and counts the result.
func (c *Checker) Check(secret string) Verdict {
	v := c.check(secret)
	c.counts[v.Result].Add(1)
	return v
}

func (c *Checker) check(secret string) Verdict {
	s := c.state.Load()
	sum, ok := digest(secret)
	if !ok {
		return Verdict{Result: Unknown}
	}
	if s.table.withdrawn[sum] {
		return Verdict{Result: Withdrawn}
	}
	if s.isolation != spec.IsolationServe && !c.isFreshWithin(requestFreshness) {
		return Verdict{Result: Stale}
	}
	e := s.table.find(sum)
	if e == nil {
		return Verdict{Result: Unknown}
	}
	return Verdict{Result: OK, Workspace: e.workspace, KeyID: e.keyID, entry: e}
}

// Recheck checks again the key of a running request that was accepted with v. A
// stream calls it before each write, because the channels are closed too late when
// the process was paused.
func (c *Checker) Recheck(v Verdict) Result {
	if v.Result != OK {
		return v.Result
	}
	select {
	case <-v.entry.withdrawn:
		return Withdrawn
	default:
	}
	if c.state.Load().isolation != spec.IsolationServe && !c.isFreshWithin(streamFreshness) {
		return Stale
	}
	return OK
}

// RecheckBeforeSend checks again the key of an accepted request directly before
// its first byte is sent to an endpoint, because the process may have been paused
// since Check.
func (c *Checker) RecheckBeforeSend(v Verdict) Result {
	r := c.Recheck(v)
	if r == OK && c.state.Load().isolation != spec.IsolationServe && !c.isFreshWithin(requestFreshness) {
		return Stale
	}
	return r
}

// Count returns how often Check returned the result.
func (c *Checker) Count(r Result) int64 { return c.counts[r].Load() }
