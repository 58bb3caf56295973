package place

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

func item(model, version string) ItemView {
	return ItemView{
		Item: Item{
			Model:   model,
			Version: version,
		},
		MiB:   40,
		Ready: true,
	}
}

func model(name, version string, value float64) ModelView {
	return ModelView{
		Spec: spec.Model{
			Name:      name,
			Version:   version,
			MemoryMiB: 40,
			OnDemand:  spec.Duration(time.Minute),
		},
		Requests: value,
		Tokens:   value * 100,
		Value:    value,
	}
}

// Guards against plans that interrupt a model during a version change, evict the
// wrong model, or leave memory overcommitted after it shrank.
func TestPlanner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	waiting := model("c", "1", 0.1)
	waiting.WaitingSince = now.Add(-40 * time.Second)
	fresh := model("c", "1", 0.1)
	fresh.WaitingSince = now
	for _, c := range []struct {
		name   string
		memory []int64
		items  [][]ItemView
		models []ModelView
		want   string
	}{
		{
			name:   "new version beside the old one",
			memory: []int64{100},
			items:  [][]ItemView{{item("a", "1")}},
			models: []ModelView{model("a", "2", 0.5)},
			want:   "e0 [] a@2 version; ",
		},
		{
			name:   "new version in place where both do not fit",
			memory: []int64{60},
			items:  [][]ItemView{{item("a", "1")}},
			models: []ModelView{model("a", "2", 0.5)},
			want:   "e0 [a@1] a@2 version; ",
		},
		{
			name:   "new version elsewhere first",
			memory: []int64{60, 60},
			items:  [][]ItemView{{item("a", "1")}, {}},
			models: []ModelView{model("a", "2", 0.5)},
			want:   "e1 [] a@2 version; ",
		},
		{
			name:   "replaced version is unloaded",
			memory: []int64{100},
			items:  [][]ItemView{{item("a", "1"), item("a", "2")}},
			models: []ModelView{model("a", "2", 0.5)},
			want:   "e0 [a@1]  obsolete; ",
		},
		{
			name:   "removed model is unloaded",
			memory: []int64{100},
			items:  [][]ItemView{{item("a", "1"), item("x", "1")}},
			models: []ModelView{model("a", "1", 0.5)},
			want:   "e0 [x@1]  obsolete; ",
		},
		{
			name:   "least valuable model is evicted when memory shrinks",
			memory: []int64{50},
			items:  [][]ItemView{{item("a", "1"), item("b", "1")}},
			models: []ModelView{model("a", "1", 0.1), model("b", "1", 0.2)},
			want:   "e0 [a@1]  memory; ",
		},
		{
			name:   "least valuable model is evicted for requests near their time limit",
			memory: []int64{80},
			items:  [][]ItemView{{item("a", "1"), item("b", "1")}},
			models: []ModelView{model("a", "1", 0.3), model("b", "1", 0.2), waiting},
			want:   "e0 [b@1] c@1 on-demand; ",
		},
		{
			name:   "recent requests do not evict a more valuable model",
			memory: []int64{80},
			items:  [][]ItemView{{item("a", "1"), item("b", "1")}},
			models: []ModelView{model("a", "1", 0.3), model("b", "1", 0.2), fresh},
		},
		{
			name:   "small difference in value starts no move",
			memory: []int64{40},
			items:  [][]ItemView{{item("a", "1")}},
			models: []ModelView{model("a", "1", 0.1), model("b", "1", 0.15)},
		},
		{
			name:   "large difference in value replaces a model",
			memory: []int64{40},
			items:  [][]ItemView{{item("a", "1")}},
			models: []ModelView{model("a", "1", 0.1), model("b", "1", 0.9)},
			want:   "e0 [a@1] b@1 coverage; ",
		},
		{
			name:   "busy model gets another replica",
			memory: []int64{40, 40},
			items:  [][]ItemView{{item("a", "1")}, {item("b", "1")}},
			models: []ModelView{model("a", "1", 1.4), model("b", "1", 0.01)},
			want:   "e1 [b@1] a@1 demand; ",
		},
	} {
		v := &View{
			Now:             now,
			Models:          c.models,
			MaxLoads:        1,
			LoadTime:        2 * time.Second,
			TokensPerSecond: 154,
		}
		for i, items := range c.items {
			free := c.memory[i]
			for k := range items {
				free -= items[k].MiB
				items[k].ResidentSince = now.Add(-time.Hour)
			}
			v.Endpoints = append(v.Endpoints, EndpointView{
				Name:      fmt.Sprint("e", i),
				MemoryMiB: c.memory[i],
				FreeMiB:   free,
				Speed:     1,
				Items:     items,
				Idle:      true,
			})
		}
		got := ""
		for _, m := range NewPlanner().Plan(v) {
			load := ""
			if m.Load != (Item{}) {
				load = m.Load.String()
			}
			got += fmt.Sprintf("%s %v %s %s; ", m.Endpoint, m.Evict, load, m.Reason)
			if m.Explanation == "" {
				t.Errorf("%s: move without an explanation", c.name)
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against domains that together exceed the weight store's limits, and
// against a domain that does not get its part of them.
func TestWeights(t *testing.T) {
	domains := []string{"a", "b", "c"}
	list := make([]WeightLimiter, 3)
	got := make([]int, 3)
	for i := range list {
		list[i].SetLimits(domains[i], domains, 1.5, 2)
	}
	for s := range 180 {
		now := time.Unix(1_000_000, 0).Add(time.Duration(s) * time.Second)
		parallel, rate := 0, 0.0
		for i := range list {
			p, r := list[i].share(now)
			parallel += p
			rate += r
			got[i] += p
		}
		if parallel > 2 || rate > 1.5+1e-9 {
			t.Fatalf("after %d s: %d loads in parallel, %v loads/s", s, parallel, rate)
		}
	}
	if slices.Min(got) < 100 {
		t.Errorf("load-seconds per domain in 3 minutes: %v, want about 120 each", got)
	}
}

// Guards against a ledger that books an order twice, books before it knows the
// endpoint's fencing token, uses a state older than the last one, or releases
// memory while a copy of the order can still arrive.
func TestLedger(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLedger(LedgerSettings{
		Endpoint:    "e",
		MemoryMiB:   100,
		Fencing:     true,
		ClockMargin: 0.1,
	})
	fence := engine.Fence{Counter: 5, Node: 1}
	order := func(id string, f engine.Fence, mib int64) engine.Order {
		return engine.Order{
			ID:        id,
			Fence:     f,
			Kind:      engine.OrderLoad,
			Model:     id,
			MemoryMiB: mib,
			Deadline:  now.Add(30 * time.Second),
		}
	}
	book := func(o engine.Order, want error) {
		t.Helper()
		if err := l.Book(now, o); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", o.ID, err, want)
		}
	}
	book(order("a", fence, 60), ErrNotSynced)
	state := engine.State{Incarnation: "1", MemoryMiB: 100, Fence: fence}
	l.Apply(now, now, state)
	book(order("a", engine.Fence{Counter: 6, Node: 1}, 60), ErrNotSynced)
	book(order("a", fence, 60), nil)
	book(order("a", fence, 60), ErrDuplicate)
	book(order("b", fence, 60), ErrNoMemory)
	now = now.Add(time.Second)
	if l.Apply(now.Add(-2*time.Second), now, engine.State{Incarnation: "1", Fence: engine.Fence{Counter: 9}}) {
		t.Error("a state older than the last one was used")
	}
	for _, c := range []struct {
		after time.Duration
		free  int64
	}{
		{after: 30 * time.Second, free: 40},
		{after: 2 * time.Second, free: 100}, // 33 s after the decision: the deadline plus the margin of a tenth
	} {
		now = now.Add(c.after)
		l.Apply(now, now, state)
		if l.FreeMiB() != c.free {
			t.Errorf("%d MiB are free, want %d", l.FreeMiB(), c.free)
		}
	}
	l.SetMemory(50)
	book(order("c", fence, 60), ErrNoMemory)
}

// Guards against evicting an adapter while requests use it, or before one that
// was used less recently.
func TestAdapters(t *testing.T) {
	c := newFuzzCluster(func(engine.Order) time.Duration { return 0 })
	c.cfg.Models = c.cfg.Models[4:5] // m4, 25 MiB
	for name := range c.engines {
		if name != "e0" {
			delete(c.engines, name)
		}
	}
	c.cfg.Endpoints = c.cfg.Endpoints[:1]
	c.cfg.Endpoints[0].MemoryMiB = 38 // the model and two adapters of 6 MiB
	p := c.newProcess()
	c.procs = []*process{p}
	c.run(30*time.Second, c.procs, func() {})
	seq := int64(0)
	reportWaiting := func(adapter string, inUse ...string) {
		for range 100 {
			seq++
			r := DemandReport{
				Node:        "n",
				Incarnation: "1",
				Seq:         seq,
				Waiting:     []WaitingRequests{{Model: "m4", Adapter: adapter, Requests: 1}},
			}
			for _, a := range inUse {
				r.InUse = append(r.InUse, AdapterUse{Endpoint: "e0", Model: "m4", Adapter: a, Running: 1})
			}
			p.in.Reports = append(p.in.Reports, r)
			c.run(200*time.Millisecond, c.procs, func() {})
		}
	}
	for _, tc := range []struct {
		adapter string
		inUse   []string
		have    string
	}{
		{"a0", nil, "[a0]"},
		{"a1", nil, "[a0 a1]"},
		{"a2", []string{"a0"}, "[a0 a2]"},
		{"a3", []string{"a0", "a2"}, "[a0 a2]"},
		{"a3", []string{"a2"}, "[a2 a3]"},
	} {
		reportWaiting(tc.adapter, tc.inUse...)
		var have []string
		for i := range c.engines["e0"].resident {
			if i.Adapter != "" {
				have = append(have, i.Adapter)
			}
		}
		slices.Sort(have)
		if fmt.Sprint(have) != tc.have {
			t.Errorf("after %s with %v in use: %v, want %s", tc.adapter, tc.inUse, have, tc.have)
		}
	}
}

// Guards against a group of endpoints without a prefill endpoint, and against
// separate roles in a group that is too small.
func TestRoles(t *testing.T) {
	v := &View{}
	for i := range 4 {
		v.Endpoints = append(v.Endpoints, EndpointView{
			Name:  fmt.Sprint("e", i),
			Items: []ItemView{item("a", "1")},
			Idle:  true,
		})
	}
	got := ""
	for _, m := range planRoles(v, nil) {
		got += m.Endpoint + " " + string(m.Role) + ";"
	}
	if want := "e0 prefill;e1 decode;e2 decode;e3 decode;"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	v.Endpoints = v.Endpoints[:3]
	if moves := planRoles(v, nil); len(moves) != 0 {
		t.Errorf("three endpoints get separate roles: %v", moves)
	}
}

// Guards against dead endpoints that prevent the manager from reading the state
// of the others, and against unlimited concurrent reads.
func TestDeadEndpoints(t *testing.T) {
	cfg := fuzzConfig()
	for i := range 21 {
		cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{
			Name:      fmt.Sprintf("e%02d", i),
			Service:   "chat",
			Domain:    "north",
			MemoryMiB: 100,
		})
	}
	m := NewManager(Settings{
		Domain: "north",
		Node:   1,
	})
	now := time.Unix(1_000_000, 0)
	in := Inputs{
		Config: cfg,
	}
	for range 20 {
		in.Authority = Authority{
			Until: now.Add(10 * time.Second),
			Since: time.Unix(1_000_000, 0),
			Epoch: 1,
		}
		actions := m.Step(now, in)
		if len(actions) > 16 {
			t.Fatalf("%d concurrent reads, want at most 16", len(actions))
		}
		for _, a := range actions {
			if a.(ReadState).Endpoint == "e20" {
				return
			}
		}
		in = Inputs{}
		now = now.Add(500 * time.Millisecond)
	}
	t.Error("with 20 unresponsive endpoints the last endpoint was not read for 10 s")
}
