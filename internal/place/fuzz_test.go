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
	w := &cluster{
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
		w.engines[name] = newFakeEngine(name, 100, f.fencing, f.deadline)
		w.cfg.Endpoints = append(w.cfg.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "chat",
			Domain:    "north",
			MemoryMiB: 100,
			Fencing:   f.fencing,
			Speed:     1,
		})
	}
	w.procs = []*process{w.newProcess(), w.newProcess()}
	return w
}

// Guards against memory that is overcommitted at an endpoint, and against a model
// that cannot be loaded after faults have stopped. The faults are lost, late and
// duplicated orders and answers, two lease holders of which one is paused, killed
// processes, platform outages in which both processes are stand-in planners,
// endpoint restarts, and changed sizes in the configuration.
func TestManagerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slow := 0
		w := newFuzzCluster(func(engine.Order) time.Duration {
			// Durations range from 0 to longer than an order's deadline.
			slow++
			return []time.Duration{0, time.Second, 5 * time.Second, 0, 40 * time.Second}[slow%5]
		})
		if rapid.Bool().Draw(t, "lru") {
			// The LRU policy makes more moves than the planner and protects no model
			// from eviction.
			w.set.Policy = NewLRU()
			w.procs = []*process{w.newProcess(), w.newProcess()}
		}
		// Two simultaneous stand-in planners are safe only if endpoints keep their
		// fencing token over a restart.
		w.oneStandIn = rapid.Bool().Draw(t, "alone")
		for _, f := range w.engines {
			f.keepsFence = !w.oneStandIn
		}
		names := []string{"e0", "e1", "e2", "e3"}
		check := func() {
			if s := w.overcommitted(); s != "" {
				t.Fatalf("at %v: %s", w.now.Sub(time.Unix(1_000_000, 0)), s)
			}
		}
		proc := func(t *rapid.T) *process {
			return w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
		}
		takeMessage := func(t *rapid.T) (message, bool) {
			if len(w.net) == 0 {
				return message{}, false
			}
			i := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
			msg := w.net[i]
			w.net = slices.Delete(w.net, i, i+1)
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
			cfg := *w.cfg
			cfg.Models = slices.Clone(cfg.Models)
			cfg.Models[m].Version += "1"
			w.cfg = &cfg
			for _, p := range w.procs {
				p.in.Config = w.cfg
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second, w.procs, check)
			},
			// The orders of one holder are delayed, it is paused, the other process
			// takes over, and the delayed orders arrive.
			"race": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")
				models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
				for _, m := range models {
					reportDemand(w.procs[i], m, "")
				}
				w.holdLoads = true
				for range 2 {
					w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "held"))*time.Second, w.procs[i:i+1], check)
					reportDemand(w.procs[i], rapid.SampledFrom(models).Draw(t, "model"), "")
				}
				w.holdLoads = false
				w.advance(time.Duration(rapid.IntRange(0, 11).Draw(t, "paused")) * time.Second)
				other := w.procs[1-i]
				for _, m := range models {
					reportDemand(other, m, "")
				}
				w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "taken"))*time.Second, []*process{other}, check)
				for _, msg := range w.heldLoads {
					w.deliver(msg)
					check()
				}
				w.heldLoads = nil
			},
			"pass": func(t *rapid.T) {
				w.advance([]time.Duration{time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 12 * time.Second}[rapid.IntRange(0, 3).Draw(t, "by")])
			},
			"step": func(t *rapid.T) {
				p := proc(t)
				w.renew(p)
				w.step(p)
			},
			// A process that was paused beyond its lease steps without renewing it.
			"step-stale": func(t *rapid.T) { w.step(proc(t)) },
			"deliver": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					w.deliver(msg)
				}
			},
			"deliver-all": func(*rapid.T) {
				all := w.net
				w.net = nil
				for _, msg := range all {
					w.deliver(msg)
				}
			},
			"lose": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					w.fail(msg)
				}
			},
			"duplicate": func(t *rapid.T) {
				if msg, ok := takeMessage(t); ok {
					w.net = append(w.net, msg)
					w.deliver(msg)
				}
			},
			"restart": func(t *rapid.T) { w.engines[rapid.SampledFrom(names).Draw(t, "endpoint")].restart() },
			"kill": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")
				if w.holder == w.procs[i] {
					// The lease stays with the dead holder until its term ends.
					w.holder = &process{
						auth: w.procs[i].auth,
					}
				}
				w.procs[i] = w.newProcess()
			},
			"outage": func(*rapid.T) {
				w.outage, w.outageSince = !w.outage, w.now
				slices.Reverse(w.procs)
			},
			"resize": func(t *rapid.T) {
				cfg := *w.cfg
				cfg.Models = slices.Clone(cfg.Models)
				cfg.Endpoints = slices.Clone(cfg.Endpoints)
				m := rapid.IntRange(0, len(cfg.Models)-1).Draw(t, "model")
				cfg.Models[m].MemoryMiB = int64(rapid.IntRange(15, 60).Draw(t, "mib"))
				e := rapid.IntRange(0, len(cfg.Endpoints)-1).Draw(t, "endpoint")
				cfg.Endpoints[e].MemoryMiB = int64(rapid.IntRange(70, 120).Draw(t, "memory"))
				w.cfg = &cfg
				for _, p := range w.procs {
					p.in.Config = w.cfg
				}
			},
			"version": func(t *rapid.T) { update(rapid.IntRange(0, 5).Draw(t, "model")) },
			// Copies of load orders arrive after their models were replaced and the
			// endpoints have restarted and forgotten the orders.
			"revive": func(t *rapid.T) {
				w.copyLoads = true
				w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "before"))*time.Second, w.procs, check)
				for i := range 6 {
					update(i)
				}
				w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "after"))*time.Second, w.procs, check)
				w.copyLoads = false
				for _, name := range names {
					w.engines[name].restart()
				}
				for _, msg := range w.heldLoads {
					w.deliver(msg)
					check()
				}
				w.heldLoads = nil
			},
			"want": func(t *rapid.T) {
				reportDemand(proc(t), rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m4", "m5"}).Draw(t, "model"), "")
			},
			"want-adapter": func(t *rapid.T) {
				reportDemand(proc(t), "m4", rapid.SampledFrom([]string{"a0", "a1", "a2", "a3"}).Draw(t, "adapter"))
			},
			"": func(t *rapid.T) {
				check()
				for _, p := range w.procs {
					if err := p.syncLayout(); err != nil {
						t.Fatal(err)
					}
				}
			},
		})

		w.outage, w.holdLoads = false, false
		w.run(2*time.Minute, w.procs, check)
		for _, model := range w.cfg.Models {
			resident := func() bool {
				for _, f := range w.engines {
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
				reportDemand(w.procs[0], model.Name, "")
				reportDemand(w.procs[1], model.Name, "")
				w.run(time.Second, w.procs, check)
			}
			if !resident() {
				for _, name := range names {
					for _, p := range w.procs {
						e := p.m.endpoints[name]
						t.Logf("%s at %d: own fence %v synced %v leaving %v failed reads %d free %d MiB move %+v orders %v pending %v", name, p.node, e.ownFence, e.ledger.Synced(), e.reportedLeaving, e.failedReads, e.ledger.FreeMiB(), e.move, e.orders, e.ledger.PendingOrders())
					}
					t.Logf("%s: %v running %v", name, w.engines[name].resident, w.engines[name].running)
				}
				t.Fatalf("%s was not loaded after the faults ended", model.Name)
			}
		}
	})
}
