package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
)

// relayWhole sends an answer that is not a stream to the caller. It buffers the
// answer first, so that an incomplete one is never taken for complete.
func (c *call) relayWhole(ctx context.Context, key fleet.Key, reply *Reply) (again bool, p *Problem) {
	outcome := picker.Served
	if reply.Status >= http.StatusInternalServerError {
		outcome = picker.Faulted
	}
	if c.atMostOnce && promisesNotRun(reply.Status) {
		// The caller would take the status for the promise that the endpoint did not give.
		c.opts.Table.EndAttempt(c.opts.Clock.Now(), key, outcome)
		return c.handleLostAnswer(ctx, "the endpoint refused the request without saying that it did not run it")
	}
	buf, release := c.newBuffer()
	defer release()
	body, complete, err := readWhole(reply.Body, buf)
	now := c.opts.Clock.Now()
	if err != nil {
		c.lastError = err.Error()
		if ctx.Err() != nil {
			c.opts.Table.EndAttempt(now, key, picker.Ended)
			return false, c.contextProblem(ctx)
		}
		c.opts.Table.EndAttempt(now, key, picker.Faulted)
		c.watchCrash(now)
		return c.handleLostAnswer(ctx, "the endpoint's answer broke off")
	}
	if outcome == picker.Faulted {
		if again, _ := c.handleLostAnswer(ctx, "the endpoint answered with an error"); again {
			c.opts.Table.EndAttempt(now, key, outcome)
			return true, nil
		}
	}
	if !complete {
		return c.relayLarge(ctx, key, reply, body, outcome)
	}
	c.opts.Table.EndAttempt(now, key, outcome)
	c.firstByte = now.Sub(c.req.Arrived)
	c.opts.Observer.FirstByte(c.service.Name, c.firstByte)
	c.recordWhole(reply, now)
	if reply.Status < http.StatusMultipleChoices && !reply.EndsWithConnection {
		c.recordAnswerTime(reply, now)
	}
	c.caller.Respond(reply.Status, reply.Header, body)
	c.recordServed(reply.Status)
	return false, nil
}

