package model_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/weight"
	"trefoildale.example/trefoildale/pkg/spec"
)

type testEngine struct {
	*model.Local
}

func start(t *testing.T, opts model.Options) testEngine {
	t.Helper()
	l, stop, err := model.Start(opts)
	must(t, err)
	t.Cleanup(stop)
	return testEngine{Local: l}
}

func resident(name string, mib int64) engine.Resident {
	return engine.Resident{
		Model:     name,
		Version:   "1",
		MemoryMiB: mib,
	}
}

func load(id, name string, mib, fence int64) engine.Order {
	return engine.Order{
		ID:        id,
		Fence:     engine.Fence{Counter: fence},
		Kind:      engine.OrderLoad,
		Model:     name,
		Version:   "1",
		MemoryMiB: mib,
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// order sends an order that must be accepted.
func (s testEngine) order(t *testing.T, o engine.Order) {
	t.Helper()
	_, err := s.Client.Order(context.Background(), s.Addr, o)
	must(t, err)
}

// waitForOrder waits until the order has ended.
func (s testEngine) waitForOrder(t *testing.T, id string) engine.OrderStatus {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		st, err := s.Client.OrderStatus(context.Background(), s.Addr, id)
		must(t, err)
		if st.Phase != engine.OrderRunning {
			return st
		}
	}
	t.Fatalf("order %s did not end", id)
	return engine.OrderStatus{}
}

func (s testEngine) complete(id, prompt string, maxTokens int, header http.Header) error {
	_, err := s.Client.Complete(context.Background(), engine.Call{
		Address:   s.Addr,
		Method:    http.MethodPost,
		Path:      "/v1/completions",
		Header:    header,
		Body:      fmt.Appendf(nil, `{"model":"m","prompt":%q,"max_tokens":%d}`, prompt, maxTokens),
		RequestID: id,
	})
	return err
}

// TestOrders guards against orders that are executed instead of refused and
// against wrong violation counters. Tests of the planner rely on both.
func TestOrders(t *testing.T) {
	type sent struct {
		order engine.Order
		code  string
	}
	expired := load("o1", "a", 100, 1)
	expired.Deadline = time.Now().Add(-time.Second)
	tests := []struct {
		name  string
		opts  model.Options
		sent  []sent
		stats model.Stats
	}{
		{
			name: "stale fence",
			opts: model.Options{Fencing: true},
			sent: []sent{
				{order: load("o1", "a", 100, 5)},
				{order: load("o2", "b", 100, 4), code: engine.CodeStaleFence},
				{order: load("o3", "b", 100, 5)},
			},
			stats: model.Stats{Orders: 2, Loads: 2, StaleFence: 1, UsedMiB: 200, PeakMiB: 200},
		},
		{
			name: "fence ignored",
			sent: []sent{
				{order: load("o1", "a", 100, 5)},
				{order: load("o2", "b", 100, 4)},
			},
			stats: model.Stats{Orders: 2, Loads: 2, UsedMiB: 200, PeakMiB: 200},
		},
		{
			name: "duplicate",
			sent: []sent{
				{order: load("o1", "a", 100, 1)},
				{order: load("o1", "a", 100, 1)},
			},
			stats: model.Stats{Orders: 1, Loads: 1, UsedMiB: 100, PeakMiB: 100},
		},
		{
			name: "no memory",
			opts: model.Options{MemoryMiB: 150, CheckMemory: true},
			sent: []sent{
				{order: load("o1", "a", 100, 1)},
				{order: load("o2", "b", 100, 1), code: engine.CodeNoMemory},
			},
			stats: model.Stats{Orders: 1, Loads: 1, NoMemory: 1, UsedMiB: 100, PeakMiB: 100},
		},
		{
			name: "overcommit is counted",
			opts: model.Options{MemoryMiB: 150},
			sent: []sent{
				{order: load("o1", "a", 100, 1)},
				{order: load("o2", "b", 100, 1)},
			},
			stats: model.Stats{Orders: 2, Loads: 2, Overcommits: 1, UsedMiB: 200, PeakMiB: 200},
		},
		{
			name: "unload",
			opts: model.Options{Resident: []engine.Resident{resident("a", 100)}},
			sent: []sent{
				{order: engine.Order{ID: "o1", Kind: engine.OrderUnload, Model: "a", Version: "1"}},
			},
			stats: model.Stats{Orders: 1, PeakMiB: 100},
		},
		{
			name: "deadline passed",
			opts: model.Options{Deadlines: true},
			sent: []sent{
				{order: expired, code: engine.CodeDeadline},
			},
			stats: model.Stats{DeadlinePassed: 1},
		},
		{
			name: "adapter without its model",
			sent: []sent{
				{
					order: engine.Order{ID: "o1", Kind: engine.OrderLoadAdapter, Model: "a", Adapter: "x"},
					code:  engine.CodeNotResident,
				},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, tt.opts)
			for _, o := range tt.sent {
				_, err := s.Client.Order(context.Background(), s.Addr, o.order)
				if o.code == "" {
					must(t, err)
					if st := s.waitForOrder(t, o.order.ID); st.Phase != engine.OrderDone {
						t.Errorf("order status %+v, want done", st)
					}
					continue
				}
				var status *engine.StatusError
				if !errors.As(err, &status) || status.Code != o.code || !status.NotRun {
					t.Errorf("got %v, want code %s and not run", err, o.code)
				}
			}
			if got := s.Stats(); got != tt.stats {
				t.Errorf("got  %+v\nwant %+v", got, tt.stats)
			}
		})
	}
}

