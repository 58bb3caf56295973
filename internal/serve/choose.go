package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/picker"
)

// choose picks an endpoint. It waits up to maxModelWait for a model that no
// endpoint holds, and up to maxEndpointWait for an endpoint.
func (c *call) choose(ctx context.Context) (picker.Choice, *Problem) {
	q := picker.Query{
		Service: c.service.Name,
		Exclude: c.exclude,
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter, q.Session = c.req.Model, c.req.Adapter, c.req.Session
		if _, ok := c.service.Engine.Models[c.req.Model]; !ok {
			return picker.Choice{}, &Problem{
				Status:  http.StatusNotFound,
				Code:    "model-unknown",
				Message: "service " + c.service.Name + " has no such model",
				NotRun:  c.ranAttempts == 0,
			}
		}
	}
	var waitUntil time.Time
	stop := func() {}
	defer func() { stop() }()
	for {
		changed := c.opts.Table.Changed()
		now := c.opts.Clock.Now()
		choice, err := c.opts.Table.Pick(now, q)
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, picker.ErrNoEndpoint) && len(q.Exclude) > 0 && (c.unsentAttempts > 0 || c.adapterLoadTime > 0) && c.ranAttempts == 0 {
			// The excluded endpoints have not run the request and may take it now.
			q.Exclude = nil
		}
		if waitUntil.IsZero() {
			waitUntil = now.Add(maxEndpointWait)
			if errors.Is(err, picker.ErrNotResident) {
				part := time.Duration(float64(c.deadline.Sub(now)) * modelWaitShare)
				waitUntil = now.Add(min(maxModelWait, part))
				stop = c.opts.Demand.TrackWaiting(c.service.Name, c.req.Model)
				c.opts.Log.Info("request waits for model", "request", c.req.ID, "model", c.req.Model, "service", c.service.Name)
			}
		}
		if !now.Before(waitUntil) {
			if errors.Is(err, picker.ErrNotResident) {
				return picker.Choice{}, c.unavailableProblem("the model could not be loaded in time")
			}
			return picker.Choice{}, c.unavailableProblem("no endpoint of the service takes requests")
		}
		if !c.waitForChange(ctx, changed, waitUntil.Sub(now)) {
			return picker.Choice{}, c.contextProblem(ctx)
		}
	}
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
	startedAt := c.opts.Clock.Now()
	err := c.opts.Demand.LoadAdapter(loadCtx, choice.Endpoint, c.req.Model, c.req.Adapter)
	elapsed := c.opts.Clock.Now().Sub(startedAt)
	c.adapterLoadTime += elapsed
	if err == nil {
		return false, nil
	}
	key := choice.Endpoint.Key()
	c.opts.Table.EndAttempt(c.opts.Clock.Now(), key, picker.Ended)
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
