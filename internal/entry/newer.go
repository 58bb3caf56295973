package entry

import (
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
)

const (
	// maxConfigWait is how long a request for something that the configuration in force
	// lacks waits for a newer one.
	maxConfigWait = time.Second
	// maxConfigDelay is how long a newer revision may take to arrive. One that takes longer
	// may not be readable here at all.
	maxConfigDelay   = 5 * time.Second
	configRetryAfter = time.Second
)

// newestRevision is the highest revision that is known to exist.
type newestRevision struct {
	revision int64
	knownAt  time.Time
}

// SetNewest records the highest revision that is known to exist. Calls must not overlap.
func (s *Server) SetNewest(revision int64) {
	if n := s.newest.Load(); n != nil && n.revision >= revision {
		return
	}
	s.newest.Store(&newestRevision{
		revision: revision,
		knownAt:  s.opts.Clock.Now(),
	})
}

// isBehind reports whether a newer configuration than the request's view is expected.
func (q *request) isBehind() bool {
	n := q.newest.Load()
	return n != nil && n.revision > q.view.revision && q.opts.Clock.Now().Before(n.knownAt.Add(maxConfigDelay))
}

// awaitNewer is called when the request's view lacks something. It waits until the view is
// newer, and returns false if no newer revision is known or it does not arrive in time.
func (q *request) awaitNewer() bool {
	if !q.isBehind() {
		return false
	}
	if q.newerUntil.IsZero() {
		q.newerUntil = q.opts.Clock.Now().Add(maxConfigWait)
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
