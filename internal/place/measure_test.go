package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// fleet holds the size and the limits of a user organisation's installation.
type fleet struct {
	name        string
	domains     int
	engines     int
	models      int
	adapters    int
	memory      int64
	loadsPerSec float64
	parallel    int
}

var fleets = []fleet{
	{
		name:        "Reykjavík",
		domains:     3,
		engines:     9,
		models:      15,
		adapters:    40,
		memory:      36_000,
		loadsPerSec: 1.5,
		parallel:    2,
	},
	{
		name:        "Trinidad-east",
		domains:     4,
		engines:     9,
		models:      13,
		adapters:    60,
		memory:      36_000,
		loadsPerSec: 2,
		parallel:    4,
	},
}

const (
	simTick          = 100 * time.Millisecond
	simStart         = time.Minute // the managers collect demand before they may give orders
	simWarm          = 3 * time.Minute
	simEnd           = 27 * time.Minute
	simShiftInterval = 8 * time.Minute
	simTarget        = 1500 * time.Millisecond
	simLimit         = time.Minute
	slotsPerEngine   = 7  // concurrent requests at speed 1
	slotSpeed        = 22 // tokens/s of each request: 154 for 7 at speed 1, 45 ms per token
	simTokens        = 300
)

// simRequest is a simulated request that waits or runs.
type simRequest struct {
	domain, model, workspace int
	adapter                  string
	at                       time.Time
	tokens                   float64
}

type simEngine struct {
	*fakeEngine
	domain  int
	slots   int
	ends    []time.Time // of the running requests
	queue   []simRequest
	running map[string]int64 // by adapter
	release []func()
}

type simDomain struct {
	m       *Manager
	in      Inputs
	seq     int64
	entries map[DemandEntry]*DemandEntry
	waiting []simRequest
	layout  Layout
}

type sim struct {
	rnd       *rand.Rand
	now       time.Time
	begin     time.Time
	f         fleet
	cfg       *spec.Config
	engines   map[string]*simEngine
	names     []string
	domains   []*simDomain
	storeEnd  []time.Time // when each parallel load of the weight store ends
	storeNext time.Time   // when the weight store starts the next load

	all, ok   map[int]float64 // by workspace
	lost      int
	ready     map[string][]simReplica
	baseRates []float64 // requests per second by model before the shifts
}

func newSim(f fleet, policy func() Policy, seed uint64) *sim {
	s := &sim{
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_000_000, 0),
		f:        f,
		engines:  map[string]*simEngine{},
		storeEnd: make([]time.Time, f.parallel),
		all:      map[int]float64{},
		ok:       map[int]float64{},
		cfg: &spec.Config{
			Services: []spec.Service{{
				Name: "chat",
				Kind: spec.KindModel,
			}},
			Limits: spec.Limits{
				WeightLoadsPerSecond: f.loadsPerSec,
				WeightLoadsParallel:  f.parallel,
			},
		},
	}
	s.begin = s.now
	for d := range f.domains {
		s.cfg.Domains = append(s.cfg.Domains, spec.Domain{Name: fmt.Sprint("d", d), Region: "r"})
		s.domains = append(s.domains, &simDomain{
			m: NewManager(Settings{
				Domain:      fmt.Sprint("d", d),
				Node:        uint64(d + 1),
				Incarnation: "1",
				Policy:      policy(),
			}),
			entries: map[DemandEntry]*DemandEntry{},
		})
	}
	for i := range f.engines {
		name, speed := fmt.Sprint("e", i), []float64{0.6, 1, 1.8}[i/f.domains%3]
		s.cfg.Endpoints = append(s.cfg.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "chat",
			Domain:    fmt.Sprint("d", i%f.domains),
			MemoryMiB: f.memory,
			Fencing:   i%2 == 0,
			Speed:     speed,
		})
		s.names = append(s.names, name)
		s.engines[name] = &simEngine{
			fakeEngine: newFakeEngine(name, f.memory, i%2 == 0, true),
			domain:     i % f.domains,
			slots:      int(math.Round(slotsPerEngine * speed)),
			running:    map[string]int64{},
		}
	}
	for i := range f.models {
		s.cfg.Models = append(s.cfg.Models, spec.Model{
			Name:      fmt.Sprintf("m%02d", i),
			Service:   "chat",
			Version:   "1",
			MemoryMiB: []int64{9_000, 16_000, 22_000, 31_000}[i%4],
			OnDemand:  spec.Duration(simLimit),
		})
	}
	for i := range f.adapters {
		s.cfg.Adapters = append(s.cfg.Adapters, spec.Adapter{
			Name:      fmt.Sprint("a", i),
			Model:     fmt.Sprintf("m%02d", i%f.models),
			MemoryMiB: 150,
		})
	}
	for _, d := range s.domains {
		d.in.Config = s.cfg
	}
	// Demand without shifts uses 35% of the accelerators' throughput.
	var slots, sum float64
	for _, e := range s.engines {
		slots += float64(e.slots)
	}
	for i := range f.models {
		s.baseRates = append(s.baseRates, 1/math.Pow(float64(i+1), 0.9))
		sum += s.baseRates[i]
	}
	for i := range s.baseRates {
		s.baseRates[i] *= 0.35 * slots * slotSpeed / simTokens / sum
	}
	return s
}

