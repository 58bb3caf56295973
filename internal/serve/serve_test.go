package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
)

// fakeOutcome is how an endpoint responds to one attempt.
type fakeOutcome int

const (
	outcomeServed       fakeOutcome = iota // runs the request and answers
	outcomeNoConnection                    // no connection can be opened
	outcomeRejected                        // answers that it did not run the request
	outcomeMisdirected                     // another endpoint uses the address
	outcomeLost                            // runs the request and the answer is lost
	outcomeForeign                         // runs the request and sends another request's answer
	outcomeError                           // runs the request and answers with an error
	outcomeBroken                          // runs the request and closes the connection midway through the answer
	outcomeCount
)

type fakeSender struct {
	mu       sync.Mutex
	outcomes []fakeOutcome
	attempts []Attempt
	runs     int
	body     func(a Attempt) io.ReadCloser
	// change, if set, changes each reply.
	change func(*Reply)
}

func (f *fakeSender) Send(ctx context.Context, a Attempt) (*Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := a.Check(); err != nil {
		return nil, &conn.NotSentError{Err: err}
	}
	f.attempts = append(f.attempts, a)
	outcome := outcomeServed
	if len(f.outcomes) > 0 {
		outcome, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	reply := &Reply{
		Status: http.StatusOK,
		Header: http.Header{"X-Signature": {a.Endpoint.ID}},
		Body:   io.NopCloser(strings.NewReader("whole")),
	}
	if f.body != nil {
		body := f.body(a)
		reply.Body = body
		// The end of the request's context ends the read of its answer.
		context.AfterFunc(ctx, func() { body.Close() })
	}
	if f.change != nil {
		f.change(reply)
	}
	switch outcome {
	case outcomeNoConnection:
		return nil, &conn.NotSentError{Err: errors.New("refused")}
	case outcomeRejected:
		reply.Verdict, reply.Status = Rejected, http.StatusServiceUnavailable
		return reply, nil
	case outcomeMisdirected:
		reply.Verdict, reply.Status = Misdirected, http.StatusMisdirectedRequest
		return reply, nil
	}
	f.runs++
	switch outcome {
	case outcomeLost:
		return nil, errors.New("connection reset")
	case outcomeForeign:
		reply.Verdict = Foreign
	case outcomeError:
		reply.Status = http.StatusInternalServerError
	case outcomeBroken:
		reply.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), errReader{}))
	}
	return reply, nil
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type fakeCaller struct {
	status  int
	problem *Problem
	header  http.Header
	body    bytes.Buffer
	answers int
	ended   bool
	aborted bool
}

func (c *fakeCaller) Refuse(p Problem) {
	c.answers++
	c.problem, c.status = &p, p.Status
}

func (c *fakeCaller) Respond(status int, header http.Header, body []byte) {
	c.answers++
	c.status, c.header = status, header
	c.body.Write(body)
}

func (c *fakeCaller) Begin(status int, header http.Header) error {
	c.answers++
	c.status, c.header = status, header
	return nil
}

func (c *fakeCaller) Event(data []byte) error {
	c.body.Write(data)
	return nil
}

func (c *fakeCaller) End() { c.ended = true }

func (c *fakeCaller) Abort() { c.aborted = true }

type fixedAdmission struct {
	refuse      bool
	unreachable bool
}

func (a fixedAdmission) Admit(context.Context, string, float64, time.Duration) (Refusal, bool) {
	return Refusal{
		RetryAfter:  time.Second,
		Unreachable: a.unreachable,
	}, !a.refuse
}

type noDemand struct{}

func (noDemand) RecordArrival(string, string, string, float64) {}
func (noDemand) TrackWaiting(string, string) func()            { return func() {} }

func (noDemand) TrackRunning(fleet.Key, string, string) func()                     { return func() {} }
func (noDemand) LoadAdapter(context.Context, fleet.Endpoint, string, string) error { return nil }

type noObserver struct{}

func (noObserver) Ended(string, string, time.Duration) {}
func (noObserver) FirstByte(string, time.Duration)     {}
func (noObserver) Repeated(string)                     {}

