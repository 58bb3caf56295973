package serve

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// movedConfig returns a configuration whose route "resume" leads to the service "lm2",
// changed by edit.
func movedConfig(version int64, edit func(*fleet.Route)) *fleet.Config {
	c := testConfig(version)
	second := *c.Services["lm"]
	second.Name = "lm2"
	c.Services["lm2"] = &second
	for i := range c.Routes {
		if c.Routes[i].Name == "resume" {
			c.Routes[i].Targets = []fleet.Target{{Service: "lm2", Weight: 1}}
			if edit != nil {
				edit(&c.Routes[i])
			}
		}
	}
	return c
}

// TestRouteMovedDuringStream guards against what a change of the configuration makes a
// running request forget: events that its caller has, attempts that were made, and the
// retries of the service to which its route leads now.
func TestRouteMovedDuringStream(t *testing.T) {
	for _, tc := range []struct {
		name      string
		lastEvent string
		edit      func(*fleet.Route)
		// usedUp uses up the retries of the new service.
		usedUp bool
		want   string // events that the caller gets
		ended  bool
		runs   int
	}{
		{name: "resumed by the caller", lastEvent: "6", want: "7 8 9", ended: true, runs: 2},
		{name: "begun here", want: "1 2 3", ended: true, runs: 2},
		{name: "no longer resumable", lastEvent: "6", edit: func(r *fleet.Route) { r.Resumable = false }, want: "7 8", runs: 1},
		{name: "fewer attempts", lastEvent: "6", edit: func(r *fleet.Route) { r.MaxAttempts = 1 }, want: "7 8", runs: 1},
		{name: "no retries left there", lastEvent: "6", usedUp: true, want: "7 8", runs: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			list := h.table.Endpoints()
			for i := range 2 {
				list = append(list, fleet.Endpoint{
					ID:          "lm2-" + string(rune('a'+i)),
					Incarnation: 1,
					Service:     "lm2",
					Domain:      "north",
					Slots:       64,
					Models:      []fleet.Resident{{Model: "m1"}},
				})
			}
			h.table.SetEndpoints(time.Now(), list)
			if tc.usedUp {
				h.server.SetRetries(RetryRule{Ratio: 0.2, Slack: 2})
				h.useUpRetries("lm2")
			}
			config := movedConfig(2, tc.edit)
			if err := config.Prepare(); err != nil {
				t.Fatal(err)
			}
			h.sender.body = func(a Attempt) io.ReadCloser {
				if a.Endpoint.Service == "lm2" {
					return io.NopCloser(strings.NewReader(eventsFrom(a.LastEvent, 1)))
				}
				h.server.SetConfig(config)
				return io.NopCloser(io.MultiReader(strings.NewReader(eventsFrom(a.LastEvent, 2)), errReader{}))
			}
			q := h.request("resume")
			q.LastEvent = tc.lastEvent
			c := &fakeCaller{}
			h.server.Serve(t.Context(), q, c)
			if got := eventIDs(c.body.String()); got != tc.want || c.ended != tc.ended || c.aborted == tc.ended || h.sender.runs != tc.runs {
				t.Errorf("the caller got events %s, ended %v, aborted %v, after %d runs; want %s, %v, %d runs",
					got, c.ended, c.aborted, h.sender.runs, tc.want, tc.ended, tc.runs)
			}
		})
	}
}

// TestExcludedAfterConfigChange guards against sending a request again to the endpoint
// that lost it, because a configuration came into force between the two attempts.
func TestExcludedAfterConfigChange(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	c := &call{
		Server: h.server,
		req:    h.request("read"),
		caller: &fakeCaller{},
		config: h.server.Config(),
	}
	if p := c.prepare(context.Background()); p != nil {
		t.Fatal(p)
	}
	key := fleet.Key{ID: "app0", Incarnation: 1}
	c.sentAttempts, c.ranAttempts = 1, 1
	c.excludeEndpoint(key)
	deadline := c.deadline
	config := testConfig(2)
	if err := config.Prepare(); err != nil {
		t.Fatal(err)
	}
	h.server.SetConfig(config)
	if p := c.recheck(); p != nil || c.config != config {
		t.Fatalf("the configuration was not taken over: %+v", p)
	}
	if !c.query().Exclude[key] || !c.deadline.Equal(deadline) || c.ranAttempts != 1 {
		t.Errorf("excluded %v, deadline %v in place of %v, %d attempts", c.query().Exclude, c.deadline, deadline, c.ranAttempts)
	}
}

// useUpRetries uses up the retry budget of a service and returns how many were left.
func (h *harness) useUpRetries(service string) int {
	n := 0
	for h.server.allowRepeat(service) {
		n++
	}
	return n
}

// eventsFrom returns count events that follow the one with the given id.
func eventsFrom(last string, count int) string {
	from, _ := strconv.Atoi(last)
	var b strings.Builder
	for id := from + 1; id <= from+count; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}

// eventIDs returns the ids of the events in a stream, separated by spaces.
func eventIDs(stream string) string {
	var ids []string
	for line := range strings.Lines(stream) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}
