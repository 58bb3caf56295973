package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWindow = 8 * time.Second

// testHead and testSpare are what the process gives new coordinators and nodes
// without contact of the excess that the smaller of two deployments allows.
const (
	testHead  = 0.1 * 7400
	testSpare = 0.4 * 7400
)

// oracle is one workspace on several nodes, with the tokens admitted when.
type oracle struct {
	t       *rapid.T
	now     time.Time
	limit   Limit
	slack   float64
	issuer  *Issuer
	members map[int]*oracleMember
	wallets []*Wallet
	cut     []bool
	// pools are those of two failure domains; apart tells which nodes do not
	// reach theirs.
	pools    [2]*Pool
	apart    []bool
	admitted []oracleCharge
}

type oracleMember struct {
	fraction float64
	heard    time.Time
}

type oracleCharge struct {
	at     time.Time
	tokens float64
}

func (o *oracle) reserved() float64 {
	var sum float64
	for _, m := range o.members {
		if o.now.Sub(m.heard) > ReserveAfter {
			sum += m.fraction
		}
	}
	return sum
}

func (o *oracle) exchange(i int) {
	if o.issuer == nil || o.cut[i] {
		o.usePool(i)
		return
	}
	m := o.members[i]
	if m == nil {
		m = &oracleMember{}
		o.members[i] = m
	}
	m.heard, m.fraction = o.now, 1/float64(len(o.wallets))
	o.issuer.SetReserved(o.now, o.reserved())
	var loans []Loan
	for _, d := range o.wallets[i].Draws(o.now) {
		if got := o.issuer.Issue(o.now, d.Workspace, d.Want, d.Need); got > 0 {
			loans = append(loans, Loan{
				Workspace: d.Workspace,
				Tokens:    got,
			})
		}
	}
	o.wallets[i].Receive(o.now, loans, m.fraction)
}

// usePool exchanges with the pool of the node's failure domain.
func (o *oracle) usePool(i int) {
	w, p := o.wallets[i], o.pools[i%2]
	if o.apart[i] || w.InTouch(o.now) {
		return
	}
	p.Deposit(o.now, w.Deposit(o.now))
	var loans []Loan
	for _, d := range w.Draws(o.now) {
		if got := p.Issue(o.now, d.Workspace, d.Want, d.Need); got > 0 {
			loans = append(loans, Loan{
				Workspace: d.Workspace,
				Tokens:    got,
			})
		}
	}
	w.ReceivePool(o.now, loans)
}

func (o *oracle) request(i int, tokens float64) {
	w := o.wallets[i]
	w.Arrived(o.now, "w", tokens)
	ok := w.Take(o.now, "w", tokens)
	if !ok {
		done := w.Wait("w", tokens)
		o.exchange(i)
		done()
		ok = w.Take(o.now, "w", tokens)
	}
	if ok {
		o.admitted = append(o.admitted, oracleCharge{
			at:     o.now,
			tokens: tokens,
		})
	}
}

// check compares every window that ends now with the stated bound.
func (o *oracle) check() {
	var sum float64
	for i := len(o.admitted) - 1; i >= 0 && o.now.Sub(o.admitted[i].at) <= testWindow; i-- {
		sum += o.admitted[i].tokens
	}
	bound := (o.limit.Rate*testWindow.Seconds()+o.limit.Burst)*1.1 + o.slack
	if sum > bound {
		o.t.Fatalf("%.0f tokens admitted within %v, the bound is %.0f", sum, testWindow, bound)
	}
}

func (o *oracle) begin(full bool) {
	o.issuer = NewIssuer(testHead, full)
	o.issuer.SetLimits(o.now, map[string]Limit{"w": o.limit})
	for _, m := range o.members {
		m.heard = o.now
	}
}

