package coord

import (
	"context"
	"time"
)

const (
	// poolInterval is how often a node that does not reach the coordinator
	// deposits the tokens it has minted while no request waits. It is well below
	// the time for which a pool keeps tokens.
	poolInterval = 60 * time.Millisecond
	// minPoolPause is the minimum pause between two exchanges with a pool.
	minPoolPause = 10 * time.Millisecond
	// poolTimeout limits one exchange with a pool. The network delay inside a
	// failure domain is below a millisecond.
	poolTimeout = 120 * time.Millisecond
	// poolRetryDelay is how long a pool holder that did not answer is avoided.
	poolRetryDelay = 1500 * time.Millisecond
	// maxPoolHolders is how many nodes of a failure domain may hold its pool.
	maxPoolHolders = 3
)

// runPool exchanges tokens with the pool of the failure domain while the
// coordinator is not reached.
func (n *Node) runPool(ctx context.Context) {
	avoidUntil := map[string]time.Time{}
	t := time.NewTicker(poolInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-n.Admitter.poolRequested:
		case <-ctx.Done():
			return
		}
		now := n.opts.Clock.Now()
		if n.Admitter.hasCoordinator(now) {
			continue
		}
		n.mu.Lock()
		holder := poolHolder(n.members, n.opts.Domain, func(m Member) bool { return now.Before(avoidUntil[m.Node]) })
		n.mu.Unlock()
		if holder.Node == "" {
			continue
		}
		if !n.exchangeWithPool(ctx, now, holder) {
			avoidUntil[holder.Node] = now.Add(poolRetryDelay)
		}
		if !sleep(ctx, minPoolPause) {
			return
		}
	}
}

// exchangeWithPool deposits and requests tokens at the node that holds the pool.
// It returns false if that node did not answer; the deposit is then lost.
func (n *Node) exchangeWithPool(ctx context.Context, now time.Time, holder Member) bool {
	x := &Exchange{
		Node:    n.opts.Node,
		Address: n.opts.Address,
		UsePool: true,
	}
	x.TokenRequests, x.Deposits = n.Admitter.poolExchange(now)
	x.PlaceRequests, x.PlaceDeposits = n.Pacer.poolExchange(now)
	if len(x.TokenRequests)+len(x.Deposits)+len(x.PlaceRequests)+len(x.PlaceDeposits) == 0 {
		return true
	}
	var r *Reply
	if holder.Node == n.opts.Node {
		r = n.servePool(x)
	} else {
		bounded, cancel := context.WithTimeout(ctx, poolTimeout)
		defer cancel()
		var err error
		if r, err = n.opts.Peers.Exchange(bounded, holder.Address, x); err != nil {
			n.opts.Log.Info("pool not reached", "holder", holder.Node, "error", err.Error())
			return false
		}
	}
	n.Admitter.applyPoolReply(now, r.Grants)
	n.Pacer.applyPoolReply(now, r.Places)
	return true
}

// servePool answers a node that uses the pool held by this node.
func (n *Node) servePool(x *Exchange) *Reply {
	return &Reply{
		Grants: n.Admitter.servePool(x.TokenRequests, x.Deposits),
		Places: n.Pacer.servePool(x.PlaceRequests, x.PlaceDeposits),
	}
}

// poolHolder returns the node that holds the pool of a failure domain: the first
// of its largest nodes that is not avoided. Nodes that avoid the same nodes
// choose the same holder.
func poolHolder(members []Member, domain string, avoided func(Member) bool) Member {
	var list []Member
	for _, m := range members {
		if m.Domain == domain {
			list = append(list, m)
		}
	}
	for _, m := range largestFirst(list, "pool")[:min(maxPoolHolders, len(list))] {
		if !avoided(m) {
			return m
		}
	}
	return Member{}
}
