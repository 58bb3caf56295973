package quota

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// fleet runs nodes over a simulated network, table and clocks.
type fleet struct {
	now      time.Duration
	events   events
	eventSeq uint64
	rng      *rand.Rand
	nodes    []*simNode
	domains  []string
	faults   *faults
	configs  []*spec.Config // by revision-1
	oracle   map[string]*oracle

	delay           time.Duration // one way, plus up to jitter
	jitter          time.Duration
	loss, duplicate float64 // probabilities for each message
	cut             map[[2]string]bool
	tableDown       map[string]bool
	tableLoss       float64 // probability that a table answer is lost
	rows            map[string]store.Row

	relays int // known nodes of each other domain; 0 means all

	messages, bytes int
	size            func(v any) int
}

// simNode is an entry process. Its clock has its own offset and runs up to 8%
// slow. It is never fast, since a fast clock refills more than the rate.
type simNode struct {
	f           *fleet
	name        string
	domain      string
	incarnation uint64
	node        *Node
	wallets     map[string]*Wallet
	alive       bool
	pausedTill  time.Duration
	offset      time.Duration
	speed       float64
	revision    int
	granted     func(ws string)
	denied      func(d Denial)
	staleClock  bool
	openDraws   map[ID]func(DrawReply)
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// oracle checks the limit of one workspace. Each meter tracks the largest excess
// of net charges over the refill of all windows since its start; it may not
// exceed the largest burst in effect since then.
type oracle struct {
	at     time.Duration
	rate   float64
	meters []*excessMeter
	past   []limits
	// refunds are the tokens refunded and not credited yet. Credits beyond them
	// don't lower the excess.
	refunds   float64
	violation string
	peak      float64 // largest excess, as a fraction of the burst
}

type excessMeter struct {
	sum, burst float64
	since      time.Duration
}

func (o *oracle) advance(now time.Duration) {
	for _, m := range o.meters {
		m.sum = max(0, m.sum-o.rate*(now-o.at).Seconds())
	}
	o.at = now
}

func (o *oracle) add(now time.Duration, tokens float64, what string) {
	o.advance(now)
	for _, m := range o.meters {
		m.sum = max(0, m.sum+tokens)
		o.peak = max(o.peak, m.sum/m.burst)
		if m.sum > m.burst+1e-3 && o.violation == "" {
			o.violation = fmt.Sprintf("at %v after %s: charges exceed rate x window by %.3f, burst is %.0f (windows from %v on)", now, what, m.sum, m.burst, m.since)
		}
	}
}

func (o *oracle) refund(now time.Duration, tokens float64) {
	n := min(tokens, o.refunds)
	o.refunds -= n
	o.add(now, -n, "refund")
}

// setLimits sets the largest rate and burst that any node may use from now on.
func (o *oracle) setLimits(now time.Duration, rate, burst float64) {
	o.advance(now)
	o.rate = rate
	for _, m := range o.meters {
		m.burst = max(m.burst, burst)
	}
	o.meters = append(o.meters, &excessMeter{
		burst: burst,
		since: now,
	})
}

func newFleet(seed uint64, domains, perDomain int, f *faults) *fleet {
	fl := &fleet{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		faults:    f,
		oracle:    make(map[string]*oracle),
		delay:     1500 * time.Microsecond,
		cut:       make(map[[2]string]bool),
		tableDown: make(map[string]bool),
		rows:      make(map[string]store.Row),
	}
	for d := range domains {
		fl.domains = append(fl.domains, fmt.Sprintf("d%d", d))
	}
	for i := range domains * perDomain {
		fl.nodes = append(fl.nodes, &simNode{
			f:      fl,
			name:   fmt.Sprintf("n%02d", i),
			domain: fl.domains[i%domains],
			speed:  1,
		})
	}
	return fl
}

func (f *fleet) after(d time.Duration, run func()) {
	f.eventSeq++
	heap.Push(&f.events, event{
		at:  f.now + d,
		seq: f.eventSeq,
		run: run,
	})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (s *simNode) clock() time.Time {
	return time.Unix(1_700_000_000, 0).Add(s.offset + time.Duration(float64(s.f.now)*s.speed))
}

// at runs a step of this incarnation after d. A paused process runs it after the
// pause, possibly with a clock reading from before.
func (s *simNode) at(d time.Duration, step func(now time.Time)) {
	inc := s.incarnation
	var stale time.Time
	var run func()
	run = func() {
		if !s.alive || s.incarnation != inc {
			return
		}
		if s.f.now < s.pausedTill {
			if s.staleClock && stale.IsZero() && s.f.rng.IntN(4) == 0 {
				stale = s.clock()
			}
			s.f.after(s.pausedTill-s.f.now, run)
			return
		}
		now := s.clock()
		if !stale.IsZero() {
			now = stale
		}
		step(now)
		s.execute()
	}
	s.f.after(d, run)
}

func (s *simNode) start() {
	s.incarnation++
	s.alive = true
	s.pausedTill = 0
	s.wallets = make(map[string]*Wallet)
	s.openDraws = make(map[ID]func(DrawReply))
	now := s.clock()
	s.node = NewNode(now, s.name, s.incarnation, s.domain)
	s.node.setFaults(s.f.faults)
	s.node.onCredit = func(ws string, tokens float64) {
		s.f.oracle[ws].refund(s.f.now, tokens)
	}
	s.revision = 0
	s.applyConfigs()
	s.setMembers(s.f.alive())
	s.tick()
}

func (s *simNode) tick() {
	s.at(0, func(now time.Time) { s.node.Tick(now) })
	inc := s.incarnation
	s.f.after(TickInterval, func() {
		if s.alive && s.incarnation == inc {
			s.tick()
		}
	})
}

// applyConfigs applies the revisions since the last call. A new process starts
// with the newest one.
func (s *simNode) applyConfigs() {
	from := s.revision
	if from == 0 {
		from = len(s.f.configs) - 1
	}
	for r := from; r < len(s.f.configs); r++ {
		s.revision = r + 1
		s.node.SetConfig(s.clock(), s.f.configs[r], s.f.confirmed())
	}
	s.node.SetConfig(s.clock(), s.f.configs[s.revision-1], s.f.confirmed())
	s.f.updateOracle()
}

// confirmed is the lowest revision that a live process holds.
func (f *fleet) confirmed() int64 {
	low := len(f.configs)
	for _, s := range f.nodes {
		if s.alive && s.revision > 0 {
			low = min(low, s.revision)
		}
	}
	return int64(low)
}

// updateOracle passes the rates and bursts that nodes may use to the oracles. A
// decrease takes effect DepositorTerm later, because loans made before it may be
// spent until their deadline.
func (f *fleet) updateOracle() {
	for i, w := range f.configs[0].Workspaces {
		o := f.oracle[w.Name]
		if o == nil {
			o = &oracle{}
			f.oracle[w.Name] = o
		}
		c := limits{
			at: f.now,
		}
		for _, s := range f.nodes {
			if s.alive && s.revision > 0 {
				w := f.configs[s.revision-1].Workspaces[i]
				c.rate, c.burst = max(c.rate, w.RateTokensPerSecond), max(c.burst, float64(w.BurstTokens))
			}
		}
		if n := len(o.past); n == 0 || o.past[n-1].rate != c.rate || o.past[n-1].burst != c.burst {
			o.past = append(o.past, c)
			f.after(DepositorTerm, f.updateOracle)
		}
		for len(o.past) > 1 && o.past[1].at+DepositorTerm <= f.now {
			o.past = o.past[1:]
		}
		for _, h := range o.past {
			c.rate, c.burst = max(c.rate, h.rate), max(c.burst, h.burst)
		}
		if n := len(o.meters); n == 0 || o.rate != c.rate || o.meters[n-1].burst != c.burst {
			o.setLimits(f.now, c.rate, c.burst)
		}
	}
}

type limits struct {
	at          time.Duration
	rate, burst float64
}

func (f *fleet) alive() []*simNode {
	var out []*simNode
	for _, s := range f.nodes {
		if s.alive {
			out = append(out, s)
		}
	}
	return out
}

func (s *simNode) setMembers(seen []*simNode) {
	var local []string
	pools := make(map[string][]string)
	for _, o := range seen {
		if o.domain == s.domain {
			local = append(local, o.name)
		} else if s.f.relays == 0 || len(pools[o.domain]) < s.f.relays {
			pools[o.domain] = append(pools[o.domain], o.name)
		}
	}
	s.node.SetMembers(s.clock(), local, pools)
	s.execute()
}

func (s *simNode) wallet(ws string) *Wallet {
	w := s.wallets[ws]
	if w == nil {
		w = &Wallet{
			ignoreDeadlines: s.f.faults.ignoreSpendBy,
		}
		s.wallets[ws] = w
	}
	return w
}

// spend charges taken tokens after up to 20 ms, unless their deadline has passed
// by then, and refunds a part of them after the given time.
func (s *simNode) spend(ws string, tokens int64, taken Withdrawal, refund int64, after time.Duration) {
	s.at(time.Duration(s.f.rng.IntN(20))*time.Millisecond, func(time.Time) {
		// Read the clock again, as Charge.Check in package limit does.
		if !s.clock().Before(taken.SpendBy) && !s.f.faults.ignoreSpendBy {
			return
		}
		s.f.oracle[ws].add(s.f.now, float64(tokens), "charge at "+s.name)
		for _, p := range taken.Parts {
			s.node.ReportSpent(s.clock(), ws, p)
		}
		if refund > 0 {
			s.at(after, func(now time.Time) {
				s.f.oracle[ws].refunds += float64(refund)
				s.node.Refund(now, ws, refund)
			})
		}
	})
}

// message delivers a message subject to delay, loss, duplication and partitions.
func (f *fleet) message(from, to *simNode, v any, deliver func()) {
	if f.size != nil {
		f.messages++
		f.bytes += f.size(v)
	}
	copies := 1
	if f.rng.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		d := f.delay
		if f.jitter > 0 {
			d += time.Duration(f.rng.Int64N(int64(f.jitter)))
			if f.rng.IntN(10) == 0 {
				d += time.Duration(f.rng.Int64N(int64(6 * time.Second)))
			}
		}
		lost := f.rng.Float64() < f.loss
		f.after(d, func() {
			if !lost && !f.cut[[2]string{from.domain, to.domain}] {
				deliver()
			}
		})
	}
}

var errLost = errors.New("no answer")

// call is a remote call with a timeout at the caller.
func call[Q, R any](s *simNode, to string, req Q, handle func(r *simNode, now time.Time, answer func(R)), done func(now time.Time, reply R, err error)) {
	f := s.f
	i := slices.IndexFunc(f.nodes, func(o *simNode) bool { return o.name == to })
	peer := f.nodes[i]
	f.message(s, peer, req, func() {
		peer.at(0, func(now time.Time) {
			handle(peer, now, func(reply R) {
				f.message(peer, s, reply, func() {
					s.at(0, func(now time.Time) { done(now, reply, nil) })
				})
			})
		})
	})
	s.at(300*time.Millisecond, func(now time.Time) {
		var none R
		done(now, none, errLost)
	})
}

func (s *simNode) execute() {
	fx := s.node.TakeEffects()
	if reflect.DeepEqual(fx, Effects{}) {
		return
	}
	for _, m := range fx.Deposits {
		call(s, m.To, m.Msg,
			func(r *simNode, now time.Time, answer func(DepositReply)) { answer(r.node.HandleDeposit(now, m.Msg)) },
			func(now time.Time, reply DepositReply, err error) { s.node.DepositDone(now, m.To, reply, err) })
	}
	for _, m := range fx.Draws {
		call(s, m.To, m.Msg,
			func(r *simNode, now time.Time, answer func(DrawReply)) {
				reply, done := r.node.HandleDraw(now, m.Msg)
				if done {
					answer(reply)
					return
				}
				r.openDraws[m.Msg.ID] = answer
			},
			func(now time.Time, reply DrawReply, err error) {
				s.node.DrawDone(now, m.To, m.Msg.ID.Seq, reply, err)
			})
	}
	for _, m := range fx.Returns {
		call(s, m.To, m.Msg,
			func(r *simNode, now time.Time, answer func(ReturnReply)) { answer(r.node.HandleReturn(now, m.Msg)) },
			func(_ time.Time, reply ReturnReply, err error) { s.node.ReturnDone(m.To, reply, err) })
	}
	for _, op := range fx.Table {
		s.accessTable(op)
	}
	for _, r := range fx.Replies {
		if answer := s.openDraws[r.ID]; answer != nil {
			delete(s.openDraws, r.ID)
			answer(r)
		}
	}
	for _, g := range fx.Grants {
		s.wallet(g.Workspace).Add(g)
	}
	for _, g := range fx.Grants {
		if s.granted != nil {
			s.granted(g.Workspace)
		}
	}
	for _, d := range fx.Denials {
		if s.denied != nil {
			s.denied(d)
		}
	}
}

// accessTable runs a table operation. Its reply may be lost, and it may then take
// effect long after the caller has given up.
func (s *simNode) accessTable(op TableOp) {
	f := s.f
	answer := func(row store.Row, err error) {
		s.at(2*time.Millisecond, func(now time.Time) { _ = s.node.TableDone(now, op, row, err) })
	}
	if f.tableDown[s.domain] || f.tableDown[s.name] {
		answer(store.Row{}, store.ErrUnavailable)
		return
	}
	d := 2 * time.Millisecond
	lost := f.rng.Float64() < f.tableLoss
	if lost && f.rng.IntN(2) == 0 {
		// The operation takes effect after the caller has given up.
		d = time.Duration(f.rng.Int64N(int64(30 * time.Second)))
	}
	f.after(d, func() {
		row, err := f.apply(op)
		if !lost {
			answer(row, err)
		}
	})
	if lost {
		s.at(50*time.Millisecond, func(now time.Time) {
			err := store.ErrUnknown
			if op.Value == nil {
				err = store.ErrUnavailable
			}
			_ = s.node.TableDone(now, op, store.Row{}, err)
		})
	}
}

func (f *fleet) apply(op TableOp) (store.Row, error) {
	row, ok := f.rows[op.Key]
	switch {
	case op.Value == nil && !ok:
		return store.Row{}, store.ErrNotFound
	case op.Value == nil:
		return row, nil
	case row.Version != op.Version:
		return store.Row{}, store.ErrConflict
	}
	row = store.Row{
		Key:     op.Key,
		Value:   op.Value,
		Version: op.Version + 1,
	}
	f.rows[op.Key] = row
	return row, nil
}

func (f *fleet) violation() string {
	for _, w := range f.configs[0].Workspaces {
		if o := f.oracle[w.Name]; o.violation != "" {
			return w.Name + " " + o.violation
		}
	}
	return ""
}
