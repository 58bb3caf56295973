package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWindow = 8 * time.Second

// The smaller of the two deployments allows an excess of 7400 tokens. As in the
// process, a new coordinator gets a tenth of it and the nodes that do not reach
// the coordinator get four tenths.
const (
	testInitialTokens = 0.1 * 7400
	testSpare         = 0.4 * 7400
)

// simulation is one workspace on several nodes, with the times and sizes of all
// admitted requests.
type simulation struct {
	t            *rapid.T
	now          time.Time
	limit        Limit
	slack        float64
	issuer       *Issuer
	begunAt      time.Time // when the issuer began
	members      map[int]*simulatedMember
	limiters     []*NodeLimiter
	disconnected []bool
	// pools belong to two failure domains. withoutPool is set for the nodes that
	// do not reach the pool of their domain.
	pools       [2]*Pool
	withoutPool []bool
	admitted    []admission
}

type simulatedMember struct {
	fraction     float64
	lastExchange time.Time
}

type admission struct {
	at     time.Time
	tokens float64
}

func (s *simulation) reserved() float64 {
	var sum float64
	for _, m := range s.members {
		if s.now.Sub(m.lastExchange) > ReserveAfter {
			sum += m.fraction
		}
	}
	return sum
}

func (s *simulation) exchange(i int) {
	if s.issuer == nil || s.disconnected[i] {
		s.usePool(i)
		return
	}
	m := s.members[i]
	if m == nil {
		m = &simulatedMember{}
		s.members[i] = m
	}
	m.lastExchange, m.fraction = s.now, 1/float64(len(s.limiters))
	s.issuer.SetReserved(s.now, s.reserved())
	var grants []Grant
	for _, request := range s.limiters[i].TokenRequests(s.now) {
		if issued := s.issuer.Issue(s.now, request.Workspace, request.Want, request.Need); issued > 0 {
			grants = append(grants, Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		}
	}
	s.limiters[i].ApplyReply(s.now, grants, m.fraction)
}

// usePool exchanges with the pool of the node's failure domain.
func (s *simulation) usePool(i int) {
	limiter, p := s.limiters[i], s.pools[i%2]
	if s.withoutPool[i] || limiter.HasCoordinator(s.now) {
		return
	}
	p.Deposit(s.now, limiter.TakeDeposits(s.now))
	var grants []Grant
	for _, request := range limiter.TokenRequests(s.now) {
		if issued := p.Issue(s.now, request.Workspace, request.Want, request.Need); issued > 0 {
			grants = append(grants, Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		}
	}
	limiter.ApplyPoolReply(s.now, grants)
}

func (s *simulation) request(i int, tokens float64) {
	limiter := s.limiters[i]
	limiter.AddDemand(s.now, "w", tokens)
	ok := limiter.Take(s.now, "w", tokens)
	if !ok {
		done := limiter.Wait("w", tokens)
		s.exchange(i)
		done()
		ok = limiter.Take(s.now, "w", tokens)
	}
	if ok {
		s.admitted = append(s.admitted, admission{
			at:     s.now,
			tokens: tokens,
		})
	}
}

// checkWindow checks that the tokens admitted in the window that ends now are
// within the stated bound.
func (s *simulation) checkWindow() {
	var sum float64
	for i := len(s.admitted) - 1; i >= 0 && s.now.Sub(s.admitted[i].at) <= testWindow; i-- {
		sum += s.admitted[i].tokens
	}
	bound := (s.limit.Rate*testWindow.Seconds()+s.limit.Burst)*1.1 + s.slack
	if sum > bound {
		s.t.Fatalf("%.0f tokens admitted within %v, the bound is %.0f", sum, testWindow, bound)
	}
}

func (s *simulation) startCoordinator(startFull bool) {
	s.startIssuer(NewIssuer(testInitialTokens, startFull))
}

// handOver replaces the coordinator by one that learns the levels of the former, before or
// after the limits.
func (s *simulation) handOver(limitsFirst bool) {
	s.issuer.SetReserved(s.now, s.reserved())
	levels := s.issuer.Levels(s.now)
	next := NewIssuer(testInitialTokens, false)
	if !limitsFirst {
		next.AddTokens(s.now, "w", levels["w"])
	}
	s.startIssuer(next)
	if limitsFirst {
		next.AddTokens(s.now, "w", levels["w"])
	}
}

func (s *simulation) startIssuer(issuer *Issuer) {
	s.issuer, s.begunAt = issuer, s.now
	s.issuer.SetLimits(s.now, map[string]Limit{"w": s.limit})
	for _, m := range s.members {
		m.lastExchange = s.now
	}
}

// TestWithinRate guards against admitting more than the rate, burst and allowed
// excess in any window, through cuts, restarts and changes of the coordinator.
func TestWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		rate := rapid.SampledFrom([]float64{1900, 14000, 90000}).Draw(t, "rate")
		s := &simulation{
			t:     t,
			now:   time.Unix(1000, 0),
			limit: Limit{Rate: rate, Burst: rate},
			// The smaller of the two deployments' limits.
			slack:        7400,
			members:      map[int]*simulatedMember{},
			disconnected: make([]bool, nodes),
			pools:        [2]*Pool{NewPool(), NewPool()},
			withoutPool:  make([]bool, nodes),
		}
		for range nodes {
			limiter := NewNodeLimiter(testSpare)
			limiter.SetLimits(map[string]Limit{"w": s.limit})
			s.limiters = append(s.limiters, limiter)
		}
		s.startCoordinator(true)
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, nodes-1).Draw(t, "cut")
				s.disconnected[i] = !s.disconnected[i]
			case 1:
				// The node restarts and gets its former fraction from other nodes.
				i := rapid.IntRange(0, nodes-1).Draw(t, "restart")
				limiter := NewNodeLimiter(testSpare)
				limiter.SetLimits(map[string]Limit{"w": s.limit})
				if m := s.members[i]; m != nil {
					limiter.SetFraction(m.fraction)
				}
				s.limiters[i] = limiter
			case 4:
				i := rapid.IntRange(0, nodes-1).Draw(t, "apart")
				s.withoutPool[i] = !s.withoutPool[i]
			case 5:
				s.pools[rapid.IntRange(0, 1).Draw(t, "pool lost")] = NewPool()
			case 6:
				if s.issuer != nil && s.now.Sub(s.begunAt) >= testWindow/4 {
					s.handOver(rapid.Bool().Draw(t, "limits first"))
				}
			case 2:
				s.issuer = nil
			case 3:
				if s.issuer == nil {
					s.startCoordinator(false)
				}
			default:
			}
			for i := range s.limiters {
				n := rapid.IntRange(0, 6).Draw(t, "requests")
				for range n {
					s.request(i, rapid.Float64Range(200, 2700).Draw(t, "tokens"))
				}
				s.exchange(i)
			}
			s.checkWindow()
			s.now = s.now.Add(time.Duration(rapid.IntRange(20, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestUnevenDemand guards against refusing requests within the rate because all
// of them arrive at one node.
func TestUnevenDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 10000, Burst: 10000}
	issuer := NewIssuer(2000, true)
	issuer.SetLimits(now, map[string]Limit{"w": limit})
	limiter := NewNodeLimiter(testSpare)
	limiter.SetLimits(map[string]Limit{"w": limit})
	refused := 0
	for range 200 {
		limiter.AddDemand(now, "w", 900)
		if !limiter.Take(now, "w", 900) {
			done := limiter.Wait("w", 900)
			var grants []Grant
			for _, request := range limiter.TokenRequests(now) {
				grants = append(grants, Grant{
					Workspace: request.Workspace,
					Tokens:    issuer.Issue(now, request.Workspace, request.Want, request.Need),
				})
			}
			limiter.ApplyReply(now, grants, 0.125)
			done()
			if !limiter.Take(now, "w", 900) {
				refused++
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if refused > 0 {
		t.Errorf("%d of 200 requests at nine tenths of the rate were refused", refused)
	}
}

// TestLargerThanBurst guards against never admitting a request that is larger
// than its workspace's burst.
func TestLargerThanBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	issuer := NewIssuer(0, false)
	issuer.SetLimits(now, map[string]Limit{"w": {Rate: 1900, Burst: 1900}})
	now = now.Add(2 * time.Second)
	if got := issuer.Issue(now, "w", 2700, 2700); got != 2700 {
		t.Fatalf("issued %v tokens from a full bucket, want 2700", got)
	}
	if level := issuer.Level(now, "w"); level != -800 {
		t.Errorf("the bucket holds %v tokens afterwards, want -800", level)
	}
	if got := issuer.Issue(now.Add(time.Second), "w", 2700, 2700); got != 0 {
		t.Errorf("issued %v tokens from a bucket with a negative level, want 0", got)
	}
}

// TestLoweredLimit guards against spending tokens that were issued under a
// higher limit.
func TestLoweredLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewNodeLimiter(testSpare)
	limiter.SetLimits(map[string]Limit{"w": {Rate: 1000, Burst: 1000}})
	limiter.ApplyReply(now, []Grant{{Workspace: "w", Tokens: 500}}, 0.5)
	limiter.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}})
	if limiter.Take(now, "w", 400) {
		t.Error("tokens of the former limit were spent")
	}
}

