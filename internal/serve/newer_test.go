package serve

import (
	"context"
	"net/http"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/triage"
)

// TestNewerConfiguration guards against requests that are refused by a configuration of
// which the node knows that it is not the newest one.
func TestNewerConfiguration(t *testing.T) {
	removed := func(edit func(*fleet.Config)) *fleet.Config {
		c := testConfig(2)
		edit(c)
		return c
	}
	tests := []struct {
		name    string
		inForce *fleet.Config
		// arrives is the newer configuration, nil if it does not arrive.
		arrives *fleet.Config
		// knownFor is for how long the newer configuration has been known.
		knownFor time.Duration
		wait     time.Duration
		// status and code are those of the refusal, none if the request is sent on.
		status int
		code   string
		within time.Duration
	}{
		{
			name:    "route added",
			inForce: removed(func(c *fleet.Config) { c.Routes = nil }),
			arrives: testConfig(3),
			within:  triage.MaxConfigWait,
		},
		{
			name:    "key added",
			inForce: removed(func(c *fleet.Config) { c.Keys = nil }),
			arrives: testConfig(3),
			within:  triage.MaxConfigWait,
		},
		{
			name:    "model added",
			inForce: removed(func(c *fleet.Config) { c.Services["lm"].Engine.Models = nil }),
			arrives: testConfig(3),
			within:  triage.MaxConfigWait,
		},
		{
			name:    "the newer one refuses too",
			inForce: removed(func(c *fleet.Config) { c.Routes = nil }),
			arrives: func() *fleet.Config {
				c := testConfig(3)
				c.Routes = nil
				return c
			}(),
			status: http.StatusNotFound,
			code:   "route-unknown",
			within: triage.MaxConfigWait,
		},
		{
			name:    "an older one than the newest arrives",
			inForce: removed(func(c *fleet.Config) { c.Routes, c.Version = nil, 1 }),
			arrives: removed(func(c *fleet.Config) { c.Routes = nil }),
			status:  http.StatusServiceUnavailable,
			code:    "config-behind",
			within:  2 * triage.MaxConfigWait,
		},
		{
			name:    "it does not arrive",
			inForce: removed(func(c *fleet.Config) { c.Routes = nil }),
			status:  http.StatusServiceUnavailable,
			code:    "config-behind",
			within:  2 * triage.MaxConfigWait,
		},
		{
			name:    "it does not arrive while the caller waits",
			inForce: removed(func(c *fleet.Config) { c.Keys = nil }),
			wait:    50 * time.Millisecond,
			status:  http.StatusServiceUnavailable,
			code:    "config-behind",
			within:  triage.MaxConfigWait,
		},
		{
			name:     "it has not arrived for long",
			inForce:  removed(func(c *fleet.Config) { c.Routes = nil }),
			knownFor: triage.MaxConfigDelay,
			status:   http.StatusNotFound,
			code:     "route-unknown",
			within:   triage.MaxConfigWait / 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			if err := tt.inForce.Prepare(); err != nil {
				t.Fatal(err)
			}
			h.server.config.Store(tt.inForce)
			h.server.Newest().Record(h.clock.Now().Add(-tt.knownFor), 3)
			if tt.arrives != nil {
				if err := tt.arrives.Prepare(); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(100*time.Millisecond, func() { h.server.SetConfig(tt.arrives) })
			}
			req := h.request("stream")
			req.Wait = tt.wait
			c := &fakeCaller{}
			began := time.Now()
			h.server.Serve(context.Background(), req, c)
			if took := time.Since(began); took > tt.within {
				t.Errorf("answered after %v, want within %v", took, tt.within)
			}
			if tt.code == "" {
				if len(h.sender.attempts) != 1 {
					t.Errorf("sent %d times, answered with %+v", len(h.sender.attempts), c.problem)
				}
				return
			}
			if c.problem == nil || c.status != tt.status || c.problem.Code != tt.code || !c.problem.NotRun {
				t.Fatalf("answered with status %d, %+v, want %d, %s, not run", c.status, c.problem, tt.status, tt.code)
			}
			if tt.status == http.StatusServiceUnavailable && c.problem.RetryAfter <= 0 {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
}

// TestWaitForNewerConfigurationEnds guards against requests that go on to wait for a newer
// configuration after their caller has left or their node has ended them.
func TestWaitForNewerConfigurationEnds(t *testing.T) {
	for _, interrupts := range []bool{false, true} {
		h := newHarness(t, fixedAdmission{})
		h.server.Newest().Record(h.clock.Now(), 2)
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		req := h.request("stream")
		req.Key = "another key"
		c := &fakeCaller{}
		time.AfterFunc(50*time.Millisecond, func() {
			if interrupts {
				h.server.Interrupt()
			} else {
				leave()
			}
		})
		began := time.Now()
		h.server.Serve(ctx, req, c)
		if took := time.Since(began); took > triage.MaxConfigWait/2 {
			t.Errorf("interrupted %v: answered after %v", interrupts, took)
		}
		want := statusClientClosed
		if interrupts {
			want = http.StatusServiceUnavailable
		}
		if c.status != want {
			t.Errorf("interrupted %v: status %d, want %d", interrupts, c.status, want)
		}
	}
}
