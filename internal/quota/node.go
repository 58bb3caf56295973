package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Effects are the messages, table operations and results that a Node has
// collected. The caller has to take and execute them after every call.
type Effects struct {
	Deposits []Send[DepositRequest]
	Draws    []Send[DrawRequest]
	Returns  []Send[ReturnRequest]
	Table    []TableOp
	// Replies are the replies to draws for which HandleDraw returned no reply.
	Replies []DrawReply
	Grants  []Loan
	Denials []Denial
}

// Send is a message and the node that it is addressed to.
type Send[T any] struct {
	To  string
	Msg T
}

// Denial is the result of a Need that can't be met now.
type Denial struct {
	Workspace string
	Reason    Reason
	Available int64
	// Retry is the time from which a new attempt may succeed.
	Retry time.Time
}

// Intervals of a Node.
const (
	// TickInterval is how often Tick should be called.
	TickInterval = 100 * time.Millisecond
	// maxReturnDelay is how long returns wait for a deposit reply that can carry
	// them.
	maxReturnDelay = DepositInterval + DepositInterval/5
	// minReturnInterval is the least time between returns that are sent early.
	// Returns are sent early when they hold at least 1/urgentReturnDivisor of a
	// workspace's burst.
	minReturnInterval   = 20 * time.Millisecond
	urgentReturnDivisor = 32
	pruneInterval       = time.Minute
	// emptyRetryDelay is how long a domain isn't asked again after a reply without
	// tokens. It doubles with each such reply, up to 16 times this value.
	emptyRetryDelay = 50 * time.Millisecond
	// maxParallelBorrows is how many domains are asked at the same time.
	maxParallelBorrows = 8
	// unreachableRetryDelay is how long a domain or pool that didn't answer isn't
	// asked again.
	unreachableRetryDelay = 500 * time.Millisecond
	// borrowTimeout bounds the wait for other domains. A round trip to another
	// region fits into it.
	borrowTimeout = 200 * time.Millisecond
)

// Node is the quota state of one entry process. It is not safe for concurrent
// use: one goroutine owns it.
type Node struct {
	self             ownerID
	domain           string
	slots            *Slots
	shares           *Shares
	members          []string            // live nodes of the own domain, including this one
	pools            map[string][]string // nodes of other domains
	workspaces       map[string]*workspaceState
	seq              uint64
	replies          replyCache
	received         returnFilter
	prunedAt         time.Time
	epochs           map[string]uint64         // current epochs of other nodes, for refunds
	unreachableUntil map[string]time.Time      // pools that did not answer, and until when they aren't asked again
	depositors       map[string]*depositor     // by node, for the workspaces that this node pools
	targets          map[string]*depositTarget // by pool node, for the slots that this node deposits
	pooled           []string                  // workspaces for which this node is the pool
	pooledID         uint64
	draws            map[uint64]*draw
	returns          map[lender]*returnBatch
	effects          Effects
	faults           *faults
	onCredit         func(workspace string, tokens float64) // called for each credited refund; for tests
}

// workspaceState is the state of one workspace.
type workspaceState struct {
	name              string
	bucket            bucket
	borrowed          Wallet
	borrowing         meter
	pool              string // the pool node of the own domain
	formerPool        string // the previous pool node, which may still hold deposits
	formerPoolUntil   time.Time
	depositedWith     ownerID
	depositedUntil    time.Time
	waiting           []*pendingItem
	openBorrows       int             // borrow requests without a reply
	domainUnreachable bool            // a domain did not answer
	tried             map[string]bool // domains asked for the items in waiting
	emptyReplies      map[string]int  // consecutive replies without tokens, by domain
	retryAt           map[string]time.Time
	available         map[string]int64 // available tokens that other domains reported, until they are asked again
	estimated         map[string]int64 // last reported available tokens plus the refunds sent since, by domain
}

// lender is a pool and its epoch; a pool that no longer knows which returns it
// has credited starts a new epoch.
type lender struct {
	node  string
	epoch uint64
}

// returnBatch collects the items to return to a lender.
type returnBatch struct {
	items    []ReturnItem
	oldestAt time.Time // when the first item was added
	urgent   bool
	sentAt   time.Time
}

