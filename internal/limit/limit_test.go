package limit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// table is a store.Table that can lose replies.
type table struct {
	mu          sync.Mutex
	rows        map[string]store.Row
	loseReplies int // number of further writes that take effect but whose replies are lost
}

func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[key]; ok {
		return r, nil
	}
	return store.Row{}, store.ErrNotFound
}

func (t *table) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	return t.Update(ctx, key, value, 0)
}

func (t *table) Update(_ context.Context, key string, value []byte, version int64) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[key].Version != version {
		return store.Row{}, store.ErrConflict
	}
	r := store.Row{
		Key:     key,
		Value:   value,
		Version: version + 1,
	}
	t.rows[key] = r
	if t.loseReplies > 0 {
		t.loseReplies--
		return store.Row{}, store.ErrUnknown
	}
	return r, nil
}

func (t *table) Delete(context.Context, string, int64) error {
	return store.ErrUnavailable
}

func (t *table) Scan(context.Context, string, string, int) ([]store.Row, error) {
	return nil, store.ErrUnavailable
}

// network is a Transport between Limiters in one process.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Limiter
}

var errUnreachable = errors.New("connection refused")

func (n *network) node(name string) (*Limiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.nodes[name]; l != nil {
		return l, nil
	}
	return nil, errUnreachable
}

func (n *network) Deposit(ctx context.Context, node string, req quota.DepositRequest) (quota.DepositReply, error) {
	l, err := n.node(node)
	if err != nil {
		return quota.DepositReply{}, err
	}
	return l.HandleDeposit(ctx, req)
}

func (n *network) Draw(ctx context.Context, node string, req quota.DrawRequest) (quota.DrawReply, error) {
	l, err := n.node(node)
	if err != nil {
		return quota.DrawReply{}, err
	}
	return l.HandleDraw(ctx, req)
}

func (n *network) Return(ctx context.Context, node string, req quota.ReturnRequest) (quota.ReturnReply, error) {
	l, err := n.node(node)
	if err != nil {
		return quota.ReturnReply{}, err
	}
	return l.HandleReturn(ctx, req)
}

func config(rate float64, burst int64, domains ...string) *spec.Config {
	c := &spec.Config{
		Revision: 1,
		Workspaces: []spec.Workspace{{
			Name:                "w",
			RateTokensPerSecond: rate,
			BurstTokens:         burst,
		}},
	}
	for _, d := range domains {
		c.Domains = append(c.Domains, spec.Domain{Name: d})
	}
	return c
}

// cluster starts one Limiter for each {domain, node} pair. All use the returned
// clock.
func cluster(t testing.TB, tab *table, cfg *spec.Config, names ...[2]string) (map[string]*Limiter, *offsetClock) {
	clk := &offsetClock{
		Real: clock.NewReal(),
	}
	net := &network{
		nodes: make(map[string]*Limiter),
	}
	byDomain := make(map[string][]string)
	for _, n := range names {
		byDomain[n[0]] = append(byDomain[n[0]], n[1])
	}
	for _, n := range names {
		l, stop := New(Options{
			Node:        n[1],
			Incarnation: 1,
			Domain:      n[0],
			Clock:       clk,
			Table:       tab,
			Transport:   net,
		})
		t.Cleanup(stop)
		l.SetMembers(byDomain[n[0]], byDomain)
		l.SetConfig(cfg, 1)
		net.mu.Lock()
		net.nodes[n[1]] = l
		net.mu.Unlock()
	}
	return net.nodes, clk
}

// offsetClock is a real clock that can jump ahead, like the clock of a resumed VM.
type offsetClock struct {
	*clock.Real
	mu     sync.Mutex
	offset time.Duration
}

func (s *offsetClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Real.Now().Add(s.offset)
}

func (s *offsetClock) jump(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += d
}

