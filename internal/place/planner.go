package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// payoffHorizon is the time over which the gain of a move is counted. Demand that
	// changes tenfold within an hour changes by about a quarter in this time.
	payoffHorizon = 5 * time.Minute
	// minGainRatio is the hysteresis for replacing one model by another: the gain
	// must exceed the loss by this factor. Noise alone makes the levels of models
	// with a few requests a minute differ by half.
	minGainRatio = 2.5
	// moveCost is the cost of a move in weighted requests, in addition to its load
	// time.
	moveCost = 5.0
	// busyUtilisation is the utilisation of an endpoint above which one of its models
	// gets another replica. spareUtilisation is the utilisation below which an
	// endpoint may receive that replica.
	busyUtilisation  = 0.65
	spareUtilisation = 0.5
	// minResidency keeps a newly loaded model from being evicted before the requests
	// that waited for it can run.
	minResidency = 15 * time.Second
	// remoteWeight scales the value of a model that another domain of the region
	// also serves: evicting it costs a millisecond per request, not the request.
	remoteWeight = 0.05
	// domainStagger is how long each domain waits for the domain before it in the
	// rank order to load a missing model. A layout reaches the other domains within
	// two seconds.
	domainStagger = 4 * time.Second
	// replicaUtilisation is the fraction of an endpoint's throughput that is assumed
	// to be available to one replica.
	replicaUtilisation = 0.6
)

// Planner is the policy that places models by the value of their demand. In this
// order it evicts where memory shrank, loads models that requests wait for, loads
// models with too few replicas, updates versions, adds replicas of models at busy
// endpoints, and unloads obsolete items. It evicts the items of least value and
// replaces a model only when the gain exceeds the cost of the move.
type Planner struct {
	// shortSince holds, by model, the time since which it has too few replicas.
	shortSince map[string]time.Time
}

// NewPlanner returns the planner.
func NewPlanner() *Planner {
	return &Planner{
		shortSince: map[string]time.Time{},
	}
}

// Name implements Policy.
func (*Planner) Name() string { return "planner" }

// planState is the working copy of a view. Moves that are chosen change it.
// Models and endpoints are identified by their index in the view.
type planState struct {
	v            *View
	index        map[string]int
	replicas     [][]int // by model: endpoints that have or load any version
	current      []int   // by model: replicas of the configured version
	currentReady []int   // by model: ready replicas of the configured version
	ready        []int   // by model: ready replicas of any version
	idle         []bool
	free         []int64
	utilisation  []float64
	hasMove      []bool // endpoints with a move in this plan
	moves        []Move
	loadsLeft    int
	shortSince   map[string]time.Time
}

// Plan implements Policy.
func (p *Planner) Plan(v *View) []Move {
	s := newPlanState(v)
	s.shortSince = p.shortSince
	s.evictExcess()
	s.placeWaitingModels()
	s.addReplicas()
	s.updateVersions()
	s.relieveBusyEndpoints()
	s.unloadObsolete()
	return s.moves
}

func newPlanState(v *View) *planState {
	s := &planState{
		v:            v,
		index:        make(map[string]int, len(v.Models)),
		replicas:     make([][]int, len(v.Models)),
		current:      make([]int, len(v.Models)),
		currentReady: make([]int, len(v.Models)),
		ready:        make([]int, len(v.Models)),
		idle:         make([]bool, len(v.Endpoints)),
		free:         make([]int64, len(v.Endpoints)),
		utilisation:  make([]float64, len(v.Endpoints)),
		hasMove:      make([]bool, len(v.Endpoints)),
		loadsLeft:    v.MaxLoads,
	}
	for i := range v.Models {
		s.index[v.Models[i].Spec.Name] = i
	}
	for ep := range v.Endpoints {
		e := &v.Endpoints[ep]
		s.idle[ep], s.free[ep] = e.Idle, e.FreeMiB
		for _, it := range e.Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" {
				continue
			}
			if !slices.Contains(s.replicas[i], ep) {
				s.replicas[i] = append(s.replicas[i], ep)
			}
			isCurrent := it.Version == v.Models[i].Spec.Version
			if isCurrent {
				s.current[i]++
			}
			if it.Ready {
				s.ready[i]++
				if isCurrent {
					s.currentReady[i]++
				}
			}
		}
	}
	s.estimateUtilisation()
	return s
}