// TestUnloadWaits guards against an unload that ends a running request or admits
// new ones.
func TestUnloadWaits(t *testing.T) {
	s := start(t, model.Options{Resident: []engine.Resident{resident("m", 100)}})
	ended := make(chan error, 1)
	go func() { ended <- s.complete("r", "p", 20, nil) }()
	for s.Stats().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	s.order(t, engine.Order{
		ID:      "o",
		Kind:    engine.OrderUnload,
		Model:   "m",
		Version: "1",
	})
	var status *engine.StatusError
	if err := s.complete("r2", "p", 1, nil); !errors.As(err, &status) || status.Code != engine.CodeNotResident {
		t.Errorf("a request during the unload got %v", err)
	}
	s.waitForOrder(t, "o")
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("the unload ended before the request")
	}
}

// TestFreeze guards against a frozen engine that continues to generate tokens.
func TestFreeze(t *testing.T) {
	s := start(t, model.Options{Resident: []engine.Resident{resident("m", 100)}})
	ended := make(chan error, 1)
	go func() { ended <- s.complete("r", "p", 20, nil) }()
	for s.Stats().Tokens == 0 {
		time.Sleep(time.Millisecond)
	}
	must(t, s.Faults().Add(fault.Fault{Kind: fault.Freeze}))
	// A step in progress may still complete.
	time.Sleep(40 * time.Millisecond)
	before := s.Stats().Tokens
	time.Sleep(50 * time.Millisecond)
	if after := s.Stats().Tokens; after != before {
		t.Errorf("tokens rose from %d to %d within 50 ms of the freeze", before, after)
	}
	s.Faults().Clear(fault.Freeze)
	must(t, <-ended)
}

// TestLateOrder guards against an order with the fault LateOrders that is answered,
// runs early or is lost. Tests of the planner use the fault to delay orders.
func TestLateOrder(t *testing.T) {
	s := start(t, model.Options{})
	must(t, s.Faults().Add(fault.Fault{Kind: fault.LateOrders, Count: 1, Delay: spec.Duration(300 * time.Millisecond)}))
	var broken *engine.BadResponseError
	if _, err := s.Client.Order(context.Background(), s.Addr, load("o", "a", 1, 1)); !errors.As(err, &broken) {
		t.Errorf("got %v, want *BadResponseError", err)
	}
	st, err := s.Client.OrderStatus(context.Background(), s.Addr, "o")
	if err != nil || st.Phase != engine.OrderUnknown {
		t.Errorf("before it arrives: got %+v, %v", st, err)
	}
	for s.Stats().Orders == 0 {
		time.Sleep(time.Millisecond)
	}
	if st := s.waitForOrder(t, "o"); st.Phase != engine.OrderDone {
		t.Errorf("after it arrived: got %+v", st)
	}
}

// TestWeights guards against loads that bypass the weight store's limits.
func TestWeights(t *testing.T) {
	w, stop, err := weight.Start(weight.Options{
		LoadsPerSecond: 20,
		Parallel:       1,
		MiBPerSecond:   500,
	})
	must(t, err)
	defer stop()
	s := start(t, model.Options{Weights: w.URL})
	begin := time.Now()
	for i := range 4 {
		id := fmt.Sprint(i)
		s.order(t, load(id, id, 50, 1))
	}
	for i := range 4 {
		if st := s.waitForOrder(t, fmt.Sprint(i)); st.Phase != engine.OrderDone {
			t.Errorf("got %+v", st)
		}
	}
	if took := time.Since(begin); took < 400*time.Millisecond {
		t.Errorf("4 loads of 100 ms, one at once, took %v", took)
	}
	if got := w.Stats(); got.Loads != 4 || got.Waited < 3 {
		t.Errorf("got %+v", got)
	}
	must(t, w.Faults().Add(fault.Fault{Kind: fault.Refuse}))
	s.order(t, load("x", "x", 50, 1))
	if st := s.waitForOrder(t, "x"); st.Phase != engine.OrderFailed {
		t.Errorf("without weights: got %+v", st)
	}
	if got := s.Stats().UsedMiB; got != 200 {
		t.Errorf("a failed load keeps memory: %d MiB in use", got)
	}
}

