package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/plain"
	"trefoildale.example/trefoildale/internal/fake/weight"
	"trefoildale.example/trefoildale/internal/local"
	"trefoildale.example/trefoildale/internal/node"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/route"
)

// The baselines that a run can use instead of the planner and the router.
const (
	BaselineStatic           = "static"
	BaselineLRU              = "lru"
	BaselineRandom           = "random"
	BaselineLeastConnections = "least-connections"
)

// Options are the settings of a run.
type Options struct {
	// Baseline is empty for the product itself.
	Baseline string
	// Progress gets a line for each step; nil means none.
	Progress io.Writer
}

// Validate reports an unknown baseline.
func (o Options) Validate() error {
	switch o.Baseline {
	case "", BaselineStatic, BaselineLRU, BaselineRandom, BaselineLeastConnections:
		return nil
	}
	return fmt.Errorf("baseline %q is none of static, lru, random, least-connections", o.Baseline)
}

const (
	// drainTimeout bounds the wait for the answers after the last arrival. It
	// is longer than the on-demand deadline of a model.
	drainTimeout = 40 * time.Second
	// keyWait bounds the wait until every node knows the keys of the run.
	keyWait = 10 * time.Second
	// keySettle is how long every node may take to learn of the last key.
	keySettle = 2 * time.Second
	// sampleEvery is the interval of the readings of the stand-ins.
	sampleEvery = time.Second
)

// Run runs a scenario. With CompareWithout it runs twice.
func Run(ctx context.Context, s *Scenario, opts Options) (*Result, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	res, err := runOnce(ctx, s, opts)
	if err != nil || s.CompareWithout == "" {
		return res, err
	}
	without := *s
	without.CompareWithout = ""
	without.Load = slices.Clone(s.Load)
	quiet := s.CompareWithout
	arrivals := slices.DeleteFunc(s.Arrivals(), func(a Arrival) bool { return a.Workspace == quiet })
	base, err := runArrivals(ctx, &without, arrivals, opts)
	if err != nil {
		return nil, err
	}
	res.compare(quiet, base)
	return res, nil
}

func runOnce(ctx context.Context, s *Scenario, opts Options) (*Result, error) {
	return runArrivals(ctx, s, s.Arrivals(), opts)
}

func runArrivals(ctx context.Context, s *Scenario, arrivals []Arrival, opts Options) (*Result, error) {
	r := &run{
		s:        s,
		opts:     opts,
		arrivals: arrivals,
	}
	defer r.close()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	r.progress("%s: %d requests in %s", s.Name, len(arrivals), time.Duration(s.WarmUp+s.Duration))
	if err := r.send(ctx); err != nil {
		return nil, err
	}
	return r.result(), nil
}

// entryNode is an entry node that callers may turn to.
type entryNode struct {
	name   string
	domain string
	node   *node.Node
}

// run is one run of a scenario.
type run struct {
	s        *Scenario
	opts     Options
	arrivals []Arrival
	fleet    *local.Fleet
	network  *local.Network
	caller   *caller
	stops    []func()
	begin    time.Time

	mu      sync.Mutex
	nodes   []entryNode
	records []Record
	events  []Event
	samples []sample
	// added counts the nodes that faults have added, for their names.
	added int
}

// sample is a reading of the stand-ins.
type sample struct {
	at      time.Duration
	engines model.Stats
}

func (r *run) progress(format string, args ...any) {
	if r.opts.Progress != nil {
		fmt.Fprintf(r.opts.Progress, format+"\n", args...)
	}
}

func (r *run) close() {
	for i := len(r.stops) - 1; i >= 0; i-- {
		r.stops[i]()
	}
}

func (r *run) startFleet(ctx context.Context) error {
	config := r.s.Fleet.Config
	config.Endpoints = slices.Clone(config.Endpoints)
	r.network = local.NewNetwork()
	opts := local.Options{
		Config:         &config,
		NodesPerDomain: 1,
		Engine:         r.s.Fleet.Engine.options(),
		Weights: weight.Options{
			LoadsPerSecond: config.Limits.WeightLoadsPerSecond,
			Parallel:       config.Limits.WeightLoadsParallel,
			MiBPerSecond:   r.s.Fleet.WeightsMiBPerSecond,
		},
		Plain:   plain.Options{Work: time.Duration(r.s.Fleet.ServiceWork)},
		Network: r.network,
	}
	switch r.opts.Baseline {
	case BaselineStatic:
		opts.Policy = func() place.Policy { return place.NewStatic() }
	case BaselineLRU:
		opts.Policy = func() place.Policy { return place.NewLRU() }
	case BaselineRandom:
		opts.Picker = func(t *route.Table) route.Picker { return route.Random{Table: t} }
	case BaselineLeastConnections:
		opts.Picker = func(t *route.Table) route.Picker { return route.LeastConnections{Table: t} }
	}
	f, stop, err := local.Start(opts)
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	r.fleet = f
	r.stops = append(r.stops, stop)
	for i, d := range config.Domains {
		r.nodes = append(r.nodes, entryNode{
			name:   d.Name + "-1",
			domain: d.Name,
			node:   f.Nodes[i],
		})
	}
	for _, n := range r.s.Fleet.Nodes {
		for i := 1; i < n.Count; i++ {
			if err := r.addNode(fmt.Sprintf("%s-%d", n.Domain, i+1), n.Domain); err != nil {
				return err
			}
		}
	}
	if err := r.addKeys(ctx); err != nil {
		return err
	}
	return r.awaitPlacement(ctx)
}

