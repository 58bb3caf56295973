package quota

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestMain makes go test without flags run the same few scenarios every time;
// -rapid.seed and -rapid.checks select others.
func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value
	if seed.String() == "0" && checks.String() == flag.Lookup("rapid.checks").DefValue {
		if err := errors.Join(seed.Set("1"), checks.Set("50")); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func (f *fleet) configure(rate float64, burst, minShare int64, term time.Duration) {
	cfg := &spec.Config{
		Revision: int64(len(f.configs) + 1),
		Limits: spec.Limits{
			MinShareTokens: minShare,
			SlotTerm:       spec.Duration(term),
		},
	}
	for _, d := range f.domains {
		cfg.Domains = append(cfg.Domains, spec.Domain{Name: d})
	}
	for i := range 2 {
		cfg.Workspaces = append(cfg.Workspaces, spec.Workspace{
			Name:                fmt.Sprintf("w%d", i),
			RateTokensPerSecond: rate,
			BurstTokens:         burst,
		})
	}
	f.configs = append(f.configs, cfg)
}

// hoard makes nodes draw tokens and keep them, and return some of them.
func (f *fleet) hoard(nodes []*simNode, d time.Duration) {
	for _, s := range nodes {
		for i := range 4 {
			s.at(time.Duration(i)*10*time.Millisecond, func(now time.Time) {
				s.node.Need(now, DrawItem{Workspace: "w0", Need: 1, Want: 5000}, DrawItem{Workspace: "w1", Need: 1, Want: 5000})
			})
		}
		s.at(300*time.Millisecond, func(now time.Time) {
			for _, l := range s.wallet("w0").Split(now, s.wallet("w0").Tokens(now)/3) {
				s.node.ReturnLoan(now, l)
			}
		})
	}
	f.run(d)
}

// drain makes nodes spend all tokens they can get for a while.
func (f *fleet) drain(nodes []*simNode, d time.Duration) {
	f.scheduleDrain(nodes, d)
	f.run(d)
}

// scheduleDrain schedules what drain does without running it.
func (f *fleet) scheduleDrain(nodes []*simNode, d time.Duration) {
	end := f.now + d
	for _, s := range nodes {
		var step func()
		step = func() {
			if f.now >= end {
				return
			}
			s.at(0, func(now time.Time) {
				for _, ws := range []string{"w0", "w1"} {
					w := s.wallet(ws)
					if n := w.Tokens(now); n > 0 {
						taken, _ := w.Take(now, n)
						s.spend(ws, n, taken, max(0, f.rng.Int64N(4*n+1)-3*n), time.Duration(f.rng.IntN(3000))*time.Millisecond)
					}
					s.node.Need(now, DrawItem{
						Workspace: ws,
						Need:      1,
						Want:      5000,
					})
				}
			})
			f.after(25*time.Millisecond, step)
		}
		f.after(time.Duration(f.rng.IntN(25))*time.Millisecond, step)
	}
}

func (f *fleet) startAll() {
	for _, s := range f.nodes {
		s.start()
	}
	for _, s := range f.nodes {
		s.setMembers(f.nodes)
	}
}

func (f *fleet) kill(s *simNode) {
	s.alive = false
	s.revision = 0
	if f.rng.IntN(2) == 0 {
		return
	}
	inc := s.incarnation
	for _, o := range f.alive() {
		if o.domain == s.domain {
			o.at(time.Duration(f.rng.IntN(2000))*time.Millisecond, func(now time.Time) {
				o.node.ProvedDead(now, s.name, inc)
			})
		}
	}
}

// scenario runs random faults and returns the first violation of the limit, or
// "".
func scenario(t *rapid.T, f *faults, domains int) string {
	fl := newFleet(rapid.Uint64().Draw(t, "seed"), domains, 6/domains, f)
	fl.jitter = 4 * time.Millisecond
	fl.configure(rapid.SampledFrom([]float64{50, 200, 1000, 1000}).Draw(t, "rate"), 2000, 600, 20*time.Second)
	for _, s := range fl.nodes {
		s.offset = time.Duration(fl.rng.IntN(1000)) * time.Second
		s.speed = 1 - 0.08*max(0, fl.rng.Float64()-0.5)/0.5
		s.staleClock = true
	}
	fl.startAll()
	fl.run(30 * time.Second)
	node := rapid.SampledFrom(fl.nodes)
	span := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(100, most).Draw(t, "ms")) * time.Millisecond
	}
	configure := func() {
		fl.configure(
			rapid.SampledFrom([]float64{50, 200, 1000, 1000}).Draw(t, "rate"),
			rapid.SampledFrom([]int64{1000, 2000, 2000}).Draw(t, "burst"),
			rapid.SampledFrom([]int64{600, 1000, 2000}).Draw(t, "min-share"),
			rapid.SampledFrom([]time.Duration{15 * time.Second, 25 * time.Second}).Draw(t, "term"))
	}
	steps := map[string]func(*rapid.T){
		"idle":  func(*rapid.T) { fl.run(span(25_000)) },
		"drain": func(*rapid.T) { fl.drain(fl.nodes, span(5000)) },
		"hoard": func(*rapid.T) {
			fl.hoard(fl.nodes, span(4000))
			fl.drain(fl.nodes, span(2000))
		},
		// The other steps run while all nodes spend all they can get, so that any
		// excess token is charged.
		"greedy": func(*rapid.T) { fl.scheduleDrain(fl.nodes, span(15_000)) },
		"drain-one": func(*rapid.T) {
			fl.drain([]*simNode{node.Draw(t, "node")}, span(3000))
		},
		"kill": func(*rapid.T) {
			if s := node.Draw(t, "node"); s.alive {
				fl.kill(s)
			}
		},
		"kill-busy": func(*rapid.T) {
			if s := node.Draw(t, "node"); s.alive {
				fl.scheduleDrain(fl.nodes, 6*time.Second)
				fl.run(span(2000))
				fl.kill(s)
				fl.run(span(6000))
			}
		},
		"restart": func(*rapid.T) {
			s := node.Draw(t, "node")
			if s.alive {
				fl.kill(s)
			}
			s.start()
		},
		"pause": func(*rapid.T) {
			node.Draw(t, "node").pausedTill = fl.now + span(40_000)
		},
		"leave": func(*rapid.T) {
			if s := node.Draw(t, "node"); s.alive {
				s.node.Leave(s.clock())
				s.execute()
			}
		},
		"view": func(*rapid.T) {
			// A node misses one of the live nodes.
			if s := node.Draw(t, "node"); s.alive {
				seen := fl.alive()
				i := rapid.IntRange(0, len(seen)-1).Draw(t, "missed")
				s.setMembers(slices.Delete(seen, i, i+1))
			}
		},
		"views": func(*rapid.T) {
			for _, s := range fl.alive() {
				s.setMembers(fl.alive())
			}
		},
		"alone": func(*rapid.T) {
			// Each node first sees only itself and then all others, so it has
			// outstanding loans to itself when the pools request deposits.
			for _, s := range fl.alive() {
				s.setMembers([]*simNode{s})
			}
			fl.run(span(10_000))
			fl.hoard(fl.nodes, 350*time.Millisecond)
			for _, s := range fl.alive() {
				s.setMembers(fl.alive())
			}
			fl.run(span(2000))
			fl.drain(fl.nodes, span(2000))
		},
		"partition": func(*rapid.T) {
			a := rapid.SampledFrom(fl.domains).Draw(t, "a")
			b := rapid.SampledFrom(fl.domains).Draw(t, "b")
			on := rapid.Bool().Draw(t, "on")
			fl.cut[[2]string{a, b}], fl.cut[[2]string{b, a}] = on, on
		},
		"network": func(*rapid.T) {
			fl.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(t, "loss")
			fl.duplicate = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "twin")
		},
		"table": func(*rapid.T) {
			fl.tableDown[rapid.SampledFrom([]string{"d0", "d1", "n00", "n01", "n04"}).Draw(t, "of")] = rapid.Bool().Draw(t, "down")
			fl.tableLoss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "unknown")
		},
		"config": func(*rapid.T) { configure() },
		"config-hoard": func(*rapid.T) {
			// Loans of the old split are outstanding when the new one is confirmed.
			fl.hoard(fl.nodes, 350*time.Millisecond)
			configure()
			for _, s := range fl.nodes {
				s.at(0, func(time.Time) { s.applyConfigs() })
				s.at(10*time.Millisecond, func(time.Time) { s.applyConfigs() })
			}
			fl.run(span(2500))
			fl.drain(fl.nodes, span(2000))
		},
		"learn": func(*rapid.T) {
			s := node.Draw(t, "node")
			s.at(0, func(time.Time) { s.applyConfigs() })
		},
		"learn-all": func(*rapid.T) {
			for _, s := range fl.nodes {
				s.at(span(2000), func(time.Time) { s.applyConfigs() })
			}
			fl.run(span(5000))
		},
	}
	bad := ""
	for name, step := range steps {
		steps[name] = func(t *rapid.T) {
			if bad == "" {
				step(t)
				bad = fl.violation()
			}
		}
	}
	t.Repeat(steps)
	if bad == "" {
		fl.drain(fl.nodes, 3*time.Second)
		bad = fl.violation()
	}
	for _, o := range fl.oracle {
		peakSeen = max(peakSeen, o.peak)
	}
	return bad
}

