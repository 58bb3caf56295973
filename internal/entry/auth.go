package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/caller"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/stats"
)

// Causes for which the server cancels the context of a request.
var (
	errCancelled       = errors.New("entry: cancelled")
	errKeyWithdrawn    = errors.New("entry: key withdrawn")
	errKeyUnverifiable = errors.New("entry: keys cannot be checked")
)

// keyElsewhere is the message to a caller who has sent the key in another place too.
const keyElsewhere = "the key must be sent in the Authorization header only"

// keyRetryAfter is the Retry-After of a response for which the key could not be
// checked.
const keyRetryAfter = 5 * time.Second

// authenticate checks the key of the request and finds its workspace. If it
// returns false, it has answered the request with an error.
func (q *request) authenticate() bool {
	p := q.checkKey()
	if p != nil {
		q.refuse(*p, audit.Event{})
	}
	return p == nil
}

// checkKey checks the key of the request and finds its workspace, or returns the refusal.
func (q *request) checkKey() *problem {
	secret, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		p := noKeyProblem()
		return &p
	}
	q.secret = secret
	q.verdict = q.opts.Keys.Check(secret)
	for q.verdict.Result == keys.Unknown && q.awaitNewer() {
		q.verdict = q.opts.Keys.Check(secret)
	}
	if p, bad := keyProblem(q.verdict.Result); bad {
		q.countRejectedKey(q.verdict.Result)
		if q.verdict.Result == keys.Unknown {
			p = q.unknown(p)
		}
		return &p
	}
	q.workspace = q.view.index.Workspaces[q.verdict.Workspace]
	for try := 0; q.workspace == nil && try < maxViewTries; try++ {
		// The key table may be newer than this request's view.
		if try > 0 {
			q.awaitChange(q.r.Context())
		}
		q.view = q.config.Load()
		q.workspace = q.view.index.Workspaces[q.verdict.Workspace]
	}
	if q.workspace == nil {
		p, _ := keyProblem(keys.Stale)
		return &p
	}
	return nil
}

func noKeyProblem() problem {
	return problem{
		Status:  http.StatusUnauthorized,
		Reason:  audit.NoKey,
		Message: `the request has no key; send it as "Authorization: Bearer KEY"`,
		NotRun:  true,
	}
}

func (q *request) countRejectedKey(r keys.Result) {
	switch r {
	case keys.Withdrawn:
		q.opts.Stats.Inc(stats.KeysWithdrawn)
	case keys.Stale:
		q.opts.Stats.Inc(stats.KeysStale)
	default:
		q.opts.Stats.Inc(stats.KeysUnknown)
	}
}

// keyProblem returns the error response for a result of the key check. It returns
// false for keys.OK.
func keyProblem(r keys.Result) (problem, bool) {
	switch r {
	case keys.OK:
		return problem{}, false
	case keys.Withdrawn:
		return problem{
			Status:  http.StatusUnauthorized,
			Reason:  audit.KeyWithdrawn,
			Message: "the key was withdrawn",
			NotRun:  true,
		}, true
	case keys.Stale:
		return problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     audit.KeyUnverifiable,
			Message:    "this node cannot check at present whether the key was withdrawn",
			NotRun:     true,
			RetryAfter: keyRetryAfter,
		}, true
	}
	return problem{
		Status:  http.StatusUnauthorized,
		Reason:  audit.KeyUnknown,
		Message: "the key is not known",
		NotRun:  true,
	}, true
}

// keyCauseProblem returns the problem of a request whose context was ended for its key, or
// nil. The caller sets NotRun.
func keyCauseProblem(ctx context.Context) *problem {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return &problem{
			Status:  http.StatusUnauthorized,
			Reason:  audit.StreamKeyWithdrawn,
			Message: "the key was withdrawn while the request was running",
		}
	case errors.Is(cause, errKeyUnverifiable):
		p, _ := keyProblem(keys.Stale)
		return &p
	}
	return nil
}

