// Package route chooses the endpoint for a request.
//
// A Table is fed by the control loop with the configuration, the layouts of
// the domains, load reports and cache events, and asked by the goroutines that
// handle traffic. Asking takes no lock of the control loop.
//
// Routing is compared with random choice and least connections by
//
//	go test ./internal/route -run TestMeasureRouting -v
//
// and the cost of a decision at the design size is measured by
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
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Settings of a Table. Zero values are replaced by the defaults.
type Settings struct {
	// Domain is the failure domain of this process.
	Domain string
	// SameRegion and OtherRegion are the distances to other domains (default
	// 1.5 ms and 30 ms).
	SameRegion  time.Duration
	OtherRegion time.Duration
	// PrefillPerToken is the time that an endpoint of speed 1 takes for a token
	// of the prompt that is not in its cache (default 200 µs).
	PrefillPerToken time.Duration
	// Choices is the number of endpoints that rendezvous hashing offers for a
	// prefix (default 2).
	Choices int
	// Bound is how far above the mean of its candidates the load of an endpoint
	// may be before prefix affinity no longer counts (default 1.25).
	Bound float64
	// Failures in a row after which an endpoint is ejected (default 3).
	Failures int
	// Ejection is how long the first ejection lasts; each further one doubles
	// it up to MaxEjection (default 5 s and 60 s).
	Ejection    time.Duration
	MaxEjection time.Duration
	// SlowStart is how long an endpoint takes to get its full part of the work
	// after an ejection or a restart (default 10 s).
	SlowStart time.Duration
	// RetryRatio is the number of retries that each first attempt allows, and
	// RetryBurst how many may be saved up (default 0.1 and 10).
	RetryRatio float64
	RetryBurst float64
	// Prefixes bounds the cached prefixes that are remembered (default 65,536,
	// about 8 MB).
	Prefixes int
	// PrefixAge is when a remembered prefix no longer counts (default 5 min).
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
	end      *end
	version  string
	current  bool // the version of the configuration
	role     engine.Role
	adapters []string
}

// target is a model or plain service with its candidates.
type target struct {
	model spec.Model
	cands atomic.Pointer[candidates]
}

// candidates are in the order of their distance. Each tier ends where the
// distance grows; the domains of the own region are one tier.
type candidates struct {
	list  []candidate
	tiers []int
}

// index is what Pick reads. It is replaced as a whole when the configuration
// changes; a layout replaces only the candidates of the models that it moves.
type index struct {
	models   map[string]*target
	services map[string]*target
}

// Table holds what is known about the endpoints.
type Table struct {
	set     Settings
	idx     atomic.Pointer[index]
	prefix  *prefixes
	budget  budget
	unit    unitWait
	domains atomic.Pointer[map[string]*domain]

	mu      sync.Mutex // guards what follows; only the control loop takes it
	cfg     *spec.Config
	ends    map[string]*end
	layouts map[string]place.Layout
	held    map[string]place.EndpointLayout // as applied, by endpoint
	nextEnd uint32
}

// domain is the health of a failure domain as seen from here.
type domain struct {
	name     string
	distance time.Duration
	isolated atomic.Bool  // told by the control loop
	ejected  atomic.Int32 // endpoints that are ejected
	size     int32
}

// unhealthy reports whether the domain is avoided while others can serve: at
// least half of three or more endpoints there are ejected.
func (d *domain) unhealthy() bool {
	return d.size >= 3 && d.ejected.Load()*2 >= d.size
}

// NewTable returns a table without endpoints.
func NewTable(set Settings) *Table {
	set.defaults()
	t := &Table{
		set:     set,
		prefix:  newPrefixes(set.Prefixes),
		ends:    map[string]*end{},
		layouts: map[string]place.Layout{},
		held:    map[string]place.EndpointLayout{},
	}
	t.budget.init(set.RetryRatio, set.RetryBurst)
	t.idx.Store(&index{})
	t.domains.Store(&map[string]*domain{})
	return t
}

// SetConfig takes over a configuration.
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
		e := t.ends[c.Name]
		if e == nil || e.spec.Address != c.Address || e.spec.Domain != c.Domain || e.spec.Speed != c.Speed {
			t.nextEnd++
			e = newEnd(t.nextEnd, c, domains[c.Domain])
			t.ends[c.Name] = e
			delete(t.held, c.Name)
		}
		if kinds[c.Service] == spec.KindPlain {
			plain[c.Service] = append(plain[c.Service], candidate{
				end:     e,
				current: true,
			})
		}
	}
	for name := range t.ends {
		if !listed[name] {
			delete(t.ends, name)
			delete(t.held, name)
		}
	}
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
		t.store(x, list)
		idx.services[name] = x
	}
	// The candidates are collected anew from all layouts.
	lists := map[string][]candidate{}
	for _, l := range t.layouts {
		for _, el := range l.Endpoints {
			t.held[el.Endpoint] = el
			t.collect(idx, el, lists)
		}
	}
	for name, list := range lists {
		t.store(idx.models[name], list)
	}
	t.idx.Store(idx)
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
	for name := range sizes {
		regions[name] += ""
	}
	for name, region := range regions {
		distance := t.set.OtherRegion
		switch {
		case name == t.set.Domain:
			distance = 0
		case region == regions[t.set.Domain]:
			distance = t.set.SameRegion
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
			for _, e := range t.ends {
				if e.spec.Domain == name {
					e.move(d)
				}
			}
		}
		next[name] = d
	}
	t.domains.Store(&next)
}

