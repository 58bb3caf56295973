package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/pkg/spec"
)

// event is an action at a simulated time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	simEngines       = 18
	simNodes         = 6
	simConversations = 500
	simCache         = 60 // capacity of an engine's cache in prefixes
	simRate          = 26.0
	simTime          = 4 * time.Minute
	simWarmUp        = time.Minute
	simLag           = 1500 * time.Millisecond // delay of load reports, which are sampled every second
	simEventLag      = 3 * time.Second
	simEventLoss     = 0.15 // share of the cache events
	simBlocks        = 4
	simBlock         = 500 // tokens
	simPrefill       = 200 * time.Microsecond
)

// simEngine serves one request per slot at a time; further requests wait in order.
type simEngine struct {
	name   string
	speed  float64
	slots  []time.Time // when each slot becomes free
	starts []time.Time // start and end times of requests that have not finished
	ends   []time.Time
	cache  []string // least recently used first
	seq    int64
	unsent []engine.CacheEvent // events that have not been sent
}

// access looks up a prefix in the cache and inserts it on a miss.
func (e *simEngine) access(prefix string) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.cache = append(e.cache, prefix)
	e.seq++
	e.unsent = append(e.unsent, engine.CacheEvent{Seq: e.seq, Model: "m", Prefix: prefix})
	if len(e.cache) > simCache {
		e.seq++
		e.unsent = append(e.unsent, engine.CacheEvent{Seq: e.seq, Model: "m", Prefix: e.cache[0], Evicted: true})
		e.cache = e.cache[1:]
	}
	return false
}

type routeResult struct {
	p50, p95, p99 time.Duration
	hits          float64
}

