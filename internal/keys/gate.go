package keys

import (
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// freshFor is how long after its view was known to be current a node starts
	// requests. A withdrawal must take effect within 5 s of its acknowledgement,
	// which can come directly after that time.
	freshFor = 3 * time.Second
	// streamsFor is the same for requests that already run. It is longer, so
	// that a short partition ends fewer streams; the rest of the 5 s is for the
	// control loop's tick and for ending them.
	streamsFor = 4500 * time.Millisecond
)

// Result is the answer of the gate.
type Result int

// The results.
const (
	// OK gives access.
	OK Result = iota + 1
	// Unknown means that no key has this secret.
	Unknown
	// Withdrawn means that the key was withdrawn.
	Withdrawn
	// NotFresh means that the node cannot know whether the key was withdrawn,
	// nor whether a key was added. Nothing was run.
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

// Verdict is the result for one request.
type Verdict struct {
	Result    Result
	Workspace string
	KeyID     string

	entry *entry
}

// Withdrawn is closed when the key of an accepted request is withdrawn or given
// to another workspace. All requests of a key share it.
func (v Verdict) Withdrawn() <-chan struct{} {
	if v.entry == nil {
		return nil
	}
	return v.entry.gone
}

// Gate answers requests. Check and Still are safe for concurrent use; Follow
// and its parts Update, Fresh and Tick belong to the control loop.
type Gate struct {
	clock clock.Clock
	state atomic.Pointer[gateState]
	// freshAt is in nanoseconds since the Unix epoch, 0 for never.
	freshAt atomic.Int64
	// lapsed is the channel that Lapsed hands out.
	lapsed atomic.Pointer[chan struct{}]
	closed bool
	config *spec.Config
	counts [NotFresh + 1]atomic.Int64
}

type gateState struct {
	table     *Table
	isolation spec.Isolation
}

// NewGate returns a gate that knows no keys and is not fresh.
func NewGate(c clock.Clock) *Gate {
	g := &Gate{clock: c}
	g.state.Store(&gateState{table: &Table{}})
	lapsed := make(chan struct{})
	g.lapsed.Store(&lapsed)
	return g
}

// Follow is Update, Fresh and Tick in the order that is safe: a view that holds
// a higher revision may be fresh for a time at which the lower one was not. The
// control loop calls it after each change of the view and every 250 ms.
func (g *Gate) Follow(c *spec.Config, freshAt time.Time) {
	if c != g.config {
		g.Update(c)
	}
	g.Fresh(freshAt)
	g.Tick()
}

// Update takes a new configuration and tells the streams of withdrawn keys.
func (g *Gate) Update(c *spec.Config) {
	g.config = c
	table, gone := g.state.Load().table.next(c)
	g.state.Store(&gateState{table: table, isolation: c.Limits.WhenIsolated})
	for _, e := range gone {
		close(e.gone)
	}
}

// Fresh notes that at the time at no revision above the one last given to
// Update had been acknowledged; see feed.View.FreshAt. Update comes first.
func (g *Gate) Fresh(at time.Time) {
	if !at.IsZero() && at.UnixNano() > g.freshAt.Load() {
		g.freshAt.Store(at.UnixNano())
	}
}

// Tick closes the channel of Lapsed when the view is too old for running
// requests. The control loop calls it every 250 ms or more often.
func (g *Gate) Tick() {
	serve := g.state.Load().isolation == spec.IsolationServe
	old := !serve && !g.within(streamsFor)
	if old && !g.closed {
		close(*g.lapsed.Load())
	}
	if !old && g.closed {
		lapsed := make(chan struct{})
		g.lapsed.Store(&lapsed)
	}
	g.closed = old
}

// Lapsed is closed when keyed requests that run must end because the node can
// no longer know whether their keys were withdrawn. It is to be fetched before
// Still is called for the first time.
func (g *Gate) Lapsed() <-chan struct{} { return *g.lapsed.Load() }

func (g *Gate) within(limit time.Duration) bool {
	at := g.freshAt.Load()
	return at != 0 && g.clock.Now().UnixNano()-at <= int64(limit)
}

// Check answers for a request that is about to start.
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
	if s.isolation != spec.IsolationServe && !g.within(freshFor) {
		return Verdict{Result: NotFresh}
	}
	e := s.table.find(sum)
	if e == nil {
		return Verdict{Result: Unknown}
	}
	return Verdict{Result: OK, Workspace: e.workspace, KeyID: e.keyID, entry: e}
}

// Still answers for a request that was accepted with v and runs. A stream asks
// before each write, because after a pause of the process the channels are
// closed late.
func (g *Gate) Still(v Verdict) Result {
	if v.Result != OK {
		return v.Result
	}
	select {
	case <-v.entry.gone:
		return Withdrawn
	default:
	}
	if g.state.Load().isolation != spec.IsolationServe && !g.within(streamsFor) {
		return NotFresh
	}
	return OK
}

// Begins answers for an accepted request directly before its first byte goes to
// an endpoint; the process may have been paused since Check.
func (g *Gate) Begins(v Verdict) Result {
	r := g.Still(v)
	if r == OK && g.state.Load().isolation != spec.IsolationServe && !g.within(freshFor) {
		return NotFresh
	}
	return r
}

// Count returns how often Check gave the result.
func (g *Gate) Count(r Result) int64 { return g.counts[r].Load() }
