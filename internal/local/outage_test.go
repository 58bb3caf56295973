package local

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/route"
)

// withdrawBound is how long a key may still be accepted after its withdrawal.
const withdrawBound = 5 * time.Second

// stopPlatform makes the platform refuse all requests until heal is called.
func stopPlatform(t *testing.T, f *Fleet) (heal func()) {
	t.Helper()
	if err := f.Platform.Faults().Add(fault.Fault{Kind: fault.Refuse}); err != nil {
		t.Fatal(err)
	}
	return func() { f.Platform.Faults().Clear(fault.Refuse) }
}

// Guards against refusing valid keys, or requests within the rate, while the
// platform's table is unavailable, and against a booking that is accepted during
// the outage, when it cannot be proven to be new, or that is refused after it.
func TestOutageOfThePlatformAloneRefusesNothing(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(3),
		NodesPerDomain: 2,
	})
	heal := stopPlatform(t, f)
	end := time.Now().Add(12 * time.Second)
	served := 0
	for time.Now().Before(end) {
		for i := range f.Nodes {
			if a := complete(t, f, i, keys["club"], 10); a.status != http.StatusOK {
				t.Fatalf("node %d after %d requests: %d %s", i, served, a.status, a.body)
			}
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	a := do(t, f, 0, http.MethodPost, "/booking/lanes", keys["club"], `{"lane":1}`, "Idempotency-Key", "k1")
	if a.status != http.StatusServiceUnavailable || a.notRun || a.code != "repeat-unprovable" {
		t.Errorf("booking during the outage: %d %s, want 503 repeat-unprovable without not-run", a.status, a.body)
	}
	heal()
	eventually(t, 5*time.Second, func() error {
		a := do(t, f, 0, http.MethodPost, "/booking/lanes", keys["club"], `{"lane":1}`, "Idempotency-Key", "k1")
		if a.status != http.StatusCreated {
			return fmt.Errorf("booking after the outage: %d %s", a.status, a.body)
		}
		return nil
	})
	t.Logf("%d requests served during the outage", served)
}

// Guards against accepting a withdrawn key, also in a domain that is cut off from
// the platform, from the other domains, or from both, and against refusing open
// routes there, or other keys unless it is cut off from both.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		cuts [][2]string
		// served is set if the cut-off domain continues to accept other keys.
		served bool
	}{
		{
			name:   "whole network",
			served: true,
		},
		{
			name:   "no platform",
			cuts:   [][2]string{{"d3", PlatformSite}},
			served: true,
		},
		{
			name:   "no other domains",
			cuts:   [][2]string{{"d3", "d1"}, {"d3", "d2"}},
			served: true,
		},
		{
			name: "neither",
			cuts: [][2]string{{"d3", PlatformSite}, {"d3", "d1"}, {"d3", "d2"}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			network := NewNetwork()
			f, keys := testFleet(t, Options{
				Config:         testConfig(3),
				NodesPerDomain: 2,
				Network:        network,
			})
			other, err := f.AddKey(t.Context(), "other", "club")
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			for _, c := range tc.cuts {
				network.Cut(c[0], c[1])
			}
			client, err := f.Admin(0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := client.WithdrawKey(t.Context(), "test", "key-club", ""); err != nil {
				t.Fatal(err)
			}
			withdrawn := time.Now()
			last := make([]time.Time, len(f.Nodes))
			for time.Since(withdrawn) < withdrawBound+2*time.Second {
				for i := range f.Nodes {
					sent := time.Now()
					if a := complete(t, f, i, keys["club"], 1); a.status == http.StatusOK {
						last[i] = sent
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			for i, at := range last {
				if at.After(withdrawn.Add(withdrawBound)) {
					t.Errorf("node %d accepted the key %s after its withdrawal", i, at.Sub(withdrawn))
				}
			}
			a := complete(t, f, 4, other, 1)
			if tc.served && a.status != http.StatusOK {
				t.Errorf("another key in the cut-off domain: %d %s, want status 200", a.status, a.body)
			}
			if !tc.served && (a.code != "key-unverifiable" || !a.notRun) {
				t.Errorf("another key in the cut-off domain: %d %s, want key-unverifiable with not-run", a.status, a.body)
			}
			if a := do(t, f, 4, http.MethodGet, "/notice/today", "", ""); a.status != http.StatusOK {
				t.Errorf("open route in the cut-off domain: %d %s", a.status, a.body)
			}
			for _, c := range tc.cuts {
				network.Heal(c[0], c[1])
			}
			eventually(t, 10*time.Second, func() error {
				if a := complete(t, f, 4, other, 1); a.status != http.StatusOK {
					return fmt.Errorf("after healing: %d %s", a.status, a.body)
				}
				return nil
			})
		})
	}
}

// hidingPicker leaves an endpoint out of the choice while hidden is set, as if it had no
// copy of the model.
type hidingPicker struct {
	*route.Table
	endpoint string
	hidden   *atomic.Bool
}

func (p hidingPicker) Pick(r route.Request) (route.Choice, error) {
	if p.hidden.Load() {
		r.Exclude = append(slices.Clone(r.Exclude), p.endpoint)
	}
	return p.Table.Pick(r)
}

// Guards against failing a request with 502 whose model only another domain has, which
// cannot be reached: it is loaded in the own domain, and the request waits for that.
func TestModelOnlyInUnreachableDomainIsLoaded(t *testing.T) {
	t.Parallel()
	network := NewNetwork()
	var hidden atomic.Bool
	f, keys := testFleet(t, Options{
		Config:         testConfig(2),
		NodesPerDomain: 1,
		Network:        network,
		Picker: func(table *route.Table) route.Picker {
			return hidingPicker{
				Table:    table,
				endpoint: "assistant-d1",
				hidden:   &hidden,
			}
		},
	})
	hidden.Store(true)
	eventually(t, 20*time.Second, func() error {
		before := f.Engines["assistant-d2"].Stats().Requests
		if a := complete(t, f, 0, keys["club"], 1); a.status != http.StatusOK || f.Engines["assistant-d2"].Stats().Requests == before {
			return fmt.Errorf("assistant-d2 does not serve node 0 yet: %d %s", a.status, a.body)
		}
		return nil
	})
	network.Cut("d1", "d2")
	// The load in the own domain takes longer than three attempts to connect.
	loaded := time.AfterFunc(8*time.Second, func() {
		hidden.Store(false)
		f.Engines["assistant-d1"].Restart()
	})
	defer loaded.Stop()
	if a := complete(t, f, 0, keys["club"], 1); a.status != http.StatusOK {
		t.Errorf("got %d %s, want status 200", a.status, a.body)
	}
}
