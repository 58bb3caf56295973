package serve

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/models"
)

// hooks calls functions while a request waits.
type hooks struct {
	noDemand

	admit   func()
	adapter func()
	open    func()
	sender  *fakeSender
}

func (h *hooks) Admit(context.Context, string, float64, time.Duration) (Refusal, bool) {
	if h.admit != nil {
		h.admit()
	}
	return Refusal{}, true
}

func (h *hooks) LoadAdapter(context.Context, fleet.Endpoint, string, string) error {
	if h.adapter != nil {
		h.adapter()
	}
	return nil
}

func (h *hooks) Send(ctx context.Context, a Attempt) (*Reply, error) {
	if h.open != nil {
		h.open()
	}
	return h.sender.Send(ctx, a)
}

// prepareTimes lets the request be expected to take half the time to the end of the process.
func prepareTimes(h *harness, q *Request) {
	q.OutputTokens = 400
	h.server.Config().Match(q.Host, q.Path).MaxPause = 150 * time.Millisecond
	h.server.times.Record(drain.Kind{Service: "lm", Model: "m1"}, drain.Sample{
		First:  100 * time.Millisecond,
		Rest:   4 * time.Second,
		Tokens: q.OutputTokens,
		Parts:  100,
	})
}

// prepareReports is prepareTimes, and lets all engines have reported their load as long ago as
// given.
func prepareReports(h *harness, q *Request, age time.Duration, active int) {
	prepareTimes(h, q)
	reportLoads(h, age, active)
}

// reportLoads lets all engines have reported their load as long ago as given.
func reportLoads(h *harness, age time.Duration, active int) {
	for _, e := range h.table.Endpoints() {
		h.table.SetReport(h.clock.Now().Add(-age), fleet.Report{
			Key:    e.Key(),
			Models: e.Models,
			Active: active,
		})
	}
}

