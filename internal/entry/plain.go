package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// finalStoreTimeout limits it once the process ends.
	finalStoreTimeout = 500 * time.Millisecond
	// plainDeadline limits a call of a plain service including its retries.
	plainDeadline = 30 * time.Second
	// storeTimeout limits storing an outcome, which continues after the caller has
	// disconnected.
	storeTimeout = 5 * time.Second
)

// plainCall is a call of a plain service and the state of its attempts.
type plainCall struct {
	*request
	ctx     context.Context
	service *spec.Service
	method  spec.Method
	body    []byte
	ticket  *once.Ticket
	// began is when the body had been read.
	began time.Time

	attempts        int
	sentTo          []string // addresses of the attempts
	allProvedNotRun bool
	exclude         []string
}

// mayHaveRun reports whether an earlier request for the same call may have run. A
// caller that repeats a booking takes "not run" to mean that the booking was not
// made. So no response says "not run" before the idempotency key is proved new.
func (q *request) mayHaveRun() bool {
	return q.r.Header.Get("Idempotency-Key") != "" && !q.claimed
}

func (s *Server) plain(q *request) {
	if _, _, ok := q.findCall(); !ok {
		return
	}
	body, ok := q.readBody()
	if !ok {
		return
	}
	// The configuration may have changed while the body was read.
	q.view = q.config.Load()
	svc, m, ok := q.findCall()
	if !ok {
		return
	}
	if q.leaksKey(body) {
		q.badRequest(keyElsewhere)
		return
	}
	ctx, cancelDeadline := context.WithDeadline(context.WithoutCancel(q.r.Context()), time.Now().Add(plainDeadline))
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(q.r.Context(), func() {
		// Only repeatable calls end when the caller disconnects. Others continue, so that
		// their outcome is known, up to the end of the process.
		if m.Repeatable || q.processEnds() {
			cancel(context.Cause(q.r.Context()))
		}
	})()
	if m.Repeatable {
		// The outcome of a call that may not be repeated has to be known.
		defer q.watchKey(cancel)()
	}
	c := &plainCall{
		request:         q,
		ctx:             ctx,
		service:         svc,
		method:          m,
		body:            body,
		began:           s.opts.Clock.Now(),
		allProvedNotRun: true,
	}
	if p := c.unservable(); p != nil {
		c.fail(p)
		return
	}
	c.serve()
}

// findCall finds the service and the method, and checks the key once if the service needs
// one. If it returns false, it has answered the request.
func (q *request) findCall() (*spec.Service, spec.Method, bool) {
	svc := q.view.findService(q.r.URL.Path)
	for svc == nil && q.awaitNewer() {
		svc = q.view.findService(q.r.URL.Path)
	}
	if svc == nil {
		q.refuse(q.unknown(serviceProblem()), audit.Event{})
		return nil, spec.Method{}, false
	}
	if !svc.Open && q.workspace == nil && !q.authenticate() {
		return nil, spec.Method{}, false
	}
	m, ok := findMethod(svc, q.r)
	if !ok {
		q.refuse(q.methodProblem(svc), audit.Event{
			Other: svc.Name,
		})
	}
	return svc, m, ok
}

func serviceProblem() problem {
	return problem{
		Status:  http.StatusNotFound,
		Reason:  audit.ServiceUnknown,
		Message: "no service answers under this path",
		NotRun:  true,
	}
}

func (q *request) methodProblem(svc *spec.Service) problem {
	return problem{
		Status:  http.StatusMethodNotAllowed,
		Reason:  audit.MethodUnknown,
		Message: "service " + svc.Name + " does not offer " + q.r.Method + " " + q.r.URL.Path,
		NotRun:  true,
	}
}

// unservable returns why the call cannot be made under the configuration in force and
// before the end of the process, or nil.
func (c *plainCall) unservable() *problem {
	v := c.config.Load()
	var p problem
	svc := v.findService(c.r.URL.Path)
	switch {
	case c.processEnds():
		p = endProblem()
	case svc == nil:
		p = serviceProblem()
	case svc.Name != c.service.Name:
		p = problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     audit.NoEndpoint,
			Message:    "the path belongs to another service now",
			RetryAfter: time.Second,
		}
	case !svc.Open && c.workspace == nil:
		// The service was closed since the arrival.
		if k := c.checkKey(); k != nil {
			p = *k
			break
		}
		if c.leaksKey(c.body) {
			p = badRequestProblem(keyElsewhere)
			break
		}
		return c.unservable()
	default:
		if _, ok := findMethod(svc, c.r); !ok {
			p = c.methodProblem(svc)
			break
		}
		stopped := c.stopProblem(c.need())
		if stopped == nil {
			return nil
		}
		p = *stopped
	}
	p.NotRun = c.allProvedNotRun
	return &p
}

