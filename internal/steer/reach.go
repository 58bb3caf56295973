package steer

import (
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

const (
	// domainFails is how many endpoints of a failure domain must have taken no
	// connection, with none of the domain answering meanwhile, before the domain
	// counts as cut off.
	domainFails = 2
	// cutFor is for how long a domain that is cut off is left alone at first; each
	// failed try doubles it up to cutMost. A try costs one request the time limit
	// of a connection.
	cutFor  = 600 * time.Millisecond
	cutMost = 2 * time.Second
	// cutCost keeps requests from domains that are cut off while any other
	// endpoint could serve them.
	cutCost = 5000
)

// reach is what is known of the way to a failure domain.
type reach struct {
	failed map[string]bool // endpoints that took no connection
	until  time.Time
	wait   time.Duration
	// probe is the endpoint with which one request tries whether the way is back.
	probe fleet.Key
}

func (r *reach) cut() bool { return r != nil && len(r.failed) >= domainFails }

// blocked reports whether requests should keep away from a domain.
func (r *reach) blocked(now time.Time) bool {
	return r.cut() && (now.Before(r.until) || r.probe != fleet.Key{})
}

// unreached notes an endpoint that took no connection.
func (t *Table) unreached(now time.Time, e *end) {
	r := t.domains[e.Domain]
	if r == nil {
		r = &reach{
			failed: make(map[string]bool),
		}
		t.domains[e.Domain] = r
	}
	r.failed[e.ID] = true
	if !r.cut() || now.Before(r.until) {
		return
	}
	if r.wait == 0 {
		t.log.Warn("failure domain not reached", "domain", e.Domain, "endpoint", e.ID, "failed", len(r.failed))
	}
	r.wait = min(cutMost, max(cutFor, 2*r.wait))
	r.until = now.Add(r.wait)
}

// reached notes that an endpoint answers, and with it its domain.
func (t *Table) reached(e *end) {
	r := t.domains[e.Domain]
	if r.cut() {
		t.log.Info("failure domain reached again", "domain", e.Domain, "endpoint", e.ID)
	}
	if r != nil {
		delete(t.domains, e.Domain)
	}
}

// try notes that a request goes to an endpoint whose domain was cut off.
func (t *Table) try(e *end) {
	if r := t.domains[e.Domain]; r.cut() && (r.probe == fleet.Key{}) {
		r.probe = e.Key()
	}
}

// tried ends the try with an endpoint.
func (t *Table) tried(e *end) {
	if r := t.domains[e.Domain]; r != nil && r.probe == e.Key() {
		r.probe = fleet.Key{}
	}
}