// simulate sends requests of conversations with very different activity through
// nodes that do not see each other's requests.
func simulate(tb testing.TB, choose func(*Table) Picker, seed uint64) routeResult {
	rnd := rand.New(rand.NewPCG(seed, 2))
	now := start
	var queue events
	n := 0
	after := func(d time.Duration, do func()) {
		n++
		heap.Push(&queue, event{now.Add(d), n, do})
	}
	cfg := &spec.Config{
		Domains:  []spec.Domain{{Name: "d0", Region: "r"}, {Name: "d1", Region: "r"}, {Name: "d2", Region: "r"}},
		Services: []spec.Service{{Name: "chat", Kind: spec.KindModel}},
		Models:   []spec.Model{{Name: "m", Service: "chat", Version: "1"}},
	}
	engines := map[string]*simEngine{}
	var names []string
	layouts := map[string]*place.Layout{}
	for i := range simEngines {
		e := &simEngine{
			name:  fmt.Sprintf("e%02d", i),
			speed: []float64{0.6, 1, 1.8}[i/3%3],
		}
		for range int(7*e.speed + 0.5) {
			e.slots = append(e.slots, now)
		}
		engines[e.name] = e
		names = append(names, e.name)
		domain := fmt.Sprint("d", i%3)
		cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{Name: e.name, Service: "chat", Domain: domain, Address: e.name, Speed: e.speed})
		if layouts[domain] == nil {
			layouts[domain] = &place.Layout{
				Domain: domain,
				Seq:    1,
			}
		}
		layouts[domain].Endpoints = append(layouts[domain].Endpoints, place.EndpointLayout{
			Endpoint: e.name,
			Models:   []place.ModelLayout{{Model: "m", Version: "1", Ready: true}},
			Seq:      1,
		})
	}
	var tables []*Table
	for i := range simNodes {
		t := NewTable(Settings{
			Domain: fmt.Sprint("d", i%3),
		})
		t.SetConfig(cfg)
		for _, l := range layouts {
			t.SetLayout(*l)
		}
		tables = append(tables, t)
	}
	var report func()
	report = func() {
		for _, name := range names {
			e := engines[name]
			load := engine.Load{
				Sampled: now,
			}
			for i := len(e.ends) - 1; i >= 0; i-- {
				switch {
				case !e.ends[i].After(now):
					e.ends, e.starts = slices.Delete(e.ends, i, i+1), slices.Delete(e.starts, i, i+1)
				case e.starts[i].After(now):
					load.Queued++
				default:
					load.Running++
				}
			}
			sent := e.unsent
			e.unsent = nil
			for _, t := range tables {
				after(simLag, func() { t.SetLoad(now, name, load) })
				kept := slices.DeleteFunc(slices.Clone(sent), func(engine.CacheEvent) bool { return rnd.Float64() < simEventLoss })
				after(simEventLag, func() { t.CacheEvents(now, name, kept) })
			}
		}
		after(time.Second, report)
	}
	report()
	var ttft []time.Duration
	var hit, blocks float64
	var arrive func()
	arrive = func() {
		after(time.Duration(rnd.ExpFloat64()/simRate*float64(time.Second)), arrive)
		t := tables[rnd.IntN(simNodes)]
		// The product of two uniform draws makes some conversations much more active.
		conversation := int(float64(simConversations) * rnd.Float64() * rnd.Float64())
		r := Request{
			Now:          now,
			Model:        "m",
			PromptTokens: simBlocks * simBlock,
		}
		for b := range simBlocks {
			r.Prefixes = append(r.Prefixes, fmt.Sprint(conversation, "/", b))
		}
		c, err := choose(t).Pick(r)
		if err != nil {
			tb.Fatal(err)
		}
		t.Start(c, r)
		e := engines[c.Endpoint]
		cached := 0
		for _, p := range r.Prefixes {
			if e.access(p) {
				cached++
			}
		}
		slot := 0
		for i := range e.slots {
			if e.slots[i].Before(e.slots[slot]) {
				slot = i
			}
		}
		begin := now
		if e.slots[slot].After(begin) {
			begin = e.slots[slot]
		}
		first := begin.Add(time.Duration(float64((simBlocks-cached)*simBlock) * float64(simPrefill) / e.speed)).Add(c.Distance)
		// Token generation is equally fast on every engine; faster engines have more slots.
		end := first.Add(time.Duration((1 + 3*rnd.Float64()) * float64(time.Second)))
		e.slots[slot] = end
		e.starts, e.ends = append(e.starts, begin), append(e.ends, end)
		wait := first.Sub(now)
		if now.Sub(start) > simWarmUp {
			ttft = append(ttft, wait)
			hit += float64(cached)
			blocks += simBlocks
		}
		after(end.Sub(now), func() { t.Finish(c, Outcome{Now: now, FirstToken: wait}) })
	}
	arrive()
	for len(queue) > 0 && now.Sub(start) < simTime {
		ev := heap.Pop(&queue).(event)
		now = ev.at
		ev.do()
	}
	slices.Sort(ttft)
	at := func(p float64) time.Duration { return ttft[int(p*float64(len(ttft)-1))].Round(time.Millisecond) }
	return routeResult{
		p50:  at(0.5),
		p95:  at(0.95),
		p99:  at(0.99),
		hits: hit / blocks,
	}
}

// TestMeasureRouting compares routing with random choice and least connections
// when load reports lag and cache events are late or lost. It guards against
// routing that has a higher p95 latency or fewer cache hits than a baseline.
func TestMeasureRouting(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "routing\tp50\tp95\tp99\tprefix blocks from cache")
	var results []routeResult
	draw := rand.New(rand.NewPCG(5, 3))
	for _, x := range []struct {
		name   string
		choose func(*Table) Picker
	}{
		{"trefoildale", func(t *Table) Picker { return t }},
		{"random", func(t *Table) Picker { return Random{Table: t, Draw: draw.IntN} }},
		{"least connections", func(t *Table) Picker { return LeastConnections{Table: t, Draw: draw.IntN} }},
	} {
		r := simulate(t, x.choose, 5)
		results = append(results, r)
		fmt.Fprintf(out, "%s\t%v\t%v\t%v\t%.1f%%\n", x.name, r.p50, r.p95, r.p99, 100*r.hits)
	}
	if err := out.Flush(); err != nil {
		t.Fatal(err)
	}
	for _, other := range results[1:] {
		if results[0].p95 > other.p95 || results[0].hits < other.hits {
			t.Errorf("routing %+v is worse than a baseline %+v", results[0], other)
		}
	}
}

