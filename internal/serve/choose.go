package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/steer"
)

// choose picks an endpoint, waiting for a model that is not resident.
func (c *call) choose(ctx context.Context) (steer.Choice, *Problem) {
	q := steer.Query{
		Service: c.service.Name,
		Exclude: c.exclude,
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter, q.Session = c.q.Model, c.q.Adapter, c.q.Session
		if _, ok := c.service.Engine.Models[c.q.Model]; !ok {
			return steer.Choice{}, &Problem{
				Status:  http.StatusNotFound,
				Code:    "model-unknown",
				Message: "service " + c.service.Name + " has no such model",
				NotRun:  c.ran == 0,
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
		if errors.Is(err, steer.ErrNoEndpoint) && len(q.Exclude) > 0 && (c.unsent > 0 || c.fetching > 0) && c.ran == 0 {
			// Those that took no connection may take one now.
			q.Exclude = nil
		}
		if waitUntil.IsZero() {
			waitUntil = now.Add(endpointWait)
			if errors.Is(err, steer.ErrNotResident) {
				part := time.Duration(float64(c.final.Sub(now)) * modelWaitPart)
				waitUntil = now.Add(min(modelWait, part))
				stop = c.opts.Demand.Wait(c.service.Name, c.q.Model)
				c.opts.Log.Info("request waits for model", "request", c.q.ID, "model", c.q.Model, "service", c.service.Name)
			}
		}
		if !now.Before(waitUntil) {
			if errors.Is(err, steer.ErrNotResident) {
				return steer.Choice{}, c.unavailable("the model could not be loaded in time")
			}
			return steer.Choice{}, c.unavailable("no endpoint of the service takes requests")
		}
		if !c.pause(ctx, changed, waitUntil.Sub(now)) {
			return steer.Choice{}, c.ended(ctx)
		}
	}
}

// recheck is how often a waiting request looks again without a change.
const recheck = 50 * time.Millisecond

func (c *call) pause(ctx context.Context, changed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(min(recheck, most))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// fetchAdapter has the adapter loaded at the chosen endpoint.
func (c *call) fetchAdapter(ctx context.Context, choice steer.Choice) (again bool, p *Problem) {
	left := adapterWait - c.fetching
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	began := c.opts.Clock.Now()
	err := c.opts.Demand.FetchAdapter(bounded, choice.Endpoint, c.q.Model, c.q.Adapter)
	took := c.opts.Clock.Now().Sub(began)
	c.fetching += took
	if err == nil {
		return false, nil
	}
	key := choice.Endpoint.Key()
	c.opts.Table.Done(c.opts.Clock.Now(), key, steer.Ended)
	c.lastError = err.Error()
	c.opts.Log.Warn("adapter not loaded", "request", c.q.ID, "endpoint", key.ID, "model", c.q.Model,
		"adapter", c.q.Adapter, "error", err.Error())
	if ctx.Err() != nil {
		return false, c.ended(ctx)
	}
	c.excludeEndpoint(key)
	if took < recheck {
		// Without a coordinator every endpoint fails at once, and little is gained
		// by waiting for one.
		c.pause(ctx, nil, recheck)
		c.fetching += 3 * recheck
	}
	if c.fetching >= adapterWait-recheck {
		return false, c.unavailable("the adapter could not be loaded in time")
	}
	return true, nil
}
