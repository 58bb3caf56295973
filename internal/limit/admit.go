package limit

import (
	"context"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/quota"
)

// Charge is the tokens charged for one request. It is not safe for concurrent use
// and must not be copied after Check.
type Charge struct {
	limiter    *Limiter
	account    *account
	tokens     int64
	withdrawal quota.Withdrawal
	spent      bool
	settled    bool
}

// Tokens returns the number of tokens charged.
func (c *Charge) Tokens() int64 {
	return c.tokens
}

// SpendBy returns the deadline of the tokens. From then on Check has to take
// other tokens.
func (c *Charge) SpendBy() time.Time {
	return c.withdrawal.SpendBy
}

// Admit charges tokens to a workspace. If the node holds too few it waits for up
// to MaxWait while they are drawn from the domain's pool and from other domains.
// If it returns an error, such as *RefusedError, nothing was charged.
func (l *Limiter) Admit(ctx context.Context, workspace string, tokens int64) (Charge, error) {
	tokens = max(0, tokens)
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return Charge{}, &RefusedError{
			Workspace: workspace,
			Wanted:    tokens,
			Reason:    quota.ReasonUnknown,
			After:     time.Hour,
		}
	}
	now := l.clock.Now()
	a.mu.Lock()
	if len(a.waiters) == 0 {
		if taken, ok := a.wallet.Take(now, tokens); ok {
			low := a.wallet.Low(now) && !a.drawing && !now.Before(a.nextPrefetch)
			a.countCharge(tokens)
			a.mu.Unlock()
			if low {
				l.requestDraw(a)
			}
			return Charge{
				limiter:    l,
				account:    a,
				tokens:     tokens,
				withdrawal: taken,
			}, nil
		}
		if tokens >= a.deniedTokens && now.Sub(a.deniedAt) < denialTTL && a.lastDenial.Retry.Sub(now) > l.opts.MaxWait {
			err := a.refusal(now, tokens, a.lastDenial)
			a.mu.Unlock()
			return Charge{}, err
		}
	}
	w := &waiter{
		tokens:   tokens,
		deadline: now.Add(l.opts.MaxWait),
		done:     make(chan error, 1),
	}
	a.waiters = append(a.waiters, w)
	a.mu.Unlock()
	l.requestDraw(a)
	return l.wait(ctx, a, w)
}

// countCharge updates the counters. The caller holds mu.
func (a *account) countCharge(tokens int64) {
	a.stats.Admitted++
	a.stats.ChargedTokens += tokens
}

// wait waits until w is answered, its deadline passes, or ctx or the Limiter ends.
func (l *Limiter) wait(ctx context.Context, a *account, w *waiter) (Charge, error) {
	timer := time.NewTimer(l.opts.MaxWait)
	defer timer.Stop()
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = l.abandon(a, w, fmt.Errorf("wait for tokens of workspace %s: %w", a.name, ctx.Err()))
	case <-timer.C:
		err = l.abandon(a, w, nil)
	case <-l.ctx.Done():
		err = l.abandon(a, w, ErrClosed)
	}
	if err != nil {
		return Charge{}, err
	}
	a.mu.Lock()
	a.countCharge(w.tokens)
	a.mu.Unlock()
	return Charge{
		limiter:    l,
		account:    a,
		tokens:     w.tokens,
		withdrawal: w.withdrawal,
	}, nil
}

// abandon removes a waiter. If it was answered in the meantime that answer is
// returned instead of err, so that its tokens aren't lost.
func (l *Limiter) abandon(a *account, w *waiter, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return <-w.done
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if err == nil {
		var d quota.Denial
		if !a.deniedAt.Before(w.deadline.Add(-l.opts.MaxWait)) {
			d = a.lastDenial
		}
		err = a.refusal(l.clock.Now(), w.tokens, d)
	}
	return err
}

// requestDraw makes the loop draw for the account.
func (l *Limiter) requestDraw(a *account) {
	if !a.queued.CompareAndSwap(false, true) {
		return
	}
	select {
	case l.drawRequests <- a:
	default:
		// The channel is full. The loop finds the waiting requests at its next
		// tick.
		a.queued.Store(false)
	}
}

// Check has to be called right before the first byte is sent to an endpoint, and
// the request may be sent only if it returns nil. If the deadline of the tokens
// has passed, because the process was paused or the request was queued, they are
// lost and Check takes other tokens of this node. If there are too few, it
// returns a *RefusedError, and the caller may call Admit again.
func (c *Charge) Check() error {
	if c.spent || c.account == nil {
		return nil
	}
	now := c.limiter.clock.Now()
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(c.withdrawal.SpendBy) {
		c.spend()
		return nil
	}
	a.stats.ExpiredTokens += c.tokens
	taken, ok := a.wallet.Take(now, c.tokens)
	if !ok {
		c.settled = true
		a.stats.Refused++
		return &RefusedError{
			Workspace: a.name,
			Wanted:    c.tokens,
			Available: a.wallet.Tokens(now),
			Reason:    quota.ReasonExpired,
		}
	}
	c.withdrawal = taken
	c.spend()
	return nil
}

// spend records that the tokens are used, so that their lenders are notified.
func (c *Charge) spend() {
	c.spent = true
	for _, p := range c.withdrawal.Parts {
		if p.ID != 0 {
			c.account.unsentSpent = append(c.account.unsentSpent, p)
		}
	}
}

// Settle ends a charge of which used tokens were used. The rest is refunded up
// to the workspace's capacity. Calls after the first do nothing.
func (c *Charge) Settle(used int64) {
	if c.settled || c.account == nil {
		return
	}
	c.settled = true
	rest := c.tokens - max(0, used)
	if rest <= 0 {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.spent {
		a.unsentRefund += rest
		a.stats.RefundedTokens += rest
		return
	}
	// The request was not sent, so the tokens go back to the wallet as loans.
	rest = c.tokens
	for _, p := range c.withdrawal.Parts {
		a.wallet.Add(quota.Loan{
			Workspace: a.name,
			Lender:    p.Lender,
			Epoch:     p.Epoch,
			ID:        p.ID,
			Tokens:    p.Tokens,
			SpendBy:   c.withdrawal.SpendBy,
		})
		rest -= p.Tokens
	}
	a.wallet.Add(quota.Loan{
		Workspace: a.name,
		Tokens:    rest,
		SpendBy:   c.withdrawal.SpendBy,
	})
}
