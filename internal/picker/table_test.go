package picker

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/fleet"
)

var t0 = time.Unix(1000, 0)

func engineOf(id, model string, adapters ...string) fleet.Endpoint {
	return fleet.Endpoint{
		ID:          id,
		Incarnation: 1,
		Service:     "lm",
		Address:     "10.0.0.1:80",
		Domain:      "north",
		Slots:       64,
		Models:      []fleet.Resident{{Model: model, Adapters: adapters}},
	}
}

// TestPick guards against choosing endpoints that are leaving, unreachable,
// failing or much slower, or about to unload the model, while a better one is
// available.
func TestPick(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints []fleet.Endpoint
		prepare   func(*Table)
		query     Query
		want      string
		err       error
	}{
		{
			name:      "a leaving endpoint",
			endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 1, Service: "app", Leaving: true}, {ID: "b", Incarnation: 1, Service: "app"}},
			query:     Query{Service: "app"},
			want:      "b",
		},
		{
			name:      "only leaving endpoints",
			endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 1, Service: "app", Leaving: true}},
			query:     Query{Service: "app"},
			err:       ErrNoEndpoint,
		},
		{
			name:      "a model that no endpoint holds",
			endpoints: []fleet.Endpoint{engineOf("a", "m1")},
			query:     Query{Service: "lm", Model: "m2"},
			err:       ErrNotResident,
		},
		{
			name:      "an excluded endpoint",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")},
			query:     Query{Service: "lm", Model: "m1", Exclude: map[fleet.Key]bool{{ID: "a", Incarnation: 1}: true}},
			want:      "b",
		},
		{
			name:      "an endpoint to which a connection failed",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")},
			prepare: func(tb *Table) {
				tb.EndAttempt(t0, fleet.Key{ID: "a", Incarnation: 1}, Unreachable)
			},
			query: Query{Service: "lm", Model: "m1"},
			want:  "b",
		},
		{
			name:      "a model whose only holder cannot be connected to",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m2")},
			prepare: func(tb *Table) {
				tb.EndAttempt(t0, fleet.Key{ID: "a", Incarnation: 1}, Unreachable)
			},
			query: Query{Service: "lm", Model: "m1"},
			err:   ErrNotResident,
		},
		{
			name:      "an endpoint that fails requests",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")},
			prepare: func(tb *Table) {
				for range 5 {
					tb.EndAttempt(t0, fleet.Key{ID: "a", Incarnation: 1}, Faulted)
				}
			},
			query: Query{Service: "lm", Model: "m1"},
			want:  "b",
		},
		{
			name:      "a slow engine although it is idle",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")},
			prepare: func(tb *Table) {
				for range 30 {
					tb.RecordPace(fleet.Key{ID: "a", Incarnation: 1}, 3)
					tb.RecordPace(fleet.Key{ID: "b", Incarnation: 1}, 1)
				}
				tb.SetReport(t0, fleet.Report{Key: fleet.Key{ID: "a", Incarnation: 1}, Models: []fleet.Resident{{Model: "m1"}}})
				tb.SetReport(t0, fleet.Report{Key: fleet.Key{ID: "b", Incarnation: 1}, Models: []fleet.Resident{{Model: "m1"}}, Active: 20})
			},
			query: Query{Service: "lm", Model: "m1"},
			want:  "b",
		},
		{
			name:      "the engine that holds the adapter",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1", "a3")},
			query:     Query{Service: "lm", Model: "m1", Adapter: "a3"},
			want:      "b",
		},
		{
			name:      "a model that is about to be unloaded",
			endpoints: []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")},
			prepare: func(tb *Table) {
				tb.SetPendingUnloads(map[fleet.Key][]string{{ID: "a", Incarnation: 1}: {"m1"}})
			},
			query: Query{Service: "lm", Model: "m1"},
			want:  "b",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb := NewTable("north")
			tb.SetEndpoints(t0, tc.endpoints)
			if tc.prepare != nil {
				tc.prepare(tb)
			}
			c, err := tb.Pick(t0.Add(time.Millisecond), tc.query)
			if !errors.Is(err, tc.err) || c.Endpoint.ID != tc.want {
				t.Errorf("chose %q, %v; want %q, %v", c.Endpoint.ID, err, tc.want, tc.err)
			}
		})
	}
}

