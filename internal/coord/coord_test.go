package coord

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/models"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	testTerm = 600 * time.Millisecond
	// testLease is the required minimum time between the orders of two holders.
	// As in the process, a new holder waits 200 ms longer, because an order may
	// arrive later than the time recorded for it.
	testLease = 1500 * time.Millisecond
	testWait  = testLease + 200*time.Millisecond
)

// testTable is the platform's table. It can be unavailable for some nodes.
type testTable struct {
	mu   sync.Mutex
	rows map[string]store.Row // with versions of the era
	next int64
	era  int64
}

// restore replaces the rows with those of a copy. Versions are given out again.
func (f *testTable) restore(rows map[string]store.Row, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.next, f.era = map[string]store.Row{}, next, f.era+1
	maps.Copy(f.rows, rows)
}

// copy returns the rows for a later restore.
func (f *testTable) copy() (rows map[string]store.Row, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.next
}

// tableView is one node's access to the table.
type tableView struct {
	*testTable
	down *bool
}

func (v tableView) Get(_ context.Context, key string) (store.Row, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if *v.down {
		return store.Row{}, store.ErrUnavailable
	}
	r, ok := v.rows[key]
	if !ok {
		return store.Row{
			Version: store.Revision(v.era, v.next),
		}, store.ErrNotFound
	}
	r.Version = store.Revision(v.era, r.Version)
	return r, nil
}

func (v tableView) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	return v.Update(ctx, key, value, 0)
}

func (v tableView) Update(_ context.Context, key string, value []byte, version int64) (store.Row, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if *v.down {
		return store.Row{}, store.ErrUnavailable
	}
	if v.rows[key].Version != store.Version(version) {
		return store.Row{}, store.ErrConflict
	}
	v.next++
	v.rows[key] = store.Row{
		Key:     key,
		Value:   value,
		Version: v.next,
	}
	if version != 0 && store.Era(version) != v.era {
		return store.Row{}, store.ErrUnknown
	}
	r := v.rows[key]
	r.Version = store.Revision(v.era, r.Version)
	return r, nil
}

func (v tableView) Delete(context.Context, string, int64) error { return errors.New("not used") }

func (v tableView) Scan(context.Context, string, string, int) ([]store.Row, error) {
	return nil, errors.New("not used")
}

// testFleet is a fleet in one process.
type testFleet struct {
	t      *testing.T
	table  *testTable
	engine *testEngine
	// wrapPeers, if set, replaces how a node reaches the others.
	wrapPeers func(*testNode) Peers
	// decode decodes configurations; testDocument unless it is replaced.
	decode func([]byte) (*fleet.Config, error)
	// term is the term of the lease; testTerm unless it is replaced.
	term time.Duration

	mu    sync.Mutex
	nodes map[string]*testNode
}

type testNode struct {
	*Node
	fleet  *testFleet
	down   bool // the store does not answer the node
	cut    bool // the node and the other nodes do not reach each other
	cancel context.CancelFunc
	done   chan struct{}
}

// Exchange implements Peers.
func (n *testNode) Exchange(ctx context.Context, address string, x *Exchange) (*Reply, error) {
	to, err := n.lookup(address)
	if err != nil {
		return nil, err
	}
	return to.HandleExchange(ctx, x)
}

// Fetch implements Peers.
func (n *testNode) Fetch(ctx context.Context, address string, f *Fetch) (*Fetched, error) {
	to, err := n.lookup(address)
	if err != nil {
		return nil, err
	}
	return to.HandleFetch(ctx, f)
}

// Forget implements Peers.
func (*testNode) Forget(string) {}

func (n *testNode) lookup(address string) (*Node, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	to := n.fleet.nodes[address]
	if to == nil || to.cut || n.cut {
		return nil, errors.New("not reached")
	}
	return to.Node, nil
}

// testEngine records the orders that it receives.
type testEngine struct {
	mu     sync.Mutex
	orders []testOrder
	models map[string]bool
	count  int64
	// unanswered is how many further orders are neither answered nor executed.
	unanswered int
	// beforeSend runs between the decision to send an order and its first byte, afterCheck
	// once the check has allowed it.
	beforeSend func()
	afterCheck func()
}

