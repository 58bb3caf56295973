package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// horizon is how long a move is expected to pay off. Demand that moves
	// tenfold within an hour changes by about a quarter in it.
	horizon = 5 * time.Minute
	// gainFactor is the hysteresis of replacing one model by another. The levels
	// of models with a few requests a minute differ by half through chance alone.
	gainFactor = 2.5
	// moveCost is what a move costs in weighted requests besides its load time.
	moveCost = 5.0
	// busyShare is the utilisation above which a model gets another replica, and
	// spareShare the one below which an endpoint may take it.
	busyShare  = 0.65
	spareShare = 0.5
	// minStay protects a model that was loaded just now from being evicted
	// before the requests that waited for it had a chance to run.
	minStay = 15 * time.Second
	// remoteShare is how much a model counts whose requests another domain of
	// the region serves: a millisecond more is lost, not the request.
	remoteShare = 0.05
	// turnTime is how long a domain leaves a missing model to the domain before
	// it in the order. Layouts travel between domains within two seconds.
	turnTime = 4 * time.Second
	// replicaShare is the part of an endpoint that one replica is counted on for.
	replicaShare = 0.6
)

// Planner places models by what they are worth: coverage first, then requests
// that wait, then replicas for busy models. It evicts what is worth least and
// starts a move only when its gain outweighs its load time.
type Planner struct {
	// short is since when a model has had too few replicas.
	short map[string]time.Time
}

// NewPlanner returns the planner.
func NewPlanner() *Planner {
	return &Planner{
		short: map[string]time.Time{},
	}
}

// Name implements Policy.
func (*Planner) Name() string { return "planner" }

// planState is the picture that a plan works on. It changes as moves are chosen.
type planState struct {
	v        *View
	index    map[string]int
	replicas [][]int // by model: endpoints that have or get any version
	fresh    []int   // by model: replicas of the wanted version
	freshOK  []int   // by model: ready ones of those
	ready    []int   // by model: ready replicas of any version
	idle     []bool
	free     []int64
	util     []float64
	touched  []bool // endpoints with a move in this plan
	moves    []Move
	loads    int
	short    map[string]time.Time
}

// Plan implements Policy.
func (p *Planner) Plan(v *View) []Move {
	s := newPlanState(v)
	s.short = p.short
	s.shrink()
	s.waiting()
	s.cover()
	s.versions()
	s.overload()
	s.obsolete()
	return s.moves
}

func newPlanState(v *View) *planState {
	s := &planState{
		v:        v,
		index:    make(map[string]int, len(v.Models)),
		replicas: make([][]int, len(v.Models)),
		fresh:    make([]int, len(v.Models)),
		freshOK:  make([]int, len(v.Models)),
		ready:    make([]int, len(v.Models)),
		idle:     make([]bool, len(v.Endpoints)),
		free:     make([]int64, len(v.Endpoints)),
		util:     make([]float64, len(v.Endpoints)),
		touched:  make([]bool, len(v.Endpoints)),
		loads:    v.Loads,
	}
	for i := range v.Models {
		s.index[v.Models[i].Spec.Name] = i
	}
	for at := range v.Endpoints {
		e := &v.Endpoints[at]
		s.idle[at], s.free[at] = e.Idle, e.FreeMiB
		for _, it := range e.Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" {
				continue
			}
			if !slices.Contains(s.replicas[i], at) {
				s.replicas[i] = append(s.replicas[i], at)
			}
			isFresh := it.Version == v.Models[i].Spec.Version
			if isFresh {
				s.fresh[i]++
			}
			if it.Ready {
				s.ready[i]++
				if isFresh {
					s.freshOK[i]++
				}
			}
		}
	}
	s.spread()
	return s
}

// deficit is the part of a model's load that its replicas, and more of them,
// cannot be counted on for.
func (s *planState) deficit(i, more int) float64 {
	m := &s.v.Models[i]
	if m.Tokens <= 0 {
		return 0
	}
	n := float64(len(s.replicas[i]) + m.Remote + more)
	if more == 0 && m.Excess > 0 {
		return min(1, max(m.Excess/m.Tokens, 1-n*replicaShare*s.v.TokensPerSecond/m.Tokens))
	}
	return max(0, 1-max(0, n)*replicaShare*s.v.TokensPerSecond/m.Tokens)
}

