// Package route chooses the endpoint for a request.
//
// The control loop updates a Table with the configuration, the layouts of the
// domains, load reports and cache events. The goroutines that handle requests call
// Pick, which takes no lock of the control loop.
//
// Compare routing with random choice and least connections by
//
//	go test ./internal/route -run TestMeasureRouting -v
//
// and measure the cost of a decision with 2,600 endpoints by
//
//	go test ./internal/route -run NONE -bench Pick
package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Settings configures a Table. Zero values select the defaults.
type Settings struct {
	// Domain is the failure domain of this process.
	Domain string
	// SameRegion and OtherRegion are the network latencies to other domains
	// (default 1.5 ms and 30 ms).
	SameRegion  time.Duration
	OtherRegion time.Duration
	// PrefillPerToken is the time that an endpoint of speed 1 takes for a token
	// of the prompt that is not in its cache (default 200 µs).
	PrefillPerToken time.Duration
	// Choices is the number of endpoints that rendezvous hashing selects for a
	// prefix (default 2).
	Choices int
	// Bound limits prefix affinity: an endpoint whose load exceeds Bound times
	// the mean load of the candidates plus one is not chosen for it (default
	// 1.25).
	Bound float64
	// Failures is the number of consecutive failures that ejects an endpoint
	// (default 3).
	Failures int
	// Ejection is how long the first ejection lasts; each further one doubles
	// it up to MaxEjection (default 5 s and 60 s).
	Ejection    time.Duration
	MaxEjection time.Duration
	// SlowStart is how long an endpoint takes to return to its full share of the
	// load after an ejection (default 10 s).
	SlowStart time.Duration
	// RetryRatio is the number of retries that each first attempt adds to the
	// retry budget, RetryBurst the size of the budget (default 0.1 and 10).
	RetryRatio float64
	RetryBurst float64
	// Prefixes limits the number of cached prefixes that are recorded (default
	// 65,536, about 8 MB).
	Prefixes int
	// PrefixAge is the age from which a recorded prefix no longer counts (default
	// 5 min).
	PrefixAge time.Duration
}

func (s *Settings) defaults() {
	if s.SameRegion <= 0 {
		s.SameRegion = 1500 * time.Microsecond
	}
	if s.OtherRegion <= 0 {
		s.OtherRegion = 30 * time.Millisecond
	}
	if s.PrefillPerToken <= 0 {
		s.PrefillPerToken = 200 * time.Microsecond
	}
	if s.Choices <= 0 {
		s.Choices = 2
	}
	if s.Bound <= 0 {
		s.Bound = 1.25
	}
	if s.Failures <= 0 {
		s.Failures = 3
	}
	if s.Ejection <= 0 {
		s.Ejection = 5 * time.Second
	}
	if s.MaxEjection <= 0 {
		s.MaxEjection = time.Minute
	}
	if s.SlowStart <= 0 {
		s.SlowStart = 10 * time.Second
	}
	if s.RetryRatio <= 0 {
		s.RetryRatio = 0.1
	}
	if s.RetryBurst <= 0 {
		s.RetryBurst = 10
	}
	if s.Prefixes <= 0 {
		s.Prefixes = 65_536
	}
	if s.PrefixAge <= 0 {
		s.PrefixAge = 5 * time.Minute
	}
}

// candidate is an endpoint that can serve a model or a plain service.
type candidate struct {
	endpoint *endpoint
	version  string
	current  bool // version is the one that the configuration names
	role     engine.Role
	adapters []string
}

// target is a model or plain service and its candidates.
type target struct {
	model      spec.Model
	candidates atomic.Pointer[candidates]
}

// candidates is a list in two tiers: the endpoints of this region come before
// those of other regions. tiers holds the end index of each tier.
type candidates struct {
	list  []candidate
	tiers []int
}

// index maps names to targets for Pick. It is replaced as a whole when the
// configuration changes; a layout replaces only the candidates of the models that
// it affects.
type index struct {
	models   map[string]*target
	services map[string]*target
}

// Table holds the state of the endpoints and chooses among them.
type Table struct {
	settings       Settings
	idx            atomic.Pointer[index]
	prefixes       *prefixes
	budget         retryBudget
	waitPerRequest waitEstimate
	domains        atomic.Pointer[map[string]*domain]
	health         *health.Table

	mu        sync.Mutex // guards the fields below; Pick does not take it
	cfg       *spec.Config
	endpoints map[string]*endpoint
	layouts   map[string]place.Layout
	applied   map[string]place.EndpointLayout // by endpoint
	lastID    uint32
}

// domain is the state of a failure domain as seen by this process.
type domain struct {
	name     string
	distance time.Duration
	isolated atomic.Bool  // set by the control loop
	ejected  atomic.Int32 // number of ejected endpoints
	size     int32        // number of endpoints
}

