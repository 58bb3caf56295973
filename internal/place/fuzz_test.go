package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// fuzzConfig returns a configuration with more models than fit into memory.
func fuzzConfig() *spec.Config {
	cfg := &spec.Config{
		Domains: []spec.Domain{{Name: "north", Region: "r"}},
		Services: []spec.Service{{
			Name: "chat",
			Kind: spec.KindModel,
		}},
	}
	for i, mib := range []int64{60, 50, 45, 30, 25, 20} {
		cfg.Models = append(cfg.Models, spec.Model{
			Name:      fmt.Sprintf("m%d", i),
			Service:   "chat",
			Version:   "1",
			MemoryMiB: mib,
			OnDemand:  spec.Duration(time.Minute),
		})
	}
	for i := range 4 {
		cfg.Adapters = append(cfg.Adapters, spec.Adapter{
			Name:      fmt.Sprintf("a%d", i),
			Model:     "m4",
			MemoryMiB: 6,
		})
	}
	return cfg
}

func newFuzzCluster(takes func(engine.Order) time.Duration) *cluster {
	c := &cluster{
		now:      time.Unix(1_000_000, 0),
		cfg:      fuzzConfig(),
		engines:  map[string]*fakeEngine{},
		duration: takes,
		set: Settings{
			Domain: "north",
		},
	}
	for i, f := range []struct{ fencing, deadline bool }{
		{true, true},
		{true, false},
		{false, true},
		{false, false},
	} {
		name := fmt.Sprintf("e%d", i)
		c.engines[name] = newFakeEngine(name, 100, f.fencing, f.deadline)
		c.cfg.Endpoints = append(c.cfg.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "chat",
			Domain:    "north",
			MemoryMiB: 100,
			Fencing:   f.fencing,
			Speed:     1,
		})
	}
	c.procs = []*process{c.newProcess(), c.newProcess()}
	return c
}

