package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/cutter"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// kind is a kind of fault. It ends by itself, or when the context does.
type kind struct {
	name string
	// unstable tells that the platform's store is disturbed for all.
	unstable bool
	inject   func(ctx context.Context, r *run, c chance)
}

// chance is what was drawn for one fault.
type chance struct {
	node     *node
	endpoint int
	part     float64
	length   time.Duration
	pick     int
}

// kinds are all faults that a run may draw.
var kinds = []kind{
	{name: "kill", inject: func(ctx context.Context, r *run, c chance) { r.restart(ctx, c.node, syscall.SIGKILL, c.length/2) }},
	{name: "stop", inject: func(ctx context.Context, r *run, c chance) {
		r.restart(ctx, c.node, syscall.SIGTERM, 200*time.Millisecond)
	}},
	{name: "pause", inject: func(ctx context.Context, r *run, c chance) {
		c.node.disturbed()
		defer c.node.settled()
		c.node.signal(syscall.SIGSTOP)
		sleep(ctx, c.length)
		c.node.signal(syscall.SIGCONT)
		r.woke(c.node.name)
	}},
	{name: "reload", inject: func(ctx context.Context, _ *run, c chance) {
		// Before a program handles the signal, it ends the program.
		for !c.node.ready() && sleep(ctx, 100*time.Millisecond) {
			if stopping, killed := c.node.state(); stopping || killed {
				return
			}
		}
		c.node.signal(syscall.SIGHUP)
	}},
	{name: "peers", inject: func(ctx context.Context, r *run, c chance) {
		c.disturbWay(ctx, c.node.peers)
		r.woke(c.node.name)
	}},
	{name: "store-of-one", inject: func(ctx context.Context, r *run, c chance) {
		c.disturbWay(ctx, c.node.store)
		r.woke(c.node.name)
	}},
	{name: "store-refuses-one", inject: func(ctx context.Context, r *run, c chance) {
		c.node.disturbed()
		defer c.node.settled()
		r.storeFault(ctx, c.node.name, c, site.StoreFaults{
			Outage: []site.Outage{site.Busy, site.Many, site.Reset, site.Silent}[c.pick%4],
		})
	}},
	{name: "store-down", unstable: true, inject: func(ctx context.Context, r *run, c chance) {
		r.storeFault(ctx, "", c, site.StoreFaults{
			Outage: []site.Outage{site.Busy, site.Reset, site.Silent}[c.pick%3],
		})
	}},
	{name: "store-slow", unstable: true, inject: func(ctx context.Context, r *run, c chance) {
		r.storeFault(ctx, "", c, site.StoreFaults{
			Delay: time.Duration(c.part * float64(400*time.Millisecond)),
		})
	}},
	{name: "store-loses-answers", unstable: true, inject: func(ctx context.Context, r *run, c chance) {
		f := site.StoreFaults{
			LoseWrites: 0.2 + 0.3*c.part,
		}
		if c.pick%2 == 0 {
			f.Late = 3 * time.Second
		}
		r.storeFault(ctx, "", c, f)
	}},
	{name: "store-forgets", inject: func(_ context.Context, r *run, _ chance) { r.site.Store.Forget() }},
	{name: "endpoint-crash", inject: func(ctx context.Context, r *run, c chance) {
		e := r.site.Endpoints[c.endpoint]
		e.Crash()
		sleep(ctx, c.length)
		e.Restart()
	}},
	{name: "endpoint-leaves", inject: func(ctx context.Context, r *run, c chance) {
		e := r.site.Endpoints[c.endpoint]
		r.left(e.ID())
		e.Drain(2500 * time.Millisecond)
		sleep(ctx, 3*time.Second+c.length)
		e.Restart()
	}},
	{name: "endpoint-way", inject: func(ctx context.Context, r *run, c chance) {
		p := r.proxies()[c.endpoint]
		p.disturb(ctx, c)
	}},
	{name: "answers-lost", inject: func(ctx context.Context, r *run, c chance) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			LoseAnswers: 0.05 + 0.3*c.part,
		})
	}},
	{name: "endpoint-fails", inject: func(ctx context.Context, r *run, c chance) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			Fail: 0.1 + 0.5*c.part,
		})
	}},
	{name: "endpoint-slow", inject: func(ctx context.Context, r *run, c chance) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			Slow: 2 + 6*c.part,
		})
	}},
	{name: "orders-late", inject: func(ctx context.Context, r *run, c chance) {
		r.endpointFault(ctx, c, site.EndpointFaults{
			LateOrders: 4 * time.Second,
		})
	}},
	{name: "rate", inject: func(_ context.Context, r *run, c chance) {
		r.change("the rate of a workspace", func(x *site.Config) {
			t := &x.Tenants[c.pick%len(x.Tenants)]
			t.Rate = []float64{2000, 4000, 12_000, 20_000}[c.pick%4]
			t.Burst = t.Rate
		})
	}},
	{name: "key", inject: func(ctx context.Context, r *run, c chance) {
		key := fmt.Sprintf("key-%d", c.pick)
		r.change("a key is added", func(x *site.Config) { x.Tenants[0].Keys = append(x.Tenants[0].Keys, key) })
		if sleep(ctx, c.length) {
			r.change("a key is withdrawn", func(x *site.Config) {
				x.Tenants[0].Keys = slices.DeleteFunc(x.Tenants[0].Keys, func(k string) bool { return k == key })
			})
		}
	}},
}

