// Package limit admits requests within the rate and burst of their workspace.
// It runs a quota.Node: it carries its messages, reads and writes the slots
// row, and holds requests that wait for tokens.
//
// A request calls Admit, waits for its endpoint, calls Charge.Check right before
// the first byte, and Charge.Settle at its end, whatever became of it.
package limit

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Transport carries the quota messages to other entry processes. A failure
// that is known at once should be returned at once.
type Transport interface {
	Deposit(ctx context.Context, node string, req quota.DepositRequest) (quota.DepositReply, error)
	Draw(ctx context.Context, node string, req quota.DrawRequest) (quota.DrawReply, error)
	Return(ctx context.Context, node string, req quota.ReturnRequest) (quota.ReturnReply, error)
}

// Options are the settings of a Limiter.
type Options struct {
	// Node is the identity of this VM's entry process, the same after a restart.
	Node string
	// Incarnation differs from that of every earlier process of the node.
	Incarnation uint64
	Domain      string
	Clock       clock.Clock
	Table       store.Table
	Transport   Transport
	// MaxWait bounds the wait for tokens in Admit; 0 means DefaultMaxWait.
	MaxWait time.Duration
}

// Time limits.
const (
	// DefaultMaxWait covers a pool that doesn't answer and then the other domains.
	DefaultMaxWait = 600 * time.Millisecond
	// drawTimeout leaves a pool the time to ask the other domains.
	drawTimeout    = 300 * time.Millisecond
	messageTimeout = time.Second
	tableTimeout   = 2 * time.Second
	// loopEvery is the precision with which waiting requests are tried again.
	loopEvery = 20 * time.Millisecond
	// prefetchEvery bounds the draws ahead of need, and so the messages.
	prefetchEvery = 100 * time.Millisecond
	// surplusEvery is how often unused tokens go back.
	surplusEvery = 500 * time.Millisecond
	// denialCounts is how long the answer to one request refuses others that
	// want no less, so that a workspace above its rate causes few messages: at
	// 14 nodes its pool gets 56 draws/s.
	denialCounts = 250 * time.Millisecond
)

// ErrClosed is returned by a Limiter whose clean-up function was called.
var ErrClosed = errors.New("limit: closed")

// RefusedError says that a workspace had too few tokens; nothing was charged.
type RefusedError struct {
	Workspace string
	Wanted    int64
	Available int64
	Reason    quota.Reason
	// After is the estimated time until the request would be admitted.
	After time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("workspace %s: refused %d tokens, %d available: %s, retry after %s",
		e.Workspace, e.Wanted, e.Available, e.Reason, e.After.Round(time.Millisecond))
}

// Limiter admits requests at one entry process.
type Limiter struct {
	opts     Options
	clock    clock.Clock
	accounts atomic.Pointer[map[string]*account]
	wake     chan *account
	calls    chan func(now time.Time)
	ctx      context.Context
	done     sync.WaitGroup

	// The loop owns the rest.
	node      *quota.Node
	open      map[quota.ID]chan<- quota.DrawReply
	waiting   map[*account]bool
	nextTick  time.Time
	nextSweep time.Time
	tableDown bool
}

// account is the workspace's part of this node. Traffic holds mu briefly.
type account struct {
	name string
	// queued is set while the account is in Limiter.wake.
	queued atomic.Bool

	mu           sync.Mutex
	wallet       quota.Wallet
	waiters      []*waiter
	refund       int64
	spent        []quota.Part // to be reported
	drawing      bool         // a draw for the first waiter is out
	nextPrefetch time.Time
	retry        time.Time
	denial       quota.Denial
	denied       int64 // tokens that the denial was for
	deniedAt     time.Time
	stats        Counters
}

type waiter struct {
	tokens   int64
	deadline time.Time
	taken    quota.Withdrawal
	done     chan error
}

// Counters count the admissions of one workspace at this node.
type Counters struct {
	Admitted      int64
	Refused       int64
	ChargedTokens int64
	// RefundedTokens were given back; the pool credits what its cap allows.
	RefundedTokens int64
	ExpiredTokens  int64
}

// New starts a Limiter. The returned function stops it and waits for its
// goroutines; call GiveBack before it.
func New(opts Options) (*Limiter, func()) {
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		opts:    opts,
		clock:   opts.Clock,
		wake:    make(chan *account, 1024),
		calls:   make(chan func(now time.Time), 64),
		ctx:     ctx,
		node:    quota.NewNode(opts.Clock.Now(), opts.Node, opts.Incarnation, opts.Domain),
		open:    make(map[quota.ID]chan<- quota.DrawReply),
		waiting: make(map[*account]bool),
	}
	l.accounts.Store(&map[string]*account{})
	l.done.Add(1)
	go l.run()
	return l, func() {
		cancel()
		l.done.Wait()
	}
}