// deficit is the fraction of a model's load that exceeds the assumed throughput
// of its replicas plus more further ones, where more may be negative.
func (s *planState) deficit(i, more int) float64 {
	m := &s.v.Models[i]
	if m.Tokens <= 0 {
		return 0
	}
	n := float64(len(s.replicas[i]) + m.RemoteReplicas + more)
	if more == 0 && m.Excess > 0 {
		return min(1, max(m.Excess/m.Tokens, 1-n*replicaUtilisation*s.v.TokensPerSecond/m.Tokens))
	}
	return max(0, 1-max(0, n)*replicaUtilisation*s.v.TokensPerSecond/m.Tokens)
}

func (s *planState) capacity(ep int) float64 {
	speed := s.v.Endpoints[ep].Speed
	if speed <= 0 {
		speed = 1
	}
	return speed * s.v.TokensPerSecond
}

// estimateUtilisation estimates the utilisation of each endpoint. Each model's
// load is divided among its replicas, with less for endpoints that other models
// use. Two rounds bring the estimate close to the balance that routing reaches.
func (s *planState) estimateUtilisation() {
	for round := range 2 {
		next := make([]float64, len(s.utilisation))
		for i := range s.v.Models {
			load := s.localTokens(i)
			if load <= 0 {
				continue
			}
			var sum float64
			for _, ep := range s.replicas[i] {
				sum += s.routingWeight(ep, round)
			}
			for _, ep := range s.replicas[i] {
				next[ep] += load * s.routingWeight(ep, round) / sum / s.capacity(ep)
			}
		}
		s.utilisation = next
	}
}

// localTokens is the part of a model's tokens per second that this domain's
// replicas serve, assuming that all replicas of the region serve equal parts.
func (s *planState) localTokens(i int) float64 {
	here := len(s.replicas[i])
	if here == 0 {
		return 0
	}
	m := &s.v.Models[i]
	return m.Tokens * float64(here) / float64(here+m.RemoteReplicas)
}

func (s *planState) routingWeight(ep, round int) float64 {
	if round == 0 {
		return s.capacity(ep)
	}
	return s.capacity(ep) / (0.2 + s.utilisation[ep])
}

// evictionLoss is the cost of evicting an item in weighted requests per second.
func (s *planState) evictionLoss(ep int, it ItemView) float64 {
	i, ok := s.index[it.Model]
	if !ok {
		return 0
	}
	m := &s.v.Models[i]
	if it.Version != m.Spec.Version && s.currentReady[i] > 0 {
		return 0
	}
	others := len(s.replicas[i]) - 1
	if others <= 0 {
		// A model without requests has a small value, so that it stays loaded while
		// no other model needs the memory.
		value := m.Value + 1e-4
		if m.RemoteReplicas > 0 && m.DomainRank > 0 {
			// The first domain in the rank order values the model fully, so that two
			// domains do not both unload it because the other one has it.
			value *= remoteWeight + s.deficit(i, -1)
		}
		return value
	}
	// The other replicas take over the load; the part that exceeds their spare
	// throughput is lost.
	share := s.deficit(i, -1)
	if m.RemoteReplicas == 0 && m.Tokens > 0 {
		spare := 0.0
		for _, o := range s.replicas[i] {
			if o != ep {
				spare += max(0, busyUtilisation-s.utilisation[o]) * s.capacity(o)
			}
		}
		here := m.Tokens / float64(len(s.replicas[i]))
		share = max(share, min(1, (here-spare)/m.Tokens))
	}
	return 1e-5 + m.Value*share
}

