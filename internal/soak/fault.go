package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/proxy"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// faultKind is a kind of fault. Its inject function returns when the fault is
// over or the context ends.
type faultKind struct {
	name string
	// disturbsStore marks faults that affect the platform's store for all
	// nodes.
	disturbsStore bool
	inject        func(ctx context.Context, r *run, c faultParams)
}

// faultParams are the randomly drawn parameters of one fault.
type faultParams struct {
	node     *node
	endpoint int
	severity float64
	duration time.Duration
	variant  int
}

// faultKinds lists all faults that a run may inject.
var faultKinds = []faultKind{
	{name: "kill", inject: func(ctx context.Context, r *run, c faultParams) {
		r.restart(ctx, c.node, syscall.SIGKILL, c.duration/2)
	}},
	{name: "stop", inject: func(ctx context.Context, r *run, c faultParams) {
		r.restart(ctx, c.node, syscall.SIGTERM, 200*time.Millisecond)
	}},
	{name: "pause", inject: func(ctx context.Context, r *run, c faultParams) { r.suspend(ctx, c.node, c.duration) }},
	{name: "reload", inject: func(ctx context.Context, r *run, c faultParams) { r.reloadReady(ctx, c.node) }},
	{name: "peers", inject: func(ctx context.Context, r *run, c faultParams) {
		c.disturbLink(ctx, c.node.peers)
		r.noteRecovery(c.node.name)
	}},
	{name: "store-of-one", inject: func(ctx context.Context, r *run, c faultParams) {
		c.disturbLink(ctx, c.node.store)
		r.noteRecovery(c.node.name)
	}},
	{name: "store-refuses-one", inject: func(ctx context.Context, r *run, c faultParams) {
		c.node.beginDisturbance()
		defer c.node.endDisturbance()
		r.storeFault(ctx, c.node.name, c, site.StoreFaults{
			Outage: []site.Outage{site.Busy, site.RateLimited, site.Reset, site.Silent}[c.variant%4],
		})
	}},
	{name: "store-down", disturbsStore: true, inject: func(ctx context.Context, r *run, c faultParams) {
		r.storeFault(ctx, "", c, site.StoreFaults{
			Outage: []site.Outage{site.Busy, site.Reset, site.Silent}[c.variant%3],
		})
	}},
	{name: "store-slow", disturbsStore: true, inject: func(ctx context.Context, r *run, c faultParams) {
		r.storeFault(ctx, "", c, site.StoreFaults{
			Delay: time.Duration(c.severity * float64(400*time.Millisecond)),
		})
	}},
	{name: "store-loses-answers", disturbsStore: true, inject: func(ctx context.Context, r *run, c faultParams) {
		f := site.StoreFaults{
			LostWriteRatio: 0.2 + 0.3*c.severity,
		}
		if c.variant%2 == 0 {
			f.MaxWriteDelay = 3 * time.Second
		}
		r.storeFault(ctx, "", c, f)
	}},
	{name: "store-forgets", inject: func(_ context.Context, r *run, _ faultParams) { r.site.Store.DiscardHistory() }},
	{name: "endpoint-crash", inject: func(ctx context.Context, r *run, c faultParams) {
		e := r.site.Endpoints[c.endpoint]
		e.Crash()
		sleep(ctx, c.duration)
		e.Restart()
	}},
	{name: "endpoint-leaves", inject: func(ctx context.Context, r *run, c faultParams) {
		e := r.site.Endpoints[c.endpoint]
		r.noteDrain(e.ID())
		e.Drain(2500 * time.Millisecond)
		sleep(ctx, 3*time.Second+c.duration)
		e.Restart()
	}},
	{name: "endpoint-way", inject: func(ctx context.Context, r *run, c faultParams) {
		p := r.endpointLinks()[c.endpoint]
		id := r.site.Endpoints[c.endpoint].ID()
		r.noteInterruption(id)
		p.disturb(ctx, c)
		r.noteInterruption(id)
	}},
	{name: "answers-lost", inject: func(ctx context.Context, r *run, c faultParams) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			LostAnswerRatio: 0.05 + 0.3*c.severity,
		})
	}},
	{name: "endpoint-fails", inject: func(ctx context.Context, r *run, c faultParams) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			ErrorRatio: 0.1 + 0.5*c.severity,
		})
	}},
	{name: "endpoint-slow", inject: func(ctx context.Context, r *run, c faultParams) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			Slowdown: 2 + 6*c.severity,
		})
	}},
	{name: "orders-late", inject: func(ctx context.Context, r *run, c faultParams) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			MaxOrderDelay: 4 * time.Second,
		})
	}},
	{name: "rate", inject: func(_ context.Context, r *run, c faultParams) {
		r.changeConfig("rate of a workspace changed", func(x *site.Config) {
			t := &x.Tenants[c.variant%len(x.Tenants)]
			t.Rate = []float64{2000, 4000, 12_000, 20_000}[c.variant%4]
			t.Burst = t.Rate
		})
	}},
	{name: "key", inject: func(ctx context.Context, r *run, c faultParams) {
		key := fmt.Sprintf("key-%d", c.variant)
		r.changeConfig("key added", func(x *site.Config) { x.Tenants[0].Keys = append(x.Tenants[0].Keys, key) })
		if sleep(ctx, c.duration) {
			r.changeConfig("key withdrawn", func(x *site.Config) {
				x.Tenants[0].Keys = slices.DeleteFunc(x.Tenants[0].Keys, func(k string) bool { return k == key })
			})
		}
	}},
}