func (c *plainCall) need() need {
	return need{
		kind: drain.Kind{
			Service: c.service.Name,
		},
	}
}

// isRepeatable reports whether the call may be repeated by the configuration at its
// arrival and by the one in force.
func (c *plainCall) isRepeatable() bool {
	if !c.method.Repeatable {
		return false
	}
	svc := c.config.Load().findService(c.r.URL.Path)
	if svc == nil || svc.Name != c.service.Name {
		return true
	}
	m, ok := findMethod(svc, c.r)
	return !ok || m.Repeatable
}

// mustClaim reports whether the call has an idempotency key that has to be claimed before
// the call is sent.
func (c *plainCall) mustClaim() bool {
	return c.ticket == nil && c.r.Header.Get("Idempotency-Key") != "" && !c.isRepeatable()
}

// findService returns the service with the longest prefix that matches the path.
func (v *view) findService(path string) *spec.Service {
	var best *spec.Service
	for _, svc := range v.services {
		if strings.HasPrefix(path, svc.Prefix) && (best == nil || len(svc.Prefix) > len(best.Prefix)) {
			best = svc
		}
	}
	return best
}

func findMethod(svc *spec.Service, r *http.Request) (spec.Method, bool) {
	rest := strings.TrimPrefix(r.URL.Path, svc.Prefix)
	for _, m := range svc.Methods {
		path := strings.TrimPrefix(m.Path, "/")
		prefix, wildcard := strings.CutSuffix(path, "*")
		if m.Method == r.Method && (rest == path || wildcard && strings.HasPrefix(rest, prefix)) {
			return m, true
		}
	}
	return spec.Method{}, false
}

// claim checks that a call with an idempotency key is new. It reports whether the
// call may run; if not, it has answered the request.
func (c *plainCall) claim() bool {
	key := c.r.Header.Get("Idempotency-Key")
	workspace := openWorkspace + "/" + c.service.Name
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	fingerprint := once.Fingerprint(c.r.Method, c.r.URL.RequestURI(), c.body)
	d, err := c.opts.Once.Begin(c.ctx, workspace, key, fingerprint, c.id)
	if err != nil {
		c.badRequest(err.Error())
		return false
	}
	switch d.Kind {
	case once.Run:
		c.ticket = d.Ticket
		c.claimed = true
		c.opts.Stats.Inc(stats.OnceRun)
		return true
	case once.Replay:
		if p := c.keyProblem(); p != nil {
			c.refuse(*p, audit.Event{})
			return false
		}
		c.opts.Stats.Inc(stats.OnceReplayed)
		c.replay(d.Response)
		return false
	}
	p := repeatProblem(d.Kind)
	c.countRepeat(d.Kind)
	c.refuse(p, audit.Event{
		Other: d.Holder,
	})
	return false
}

func (c *plainCall) countRepeat(k once.Kind) {
	switch k {
	case once.InProgress:
		c.opts.Stats.Inc(stats.OnceInProgress)
	case once.Unknown:
		c.opts.Stats.Inc(stats.OnceUnknown)
	case once.DifferentBody:
		c.opts.Stats.Inc(stats.OnceDifferentBody)
	case once.NotProvable:
		c.opts.Stats.Inc(stats.OnceNotProvable)
	}
}

func repeatProblem(k once.Kind) problem {
	switch k {
	case once.InProgress:
		return problem{
			Status:     http.StatusConflict,
			Reason:     audit.RepeatInProgress,
			Message:    "a call with this idempotency key is being carried out",
			RetryAfter: time.Second,
		}
	case once.DifferentBody:
		return problem{
			Status:  http.StatusUnprocessableEntity,
			Reason:  audit.RepeatDifferent,
			Message: "this idempotency key belongs to another call; this one was not run",
		}
	case once.NotProvable:
		return problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     audit.RepeatUnprovable,
			Message:    "it cannot be checked at present whether this call was made before; this arrival was not run",
			RetryAfter: 5 * time.Second,
		}
	}
	return problem{
		Status:  http.StatusConflict,
		Reason:  audit.RepeatUnknown,
		Message: "a call with this idempotency key may have run; it will not be run again",
	}
}

