package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/triage"
)

// choose picks an endpoint. It waits for a model that no endpoint holds as long as
// package triage decides, and up to maxEndpointWait for an endpoint.
func (c *call) choose(ctx context.Context) (picker.Choice, *Problem) {
	var q picker.Query
	var since time.Time
	var service *fleet.Service
	stop := func() {}
	defer func() { stop() }()
	c.returnPlace()
	defer c.leaveTurn()
	for {
		if p := c.recheckChoice(ctx); p != nil {
			return picker.Choice{}, p
		}
		if c.service != service {
			// The wait begins anew if the route leads elsewhere now.
			if service == nil || c.service.Name != service.Name || (c.service.Engine == nil) != (service.Engine == nil) {
				stop()
				since, stop = time.Time{}, func() {}
			}
			q, service = c.query(), c.service
		}
		changed := c.opts.Table.Changed()
		now := c.opts.Clock.Now()
		if p := c.checkStop(now); p != nil {
			return picker.Choice{}, p
		}
		choice, err := c.opts.Table.Pick(now, q)
		if err == nil && (!choice.IsLimited || c.takePlace(choice)) {
			if choice.Preferred.ID != "" {
				c.opts.Places.Prefetch(choice.Preferred)
			}
			return choice, nil
		}
		if err == nil {
			c.opts.Table.EndAttempt(now, choice.Endpoint.Key(), picker.Ended)
			continue
		}
		var limited *picker.LimitedError
		if errors.As(err, &limited) {
			if since.IsZero() {
				since = now
				if c.service.Engine != nil {
					stop = c.opts.Demand.TrackWaiting(c.service.Name, c.req.Model)
				}
			}
			if p := c.awaitPlace(ctx, now, since, limited); p != nil {
				return picker.Choice{}, p
			}
			continue
		}
		var closed *health.ClosedError
		isClosed := errors.As(err, &closed)
		if isClosed && !c.isLoadedBefore(closed.Until) {
			return picker.Choice{}, c.closedProblem(now, closed)
		}
		if errors.Is(err, picker.ErrNoEndpoint) && len(q.Exclude) > 0 && (c.unsentAttempts > 0 || c.adapterLoadTime > 0) && c.ranAttempts == 0 {
			// The excluded endpoints have not run the request and may take it now.
			q.Exclude = nil
		}
		notResident := isClosed || errors.Is(err, picker.ErrNotResident)
		if since.IsZero() {
			since = now
			if notResident {
				stop = c.opts.Demand.TrackWaiting(c.service.Name, c.req.Model)
			}
		}
		waitUntil := since.Add(maxEndpointWait)
		if notResident {
			d := c.decideAboutModel(now, since)
			if !d.Wait {
				p := c.unavailableProblem("the model is not expected to be loaded in time")
				p.RetryAfter = d.RetryAfter
				c.explainUnusable(now, q)
				return picker.Choice{}, p
			}
			if p := c.checkStop(c.opts.Table.LoadEnd(c.service.Name, c.req.Model)); p != nil {
				return picker.Choice{}, p
			}
			waitUntil = d.Until
		} else if c.rejections > 0 && c.ranAttempts == 0 && c.service.Engine != nil {
			return picker.Choice{}, c.fullProblem(now)
		} else if !now.Before(waitUntil) {
			c.explainUnusable(now, q)
			return picker.Choice{}, c.unavailableProblem("no endpoint of the service takes requests")
		}
		if !c.waitForChange(ctx, changed, max(waitUntil.Sub(now), time.Millisecond)) {
			return picker.Choice{}, c.contextProblem(ctx)
		}
	}
}

// recheckChoice is recheck before a choice. The request has to be within the rate of the
// workspace to which its key belongs now, and a repeat that was allowed at the former
// service has to be allowed where the route leads now.
func (c *call) recheckChoice(ctx context.Context) *Problem {
	former, workspace := c.service.Name, c.workspace
	if p := c.recheck(); p != nil {
		return p
	}
	if !isSameWorkspace(workspace, c.workspace) {
		if p := c.admit(ctx); p != nil {
			return p
		}
	}
	if c.service.Name != former && c.sentAttempts > 0 && !c.allowRepeat(c.service.Name) {
		return c.unavailableProblem("the service to which the route leads now has no retries left")
	}
	return nil
}

// isLoadedBefore reports whether a further copy of the request's model is expected before
// the given time.
func (c *call) isLoadedBefore(t time.Time) bool {
	if c.service.Engine == nil {
		return false
	}
	end := c.opts.Table.LoadEnd(c.service.Name, c.req.Model)
	return !end.IsZero() && end.Before(t)
}

// explainUnusable makes the log of the refusal name the endpoints that leave or want no
// requests, if there are any.
func (c *call) explainUnusable(now time.Time, q picker.Query) {
	if list := c.opts.Table.Unusable(now, q); len(list) > 0 {
		c.lastError = strings.Join(list, "; ")
	}
}