// SetConfig applies a revision. Every revision has to be given, in order, from
// a confirmed one on: after a gap this node's shares stay empty until the
// revision is confirmed. confirmedRevision is one that every node that may hold
// slots has applied, in every domain, with the paused and unreachable ones.
// Calls with the same revision raise confirmedRevision only.
func (l *Limiter) SetConfig(cfg *spec.Config, confirmedRevision int64) {
	l.call(func(now time.Time) {
		l.node.SetConfig(now, cfg, confirmedRevision)
		l.setAccounts(cfg)
	})
}

func (l *Limiter) setAccounts(cfg *spec.Config) {
	old := *l.accounts.Load()
	next := make(map[string]*account, len(cfg.Workspaces))
	for _, w := range cfg.Workspaces {
		a := old[w.Name]
		if a == nil {
			a = &account{
				name: w.Name,
			}
		}
		next[w.Name] = a
	}
	if !maps.Equal(old, next) {
		l.accounts.Store(&next)
	}
}

// SetMembers sets the live nodes of the own domain, and for each other domain
// its relays or live nodes.
func (l *Limiter) SetMembers(local []string, pools map[string][]string) {
	l.call(func(now time.Time) {
		l.node.SetMembers(now, local, pools)
	})
}

// ProvedDead notes that the process of a node up to an incarnation has ended:
// its control port refused a connection or a later incarnation answered there.
func (l *Limiter) ProvedDead(node string, incarnation uint64) {
	l.call(func(now time.Time) {
		l.node.ProvedDead(now, node, incarnation)
	})
}

// HandleDeposit answers a pool.
func (l *Limiter) HandleDeposit(ctx context.Context, req quota.DepositRequest) (quota.DepositReply, error) {
	if err := req.Validate(); err != nil {
		return quota.DepositReply{}, err
	}
	return ask(ctx, l, func(now time.Time, out chan<- quota.DepositReply) {
		out <- l.node.HandleDeposit(now, req)
	})
}

// HandleDraw lends tokens to a node or to another domain's pool.
func (l *Limiter) HandleDraw(ctx context.Context, req quota.DrawRequest) (quota.DrawReply, error) {
	if err := req.Validate(); err != nil {
		return quota.DrawReply{}, err
	}
	return ask(ctx, l, func(now time.Time, out chan<- quota.DrawReply) {
		reply, done := l.node.HandleDraw(now, req)
		if done {
			out <- reply
			return
		}
		l.open[req.ID] = out
	})
}

// HandleReturn credits returned tokens.
func (l *Limiter) HandleReturn(ctx context.Context, req quota.ReturnRequest) (quota.ReturnReply, error) {
	if err := req.Validate(); err != nil {
		return quota.ReturnReply{}, err
	}
	return ask(ctx, l, func(now time.Time, out chan<- quota.ReturnReply) {
		out <- l.node.HandleReturn(now, req)
	})
}

// GiveBack gives the slots back and returns when the table shows it, or with
// the error of ctx. It takes a little longer than quota.ResumeAfter, since
// pools use this node's deposits until then.
func (l *Limiter) GiveBack(ctx context.Context) error {
	l.call(func(now time.Time) {
		l.sweep(now, true)
		l.node.Leave(now)
	})
	for {
		left, err := ask(ctx, l, func(_ time.Time, out chan<- bool) {
			out <- l.node.Left()
		})
		if err != nil {
			return fmt.Errorf("give slots back: %w", err)
		}
		if left {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("give slots back: %w", ctx.Err())
		case <-time.After(loopEvery):
		}
	}
}

// Snapshot is the state of a Limiter.
type Snapshot struct {
	Slots        int
	SlotDeadline time.Time
	Owners       []quota.SlotOwner
	TableDown    bool
	Workspaces   []WorkspaceStatus
}

// WorkspaceStatus is the state of one workspace at this node.
type WorkspaceStatus struct {
	quota.Status
	Counters
	// Local is what can be spent here without asking; Use is the recent use per second.
	Local   int64
	Use     float64
	Waiting int
	// Denial is the last one from the pool.
	Denial quota.Denial
}