// chooseEvictions chooses the items to evict at an endpoint until needMiB is free,
// least loss first. It returns the items, their total loss, and whether the memory
// can be freed. With force it also evicts items newer than minResidency.
func (s *planState) chooseEvictions(ep int, needMiB int64, force bool) ([]Item, float64, bool) {
	e := &s.v.Endpoints[ep]
	if s.free[ep] >= needMiB {
		return nil, 0, true
	}
	if needMiB > e.MemoryMiB {
		return nil, 0, false
	}
	type victim struct {
		it   ItemView
		loss float64
	}
	var victims []victim
	for _, it := range e.Items {
		if it.Adapter != "" || !it.Ready {
			continue
		}
		if age := s.v.Now.Sub(it.ResidentSince); age < e.BookedFor || age < minResidency && !force {
			continue
		}
		if i, ok := s.index[it.Model]; ok && !s.v.Models[i].WaitingSince.IsZero() && s.ready[i] <= 1 {
			// Requests wait for this model and are about to be routed to its only
			// ready replica.
			continue
		}
		victims = append(victims, victim{
			it:   it,
			loss: s.evictionLoss(ep, it),
		})
	}
	// Among equal losses the larger item is evicted first, so that fewer items are
	// evicted.
	slices.SortFunc(victims, func(a, b victim) int {
		if c := cmp.Compare(a.loss, b.loss); c != 0 {
			return c
		}
		if c := cmp.Compare(b.it.MiB, a.it.MiB); c != 0 {
			return c
		}
		return compareItems(a.it.Item, b.it.Item)
	})
	free, sum := s.free[ep], 0.0
	var chosen []victim
	for _, x := range victims {
		if free >= needMiB {
			break
		}
		chosen = append(chosen, x)
		free += x.it.MiB + adaptersOf(e, x.it.Item)
		sum += x.loss
	}
	if free < needMiB {
		return nil, 0, false
	}
	// Keep items that later, larger evictions made unnecessary to evict.
	var out []Item
	for i := len(chosen) - 1; i >= 0; i-- {
		size := chosen[i].it.MiB + adaptersOf(e, chosen[i].it.Item)
		if free-size >= needMiB {
			free -= size
			sum -= chosen[i].loss
			continue
		}
		out = append(out, chosen[i].it.Item)
	}
	return out, sum, true
}

func adaptersOf(e *EndpointView, model Item) int64 {
	var sum int64
	for _, it := range e.Items {
		if it.Adapter != "" && it.Model == model.Model && it.Version == model.Version {
			sum += it.MiB
		}
	}
	return sum
}

// bestEndpoint returns the endpoint where loading the model costs least, with the
// items to evict there and their loss. The endpoint is -1 if there is none.
func (s *planState) bestEndpoint(i int, force bool, usable func(ep int) bool) (int, []Item, float64) {
	m := &s.v.Models[i]
	best, bestScore, bestLoss := -1, 0.0, 0.0
	var bestEvict []Item
	for ep := range s.v.Endpoints {
		if !s.idle[ep] || s.hasMove[ep] || slices.Contains(s.replicas[i], ep) || !usable(ep) {
			continue
		}
		evict, loss, ok := s.chooseEvictions(ep, m.memoryAt(&s.v.Endpoints[ep]), force)
		if !ok {
			continue
		}
		// The loss from evictions counts most, then load above busyUtilisation. Among
		// equals the lower utilisation decides.
		after := s.utilisation[ep] + m.Tokens/float64(len(s.replicas[i])+m.RemoteReplicas+1)/s.capacity(ep)
		score := loss + m.Value*(0.3*max(0, after-busyUtilisation)+0.01*after) + 1e-6*after + 1e-7*float64(len(evict))
		if best < 0 || score < bestScore {
			best, bestScore, bestLoss, bestEvict = ep, score, loss, evict
		}
	}
	return best, bestEvict, bestLoss
}

// startLoad adds a move that loads a model and applies its effect to the working
// copy.
func (s *planState) startLoad(i, ep int, evict []Item, reason Reason, sentence string) {
	m := &s.v.Models[i]
	e := &s.v.Endpoints[ep]
	for _, evicted := range evict {
		s.removeItem(ep, evicted)
	}
	s.hasMove[ep] = true
	s.loadsLeft--
	s.replicas[i] = append(s.replicas[i], ep)
	s.current[i]++
	s.moves = append(s.moves, Move{
		Endpoint: e.Name,
		Evict:    evict,
		Load: Item{
			Model:   m.Spec.Name,
			Version: m.Spec.Version,
		},
		MiB:         m.Spec.MemoryMiB,
		Reason:      reason,
		Explanation: sentence,
	})
}

