package entry_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestEnginesThatTurnAway guards against completions and calls that are sent to endpoints
// before the end of the time for which these wanted none, and against callers that are
// told to return before that.
func TestEnginesThatTurnAway(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		method string
		body   string
		faults func(*testFleet) []*fault.Set
	}{
		{
			name:   "completion",
			path:   completion,
			method: http.MethodPost,
			body:   requestBody("turned away", 5, false),
			faults: func(b *testFleet) []*fault.Set {
				return []*fault.Set{b.Engines["e1"].Faults(), b.Engines["e2"].Faults()}
			},
		},
		{
			name:   "call of a plain service",
			path:   "/booking/lanes",
			method: http.MethodGet,
			faults: func(b *testFleet) []*fault.Set { return []*fault.Set{b.Services["b1"].Faults()} },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestFleet(t)
			sets := tc.faults(b)
			for _, s := range sets {
				if err := s.Add(fault.Fault{
					Kind:       fault.Refuse,
					Path:       tc.path,
					RetryAfter: "3",
				}); err != nil {
					t.Fatal(err)
				}
			}
			hits := func() int {
				n := 0
				for _, s := range sets {
					for _, f := range s.List() {
						n += f.Hits
					}
				}
				return n
			}
			send := func() (*http.Response, time.Duration) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, tc.method, "http://"+b.Nodes[0].CallersAddr+tc.path, strings.NewReader(tc.body))
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set("Authorization", "Bearer "+b.key)
				sent := time.Now()
				res, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				res.Body.Close()
				return res, time.Since(sent)
			}
			send()
			closedAt := time.Now()
			first := hits()
			if first != len(sets) {
				t.Errorf("the endpoints turned the first request away %d times", first)
			}
			for range 20 {
				res, took := send()
				seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
				if res.StatusCode != http.StatusServiceUnavailable || err != nil {
					t.Fatalf("status %d, %v", res.StatusCode, err)
				}
				if left := time.Until(closedAt.Add(2800 * time.Millisecond)); time.Duration(seconds)*time.Second < left {
					t.Errorf("the caller returns after %d s, the endpoints want none for %v", seconds, left)
				}
				if took > 500*time.Millisecond {
					t.Errorf("the refusal took %v", took)
				}
			}
			if n := hits() - first; n > 0 {
				t.Errorf("%d requests reached endpoints that wanted none", n)
			}
			for _, s := range sets {
				s.Clear("")
			}
			eventually(t, 6*time.Second, func() error {
				res, _ := send()
				if res.StatusCode == http.StatusOK {
					return nil
				}
				return &engine.StatusError{
					Status: res.StatusCode,
				}
			})
		})
	}
}

// TestEngineThatLeavesSaysSo guards against an answer of an engine that leaves from which
// the client does not read that it leaves.
func TestEngineThatLeavesSaysSo(t *testing.T) {
	b := newTestFleet(t)
	client, release := engine.NewClient(engine.Options{})
	defer release()
	c, err := b.Admin(0)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := c.Config(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(cfg.Endpoints, func(e spec.Endpoint) bool { return e.Name == "e1" })
	call := func(body string) engine.Call {
		return engine.Call{
			Address:   cfg.Endpoints[i].Address,
			Method:    http.MethodPost,
			Path:      completion,
			Body:      []byte(body),
			RequestID: "x1",
		}
	}
	for _, leaving := range []bool{false, true} {
		b.Engines["e1"].SetLeaving(leaving)
		whole, err := client.Complete(t.Context(), call(requestBody("x", 2, false)))
		if err != nil || whole.Leaving != leaving {
			t.Errorf("answer: %v; want leaving %v", err, leaving)
		}
		stream, err := client.Stream(t.Context(), call(requestBody("x", 2, true)))
		if err != nil {
			t.Fatal(err)
		}
		if stream.Leaving != leaving {
			t.Errorf("stream: want leaving %v", leaving)
		}
		stream.Close()
		_, err = client.Complete(t.Context(), call(`{"model":"none","prompt":"x","max_tokens":2}`))
		if err == nil || engine.StatementOf(err).Leaving != leaving {
			t.Errorf("refusal: %v; want leaving %v", err, leaving)
		}
	}
}
