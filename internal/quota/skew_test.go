package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/pkg/spec"
)

// client admits requests at one node the way package limit does.
type client struct {
	s        *simNode
	waiting  map[string][]*pendingRequest
	drawing  map[string]bool
	prefetch map[string]time.Time
	admitted int
	refused  map[string]int
	denied   map[string]denial
}

// denial refuses requests for at least this many tokens until a time.
type denial struct {
	tokens int64
	until  time.Duration
}

type pendingRequest struct {
	tokens, used int64
	deadline     time.Duration
}

const maxWait = 600 * time.Millisecond // as limit.DefaultMaxWait

func newClient(s *simNode) *client {
	c := &client{
		s:        s,
		waiting:  make(map[string][]*pendingRequest),
		drawing:  make(map[string]bool),
		prefetch: make(map[string]time.Time),
		refused:  make(map[string]int),
		denied:   make(map[string]denial),
	}
	s.granted = func(ws string) {
		c.drawing[ws] = false
		s.at(0, func(now time.Time) { c.serve(now, ws) })
	}
	s.denied = func(d Denial) {
		ws := d.Workspace
		c.drawing[ws] = false
		q := c.waiting[ws]
		if len(q) == 0 {
			return
		}
		wait := max(0, d.Retry.Sub(s.clock()))
		if s.f.now+wait >= q[0].deadline {
			c.refused[ws]++
			c.denied[ws] = denial{
				tokens: q[0].tokens,
				until:  s.f.now + min(250*time.Millisecond, wait-maxWait), // as limit.denialTTL
			}
			c.waiting[ws] = q[1:]
			wait = 0
		}
		s.at(wait, func(now time.Time) { c.serve(now, ws) })
	}
	var sweep func()
	sweep = func() {
		s.at(0, func(now time.Time) {
			for _, ws := range slices.Sorted(maps.Keys(s.wallets)) {
				for _, l := range s.wallet(ws).Surplus(now) {
					s.node.ReturnLoan(now, l)
				}
			}
		})
		s.f.after(500*time.Millisecond, sweep)
	}
	sweep()
	return c
}

func (c *client) request(ws string, tokens, used int64) {
	c.s.at(0, func(now time.Time) {
		if d := c.denied[ws]; len(c.waiting[ws]) == 0 && tokens >= d.tokens && c.s.f.now < d.until && c.s.wallet(ws).Tokens(now) < tokens {
			c.refused[ws]++
			return
		}
		c.waiting[ws] = append(c.waiting[ws], &pendingRequest{
			tokens:   tokens,
			used:     used,
			deadline: c.s.f.now + maxWait,
		})
		c.serve(now, ws)
	})
}

func (c *client) serve(now time.Time, ws string) {
	w := c.s.wallet(ws)
	for len(c.waiting[ws]) > 0 {
		r := c.waiting[ws][0]
		taken, ok := w.Take(now, r.tokens)
		if !ok {
			break
		}
		c.admitted++
		c.waiting[ws] = c.waiting[ws][1:]
		c.s.spend(ws, r.tokens, taken, r.tokens-r.used, time.Second)
	}
	if q := c.waiting[ws]; len(q) > 0 {
		if c.drawing[ws] {
			return
		}
		c.drawing[ws] = true
		need := max(1, q[0].tokens-w.Tokens(now))
		c.s.node.Need(now, DrawItem{
			Workspace: ws,
			Need:      need,
			Want:      need + w.Prefetch(now),
		})
		return
	}
	if n := w.Prefetch(now); n > 0 && w.Low(now) && !now.Before(c.prefetch[ws]) {
		c.prefetch[ws] = now.Add(100 * time.Millisecond)
		c.s.node.Need(now, DrawItem{
			Workspace: ws,
			Want:      n,
		})
	}
}

// idealBucket is one token bucket for the whole fleet. Only requests that it
// admits are within the rate.
type idealBucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *idealBucket) admit(f *fleet, tokens, used int64) bool {
	refill := func() {
		b.level = min(b.burst, b.level+b.rate*(f.now-b.at).Seconds())
		b.at = f.now
	}
	refill()
	if b.level < float64(tokens) {
		return false
	}
	b.level -= float64(tokens)
	f.after(time.Second, func() {
		refill()
		b.level = min(b.burst, b.level+float64(tokens-used))
	})
	return true
}