func (s *planState) capacity(at int) float64 {
	speed := s.v.Endpoints[at].Speed
	if speed <= 0 {
		speed = 1
	}
	return speed * s.v.TokensPerSecond
}

// spread estimates the utilisation of each endpoint when each model's load is
// divided among its replicas by what the others leave them. Two rounds bring
// the estimate close to balance; routing does the rest.
func (s *planState) spread() {
	for round := range 2 {
		next := make([]float64, len(s.util))
		for i := range s.v.Models {
			load := s.local(i)
			if load <= 0 {
				continue
			}
			var sum float64
			for _, at := range s.replicas[i] {
				sum += s.weight(at, round)
			}
			for _, at := range s.replicas[i] {
				next[at] += load * s.weight(at, round) / sum / s.capacity(at)
			}
		}
		s.util = next
	}
}

// local is the part of a model's load that comes to this domain's replicas.
func (s *planState) local(i int) float64 {
	here := len(s.replicas[i])
	if here == 0 {
		return 0
	}
	m := &s.v.Models[i]
	return m.Tokens * float64(here) / float64(here+m.Remote)
}

func (s *planState) weight(at, round int) float64 {
	if round == 0 {
		return s.capacity(at)
	}
	return s.capacity(at) / (0.2 + s.util[at])
}

// loss is what evicting an item costs, in weighted requests per second.
func (s *planState) loss(at int, it ItemView) float64 {
	i, ok := s.index[it.Model]
	if !ok {
		return 0
	}
	m := &s.v.Models[i]
	if it.Version != m.Spec.Version && s.freshOK[i] > 0 {
		return 0
	}
	others := len(s.replicas[i]) - 1
	if others <= 0 {
		// A model without requests is worth a little, so that coverage is kept
		// where nothing else needs the room.
		value := m.Value + 1e-4
		if m.Remote > 0 && m.Turn > 0 {
			// The first domain in the order keeps the model, so that two do not
			// unload it at once because of each other.
			value *= remoteShare + s.deficit(i, -1)
		}
		return value
	}
	// The others take the load over; what does not fit there is lost.
	share := s.deficit(i, -1)
	if m.Remote == 0 && m.Tokens > 0 {
		spare := 0.0
		for _, o := range s.replicas[i] {
			if o != at {
				spare += max(0, busyShare-s.util[o]) * s.capacity(o)
			}
		}
		here := m.Tokens / float64(len(s.replicas[i]))
		share = max(share, min(1, (here-spare)/m.Tokens))
	}
	return 1e-5 + m.Value*share
}