// TestStopRefusesWhatItCannotFinish guards against a stopping process that sends a request
// which it will cut at its end, and against one that refuses a request which may have run or
// which it can finish.
func TestStopRefusesWhatItCannotFinish(t *testing.T) {
	const (
		short = 100 * time.Millisecond
		long  = 20 * time.Second
	)
	for _, tc := range []struct {
		name  string
		route string
		// need is how long such requests took before.
		need     time.Duration
		timeout  time.Duration // of the route, 0 for one beyond the end
		outcomes []fakeOutcome
		// prepare arranges that stop is called in the state of the request that is tested.
		prepare func(h *harness, hook *hooks, q *Request, stop func(acceptFor time.Duration))
		status  int
		runs    int
	}{
		{name: "not stopping, long", route: "stream", need: long, status: 200, runs: 1},
		{name: "arrives, nothing known, ends in time", route: "stream", prepare: func(_ *harness, _ *hooks, _ *Request, stop func(time.Duration)) { stop(time.Minute) }, status: 200, runs: 1},
		{name: "arrives, nothing known, may last too long", route: "stream", prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			r := h.server.Config().Match(q.Host, q.Path)
			r.MaxPause, q.OutputTokens = 150*time.Millisecond, 400
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, nothing known, few tokens", route: "stream", prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			r := h.server.Config().Match(q.Host, q.Path)
			r.MaxPause, q.OutputTokens = 150*time.Millisecond, 10
			stop(time.Minute)
		}, status: 200, runs: 1},
		{name: "arrives, long, deadline before the end", route: "stream", need: long, timeout: 5 * time.Second, prepare: func(_ *harness, _ *hooks, _ *Request, stop func(time.Duration)) { stop(time.Minute) }, status: 200, runs: 1},
		{name: "arrives, short", route: "stream", need: short, prepare: func(_ *harness, _ *hooks, _ *Request, stop func(time.Duration)) { stop(time.Minute) }, status: 200, runs: 1},
		{name: "arrives, short, how busy engines are is known", route: "stream", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			prepareReports(h, q, 100*time.Millisecond, 5)
			stop(time.Minute)
		}, status: 200, runs: 1},
		{name: "arrives, short, would queue in its engine", route: "stream", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			prepareReports(h, q, 100*time.Millisecond, 60)
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, short, how busy engines are is not known", route: "stream", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			prepareReports(h, q, 2400*time.Millisecond, 5)
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, short, how busy engines are was never reported", route: "stream", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			prepareTimes(h, q)
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, short, at slow engines, how busy these are is not known", route: "stream", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			prepareReports(h, q, 2400*time.Millisecond, 5)
			h.server.Config().Match(q.Host, q.Path).MaxPause = 10 * time.Millisecond
			for _, e := range h.table.Endpoints() {
				for range 100 {
					h.table.RecordPace(e.Key(), 3)
				}
			}
			stop(time.Minute)
		}, status: 503},
		{name: "waits for an adapter, its engine is filled meanwhile", route: "stream", need: short, prepare: func(h *harness, hook *hooks, q *Request, stop func(time.Duration)) {
			q.Adapter = "a1"
			prepareReports(h, q, 100*time.Millisecond, 5)
			hook.adapter = func() { prepareReports(h, q, 0, 60) }
			stop(time.Minute)
		}, status: 503},
		{name: "waits for an adapter, its engine reports no more", route: "stream", need: short, prepare: func(h *harness, hook *hooks, q *Request, stop func(time.Duration)) {
			q.Adapter = "a1"
			prepareReports(h, q, 1300*time.Millisecond, 5)
			hook.adapter = func() { time.Sleep(300 * time.Millisecond) }
			stop(time.Minute)
		}, status: 503},
		{name: "waits for an adapter, its engine reports as before", route: "stream", need: short, prepare: func(h *harness, hook *hooks, q *Request, stop func(time.Duration)) {
			q.Adapter = "a1"
			prepareReports(h, q, 100*time.Millisecond, 51)
			hook.adapter = func() { prepareReports(h, q, 0, 51) }
			stop(time.Minute)
		}, status: 200, runs: 1},
		{name: "arrives, long stream", route: "stream", need: long, prepare: func(_ *harness, _ *hooks, _ *Request, stop func(time.Duration)) { stop(time.Minute) }, status: 503},
		{name: "arrives, long answer", route: "book", need: long, prepare: func(_ *harness, _ *hooks, _ *Request, stop func(time.Duration)) { stop(time.Minute) }, status: 503},
		{name: "arrives, long answer, tokens counted", route: "book", need: long, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			h.server.Config().Match(q.Host, q.Path).MaxPause, q.OutputTokens = 0, 100
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, short answer, tokens counted", route: "book", need: short, prepare: func(_ *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			q.OutputTokens = 400
			stop(time.Minute)
		}, status: 200, runs: 1},
		{name: "arrives, long answer of an engine", route: "book", prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			r := h.server.Config().Match(q.Host, q.Path)
			r.MaxPause, r.Targets[0].Service = 0, "lm"
			q.OutputTokens = 400
			reportLoads(h, 100*time.Millisecond, 5)
			c := &call{
				Server:  h.server,
				req:     q,
				route:   r,
				service: h.server.Config().Services["lm"],
			}
			for range 8 {
				now := h.clock.Now()
				c.recordAnswerTime(&Reply{
					sentAt: now.Add(-long),
				}, now)
			}
			stop(time.Minute)
		}, status: 503},
		{name: "arrives, long answer of an engine, long streams", route: "book", need: long, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			r := h.server.Config().Match(q.Host, q.Path)
			r.MaxPause, r.Targets[0].Service = 0, "lm"
			stop(time.Minute)
		}, status: 503},
		{name: "arrives too late", route: "book", need: short, prepare: func(h *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			stop(0)
			q.Arrived = h.clock.Now()
		}, status: 503},
		{name: "its body arrives too late", route: "book", need: short, prepare: func(_ *harness, _ *hooks, q *Request, stop func(time.Duration)) {
			q.Arrived = q.Arrived.Add(-time.Second)
			stop(-500 * time.Millisecond)
		}, status: 503},
		{name: "waits for tokens", route: "stream", need: long, prepare: func(_ *harness, hook *hooks, _ *Request, stop func(time.Duration)) {
			hook.admit = func() { stop(time.Minute) }
		}, status: 503},
		{name: "waits for an endpoint", route: "book", need: long, prepare: func(h *harness, _ *hooks, _ *Request, stop func(time.Duration)) {
			list := h.table.Endpoints()
			h.table.SetEndpoints(time.Now(), nil)
			time.AfterFunc(20*time.Millisecond, func() {
				stop(time.Minute)
				h.table.SetEndpoints(time.Now(), list)
			})
		}, status: 503},
		{name: "waits for an adapter", route: "stream", need: long, prepare: func(_ *harness, hook *hooks, q *Request, stop func(time.Duration)) {
			q.Adapter = "a1"
			hook.adapter = func() { stop(time.Minute) }
		}, status: 503},
		{name: "waits for an adapter, short", route: "stream", need: short, prepare: func(_ *harness, hook *hooks, q *Request, stop func(time.Duration)) {
			q.Adapter = "a1"
			hook.adapter = func() { stop(time.Minute) }
		}, status: 200, runs: 1},
		{name: "waits for a connection", route: "book", need: long, prepare: func(_ *harness, hook *hooks, _ *Request, stop func(time.Duration)) {
			hook.open = func() { stop(time.Minute) }
		}, status: 503},
		{name: "was not run by an endpoint", route: "book", need: long, outcomes: []fakeOutcome{outcomeRejected}, prepare: func(h *harness, _ *hooks, _ *Request, stop func(time.Duration)) {
			h.sender.change = func(*Reply) { stop(time.Minute) }
		}, status: 503},
		{name: "may have run", route: "read", need: long, outcomes: []fakeOutcome{outcomeForeign}, prepare: func(h *harness, _ *hooks, _ *Request, stop func(time.Duration)) {
			h.sender.change = func(*Reply) { stop(time.Minute) }
		}, status: 200, runs: 2},
		{name: "streams", route: "stream", need: long, prepare: func(h *harness, _ *hooks, _ *Request, stop func(time.Duration)) {
			h.sender.change = func(*Reply) { stop(time.Minute) }
		}, status: 200, runs: 1},
		{name: "streams, then resumed", route: "resume", need: long, outcomes: []fakeOutcome{outcomeBroken}, prepare: func(h *harness, _ *hooks, _ *Request, stop func(time.Duration)) {
			h.sender.change = func(*Reply) { stop(time.Minute) }
		}, status: 200, runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			hook := &hooks{
				sender: h.sender,
			}
			h.server.opts.Admission, h.server.opts.Demand, h.server.opts.Sender = hook, hook, hook
			h.sender.outcomes = tc.outcomes
			h.sender.body = eventsAfter
			if tc.need > 0 {
				for _, k := range []drain.Kind{{Service: "lm", Model: "m1"}, {Service: "app"}} {
					h.server.times.Record(k, drain.Sample{First: tc.need})
				}
			}
			q := h.request(tc.route)
			if tc.timeout == 0 {
				tc.timeout = time.Minute
			}
			h.server.Config().Match(q.Host, q.Path).Timeout = tc.timeout
			if tc.prepare != nil {
				tc.prepare(h, hook, q, func(acceptFor time.Duration) {
					now := h.clock.Now()
					h.server.SetStop(drain.Stop{
						Since:       now,
						AcceptUntil: now.Add(acceptFor),
						EndsAt:      now.Add(10 * time.Second),
					})
				})
			}
			c := &fakeCaller{}
			h.server.Serve(t.Context(), q, c)
			if c.answers != 1 || c.status != tc.status || h.sender.runs != tc.runs {
				t.Fatalf("%d answers, status %d after %d runs, want %d after %d", c.answers, c.status, h.sender.runs, tc.status, tc.runs)
			}
			if tc.status == http.StatusServiceUnavailable && (c.problem.Code != "stopping" || !c.problem.NotRun || c.problem.RetryAfter <= 0) {
				t.Errorf("refused with %+v", *c.problem)
			}
			if tc.status == http.StatusOK && (c.aborted || c.problem != nil) {
				t.Errorf("the answer is not whole: %q, %+v", c.body.String(), c.problem)
			}
		})
	}
}