// TestExpiry guards against spending issued tokens after their term, which would
// allow a node to save up tokens beyond the burst.
func TestExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewNodeLimiter(testSpare)
	limiter.SetLimits(map[string]Limit{"w": {Rate: 1000, Burst: 1000}})
	limiter.ApplyReply(now, []Grant{{Workspace: "w", Tokens: 500}}, 0.5)
	if !limiter.Take(now.Add(Term-time.Millisecond), "w", 100) {
		t.Error("tokens were not usable within their term")
	}
	if limiter.Take(now.Add(Term), "w", 100) {
		t.Error("tokens were spent after their term")
	}
}

// TestHandover guards against refusing requests after a change of coordinator
// although the former one had tokens left, and against issuing too many because a
// negative level was not handed over.
func TestHandover(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"w": {Rate: 1000, Burst: 5000}}
	former := NewIssuer(0, true)
	former.SetLimits(now, limits)
	if got := former.Issue(now, "w", 2000, 0); got != 2000 {
		t.Fatalf("the former issued %v", got)
	}
	next := NewIssuer(500, false)
	next.SetLimits(now, limits)
	for name, level := range former.Levels(now) {
		next.AddTokens(now, name, level)
	}
	if got := next.Issue(now, "w", 9000, 0); got != 3500 {
		t.Errorf("the next issued %v, want the 3,000 that were left and its own 500", got)
	}
	overdrawn := NewIssuer(500, false)
	overdrawn.SetLimits(now, limits)
	overdrawn.AddTokens(now, "w", -800)
	if got := overdrawn.Issue(now, "w", 100, 0); got != 0 {
		t.Errorf("issued %v tokens although the former issuer had a level of -800, want 0", got)
	}
}

