package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// Errors of Pick.
var (
	// ErrUnknown means that the configuration has no such model or service.
	ErrUnknown = errors.New("route: unknown model or service")
	// ErrNotResident means that no endpoint has the model. The caller reports
	// it as wanted and waits within the model's on-demand bound.
	ErrNotResident = errors.New("route: model is not resident")
	// ErrNoEndpoint means that every endpoint that could serve is leaving or
	// excluded. The caller reports the model as wanted as well.
	ErrNoEndpoint = errors.New("route: no endpoint takes new work")
)

// Request is what a choice depends on.
type Request struct {
	Now time.Time
	// Service is set for a plain service, Model for a model.
	Service string
	Model   string
	Adapter string
	// Prefixes are digests of growing prefixes of the prompt, the longest last.
	// The first one gives affinity.
	Prefixes     []string
	PromptTokens int64
	// Role is the part of the work; empty means all of it.
	Role engine.Role
	// Exclude names endpoints that failed this request already.
	Exclude []string
}

// Reason is why an endpoint was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonOnly     Reason = "only"
	ReasonCached   Reason = "cached"
	ReasonAffinity Reason = "affinity"
	ReasonLoad     Reason = "load"
	ReasonFallback Reason = "fallback"
	ReasonRandom   Reason = "random"
)

// Choice is a chosen endpoint with what led to it.
type Choice struct {
	Endpoint string
	Address  string
	Domain   string
	Version  string
	// AdapterReady is false when the adapter has to be loaded first.
	AdapterReady bool
	Reason       Reason
	// Wait, Hit, Distance and Outstanding are the estimates that the choice was
	// made with. Hit is the part of the prompt expected in the cache.
	Wait        time.Duration
	Hit         float64
	Distance    time.Duration
	Outstanding int
	// Candidates had the model; the others tell why some of them were not
	// considered.
	Candidates int
	Leaving    int
	Ejected    int
	Excluded   int
	Unhealthy  int

	end   *end
	speed float64
}

// Sentence explains the choice to someone without a technical background.
func (c Choice) Sentence() string {
	why := ""
	switch c.Reason {
	case ReasonOnly:
		why = "it was the only one that could take the request"
	case ReasonCached:
		why = "it still remembers " + strconv.Itoa(int(c.Hit*100)) + "% of the text from an earlier request"
	case ReasonAffinity:
		why = "similar requests go there and it was not too busy"
	case ReasonLoad:
		why = "it was expected to answer first"
	case ReasonFallback:
		why = "all others had failed lately"
	case ReasonRandom:
		why = "it was drawn at random"
	}
	return fmt.Sprintf("%s was chosen out of %d because %s.", c.Endpoint, c.Candidates, why)
}

const (
	// oldVersionCost and roleCost make a choice unlikely without excluding it.
	oldVersionCost = 0.05
	roleCost       = 0.5
	// adapterCost is the time to load an adapter, with the wait for the order.
	adapterCost = 0.1
	// unhealthyCost keeps work out of a domain in trouble while others can do it.
	unhealthyCost = 2.0
)

// scored is a candidate under consideration.
type scored struct {
	c    *candidate
	load float64 // outstanding requests for each unit of speed
	hash uint64
	hit  float64
	base float64 // cost apart from load and prefill, in seconds
	cost float64
}

// farMost bounds the endpoints of other regions that one decision looks at, so
// that it stays below 50 µs with 2,600 endpoints.
const farMost = 256

// scratch lets Pick reuse its lists.
var scratch = sync.Pool{
	New: func() any {
		list := make([]scored, 0, 128)
		return &list
	},
}

