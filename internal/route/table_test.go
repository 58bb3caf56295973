package route

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/pkg/spec"
)

var start = time.Unix(1_000_000, 0)

// newFleet returns a table with n endpoints in each of two domains. Model "m" is
// ready on all of them.
func newFleet(n int) (*Table, *spec.Config, map[string]place.Layout) {
	cfg := &spec.Config{
		Domains: []spec.Domain{{Name: "near", Region: "r"}, {Name: "far", Region: "s"}},
		Services: []spec.Service{
			{Name: "chat", Kind: spec.KindModel},
			{Name: "booking", Kind: spec.KindPlain},
		},
		Models: []spec.Model{
			{Name: "m", Service: "chat", Version: "2"},
			{Name: "cold", Service: "chat", Version: "1"},
		},
	}
	layouts := map[string]place.Layout{}
	for _, d := range cfg.Domains {
		l := place.Layout{
			Domain: d.Name,
			Term:   engine.Fence{Counter: 1},
			Seq:    1,
		}
		for i := range n {
			name := fmt.Sprintf("%s-%02d", d.Name, i)
			cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{Name: name, Service: "chat", Domain: d.Name, Address: name, Speed: 1})
			l.Endpoints = append(l.Endpoints, place.EndpointLayout{
				Endpoint: name,
				Models:   []place.ModelLayout{{Model: "m", Version: "2", Ready: true}},
				Seq:      1,
			})
		}
		layouts[d.Name] = l
	}
	cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{Name: "desk", Service: "booking", Domain: "near", Address: "desk"})
	t := NewTable(Settings{
		Domain: "near",
	})
	t.SetConfig(cfg)
	for _, l := range layouts {
		t.SetLayout(l)
	}
	return t, cfg, layouts
}

func request(at time.Duration) Request {
	return Request{
		Now:          start.Add(at),
		Model:        "m",
		PromptTokens: 500,
	}
}