// TestHandoverBeforeLimits guards against losing what the former issuer had left, or its
// debt, when the next one learns it before it knows the limits.
func TestHandoverBeforeLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"w": {Rate: 1000, Burst: 5000}}
	for _, tc := range []struct {
		name  string
		level float64
		want  float64
	}{
		{name: "tokens left", level: 3000, want: 3500},
		{name: "full bucket", level: 5000, want: 5000},
		{name: "debt", level: -800, want: -300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next := NewIssuer(500, false)
			next.AddTokens(now, "w", tc.level)
			if got := next.Levels(now)["w"]; got != tc.level {
				t.Errorf("the next would hand over %v tokens, want %v", got, tc.level)
			}
			for range 2 {
				// Only the first bucket gets the tokens.
				next.SetLimits(now, nil)
				next.SetLimits(now, limits)
				if got := next.Level(now, "w"); got != tc.want {
					t.Errorf("the next holds %v tokens, want %v", got, tc.want)
				}
				tc.want = 500
			}
			if got := next.Issue(now, "w", 9000, 0); got != 500 {
				t.Errorf("a second bucket issued %v tokens, want 500", got)
			}
		})
	}
}

// TestShortage guards against stating that tokens were used which the issuer only withholds
// at its start, and against withholding them for longer than the refill takes.
func TestShortage(t *testing.T) {
	const need = 300
	start := time.Unix(1000, 0)
	limits := map[string]Limit{"w": {Rate: 1000, Burst: 2000}}
	for _, tc := range []struct {
		name   string
		issuer func() *Issuer
		now    time.Time
		want   Shortage
	}{
		{
			name: "no limits yet",
			issuer: func() *Issuer {
				return NewIssuer(0, false)
			},
			now: start,
			want: Shortage{
				Workspace: "w",
				RetryIn:   minRetryWait,
				RefillIn:  minRetryWait,
			},
		},
		{
			name: "just begun",
			issuer: func() *Issuer {
				s := NewIssuer(100, false)
				s.SetLimits(start, limits)
				return s
			},
			now: start.Add(100 * time.Millisecond),
			want: Shortage{
				Workspace: "w",
				RetryIn:   100 * time.Millisecond,
				RefillIn:  100 * time.Millisecond,
			},
		},
		{
			name: "just begun, with a low rate",
			issuer: func() *Issuer {
				s := NewIssuer(0, false)
				s.SetLimits(start, map[string]Limit{"w": {Rate: 100, Burst: 2000}})
				return s
			},
			now: start,
			want: Shortage{
				Workspace: "w",
				RetryIn:   maxRetryWait,
				RefillIn:  3 * time.Second,
			},
		},
		{
			name: "used since, until the refill is done",
			issuer: func() *Issuer {
				s := NewIssuer(0, false)
				s.SetLimits(start, limits)
				s.Issue(start.Add(2*time.Second), "w", 2000, 0)
				return s
			},
			now: start.Add(2 * time.Second),
			want: Shortage{
				Workspace: "w",
				RetryIn:   300 * time.Millisecond,
			},
		},
		{
			name: "level of the former issuer",
			issuer: func() *Issuer {
				s := NewIssuer(0, false)
				s.SetLimits(start, limits)
				s.AddTokens(start, "w", 200)
				return s
			},
			now: start,
			want: Shortage{
				Workspace: "w",
				RetryIn:   100 * time.Millisecond,
			},
		},
		{
			name: "first issuer",
			issuer: func() *Issuer {
				s := NewIssuer(0, true)
				s.SetLimits(start, limits)
				s.Issue(start, "w", 2000, 0)
				return s
			},
			now: start,
			want: Shortage{
				Workspace: "w",
				RetryIn:   300 * time.Millisecond,
			},
		},
		{
			name: "lowered burst",
			issuer: func() *Issuer {
				s := NewIssuer(0, false)
				s.SetLimits(start, map[string]Limit{"w": {Rate: 1000, Burst: 1_000_000}})
				s.SetLimits(start, limits)
				s.Issue(start.Add(2*time.Second), "w", 2000, 0)
				return s
			},
			now: start.Add(2 * time.Second),
			want: Shortage{
				Workspace: "w",
				RetryIn:   300 * time.Millisecond,
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.issuer().Shortage(tc.now, "w", need); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestPool guards against refusing requests within the rate while there is no
// coordinator. With 87 nodes, the fraction of one yields less than a request in
// the time that a caller waits.
func TestPool(t *testing.T) {
	const nodes = 29 // of one failure domain; the fleet has 87
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 100_000, Burst: 100_000}
	pool := NewPool()
	limiters := make([]*NodeLimiter, nodes)
	for i := range limiters {
		limiters[i] = NewNodeLimiter(testSpare)
		limiters[i].SetLimits(map[string]Limit{"w": limit})
		limiters[i].SetFraction(1.0 / 87)
	}
	exchange := func(limiter *NodeLimiter) {
		pool.Deposit(now, limiter.TakeDeposits(now))
		var grants []Grant
		for _, request := range limiter.TokenRequests(now) {
			grants = append(grants, Grant{Workspace: request.Workspace, Tokens: pool.Issue(now, request.Workspace, request.Want, request.Need)})
		}
		limiter.ApplyPoolReply(now, grants)
	}
	refused, requested := 0, 0
	// All requests arrive at one node, at half of the domain's third of the rate.
	for step := range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, limiter := range limiters {
			exchange(limiter)
		}
		if step < 5 {
			continue
		}
		requested++
		if !limiters[0].Take(now, "w", 1700) {
			done := limiters[0].Wait("w", 1700)
			exchange(limiters[0])
			done()
			if !limiters[0].Take(now, "w", 1700) {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests at half of the domain's part of the rate were refused", refused, requested)
	}
}
