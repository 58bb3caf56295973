package fleet

import (
	"slices"
	"strings"
	"time"
)

// returnGrace is how long an endpoint whose entry is missing after an outage of
// the store is still used. Endpoints that live write their entries again within
// 2 s; the rest covers the delay of the change feed.
const returnGrace = 2300 * time.Millisecond

// Change is a change of one endpoint's entry. Endpoint is nil where the entry
// is gone or names no endpoint.
type Change struct {
	Name     string
	Version  int64
	Endpoint *Endpoint
}

// Registry holds the registered endpoints. It is not safe for concurrent use.
type Registry struct {
	entries    map[string]*entry
	version    int64
	graceUntil time.Time
}

type entry struct {
	endpoint  Endpoint
	version   int64
	missingAt time.Time // when the entry was found missing during the grace
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries: make(map[string]*entry),
	}
}

// Recovered notes that the store answers again after an outage, during which
// entries may have expired although their endpoints live.
func (r *Registry) Recovered(now time.Time) { r.graceUntil = now.Add(returnGrace) }

// Version is the newest version of an entry that was taken over.
func (r *Registry) Version() int64 { return r.version }

// Apply takes over changes. With complete set, endpoints that are not named
// have no entry any more.
func (r *Registry) Apply(now time.Time, changes []Change, complete bool) {
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		named[c.Name] = true
		r.version = max(r.version, c.Version)
		e := r.entries[c.Name]
		switch {
		case c.Endpoint == nil:
			r.remove(now, c.Name)
		case e == nil:
			r.entries[c.Name] = &entry{
				endpoint: *c.Endpoint,
				version:  c.Version,
			}
		case c.Version < e.version || c.Endpoint.Born < e.endpoint.Born:
			// A late write of an earlier incarnation changes nothing.
		default:
			e.endpoint, e.version, e.missingAt = *c.Endpoint, c.Version, time.Time{}
		}
	}
	if !complete {
		return
	}
	for name := range r.entries {
		if !named[name] {
			r.remove(now, name)
		}
	}
}

func (r *Registry) remove(now time.Time, name string) {
	e := r.entries[name]
	if e == nil {
		return
	}
	if now.Before(r.graceUntil) && !e.endpoint.Leaving {
		if e.missingAt.IsZero() {
			e.missingAt = now
		}
		return
	}
	delete(r.entries, name)
}

// Expire removes endpoints whose entries did not come back. It reports whether
// there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for name, e := range r.entries {
		if !e.missingAt.IsZero() && !now.Before(r.graceUntil) {
			delete(r.entries, name)
			changed = true
		}
	}
	return changed
}

// List returns the endpoints in the order of their IDs.
func (r *Registry) List() []Endpoint {
	out := make([]Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}
