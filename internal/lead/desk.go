package lead

import (
	"context"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

// retryOverRate is when a caller over its rate should come back.
const retryOverRate = 500 * time.Millisecond

// localRetry is how often a waiting request looks at the node's own fraction.
const localRetry = 20 * time.Millisecond

// Desk admits requests within the rates of their workspaces.
type Desk struct {
	clock clock.Clock
	kick  chan struct{}
	// need is signalled when tokens of a pool are needed.
	need chan struct{}

	mu      sync.Mutex
	wallet  *grant.Wallet
	pool    *grant.Pool
	limits  map[string]grant.Limit
	changed chan struct{}
}

// NewDesk returns a desk with an empty wallet. It signals on kick when tokens
// are needed at once. Nodes without contact may save up spare tokens in all.
func NewDesk(clk clock.Clock, kick chan struct{}, spare float64) *Desk {
	return &Desk{
		clock:   clk,
		kick:    kick,
		need:    make(chan struct{}, 1),
		wallet:  grant.NewWallet(spare),
		pool:    grant.NewPool(),
		changed: make(chan struct{}),
	}
}

// Limits returns the limits of the workspaces that have one.
func Limits(c *fleet.Config) map[string]grant.Limit {
	out := make(map[string]grant.Limit, len(c.Workspaces))
	for name, w := range c.Workspaces {
		if w.Rate > 0 {
			out[name] = grant.Limit{
				Rate:  w.Rate,
				Burst: max(w.Burst, w.Rate*leastBurst.Seconds()),
			}
		}
	}
	return out
}

// leastBurst is the burst of a workspace without one: what its rate brings
// between two exchanges with the coordinator.
const leastBurst = 250 * time.Millisecond

// SetConfig takes over the limits of a configuration.
func (d *Desk) SetConfig(c *fleet.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits := Limits(c)
	for name, l := range limits {
		if old, ok := d.limits[name]; ok && l.Rate < old.Rate {
			// What was minted under the higher rate is not spent under the lower.
			d.pool = grant.NewPool()
		}
	}
	d.limits = limits
	d.wallet.SetLimits(limits)
}

// Admit implements serve.Admission.
func (d *Desk) Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (time.Duration, bool) {
	now := d.clock.Now()
	until := now.Add(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wallet.Arrived(now, workspace, tokens)
	if d.wallet.Take(now, workspace, tokens) {
		return 0, true
	}
	done := d.wallet.Wait(workspace, tokens)
	defer done()
	for {
		short := d.wallet.ShortUntil(workspace)
		wake := until
		switch {
		case !d.wallet.InTouch(now):
			// Without contact tokens come with time, not with an answer.
			wake = now.Add(localRetry)
			signal(d.need)
		case !short.Before(until):
			return max(retryOverRate, short.Sub(now)), false
		case short.After(now):
			wake = short
		default:
			signal(d.kick)
		}
		if !d.sleep(ctx, min(wake.Sub(now), until.Sub(now))) {
			return retryOverRate, false
		}
		now = d.clock.Now()
		if d.wallet.Take(now, workspace, tokens) {
			return 0, true
		}
		if !now.Before(until) {
			return retryOverRate, false
		}
	}
}

// signal wakes the goroutine that waits on a channel.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for a time or for an answer of the coordinator. It reports false
// when the context has ended. The lock is held, and given up meanwhile.
func (d *Desk) sleep(ctx context.Context, most time.Duration) bool {
	changed := d.changed
	d.mu.Unlock()
	defer d.mu.Lock()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// inTouch reports whether the coordinator is reached.
func (d *Desk) inTouch(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wallet.InTouch(now)
}

// pooled returns what to ask a pool for and to deposit there, while the
// coordinator is not reached.
func (d *Desk) pooled(now time.Time) (draws []grant.Draw, deposits []grant.Loan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wallet.InTouch(now) {
		return nil, nil
	}
	return d.wallet.Draws(now), d.wallet.Deposit(now)
}

// serve answers a node that uses this node's pool.
func (d *Desk) serve(x *Exchange) *Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.pool.Deposit(now, x.Deposits)
	r := &Reply{}
	for _, draw := range x.Draws {
		got := d.pool.Issue(now, draw.Workspace, draw.Want, draw.Need)
		if got > 0 {
			r.Loans = append(r.Loans, grant.Loan{
				Workspace: draw.Workspace,
				Tokens:    got,
			})
		}
	}
	return r
}

// receivePool takes over a pool's answer.
func (d *Desk) receivePool(sent time.Time, r *Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wallet.ReceivePool(sent, r.Loans)
	d.notify()
}

// notify wakes the requests that wait. The lock is held.
func (d *Desk) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// draws returns what to ask the coordinator for.
func (d *Desk) draws(now time.Time) []grant.Draw {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wallet.Draws(now)
}

// receive takes over the coordinator's answer.
func (d *Desk) receive(sent time.Time, r *Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wallet.Receive(sent, r.Loans, r.Fraction)
	d.wallet.Short(sent, r.Short)
	d.notify()
}

// setFraction passes on what other nodes said of this node's fraction.
func (d *Desk) setFraction(fraction float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wallet.SetFraction(fraction)
}