// promisesNotRun reports whether callers take a status to mean that their request has not
// run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readWhole reads a body to its end. It stops early, with complete unset, when the
// body exceeds maxBufferedBody or the memory for buffers is used up.
func readWhole(r io.Reader, buf *buffer) (body []byte, complete bool, err error) {
	for len(body) <= maxBufferedBody {
		if !buf.grow(len(body) + readSize) {
			return body, false, nil
		}
		body = slices.Grow(body, readSize)
		n, err := r.Read(body[len(body) : len(body)+readSize])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// readSize is the size in bytes of one read of an answer.
const readSize = 8 << 10

// relayLarge sends an answer that is too large to be buffered to the caller as it
// arrives, beginning with the part that was read. The attempt ends with the given outcome
// if the answer arrives whole.
func (c *call) relayLarge(ctx context.Context, key fleet.Key, reply *Reply, head []byte, outcome picker.Outcome) (again bool, p *Problem) {
	c.responseStarted = true
	err := c.caller.Begin(reply.Status, reply.Header)
	if err == nil {
		err = c.caller.Event(head)
	}
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = reply.Body.Read(buf)
		if n > 0 {
			c.opts.Table.RecordProgress(c.opts.Clock.Now(), key)
			if werr := c.caller.Event(buf[:n]); werr != nil {
				err = werr
			}
		}
	}
	now := c.opts.Clock.Now()
	if errors.Is(err, io.EOF) {
		c.opts.Table.EndAttempt(now, key, outcome)
		c.recordWhole(reply, now)
		c.caller.End()
		c.recordServed(reply.Status)
		return false, nil
	}
	c.lastError = err.Error()
	c.opts.Table.EndAttempt(now, key, picker.Ended)
	if ctx.Err() != nil {
		return false, c.contextProblem(ctx)
	}
	return false, &Problem{
		Status:  http.StatusBadGateway,
		Code:    "answer-broken",
		Message: "the endpoint's answer broke off",
	}
}

// relayStream sends the events of a stream to the caller as they arrive. If the endpoint of
// a resumable stream falls silent, another one may continue it; requestCtx is the context
// of the attempts there.
func (c *call) relayStream(requestCtx, ctx context.Context, cancel context.CancelCauseFunc, key fleet.Key, reply *Reply) (again bool, p *Problem) {
	outer, isResumed := c.hedge, c.responseStarted
	var h *hedge
	if c.isResumable() {
		pause := max(minResumeSilence, resumePauses*c.route.MaxPause)
		var stop func()
		h, stop = c.newHedge(requestCtx, key, max(pause, resumeObjectives*c.route.Objective), pause, func() { cancel(errSilentEndpoint) })
		defer stop()
	}
	var s eventSplitter
	unread, release := c.newBuffer()
	defer release()
	buf := make([]byte, readSize)
	var held []byte // comments that the caller has not got
	var first, last, proofDue time.Time
	events := 0
	var err error
	for err == nil {
		var n int
		n, err = reply.Body.Read(buf)
		if n == 0 {
			continue
		}
		now := c.opts.Clock.Now()
		c.opts.Table.RecordProgress(now, key)
		s.add(buf[:n])
		for event := s.next(); event != nil; event = s.next() {
			// Bytes without a whole event, and comments, are no progress. Comments wait
			// for an event while another endpoint may send it.
			isProgress := hasField(event)
			if !isProgress && (outer.isOpen() || !h.pauseSearch()) {
				held = append(held, event...)
				continue
			}
			if isProgress && h.takeBack() {
				err = errSilentEndpoint
				break
			}
			if isProgress && isResumed && !c.continues(event) {
				err = errNotContinued
				break
			}
			if isProgress && !outer.claim() {
				err = errTakenBack
				break
			}
			if len(held) > 0 {
				event, held = append(held, event...), nil
			}
			if isProgress {
				proofDue = c.recordRunning(now, proofDue)
			}
			// A search may use the call's state after that.
			if werr := c.relayEvent(h, reply, event, now, isProgress); werr != nil {
				h.takeBack()
				c.lastError = werr.Error()
				c.opts.Table.EndAttempt(now, key, picker.Ended)
				return false, &Problem{
					Status:  statusClientClosed,
					Code:    "caller-gone",
					Message: "the caller took no more of the answer",
				}
			}
			events++
			if first.IsZero() {
				first = now
			}
			last = now
		}
		if unfinished := len(s.unread) + len(held); unfinished > maxEvent || !unread.grow(unfinished) {
			err = errors.New("serve: an event is larger than allowed")
		}
	}
	now := c.opts.Clock.Now()
	if errors.Is(context.Cause(ctx), errSilentEndpoint) {
		c.opts.Table.EndAttempt(now, key, picker.Faulted)
		h.join()
		return false, h.problem
	}
	complete := errors.Is(err, io.EOF) && len(s.unread) == 0 && (events > 0 || !reply.EndsWithConnection)
	if complete && h.takeBack() || !complete && h.join() {
		c.opts.Table.EndAttempt(now, key, picker.Faulted)
		return false, h.problem
	}
	if events > 2 {
		c.recordPause(c.service.Name, c.req.Model, key, last.Sub(first)/time.Duration(events-1))
	}
	switch {
	case events == 0:
	case complete && !reply.EndsWithConnection, last.Sub(first) >= provenAfter:
		c.recordProof(now)
	case complete:
		c.watchEnd(now)
	}
	if complete && outer.claim() {
		c.opts.Table.EndAttempt(now, key, picker.Served)
		if events > 0 && !reply.EndsWithConnection && !isResumed && outer == nil {
			c.recordStreamTime(reply, first, last, events)
		}
		err := c.startResponse(reply)
		if err == nil && len(held) > 0 {
			err = c.caller.Event(held)
		}
		if err == nil {
			c.caller.End()
		}
		c.recordServed(reply.Status)
		return false, nil
	}
	c.lastError = err.Error()
	if ctx.Err() != nil {
		c.opts.Table.EndAttempt(now, key, picker.Ended)
		return false, c.contextProblem(ctx)
	}
	c.opts.Table.EndAttempt(now, key, picker.Faulted)
	if events == 0 || now.Sub(first) < provenAfter {
		c.watchCrash(now)
	}
	return c.resume(ctx, key)
}

// relayEvent forwards an event, or a comment after a successful pauseSearch, and lets a search
// begin after that. The end of a hedge whose search is paused would wait forever, so that a
// panic has to end the pause too.
func (c *call) relayEvent(h *hedge, reply *Reply, event []byte, now time.Time, isProgress bool) error {
	if isProgress {
		defer h.rearm()
	} else {
		defer h.allowSearch()
	}
	if err := c.forwardEvent(reply, event); err != nil {
		return err
	}
	c.recordEventTime(now)
	return nil
}

// refuseContinuation handles an answer that doesn't continue the stream of which the
// caller has a part. Nothing of it reaches the caller.
func (c *call) refuseContinuation(ctx context.Context, key fleet.Key, reply *Reply) (again bool, p *Problem) {
	c.lastError = fmt.Sprintf("status %d with type %.60q", reply.Status, mediaType(reply.Header))
	outcome := picker.Served
	if reply.Status < http.StatusMultipleChoices || reply.Status >= http.StatusInternalServerError {
		outcome = picker.Faulted
	}
	c.opts.Table.EndAttempt(c.opts.Clock.Now(), key, outcome)
	return c.handleLostAnswer(ctx, "the endpoint's answer does not continue the stream")
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// resume decides whether a stream that its endpoint broke off is resumed at another one.
func (c *call) resume(ctx context.Context, key fleet.Key) (again bool, p *Problem) {
	c.excludeEndpoint(key)
	reason := c.whyNoResume()
	if reason == "" {
		if p := c.recheck(); p != nil {
			reason = p.Message
		} else {
			reason = c.whyNoResume()
		}
	}
	switch {
	case reason != "":
	case c.mayCrashAgain(ctx):
		reason = "the prompt may have crashed the engine"
	case !c.allowRepeat(c.service.Name):
		reason = noRetriesLeft
	}
	if reason != "" {
		c.opts.Log.Warn("stream not resumed", "request", c.req.ID, "endpoint", key.ID, "after-event", c.lastEvent,
			"why", reason, "error", c.lastError, "ran", c.ranAttempts)
		return false, brokenProblem()
	}
	c.opts.Log.Warn("stream resumed", "request", c.req.ID, "endpoint", key.ID, "after-event", c.lastEvent,
		"error", c.lastError, "ran", c.ranAttempts)
	return true, nil
}

const noRetriesLeft = "no retries left"

// whyNoResume returns why no other endpoint may continue the stream, or "". Whether retries
// are left is not checked, since the check counts one.
func (c *call) whyNoResume() string {
	switch {
	case !c.isResumable():
		return "the route does not allow it"
	case !c.mayRunAgain():
		return "no attempts left"
	case !c.opts.Clock.Now().Before(c.deadline):
		return "the deadline has passed"
	}
	return ""
}

func brokenProblem() *Problem {
	return &Problem{
		Status:  http.StatusBadGateway,
		Code:    "stream-broken",
		Message: "the endpoint broke off the stream",
	}
}

var errNotContinued = errors.New("serve: the endpoint did not continue the stream after its last event")

// errTakenBack ends an attempt of a hedge whose silent endpoint has gone on.
var errTakenBack = errors.New("serve: the silent endpoint has gone on with the stream")

// continues reports whether an event of a resumed run may follow the last event that
// the caller has.
func (c *call) continues(event []byte) bool {
	last, err1 := strconv.ParseUint(c.lastEvent, 10, 64)
	id, err2 := strconv.ParseUint(eventID(event), 10, 64)
	return err1 == nil && err2 == nil && id > last
}

// recordEventTime records the time to the first event and the longest pause
// between events.
func (c *call) recordEventTime(now time.Time) {
	if c.eventCount == 1 {
		c.firstByte = now.Sub(c.req.Arrived)
		c.opts.Observer.FirstByte(c.service.Name, c.firstByte)
	} else {
		c.maxPause = max(c.maxPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// startResponse sends the status and header of the endpoint's answer on its first
// call. Before that, a request whose stream fails can still get another answer.
func (c *call) startResponse(reply *Reply) error {
	if c.responseStarted {
		return nil
	}
	c.responseStarted = true
	c.mediaType = mediaType(reply.Header)
	return c.caller.Begin(reply.Status, reply.Header)
}

// forwardEvent sends one event to the caller and remembers its id for a resume.
func (c *call) forwardEvent(reply *Reply, event []byte) error {
	if err := c.startResponse(reply); err != nil {
		return err
	}
	if err := c.caller.Event(event); err != nil {
		return err
	}
	c.eventCount++
	if id := eventID(event); id != "" {
		c.lastEvent = id
	}
	return nil
}
