package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fair"
	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// completionDeadline is the age from which a completion is not retried. At
	// 48 ms per token a response of 12,000 tokens takes 9.6 minutes.
	completionDeadline = 10 * time.Minute
	// defaultOnDemand limits the wait for a model whose configuration has no
	// on-demand limit.
	defaultOnDemand = 30 * time.Second
	// openWorkspace stands for the workspace of requests to open services, which
	// need no key.
	openWorkspace = "open"
)

// completion is a completion request and the state of its attempts.
type completion struct {
	*request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// waiting ends with ctx and, while the request waits, as soon as it cannot be served.
	waiting  context.Context
	in       engine.Request
	body     []byte
	spec     *spec.Model
	service  string
	adapter  string
	class    spec.Class
	charge   *limit.Charge
	tokens   int64
	prefixes []string

	attempts        int
	sentTo          []string // addresses of the attempts
	allProvedNotRun bool
	exclude         []string
	// unreachable is how many of the excluded endpoints are in other domains and could
	// not be reached.
	unreachable int

	delivered bool
	used      int64
	timing    timing
	// sentAt is when the last attempt began.
	sentAt time.Time
}

func (s *Server) complete(q *request) {
	hasKey := q.r.Header.Get("Authorization") != ""
	if hasKey && !q.authenticate() {
		return
	}
	body, ok := q.readBody()
	if !ok {
		return
	}
	// The configuration may have changed while the body was read.
	q.view = q.config.Load()
	in, err := engine.DecodeRequest(body)
	if err != nil {
		q.badRequest(err.Error())
		return
	}
	q.model = in.Model
	c := &completion{
		request:         q,
		in:              in,
		body:            body,
		adapter:         q.r.Header.Get("X-Adapter"),
		allProvedNotRun: true,
	}
	if !c.resolve() {
		return
	}
	if svc := q.view.index.Services[c.spec.Service]; !hasKey && (svc == nil || !svc.Open) {
		q.authenticate()
		return
	}
	if !c.resolveClass() || !c.checkSize() {
		return
	}
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	c.ctx, c.cancel, c.waiting = ctx, cancel, ctx
	stop := c.watchKey(cancel)
	defer stop()
	if c.admit() {
		c.serve()
	}
}

// lookUp finds the model and the adapter of the request in its view. The request may name an
// adapter as its model.
func (c *completion) lookUp() (model, adapter string, p *problem) {
	index := c.view.index
	model, adapter = c.in.Model, c.adapter
	if a := index.Adapters[model]; index.Models[model] == nil && a != nil {
		model, adapter = a.Model, a.Name
	}
	return model, adapter, checkModel(index, model, adapter)
}

// checkModel returns the refusal of a request for a model or an adapter of it that does not
// exist, or nil.
func checkModel(index *spec.Index, model, adapter string) *problem {
	if index.Models[model] == nil {
		return modelProblem(model)
	}
	if adapter != "" && !hasAdapter(index, model, adapter) {
		return adapterProblem(model, adapter)
	}
	return nil
}

// resolve finds the model and checks the adapter.
func (c *completion) resolve() bool {
	model, adapter, p := c.lookUp()
	for p != nil && c.awaitNewer() {
		model, adapter, p = c.lookUp()
	}
	c.spec = c.view.index.Models[model]
	if p != nil {
		event := audit.Event{}
		if c.spec != nil {
			event.Other = adapter
		}
		c.refuse(c.unknown(*p), event)
		return false
	}
	if model != c.in.Model {
		body, err := withModel(c.body, model)
		if err != nil {
			c.badRequest(err.Error())
			return false
		}
		c.body = body
	}
	c.model, c.service, c.adapter = model, c.spec.Service, adapter
	return true
}

// withModel returns the JSON body with its model field replaced.
func withModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// resolveClass sets the class from the X-Priority header, or else from the
// workspace.
func (c *completion) resolveClass() bool {
	c.class = spec.ClassNormal
	if c.workspace != nil && c.workspace.Class != "" {
		c.class = c.workspace.Class
	}
	name := c.r.Header.Get("X-Priority")
	switch p := spec.Class(name); p {
	case "":
	case spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable:
		c.class = p
	default:
		c.badRequest("X-Priority is " + strconv.Quote(name) + "; want interactive, normal or deferrable")
		return false
	}
	return true
}