type testOrder struct {
	holder string
	fence  int64
	at     time.Time
}

func (e *testEngine) Report(context.Context, fleet.Endpoint) (fleet.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := fleet.Report{
		Key:            fleet.Key{ID: "e", Incarnation: 1},
		OrdersAccepted: e.count,
		OnDisk:         []string{"m0", "m1", "m2"},
	}
	for name := range e.models {
		r.Models = append(r.Models, fleet.Resident{Model: name})
	}
	return r, nil
}

func (e *testEngine) Order(ctx context.Context, o models.Order, holder string, fence int64, check func() error) (models.Answer, error) {
	if e.beforeSend != nil {
		e.beforeSend()
	}
	if err := check(); err != nil {
		return models.Refused, &conn.NotSentError{Err: err}
	}
	e.mu.Lock()
	if e.afterCheck != nil {
		e.afterCheck()
	}
	if e.unanswered > 0 {
		e.unanswered--
		e.mu.Unlock()
		<-ctx.Done()
		return models.NoAnswer, ctx.Err()
	}
	defer e.mu.Unlock()
	e.orders = append(e.orders, testOrder{
		holder: holder,
		fence:  fence,
		at:     time.Now(),
	})
	if o.Expected != e.count {
		return models.Refused, nil
	}
	e.count++
	if o.Load {
		e.models[o.Model] = true
	} else {
		delete(e.models, o.Model)
	}
	return models.Accepted, nil
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{
		t:      t,
		table:  &testTable{rows: map[string]store.Row{}},
		engine: &testEngine{models: map[string]bool{}},
		nodes:  map[string]*testNode{},
		decode: testDocument,
		term:   testTerm,
	}
}

// testDocument decodes a version number to a configuration with that version and
// three models, of which only one fits the engine at a time.
func testDocument(raw []byte) (*fleet.Config, error) {
	var version int64
	if _, err := fmt.Sscan(string(raw), &version); err != nil {
		return nil, err
	}
	class := &fleet.EngineClass{
		WeightsMB:           100,
		StoreLoadsPerSecond: 10,
		Models:              map[string]fleet.Model{},
	}
	for _, name := range []string{"m0", "m1", "m2"} {
		class.Models[name] = fleet.Model{Name: name, WeightsMB: 60}
	}
	return &fleet.Config{
		Version:    version,
		Services:   map[string]*fleet.Service{"lm": {Name: "lm", Engine: class}},
		Workspaces: map[string]*fleet.Workspace{"w": {Name: "w", Rate: 1000, Burst: 1000}},
	}, nil
}

func (f *testFleet) start(name string) *testNode { return f.startSized(name, 1) }

// prepare returns a node that does not run.
func (f *testFleet) prepare(name string, capacity float64) *testNode {
	n := &testNode{fleet: f, done: make(chan struct{})}
	table := picker.NewTable("north")
	log := slog.New(slog.DiscardHandler)
	clk := clock.NewReal()
	var peers Peers = n
	if f.wrapPeers != nil {
		peers = f.wrapPeers(n)
	}
	n.Node = New(Options{
		Node:              name,
		Address:           name,
		Domain:            "north",
		Capacity:          capacity,
		Incarnation:       fmt.Sprint(time.Now().UnixNano()),
		Clock:             clk,
		Log:               log,
		Rows:              tableView{testTable: f.table, down: &n.down},
		Peers:             peers,
		Engines:           f.engine,
		Table:             table,
		Decode:            f.decode,
		Server:            serve.New(serve.Options{Clock: clk, Table: table, Log: log}),
		LeaseTerm:         f.term,
		LeaseWait:         testWait,
		QuotaInitial:      1000,
		QuotaDisconnected: 400,
	})
	return n
}

