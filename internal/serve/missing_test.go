package serve

import (
	"context"
	"testing"

	"trefoildale.example/trefoildale/internal/fleet"
)

// loadedAdapters counts the loads of adapters.
type loadedAdapters struct {
	noDemand
	count int
}

func (l *loadedAdapters) LoadAdapter(context.Context, fleet.Endpoint, string, string) error {
	l.count++
	return nil
}

// TestAdapterUnloadedBeforeArrival guards against refusing a request at once because the
// only engine with its model no longer holds the adapter that its last report names.
func TestAdapterUnloadedBeforeArrival(t *testing.T) {
	tests := []struct {
		name     string
		adapter  string
		outcomes []fakeOutcome
		attempts int
		loads    int
		code     string
	}{
		{
			name:     "the adapter is loaded again",
			adapter:  "a1",
			outcomes: []fakeOutcome{outcomeMisdirected, outcomeServed},
			attempts: 2,
			loads:    1,
		},
		{
			name:     "the engine goes on to turn it away",
			adapter:  "a1",
			outcomes: []fakeOutcome{outcomeMisdirected, outcomeMisdirected, outcomeServed},
			attempts: 2,
			loads:    1,
			code:     "no-endpoint",
		},
		{
			name:     "the model is gone",
			outcomes: []fakeOutcome{outcomeMisdirected, outcomeServed},
			attempts: 1,
			code:     "no-endpoint",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			h.table.SetEndpoints(h.clock.Now(), []fleet.Endpoint{
				{
					ID:          "lm0",
					Incarnation: 1,
					Service:     "lm",
					Domain:      "north",
					Slots:       64,
					Models:      []fleet.Resident{{Model: "m1", Adapters: []string{"a1"}}},
				},
			})
			h.sender.outcomes = tt.outcomes
			demand := &loadedAdapters{}
			h.server.opts.Demand = demand
			req := h.request("stream")
			req.Adapter = tt.adapter
			c := &fakeCaller{}
			h.server.Serve(context.Background(), req, c)
			if len(h.sender.attempts) != tt.attempts || demand.count != tt.loads {
				t.Errorf("sent %d times after %d loads of the adapter, want %d and %d", len(h.sender.attempts), demand.count, tt.attempts, tt.loads)
			}
			if tt.code != "" && (c.problem == nil || c.problem.Code != tt.code || !c.problem.NotRun) {
				t.Errorf("answered with %+v, want %s, not run", c.problem, tt.code)
			}
		})
	}
}
