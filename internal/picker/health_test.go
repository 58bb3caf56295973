package picker

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// TestClosedEndpoints guards against a choice that ignores for how long endpoints want no
// requests, and against telling callers to wait for a model that is loaded.
func TestClosedEndpoints(t *testing.T) {
	q := Query{
		Service: "lm",
		Model:   "m1",
	}
	tb := NewTable("north")
	a, b, other := engineOf("a", "m1"), engineOf("b", "m1"), engineOf("c", "m2")
	tb.SetEndpoints(t0, []fleet.Endpoint{a, b, other})
	tb.Health().SetClosed(t0, a.Key(), t0.Add(3*time.Second))
	if c, err := tb.Pick(t0, q); err != nil || c.Endpoint.ID != "b" {
		t.Errorf("chose %q, %v; want the open one", c.Endpoint.ID, err)
	}
	tb.EndAttempt(t0, b.Key(), Served)
	if closed := tb.Reopening(t0, q); closed != nil {
		t.Errorf("%v although one is open", closed)
	}
	tb.Health().SetClosed(t0, b.Key(), t0.Add(2*time.Second))
	for _, exclude := range []map[fleet.Key]bool{nil, {b.Key(): true}} {
		q.Exclude = exclude
		_, err := tb.Pick(t0.Add(time.Second), q)
		var closed *health.ClosedError
		if !errors.As(err, &closed) || closed.Engine != b.Key() || !closed.Until.Equal(t0.Add(2*time.Second)) {
			t.Errorf("the choice ended with %v, want the endpoint that opens first", err)
		}
	}
	q.Exclude = nil
	if c, err := tb.Pick(t0.Add(2*time.Second), q); err != nil || c.Endpoint.ID != "b" {
		t.Errorf("chose %q, %v after the end of the time", c.Endpoint.ID, err)
	}
	tb.EndAttempt(t0, b.Key(), Served)
	// Where one leaves and the other is closed, nothing but the closed one can serve.
	tb.Health().SetLeaving(t0, b.Key(), health.Peer)
	var closed *health.ClosedError
	if _, err := tb.Pick(t0.Add(2*time.Second), q); !errors.As(err, &closed) || closed.Engine != a.Key() {
		t.Errorf("the choice ended with %v", err)
	}
}

// BenchmarkHealth measures the question whether an engine is usable, asked of all engines
// of a deployment of which a tenth have said something, beside the whole choice among
// them.
func BenchmarkHealth(b *testing.B) {
	for _, engines := range []int{192, 2600} {
		tb := NewTable("north")
		var list []fleet.Endpoint
		var keys []fleet.Key
		for i := range engines {
			e := engineOf(fmt.Sprintf("engine-%d", i), "m1")
			list = append(list, e)
			keys = append(keys, e.Key())
		}
		tb.SetEndpoints(t0, list)
		for i := 0; i < engines; i += 20 {
			tb.Health().SetLeaving(t0, keys[i], health.Answer)
			tb.Health().SetClosed(t0, keys[i+1], t0.Add(time.Hour))
		}
		b.Run(fmt.Sprintf("question-%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			usable := 0
			for b.Loop() {
				for _, k := range keys {
					if tb.Health().Ask(t0, k).Usable {
						usable++
					}
				}
			}
		})
		b.Run(fmt.Sprintf("choice-%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, err := tb.Pick(t0, Query{
					Service: "lm",
					Model:   "m1",
					Session: "s",
				})
				if err != nil {
					b.Fatal(err)
				}
				tb.EndAttempt(t0, c.Endpoint.Key(), Served)
			}
		})
	}
}

// TestLimitedEndpoints guards against a choice of endpoints that limit requests while others
// have room, against requests there without a place, and against limits whose end nobody
// notices.
func TestLimitedEndpoints(t *testing.T) {
	limit := health.ParseLimit([]string{"1.4"})
	for _, tc := range []struct {
		name      string
		limited   string // endpoints
		full      string
		places    bool
		after     time.Duration // since the limit was named
		want      string        // empty if the choice waits for a place
		preferred string
	}{
		{name: "another has room", limited: "a", places: true, want: "b"},
		{name: "the others are full", limited: "a", full: "b", places: true, want: "a"},
		{name: "the others are full, and no place", limited: "a", full: "b", want: "b", preferred: "a"},
		{name: "all limit requests", limited: "ab", places: true, want: "ab"},
		{name: "all limit requests, and no place", limited: "ab"},
		{name: "nothing heard for long", limited: "a", full: "b", places: true, after: limitProbeAfter, want: "a"},
		{name: "nothing heard for long, and no place", limited: "a", full: "b", after: limitProbeAfter, want: "b", preferred: "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb := NewTable("north")
			tb.randomExp = func() float64 { return 0 }
			ends := []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")}
			tb.SetEndpoints(t0, ends)
			now := t0.Add(tc.after)
			for _, e := range ends {
				if strings.Contains(tc.limited, e.ID) {
					tb.Health().HearLimit(t0, t0, e.Key(), limit, health.Answer)
				}
				if strings.Contains(tc.full, e.ID) {
					tb.SetReport(now, fleet.Report{
						Key:    e.Key(),
						Models: e.Models,
						Active: e.Slots,
						Queued: e.Slots,
					})
				}
			}
			c, err := tb.Pick(now, Query{
				Service:  "lm",
				Model:    "m1",
				HasPlace: func(fleet.Key) bool { return tc.places },
			})
			var limited *LimitedError
			switch {
			case tc.want == "" && !errors.As(err, &limited):
				t.Errorf("chose %q, %v; want to wait for a place", c.Endpoint.ID, err)
			case tc.want != "" && (err != nil || !strings.Contains(tc.want, c.Endpoint.ID)):
				t.Errorf("chose %q, %v; want %q", c.Endpoint.ID, err, tc.want)
			case c.Preferred.ID != tc.preferred:
				t.Errorf("prefers %q, want %q", c.Preferred.ID, tc.preferred)
			case c.IsLimited != (err == nil && strings.Contains(tc.limited, c.Endpoint.ID)):
				t.Errorf("limited %v", c.IsLimited)
			}
		})
	}
}
