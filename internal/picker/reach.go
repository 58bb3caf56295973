package picker

import (
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

const (
	// domainCutFailures is how many endpoints of a failure domain must have failed
	// to accept a connection, without an answer from any endpoint of the domain in
	// between, before the domain is treated as cut off.
	domainCutFailures = 2
	// minCutBackoff is how long a domain that is cut off gets no requests at first;
	// each failed probe doubles the time up to maxCutBackoff. A probe delays one
	// request by the connect timeout.
	minCutBackoff = 600 * time.Millisecond
	maxCutBackoff = 2 * time.Second
	// cutDomainCost is added to the cost of endpoints in a domain that is cut off.
	// It is so high that requests go there only when no other endpoint can serve
	// them.
	cutDomainCost = 5000
)

// domainState tracks whether the endpoints of a failure domain can be reached.
type domainState struct {
	failed   map[string]bool // endpoints to which a connection failed
	cutUntil time.Time
	backoff  time.Duration
	// probe is the endpoint to which one request was sent to test whether the
	// domain can be reached again.
	probe fleet.Key
}

func (r *domainState) isCut() bool { return r != nil && len(r.failed) >= domainCutFailures }

// avoid reports whether new requests should go to other domains: until cutUntil,
// and while a probe is running.
func (r *domainState) avoid(now time.Time) bool {
	return r.isCut() && (now.Before(r.cutUntil) || r.probe != fleet.Key{})
}

// recordUnreachable records a failed connection to an endpoint and extends the
// backoff of its domain.
func (t *Table) recordUnreachable(now time.Time, e *endpointState) {
	r := t.domainStates[e.Domain]
	if r == nil {
		r = &domainState{
			failed: make(map[string]bool),
		}
		t.domainStates[e.Domain] = r
	}
	r.failed[e.ID] = true
	if !r.isCut() || now.Before(r.cutUntil) {
		return
	}
	if r.backoff == 0 {
		t.log.Warn("failure domain not reached", "domain", e.Domain, "endpoint", e.ID, "failed", len(r.failed))
	}
	r.backoff = min(maxCutBackoff, max(minCutBackoff, 2*r.backoff))
	r.cutUntil = now.Add(r.backoff)
}

// recordReachable records an answer of an endpoint, which shows that its domain
// can be reached.
func (t *Table) recordReachable(e *endpointState) {
	r := t.domainStates[e.Domain]
	if r.isCut() {
		t.log.Info("failure domain reached again", "domain", e.Domain, "endpoint", e.ID)
	}
	if r != nil {
		delete(t.domainStates, e.Domain)
	}
}

// startProbe marks a request to an endpoint as the probe of its domain, if the
// domain is cut off and has no probe.
func (t *Table) startProbe(e *endpointState) {
	if r := t.domainStates[e.Domain]; r.isCut() && (r.probe == fleet.Key{}) {
		r.probe = e.Key()
	}
}

// endProbe clears the probe of a domain when its request ends.
func (t *Table) endProbe(e *endpointState) {
	if r := t.domainStates[e.Domain]; r != nil && r.probe == e.Key() {
		r.probe = fleet.Key{}
	}
}