// endedProblem returns the refusal of a request that was ended while its body was read, or
// nil.
func (q *request) endedProblem(ctx context.Context) *problem {
	if q.processEnds() {
		p := endProblem()
		return &p
	}
	p := keyCauseProblem(ctx)
	if p != nil {
		p.NotRun = true
	}
	return p
}

// readBody reads the body up to the size limit. It refuses a request whose body,
// URL or headers other than Authorization contain the key, because they are
// forwarded to an endpoint. If it returns false, it has answered the request.
func (q *request) readBody() ([]byte, bool) {
	// A body that arrives slowly must not keep the request without an answer at the end of
	// the process or of its key.
	ctx, cancel := context.WithCancelCause(q.r.Context())
	defer cancel(nil)
	defer q.watchKey(cancel)()
	stop := context.AfterFunc(ctx, func() {
		if q.processEnds() || keyCauseProblem(ctx) != nil {
			_ = http.NewResponseController(q.w).SetReadDeadline(time.Now())
		}
	})
	pieces, err := caller.ReadBody(q.w, q.r, caller.Upload{
		Limit: func() int64 { return q.opts.Limits.MaxBodyBytes },
	})
	if p := bodyProblem(err); p != nil {
		q.refuse(*p, audit.Event{
			Limit: q.opts.Limits.MaxBodyBytes,
		})
		return nil, false
	}
	if !stop() {
		// The deadline may have passed after the body was read, and the connection is of no
		// more use.
		if p := q.endedProblem(ctx); p != nil {
			q.refuse(*p, audit.Event{})
			return nil, false
		}
	}
	if err != nil {
		q.badRequest("the body could not be read: " + err.Error())
		return nil, false
	}
	body := pieces.Bytes()
	if q.leaksKey(body) {
		q.badRequest(keyElsewhere)
		return nil, false
	}
	return body, true
}

// bodyRetryAfter is the Retry-After of a request whose body found no memory.
const bodyRetryAfter = time.Second

// bodyProblem returns the refusal of a request whose body a limit has ended, or nil.
func bodyProblem(err error) *problem {
	switch {
	case errors.Is(err, caller.ErrBodyTooLarge):
		return &problem{
			Status:  http.StatusRequestEntityTooLarge,
			Reason:  audit.BodyTooLarge,
			Message: "the body is larger than this service accepts",
			NotRun:  true,
		}
	case errors.Is(err, caller.ErrBodiesFull):
		return &problem{
			Status:     http.StatusServiceUnavailable,
			Reason:     audit.BodiesFull,
			Message:    "this node receives as many large bodies as it can hold",
			NotRun:     true,
			RetryAfter: bodyRetryAfter,
		}
	case errors.Is(err, caller.ErrBodyStalled):
		return &problem{
			Status:  http.StatusRequestTimeout,
			Reason:  audit.BodyLate,
			Message: "the body has stopped arriving",
			NotRun:  true,
		}
	}
	return nil
}

// leaksKey reports whether the key occurs outside the Authorization header.
func (q *request) leaksKey(body []byte) bool {
	if q.secret == "" {
		return false
	}
	if bytes.Contains(body, []byte(q.secret)) {
		return true
	}
	target := q.r.URL.RequestURI()
	if decoded, err := url.QueryUnescape(target); err == nil {
		target += decoded
	}
	if strings.Contains(target, q.secret) {
		return true
	}
	for name, values := range q.r.Header {
		if name == "Authorization" {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, q.secret) {
				return true
			}
		}
	}
	return false
}

func (q *request) badRequest(message string) {
	q.refuse(badRequestProblem(message), audit.Event{})
}

func badRequestProblem(message string) problem {
	return problem{
		Status:  http.StatusBadRequest,
		Reason:  audit.BadRequest,
		Message: message,
		NotRun:  true,
	}
}
