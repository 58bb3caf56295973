package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Effects is what a Node wants done. The runner takes it after every call.
type Effects struct {
	Deposits []Send[DepositRequest]
	Draws    []Send[DrawRequest]
	Returns  []Send[ReturnRequest]
	Table    []TableOp
	// Replies answer draws that HandleDraw left open.
	Replies []DrawReply
	Grants  []Loan
	Denials []Denial
}

// Send is a message to a node.
type Send[T any] struct {
	To  string
	Msg T
}

// Denial answers a Need that can't be met now.
type Denial struct {
	Workspace string
	Reason    Reason
	Available int64
	// Retry is when the need may be met.
	Retry time.Time
}

// Intervals of a Node.
const (
	// TickEvery is how often Tick should be called.
	TickEvery = 100 * time.Millisecond
	// returnEvery is how long returns wait for a deposit reply to travel with.
	returnEvery = DepositEvery + DepositEvery/5
	// returnLeast is the least time between returns that are sent early, which
	// they are when they hold one part in returnParts of a workspace's burst.
	returnLeast = 20 * time.Millisecond
	returnParts = 32
	pruneEvery  = time.Minute
	// askAgain is how long the answer of a domain without tokens counts. It
	// doubles with each such answer, up to 16 times.
	askAgain = 50 * time.Millisecond
	// askAtOnce is how many domains are asked at the same time.
	askAtOnce = 8
	// askLost is how long a domain that didn't answer is left alone.
	askLost = 500 * time.Millisecond
	// borrowPatience bounds the wait for other domains; a wait to another
	// region and back fits into it.
	borrowPatience = 200 * time.Millisecond
)

// Node is the quota state of one entry process. It is not safe for concurrent
// use: one goroutine owns it.
type Node struct {
	self    ownerID
	domain  string
	slots   *Slots
	shares  *Shares
	members []string            // live nodes of the own domain, with this one
	pools   map[string][]string // nodes of other domains
	spaces  map[string]*space
	seq     uint64
	replies replies
	credits credits
	pruned  time.Time
	epochs  map[string]uint64    // of other nodes, for refunds
	lost    map[string]time.Time // pools that did not answer, until when they are left alone
	peers   map[string]*peer     // depositors, as a pool sees them
	askers  map[string]*asker    // pools, as a depositor sees them
	set     []string             // workspaces whose pool this node is
	setID   uint64
	draws   map[uint64]*draw
	returns map[lender]*bundle
	fx      Effects
	faults  *faults
	credit  func(workspace string, tokens float64) // of refunds, for tests
}

// space is the state of one workspace.
type space struct {
	name      string
	bucket    bucket
	borrowed  Wallet
	borrowing meter
	home      string // pool node in the own domain
	before    string // the pool node before it, which may still hold deposits
	beforeBy  time.Time
	lentTo    ownerID
	lentUntil time.Time
	waiting   []*wish
	asked     int             // borrow requests that are out
	lost      bool            // a domain did not answer
	tried     map[string]bool // domains asked for the present wishes
	empty     map[string]int  // answers in a row without tokens
	retry     map[string]time.Time
	spare     map[string]int64 // what other domains said to have left, until they are asked again
	left      map[string]int64 // the same with refunds sent since, as an estimate
}

// lender is a pool in one of its epochs.
type lender struct {
	node  string
	epoch uint64
}

// bundle is what waits to be returned to a lender.
type bundle struct {
	items  []ReturnItem
	since  time.Time // when the first of them was added
	urgent bool
	sent   time.Time
}

// NewNode returns the state of a process that starts now. The incarnation
// differs from that of every earlier process of the node.
func NewNode(now time.Time, node string, incarnation uint64, domain string) *Node {
	n := &Node{
		self: ownerID{
			node:        node,
			incarnation: incarnation,
		},
		domain:  domain,
		slots:   NewSlots(now, node, incarnation, domain),
		shares:  NewShares(domain),
		members: []string{node},
		pools:   make(map[string][]string),
		spaces:  make(map[string]*space),
		epochs:  make(map[string]uint64),
		lost:    make(map[string]time.Time),
		peers:   make(map[string]*peer),
		askers:  make(map[string]*asker),
		draws:   make(map[uint64]*draw),
		returns: make(map[lender]*bundle),
		credit:  func(string, float64) {},
	}
	n.credits.epoch = incarnation << 16
	n.setFaults(&faults{})
	return n
}