func (c *plainCall) replay(r once.Response) {
	h := c.w.Header()
	for name, v := range r.Header {
		h.Set(name, v)
	}
	h.Set("X-Request-Id", c.id)
	h.Set("Idempotent-Replay", "true")
	if r.Omitted {
		h.Set("Idempotent-Body-Omitted", "true")
	}
	c.w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected; the response stays
	// stored.
	_, _ = c.w.Write(r.Body)
	c.opts.Stats.Inc(stats.RequestsServed)
	c.opts.Audit.Served(c.workspaceName(), false)
}

func (c *plainCall) workspaceName() string {
	if c.workspace == nil {
		return openWorkspace
	}
	return c.workspace.Name
}

func (c *plainCall) serve() {
	c.retryPolicy.Budget.Credit()
	for {
		if c.mustClaim() && !c.claim() {
			return
		}
		answer, p, retry := c.attempt()
		switch {
		case retry:
		case p != nil:
			c.fail(p)
			return
		default:
			c.deliver(answer)
			return
		}
	}
}

func (c *plainCall) attempt() (answer *engine.Response, p *problem, retry bool) {
	if p := c.unservable(); p != nil {
		return nil, p, false
	}
	req := route.Request{
		Now:     c.opts.Clock.Now(),
		Service: c.service.Name,
		Exclude: c.exclude,
	}
	choice, err := c.opts.Picker.Pick(req)
	if errors.Is(err, route.ErrNoEndpoint) && len(c.exclude) > 0 {
		c.exclude = nil
		req.Exclude = nil
		choice, err = c.opts.Picker.Pick(req)
	}
	if p := c.closedProblem(err, c.allProvedNotRun); p != nil {
		return nil, p, false
	}
	if err != nil {
		return nil, &problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     audit.NoEndpoint,
			Message:    "no endpoint of service " + c.service.Name + " takes calls at present",
			NotRun:     c.allProvedNotRun,
			RetryAfter: 2 * time.Second,
		}, false
	}
	if c.attempts == 0 {
		c.opts.Routes.Start(choice, req)
	} else {
		c.opts.Routes.StartRetry(choice, req)
	}
	c.attempts++
	answer, err = c.opts.Engines.Call(c.ctx, engine.Call{
		Address:   choice.Address,
		Method:    c.r.Method,
		Path:      c.r.URL.RequestURI(),
		Header:    c.r.Header,
		Body:      c.body,
		RequestID: c.id,
		Again:     slices.Contains(c.sentTo, choice.Address),
		Check: func() error {
			if c.mustClaim() {
				return errEndpointUnusable
			}
			return c.endpointCheck(choice, c.checkBeforeSend)()
		},
	})
	if err != nil {
		c.hear(choice, engine.StatementOf(err))
	} else {
		c.hear(choice, answer.Statement)
	}
	var checkErr *problemError
	unusable := errors.Is(err, errEndpointUnusable)
	checkFailed := errors.As(err, &checkErr) || unusable
	outcome := classifyError(err)
	if err == nil && answer.Status >= http.StatusInternalServerError {
		outcome = once.Faulted
	}
	c.opts.Routes.Finish(choice, route.Outcome{
		Now:    c.opts.Clock.Now(),
		Failed: outcome != once.Answered && c.ctx.Err() == nil && !checkFailed,
	})
	if unusable {
		c.attempts--
		c.awaitChange(c.ctx)
		return nil, nil, true
	}
	c.sentTo = append(c.sentTo, choice.Address)
	if checkFailed {
		return nil, checkErr.problem, false
	}
	return c.handleOutcome(answer, outcome, choice)
}

// checkBeforeSend checks directly before the first byte is sent whether the call may be
// made, and whether the claim and the key are still valid.
func (c *plainCall) checkBeforeSend() *problem {
	if p := c.unservable(); p != nil {
		return p
	}
	if c.ticket != nil && !c.ticket.MaySend(c.opts.Clock.Now()) {
		p := repeatProblem(once.NotProvable)
		p.NotRun = c.allProvedNotRun
		return &p
	}
	return c.keyProblem()
}

// keyProblem returns the refusal of a call whose key is not valid any more, or nil.
func (c *plainCall) keyProblem() *problem {
	if c.workspace == nil {
		return nil
	}
	p, bad := keyProblem(c.opts.Keys.RecheckBeforeSend(c.verdict))
	if !bad {
		return nil
	}
	p.NotRun = c.allProvedNotRun
	return &p
}