// admit repeats Admit for up to 8 s, since a new node has no slots at first.
func admit(t *testing.T, l *Limiter, tokens int64) Charge {
	t.Helper()
	end := time.Now().Add(8 * time.Second)
	for {
		c, err := l.Admit(context.Background(), "w", tokens)
		if err == nil {
			return c
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a fleet that can't use the tokens of other domains, and against
// slots that stay unused after the table's reply was lost.
func TestAdmitAcrossDomains(t *testing.T) {
	t.Parallel()
	tab := &table{
		rows:        make(map[string]store.Row),
		loseReplies: 2,
	}
	nodes, _ := cluster(t, tab, config(50_000, 20_000, "a", "b"), [2]string{"a", "a1"}, [2]string{"a", "a2"}, [2]string{"b", "b1"})
	// The share of a domain is 10,000 tokens, so this request needs both shares.
	c := admit(t, nodes["a1"], 16_000)
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	c.Settle(1000)
	c = admit(t, nodes["b1"], 16_000)
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	snap, err := nodes["a1"].Snapshot(context.Background())
	if err != nil || len(snap.Workspaces) != 1 || snap.Slots == 0 || snap.Workspaces[0].Admitted != 1 {
		t.Errorf("snapshot %+v, %v", snap, err)
	}
}

// Guards against wrong or missing fields in a RefusedError, from which callers
// build Retry-After, and against unbounded waits.
func TestRefusal(t *testing.T) {
	t.Parallel()
	nodes, _ := cluster(t, &table{rows: make(map[string]store.Row)}, config(1000, 5000, "a"), [2]string{"a", "a1"})
	l := nodes["a1"]
	admit(t, l, 1)
	tests := []struct {
		workspace string
		tokens    int64
		reason    quota.Reason
	}{
		{"nobody", 1, quota.ReasonUnknown},
		{"w", 5001, quota.ReasonBurst},
		{"w", 5000, quota.ReasonRate},
	}
	for _, tt := range tests {
		start := time.Now()
		_, err := l.Admit(context.Background(), tt.workspace, tt.tokens)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != tt.reason || refused.Wanted != tt.tokens || refused.After <= 0 {
			t.Errorf("%s, %d tokens: %+v, want reason %v", tt.workspace, tt.tokens, err, tt.reason)
		}
		if d := time.Since(start); d > DefaultMaxWait+200*time.Millisecond {
			t.Errorf("%s: refused after %v", tt.workspace, d)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := l.Admit(ctx, "w", 300); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("with a context that ends: %v", err)
	}
}

// Guards against a paused process that spends tokens whose deadline has passed.
func TestCheckAfterPause(t *testing.T) {
	t.Parallel()
	nodes, clk := cluster(t, &table{rows: make(map[string]store.Row)}, config(1000, 5000, "a"), [2]string{"a", "a1"})
	c := admit(t, nodes["a1"], 500)
	clk.jump(quota.DepositTerm)
	var refused *RefusedError
	if err := c.Check(); !errors.As(err, &refused) || refused.Reason != quota.ReasonExpired {
		t.Errorf("check after the deadline: %v", err)
	}
}

// Guards against slots that a node still owns after it released them.
func TestReleaseSlots(t *testing.T) {
	t.Parallel()
	tab := &table{
		rows: make(map[string]store.Row),
	}
	nodes, clk := cluster(t, tab, config(1000, 5000, "a"), [2]string{"a", "a1"}, [2]string{"a", "a2"})
	admit(t, nodes["a1"], 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			clk.jump(100 * time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	if err := nodes["a1"].ReleaseSlots(ctx); err != nil {
		t.Fatal(err)
	}
	row, err := tab.Get(ctx, "slots/a")
	if err != nil {
		t.Fatal(err)
	}
	owners, err := quota.DecodeSlots(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range owners.Owners {
		if o.Node == "a1" {
			t.Errorf("a1 still owns slots %x", o.Slots)
		}
	}
}

// Guards against lost tokens and stuck callers when many of them use one account.
func TestConcurrentAdmission(t *testing.T) {
	t.Parallel()
	nodes, _ := cluster(t, &table{rows: make(map[string]store.Row)}, config(1e6, 1e6, "a"), [2]string{"a", "a1"}, [2]string{"a", "a2"})
	admit(t, nodes["a1"], 1)
	var wg sync.WaitGroup
	errs := make(chan error, 64)
	for i := range 64 {
		wg.Go(func() {
			l := nodes[fmt.Sprintf("a%d", 1+i%2)]
			for range 50 {
				c, err := l.Admit(context.Background(), "w", 100)
				if err == nil {
					err = c.Check()
				}
				if err != nil {
					errs <- err
					return
				}
				c.Settle(50)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
}

// Guards against exceeding or wasting the limit under full load: within a time
// the nodes of two domains together may charge at most burst + rate x time, and
// should charge at least 60% of it.
func TestLimitUnderFullLoad(t *testing.T) {
	t.Parallel()
	const rate, burst = 20_000, 10_000
	nodes, _ := cluster(t, &table{rows: make(map[string]store.Row)}, config(rate, burst, "a", "b"),
		[2]string{"a", "a1"}, [2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"b", "b2"})
	admit(t, nodes["a1"], 100)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var sum atomic.Int64
	start := time.Now()
	for _, l := range nodes {
		for range 4 {
			wg.Go(func() {
				for time.Since(start) < 2*time.Second {
					c, err := l.Admit(context.Background(), "w", 100)
					if err != nil {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					if c.Check() == nil {
						sum.Add(100)
					}
				}
			})
		}
	}
	wg.Wait()
	allowed := burst + rate*time.Since(start).Seconds()
	t.Logf("charged %d of %.0f tokens", sum.Load(), allowed)
	if got := float64(sum.Load()); got > allowed || got < 0.6*allowed {
		t.Errorf("charged %.0f tokens, at most %.0f are allowed", got, allowed)
	}
}

// BenchmarkAdmit measures an admission from local tokens; the target is below
// 2 µs without allocation.
func BenchmarkAdmit(b *testing.B) {
	nodes, _ := cluster(b, &table{rows: make(map[string]store.Row)}, config(1, 10_000, "a"), [2]string{"a", "a1"})
	l := nodes["a1"]
	for (*l.accounts.Load())["w"] == nil {
		time.Sleep(time.Millisecond)
	}
	a := (*l.accounts.Load())["w"]
	fill := func() {
		a.mu.Lock()
		a.wallet.Add(quota.Loan{
			Workspace: "w",
			Tokens:    1 << 40,
			SpendBy:   l.clock.Now().Add(time.Hour),
		})
		a.mu.Unlock()
	}
	fill()
	b.ReportAllocs()
	for b.Loop() {
		c, err := l.Admit(context.Background(), "w", 100)
		if err != nil {
			fill()
			continue
		}
		if err := c.Check(); err != nil {
			b.Fatal(err)
		}
		c.Settle(100)
	}
}