// startSized starts a node with a CPU capacity in cores.
func (f *testFleet) startSized(name string, capacity float64) *testNode {
	n := f.prepare(name, capacity)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	f.t.Cleanup(n.kill)
	// Stands in for the node's readers of the store.
	go func() {
		for ctx.Err() == nil {
			f.table.mu.Lock()
			down := n.down
			f.table.mu.Unlock()
			if !down {
				n.RecordStoreAnswer(ConfigReader)
				n.RecordStoreAnswer(EndpointReader)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return n
}

func (n *testNode) kill() {
	n.fleet.mu.Lock()
	if n.fleet.nodes[n.opts.Address] == n {
		delete(n.fleet.nodes, n.opts.Address)
	}
	n.fleet.mu.Unlock()
	n.cancel()
	<-n.done
}

func (f *testFleet) setDown(n *testNode, down bool) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	n.down = down
}

func (f *testFleet) eventually(what string, within time.Duration, ok func() bool) {
	f.t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not within %v: %s", within, what)
}

// commonCoordinator returns the address of the coordinator that the given nodes
// know. It returns false unless all of them know the same one and it answered
// them within the last second.
func commonCoordinator(nodes ...*testNode) (string, bool) {
	address := ""
	for _, n := range nodes {
		n.mu.Lock()
		answered := time.Since(n.coordinatorSeenAt) < time.Second && !n.coordinatorSeenAt.IsZero()
		known := n.coordinatorAddress
		n.mu.Unlock()
		if !answered || known == "" || address != "" && known != address {
			return "", false
		}
		address = known
	}
	return address, true
}

func (f *testFleet) awaitCoordinator(within time.Duration, nodes ...*testNode) *testNode {
	f.t.Helper()
	var name string
	f.eventually("one coordinator that all follow", within, func() bool {
		var ok bool
		name, ok = commonCoordinator(nodes...)
		return ok && slices.ContainsFunc(nodes, func(n *testNode) bool { return n.opts.Address == name })
	})
	for _, n := range nodes {
		if n.opts.Address == name {
			return n
		}
	}
	return nil
}

// awaitMembers waits until each of the nodes knows all of them as members.
func (f *testFleet) awaitMembers(nodes []*testNode) {
	f.t.Helper()
	f.eventually("all members known", 3*time.Second, func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.members) != len(nodes)
		})
	})
}

// generateOrders causes a steady sequence of orders: a request waits for a model
// that the engine unloads every 100 ms.
func (f *testFleet) generateOrders(n *testNode) (stop func()) {
	done := n.usage.addWaiting("lm", "m0")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for sleep(ctx, 100*time.Millisecond) {
			f.engine.mu.Lock()
			clear(f.engine.models)
			f.engine.mu.Unlock()
		}
		done()
	}()
	return cancel
}

// checkOrderGaps checks the minimum time between orders of different holders and
// the order of their fences.
func (f *testFleet) checkOrderGaps() {
	f.t.Helper()
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	for i := 1; i < len(f.engine.orders); i++ {
		a, b := f.engine.orders[i-1], f.engine.orders[i]
		if a.holder == b.holder {
			continue
		}
		if gap := b.at.Sub(a.at); gap < testLease {
			f.t.Errorf("order of %s came %v after one of %s, at least %v are required", b.holder, gap, a.holder, testLease)
		}
		if b.fence <= a.fence {
			f.t.Errorf("fence %d of %s follows fence %d of %s", b.fence, b.holder, a.fence, a.holder)
		}
	}
}

func (f *testFleet) holderCount() int {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	seen := map[string]bool{}
	for _, o := range f.engine.orders {
		seen[o.holder] = true
	}
	return len(seen)
}

var testEndpoints = []fleet.Change{{
	Name:     "e",
	Version:  1,
	Endpoint: &fleet.Endpoint{ID: "e", Incarnation: 1, Service: "lm", Address: "10.0.0.1:80"},
}}

