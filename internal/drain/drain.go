// Package drain decides which requests a stopping process still accepts: those that it can
// finish before it ends.
//
// It answers the pattern "work accepted without asking whether it can be finished": a
// process that is told to stop keeps serving until the load balancer has noticed, and cuts
// what still runs at the end of its grace. A request that would last longer is rejected at
// once, as not run, so that its caller gets a whole answer from another node.
//
// The package has no goroutine, no clock and no network.
package drain

import "time"

// Stop is the plan of a process that was told to stop.
type Stop struct {
	// Since is when the process may have got the signal at the earliest.
	Since time.Time
	// AcceptUntil is from when on arriving requests are rejected.
	AcceptUntil time.Time
	// EndsAt is when the requests that still run are cut; zero if never.
	EndsAt time.Time
}

// Reason says why a stopping process rejects a request; empty if it accepts it.
type Reason string

// The reasons.
const (
	Accepted Reason = ""
	// TooLate is that the request arrived after the process stopped accepting.
	TooLate Reason = "arrived-too-late"
	// TooLong is that the request is expected to last beyond the end of the process.
	TooLong Reason = "expected-to-last-too-long"
	// Ended is that the process ends now.
	Ended Reason = "process-ends"
)

// Arrival decides about a request that arrives at now and is expected to take need. A nil
// Stop, of a process that was not told to stop, accepts everything.
func (s *Stop) Arrival(now time.Time, need time.Duration) Reason {
	if s == nil {
		return Accepted
	}
	if !now.Before(s.AcceptUntil) {
		return TooLate
	}
	return s.Start(now, need)
}

// Start decides about a request that arrived before, has not run, and would begin to run at
// now.
func (s *Stop) Start(now time.Time, need time.Duration) Reason {
	if s == nil || s.EndsAt.IsZero() || now.Add(need).Before(s.EndsAt) {
		return Accepted
	}
	return TooLong
}
