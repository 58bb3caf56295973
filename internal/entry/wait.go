package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/pkg/spec"
)

// unservable returns why the completion cannot be served under the configuration in force
// and before the end of the process, or nil. It reads only what does not change once the
// request is resolved. The caller sets NotRun.
func (c *completion) unservable() *problem {
	index := c.config.Load().index
	if p := checkModel(index, c.model, c.adapter); p != nil {
		return p
	}
	if m := index.Models[c.model]; m.MaxContextTokens > 0 && c.tokens > m.MaxContextTokens {
		return contextTooLong(c.tokens, m.MaxContextTokens)
	}
	return c.stopProblem(c.need())
}

func (c *completion) need() need {
	return need{
		kind: drain.Kind{
			Service: c.service,
			Model:   c.model,
		},
		tokens: float64(c.in.MaxTokens),
	}
}

// needAfter is need for a stream of which last tokens were delivered.
func (c *completion) needAfter(last int64) need {
	n := c.need()
	n.tokens = max(0, n.tokens-float64(last))
	return n
}

// shortAnswer is the number of tokens up to which the time of a whole answer is taken for
// the time to its first part.
const shortAnswer = 16

// learnTime records how long the request took from its sending to its last part.
func (c *completion) learnTime() {
	n := c.need()
	took := c.opts.Clock.Now().Sub(c.sentAt)
	sample := drain.Sample{
		Tokens: n.tokens,
	}
	switch first := c.arrived.Add(c.timing.firstToken).Sub(c.sentAt); {
	case c.in.Stream:
		sample.First, sample.Rest = first, took-first
	case c.in.MaxTokens <= shortAnswer:
		sample.First, sample.Tokens = took, 0
	default:
		sample.Rest = max(0, took-c.times.ExpectFirst(n.kind))
	}
	c.times.Record(n.kind, sample)
}

func modelProblem(model string) *problem {
	return &problem{
		Status:  http.StatusNotFound,
		Reason:  audit.ModelUnknown,
		Message: "there is no model " + strconv.Quote(model),
		NotRun:  true,
	}
}

func hasAdapter(index *spec.Index, model, adapter string) bool {
	a := index.Adapters[adapter]
	return a != nil && a.Model == model
}

func adapterProblem(model, adapter string) *problem {
	return &problem{
		Status:  http.StatusNotFound,
		Reason:  audit.ModelUnknown,
		Message: "there is no adapter " + strconv.Quote(adapter) + " of model " + model,
		NotRun:  true,
	}
}

func contextTooLong(tokens, limit int64) *problem {
	return &problem{
		Status: http.StatusBadRequest,
		Reason: audit.ContextTooLong,
		Message: "prompt and max_tokens take " + strconv.FormatInt(tokens, 10) +
			" tokens, the model's context has " + strconv.FormatInt(limit, 10),
		NotRun: true,
	}
}

// beginWait makes c.waiting end as soon as the request cannot be served any more. The
// caller calls end when it sends the request or gives it up.
func (c *completion) beginWait() (end func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.waiting = ctx
	done := make(chan struct{})
	go func() {
		for {
			// Get the channel before looking, so that no change is missed.
			changed := c.changes()
			if p := c.unservable(); p != nil {
				cancel(&problemError{
					problem: p,
				})
				return
			}
			timer, stopTimer := c.lastStartTimer()
			select {
			case <-changed:
			case <-timer:
			case <-done:
				stopTimer()
				return
			}
			stopTimer()
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		cancel(nil)
		c.waiting = c.ctx
	})
}

// A change of the configuration reaches the keys, the routes, the server and the rate limits
// one after another.
const (
	// viewLag bounds one wait for the rest of a change, and maxViewTries is how often a
	// request waits.
	viewLag      = 5 * time.Millisecond
	maxViewTries = 100
)

// awaitChange waits for a moment, or for the next change of the configuration.
func (q *request) awaitChange(ctx context.Context) {
	t := time.NewTimer(viewLag)
	defer t.Stop()
	select {
	case <-q.changes():
	case <-t.C:
	case <-ctx.Done():
	}
}

// lastStartTimer returns a channel that receives when the process is so near to its end
// that the request may not be sent any more.
func (c *completion) lastStartTimer() (<-chan time.Time, func()) {
	at, ok := c.lastStart(c.need())
	if !ok {
		return nil, func() {}
	}
	t := time.NewTimer(max(at.Sub(c.opts.Clock.Now()), time.Millisecond))
	return t.C, func() { t.Stop() }
}