// Pick chooses the endpoint for a request. The caller calls Start on the choice
// when it sends the request and Finish when it is over.
func (t *Table) Pick(r Request) (Choice, error) {
	all, err := t.candidates(&r)
	if err != nil {
		return Choice{}, err
	}
	buf := scratch.Get().(*[]scored)
	defer scratch.Put(buf)
	unit := t.unit.get()
	var key uint64
	if len(r.Prefixes) > 0 {
		key = nameHash(r.Prefixes[0])
	} else {
		// Without a prefix the offered endpoints are drawn at random, so that
		// nodes with the same lagging reports do not all choose the same one.
		key = rand.Uint64()
	}
	for i, tier := range all.tiers {
		out := Choice{
			Candidates: len(all.list),
		}
		near, far := all.list[:tier], []candidate(nil)
		if i > 0 && tier-all.tiers[0] > farMost {
			// A part of the many far ones is enough to find an idle one.
			near, far = all.list[:all.tiers[0]], all.list[all.tiers[0]:tier]
			from := rand.IntN(len(far) - farMost + 1)
			far = far[from : from+farMost]
		}
		open := t.filter(&r, near, (*buf)[:0], &out)
		open = t.filter(&r, far, open, &out)
		*buf = open[:0]
		if len(open) == 0 {
			continue
		}
		best, reason := t.choose(&r, open, unit, key)
		if i+1 < len(all.tiers) {
			// Endpoints farther away are looked at only when an idle one there
			// could be better.
			next := all.list[tier].end.dom.Load().distance.Seconds()
			if best.cost > next+unit+t.prefill(&r, best.c.end) {
				continue
			}
		}
		if len(all.list) == 1 {
			reason = ReasonOnly
		}
		t.fill(&out, &r, best, unit, reason)
		return out, nil
	}
	return t.fallback(&r, all.list)
}

