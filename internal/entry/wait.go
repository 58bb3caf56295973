package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/pkg/spec"
)

// unservable returns why the completion cannot be served under the configuration in force,
// or nil. It reads only what does not change once the
// request is resolved. The caller sets NotRun.
func (c *completion) unservable() *problem {
	index := c.config.Load().index
	m := index.Models[c.model]
	if m == nil {
		return modelProblem(c.model)
	}
	if c.adapter != "" && !hasAdapter(index, c.model, c.adapter) {
		return adapterProblem(c.model, c.adapter)
	}
	if m.MaxContextTokens > 0 && c.tokens > m.MaxContextTokens {
		return contextTooLong(c.tokens, m.MaxContextTokens)
	}
	return nil
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
			select {
			case <-changed:
			case <-done:
				return
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		cancel(nil)
		c.waiting = c.ctx
	})
}

// viewLag bounds the wait for the configuration after the routes have changed.
const viewLag = 5 * time.Millisecond

// awaitChange waits for a moment, or for the next change of the configuration: the routes
// change just before the configuration does.
func (q *request) awaitChange(ctx context.Context) {
	t := time.NewTimer(viewLag)
	defer t.Stop()
	select {
	case <-q.changes():
	case <-t.C:
	case <-ctx.Done():
	}
}
