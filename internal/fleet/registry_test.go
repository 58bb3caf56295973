package fleet

import (
	"testing"
	"time"
)

func testEndpoint(id string, incarnation int64, leaving bool) *Endpoint {
	return &Endpoint{
		ID:          id,
		Incarnation: incarnation,
		Service:     "s",
		Address:     "10.0.0.1:80",
		Leaving:     leaving,
	}
}

func endpointIDs(r *Registry) string {
	out := ""
	for _, e := range r.List() {
		out += e.ID
		if e.Leaving {
			out += "!"
		}
		out += " "
	}
	return out
}

// TestRegistry guards against using endpoints that were removed, against keeping
// leaving endpoints for the grace period, and against dropping running endpoints
// whose entries expired during an outage of the store.
func TestRegistry(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after     time.Duration
		recovered bool
		changes   []Change
		complete  bool
		expire    bool
		want      string
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{
			name: "an entry that is deleted",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, false)}, {Name: "b", Version: 2, Endpoint: testEndpoint("b", 1, false)}}, complete: true, want: "a b "},
				{changes: []Change{{Name: "a", Version: 3}}, want: "b "},
			},
		},
		{
			name: "an entry that cannot be decoded removes the endpoint",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, false)}}, complete: true, want: "a "},
				{changes: []Change{{Name: "a", Version: 2}}, want: ""},
				{changes: []Change{{Name: "a", Version: 3, Endpoint: testEndpoint("a", 1, false)}}, want: "a "},
			},
		},
		{
			name: "entries missing right after an outage come back",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, false)}, {Name: "b", Version: 1, Endpoint: testEndpoint("b", 1, false)}}, complete: true, want: "a b "},
				{after: 4 * time.Second, recovered: true, complete: true, want: "a b "},
				{after: time.Second, changes: []Change{{Name: "a", Version: 9, Endpoint: testEndpoint("a", 1, false)}}, expire: true, want: "a b "},
				{after: 1400 * time.Millisecond, expire: true, want: "a "},
			},
		},
		{
			name: "a leaving endpoint is not kept by the grace",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, true)}}, complete: true, want: "a! "},
				{recovered: true, complete: true, want: ""},
			},
		},
		{
			name: "old changes after a pause of the reader",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, false)}, {Name: "b", Version: 1, Endpoint: testEndpoint("b", 1, false)}}, complete: true, want: "a b "},
				{changes: []Change{{Name: "b", Version: 31, Endpoint: testEndpoint("b", 1, false)}}, complete: true, want: "b "},
				{changes: []Change{{Name: "a", Version: 15, Endpoint: testEndpoint("a", 1, false)}}, want: "b "},
				{changes: []Change{{Name: "a", Version: 40, Endpoint: testEndpoint("a", 1, false)}}, want: "a b "},
				{changes: []Change{{Name: "a", Version: 50}}, want: "b "},
				{changes: []Change{{Name: "a", Version: 45, Endpoint: testEndpoint("a", 1, false)}}, want: "b "},
			},
		},
		{
			name: "a late write of an earlier incarnation",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 5, Endpoint: testEndpoint("a", 7, false)}}, complete: true, want: "a "},
				{changes: []Change{{Name: "a", Version: 6, Endpoint: testEndpoint("a", 3, true)}}, want: "a "},
			},
		},
		{
			name: "an older row relayed by another node",
			steps: []step{
				{changes: []Change{{Name: "a", Version: 5, Endpoint: testEndpoint("a", 1, true)}}, complete: true, want: "a! "},
				{changes: []Change{{Name: "a", Version: 4, Endpoint: testEndpoint("a", 1, false)}}, want: "a! "},
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRegistry()
			now := start
			for i, s := range tc.steps {
				now = now.Add(s.after)
				if s.recovered {
					r.StoreRecovered(now)
				}
				if s.expire {
					r.Expire(now)
				}
				if s.changes != nil || s.complete {
					r.Apply(now, s.changes, int64(10*i+10), s.complete)
				}
				if got := endpointIDs(r); got != s.want {
					t.Fatalf("step %d: endpoints %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestRegistryVersion guards against sending the endpoints to other nodes after
// heartbeats that change nothing.
func TestRegistryVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	r.Apply(now, []Change{{Name: "a", Version: 1, Endpoint: testEndpoint("a", 1, false)}}, 1, true)
	v := r.Version()
	if r.Apply(now, []Change{{Name: "a", Version: 2, Endpoint: testEndpoint("a", 1, false)}}, 2, false) || r.Version() != v {
		t.Errorf("a heartbeat changed the version from %d to %d", v, r.Version())
	}
	if !r.Apply(now, []Change{{Name: "a", Version: 3, Endpoint: testEndpoint("a", 1, true)}}, 3, false) || r.Version() <= v {
		t.Errorf("a leaving endpoint left the version at %d", r.Version())
	}
}

// TestMatch guards against choosing a route with a shorter prefix than another
// that matches, and against matching a prefix that ends inside a path segment.
func TestMatch(t *testing.T) {
	c := &Config{
		Services: map[string]*Service{"s": {Name: "s"}},
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{Service: "s", Weight: 1}}},
		},
	}
	if err := c.Prepare(); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ host, path, want string }{
		{host: "a.example", path: "/x/1", want: "short"},
		{host: "a.example", path: "/x/y/1", want: "long"},
		{host: "A.example:80", path: "/x/y/", want: "long"},
		{host: "a.example", path: "/x/yy", want: "short"},
		{host: "a.example", path: "/xx/", want: ""},
		{host: "b.example", path: "/x/1", want: ""},
	} {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s matches route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// TestTarget guards against a split of requests that differs from the weights,
// and against choosing different services for the same request.
func TestTarget(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		id := string(rune('a'+i%26)) + time.Unix(int64(i), 0).String()
		if r.Target(id) != r.Target(id) {
			t.Fatal("the same request got two services")
		}
		counts[r.Target(id)]++
	}
	if counts["c"] > 0 || counts["b"] < 800 || counts["b"] > 1200 {
		t.Errorf("of 10,000 requests the services got %v", counts)
	}
}

// TestVersionWithoutHoldings guards against a version that rises when an engine
// only holds other adapters: all nodes then exchange the whole list of endpoints
// with each heartbeat (2.9 MB a second at the coordinator of 29 nodes and 301
// engines).
func TestVersionWithoutHoldings(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	engine := testEndpoint("a", 1, false)
	r.Apply(now, []Change{{Name: "a", Version: 5, Endpoint: engine}}, 5, true)
	loaded := *engine
	loaded.Models = []Resident{{Model: "m", Adapters: []string{"a1"}}}
	if !r.Apply(now, []Change{{Name: "a", Version: 7, Endpoint: &loaded}}, 7, false) || len(r.List()[0].Models) != 1 {
		t.Error("the engine's new holdings were not taken over")
	}
	if r.Version() != 5 {
		t.Errorf("the version rose to %d with the engine's holdings", r.Version())
	}
	leaving := loaded
	leaving.Leaving = true
	r.Apply(now, []Change{{Name: "a", Version: 9, Endpoint: &leaving}}, 9, false)
	if r.Version() != 9 {
		t.Errorf("the version is %d after the engine began to leave, want 9", r.Version())
	}
}

// TestAdoptedListIsNotFetchedAgain guards against a list of endpoints that is sent in
// every exchange because it contains nothing new under a higher version.
func TestAdoptedListIsNotFetchedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	list := []Change{{Name: "a", Version: 5, Endpoint: testEndpoint("a", 1, false)}}
	r.Apply(now, list, 5, true)
	if r.Adopt(now, list, 8) {
		t.Error("the same list counts as a change")
	}
	if r.Version() != 8 {
		t.Errorf("the version is %d after a list of version 8", r.Version())
	}
}

// TestIgnoredChangesAreReported guards against a change that is ignored because of its
// version without a line in the log.
func TestIgnoredChangesAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	r.Apply(now, []Change{{Name: "a", Version: 9, Endpoint: testEndpoint("a", 1, false)}}, 9, true)
	for range 2 * maxIgnored {
		r.Apply(now, []Change{{Name: "a", Version: 5, Endpoint: testEndpoint("a", 1, true)}}, 9, false)
	}
	ignored := r.TakeIgnored()
	if len(ignored) != maxIgnored || ignored[0] != (Ignored{Name: "a", Version: 5, Known: 9}) {
		t.Errorf("reported %+v", ignored)
	}
	if len(r.TakeIgnored()) != 0 {
		t.Error("a change is reported twice")
	}
}
