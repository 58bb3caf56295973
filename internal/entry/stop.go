package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/drain"
)

// errProcessEnds is the cause for which requests are ended at the end of the process.
var errProcessEnds = errors.New("entry: the process ends")

// stopRetryAfter is the Retry-After of a response of a process that stops: another node
// can take the request.
const stopRetryAfter = time.Second

// Stop tells the server that its process stops. From now on it rejects requests that have
// not run and that the process cannot finish.
func (s *Server) Stop(plan drain.Stop) {
	s.stop.Store(&plan)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChanged()
}

// End ends all requests, also those that arrive later. Each gets a final answer: a
// rejection if it has not run, and else an error.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, cancel := range s.running {
		cancel(errProcessEnds)
	}
}

// processEnds reports whether the request is ended because the process ends.
func (q *request) processEnds() bool {
	return errors.Is(context.Cause(q.r.Context()), errProcessEnds)
}

// need describes the time that a request takes from now.
type need struct {
	kind   drain.Kind
	tokens float64
}

// expected returns how long the request is likely to take at most. While nothing is known of
// a service, its completions are expected to be as slow as the latency targets allow.
func (q *request) expected(n need) time.Duration {
	if n.tokens > 0 && !q.times.Knows(n.kind, n.tokens) {
		return firstTokenTarget + time.Duration(n.tokens*float64(tokenGapTarget))
	}
	return q.times.Expect(n.kind, n.tokens)
}

// stopProblem returns the rejection of a request that the stopping process cannot finish,
// or nil. The caller sets NotRun.
func (q *request) stopProblem(n need) *problem {
	stop := q.stop.Load()
	if stop == nil {
		return nil
	}
	now := q.opts.Clock.Now()
	expected := q.expected(n)
	decide := stop.Start
	if !q.arrived.Before(stop.AcceptUntil) {
		decide = stop.Arrival
	}
	reason := decide(now, expected)
	if reason == drain.Accepted {
		return nil
	}
	klog.InfoS("Request rejected by stop", "request", q.id, "reason", string(reason), "service", n.kind.Service,
		"model", n.kind.Model, "tokens", n.tokens, "expected-ms", expected.Milliseconds(), "left-ms", stop.EndsAt.Sub(now).Milliseconds())
	p := endProblem()
	return &p
}

// lastStart returns the time until which the request may begin to run, and false if the
// process does not stop.
func (q *request) lastStart(n need) (time.Time, bool) {
	stop := q.stop.Load()
	if stop == nil || stop.EndsAt.IsZero() {
		return time.Time{}, false
	}
	return stop.EndsAt.Add(-q.expected(n)), true
}

// endProblem returns the rejection of a request that the process does not finish.
func endProblem() problem {
	return problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     audit.ShuttingDown,
		Message:    "this node stops before it could finish the request",
		NotRun:     true,
		RetryAfter: stopRetryAfter,
	}
}