// TestSilentEndpoint guards against sending more requests to an endpoint that has
// running requests and sends nothing.
func TestSilentEndpoint(t *testing.T) {
	tb := NewTable("north")
	tb.SetEndpoints(t0, []fleet.Endpoint{engineOf("a", "m1"), engineOf("b", "m1")})
	q := Query{Service: "lm", Model: "m1"}
	first, err := tb.Pick(t0, q)
	if err != nil {
		t.Fatal(err)
	}
	// The other endpoint answers at once and has many requests.
	for range 30 {
		c, err := tb.Pick(t0, Query{Service: "lm", Model: "m1", Exclude: map[fleet.Key]bool{first.Endpoint.Key(): true}})
		if err != nil {
			t.Fatal(err)
		}
		tb.RecordProgress(t0.Add(silentAfter), c.Endpoint.Key())
	}
	c, err := tb.Pick(t0.Add(silentAfter+time.Millisecond), q)
	if err != nil || c.Endpoint.ID == first.Endpoint.ID {
		t.Errorf("chose %q, %v; want the endpoint that answers", c.Endpoint.ID, err)
	}
}

// TestIncarnation guards against using the models or a report of an endpoint for
// a later incarnation with the same id.
func TestIncarnation(t *testing.T) {
	tb := NewTable("north")
	tb.SetEndpoints(t0, []fleet.Endpoint{engineOf("a", "m1")})
	next := engineOf("a", "m1")
	next.Incarnation = 2
	next.Models = nil
	added, _, _ := tb.SetEndpoints(t0, []fleet.Endpoint{next})
	if len(added) != 1 {
		t.Errorf("a new incarnation was not reported as added")
	}
	if _, err := tb.Pick(t0, Query{Service: "lm", Model: "m1"}); !errors.Is(err, ErrNotResident) {
		t.Errorf("the model of the previous incarnation was found: %v", err)
	}
	tb.SetReport(t0, fleet.Report{Key: fleet.Key{ID: "a", Incarnation: 1}, Models: []fleet.Resident{{Model: "m1"}}, OrdersAccepted: 9})
	if _, err := tb.Pick(t0, Query{Service: "lm", Model: "m1"}); !errors.Is(err, ErrNotResident) {
		t.Errorf("a report of the previous incarnation was used: %v", err)
	}
}

// TestBudget guards against more repeats over all nodes than the ratio and the
// slack allow in any window, however unevenly requests arrive.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio  = 0.2
			slack  = 52.0
			window = 10 * time.Second
		)
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudget(ratio, slack/float64(nodes), window)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := t0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				events = append(events, event{at: now})
			}
			for range rapid.IntRange(0, 20).Draw(t, "repeats") {
				if b.AllowRepeat(now) {
					events = append(events, event{at: now, repeat: true})
				}
			}
			var repeats, during, before, half float64
			for _, e := range events {
				age := now.Sub(e.at)
				switch {
				case e.repeat && age <= window:
					repeats++
				case e.repeat:
				default:
					if age <= window {
						during++
					}
					if age > window && age <= 2*window {
						before++
					}
					if age > window/2 && age <= 3*window/2 {
						half++
					}
				}
			}
			if most := ratio*max(during, before, half) + slack; repeats > most {
				t.Fatalf("%.0f repeats in a window, the bound is %.1f", repeats, most)
			}
		}
	})
}

// BenchmarkPick measures a choice among the engines of a large deployment.
func BenchmarkPick(b *testing.B) {
	tb := NewTable("north")
	var list []fleet.Endpoint
	for i := range 90 {
		list = append(list, engineOf(fmt.Sprintf("e%d", i), fmt.Sprintf("m%d", i%5)))
	}
	tb.SetEndpoints(t0, list)
	for b.Loop() {
		c, err := tb.Pick(t0, Query{Service: "lm", Model: "m1", Session: "s"})
		if err != nil {
			b.Fatal(err)
		}
		tb.EndAttempt(t0, c.Endpoint.Key(), Served)
	}
}