// choose finds the best of the endpoints that take new work.
func (t *Table) choose(r *Request, open []scored, unit float64, key uint64) (*scored, Reason) {
	t.hits(r, open)
	least := open[0].base
	for i := range open {
		least = min(least, open[i].base)
	}
	sum, eligible := 0.0, 0
	prefill := float64(r.PromptTokens) * t.set.PrefillPerToken.Seconds()
	for i := range open {
		x := &open[i]
		if x.base <= least+baseTolerance {
			sum += x.load
			eligible++
		}
		x.hash = mix(key ^ x.c.end.hash)
		x.cost = x.base + x.load*unit + (1-x.hit)*prefill/x.c.end.speed
	}
	bound := t.set.Bound*sum/float64(eligible) + 1
	best, reason := t.offer(open, least+baseTolerance, bound)
	if best == nil {
		best, reason = cheapest(open), ReasonLoad
	}
	if len(open) == 1 {
		reason = ReasonOnly
	}
	return best, reason
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// candidates finds what could serve a request.
func (t *Table) candidates(r *Request) (*candidates, error) {
	idx := t.idx.Load()
	var x *target
	if r.Model != "" {
		x = idx.models[r.Model]
	} else {
		x = idx.services[r.Service]
	}
	if x == nil {
		return nil, fmt.Errorf("%w: %s%s", ErrUnknown, r.Model, r.Service)
	}
	p := x.cands.Load()
	if p == nil || len(p.list) == 0 {
		return nil, fmt.Errorf("%w: %s%s", ErrNotResident, r.Model, r.Service)
	}
	return p, nil
}

// filter keeps the candidates that take new work and counts the others.
func (t *Table) filter(r *Request, list []candidate, open []scored, out *Choice) []scored {
	var last *end
	for i := range list {
		c := &list[i]
		e := c.end
		d := e.dom.Load()
		switch {
		case d.isolated.Load():
			out.Unhealthy++
			continue
		case e.leaving():
			out.Leaving++
			continue
		case len(r.Exclude) > 0 && slices.Contains(r.Exclude, e.spec.Name):
			out.Excluded++
			continue
		case e.isEjected(r.Now):
			out.Ejected++
			continue
		case e == last:
			// The version of the configuration comes first at an endpoint.
			continue
		}
		last = e
		x := scored{
			c: c,
		}
		// An endpoint in slow start counts as busier than it is.
		x.load = (e.outstanding() + 1) / e.speed / e.slow(r.Now, t.set.SlowStart)
		if !c.current {
			x.base += oldVersionCost
		}
		if c.role != "" && c.role != engine.RoleMixed && c.role != r.Role && !(r.Role == "" && c.role == engine.RoleDecode) {
			x.base += roleCost
		}
		if r.Adapter != "" && !slices.Contains(c.adapters, r.Adapter) {
			x.base += adapterCost
		}
		x.base += d.distance.Seconds()
		if d.unhealthy() {
			out.Unhealthy++
			x.base += unhealthyCost
		}
		open = append(open, x)
	}
	return open
}

// fallback chooses among ejected endpoints when nothing else is left, so that
// a wrong ejection does not make a model unreachable.
func (t *Table) fallback(r *Request, list []candidate) (Choice, error) {
	out := Choice{
		Candidates: len(list),
	}
	t.filter(r, list, nil, &out)
	isolated := 0
	var best *candidate
	for i := range list {
		c := &list[i]
		if c.end.dom.Load().isolated.Load() {
			isolated++
			continue
		}
		if c.end.leaving() || slices.Contains(r.Exclude, c.end.spec.Name) {
			continue
		}
		if best == nil || c.end.ejected.Load() < best.end.ejected.Load() {
			best = c
		}
	}
	if isolated == len(list) {
		return Choice{}, fmt.Errorf("%w: %s%s is only in domains that cannot be reached", ErrNotResident, r.Model, r.Service)
	}
	if best == nil {
		return Choice{}, fmt.Errorf("%w: %s%s has %d endpoints, %d leaving, %d excluded", ErrNoEndpoint, r.Model, r.Service, len(list), out.Leaving, out.Excluded)
	}
	x := scored{
		c:    best,
		load: best.end.outstanding() / best.end.speed,
	}
	t.fill(&out, r, &x, t.unit.get(), ReasonFallback)
	return out, nil
}

// hits notes which part of the prompt each candidate is expected to have cached.
func (t *Table) hits(r *Request, open []scored) {
	n := len(r.Prefixes)
	if n == 0 {
		return
	}
	type known struct {
		end        uint32
		generation uint32
		part       float64
	}
	var list [4 * holdersMax]known
	count := 0
	var bits uint64 // of the ends in the list, to skip most others quickly
	for i := n - 1; i >= 0 && count < len(list); i-- {
		holders, m := t.prefix.find(prefixHash(r.Model, r.Prefixes[i]))
		for _, h := range holders[:m] {
			if count == len(list) || r.Now.UnixNano()-h.at > int64(t.set.PrefixAge) {
				continue
			}
			list[count] = known{
				end:        h.end,
				generation: h.generation,
				part:       float64(i+1) / float64(n),
			}
			count++
			bits |= 1 << (h.end % 64)
		}
	}
	for k := range open {
		e := open[k].c.end
		if bits&(1<<(e.id%64)) == 0 {
			continue
		}
		for _, h := range list[:count] {
			if h.end != e.id {
				continue
			}
			if behind := e.generation.Load() - h.generation; behind < forgetGenerations {
				open[k].hit = max(open[k].hit, h.part/float64(uint32(1)<<behind))
			}
		}
	}
}

// prefill is the time for a prompt of which nothing is cached, in seconds.
func (t *Table) prefill(r *Request, e *end) float64 {
	return float64(r.PromptTokens) * t.set.PrefillPerToken.Seconds() / e.speed
}

// offer chooses the cheapest of the endpoints that cache the prefix and of the
// first ones by rendezvous hash, as far as they are within the bound on load
// and not much worse placed than others.
func (t *Table) offer(open []scored, base, bound float64) (*scored, Reason) {
	var best *scored
	reason := ReasonAffinity
	consider := func(x *scored, why Reason) {
		if x.load > bound {
			return
		}
		if best == nil || x.cost < best.cost {
			best, reason = x, why
		}
	}
	for i := range open {
		if open[i].hit > 0 {
			consider(&open[i], ReasonCached)
		}
	}
	var top [4]*scored
	k := min(t.set.Choices, len(top))
	n := 0
	for i := range open {
		x := &open[i]
		if x.load > bound || x.base > base {
			// The next one in the order takes the place of a loaded one.
			continue
		}
		at := n
		for at > 0 && top[at-1].hash < x.hash {
			at--
		}
		if at >= k {
			continue
		}
		if n < k {
			n++
		}
		copy(top[at+1:n], top[at:n-1])
		top[at] = x
	}
	for _, x := range top[:n] {
		why := ReasonAffinity
		if x.hit > 0 {
			why = ReasonCached
		}
		consider(x, why)
	}
	// A choice that is clearly worse than the cheapest is not kept for its hash.
	if best != nil {
		if c := cheapest(open); c.cost < best.cost-offerTolerance {
			return c, ReasonLoad
		}
	}
	return best, reason
}

// baseTolerance is how much farther an endpoint may be than the nearest one, in
// seconds, to be offered for a prefix. Other domains of a region are within it.
const baseTolerance = 0.005

// offerTolerance is how many seconds affinity may cost against the cheapest
// endpoint.
const offerTolerance = 0.5

func cheapest(open []scored) *scored {
	best := &open[0]
	for i := range open[1:] {
		if x := &open[i+1]; x.cost < best.cost {
			best = x
		}
	}
	return best
}

func (t *Table) fill(out *Choice, r *Request, x *scored, unit float64, reason Reason) {
	e := x.c.end
	out.Endpoint, out.Address, out.Domain = e.spec.Name, e.spec.Address, e.spec.Domain
	out.Version = x.c.version
	out.AdapterReady = r.Adapter == "" || slices.Contains(x.c.adapters, r.Adapter)
	out.Reason = reason
	out.Wait = time.Duration(x.load * unit * float64(time.Second))
	out.Hit = x.hit
	out.Distance = e.dom.Load().distance
	out.Outstanding = int(e.outstanding())
	out.end, out.speed = e, e.speed
}

// Start notes that a request goes to the chosen endpoint. The prefixes are
// expected in its cache from now on, since its own events come late.
func (t *Table) Start(c Choice, r Request) {
	t.budget.first()
	t.start(c, r)
}

func (t *Table) start(c Choice, r Request) {
	c.end.start(r.Now)
	for _, p := range r.Prefixes {
		t.prefix.add(prefixHash(r.Model, p), c.end.id, c.end.generation.Load(), r.Now)
	}
}

// Retry asks whether a request may be tried again. It takes one from the budget.
func (t *Table) Retry() bool { return t.budget.retry() }

// StartRetry is Start for an attempt that Retry allowed. It adds nothing to
// the budget.
func (t *Table) StartRetry(c Choice, r Request) { t.start(c, r) }

// Outcome is how an attempt ended.
type Outcome struct {
	Now time.Time
	// Failed is true when the endpoint is to blame: no connection, a broken
	// response, an error of its own.
	Failed bool
	// FirstToken is the time to the first token, zero when unknown.
	FirstToken time.Duration
}

// Finish notes that an attempt is over. It reports whether the endpoint was
// ejected because of it.
func (t *Table) Finish(c Choice, o Outcome) bool {
	c.end.finish(o.Now)
	if o.Failed {
		return c.end.fail(o.Now, &t.set)
	}
	c.end.succeed()
	if o.FirstToken > 0 {
		t.unit.learn(o.FirstToken.Seconds() * c.speed / float64(c.Outstanding+1))
	}
	return false
}

// Picker chooses endpoints: the table itself or a comparator.
type Picker interface {
	Pick(r Request) (Choice, error)
}

// Random is the comparator that draws among the endpoints that take new work.
type Random struct {
	Table *Table
	// Draw returns a number from 0 up to n-1; nil draws from math/rand.
	Draw func(n int) int
}

// Pick implements Picker.
func (p Random) Pick(r Request) (Choice, error) {
	return p.Table.compare(r, ReasonRandom, func(open []scored) *scored {
		return &open[draw(p.Draw, len(open))]
	})
}

// LeastConnections is the comparator that chooses the endpoint with the fewest
// requests of this process under way.
type LeastConnections struct {
	Table *Table
	// Draw decides between equal endpoints; nil draws from math/rand.
	Draw func(n int) int
}

func draw(f func(int) int, n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}

// Pick implements Picker.
func (p LeastConnections) Pick(r Request) (Choice, error) {
	return p.Table.compare(r, ReasonLoad, func(open []scored) *scored {
		var best *scored
		ties := 0
		for i := range open {
			x := &open[i]
			n := x.c.end.running.Load()
			switch {
			case best == nil || n < best.c.end.running.Load():
				best, ties = x, 1
			case n == best.c.end.running.Load():
				// Each of the tied endpoints is equally likely.
				ties++
				if draw(p.Draw, ties) == 0 {
					best = x
				}
			}
		}
		return best
	})
}

func (t *Table) compare(r Request, reason Reason, choose func([]scored) *scored) (Choice, error) {
	all, err := t.candidates(&r)
	if err != nil {
		return Choice{}, err
	}
	out := Choice{
		Candidates: len(all.list),
	}
	open := t.filter(&r, all.list, nil, &out)
	if len(open) == 0 {
		return t.fallback(&r, all.list)
	}
	x := choose(open)
	t.fill(&out, &r, x, t.unit.get(), reason)
	return out, nil
}