// NewNode returns the state of a process that starts now. The incarnation
// differs from that of every earlier process of the node.
func NewNode(now time.Time, node string, incarnation uint64, domain string) *Node {
	n := &Node{
		self: ownerID{
			node:        node,
			incarnation: incarnation,
		},
		domain:           domain,
		slots:            NewSlots(now, node, incarnation, domain),
		shares:           NewShares(domain),
		members:          []string{node},
		pools:            make(map[string][]string),
		workspaces:       make(map[string]*workspaceState),
		epochs:           make(map[string]uint64),
		unreachableUntil: make(map[string]time.Time),
		depositors:       make(map[string]*depositor),
		targets:          make(map[string]*depositTarget),
		draws:            make(map[uint64]*draw),
		returns:          make(map[lender]*returnBatch),
		onCredit:         func(string, float64) {},
	}
	n.received.epoch = incarnation << 16
	n.setFaults(&faults{})
	return n
}

func (n *Node) setFaults(f *faults) {
	n.faults, n.slots.faults, n.shares.faults = f, f, f
}

// TakeEffects returns and clears the collected effects.
func (n *Node) TakeEffects() Effects {
	fx := n.effects
	n.effects = Effects{}
	return fx
}

// SetConfig applies a revision; see Shares.SetConfig for confirmed.
func (n *Node) SetConfig(now time.Time, cfg *spec.Config, confirmed int64) {
	changed := n.shares.SetConfig(now, cfg, confirmed)
	if cfg.Revision == n.shares.revision {
		n.slots.SetTerm(time.Duration(cfg.Limits.SlotTerm))
	}
	for _, name := range changed {
		if ws := n.workspaces[name]; ws != nil {
			ws.bucket.advance(now)
			ws.bucket.level = 0
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

// ProvedDead records that the process of a node up to an incarnation has ended.
func (n *Node) ProvedDead(now time.Time, node string, incarnation uint64) {
	n.slots.ProvedDead(now, node, incarnation)
}

// refresh adds new workspaces and applies the current configuration and members
// to all of them.
func (n *Node) refresh(now time.Time) {
	for name := range n.shares.byWorkspace {
		ws := n.workspaces[name]
		if ws == nil {
			ws = &workspaceState{
				name:         name,
				tried:        make(map[string]bool),
				emptyReplies: make(map[string]int),
				retryAt:      make(map[string]time.Time),
				available:    make(map[string]int64),
				estimated:    make(map[string]int64),
			}
			ws.bucket.faults = n.faults
			n.workspaces[name] = ws
		}
		n.updatePool(now, ws)
	}
	n.applyShares(now)
}

// applyShares sets the rates and capacities of the buckets and the set of
// workspaces for which this node is the pool.
func (n *Node) applyShares(now time.Time) {
	var set []string
	for name, ws := range n.workspaces {
		sh := n.shares.byWorkspace[name]
		if sh == nil {
			ws.bucket.setShare(now, 0, 0)
			if len(ws.bucket.loans) == 0 && len(ws.waiting) == 0 && ws.openBorrows == 0 && now.After(ws.depositedUntil) {
				delete(n.workspaces, name)
			}
			continue
		}
		if rate, limit := sh.perSlot(); rate != ws.bucket.slotRate || limit != ws.bucket.slotCap {
			ws.bucket.setShare(now, rate, limit)
		}
		if ws.pool == n.self.node && sh.fraction > 0 {
			set = append(set, name)
		}
	}
	slices.Sort(set)
	if !slices.Equal(set, n.pooled) {
		n.pooled = set
		n.pooledID++
	}
	n.updateOwnSlots(now)
}

func (n *Node) updateOwnSlots(now time.Time) {
	count, until := n.slots.Usable(now)
	for _, ws := range n.workspaces {
		if ws.bucket.ownSlots != count || !ws.bucket.ownUntil.Equal(until) {
			ws.bucket.setOwn(now, count, until)
		}
	}
}

// TableDone applies the outcome of a table operation.
func (n *Node) TableDone(now time.Time, op TableOp, row store.Row, err error) error {
	err = n.slots.Done(now, op, row, err)
	n.updateOwnSlots(now)
	n.stepSlots(now)
	return err
}

// Leave starts to release all slots; Left reports whether that is complete.
func (n *Node) Leave(now time.Time) {
	n.slots.Leave(now)
	n.updateOwnSlots(now)
	n.stepSlots(now)
}

// Left reports whether the table shows that all slots were released.
func (n *Node) Left() bool {
	return n.slots.Left()
}

func (n *Node) stepSlots(now time.Time) {
	if op, ok := n.slots.Step(now, n.members); ok {
		n.effects.Table = append(n.effects.Table, op)
	}
	n.updateOwnSlots(now)
}

// Tick does the periodic work. It should be called every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.stepSlots(now)
	n.shares.Step(now)
	n.applyShares(now)
	n.requestDeposits(now)
	for _, name := range slices.Sorted(maps.Keys(n.workspaces)) {
		ws := n.workspaces[name]
		if len(ws.waiting) > 0 && now.Sub(ws.waiting[0].since) >= borrowTimeout {
			ws.domainUnreachable = true
			n.finishBorrow(now, ws)
		}
		for _, l := range ws.borrowed.Surplus(now) {
			n.ReturnLoan(now, l)
		}
	}
	n.sendReturns(now)
	if now.Sub(n.prunedAt) >= pruneInterval {
		n.prune(now)
	}
	for seq, d := range n.draws {
		if now.Sub(d.sentAt) > DepositTerm {
			delete(n.draws, seq)
			if d.borrower != nil {
				d.borrower.openBorrows--
			}
		}
	}
}

// prune drops the state of nodes that are neither members nor known nodes of other
// domains any more. VMs are replaced often, so the maps would otherwise grow without
// bound.
func (n *Node) prune(now time.Time) {
	n.prunedAt = now
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
	maps.DeleteFunc(n.unreachableUntil, func(name string, _ time.Time) bool { return !known[name] })
	maps.DeleteFunc(n.targets, func(name string, _ *depositTarget) bool { return !known[name] })
	n.slots.prune(now)
}

// nextID returns the ID of the next transfer.
func (n *Node) nextID() ID {
	n.seq++
	return ID{
		Node:        n.self.node,
		Incarnation: n.self.incarnation,
		Seq:         n.seq,
	}
}

// queueReturn adds an item to the batch for a lender. Most batches are sent
// within the next deposit reply to the lender. A batch is sent as a message of
// its own after maxReturnDelay, or at once when it holds a large part of a
// workspace's burst, because the lender can't lend or refill that part before.
func (n *Node) queueReturn(now time.Time, to lender, it ReturnItem) {
	b := n.returns[to]
	if b == nil {
		b = &returnBatch{}
		n.returns[to] = b
	}
	if len(b.items) == 0 {
		b.oldestAt = now
	}
	sum := it.Tokens
	for _, o := range b.items {
		if o.Workspace == it.Workspace {
			sum += o.Tokens
		}
	}
	b.items = append(b.items, it)
	sh := n.shares.byWorkspace[it.Workspace]
	if sh != nil && float64(sum) >= sh.burst/urgentReturnDivisor {
		b.urgent = true
		if now.Sub(b.sentAt) >= minReturnInterval {
			n.sendReturn(now, to, b)
		}
	}
}

func (n *Node) sendReturn(now time.Time, to lender, b *returnBatch) {
	n.effects.Returns = append(n.effects.Returns, Send[ReturnRequest]{
		To: to.node,
		Msg: ReturnRequest{
			ID:          n.nextID(),
			Epoch:       to.epoch,
			Items:       b.items,
			CrossDomain: !slices.Contains(n.members, to.node),
		},
	})
	b.items, b.urgent, b.sentAt = nil, false, now
}

// sendReturns sends the batches that are due, in a fixed order, so that runs with
// the same inputs are reproducible.
func (n *Node) sendReturns(now time.Time) {
	all := slices.SortedFunc(maps.Keys(n.returns), func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.epoch, b.epoch))
	})
	for _, to := range all {
		b := n.returns[to]
		switch {
		case len(b.items) == 0 && now.Sub(b.sentAt) > DepositTerm:
			delete(n.returns, to)
		case len(b.items) > 0 && (b.urgent || now.Sub(b.oldestAt) >= maxReturnDelay):
			n.sendReturn(now, to, b)
		}
	}
}

// applyReturns credits returned items. The caller has checked that they are not
// duplicates.
func (n *Node) applyReturns(now time.Time, items []ReturnItem, crossDomain bool) {
	for _, it := range items {
		ws := n.workspaces[it.Workspace]
		switch {
		case ws == nil:
		case it.Loan != 0:
			ws.bucket.repay(now, it.Loan, it.Tokens, it.Spent)
		case ws.pool != n.self.node && crossDomain:
			// The sender knows only some nodes of this domain and addressed one that
			// isn't the pool.
			n.queueRefund(now, ws.pool, it.Workspace, it.Tokens)
		default:
			n.creditLocal(now, ws, it.Tokens, !crossDomain)
		}
	}
}