func testConfig(version int64) *fleet.Config {
	c := &fleet.Config{
		Version: version,
		Services: map[string]*fleet.Service{
			"app": {Name: "app"},
			"lm": {Name: "lm", Engine: &fleet.EngineClass{
				Models: map[string]fleet.Model{"m1": {Name: "m1"}},
			}},
		},
		Workspaces: map[string]*fleet.Workspace{"w": {Name: "w", Rate: 100, Burst: 100, PlainTokens: 1, CountsTokens: true}},
		Keys:       map[fleet.Digest]string{fleet.DigestOf("key"): "w"},
	}
	route := func(name string, kind fleet.Kind, service string, attempts int, resumable bool) fleet.Route {
		return fleet.Route{
			Name:        name,
			Host:        "h",
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     2 * time.Second,
			Objective:   300 * time.Millisecond,
			MaxPause:    150 * time.Millisecond,
			MaxAttempts: attempts,
			Resumable:   resumable,
			Targets:     []fleet.Target{{Service: service, Weight: 1}},
		}
	}
	c.Routes = []fleet.Route{
		route("read", fleet.Idempotent, "app", 2, false),
		route("book", fleet.NonIdempotent, "app", 1, false),
		route("stream", fleet.Stream, "lm", 1, false),
		route("resume", fleet.Stream, "lm", 2, true),
	}
	return c
}

type harness struct {
	server *Server
	sender *fakeSender
	table  *picker.Table
	clock  clock.Clock
}

func newHarness(t interface{ Fatal(...any) }, admission Admission) *harness {
	h := &harness{
		sender: &fakeSender{},
		table:  picker.NewTable("north"),
		clock:  clock.NewReal(),
	}
	var list []fleet.Endpoint
	for i := range 4 {
		list = append(list,
			fleet.Endpoint{ID: fmt.Sprintf("app%d", i), Incarnation: 1, Service: "app", Domain: "north", Slots: 6},
			fleet.Endpoint{ID: fmt.Sprintf("lm%d", i), Incarnation: 1, Service: "lm", Domain: "north", Slots: 64, Models: []fleet.Resident{{Model: "m1"}}})
	}
	h.table.SetEndpoints(time.Now(), list)
	h.server = New(Options{
		Clock:     h.clock,
		Table:     h.table,
		Sender:    h.sender,
		Admission: admission,
		Demand:    noDemand{},
		Log:       slog.New(slog.DiscardHandler),
		Retries:   RetryRule{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Observer:  noObserver{},
	})
	c := testConfig(1)
	if err := c.Prepare(); err != nil {
		t.Fatal(err)
	}
	h.server.SetConfig(c)
	return h
}

func (h *harness) request(route string) *Request {
	return &Request{
		ID:      "r1",
		Method:  http.MethodPost,
		Host:    "h",
		Path:    "/" + route + "/x",
		URI:     "/" + route + "/x",
		Header:  http.Header{},
		Arrived: h.clock.Now(),
		Key:     "key",
		Model:   "m1",
	}
}

func (h *harness) serve(route string) *fakeCaller {
	c := &fakeCaller{}
	h.server.Serve(context.Background(), h.request(route), c)
	return c
}

// notRunStatuses are the statuses that promise that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// TestOutcomes guards against more runs of a request than its route allows, and
// against a refusal that says "not run" about a request that ran, for random
// sequences of endpoint outcomes.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, fixedAdmission{})
		route := rapid.SampledFrom([]string{"read", "book", "stream", "resume"}).Draw(t, "route")
		for range rapid.IntRange(0, 8).Draw(t, "length") {
			h.sender.outcomes = append(h.sender.outcomes, fakeOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "act")))
		}
		h.sender.body = eventsAfter
		c := h.serve(route)
		if c.answers != 1 {
			t.Fatalf("the caller got %d answers", c.answers)
		}
		limit := map[string]int{"read": 2, "book": 1, "stream": 1, "resume": 2}[route]
		if h.sender.runs > limit {
			t.Fatalf("the request ran %d times, the route allows %d", h.sender.runs, limit)
		}
		if notRunStatuses[c.status] && h.sender.runs > 0 {
			t.Fatalf("status %d after %d runs", c.status, h.sender.runs)
		}
		if c.problem != nil && c.problem.NotRun && h.sender.runs > 0 {
			t.Fatalf("the answer says not run after %d runs", h.sender.runs)
		}
		if c.status == http.StatusOK && !c.aborted && c.problem == nil && h.sender.runs == 0 {
			t.Fatal("the answer is a success, but the request did not run")
		}
		if c.ended && c.body.String() != twoEvents {
			t.Fatalf("the caller got %q as a whole answer", c.body.String())
		}
		if c.aborted && c.ended {
			t.Fatal("the answer was both completed and aborted")
		}
	})
}