func mustPick(t *testing.T, tab Picker, r Request) Choice {
	t.Helper()
	c, err := tab.Pick(r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// countPicks returns how many of 200 requests each endpoint gets.
func countPicks(t *testing.T, tab *Table, at time.Duration) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range 200 {
		out[mustPick(t, tab, request(at)).Endpoint]++
	}
	return out
}

// TestLeaving guards against new work for a leaving endpoint. It may be
// reported as leaving by its load report, by the platform's list of VMs or by
// the planner's layout.
func TestLeaving(t *testing.T) {
	tab, _, layouts := newFleet(4)
	tab.SetLeaving(map[string]bool{"near-00": true})
	tab.SetLoad(start, "near-01", engine.Load{Leaving: true, Sampled: start})
	l := layouts["near"]
	l.Seq = 2
	l.Endpoints = slices.Clone(l.Endpoints)
	l.Endpoints[2].Leaving, l.Endpoints[2].Seq = true, 2
	tab.SetLayout(l)
	got := countPicks(t, tab, 0)
	for _, name := range []string{"near-00", "near-01", "near-02"} {
		if got[name] > 0 {
			t.Errorf("%s leaves and got %d requests", name, got[name])
		}
	}
	r := request(0)
	r.Exclude = []string{"near-03", "far-00", "far-01", "far-02", "far-03"}
	if _, err := tab.Pick(r); !errors.Is(err, ErrNoEndpoint) {
		t.Errorf("error %v, want ErrNoEndpoint", err)
	}
	tab.SetLeaving(nil)
	if countPicks(t, tab, 0)["near-00"] == 0 {
		t.Error("an endpoint that is no longer listed gets no work")
	}
}

// TestEjection guards against a failing endpoint that is not ejected or gets
// its full share of requests back at once, and against a model that becomes
// unreachable when all its endpoints are ejected.
func TestEjection(t *testing.T) {
	tab, _, _ := newFleet(2)
	fail := func(name string, at time.Duration) bool {
		r := request(at)
		for _, x := range []string{"near-00", "near-01", "far-00", "far-01"} {
			if x != name {
				r.Exclude = append(r.Exclude, x)
			}
		}
		c := mustPick(t, tab, r)
		tab.Start(c, r)
		return tab.Finish(c, Outcome{Now: r.Now, Failed: true})
	}
	if fail("near-00", 0) || fail("near-00", 0) || !fail("near-00", 0) {
		t.Fatal("not ejected at the third failure")
	}
	if n := countPicks(t, tab, time.Second)["near-00"]; n > 0 {
		t.Errorf("an ejected endpoint got %d requests", n)
	}
	c := mustPick(t, tab, request(time.Second))
	if c.Ejected != 1 || c.Candidates != 4 || c.Sentence() == "" {
		t.Errorf("choice %+v", c)
	}
	// The endpoint returns in slow start, when one failure ejects it for longer.
	if n := countPicks(t, tab, 6*time.Second)["near-00"]; n > 100 {
		t.Errorf("in slow start the endpoint got %d of 200 requests", n)
	}
	if !fail("near-00", 6*time.Second) {
		t.Error("a failure in slow start does not eject")
	}
	if n := countPicks(t, tab, 15*time.Second)["near-00"]; n > 0 {
		t.Errorf("the second ejection did not last longer: %d requests", n)
	}
	for _, name := range []string{"near-01", "far-00", "far-01"} {
		for range 3 {
			fail(name, 15*time.Second)
		}
	}
	if c := mustPick(t, tab, request(15*time.Second)); c.Reason != ReasonFallback {
		t.Errorf("with all endpoints ejected the reason is %q", c.Reason)
	}
}

// TestDomains guards against requests that go to another region although their
// own domain can serve them, and against requests to a domain that cannot be
// reached.
func TestDomains(t *testing.T) {
	tab, _, _ := newFleet(3)
	for name, n := range countPicks(t, tab, 0) {
		if name[:3] == "far" && n > 0 {
			t.Errorf("%s got %d requests without need", name, n)
		}
	}
	tab.SetIsolated(map[string]bool{"near": true})
	c := mustPick(t, tab, request(0))
	if c.Domain != "far" || c.Unhealthy != 3 || c.Distance != 30*time.Millisecond {
		t.Errorf("choice %+v", c)
	}
	tab.SetIsolated(map[string]bool{"near": true, "far": true})
	if _, err := tab.Pick(request(0)); !errors.Is(err, ErrNotResident) {
		t.Errorf("error %v, want ErrNotResident for a model that cannot be reached", err)
	}
	tab.SetIsolated(nil)
	if r := tab.Remote(); len(r) != 0 {
		t.Errorf("a domain of another region is treated as near: %v", r)
	}
}

// TestLayoutChanges guards against wrong choices while the layout changes: a
// model is loaded or unloaded, two versions are loaded, or an outdated layout
// arrives late.
func TestLayoutChanges(t *testing.T) {
	tab, cfg, layouts := newFleet(2)
	if _, err := tab.Pick(Request{Now: start, Model: "cold"}); !errors.Is(err, ErrNotResident) {
		t.Errorf("error %v, want ErrNotResident", err)
	}
	if _, err := tab.Pick(Request{Now: start, Model: "none"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v, want ErrUnknown", err)
	}
	if c := mustPick(t, tab, Request{Now: start, Service: "booking"}); c.Endpoint != "desk" || c.Reason != ReasonOnly {
		t.Errorf("choice %+v", c)
	}
	l := layouts["near"]
	l.Seq = 2
	l.Endpoints = []place.EndpointLayout{
		{
			Endpoint: "near-00",
			Models: []place.ModelLayout{
				{Model: "cold", Version: "1", Ready: true, Adapters: []string{"a"}},
				{Model: "m", Version: "1", Ready: true},
				{Model: "m", Version: "2", Ready: true},
			},
			Seq: 2,
		},
		{
			Endpoint: "near-01",
			Models:   []place.ModelLayout{{Model: "m", Version: "2"}},
			Seq:      2,
		},
	}
	tab.SetLayout(l)
	if c := mustPick(t, tab, Request{Now: start, Model: "cold", Adapter: "a"}); c.Endpoint != "near-00" || !c.AdapterReady {
		t.Errorf("choice %+v", c)
	}
	for range 50 {
		if c := mustPick(t, tab, request(0)); c.Endpoint == "near-01" || c.Version != "2" {
			t.Fatalf("choice %+v: near-01 is about to unload, and version 2 is wanted", c)
		}
	}
	old := layouts["near"]
	tab.SetLayout(old)
	if _, err := tab.Pick(Request{Now: start, Model: "cold"}); err != nil {
		t.Errorf("an outdated layout was applied: %v", err)
	}
	tab.SetConfig(cfg)
	if c := mustPick(t, tab, Request{Now: start, Model: "cold"}); c.Endpoint != "near-00" {
		t.Errorf("after a new configuration: %+v", c)
	}
}

// TestRetryBudget guards against more retries than the budget allows.
func TestRetryBudget(t *testing.T) {
	tab, _, _ := newFleet(1)
	n := 0
	for tab.Retry() {
		n++
	}
	if n != 10 {
		t.Errorf("%d retries were saved up, want 10", n)
	}
	r := request(0)
	for range 100 {
		tab.Start(mustPick(t, tab, r), r)
	}
	n = 0
	for tab.Retry() {
		n++
	}
	if n < 9 || n > 10 {
		t.Errorf("100 requests allow %d retries, want 10", n)
	}
}

// TestEstimates guards against a load report that discards the requests sent
// after it was sampled, and against prefixes that are treated as cached after
// their eviction, a gap in the events or a restart.
func TestEstimates(t *testing.T) {
	tab, _, _ := newFleet(1)
	r := request(0)
	r.Exclude = []string{"far-00"}
	for i := range 10 {
		r.Now = start.Add(time.Duration(i) * 200 * time.Millisecond)
		tab.Start(mustPick(t, tab, r), r)
	}
	r.Now = start.Add(2 * time.Second)
	tab.SetLoad(r.Now, "near-00", engine.Load{Running: 3, Queued: 1, Sampled: start.Add(time.Second)})
	if got := mustPick(t, tab, r).Outstanding; got < 8 || got > 10 {
		t.Errorf("%d outstanding, want 4 reported and those of the last second", got)
	}
	r.Prefixes = []string{"p1", "p2"}
	hit := func(want float64, why string) {
		t.Helper()
		if got := mustPick(t, tab, r).Hit; got != want {
			t.Errorf("hit %v, want %v %s", got, want, why)
		}
	}
	hit(0, "before any event")
	tab.CacheEvents(r.Now, "near-00", []engine.CacheEvent{{Seq: 5, Model: "m", Prefix: "p1"}, {Seq: 6, Model: "m", Prefix: "p2"}})
	hit(1, "after the events")
	tab.CacheEvents(r.Now, "near-00", []engine.CacheEvent{{Seq: 7, Model: "m", Prefix: "p2", Evicted: true}})
	hit(0.5, "after an eviction")
	tab.CacheEvents(r.Now, "near-00", []engine.CacheEvent{{Seq: 9, Model: "m", Prefix: "other"}})
	hit(0.25, "after a gap")
	tab.CacheEvents(r.Now, "near-00", []engine.CacheEvent{{Seq: 200, Model: "m", Prefix: "p1"}, {Seq: 1, Model: "m", Prefix: "other"}})
	hit(0, "after a restart")
}

// TestConcurrent guards against data races between the control loop and request
// handlers.
func TestConcurrent(t *testing.T) {
	tab, cfg, layouts := newFleet(8)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 2000 {
				r := request(time.Duration(i) * time.Millisecond)
				r.Prefixes = []string{fmt.Sprint(g, i%50)}
				c, err := tab.Pick(r)
				if err != nil {
					t.Error(err)
					return
				}
				tab.Start(c, r)
				tab.Finish(c, Outcome{Now: r.Now, Failed: i%7 == 0, FirstToken: time.Millisecond})
			}
		}()
	}
	for i := range 200 {
		l := layouts["near"]
		l.Seq = int64(2 + i)
		l.Endpoints = slices.Clone(l.Endpoints)
		l.Endpoints[i%8].Seq = l.Seq
		tab.SetLayout(l)
		tab.SetLoad(start, "near-01", engine.Load{Running: i, Sampled: start})
		tab.CacheEvents(start, "near-02", []engine.CacheEvent{{Seq: int64(i), Model: "m", Prefix: "x"}})
		if i%20 == 0 {
			tab.SetConfig(cfg)
		}
	}
	wg.Wait()
}