// Guards against refusals within the rate under skewed traffic: fewer than 1 in
// 1,000 requests may be refused when 9 in 10 of them reach one node.
func TestSkewedTrafficIsAdmitted(t *testing.T) {
	t.Parallel()
	workspaces := []spec.Workspace{
		{Name: "w0", RateTokensPerSecond: 30_000, BurstTokens: 90_000}, // over all domains
		{Name: "w1", RateTokensPerSecond: 6_000, BurstTokens: 12_000},  // over two
		{Name: "w2", RateTokensPerSecond: 2_000, BurstTokens: 6_000},   // in one
	}
	for hot := range 3 {
		fl := newFleet(uint64(hot)+7, 3, 3, &faults{})
		fl.nodes = fl.nodes[:8]
		// Nodes know all nodes of other domains, or only one or two, which have to
		// forward draws to their pool.
		fl.relays = hot
		cfg := &spec.Config{
			Revision:   1,
			Workspaces: workspaces,
		}
		for _, d := range fl.domains {
			cfg.Domains = append(cfg.Domains, spec.Domain{Name: d})
		}
		fl.configs = append(fl.configs, cfg)
		fl.startAll()
		var clients []*client
		for _, s := range fl.nodes {
			clients = append(clients, newClient(s))
		}
		fl.run(30 * time.Second)
		offered := make(map[string]int)
		for _, w := range workspaces {
			b := &idealBucket{
				level: float64(w.BurstTokens),
				rate:  w.RateTokensPerSecond,
				burst: float64(w.BurstTokens),
				at:    fl.now,
			}
			// Charges of 200 to 1000 tokens of which half are used, at 0.9 of the rate.
			gap := 300 / (0.9 * w.RateTokensPerSecond)
			var next func()
			next = func() {
				fl.after(time.Duration(fl.rng.ExpFloat64()*gap*float64(time.Second)), next)
				tokens := 200 + fl.rng.Int64N(801)
				if !b.admit(fl, tokens, tokens/2) {
					return
				}
				offered[w.Name]++
				c := clients[hot]
				if fl.rng.IntN(10) == 0 {
					c = clients[fl.rng.IntN(len(clients))]
				}
				c.request(w.Name, tokens, tokens/2)
			}
			next()
		}
		fl.run(250 * time.Second)
		refused := make(map[string]int)
		for _, c := range clients {
			for ws, n := range c.refused {
				refused[ws] += n
			}
		}
		t.Logf("hot %d: offered %v, refused %v", hot, offered, refused)
		for ws, n := range refused {
			if n*1000 >= offered[ws] {
				t.Errorf("hot %d: %s had %d of %d requests refused", hot, ws, n, offered[ws])
			}
		}
		if bad := fl.violation(); bad != "" {
			t.Error(bad)
		}
	}
}

// designFleet simulates the design size: 14 nodes and 30 requests/s in each of 3
// domains, and 200 workspaces, of which a few get most requests.
func designFleet() *fleet {
	const count = 200
	fl := newFleet(5, 3, 14, &faults{})
	cfg := &spec.Config{
		Revision: 1,
	}
	for _, d := range fl.domains {
		cfg.Domains = append(cfg.Domains, spec.Domain{Name: d})
	}
	for i := range count {
		cfg.Workspaces = append(cfg.Workspaces, spec.Workspace{
			Name:                fmt.Sprintf("workspace-%03d", i),
			RateTokensPerSecond: 20_000,
			BurstTokens:         60_000,
		})
	}
	fl.configs = append(fl.configs, cfg)
	fl.startAll()
	for _, s := range fl.nodes {
		c := newClient(s)
		var next func()
		next = func() {
			fl.after(time.Duration(fl.rng.ExpFloat64()/2.2*float64(time.Second)), next)
			ws := cfg.Workspaces[int(count*math.Pow(fl.rng.Float64(), 3))].Name
			tokens := 200 + fl.rng.Int64N(801)
			c.request(ws, tokens, tokens/2)
		}
		next()
	}
	fl.run(30 * time.Second)
	return fl
}

// Guards against control traffic above 5 KB/s per node.
func TestTrafficPerNode(t *testing.T) {
	t.Parallel()
	const (
		seconds = 20
		// overhead is added to each message for frames, headers, TCP and IP.
		overhead = 100
	)
	fl := designFleet()
	kinds := make(map[string]int)
	fl.size = func(v any) int {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		kinds[fmt.Sprintf("%T", v)]++
		return len(b)
	}
	fl.run(seconds * time.Second)
	nodes := float64(len(fl.nodes) * seconds)
	sent := float64(fl.bytes+fl.messages*overhead) / nodes
	t.Logf("each node sends %.1f messages/s, %.0f B/s without and %.0f B/s with %d B a message for framing; messages in all: %v",
		float64(fl.messages)/nodes, float64(fl.bytes)/nodes, sent, overhead, kinds)
	if sent >= 5000 {
		t.Errorf("each node sends %.0f B/s", sent)
	}
}

// BenchmarkNodeSecond measures the work of one node in one second of simulated
// time, including its part of the simulation.
func BenchmarkNodeSecond(b *testing.B) {
	fl := designFleet()
	b.ReportAllocs()
	for b.Loop() {
		fl.run(time.Second / time.Duration(len(fl.nodes)))
	}
}