// TestFinalAnswers guards against a wrong final status for each kind of outcome.
func TestFinalAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		route    string
		outcomes []fakeOutcome
		prepare  func(*harness, *Request)
		want     int
		runs     int
	}{
		{name: "served", route: "book", want: 200, runs: 1},
		{name: "no connection, then served", route: "book", outcomes: []fakeOutcome{outcomeNoConnection, outcomeNoConnection}, want: 200, runs: 1},
		{name: "no connection at all", route: "book", outcomes: []fakeOutcome{outcomeNoConnection, outcomeNoConnection, outcomeNoConnection, outcomeNoConnection}, want: 503},
		{name: "rejected, then served", route: "book", outcomes: []fakeOutcome{outcomeRejected, outcomeMisdirected}, want: 200, runs: 1},
		{name: "rejected everywhere", route: "book", outcomes: []fakeOutcome{outcomeRejected, outcomeRejected, outcomeRejected}, want: 503},
		{name: "answer of a booking lost", route: "book", outcomes: []fakeOutcome{outcomeLost}, want: 502, runs: 1},
		{name: "answer of a read lost", route: "read", outcomes: []fakeOutcome{outcomeLost}, want: 200, runs: 2},
		{name: "rejected, then lost", route: "book", outcomes: []fakeOutcome{outcomeRejected, outcomeLost}, want: 502, runs: 1},
		{name: "lost, then rejected everywhere", route: "read", outcomes: []fakeOutcome{outcomeLost, outcomeRejected, outcomeRejected, outcomeRejected}, want: 502, runs: 1},
		{name: "two errors of endpoints", route: "read", outcomes: []fakeOutcome{outcomeError, outcomeError}, want: 500, runs: 2},
		{name: "another request's answer", route: "book", outcomes: []fakeOutcome{outcomeForeign}, want: 502, runs: 1},
		{name: "half of a booking's answer", route: "book", outcomes: []fakeOutcome{outcomeBroken}, want: 502, runs: 1},
		{name: "unknown key", route: "book", prepare: func(_ *harness, q *Request) { q.Key = "no" }, want: 401},
		{name: "unknown path", route: "book", prepare: func(_ *harness, q *Request) { q.Path = "/none/" }, want: 404},
		{name: "unknown model", route: "stream", prepare: func(_ *harness, q *Request) { q.Model = "m9" }, want: 404},
		{name: "a stopping process", route: "book", prepare: func(h *harness, q *Request) {
			h.server.SetStop(drain.Stop{AcceptUntil: q.Arrived, EndsAt: q.Arrived.Add(time.Minute)})
		}, want: 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.outcomes = tc.outcomes
			q := h.request(tc.route)
			if tc.prepare != nil {
				tc.prepare(h, q)
			}
			c := &fakeCaller{}
			h.server.Serve(context.Background(), q, c)
			if c.status != tc.want || h.sender.runs != tc.runs {
				t.Errorf("status %d after %d runs, want %d after %d", c.status, h.sender.runs, tc.want, tc.runs)
			}
		})
	}
}

// TestNoConfiguration guards against a 404 or 401 from a node that has no
// configuration yet.
func TestNoConfiguration(t *testing.T) {
	s := New(Options{Clock: clock.NewReal(), Log: slog.New(slog.DiscardHandler), Observer: noObserver{}})
	c := &fakeCaller{}
	s.Serve(context.Background(), &Request{ID: "r"}, c)
	if c.status != http.StatusServiceUnavailable || !c.problem.NotRun || c.problem.RetryAfter <= 0 {
		t.Errorf("answered %+v", c.problem)
	}
}

// TestOverRate guards against sending a request of a workspace that is over its
// rate, and against calling a workspace over its rate of which that is not known.
func TestOverRate(t *testing.T) {
	for _, tc := range []struct {
		name        string
		unreachable bool
		status      int
		code        string
	}{
		{name: "used up", status: http.StatusTooManyRequests, code: "over-rate"},
		{name: "not known", unreachable: true, status: http.StatusServiceUnavailable, code: "rate-unreachable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{
				refuse:      true,
				unreachable: tc.unreachable,
			})
			c := h.serve("book")
			if c.status != tc.status || c.problem.Code != tc.code || !c.problem.NotRun || c.problem.RetryAfter != time.Second || len(h.sender.attempts) != 0 {
				t.Errorf("answered %+v after %d attempts", c.problem, len(h.sender.attempts))
			}
		})
	}
}

