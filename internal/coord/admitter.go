package coord

import (
	"context"
	"sync"
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
	clock             clock.Clock
	exchangeRequested chan struct{}
	// poolRequested is signalled when a request needs tokens from the pool.
	poolRequested chan struct{}

	mu            sync.Mutex
	limiter       *grant.NodeLimiter
	pool          *grant.Pool
	limits        map[string]grant.Limit
	tokensChanged chan struct{}
}

// NewAdmitter returns an Admitter without tokens. It signals exchangeRequested
// when a request needs tokens before the next regular exchange. While nodes do
// not reach the coordinator, all of them together may save up quotaDisconnected
// tokens more than their fractions of the rate otherwise allow.
func NewAdmitter(clk clock.Clock, exchangeRequested chan struct{}, quotaDisconnected float64) *Admitter {
	return &Admitter{
		clock:             clk,
		exchangeRequested: exchangeRequested,
		poolRequested:     make(chan struct{}, 1),
		limiter:           grant.NewNodeLimiter(quotaDisconnected),
		pool:              grant.NewPool(),
		tokensChanged:     make(chan struct{}),
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

// signal wakes the receiver of a channel with a buffer of one. It does not
// block.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// waitForTokens waits until tokens may have arrived or the limit has passed. It
// returns false when the context has ended. The caller holds the lock, which is
// released during the wait.
func (a *Admitter) waitForTokens(ctx context.Context, limit time.Duration) bool {
	changed := a.tokensChanged
	a.mu.Unlock()
	defer a.mu.Lock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// hasCoordinator reports whether the coordinator answered recently.
func (a *Admitter) hasCoordinator(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.HasCoordinator(now)
}

// poolExchange returns the tokens to request from a pool and those to deposit
// there. It returns nothing while the coordinator is reached.
func (a *Admitter) poolExchange(now time.Time) (requests []grant.TokenRequest, deposits []grant.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limiter.HasCoordinator(now) {
		return nil, nil
	}
	return a.limiter.TokenRequests(now), a.limiter.TakeDeposits(now)
}

// servePool answers a node that uses the pool held by this node.
func (a *Admitter) servePool(x *Exchange) *Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.pool.Deposit(now, x.Deposits)
	r := &Reply{}
	for _, request := range x.TokenRequests {
		issued := a.pool.Issue(now, request.Workspace, request.Want, request.Need)
		if issued > 0 {
			r.Grants = append(r.Grants, grant.Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		}
	}
	return r
}

// applyPoolReply adds the tokens that a pool issued.
func (a *Admitter) applyPoolReply(sent time.Time, r *Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.ApplyPoolReply(sent, r.Grants)
	a.notify()
}

// notify wakes all waiting requests. The caller holds the lock.
func (a *Admitter) notify() {
	close(a.tokensChanged)
	a.tokensChanged = make(chan struct{})
}

// tokenRequests returns the tokens to request from the coordinator.
func (a *Admitter) tokenRequests(now time.Time) []grant.TokenRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.TokenRequests(now)
}

// applyReply applies the coordinator's reply to a message that was sent at the
// given time.
func (a *Admitter) applyReply(sent time.Time, r *Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.ApplyReply(sent, r.Grants, r.Fraction)
	a.limiter.SetShortages(sent, r.Shortages)
	a.notify()
}

// setFraction sets the node's fraction of the rates as other nodes know it. It
// has no effect once the coordinator has answered.
func (a *Admitter) setFraction(fraction float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.SetFraction(fraction)
}