// Snapshot returns the state for status and explanation.
func (l *Limiter) Snapshot(ctx context.Context) (Snapshot, error) {
	return ask(ctx, l, func(now time.Time, out chan<- Snapshot) {
		s := Snapshot{
			Owners:    l.node.Owners(),
			TableDown: l.tableDown,
		}
		s.Slots, s.SlotDeadline = l.node.Slots(now)
		accounts := *l.accounts.Load()
		for _, st := range l.node.Status(now) {
			w := WorkspaceStatus{
				Status: st,
			}
			if a := accounts[st.Workspace]; a != nil {
				a.mu.Lock()
				w.Counters, w.Local, w.Use = a.stats, a.wallet.Tokens(now), a.wallet.Use(now)
				w.Waiting, w.Denial = len(a.waiters), a.denial
				a.mu.Unlock()
			}
			s.Workspaces = append(s.Workspaces, w)
		}
		out <- s
	})
}

// call runs f in the loop without waiting for it.
func (l *Limiter) call(f func(now time.Time)) {
	select {
	case l.calls <- f:
	case <-l.ctx.Done():
	}
}

// ask runs f in the loop and waits for what it sends.
func ask[T any](ctx context.Context, l *Limiter, f func(now time.Time, out chan<- T)) (T, error) {
	var none T
	out := make(chan T, 1)
	select {
	case l.calls <- func(now time.Time) { f(now, out) }:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.ctx.Done():
		return none, ErrClosed
	}
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.ctx.Done():
		return none, ErrClosed
	}
}

func (l *Limiter) run() {
	defer l.done.Done()
	ticker := time.NewTicker(loopEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.refuseAll()
			return
		case f := <-l.calls:
			f(l.clock.Now())
		case a := <-l.wake:
			l.drawFor(l.clock.Now(), a)
		case <-ticker.C:
			l.tick(l.clock.Now())
		}
		l.carryOut()
	}
}

func (l *Limiter) tick(now time.Time) {
	for a := range l.waiting {
		l.drawWaiting(now, a)
	}
	if now.Before(l.nextTick) {
		return
	}
	l.nextTick = now.Add(quota.TickInterval)
	l.sweep(now, false)
	l.node.Tick(now)
}

// sweep hands refunds and unused tokens to the node.
func (l *Limiter) sweep(now time.Time, all bool) {
	surplus := !now.Before(l.nextSweep)
	if surplus {
		l.nextSweep = now.Add(surplusEvery)
	}
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		refund := a.refund
		a.refund = 0
		for _, p := range a.spent {
			l.node.ReportSpent(now, a.name, p)
		}
		a.spent = a.spent[:0]
		var loans []quota.Loan
		switch {
		case all:
			loans = a.wallet.Drain(now)
		case surplus && len(a.waiters) == 0:
			loans = a.wallet.Surplus(now)
		}
		if len(a.waiters) > 0 {
			// The account may have found no room in the wake channel.
			l.waiting[a] = true
		}
		a.mu.Unlock()
		l.node.Refund(now, a.name, refund)
		for _, loan := range loans {
			l.node.ReturnLoan(now, loan)
		}
	}
}

// drawFor draws for an account and for all others that signalled meanwhile.
// Draws ahead of need share messages; each needy one has its own, so that none
// waits for another workspace's tokens from other domains.
func (l *Limiter) drawFor(now time.Time, a *account) {
	var ahead []quota.DrawItem
	for a != nil {
		a.queued.Store(false)
		l.drawWaiting(now, a)
		if it, ok := a.prefetch(now); ok {
			ahead = append(ahead, it)
		}
		select {
		case a = <-l.wake:
		default:
			a = nil
		}
	}
	if len(ahead) > 0 {
		l.node.Need(now, ahead...)
	}
}

func (a *account) prefetch(now time.Time) (quota.DrawItem, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.wallet.Prefetch(now)
	if n <= 0 || a.drawing || len(a.waiters) > 0 || now.Before(a.nextPrefetch) {
		return quota.DrawItem{}, false
	}
	a.nextPrefetch = now.Add(prefetchEvery)
	return quota.DrawItem{
		Workspace: a.name,
		Want:      n,
	}, true
}

// drawWaiting draws for the waiting requests of an account.
func (l *Limiter) drawWaiting(now time.Time, a *account) {
	a.mu.Lock()
	a.serve(now)
	if len(a.waiters) == 0 {
		delete(l.waiting, a)
		a.mu.Unlock()
		return
	}
	l.waiting[a] = true
	if a.drawing || now.Before(a.retry) {
		a.mu.Unlock()
		return
	}
	have := a.wallet.Tokens(now)
	need := max(1, a.waiters[0].tokens-have)
	want := a.wallet.Prefetch(now) - have
	for _, w := range a.waiters {
		want += w.tokens
	}
	a.drawing = true
	a.mu.Unlock()
	l.node.Need(now, quota.DrawItem{
		Workspace: a.name,
		Need:      need,
		Want:      max(need, want),
	})
}

