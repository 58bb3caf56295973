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
	// Baseline replaces the planner or the router; empty means the product's
	// own.
	Baseline string
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer
}

// Validate returns an error for an unknown baseline.
func (o Options) Validate() error {
	switch o.Baseline {
	case "", BaselineStatic, BaselineLRU, BaselineRandom, BaselineLeastConnections:
		return nil
	}
	return fmt.Errorf("baseline %q is none of static, lru, random, least-connections", o.Baseline)
}

const (
	// drainTimeout bounds the wait for answers after the last arrival. It is
	// longer than the on-demand deadline of a model.
	drainTimeout = 40 * time.Second
	// keyTimeout bounds the wait until every node accepts the keys of the run.
	keyTimeout = 10 * time.Second
	// keyPropagationDelay is the time for the last key to reach all nodes.
	keyPropagationDelay = 2 * time.Second
	// sampleInterval is the interval at which the counters of the stand-ins are
	// sampled.
	sampleInterval = time.Second
)

// Run runs a scenario. With CompareWithout set, it runs the scenario a second
// time without the load of that workspace and compares the latencies of the
// others.
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
	excluded := s.CompareWithout
	arrivals := slices.DeleteFunc(s.Arrivals(), func(a Arrival) bool { return a.Workspace == excluded })
	reference, err := runArrivals(ctx, &without, arrivals, opts)
	if err != nil {
		return nil, err
	}
	res.compare(excluded, reference)
	return res, nil
}

func runOnce(ctx context.Context, s *Scenario, opts Options) (*Result, error) {
	return runArrivals(ctx, s, s.Arrivals(), opts)
}

func runArrivals(ctx context.Context, s *Scenario, arrivals []Arrival, opts Options) (*Result, error) {
	r := &run{
		scenario: s,
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
	return r.evaluate(), nil
}

// entryNode is an entry node that gets requests.
type entryNode struct {
	name   string
	domain string
	node   *node.Node
}

// run is the state of one run of a scenario.
type run struct {
	scenario *Scenario
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
	// added is the number of nodes that faults added; it makes their names
	// unique.
	added int
}

// sample holds the counters of all engines at one time.
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
	config := r.scenario.Fleet.Config
	config.Endpoints = slices.Clone(config.Endpoints)
	r.network = local.NewNetwork()
	opts := local.Options{
		Config:         &config,
		NodesPerDomain: 1,
		Engine:         r.scenario.Fleet.Engine.options(),
		Weights: weight.Options{
			LoadsPerSecond: config.Limits.WeightLoadsPerSecond,
			Parallel:       config.Limits.WeightLoadsParallel,
			MiBPerSecond:   r.scenario.Fleet.WeightsMiBPerSecond,
		},
		Plain:   plain.Options{Work: time.Duration(r.scenario.Fleet.ServiceWork)},
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
		return fmt.Errorf("start fleet: %w", err)
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
	for _, n := range r.scenario.Fleet.Nodes {
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

// Bounds of the wait for the first placement, after which the load begins. A new
// planner loads models only after 10.5 s, or 33 s at endpoints without fencing.
const (
	placementQuiet   = 3 * time.Second
	placementTimeout = 60 * time.Second
)

// awaitPlacement waits until engines have loaded models and the number of loads
// has not changed for placementQuiet. After placementTimeout the run starts
// anyway.
func (r *run) awaitPlacement(ctx context.Context) error {
	end := time.Now().Add(placementTimeout)
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

// addKeys creates a key for each workspace and waits until all nodes accept all
// keys.
func (r *run) addKeys(ctx context.Context) error {
	keys := map[string]string{}
	for _, w := range r.scenario.Fleet.Config.Workspaces {
		secret, err := r.fleet.AddKey(ctx, "load-"+w.Name, w.Name)
		if err != nil {
			return fmt.Errorf("add key for workspace %s: %w", w.Name, err)
		}
		keys[w.Name] = secret
	}
	c, release := newCaller(r.pickAddress, keys)
	r.caller = c
	r.stops = append(r.stops, release)
	deadline := time.Now().Add(keyTimeout)
	for _, n := range r.nodes {
		for w, key := range keys {
			for !acceptsKey(ctx, n.node.CallersAddr, key) {
				if time.Now().After(deadline) || ctx.Err() != nil {
					return fmt.Errorf("node %s does not accept the key of workspace %s after %s", n.name, w, keyTimeout)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(keyPropagationDelay)
	return nil
}

func acceptsKey(ctx context.Context, address, key string) bool {
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

// pickAddress selects one of the ready nodes, as a load balancer does. Skewed
// requests go to the first ready node.
func (r *run) pickAddress(a *Arrival, try int) string {
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
		i = int(a.NodeChoice % uint64(len(ready)))
	}
	return ready[(i+try)%len(ready)]
}

// send sends each request at its arrival time and waits for the answers.
func (r *run) send(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.records = make([]Record, len(r.arrivals))
	r.begin = time.Now()
	var background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer background.Wait()
	defer stopBackground()
	background.Go(func() { r.sampleUntil(backgroundCtx) })
	background.Go(func() { r.runFaults(backgroundCtx) })

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
		if !sleepUntil(ctx, r.begin.Add(time.Duration(n+1)*sampleInterval)) {
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

// engineStats returns the sums of the counters of all engines.
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
