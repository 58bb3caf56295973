package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// turnGrace is how much later than it was told to a node may ask again without losing its
// turn: a pause between two exchanges and a message.
const turnGrace = 300 * time.Millisecond

// A waiting node asks again after minPatience, or patiencePerNode for each node that waits,
// which bounds the messages to the coordinator.
const (
	minPatience     = 120 * time.Millisecond
	patiencePerNode = 3 * time.Millisecond
)

// turnTime is for how much of a limit a node gets tokens in one turn, one token at least.
const turnTime = 100 * time.Millisecond

// turns orders the nodes that wait for tokens of a limit that yields few: by the urgency of
// their most urgent request, then by its arrival. A node that does not ask again loses its
// turn.
type turns struct {
	byName map[string][]turn
}

// turn is a node that waits.
type turn struct {
	node    string
	urgency int
	since   time.Time // when the first of its most urgent requests arrived
	waiting float64   // tokens that waiting requests need
	until   time.Time // when the turn is lost unless the node asks again
}

// enter records that a node waits for tokens.
func (t *turns) enter(now time.Time, node string, r TokenRequest, waiting float64, until time.Time) {
	t.leave(r.Workspace, node)
	list := append(t.list(now, r.Workspace), turn{
		node:    node,
		urgency: r.Urgency,
		since:   now.Add(-r.Oldest),
		waiting: waiting,
		until:   until,
	})
	slices.SortFunc(list, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.since.Compare(b.since), cmp.Compare(a.node, b.node))
	})
	t.byName[r.Workspace] = list
}

// leave removes a node that waits no more.
func (t *turns) leave(name, node string) {
	t.byName[name] = slices.DeleteFunc(t.byName[name], func(x turn) bool { return x.node == node })
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
}

// list returns the nodes that wait, in their order.
func (t *turns) list(now time.Time, name string) []turn {
	list := slices.DeleteFunc(t.byName[name], func(x turn) bool { return !now.Before(x.until) })
	t.byName[name] = list
	return list
}

// sums returns how many tokens the nodes before one get in their turns, and how many waiting
// requests of all nodes need that are as urgent as its own, or more.
func (t *turns) sums(now time.Time, name, node string, perTurn float64) (before, queued float64) {
	list := t.list(now, name)
	at := slices.IndexFunc(list, func(x turn) bool { return x.node == node })
	for i, x := range list {
		if i < at {
			before += min(x.waiting, perTurn)
		}
		if x.urgency <= list[at].urgency {
			queued += x.waiting
		}
	}
	return before, queued
}

// patience returns after what time a node asks again at the latest, since those before it may
// have left.
func (t *turns) patience(name string) time.Duration {
	return min(maxRetryWait, max(minPatience, patiencePerNode*time.Duration(len(t.byName[name]))))
}

// waiting returns how many tokens waiting requests of all nodes need.
func (t *turns) waiting(now time.Time, name string) float64 {
	var sum float64
	for _, x := range t.list(now, name) {
		sum += x.waiting
	}
	return sum
}

// IssueInTurn is Issue for limits that yield few tokens. Tokens are issued whole. Nodes get
// those for waiting requests in turns, and further ones only from what all of these leave. If
// it issues fewer than waiting requests need, it states the shortage.
func (s *Issuer) IssueInTurn(now time.Time, node string, r TokenRequest) (issued float64, short *Shortage) {
	b := s.buckets[r.Workspace]
	if b == nil {
		return 0, &Shortage{
			Workspace: r.Workspace,
			RetryIn:   maxRetryWait,
		}
	}
	b.refill(now, s.refillPart)
	perTurn := max(1, whole(b.limit.Rate*turnTime.Seconds()))
	if r.Waiting > 0 {
		s.turns.enter(now, node, r, r.Waiting, now.Add(turnGrace))
		before, _ := s.turns.sums(now, r.Workspace, node, perTurn)
		inTurn := r.Waiting
		if len(s.turns.list(now, r.Workspace)) > 1 {
			inTurn = min(inTurn, perTurn)
		}
		issued = whole(min(inTurn, b.level-before))
		b.level -= issued
	}
	if left := r.Waiting - issued; left > 0 {
		s.turns.enter(now, node, r, left, now.Add(turnGrace))
		before, queued := s.turns.sums(now, r.Workspace, node, perTurn)
		retryIn := s.refillTime(b, before+1)
		short = &Shortage{
			Workspace: r.Workspace,
			RetryIn:   min(s.turns.patience(r.Workspace), retryIn),
			QueuedFor: s.refillTime(b, queued),
		}
		s.turns.enter(now, node, r, left, now.Add(short.RetryIn+turnGrace))
		return issued, short
	}
	s.turns.leave(r.Workspace, node)
	further := whole(min(r.Want-issued, b.level-s.turns.waiting(now, r.Workspace)))
	b.level -= further
	return issued + further, nil
}

// refillTime returns how long a bucket takes until it has yielded so many tokens.
func (s *Issuer) refillTime(b *bucket, tokens float64) time.Duration {
	rate := b.limit.Rate * s.refillPart
	if missing := tokens - b.level; rate*maxRefillWait.Seconds() > missing {
		return max(minRetryWait, time.Duration(missing/rate*float64(time.Second)))
	}
	return maxRefillWait
}

// whole returns how many whole tokens there are.
func whole(tokens float64) float64 { return max(0, math.Floor(tokens+1e-9)) }

const (
	// minEndpointRate is the rate at which an endpoint is asked whether its limit holds,
	// however low that is.
	minEndpointRate = 0.2
	// minEndpointBurst is how many requests may follow each other at once, so that a token
	// is not lost while the node whose turn it is has not asked again.
	minEndpointBurst = 2
	// endpointBurstTime is the burst of higher limits, as the time in which they yield it.
	endpointBurstTime = 250 * time.Millisecond
)

// EndpointLimit returns the limit of an endpoint that takes the given number of requests per
// second from all nodes together.
func EndpointLimit(perSecond float64) Limit {
	rate := max(minEndpointRate, perSecond)
	return Limit{
		Rate:  rate,
		Burst: max(minEndpointBurst, rate*endpointBurstTime.Seconds()),
	}
}
