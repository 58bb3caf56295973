package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
)

// fakeProber says whether engines have crashed.
type fakeProber struct {
	crashed bool
	err     error
}

func (p fakeProber) Crashed(context.Context, fleet.Endpoint) (bool, error) { return p.crashed, p.err }

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// serveParts sends a request whose prompt has the given parts before its own.
func (h *harness) serveParts(route string, parts ...string) *fakeCaller {
	req := h.request(route)
	req.Parts = parts
	c := &fakeCaller{}
	h.server.Serve(context.Background(), req, c)
	return c
}

// crash serves a request under which the given endpoint crashes, and waits until the
// crash is recorded.
func (h *harness) crash(t *testing.T, route string, parts ...string) *fakeCaller {
	t.Helper()
	h.sender.outcomes = []fakeOutcome{outcomeLost}
	before := h.server.opts.Parts.Share(time.Now())
	c := h.serveParts(route, parts...)
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		after := h.server.opts.Parts.Share(time.Now())
		if len(after) > len(before) || len(after) > 0 && len(before) > 0 && len(after[0].Crashes) > len(before[0].Crashes) {
			return c
		}
		if time.Now().After(until) {
			t.Fatal("the crash was not recorded")
		}
	}
}

func newCrashHarness(t *testing.T, prober fakeProber) *harness {
	h := newHarness(t, fixedAdmission{})
	h.server.opts.Prober = prober
	h.sender.body = eventsAfter
	return h
}

// eventsAfter returns the events of twoEvents that the caller doesn't have.
func eventsAfter(a Attempt) io.ReadCloser {
	_, rest, ok := strings.Cut(twoEvents, "id: "+a.LastEvent+"\ndata: a\n\n")
	if !ok {
		rest = twoEvents
	}
	return io.NopCloser(strings.NewReader(rest))
}

// TestCrashingPart guards against requests with a part that crashes engines reaching one
// engine after the other, and against refusing sound requests that share other parts.
func TestCrashingPart(t *testing.T) {
	h := newCrashHarness(t, fakeProber{crashed: true})
	for i := range 3 {
		if c := h.serveParts("stream", "first"); c.status != http.StatusOK {
			t.Fatalf("a sound request got %d after %d crashes", c.status, i)
		}
		c := h.crash(t, "stream", "first", "deadly")
		if c.status != http.StatusBadGateway {
			t.Fatalf("a request whose engine crashed got %d", c.status)
		}
		h.replaceEngines(i)
		// Crashes at the same time count as one.
		time.Sleep(120 * time.Millisecond)
	}
	runs := h.sender.runs
	c := h.serveParts("stream", "first", "deadly")
	if c.status != http.StatusServiceUnavailable || !c.problem.NotRun || c.problem.RetryAfter < time.Second {
		t.Errorf("status %d, problem %+v; want a refusal that says not run and when to return", c.status, c.problem)
	}
	if h.sender.runs != runs {
		t.Error("a request with the blocked part reached an engine")
	}
	if c := h.serveParts("stream", "first", "other"); c.status != http.StatusOK {
		t.Errorf("a sound request with the same first part got %d", c.status)
	}
}

// replaceEngines gives all endpoints a new incarnation, as after a crash.
func (h *harness) replaceEngines(i int) {
	list := h.table.Endpoints()
	for j := range list {
		list[j].Incarnation = int64(i + 2)
	}
	h.table.SetEndpoints(time.Now(), list)
}

// TestRepeatAfterCrash guards against repeating a request at a second engine that the
// first one may have crashed with, and against not repeating one that is known as sound.
func TestRepeatAfterCrash(t *testing.T) {
	for _, tc := range []struct {
		name   string
		prober fakeProber
		served bool // a request with the part was answered before
		runs   int
	}{
		{name: "crash with an unknown part", prober: fakeProber{crashed: true}, runs: 1},
		{name: "crash with a part that was answered", prober: fakeProber{crashed: true}, served: true, runs: 2},
		{name: "broken connection", runs: 2},
		{name: "engine that cannot be asked", prober: fakeProber{err: errors.New("timeout")}, runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newCrashHarness(t, tc.prober)
			if tc.served {
				h.serveParts("resume", "p")
				h.sender.runs = 0
			}
			h.sender.outcomes = []fakeOutcome{outcomeBroken}
			c := h.serveParts("resume", "p")
			if h.sender.runs != tc.runs {
				t.Errorf("%d runs, want %d", h.sender.runs, tc.runs)
			}
			if done := c.ended && !c.aborted && c.body.String() == twoEvents; done != (tc.runs == 2) {
				t.Errorf("the caller got the whole answer: %v", done)
			}
		})
	}
}

