package entry

import (
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/triage"
)

const configRetryAfter = time.Second

// RecordNewest records that a revision is known to exist.
func (s *Server) RecordNewest(revision int64) { s.newest.Record(s.opts.Clock.Now(), revision) }

// isBehind reports whether a newer configuration than the request's view is expected.
func (q *request) isBehind() bool {
	return q.newest.IsExpected(q.opts.Clock.Now(), q.view.revision)
}

// awaitNewer is called when the request's view lacks something. It waits until the view is
// newer, and returns false if no newer revision is known or it does not arrive in time.
func (q *request) awaitNewer() bool {
	if !q.isBehind() {
		return false
	}
	if q.newerUntil.IsZero() {
		q.newerUntil = q.opts.Clock.Now().Add(triage.MaxConfigWait)
	}
	t := time.NewTimer(q.newerUntil.Sub(q.opts.Clock.Now()))
	defer t.Stop()
	for {
		// Get the channel before the configuration, so that no change is missed.
		changed := q.changes()
		if v := q.config.Load(); v.revision > q.view.revision {
			q.view = v
			return true
		}
		if q.processEnds() {
			return false
		}
		select {
		case <-changed:
		case <-t.C:
			return false
		case <-q.r.Context().Done():
			return false
		}
	}
}

// unknown returns the refusal of a request for something that its view lacks: p, unless a
// newer revision is known that may contain it.
func (q *request) unknown(p problem) problem {
	if !q.isBehind() {
		return p
	}
	return problem{
		Status:     http.StatusServiceUnavailable,
		Reason:     audit.ConfigBehind,
		Message:    "this node has not read the newest configuration yet",
		NotRun:     true,
		RetryAfter: configRetryAfter,
	}
}