// serve admits waiting requests in the order of their arrival.
func (a *account) serve(now time.Time) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		taken, ok := a.wallet.Take(now, w.tokens)
		if !ok {
			return
		}
		w.taken = taken
		a.waiters = a.waiters[1:]
		w.done <- nil
	}
}

// carryOut does what the node wants done.
func (l *Limiter) carryOut() {
	for {
		fx := l.node.TakeEffects()
		for _, m := range fx.Deposits {
			l.spawn(messageTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Deposit(ctx, m.To, m.Msg)
				err = checked(err, reply)
				return func(now time.Time) { l.node.DepositDone(now, m.To, reply, err) }
			})
		}
		for _, m := range fx.Draws {
			l.spawn(drawTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Draw(ctx, m.To, m.Msg)
				err = checked(err, reply)
				return func(now time.Time) { l.node.DrawDone(now, m.To, m.Msg.ID.Seq, reply, err) }
			})
		}
		for _, m := range fx.Returns {
			l.spawn(messageTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Return(ctx, m.To, m.Msg)
				err = checked(err, reply)
				return func(time.Time) { l.node.ReturnDone(m.To, reply, err) }
			})
		}
		for _, op := range fx.Table {
			l.spawn(tableTimeout, func(ctx context.Context) func(now time.Time) {
				row, err := access(ctx, l.opts.Table, op)
				return func(now time.Time) { l.tableDone(now, op, row, err) }
			})
		}
		for _, r := range fx.Replies {
			if out, ok := l.open[r.ID]; ok {
				delete(l.open, r.ID)
				out <- r
			}
		}
		if len(fx.Grants) == 0 && len(fx.Denials) == 0 {
			return
		}
		l.settleDraws(l.clock.Now(), fx)
	}
}

func (l *Limiter) settleDraws(now time.Time, fx quota.Effects) {
	accounts := *l.accounts.Load()
	touched := make(map[*account]bool)
	for _, g := range fx.Grants {
		a := accounts[g.Workspace]
		if a == nil {
			l.node.ReturnLoan(now, g)
			continue
		}
		a.mu.Lock()
		a.wallet.Add(g)
		a.drawing = false
		a.mu.Unlock()
		touched[a] = true
	}
	for _, d := range fx.Denials {
		if a := accounts[d.Workspace]; a != nil {
			a.deny(now, d)
			touched[a] = true
		}
	}
	for a := range touched {
		l.drawWaiting(now, a)
	}
}

// deny refuses the first waiting request if it can't be met before its
// deadline; otherwise the draw is repeated when the pool expects to have enough.
func (a *account) deny(now time.Time, d quota.Denial) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drawing = false
	a.denial = d
	if len(a.waiters) == 0 {
		return
	}
	w := a.waiters[0]
	a.denied, a.deniedAt = w.tokens, now
	if d.Retry.Before(w.deadline) {
		a.retry = d.Retry
		return
	}
	a.waiters = a.waiters[1:]
	w.done <- a.refusal(now, w.tokens, d)
}

func (a *account) refusal(now time.Time, tokens int64, d quota.Denial) error {
	a.stats.Refused++
	reason := d.Reason
	if reason == quota.ReasonNone {
		reason = quota.ReasonTimeout
	}
	return &RefusedError{
		Workspace: a.name,
		Wanted:    tokens,
		Available: d.Available,
		Reason:    reason,
		After:     max(0, d.Retry.Sub(now)),
	}
}

// spawn runs f in a goroutine and its result in the loop.
func (l *Limiter) spawn(timeout time.Duration, f func(ctx context.Context) func(now time.Time)) {
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		l.call(f(ctx))
	}()
}

func access(ctx context.Context, t store.Table, op quota.TableOp) (store.Row, error) {
	switch {
	case op.Value == nil:
		return t.Get(ctx, op.Key)
	case op.Version == 0:
		return t.Insert(ctx, op.Key, op.Value)
	default:
		return t.Update(ctx, op.Key, op.Value, op.Version)
	}
}

func (l *Limiter) tableDone(now time.Time, op quota.TableOp, row store.Row, err error) {
	err = l.node.TableDone(now, op, row, err)
	if (err != nil) != l.tableDown {
		l.tableDown = err != nil
		if l.tableDown {
			klog.ErrorS(err, "Slots row is not accessible; admission continues until the slot deadline")
		} else {
			klog.InfoS("Slots row is accessible again", "row", op.Key)
		}
	}
}

func (l *Limiter) refuseAll() {
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		for _, w := range a.waiters {
			w.done <- ErrClosed
		}
		a.waiters = nil
		a.mu.Unlock()
	}
}

func checked(err error, reply interface{ Validate() error }) error {
	if err != nil {
		return err
	}
	return reply.Validate()
}