// Guards against memory that is overcommitted at an endpoint, and against a model
// that cannot be loaded after faults have stopped. The faults are lost, late and
// duplicated orders and answers, two lease holders of which one is paused, killed
// processes, platform outages in which both processes are stand-in planners,
// endpoint restarts, and changed sizes in the configuration.
func TestManagerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slow := 0
		c := newFuzzCluster(func(engine.Order) time.Duration {
			// Durations range from 0 to longer than an order's deadline.
			slow++
			return []time.Duration{0, time.Second, 5 * time.Second, 0, 40 * time.Second}[slow%5]
		})
		if rapid.Bool().Draw(t, "lru") {
			// The LRU policy makes more moves than the planner and protects no model
			// from eviction.
			c.set.Policy = NewLRU()
			c.procs = []*process{c.newProcess(), c.newProcess()}
		}
		// Two simultaneous stand-in planners are safe only if endpoints keep their
		// fencing token over a restart.
		c.oneStandIn = rapid.Bool().Draw(t, "alone")
		for _, f := range c.engines {
			f.keepsFence = !c.oneStandIn
		}
		names := []string{"e0", "e1", "e2", "e3"}
		check := func() {
			if s := c.overcommitted(); s != "" {
				t.Fatalf("at %v: %s", c.now.Sub(time.Unix(1_000_000, 0)), s)
			}
		}
		proc := func(t *rapid.T) *process {
			return c.procs[rapid.IntRange(0, len(c.procs)-1).Draw(t, "process")]
		}
		takeMessage := func(t *rapid.T) (message, bool) {
			if len(c.net) == 0 {
				return message{}, false
			}
			i := rapid.IntRange(0, len(c.net)-1).Draw(t, "message")
			msg := c.net[i]
			c.net = slices.Delete(c.net, i, i+1)
			return msg, true
		}
		seq := int64(0)
		reportDemand := func(p *process, model, adapter string) {
			seq++
			p.in.Reports = append(p.in.Reports, DemandReport{
				Node:        "n",
				Incarnation: "1",
				Seq:         seq,
				Suspects:    names,
				Entries: []DemandEntry{{
					Model:    model,
					Adapter:  adapter,
					Requests: 3,
					Tokens:   1200,
				}},
				Waiting: []WaitingRequests{{
					Model:    model,
					Adapter:  adapter,
					Requests: 1,
				}},
			})
		}
		update := func(m int) {
			cfg := *c.cfg
			cfg.Models = slices.Clone(cfg.Models)
			cfg.Models[m].Version += "1"
			c.cfg = &cfg
			for _, p := range c.procs {
				p.in.Config = c.cfg
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				c.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second, c.procs, check)
			},
			// The orders of one holder are delayed, it is paused, the other process
			// takes over, and the delayed orders arrive.
			"race": func(t *rapid.T) {
				i := rapid.IntRange(0, len(c.procs)-1).Draw(t, "process")
				models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
				for _, m := range models {
					reportDemand(c.procs[i], m, "")
				}
				c.holdLoads = true
				for range 2 {
					c.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "held"))*time.Second, c.procs[i:i+1], check)
					reportDemand(c.procs[i], rapid.SampledFrom(models).Draw(t, "model"), "")
				}
				c.holdLoads = false
				c.advance(time.Duration(rapid.IntRange(0, 11).Draw(t, "paused")) * time.Second)
				other := c.procs[1-i]
				for _, m := range models {
					reportDemand(other, m, "")
				}
				c.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "taken"))*time.Second, []*process{other}, check)
				for _, msg := range c.heldLoads {
					c.deliver(msg)
					check()
				}
				c.heldLoads = nil
			},
			"pass": func(t *rapid.T) {
				c.advance([]time.Duration{time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 12 * time.Second}[rapid.IntRange(0, 3).Draw(t, "by")])
			},
			"step": func(t *rapid.T) {
				p := proc(t)
				c.renew(p)
				c.step(p)
			},
			// A process that was paused beyond its lease steps without renewing it.
			"step-stale": func(t *rapid.T) { c.step(proc(t)) },
			"deliver": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					c.deliver(msg)
				}
			},
			"deliver-all": func(*rapid.T) {
				all := c.net
				c.net = nil
				for _, msg := range all {
					c.deliver(msg)
				}
			},
			"lose": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					c.fail(msg)
				}
			},
			"duplicate": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					c.net = append(c.net, msg)
					c.deliver(msg)
				}
			},
			"restart": func(t *rapid.T) { c.engines[rapid.SampledFrom(names).Draw(t, "endpoint")].restart() },
			"kill": func(t *rapid.T) {
				i := rapid.IntRange(0, len(c.procs)-1).Draw(t, "process")
				if c.holder == c.procs[i] {
					// The lease stays with the dead holder until its term ends.
					c.holder = &process{
						auth: c.procs[i].auth,
					}
				}
				c.procs[i] = c.newProcess()
			},
			"outage": func(*rapid.T) {
				c.outage, c.outageSince = !c.outage, c.now
				slices.Reverse(c.procs)
			},
			"resize": func(t *rapid.T) {
				cfg := *c.cfg
				cfg.Models = slices.Clone(cfg.Models)
				cfg.Endpoints = slices.Clone(cfg.Endpoints)
				m := rapid.IntRange(0, len(cfg.Models)-1).Draw(t, "model")
				cfg.Models[m].MemoryMiB = int64(rapid.IntRange(15, 60).Draw(t, "mib"))
				e := rapid.IntRange(0, len(cfg.Endpoints)-1).Draw(t, "endpoint")
				cfg.Endpoints[e].MemoryMiB = int64(rapid.IntRange(70, 120).Draw(t, "memory"))
				c.cfg = &cfg
				for _, p := range c.procs {
					p.in.Config = c.cfg
				}
			},
			"version": func(t *rapid.T) { update(rapid.IntRange(0, 5).Draw(t, "model")) },
			// Copies of load orders arrive after their models were replaced and the
			// endpoints have restarted and forgotten the orders.
			"revive": func(t *rapid.T) {
				c.copyLoads = true
				c.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "before"))*time.Second, c.procs, check)
				for i := range 6 {
					update(i)
				}
				c.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "after"))*time.Second, c.procs, check)
				c.copyLoads = false
				for _, name := range names {
					c.engines[name].restart()
				}
				for _, msg := range c.heldLoads {
					c.deliver(msg)
					check()
				}
				c.heldLoads = nil
			},
			"want": func(t *rapid.T) {
				reportDemand(proc(t), rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m4", "m5"}).Draw(t, "model"), "")
			},
			"want-adapter": func(t *rapid.T) {
				reportDemand(proc(t), "m4", rapid.SampledFrom([]string{"a0", "a1", "a2", "a3"}).Draw(t, "adapter"))
			},
			"": func(t *rapid.T) {
				check()
				for _, p := range c.procs {
					if err := p.syncLayout(); err != nil {
						t.Fatal(err)
					}
				}
			},
		})

		c.outage, c.holdLoads = false, false
		c.run(2*time.Minute, c.procs, check)
		for _, model := range c.cfg.Models {
			resident := func() bool {
				for _, f := range c.engines {
					for i := range f.resident {
						if i.Model == model.Name && i.Adapter == "" {
							return true
						}
					}
				}
				return false
			}
			for range 120 {
				if resident() {
					break
				}
				reportDemand(c.procs[0], model.Name, "")
				reportDemand(c.procs[1], model.Name, "")
				c.run(time.Second, c.procs, check)
			}
			if !resident() {
				for _, name := range names {
					for _, p := range c.procs {
						e := p.m.endpoints[name]
						t.Logf("%s at %d: own fence %v synced %v leaving %v failed reads %d free %d MiB move %+v orders %v pending %v", name, p.node, e.ownFence, e.ledger.Synced(), e.reportedLeaving, e.failedReads, e.ledger.FreeMiB(), e.move, e.orders, e.ledger.PendingOrders())
					}
					t.Logf("%s: %v running %v", name, c.engines[name].resident, c.engines[name].running)
				}
				t.Fatalf("%s was not loaded after the faults ended", model.Name)
			}
		}
	})
}
