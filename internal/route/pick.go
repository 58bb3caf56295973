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
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// Errors returned by Pick.
var (
	// ErrUnknown means that the configuration has no such model or service.
	ErrUnknown = errors.New("route: unknown model or service")
	// ErrNotResident means that no reachable endpoint has the model loaded. The
	// caller reports demand for it and waits up to the model's on-demand limit.
	ErrNotResident = errors.New("route: model is not resident")
	// ErrNoEndpoint means that every endpoint that could serve is leaving or
	// excluded. The caller reports demand for the model here too.
	ErrNoEndpoint = errors.New("route: no endpoint takes new work")
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	Now time.Time
	// Exactly one of Service, a plain service, and Model is set.
	Service string
	Model   string
	Adapter string
	// Prefixes are digests of prefixes of the prompt, from shortest to longest.
	// The first one is the key of prefix affinity.
	Prefixes     []string
	PromptTokens int64
	// Role is the stage of the work, prefill or decode; empty means both.
	Role engine.Role
	// Exclude names endpoints at which this request has already failed.
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

// Choice is a chosen endpoint with the estimates and counts behind the decision.
type Choice struct {
	Endpoint string
	Address  string
	Domain   string
	Version  string
	// Remote is set if the endpoint is in another domain.
	Remote bool
	// AdapterReady is false when the adapter has to be loaded first.
	AdapterReady bool
	Reason       Reason
	// Wait, Hit, Distance and Outstanding are the estimates used for the choice.
	// Hit is the share of the prompt expected in the endpoint's cache.
	Wait        time.Duration
	Hit         float64
	Distance    time.Duration
	Outstanding int
	// Candidates is the number of endpoints that have the model. The other
	// fields count candidates that were skipped or, for Unhealthy, penalized.
	Candidates int
	Leaving    int
	Closed     int
	Ejected    int
	Excluded   int
	Unhealthy  int

	state *endpoint
	key   fleet.Key
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
	// Costs are in seconds. oldVersionCost and roleCost make a candidate unlikely
	// to be chosen without excluding it.
	oldVersionCost = 0.05
	roleCost       = 0.5
	// adapterCost is the time to order and load an adapter.
	adapterCost = 0.1
	// unhealthyCost keeps requests out of an unhealthy domain while another
	// domain can serve them.
	unhealthyCost = 2.0
)

// scored is a candidate with its estimated cost.
type scored struct {
	candidate *candidate
	load      float64 // outstanding requests divided by speed
	hash      uint64  // rendezvous hash
	hit       float64 // share of the prompt expected in the cache
	base      float64 // cost without load and prefill, in seconds
	cost      float64 // total cost in seconds
}

// maxFarCandidates limits the endpoints of other regions that one decision
// evaluates, so that a decision takes less than 50 µs with 2,600 endpoints.
const maxFarCandidates = 256

// scoredPool recycles the lists that Pick fills.
var scoredPool = sync.Pool{
	New: func() any {
		list := make([]scored, 0, 128)
		return &list
	},
}

// Pick chooses the endpoint for a request. The caller calls Start with the choice
// when it sends the request, and Finish when the attempt ends.
func (t *Table) Pick(r Request) (Choice, error) {
	all, err := t.candidates(&r)
	if err != nil {
		return Choice{}, err
	}
	buf := scoredPool.Get().(*[]scored)
	defer scoredPool.Put(buf)
	waitPerRequest := t.waitPerRequest.get()
	var key uint64
	if len(r.Prefixes) > 0 {
		key = nameHash(r.Prefixes[0])
	} else {
		// Without a prefix a random key is used, so that nodes with the same
		// lagging reports do not all choose the same endpoint.
		key = rand.Uint64()
	}
	for i, tier := range all.tiers {
		out := Choice{
			Candidates: len(all.list),
		}
		near, far := all.list[:tier], []candidate(nil)
		if i > 0 && tier-all.tiers[0] > maxFarCandidates {
			// A random window of the far candidates is enough to find an idle one.
			near, far = all.list[:all.tiers[0]], all.list[all.tiers[0]:tier]
			from := rand.IntN(len(far) - maxFarCandidates + 1)
			far = far[from : from+maxFarCandidates]
		}
		available := t.filter(&r, near, (*buf)[:0], &out)
		available = t.filter(&r, far, available, &out)
		*buf = available[:0]
		if len(available) == 0 {
			continue
		}
		best, reason := t.choose(&r, available, waitPerRequest, key)
		if i+1 < len(all.tiers) {
			// The next tier is evaluated only when an idle endpoint there could
			// be cheaper.
			next := all.list[tier].endpoint.domain.Load().distance.Seconds()
			if best.cost > next+waitPerRequest+t.prefill(&r, best.candidate.endpoint) {
				continue
			}
		}
		if len(all.list) == 1 {
			reason = ReasonOnly
		}
		t.fillChoice(&out, &r, best, waitPerRequest, reason)
		return out, nil
	}
	return t.fallback(&r, all.list)
}

// choose scores the available endpoints and returns the best one.
func (t *Table) choose(r *Request, available []scored, waitPerRequest float64, key uint64) (*scored, Reason) {
	t.setHits(r, available)
	least := available[0].base
	for i := range available {
		least = min(least, available[i].base)
	}
	sum, eligible := 0.0, 0
	prefill := float64(r.PromptTokens) * t.settings.PrefillPerToken.Seconds()
	for i := range available {
		x := &available[i]
		if x.base <= least+baseTolerance {
			sum += x.load
			eligible++
		}
		x.hash = mixBits(key ^ x.candidate.endpoint.hash)
		x.cost = x.base + x.load*waitPerRequest + (1-x.hit)*prefill/x.candidate.endpoint.speed
	}
	bound := t.settings.Bound*sum/float64(eligible) + 1
	best, reason := t.chooseByAffinity(available, least+baseTolerance, bound)
	if best == nil {
		best, reason = cheapest(available), ReasonLoad
	}
	if len(available) == 1 {
		reason = ReasonOnly
	}
	return best, reason
}

// mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// candidates returns the endpoints that have the model or service of a request.
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
	p := x.candidates.Load()
	if p == nil || len(p.list) == 0 {
		return nil, fmt.Errorf("%w: %s%s", ErrNotResident, r.Model, r.Service)
	}
	return p, nil
}