var peakSeen float64

// Guards against combinations of faults in which the fleet admits more than
// burst + rate x window.
func TestFleetWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if bad := scenario(t, &faults{}, rapid.IntRange(2, 3).Draw(t, "domains")); bad != "" {
			t.Fatal(bad)
		}
	})
	t.Logf("largest excess over the refill: %.3f of the burst", peakSeen)
}

// Guards against a check of the limit that can't fail: with any one mechanism
// disabled, the same scenarios have to exceed the limit.
func TestMechanismsAreNeeded(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		// Three nodes in a domain are needed for two of them to act as the pool of
		// the third at the same time.
		domains int
		seed    int // shortly before the first scenario that exceeds the limit
	}{
		{"depositor resumes early", faults{resumeEarly: true}, 3, 3},
		{"loan keeps the capacity", faults{keepCap: true}, 3, 6},
		{"slots taken at once", faults{takeImmediately: true}, 3, 4},
		{"deadline ignored", faults{ignoreSpendBy: true}, 3, 57},
		{"raise not confirmed", faults{raiseUnconfirmed: true}, 3, 1},
		{"duplicate return credited", faults{creditTwice: true}, 3, 109},
		{"dead owner's slots taken at once", faults{takeFromDeadImmediately: true}, 3, 202},
		{"slots deposited twice", faults{depositTwice: true}, 2, 217},
		{"raise before old loans end", faults{raiseNoWait: true}, 3, 1},
		{"debt of a deposit omitted", faults{omitDebt: true}, 3, 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) string { return scenario(t, &tt.faults, tt.domains) })
			for seed := tt.seed; seed < tt.seed+300; seed++ {
				if bad := run.Example(seed); bad != "" {
					t.Logf("seed %d: %s", seed, bad)
					return
				}
			}
			t.Fatal("no scenario exceeds the limit")
		})
	}
}

