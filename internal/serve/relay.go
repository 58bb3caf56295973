package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/steer"
)

// whole passes on an answer that is not a stream. It is collected first, so
// that one that breaks off is never taken for complete.
func (c *call) whole(ctx context.Context, key fleet.Key, reply *Reply) (again bool, p *Problem) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole+1))
	now := c.opts.Clock.Now()
	if err == nil && len(body) > maxWhole {
		return c.large(ctx, key, reply, body)
	}
	if err != nil {
		c.lastError = err.Error()
		if ctx.Err() != nil {
			c.opts.Table.Done(now, key, steer.Ended)
			return false, c.ended(ctx)
		}
		c.opts.Table.Done(now, key, steer.Faulted)
		return c.afterLoss(ctx, "the endpoint's answer broke off")
	}
	if reply.Status >= http.StatusInternalServerError {
		c.opts.Table.Done(now, key, steer.Faulted)
		if again, _ := c.afterLoss(ctx, "the endpoint answered with an error"); again {
			return true, nil
		}
	} else {
		c.opts.Table.Done(now, key, steer.Served)
	}
	if c.begun {
		return c.afterLoss(ctx, "the endpoint refused to resume the stream")
	}
	c.firstByte = now.Sub(c.q.Arrived)
	c.opts.Observe.FirstByte(c.service.Name, c.firstByte)
	c.caller.Respond(reply.Status, reply.Header, body)
	c.served(reply.Status)
	return false, nil
}

// large passes on an answer that is too large to be collected.
func (c *call) large(ctx context.Context, key fleet.Key, reply *Reply, head []byte) (again bool, p *Problem) {
	c.begun = true
	err := c.caller.Begin(reply.Status, reply.Header)
	if err == nil {
		err = c.caller.Event(head)
	}
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = reply.Body.Read(buf)
		if n > 0 {
			c.opts.Table.Byte(c.opts.Clock.Now(), key)
			if werr := c.caller.Event(buf[:n]); werr != nil {
				err = werr
			}
		}
	}
	now := c.opts.Clock.Now()
	if errors.Is(err, io.EOF) {
		c.opts.Table.Done(now, key, steer.Served)
		c.caller.End()
		c.served(reply.Status)
		return false, nil
	}
	c.lastError = err.Error()
	c.opts.Table.Done(now, key, steer.Ended)
	if ctx.Err() != nil {
		return false, c.ended(ctx)
	}
	return false, &Problem{
		Status:  http.StatusBadGateway,
		Code:    "answer-broken",
		Message: "the endpoint's answer broke off",
	}
}

// relay passes on the events of a stream as they arrive.
func (c *call) relay(ctx context.Context, cancel context.CancelCauseFunc, key fleet.Key, reply *Reply) (again bool, p *Problem) {
	var silence *time.Timer
	pause := max(resumeLeast, resumeAfter*c.route.MaxPause)
	if c.route.Resumable {
		silence = time.AfterFunc(max(pause, resumeFirst*c.route.Objective), func() { cancel(errSilent) })
		defer silence.Stop()
	}
	var s splitter
	buf := make([]byte, 8<<10)
	var first, last time.Time
	events := 0
	var err error
	for err == nil {
		var n int
		n, err = reply.Body.Read(buf)
		if n == 0 {
			continue
		}
		now := c.opts.Clock.Now()
		c.opts.Table.Byte(now, key)
		if silence != nil {
			silence.Reset(pause)
		}
		s.add(buf[:n])
		for event := s.next(); event != nil; event = s.next() {
			if werr := c.pass(reply, event); werr != nil {
				c.lastError = werr.Error()
				c.opts.Table.Done(now, key, steer.Ended)
				return false, &Problem{
					Status:  statusCallerGone,
					Code:    "caller-gone",
					Message: "the caller took no more of the answer",
				}
			}
			events++
			if first.IsZero() {
				first = now
			}
			last = now
			c.timeEvent(now)
		}
		if len(s.rest) > maxEvent {
			err = errors.New("serve: an event is larger than allowed")
		}
	}
	now := c.opts.Clock.Now()
	if events > 2 {
		c.learnPause(c.service.Name, c.q.Model, key, last.Sub(first)/time.Duration(events-1))
	}
	if errors.Is(err, io.EOF) && len(s.rest) == 0 {
		c.opts.Table.Done(now, key, steer.Served)
		if err := c.begin(reply); err == nil {
			c.caller.End()
		}
		c.served(reply.Status)
		return false, nil
	}
	c.lastError = err.Error()
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		c.opts.Table.Done(now, key, steer.Ended)
		return false, c.ended(ctx)
	}
	c.opts.Table.Done(now, key, steer.Faulted)
	return c.resume(key)
}

// resume decides whether a stream that broke off goes on at another endpoint.
func (c *call) resume(key fleet.Key) (again bool, p *Problem) {
	c.excludeEndpoint(key)
	broken := &Problem{
		Status:  http.StatusBadGateway,
		Code:    "stream-broken",
		Message: "the endpoint broke off the stream",
	}
	if !c.route.Resumable || c.ran >= max(1, c.route.MaxAttempts) {
		return false, broken
	}
	if !c.opts.Clock.Now().Before(c.final) || !c.mayRepeat(c.service.Name) {
		return false, broken
	}
	c.opts.Log.Warn("stream resumed", "request", c.q.ID, "endpoint", key.ID, "after-event", c.lastEvent,
		"error", c.lastError, "ran", c.ran)
	return true, nil
}

// timeEvent measures the time to the first event and the pauses between events.
func (c *call) timeEvent(now time.Time) {
	if c.events == 1 {
		c.firstByte = now.Sub(c.q.Arrived)
		c.opts.Observe.FirstByte(c.service.Name, c.firstByte)
	} else {
		c.maxPause = max(c.maxPause, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

// begin sends the head of the first endpoint's answer, once. Until then a
// request whose stream breaks off can still get another answer.
func (c *call) begin(reply *Reply) error {
	if c.begun {
		return nil
	}
	c.begun = true
	return c.caller.Begin(reply.Status, reply.Header)
}

// pass hands one event to the caller.
func (c *call) pass(reply *Reply, event []byte) error {
	if err := c.begin(reply); err != nil {
		return err
	}
	if err := c.caller.Event(event); err != nil {
		return err
	}
	c.events++
	if id := eventID(event); id != "" {
		c.lastEvent = id
	}
	return nil
}
