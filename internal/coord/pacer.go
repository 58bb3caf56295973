package coord

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/serve"
)

// Pacer gives requests places at endpoints that name how many requests a second they take
// from all nodes together. A place is a token that the coordinator has issued; without the
// coordinator it comes from this node's fraction of the rate. Requests that wait at this node
// get places by urgency and then by arrival. It is safe for concurrent use.
type Pacer struct {
	*tokens
	health *health.Table

	// All below is guarded by the lock of tokens.
	limitVersion int64 // of the limits in force here
	limits       map[string]grant.Limit
	waiting      map[fleet.Key][]placeWaiter // in their order
	lastTurn     serve.Turn
}

// placeWaiter is a request that waits for a place.
type placeWaiter struct {
	turn    serve.Turn
	urgency int
	arrived time.Time
	since   time.Time // when it began to wait here
	// expectedAt is when it gets a place by the first answer of the coordinator that took it
	// into account, zero before. Later ones may count requests that came after it.
	expectedAt time.Time
	done       func()
}

// NewPacer returns a Pacer for the limits in a table. It has no places until a Node uses it.
func NewPacer(clk clock.Clock, table *health.Table) *Pacer {
	return &Pacer{
		// Nodes without a coordinator save up nothing, since the sum over nodes would count.
		tokens:       newTokens(clk, make(chan struct{}, 1), make(chan struct{}, 1), 0),
		health:       table,
		limitVersion: -1,
		waiting:      make(map[fleet.Key][]placeWaiter),
	}
}

var _ serve.Places = (*Pacer)(nil)

// placeName is the name of an endpoint's limit in messages about tokens.
func placeName(key fleet.Key) string {
	return key.ID + "/" + strconv.FormatInt(key.Incarnation, 10)
}

// endpointLimits returns the limits in force, by the names that messages use.
func endpointLimits(table *health.Table) map[string]grant.Limit {
	out := make(map[string]grant.Limit)
	for key, rate := range table.Limits() {
		out[placeName(key)] = grant.EndpointLimit(rate)
	}
	return out
}

// refresh applies the limits in force. The caller holds the lock.
func (p *Pacer) refresh() {
	version := p.health.LimitVersion()
	if version == p.limitVersion {
		return
	}
	limits := endpointLimits(p.health)
	for name, l := range limits {
		if old, ok := p.limits[name]; ok && l.Rate < old.Rate {
			// Tokens minted under the higher rate must not be spent under the lower.
			p.pool = grant.NewPool()
		}
	}
	p.limitVersion, p.limits = version, limits
	p.limiter.SetLimits(maps.Clone(limits))
	p.limiter.DropStates()
}

// Has implements serve.Places.
func (p *Pacer) Has(key fleet.Key, turn serve.Turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.has(p.clock.Now(), key, turn)
}

// has reports whether a request may take a place, or requests more of them if one waits. The
// caller holds the lock.
func (p *Pacer) has(now time.Time, key fleet.Key, turn serve.Turn) bool {
	p.refresh()
	name := placeName(key)
	if _, limited := p.limits[name]; !limited {
		return true
	}
	free := p.limiter.Available(now, name)
	if free >= float64(p.before(key, turn)+1) {
		return true
	}
	if len(p.waiting[key]) > 0 {
		p.request(now, name)
	}
	return false
}

// request asks for tokens before the next regular exchange, unless it is known that there are
// none yet. The caller holds the lock.
func (p *Pacer) request(now time.Time, name string) {
	switch {
	case !p.limiter.HasCoordinator(now):
		signal(p.poolRequested)
	case !now.Before(p.limiter.NoTokensUntil(name)):
		signal(p.exchangeRequested)
	}
}

// before returns how many waiting requests come before one. The caller holds the lock.
func (p *Pacer) before(key fleet.Key, turn serve.Turn) int {
	list := p.waiting[key]
	if at := slices.IndexFunc(list, func(w placeWaiter) bool { return w.turn == turn }); at >= 0 {
		return at
	}
	return len(list)
}

// Take implements serve.Places.
func (p *Pacer) Take(key fleet.Key, turn serve.Turn) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.has(now, key, turn) {
		return time.Time{}, false
	}
	return p.limiter.TakeUntil(now, placeName(key), 1)
}

// Return implements serve.Places.
func (p *Pacer) Return(key fleet.Key, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	p.limiter.Return(p.clock.Now(), placeName(key), 1, until)
	p.notify()
}

// Prefetch implements serve.Places.
func (p *Pacer) Prefetch(key fleet.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	name := placeName(key)
	if _, limited := p.limits[name]; !limited {
		return
	}
	now := p.clock.Now()
	p.limiter.AddDemand(now, name, 1)
	p.limiter.Prefetch(now, name)
}

// Wait implements serve.Places.
func (p *Pacer) Wait(key fleet.Key, urgency int, arrived time.Time) (turn serve.Turn, leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	name := placeName(key)
	p.lastTurn++
	turn = p.lastTurn
	list := append(p.waiting[key], placeWaiter{
		turn:    turn,
		urgency: urgency,
		arrived: arrived,
		since:   p.clock.Now(),
		done:    p.limiter.Wait(name, 1),
	})
	slices.SortStableFunc(list, func(a, b placeWaiter) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.arrived.Compare(b.arrived))
	})
	p.setWaiting(key, list)
	p.request(p.clock.Now(), name)
	return turn, func() { p.leave(key, turn) }
}

func (p *Pacer) leave(key fleet.Key, turn serve.Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.waiting[key]
	at := slices.IndexFunc(list, func(w placeWaiter) bool { return w.turn == turn })
	if at < 0 {
		return
	}
	list[at].done()
	p.setWaiting(key, slices.Delete(list, at, at+1))
	if len(p.waiting[key]) == 0 {
		// The turn of this node is free for others.
		signal(p.exchangeRequested)
	}
	p.notify()
}

// setWaiting sets the requests that wait for an endpoint. The caller holds the lock.
func (p *Pacer) setWaiting(key fleet.Key, list []placeWaiter) {
	if len(list) == 0 {
		delete(p.waiting, key)
		return
	}
	p.waiting[key] = list
	p.limiter.SetFirst(placeName(key), list[0].urgency, list[0].arrived)
}

// QueuedUntil implements serve.Places.
func (p *Pacer) QueuedUntil(key fleet.Key, urgency int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.limiter.QueuedUntil(p.clock.Now(), placeName(key), urgency)
}

// ExpectedAt implements serve.Places.
func (p *Pacer) ExpectedAt(key fleet.Key, turn serve.Turn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiting[key] {
		if w.turn == turn {
			return w.expectedAt
		}
	}
	return time.Time{}
}

// applyReply applies the coordinator's reply to a message that was sent at the given time.
func (p *Pacer) applyReply(sent time.Time, grants []grant.Grant, shortages []grant.Shortage, fraction float64) {
	p.expect(sent, shortages)
	p.tokens.applyReply(sent, grants, shortages, fraction)
}

// expect sets when requests get a place that the coordinator counted for the first time.
func (p *Pacer) expect(sent time.Time, shortages []grant.Shortage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.waiting {
		at := slices.IndexFunc(shortages, func(s grant.Shortage) bool { return s.Workspace == placeName(key) })
		if at < 0 || shortages[at].QueuedFor <= 0 {
			continue
		}
		for i := range list {
			if w := &list[i]; w.expectedAt.IsZero() && !w.since.After(sent) {
				w.expectedAt = sent.Add(shortages[at].QueuedFor)
			}
		}
	}
}

// Changed implements serve.Places.
func (p *Pacer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}