// removeItem applies the eviction of an item to the working copy.
func (s *planState) removeItem(ep int, evicted Item) {
	i, ok := s.index[evicted.Model]
	if !ok {
		return
	}
	s.ready[i]--
	if evicted.Version == s.v.Models[i].Spec.Version {
		s.current[i]--
		s.currentReady[i]--
	}
	for _, it := range s.v.Endpoints[ep].Items {
		if it.Adapter == "" && it.Model == evicted.Model && it.Version != evicted.Version {
			return
		}
	}
	s.replicas[i] = slices.DeleteFunc(s.replicas[i], func(o int) bool { return o == ep })
}

func anyEndpoint(int) bool { return true }

// evictExcess evicts items where a changed configuration leaves less memory than
// is used.
func (s *planState) evictExcess() {
	for ep := range s.v.Endpoints {
		if !s.idle[ep] || s.free[ep] >= 0 {
			continue
		}
		evict, _, ok := s.chooseEvictions(ep, 0, true)
		if !ok || len(evict) == 0 {
			continue
		}
		s.hasMove[ep] = true
		for _, evicted := range evict {
			s.removeItem(ep, evicted)
		}
		s.moves = append(s.moves, Move{
			Endpoint:    s.v.Endpoints[ep].Name,
			Evict:       evict,
			Reason:      ReasonMemory,
			Explanation: fmt.Sprintf("%s has less memory than before, so %v is unloaded there.", s.v.Endpoints[ep].Name, evict[0]),
		})
	}
}

// placeWaitingModels loads models for which requests wait and that no endpoint of
// the domain has or is loading, earliest deadline first.
func (s *planState) placeWaitingModels() {
	var list []int
	for i := range s.v.Models {
		m := &s.v.Models[i]
		if !m.WaitingSince.IsZero() && len(s.replicas[i]) == 0 {
			list = append(list, i)
		}
	}
	deadline := func(i int) time.Time {
		m := &s.v.Models[i]
		return m.WaitingSince.Add(time.Duration(m.Spec.OnDemand))
	}
	slices.SortStableFunc(list, func(a, b int) int { return deadline(a).Compare(deadline(b)) })
	for _, i := range list {
		if s.loadsLeft <= 0 {
			return
		}
		m := &s.v.Models[i]
		waited, limit := s.v.Now.Sub(m.WaitingSince), time.Duration(m.Spec.OnDemand)
		if waited < time.Duration(m.DomainRank)*domainStagger || m.RemoteReplicas > 0 && waited < limit/2 {
			continue
		}
		// While a more valuable model would have to be evicted, the load is delayed so
		// that more requests can share it. Half of the time limit is kept for draining
		// and loading.
		force := waited >= limit/2-s.v.LoadTime
		ep, evict, loss := s.bestEndpoint(i, force, anyEndpoint)
		if ep < 0 || !force && loss > m.Value/2 {
			continue
		}
		s.startLoad(i, ep, evict, ReasonOnDemand,
			fmt.Sprintf("%s is loaded on %s because requests wait for it%s.", m.Spec.Name, s.v.Endpoints[ep].Name, evictionClause(evict)))
	}
}

func evictionClause(evict []Item) string {
	if len(evict) == 0 {
		return ""
	}
	return fmt.Sprintf("; %v, which is needed least, is unloaded to free memory", evict[0])
}

// addReplicas loads models that have no replica, or fewer than their load needs,
// most valuable first. A model without recent requests is loaded only into free
// memory.
func (s *planState) addReplicas() {
	type want struct {
		model   int
		gain    float64
		missing bool
	}
	var list []want
	for i := range s.v.Models {
		m := &s.v.Models[i]
		x := want{
			model:   i,
			missing: len(s.replicas[i])+m.RemoteReplicas == 0,
		}
		if x.missing {
			x.gain = m.Value + 1e-4
		} else if x.gain = m.Value * s.deficit(i, 0); x.gain == 0 || s.current[i] > s.currentReady[i] {
			// Replicas are added one at a time, so that the effect of each is seen.
			delete(s.shortSince, m.Spec.Name)
			continue
		}
		since, ok := s.shortSince[m.Spec.Name]
		if !ok {
			since = s.v.Now
			s.shortSince[m.Spec.Name] = since
		}
		if s.v.Now.Sub(since) >= time.Duration(m.DomainRank)*domainStagger {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b want) int { return cmp.Compare(b.gain, a.gain) })
	// Models come in falling order of gain, so after some that cannot be placed the
	// rest rarely can. Stopping at 8 keeps a step short with 1,900 models.
	failed := 0
	for _, x := range list {
		if s.loadsLeft <= 0 || failed >= 8 {
			return
		}
		m := &s.v.Models[x.model]
		ep, evict, loss := s.bestEndpoint(x.model, false, anyEndpoint)
		if ep < 0 || !s.outweighsCost(x.gain, loss, len(evict) > 0 || !x.missing) {
			failed++
			continue
		}
		if x.missing {
			s.startLoad(x.model, ep, evict, ReasonCoverage,
				fmt.Sprintf("%s is loaded on %s because no accelerator had it%s.", m.Spec.Name, s.v.Endpoints[ep].Name, evictionClause(evict)))
			continue
		}
		s.startLoad(x.model, ep, evict, ReasonDemand,
			fmt.Sprintf("%s is loaded on %s because there are more requests for it than its other accelerators can serve%s.", m.Spec.Name, s.v.Endpoints[ep].Name, evictionClause(evict)))
	}
}

