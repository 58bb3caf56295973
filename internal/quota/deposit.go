package quota

import (
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// depositor is a pool's state about a node that deposits with it.
type depositor struct {
	nextRequest time.Time
	ackedSet    uint64 // the ID of the last workspace set that the depositor confirmed
	pending     []depositCall
}

// depositCall is a deposit request without a reply yet.
type depositCall struct {
	seq        uint64
	sentAt     time.Time
	setID      uint64
	workspaces []string
}

// depositTarget is a depositor's state about a pool that requests its slots.
type depositTarget struct {
	incarnation uint64
	setID       uint64
	workspaces  []string
	lastReply   DepositReply
}

// updatePool selects the workspace's pool among the members of the domain. After
// a change the former pool still holds the deposits of nodes that have not yet
// deposited with the new one, so it can be asked for tokens until they expire.
func (n *Node) updatePool(now time.Time, sp *workspaceState) {
	pool := rank.First(sp.name, n.members)
	if pool == sp.pool && (pool != n.self.node || sp.formerPool != "" && now.After(sp.formerPoolUntil)) {
		return
	}
	former := sp.pool
	if former == "" || former == n.self.node {
		// This node has just joined and replaces the next one in the order as the
		// pool. It discovers the members gradually, so the next one may change.
		others := slices.DeleteFunc(slices.Clone(n.members), func(m string) bool { return m == n.self.node })
		former = rank.First(sp.name, others)
	}
	if pool == sp.pool && former == sp.formerPool {
		return
	}
	sp.pool, sp.formerPool, sp.formerPoolUntil = pool, former, now.Add(DepositorTerm+DepositTerm)
}

// formerPoolDomain stands for the workspace's former pool in the list of domains
// to borrow from.
const formerPoolDomain = "(former pool)"

// lendersOf returns the nodes that can be asked for tokens of a domain.
func (n *Node) lendersOf(now time.Time, sp *workspaceState, domain string) []string {
	if domain != formerPoolDomain {
		return n.pools[domain]
	}
	if sp.formerPool == "" || sp.formerPool == n.self.node || !now.Before(sp.formerPoolUntil) {
		return nil
	}
	return []string{sp.formerPool}
}

// requestDeposits sends the deposit requests to the other nodes of the domain
// that are due.
func (n *Node) requestDeposits(now time.Time) {
	for name := range n.depositors {
		if !slices.Contains(n.members, name) {
			delete(n.depositors, name)
		}
	}
	if len(n.pooled) == 0 || n.slots.leaving {
		return
	}
	for _, name := range n.members {
		if name == n.self.node {
			continue
		}
		p := n.depositors[name]
		if p == nil {
			p = &depositor{}
			n.depositors[name] = p
		}
		if now.Before(p.nextRequest) {
			continue
		}
		p.nextRequest = now.Add(DepositInterval)
		p.pending = slices.DeleteFunc(p.pending, func(a depositCall) bool {
			return now.Sub(a.sentAt) >= DepositTerm
		})
		req := DepositRequest{
			ID:    n.nextID(),
			Set:   n.pooledID,
			Epoch: n.received.epoch,
		}
		if p.ackedSet != n.pooledID {
			req.Workspaces = n.pooled
		}
		p.pending = append(p.pending, depositCall{
			seq:        req.ID.Seq,
			sentAt:     now,
			setID:      n.pooledID,
			workspaces: n.pooled,
		})
		n.effects.Deposits = append(n.effects.Deposits, Send[DepositRequest]{
			To:  name,
			Msg: req,
		})
	}
}

// HandleDeposit answers the deposit request of a pool by handing over the slots
// of this node.
func (n *Node) HandleDeposit(now time.Time, req DepositRequest) DepositReply {
	none := DepositReply{
		Seq: req.ID.Seq,
	}
	n.epochs[req.ID.Node] = req.Epoch
	a := n.targets[req.ID.Node]
	if a == nil || a.incarnation != req.ID.Incarnation {
		a = &depositTarget{
			incarnation: req.ID.Incarnation,
		}
		n.targets[req.ID.Node] = a
	}
	switch {
	case req.ID.Seq == a.lastReply.Seq:
		return a.lastReply
	case req.ID.Seq < a.lastReply.Seq:
		// A delayed duplicate: the pool no longer waits for this reply.
		return none
	case len(req.Workspaces) > 0:
		a.workspaces, a.setID = slices.Clone(req.Workspaces), req.Set
	case a.setID != req.Set || a.workspaces == nil:
		none.UnknownSet = true
		return none
	}
	count, until := n.slots.Usable(now)
	if until.Before(now.Add(DepositorTerm)) {
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
	resume := now.Add(DepositorTerm)
	if n.faults.resumeEarly {
		resume = now.Add(DepositTerm / 3)
	}
	for _, name := range a.workspaces {
		sp := n.workspaces[name]
		if sp == nil || sp.depositedWith != pool && now.Before(sp.depositedUntil) && !n.faults.depositTwice {
			reply.Except = append(reply.Except, name)
			continue
		}
		sp.bucket.advance(now)
		if len(sp.bucket.deposits) > 0 {
			// This node is the pool of the workspace until these deposits expire.
			reply.Except = append(reply.Except, name)
			continue
		}
		level, debt := sp.bucket.handOver(now, resume)
		sp.depositedWith, sp.depositedUntil = pool, resume
		if level > 0 || debt > 0 {
			reply.Levels = append(reply.Levels, DepositLevel{
				Workspace: name,
				Tokens:    level,
				Debt:      debt,
			})
		}
	}
	a.lastReply = reply
	return reply
}

// DepositDone applies the reply to a deposit request, or its failure.
func (n *Node) DepositDone(now time.Time, to string, reply DepositReply, err error) {
	p := n.depositors[to]
	if p == nil || err != nil {
		return
	}
	i := slices.IndexFunc(p.pending, func(a depositCall) bool {
		return a.seq == reply.Seq
	})
	if i < 0 {
		return
	}
	a := p.pending[i]
	// Replies to older requests are ignored from now on, since their term ends
	// earlier.
	p.pending = slices.Delete(p.pending, 0, i+1)
	n.applyReturns(now, reply.Returns, false)
	if reply.UnknownSet {
		p.ackedSet, p.nextRequest = 0, now
		return
	}
	p.ackedSet = a.setID
	until := a.sentAt.Add(DepositTerm)
	if !now.Before(until) {
		return
	}
	levels := make(map[string]DepositLevel, len(reply.Levels))
	for _, l := range reply.Levels {
		levels[l.Workspace] = l
	}
	for _, name := range a.workspaces {
		sp := n.workspaces[name]
		if sp == nil || sp.pool != n.self.node || slices.Contains(reply.Except, name) {
			continue
		}
		sp.bucket.addDeposit(now, deposit{
			depositor: to,
			slots:     reply.Slots,
			debt:      float64(levels[name].Debt),
			until:     until,
		}, float64(levels[name].Tokens))
	}
}
