package serve

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/poison"
)

const (
	// provenAfter is how long an engine must have written an answer until a crash is no
	// longer held against the request.
	provenAfter = 250 * time.Millisecond
	// probeTimeout limits the probe that tells a crash from a broken connection.
	probeTimeout = 300 * time.Millisecond
	// probeSharedFor is how long the result of a probe serves further requests that
	// broke off at the same engine.
	probeSharedFor = 500 * time.Millisecond
)

// EngineProber finds out whether an engine has crashed.
type EngineProber interface {
	// Crashed reports whether an incarnation of an engine has ended. It returns an error
	// if that is not known, for instance because the engine is cut off.
	Crashed(ctx context.Context, e fleet.Endpoint) (bool, error)
}

// probe is the question whether an engine has crashed. The answer is set before done is
// closed; it is neither crashed nor alive if the engine can't be asked.
type probe struct {
	startedAt time.Time
	done      chan struct{}
	crashed   bool
	alive     bool
}

// probes holds the probes that are running or ended a moment ago.
type probes struct {
	mu    sync.Mutex
	byKey map[fleet.Key]*probe
}

// probeEngine starts a probe of an engine, or returns the one that another request
// started, unless that was before since.
func (s *Server) probeEngine(e fleet.Endpoint, since time.Time) *probe {
	s.probes.mu.Lock()
	defer s.probes.mu.Unlock()
	key := e.Key()
	if p := s.probes.byKey[key]; p != nil && !p.startedAt.Before(since) {
		return p
	}
	p := &probe{
		startedAt: s.opts.Clock.Now(),
		done:      make(chan struct{}),
	}
	s.probes.byKey[key] = p
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		crashed, err := s.opts.Prober.Crashed(ctx, e)
		if err != nil {
			s.opts.Log.Info("crash not confirmed", "endpoint", e.ID, "error", err.Error())
		}
		p.crashed, p.alive = crashed, err == nil && !crashed
		close(p.done)
		time.AfterFunc(probeSharedFor, func() {
			s.probes.mu.Lock()
			defer s.probes.mu.Unlock()
			if s.probes.byKey[key] == p {
				delete(s.probes.byKey, key)
			}
		})
	}()
	return p
}

// suspects returns what may crash the endpoint of the request: the parts of its prompt, and the
// request itself.
func (c *call) suspects() []string {
	return append(slices.Clone(c.promptParts()), c.requestPart())
}

// promptParts returns the parts of the prompt that may crash an engine.
func (c *call) promptParts() []string {
	if c.service.Engine == nil {
		return nil
	}
	return c.req.Parts
}

// requestPart returns the request as a part of itself.
func (c *call) requestPart() string {
	if c.ownPart == "" {
		c.ownPart = poison.RequestPart(c.req.Fingerprint())
	}
	return c.ownPart
}

// watchCrash is called when an attempt broke off before the endpoint had written for
// provenAfter. If the endpoint has crashed, the request and the parts of its prompt are
// suspected.
func (c *call) watchCrash(at time.Time) {
	c.brokenProbe = nil
	if c.opts.Prober == nil {
		return
	}
	e, id, suspects := c.lastChoice.Endpoint, c.req.ID, c.suspects()
	// Asked before this crash counts against them.
	c.crashedBefore = c.opts.Parts.Crashes(c.requestPart()) > 0
	isSound := c.opts.Parts.AllServed(c.promptParts())
	p := c.probeEngine(e, time.Time{})
	if !isSound || c.crashedBefore {
		c.brokenProbe = p
	}
	go func() {
		<-p.done
		if p.crashed {
			c.opts.Parts.RecordCrash(at, e.Key(), id, suspects)
		}
	}()
}

// watchEnd is called when an answer that looks whole ended with its connection before the
// endpoint had written for provenAfter: a crash would look the same. Whether the endpoint runs
// on tells them apart. It is asked only if that clears a suspect.
func (c *call) watchEnd(at time.Time) {
	if c.opts.Prober == nil || c.opts.Parts.AllServed(c.promptParts()) && c.opts.Parts.Crashes(c.requestPart()) == 0 {
		return
	}
	e, id, suspects := c.lastChoice.Endpoint, c.req.ID, c.suspects()
	p := c.probeEngine(e, at)
	go func() {
		<-p.done
		switch {
		case p.crashed:
			c.opts.Parts.RecordCrash(at, e.Key(), id, suspects)
		case p.alive:
			c.opts.Parts.RecordServed(at, suspects)
		}
	}()
}

// mayCrashAgain reports whether the last attempt ended with a crash of its endpoint that the
// request may have caused, by a part of its prompt or since it has crashed another one before.
// It waits for the probe of the endpoint if that matters.
func (c *call) mayCrashAgain(ctx context.Context) bool {
	if c.brokenProbe == nil || !c.crashedBefore && c.opts.Parts.AllServed(c.promptParts()) {
		return false
	}
	select {
	case <-c.brokenProbe.done:
		return c.brokenProbe.crashed
	case <-ctx.Done():
		return true
	}
}

// recordWhole records what a whole answer that is not a stream shows of its prompt.
func (c *call) recordWhole(reply *Reply, at time.Time) {
	switch {
	case reply.Status >= http.StatusMultipleChoices:
	case reply.EndsWithConnection:
		c.watchEnd(at)
	default:
		c.recordProof(at)
	}
}

// recordProof records that the endpoint answered the request, which clears it and the parts of
// its prompt.
func (c *call) recordProof(at time.Time) { c.opts.Parts.RecordServed(at, c.suspects()) }

// recordRunning records a proof if an event of a stream was read when one was due, which is
// each provenAfter from its first event. It returns when the next one is due.
func (c *call) recordRunning(at, due time.Time) time.Time {
	if at.Before(due) {
		return due
	}
	if !due.IsZero() {
		c.recordProof(at)
	}
	return at.Add(provenAfter)
}

var errPartBlocked = errors.New("serve: the request or a part of its prompt is blocked")

// checkParts returns the refusal of a request that is blocked, or has a blocked part.
func (c *call) checkParts() *Problem {
	if c.testsPart || c.opts.Parts.IsEmpty() {
		return nil
	}
	now := c.opts.Clock.Now()
	b, blocked, test := c.opts.Parts.Check(now, c.suspects(), c.opts.MayTest())
	if !blocked {
		c.testsPart = test
		return nil
	}
	c.lastError = "part " + b.Part
	p := &Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "prompt-part-blocked",
		Message:    "engines crash when they answer prompts with a part of this one",
		NotRun:     true,
		RetryAfter: max(endpointRetryAfter, b.Until.Sub(now)),
	}
	if poison.IsRequest(b.Part) {
		// It would be refused again.
		p.Code, p.Message, p.RetryAfter = "request-blocked", "endpoints crash when they run this request; do not send it again", 0
	}
	if c.ranAttempts > 0 {
		p.Status, p.NotRun, p.RetryAfter = http.StatusBadGateway, false, 0
		p.Message += "; the request may have run"
	}
	return p
}