// TestOneHolder guards against orders of two holders within less than the lease
// time after the coordinator is killed, stopped or disconnected.
func TestOneHolder(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(*testFleet, *testNode)
	}{
		{name: "killed", fail: func(_ *testFleet, n *testNode) { n.kill() }},
		{name: "stopped", fail: func(_ *testFleet, n *testNode) { n.ReleaseLease() }},
		{name: "cut off from the store", fail: func(f *testFleet, n *testNode) { f.setDown(n, true) }},
		{name: "cut off from all", fail: func(f *testFleet, n *testNode) {
			f.setDown(n, true)
			f.mu.Lock()
			n.cut = true
			f.mu.Unlock()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			nodes := []*testNode{f.start("a"), f.start("b"), f.start("c")}
			for _, n := range nodes {
				if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
					t.Fatal(err)
				}
				n.SetEndpoints(context.Background(), testEndpoints, 1, true)
				defer f.generateOrders(n)()
			}
			first := f.awaitCoordinator(5*time.Second, nodes...)
			f.eventually("orders of the first holder", 8*time.Second, func() bool { return f.holderCount() == 1 })
			tc.fail(f, first)
			rest := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return n == first })
			f.eventually("another coordinator", 8*time.Second, func() bool {
				name, ok := commonCoordinator(rest...)
				return ok && name != first.opts.Address
			})
			f.eventually("orders of another holder", 8*time.Second, func() bool { return f.holderCount() == 2 })
			time.Sleep(testWait)
			f.checkOrderGaps()
		})
	}
}

// TestConfigurationSpreads guards against nodes that keep an old configuration
// or old endpoints although another node has newer ones.
func TestConfigurationSpreads(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	a, b, c := f.start("a"), f.start("b"), f.start("c")
	f.awaitCoordinator(5*time.Second, a, b, c)
	if err := c.SetRawConfig(context.Background(), []byte("42"), "test"); err != nil {
		t.Fatal(err)
	}
	c.SetEndpoints(context.Background(), testEndpoints, 9, true)
	for _, n := range []*testNode{a, b} {
		f.eventually("the configuration at "+n.opts.Node, 3*time.Second, func() bool {
			v := n.opts.Server.Config()
			return v != nil && v.Version == 42
		})
		f.eventually("the endpoint at "+n.opts.Node, 3*time.Second, func() bool { return len(n.opts.Table.Endpoints()) == 1 })
	}
	if err := a.SetRawConfig(context.Background(), []byte("41"), "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * minExchangeInterval)
	if v := a.opts.Server.Config().Version; v != 42 {
		t.Errorf("the configuration went back to version %d", v)
	}
}

// TestRestartOfAll guards against refusing requests for a lease term after all
// processes were killed. A restarted process reclaims the lease of the earlier
// process on its VM.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	nodes := []*testNode{f.start("a"), f.start("b"), f.start("c")}
	f.awaitCoordinator(5*time.Second, nodes...)
	time.Sleep(testTerm)
	for _, n := range nodes {
		n.kill()
	}
	began := time.Now()
	nodes = []*testNode{f.start("a"), f.start("b"), f.start("c")}
	for _, n := range nodes {
		if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
	}
	f.eventually("tokens after the restart", testTerm, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, ok := nodes[1].Admitter.Admit(ctx, "w", 10, 20*time.Millisecond)
		return ok
	})
	t.Logf("tokens after %v", time.Since(began))
}

// TestAdmissionWithoutCoordinator guards against refusing all requests at a node
// that cannot reach the coordinator. It must admit its fraction of the rate.
func TestAdmissionWithoutCoordinator(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	nodes := []*testNode{f.start("a"), f.start("b")}
	for _, n := range nodes {
		if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
	}
	first := f.awaitCoordinator(5*time.Second, nodes...)
	other := nodes[0]
	if other == first {
		other = nodes[1]
	}
	f.mu.Lock()
	other.cut = true
	f.mu.Unlock()
	time.Sleep(2 * time.Second)
	admitted := 0
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		if _, ok := other.Admitter.Admit(context.Background(), "w", 10, 30*time.Millisecond); ok {
			admitted += 10
		}
	}
	// The rate is half of 1,000 tokens/s; tokens saved up before come on top.
	if admitted < 300 || admitted > 1400 {
		t.Errorf("%d tokens admitted in one second without a coordinator, the node's fraction is 500", admitted)
	}
}

