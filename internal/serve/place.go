package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/triage"
)

// place is what a request has of places at endpoints that limit requests.
type place struct {
	// key and until are the endpoint and the end of the place that the request has taken;
	// until is zero if it has none.
	key   fleet.Key
	until time.Time
	// waitsFor is the endpoint for which the request waits, turn its position there. leave
	// ends the wait; it is nil if the request does not wait.
	waitsFor fleet.Key
	turn     Turn
	leave    func()
}

var errNoPlace = errors.New("serve: the request has no place at the endpoint, which limits requests")

// hasPlace reports whether the request may be sent to an endpoint that limits requests.
func (c *call) hasPlace(key fleet.Key) bool { return c.opts.Places.Has(key, c.turnAt(key)) }

func (c *call) turnAt(key fleet.Key) Turn {
	if c.place.leave == nil || c.place.waitsFor != key {
		return 0
	}
	return c.place.turn
}

// takePlace takes a place at a chosen endpoint that limits requests. It returns false if there
// is none any more.
func (c *call) takePlace(choice picker.Choice) bool {
	key := choice.Endpoint.Key()
	until, ok := c.opts.Places.Take(key, c.turnAt(key))
	if !ok {
		return false
	}
	c.place.key, c.place.until = key, until
	return true
}

// usePlace is called when a byte of the request may have been sent.
func (c *call) usePlace() { c.place.until = time.Time{} }

// returnPlace gives back a place with which nothing was sent.
func (c *call) returnPlace() {
	if !c.place.until.IsZero() {
		c.opts.Places.Return(c.place.key, c.place.until)
		c.place.until = time.Time{}
	}
}

// leavePlaces ends all that the request has of places.
func (c *call) leavePlaces() {
	c.returnPlace()
	c.leaveTurn()
}

func (c *call) leaveTurn() {
	if c.place.leave != nil {
		c.place.leave()
		c.place.leave = nil
	}
}

// mayUsePlace reports whether the first byte may be sent to an endpoint now.
func (c *call) mayUsePlace(now time.Time, key fleet.Key) bool {
	return c.place.key == key && now.Before(c.place.until)
}

// awaitPlace waits for a place at an endpoint, or for a change that makes another one usable.
// It returns the refusal of a request that gets no place in time.
func (c *call) awaitPlace(ctx context.Context, now, since time.Time, limited *picker.LimitedError) *Problem {
	key := limited.Endpoint.Key()
	waits := c.place.leave != nil && c.place.waitsFor == key
	placeAt, readyAt := c.opts.Places.QueuedUntil(key, c.urgency()), time.Time{}
	if waits {
		placeAt = c.opts.Places.ExpectedAt(key, c.place.turn)
	}
	if c.service.Engine != nil {
		readyAt = c.opts.Table.LoadEnd(c.service.Name, c.req.Model)
	}
	d := triage.Place(now, c.triageRequest(since), placeAt, readyAt)
	if d.Wait && !waits {
		c.leaveTurn()
		c.place.waitsFor = key
		c.place.turn, c.place.leave = c.opts.Places.Wait(key, c.urgency(), c.req.Arrived)
	}
	if d.Reason != c.lastReason {
		c.lastReason = d.Reason
		v := c.opts.Table.Health().Ask(now, key)
		c.opts.Log.Info("request waits for place", "request", c.req.ID, "endpoint", key.ID, "service", c.service.Name, "model", c.req.Model,
			"waits", d.Wait, "reason", string(d.Reason), "per-second", c.opts.Table.Health().Limits()[key],
			"limit-age-ms", now.Sub(v.LimitNamed).Milliseconds(), "place-known", !placeAt.IsZero(), "place-in-ms", untilMS(now, placeAt),
			"load-in-ms", untilMS(now, readyAt), "urgency", c.urgency(), "retry-after-ms", d.RetryAfter.Milliseconds())
	}
	if !d.Wait {
		c.lastError = limited.Error()
		p := c.unavailableProblem("the endpoints limit requests, and no place is expected in time")
		p.Code, p.RetryAfter = "endpoint-limit", d.RetryAfter
		if !p.NotRun {
			p.Code, p.RetryAfter = "no-further-endpoint", 0
		}
		return p
	}
	if p := c.checkStop(placeAt); p != nil {
		return p
	}
	t := time.NewTimer(max(min(recheckInterval, d.Until.Sub(now)), time.Millisecond))
	defer t.Stop()
	select {
	case <-c.opts.Places.Changed():
	case <-c.opts.Table.Changed():
	case <-t.C:
	case <-ctx.Done():
		return c.contextProblem(ctx)
	}
	return nil
}

// triageRequest returns what a decision about waiting needs to know of the request.
func (c *call) triageRequest(since time.Time) triage.Request {
	leavesAt := c.deadline
	if c.route.Patience > 0 && !c.responseStarted {
		leavesAt = earliest(leavesAt, c.req.Arrived.Add(c.route.Patience))
	}
	return triage.Request{
		Since:     since,
		LeavesAt:  leavesAt,
		FirstPart: firstPartTime,
		Random:    rand.Float64(),
	}
}

// untilMS returns the time until a point in milliseconds, 0 if the point is not known.
func untilMS(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(now).Milliseconds()
}

// unlimitedPlaces gives each request a place. It serves where no limits are obeyed.
type unlimitedPlaces struct{ now func() time.Time }

// Has implements Places.
func (unlimitedPlaces) Has(fleet.Key, Turn) bool { return true }

// Take implements Places.
func (p unlimitedPlaces) Take(fleet.Key, Turn) (time.Time, bool) {
	return p.now().Add(time.Hour), true
}

// Return implements Places.
func (unlimitedPlaces) Return(fleet.Key, time.Time) {}

// Prefetch implements Places.
func (unlimitedPlaces) Prefetch(fleet.Key) {}

// Wait implements Places.
func (unlimitedPlaces) Wait(fleet.Key, int, time.Time) (Turn, func()) { return 0, func() {} }

// QueuedUntil implements Places.
func (unlimitedPlaces) QueuedUntil(fleet.Key, int) time.Time { return time.Time{} }

// ExpectedAt implements Places.
func (unlimitedPlaces) ExpectedAt(fleet.Key, Turn) time.Time { return time.Time{} }

// Changed implements Places.
func (unlimitedPlaces) Changed() <-chan struct{} { return nil }
