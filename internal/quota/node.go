package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
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

// wish is an item of a draw that waits for other domains.
type wish struct {
	item  DrawItem
	reply *pastReply // nil for this node itself
	left  *int       // open items of the same draw
	whole bool       // another domain asks, which counts what it needs itself
	since time.Time
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

// peer is a depositor as its pool sees it.
type peer struct {
	next  time.Time
	acked uint64 // set that the depositor knows
	out   []asked
}

type asked struct {
	seq uint64
	at  time.Time
	set uint64
	of  []string
}

// asker is a pool as a depositor sees it.
type asker struct {
	incarnation uint64
	set         uint64
	names       []string
	reply       DepositReply
}

// draw is a request of this node that is out.
type draw struct {
	at    time.Time
	to    string
	items []DrawItem
	// borrower is the workspace for which a pool asks another domain.
	borrower *space
	domain   string
	// passed is set when this node passes a draw on to its pool.
	passed *pastReply
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

// askDeposits asks the other nodes of the domain for their fractions.
// setHome follows the members. The pool before still holds the deposits of
// nodes that have not deposited here, so this node can ask it for tokens until
// they end.
func (n *Node) setHome(now time.Time, sp *space) {
	home := rank.First(sp.name, n.members)
	if home == sp.home && (home != n.self.node || sp.before != "" && now.After(sp.beforeBy)) {
		return
	}
	before := sp.home
	if before == "" || before == n.self.node {
		// A node that has just joined takes the place of the next one. It learns
		// of the others bit by bit, so the next one may change.
		others := slices.DeleteFunc(slices.Clone(n.members), func(m string) bool { return m == n.self.node })
		before = rank.First(sp.name, others)
	}
	if home == sp.home && before == sp.before {
		return
	}
	sp.home, sp.before, sp.beforeBy = home, before, now.Add(ResumeAfter+DepositTerm)
}

// beforeKey marks the pool before this one among the domains that are asked.
const beforeKey = "(pool before)"

// poolsOf returns whom to ask on behalf of a domain.
func (n *Node) poolsOf(now time.Time, sp *space, domain string) []string {
	if domain != beforeKey {
		return n.pools[domain]
	}
	if sp.before == "" || sp.before == n.self.node || !now.Before(sp.beforeBy) {
		return nil
	}
	return []string{sp.before}
}

func (n *Node) askDeposits(now time.Time) {
	for name := range n.peers {
		if !slices.Contains(n.members, name) {
			delete(n.peers, name)
		}
	}
	if len(n.set) == 0 || n.slots.leaving {
		return
	}
	for _, name := range n.members {
		if name == n.self.node {
			continue
		}
		p := n.peers[name]
		if p == nil {
			p = &peer{}
			n.peers[name] = p
		}
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(DepositEvery)
		p.out = slices.DeleteFunc(p.out, func(a asked) bool {
			return now.Sub(a.at) >= DepositTerm
		})
		req := DepositRequest{
			ID:    n.id(),
			Set:   n.setID,
			Epoch: n.credits.epoch,
		}
		if p.acked != n.setID {
			req.Workspaces = n.set
		}
		p.out = append(p.out, asked{
			seq: req.ID.Seq,
			at:  now,
			set: n.setID,
			of:  n.set,
		})
		n.fx.Deposits = append(n.fx.Deposits, Send[DepositRequest]{
			To:  name,
			Msg: req,
		})
	}
}

// HandleDeposit hands fractions over to a pool.
func (n *Node) HandleDeposit(now time.Time, req DepositRequest) DepositReply {
	none := DepositReply{
		Seq: req.ID.Seq,
	}
	n.epochs[req.ID.Node] = req.Epoch
	a := n.askers[req.ID.Node]
	if a == nil || a.incarnation != req.ID.Incarnation {
		a = &asker{
			incarnation: req.ID.Incarnation,
		}
		n.askers[req.ID.Node] = a
	}
	switch {
	case req.ID.Seq == a.reply.Seq:
		return a.reply
	case req.ID.Seq < a.reply.Seq:
		// A late duplicate: the pool no longer waits for it.
		return none
	case len(req.Workspaces) > 0:
		a.names, a.set = slices.Clone(req.Workspaces), req.Set
	case a.set != req.Set || a.names == nil:
		none.UnknownSet = true
		return none
	}
	count, until := n.slots.Usable(now)
	if until.Before(now.Add(ResumeAfter)) {
		count = 0
	}
	reply := none
	if b := n.returns[lender{node: req.ID.Node, epoch: req.Epoch}]; b != nil && len(b.items) <= maxItems {
		reply.Returns, b.items, b.urgent = b.items, nil, false
	}
	reply.Slots = count
	pool := ownerID{
		node:        req.ID.Node,
		incarnation: req.ID.Incarnation,
	}
	resume := now.Add(ResumeAfter)
	if n.faults.resumeEarly {
		resume = now.Add(DepositTerm / 3)
	}
	for _, name := range a.names {
		sp := n.spaces[name]
		if sp == nil || sp.lentTo != pool && now.Before(sp.lentUntil) && !n.faults.lendTwice {
			reply.Except = append(reply.Except, name)
			continue
		}
		sp.bucket.settle(now)
		if len(sp.bucket.sources) > 0 {
			// This node is a pool for the workspace until these deposits end.
			reply.Except = append(reply.Except, name)
			continue
		}
		level, debt := sp.bucket.handOver(now, resume)
		sp.lentTo, sp.lentUntil = pool, resume
		if level > 0 || debt > 0 {
			reply.Levels = append(reply.Levels, DepositLevel{
				Workspace: name,
				Tokens:    level,
				Debt:      debt,
			})
		}
	}
	a.reply = reply
	return reply
}

// DepositDone takes the reply to a deposit request, or its failure.
func (n *Node) DepositDone(now time.Time, to string, reply DepositReply, err error) {
	p := n.peers[to]
	if p == nil || err != nil {
		return
	}
	i := slices.IndexFunc(p.out, func(a asked) bool {
		return a.seq == reply.Seq
	})
	if i < 0 {
		return
	}
	a := p.out[i]
	// Older requests are answered no more: their term is shorter.
	p.out = slices.Delete(p.out, 0, i+1)
	n.credited(now, reply.Returns, false)
	if reply.UnknownSet {
		p.acked, p.next = 0, now
		return
	}
	p.acked = a.set
	until := a.at.Add(DepositTerm)
	if !now.Before(until) {
		return
	}
	levels := make(map[string]DepositLevel, len(reply.Levels))
	for _, l := range reply.Levels {
		levels[l.Workspace] = l
	}
	for _, name := range a.of {
		sp := n.spaces[name]
		if sp == nil || sp.home != n.self.node || slices.Contains(reply.Except, name) {
			continue
		}
		sp.bucket.deposit(now, source{
			from:  to,
			slots: reply.Slots,
			debt:  float64(levels[name].Debt),
			until: until,
		}, float64(levels[name].Tokens))
	}
}

// Need asks for tokens for this node: at least need, and up to want. The answer
// comes as a grant or a denial in the effects; a need of 0 may get neither.
func (n *Node) Need(now time.Time, items ...DrawItem) {
	remote := make(map[string][]DrawItem)
	for _, it := range items {
		sp := n.spaces[it.Workspace]
		switch {
		case sp == nil:
			n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
		case sp.home == n.self.node || now.Before(n.lost[sp.home]):
			n.serveSelf(now, sp, it)
		default:
			remote[sp.home] = append(remote[sp.home], it)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(remote)) {
		n.sendDraw(now, &draw{
			to:    to,
			items: remote[to],
		}, 0)
	}
}

func (n *Node) sendDraw(now time.Time, d *draw, hops int) {
	id := n.id()
	d.at = now
	n.draws[id.Seq] = d
	n.fx.Draws = append(n.fx.Draws, Send[DrawRequest]{
		To: d.to,
		Msg: DrawRequest{
			ID:    id,
			Hops:  hops,
			Items: d.items,
		},
	})
}

func (n *Node) serveSelf(now time.Time, sp *space, it DrawItem) {
	left := 1
	n.serve(now, sp, &wish{
		item:  it,
		left:  &left,
		since: now,
	}, true)
}

// HandleDraw lends tokens. If done is false, the reply follows in the effects.
func (n *Node) HandleDraw(now time.Time, req DrawRequest) (reply DrawReply, done bool) {
	past, first := n.replies.start(now, req.ID)
	if !first {
		if past.done {
			return past.reply, true
		}
		// The first copy still waits; its reply answers the caller.
		return DrawReply{
			ID:    req.ID,
			Epoch: n.credits.epoch,
		}, true
	}
	past.reply = DrawReply{
		ID:    req.ID,
		Epoch: n.credits.epoch,
	}
	if req.Hops == 1 && n.pass(now, req, past) {
		return DrawReply{}, false
	}
	left := len(req.Items)
	for _, it := range req.Items {
		w := &wish{
			item:  it,
			reply: past,
			left:  &left,
			whole: req.Hops > 0,
			since: now,
		}
		sp := n.spaces[it.Workspace]
		if sp == nil {
			n.answer(now, w, nil, ReasonUnknown, 0, time.Hour)
			continue
		}
		n.serve(now, sp, w, req.Hops == 0)
	}
	if !past.done {
		return DrawReply{}, false
	}
	n.fx.Replies = slices.DeleteFunc(n.fx.Replies, func(r DrawReply) bool {
		return r.ID == req.ID
	})
	return past.reply, true
}

// pass hands a draw of another domain on to the pool of this one.
func (n *Node) pass(now time.Time, req DrawRequest, past *pastReply) bool {
	sp := n.spaces[req.Items[0].Workspace]
	if sp == nil || sp.home == n.self.node || len(req.Items) != 1 {
		return false
	}
	n.sendDraw(now, &draw{
		to:     sp.home,
		items:  req.Items,
		passed: past,
	}, 2)
	return true
}

// serve meets a wish from what is here, or queues it while other domains are asked.
func (n *Node) serve(now time.Time, sp *space, w *wish, mayBorrow bool) {
	if len(sp.waiting) == 0 || w.item.Need == 0 {
		if n.fill(now, sp, w) {
			return
		}
	}
	if !mayBorrow || w.item.Need == 0 {
		n.short(now, sp, w)
		return
	}
	sp.waiting = append(sp.waiting, w)
	if sp.asked == 0 {
		sp.lost = false
		clear(sp.tried)
		n.borrow(now, sp)
	}
}

// available is what the node can lend for the workspace now.
func (n *Node) available(now time.Time, sp *space) int64 {
	sp.bucket.settle(now)
	return int64(sp.bucket.level) + sp.borrowed.Tokens(now)
}

// fill grants a wish if its need can be met.
func (n *Node) fill(now time.Time, sp *space, w *wish) bool {
	have := n.available(now, sp)
	if have < w.item.Need || have <= 0 {
		return false
	}
	amount := min(w.item.Want, have)
	if !w.whole {
		// What goes beyond the need leaves most of the rest to the other nodes.
		amount = min(w.item.Want, w.item.Need+(have-w.item.Need)/4)
	}
	if amount <= 0 {
		return false
	}
	var grants []Loan
	got := int64(0)
	// Borrowed tokens go first: they expire, the level does not.
	for _, l := range sp.borrowed.Split(now, amount) {
		got += l.Tokens
		grants = append(grants, l)
	}
	if got < amount {
		n.seq++
		x, by := sp.bucket.lend(now, n.seq, amount-got)
		if x > 0 {
			got += x
			grants = append(grants, Loan{
				Workspace: sp.name,
				Lender:    n.self.node,
				Epoch:     n.credits.epoch,
				ID:        n.seq,
				Tokens:    x,
				SpendBy:   by,
			})
		}
	}
	if got < w.item.Need {
		// The deposits behind the level end too soon; take the loans back.
		for _, g := range grants {
			if g.Lender == n.self.node {
				sp.bucket.repay(now, g.ID, g.Tokens, false)
			} else {
				sp.borrowed.Add(g)
			}
		}
		return false
	}
	n.answer(now, w, grants, ReasonNone, n.available(now, sp), 0)
	return true
}

// short answers a wish that can't be met.
func (n *Node) short(now time.Time, sp *space, w *wish) {
	have := n.available(now, sp)
	reason, after := ReasonRate, askAgain
	sh := n.shares.items[sp.name]
	switch {
	case sh == nil || len(sh.domains) == 0:
		reason, after = ReasonUnknown, time.Hour
	case float64(w.item.Need) > sh.burst:
		reason, after = ReasonBurst, time.Hour
	default:
		after = max(sh.wait(float64(max(1, w.item.Need-have))), 10*time.Millisecond)
		switch {
		case sp.lost:
			reason = ReasonDomains
		case sp.bucket.rate() == 0 && slices.Contains(sh.domains, n.domain):
			reason = ReasonSlots
		}
	}
	n.answer(now, w, nil, reason, have, after)
}

func (n *Node) answer(now time.Time, w *wish, grants []Loan, reason Reason, available int64, after time.Duration) {
	*w.left--
	if w.reply == nil {
		n.fx.Grants = append(n.fx.Grants, grants...)
		if len(grants) == 0 && w.item.Need > 0 {
			n.deny(now, w.item.Workspace, reason, available, after)
		}
		return
	}
	r := &w.reply.reply
	for _, g := range grants {
		grant := DrawGrant{
			Workspace:  w.item.Workspace,
			Tokens:     g.Tokens,
			TermMillis: millis(g.SpendBy.Sub(now)),
			Loan:       g.ID,
		}
		if g.Lender != n.self.node {
			grant.Lender, grant.Epoch = g.Lender, g.Epoch
		}
		r.Grants = append(r.Grants, grant)
	}
	if len(grants) == 0 || available > 0 {
		r.Short = append(r.Short, DrawShort{
			Workspace:   w.item.Workspace,
			Available:   available,
			AfterMillis: millis(after),
			Reason:      reason,
		})
	}
	if *w.left == 0 {
		w.reply.done = true
		n.fx.Replies = append(n.fx.Replies, *r)
	}
}

func (n *Node) deny(now time.Time, workspace string, reason Reason, available int64, after time.Duration) {
	n.fx.Denials = append(n.fx.Denials, Denial{
		Workspace: workspace,
		Reason:    reason,
		Available: available,
		Retry:     now.Add(after),
	})
}

// borrow asks other domains for what the waiting wishes lack, a few at a time:
// first each that was not asked yet, then those that said to have more.
func (n *Node) borrow(now time.Time, sp *space) {
	missing := -n.available(now, sp)
	for _, w := range sp.waiting {
		missing += w.item.Need
	}
	if missing > 0 {
		n.askDomains(now, sp, missing)
	}
	if sp.asked == 0 {
		n.finishBorrow(now, sp)
	}
}

func (n *Node) askDomains(now time.Time, sp *space, missing int64) {
	sh := n.shares.items[sp.name]
	if sh == nil {
		return
	}
	var fresh, more []string
	for _, d := range append([]string{beforeKey}, sh.domains...) {
		switch {
		case d == n.domain || len(n.poolsOf(now, sp, d)) == 0 || now.Before(sp.retry[d]):
		case !sp.tried[d]:
			fresh = append(fresh, d)
		case sp.spare[d] > 0:
			more = append(more, d)
		}
	}
	// Those that had most left come first.
	slices.SortStableFunc(fresh, func(a, b string) int {
		return cmp.Compare(sp.left[b], sp.left[a])
	})
	fresh = fresh[:min(len(fresh), askAtOnce)]
	if len(fresh) == 0 {
		for _, d := range more {
			ask := min(missing, sp.spare[d])
			delete(sp.spare, d)
			n.askDomain(now, sp, d, ask)
			if missing -= ask; missing <= 0 {
				return
			}
		}
		return
	}
	// The addition keeps a busy domain from asking for every single request.
	want := missing + int64(sp.borrowing.value(now)*prefetchHigh.Seconds()/2)
	if len(sp.tried) == 0 {
		sp.borrowing.add(now, missing)
	}
	each := (want + int64(len(fresh)) - 1) / int64(len(fresh))
	for _, d := range fresh {
		sp.tried[d] = true
		delete(sp.spare, d)
		n.askDomain(now, sp, d, each)
	}
}

func (n *Node) askDomain(now time.Time, sp *space, domain string, want int64) {
	sp.asked++
	hops := 1
	if domain == beforeKey {
		// It serves from what it holds and passes nothing on.
		hops = 2
	}
	n.sendDraw(now, &draw{
		to: rank.First(sp.name, n.poolsOf(now, sp, domain)),
		items: []DrawItem{{
			Workspace: sp.name,
			Want:      want,
		}},
		borrower: sp,
		domain:   domain,
	}, hops)
}

// finishBorrow answers the waiting wishes in the order of their arrival.
func (n *Node) finishBorrow(now time.Time, sp *space) {
	waiting := sp.waiting
	sp.waiting = nil
	for _, w := range waiting {
		if !n.fill(now, sp, w) {
			n.short(now, sp, w)
		}
	}
}

// DrawDone takes the reply to a draw of this node, or its failure.
func (n *Node) DrawDone(now time.Time, to string, seq uint64, reply DrawReply, err error) {
	d := n.draws[seq]
	if d == nil || d.to != to || err == nil && reply.ID.Seq != seq {
		return
	}
	delete(n.draws, seq)
	if err == nil {
		n.epochs[to] = reply.Epoch
	}
	switch {
	case d.passed != nil:
		n.passedDone(d, reply)
	case d.borrower != nil:
		n.borrowDone(now, d, reply, err)
	case err != nil:
		n.lost[to] = now.Add(askLost)
		// The pool can't be reached: use what is here and ask the other domains.
		for _, it := range d.items {
			if sp := n.spaces[it.Workspace]; sp != nil {
				n.serveSelf(now, sp, it)
			} else {
				n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
			}
		}
	default:
		n.drawDone(now, d, reply)
	}
}

func (d *draw) loan(g DrawGrant, epoch uint64) Loan {
	l := Loan{
		Workspace: g.Workspace,
		Lender:    d.to,
		Epoch:     epoch,
		ID:        g.Loan,
		Tokens:    g.Tokens,
		SpendBy:   d.at.Add(time.Duration(g.TermMillis) * time.Millisecond),
	}
	if g.Lender != "" {
		l.Lender, l.Epoch = g.Lender, g.Epoch
	}
	return l
}

func (n *Node) drawDone(now time.Time, d *draw, reply DrawReply) {
	for _, g := range reply.Grants {
		n.fx.Grants = append(n.fx.Grants, d.loan(g, reply.Epoch))
	}
	for _, it := range d.items {
		granted := slices.ContainsFunc(reply.Grants, func(g DrawGrant) bool {
			return g.Workspace == it.Workspace
		})
		if granted || it.Need == 0 {
			continue
		}
		s := DrawShort{
			Reason: ReasonTimeout,
		}
		if i := slices.IndexFunc(reply.Short, func(s DrawShort) bool {
			return s.Workspace == it.Workspace
		}); i >= 0 {
			s = reply.Short[i]
		}
		n.deny(now, it.Workspace, s.Reason, s.Available, time.Duration(s.AfterMillis)*time.Millisecond)
	}
}

func (n *Node) passedDone(d *draw, reply DrawReply) {
	p := d.passed
	for _, g := range reply.Grants {
		// The borrower counts the term from before it asked this node, which is
		// earlier than this node's own request.
		if g.Lender == "" && g.Loan != 0 {
			g.Lender, g.Epoch = d.to, reply.Epoch
		}
		p.reply.Grants = append(p.reply.Grants, g)
	}
	p.reply.Short = append(p.reply.Short, reply.Short...)
	p.done = true
	n.fx.Replies = append(n.fx.Replies, p.reply)
}

func (n *Node) borrowDone(now time.Time, d *draw, reply DrawReply, err error) {
	sp := d.borrower
	sp.asked--
	got := int64(0)
	for _, g := range reply.Grants {
		got += g.Tokens
		sp.borrowed.Add(d.loan(g, reply.Epoch))
	}
	sp.left[d.domain] = 0
	for _, s := range reply.Short {
		sp.spare[d.domain], sp.left[d.domain] = s.Available, s.Available
	}
	switch {
	case err != nil:
		sp.lost = true
		sp.retry[d.domain] = now.Add(askLost)
	case got == 0:
		// A workspace above its rate would otherwise ask all domains all the time.
		sp.retry[d.domain] = now.Add(askAgain << min(sp.empty[d.domain], 4))
		sp.empty[d.domain]++
	default:
		delete(sp.empty, d.domain)
	}
	if sp.asked > 0 {
		return
	}
	n.borrow(now, sp)
}

// Refund gives back what a charge did not use.
func (n *Node) Refund(now time.Time, workspace string, tokens int64) {
	sp := n.spaces[workspace]
	if sp == nil || tokens <= 0 {
		return
	}
	if sp.home == n.self.node {
		n.creditHere(now, sp, tokens, true)
		return
	}
	n.queueRefund(now, sp.home, workspace, tokens)
}

func (n *Node) queueRefund(now time.Time, to, workspace string, tokens int64) {
	if epoch, known := n.epochs[to]; known {
		n.queue(now, lender{
			node:  to,
			epoch: epoch,
		}, ReturnItem{
			Workspace: workspace,
			Tokens:    tokens,
		})
	}
}

// GiveBack returns an unused loan. The caller has taken it out of its wallet.
func (n *Node) GiveBack(now time.Time, l Loan) {
	n.repay(now, l.Workspace, Part{
		Lender: l.Lender,
		Epoch:  l.Epoch,
		ID:     l.ID,
		Tokens: l.Tokens,
	}, false)
}

// Spent reports a charged part of a loan to its lender, which may refill its
// cap from then on instead of from the loan's deadline. A workspace whose burst
// is a few seconds of its rate would otherwise lose a part of its rate.
func (n *Node) Spent(now time.Time, workspace string, p Part) {
	n.repay(now, workspace, p, true)
}

func (n *Node) repay(now time.Time, workspace string, p Part, spent bool) {
	switch sp := n.spaces[workspace]; {
	case sp == nil || p.ID == 0 || p.Tokens <= 0:
	case p.Lender == n.self.node:
		sp.bucket.repay(now, p.ID, p.Tokens, spent)
	default:
		n.queue(now, lender{
			node:  p.Lender,
			epoch: p.Epoch,
		}, ReturnItem{
			Workspace: workspace,
			Tokens:    p.Tokens,
			Loan:      p.ID,
			Spent:     spent,
		})
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

// creditHere credits a refund. What finds no room goes once to the domain that
// had the least left, since a domain without a share would lose every refund.
func (n *Node) creditHere(now time.Time, sp *space, tokens int64, pass bool) {
	got := sp.bucket.credit(now, float64(tokens))
	if got > 0 {
		n.credit(sp.name, got)
	}
	sh := n.shares.items[sp.name]
	rest := tokens - int64(got)
	if !pass || rest <= 0 || sh == nil {
		return
	}
	to := ""
	for _, d := range sh.domains {
		if d != n.domain && len(n.pools[d]) > 0 && (to == "" || sp.left[d] < sp.left[to]) {
			to = d
		}
	}
	if to != "" {
		sp.left[to] += rest
		n.queueRefund(now, rank.First(sp.name, n.pools[to]), sp.name, rest)
	}
}

// HandleReturn credits returned tokens, each return once.
func (n *Node) HandleReturn(now time.Time, req ReturnRequest) ReturnReply {
	reply := ReturnReply{
		Seq:   req.ID.Seq,
		Epoch: n.credits.epoch,
	}
	if req.Epoch != n.credits.epoch || !n.credits.first(req.ID) && !n.faults.creditTwice {
		return reply
	}
	n.credited(now, req.Items, req.Passed)
	return reply
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

// ReturnDone takes the reply to a return.
func (n *Node) ReturnDone(to string, reply ReturnReply, err error) {
	if err == nil {
		n.epochs[to] = reply.Epoch
	}
}