// outweighsCost reports whether the gain of a move exceeds its loss and the cost
// of the move itself. Without evictions a move needs no gain.
func (s *planState) outweighsCost(gain, loss float64, evicts bool) bool {
	if !evicts {
		return true
	}
	h := payoffHorizon.Seconds() - s.v.LoadTime.Seconds()
	return gain*h > minGainRatio*loss*payoffHorizon.Seconds()+moveCost
}

// updateVersions loads the configured version of models that have replicas of
// another one: beside the old version if both fit, otherwise in its place.
func (s *planState) updateVersions() {
	for i := range s.v.Models {
		if s.loadsLeft <= 0 {
			return
		}
		m := &s.v.Models[i]
		if len(s.replicas[i]) == 0 || s.current[i] >= len(s.replicas[i]) {
			continue
		}
		if s.current[i] > s.currentReady[i] {
			// Replicas are updated one at a time, so that a faulty version is noticed
			// before all replicas have it.
			continue
		}
		s.updateVersion(i, m)
	}
}

func (s *planState) updateVersion(i int, m *ModelView) {
	inPlace, inPlaceOld := -1, Item{}
	for _, ep := range s.replicas[i] {
		e := &s.v.Endpoints[ep]
		if !s.idle[ep] || s.hasMove[ep] {
			continue
		}
		old := Item{}
		has := false
		for _, it := range e.Items {
			if it.Adapter != "" || it.Model != m.Spec.Name {
				continue
			}
			if it.Version == m.Spec.Version {
				has = true
			} else if it.Ready {
				old = it.Item
			}
		}
		if has || old == (Item{}) {
			continue
		}
		if s.free[ep] >= m.memoryAt(e) {
			s.startVersion(i, ep, nil, "beside the old one")
			return
		}
		if inPlace < 0 {
			inPlace, inPlaceOld = ep, old
		}
	}
	if s.ready[i] == 1 {
		// The only ready replica stays in service while the new version is loaded at
		// another endpoint, if the gain outweighs the cost.
		ep, evict, loss := s.bestEndpoint(i, false, anyEndpoint)
		if ep >= 0 && s.outweighsCost(m.Value+1e-4, loss, len(evict) > 0) {
			s.startVersion(i, ep, evict, "on another accelerator first")
			return
		}
	}
	if inPlace >= 0 {
		e := &s.v.Endpoints[inPlace]
		need := m.memoryAt(e)
		evict := []Item{inPlaceOld}
		free := s.free[inPlace]
		for _, it := range e.Items {
			if it.Item == inPlaceOld {
				free += it.MiB + adaptersOf(e, inPlaceOld)
			}
		}
		if free < need {
			more, _, ok := s.chooseEvictions(inPlace, need, false)
			if !ok {
				return
			}
			for _, it := range more {
				if it != inPlaceOld {
					evict = append(evict, it)
				}
			}
		}
		s.startVersion(i, inPlace, evict, "in place of the old one, because both do not fit")
	}
}

func (s *planState) startVersion(i, ep int, evict []Item, how string) {
	m := &s.v.Models[i]
	s.startLoad(i, ep, evict, ReasonVersion,
		fmt.Sprintf("Version %s of %s is loaded on %s %s.", m.Spec.Version, m.Spec.Name, s.v.Endpoints[ep].Name, how))
}