// benchTable returns a table with 2,600 endpoints in 30 domains. One of its 1,900
// models is on all endpoints, the others are on 27 or 28 each.
func benchTable() *Table {
	cfg := &spec.Config{
		Services: []spec.Service{{Name: "chat", Kind: spec.KindModel}},
		Models:   []spec.Model{{Name: "everywhere", Service: "chat", Version: "1"}},
	}
	for i := range 1899 {
		cfg.Models = append(cfg.Models, spec.Model{Name: fmt.Sprint("model-", i), Service: "chat", Version: "1"})
	}
	layouts := make([]place.Layout, 30)
	for d := range layouts {
		cfg.Domains = append(cfg.Domains, spec.Domain{Name: fmt.Sprintf("d%02d", d), Region: fmt.Sprint("r", d%8)})
		layouts[d] = place.Layout{
			Domain: fmt.Sprintf("d%02d", d),
			Seq:    1,
		}
	}
	for i := range 2600 {
		name := fmt.Sprintf("e%04d", i)
		d := &layouts[i%30]
		cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{Name: name, Service: "chat", Domain: d.Domain, Address: name, Speed: 1})
		el := place.EndpointLayout{
			Endpoint: name,
			Models:   []place.ModelLayout{{Model: "everywhere", Version: "1", Ready: true}},
			Seq:      1,
		}
		for k := range 20 {
			el.Models = append(el.Models, place.ModelLayout{Model: fmt.Sprint("model-", (i*20+k)%1899), Version: "1", Ready: true})
		}
		d.Endpoints = append(d.Endpoints, el)
	}
	t := NewTable(Settings{
		Domain: "d00",
	})
	t.SetConfig(cfg)
	for _, l := range layouts {
		t.SetLayout(l)
	}
	return t
}

// The target is 50 µs for a decision over 2,600 endpoints and 1,900 models.
func BenchmarkPick(b *testing.B) {
	t, busy := benchTable(), benchTable()
	for i := range 2600 {
		if (i%30)%8 == 0 {
			busy.SetLoad(start, fmt.Sprintf("e%04d", i), engine.Load{Running: 500, Sampled: start})
		}
	}
	for _, x := range []struct {
		name  string
		table *Table
		model func(i int) string
	}{
		{"a-model-on-27-endpoints", t, func(i int) string { return fmt.Sprint("model-", i%1899) }},
		{"the-model-on-2600-endpoints", t, func(int) string { return "everywhere" }},
		{"with-the-own-region-busy", busy, func(int) string { return "everywhere" }},
	} {
		t := x.table
		var list []Request
		for i := range 512 {
			r := Request{
				Now:          start,
				Model:        x.model(i * 37),
				PromptTokens: 2000,
			}
			for p := range 4 {
				r.Prefixes = append(r.Prefixes, fmt.Sprint(i, "/", p))
			}
			list = append(list, r)
		}
		b.Run(x.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := list[i%len(list)]
				c, err := t.Pick(r)
				if err != nil {
					b.Fatal(err)
				}
				t.Start(c, r)
				t.Finish(c, Outcome{Now: start, FirstToken: time.Millisecond})
				i++
			}
		})
		b.Run(x.name+"-parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					r := list[i%len(list)]
					c, err := t.Pick(r)
					if err != nil {
						b.Error(err)
						return
					}
					t.Start(c, r)
					t.Finish(c, Outcome{Now: start, FirstToken: time.Millisecond})
				}
			})
		})
	}
}