// unhealthy reports whether at least half of the domain's endpoints are ejected,
// if it has three or more. Other domains are preferred to an unhealthy one.
func (d *domain) unhealthy() bool {
	return d.size >= 3 && d.ejected.Load()*2 >= d.size
}

// NewTable returns a table without endpoints.
func NewTable(set Settings) *Table {
	set.defaults()
	t := &Table{
		settings:  set,
		health:    health.New(),
		prefixes:  newPrefixes(set.Prefixes),
		endpoints: map[string]*endpoint{},
		layouts:   map[string]place.Layout{},
		applied:   map[string]place.EndpointLayout{},
	}
	t.budget.init(set.RetryRatio, set.RetryBurst)
	t.idx.Store(&index{})
	t.domains.Store(&map[string]*domain{})
	return t
}

// SetConfig applies a configuration.
func (t *Table) SetConfig(cfg *spec.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = cfg
	t.setDomains(cfg)

	kinds := map[string]spec.ServiceKind{}
	for _, s := range cfg.Services {
		kinds[s.Name] = s.Kind
	}
	domains := *t.domains.Load()
	listed := make(map[string]bool, len(cfg.Endpoints))
	plain := map[string][]candidate{}
	for _, c := range cfg.Endpoints {
		listed[c.Name] = true
		e := t.endpoints[c.Name]
		if e == nil || e.spec.Address != c.Address || e.spec.Domain != c.Domain || e.spec.Speed != c.Speed {
			if e != nil {
				e.retire()
			}
			t.lastID++
			e = newEndpoint(t.lastID, c, domains[c.Domain])
			t.endpoints[c.Name] = e
			delete(t.applied, c.Name)
		}
		if kinds[c.Service] == spec.KindPlain {
			plain[c.Service] = append(plain[c.Service], candidate{
				endpoint: e,
				current:  true,
			})
		}
	}
	for name, e := range t.endpoints {
		if !listed[name] {
			e.retire()
			delete(t.endpoints, name)
			delete(t.applied, name)
		}
	}
	t.setHealthList()
	idx := &index{
		models:   make(map[string]*target, len(cfg.Models)),
		services: make(map[string]*target, len(plain)),
	}
	for _, m := range cfg.Models {
		idx.models[m.Name] = &target{
			model: m,
		}
	}
	for name, list := range plain {
		x := &target{}
		t.publish(x, list)
		idx.services[name] = x
	}
	// Rebuild the candidates from all layouts.
	lists := map[string][]candidate{}
	for _, l := range t.layouts {
		for _, el := range l.Endpoints {
			t.applied[el.Endpoint] = el
			t.addCandidates(idx, el, lists)
		}
	}
	for name, list := range lists {
		t.publish(idx.models[name], list)
	}
	t.idx.Store(idx)
}

// setHealthList drops what endpoints said that are gone.
func (t *Table) setHealthList() {
	list := make([]fleet.Endpoint, 0, len(t.endpoints))
	for name, e := range t.endpoints {
		list = append(list, fleet.Endpoint{
			ID:          name,
			Incarnation: e.key().Incarnation,
		})
	}
	t.health.SetList(time.Now(), list)
}

func (t *Table) setDomains(cfg *spec.Config) {
	regions := map[string]string{}
	for _, d := range cfg.Domains {
		regions[d.Name] = d.Region
	}
	sizes := map[string]int32{}
	for _, e := range cfg.Endpoints {
		sizes[e.Domain]++
	}
	old := *t.domains.Load()
	next := make(map[string]*domain, len(cfg.Domains))
	// Endpoints may name a domain that the configuration does not list.
	for name := range sizes {
		regions[name] += ""
	}
	for name, region := range regions {
		distance := t.settings.OtherRegion
		switch {
		case name == t.settings.Domain:
			distance = 0
		case region == regions[t.settings.Domain]:
			distance = t.settings.SameRegion
		}
		d := old[name]
		if d == nil || d.distance != distance || d.size != sizes[name] {
			d = &domain{
				name:     name,
				distance: distance,
				size:     sizes[name],
			}
			if o := old[name]; o != nil {
				d.isolated.Store(o.isolated.Load())
			}
			for _, e := range t.endpoints {
				if e.spec.Domain == name {
					e.setDomain(d)
				}
			}
		}
		next[name] = d
	}
	t.domains.Store(&next)
}

// addCandidates adds the models that are ready in an endpoint's layout to lists.
func (t *Table) addCandidates(idx *index, el place.EndpointLayout, lists map[string][]candidate) {
	e := t.endpoints[el.Endpoint]
	if e == nil {
		return
	}
	e.layoutLeaving.Store(el.Leaving)
	for _, ml := range el.Models {
		x := idx.models[ml.Model]
		if x == nil || !ml.Ready {
			continue
		}
		lists[ml.Model] = append(lists[ml.Model], candidate{
			endpoint: e,
			version:  ml.Version,
			current:  ml.Version == x.model.Version,
			role:     el.Role,
			adapters: ml.Adapters,
		})
	}
}