func (c *completion) checkSize() bool {
	c.tokens = c.in.PromptTokens() + c.in.MaxTokens
	if maxTokens := c.spec.MaxContextTokens; maxTokens > 0 && c.tokens > maxTokens {
		c.refuse(*contextTooLong(c.tokens, maxTokens), audit.Event{
			Wanted: c.tokens,
			Limit:  maxTokens,
		})
		return false
	}
	return true
}

// admit charges the tokens of the request to its workspace.
func (c *completion) admit() bool {
	if p := c.unservable(); p != nil {
		c.refuse(*p, audit.Event{})
		return false
	}
	if c.workspace == nil {
		return true
	}
	end := c.beginWait()
	defer end()
	charge, err := c.takeTokens()
	if err != nil && c.waiting.Err() != nil {
		c.refuse(*c.contextProblem(), audit.Event{})
		return false
	}
	if err != nil {
		p, e := c.admitProblem(err)
		c.refuse(p, e)
		return false
	}
	c.charge = &charge
	return true
}

// takeTokens charges the tokens of the request. The workspace may be new, so that the rate
// limits do not know it yet.
func (c *completion) takeTokens() (limit.Charge, error) {
	for try := 0; ; try++ {
		charge, err := c.opts.Admitter.Admit(c.waiting, c.workspace.Name, c.tokens)
		var refused *limit.RefusedError
		if !errors.As(err, &refused) || refused.Reason != quota.ReasonUnknown || try == maxViewTries || c.waiting.Err() != nil {
			return charge, err
		}
		c.awaitChange(c.waiting)
	}
}

func (c *completion) admitProblem(err error) (problem, audit.Event) {
	var refused *limit.RefusedError
	if !errors.As(err, &refused) {
		return problem{
			Status:  http.StatusServiceUnavailable,
			Reason:  audit.CallerGone,
			Message: err.Error(),
			NotRun:  c.allProvedNotRun,
		}, audit.Event{}
	}
	p := problem{
		Status:     http.StatusTooManyRequests,
		Reason:     audit.OverRate,
		Message:    refused.Error(),
		NotRun:     c.allProvedNotRun,
		RetryAfter: max(refused.After, time.Second),
	}
	switch refused.Reason {
	case quota.ReasonBurst:
		p.Reason = audit.OverBurst
		p.RetryAfter = 0
	case quota.ReasonDomainUnreachable, quota.ReasonNoSlots, quota.ReasonTimeout, quota.ReasonUnknown:
		p.Reason = audit.RateUnreachable
		p.Status = http.StatusServiceUnavailable
	}
	return p, audit.Event{
		Wanted:    refused.Wanted,
		Available: refused.Available,
		Limit:     int64(c.workspace.RateTokensPerSecond),
	}
}

// serve makes attempts until an endpoint has answered or the retry policy allows
// no further one.
func (c *completion) serve() {
	c.prefixes = engine.Prefixes(c.spec.Name, c.in.Prompt)
	c.retryPolicy.Budget.Credit()
	c.opts.Demand.RecordArrival(c.spec.Name, c.workspaceName(), c.adapter, c.tokens)
	defer func() {
		c.closeCharge(c.used)
		c.opts.Stats.Add(stats.TokensCharged, c.used)
	}()
	for {
		p, retry := c.attempt()
		if retry {
			continue
		}
		c.finish(p)
		return
	}
}