// filter appends the candidates that take new work to available and counts the
// others in out.
func (t *Table) filter(r *Request, list []candidate, available []scored, out *Choice) []scored {
	var last *endpoint
	ask := !t.health.IsEmpty()
	for i := range list {
		c := &list[i]
		e := c.endpoint
		d := e.domain.Load()
		switch {
		case d.isolated.Load():
			out.Unhealthy++
			continue
		case e.leaving():
			out.Leaving++
			continue
		case ask && !t.health.Ask(r.Now, e.key()).Usable:
			out.Closed++
			continue
		case len(r.Exclude) > 0 && slices.Contains(r.Exclude, e.spec.Name):
			out.Excluded++
			continue
		case e.isEjected(r.Now):
			out.Ejected++
			continue
		case e == last:
			// An endpoint with several versions of the model is considered once.
			// The version that the configuration names is first in the list.
			continue
		}
		last = e
		x := scored{
			candidate: c,
		}
		// Slow start inflates the load of the endpoint.
		x.load = (e.outstanding() + 1) / e.speed / e.slowStartFactor(r.Now, t.settings.SlowStart)
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
		available = append(available, x)
	}
	return available
}

// fallback chooses the ejected endpoint whose ejection ends first when no other
// endpoint is left, so that a wrong ejection does not make a model unreachable.
func (t *Table) fallback(r *Request, list []candidate) (Choice, error) {
	out := Choice{
		Candidates: len(list),
	}
	t.filter(r, list, nil, &out)
	isolated, open := 0, 0
	var best *candidate
	var closed *health.ClosedError
	for i := range list {
		c := &list[i]
		if c.endpoint.domain.Load().isolated.Load() {
			isolated++
			continue
		}
		v := t.health.Ask(r.Now, c.endpoint.key())
		if c.endpoint.leaving() || v.Reason == health.Leaving {
			continue
		}
		if v.Reason == health.Closed {
			if closed == nil || v.Until.Before(closed.Until) {
				closed = &health.ClosedError{
					Engine: c.endpoint.key(),
					Until:  v.Until,
				}
			}
			continue
		}
		open++
		if slices.Contains(r.Exclude, c.endpoint.spec.Name) {
			continue
		}
		if best == nil || c.endpoint.ejectedUntil.Load() < best.endpoint.ejectedUntil.Load() {
			best = c
		}
	}
	if isolated == len(list) {
		return Choice{}, fmt.Errorf("%w: %s%s is only in domains that cannot be reached", ErrNotResident, r.Model, r.Service)
	}
	if open == 0 && closed != nil {
		return Choice{}, closed
	}
	if best == nil {
		return Choice{}, fmt.Errorf("%w: %s%s has %d endpoints, %d leaving, %d excluded", ErrNoEndpoint, r.Model, r.Service, len(list), out.Leaving, out.Excluded)
	}
	x := scored{
		candidate: best,
		load:      best.endpoint.outstanding() / best.endpoint.speed,
	}
	t.fillChoice(&out, r, &x, t.waitPerRequest.get(), ReasonFallback)
	return out, nil
}

