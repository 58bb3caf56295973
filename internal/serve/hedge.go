package serve

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
)

// maxStackBytes bounds the stack of a panic in the log.
const maxStackBytes = 4 << 10

// hedge asks another endpoint to continue a stream whose endpoint is silent. The silent
// attempt stays open, since its endpoint may be sound: the endpoint that sends the next
// event first continues the stream.
//
// The state of the call belongs to one goroutine at a time: to the one that reads the
// silent attempt, or, while isSearching, to the hedge's own. All methods may be called on
// nil, which never searches.
type hedge struct {
	call *call
	key  fleet.Key // of the silent endpoint
	// outer is the hedge whose search reads this attempt, if there is one.
	outer   *hedge
	pause   time.Duration
	abandon func() // ends the silent attempt

	mu    sync.Mutex
	timer *time.Timer
	// isArmed is set while the timer may start a search.
	isArmed     bool
	isSearching bool
	// isTakenBack is set if the silent endpoint has sent an event during the search.
	isTakenBack bool
	// hasContinued is set once another endpoint has sent the next event.
	hasContinued bool
	cancel       context.CancelFunc // ends the search
	done         chan struct{}      // closed at the end of the search
	problem      *Problem           // of the search, nil if the stream was continued to its end
}

// newHedge returns the hedge of an attempt that relays a resumable stream, and a function
// that ends it. A search begins when rearm was not called for the time of first, and for
// pause after that. Its attempts end with ctx.
func (c *call) newHedge(ctx context.Context, key fleet.Key, first, pause time.Duration, abandon func()) (*hedge, func()) {
	h := &hedge{
		call:    c,
		key:     key,
		outer:   c.hedge,
		pause:   pause,
		abandon: abandon,
		isArmed: true,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(first, func() { h.search(ctx) })
	return h, func() { h.takeBack() }
}

// search looks for an endpoint that continues the stream, and relays its answer.
func (h *hedge) search(ctx context.Context) {
	h.mu.Lock()
	if !h.isArmed {
		h.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.isArmed, h.isSearching = false, true
	h.cancel, h.done = cancel, make(chan struct{})
	h.mu.Unlock()

	p, isFinal := h.continueElsewhere(ctx)

	h.mu.Lock()
	defer h.mu.Unlock()
	h.problem, h.isSearching = p, false
	if !h.hasContinued && !h.isTakenBack && !isFinal {
		h.isArmed = true
		h.timer.Reset(h.pause)
	}
	close(h.done)
}

// continueElsewhere calls that of the call. A panic ends the search, not the process: this
// goroutine is none of http.Server.
func (h *hedge) continueElsewhere(ctx context.Context) (p *Problem, isFinal bool) {
	defer func() {
		if value := recover(); value != nil {
			stack := string(debug.Stack())
			h.call.opts.Log.Error("search for another endpoint failed by a fault of this program", "request", h.call.req.ID,
				"endpoint", h.key.ID, "fault", fmt.Sprintf("%.200v", value), "stack", stack[:min(len(stack), maxStackBytes)])
			p, isFinal = brokenProblem(), true
		}
	}()
	return h.call.continueElsewhere(ctx, h)
}

// claim is called when another endpoint has sent the next event. It ends the silent attempt
// and returns true, unless the silent endpoint has sent the event before.
func (h *hedge) claim() bool {
	if h == nil {
		return true
	}
	if !h.outer.claim() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isTakenBack {
		return false
	}
	if !h.hasContinued {
		h.hasContinued = true
		h.abandon()
	}
	return true
}

// takeBack ends a search, because the silent attempt has ended or its endpoint has sent an
// event. It returns true if another endpoint has continued the stream before; then the
// problem of the search is that of the call.
func (h *hedge) takeBack() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	if h.isSearching && !h.hasContinued {
		h.isTakenBack = true
		h.cancel()
	}
	return h.wait()
}

// join waits for the end of a search without ending it, because the silent attempt has
// broken off. It returns what takeBack returns.
func (h *hedge) join() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	return h.wait()
}

// wait unlocks the hedge, waits for the end of the last search and returns whether it has
// continued the stream. No other search begins.
func (h *hedge) wait() bool {
	h.isArmed = false
	h.timer.Stop()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A search without success has armed the timer at its end.
	h.isArmed = false
	h.timer.Stop()
	return h.hasContinued
}

// rearm makes a search begin after the next pause. It is called after takeBack.
func (h *hedge) rearm() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArmed, h.isTakenBack = true, false
	h.timer.Reset(h.pause)
}

// pauseSearch reports whether the silent attempt may forward a comment, which does not end
// a search. If so, no search begins before allowSearch.
func (h *hedge) pauseSearch() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	if h.isSearching || h.hasContinued {
		h.mu.Unlock()
		return false
	}
	return true
}

// allowSearch is called after a successful pauseSearch.
func (h *hedge) allowSearch() {
	if h != nil {
		h.mu.Unlock()
	}
}

// isOpen reports whether the silent attempt may still go on.
func (h *hedge) isOpen() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.hasContinued
}

// continueElsewhere asks other endpoints to continue the stream of a silent one. The
// problem does not matter while the silent attempt is open. isFinal is set if another
// search would be refused too.
func (c *call) continueElsewhere(ctx context.Context, h *hedge) (p *Problem, isFinal bool) {
	choice, probe := c.lastChoice, c.brokenProbe
	c.hedge = h
	defer func() {
		c.hedge = h.outer
		if h.isOpen() {
			c.lastChoice, c.brokenProbe = choice, probe
		}
	}()
	c.excludeEndpoint(h.key)
	if reason := c.whyNoResume(); reason != "" {
		c.logSilence(h, "stays", reason)
		return brokenProblem(), true
	}
	for again, isFirst := true, true; again; isFirst = false {
		next, p := c.choose(ctx)
		if p != nil {
			c.logSilence(h, "stays", p.Code)
			return p, c.isRefusedByConfig
		}
		if isFirst && !c.allowRepeat(c.service.Name) {
			c.opts.Table.EndAttempt(c.opts.Clock.Now(), next.Endpoint.Key(), picker.Ended)
			c.logSilence(h, "stays", noRetriesLeft)
			return brokenProblem(), false
		}
		if isFirst {
			c.logSilence(h, "asks", next.Endpoint.ID)
		}
		if again, p = c.attemptAt(ctx, next); p != nil {
			return p, c.isRefusedByConfig
		}
	}
	return nil, false
}

// logSilence logs what follows from the silence of an endpoint.
func (c *call) logSilence(h *hedge, decision, why string) {
	c.opts.Log.Warn("endpoint silent in a stream", "request", c.req.ID, "endpoint", h.key.ID, "decision", decision,
		"why", why, "after-event", c.lastEvent, "events", c.eventCount, "ran", c.ranAttempts)
}