// TestEjectedEndpointReplaced guards against a domain that stays unhealthy because
// endpoints that were ejected when they were replaced or removed still count as
// ejected, also when their ejection ends afterwards.
func TestEjectedEndpointReplaced(t *testing.T) {
	for _, tc := range []struct {
		name    string
		removed bool
		// late is set if attempts at the old endpoints end after the change.
		late bool
	}{
		{name: "replaced"},
		{name: "replaced, with late attempts", late: true},
		{name: "removed and added again", removed: true},
		{name: "removed and added again, with late attempts", removed: true, late: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab, cfg, _ := newFleet(4)
			old := slices.Collect(maps.Values(tab.endpoints))
			for _, e := range old {
				for range 3 {
					e.recordFailure(start, &tab.settings)
				}
			}
			next := *cfg
			if tc.removed {
				next.Endpoints = nil
				tab.SetConfig(&next)
				next.Endpoints = cfg.Endpoints
			} else {
				next.Endpoints = slices.Clone(cfg.Endpoints)
				for i := range next.Endpoints {
					next.Endpoints[i].Address += "-new"
				}
			}
			tab.SetConfig(&next)
			for _, e := range old {
				if tc.late {
					e.isEjected(start.Add(time.Hour))
				}
			}
			for name, d := range *tab.domains.Load() {
				if n := d.ejected.Load(); n != 0 || d.unhealthy() {
					t.Errorf("domain %s counts %d ejected endpoints, unhealthy %v", name, n, d.unhealthy())
				}
			}
		})
	}
}