// collect adds the candidates that an endpoint's layout gives.
func (t *Table) collect(idx *index, el place.EndpointLayout, lists map[string][]candidate) {
	e := t.ends[el.Endpoint]
	if e == nil {
		return
	}
	e.listedLeaving.Store(el.Leaving)
	for _, ml := range el.Models {
		x := idx.models[ml.Model]
		if x == nil || !ml.Ready {
			continue
		}
		lists[ml.Model] = append(lists[ml.Model], candidate{
			end:      e,
			version:  ml.Version,
			current:  ml.Version == x.model.Version,
			role:     el.Role,
			adapters: ml.Adapters,
		})
	}
}

// store publishes a candidate list in a fixed order.
func (t *Table) store(x *target, list []candidate) {
	far := func(c candidate) int {
		if c.end.dom.Load().distance < t.set.OtherRegion {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := far(a) - far(b); c != 0 {
			return c
		}
		if a.end.id != b.end.id {
			return int(a.end.id) - int(b.end.id)
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
	x.cands.Store(out)
}

// SetLayout takes over the layout of a domain. Only endpoints that changed
// cost work.
func (t *Table) SetLayout(l place.Layout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.layouts[l.Domain]
	if ok && (l.Term.Less(old.Term) || l.Term == old.Term && l.Seq < old.Seq) {
		return
	}
	t.layouts[l.Domain] = l
	idx := t.idx.Load()
	changed := map[*end]bool{}
	affected := map[string]bool{}
	fresh := map[string][]candidate{}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, el := range l.Endpoints {
		listed[el.Endpoint] = true
		e := t.ends[el.Endpoint]
		if e == nil || e.spec.Domain != l.Domain {
			continue
		}
		held, ok := t.held[el.Endpoint]
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
		t.held[el.Endpoint] = el
		t.collect(idx, el, fresh)
	}
	for _, el := range old.Endpoints {
		if e := t.ends[el.Endpoint]; e != nil && !listed[el.Endpoint] {
			changed[e] = true
			for _, m := range t.held[el.Endpoint].Models {
				affected[m.Model] = true
			}
			delete(t.held, el.Endpoint)
		}
	}
	for name := range affected {
		x := idx.models[name]
		if x == nil {
			continue
		}
		list := slices.Clone(fresh[name])
		if p := x.cands.Load(); p != nil {
			for _, c := range p.list {
				if !changed[c.end] {
					list = append(list, c)
				}
			}
		}
		t.store(x, list)
	}
}

// SetLoad takes over a load report that arrived at now.
func (t *Table) SetLoad(now time.Time, name string, l engine.Load) {
	if e := t.end(name); e != nil {
		e.report(now, l)
	}
}

func (t *Table) end(name string) *end {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ends[name]
}

// SetLeaving takes over which endpoints the platform lists as leaving. They
// get no new work from the next Pick on.
func (t *Table) SetLeaving(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.ends {
		e.vmLeaving.Store(names[name])
	}
}

// SetIsolated takes over which domains cannot be reached from here. Their
// endpoints are not chosen; a model that is only there counts as not resident,
// so that it is loaded here.
func (t *Table) SetIsolated(names map[string]bool) {
	for name, d := range *t.domains.Load() {
		d.isolated.Store(names[name])
	}
}

// CacheEvents takes over cache events of an endpoint that arrived at now.
func (t *Table) CacheEvents(now time.Time, name string, events []engine.CacheEvent) {
	e := t.end(name)
	if e == nil {
		return
	}
	for _, ev := range events {
		e.event(ev.Seq)
		h := prefixHash(ev.Model, ev.Prefix)
		if ev.Evicted {
			t.prefix.remove(h, e.id)
			continue
		}
		t.prefix.add(h, e.id, e.generation.Load(), now)
	}
}

// Remote sums up what the other domains of this region have, for the planner.
func (t *Table) Remote() map[string]place.RemoteModel {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near []place.Layout
	domains := *t.domains.Load()
	for _, name := range slices.Sorted(maps.Keys(t.layouts)) {
		// What cannot be reached from here does not serve this domain's requests.
		if d := domains[name]; name != t.set.Domain && d != nil && d.distance < t.set.OtherRegion && !d.isolated.Load() {
			near = append(near, t.layouts[name])
		}
	}
	return place.Remote(near...)
}