// watchKey cancels the request when its key is withdrawn or can no longer be
// checked.
func (q *request) watchKey(cancel context.CancelCauseFunc) (stop func()) {
	if q.workspace == nil {
		return func() {}
	}
	expired := q.opts.Keys.Expired()
	done := make(chan struct{})
	go func() {
		select {
		case <-q.verdict.Withdrawn():
			cancel(errKeyWithdrawn)
		case <-expired:
			cancel(errKeyUnverifiable)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// attempt sends the request to one endpoint. If retry is false, p is the final
// result: nil after a success, otherwise the problem.
func (c *completion) attempt() (p *problem, retry bool) {
	endWait := c.beginWait()
	defer endWait()
	if p := c.unservable(); p != nil {
		p.NotRun = c.allProvedNotRun
		return p, false
	}
	choice, p := c.pick()
	if p != nil {
		return p, false
	}
	workspace, weight := openWorkspace, 1.0
	if c.workspace != nil {
		workspace = c.workspace.Name
		weight = max(c.workspace.Weight, 0.001)
	}
	queue := c.queue(choice.Endpoint, choice.Address)
	if queue == nil {
		c.awaitChange(c.waiting)
		return nil, true
	}
	if _, waiting := queue.Load(); waiting > 0 {
		c.closeCharge(0)
	}
	release, err := queue.Acquire(c.waiting, workspace, weight, c.class, c.tokens)
	if errors.Is(err, fair.ErrClosed) {
		return nil, true
	}
	if err != nil {
		return c.queueProblem(err), false
	}
	defer release()
	if !c.opts.Routes.Usable(c.opts.Clock.Now(), choice) {
		// The request waited at the endpoint. The next choice obeys what it has said.
		return nil, true
	}
	if p := c.readmit(); p != nil {
		return p, false
	}
	endWait()
	req := c.routeRequest()
	if c.attempts == 0 {
		c.opts.Routes.Start(choice, req)
	} else {
		c.opts.Routes.StartRetry(choice, req)
	}
	c.attempts++
	if c.adapter != "" {
		defer c.opts.Demand.MarkInUse(choice.Endpoint, c.spec.Name, c.adapter)()
	}
	err = c.send(choice)
	outcome := classifyError(err)
	ejected := c.opts.Routes.Finish(choice, route.Outcome{
		Now:        c.opts.Clock.Now(),
		Failed:     c.isEndpointFault(err, outcome),
		FirstToken: c.timing.firstToken,
	})
	if ejected {
		c.opts.Stats.Inc(stats.RouteEjections)
		c.opts.Audit.Record(audit.Event{
			Reason:   audit.EjectedFailures,
			Endpoint: choice.Endpoint,
			Model:    c.model,
		})
	}
	if err == nil {
		return nil, false
	}
	if errors.Is(err, errEndpointUnusable) {
		// Nothing was sent.
		c.attempts--
		c.sentTo = c.sentTo[:len(c.sentTo)-1]
		c.awaitChange(c.ctx)
		return nil, true
	}
	var checkErr *problemError
	if errors.As(err, &checkErr) {
		return checkErr.problem, false
	}
	if c.ctx.Err() != nil {
		go c.cancelAtEndpoint(choice.Address)
	}
	return c.handleFailure(err, outcome, choice)
}

// closeCharge ends the charge and returns its unused tokens. A request that has to
// wait closes its charge first: the tokens of a charge expire within 3 s, and a
// second charge on top of an open one would refuse workspaces that are within
// their rate.
func (c *completion) closeCharge(used int64) {
	if c.charge != nil {
		c.charge.Settle(used)
		c.charge = nil
	}
}

// maxReadmitAttempts limits how often a request that was admitted before and has
// waited since waits for tokens again.
const maxReadmitAttempts = 3

// readmit charges the request again if its charge was closed while it waited.
func (c *completion) readmit() *problem {
	if c.workspace == nil || c.charge != nil {
		return nil
	}
	var err error
	for range maxReadmitAttempts {
		var charge limit.Charge
		if charge, err = c.takeTokens(); err == nil {
			c.charge = &charge
			return nil
		}
		if c.waiting.Err() != nil {
			return c.contextProblem()
		}
	}
	p, _ := c.admitProblem(err)
	return &p
}

// isEndpointFault reports whether the endpoint caused the error of an attempt.
func (c *completion) isEndpointFault(err error, outcome once.Outcome) bool {
	var checkErr *problemError
	return outcome != once.Answered && outcome != once.Declined && c.ctx.Err() == nil &&
		!errors.As(err, &checkErr) && !errors.Is(err, errEndpointUnusable)
}

// checkBeforeSend checks directly before the first byte is sent whether the request may
// run, and whether the key and the charge are still valid: the process may have been
// paused since they were last checked.
func (c *completion) checkBeforeSend() *problem {
	if p := c.unservable(); p != nil {
		p.NotRun = c.allProvedNotRun
		return p
	}
	if c.workspace == nil {
		return nil
	}
	if p, bad := keyProblem(c.opts.Keys.RecheckBeforeSend(c.verdict)); bad {
		p.NotRun = c.allProvedNotRun
		return &p
	}
	if c.charge.Check() == nil {
		return nil
	}
	c.charge = nil
	if p := c.readmit(); p != nil {
		return p
	}
	if err := c.charge.Check(); err != nil {
		p, _ := c.admitProblem(err)
		return &p
	}
	return nil
}

func (c *completion) routeRequest() route.Request {
	return route.Request{
		Now:          c.opts.Clock.Now(),
		Model:        c.spec.Name,
		Adapter:      c.adapter,
		Prefixes:     c.prefixes,
		PromptTokens: c.in.PromptTokens(),
		Exclude:      c.exclude,
	}
}

// pick chooses an endpoint. If the model or adapter is not resident, it reports
// the demand to the planner and waits.
func (c *completion) pick() (route.Choice, *problem) {
	for {
		choice, err := c.opts.Picker.Pick(c.routeRequest())
		if p := c.closedProblem(err, c.allProvedNotRun); p != nil {
			return route.Choice{}, p
		}
		switch {
		case err == nil && (c.adapter == "" || choice.AdapterReady):
			return choice, nil
		case errors.Is(err, route.ErrNoEndpoint) && len(c.exclude) > c.unreachable:
			// Every endpoint has failed once. The retry policy limits further attempts.
			c.exclude, c.unreachable = nil, 0
		case err == nil, errors.Is(err, route.ErrNotResident), errors.Is(err, route.ErrNoEndpoint):
			// The model may be resident at leaving endpoints, which take no new work, or
			// only in other domains, which cannot be reached.
			if p := c.awaitResident(); p != nil {
				return route.Choice{}, p
			}
		case errors.Is(err, route.ErrUnknown):
			p := modelProblem(c.model)
			p.NotRun = c.allProvedNotRun
			return route.Choice{}, p
		default:
			return route.Choice{}, &problem{
				Status:     http.StatusServiceUnavailable,
				Reason:     audit.NoEndpoint,
				Message:    "no endpoint can serve model " + c.model + " at present",
				NotRun:     c.allProvedNotRun,
				RetryAfter: 2 * time.Second,
			}
		}
	}
}

// onDemandDeadline returns when the wait for a model that is not resident ends, by the
// configuration in force.
func (c *completion) onDemandDeadline() time.Time {
	m := c.config.Load().index.Models[c.model]
	if m == nil {
		m = c.spec
	}
	onDemand := time.Duration(m.OnDemand)
	if onDemand <= 0 {
		onDemand = defaultOnDemand
	}
	return c.arrived.Add(onDemand)
}

// awaitResident waits until an endpoint has the model and adapter of the request,
// at most until onDemandDeadline.
func (c *completion) awaitResident() *problem {
	c.closeCharge(0)
	defer c.opts.Demand.TrackWaiting(c.spec.Name, c.adapter)()
	for {
		// Get the channels before checking the layout, so that no change is missed.
		changed, configured := c.opts.Demand.LayoutChanged(), c.changes()
		choice, err := c.opts.Picker.Pick(c.routeRequest())
		if err == nil && (c.adapter == "" || choice.AdapterReady) {
			return nil
		}
		if errors.Is(err, route.ErrUnknown) {
			return nil
		}
		if p := c.closedProblem(err, c.allProvedNotRun); p != nil {
			return p
		}
		if errors.Is(err, route.ErrNotResident) {
			// An endpoint that has the model later may be an excluded one that is back.
			c.exclude, c.unreachable = nil, 0
		}
		left := c.onDemandDeadline().Sub(c.opts.Clock.Now())
		if left <= 0 {
			return &problem{
				Status:     http.StatusServiceUnavailable,
				Reason:     audit.ModelLoading,
				Message:    "model " + c.spec.Name + " could not be made ready in time",
				NotRun:     c.allProvedNotRun,
				RetryAfter: 5 * time.Second,
			}
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-configured:
		case <-t.C:
		case <-c.waiting.Done():
			t.Stop()
			return c.contextProblem()
		}
		t.Stop()
	}
}

func (c *completion) queueProblem(err error) *problem {
	if c.waiting.Err() != nil {
		return c.contextProblem()
	}
	return &problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     audit.QueueFull,
		Message:    err.Error(),
		NotRun:     c.allProvedNotRun,
		RetryAfter: 2 * time.Second,
	}
}

// contextProblem returns the problem for which the request or its wait was ended.
func (c *completion) contextProblem() *problem {
	p := problem{
		Status:  499,
		Reason:  audit.CallerGone,
		Message: "the caller went away",
		NotRun:  c.allProvedNotRun && !c.delivered,
	}
	var unservable *problemError
	switch cause := context.Cause(c.waiting); {
	case errors.As(cause, &unservable):
		u := *unservable.problem
		u.NotRun = p.NotRun
		return &u
	case errors.Is(cause, errProcessEnds):
		e := endProblem()
		e.NotRun = p.NotRun
		if c.delivered {
			e.Reason = audit.StreamBroken
			e.Message = "the node that passed on the answer has stopped"
		}
		return &e
	case errors.Is(cause, errKeyWithdrawn), errors.Is(cause, errKeyUnverifiable):
		k := keyCauseProblem(c.ctx)
		k.NotRun = p.NotRun
		return k
	case errors.Is(cause, errCancelled):
		p.Message = "the request was cancelled"
	case errors.Is(cause, errSlowClient):
		p.Reason = audit.SlowClient
		p.Message = "the caller took the answer too slowly"
	}
	return &p
}

// classifyError returns the outcome that the error of an attempt stands for.
func classifyError(err error) once.Outcome {
	var notSent *engine.NotSentError
	var mismatch *engine.MismatchError
	var status *engine.StatusError
	switch {
	case err == nil:
		return once.Answered
	case errors.As(err, &notSent):
		return once.NotSent
	case errors.As(err, &mismatch):
		return once.Mismatched
	case errors.As(err, &status) && status.NotRun:
		return once.Declined
	case errors.As(err, &status) && status.Status >= http.StatusInternalServerError:
		return once.Faulted
	case errors.As(err, &status):
		return once.Answered
	}
	return once.Lost
}

// handleFailure decides whether to retry after a failed attempt. A completion may be
// repeated until a part of the response has been delivered.
func (c *completion) handleFailure(err error, outcome once.Outcome, choice route.Choice) (*problem, bool) {
	if c.ctx.Err() != nil {
		c.allProvedNotRun = c.allProvedNotRun && outcome.ProvedNotRun()
		return c.contextProblem(), false
	}
	if outcome == once.Mismatched {
		c.opts.Stats.Inc(stats.ResponsesMismatched)
		c.opts.Audit.Record(audit.Event{
			Reason:    audit.ResponseMismatched,
			Request:   c.id,
			Endpoint:  choice.Endpoint,
			Model:     c.model,
			Workspace: c.workspaceName(),
		})
	}
	var status *engine.StatusError
	if errors.As(err, &status) && status.Code == engine.CodeNotResident {
		c.opts.Demand.ReportLayoutMismatch(choice.Endpoint)
	}
	verdict := c.retryPolicy.Next(once.Call{
		Repeatable: true,
		Delivered:  c.delivered,
		Deadline:   c.arrived.Add(completionDeadline),
	}, outcome, c.attempts, c.allProvedNotRun, c.opts.Clock.Now())
	c.allProvedNotRun = c.allProvedNotRun && outcome.ProvedNotRun()
	if verdict.Action == once.Retry {
		c.exclude = append(slices.Clone(c.exclude), choice.Endpoint)
		if outcome == once.NotSent && choice.Remote {
			c.unreachable++
		}
		c.opts.Stats.Inc(stats.RetriesDone)
		c.opts.Audit.Record(audit.Event{
			Reason:    retryReason(outcome),
			Request:   c.id,
			Workspace: c.workspaceName(),
			Model:     c.model,
			Endpoint:  choice.Endpoint,
		})
		return nil, c.waitBackoff(verdict.Wait)
	}
	if verdict.Action == once.OverBudget {
		c.opts.Stats.Inc(stats.RetriesOverBudget)
	}
	if outcome == once.Declined && !c.delivered {
		if _, err := c.opts.Picker.Pick(c.routeRequest()); err != nil {
			if p := c.closedProblem(err, verdict.NotRun); p != nil {
				return p, false
			}
		}
	}
	return c.failureProblem(err, verdict, choice), false
}

func retryReason(o once.Outcome) audit.Reason {
	switch o {
	case once.NotSent:
		return audit.RetryNotSent
	case once.Declined:
		return audit.RetryDeclined
	}
	return audit.RetryAfterLoss
}

// waitBackoff waits before a retry, at most until the request's context ends. It
// always returns true: after the context has ended, the next attempt fails with the
// problem for the cause.
func (c *completion) waitBackoff(d time.Duration) bool {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.ctx.Done():
		}
	}
	return true
}