// Guards against slots of a stopped node that stay unused: another node has to
// take them, and all levels together have to reach the burst again.
func TestSlotsAreTakenOver(t *testing.T) {
	const term = 20 * time.Second
	tests := []struct {
		name  string
		stop  func(f *fleet, s *simNode)
		after time.Duration
	}{
		{"given back", func(f *fleet, s *simNode) {
			s.node.Leave(s.clock())
			s.execute()
			f.run(DepositorTerm + time.Second)
			if !s.node.Left() {
				t.Error("slots were not released")
			}
			s.alive = false
		}, 15 * time.Second},
		{"proved dead", func(f *fleet, s *simNode) {
			s.alive = false
			f.nodes[3].node.ProvedDead(f.nodes[3].clock(), s.name, s.incarnation)
		}, DepositorTerm + 15*time.Second},
		{"term expired", func(_ *fleet, s *simNode) { s.alive = false }, term + term/10 + 20*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(1, 3, 2, &faults{})
			f.configure(1000, 2000, 600, term)
			f.startAll()
			f.run(30 * time.Second)
			tt.stop(f, f.nodes[0])
			for _, s := range f.alive() {
				s.setMembers(f.alive())
			}
			f.run(tt.after + 6*time.Second)
			for _, s := range f.alive() {
				if n, _ := s.node.Slots(s.clock()); s == f.nodes[3] && n != SlotCount {
					t.Errorf("%s has %d slots", s.name, n)
				}
			}
			level := 0.0
			for _, s := range f.alive() {
				level += s.node.Status(s.clock())[0].Level
			}
			if level < 1999 {
				t.Errorf("levels add up to %.0f", level)
			}
		})
	}
}