// rate returns the requests per second for a model. Every simShiftInterval the
// demand for another model rises tenfold within two minutes, and the demand for
// the previous one falls back.
func (s *sim) rate(model int) float64 {
	elapsed := s.now.Sub(s.begin)
	base := s.baseRates[model]
	shift := int(elapsed / simShiftInterval)
	part := math.Min(1, float64(elapsed%simShiftInterval)/float64(2*time.Minute))
	boost := func(shift int) float64 {
		if shift > 0 && (shift*5+2)%s.f.models == model {
			return 9
		}
		return 0
	}
	base *= 1 + boost(shift)*part + boost(shift-1)*(1-part)
	return base
}

// loadTime returns how long the weight store and the engine take for an order.
func (s *sim) loadTime(o engine.Order) time.Duration {
	switch o.Kind {
	case engine.OrderLoadAdapter:
		return 7 * time.Millisecond
	case engine.OrderLoad:
	default:
		return 0
	}
	slot := 0
	for i := range s.storeEnd {
		if s.storeEnd[i].Before(s.storeEnd[slot]) {
			slot = i
		}
	}
	start := s.now
	for _, t := range []time.Time{s.storeEnd[slot], s.storeNext} {
		if t.After(start) {
			start = t
		}
	}
	s.storeNext = start.Add(time.Duration(float64(time.Second) / s.f.loadsPerSec))
	s.storeEnd[slot] = start.Add(time.Duration(float64(o.MemoryMiB) / 10_000 * float64(time.Second)))
	return s.storeEnd[slot].Sub(s.now)
}

func (s *sim) step(d int) {
	dom := s.domains[d]
	in := dom.in
	dom.in = Inputs{}
	if s.now.Sub(s.begin) >= simStart {
		in.Authority = Authority{
			Until: s.now.Add(10 * time.Second),
			Since: s.begin,
			Epoch: 1,
		}
	}
	if s.now.Sub(s.begin)%(600*time.Millisecond) == 0 {
		in.Reports = append(in.Reports, s.report(d))
		in.Remote = s.remote(d)
	}
	actions := dom.m.Step(s.now, in)
	for len(actions) > 0 {
		var results Inputs
		for _, a := range actions {
			switch a := a.(type) {
			case SendOrder:
				st, refused := s.engines[a.Endpoint].receive(s.now, a.Order, s.loadTime(a.Order))
				results.Orders = append(results.Orders, OrderResult{Endpoint: a.Endpoint, ID: a.Order.ID, Status: st, ErrorCode: refused})
			case ReadOrder:
				results.Orders = append(results.Orders, OrderResult{Endpoint: a.Endpoint, ID: a.ID, Status: s.engines[a.Endpoint].status(a.ID)})
			case ReadState:
				results.States = append(results.States, StateResult{Endpoint: a.Endpoint, RequestedAt: a.RequestedAt, State: s.engines[a.Endpoint].state()})
			}
		}
		results.Authority = in.Authority
		actions = dom.m.Step(s.now, results)
	}
}