// TestPoolWithoutCoordinator guards against refusing requests that exceed one
// node's fraction but not the fractions of its failure domain together. Without
// the pool, 87 nodes refused nearly all requests.
func TestPoolWithoutCoordinator(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	var nodes []*testNode
	for i := range 8 {
		n := f.start(fmt.Sprintf("n%d", i))
		if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
	}
	first := f.awaitCoordinator(5*time.Second, nodes...)
	f.awaitMembers(nodes)
	time.Sleep(maxExchangeInterval)
	for _, n := range nodes {
		f.setDown(n, true)
	}
	first.kill()
	time.Sleep(2 * time.Second)
	requester := nodes[0]
	if requester == first {
		requester = nodes[1]
	}
	admitted := 0
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		if _, ok := requester.Admitter.Admit(context.Background(), "w", 100, 60*time.Millisecond); ok {
			admitted += 100
		}
	}
	// The rate is seven eighths of 1,000 tokens/s; saved-up tokens come on top.
	if admitted < 500 || admitted > 1500 {
		t.Errorf("%d tokens admitted in one second, the fractions of the seven nodes are 875", admitted)
	}
}

// TestLeaseAfterConfiguration guards against a process that takes the lease before it has a
// configuration: it issues no tokens, and the other nodes wait for it.
func TestLeaseAfterConfiguration(t *testing.T) {
	for _, tc := range []struct {
		name     string
		configIn time.Duration
		from     time.Duration
	}{
		{name: "soon", configIn: 400 * time.Millisecond, from: 400 * time.Millisecond},
		{name: "never", configIn: time.Hour, from: maxConfigWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			began := time.Now()
			n := f.start("a")
			configured := time.AfterFunc(tc.configIn, func() {
				if err := n.SetRawConfig(t.Context(), []byte("1"), storeSource); err != nil {
					t.Error(err)
				}
			})
			defer configured.Stop()
			f.eventually("the node coordinates", 5*time.Second, func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.isCoordinator
			})
			if took := time.Since(began); took < tc.from {
				t.Errorf("the node took the lease after %v, want %v or later", took, tc.from)
			}
		})
	}
}

// TestDeputies guards against small nodes as deputies in a fleet that has larger
// ones. Coordinating 74 nodes takes twice the CPU of the smallest VMs.
func TestDeputies(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{
			Node:     fmt.Sprintf("n%02d", i),
			Capacity: []float64{0.144, 0.144, 0.144, 0.8}[i%4],
		})
	}
	got := deputiesOf(members)
	if len(got) != deputyCount {
		t.Fatalf("deputies %v", got)
	}
	for _, name := range got {
		i := slices.IndexFunc(members, func(m Member) bool { return m.Node == name })
		if members[i].Capacity != 0.8 {
			t.Errorf("%s with capacity %v is a deputy", name, members[i].Capacity)
		}
	}
}

// TestReservedAfterTakeover guards against a new coordinator that issues no
// tokens: the first member, now dead, was assigned the whole rate when it was
// alone, and that fraction must not stay reserved.
func TestReservedAfterTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	clk := clock.NewFake()
	c := newCoordinator(Options{Clock: clk, Log: slog.New(slog.DiscardHandler)})
	ctx := context.Background()
	membersReceived{list: []Member{
		{Node: "first", Fraction: 1},
		{Node: "second", Fraction: 0.5},
		{Node: "third", Fraction: 1.0 / 3},
		{Node: "fourth", Fraction: 0.25},
	}}.apply(ctx, c, now)
	tenureChanged{tenure: Tenure{Until: now.Add(time.Second), Since: now, Fence: 9, Former: "x"}}.apply(ctx, c, now)
	later := now.Add(time.Second)
	for _, name := range []string{"second", "third", "fourth"} {
		reply := make(chan Reply, 1)
		exchangeReceived{x: &Exchange{Node: name, Address: name}, reply: reply}.apply(ctx, c, later)
		<-reply
	}
	if got := c.reservedFraction(later.Add(time.Millisecond)); got > 0.25 {
		t.Errorf("%v of the rates is reserved for one silent node of four, want at most 0.25", got)
	}
}

