// Package soak runs entry processes of the users' platform as separate processes
// against a simulation of that platform, injects faults from outside them, and
// checks what callers and endpoints see against the guarantees.
//
// The seed determines the faults, which come in overlapping series. Callers keep
// their connections to a process until these fail. Times are
// wall-clock times, so two runs with the same seed have the same faults but not
// the same order of events.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/proxy"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// The bounds against which a run is checked. leaseBound, graceBound and quotaSlack
// are also in the settings of the processes.
const (
	leaseBound  = 3 * time.Second
	graceBound  = 8 * time.Second
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	// quotaSlack is small compared with the rates of the run, so that it does
	// not hide an exceeded rate.
	quotaSlack  = 1500
	configBound = 2 * time.Second
	// stablePeriod is how long a process must be undisturbed before rules with
	// a time bound apply to it.
	stablePeriod = 3 * time.Second
	// recoverBound is how long after the last fault requests may still fail.
	recoverBound = 12 * time.Second
)

const (
	// startTimeout is how long the processes may take until all of them are
	// ready.
	startTimeout = 15 * time.Second
	// recoveryWindow is how long requests are counted after recoverBound.
	recoveryWindow = 3 * time.Second
	// recoveredShare is the share of the requests in recoveryWindow that must
	// be served.
	recoveredShare = 0.9
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Program is the command of the entry process, including arguments that
	// precede its own.
	Program []string
	// Former is the command of another build, which every second process runs; empty for
	// none.
	Former []string
	// Env is added to the environment of the processes.
	Env []string
	// Dir is the directory for settings and logs.
	Dir string
	// Nodes is the number of entry processes, Callers the number of concurrent
	// callers.
	Nodes   int
	Callers int
	// Faults is the time in which faults are injected.
	Faults time.Duration
	// Incidents adds what two incidents consisted of: a configuration that grows while
	// the store turns processes away and links are slow, and a part of prompts that
	// crashes engines.
	Incidents bool
	// Statements adds endpoints that say that they leave or want no requests for a time.
	Statements bool
	// Limits adds endpoints that name how many requests per second they take.
	Limits bool
	// Crowds adds, to planned work, clients outside the limits, and endpoints whose answers
	// are none or are reset.
	Crowds bool
	// Restores adds restores of the store from a copy.
	Restores bool
	// Planned replaces the faults by planned work (stops, reloads, configurations) and
	// engines that are silent for a moment, in a deployment with three domains and streams
	// that may last longer than a stop. No request may be lost then.
	Planned bool
	// Progress receives a line for each fault; nil discards them.
	Progress io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Requests int
	Served   int
	Faults   int
	// Recovered and RecoveredServed count the requests of the recovery window that must
	// be served, and those that were.
	Recovered       int
	RecoveredServed int
	// Unserved counts the requests that were not served, by answer.
	Unserved map[string]int
	// Noted counts the requests without a whole or right answer that broke no guarantee, by
	// the reason.
	Noted map[string]int
	// Violations describes each violation of a guarantee.
	Violations []string
}

// run is the state of one soak run.
type run struct {
	opts   Options
	random *rand.Rand
	site   *site.Site
	// base is the configuration at the start, config the one that was written last.
	base   site.Config
	config site.Config
	began  time.Time

	nodes           []*node
	endpointProxies map[string]*proxy.Proxy // by endpoint
	closers         []func()

	mu                  sync.Mutex
	record              record
	faults              int
	deadly              deadlyPart // of the prompts, now
	restoring           sync.Mutex
	leaving             chan struct{} // holds an element for each endpoint that leaves
	storeDisturbedUntil time.Time     // end of the latest known disturbance of the store
	progress            io.Writer
}