// TestStopRefusesAtOnceWhileModelLoads guards against a request that waits in a stopping
// process for a load after which it can't be finished.
func TestStopRefusesAtOnceWhileModelLoads(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	list := h.table.Endpoints()
	for i := range list {
		list[i].Models = nil
	}
	now := h.clock.Now()
	h.table.SetEndpoints(now, list)
	h.server.times.Record(drain.Kind{Service: "lm", Model: "m1"}, drain.Sample{First: 3 * time.Second})
	// The load is known to end, but the request would be cut then.
	h.table.SetLoads(now, []models.Load{{Service: "lm", Model: "m1", ReadyIn: 1300 * time.Millisecond}})
	h.server.SetStop(drain.Stop{
		Since:       now,
		AcceptUntil: now.Add(3 * time.Second),
		EndsAt:      now.Add(4 * time.Second),
	})
	q := h.request("stream")
	h.server.Config().Match(q.Host, q.Path).Timeout = time.Minute
	c := &fakeCaller{}
	h.server.Serve(t.Context(), q, c)
	if took := h.clock.Now().Sub(now); c.problem == nil || c.problem.Code != "stopping" || took > 500*time.Millisecond {
		t.Errorf("answered %d, %+v after %v", c.status, c.problem, took)
	}
}

// TestStopLearnsFromWholeAnswers guards against a stopping process that doesn't know how long
// requests last, or takes parts of answers for whole ones.
func TestStopLearnsFromWholeAnswers(t *testing.T) {
	const wait = 60 * time.Millisecond
	for _, tc := range []struct {
		name     string
		route    string
		last     string // event that the caller has
		outcomes []fakeOutcome
		change   func(*Reply)
		known    bool
	}{
		{name: "stream", route: "stream", known: true},
		{name: "answer", route: "book", known: true},
		{name: "stream sent again from its start", route: "resume", outcomes: []fakeOutcome{outcomeLost}, known: true},
		{name: "broken stream", route: "stream", outcomes: []fakeOutcome{outcomeBroken}},
		{name: "resumed here", route: "resume", outcomes: []fakeOutcome{outcomeBroken}},
		{name: "resumed by the caller", route: "resume", last: "1"},
		{name: "error", route: "book", outcomes: []fakeOutcome{outcomeError}},
		{name: "ends with its connection", route: "stream", change: func(r *Reply) { r.EndsWithConnection = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.outcomes, h.sender.change = tc.outcomes, tc.change
			h.sender.body = func(a Attempt) io.ReadCloser {
				return &lateBody{Reader: eventsAfter(a), wait: wait}
			}
			q := h.request(tc.route)
			q.LastEvent, q.OutputTokens = tc.last, 10
			h.server.Serve(t.Context(), q, &fakeCaller{})
			c := &call{
				Server:  h.server,
				req:     q,
				route:   h.server.Config().Match(q.Host, q.Path),
				service: h.server.Config().Services["lm"],
			}
			if tc.route == "book" {
				c.service = h.server.Config().Services["app"]
			}
			if got := c.expected(notChosen.Pace); (got >= wait) != tc.known || !tc.known && got != 0 {
				t.Errorf("expected to take %v, known %v", got, tc.known)
			}
		})
	}
}

// lateBody is a body whose bytes arrive after a wait.
type lateBody struct {
	io.Reader

	wait time.Duration
}

func (b *lateBody) Read(p []byte) (int, error) {
	time.Sleep(b.wait)
	b.wait = 0
	return b.Reader.Read(p)
}

func (*lateBody) Close() error { return nil }

// TestInterruptedBeforeItRan guards against an answer that says that a request may have run,
// though each endpoint that got it has refused it: its caller doesn't send it again.
func TestInterruptedBeforeItRan(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	h.sender.outcomes = []fakeOutcome{outcomeRejected}
	h.sender.change = func(*Reply) {
		h.table.SetEndpoints(time.Now(), nil)
		time.AfterFunc(50*time.Millisecond, h.server.Interrupt)
	}
	c := h.serve("book")
	if c.problem == nil || c.problem.Code != "stopping" || !c.problem.NotRun || c.status != http.StatusServiceUnavailable {
		t.Errorf("answered %d, %+v", c.status, c.problem)
	}
}
