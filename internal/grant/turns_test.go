package grant

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// An endpoint may get limitFactor times what its limit allows within limitWindow, and
// limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitFleet is one limited endpoint and the nodes that send requests to it.
type limitFleet struct {
	now   time.Time
	limit Limit
	nodes []*limitNode
	// issuers are the coordinator and one that it replaces, or that is cut off with some
	// nodes.
	issuers []*limitIssuer
	sent    []time.Time
}

type limitNode struct {
	limiter *NodeLimiter
	// issuer is the one that the node reaches, -1 for none.
	issuer  int
	waiting func()
}

type limitIssuer struct {
	*Issuer
	heard map[int]time.Time // when a node was last heard
}

func (f *limitFleet) newIssuer() *limitIssuer {
	out := &limitIssuer{
		Issuer: NewIssuer(0, false),
		heard:  map[int]time.Time{},
	}
	for i := range f.nodes {
		out.heard[i] = f.now
	}
	out.SetLimits(f.now, map[string]Limit{"e": f.limit})
	return out
}

// exchange lets a node ask the issuer that it reaches. The issuer hears it on the way, and the
// reply may be lost.
func (f *limitFleet) exchange(i int, lost bool) {
	n := f.nodes[i]
	if n.issuer < 0 || n.issuer >= len(f.issuers) {
		return
	}
	s := f.issuers[n.issuer]
	s.heard[i] = f.now
	silent := 0.0
	for _, at := range s.heard {
		if f.now.Sub(at) > ReserveAfter {
			silent += 1 / float64(len(f.nodes))
		}
	}
	s.SetReserved(f.now, silent)
	var grants []Grant
	var shortages []Shortage
	for _, r := range n.limiter.TokenRequests(f.now) {
		issued, short := s.IssueInTurn(f.now, fmt.Sprint(i), r)
		grants = append(grants, Grant{
			Workspace: r.Workspace,
			Tokens:    issued,
		})
		if short != nil {
			shortages = append(shortages, *short)
		}
	}
	if !lost {
		n.limiter.ApplyReply(f.now, grants, 1/float64(len(f.nodes)))
		n.limiter.SetShortages(f.now, shortages)
	}
}

// send sends a request from a node if it may. It arrives up to the end of its token later.
func (f *limitFleet) send(i int, delay float64) {
	n := f.nodes[i]
	until, ok := n.limiter.TakeUntil(f.now, "e", 1)
	if !ok {
		if n.waiting == nil {
			n.waiting = n.limiter.Wait("e", 1)
			n.limiter.SetFirst("e", 0, f.now)
		}
		return
	}
	if n.waiting != nil {
		n.waiting()
		n.waiting = nil
	}
	f.sent = append(f.sent, f.now.Add(time.Duration(delay*float64(until.Sub(f.now)))))
}

// mostInWindow returns how many requests arrived at most within limitWindow.
func (f *limitFleet) mostInWindow() int {
	slices.SortFunc(f.sent, time.Time.Compare)
	first, most := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsOverNodes guards against an endpoint that gets more than the limit that it
// names allows, summed over many nodes: with lost replies, restarts, nodes that reach no
// coordinator, hand-overs, and two coordinators on two sides of a cut.
func TestLimitHoldsOverNodes(t *testing.T) {
	for seed := range uint64(limitSeeds) {
		if !playLimit(t, seed) {
			return
		}
	}
}

// limitSeeds is how many plays TestLimitHoldsOverNodes makes.
const limitSeeds = 150

// playLimit plays one seed and reports whether the limit held.
func playLimit(t *testing.T, seed uint64) bool {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 40))
	rate := []float64{0.2, 1.2, 5, 40}[random.IntN(4)]
	f := &limitFleet{
		now:   time.Unix(1000, 0),
		limit: EndpointLimit(rate),
	}
	count := []int{1, 3, 8, 30}[random.IntN(4)]
	newLimiter := func() *NodeLimiter {
		l := NewNodeLimiter(0)
		l.SetLimits(map[string]Limit{"e": f.limit})
		return l
	}
	for range count {
		f.nodes = append(f.nodes, &limitNode{
			limiter: newLimiter(),
		})
	}
	f.issuers = []*limitIssuer{f.newIssuer()}
	var cutFrom, cutUntil time.Time
	for range 100 {
		switch event := random.IntN(50); {
		case event == 0:
			cutUntil = time.Time{}
			f.issuers = []*limitIssuer{f.newIssuer()}
			for _, n := range f.nodes {
				n.issuer = 0
			}
		case event == 1 && len(f.issuers) == 1:
			// The coordinator is cut off with some nodes.
			side := 1 + random.IntN(max(1, count/2))
			for i, n := range f.nodes {
				if i >= side {
					n.issuer = 1
				}
			}
			cutFrom, cutUntil = f.now, f.now.Add(time.Duration(random.IntN(12_000))*time.Millisecond)
		case event == 2:
			f.nodes[random.IntN(count)].issuer = -1
		case event == 3:
			n := f.nodes[random.IntN(count)]
			n.limiter, n.waiting = newLimiter(), nil
		}
		if len(f.issuers) == 1 && !cutUntil.IsZero() && !f.now.Before(cutFrom.Add(leaseTerm)) {
			f.issuers = append(f.issuers, f.newIssuer())
		}
		if !cutUntil.IsZero() && !f.now.Before(cutUntil) {
			cutUntil = time.Time{}
			f.issuers = f.issuers[len(f.issuers)-1:]
			for _, n := range f.nodes {
				n.issuer = 0
			}
		}
		for i, n := range f.nodes {
			for range random.IntN(4 + int(rate/2)) {
				n.limiter.AddDemand(f.now, "e", 1)
				f.send(i, random.Float64())
			}
			f.exchange(i, random.IntN(10) == 0)
		}
		f.now = f.now.Add(time.Duration(10+random.IntN(290)) * time.Millisecond)
	}
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	if most := f.mostInWindow(); float64(most) > allowed {
		t.Errorf("seed %d: %d requests within %v with %v per second and %d nodes, %.1f are allowed", seed, most, limitWindow, rate, count, allowed)
		return false
	}
	return true
}

