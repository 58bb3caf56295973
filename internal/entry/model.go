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
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// completionDeadline is when a completion is no longer tried again. At 48 ms
	// a token an answer of 12,000 tokens has come by then.
	completionDeadline = 10 * time.Minute
	// defaultOnDemand bounds the wait for a model whose configuration names none.
	defaultOnDemand = 30 * time.Second
	// openWorkspace is the name under which requests of open services are counted.
	openWorkspace = "open"
)

// completion is a request for a completion.
type completion struct {
	*request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	in      engine.Request
	body    []byte
	spec    *spec.Model
	adapter string
	class   spec.Class
	charge  *limit.Charge
	tokens  int64
	// onDemandBy is when the wait for a model that is not resident ends.
	onDemandBy time.Time
	prefixes   []string

	attempts  int
	provedAll bool
	exclude   []string

	delivered bool
	used      int64
	timing    timing
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
	in, err := engine.DecodeRequest(body)
	if err != nil {
		q.badRequest(err.Error())
		return
	}
	q.model = in.Model
	c := &completion{
		request:   q,
		in:        in,
		body:      body,
		adapter:   q.r.Header.Get("X-Adapter"),
		provedAll: true,
	}
	if !c.resolve() {
		return
	}
	if svc := q.view.index.Services[c.spec.Service]; !hasKey && (svc == nil || !svc.Open) {
		q.authenticate()
		return
	}
	if !c.classify() || !c.checkSize() || !c.admit() {
		return
	}
	c.serve()
}

// resolve finds the model, and the adapter where one is named as the model.
func (c *completion) resolve() bool {
	index := c.view.index
	c.spec = index.Models[c.in.Model]
	if a := index.Adapters[c.in.Model]; c.spec == nil && a != nil {
		c.spec = index.Models[a.Model]
		c.adapter = a.Name
		body, err := withModel(c.body, a.Model)
		if err != nil {
			c.badRequest(err.Error())
			return false
		}
		c.body = body
	}
	if c.spec == nil {
		c.refuse(problem{
			Status:  http.StatusNotFound,
			Reason:  audit.ModelUnknown,
			Message: "there is no model " + strconv.Quote(c.in.Model),
			NotRun:  true,
		}, audit.Event{})
		return false
	}
	c.model = c.spec.Name
	if a := index.Adapters[c.adapter]; c.adapter != "" && (a == nil || a.Model != c.spec.Name) {
		c.refuse(problem{
			Status:  http.StatusNotFound,
			Reason:  audit.ModelUnknown,
			Message: "there is no adapter " + strconv.Quote(c.adapter) + " of model " + c.spec.Name,
			NotRun:  true,
		}, audit.Event{
			Other: c.adapter,
		})
		return false
	}
	return true
}

// withModel returns the body with another model.
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

func (c *completion) classify() bool {
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
	if most := c.spec.MaxContextTokens; most > 0 && c.tokens > most {
		c.refuse(problem{
			Status: http.StatusBadRequest,
			Reason: audit.ContextTooLong,
			Message: "prompt and max_tokens take " + strconv.FormatInt(c.tokens, 10) +
				" tokens, the model's context has " + strconv.FormatInt(most, 10),
			NotRun: true,
		}, audit.Event{
			Wanted: c.tokens,
			Limit:  most,
		})
		return false
	}
	return true
}

// admit charges the request to its workspace.
func (c *completion) admit() bool {
	if c.workspace == nil {
		return true
	}
	charge, err := c.opts.Admitter.Admit(c.r.Context(), c.workspace.Name, c.tokens)
	if err != nil {
		p, e := c.admitProblem(err)
		c.refuse(p, e)
		return false
	}
	c.charge = &charge
	return true
}