func (s *sim) report(d int) DemandReport {
	dom := s.domains[d]
	dom.seq++
	out := DemandReport{
		Node:        "n",
		Incarnation: "1",
		Seq:         dom.seq,
	}
	for _, e := range dom.entries {
		out.Entries = append(out.Entries, *e)
	}
	slices.SortFunc(out.Entries, func(a, b DemandEntry) int {
		return compareItems(Item{a.Model, a.Workspace, a.Adapter}, Item{b.Model, b.Workspace, b.Adapter})
	})
	dom.entries = map[DemandEntry]*DemandEntry{}
	for i, other := range s.domains {
		for _, r := range other.waiting {
			w := WaitingRequests{
				Model:    s.cfg.Models[r.model].Name,
				Requests: 1,
			}
			to := i
			if e := s.leastLoaded(r, false); e != nil && r.adapter != "" {
				w.Adapter, to = r.adapter, e.domain
			}
			if to == d {
				out.Waiting = append(out.Waiting, w)
			}
		}
	}
	for _, name := range s.names {
		e := s.engines[name]
		for key, n := range e.running {
			if n > 0 && key != "" && e.domain == d {
				model, _ := strconv.Atoi(key[1:])
				out.InUse = append(out.InUse, AdapterUse{Endpoint: name, Model: s.cfg.Models[model%s.f.models].Name, Adapter: key, Running: n})
			}
		}
	}
	return out
}

func (s *sim) remote(d int) map[string]RemoteModel {
	var others []Layout
	for o, dom := range s.domains {
		if o != d {
			others = append(others, dom.layout)
		}
	}
	return Remote(others...)
}

// simReplica is a ready model at an engine with its adapters.
type simReplica struct {
	engine   *simEngine
	adapters []string
}

// refresh updates the replicas that requests can be sent to from the layouts.
func (s *sim) refresh() {
	s.ready = map[string][]simReplica{}
	for _, dom := range s.domains {
		dom.layout = dom.m.Layout()
		for _, e := range dom.layout.Endpoints {
			for _, m := range e.Models {
				if m.Ready {
					s.ready[m.Model] = append(s.ready[m.Model], simReplica{s.engines[e.Endpoint], m.Adapters})
				}
			}
		}
	}
}

// leastLoaded returns the least loaded engine that has a request's model and, if
// adapter is set, its adapter; nil if there is none.
func (s *sim) leastLoaded(r simRequest, adapter bool) *simEngine {
	var best *simEngine
	bestLoad := 0.0
	for _, x := range s.ready[s.cfg.Models[r.model].Name] {
		if adapter && r.adapter != "" && !slices.Contains(x.adapters, r.adapter) {
			continue
		}
		load := float64(len(x.engine.ends)+len(x.engine.queue)+1) / float64(x.engine.slots)
		if best == nil || load < bestLoad {
			best, bestLoad = x.engine, load
		}
	}
	return best
}

// entry returns the demand entry that a request counts in.
func (s *sim) entry(r simRequest) *DemandEntry {
	key := DemandEntry{
		Model:     s.cfg.Models[r.model].Name,
		Workspace: fmt.Sprint("w", r.workspace),
		Adapter:   r.adapter,
	}
	dom := s.domains[r.domain]
	if dom.entries[key] == nil {
		e := key
		dom.entries[key] = &e
	}
	return dom.entries[key]
}

// countRequest records that a request starts to be served, or has timed out.
func (s *sim) countRequest(r simRequest, wait time.Duration, served bool) {
	e := s.entry(r)
	e.Measured++
	ok := served && wait+200*time.Millisecond <= simTarget
	if ok {
		e.OnTarget++
	}
	if r.at.Sub(s.begin) < simWarm {
		return
	}
	s.all[r.workspace]++
	if ok {
		s.ok[r.workspace]++
	}
	if !served {
		s.lost++
	}
}

