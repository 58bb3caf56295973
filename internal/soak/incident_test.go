package soak

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestCheckBlocked guards against a soak that overlooks sound requests that are refused for a
// part of their prompt, or counts refusals of prompts that crash engines.
func TestCheckBlocked(t *testing.T) {
	began := time.Unix(1000, 0)
	sent := began.Add(10 * time.Second)
	for _, tc := range []struct {
		name     string
		parts    []string
		code     string
		answered time.Duration // of a request with the sound parts, from the refused one
		lost     int           // requests with the rare part that were not answered before
		unwell   bool          // the process is not stable
		want     bool
	}{
		{name: "a part that crashes engines", parts: []string{"first", "deadly"}, code: partBlocked, answered: -time.Second},
		{name: "sound parts", parts: []string{"first", "second"}, code: partBlocked, answered: -time.Second, want: true},
		{name: "the part that all requests share", code: partBlocked, answered: -time.Second, want: true},
		{name: "a part that was not answered yet, lost twice", parts: []string{"first", "rare"}, code: partBlocked, answered: -time.Second, lost: 2},
		{name: "a part that was not answered yet, lost once", parts: []string{"first", "rare"}, code: partBlocked, answered: -time.Second, lost: 1, want: true},
		{name: "sound parts that were answered later, not lost", parts: []string{"first", "second"}, code: partBlocked, answered: time.Second, want: true},
		{name: "sound parts, process not stable", parts: []string{"first", "second"}, code: partBlocked, answered: -time.Second, unwell: true},
		{name: "sound parts, refused for another reason", parts: []string{"first", "second"}, code: "no-endpoint", answered: -time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := &node{
				name: "node-1",
				run:  &run{},
			}
			route := &site.Route{
				Name: "plans",
			}
			r := &run{
				began: began,
			}
			requests := map[string]*request{
				"before": {
					id:       "before",
					route:    route,
					node:     n,
					parts:    []string{"first", "second"},
					ended:    sent.Add(tc.answered),
					status:   http.StatusOK,
					complete: true,
				},
				"refused": {
					id:     "refused",
					route:  route,
					node:   n,
					parts:  tc.parts,
					sent:   sent,
					ended:  sent,
					stable: !tc.unwell,
					status: http.StatusServiceUnavailable,
					answer: `{"error":{"code":"` + tc.code + `"}}`,
				},
			}
			for i := range tc.lost {
				id := strconv.Itoa(i)
				requests[id] = &request{
					id:    id,
					route: route,
					node:  n,
					parts: []string{"rare"},
					ended: sent.Add(-time.Second),
				}
			}
			r.checkBlocked(record{
				deadly: []deadlyPart{
					{id: "deadly"},
				},
				requests: requests,
			})
			if got := len(r.record.violations) > 0; got != tc.want {
				t.Errorf("reported %v, want %v: %v", got, tc.want, r.record.violations)
			}
		})
	}
}

// TestCheckDrains guards against a soak that overlooks requests to endpoints that leave, or
// counts those to an endpoint that was restarted since it said so.
func TestCheckDrains(t *testing.T) {
	began := time.Unix(1000, 0)
	left := began.Add(10 * time.Second)
	for _, tc := range []struct {
		name     string
		endpoint string
		started  time.Time
		at       time.Duration // since the endpoint said that it leaves
		unwell   bool          // the process is not stable
		want     bool
	}{
		{name: "soon", endpoint: "a", started: began, at: drainBound},
		{name: "later than the bound", endpoint: "a", started: began, at: drainBound + time.Millisecond, want: true},
		{name: "another endpoint", endpoint: "b", started: began, at: drainBound + time.Millisecond},
		{name: "restarted since", endpoint: "a", started: left.Add(time.Second), at: drainBound + time.Millisecond},
		{name: "the process is not stable", endpoint: "a", started: began, at: drainBound + time.Millisecond, unwell: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &run{
				began: began,
			}
			at := left.Add(tc.at)
			r.checkDrains([]site.Execution{
				{
					At:          at,
					Request:     "q",
					Endpoint:    tc.endpoint,
					Incarnation: tc.started.UnixMilli(),
				},
			}, record{
				drains: []event{{name: "a", at: left}},
				requests: map[string]*request{
					"q": {
						id:     "q",
						node:   &node{name: "node-1"},
						sent:   at,
						stable: !tc.unwell,
					},
				},
			})
			if got := len(r.record.violations) > 0; got != tc.want {
				t.Errorf("reported %v, want %v: %v", got, tc.want, r.record.violations)
			}
		})
	}
}
