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
func (n *Node) updatePool(now time.Time, ws *workspaceState) {
	pool := rank.First(ws.name, n.members)
	if pool == ws.pool && (pool != n.self.node || ws.formerPool != "" && now.After(ws.formerPoolUntil)) {
		return
	}
	former := ws.pool
	if former == "" || former == n.self.node {
		// This node has just joined and replaces the next one in the order as the
		// pool. It discovers the members gradually, so the next one may change.
		others := slices.DeleteFunc(slices.Clone(n.members), func(m string) bool { return m == n.self.node })
		former = rank.First(ws.name, others)
	}
	if pool == ws.pool && former == ws.formerPool {
		return
	}
	ws.pool, ws.formerPool, ws.formerPoolUntil = pool, former, now.Add(DepositorTerm+DepositTerm)
}

// formerPoolDomain stands for the workspace's former pool in the list of domains
// to borrow from.
const formerPoolDomain = "(former pool)"

// lendersOf returns the nodes that can be asked for tokens of a domain, without those
// that did not answer a moment ago.
func (n *Node) lendersOf(now time.Time, ws *workspaceState, domain string) []string {
	if domain != formerPoolDomain {
		return slices.DeleteFunc(slices.Clone(n.pools[domain]), func(name string) bool {
			return now.Before(n.unreachableUntil[name])
		})
	}
	if ws.formerPool == "" || ws.formerPool == n.self.node || !now.Before(ws.formerPoolUntil) {
		return nil
	}
	return []string{ws.formerPool}
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
		d := n.depositors[name]
		if d == nil {
			d = &depositor{}
			n.depositors[name] = d
		}
		if now.Before(d.nextRequest) {
			continue
		}
		d.nextRequest = now.Add(DepositInterval)
		d.pending = slices.DeleteFunc(d.pending, func(c depositCall) bool {
			return now.Sub(c.sentAt) >= DepositTerm
		})
		req := DepositRequest{
			ID:    n.nextID(),
			Set:   n.pooledID,
			Epoch: n.received.epoch,
		}
		if d.ackedSet != n.pooledID {
			req.Workspaces = n.pooled
		}
		d.pending = append(d.pending, depositCall{
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
	target := n.targets[req.ID.Node]
	if target == nil || target.incarnation != req.ID.Incarnation {
		target = &depositTarget{
			incarnation: req.ID.Incarnation,
		}
		n.targets[req.ID.Node] = target
	}
	switch {
	case req.ID.Seq == target.lastReply.Seq:
		return target.lastReply
	case req.ID.Seq < target.lastReply.Seq:
		// A delayed duplicate: the pool no longer waits for this reply.
		return none
	case len(req.Workspaces) > 0:
		target.workspaces, target.setID = slices.Clone(req.Workspaces), req.Set
	case target.setID != req.Set || target.workspaces == nil:
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
	for _, name := range target.workspaces {
		ws := n.workspaces[name]
		if ws == nil || ws.depositedWith != pool && now.Before(ws.depositedUntil) && !n.faults.depositTwice {
			reply.Except = append(reply.Except, name)
			continue
		}
		ws.bucket.advance(now)
		if len(ws.bucket.deposits) > 0 {
			// This node is the pool of the workspace until these deposits expire.
			reply.Except = append(reply.Except, name)
			continue
		}
		level, debt := ws.bucket.handOver(now, resume)
		ws.depositedWith, ws.depositedUntil = pool, resume
		if level > 0 || debt > 0 {
			reply.Levels = append(reply.Levels, DepositLevel{
				Workspace: name,
				Tokens:    level,
				Debt:      debt,
			})
		}
	}
	target.lastReply = reply
	return reply
}

// DepositDone applies the reply to a deposit request, or its failure.
func (n *Node) DepositDone(now time.Time, to string, reply DepositReply, err error) {
	d := n.depositors[to]
	if d == nil || err != nil {
		return
	}
	i := slices.IndexFunc(d.pending, func(c depositCall) bool {
		return c.seq == reply.Seq
	})
	if i < 0 {
		return
	}
	call := d.pending[i]
	// Replies to older requests are ignored from now on, since their term ends
	// earlier.
	d.pending = slices.Delete(d.pending, 0, i+1)
	n.applyReturns(now, reply.Returns, false)
	if reply.UnknownSet {
		d.ackedSet, d.nextRequest = 0, now
		return
	}
	d.ackedSet = call.setID
	until := call.sentAt.Add(DepositTerm)
	if !now.Before(until) {
		return
	}
	levels := make(map[string]DepositLevel, len(reply.Levels))
	for _, l := range reply.Levels {
		levels[l.Workspace] = l
	}
	for _, name := range call.workspaces {
		ws := n.workspaces[name]
		if ws == nil || ws.pool != n.self.node || slices.Contains(reply.Except, name) {
			continue
		}
		ws.bucket.addDeposit(now, deposit{
			depositor: to,
			slots:     reply.Slots,
			debt:      float64(levels[name].Debt),
			until:     until,
		}, float64(levels[name].Tokens))
	}
}
