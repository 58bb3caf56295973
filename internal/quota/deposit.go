package quota

import (
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

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