// setHits sets the share of the prompt that each candidate is expected to have
// cached.
func (t *Table) setHits(r *Request, available []scored) {
	n := len(r.Prefixes)
	if n == 0 {
		return
	}
	type known struct {
		endpointID uint32
		generation uint32
		part       float64
	}
	var list [4 * maxHolders]known
	count := 0
	var bits uint64 // Bloom filter of the endpoint IDs in the list
	for i := n - 1; i >= 0 && count < len(list); i-- {
		holders, m := t.prefixes.find(prefixHash(r.Model, r.Prefixes[i]))
		for _, h := range holders[:m] {
			if count == len(list) || r.Now.UnixNano()-h.recordedAt > int64(t.settings.PrefixAge) {
				continue
			}
			list[count] = known{
				endpointID: h.endpointID,
				generation: h.generation,
				part:       float64(i+1) / float64(n),
			}
			count++
			bits |= 1 << (h.endpointID % 64)
		}
	}
	for k := range available {
		e := available[k].candidate.endpoint
		if bits&(1<<(e.id%64)) == 0 {
			continue
		}
		for _, h := range list[:count] {
			if h.endpointID != e.id {
				continue
			}
			if behind := e.generation.Load() - h.generation; behind < forgetGenerations {
				available[k].hit = max(available[k].hit, h.part/float64(uint32(1)<<behind))
			}
		}
	}
}

// prefill returns the time in seconds to process a prompt that is not cached at all.
func (t *Table) prefill(r *Request, e *endpoint) float64 {
	return float64(r.PromptTokens) * t.settings.PrefillPerToken.Seconds() / e.speed
}