// room chooses what to evict at an endpoint so that need fits, least loss first.
func (s *planState) room(at int, need int64, force bool) ([]Item, float64, bool) {
	e := &s.v.Endpoints[at]
	if s.free[at] >= need {
		return nil, 0, true
	}
	if need > e.MemoryMiB {
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
		if age := s.v.Now.Sub(it.Since); age < e.Hold || age < minStay && !force {
			continue
		}
		if i, ok := s.index[it.Model]; ok && !s.v.Models[i].Waiting.IsZero() && s.ready[i] <= 1 {
			// Requests wait for it to be routed here.
			continue
		}
		victims = append(victims, victim{
			it:   it,
			loss: s.loss(at, it),
		})
	}
	// Among equal losses the larger one goes, so that fewer have to.
	slices.SortFunc(victims, func(a, b victim) int {
		if c := cmp.Compare(a.loss, b.loss); c != 0 {
			return c
		}
		if c := cmp.Compare(b.it.MiB, a.it.MiB); c != 0 {
			return c
		}
		return compareItems(a.it.Item, b.it.Item)
	})
	free, sum := s.free[at], 0.0
	var chosen []victim
	for _, x := range victims {
		if free >= need {
			break
		}
		chosen = append(chosen, x)
		free += x.it.MiB + adaptersOf(e, x.it.Item)
		sum += x.loss
	}
	if free < need {
		return nil, 0, false
	}
	// Small ones at the front may not be needed any more.
	var out []Item
	for i := len(chosen) - 1; i >= 0; i-- {
		size := chosen[i].it.MiB + adaptersOf(e, chosen[i].it.Item)
		if free-size >= need {
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

// best finds the endpoint where loading the model costs least.
func (s *planState) best(i int, force bool, usable func(at int) bool) (int, []Item, float64) {
	m := &s.v.Models[i]
	best, bestScore, bestLoss := -1, 0.0, 0.0
	var bestEvict []Item
	for at := range s.v.Endpoints {
		if !s.idle[at] || s.touched[at] || slices.Contains(s.replicas[i], at) || !usable(at) {
			continue
		}
		evict, loss, ok := s.room(at, m.needAt(&s.v.Endpoints[at]), force)
		if !ok {
			continue
		}
		// What is lost counts most, then work that the endpoint could not do in
		// time; utilisation decides among equals.
		after := s.util[at] + m.Tokens/float64(len(s.replicas[i])+m.Remote+1)/s.capacity(at)
		score := loss + m.Value*(0.3*max(0, after-busyShare)+0.01*after) + 1e-6*after + 1e-7*float64(len(evict))
		if best < 0 || score < bestScore {
			best, bestScore, bestLoss, bestEvict = at, score, loss, evict
		}
	}
	return best, bestEvict, bestLoss
}

// start records a move and its effect on the picture.
func (s *planState) start(i, at int, evict []Item, reason Reason, sentence string) {
	m := &s.v.Models[i]
	e := &s.v.Endpoints[at]
	for _, gone := range evict {
		s.forget(at, gone)
	}
	s.touched[at] = true
	s.loads--
	s.replicas[i] = append(s.replicas[i], at)
	s.fresh[i]++
	s.moves = append(s.moves, Move{
		Endpoint: e.Name,
		Evict:    evict,
		Load: Item{
			Model:   m.Spec.Name,
			Version: m.Spec.Version,
		},
		MiB:      m.Spec.MemoryMiB,
		Reason:   reason,
		Sentence: sentence,
	})
}

// forget takes an item out of the picture.
func (s *planState) forget(at int, gone Item) {
	i, ok := s.index[gone.Model]
	if !ok {
		return
	}
	s.ready[i]--
	if gone.Version == s.v.Models[i].Spec.Version {
		s.fresh[i]--
		s.freshOK[i]--
	}
	for _, it := range s.v.Endpoints[at].Items {
		if it.Adapter == "" && it.Model == gone.Model && it.Version != gone.Version {
			return
		}
	}
	s.replicas[i] = slices.DeleteFunc(s.replicas[i], func(o int) bool { return o == at })
}

func always(int) bool { return true }

// shrink evicts where a changed configuration leaves less memory than is used.
func (s *planState) shrink() {
	for at := range s.v.Endpoints {
		if !s.idle[at] || s.free[at] >= 0 {
			continue
		}
		evict, _, ok := s.room(at, 0, true)
		if !ok || len(evict) == 0 {
			continue
		}
		s.touched[at] = true
		for _, gone := range evict {
			s.forget(at, gone)
		}
		s.moves = append(s.moves, Move{
			Endpoint: s.v.Endpoints[at].Name,
			Evict:    evict,
			Reason:   ReasonMemory,
			Sentence: fmt.Sprintf("%s has less memory than before, so %v is unloaded there.", s.v.Endpoints[at].Name, evict[0]),
		})
	}
}

// waiting serves models for which requests wait and that no endpoint here has
// or gets. The one whose bound ends first comes first.
func (s *planState) waiting() {
	var list []int
	for i := range s.v.Models {
		m := &s.v.Models[i]
		if !m.Waiting.IsZero() && len(s.replicas[i]) == 0 {
			list = append(list, i)
		}
	}
	bound := func(i int) time.Time {
		m := &s.v.Models[i]
		return m.Waiting.Add(time.Duration(m.Spec.OnDemand))
	}
	slices.SortStableFunc(list, func(a, b int) int { return bound(a).Compare(bound(b)) })
	for _, i := range list {
		if s.loads <= 0 {
			return
		}
		m := &s.v.Models[i]
		waited, limit := s.v.Now.Sub(m.Waiting), time.Duration(m.Spec.OnDemand)
		if waited < time.Duration(m.Turn)*turnTime || m.Remote > 0 && waited < limit/2 {
			continue
		}
		// While a more valuable model would have to go, waiting lets requests
		// gather. Half of the bound is left for draining and loading.
		force := waited >= limit/2-s.v.LoadTime
		at, evict, loss := s.best(i, force, always)
		if at < 0 || !force && loss > m.Value/2 {
			continue
		}
		s.start(i, at, evict, ReasonOnDemand,
			fmt.Sprintf("%s is loaded on %s because requests wait for it%s.", m.Spec.Name, s.v.Endpoints[at].Name, roomPhrase(evict)))
	}
}

func roomPhrase(evict []Item) string {
	if len(evict) == 0 {
		return ""
	}
	return fmt.Sprintf("; %v makes room, which is needed least", evict[0])
}

// cover loads models that have no replica, or fewer than their load needs, the
// most valuable first. A model without recent requests is covered only where
// there is free memory.
func (s *planState) cover() {
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
			missing: len(s.replicas[i])+m.Remote == 0,
		}
		if x.missing {
			x.gain = m.Value + 1e-4
		} else if x.gain = m.Value * s.deficit(i, 0); x.gain == 0 || s.fresh[i] > s.freshOK[i] {
			// One replica comes after the other, so that its effect is seen.
			delete(s.short, m.Spec.Name)
			continue
		}
		since, ok := s.short[m.Spec.Name]
		if !ok {
			since = s.v.Now
			s.short[m.Spec.Name] = since
		}
		if s.v.Now.Sub(since) >= time.Duration(m.Turn)*turnTime {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b want) int { return cmp.Compare(b.gain, a.gain) })
	// Once a model finds no cheap place, the next ones hardly do; the bound
	// keeps a step short with 1,900 models.
	failed := 0
	for _, x := range list {
		if s.loads <= 0 || failed >= 8 {
			return
		}
		m := &s.v.Models[x.model]
		at, evict, loss := s.best(x.model, false, always)
		if at < 0 || !s.pays(x.gain, loss, len(evict) > 0 || !x.missing) {
			failed++
			continue
		}
		if x.missing {
			s.start(x.model, at, evict, ReasonCoverage,
				fmt.Sprintf("%s is loaded on %s because no accelerator had it%s.", m.Spec.Name, s.v.Endpoints[at].Name, roomPhrase(evict)))
			continue
		}
		s.start(x.model, at, evict, ReasonDemand,
			fmt.Sprintf("%s is loaded on %s because it is asked for more than its other places can serve%s.", m.Spec.Name, s.v.Endpoints[at].Name, roomPhrase(evict)))
	}
}

// pays reports whether a gain outweighs a loss and the move itself. Loading
// into free memory needs no gain.
func (s *planState) pays(gain, loss float64, evicts bool) bool {
	if !evicts {
		return true
	}
	h := horizon.Seconds() - s.v.LoadTime.Seconds()
	return gain*h > gainFactor*loss*horizon.Seconds()+moveCost
}

// versions brings models to the version of the configuration: the new one is
// loaded beside the old one where that fits, and in its place where it does not.
func (s *planState) versions() {
	for i := range s.v.Models {
		if s.loads <= 0 {
			return
		}
		m := &s.v.Models[i]
		if len(s.replicas[i]) == 0 || s.fresh[i] >= len(s.replicas[i]) {
			continue
		}
		if s.fresh[i] > s.freshOK[i] {
			// One at a time, so that a bad version shows before it is everywhere.
			continue
		}
		s.update(i, m)
	}
}

func (s *planState) update(i int, m *ModelView) {
	inPlace, inPlaceOld := -1, Item{}
	for _, at := range s.replicas[i] {
		e := &s.v.Endpoints[at]
		if !s.idle[at] || s.touched[at] {
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
		if s.free[at] >= m.needAt(e) {
			s.startVersion(i, at, nil, "beside the old one")
			return
		}
		if inPlace < 0 {
			inPlace, inPlaceOld = at, old
		}
	}
	if s.ready[i] == 1 {
		// The only replica stays in service while the new one is loaded
		// elsewhere, if that costs little.
		at, evict, loss := s.best(i, false, always)
		if at >= 0 && s.pays(m.Value+1e-4, loss, len(evict) > 0) {
			s.startVersion(i, at, evict, "on another accelerator first")
			return
		}
	}
	if inPlace >= 0 {
		e := &s.v.Endpoints[inPlace]
		need := m.needAt(e)
		evict := []Item{inPlaceOld}
		free := s.free[inPlace]
		for _, it := range e.Items {
			if it.Item == inPlaceOld {
				free += it.MiB + adaptersOf(e, inPlaceOld)
			}
		}
		if free < need {
			more, _, ok := s.room(inPlace, need, false)
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

func (s *planState) startVersion(i, at int, evict []Item, how string) {
	m := &s.v.Models[i]
	s.start(i, at, evict, ReasonVersion,
		fmt.Sprintf("Version %s of %s is loaded on %s %s.", m.Spec.Version, m.Spec.Name, s.v.Endpoints[at].Name, how))
}

// overload gives the models of busy endpoints another replica where there is
// spare throughput.
func (s *planState) overload() {
	order := make([]int, 0, len(s.util))
	for at, u := range s.util {
		if u > busyShare {
			order = append(order, at)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.util[b], s.util[a]) })
	for _, busy := range order {
		if s.loads <= 0 {
			return
		}
		most, mostLoad := -1, 0.0
		for _, it := range s.v.Endpoints[busy].Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" || !it.Ready || s.fresh[i] > s.freshOK[i] {
				continue
			}
			if load := s.local(i) / float64(len(s.replicas[i])); load > mostLoad {
				most, mostLoad = i, load
			}
		}
		if most < 0 {
			continue
		}
		m := &s.v.Models[most]
		at, evict, loss := s.best(most, false, func(at int) bool { return s.util[at] < spareShare })
		if at < 0 {
			continue
		}
		// Only the part above the threshold is gained.
		excess := min(1, (s.util[busy]-busyShare)*s.capacity(busy)/max(mostLoad, 1e-9))
		gain := m.Value / float64(len(s.replicas[most])+m.Remote) * excess
		if !s.pays(gain, loss, true) {
			continue
		}
		s.start(most, at, evict, ReasonOverload,
			fmt.Sprintf("%s is also loaded on %s because %s has more work than it can do in time%s.",
				m.Spec.Name, s.v.Endpoints[at].Name, s.v.Endpoints[busy].Name, roomPhrase(evict)))
	}
}

// obsolete unloads versions that a newer one has replaced, and models that the
// configuration no longer has.
func (s *planState) obsolete() {
	for at := range s.v.Endpoints {
		if !s.idle[at] || s.touched[at] {
			continue
		}
		var evict []Item
		for _, it := range s.v.Endpoints[at].Items {
			if it.Adapter != "" || !it.Ready {
				continue
			}
			i, ok := s.index[it.Model]
			if !ok || it.Version != s.v.Models[i].Spec.Version && s.replaced(i) {
				evict = append(evict, it.Item)
			}
		}
		if len(evict) == 0 {
			continue
		}
		s.touched[at] = true
		for _, gone := range evict {
			s.forget(at, gone)
		}
		s.moves = append(s.moves, Move{
			Endpoint: s.v.Endpoints[at].Name,
			Evict:    evict,
			Reason:   ReasonObsolete,
			Sentence: fmt.Sprintf("%v is unloaded from %s because it was replaced or removed.", evict[0], s.v.Endpoints[at].Name),
		})
	}
}

// replaced reports whether the wanted version can carry the model's load: it
// is ready on as many endpoints as the old version, or carries it alone.
func (s *planState) replaced(i int) bool {
	if s.freshOK[i] == 0 {
		return false
	}
	old := s.ready[i] - s.freshOK[i]
	if s.freshOK[i] >= old {
		return true
	}
	var spare float64
	for _, at := range s.replicas[i] {
		spare += max(0, busyShare-s.util[at]) * s.capacity(at)
	}
	return s.v.Models[i].Tokens <= spare
}

// excess is, by model, the load that comes to endpoints which are too busy to
// do it in time.
func excess(v *View) map[string]float64 {
	s := newPlanState(v)
	out := map[string]float64{}
	for at, u := range s.util {
		if u <= busyShare {
			continue
		}
		// The largest load is what another endpoint can relieve it of.
		most, mostLoad := -1, 0.0
		for _, it := range v.Endpoints[at].Items {
			i, ok := s.index[it.Model]
			if !ok || it.Adapter != "" {
				continue
			}
			if load := s.local(i) / float64(len(s.replicas[i])); load > mostLoad {
				most, mostLoad = i, load
			}
		}
		if most >= 0 {
			out[v.Models[most].Spec.Name] += min(mostLoad, (u-busyShare)*s.capacity(at))
		}
	}
	return out
}
