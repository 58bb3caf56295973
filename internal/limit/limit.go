// Package limit admits requests within the rate and burst of their workspace.
// It runs a quota.Node: it sends its messages, reads and writes the slots row,
// and queues requests that wait for tokens.
//
// For each request the caller calls Admit, waits for an endpoint, calls
// Charge.Check right before the first byte is sent, and Charge.Settle at the end,
// whether the request succeeded or not.
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

// Transport sends the quota messages to other entry processes. It should return
// an error as soon as a failure is known, instead of waiting for the deadline of
// the context.
type Transport interface {
	Deposit(ctx context.Context, node string, req quota.DepositRequest) (quota.DepositReply, error)
	Draw(ctx context.Context, node string, req quota.DrawRequest) (quota.DrawReply, error)
	Return(ctx context.Context, node string, req quota.ReturnRequest) (quota.ReturnReply, error)
}

// Options configures a Limiter.
type Options struct {
	// Node identifies the entry process of this VM. It stays the same after a
	// restart.
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

// Timeouts and intervals.
const (
	// DefaultMaxWait is long enough for a draw from a pool that doesn't answer
	// followed by draws from the other domains.
	DefaultMaxWait = 600 * time.Millisecond
	// drawTimeout is long enough for a pool to borrow from the other domains.
	drawTimeout    = 300 * time.Millisecond
	messageTimeout = time.Second
	tableTimeout   = 2 * time.Second
	// loopInterval is how often the loop checks for waiting requests to retry.
	loopInterval = 20 * time.Millisecond
	// prefetchInterval is the least time between draws in advance for a workspace.
	// It limits the number of messages.
	prefetchInterval = 100 * time.Millisecond
	// surplusInterval is how often unused tokens are returned.
	surplusInterval = 500 * time.Millisecond
	// denialTTL is how long the denial of one request also refuses requests for as
	// many or more tokens, so that a workspace above its rate causes few messages:
	// with 14 nodes its pool gets 56 draws/s.
	denialTTL = 250 * time.Millisecond
)

// ErrClosed is returned by a Limiter that was stopped.
var ErrClosed = errors.New("limit: closed")

// RefusedError reports why a request was not admitted. No tokens are charged.
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
	opts         Options
	clock        clock.Clock
	accounts     atomic.Pointer[map[string]*account]
	drawRequests chan *account
	calls        chan func(now time.Time)
	ctx          context.Context
	goroutines   sync.WaitGroup

	// The fields below are used only by the goroutine of run.
	node      *quota.Node
	openDraws map[quota.ID]chan<- quota.DrawReply
	waiting   map[*account]bool
	nextTick  time.Time
	nextSweep time.Time
	tableDown bool
}

// account is the state of one workspace at this node. Every request locks mu, so
// it is held only briefly.
type account struct {
	name string
	// queued is set while the account is in Limiter.drawRequests.
	queued atomic.Bool

	mu           sync.Mutex
	wallet       quota.Wallet
	waiters      []*waiter
	unsentRefund int64
	unsentSpent  []quota.Part // not yet reported to the lenders
	drawing      bool         // a draw for the first waiter is in progress
	nextPrefetch time.Time
	retryAt      time.Time
	lastDenial   quota.Denial
	deniedTokens int64 // tokens wanted by the request that was denied
	deniedAt     time.Time
	stats        Counters
}

type waiter struct {
	tokens     int64
	deadline   time.Time
	withdrawal quota.Withdrawal
	done       chan error
}

// Counters holds the admission counts of one workspace at this node.
type Counters struct {
	Admitted      int64
	Refused       int64
	ChargedTokens int64
	// RefundedTokens were refunded; the pool credits them up to its capacity.
	RefundedTokens int64
	ExpiredTokens  int64
}

// New starts a Limiter. The returned function stops it and waits for its
// goroutines. ReleaseSlots should be called before.
func New(opts Options) (*Limiter, func()) {
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		opts:         opts,
		clock:        opts.Clock,
		drawRequests: make(chan *account, 1024),
		calls:        make(chan func(now time.Time), 64),
		ctx:          ctx,
		node:         quota.NewNode(opts.Clock.Now(), opts.Node, opts.Incarnation, opts.Domain),
		openDraws:    make(map[quota.ID]chan<- quota.DrawReply),
		waiting:      make(map[*account]bool),
	}
	l.accounts.Store(&map[string]*account{})
	l.goroutines.Add(1)
	go l.run()
	return l, func() {
		cancel()
		l.goroutines.Wait()
	}
}

// SetConfig applies a configuration revision. All revisions from a confirmed one
// on have to be set in order: after a gap this node's shares stay empty until the
// revision is confirmed. confirmedRevision is a revision that every node in every
// domain that may hold slots has applied, including paused and unreachable nodes.
// A call with the current revision only updates confirmedRevision.
func (l *Limiter) SetConfig(cfg *spec.Config, confirmedRevision int64) {
	l.call(func(now time.Time) {
		l.node.SetConfig(now, cfg, confirmedRevision)
		l.setAccounts(cfg)
	})
}