func (n *Node) setFaults(f *faults) {
	n.faults, n.slots.faults, n.shares.faults = f, f, f
}

// Take returns and clears the collected effects.
func (n *Node) Take() Effects {
	fx := n.fx
	n.fx = Effects{}
	return fx
}

// SetConfig applies a revision; see Shares.SetConfig for confirmed.
func (n *Node) SetConfig(now time.Time, cfg *spec.Config, confirmed int64) {
	changed := n.shares.SetConfig(now, cfg, confirmed)
	if cfg.Revision == n.shares.revision {
		n.slots.SetTerm(time.Duration(cfg.Limits.SlotTerm))
	}
	for _, name := range changed {
		if sp := n.spaces[name]; sp != nil {
			sp.bucket.settle(now)
			sp.bucket.level = 0
		}
	}
	n.refresh(now)
}

// SetMembers sets the live nodes of the own domain and, for each other domain,
// nodes that may be asked for tokens.
func (n *Node) SetMembers(now time.Time, local []string, pools map[string][]string) {
	members := slices.Clone(local)
	if !slices.Contains(members, n.self.node) {
		members = append(members, n.self.node)
	}
	slices.Sort(members)
	n.members = slices.Compact(members)
	n.pools = make(map[string][]string, len(pools))
	for d, nodes := range pools {
		if d != n.domain && len(nodes) > 0 {
			n.pools[d] = slices.Clone(nodes)
		}
	}
	n.refresh(now)
}

// ProvedDead notes that the process of a node up to an incarnation has ended.
func (n *Node) ProvedDead(now time.Time, node string, incarnation uint64) {
	n.slots.ProvedDead(now, node, incarnation)
}

// refresh brings the workspaces in line with configuration and membership.
func (n *Node) refresh(now time.Time) {
	for name := range n.shares.items {
		sp := n.spaces[name]
		if sp == nil {
			sp = &space{
				name:  name,
				tried: make(map[string]bool),
				empty: make(map[string]int),
				retry: make(map[string]time.Time),
				spare: make(map[string]int64),
				left:  make(map[string]int64),
			}
			sp.bucket.faults = n.faults
			n.spaces[name] = sp
		}
		n.setHome(now, sp)
	}
	n.applyShares(now)
}

// applyShares sets rates and caps, and the set of workspaces to pool.
func (n *Node) applyShares(now time.Time) {
	var set []string
	for name, sp := range n.spaces {
		sh := n.shares.items[name]
		if sh == nil {
			sp.bucket.setShare(now, 0, 0)
			if len(sp.bucket.loans) == 0 && len(sp.waiting) == 0 && sp.asked == 0 && now.After(sp.lentUntil) {
				delete(n.spaces, name)
			}
			continue
		}
		if rate, limit := sh.perSlot(); rate != sp.bucket.slotRate || limit != sp.bucket.slotCap {
			sp.bucket.setShare(now, rate, limit)
		}
		if sp.home == n.self.node && sh.fraction > 0 {
			set = append(set, name)
		}
	}
	slices.Sort(set)
	if !slices.Equal(set, n.set) {
		n.set = set
		n.setID++
	}
	n.updateOwn(now)
}

func (n *Node) updateOwn(now time.Time) {
	count, until := n.slots.Usable(now)
	for _, sp := range n.spaces {
		if sp.bucket.ownSlots != count || !sp.bucket.ownUntil.Equal(until) {
			sp.bucket.setOwn(now, count, until)
		}
	}
}

// TableDone takes the outcome of a table operation.
func (n *Node) TableDone(now time.Time, op TableOp, row store.Row, err error) error {
	err = n.slots.Done(now, op, row, err)
	n.updateOwn(now)
	n.stepSlots(now)
	return err
}

// Leave starts giving the slots back; Left reports that it is done.
func (n *Node) Leave(now time.Time) {
	n.slots.Leave(now)
	n.updateOwn(now)
	n.stepSlots(now)
}

// Left reports whether the table shows that all slots were given back.
func (n *Node) Left() bool {
	return n.slots.Left()
}

func (n *Node) stepSlots(now time.Time) {
	if op, ok := n.slots.Step(now, n.members); ok {
		n.fx.Table = append(n.fx.Table, op)
	}
	n.updateOwn(now)
}

