package limit

import (
	"context"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/quota"
)

// Charge is tokens that were taken for one request. It belongs to one
// goroutine at a time and must not be copied after Check.
type Charge struct {
	limiter *Limiter
	account *account
	tokens  int64
	taken   quota.Withdrawal
	spent   bool
	settled bool
}

// Tokens is the amount charged.
func (c *Charge) Tokens() int64 {
	return c.tokens
}

// SpendBy is the time until which Check accepts the charge without taking
// tokens again.
func (c *Charge) SpendBy() time.Time {
	return c.taken.SpendBy
}

// Admit charges tokens to a workspace. If too few are at hand it waits, no
// longer than MaxWait, while they are drawn from the domain's pool and from
// other domains. A *RefusedError means that nothing was charged.
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
			a.charged(tokens)
			a.mu.Unlock()
			if low {
				l.signal(a)
			}
			return Charge{
				limiter: l,
				account: a,
				tokens:  tokens,
				taken:   taken,
			}, nil
		}
		if tokens >= a.denied && now.Sub(a.deniedAt) < denialCounts && a.denial.Retry.Sub(now) > l.opts.MaxWait {
			err := a.refusal(now, tokens, a.denial)
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
	l.signal(a)
	return l.wait(ctx, a, w)
}

func (a *account) charged(tokens int64) {
	a.stats.Admitted++
	a.stats.ChargedTokens += tokens
}

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
	a.charged(w.tokens)
	a.mu.Unlock()
	return Charge{
		limiter: l,
		account: a,
		tokens:  w.tokens,
		taken:   w.taken,
	}, nil
}

// abandon stops a wait. If the request was answered in the meantime that
// answer counts, so that no taken token is lost.
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
			d = a.denial
		}
		err = a.refusal(l.clock.Now(), w.tokens, d)
	}
	return err
}

// signal asks the loop to draw for the account.
func (l *Limiter) signal(a *account) {
	if !a.queued.CompareAndSwap(false, true) {
		return
	}
	select {
	case l.wake <- a:
	default:
		// The loop is behind; its tick finds requests that wait.
		a.queued.Store(false)
	}
}

// Check must succeed right before the first byte goes to an endpoint. If the
// deadline of the tokens has passed, because the process was paused or the
// request was queued, they are lost and Check takes others that are at hand;
// without them it returns a *RefusedError, and the caller may call Admit again.
func (c *Charge) Check() error {
	if c.spent || c.account == nil {
		return nil
	}
	now := c.limiter.clock.Now()
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(c.taken.SpendBy) {
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
	c.taken = taken
	c.spend()
	return nil
}

func (c *Charge) spend() {
	c.spent = true
	for _, p := range c.taken.Parts {
		if p.ID != 0 {
			c.account.spent = append(c.account.spent, p)
		}
	}
}

// Settle ends a charge of which used tokens were used. The rest is refunded,
// as far as the workspace's cap allows. Calls after the first do nothing.
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
		a.refund += rest
		a.stats.RefundedTokens += rest
		return
	}
	// Nothing was sent, so the tokens are still those of the loan.
	rest = c.tokens
	for _, p := range c.taken.Parts {
		a.wallet.Add(quota.Loan{
			Workspace: a.name,
			Lender:    p.Lender,
			Epoch:     p.Epoch,
			ID:        p.ID,
			Tokens:    p.Tokens,
			SpendBy:   c.taken.SpendBy,
		})
		rest -= p.Tokens
	}
	a.wallet.Add(quota.Loan{
		Workspace: a.name,
		Tokens:    rest,
		SpendBy:   c.taken.SpendBy,
	})
}