// TestProof guards against clearing a part because of an answer that does not show that the
// engine survived it, and against not clearing it by a sound answer in any form.
func TestProof(t *testing.T) {
	untilClose := func(r *Reply) { r.EndsWithConnection = true }
	for _, tc := range []struct {
		name   string
		route  string
		prober fakeProber
		body   string
		change func(*Reply)
		want   bool
		crash  bool // a crash is recorded
	}{
		{name: "a whole stream", body: twoEvents, want: true},
		{name: "a stream that ends with its connection, engine alive", body: twoEvents, change: untilClose, want: true},
		{name: "the same, engine crashed", body: twoEvents, change: untilClose, prober: fakeProber{crashed: true}, crash: true},
		{name: "the same, engine can't be asked", body: twoEvents, change: untilClose, prober: fakeProber{err: errors.New("timeout")}},
		{name: "a stream without an event", body: ""},
		{name: "no event before the connection ends, engine alive", body: "", change: untilClose},
		{name: "half an event", body: "id: 1\ndata"},
		{name: "half an event before the connection ends, engine alive", body: "id: 1\ndata", change: untilClose},
		{name: "a refusal that ends with its connection", body: "no", change: func(r *Reply) { r.EndsWithConnection, r.Status = true, http.StatusNotFound }},
		{name: "a whole answer that ends with its connection, engine alive", route: "whole", body: "yes", change: untilClose, want: true},
		{name: "the same, engine crashed in it", route: "whole", body: "yes", change: untilClose, prober: fakeProber{crashed: true}, crash: true},
		{name: "a large whole answer", route: "whole", body: large, want: true},
		{name: "a large answer that ends with its connection, engine alive", route: "whole", body: large, change: untilClose, want: true},
		{name: "the same, engine crashed", route: "whole", body: large, change: untilClose, prober: fakeProber{crashed: true}, crash: true},
		{name: "a large refusal", route: "whole", body: large, change: func(r *Reply) { r.Status = http.StatusNotFound }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newCrashHarness(t, tc.prober)
			config := testConfig(2)
			config.Routes = append(config.Routes, fleet.Route{
				Name:        "whole",
				Host:        "h",
				Prefix:      "/whole/",
				Kind:        fleet.Idempotent,
				Timeout:     2 * time.Second,
				MaxAttempts: 1,
				Targets:     []fleet.Target{{Service: "lm", Weight: 1}},
			})
			if err := config.Prepare(); err != nil {
				t.Fatal(err)
			}
			h.server.SetConfig(config)
			h.sender.body = func(Attempt) io.ReadCloser { return io.NopCloser(strings.NewReader(tc.body)) }
			h.sender.change = tc.change
			if tc.route == "" {
				tc.route = "stream"
			}
			h.serveParts(tc.route, "p")
			// The engine is asked after the answer.
			for until := time.Now().Add(50 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
				if h.server.opts.Parts.AllServed([]string{"p"}) == tc.want && tc.want {
					break
				}
			}
			if got := h.server.opts.Parts.AllServed([]string{"p"}); got != tc.want {
				t.Errorf("the part counts as answered: %v, want %v", got, tc.want)
			}
			if tc.crash && len(h.server.opts.Parts.Share(time.Now())) == 0 {
				t.Error("the crash is not held against the part")
			}
		})
	}
}

// TestProofFromEarlierProbe guards against taking an engine for alive after an answer by a
// probe from before it.
func TestProofFromEarlierProbe(t *testing.T) {
	h := newCrashHarness(t, fakeProber{})
	e := fleet.Endpoint{ID: "lm0", Incarnation: 1}
	before := h.server.probeEngine(e, time.Time{})
	time.Sleep(2 * time.Millisecond)
	if h.server.probeEngine(e, time.Now()) == before {
		t.Error("a probe from before the answer is used")
	}
	if h.server.probeEngine(e, time.Time{}) == before {
		t.Error("the newest probe is not used")
	}
}