func (c *completion) admitProblem(err error) (problem, audit.Event) {
	var refused *limit.RefusedError
	if !errors.As(err, &refused) {
		return problem{
			Status:  http.StatusServiceUnavailable,
			Reason:  audit.CallerGone,
			Message: err.Error(),
			NotRun:  c.provedAll,
		}, audit.Event{}
	}
	p := problem{
		Status:     http.StatusTooManyRequests,
		Reason:     audit.OverRate,
		Message:    refused.Error(),
		NotRun:     c.provedAll,
		RetryAfter: max(refused.After, time.Second),
	}
	switch refused.Reason {
	case quota.ReasonBurst:
		p.Reason = audit.OverBurst
		p.RetryAfter = 0
	case quota.ReasonDomains, quota.ReasonSlots, quota.ReasonTimeout, quota.ReasonUnknown:
		p.Reason = audit.RateUnreachable
		p.Status = http.StatusServiceUnavailable
	}
	return p, audit.Event{
		Wanted:    refused.Wanted,
		Available: refused.Available,
		Limit:     int64(c.workspace.RateTokensPerSecond),
	}
}

// serve tries endpoints until one has answered or the retry policy ends it.
func (c *completion) serve() {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	c.ctx, c.cancel = ctx, cancel
	stop := c.watchKey()
	defer stop()
	onDemand := time.Duration(c.spec.OnDemand)
	if onDemand <= 0 {
		onDemand = defaultOnDemand
	}
	c.onDemandBy = c.arrived.Add(onDemand)
	c.prefixes = engine.Prefixes(c.spec.Name, c.in.Prompt)
	c.retries.Budget.Request()
	c.opts.Demand.Arrived(c.spec.Name, c.workspaceName(), c.adapter, c.tokens)
	defer func() {
		c.settle(c.used)
		c.opts.Stats.Add(stats.TokensCharged, c.used)
	}()
	for {
		p, again := c.attempt()
		if again {
			continue
		}
		c.end(p)
		return
	}
}