// restart ends a process with a signal, waits for the pause and starts it again.
func (r *run) restart(ctx context.Context, n *node, s syscall.Signal, pause time.Duration) {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	n.signal(s)
	if !n.waitExit(graceBound) {
		r.reportViolation("STOP: process %s still runs %v after %v", n.name, graceBound, s)
		n.signal(syscall.SIGKILL)
		n.waitExit(graceBound)
	}
	sleep(ctx, pause)
	if err := n.start(); err != nil {
		r.reportViolation("START: process %s: %v", n.name, err)
	}
}

// link is a network connection behind a proxy that can be disturbed.
type link struct{ *proxy.Proxy }

// endpointLinks returns the links to the endpoints, in the order of the
// endpoints.
func (r *run) endpointLinks() []link {
	out := make([]link, 0, len(r.site.Endpoints))
	for _, e := range r.site.Endpoints {
		out = append(out, link{r.endpointProxies[e.ID()]})
	}
	return out
}

// disturb cuts, freezes or delays a link, or drops the traffic of one direction,
// for the duration of the fault.
func (l link) disturb(ctx context.Context, c faultParams) {
	switch c.variant % 5 {
	case 0:
		l.Cut()
	case 1:
		l.Freeze()
	case 2:
		l.Drop(proxy.ToServer)
	case 3:
		l.Drop(proxy.ToClient)
	case 4:
		l.Delay(time.Duration(c.severity * float64(500*time.Millisecond)))
	}
	sleep(ctx, c.duration)
	// A proxy that cannot listen again would stay cut, which invalidates the run.
	if err := l.Heal(); err != nil {
		panic("soak: restore proxy: " + err.Error())
	}
}

// disturbLink disturbs a link of a node and marks the node as disturbed
// meanwhile.
func (c faultParams) disturbLink(ctx context.Context, p *proxy.Proxy) {
	c.node.beginDisturbance()
	link{p}.disturb(ctx, c)
	c.node.endDisturbance()
}

func (r *run) storeFault(ctx context.Context, client string, c faultParams, f site.StoreFaults) {
	r.site.Store.SetFaults(client, f)
	sleep(ctx, c.duration)
	r.site.Store.SetFaults(client, site.StoreFaults{})
}

func (r *run) endpointFault(ctx context.Context, c faultParams, f site.EndpointFaults) {
	e := r.site.Endpoints[c.endpoint]
	e.SetFaults(f)
	sleep(ctx, c.duration)
	e.SetFaults(site.EndpointFaults{})
}

