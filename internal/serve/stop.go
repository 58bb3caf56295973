package serve

import (
	"time"

	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
)

// maxInterruptedLogged is how many requests that the end of the process interrupts are
// logged one by one.
const maxInterruptedLogged = 100

// notChosen stands for the endpoint of a request for which none is chosen yet.
var notChosen = picker.Choice{
	Pace: 1,
}

// checkStop returns the refusal of a request that would be sent at the given time, if it has
// not run and the process is not expected to finish it.
func (c *call) checkStop(at time.Time) *Problem {
	if why := c.whyRefused(at, notChosen); why != drain.Accepted {
		return c.stoppingProblem(why)
	}
	return nil
}

// whyRefused returns why a stopping process refuses a request that would be sent at the given
// time to the chosen endpoint. One that may have run is not refused, since another node would
// run it again.
func (c *call) whyRefused(at time.Time, choice picker.Choice) drain.Reason {
	stop := c.stop.Load()
	if stop == nil || c.ranAttempts > 0 {
		return drain.Accepted
	}
	return stop.Start(at, c.need(at, choice))
}

// whyUnsent returns why a stopping process does not send the request to the chosen endpoint,
// by what is known by now of how busy that is.
func (c *call) whyUnsent(now time.Time) drain.Reason {
	if c.stop.Load() == nil {
		return drain.Accepted
	}
	return c.whyRefused(now, c.opts.Table.Look(now, c.lastChoice))
}

// unknownPartTokens is how many tokens each part of a stream is taken to have while no answer
// has shown it.
const unknownPartTokens = 4

// need returns how long the request is likely to need at most if it is sent at the given time
// to the chosen endpoint. While nothing is known of such requests, each part may take the
// longest pause that the route allows, and at least that where it is not known how busy the
// engine is.
func (c *call) need(at time.Time, choice picker.Choice) time.Duration {
	if c.service == nil {
		return 0
	}
	tokens := c.neededTokens()
	unknown := c.route.Objective + time.Duration(tokens/unknownPartTokens*float64(c.route.MaxPause))
	need, isEngine := unknown, c.service.Engine != nil
	if c.times.Knows(c.comparedKind(), tokens) {
		need = c.expected(choice.Pace)
		switch {
		case isEngine && choice.IsStale:
			need = max(need, unknown)
		case isEngine && choice.Fill >= picker.NearFullShare:
			// It may wait in the engine's queue until as many others have ended.
			need += time.Duration(max(1, choice.Fill) * float64(need))
		}
	}
	// The request ends at its deadline in any case.
	return min(need, c.deadline.Sub(at))
}

// expected returns how long the request is likely to take at most from its sending on, to an
// endpoint with the given pace.
func (c *call) expected(pace float64) time.Duration {
	if c.service == nil {
		return 0
	}
	return c.times.ExpectAt(c.comparedKind(), c.neededTokens(), pace)
}

// neededTokens returns the number of tokens on which the time of the request depends. A whole
// answer of a plain service does not depend on them.
func (c *call) neededTokens() float64 {
	if c.service.Engine == nil && c.route.Kind != fleet.Stream {
		return 0
	}
	return c.req.OutputTokens
}

// kind returns of which kind the request is.
func (c *call) kind() drain.Kind {
	k := drain.Kind{
		Service: c.service.Name,
	}
	if c.service.Engine != nil {
		k.Model, k.IsWhole = c.req.Model, c.route.Kind != fleet.Stream
	}
	return k
}

// comparedKind returns with which requests the time of this one is compared. While no whole
// answer of an engine has shown how long they take, its streams do.
func (c *call) comparedKind() drain.Kind {
	k := c.kind()
	if k.IsWhole && !c.times.Knows(k, c.neededTokens()) {
		k.IsWhole = false
	}
	return k
}

// recordAnswerTime records the time of a whole answer. An engine's depends on the number of
// tokens, if that is known. An answer in place of a stream shows nothing.
func (c *call) recordAnswerTime(reply *Reply, now time.Time) {
	if c.route.Kind == fleet.Stream {
		return
	}
	took, tokens := now.Sub(reply.sentAt), c.neededTokens()
	if tokens > 0 {
		c.times.Record(c.kind(), drain.Sample{
			Rest:   took,
			Tokens: tokens,
		})
		return
	}
	c.times.Record(c.kind(), drain.Sample{
		First: took,
	})
}

// recordStreamTime records the time of a stream that one endpoint sent from its first event
// to its last one.
func (c *call) recordStreamTime(reply *Reply, first, last time.Time, events int) {
	if c.req.LastEvent != "" {
		return
	}
	c.times.Record(c.kind(), drain.Sample{
		First:  first.Sub(reply.sentAt),
		Rest:   last.Sub(first),
		Tokens: c.req.OutputTokens,
		Parts:  events,
	})
}

// logStop logs what the stop of the process does to the request.
func (c *call) logStop(message string, why drain.Reason) {
	var plan drain.Stop
	if p := c.stop.Load(); p != nil {
		plan = *p
	}
	now, choice := c.opts.Clock.Now(), notChosen
	if c.lastChoice.Pace > 0 {
		choice = c.opts.Table.Look(now, c.lastChoice)
	}
	c.opts.Log.Warn(message, "request", c.req.ID, "route", c.routeName(), "why", string(why),
		"expected-ms", c.need(now, choice).Milliseconds(), "left-ms", plan.EndsAt.Sub(now).Milliseconds(),
		"arrived-after-stop-ms", c.req.Arrived.Sub(plan.Since).Milliseconds(), "waited-ms", now.Sub(c.req.Arrived).Milliseconds(),
		"tokens", c.req.OutputTokens, "sent", c.sentAttempts, "ran", c.ranAttempts, "events", c.eventCount)
}