// Run carries out one soak run.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{
		opts:            o,
		random:          rand.New(rand.NewPCG(o.Seed, o.Seed)),
		endpointProxies: make(map[string]*proxy.Proxy),
		progress:        o.Progress,
		base:            deployment(),
		leaving:         make(chan struct{}, maxLeaving),
	}
	if o.Planned {
		r.base = plannedDeployment()
	}
	r.config = r.base
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.runCaller(callCtx, i) })
	}
	var incidents sync.WaitGroup
	if o.Incidents && !o.Planned {
		incidents.Go(func() { r.injectIncidents(ctx) })
	}
	if o.Statements && !o.Planned {
		incidents.Go(func() { r.injectStatements(ctx) })
	}
	if o.Limits {
		incidents.Go(func() { r.injectLimits(ctx) })
	}
	if o.Restores && !o.Planned {
		incidents.Go(func() { r.injectRestores(ctx) })
	}
	if o.Planned {
		callers.Go(func() { r.watchItself(callCtx) })
		r.injectPlanned(ctx)
	} else {
		r.inject(ctx)
	}
	incidents.Wait()
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	recoveredAt := time.Now()
	sleep(ctx, r.recoverBound()+recoveryWindow)
	stopCalls()
	callers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	out := r.evaluate(recoveredAt)
	return out, r.writeTimelines(out.Violations)
}

// recoverBound returns how long after the last fault requests may still fail. Planned work
// leaves nothing to recover from but the restart of a process.
func (r *run) recoverBound() time.Duration {
	if r.opts.Planned {
		return stablePeriod
	}
	return recoverBound
}

// deployment is the sample configuration with more models than fit into the
// engines, so that orders are sent all the time.
func deployment() site.Config {
	c := site.SampleConfig()
	e := c.Services[0].Engine
	for _, name := range []string{"lanes", "judge", "juniors"} {
		m := e.Models[0]
		m.Name = name
		e.Models = append(e.Models, m)
	}
	return c
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// start starts the simulated platform and the processes and waits until all are
// ready.
func (r *run) start(ctx context.Context) error {
	s, release, err := site.Start(site.Layout{
		Config:            r.config,
		Domains:           r.domains(),
		Endpoints:         map[string]int{"assistant": r.engineCount(), "booking": r.plainCount(), spareService: r.plainCount()},
		EventInterval:     r.eventInterval(),
		HeartbeatInterval: 600 * time.Millisecond,
		OnAlive:           r.setEndpointAlive,
		AdvertisedAddress: func(id, address string) (string, error) {
			p, closeProxy, err := proxy.New(address)
			if err != nil {
				return "", err
			}
			r.endpointProxies[id] = p
			r.closers = append(r.closers, closeProxy)
			return p.Addr(), nil
		},
	})
	if err != nil {
		return err
	}
	r.site = s
	r.closers = append(r.closers, release)
	for i := range r.opts.Nodes {
		n, err := r.newNode(i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTimeout); ; {
		ready := 0
		for _, n := range r.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			r.began = time.Now()
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("soak: %d of %d processes are ready after %v", ready, len(r.nodes), startTimeout)
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// engineCount returns the number of engines. With prompts that crash engines there are
// more, so that some are up at any time.
func (r *run) engineCount() int {
	switch {
	case r.opts.Planned:
		// More callers than the engines can queue would be refused all the time.
		return max(plannedEngines, r.opts.Callers/callersPerEngine)
	case r.opts.Incidents:
		return 8
	}
	return 4
}

func (r *run) plainCount() int {
	if r.opts.Planned {
		return plannedPlain
	}
	return 2
}

func (r *run) eventInterval() time.Duration {
	if r.opts.Planned {
		return plannedEventInterval
	}
	return 10 * time.Millisecond
}

func (r *run) domains() []string {
	domains := []string{"north", formerDomain}
	if r.opts.Planned {
		domains = append(domains, "west")
	}
	return domains
}

func (r *run) logf(format string, args ...any) {
	if r.progress != nil {
		fmt.Fprintf(r.progress, "%6.2f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *run) file(name string) string { return filepath.Join(r.opts.Dir, name) }

func (r *run) create(name string) (*os.File, error) {
	return os.OpenFile(r.file(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
