package soak

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestLostBesidePlannedWork guards against a soak that overlooks lost requests, or counts
// those that the end of a stop may cut.
func TestLostBesidePlannedWork(t *testing.T) {
	began := time.Unix(1000, 0)
	stop := began.Add(10 * time.Second)
	route := &site.Route{
		Name:      "plans",
		TimeoutMS: 15_000,
	}
	for _, tc := range []struct {
		name     string
		sent     time.Duration // from the stop
		ended    time.Duration
		status   int
		complete bool
		ran      bool
		lost     bool
	}{
		{name: "whole", sent: -time.Second, ended: time.Second, status: 200, complete: true, ran: true},
		{name: "a whole refusal", sent: time.Second, ended: 1010 * time.Millisecond, status: 503, complete: true},
		{name: "cut early in the grace", sent: -time.Second, ended: 2 * time.Second, status: 200, ran: true, lost: true},
		{name: "no answer early in the grace", sent: -time.Second, ended: 2 * time.Second, ran: true, lost: true},
		{name: "cut at its end", sent: 2 * time.Second, ended: 7800 * time.Millisecond, status: 200, ran: true},
		{name: "cut at its end, sent late", sent: 3100 * time.Millisecond, ended: 7800 * time.Millisecond, status: 200, ran: true, lost: true},
		{name: "cut without a stop", sent: -9 * time.Second, ended: -7 * time.Second, status: 200, ran: true, lost: true},
		{name: "at its deadline", sent: -9 * time.Second, ended: 6 * time.Second, status: 200, ran: true},
		{name: "crossed the close", sent: 0, ended: 50 * time.Millisecond},
		{name: "not passed on and kept open", sent: 0, ended: 400 * time.Millisecond, lost: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &run{
				began: began,
				opts: Options{
					Planned: true,
				},
			}
			q := &request{
				id:       "q",
				route:    route,
				node:     &node{name: "node-1"},
				sent:     stop.Add(tc.sent),
				ended:    stop.Add(tc.ended),
				status:   tc.status,
				complete: tc.complete,
			}
			runs := map[string][]site.Execution{}
			if tc.ran {
				runs["q"] = []site.Execution{{Endpoint: "e", At: q.sent}}
			}
			r.checkPlanned(record{
				requests: map[string]*request{"q": q},
				stops:    []event{{name: "node-1", at: stop}},
			}, runs)
			if lost := len(r.record.violations) > 0; lost != tc.lost {
				t.Errorf("lost: %v, want %v: %v", lost, tc.lost, r.record.violations)
			}
		})
	}
}