// leaseTerm is how long after the loss of a coordinator another one may begin.
const leaseTerm = 1500 * time.Millisecond

// TestLimitIsUsed guards against tokens that expire at nodes that don't need them, or wait for
// nodes that don't return, while others wait: at hundreds of nodes most have none.
func TestLimitIsUsed(t *testing.T) {
	for _, tc := range []struct {
		rate  float64
		nodes int
		busy  int // nodes with requests
	}{
		{rate: 1.2, nodes: 8, busy: 8},
		{rate: 1.2, nodes: 295, busy: 295},
		{rate: 5, nodes: 8, busy: 1},
		{rate: 40, nodes: 87, busy: 87},
	} {
		t.Run(fmt.Sprintf("%v per second, %d of %d nodes", tc.rate, tc.busy, tc.nodes), func(t *testing.T) {
			f := &limitFleet{
				now:   time.Unix(1000, 0),
				limit: EndpointLimit(tc.rate),
			}
			for range tc.nodes {
				l := NewNodeLimiter(0)
				l.SetLimits(map[string]Limit{"e": f.limit})
				f.nodes = append(f.nodes, &limitNode{
					limiter: l,
				})
			}
			f.issuers = []*limitIssuer{f.newIssuer()}
			const play = 20 * time.Second
			for step := range int(play / (10 * time.Millisecond)) {
				f.now = f.now.Add(10 * time.Millisecond)
				for i, n := range f.nodes {
					if (step+i)%30 == 0 || n.waiting != nil && !f.now.Before(n.limiter.NoTokensUntil("e")) {
						f.exchange(i, false)
					}
					if i >= tc.busy {
						continue
					}
					if (step+i)%100 == 0 {
						n.limiter.AddDemand(f.now, "e", 1)
					}
					if n.waiting != nil || (step+i)%100 == 0 {
						f.send(i, 0)
					}
				}
			}
			if want := 0.8 * math.Min(tc.rate*play.Seconds(), float64(tc.busy)*play.Seconds()); float64(len(f.sent)) < want {
				t.Errorf("%d requests were sent in %v, want %.0f at least", len(f.sent), play, want)
			}
		})
	}
}

