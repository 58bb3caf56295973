package fleet

import (
	"reflect"
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
	Name     string    `cbor:"1,keyasint"`
	Version  int64     `cbor:"2,keyasint"`
	Endpoint *Endpoint `cbor:"3,keyasint"`
}

// Registry holds the registered endpoints. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	// gone holds, for names whose entry was removed, the version of the store at
	// which it was missing. A reader that goes on after a pause, while others told
	// this registry, repeats older changes.
	gone       map[string]int64
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
		gone:    make(map[string]int64),
	}
}

// maxGone bounds the names of removed entries that are remembered: those of
// several hours at 2,600 endpoints.
const maxGone = 4096

// Recovered notes that the store answers again after an outage, during which
// entries may have expired although their endpoints live.
func (r *Registry) Recovered(now time.Time) { r.graceUntil = now.Add(returnGrace) }

// Version is that of the store at the last change of what List returns.
func (r *Registry) Version() int64 { return r.version }

// Apply takes over changes as of a version of the store. With complete set,
// endpoints that are not named have no entry any more. It reports whether List
// has changed.
func (r *Registry) Apply(now time.Time, changes []Change, version int64, complete bool) bool {
	changed := false
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		named[c.Name] = true
		if r.change(now, c) {
			changed = true
		}
	}
	if complete {
		for name := range r.entries {
			if !named[name] && r.remove(now, name, version) {
				changed = true
			}
		}
	}
	if changed {
		r.version = max(r.version+1, version)
	}
	return changed
}

func (r *Registry) change(now time.Time, c Change) bool {
	e := r.entries[c.Name]
	switch {
	case e != nil && c.Version < e.version:
		// Another reader has told of a later state.
		return false
	case c.Endpoint == nil:
		return r.remove(now, c.Name, c.Version)
	case e == nil && c.Version <= r.gone[c.Name]:
		return false
	case e == nil:
		delete(r.gone, c.Name)
		r.entries[c.Name] = &entry{
			endpoint: *c.Endpoint,
			version:  c.Version,
		}
		return true
	case c.Endpoint.Born < e.endpoint.Born:
		// A late write of an earlier incarnation changes nothing.
		return false
	}
	changed := !reflect.DeepEqual(e.endpoint, *c.Endpoint)
	e.endpoint, e.version, e.missingAt = *c.Endpoint, c.Version, time.Time{}
	return changed
}

func (r *Registry) remove(now time.Time, name string, version int64) bool {
	e := r.entries[name]
	if e == nil {
		return false
	}
	if now.Before(r.graceUntil) && !e.endpoint.Leaving {
		if e.missingAt.IsZero() {
			e.missingAt = now
		}
		return false
	}
	delete(r.entries, name)
	r.forget(name, version)
	return true
}

// forget remembers that an entry is gone, and drops the oldest such memory.
func (r *Registry) forget(name string, version int64) {
	r.gone[name] = max(r.gone[name], version)
	if len(r.gone) <= maxGone {
		return
	}
	oldest := name
	for n, v := range r.gone {
		if v < r.gone[oldest] {
			oldest = n
		}
	}
	delete(r.gone, oldest)
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
	if changed {
		r.version++
	}
	return changed
}

// Changes returns all entries as changes, for another registry.
func (r *Registry) Changes() []Change {
	out := make([]Change, 0, len(r.entries))
	for name, e := range r.entries {
		end := e.endpoint
		out = append(out, Change{
			Name:     name,
			Version:  e.version,
			Endpoint: &end,
		})
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return out
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