// closedProblem returns the refusal of a request that no endpoint wants before a
// deadline.
func (c *call) closedProblem(now time.Time, closed *health.ClosedError) *Problem {
	c.lastError = closed.Engine.ID + " " + c.opts.Table.Health().Ask(now, closed.Engine).String()
	p := c.unavailableProblem("all endpoints want no requests for a time")
	p.RetryAfter = triage.Closed(now, closed.Until, time.Millisecond, rand.Float64()).RetryAfter
	return p
}

// query returns what an endpoint is chosen for.
func (c *call) query() picker.Query {
	q := picker.Query{
		Service:  c.service.Name,
		Exclude:  c.exclude,
		HasPlace: c.hasPlace,
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter, q.Session = c.req.Model, c.req.Adapter, c.req.Session
	}
	return q
}

// fullProblem returns the refusal of a request that the engines which hold its model
// have rejected.
func (c *call) fullProblem(now time.Time) *Problem {
	if closed := c.opts.Table.Reopening(now, c.query()); closed != nil && !c.isLoadedBefore(closed.Until) {
		return c.closedProblem(now, closed)
	}
	p := c.unavailableProblem("the endpoints turned the request away")
	p.RetryAfter = triage.Full(now, c.opts.Table.LoadEnd(c.service.Name, c.req.Model), rand.Float64()).RetryAfter
	return p
}

// firstPartTime is how long an engine usually takes from the arrival of a request to
// the first event.
const firstPartTime = 150 * time.Millisecond

// decideAboutModel decides whether the request waits for a model that no endpoint
// holds, and logs each new decision.
func (c *call) decideAboutModel(now, since time.Time) triage.Decision {
	request := c.triageRequest(since)
	readyAt := c.opts.Table.LoadEnd(c.service.Name, c.req.Model)
	d := triage.Decide(now, request, triage.Model{
		ReadyAt:  readyAt,
		LoadTime: c.service.Engine.Models[c.req.Model].StoreLoad,
	})
	if d.Reason != c.lastReason {
		c.lastReason = d.Reason
		c.opts.Log.Info("request waits for model", "request", c.req.ID, "model", c.req.Model, "service", c.service.Name,
			"waits", d.Wait, "reason", string(d.Reason), "load-known", !readyAt.IsZero(), "ready-in-ms", untilMS(now, readyAt),
			"caller-leaves-in-ms", request.LeavesAt.Sub(now).Milliseconds(), "retry-after-ms", d.RetryAfter.Milliseconds())
	}
	return d
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recheckInterval is how often a waiting request checks the endpoints again when
// no change is signalled.
const recheckInterval = 50 * time.Millisecond

// waitForChange waits for a change, for recheckInterval or for limit, whichever is
// shortest. It returns false when the context has ended.
func (c *call) waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(min(recheckInterval, limit))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// loadAdapter waits until the adapter is loaded at the chosen endpoint. It returns
// again if another endpoint should be tried.
func (c *call) loadAdapter(ctx context.Context, choice picker.Choice) (again bool, p *Problem) {
	remaining := maxAdapterWait - c.adapterLoadTime
	loadCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	loadCtx, stop := c.untilAffected(loadCtx)
	startedAt := c.opts.Clock.Now()
	err := c.opts.Demand.LoadAdapter(loadCtx, choice.Endpoint, c.req.Model, c.req.Adapter)
	cause := context.Cause(loadCtx)
	stop()
	elapsed := c.opts.Clock.Now().Sub(startedAt)
	c.adapterLoadTime += elapsed
	if err == nil {
		return false, nil
	}
	key := choice.Endpoint.Key()
	c.opts.Table.EndAttempt(c.opts.Clock.Now(), key, picker.Ended)
	if errors.Is(cause, errConfigChanged) {
		// The next choice obeys the configuration.
		return true, nil
	}
	c.lastError = err.Error()
	c.opts.Log.Warn("adapter not loaded", "request", c.req.ID, "endpoint", key.ID, "model", c.req.Model,
		"adapter", c.req.Adapter, "error", err.Error())
	if ctx.Err() != nil {
		return false, c.contextProblem(ctx)
	}
	c.excludeEndpoint(key)
	if elapsed < recheckInterval {
		// Without a coordinator the load fails at once at every endpoint. Waiting for
		// a coordinator gains little, so each such failure is charged as a longer wait
		// and the request is refused sooner.
		c.waitForChange(ctx, nil, recheckInterval)
		c.adapterLoadTime += 3 * recheckInterval
	}
	if c.adapterLoadTime >= maxAdapterWait-recheckInterval {
		return false, c.unavailableProblem("the adapter could not be loaded in time")
	}
	return true, nil
}
