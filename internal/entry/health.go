package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/triage"
)

// errEndpointUnusable means that the endpoint may not be used any more since it was chosen:
// it has said that it leaves or wants no requests, or the configuration has changed.
// Nothing was sent.
var errEndpointUnusable = errors.New("entry: the endpoint may not be used any more")

// hear records what an endpoint said of itself in an answer, before anything else is done
// with the answer.
func (q *request) hear(choice route.Choice, s engine.Statement) {
	if q.opts.Routes.Hear(q.opts.Clock.Now(), choice, s) {
		klog.InfoS("Endpoint says that it leaves", "endpoint", choice.Endpoint, "request", q.id)
	}
	if s.Wait.Rule != "" {
		klog.InfoS("Endpoint turned request away", "endpoint", choice.Endpoint, "request", q.id,
			"retry-after", s.Wait.Text, "rule", s.Wait.Rule, "closed-for-ms", s.Wait.For.Milliseconds())
	}
}

// endpointCheck adapts check to the Check field of engine.Call, and fails if the endpoint
// has become unusable since it was chosen.
func (q *request) endpointCheck(choice route.Choice, check func() *problem) func() error {
	next := engineCheck(check)
	return func() error {
		if !q.opts.Routes.Usable(q.opts.Clock.Now(), choice) || !q.config.Load().hasEndpoint(choice.Endpoint, choice.Address) {
			return errEndpointUnusable
		}
		return next()
	}
}

// closedProblem returns the refusal of a request that every endpoint turns away for a
// time, or nil if err says something else.
func (q *request) closedProblem(err error, notRun bool) *problem {
	var closed *health.ClosedError
	if !errors.As(err, &closed) {
		return nil
	}
	d := triage.Closed(q.opts.Clock.Now(), closed.Until, time.Second, rand.Float64())
	return &problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     audit.NoEndpoint,
		Message:    "all endpoints want no requests for a time",
		NotRun:     notRun,
		RetryAfter: d.RetryAfter,
	}
}