// setAccounts keeps the accounts of known workspaces and adds or removes the
// others.
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

// SetMembers sets the live nodes of the own domain and, for each other domain,
// nodes that may be asked for tokens: its relays or its live nodes.
func (l *Limiter) SetMembers(local []string, pools map[string][]string) {
	l.call(func(now time.Time) {
		l.node.SetMembers(now, local, pools)
	})
}

// ProvedDead records that the process of a node up to an incarnation has ended:
// its control port refused a connection or a later incarnation answered there.
func (l *Limiter) ProvedDead(node string, incarnation uint64) {
	l.call(func(now time.Time) {
		l.node.ProvedDead(now, node, incarnation)
	})
}

// HandleDeposit answers the deposit request of a pool.
func (l *Limiter) HandleDeposit(ctx context.Context, req quota.DepositRequest) (quota.DepositReply, error) {
	if err := req.Validate(); err != nil {
		return quota.DepositReply{}, err
	}
	return query(ctx, l, func(now time.Time, out chan<- quota.DepositReply) {
		out <- l.node.HandleDeposit(now, req)
	})
}

// HandleDraw lends tokens to a node or to another domain's pool.
func (l *Limiter) HandleDraw(ctx context.Context, req quota.DrawRequest) (quota.DrawReply, error) {
	if err := req.Validate(); err != nil {
		return quota.DrawReply{}, err
	}
	return query(ctx, l, func(now time.Time, out chan<- quota.DrawReply) {
		reply, done := l.node.HandleDraw(now, req)
		if done {
			out <- reply
			return
		}
		l.openDraws[req.ID] = out
	})
}

// HandleReturn credits returned tokens.
func (l *Limiter) HandleReturn(ctx context.Context, req quota.ReturnRequest) (quota.ReturnReply, error) {
	if err := req.Validate(); err != nil {
		return quota.ReturnReply{}, err
	}
	return query(ctx, l, func(now time.Time, out chan<- quota.ReturnReply) {
		out <- l.node.HandleReturn(now, req)
	})
}

// ReleaseSlots releases all slots of this node and returns when the table
// confirms it, or with an error when ctx ends. It takes a little longer than
// quota.DepositorTerm, because pools may use this node's deposits until then.
func (l *Limiter) ReleaseSlots(ctx context.Context) error {
	l.call(func(now time.Time) {
		l.sweep(now, true)
		l.node.Leave(now)
	})
	for {
		left, err := query(ctx, l, func(_ time.Time, out chan<- bool) {
			out <- l.node.Left()
		})
		if err != nil {
			return fmt.Errorf("release slots: %w", err)
		}
		if left {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("release slots: %w", ctx.Err())
		case <-time.After(loopInterval):
		}
	}
}

// Snapshot is the state of a Limiter at one time.
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
	// Local is the number of tokens that this node can spend without a draw. Use
	// is its recent use in tokens per second.
	Local   int64
	Use     float64
	Waiting int
	// Denial is the last denial of a draw.
	Denial quota.Denial
}

// Snapshot returns the current state.
func (l *Limiter) Snapshot(ctx context.Context) (Snapshot, error) {
	return query(ctx, l, func(now time.Time, out chan<- Snapshot) {
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
				w.Waiting, w.Denial = len(a.waiters), a.lastDenial
				a.mu.Unlock()
			}
			s.Workspaces = append(s.Workspaces, w)
		}
		out <- s
	})
}

// call queues f to run in the loop. It doesn't wait until f has run.
func (l *Limiter) call(f func(now time.Time)) {
	select {
	case l.calls <- f:
	case <-l.ctx.Done():
	}
}

// query runs f in the loop and waits for the value that f sends to out.
func query[T any](ctx context.Context, l *Limiter, f func(now time.Time, out chan<- T)) (T, error) {
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

// run is the loop that owns the quota.Node.
func (l *Limiter) run() {
	defer l.goroutines.Done()
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.closeWaiters()
			return
		case f := <-l.calls:
			f(l.clock.Now())
		case a := <-l.drawRequests:
			l.drawFor(l.clock.Now(), a)
		case <-ticker.C:
			l.tick(l.clock.Now())
		}
		l.execute()
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

// sweep passes refunds, spent parts and surplus tokens of all accounts to the
// node. If all is set, it returns all tokens.
func (l *Limiter) sweep(now time.Time, all bool) {
	surplus := !now.Before(l.nextSweep)
	if surplus {
		l.nextSweep = now.Add(surplusInterval)
	}
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		refund := a.unsentRefund
		a.unsentRefund = 0
		for _, p := range a.unsentSpent {
			l.node.ReportSpent(now, a.name, p)
		}
		a.unsentSpent = a.unsentSpent[:0]
		var loans []quota.Loan
		switch {
		case all:
			loans = a.wallet.Drain(now)
		case surplus && len(a.waiters) == 0:
			loans = a.wallet.Surplus(now)
		}
		if len(a.waiters) > 0 {
			// requestDraw drops the request if the channel is full.
			l.waiting[a] = true
		}
		a.mu.Unlock()
		l.node.Refund(now, a.name, refund)
		for _, loan := range loans {
			l.node.ReturnLoan(now, loan)
		}
	}
}