// Tick does what is due. It should be called every TickEvery.
func (n *Node) Tick(now time.Time) {
	n.stepSlots(now)
	n.shares.Step(now)
	n.applyShares(now)
	n.askDeposits(now)
	for _, name := range slices.Sorted(maps.Keys(n.spaces)) {
		sp := n.spaces[name]
		if len(sp.waiting) > 0 && now.Sub(sp.waiting[0].since) >= borrowPatience {
			sp.lost = true
			n.finishBorrow(now, sp)
		}
		for _, l := range sp.borrowed.Surplus(now) {
			n.GiveBack(now, l)
		}
	}
	n.sendReturns(now)
	if now.Sub(n.pruned) >= pruneEvery {
		n.prune(now)
	}
	for seq, d := range n.draws {
		if now.Sub(d.at) > DepositTerm {
			delete(n.draws, seq)
			if d.borrower != nil {
				d.borrower.asked--
			}
		}
	}
}

// prune forgets nodes that are gone; VMs are replaced all the time.
func (n *Node) prune(now time.Time) {
	n.pruned = now
	known := make(map[string]bool)
	for _, name := range n.members {
		known[name] = true
	}
	for _, nodes := range n.pools {
		for _, name := range nodes {
			known[name] = true
		}
	}
	maps.DeleteFunc(n.epochs, func(name string, _ uint64) bool { return !known[name] })
	maps.DeleteFunc(n.lost, func(name string, _ time.Time) bool { return !known[name] })
	maps.DeleteFunc(n.askers, func(name string, _ *asker) bool { return !known[name] })
	n.slots.prune(now)
}

func (n *Node) id() ID {
	n.seq++
	return ID{
		Node:        n.self.node,
		Incarnation: n.self.incarnation,
		Seq:         n.seq,
	}
}

// queue collects an item. Most items travel with the next deposit reply to the
// lender. A bundle is sent by itself when it grows old, or at once when it holds
// a sizeable part of a workspace's burst: until then that part can't be lent or
// refilled.
func (n *Node) queue(now time.Time, to lender, it ReturnItem) {
	b := n.returns[to]
	if b == nil {
		b = &bundle{}
		n.returns[to] = b
	}
	if len(b.items) == 0 {
		b.since = now
	}
	sum := it.Tokens
	for _, o := range b.items {
		if o.Workspace == it.Workspace {
			sum += o.Tokens
		}
	}
	b.items = append(b.items, it)
	sh := n.shares.items[it.Workspace]
	if sh != nil && float64(sum) >= sh.burst/returnParts {
		b.urgent = true
		if now.Sub(b.sent) >= returnLeast {
			n.sendReturn(now, to, b)
		}
	}
}

func (n *Node) sendReturn(now time.Time, to lender, b *bundle) {
	n.fx.Returns = append(n.fx.Returns, Send[ReturnRequest]{
		To: to.node,
		Msg: ReturnRequest{
			ID:     n.id(),
			Epoch:  to.epoch,
			Items:  b.items,
			Passed: !slices.Contains(n.members, to.node),
		},
	})
	b.items, b.urgent, b.sent = nil, false, now
}

// sendReturns sends what is due, in a fixed order, which keeps runs with the
// same inputs alike.
func (n *Node) sendReturns(now time.Time) {
	all := slices.SortedFunc(maps.Keys(n.returns), func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.epoch, b.epoch))
	})
	for _, to := range all {
		b := n.returns[to]
		switch {
		case len(b.items) == 0 && now.Sub(b.sent) > DepositTerm:
			delete(n.returns, to)
		case len(b.items) > 0 && (b.urgent || now.Sub(b.since) >= returnEvery):
			n.sendReturn(now, to, b)
		}
	}
}

// credited books returned items, which the caller has found to be new.
func (n *Node) credited(now time.Time, items []ReturnItem, passed bool) {
	for _, it := range items {
		sp := n.spaces[it.Workspace]
		switch {
		case sp == nil:
		case it.Loan != 0:
			sp.bucket.repay(now, it.Loan, it.Tokens, it.Spent)
		case sp.home != n.self.node && passed:
			// A relay was addressed; its domain's pool has the room.
			n.queueRefund(now, sp.home, it.Workspace, it.Tokens)
		default:
			n.creditHere(now, sp, it.Tokens, !passed)
		}
	}
}
