package serve

import (
	"context"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/triage"
)

// Newest returns the record of the newest configuration that other nodes have named.
func (s *Server) Newest() *triage.Newest { return &s.newest }

// NewestConfig returns the version of the newest configuration that is in force here or
// was named by another node, 0 if there is none.
func (s *Server) NewestConfig() int64 {
	version := s.newest.Version()
	if c := s.Config(); c != nil {
		version = max(version, c.Version)
	}
	return version
}

// isBehind reports whether a newer configuration than that of the call is expected.
func (c *call) isBehind() bool {
	return c.newest.IsExpected(c.opts.Clock.Now(), c.configVersion())
}

// lookUp returns what the configuration in force says of an arrived request. If it refuses
// the request and another node has named a newer one, which may contain the route, the key
// or the model, the request waits for that.
func (c *call) lookUp(ctx context.Context) (terms, *Problem) {
	t, p := c.look(c.config)
	if p == nil || c.config == nil || !c.isBehind() {
		return t, p
	}
	former, code := c.configVersion(), p.Code
	until := c.opts.Clock.Now().Add(triage.MaxConfigWait)
	if c.req.Wait > 0 {
		until = earliest(until, c.req.Arrived.Add(c.req.Wait))
	}
	for p != nil && c.isBehind() {
		if !c.awaitConfig(ctx, until) {
			p = c.behindProblem(ctx)
			break
		}
		c.config = c.Server.Config()
		t, p = c.look(c.config)
	}
	c.opts.Log.Info("request waited for configuration", "request", c.req.ID, "config", c.configVersion(), "former-config", former,
		"former-code", code, "newest-config", c.newest.Version(), "refused", p != nil,
		"waited-ms", c.opts.Clock.Now().Sub(c.req.Arrived).Milliseconds())
	return t, p
}

// awaitConfig waits until a newer configuration than that of the call is in force. It
// returns false if that does not happen in time.
func (c *call) awaitConfig(ctx context.Context, until time.Time) bool {
	changed := make(chan struct{}, 1)
	defer c.watch(func(config *fleet.Config) {
		if config.Version > c.configVersion() {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	})()
	t := time.NewTimer(until.Sub(c.opts.Clock.Now()))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	case <-c.interrupted.Done():
	}
	return false
}

// behindProblem returns the answer to a request that has waited for a newer configuration
// in vain.
func (c *call) behindProblem(ctx context.Context) *Problem {
	if ctx.Err() != nil {
		return callerGoneProblem()
	}
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "config-behind",
		Message:    "this node has not read the newest configuration yet",
		NotRun:     true,
		RetryAfter: configRetryAfter,
	}
}