// publish sorts a list of candidates and makes it visible to Pick.
func (t *Table) publish(x *target, list []candidate) {
	far := func(c candidate) int {
		if c.endpoint.domain.Load().distance < t.settings.OtherRegion {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := far(a) - far(b); c != 0 {
			return c
		}
		if a.endpoint.id != b.endpoint.id {
			return int(a.endpoint.id) - int(b.endpoint.id)
		}
		if a.current != b.current {
			if a.current {
				return -1
			}
			return 1
		}
		return 0
	})
	out := &candidates{
		list: list,
	}
	for i := range list {
		if i+1 == len(list) || far(list[i]) != far(list[i+1]) {
			out.tiers = append(out.tiers, i+1)
		}
	}
	x.candidates.Store(out)
}

// SetLayout applies the layout of a domain unless it is older than the current
// one. Only the endpoints that changed are processed.
func (t *Table) SetLayout(l place.Layout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.layouts[l.Domain]
	if ok && (l.Term.Less(old.Term) || l.Term == old.Term && l.Seq < old.Seq) {
		return
	}
	t.layouts[l.Domain] = l
	idx := t.idx.Load()
	changed := map[*endpoint]bool{}
	affected := map[string]bool{}
	fresh := map[string][]candidate{}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, el := range l.Endpoints {
		listed[el.Endpoint] = true
		e := t.endpoints[el.Endpoint]
		if e == nil || e.spec.Domain != l.Domain {
			continue
		}
		held, ok := t.applied[el.Endpoint]
		if ok && l.Term == old.Term && held.Seq == el.Seq {
			continue
		}
		changed[e] = true
		for _, m := range held.Models {
			affected[m.Model] = true
		}
		for _, m := range el.Models {
			affected[m.Model] = true
		}
		t.applied[el.Endpoint] = el
		t.addCandidates(idx, el, fresh)
	}
	for _, el := range old.Endpoints {
		if e := t.endpoints[el.Endpoint]; e != nil && !listed[el.Endpoint] {
			changed[e] = true
			for _, m := range t.applied[el.Endpoint].Models {
				affected[m.Model] = true
			}
			delete(t.applied, el.Endpoint)
		}
	}
	for name := range affected {
		x := idx.models[name]
		if x == nil {
			continue
		}
		list := slices.Clone(fresh[name])
		if p := x.candidates.Load(); p != nil {
			for _, c := range p.list {
				if !changed[c.endpoint] {
					list = append(list, c)
				}
			}
		}
		t.publish(x, list)
	}
}

// SetLoad applies a load report of an endpoint that arrived at now.
func (t *Table) SetLoad(now time.Time, name string, l engine.Load) {
	if e := t.endpointByName(name); e != nil {
		e.applyReport(now, l)
	}
}

func (t *Table) endpointByName(name string) *endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints[name]
}

// SetLeaving sets which endpoints the platform lists as leaving. They get no new
// work from the next Pick on.
func (t *Table) SetLeaving(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.endpoints {
		e.vmLeaving.Store(names[name])
	}
}

// SetIsolated sets which domains this process cannot reach. Their endpoints are
// not chosen. A model that is resident only there is treated as not resident, so
// that it is loaded in a reachable domain.
func (t *Table) SetIsolated(names map[string]bool) {
	for name, d := range *t.domains.Load() {
		d.isolated.Store(names[name])
	}
}

// CacheEvents applies cache events of an endpoint that arrived at now.
func (t *Table) CacheEvents(now time.Time, name string, events []engine.CacheEvent) {
	e := t.endpointByName(name)
	if e == nil {
		return
	}
	for _, ev := range events {
		e.recordCacheEvent(ev.Seq)
		h := prefixHash(ev.Model, ev.Prefix)
		if ev.Evicted {
			t.prefixes.remove(h, e.id)
			continue
		}
		t.prefixes.add(h, e.id, e.generation.Load(), now)
	}
}

// Remote summarizes the models of the other reachable domains of this region for
// the planner.
func (t *Table) Remote() map[string]place.RemoteModel {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near []place.Layout
	domains := *t.domains.Load()
	for _, name := range slices.Sorted(maps.Keys(t.layouts)) {
		// An unreachable domain cannot serve this domain's requests.
		if d := domains[name]; name != t.settings.Domain && d != nil && d.distance < t.settings.OtherRegion && !d.isolated.Load() {
			near = append(near, t.layouts[name])
		}
	}
	return place.Remote(near...)
}