// watchKey ends the request when its key is withdrawn or can no longer be checked.
func (c *completion) watchKey() (stop func()) {
	if c.workspace == nil {
		return func() {}
	}
	lapsed := c.opts.Gate.Lapsed()
	done := make(chan struct{})
	go func() {
		select {
		case <-c.verdict.Withdrawn():
			c.cancel(errWithdrawn)
		case <-lapsed:
			c.cancel(errLapsed)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// attempt sends the request to one endpoint. It returns again when another
// endpoint should be tried, otherwise the problem, nil after a success.
func (c *completion) attempt() (p *problem, again bool) {
	choice, p := c.pick()
	if p != nil {
		return p, false
	}
	workspace, weight := openWorkspace, 1.0
	if c.workspace != nil {
		workspace = c.workspace.Name
		weight = max(c.workspace.Weight, 0.001)
	}
	queue := c.queue(choice.Endpoint)
	if _, waiting := queue.Load(); waiting > 0 {
		c.settle(0)
	}
	release, err := queue.Acquire(c.ctx, workspace, weight, c.class, c.tokens)
	if err != nil {
		return c.queueProblem(err), false
	}
	defer release()
	if p := c.readmit(); p != nil {
		return p, false
	}
	req := c.routeRequest()
	if c.attempts == 0 {
		c.opts.Routes.Start(choice, req)
	} else {
		c.opts.Routes.StartRetry(choice, req)
	}
	c.attempts++
	if c.adapter != "" {
		defer c.opts.Demand.Use(choice.Endpoint, c.spec.Name, c.adapter)()
	}
	err = c.send(choice)
	outcome := outcomeOf(err)
	ejected := c.opts.Routes.Finish(choice, route.Outcome{
		Now:        c.opts.Clock.Now(),
		Failed:     c.blames(err, outcome),
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
	var refused *refusal
	if errors.As(err, &refused) {
		return refused.problem, false
	}
	if c.ctx.Err() != nil {
		go c.cancelAt(choice.Address)
	}
	return c.judge(err, outcome, choice)
}

// settle ends the charge. Tokens that were not spent go back. A request that has
// to wait gives its charge back first: the tokens of a charge expire within 3 s,
// and charging twice refuses workspaces that are inside their rate.
func (c *completion) settle(used int64) {
	if c.charge != nil {
		c.charge.Settle(used)
		c.charge = nil
	}
}

// readmitTries bounds the waits for tokens of a request that was admitted
// before and has waited since.
const readmitTries = 3

// readmit charges a request whose charge was given back while it waited.
func (c *completion) readmit() *problem {
	if c.workspace == nil || c.charge != nil {
		return nil
	}
	var err error
	for range readmitTries {
		var charge limit.Charge
		if charge, err = c.opts.Admitter.Admit(c.ctx, c.workspace.Name, c.tokens); err == nil {
			c.charge = &charge
			return nil
		}
		if c.ctx.Err() != nil {
			return c.endProblem()
		}
	}
	p, _ := c.admitProblem(err)
	return &p
}

// blames reports whether the endpoint is to blame for the error of an attempt.
func (c *completion) blames(err error, outcome once.Outcome) bool {
	var refused *refusal
	return outcome != once.Answered && outcome != once.Declined && c.ctx.Err() == nil && !errors.As(err, &refused)
}

// begin checks directly before the first byte whether the key and the charge
// still count; the process may have been paused since they were checked.
func (c *completion) begin() *problem {
	if c.workspace == nil {
		return nil
	}
	if p, bad := keyProblem(c.opts.Gate.Begins(c.verdict)); bad {
		p.NotRun = c.provedAll
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

// pick chooses an endpoint. A model or adapter that is not resident is reported
// to the planner and waited for.
func (c *completion) pick() (route.Choice, *problem) {
	for {
		choice, err := c.opts.Picker.Pick(c.routeRequest())
		switch {
		case err == nil && (c.adapter == "" || choice.AdapterReady):
			return choice, nil
		case errors.Is(err, route.ErrNoEndpoint) && len(c.exclude) > 0:
			// Every endpoint failed once; the retry budget bounds the second round.
			c.exclude = nil
		case err == nil, errors.Is(err, route.ErrNotResident), errors.Is(err, route.ErrNoEndpoint):
			// Endpoints that leave or are ejected hold the model in vain.
			if p := c.awaitResident(); p != nil {
				return route.Choice{}, p
			}
		default:
			return route.Choice{}, &problem{
				Status:     http.StatusServiceUnavailable,
				Reason:     audit.NoEndpoint,
				Message:    "no endpoint can serve model " + c.spec.Name + " at present",
				NotRun:     c.provedAll,
				RetryAfter: 2 * time.Second,
			}
		}
	}
}

// awaitResident waits until an endpoint has what the request needs.
func (c *completion) awaitResident() *problem {
	c.settle(0)
	defer c.opts.Demand.Wait(c.spec.Name, c.adapter)()
	for {
		// The channel is fetched before the layout is looked at, so that no
		// change is missed.
		changed := c.opts.Demand.Changed()
		choice, err := c.opts.Picker.Pick(c.routeRequest())
		if err == nil && (c.adapter == "" || choice.AdapterReady) {
			return nil
		}
		if errors.Is(err, route.ErrUnknown) {
			return nil
		}
		left := c.onDemandBy.Sub(c.opts.Clock.Now())
		if left <= 0 {
			return &problem{
				Status:     http.StatusServiceUnavailable,
				Reason:     audit.ModelLoading,
				Message:    "model " + c.spec.Name + " could not be made ready in time",
				NotRun:     c.provedAll,
				RetryAfter: 5 * time.Second,
			}
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-c.ctx.Done():
			t.Stop()
			return c.endProblem()
		}
		t.Stop()
	}
}

func (c *completion) queueProblem(err error) *problem {
	if c.ctx.Err() != nil {
		return c.endProblem()
	}
	return &problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     audit.QueueFull,
		Message:    err.Error(),
		NotRun:     c.provedAll,
		RetryAfter: 2 * time.Second,
	}
}

// endProblem tells why the request's context ended.
func (c *completion) endProblem() *problem {
	p := problem{
		Status:  499,
		Reason:  audit.CallerGone,
		Message: "the caller went away",
		NotRun:  c.provedAll && !c.delivered,
	}
	switch cause := context.Cause(c.ctx); {
	case errors.Is(cause, errWithdrawn):
		p.Status = http.StatusUnauthorized
		p.Reason = audit.StreamKeyWithdrawn
		p.Message = "the key was withdrawn while the request was running"
	case errors.Is(cause, errLapsed):
		k, _ := keyProblem(keys.NotFresh)
		k.NotRun = p.NotRun
		return &k
	case errors.Is(cause, errCancelled):
		p.Message = "the request was cancelled"
	case errors.Is(cause, errSlowClient):
		p.Reason = audit.SlowClient
		p.Message = "the caller took the answer too slowly"
	}
	return &p
}

// outcomeOf classifies the error of one attempt.
func outcomeOf(err error) once.Outcome {
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

// judge decides after a failed attempt. Completions are repeatable until a part
// of the answer was delivered.
func (c *completion) judge(err error, outcome once.Outcome, choice route.Choice) (*problem, bool) {
	if c.ctx.Err() != nil {
		c.provedAll = c.provedAll && outcome.ProvedNotRun()
		return c.endProblem(), false
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
		c.opts.Demand.Suspect(choice.Endpoint)
	}
	verdict := c.retries.Next(once.Call{
		Repeatable: true,
		Delivered:  c.delivered,
		Deadline:   c.arrived.Add(completionDeadline),
	}, outcome, c.attempts, c.provedAll, c.opts.Clock.Now())
	c.provedAll = c.provedAll && outcome.ProvedNotRun()
	if verdict.Action == once.Retry {
		c.exclude = append(slices.Clone(c.exclude), choice.Endpoint)
		c.opts.Stats.Inc(stats.RetriesDone)
		c.opts.Audit.Record(audit.Event{
			Reason:    retryReason(outcome),
			Request:   c.id,
			Workspace: c.workspaceName(),
			Model:     c.model,
			Endpoint:  choice.Endpoint,
		})
		return nil, c.pause(verdict.Wait)
	}
	if verdict.Action == once.OverBudget {
		c.opts.Stats.Inc(stats.RetriesOverBudget)
	}
	return c.failure(err, verdict, choice), false
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

// pause waits before a retry. An ended request goes on to be told apart.
func (c *completion) pause(d time.Duration) bool {
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

func (c *completion) failure(err error, v once.Verdict, choice route.Choice) *problem {
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status < http.StatusInternalServerError && !status.NotRun {
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
	return &problem{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		Message:    "the answer of endpoint " + choice.Endpoint + " did not arrive whole",
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

// end tells the caller of a problem and counts the request.
func (c *completion) end(p *problem) {
	if p == nil {
		onTarget := c.timing.onTarget(c.class)
		c.opts.Stats.Inc(stats.RequestsServed)
		c.opts.Audit.Served(c.workspaceName(), !onTarget)
		c.opts.Demand.Served(Usage{
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
		c.opts.Demand.Served(Usage{
			Model:     c.spec.Name,
			Adapter:   c.adapter,
			Workspace: c.workspaceName(),
		})
	}
	if p.Reason == audit.CallerGone {
		c.opts.Stats.Inc(stats.RequestsCancelled)
	}
	if c.delivered {
		c.note(*p, e)
		p.event(c.w, c.id)
		return
	}
	c.refuse(*p, e)
}

// cancelTimeout bounds the message that frees an endpoint of an ended request.
const cancelTimeout = 3 * time.Second

func (c *completion) cancelAt(address string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(c.ctx), cancelTimeout)
	defer stop()
	// An endpoint that cannot be told drops the stream after its own grace time.
	_ = c.opts.Engines.Cancel(ctx, address, c.id)
}