// chooseByAffinity returns the cheapest endpoint among those that cache a prefix
// and the first ones by rendezvous hash. Candidates above the load bound are
// skipped, and for the hash also those with a base cost above base. It returns
// nil when none remains. If the cheapest endpoint of all costs less by more than
// affinityTolerance, it is returned instead.
func (t *Table) chooseByAffinity(available []scored, base, bound float64) (*scored, Reason) {
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
	for i := range available {
		if available[i].hit > 0 {
			consider(&available[i], ReasonCached)
		}
	}
	var top [4]*scored
	k := min(t.settings.Choices, len(top))
	n := 0
	for i := range available {
		x := &available[i]
		if x.load > bound || x.base > base {
			// The next endpoint in hash order takes its place.
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
	// Affinity does not justify a choice that is clearly worse than the cheapest.
	if best != nil {
		if c := cheapest(available); c.cost < best.cost-affinityTolerance {
			return c, ReasonLoad
		}
	}
	return best, reason
}

// baseTolerance is how many seconds the base cost of an endpoint may exceed the
// lowest one for the endpoint to be eligible by rendezvous hash. The distance to
// other domains of the same region is within it.
const baseTolerance = 0.005

// affinityTolerance is how many seconds an endpoint chosen by affinity may cost
// more than the cheapest one.
const affinityTolerance = 0.5

func cheapest(available []scored) *scored {
	best := &available[0]
	for i := range available[1:] {
		if x := &available[i+1]; x.cost < best.cost {
			best = x
		}
	}
	return best
}

// fillChoice sets the fields of out that describe the chosen endpoint.
func (t *Table) fillChoice(out *Choice, r *Request, x *scored, waitPerRequest float64, reason Reason) {
	e := x.candidate.endpoint
	out.Endpoint, out.Address, out.Domain = e.spec.Name, e.spec.Address, e.spec.Domain
	out.Version, out.Remote = x.candidate.version, e.spec.Domain != t.settings.Domain
	out.AdapterReady = r.Adapter == "" || slices.Contains(x.candidate.adapters, r.Adapter)
	out.Reason = reason
	out.Wait = time.Duration(x.load * waitPerRequest * float64(time.Second))
	out.Hit = x.hit
	out.Distance = e.domain.Load().distance
	out.Outstanding = int(e.outstanding())
	out.state, out.key, out.speed = e, e.key(), e.speed
}

// Hear records what an endpoint said of itself in an answer that arrived at now. It
// reports whether the endpoint newly leaves.
func (t *Table) Hear(now time.Time, c Choice, s engine.Statement) bool {
	if s.Wait.For > 0 {
		t.health.SetClosed(now, c.key, now.Add(s.Wait.For))
	}
	if !s.Leaving || c.key != c.state.key() || !t.health.SetLeaving(now, c.key, health.Answer) {
		return false
	}
	c.state.saidLeaving.Store(now.UnixNano())
	return true
}

// Usable reports whether the chosen endpoint still takes new requests.
func (t *Table) Usable(now time.Time, c Choice) bool { return t.health.Ask(now, c.key).Usable }

// Start records the first attempt of a request at the chosen endpoint. The
// prefixes are treated as cached there from now on, because the endpoint's cache
// events arrive late.
func (t *Table) Start(c Choice, r Request) {
	t.budget.credit()
	t.start(c, r)
}

func (t *Table) start(c Choice, r Request) {
	c.state.start(r.Now)
	for _, p := range r.Prefixes {
		t.prefixes.add(prefixHash(r.Model, p), c.state.id, c.state.generation.Load(), r.Now)
	}
}

// Retry reports whether the retry budget allows another attempt, and takes that
// attempt from the budget.
func (t *Table) Retry() bool { return t.budget.take() }

// StartRetry is Start for a retry. Unlike Start it does not add to the retry
// budget.
func (t *Table) StartRetry(c Choice, r Request) { t.start(c, r) }

// Outcome describes how an attempt ended.
type Outcome struct {
	Now time.Time
	// Failed is set when the endpoint caused the failure: no connection, a
	// broken response or an internal error.
	Failed bool
	// FirstToken is the time to the first token, zero when unknown.
	FirstToken time.Duration
}

// Finish records the end of an attempt and reports whether its failure ejected
// the endpoint.
func (t *Table) Finish(c Choice, o Outcome) bool {
	c.state.finish(o.Now)
	if o.Failed {
		return c.state.recordFailure(o.Now, &t.settings)
	}
	c.state.recordSuccess()
	if o.FirstToken > 0 {
		t.waitPerRequest.learn(o.FirstToken.Seconds() * c.speed / float64(c.Outstanding+1))
	}
	return false
}

// Picker chooses endpoints. It is implemented by Table and by the baseline
// policies Random and LeastConnections.
type Picker interface {
	Pick(r Request) (Choice, error)
}

// Random is a baseline policy that draws among the endpoints that take new work.
type Random struct {
	Table *Table
	// Draw returns a number from 0 up to n-1; nil draws from math/rand.
	Draw func(n int) int
}

// Pick implements Picker.
func (p Random) Pick(r Request) (Choice, error) {
	return p.Table.pickBaseline(r, ReasonRandom, func(available []scored) *scored {
		return &available[draw(p.Draw, len(available))]
	})
}

// LeastConnections is a baseline policy that chooses the endpoint with the fewest
// requests of this process in flight.
type LeastConnections struct {
	Table *Table
	// Draw breaks ties; it returns a number from 0 up to n-1. Nil draws from
	// math/rand.
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
	return p.Table.pickBaseline(r, ReasonLoad, func(available []scored) *scored {
		var best *scored
		ties := 0
		for i := range available {
			x := &available[i]
			n := x.candidate.endpoint.running.Load()
			switch {
			case best == nil || n < best.candidate.endpoint.running.Load():
				best, ties = x, 1
			case n == best.candidate.endpoint.running.Load():
				// Reservoir sampling makes each of the tied endpoints equally likely.
				ties++
				if draw(p.Draw, ties) == 0 {
					best = x
				}
			}
		}
		return best
	})
}

// pickBaseline applies choose to the endpoints that take new work.
func (t *Table) pickBaseline(r Request, reason Reason, choose func([]scored) *scored) (Choice, error) {
	all, err := t.candidates(&r)
	if err != nil {
		return Choice{}, err
	}
	out := Choice{
		Candidates: len(all.list),
	}
	available := t.filter(&r, all.list, nil, &out)
	if len(available) == 0 {
		return t.fallback(&r, all.list)
	}
	x := choose(available)
	t.fillChoice(&out, &r, x, t.waitPerRequest.get(), reason)
	return out, nil
}
