package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Latency targets: 95 in 100 requests get the first token within firstTokenTarget,
// and 95 in 100 tokens follow the previous one within tokenGapTarget.
const (
	firstTokenTarget = 1500 * time.Millisecond
	tokenGapTarget   = 48 * time.Millisecond
	maxSlowGapShare  = 0.05
)

// maxResumes limits how often one stream is resumed, so that a request ends even
// if its endpoint breaks every connection.
const maxResumes = 3

// timing measures the token latencies of one request.
type timing struct {
	series     *stats.Series
	firstToken time.Duration
	lastToken  time.Time
	gaps       int64
	slowGaps   int64
}

// token records a token that was received at now.
func (t *timing) token(arrived, now time.Time) {
	if t.lastToken.IsZero() {
		t.firstToken = now.Sub(arrived)
		t.series.FirstToken(t.firstToken)
	} else {
		gap := now.Sub(t.lastToken)
		t.series.TokenGap(gap)
		t.gaps++
		if gap > tokenGapTarget {
			t.slowGaps++
		}
	}
	t.lastToken = now
}

// onTarget reports whether the request met the latency target of its class.
// Deferrable requests have no target.
func (t *timing) onTarget(class spec.Class) bool {
	if class == spec.ClassDeferrable {
		return true
	}
	return t.firstToken <= firstTokenTarget && float64(t.slowGaps) <= maxSlowGapShare*float64(t.gaps)
}

// errSlowClient means that a write to the caller timed out.
var errSlowClient = errors.New("entry: caller reads the response too slowly")

// send sends the request to the chosen endpoint and delivers the response.
func (c *completion) send(choice route.Choice) error {
	c.timing.series = c.opts.Stats.Series(c.workspaceName(), c.class)
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("X-Priority", string(c.class))
	if c.adapter != "" {
		header.Set("X-Adapter", c.adapter)
	}
	call := engine.Call{
		Address:   choice.Address,
		Method:    http.MethodPost,
		Path:      c.r.URL.Path,
		Header:    header,
		Body:      c.body,
		RequestID: c.id,
		Again:     slices.Contains(c.sentTo, choice.Address),
		Check:     c.endpointCheck(choice, c.checkBeforeSend),
	}
	c.sentTo = append(c.sentTo, choice.Address)
	c.sentAt = c.opts.Clock.Now()
	send := c.sendWhole
	if c.in.Stream {
		send = c.sendStream
	}
	err := send(choice, call)
	if err == nil {
		c.learnTime()
	}
	return err
}

func (c *completion) sendWhole(choice route.Choice, call engine.Call) error {
	answer, err := c.opts.Engines.Complete(c.ctx, call)
	if err != nil {
		c.hear(choice, engine.StatementOf(err))
		return err
	}
	c.hear(choice, answer.Statement)
	c.timing.token(c.arrived, c.opts.Clock.Now())
	c.recordUsage(answer.Usage)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", c.id)
	c.delivered = true
	// A write error means that the caller has disconnected; the response of the
	// endpoint was complete, so the request is counted as served.
	_, _ = c.w.Write(answer.Body)
	return nil
}

// recordUsage sets the number of tokens used. Without a usage report all charged
// tokens are considered used.
func (c *completion) recordUsage(u *engine.Usage) {
	c.used = c.tokens
	if u != nil {
		c.used = min(c.tokens, u.PromptTokens+u.CompletionTokens)
		c.opts.Stats.Add(stats.TokensGenerated, u.CompletionTokens)
	}
}

func (c *completion) sendStream(choice route.Choice, call engine.Call) error {
	// Until the endpoint reports the usage, the delivered tokens are considered used.
	stream, err := c.opts.Engines.Stream(c.ctx, call)
	if err != nil {
		c.hear(choice, engine.StatementOf(err))
		return err
	}
	c.hear(choice, stream.Statement)
	out := http.NewResponseController(c.w)
	for resumes := 0; ; resumes++ {
		err = c.forward(stream, out)
		last := stream.LastToken()
		stream.Close()
		var broken *engine.BadResponseError
		if err == nil || !errors.As(err, &broken) || !c.delivered || c.ctx.Err() != nil || resumes == maxResumes {
			return err
		}
		if c.stopProblem(c.needAfter(last)) != nil {
			// The rest would be cut, and the caller learns it now.
			return err
		}
		stream, err = c.opts.Engines.Resume(c.ctx, call.Address, c.id, last)
		if err != nil {
			return err
		}
		c.opts.Stats.Inc(stats.StreamsResumed)
		c.opts.Audit.Record(audit.Event{
			Reason:    audit.StreamResumed,
			Request:   c.id,
			Workspace: c.workspaceName(),
			Model:     c.model,
			Count:     last,
		})
	}
}

// forward delivers events until the end of the stream.
func (c *completion) forward(stream *engine.Stream, out *http.ResponseController) error {
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.workspace != nil {
			switch c.opts.Keys.Recheck(c.verdict) {
			case keys.Withdrawn:
				c.cancel(errKeyWithdrawn)
				return errKeyWithdrawn
			case keys.Stale:
				c.cancel(errKeyUnverifiable)
				return errKeyUnverifiable
			}
		}
		if err := c.deliver(ev, out, !stream.Buffered()); err != nil {
			return err
		}
	}
}

func (c *completion) deliver(ev engine.Event, out *http.ResponseController, flush bool) error {
	now := c.opts.Clock.Now()
	if !c.delivered {
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set("X-Request-Id", c.id)
		c.w.WriteHeader(http.StatusOK)
		c.delivered = true
		c.used = c.in.PromptTokens()
	}
	if ev.Token > 0 {
		c.timing.token(c.arrived, now)
		c.used = min(c.tokens, c.used+1)
	}
	if ev.Usage != nil {
		c.recordUsage(ev.Usage)
	}
	if err := out.SetWriteDeadline(time.Now().Add(c.opts.Limits.StreamIdle)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	_, err := c.w.Write(ev.Raw)
	if err == nil && flush {
		err = out.Flush()
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.opts.Stats.Inc(stats.StreamsSlow)
		c.cancel(errSlowClient)
		return errSlowClient
	}
	// The write failed because the caller disconnected.
	c.cancel(err)
	return err
}
