package serve

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
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

// watchCrash is called when an attempt broke off before the engine had written for
// provenAfter. If the engine has crashed, the parts of the prompt are suspected.
func (c *call) watchCrash(at time.Time) {
	c.brokenProbe = nil
	if c.opts.Prober == nil {
		return
	}
	e, req := c.lastChoice.Endpoint, c.req
	parts := c.suspectedParts()
	// Asked before this crash counts against the parts.
	isSound := c.opts.Parts.AllServed(parts)
	p := c.probeEngine(e, time.Time{})
	if !isSound {
		c.brokenProbe = p
	}
	go func() {
		<-p.done
		if p.crashed {
			c.opts.Parts.RecordCrash(at, e.Key(), req.ID, req.Fingerprint(), parts)
		}
	}()
}

// suspectedParts returns the parts of the prompt that may crash an engine.
func (c *call) suspectedParts() []string {
	if c.service.Engine == nil {
		return nil
	}
	return c.req.Parts
}

// watchEnd is called when an answer that looks whole ended with its connection before the
// engine had written for provenAfter: a crash would look the same. Whether the engine runs
// on tells them apart. It is asked only if that clears a part of the prompt.
func (c *call) watchEnd(at time.Time) {
	if c.opts.Prober == nil || c.service.Engine == nil || len(c.req.Parts) == 0 || c.opts.Parts.AllServed(c.req.Parts) {
		return
	}
	e, req := c.lastChoice.Endpoint, c.req
	p := c.probeEngine(e, at)
	go func() {
		<-p.done
		switch {
		case p.crashed:
			c.opts.Parts.RecordCrash(at, e.Key(), req.ID, req.Fingerprint(), req.Parts)
		case p.alive:
			c.opts.Parts.RecordServed(at, req.Parts)
		}
	}()
}

// mayCrashAgain reports whether the last attempt ended with a crash of its engine that a
// part of the prompt may have caused. It waits for the probe of the engine if that
// matters.
func (c *call) mayCrashAgain(ctx context.Context) bool {
	if c.brokenProbe == nil || c.opts.Parts.AllServed(c.req.Parts) {
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

// recordProof records that the engine answered the request, which clears the parts of
// its prompt.
func (c *call) recordProof(at time.Time) {
	if c.service.Engine != nil && len(c.req.Parts) > 0 {
		c.opts.Parts.RecordServed(at, c.req.Parts)
	}
}

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

var errPartBlocked = errors.New("serve: a part of the prompt is blocked")

// checkParts returns the refusal of a request with a blocked part.
func (c *call) checkParts() *Problem {
	if c.testsPart || c.service.Engine == nil || len(c.req.Parts) == 0 {
		return nil
	}
	now := c.opts.Clock.Now()
	b, blocked, test := c.opts.Parts.Check(now, c.req.Parts, c.opts.MayTest())
	if !blocked {
		c.testsPart = test
		return nil
	}
	c.lastError = "part " + b.Part
	if c.ranAttempts > 0 {
		return &Problem{
			Status:  http.StatusBadGateway,
			Code:    "prompt-part-blocked",
			Message: "engines crash when they answer prompts with a part of this one; the request may have run",
		}
	}
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "prompt-part-blocked",
		Message:    "engines crash when they answer prompts with a part of this one",
		NotRun:     true,
		RetryAfter: max(endpointRetryAfter, b.Until.Sub(now)),
	}
}