// TestConfigNeverReverts guards against an older configuration replacing a
// newer one.
func TestConfigNeverReverts(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	if !h.server.SetConfig(testConfig(7)) || h.server.SetConfig(testConfig(7)) || h.server.SetConfig(testConfig(3)) {
		t.Error("SetConfig refused a newer configuration or accepted an older or equal one")
	}
	if v := h.server.Config().Version; v != 7 {
		t.Errorf("version %d is in force, want 7", v)
	}
}

// TestKeyWithdrawnBeforeSending guards against sending a request whose key was
// withdrawn while it waited.
func TestKeyWithdrawnBeforeSending(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	h.server.opts.Admission = admissionHook{func(s *Server) {
		c := testConfig(2)
		c.Keys = map[fleet.Digest]string{}
		_ = c.Prepare()
		s.SetConfig(c)
	}, h.server}
	c := h.serve("book")
	if c.status != http.StatusUnauthorized || h.sender.runs != 0 {
		t.Errorf("status %d after %d runs, want 401 after none", c.status, h.sender.runs)
	}
}

// admissionHook admits every request after calling a function.
type admissionHook struct {
	afterAdmit func(*Server)
	server     *Server
}

func (a admissionHook) Admit(context.Context, string, float64, time.Duration) (Refusal, bool) {
	a.afterAdmit(a.server)
	return Refusal{}, true
}

// TestStreamRelayed guards against changing the bytes of a stream, and against
// reporting a stream as complete that ended in the middle of an event.
func TestStreamRelayed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		body    string
		tail    io.Reader
		want    string
		ended   bool
		aborted bool
		status  int
	}{
		{name: "complete", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ended: true, status: 200},
		{name: "carriage returns", body: "id: 1\r\ndata: a\r\n\r\n", want: "id: 1\r\ndata: a\r\n\r\n", ended: true, status: 200},
		{name: "ends in the middle of an event", body: "id: 1\ndata: a\n\nid: 2\nda", want: "id: 1\ndata: a\n\n", aborted: true, status: 200},
		{name: "reset after an event", body: "id: 1\ndata: a\n\n", tail: errReader{}, want: "id: 1\ndata: a\n\n", aborted: true, status: 200},
		{name: "reset before the first event", body: "id: 1", tail: errReader{}, status: 502},
		{name: "empty", ended: true, status: 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(Attempt) io.ReadCloser {
				if tc.tail == nil {
					return io.NopCloser(strings.NewReader(tc.body))
				}
				return io.NopCloser(io.MultiReader(strings.NewReader(tc.body), tc.tail))
			}
			c := h.serve("stream")
			if got := c.body.String(); c.problem == nil && got != tc.want {
				t.Errorf("the caller got %q, want %q", got, tc.want)
			}
			if c.ended != tc.ended || c.aborted != tc.aborted || c.status != tc.status {
				t.Errorf("ended %v, aborted %v, status %d; want %v, %v, %d", c.ended, c.aborted, c.status, tc.ended, tc.aborted, tc.status)
			}
		})
	}
}

// TestStreamResumed guards against missing or repeated events and a changed
// signature header when a stream is resumed at another endpoint.
func TestStreamResumed(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	first := ""
	h.sender.body = func(a Attempt) io.ReadCloser {
		if a.LastEvent == "" {
			first = a.Endpoint.ID
			return io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), errReader{}))
		}
		if a.LastEvent != "2" {
			return io.NopCloser(strings.NewReader("id: 9\ndata: wrong\n\n"))
		}
		return io.NopCloser(strings.NewReader("id: 3\ndata: c\n\n"))
	}
	c := h.serve("resume")
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; c.body.String() != want || !c.ended {
		t.Errorf("the caller got %q, ended %v; want %q", c.body.String(), c.ended, want)
	}
	if got := c.header.Get("X-Signature"); got != first || c.answers != 1 {
		t.Errorf("signature of %q, want that of the first endpoint %q", got, first)
	}
	if a, b := h.sender.attempts[0], h.sender.attempts[1]; a.Endpoint.ID == b.Endpoint.ID {
		t.Error("the stream was resumed at the endpoint that had failed")
	}
}

