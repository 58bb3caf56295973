package lead

import (
	"context"
	"time"
)

const (
	// poolEvery is how often a node that does not reach the coordinator hands over
	// what it has minted, when nobody waits. It is well within the time for which
	// a pool keeps tokens.
	poolEvery = 60 * time.Millisecond
	// poolPause is the least time between two exchanges with a pool.
	poolPause = 10 * time.Millisecond
	// poolTimeout is when an exchange with a pool counts as lost. The way inside a
	// failure domain takes less than a millisecond.
	poolTimeout = 120 * time.Millisecond
	// poolAvoid is how long a node that did not answer is not asked again.
	poolAvoid = 1500 * time.Millisecond
	// poolHolders is how many nodes of a domain may hold its pool.
	poolHolders = 3
)

// pool exchanges tokens with the pool of the failure domain while the
// coordinator is not reached.
func (n *Node) pool(ctx context.Context) {
	avoid := map[string]time.Time{}
	t := time.NewTicker(poolEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-n.Desk.need:
		case <-ctx.Done():
			return
		}
		now := n.opts.Clock.Now()
		if n.Desk.inTouch(now) {
			continue
		}
		n.mu.Lock()
		holder := poolHolder(n.members, n.opts.Domain, func(m Member) bool { return now.Before(avoid[m.Node]) })
		n.mu.Unlock()
		if holder.Node == "" {
			continue
		}
		if !n.usePool(ctx, now, holder) {
			avoid[holder.Node] = now.Add(poolAvoid)
		}
		if !wait(ctx, poolPause) {
			return
		}
	}
}

// usePool exchanges with the node that holds the pool. It reports false when
// that node did not answer; what was deposited then is lost.
func (n *Node) usePool(ctx context.Context, now time.Time, holder Member) bool {
	draws, deposits := n.Desk.pooled(now)
	if len(draws)+len(deposits) == 0 {
		return true
	}
	x := &Exchange{
		Node:     n.opts.Node,
		Address:  n.opts.Address,
		Pooled:   true,
		Draws:    draws,
		Deposits: deposits,
	}
	var r *Reply
	if holder.Node == n.opts.Node {
		r = n.Desk.serve(x)
	} else {
		bounded, cancel := context.WithTimeout(ctx, poolTimeout)
		defer cancel()
		var err error
		if r, err = n.opts.Peers.Exchange(bounded, holder.Address, x); err != nil {
			n.opts.Log.Info("pool not reached", "holder", holder.Node, "error", err.Error())
			return false
		}
	}
	n.Desk.receivePool(now, r)
	return true
}

// poolHolder names the node that holds the pool of a failure domain: of its
// largest nodes the first that is not avoided, the same for all that ask.
func poolHolder(members []Member, domain string, avoided func(Member) bool) Member {
	var list []Member
	for _, m := range members {
		if m.Domain == domain {
			list = append(list, m)
		}
	}
	for _, m := range largestFirst(list, "pool")[:min(poolHolders, len(list))] {
		if !avoided(m) {
			return m
		}
	}
	return Member{}
}