// TestWithinRate guards against admitting more than the rate, burst and allowed
// excess in any window, through cuts, restarts and changes of the coordinator.
func TestWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		rate := rapid.SampledFrom([]float64{1900, 14000, 90000}).Draw(t, "rate")
		o := &oracle{
			t:     t,
			now:   time.Unix(1000, 0),
			limit: Limit{Rate: rate, Burst: rate},
			// The smaller of the bounds of the two deployments.
			slack:   7400,
			members: map[int]*oracleMember{},
			cut:     make([]bool, nodes),
			pools:   [2]*Pool{NewPool(), NewPool()},
			apart:   make([]bool, nodes),
		}
		for range nodes {
			w := NewWallet(testSpare)
			w.SetLimits(map[string]Limit{"w": o.limit})
			o.wallets = append(o.wallets, w)
		}
		o.begin(true)
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, nodes-1).Draw(t, "cut")
				o.cut[i] = !o.cut[i]
			case 1:
				// The node restarts and is told its former fraction by others.
				i := rapid.IntRange(0, nodes-1).Draw(t, "restart")
				w := NewWallet(testSpare)
				w.SetLimits(map[string]Limit{"w": o.limit})
				if m := o.members[i]; m != nil {
					w.SetFraction(m.fraction)
				}
				o.wallets[i] = w
			case 4:
				i := rapid.IntRange(0, nodes-1).Draw(t, "apart")
				o.apart[i] = !o.apart[i]
			case 5:
				o.pools[rapid.IntRange(0, 1).Draw(t, "pool lost")] = NewPool()
			case 2:
				o.issuer = nil
			case 3:
				if o.issuer == nil {
					o.begin(false)
				}
			default:
			}
			for i := range o.wallets {
				n := rapid.IntRange(0, 6).Draw(t, "requests")
				for range n {
					o.request(i, rapid.Float64Range(200, 2700).Draw(t, "tokens"))
				}
				o.exchange(i)
			}
			o.check()
			o.now = o.now.Add(time.Duration(rapid.IntRange(20, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestUnevenDemand guards against refusing requests inside the rate because
// they arrive at one node.
func TestUnevenDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 10000, Burst: 10000}
	issuer := NewIssuer(2000, true)
	issuer.SetLimits(now, map[string]Limit{"w": limit})
	w := NewWallet(testSpare)
	w.SetLimits(map[string]Limit{"w": limit})
	refused := 0
	for range 200 {
		w.Arrived(now, "w", 900)
		if !w.Take(now, "w", 900) {
			done := w.Wait("w", 900)
			var loans []Loan
			for _, d := range w.Draws(now) {
				loans = append(loans, Loan{
					Workspace: d.Workspace,
					Tokens:    issuer.Issue(now, d.Workspace, d.Want, d.Need),
				})
			}
			w.Receive(now, loans, 0.125)
			done()
			if !w.Take(now, "w", 900) {
				refused++
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if refused > 0 {
		t.Errorf("%d of 200 requests at nine tenths of the rate were refused", refused)
	}
}

// TestLargerThanBurst guards against refusing for good a request that is larger
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
		t.Errorf("issued %v tokens from a bucket that owes, want 0", got)
	}
}

// TestLoweredLimit guards against spending tokens that were issued under a
// higher limit.
func TestLoweredLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWallet(testSpare)
	w.SetLimits(map[string]Limit{"w": {Rate: 1000, Burst: 1000}})
	w.Receive(now, []Loan{{Workspace: "w", Tokens: 500}}, 0.5)
	w.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}})
	if w.Take(now, "w", 400) {
		t.Error("tokens of the former limit were spent")
	}
}

// TestExpiry guards against hoarding: issued tokens are spent within their term.
func TestExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWallet(testSpare)
	w.SetLimits(map[string]Limit{"w": {Rate: 1000, Burst: 1000}})
	w.Receive(now, []Loan{{Workspace: "w", Tokens: 500}}, 0.5)
	if !w.Take(now.Add(Term-time.Millisecond), "w", 100) {
		t.Error("tokens were not usable within their term")
	}
	if w.Take(now.Add(Term), "w", 100) {
		t.Error("tokens were spent after their term")
	}
}

// TestHandover guards against refusals after a change of coordinator although
// the former one had tokens left, and against issuing more than the burst.
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
		next.Inherit(now, name, level)
	}
	if got := next.Issue(now, "w", 9000, 0); got != 3500 {
		t.Errorf("the next issued %v, want the 3,000 that were left and its own 500", got)
	}
	owing := NewIssuer(500, false)
	owing.SetLimits(now, limits)
	owing.Inherit(now, "w", -800)
	if got := owing.Issue(now, "w", 100, 0); got != 0 {
		t.Errorf("%v were issued although the former one owed more", got)
	}
}

// TestPool guards against refusing requests inside the rate for want of a
// coordinator: with 87 nodes the fraction of one brings less than a request in
// the time that a caller waits.
func TestPool(t *testing.T) {
	const nodes = 29 // of a domain, of 87
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 100_000, Burst: 100_000}
	pool := NewPool()
	wallets := make([]*Wallet, nodes)
	for i := range wallets {
		wallets[i] = NewWallet(testSpare)
		wallets[i].SetLimits(map[string]Limit{"w": limit})
		wallets[i].SetFraction(1.0 / 87)
	}
	exchange := func(w *Wallet) {
		pool.Deposit(now, w.Deposit(now))
		var loans []Loan
		for _, d := range w.Draws(now) {
			loans = append(loans, Loan{Workspace: d.Workspace, Tokens: pool.Issue(now, d.Workspace, d.Want, d.Need)})
		}
		w.ReceivePool(now, loans)
	}
	refused, asked := 0, 0
	// Half of the domain's third of the rate, all at one node.
	for step := range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, w := range wallets {
			exchange(w)
		}
		if step < 5 {
			continue
		}
		asked++
		if !wallets[0].Take(now, "w", 1700) {
			done := wallets[0].Wait("w", 1700)
			exchange(wallets[0])
			done()
			if !wallets[0].Take(now, "w", 1700) {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests at half of the domain's part of the rate were refused", refused, asked)
	}
}
