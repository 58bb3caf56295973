package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// benchManager returns the manager of a domain whose endpoints are full, and a
// function that returns the inputs of the next step.
func benchManager(endpoints, models int) (*Manager, func() Inputs) {
	cfg := &spec.Config{
		Services: []spec.Service{{Name: "chat", Kind: spec.KindModel}},
	}
	for d := range 30 {
		cfg.Domains = append(cfg.Domains, spec.Domain{Name: fmt.Sprint("d", d), Region: fmt.Sprint("r", d%8)})
	}
	for i := range models {
		cfg.Models = append(cfg.Models, spec.Model{
			Name:      fmt.Sprintf("model-%04d", i),
			Service:   "chat",
			Version:   "1",
			MemoryMiB: int64(6_000 + i%7*3_000),
			OnDemand:  spec.Duration(time.Minute),
		})
	}
	m := NewManager(Settings{
		Domain:      "d0",
		Node:        1,
		Incarnation: "1",
	})
	now := time.Unix(1_000_000, 0)
	in := Inputs{
		Config: cfg,
		Authority: Authority{
			Until: now.Add(1000 * time.Hour),
			Since: now.Add(-time.Hour),
			Epoch: 1,
		},
	}
	for i := range endpoints {
		name := fmt.Sprintf("e%03d", i)
		cfg.Endpoints = append(cfg.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "chat",
			Domain:    "d0",
			MemoryMiB: 80_000,
			Fencing:   true,
			Speed:     1,
		})
		st := StateResult{
			Endpoint:    name,
			RequestedAt: now,
			State: engine.State{
				Incarnation: "1",
				MemoryMiB:   80_000,
				Role:        engine.RoleMixed,
			},
		}
		for k := range 5 {
			x := cfg.Models[(i*5+k)%models]
			st.State.Resident = append(st.State.Resident, engine.Resident{
				Model:     x.Name,
				Version:   "1",
				MemoryMiB: x.MemoryMiB,
			})
		}
		in.States = append(in.States, st)
	}
	authority := in.Authority
	m.Step(now, in)
	seq := int64(0)
	return m, func() Inputs {
		seq++
		r := DemandReport{
			Node:        "n",
			Incarnation: "1",
			Seq:         seq,
		}
		// 30 requests for one domain: 910 requests/s over 30 domains, most of them
		// for a few models.
		for i := range int64(30) {
			k := (seq*7919 + i*104_729) % int64(models)
			r.Entries = append(r.Entries, DemandEntry{
				Model:     cfg.Models[k*k/int64(models)].Name,
				Workspace: fmt.Sprint("w", i%20),
				Requests:  1,
				Tokens:    440,
				Measured:  1,
				OnTarget:  1,
			})
		}
		return Inputs{
			Authority: authority,
			Reports:   []DemandReport{r},
		}
	}
}

// Measures the cost of a step that includes a plan. At one step per second, 27 ms
// for a step are 2.7% of a core.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{
		{3, 15},
		{29, 630},
		{87, 1900},
	} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-models", size.endpoints, size.models), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, next := benchManager(size.endpoints, size.models)
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				m.Step(now, next())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			full, err := cbor.Marshal(m.Reply(engine.Fence{}, 0))
			if err != nil {
				b.Fatal(err)
			}
			held, deltas := m.Layout(), 0
			for range 60 {
				now = now.Add(time.Second)
				m.Step(now, next())
				data, err := cbor.Marshal(m.Reply(held.Term, held.Seq))
				if err != nil {
					b.Fatal(err)
				}
				deltas += len(data)
				held = m.Layout()
			}
			b.ReportMetric(float64(len(full)), "full-layout-B")
			b.ReportMetric(float64(deltas)/60, "delta-B/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
			runtime.KeepAlive(m)
		})
	}
}
