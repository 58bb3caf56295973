// Package soak runs entry processes of the users' platform as separate processes
// against a stand-in of that platform, injects faults from outside them, and
// compares what callers and endpoints see with what is promised.
//
// A run is drawn from its seed: faults come in series that overlap, and callers
// keep their connections until the process behind them is gone. Times are those
// of the machine, so that two runs of a seed have the same faults but not the
// same order of events.
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

	"trefoildale.example/trefoildale/internal/fake/cutter"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// The bounds that a run is judged by, as the processes' settings have them.
const (
	leaseBound  = 3 * time.Second
	graceBound  = 8 * time.Second
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	// quotaSlack is small against the rates of the run, so that one is exceeded
	// before the slack hides it.
	quotaSlack  = 1500
	configBound = 2 * time.Second
	// calmFor is how long nothing may have gone wrong before a rule with a time
	// bound holds.
	calmFor = 3 * time.Second
	// recoverBound is how long after the last fault requests must be served again.
	recoverBound = 12 * time.Second
)

const (
	// startWait is how long the processes may take until all are ready.
	startWait = 15 * time.Second
	// afterwards is how long requests are counted after recoverBound.
	afterwards = 3 * time.Second
	// recoveredPart is the part of them that must be served.
	recoveredPart = 0.9
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Program is the entry process, with the arguments before its own.
	Program []string
	// Env is added to the environment of the processes.
	Env []string
	// Dir is where settings and logs go.
	Dir string
	// Nodes is how many entry processes run, Callers how many callers ask.
	Nodes   int
	Callers int
	// Faults is for how long faults are injected.
	Faults time.Duration
	// Progress gets a line for each fault.
	Progress io.Writer
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Requests int
	Served   int
	Faults   int
	// Broken are the promises that were not kept.
	Broken []string
}

// run is a soak under way.
type run struct {
	o      Options
	random *rand.Rand
	site   *site.Site
	config site.Config
	began  time.Time

	nodes   []*node
	engines map[string]*cutter.Proxy // by endpoint
	closers []func()

	mu       sync.Mutex
	record   record
	faults   int
	disturb  time.Time // end of the last disturbance that is known
	progress io.Writer
}

// Run carries out one soak.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{
		o:        o,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		engines:  make(map[string]*cutter.Proxy),
		progress: o.Progress,
		config:   deployment(),
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.call(callCtx, i) })
	}
	r.inject(ctx)
	if err := r.heal(ctx); err != nil {
		return nil, err
	}
	healed := time.Now()
	sleep(ctx, recoverBound+afterwards)
	stopCalls()
	callers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.judge(healed), nil
}

// deployment is the sample with more models than the engines hold, so that orders
// are given all the time.
func deployment() site.Config {
	c := site.Sample()
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

// start runs the platform's stand-in and the processes until all are ready.
func (r *run) start(ctx context.Context) error {
	s, release, err := site.Start(site.Layout{
		Config:    r.config,
		Domains:   []string{"north", "south"},
		Endpoints: map[string]int{"assistant": 4, "booking": 2},
		Step:      10 * time.Millisecond,
		Beat:      600 * time.Millisecond,
		Between: func(id, address string) (string, error) {
			p, closeProxy, err := cutter.New(address)
			if err != nil {
				return "", err
			}
			r.engines[id] = p
			r.closers = append(r.closers, closeProxy)
			return p.Addr(), nil
		},
	})
	if err != nil {
		return err
	}
	r.site = s
	r.closers = append(r.closers, release)
	for i := range r.o.Nodes {
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
	for until := time.Now().Add(startWait); ; {
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
			return fmt.Errorf("soak: %d of %d processes are ready after %v", ready, len(r.nodes), startWait)
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
}

func (r *run) logf(format string, args ...any) {
	if r.progress != nil {
		fmt.Fprintf(r.progress, "%6.2f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *run) file(name string) string { return filepath.Join(r.o.Dir, name) }

func (r *run) create(name string) (*os.File, error) {
	return os.OpenFile(r.file(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