// TestProofOfRunningStream guards against refusing sound requests because the answers that
// show it are streams that have not ended yet.
func TestProofOfRunningStream(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause time.Duration // after the first event
		then  string
		want  bool
	}{
		{name: "an engine that has written for long", pause: provenAfter, then: "id: 2\ndata: b\n\n", want: true},
		{name: "an engine that has begun to write", pause: provenAfter - time.Millisecond, then: "id: 2\ndata: b\n\n"},
		{name: "an engine that writes comments", pause: provenAfter, then: ":\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newCrashHarness(t, fakeProber{})
			now := clock.NewFake()
			now.Advance(time.Since(now.Now()))
			h.clock, h.server.opts.Clock = now, now
			body, engine := io.Pipe()
			h.sender.body = func(Attempt) io.ReadCloser { return body }
			var running sync.WaitGroup
			running.Go(func() { h.serveParts("stream", "first") })
			defer running.Wait()
			defer engine.Close()
			write := func(event string) {
				// The comment is read once the event has been relayed.
				for _, text := range []string{event, ":\n\n"} {
					if _, err := io.WriteString(engine, text); err != nil {
						t.Fatal(err)
					}
				}
			}
			write("id: 1\ndata: a\n\n")
			for i := range 3 {
				h.server.opts.Parts.RecordCrash(now.Now().Add(time.Duration(i-3)*time.Second), fleet.Key{ID: strconv.Itoa(i)}, "r", []string{"first"})
			}
			if h.server.opts.Parts.Blocked() != 1 {
				t.Fatal("the part is not blocked")
			}
			now.Advance(tc.pause)
			write(tc.then)
			if got := h.server.opts.Parts.Blocked() == 0; got != tc.want {
				t.Errorf("the part is free: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestCrashingRequest guards against a request that crashes each endpoint which runs it, and
// comes again with another id: at engines beside sound requests that share all parts of its
// prompt, without parts, and at plain services. Others are served.
func TestCrashingRequest(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route string
		parts []string
	}{
		{name: "a stream whose parts are shared", route: "stream", parts: []string{"first", "second"}},
		{name: "a resumable stream", route: "resume", parts: []string{"first"}},
		{name: "a stream without parts", route: "stream"},
		{name: "a call that may be repeated", route: "read"},
		{name: "a call that runs once", route: "book"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newCrashHarness(t, fakeProber{crashed: true})
			// An endpoint takes a moment until it crashes.
			h.sender.change = func(*Reply) { time.Sleep(40 * time.Millisecond) }
			send := func(id, body string, outcomes ...fakeOutcome) *fakeCaller {
				h.sender.outcomes = outcomes
				req := h.request(tc.route)
				req.ID, req.Body, req.Parts = id, conn.Body{[]byte(body)}, tc.parts
				c := &fakeCaller{}
				h.server.Serve(t.Context(), req, c)
				return c
			}
			arrivals, crashes := 0, 0
			for i := range 12 {
				if c := send(fmt.Sprintf("sound-%d", i), fmt.Sprintf("sound %d", i)); c.status != http.StatusOK {
					t.Fatalf("a sound request got %d, %+v after %d crashes", c.status, c.problem, crashes)
				}
				before := h.sender.runs
				c := send(fmt.Sprintf("deadly-%d", i), "deadly", outcomeLost, outcomeLost, outcomeLost)
				if runs := h.sender.runs - before; crashes >= 3 {
					arrivals += runs
				} else {
					crashes += runs
				}
				if c.status == http.StatusOK {
					t.Fatal("the deadly request was served")
				}
				if c.status == http.StatusServiceUnavailable && (!c.problem.NotRun || c.problem.RetryAfter > 0) {
					t.Errorf("problem %+v; want a refusal that says not run and no time to return", c.problem)
				}
				h.replaceEngines(i)
				// Crashes at the same time count as one.
				time.Sleep(120 * time.Millisecond)
			}
			if arrivals > 0 {
				t.Errorf("the request reached endpoints %d times more after it had crashed three", arrivals)
			}
		})
	}
}