// handleOutcome decides after an attempt whether to retry, to return the answer or
// to fail with a problem.
func (c *plainCall) handleOutcome(answer *engine.Response, outcome once.Outcome, choice route.Choice) (*engine.Response, *problem, bool) {
	if outcome == once.Mismatched {
		c.opts.Stats.Inc(stats.ResponsesMismatched)
	}
	repeatable := c.isRepeatable()
	v := c.retryPolicy.Next(once.Call{
		Repeatable: repeatable,
		Deadline:   c.arrived.Add(plainDeadline),
	}, outcome, c.attempts, c.allProvedNotRun, c.opts.Clock.Now())
	c.allProvedNotRun = c.allProvedNotRun && outcome.ProvedNotRun()
	switch {
	case v.Action == once.Retry && c.r.Context().Err() == nil && c.ctx.Err() == nil:
		c.exclude = append(slices.Clone(c.exclude), choice.Endpoint)
		c.opts.Stats.Inc(stats.RetriesDone)
		c.opts.Audit.Record(audit.Event{
			Reason:    retryReason(outcome),
			Request:   c.id,
			Workspace: c.workspaceName(),
			Endpoint:  choice.Endpoint,
			Other:     c.service.Name,
		})
		c.backOff(v.Wait)
		return nil, nil, true
	case answer != nil:
		return answer, nil, false
	}
	p := problem{
		Status:     http.StatusBadGateway,
		Reason:     audit.EndpointFailed,
		Message:    "endpoint " + choice.Endpoint + " did not answer",
		NotRun:     v.NotRun,
		RetryAfter: time.Second,
	}
	if c.processEnds() {
		p = endProblem()
		p.NotRun = v.NotRun
	}
	if k := keyCauseProblem(c.ctx); k != nil {
		p = *k
		p.NotRun = v.NotRun
	}
	if !repeatable && !v.NotRun {
		p.Reason = audit.OutcomeUnknown
		p.Status = http.StatusGatewayTimeout
		p.Message = "the call may have run; endpoint " + choice.Endpoint + " gave no answer that belongs to it"
		p.RetryAfter = 0
	}
	return nil, &p, false
}

// backOff waits before a retry, or until the caller has left: the next attempt then
// ends without sending anything.
func (c *plainCall) backOff(wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	case <-c.r.Context().Done():
	}
}

// storeContext returns the context for storing the outcome. What is not stored in time
// stays pending, and the node stores it before it ends.
func (c *plainCall) storeContext() (context.Context, func()) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), storeTimeout)
	stop := context.AfterFunc(c.r.Context(), func() {
		if c.processEnds() {
			time.AfterFunc(finalStoreTimeout, cancel)
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// fail answers with a problem and stores the outcome of the call as not run or
// unknown.
func (c *plainCall) fail(p *problem) {
	if c.ticket != nil {
		ctx, cancel := c.storeContext()
		defer cancel()
		store := c.opts.Once.FinishUnknown
		if p.NotRun {
			store = c.opts.Once.FinishNotRun
		}
		if err := store(ctx, c.ticket); err != nil {
			c.opts.Stats.Inc(stats.OnceStoreFailed)
		}
	}
	c.refuse(*p, audit.Event{
		Other: c.service.Name,
	})
}

// unforwardedHeaders are response headers that are not forwarded to the caller:
// those of the endpoint's connection, and the request id, which this server sets.
var unforwardedHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"X-Leaving":         true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"X-Request-Id":      true,
}

func (c *plainCall) deliver(a *engine.Response) {
	if c.ticket != nil {
		ctx, cancel := c.storeContext()
		err := c.opts.Once.Finish(ctx, c.ticket, once.Response{
			Status: a.Status,
			Header: map[string]string{
				"Content-Type": a.Header.Get("Content-Type"),
			},
			Body: a.Body,
		})
		cancel()
		if err != nil {
			c.opts.Stats.Inc(stats.OnceStoreFailed)
		}
	}
	if a.Status < http.StatusInternalServerError {
		c.times.Record(c.need().kind, drain.Sample{
			First: c.opts.Clock.Now().Sub(c.began),
		})
	}
	h := c.w.Header()
	for name, values := range a.Header {
		if !unforwardedHeaders[name] {
			h[name] = values
		}
	}
	if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
		// The endpoint says it to this process, not to the caller of this answer.
		h.Del("Retry-After")
	}
	h.Set("X-Request-Id", c.id)
	c.w.WriteHeader(a.Status)
	// A write error means that the caller has disconnected.
	_, _ = c.w.Write(a.Body)
	c.opts.Stats.Inc(stats.RequestsServed)
	c.opts.Audit.Served(c.workspaceName(), false)
}