// TestCutDomain guards against sending requests to each endpoint of a failure
// domain that is cut off: without state for the domain, requests wait for the
// connect timeout at one endpoint after the other (40 of 60 engines).
func TestCutDomain(t *testing.T) {
	tb := NewTable("north")
	var endpoints []fleet.Endpoint
	for i := range 12 {
		e := engineOf(fmt.Sprintf("e%02d", i), "m1")
		if i%3 > 0 {
			e.Domain = "south"
		}
		endpoints = append(endpoints, e)
	}
	tb.SetEndpoints(t0, endpoints)
	query := Query{Service: "lm", Model: "m1"}
	now := t0
	south, cut := 0, true
	request := func() {
		c, err := tb.Pick(now, query)
		if err != nil {
			t.Fatal(err)
		}
		key := c.Endpoint.Key()
		switch {
		case c.Endpoint.Domain == "north":
			// The request keeps running, so that the rising load makes the south
			// cheaper for the next ones.
			tb.RecordProgress(now, key)
		case cut:
			south++
			tb.EndAttempt(now, key, Unreachable)
		default:
			south++
			tb.RecordProgress(now, key)
			tb.EndAttempt(now, key, Served)
		}
	}
	var log bytes.Buffer
	tb.SetLog(slog.New(slog.NewTextHandler(&log, nil)))
	for range 100 {
		request()
		now = now.Add(20 * time.Millisecond)
	}
	if south > domainCutFailures+4 {
		t.Errorf("%d requests of 100 in 2 s were sent to a domain that is cut off", south)
	}
	cut, south = false, 0
	now = now.Add(maxCutBackoff)
	for range 20 {
		request()
	}
	for _, line := range []string{"failure domain not reached", "failure domain reached again"} {
		if n := strings.Count(log.String(), line); n != 1 {
			t.Errorf("the log has %d lines %q", n, line)
		}
	}
	if south < 10 {
		t.Errorf("%d of 20 requests went to the domain after it was back and idle", south)
	}
}

// TestChoicesOfManyNodes guards against all nodes choosing the same engine
// between two reports. Without jitter the busiest of 90 engines got three times
// the mean load. The choices of a single round scatter: nearly one round in a
// hundred gives an engine more than three times its even share, so the shares
// compared are the means of many rounds.
func TestChoicesOfManyNodes(t *testing.T) {
	const nodes, engines, rounds = 80, 8, 100
	var endpoints []fleet.Endpoint
	for i := range engines {
		endpoints = append(endpoints, engineOf(fmt.Sprintf("e%d", i), "m1"))
	}
	got := map[string]int{}
	for range rounds * nodes {
		tb := NewTable("north")
		tb.SetEndpoints(t0, endpoints)
		tb.SetNodes(nodes)
		for i, e := range endpoints {
			tb.SetReport(t0, fleet.Report{Key: e.Key(), Models: e.Models, Active: 10 + i/4})
		}
		c, err := tb.Pick(t0, Query{Service: "lm", Model: "m1"})
		if err != nil {
			t.Fatal(err)
		}
		got[c.Endpoint.ID]++
	}
	const limit = 2.25 * nodes / engines
	for id, n := range got {
		if mean := float64(n) / rounds; mean > limit {
			t.Errorf("%.1f of %d nodes chose %s in the mean of %d rounds", mean, nodes, id, rounds)
		}
	}
}

// TestStaleReport guards against preferring an engine that appears idle because
// it has sent no report for seconds, while others have.
func TestStaleReport(t *testing.T) {
	tb := NewTable("north")
	a, b := engineOf("a", "m1"), engineOf("b", "m1")
	tb.SetEndpoints(t0, []fleet.Endpoint{a, b})
	tb.SetReport(t0, fleet.Report{Key: a.Key(), Models: a.Models, Active: 12})
	later := t0.Add(3 * time.Second)
	tb.SetReport(later, fleet.Report{Key: b.Key(), Models: b.Models, Active: 12})
	c, err := tb.Pick(later, Query{Service: "lm", Model: "m1"})
	if err != nil || c.Endpoint.ID != "b" {
		t.Errorf("chose %s (%v)", c.Endpoint.ID, err)
	}
}

// TestMissing guards against sending further requests to an engine that has just said that
// it lacks their model or adapter, because of a report that is older than its answer.
func TestMissing(t *testing.T) {
	tb := NewTable("north")
	a := engineOf("a", "m1", "x", "y")
	tb.SetEndpoints(t0, []fleet.Endpoint{a})
	report := func(now time.Time) {
		tb.SetReport(now, fleet.Report{Key: a.Key(), Models: a.Models})
	}
	report(t0)
	steps := []struct {
		name    string
		at      time.Duration
		missing string // model and adapter
		report  bool
		// holds and has are whether the engine is chosen for the model, and said to hold
		// the adapter x.
		holds bool
		has   bool
	}{
		{name: "at first", holds: true, has: true},
		{name: "another adapter is missing", at: 10 * time.Millisecond, missing: "m1/y", holds: true, has: true},
		{name: "the adapter is missing", at: 20 * time.Millisecond, missing: "m1/x", holds: true},
		{name: "a report that may be older", at: 100 * time.Millisecond, report: true, holds: true},
		{name: "a newer report", at: 300 * time.Millisecond, report: true, holds: true, has: true},
		{name: "the model is missing", at: 400 * time.Millisecond, missing: "m1/"},
		{name: "no report", at: 1800 * time.Millisecond},
		{name: "no report for long", at: 2 * time.Second, holds: true, has: true},
	}
	for _, s := range steps {
		now := t0.Add(s.at)
		if model, adapter, ok := strings.Cut(s.missing, "/"); ok {
			tb.RecordMissing(now, a.Key(), model, adapter)
		}
		if s.report {
			report(now)
		}
		c, err := tb.Pick(now, Query{Service: "lm", Model: "m1", Adapter: "x"})
		if (err == nil) != s.holds || c.HasAdapter != s.has {
			t.Errorf("%s: chosen %v (%v), adapter %v; want %v, %v", s.name, err == nil, err, c.HasAdapter, s.holds, s.has)
		}
		if err == nil {
			tb.EndAttempt(now, c.Endpoint.Key(), Served)
		}
	}
}

