package coord

import (
	"context"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/grant"
)

// tokens holds a node's tokens of one kind of limits, and the pool of its failure domain in
// case it holds that. It is safe for concurrent use.
type tokens struct {
	clock clock.Clock
	// exchangeRequested and poolRequested are signalled when a request needs tokens
	// before the next regular exchange.
	exchangeRequested chan struct{}
	poolRequested     chan struct{}

	mu      sync.Mutex
	limiter *grant.NodeLimiter
	pool    *grant.Pool
	changed chan struct{}
}

func newTokens(clk clock.Clock, exchangeRequested, poolRequested chan struct{}, spare float64) *tokens {
	return &tokens{
		clock:             clk,
		exchangeRequested: exchangeRequested,
		poolRequested:     poolRequested,
		limiter:           grant.NewNodeLimiter(spare),
		pool:              grant.NewPool(),
		changed:           make(chan struct{}),
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
func (t *tokens) waitForTokens(ctx context.Context, limit time.Duration) bool {
	changed := t.changed
	t.mu.Unlock()
	defer t.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// hasCoordinator reports whether the coordinator answered recently.
func (t *tokens) hasCoordinator(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.HasCoordinator(now)
}

// poolExchange returns the tokens to request from a pool and those to deposit
// there. It returns nothing while the coordinator is reached.
func (t *tokens) poolExchange(now time.Time) (requests []grant.TokenRequest, deposits []grant.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limiter.HasCoordinator(now) {
		return nil, nil
	}
	return t.limiter.TokenRequests(now), t.limiter.TakeDeposits(now)
}

// servePool answers a node that uses the pool held by this node.
func (t *tokens) servePool(requests []grant.TokenRequest, deposits []grant.Grant) []grant.Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.pool.Deposit(now, deposits)
	var out []grant.Grant
	for _, request := range requests {
		issued := t.pool.Issue(now, request.Workspace, request.Want, request.Need)
		if issued > 0 {
			out = append(out, grant.Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		}
	}
	return out
}

// applyPoolReply adds the tokens that a pool issued.
func (t *tokens) applyPoolReply(sent time.Time, grants []grant.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.ApplyPoolReply(sent, grants)
	t.notify()
}

// notify wakes all waiting requests. The caller holds the lock.
func (t *tokens) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// tokenRequests returns the tokens to request from the coordinator.
func (t *tokens) tokenRequests(now time.Time) []grant.TokenRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.TokenRequests(now)
}

// applyReply applies the coordinator's reply to a message that was sent at the
// given time.
func (t *tokens) applyReply(sent time.Time, grants []grant.Grant, shortages []grant.Shortage, fraction float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.ApplyReply(sent, grants, fraction)
	t.limiter.SetShortages(sent, shortages)
	t.notify()
}

// setFraction sets the node's fraction of the rates as other nodes know it. It
// has no effect once the coordinator has answered.
func (t *tokens) setFraction(fraction float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetFraction(fraction)
}