// TestTurns guards against tokens for the node that asks most often, or for the less urgent,
// while others have waited longer, and for nodes that don't come back.
func TestTurns(t *testing.T) {
	type ask struct {
		after   time.Duration
		node    string
		urgency int
		oldest  time.Duration
		waiting float64
		want    float64 // beyond waiting
		issued  float64
		// queued is when all that wait have their tokens, 0 if nothing is short.
		queued time.Duration
	}
	const perToken = 400 * time.Millisecond
	for _, tc := range []struct {
		name string
		asks []ask
	}{
		{
			name: "the one that arrived first",
			asks: []ask{
				{node: "a", waiting: 1, queued: perToken},
				{node: "b", waiting: 1, oldest: perToken / 2, queued: 2 * perToken},
				{after: perToken / 2, node: "a", oldest: perToken / 2, waiting: 1, queued: 3 * perToken / 2},
				{node: "b", oldest: perToken, waiting: 1, queued: 3 * perToken / 2},
				{after: perToken / 2, node: "a", oldest: perToken, waiting: 1, queued: perToken},
				{node: "b", oldest: 3 * perToken / 2, waiting: 1, issued: 1},
				{after: perToken, node: "a", oldest: 2 * perToken, waiting: 1, issued: 1},
			},
		},
		{
			name: "one token at a time",
			asks: []ask{
				{node: "a", waiting: 5, queued: 5 * perToken},
				{node: "b", waiting: 1, queued: 6 * perToken},
				{after: perToken / 2, node: "a", oldest: perToken / 2, waiting: 5, queued: 11 * perToken / 2},
				{after: perToken / 2, node: "b", oldest: perToken, waiting: 1, queued: 5 * perToken},
				{node: "a", oldest: perToken, waiting: 5, issued: 1, queued: 5 * perToken},
				{after: perToken / 2, node: "a", oldest: perToken, waiting: 4, queued: 9 * perToken / 2},
				{node: "b", oldest: 3 * perToken / 2, waiting: 1, queued: 9 * perToken / 2},
				{after: perToken / 2, node: "a", oldest: perToken, waiting: 4, queued: 4 * perToken},
				{node: "b", oldest: 2 * perToken, waiting: 1, issued: 1},
			},
		},
		{
			name: "the most urgent",
			asks: []ask{
				{node: "a", urgency: 5, oldest: perToken, waiting: 1, queued: perToken},
				{node: "b", waiting: 1, queued: perToken},
				{node: "a", urgency: 5, oldest: perToken, waiting: 1, queued: 2 * perToken},
				{after: perToken / 2, node: "b", waiting: 1, queued: perToken / 2},
				{after: perToken / 2, node: "a", urgency: 5, oldest: 2 * perToken, waiting: 1, queued: perToken},
				{node: "b", waiting: 1, issued: 1},
			},
		},
		{
			name: "a node that does not return",
			asks: []ask{
				{node: "a", oldest: perToken, waiting: 1, queued: perToken},
				{after: perToken / 2, node: "b", waiting: 1, queued: 3 * perToken / 2},
				{after: perToken / 2, node: "b", oldest: perToken / 2, waiting: 1, queued: perToken},
				{after: perToken / 2, node: "b", oldest: perToken, waiting: 1, issued: 1},
			},
		},
		{
			name: "prefetched tokens come from what is left",
			asks: []ask{
				{after: perToken, node: "a", waiting: 2, issued: 1, queued: perToken},
				{after: perToken / 2, node: "b", want: 1},
				{after: perToken / 2, node: "a", oldest: perToken, waiting: 1, issued: 1},
				{after: perToken, node: "b", want: 1, issued: 1},
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewIssuer(0, false)
			s.SetLimits(now, map[string]Limit{"e": {Rate: 1 / perToken.Seconds(), Burst: 2}})
			for i, a := range tc.asks {
				now = now.Add(a.after)
				issued, short := s.IssueInTurn(now, a.node, TokenRequest{
					Workspace: "e",
					Want:      a.waiting + a.want,
					Waiting:   a.waiting,
					Urgency:   a.urgency,
					Oldest:    a.oldest,
				})
				if issued != a.issued {
					t.Fatalf("ask %d: issued %v, want %v", i, issued, a.issued)
				}
				if (short != nil) != (a.queued > 0) || short != nil && short.QueuedFor.Round(time.Millisecond) != a.queued {
					t.Fatalf("ask %d: short %+v, want all within %v", i, short, a.queued)
				}
			}
		})
	}
}

// TestOddRequests guards against a message that spoils a bucket with a number that is none.
func TestOddRequests(t *testing.T) {
	if err := ValidateRequests([]TokenRequest{{Workspace: "e", Want: 1, Need: 1, Waiting: 1, Oldest: time.Hour}}); err != nil {
		t.Error(err)
	}
	for _, r := range []TokenRequest{
		{Want: math.NaN()},
		{Want: math.Inf(1)},
		{Want: 1, Waiting: -1},
		{Want: 1, Need: math.NaN()},
		{Want: 1, Oldest: -1},
	} {
		if ValidateRequests([]TokenRequest{r}) == nil {
			t.Errorf("%+v is valid", r)
		}
	}
}
