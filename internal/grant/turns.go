package grant

import (
	"math"
	"slices"
	"time"
)

// turnGrace is how much later than it was told to a node may ask again without losing its
// turn: a pause between two exchanges and a message.
const turnGrace = 300 * time.Millisecond

// turns orders the nodes that wait for tokens of a limit that yields few: the most urgent
// first, then the one that has waited longest. A node that does not ask again loses its turn.
type turns struct {
	byName map[string][]turn
}

// turn is a node that waits.
type turn struct {
	node    string
	urgency int
	since   time.Time
	tokens  float64
	until   time.Time // when the turn is lost unless the node asks again
}

// enter records that a node waits for tokens, and returns for how many those before it wait.
func (t *turns) enter(now time.Time, node string, r TokenRequest) (ahead float64) {
	list := t.waiting(now, r.Workspace)
	at := slices.IndexFunc(list, func(x turn) bool { return x.node == node })
	if at < 0 {
		list = append(list, turn{
			node:  node,
			since: now,
		})
		at = len(list) - 1
	}
	list[at].urgency, list[at].tokens, list[at].until = r.Urgency, r.Waiting, now.Add(turnGrace)
	slices.SortStableFunc(list, func(a, b turn) int {
		if a.urgency != b.urgency {
			return a.urgency - b.urgency
		}
		return a.since.Compare(b.since)
	})
	t.byName[r.Workspace] = list
	for _, x := range list {
		if x.node == node {
			break
		}
		ahead += x.tokens
	}
	return ahead
}

// keep extends the turn of a node, which still waits for some tokens, until some time after
// it is to ask again.
func (t *turns) keep(now time.Time, name, node string, retryIn time.Duration, tokens float64) {
	for i := range t.byName[name] {
		if x := &t.byName[name][i]; x.node == node {
			x.until, x.tokens = now.Add(retryIn+turnGrace), tokens
		}
	}
}

// leave removes a node that has got its tokens.
func (t *turns) leave(name, node string) {
	t.byName[name] = slices.DeleteFunc(t.byName[name], func(x turn) bool { return x.node == node })
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
}

// waiting returns the nodes that wait, in their order.
func (t *turns) waiting(now time.Time, name string) []turn {
	list := slices.DeleteFunc(t.byName[name], func(x turn) bool { return !now.Before(x.until) })
	t.byName[name] = list
	return list
}

// wanted returns for how many tokens all nodes wait.
func (t *turns) wanted(now time.Time, name string) float64 {
	var sum float64
	for _, x := range t.waiting(now, name) {
		sum += x.tokens
	}
	return sum
}

// IssueInTurn is Issue for limits that yield few tokens. Tokens are issued whole. Nodes get
// those for waiting requests in the order of turns, and further ones only from what all of
// these leave. If it issues fewer than waiting requests need, it states the shortage.
func (s *Issuer) IssueInTurn(now time.Time, node string, r TokenRequest) (issued float64, short *Shortage) {
	b := s.buckets[r.Workspace]
	if b == nil {
		return 0, &Shortage{
			Workspace: r.Workspace,
			RetryIn:   maxRetryWait,
		}
	}
	b.refill(now, s.refillPart)
	var ahead, missing float64
	if r.Waiting > 0 {
		ahead = s.turns.enter(now, node, r)
		issued = whole(min(r.Waiting, b.level-ahead))
		missing = ahead + 1 - (b.level - issued)
	}
	if r.Waiting > 0 && issued < r.Waiting {
		b.level -= issued
		readyIn := maxRefillWait
		if rate := b.limit.Rate * s.refillPart; rate*maxRefillWait.Seconds() > missing {
			readyIn = time.Duration(missing / rate * float64(time.Second))
		}
		readyIn = max(minRetryWait, readyIn)
		short = &Shortage{
			Workspace: r.Workspace,
			RetryIn:   min(maxRetryWait, readyIn),
			ReadyIn:   readyIn,
		}
		s.turns.keep(now, r.Workspace, node, short.RetryIn, r.Waiting-issued)
		return issued, short
	}
	s.turns.leave(r.Workspace, node)
	issued += whole(min(r.Want-issued, b.level-issued-s.turns.wanted(now, r.Workspace)))
	b.level -= issued
	return issued, nil
}

// whole returns how many whole tokens there are.
func whole(tokens float64) float64 { return max(0, math.Floor(tokens+1e-9)) }

const (
	// minEndpointRate is the rate at which an endpoint is asked whether its limit holds,
	// however low that is.
	minEndpointRate = 0.2
	// minEndpointBurst is how many requests may follow each other at once, so that a token
	// is not lost while the node whose turn it is has not asked again.
	minEndpointBurst = 1.5
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