func (c *completion) failureProblem(err error, v once.Verdict, choice route.Choice) *problem {
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status < http.StatusInternalServerError && !status.NotRun && !c.delivered {
		return &problem{
			Status:  status.Status,
			Reason:  audit.BadRequest,
			Message: status.Message,
		}
	}
	reason := audit.EndpointFailed
	if c.delivered {
		reason = audit.StreamBroken
	}
	message := "the answer of endpoint " + choice.Endpoint + " did not arrive whole"
	if v.NotRun {
		message = "endpoint " + choice.Endpoint + " could not be reached or did not take the request"
	}
	return &problem{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		Message:    message,
		NotRun:     v.NotRun,
		RetryAfter: time.Second,
	}
}

func (c *completion) workspaceName() string {
	if c.workspace == nil {
		return openWorkspace
	}
	return c.workspace.Name
}

// finish records the end of the request and sends the problem, if any, to the
// caller.
func (c *completion) finish(p *problem) {
	if p == nil {
		onTarget := c.timing.onTarget(c.class)
		c.opts.Stats.Inc(stats.RequestsServed)
		c.opts.Audit.Served(c.workspaceName(), !onTarget)
		c.opts.Demand.RecordEnd(RequestResult{
			Model:     c.spec.Name,
			Adapter:   c.adapter,
			Workspace: c.workspaceName(),
			OnTarget:  onTarget,
		})
		return
	}
	e := audit.Event{
		Wait: c.opts.Clock.Now().Sub(c.arrived),
	}
	if p.Reason.Cause() == audit.CauseSystem {
		c.opts.Demand.RecordEnd(RequestResult{
			Model:     c.spec.Name,
			Adapter:   c.adapter,
			Workspace: c.workspaceName(),
		})
	}
	if p.Reason == audit.CallerGone {
		c.opts.Stats.Inc(stats.RequestsCancelled)
	}
	if c.delivered {
		c.record(*p, e)
		p.writeEvent(c.w, c.id)
		return
	}
	c.refuse(*p, e)
}

// cancelTimeout limits the call that cancels a request at its endpoint.
const cancelTimeout = 3 * time.Second

func (c *completion) cancelAtEndpoint(address string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(c.ctx), cancelTimeout)
	defer stop()
	// An endpoint that cannot be reached drops the stream after its grace period.
	_ = c.opts.Engines.Cancel(ctx, address, c.id)
}
