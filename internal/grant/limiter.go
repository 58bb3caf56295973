package grant

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// CoordinatorTimeout is how long after the coordinator's last reply a node
	// starts to admit at its own fraction of the rates. The coordinator reserves
	// that fraction earlier.
	CoordinatorTimeout = 900 * time.Millisecond
	// ReserveAfter is how long after a node's last message the coordinator starts
	// to reserve the node's fraction. It is shorter than CoordinatorTimeout, which
	// counts from when the node sent the message.
	ReserveAfter = 700 * time.Millisecond
	// prefetchTime is for how much future demand a node requests tokens.
	prefetchTime = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 700 * time.Millisecond
	// minPrefetchRequests is how many requests of usual size the prefetched
	// tokens must suffice for. Fewer tokens would expire unused.
	minPrefetchRequests = 1.5
	// sizeWeight is the weight of one request in the average request size.
	sizeWeight = 0.1
	// localBurstTime is for how long a node that does not reach the coordinator
	// saves up its fraction of the rate.
	localBurstTime = 350 * time.Millisecond
)

// TokenRequest requests tokens of a limit from the coordinator or a pool.
type TokenRequest struct {
	// Workspace is the name of the limit, see the package's comment.
	Workspace string  `cbor:"1,keyasint"`
	Want      float64 `cbor:"2,keyasint"`
	// Need is the size of the smallest waiting request, 0 if none waits.
	Need float64 `cbor:"3,keyasint,omitempty"`
	// Urgency is that of the most urgent waiting request, 0 first, where nodes wait in
	// turn.
	Urgency int `cbor:"4,keyasint,omitempty"`
	// Waiting is the part of Want that waiting requests need.
	Waiting float64 `cbor:"5,keyasint,omitempty"`
	// Oldest is the time since the first of the most urgent waiting requests arrived, where
	// nodes wait in turn.
	Oldest time.Duration `cbor:"6,keyasint,omitempty"`
}

// ValidateRequests checks decoded token requests: a number that is none would spoil a bucket
// for good.
func ValidateRequests(list []TokenRequest) error {
	for _, r := range list {
		for _, tokens := range []float64{r.Want, r.Need, r.Waiting} {
			if !(tokens >= 0 && tokens <= math.MaxFloat64) {
				return fmt.Errorf("grant: request for %v tokens of %.64q", tokens, r.Workspace)
			}
		}
		if r.Oldest < 0 {
			return fmt.Errorf("grant: request for tokens of %.64q has waited for %v", r.Workspace, r.Oldest)
		}
	}
	return nil
}