// TestBatch guards the timing that load tests measure: running requests share the
// speed of the engine, and a request of higher priority is served first.
func TestBatch(t *testing.T) {
	s := start(t, model.Options{
		Speed:       400,
		StreamSpeed: 400,
		MaxRunning:  2,
		Resident:    []engine.Resident{resident("m", 100)},
	})
	begin := time.Now()
	var ended [3]time.Duration
	var all sync.WaitGroup
	for i, class := range []string{"deferrable", "normal", "interactive"} {
		all.Go(func() {
			if err := s.complete(class, "p", 80, http.Header{"X-Priority": {class}}); err != nil {
				t.Error(err)
			}
			ended[i] = time.Since(begin)
		})
		for s.Stats().Requests == int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	all.Wait()
	// 240 tokens at 400 per second take 600 ms, however they are shared.
	if total := max(ended[0], ended[1], ended[2]); total < 590*time.Millisecond {
		t.Errorf("240 tokens took %v", total)
	}
	if ended[2] >= ended[0] {
		t.Errorf("the interactive request ended after %v, the deferrable one after %v", ended[2], ended[0])
	}
}

// TestPrefixCache guards the cache that tests of prefix affinity rely on: its hits,
// its bound, and events that are delayed and have gaps.
func TestPrefixCache(t *testing.T) {
	s := start(t, model.Options{
		Speed:       10_000,
		StreamSpeed: 10_000,
		CacheTokens: 128,
		CacheLag:    300 * time.Millisecond,
		CacheGap:    3,
		Resident:    []engine.Resident{resident("m", 100)},
	})
	events := func(after int64) []engine.CacheEvent {
		out, err := s.Client.CacheEvents(context.Background(), s.Addr, after)
		must(t, err)
		return out
	}
	prompt := strings.Repeat("a", 2*engine.PrefixBlockBytes)
	for i := range 2 {
		must(t, s.complete(fmt.Sprint(i), prompt, 1, nil))
	}
	if got := s.Stats().CacheHits; got != 128 {
		t.Errorf("%d tokens were cached, want 128", got)
	}
	must(t, s.complete("other", strings.Repeat("b", engine.PrefixBlockBytes), 1, nil))
	if got := events(2); len(got) != 0 {
		t.Errorf("events without lag: %+v", got)
	}
	time.Sleep(350 * time.Millisecond)
	names := engine.Prefixes("m", prompt)
	// Event 3 is lost; event 4 evicts the least recently used block.
	got := events(0)
	if len(got) != 3 || got[0].Prefix != names[0] || got[2].Seq != 4 || !got[2].Evicted {
		t.Errorf("got events %+v", got)
	}
}

// TestAdapters guards the load times of adapters, which grow in proportion when
// more than AdapterParallel load at once, and requests for one that is not resident.
func TestAdapters(t *testing.T) {
	s := start(t, model.Options{
		AdapterMin:      10 * time.Millisecond,
		AdapterMax:      10 * time.Millisecond,
		AdapterParallel: 4,
		Resident:        []engine.Resident{resident("m", 100)},
	})
	begin := time.Now()
	for i := range 16 {
		s.order(t, engine.Order{
			ID:      fmt.Sprint(i),
			Kind:    engine.OrderLoadAdapter,
			Model:   "m",
			Adapter: fmt.Sprint(i),
		})
	}
	for i := range 16 {
		s.waitForOrder(t, fmt.Sprint(i))
	}
	if took := time.Since(begin); took < 20*time.Millisecond {
		t.Errorf("16 adapters with a limit of 4 took %v", took)
	}
	if err := s.complete("r", "p", 1, http.Header{"X-Adapter": {"3"}}); err != nil {
		t.Error(err)
	}
	if err := s.complete("r2", "p", 1, http.Header{"X-Adapter": {"none"}}); err == nil {
		t.Error("an adapter that is not resident was used")
	}
}

// TestKeySeen guards the counter by which other tests detect that a caller's key
// was forwarded to an endpoint.
func TestKeySeen(t *testing.T) {
	s := start(t, model.Options{})
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr+"/load", nil)
	must(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	res, err := http.DefaultClient.Do(req)
	must(t, err)
	res.Body.Close()
	if res.StatusCode != http.StatusBadRequest || s.Stats().KeysSeen != 1 {
		t.Errorf("status %d, counted %d", res.StatusCode, s.Stats().KeysSeen)
	}
}

// TestReports guards the lag of load reports, the leaving flag, and the state
// after a restart.
func TestReports(t *testing.T) {
	s := start(t, model.Options{
		ReportLag: 300 * time.Millisecond,
		Resident:  []engine.Resident{resident("m", 100)},
	})
	report := func() engine.Load {
		l, err := s.Client.LoadReport(context.Background(), s.Addr)
		must(t, err)
		return l
	}
	first := report()
	s.SetLeaving(true)
	if got := report(); got != first {
		t.Errorf("the report changed within its lag: %+v", got)
	}
	time.Sleep(350 * time.Millisecond)
	must(t, s.Faults().Add(fault.Fault{Kind: fault.StaleReports, Count: 1}))
	if got := report(); got != first {
		t.Errorf("a stale report changed: %+v", got)
	}
	if got := report(); !got.Leaving {
		t.Errorf("got %+v, want leaving", got)
	}
	before, err := s.Client.State(context.Background(), s.Addr)
	must(t, err)
	s.Restart()
	after, err := s.Client.State(context.Background(), s.Addr)
	must(t, err)
	if after.Incarnation == before.Incarnation || len(before.Resident) != 1 || len(after.Resident) != 0 {
		t.Errorf("before %+v, after %+v", before, after)
	}
}