func (s *sim) tick() {
	for m := range s.f.models {
		// Poisson arrivals; each model belongs mostly to one workspace.
		for p := s.rate(m) * simTick.Seconds(); s.rnd.Float64() < p; p-- {
			r := simRequest{
				domain:    s.rnd.IntN(s.f.domains),
				model:     m,
				workspace: m % 5,
				at:        s.now,
				tokens:    simTokens * (0.3 + 1.4*s.rnd.Float64()),
			}
			if s.rnd.Float64() < 0.3 {
				r.workspace = s.rnd.IntN(5)
			}
			if a := m + s.f.models*s.rnd.IntN(4); a < s.f.adapters && s.rnd.Float64() < 0.3 {
				r.adapter = fmt.Sprint("a", a)
			}
			e := s.entry(r)
			e.Requests++
			e.Tokens += int64(r.tokens)
			s.domains[r.domain].waiting = append(s.domains[r.domain].waiting, r)
		}
	}
	for _, name := range s.names {
		e := s.engines[name]
		e.advance(s.now)
		for i := 0; i < len(e.ends); i++ {
			if !e.ends[i].After(s.now) {
				e.release[i]()
				e.ends, e.release = slices.Delete(e.ends, i, i+1), slices.Delete(e.release, i, i+1)
				i--
			}
		}
	}
	if s.now.Sub(s.begin)%(2*simTick) == 0 {
		for d := range s.domains {
			s.step(d)
		}
	}
	if s.now.Sub(s.begin)%(600*time.Millisecond) == 0 {
		s.refresh()
	}
	for _, dom := range s.domains {
		waiting := dom.waiting
		dom.waiting = nil
		for _, r := range waiting {
			if e := s.leastLoaded(r, true); e != nil {
				e.queue = append(e.queue, r)
			} else if s.now.Sub(r.at) > simLimit {
				s.countRequest(r, 0, false)
			} else {
				dom.waiting = append(dom.waiting, r)
			}
		}
	}
	for _, name := range s.names {
		e := s.engines[name]
		for len(e.queue) > 0 && len(e.ends) < e.slots {
			r := e.queue[0]
			e.queue = e.queue[1:]
			s.countRequest(r, s.now.Sub(r.at), true)
			e.running[r.adapter]++
			e.ends = append(e.ends, s.now.Add(time.Duration(r.tokens/slotSpeed*float64(time.Second))))
			e.release = append(e.release, func() { e.running[r.adapter]-- })
		}
	}
	s.now = s.now.Add(simTick)
}

type simResult struct {
	attained, perAccelerator, worst float64
	moves                           int64
	lost                            int
}

func (s *sim) run(t testing.TB) simResult {
	for s.now.Sub(s.begin) < simEnd {
		s.tick()
		for _, e := range s.engines {
			if e.used() > e.memory {
				t.Errorf("%s holds %d of %d MiB", e.name, e.used(), e.memory)
				return simResult{}
			}
		}
	}
	out := simResult{
		worst: 1,
		lost:  s.lost,
	}
	var all, ok float64
	for w := range s.all {
		all += s.all[w]
		ok += s.ok[w]
		out.worst = min(out.worst, s.ok[w]/s.all[w])
	}
	out.attained = ok / all
	out.perAccelerator = ok / (simEnd - simWarm).Minutes() / float64(s.f.engines)
	for _, d := range s.domains {
		out.moves += d.m.Counters().Loads
	}
	return out
}

// Compares the planner with static placement and LRU swapping while demand shifts
// tenfold. It guards against a planner that attains less than a baseline, or that
// needs more moves than LRU swapping.
func TestMeasurePolicies(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "fleet\tpolicy\tattained\ton target per accelerator and minute\tworst workspace\tmoves\tgiven up")
	policies := []func() Policy{
		func() Policy { return NewPlanner() },
		func() Policy { return NewStatic() },
		func() Policy { return NewLRU() },
	}
	for _, f := range fleets {
		list := make([]simResult, len(policies))
		var wg sync.WaitGroup
		for i, policy := range policies {
			wg.Go(func() { list[i] = newSim(f, policy, 7).run(t) })
		}
		wg.Wait()
		results := map[string]simResult{}
		for i, policy := range policies {
			r, name := list[i], policy().Name()
			results[name] = r
			fmt.Fprintf(out, "%s\t%s\t%.1f%%\t%.2f\t%.1f%%\t%d\t%d\n", f.name, name, 100*r.attained, r.perAccelerator, 100*r.worst, r.moves, r.lost)
		}
		p := results["planner"]
		for _, name := range []string{"static", "lru"} {
			if b := results[name]; p.attained < b.attained || p.worst < b.worst {
				t.Errorf("%s: planner attains %.3f (worst %.3f), %s %.3f (worst %.3f)", f.name, p.attained, p.worst, name, b.attained, b.worst)
			}
		}
		if p.moves > results["lru"].moves {
			t.Errorf("%s: planner makes %d moves, lru %d", f.name, p.moves, results["lru"].moves)
		}
	}
	if err := out.Flush(); err != nil {
		t.Fatal(err)
	}
}