// Shortage states that the coordinator had too few tokens for a token request,
// and after what time to send it again.
type Shortage struct {
	Workspace string        `cbor:"1,keyasint"`
	RetryIn   time.Duration `cbor:"2,keyasint"`
	// RefillIn is set if the tokens may be missing only because the coordinator has
	// just begun: after what time the refill yields them.
	RefillIn time.Duration `cbor:"3,keyasint,omitempty"`
	// QueuedFor is after what time all waiting requests as urgent as the node's have their
	// tokens, where nodes wait in turn; zero if that is not known.
	QueuedFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// Grant is an amount of tokens of a workspace, issued by the coordinator or a
// pool, or deposited in a pool.
type Grant struct {
	Workspace string  `cbor:"1,keyasint"`
	Tokens    float64 `cbor:"2,keyasint"`
}

// NodeLimiter holds the tokens that one node may spend on requests. It is not
// safe for concurrent use.
type NodeLimiter struct {
	limits      map[string]Limit
	states      map[string]*workspaceState
	lastReplyAt time.Time // when the last message with a reply was sent
	fraction    float64   // of the rates, admitted without the coordinator
	spare       float64   // see NewNodeLimiter
}

// workspaceState holds the tokens and the demand of one workspace.
type workspaceState struct {
	batches       []batch
	demand        float64 // tokens per second
	demandAt      time.Time
	waiting       float64   // tokens that waiting requests need
	need          float64   // size of the smallest waiting request
	localTokens   float64   // minted from the node's own fraction
	mintedAt      time.Time // time up to which localTokens are minted
	noTokensUntil time.Time // until when the coordinator has too few tokens
	refilledAt    time.Time // when a coordinator that has just begun has enough; zero if tokens were used
	usualSize     float64   // moving average of the request size
	urgency       int       // of the most urgent waiting request
	// oldest is the arrival of the first of the most urgent waiting requests, zero where nodes
	// do not wait in turn. isInLine is set if the coordinator was told last that requests wait.
	oldest   time.Time
	isInLine bool
	// queuedUntil is when all requests that waited at queuedAt have their tokens, of those as
	// urgent as queuedUrgency or more.
	queuedUntil   time.Time
	queuedAt      time.Time
	queuedUrgency int
	prefetchUntil time.Time // see Prefetch
}

type batch struct {
	tokens    float64
	expiresAt time.Time
}

// NewNodeLimiter returns a NodeLimiter without tokens. While nodes do not reach
// the coordinator, all of them together may save up spare tokens more than
// localBurstTime allows, so that the requests of workspaces with a small rate
// fit.
func NewNodeLimiter(spare float64) *NodeLimiter {
	return &NodeLimiter{
		spare:  spare,
		limits: make(map[string]Limit),
		states: make(map[string]*workspaceState),
	}
}

// SetLimits replaces the limits of all workspaces. A workspace that is not in
// limits has none.
func (n *NodeLimiter) SetLimits(limits map[string]Limit) {
	for name, l := range limits {
		old, ok := n.limits[name]
		if ok && (l.Rate < old.Rate || l.Burst < old.Burst) {
			// Tokens issued under the higher limit must not be spent under the lower.
			if ws := n.states[name]; ws != nil {
				ws.batches = nil
				ws.localTokens = 0
			}
		}
	}
	n.limits = limits
}

// DropStates forgets the demand and the tokens of limits that are no more, unless requests
// wait.
func (n *NodeLimiter) DropStates() {
	for name, ws := range n.states {
		if _, limited := n.limits[name]; !limited && ws.waiting <= 0 {
			delete(n.states, name)
		}
	}
}

// SetFraction sets the fraction that the node had before its restart, as other
// nodes know it. It has no effect once the coordinator has replied.
func (n *NodeLimiter) SetFraction(fraction float64) {
	if n.lastReplyAt.IsZero() {
		n.fraction = fraction
	}
}

func (n *NodeLimiter) state(name string) *workspaceState {
	ws := n.states[name]
	if ws == nil {
		ws = &workspaceState{}
		n.states[name] = ws
	}
	return ws
}

// HasCoordinator reports whether the coordinator replied recently.
func (n *NodeLimiter) HasCoordinator(now time.Time) bool {
	return now.Before(n.CoordinatorUntil())
}

// CoordinatorUntil returns until when the coordinator counts as reached without a further
// reply; zero if it has never replied.
func (n *NodeLimiter) CoordinatorUntil() time.Time {
	if n.lastReplyAt.IsZero() {
		return time.Time{}
	}
	return n.lastReplyAt.Add(CoordinatorTimeout)
}

// AddDemand adds the tokens of a request to the workspace's demand.
func (n *NodeLimiter) AddDemand(now time.Time, workspace string, tokens float64) {
	if _, limited := n.limits[workspace]; !limited {
		return
	}
	ws := n.state(workspace)
	ws.decay(now)
	ws.demand += tokens / demandTimeConstant.Seconds()
	if ws.usualSize == 0 {
		ws.usualSize = tokens
	}
	ws.usualSize += (tokens - ws.usualSize) * sizeWeight
}

func (ws *workspaceState) decay(now time.Time) {
	if d := now.Sub(ws.demandAt); d > 0 {
		ws.demand *= math.Exp(-d.Seconds() / demandTimeConstant.Seconds())
		ws.demandAt = now
	}
}

// Take spends the tokens of a request. It returns false and spends none if there
// are too few. A workspace without a limit needs no tokens.
func (n *NodeLimiter) Take(now time.Time, workspace string, tokens float64) bool {
	_, ok := n.TakeUntil(now, workspace, tokens)
	return ok
}

// TakeUntil is Take, and returns until when the request may be sent; zero if it is not
// limited.
func (n *NodeLimiter) TakeUntil(now time.Time, workspace string, tokens float64) (until time.Time, ok bool) {
	limit, limited := n.limits[workspace]
	if !limited {
		return time.Time{}, true
	}
	ws := n.state(workspace)
	until = n.expiry(now, ws)
	if !n.HasCoordinator(now) {
		return until, n.takeLocal(now, ws, limit, tokens)
	}
	if totalTokens(ws.batches)+1e-9 < tokens {
		return time.Time{}, false
	}
	ws.batches = spend(ws.batches, tokens)
	return until, true
}

// expiry returns when the tokens expire that are spent first.
func (n *NodeLimiter) expiry(now time.Time, ws *workspaceState) time.Time {
	ws.batches = dropExpired(ws.batches, now)
	if len(ws.batches) > 0 {
		return ws.batches[0].expiresAt
	}
	return now.Add(PoolTerm)
}

// Available returns how many tokens may be spent now.
func (n *NodeLimiter) Available(now time.Time, workspace string) float64 {
	ws := n.state(workspace)
	ws.batches = dropExpired(ws.batches, now)
	sum := totalTokens(ws.batches)
	if !n.HasCoordinator(now) {
		n.mint(now, ws, n.limits[workspace])
		sum += ws.localTokens
	}
	return sum
}

// Return gives back tokens that TakeUntil took and no request was sent with.
func (n *NodeLimiter) Return(now time.Time, workspace string, tokens float64, until time.Time) {
	if _, limited := n.limits[workspace]; limited && now.Before(until) {
		n.add(workspace, tokens, until)
	}
}

// Prefetch requests a token for a request that may come, beyond the expected demand.
func (n *NodeLimiter) Prefetch(now time.Time, workspace string) {
	n.state(workspace).prefetchUntil = now.Add(Term)
}

// SetFirst sets the urgency and the arrival of the first of the waiting requests.
func (n *NodeLimiter) SetFirst(workspace string, urgency int, arrived time.Time) {
	ws := n.state(workspace)
	ws.urgency, ws.oldest = urgency, arrived
}

// QueuedUntil returns by when the requests have their tokens that come before a new one of the
// given urgency, zero if that is not known or was long ago.
func (n *NodeLimiter) QueuedUntil(now time.Time, workspace string, urgency int) time.Time {
	ws := n.state(workspace)
	if urgency < ws.queuedUrgency || now.Sub(ws.queuedAt) > maxRetryWait {
		return time.Time{}
	}
	return ws.queuedUntil
}

// takeLocal spends tokens issued by a pool, then those minted from the node's
// own fraction of the rate.
func (n *NodeLimiter) takeLocal(now time.Time, ws *workspaceState, limit Limit, tokens float64) bool {
	ws.batches = dropExpired(ws.batches, now)
	n.mint(now, ws, limit)
	pooled := min(tokens, totalTokens(ws.batches))
	if pooled+ws.localTokens < tokens {
		return false
	}
	ws.batches = spend(ws.batches, pooled)
	ws.localTokens -= tokens - pooled
	return true
}

// mint adds the tokens of the node's own fraction of the rate. Minting starts
// when the coordinator has timed out, or at the first use in a process that the
// coordinator has never answered.
func (n *NodeLimiter) mint(now time.Time, ws *workspaceState, limit Limit) {
	if ws.mintedAt.IsZero() {
		ws.mintedAt, ws.localTokens = now, 0
		if !n.lastReplyAt.IsZero() {
			ws.mintedAt = n.CoordinatorUntil()
		}
	}
	rate := limit.Rate * n.fraction
	limitTokens := rate*localBurstTime.Seconds() + min(n.spare, limit.Burst)*n.fraction
	ws.localTokens = min(limitTokens, ws.localTokens+now.Sub(ws.mintedAt).Seconds()*rate)
	ws.mintedAt = now
}

// TakeDeposits removes the minted tokens of all workspaces and returns them, to
// be deposited in a pool. It returns none while the coordinator is reached.
func (n *NodeLimiter) TakeDeposits(now time.Time) []Grant {
	if n.HasCoordinator(now) {
		return nil
	}
	var deposits []Grant
	for name, limit := range n.limits {
		ws := n.state(name)
		n.mint(now, ws, limit)
		if ws.localTokens < 1 {
			continue
		}
		deposits = append(deposits, Grant{
			Workspace: name,
			Tokens:    ws.localTokens,
		})
		ws.localTokens = 0
	}
	slices.SortFunc(deposits, func(a, b Grant) int { return strings.Compare(a.Workspace, b.Workspace) })
	return deposits
}

// dropExpired removes the batches that have expired.
func dropExpired(list []batch, now time.Time) []batch {
	return slices.DeleteFunc(list, func(b batch) bool { return !now.Before(b.expiresAt) })
}

func totalTokens(list []batch) float64 {
	var sum float64
	for _, b := range list {
		sum += b.tokens
	}
	return sum
}

// spend removes tokens from the batches, starting with the first.
func spend(list []batch, tokens float64) []batch {
	for tokens > 0 && len(list) > 0 {
		part := min(tokens, list[0].tokens)
		list[0].tokens -= part
		tokens -= part
		if list[0].tokens <= 0 {
			list = list[1:]
		}
	}
	return list
}

// Wait records a request that waits for tokens until done is called.
func (n *NodeLimiter) Wait(workspace string, tokens float64) (done func()) {
	ws := n.state(workspace)
	ws.waiting += tokens
	if ws.need == 0 || tokens < ws.need {
		ws.need = tokens
	}
	return func() {
		ws.waiting -= tokens
		if ws.waiting <= 0 {
			ws.waiting, ws.need = 0, 0
		}
	}
}

// TokenRequests returns the tokens to request: those that waiting requests lack,
// plus a prefetch for the expected demand while the coordinator is reached.
func (n *NodeLimiter) TokenRequests(now time.Time) []TokenRequest {
	var requests []TokenRequest
	for name, ws := range n.states {
		if _, limited := n.limits[name]; !limited || now.Before(ws.noTokensUntil) {
			continue
		}
		ws.decay(now)
		ws.batches = dropExpired(ws.batches, now)
		var usable float64
		for _, b := range ws.batches {
			// Tokens that expire soon are requested again.
			if b.expiresAt.Sub(now) > Term/3 {
				usable += b.tokens
			}
		}
		want := ws.waiting - usable
		waiting := max(0, want)
		if prefetch := ws.demand * prefetchTime.Seconds(); prefetch >= minPrefetchRequests*ws.usualSize && n.HasCoordinator(now) {
			want += prefetch
		}
		if now.Before(ws.prefetchUntil) && usable < 1 {
			want = max(want, 1)
		}
		leaves := ws.isInLine && waiting < 1
		ws.isInLine = !ws.oldest.IsZero() && waiting >= 1
		if want < 1 && !leaves {
			continue
		}
		requests = append(requests, TokenRequest{
			Workspace: name,
			Want:      want,
			Need:      ws.need,
			Urgency:   ws.urgency,
			Waiting:   waiting,
			Oldest:    max(0, now.Sub(ws.oldest)),
		})
	}
	slices.SortFunc(requests, func(a, b TokenRequest) int { return strings.Compare(a.Workspace, b.Workspace) })
	return requests
}

// SetShortages records that the coordinator had too few tokens. sent is when this
// node sent the message that was answered, on its own clock.
func (n *NodeLimiter) SetShortages(sent time.Time, list []Shortage) {
	for _, s := range list {
		ws := n.state(s.Workspace)
		if sent.Add(s.RetryIn).After(ws.noTokensUntil) {
			ws.noTokensUntil = sent.Add(s.RetryIn)
		}
		ws.refilledAt = time.Time{}
		if s.RefillIn > 0 {
			ws.refilledAt = sent.Add(s.RefillIn)
		}
		if s.QueuedFor > 0 {
			ws.queuedAt, ws.queuedUntil, ws.queuedUrgency = sent, sent.Add(s.QueuedFor), ws.urgency
		}
	}
}

// NoTokensUntil returns until when the coordinator has too few tokens for a
// request of the workspace.
func (n *NodeLimiter) NoTokensUntil(workspace string) time.Time {
	return n.state(workspace).noTokensUntil
}

// RefilledAt returns when the coordinator expects to have enough tokens, if it may lack them
// only because it has just begun; zero if they were used.
func (n *NodeLimiter) RefilledAt(workspace string) time.Time {
	return n.state(workspace).refilledAt
}

// ApplyReply applies the tokens and the fraction of a coordinator's reply. sent
// is when this node sent the message that was answered, on its own clock.
func (n *NodeLimiter) ApplyReply(sent time.Time, grants []Grant, fraction float64) {
	if sent.After(n.lastReplyAt) {
		n.lastReplyAt, n.fraction = sent, fraction
		for _, ws := range n.states {
			ws.mintedAt, ws.localTokens = time.Time{}, 0
		}
	}
	n.addGrants(grants, sent.Add(Term))
}

// ApplyPoolReply adds the tokens that a pool issued.
func (n *NodeLimiter) ApplyPoolReply(sent time.Time, grants []Grant) {
	n.addGrants(grants, sent.Add(PoolTerm))
}

func (n *NodeLimiter) addGrants(grants []Grant, expiresAt time.Time) {
	for _, grant := range grants {
		if grant.Tokens > 0 {
			n.add(grant.Workspace, grant.Tokens, expiresAt)
		}
	}
}

func (n *NodeLimiter) add(workspace string, tokens float64, expiresAt time.Time) {
	ws := n.state(workspace)
	ws.batches = append(ws.batches, batch{
		tokens:    tokens,
		expiresAt: expiresAt,
	})
	slices.SortStableFunc(ws.batches, func(a, b batch) int { return a.expiresAt.Compare(b.expiresAt) })
}
