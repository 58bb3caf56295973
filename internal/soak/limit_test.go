package soak

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestCheckLimited guards against a check of limits that misses requests beyond them, or
// counts those that are excused.
func TestCheckLimited(t *testing.T) {
	const second = time.Second
	t0 := time.Unix(1000, 0)
	a, b := &node{name: "a"}, &node{name: "b"}
	for _, tc := range []struct {
		name        string
		from        time.Duration
		count       int // arrivals, one each 100 ms, from a and b in turn
		unanswered  bool
		interrupted string
		want        bool
	}{
		{name: "within the bound", from: 4 * second, count: 11},
		{name: "beyond the bound", from: 4 * second, count: 12, want: true},
		{name: "before the bound counts", from: second, count: 19},
		{name: "one process had not passed it on", from: 4 * second, count: 20, unanswered: true},
		{name: "one process was disturbed", from: 4 * second, count: 14, interrupted: "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var list []limitedArrival
			add := func(n *node, at time.Duration, answered bool) {
				x := limitedArrival{
					Arrival: site.Arrival{
						At:       t0.Add(at),
						Endpoint: "e",
						Limit:    "1",
					},
					node: n,
				}
				if answered {
					x.passedOn = x.At.Add(10 * time.Millisecond)
				}
				list = append(list, x)
			}
			add(a, 0, true)
			add(b, 0, !tc.unanswered)
			for i := range tc.count {
				n := []*node{a, b}[i%2]
				add(n, tc.from+time.Duration(i)*100*time.Millisecond, !tc.unanswered || n == a)
			}
			var rec record
			if tc.interrupted != "" {
				rec.interruptions = []event{{name: tc.interrupted, at: t0.Add(tc.from - 500*time.Millisecond)}}
			}
			if got := checkLimited(rec, list); (got != "") != tc.want {
				t.Errorf("found %q", got)
			}
		})
	}
}