// changeConfig writes a modified configuration to the store, with a higher
// version.
func (r *run) changeConfig(what string, f func(*site.Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.config
	c.Tenants = slices.Clone(c.Tenants)
	for i := range c.Tenants {
		c.Tenants[i].Keys = slices.Clone(c.Tenants[i].Keys)
	}
	c.Routes = slices.Clone(c.Routes)
	f(&c)
	c.Version += 1 + c.Version%3
	r.config = c
	if err := r.site.Store.SetConfig(c); err != nil {
		panic("soak: encode configuration: " + err.Error())
	}
	r.record.configs = append(r.record.configs, newWrittenConfig(time.Now(), c))
	r.logf("configuration %d: %s", c.Version, what)
}

const (
	// coordinatorShare is the share of fault series that target the process
	// that sent the last order.
	coordinatorShare = 0.35
	// longShare is the share of faults that last longer by longExtra, which is
	// most of the window in which rates are checked.
	longShare = 0.15
	longExtra = 5 * time.Second
)

// lastOrderHolder returns the process that sent the last order, or fallback if
// there was no order.
func (r *run) lastOrderHolder(fallback *node) *node {
	orders := r.site.Journal.Orders()
	if len(orders) == 0 {
		return fallback
	}
	for _, n := range r.nodes {
		if n.name == orders[len(orders)-1].Holder {
			return n
		}
	}
	return fallback
}

// inject starts randomly drawn faults for the configured time and waits until all
// of them have ended.
func (r *run) inject(ctx context.Context) {
	var all sync.WaitGroup
	for until := time.Now().Add(r.opts.Faults); time.Now().Before(until) && ctx.Err() == nil; {
		// The faults of a series have the same process and endpoint.
		c := faultParams{
			node:     r.nodes[r.random.IntN(len(r.nodes))],
			endpoint: r.random.IntN(len(r.site.Endpoints)),
		}
		if r.random.Float64() < coordinatorShare {
			c.node = r.lastOrderHolder(c.node)
		}
		for range 1 + r.random.IntN(3) {
			k := faultKinds[r.random.IntN(len(faultKinds))]
			c.severity, c.variant = r.random.Float64(), r.random.IntN(1000)
			c.duration = time.Duration((0.3 + 3*r.random.Float64()) * float64(time.Second))
			if r.random.Float64() < longShare {
				c.duration += longExtra
			}
			drawn := c
			all.Go(func() { r.injectOne(ctx, k, drawn) })
			if !sleep(ctx, time.Duration(r.random.IntN(700))*time.Millisecond) {
				break
			}
		}
		sleep(ctx, time.Duration(r.random.IntN(1200))*time.Millisecond)
	}
	all.Wait()
}

// injectOne injects one fault. Faults with the same process and endpoint run one
// after the other.
func (r *run) injectOne(ctx context.Context, k faultKind, c faultParams) {
	r.mu.Lock()
	r.faults++
	what := fmt.Sprintf("%s: %s, endpoint %d, %.1f s, %d", k.name, c.node.name, c.endpoint+1, c.duration.Seconds(), c.variant)
	r.logf("%s", what)
	lock := r.record.faultLock(c)
	r.mu.Unlock()
	lock.Lock()
	defer lock.Unlock()
	if k.disturbsStore {
		r.markStoreDisturbed(time.Now().Add(c.duration + time.Second))
		defer func() { r.markStoreDisturbed(time.Now()) }()
	}
	k.inject(ctx, r, c)
}

// markStoreDisturbed records until when the platform's store is disturbed.
func (r *run) markStoreDisturbed(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.storeDisturbedUntil) {
		r.storeDisturbedUntil = until
	}
}

// awaitReady waits until all processes are ready after the last fault, and
// reports a violation if that takes longer than startTimeout.
func (r *run) awaitReady(ctx context.Context) error {
	r.mu.Lock()
	r.logf("all faults ended")
	r.mu.Unlock()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); {
		ready := 0
		for _, n := range r.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			return nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
	r.reportViolation("RECOVER: not all processes are ready %v after the last fault", startTimeout)
	return nil
}