// drawFor draws for an account and for all others in drawRequests. Draws in
// advance share messages. A draw for waiting requests has a message of its own,
// so that it doesn't wait until the pool has borrowed another workspace's tokens.
func (l *Limiter) drawFor(now time.Time, a *account) {
	var ahead []quota.DrawItem
	for a != nil {
		a.queued.Store(false)
		l.drawWaiting(now, a)
		if it, ok := a.prefetch(now); ok {
			ahead = append(ahead, it)
		}
		select {
		case a = <-l.drawRequests:
		default:
			a = nil
		}
	}
	if len(ahead) > 0 {
		l.node.Need(now, ahead...)
	}
}

// prefetch returns the tokens to draw in advance, if any.
func (a *account) prefetch(now time.Time) (quota.DrawItem, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.wallet.Prefetch(now)
	if n <= 0 || a.drawing || len(a.waiters) > 0 || now.Before(a.nextPrefetch) {
		return quota.DrawItem{}, false
	}
	a.nextPrefetch = now.Add(prefetchInterval)
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
	if a.drawing || now.Before(a.retryAt) {
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
		w.withdrawal = taken
		a.waiters = a.waiters[1:]
		w.done <- nil
	}
}

// execute sends the messages, runs the table operations and delivers the results
// that the node has collected.
func (l *Limiter) execute() {
	for {
		fx := l.node.TakeEffects()
		for _, m := range fx.Deposits {
			l.spawn(messageTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Deposit(ctx, m.To, m.Msg)
				err = validated(err, reply)
				return func(now time.Time) { l.node.DepositDone(now, m.To, reply, err) }
			})
		}
		for _, m := range fx.Draws {
			l.spawn(drawTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Draw(ctx, m.To, m.Msg)
				err = validated(err, reply)
				return func(now time.Time) { l.node.DrawDone(now, m.To, m.Msg.ID.Seq, reply, err) }
			})
		}
		for _, m := range fx.Returns {
			l.spawn(messageTimeout, func(ctx context.Context) func(now time.Time) {
				reply, err := l.opts.Transport.Return(ctx, m.To, m.Msg)
				err = validated(err, reply)
				return func(time.Time) { l.node.ReturnDone(m.To, reply, err) }
			})
		}
		for _, op := range fx.Table {
			l.spawn(tableTimeout, func(ctx context.Context) func(now time.Time) {
				row, err := accessTable(ctx, l.opts.Table, op)
				return func(now time.Time) { l.tableDone(now, op, row, err) }
			})
		}
		for _, r := range fx.Replies {
			if out, ok := l.openDraws[r.ID]; ok {
				delete(l.openDraws, r.ID)
				out <- r
			}
		}
		if len(fx.Grants) == 0 && len(fx.Denials) == 0 {
			return
		}
		l.applyDraws(l.clock.Now(), fx)
	}
}

// applyDraws adds granted loans to the wallets and applies denials.
func (l *Limiter) applyDraws(now time.Time, fx quota.Effects) {
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

// deny refuses the first waiting request if the retry time is not before its
// deadline. Otherwise the draw is repeated at the retry time.
func (a *account) deny(now time.Time, d quota.Denial) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drawing = false
	a.lastDenial = d
	if len(a.waiters) == 0 {
		return
	}
	w := a.waiters[0]
	a.deniedTokens, a.deniedAt = w.tokens, now
	if d.Retry.Before(w.deadline) {
		a.retryAt = d.Retry
		return
	}
	a.waiters = a.waiters[1:]
	w.done <- a.refusal(now, w.tokens, d)
}

// refusal counts a refusal and returns its error. The caller holds mu.
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

// spawn runs f in a goroutine and the function that it returns in the loop.
func (l *Limiter) spawn(timeout time.Duration, f func(ctx context.Context) func(now time.Time)) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		l.call(f(ctx))
	}()
}

func accessTable(ctx context.Context, t store.Table, op quota.TableOp) (store.Row, error) {
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

// closeWaiters ends all waits when the Limiter stops.
func (l *Limiter) closeWaiters() {
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		for _, w := range a.waiters {
			w.done <- ErrClosed
		}
		a.waiters = nil
		a.mu.Unlock()
	}
}

func validated(err error, reply interface{ Validate() error }) error {
	if err != nil {
		return err
	}
	return reply.Validate()
}