// A new planner waits 10.5 s, at endpoints without fencing 33 s, before it
// loads a model. The load begins after that, when the first placement is done.
const (
	placementQuiet = 3 * time.Second
	placementMost  = 60 * time.Second
)

// awaitPlacement waits until loads have begun and none has for a while.
func (r *run) awaitPlacement(ctx context.Context) error {
	end := time.Now().Add(placementMost)
	var loads int64
	changed := time.Now()
	for time.Now().Before(end) {
		now := int64(0)
		for _, e := range r.fleet.Engines {
			now += e.Stats().Loads
		}
		if now != loads {
			loads, changed = now, time.Now()
		}
		if loads > 0 && time.Since(changed) > placementQuiet {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (r *run) addNode(name, domain string) error {
	n, err := r.fleet.AddNode(name, domain)
	if err != nil {
		return fmt.Errorf("add node %s: %w", name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, entryNode{
		name:   name,
		domain: domain,
		node:   n,
	})
	return nil
}

// addKeys makes a key for each workspace and waits until all nodes know them.
func (r *run) addKeys(ctx context.Context) error {
	keys := map[string]string{}
	for _, w := range r.s.Fleet.Config.Workspaces {
		secret, err := r.fleet.AddKey(ctx, "load-"+w.Name, w.Name)
		if err != nil {
			return fmt.Errorf("add a key for %s: %w", w.Name, err)
		}
		keys[w.Name] = secret
	}
	c, release := newCaller(r.target, keys)
	r.caller = c
	r.stops = append(r.stops, release)
	deadline := time.Now().Add(keyWait)
	for _, n := range r.nodes {
		for w, key := range keys {
			for !knows(ctx, n.node.CallersAddr, key) {
				if time.Now().After(deadline) || ctx.Err() != nil {
					return fmt.Errorf("node %s does not know the key of %s after %s", n.name, w, keyWait)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(keySettle)
	return nil
}

func knows(ctx context.Context, address, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// target picks among the ready nodes, as a load balancer does. Skewed requests
// go to the first node as long as it is ready.
func (r *run) target(a *Arrival, try int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := make([]string, 0, 16)
	for _, n := range r.nodes {
		if n.node.Ready() {
			ready = append(ready, n.node.CallersAddr)
		}
	}
	if len(ready) == 0 {
		return r.nodes[0].node.CallersAddr
	}
	i := 0
	if !a.Skewed {
		i = int(a.Spread % uint64(len(ready)))
	}
	return ready[(i+try)%len(ready)]
}

// send sends each request at its time and waits for the answers.
func (r *run) send(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.records = make([]Record, len(r.arrivals))
	r.begin = time.Now()
	var side sync.WaitGroup
	sideCtx, stopSide := context.WithCancel(ctx)
	defer side.Wait()
	defer stopSide()
	side.Go(func() { r.sampleUntil(sideCtx) })
	side.Go(func() { r.runFaults(sideCtx) })

	var all sync.WaitGroup
	for i := range r.arrivals {
		a := &r.arrivals[i]
		if !sleepUntil(ctx, r.begin.Add(a.At)) {
			all.Wait()
			return ctx.Err()
		}
		all.Go(func() {
			sent := time.Since(r.begin)
			rec := r.caller.do(ctx, a)
			rec.Sent = sent
			r.records[i] = rec
		})
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
		cancel()
		<-done
	case <-ctx.Done():
		<-done
		return ctx.Err()
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) sampleUntil(ctx context.Context) {
	for n := 0; ; n++ {
		r.takeSample()
		if !sleepUntil(ctx, r.begin.Add(time.Duration(n+1)*sampleEvery)) {
			return
		}
	}
}

func (r *run) takeSample() {
	sum := r.engineStats()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{
		at:      time.Since(r.begin),
		engines: sum,
	})
}

// engineStats adds up the counters of all engines.
func (r *run) engineStats() model.Stats {
	var sum model.Stats
	for _, e := range r.fleet.Engines {
		st := e.Stats()
		sum.Requests += st.Requests
		sum.Tokens += st.Tokens
		sum.RepeatedIDs += st.RepeatedIDs
		sum.KeysSeen += st.KeysSeen
		sum.LateRequests += st.LateRequests
		sum.Loads += st.Loads
		sum.AdapterLoads += st.AdapterLoads
		sum.Overcommits += st.Overcommits
		sum.CacheHits += st.CacheHits
		sum.PrefillTokens += st.PrefillTokens
	}
	return sum
}
