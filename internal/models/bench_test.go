package models

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// BenchmarkStep measures a step with a plan while demand moves, at the sizes of
// grown and large fleets.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ engines, models int }{
		{engines: 60, models: 107},
		{engines: 192, models: 332},
		{engines: 1000, models: 332},
		{engines: 2600, models: 1900},
	} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			config := testConfig(size.models)
			config.Services["lm"].Engine.StoreLoadsPerSecond = 28
			p := New(now, now)
			p.SetConfig(now, config)
			var list []fleet.Endpoint
			for i := range size.engines {
				list = append(list, fleet.Endpoint{ID: fmt.Sprintf("e%04d", i), Incarnation: 1, Service: "lm", Address: "10.0.0.1:80"})
			}
			p.SetEndpoints(list)
			held := make([][]fleet.Resident, size.engines)
			for i := range held {
				for j := range 2 {
					held[i] = append(held[i], fleet.Resident{Model: fmt.Sprintf("m%d", (2*i+j)%size.models)})
				}
			}
			for b.Loop() {
				now = now.Add(planInterval)
				for i, e := range list {
					p.SetReport(now, fleet.Report{Key: e.Key(), Models: held[i]})
				}
				for range 50 {
					p.RecordDemand(now, "lm", fmt.Sprintf("m%d", random.IntN(1+size.models/8)), 500)
				}
				for _, e := range p.engines {
					e.steps, e.lastOrder = nil, nil
				}
				p.Step(now)
			}
		})
	}
}