// TestTimeout guards against a request without a final answer at its deadline, and
// against a status that promises "not run" for a request that was sent.
func TestTimeout(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	block := make(chan struct{})
	defer close(block)
	h.server.opts.Sender = senderFunc(func(ctx context.Context, _ Attempt) (*Reply, error) {
		select {
		case <-ctx.Done():
		case <-block:
		}
		return nil, ctx.Err()
	})
	q := h.request("book")
	q.Wait = 80 * time.Millisecond
	c := &fakeCaller{}
	began := time.Now()
	h.server.Serve(context.Background(), q, c)
	if took := time.Since(began); c.status != http.StatusGatewayTimeout || took > 500*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after 80 ms", c.status, took)
	}
}

// TestTurnedAwayThenTimeout guards against telling the caller of a request which endpoints
// have turned away that it may have run: such a booking could not be sent again.
func TestTurnedAwayThenTimeout(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(*harness, *Request)
	}{
		{name: "deadline", end: func(_ *harness, q *Request) { q.Wait = 150 * time.Millisecond }},
		{name: "end of the process", end: func(h *harness, _ *Request) { time.AfterFunc(150*time.Millisecond, h.server.Interrupt) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			// The request waits for an endpoint that has not turned it away.
			h.table.SetEndpoints(time.Now(), []fleet.Endpoint{{ID: "app0", Incarnation: 1, Service: "app", Domain: "north", Slots: 6}})
			h.sender.outcomes = []fakeOutcome{outcomeRejected}
			q := h.request("book")
			tc.end(h, q)
			c := &fakeCaller{}
			h.server.Serve(t.Context(), q, c)
			if c.status != http.StatusServiceUnavailable || !c.problem.NotRun || h.sender.runs != 0 {
				t.Errorf("the caller got %+v after %d runs, want 503 and not run", c.problem, h.sender.runs)
			}
		})
	}
}

// TestPaceComparesEnginesAtTheSameModel guards against treating an engine as slow
// because it holds a slow model: requests would avoid it and leave it idle.
func TestPaceComparesEnginesAtTheSameModel(t *testing.T) {
	table := picker.NewTable("north")
	table.SetEndpoints(time.Now(), []fleet.Endpoint{{ID: "a", Incarnation: 1, Service: "lm"}, {ID: "b", Incarnation: 1, Service: "lm"}})
	s := New(Options{Clock: clock.NewFake(), Table: table})
	a, b := fleet.Key{ID: "a", Incarnation: 1}, fleet.Key{ID: "b", Incarnation: 1}
	for range 200 {
		s.recordPause("lm", "small", a, 10*time.Millisecond)
		s.recordPause("lm", "large", b, 40*time.Millisecond)
	}
	paces := table.MeanPaces()
	if paces[b] > 1.2*paces[a] {
		t.Errorf("the paces are %v", paces)
	}
	if small, large := s.workWeight("lm", "small"), s.workWeight("lm", "large"); large < 3*small || s.workWeight("lm", "new") != 1 {
		t.Errorf("a token weighs %v and %v", small, large)
	}
}

// TestSetRetries guards against changed settings that don't apply to the retry
// budget of a service, whether the budget exists already or not.
func TestSetRetries(t *testing.T) {
	s := New(Options{
		Clock:   clock.NewFake(),
		Retries: RetryRule{Slack: 100, Window: 10 * time.Second},
	})
	repeats := func(service string) int {
		n := 0
		for n < 1000 && s.allowRepeat(service) {
			n++
		}
		return n
	}
	s.countRequest("known")
	s.SetRetries(RetryRule{Slack: 10, Window: 10 * time.Second})
	for _, service := range []string{"known", "new"} {
		if n := repeats(service); n < 1 || n > 10 {
			t.Errorf("service %s may repeat %d times, want at most 10", service, n)
		}
	}
}

type senderFunc func(ctx context.Context, a Attempt) (*Reply, error)

func (f senderFunc) Send(ctx context.Context, a Attempt) (*Reply, error) { return f(ctx, a) }

// FuzzSplitter guards against losing, changing or inventing bytes of a stream.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\nrest"), 3)
	f.Add([]byte("\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size <= 0 {
			size = 1
		}
		var s eventSplitter
		var out []byte
		for at := 0; at < len(data); at += size {
			s.add(data[at:min(len(data), at+size)])
			for e := s.next(); e != nil; e = s.next() {
				if !bytes.HasSuffix(e, []byte("\n")) {
					t.Fatalf("event %q has no end", e)
				}
				out = append(out, e...)
				_ = eventID(e)
			}
		}
		if out = append(out, s.unread...); !bytes.Equal(out, data) {
			t.Fatalf("got %q, want %q", out, data)
		}
	})
}
