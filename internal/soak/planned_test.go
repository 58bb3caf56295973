package soak

import (
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestLostBesidePlannedWork guards against a soak that overlooks requests that are lost or
// were accepted in vain, or counts those that the end of a stop may cut.
func TestLostBesidePlannedWork(t *testing.T) {
	began := time.Unix(1000, 0)
	signal := began.Add(10 * time.Second)
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
		want     string
	}{
		{name: "whole", sent: -time.Second, ended: time.Second, status: 200, complete: true, ran: true},
		{name: "a whole refusal", sent: time.Second, ended: 1010 * time.Millisecond, status: 503, complete: true},
		{name: "cut early in the grace", sent: -time.Second, ended: 2 * time.Second, status: 200, ran: true, want: "LOST"},
		{name: "no answer early in the grace", sent: -time.Second, ended: 2 * time.Second, ran: true, want: "LOST"},
		{name: "cut at its end, sent before the signal", sent: -time.Second, ended: 7800 * time.Millisecond, status: 200, ran: true},
		{name: "cut at its end, sent after the signal", sent: 2 * time.Second, ended: 7800 * time.Millisecond, status: 200, ran: true, want: "CUT"},
		{name: "no engine at work at its end", sent: 2 * time.Second, ended: 7800 * time.Millisecond, want: "LOST"},
		{name: "cut at its end, sent late", sent: 3100 * time.Millisecond, ended: 7800 * time.Millisecond, status: 200, ran: true, want: "LOST"},
		{name: "cut without a stop", sent: -9 * time.Second, ended: -7 * time.Second, status: 200, ran: true, want: "LOST"},
		{name: "at its deadline", sent: -9 * time.Second, ended: 6 * time.Second, status: 200, ran: true},
		{name: "crossed the close", sent: 0, ended: 50 * time.Millisecond},
		{name: "not passed on and kept open", sent: 0, ended: 400 * time.Millisecond, want: "LOST"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := &node{
				name: "node-1",
			}
			r := &run{
				began: began,
				opts: Options{
					Planned: true,
				},
			}
			q := &request{
				id:        "q",
				route:     route,
				node:      n,
				sent:      signal.Add(tc.sent),
				ended:     signal.Add(tc.ended),
				status:    tc.status,
				connected: true,
				written:   signal.Add(tc.sent),
				complete:  tc.complete,
			}
			runs := map[string][]site.Execution{}
			if tc.ran {
				runs["q"] = []site.Execution{{Endpoint: "e", At: q.sent}}
			}
			r.checkPlanned(record{
				requests: map[string]*request{"q": q},
				stops:    []*stop{{node: n, at: signal}},
			}, r.allConfigs(), runs, map[string][]site.Arrival{})
			got, _, _ := strings.Cut(strings.Join(r.record.violations, "\n"), ":")
			if got != tc.want {
				t.Errorf("got %q, want %q: %v", got, tc.want, r.record.violations)
			}
		})
	}
}