// TestSmallNodesLeaveTheLeaseToLargeOnes guards against a small node that takes
// the lease although larger nodes are available. With 74 nodes, a coordinator
// with 0.144 of a core processes messages too late, treats most nodes as silent
// and reserves their fractions of the rates.
func TestSmallNodesLeaveTheLeaseToLargeOnes(t *testing.T) {
	f := newTestFleet(t)
	large := make([]*testNode, 4)
	for i := range large {
		large[i] = f.start(fmt.Sprintf("large-%d", i))
	}
	all := slices.Clone(large)
	for i := range 10 {
		all = append(all, f.startSized(fmt.Sprintf("small-%d", i), 0.1))
	}
	first := f.awaitCoordinator(5*time.Second, all...)
	if !slices.Contains(large, first) {
		t.Fatalf("%s coordinates at first", first.opts.Node)
	}
	// The nodes compute the deputies from the members, so all must know them.
	f.awaitMembers(all)
	f.setDown(first, true)
	f.eventually("another coordinator", 5*time.Second, func() bool {
		name, ok := commonCoordinator(all...)
		return ok && name != first.opts.Address
	})
	if next := f.awaitCoordinator(time.Second, all...); !slices.Contains(large, next) {
		t.Errorf("%s took the lease", next.opts.Node)
	}
}

// TestSmallCoordinatorHandsOver guards against a fleet that keeps a small
// coordinator because it started before the larger nodes.
func TestSmallCoordinatorHandsOver(t *testing.T) {
	f := newTestFleet(t)
	small := f.startSized("small", 0.1)
	f.awaitCoordinator(3*time.Second, small)
	large := f.start("large")
	f.eventually("the large node coordinates", handoverDelay+5*time.Second, func() bool {
		name, ok := commonCoordinator(small, large)
		return ok && name == "large"
	})
}

// TestDeputiesStandInForTheCoordinator guards against all nodes reading the
// store while there is no coordinator. With 74 nodes the cost of those calls was
// more than a tenth of the value of a day.
func TestDeputiesStandInForTheCoordinator(t *testing.T) {
	f := newTestFleet(t)
	// The term of the processes. With testTerm, nodes that are not deputies compete 1.2 s
	// after the coordinator's last answer, and a deputy that has to read a renewed lease
	// waits as long: 0.6 s until it counts as silent, and the term.
	f.term = 1500 * time.Millisecond
	nodes := make([]*testNode, 8)
	for i := range nodes {
		nodes[i] = f.start(fmt.Sprintf("n%d", i))
	}
	first := f.awaitCoordinator(5*time.Second, nodes...)
	var members []Member
	f.eventually("all members known", 3*time.Second, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		members = first.members
		return len(members) == len(nodes)
	})
	time.Sleep(2 * maxExchangeInterval)
	first.kill()
	others := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool {
		return n == first || slices.Contains(deputiesOf(members), n.opts.Node)
	})
	// This lasts until one of the deputies has become the coordinator.
	for until := time.Now().Add(3 * f.term); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, n := range others {
			if !n.IsStoreRelayed() {
				t.Fatalf("%s reads the store itself", n.opts.Node)
			}
		}
	}
}

// TestMembersDoNotRevert guards against applying an older list of members. The
// retry budget and the engines' loads are divided by the number of members.
func TestMembersDoNotRevert(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	list := []Member{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	count := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.members)
	}
	for _, tc := range []struct {
		members []Member
		as      MembersVersion
		want    int
	}{
		{members: list, as: MembersVersion{Term: 1 << 40, Seq: 5}, want: 3},
		{members: list[:1], as: MembersVersion{Term: 1 << 40, Seq: 4}, want: 3},
		{members: list[:1], as: MembersVersion{Term: 1<<40 - 1, Seq: 9}, want: 3},
		{as: MembersVersion{Term: 1 << 41}, want: 3},
		{members: list[:2], as: MembersVersion{Term: 1 << 40, Seq: 6}, want: 2},
	} {
		n.setMembers(context.Background(), tc.members, tc.as)
		if got := count(); got != tc.want {
			t.Errorf("after %d members as of %+v the node knows %d, want %d", len(tc.members), tc.as, got, tc.want)
		}
	}
}