// Guards against accepting invalid messages from a faulty peer.
func TestValidate(t *testing.T) {
	id := ID{Node: "n", Seq: 1}
	tests := []struct {
		name string
		msg  interface{ Validate() error }
		ok   bool
	}{
		{"deposit", DepositRequest{ID: id, Workspaces: []string{"w"}}, true},
		{"deposit without id", DepositRequest{}, false},
		{"deposit of no name", DepositRequest{ID: id, Workspaces: []string{""}}, false},
		{"reply", DepositReply{Seq: 1, Slots: 64}, true},
		{"too many slots", DepositReply{Seq: 1, Slots: 65}, false},
		{"negative level", DepositReply{Seq: 1, Levels: []DepositLevel{{Workspace: "w", Tokens: -1}}}, false},
		{"spent without a loan", DepositReply{Seq: 1, Returns: []ReturnItem{{Workspace: "w", Spent: true}}}, false},
		{"draw", DrawRequest{ID: id, Items: []DrawItem{{Workspace: "w", Need: 1, Want: 1}}}, true},
		{"need above want", DrawRequest{ID: id, Items: []DrawItem{{Workspace: "w", Need: 2, Want: 1}}}, false},
		{"too many hops", DrawRequest{ID: id, Hops: 3, Items: []DrawItem{{Workspace: "w", Want: 1}}}, false},
		{"long term", DrawReply{ID: id, Grants: []DrawGrant{{Workspace: "w", Tokens: 1, TermMillis: 3001}}}, false},
		{"unknown reason", DrawReply{ID: id, Available: []DrawAvailability{{Workspace: "w", Reason: 99}}}, false},
		{"negative refund", ReturnRequest{ID: id, Items: []ReturnItem{{Workspace: "w", Tokens: -5}}}, false},
		{"return reply without sequence", ReturnReply{}, false},
	}
	for _, tt := range tests {
		if err := tt.msg.Validate(); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// TestAnotherNodeIsAsked guards against refusing requests as long as a domain's first node
// for the workspace is known but gone, although other nodes of the domain would lend
// tokens: other domains learn of a replaced node up to 5 s later.
func TestAnotherNodeIsAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	n := NewNode(now, "n1", 1, "d1")
	cfg := &spec.Config{
		Revision: 1,
		Domains:  []spec.Domain{{Name: "d1"}, {Name: "d2"}},
		Workspaces: []spec.Workspace{{
			Name:                "w0",
			RateTokensPerSecond: 1000,
			BurstTokens:         10_000,
		}},
		Limits: spec.Limits{SlotTerm: spec.Duration(10 * time.Second)},
	}
	n.SetConfig(now, cfg, 1)
	n.SetMembers(now, nil, map[string][]string{"d2": {"n2", "n3"}})
	gone := rank.First("w0", []string{"n2", "n3"})
	var asked []string
	answerDraws := func() {
		for range 5 {
			for _, d := range n.TakeEffects().Draws {
				asked = append(asked, d.To)
				if d.To == gone {
					n.DrawDone(now, d.To, d.Msg.ID.Seq, DrawReply{}, errors.New("connection refused"))
					continue
				}
				n.DrawDone(now, d.To, d.Msg.ID.Seq, DrawReply{
					ID:    d.Msg.ID,
					Epoch: 1,
					Grants: []DrawGrant{{
						Workspace:  "w0",
						Tokens:     d.Msg.Items[0].Want,
						TermMillis: 1000,
						Loan:       1,
					}},
				}, nil)
			}
		}
	}
	for i := range 2 {
		asked = nil
		n.Need(now, DrawItem{
			Workspace: "w0",
			Need:      100 * int64(i+1),
			Want:      100 * int64(i+1),
		})
		answerDraws()
		if len(asked) == 0 || asked[len(asked)-1] == gone {
			t.Errorf("asked %v, want the other node after %s", asked, gone)
		}
		if i > 0 && slices.Contains(asked, gone) {
			t.Errorf("asked %v, want none that did not answer a moment ago", asked)
		}
	}
}

// TestPoolWithoutSlots guards against refusing requests of a node that has tokens of its
// own because the pool is a new node without slots and deposits.
func TestPoolWithoutSlots(t *testing.T) {
	f := newFleet(1, 1, 2, &faults{})
	f.configure(1000, 10_000, 1, 20*time.Second)
	f.startAll()
	f.run(20 * time.Second)
	for _, s := range f.nodes {
		ws := s.node.workspaces["w0"]
		if ws.pool != s.name {
			continue
		}
		joined := ""
		for i := 0; rank.First("w0", append([]string{joined}, s.node.members...)) != joined || joined == ""; i++ {
			joined = fmt.Sprintf("new%d", i)
		}
		now := s.clock()
		s.node.SetMembers(now, append([]string{joined}, s.node.members...), nil)
		s.node.TakeEffects()
		s.node.Need(now, DrawItem{
			Workspace: "w0",
			Need:      100,
			Want:      100,
		})
		for _, d := range s.node.TakeEffects().Draws {
			s.node.DrawDone(now, d.To, d.Msg.ID.Seq, DrawReply{
				ID:        d.Msg.ID,
				Epoch:     1,
				Available: []DrawAvailability{{Workspace: "w0", Reason: ReasonNoSlots}},
			}, nil)
		}
		fx := s.node.TakeEffects()
		if len(fx.Grants) == 0 {
			t.Errorf("%s has %d tokens and got none of them; denials: %+v", s.name, s.node.available(now, ws), fx.Denials)
		}
		return
	}
	t.Fatal("no node is the pool")
}