// relieveBusyEndpoints adds a replica of the model with the most load at each
// busy endpoint, at an endpoint with spare throughput.
func (s *planState) relieveBusyEndpoints() {
	order := make([]int, 0, len(s.utilisation))
	for ep, u := range s.utilisation {
		if u > busyUtilisation {
			order = append(order, ep)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.utilisation[b], s.utilisation[a]) })
	for _, busy := range order {
		if s.loadsLeft <= 0 {
			return
		}
		most, mostLoad := -1, 0.0
		for _, it := range s.v.Endpoints[busy].Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" || !it.Ready || s.current[i] > s.currentReady[i] {
				continue
			}
			if load := s.localTokens(i) / float64(len(s.replicas[i])); load > mostLoad {
				most, mostLoad = i, load
			}
		}
		if most < 0 {
			continue
		}
		m := &s.v.Models[most]
		ep, evict, loss := s.bestEndpoint(most, false, func(ep int) bool { return s.utilisation[ep] < spareUtilisation })
		if ep < 0 {
			continue
		}
		// Only the load above the threshold is part of the gain.
		excess := min(1, (s.utilisation[busy]-busyUtilisation)*s.capacity(busy)/max(mostLoad, 1e-9))
		gain := m.Value / float64(len(s.replicas[most])+m.RemoteReplicas) * excess
		if !s.outweighsCost(gain, loss, true) {
			continue
		}
		s.startLoad(most, ep, evict, ReasonOverload,
			fmt.Sprintf("%s is also loaded on %s because %s has more work than it can do in time%s.",
				m.Spec.Name, s.v.Endpoints[ep].Name, s.v.Endpoints[busy].Name, evictionClause(evict)))
	}
}

// unloadObsolete unloads versions that the configured one has replaced, and models
// that are no longer in the configuration.
func (s *planState) unloadObsolete() {
	for ep := range s.v.Endpoints {
		if !s.idle[ep] || s.hasMove[ep] {
			continue
		}
		var evict []Item
		for _, it := range s.v.Endpoints[ep].Items {
			if it.Adapter != "" || !it.Ready {
				continue
			}
			i, ok := s.index[it.Model]
			if !ok || it.Version != s.v.Models[i].Spec.Version && s.canDropOldVersion(i) {
				evict = append(evict, it.Item)
			}
		}
		if len(evict) == 0 {
			continue
		}
		s.hasMove[ep] = true
		for _, evicted := range evict {
			s.removeItem(ep, evicted)
		}
		s.moves = append(s.moves, Move{
			Endpoint:    s.v.Endpoints[ep].Name,
			Evict:       evict,
			Reason:      ReasonObsolete,
			Explanation: fmt.Sprintf("%v is unloaded from %s because it was replaced or removed.", evict[0], s.v.Endpoints[ep].Name),
		})
	}
}

// canDropOldVersion reports whether the configured version can carry the model's
// load: it is ready on at least as many endpoints as the old version, or the
// model's endpoints have enough spare throughput.
func (s *planState) canDropOldVersion(i int) bool {
	if s.currentReady[i] == 0 {
		return false
	}
	old := s.ready[i] - s.currentReady[i]
	if s.currentReady[i] >= old {
		return true
	}
	var spare float64
	for _, ep := range s.replicas[i] {
		spare += max(0, busyUtilisation-s.utilisation[ep]) * s.capacity(ep)
	}
	return s.v.Models[i].Tokens <= spare
}

// excessLoad returns, by model, the tokens per second above busyUtilisation at
// this domain's endpoints. Each busy endpoint's excess is attributed to the model
// with the most load there.
func excessLoad(v *View) map[string]float64 {
	s := newPlanState(v)
	out := map[string]float64{}
	for ep, u := range s.utilisation {
		if u <= busyUtilisation {
			continue
		}
		// Moving the largest load to another endpoint relieves this one most.
		most, mostLoad := -1, 0.0
		for _, it := range v.Endpoints[ep].Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" {
				continue
			}
			if load := s.localTokens(i) / float64(len(s.replicas[i])); load > mostLoad {
				most, mostLoad = i, load
			}
		}
		if most >= 0 {
			out[v.Models[most].Spec.Name] += min(mostLoad, (u-busyUtilisation)*s.capacity(ep))
		}
	}
	return out
}