// TestUnansweredOrderIsRepeated guards against an engine that is not changed for
// seconds because one order got no answer. When half of the orders got none,
// busy models had too few copies for ten seconds. An order carries the number of
// orders before it, so an engine executes it only once however often it is sent.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	if err := n.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	f.awaitCoordinator(3*time.Second, n)
	n.SetEndpoints(context.Background(), []fleet.Change{{
		Name:     "e",
		Version:  1,
		Endpoint: &fleet.Endpoint{ID: "e", Incarnation: 1, Service: "lm", Address: "10.0.0.1:80"},
	}}, 1, true)
	f.engine.mu.Lock()
	f.engine.unanswered = 2
	f.engine.mu.Unlock()
	done := n.TrackWaiting("lm", "m0")
	defer done()
	f.eventually("the requested model is loaded", 2*time.Second, func() bool {
		f.engine.mu.Lock()
		defer f.engine.mu.Unlock()
		return f.engine.models["m0"]
	})
}

// TestNoRepeatAfterHandover guards against an order that the former coordinator sends again
// after it has told its successor how long to wait.
func TestNoRepeatAfterHandover(t *testing.T) {
	f := newTestFleet(t)
	// The term of the processes, in which an order can be sent again several times.
	f.term = 1500 * time.Millisecond
	a := f.start("a")
	if err := a.SetRawConfig(context.Background(), []byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	f.awaitCoordinator(3*time.Second, a)
	var mu sync.Mutex
	var last time.Time
	f.engine.mu.Lock()
	f.engine.unanswered = 100
	f.engine.afterCheck = func() {
		mu.Lock()
		defer mu.Unlock()
		last = time.Now()
	}
	f.engine.mu.Unlock()
	a.SetEndpoints(context.Background(), testEndpoints, 1, true)
	done := a.TrackWaiting("lm", "m0")
	defer done()
	f.eventually("an order", 3*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !last.IsZero()
	})
	r, err := a.HandleExchange(context.Background(), &Exchange{Node: "b", Address: "b", Resign: 1 << 40})
	if err != nil || r.Handover == nil {
		t.Fatalf("no handover: %v", err)
	}
	resigned := time.Now()
	i := slices.IndexFunc(r.Handover.Engines, func(w EngineWait) bool { return w.Key.ID == "e" })
	if i < 0 {
		t.Fatal("the handover names no wait for the engine with the unanswered order")
	}
	if w := r.Handover.Engines[i].Wait; w < testWait-10*time.Millisecond {
		t.Errorf("the successor waits %v for an order that may be on its way, want %v", w, testWait)
	}
	time.Sleep(3 * orderTimeout)
	mu.Lock()
	defer mu.Unlock()
	if last.After(resigned) {
		t.Errorf("the order was sent again %v after the handover", last.Sub(resigned))
	}
}

// TestSmallNodesReadTheStoreLater guards against every node of a large fleet
// reading the store when all start at the same time. The large nodes read it for
// the others.
func TestSmallNodesReadTheStoreLater(t *testing.T) {
	f := newTestFleet(t)
	small, large := f.startSized("small", 0.1), f.start("large")
	if !small.IsStoreRelayed() {
		t.Error("a small node reads the store at once")
	}
	if large.IsStoreRelayed() {
		t.Error("a large node does not read the store at once")
	}
	small.mu.Lock()
	from := small.readStoreFrom
	small.mu.Unlock()
	if wait := time.Until(from); wait > maxStartDelay+maxStartSpread+extraReadDelay {
		t.Errorf("a small node reads the store %v after its start", wait)
	}
	large.kill()
	f.eventually("the small node reads the store", time.Until(from)+time.Second, func() bool { return !small.IsStoreRelayed() })
}