// TestReportNewerThanEntry guards against ignoring the reports of an engine once
// its registered entry was written more often than orders were given: requests
// then waited for models that had been loaded seconds before.
func TestReportNewerThanEntry(t *testing.T) {
	tb := NewTable("north")
	entry := engineOf("a", "m1")
	tb.SetEndpoints(t0, []fleet.Endpoint{entry})
	holds := func(now time.Time, model string) bool {
		c, err := tb.Pick(now, Query{Service: "lm", Model: model})
		if err == nil {
			tb.EndAttempt(now, c.Endpoint.Key(), Served)
		}
		return err == nil
	}
	tb.SetReport(t0, fleet.Report{Key: entry.Key(), Models: []fleet.Resident{{Model: "m1"}, {Model: "m2"}}, OrdersAccepted: 1})
	if !holds(t0, "m2") {
		t.Error("the report was ignored")
	}
	// The entry is written again with what the engine held before.
	tb.SetEndpoints(t0.Add(time.Second), []fleet.Endpoint{entry})
	if !holds(t0.Add(time.Second), "m2") {
		t.Error("an older entry replaced the report")
	}
	later := t0.Add(10 * time.Second)
	tb.SetEndpoints(later, []fleet.Endpoint{entry})
	if !holds(later, "m2") {
		t.Error("an unchanged entry replaced the last report")
	}
	changed := engineOf("a", "m3")
	tb.SetEndpoints(later, []fleet.Endpoint{changed})
	if !holds(later, "m3") || holds(later, "m2") {
		t.Error("a changed entry was ignored although no reports arrive")
	}
}

// TestUnresponsiveEngine guards against sending each request for a model to its only
// holder after that has stopped answering and reporting: callers then wait until
// they leave (173 requests in 7 s of a day of the users' bench). An engine that only
// has a long queue keeps its requests.
func TestUnresponsiveEngine(t *testing.T) {
	q := Query{Service: "lm", Model: "m1"}
	for _, tc := range []struct {
		name string
		// reports says whether the holder still sends reports.
		reports bool
		want    error
	}{
		{name: "silent and without reports", want: ErrNotResident},
		{name: "silent with reports", reports: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb := NewTable("north")
			holder, other := engineOf("a", "m1"), engineOf("b", "m2")
			tb.SetEndpoints(t0, []fleet.Endpoint{holder, other})
			now := t0
			report := func(e fleet.Endpoint) {
				tb.SetReport(now, fleet.Report{Key: e.Key(), Models: e.Models, Active: 5})
			}
			report(holder)
			var err error
			running := 0
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				report(other)
				if tc.reports {
					report(holder)
				}
				if _, err = tb.Pick(now, q); err == nil {
					running++
				}
			}
			if !errors.Is(err, tc.want) {
				t.Fatalf("after 4 s the choice ended with %v, want %v", err, tc.want)
			}
			if tc.want == nil {
				return
			}
			for range running {
				tb.EndAttempt(now, holder.Key(), Ended)
			}
			if _, err := tb.Pick(now, q); err != nil {
				t.Errorf("no request tests whether the engine answers: %v", err)
			}
			if _, err := tb.Pick(now, q); !errors.Is(err, ErrNotResident) {
				t.Errorf("a second request was sent before the first was answered: %v", err)
			}
			now = now.Add(100 * time.Millisecond)
			report(holder)
			if _, err := tb.Pick(now, q); err != nil {
				t.Errorf("the engine reports again and gets no requests: %v", err)
			}
		})
	}
}