// restart ends a process by a signal and starts it again.
func (r *run) restart(ctx context.Context, n *node, s syscall.Signal, pause time.Duration) {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	n.signal(s)
	if !n.gone(graceBound) {
		r.broken("STOP: process %s still runs %v after %v", n.name, graceBound, s)
		n.signal(syscall.SIGKILL)
		n.gone(graceBound)
	}
	sleep(ctx, pause)
	if err := n.start(); err != nil {
		r.broken("START: process %s: %v", n.name, err)
	}
}

// way is the proxy before an endpoint.
type way struct{ *cutter.Proxy }

func (r *run) proxies() []way {
	out := make([]way, 0, len(r.site.Endpoints))
	for _, e := range r.site.Endpoints {
		out = append(out, way{r.engines[e.ID()]})
	}
	return out
}

// disturb cuts, delays, silences or half-cuts a way for a time.
func (w way) disturb(ctx context.Context, c chance) {
	switch c.pick % 5 {
	case 0:
		w.Cut()
	case 1:
		w.Freeze()
	case 2:
		w.Drop(cutter.ToServer)
	case 3:
		w.Drop(cutter.ToClient)
	case 4:
		w.Delay(time.Duration(c.part * float64(500*time.Millisecond)))
	}
	sleep(ctx, c.length)
	// A proxy that cannot listen again stays cut; the run says so.
	if err := w.Heal(); err != nil {
		panic("soak: heal a proxy: " + err.Error())
	}
}

// disturbWay disturbs a way of a node, which then is not in touch.
func (c chance) disturbWay(ctx context.Context, p *cutter.Proxy) {
	c.node.disturbed()
	way{p}.disturb(ctx, c)
	c.node.settled()
}

func (r *run) storeFault(ctx context.Context, client string, c chance, f site.StoreFaults) {
	r.site.Store.SetFaults(client, f)
	sleep(ctx, c.length)
	r.site.Store.SetFaults(client, site.StoreFaults{})
}

func (r *run) endpointFault(ctx context.Context, c chance, f site.EndpointFaults) {
	e := r.site.Endpoints[c.endpoint]
	e.SetFaults(f)
	sleep(ctx, c.length)
	e.SetFaults(site.EndpointFaults{})
}

// change writes a changed configuration.
func (r *run) change(what string, f func(*site.Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.config
	c.Tenants = slices.Clone(c.Tenants)
	for i := range c.Tenants {
		c.Tenants[i].Keys = slices.Clone(c.Tenants[i].Keys)
	}
	f(&c)
	c.Version += 1 + c.Version%3
	r.config = c
	if err := r.site.Store.SetConfig(c); err != nil {
		panic("soak: encode configuration: " + err.Error())
	}
	r.record.configs = append(r.record.configs, written{
		at:     time.Now(),
		config: c,
	})
	r.logf("configuration %d: %s", c.Version, what)
}

const (
	// coordinatorPart is the part of the series that hit the process that gave the
	// last order.
	coordinatorPart = 0.35
	// longPart is the part of the faults that last longMore longer, most of the
	// window in which rates are judged.
	longPart = 0.15
	longMore = 5 * time.Second
)

// coordinator returns the process that gave the last order, or another one when
// there was none.
func (r *run) coordinator(other *node) *node {
	orders := r.site.Journal.Orders()
	if len(orders) == 0 {
		return other
	}
	for _, n := range r.nodes {
		if n.name == orders[len(orders)-1].Holder {
			return n
		}
	}
	return other
}

// inject draws faults until their time is over, and waits for their end.
func (r *run) inject(ctx context.Context) {
	var all sync.WaitGroup
	for until := time.Now().Add(r.o.Faults); time.Now().Before(until) && ctx.Err() == nil; {
		// A series hits one process, or an endpoint, several times.
		c := chance{
			node:     r.nodes[r.random.IntN(len(r.nodes))],
			endpoint: r.random.IntN(len(r.site.Endpoints)),
		}
		if r.random.Float64() < coordinatorPart {
			c.node = r.coordinator(c.node)
		}
		for range 1 + r.random.IntN(3) {
			k := kinds[r.random.IntN(len(kinds))]
			c.part, c.pick = r.random.Float64(), r.random.IntN(1000)
			c.length = time.Duration((0.3 + 3*r.random.Float64()) * float64(time.Second))
			if r.random.Float64() < longPart {
				c.length += longMore
			}
			drawn := c
			all.Go(func() { r.one(ctx, k, drawn) })
			if !sleep(ctx, time.Duration(r.random.IntN(700))*time.Millisecond) {
				break
			}
		}
		sleep(ctx, time.Duration(r.random.IntN(1200))*time.Millisecond)
	}
	all.Wait()
}

// one injects one fault. A process or endpoint suffers one of them at a time.
func (r *run) one(ctx context.Context, k kind, c chance) {
	r.mu.Lock()
	r.faults++
	what := fmt.Sprintf("%s: %s, endpoint %d, %.1f s, %d", k.name, c.node.name, c.endpoint+1, c.length.Seconds(), c.pick)
	r.logf("%s", what)
	lock := r.record.lock(c)
	r.mu.Unlock()
	lock.Lock()
	defer lock.Unlock()
	if k.unstable {
		r.unstable(time.Now().Add(c.length + time.Second))
		defer func() { r.unstable(time.Now()) }()
	}
	k.inject(ctx, r, c)
}

// unstable notes until when the platform's store is disturbed.
func (r *run) unstable(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.disturb) {
		r.disturb = until
	}
}

// heal ends what is still wrong and waits until all processes are ready.
func (r *run) heal(ctx context.Context) error {
	r.mu.Lock()
	r.logf("all faults have ended")
	r.mu.Unlock()
	for until := time.Now().Add(startWait); time.Now().Before(until); {
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
	r.broken("RECOVER: not all processes are ready %v after the last fault", startWait)
	return nil
}