// TestReclaimKeepsTheWait guards against orders of two holders within a lease
// time. A node that restarts and reclaims its lease may have died while it was
// still waiting after the orders of another node.
func TestReclaimKeepsTheWait(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	e := election{Node: n.Node}
	since := time.Now()
	noted := func(in time.Duration) []byte {
		b, err := cbor.Marshal(leaseNote{OrdersIn: in})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, tc := range []struct {
		name   string
		tenure Tenure
		note   []byte
		want   time.Duration
	}{
		{name: "the first holder", tenure: Tenure{First: true}},
		{name: "after another node", tenure: Tenure{Former: "b"}, note: noted(0), want: testWait},
		{name: "its own, done waiting", tenure: Tenure{Former: "a"}, note: noted(0)},
		{name: "its own, still waiting", tenure: Tenure{Former: "a"}, note: noted(time.Second), want: time.Second},
		{name: "its own, with a note that is not readable", tenure: Tenure{Former: "a"}, note: []byte{0xff}, want: testWait},
	} {
		tc.tenure.Since = since
		if got := e.ordersFrom(tc.tenure, tc.note).Sub(since); got != tc.want {
			t.Errorf("%s: first order after %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestStartOfManyNodes guards against the herd of all nodes that start at once: 300
// nodes that compete for the lease within the same tenth of a second are 300 reads
// of the store, while most of them could learn who coordinates from another node.
func TestStartOfManyNodes(t *testing.T) {
	const nodes, large = 300, 15
	perTenth := map[time.Duration]int{}
	for i := range nodes {
		capacity := 0.144
		if i < large {
			capacity = 0.8
		}
		delay := startDelay(capacity, float64(i)/nodes)
		if capacity >= preferredCapacity && delay != 0 {
			t.Errorf("a large node waits %v", delay)
		}
		if capacity < preferredCapacity && delay < 400*time.Millisecond {
			t.Errorf("a small node competes after %v, before large ones have taken the lease", delay)
		}
		perTenth[delay.Truncate(100*time.Millisecond)]++
	}
	for at, n := range perTenth {
		if n > 40 {
			t.Errorf("%d of %d nodes compete in the tenth of a second after %v", n, nodes, at)
		}
	}
}

// TestRestartIgnoresOldViews guards against a withdrawn key or a departed endpoint
// that is in use again after a restart, because a node which is cut off from the
// store passes on what it still knows. If the store does not answer, an old view is
// used.
func TestRestartIgnoresOldViews(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name        string
		age         time.Duration
		storeSilent bool
		want        bool
	}{
		{name: "a recent view", age: 300 * time.Millisecond, want: true},
		{name: "an old view", age: time.Minute},
		{name: "an old view while the store does not answer", age: time.Minute, storeSilent: true, want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, way := range []string{"reply", "message"} {
				f := newTestFleet(t)
				n := f.prepare("a", 1)
				if tc.storeSilent {
					n.SetStoreState(errors.New("down"))
				}
				document := &Document{Version: 3, Packed: pack([]byte("3"))}
				listing := &Listing{Version: 5, Packed: packEntries([]fleet.Change{{
					Name:     "e",
					Version:  5,
					Endpoint: &fleet.Endpoint{ID: "e", Incarnation: 1, Service: "lm", Address: "10.0.0.1:80"},
				}})}
				sent := n.opts.Clock.Now()
				if way == "reply" {
					n.applyReply(ctx, sent, &Reply{Config: document, Listing: listing, ViewAge: tc.age}, "peer")
				} else {
					short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
					_, _ = n.HandleExchange(short, &Exchange{Node: "b", Address: "b", Config: document, Listing: listing, ViewAge: tc.age})
					cancel()
				}
				gotConfig := n.opts.Server.Config() != nil
				gotEndpoints := len(n.opts.Table.Endpoints()) > 0
				if gotConfig != tc.want || gotEndpoints != tc.want {
					t.Errorf("by %s: configuration used %v, endpoints used %v, want %v", way, gotConfig, gotEndpoints, tc.want)
				}
			}
		})
	}
}
