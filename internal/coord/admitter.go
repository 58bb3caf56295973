package coord

import (
	"context"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/serve"
)

// overRateRetryAfter is the retry delay returned to a caller that exceeds its
// rate.
const overRateRetryAfter = 500 * time.Millisecond

// unansweredWait is how long a request waits for the answer to a token request that
// the coordinator has not answered yet: refusing it would call a workspace over its
// rate that may not be. It covers the time until a node that has lost the coordinator
// admits from its own fraction.
const unansweredWait = grant.CoordinatorTimeout + 200*time.Millisecond

// localRetryInterval is how often a waiting request retries while the node
// admits from its own fraction of the rate.
const localRetryInterval = 20 * time.Millisecond

// Admitter admits requests within the rates of their workspaces. It is safe for
// concurrent use.
type Admitter struct {
	*tokens
	limits map[string]grant.Limit // guarded by the lock of tokens
}

// NewAdmitter returns an Admitter without tokens. It signals exchangeRequested or
// poolRequested when a request needs tokens before the next regular exchange. While nodes do
// not reach the coordinator, all of them together may save up quotaDisconnected
// tokens more than their fractions of the rate otherwise allow.
func NewAdmitter(clk clock.Clock, exchangeRequested, poolRequested chan struct{}, quotaDisconnected float64) *Admitter {
	return &Admitter{
		tokens: newTokens(clk, exchangeRequested, poolRequested, quotaDisconnected),
	}
}

// Limits returns the limits of all workspaces with a rate.
func Limits(c *fleet.Config) map[string]grant.Limit {
	out := make(map[string]grant.Limit, len(c.Workspaces))
	for name, w := range c.Workspaces {
		if w.Rate > 0 {
			out[name] = grant.Limit{
				Rate:  w.Rate,
				Burst: max(w.Burst, w.Rate*minBurstTime.Seconds()),
			}
		}
	}
	return out
}

// minBurstTime is the minimum burst of a workspace, as the time in which its
// rate yields it: the time between two exchanges with the coordinator.
const minBurstTime = 250 * time.Millisecond

// SetConfig applies the limits of a configuration.
func (a *Admitter) SetConfig(c *fleet.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := Limits(c)
	for name, l := range limits {
		if old, ok := a.limits[name]; ok && l.Rate < old.Rate {
			// Tokens minted under the higher rate must not be spent under the lower.
			a.pool = grant.NewPool()
		}
	}
	a.limits = limits
	a.limiter.SetLimits(limits)
}

// Admit implements serve.Admission. A request for which the node has too few
// tokens waits for up to wait while more are requested from the coordinator or,
// if that is not reached, from the pool of the failure domain. Until one of them
// has answered that the tokens are used up, it waits for up to unansweredWait, unless
// a coordinator that has just begun will not have enough of them by then.
func (a *Admitter) Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (serve.Refusal, bool) {
	now := a.clock.Now()
	began, until := now, now.Add(wait)
	last := began.Add(max(wait, unansweredWait))
	refillBy := last
	if deadline, ok := ctx.Deadline(); ok {
		refillBy = now.Add(min(last.Sub(now), time.Until(deadline)))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.AddDemand(now, workspace, tokens)
	if a.limiter.Take(now, workspace, tokens) {
		return serve.Refusal{}, true
	}
	done := a.limiter.Wait(workspace, tokens)
	defer done()
	for {
		short, refilledAt := a.limiter.NoTokensUntil(workspace), a.limiter.RefilledAt(workspace)
		wake := until
		switch {
		case !a.limiter.HasCoordinator(now):
			// Without the coordinator, tokens become available as time passes.
			wake = now.Add(localRetryInterval)
			signal(a.poolRequested)
		case short.After(now) && refilledAt.After(refillBy):
			return a.refusal(now, workspace), false
		case !short.Before(until) && refilledAt.IsZero():
			return a.refusal(now, workspace), false
		case short.After(now):
			wake = short
		default:
			signal(a.exchangeRequested)
		}
		limit := min(wake.Sub(now), until.Sub(now))
		if lost := a.limiter.CoordinatorUntil(); lost.After(now) {
			limit = min(limit, lost.Sub(now))
		}
		if !a.waitForTokens(ctx, limit) {
			return a.refusal(a.clock.Now(), workspace), false
		}
		now = a.clock.Now()
		if a.limiter.Take(now, workspace, tokens) {
			return serve.Refusal{}, true
		}
		if now.Before(until) {
			continue
		}
		usedUp := a.limiter.NoTokensUntil(workspace).After(began) && a.limiter.RefilledAt(workspace).IsZero()
		if usedUp || !now.Before(last) {
			return a.refusal(now, workspace), false
		}
		until = last
	}
}

// refusal returns why a request is refused, by the last answer about its workspace. The
// caller holds the lock.
func (a *Admitter) refusal(now time.Time, workspace string) serve.Refusal {
	retryAt := a.limiter.NoTokensUntil(workspace)
	refilledAt := a.limiter.RefilledAt(workspace)
	if !refilledAt.IsZero() {
		retryAt = refilledAt
	}
	return serve.Refusal{
		RetryAfter:  max(overRateRetryAfter, retryAt.Sub(now)),
		Unreachable: !refilledAt.IsZero(),
	}
}
