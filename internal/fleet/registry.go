package fleet

import (
	"reflect"
	"slices"
	"strings"
	"time"
)

// missingGrace is how long endpoints without an entry are still used after an
// outage of the store. Running endpoints write their entries again within 2 s;
// the rest covers the delay of the change feed.
const missingGrace = 2300 * time.Millisecond

// Change is a change of one endpoint's entry in the store. Endpoint is nil if the
// entry was removed or cannot be decoded.
type Change struct {
	Name     string    `cbor:"1,keyasint"`
	Version  int64     `cbor:"2,keyasint"`
	Endpoint *Endpoint `cbor:"3,keyasint"`
}

// Registry holds the registered endpoints. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	// removedVersions maps the names of removed entries to the version of the
	// store at which they were missing. It rejects older changes, which a reader
	// delivers when it resumes after a pause in which other nodes updated the
	// registry.
	removedVersions map[string]int64
	version         int64
	graceUntil      time.Time
	ignored         []Ignored
}

// Ignored is a change that was not applied, and the version that was known instead.
type Ignored struct {
	Name    string
	Version int64
	Known   int64
}

type entry struct {
	endpoint     Endpoint
	version      int64
	missingSince time.Time // when the entry was found missing during the grace
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries:         make(map[string]*entry),
		removedVersions: make(map[string]int64),
	}
}

// maxIgnored limits the number of ignored changes that are kept for the log.
const maxIgnored = 4

// TakeIgnored returns some of the changes that were ignored since the last call because
// of their versions.
func (r *Registry) TakeIgnored() []Ignored {
	out := r.ignored
	r.ignored = nil
	return out
}

func (r *Registry) recordIgnored(c Change, known int64) {
	if len(r.ignored) < maxIgnored {
		r.ignored = append(r.ignored, Ignored{
			Name:    c.Name,
			Version: c.Version,
			Known:   known,
		})
	}
}

// maxRemoved limits the size of Registry.removedVersions. It suffices for several
// hours with 2,600 endpoints.
const maxRemoved = 4096

// StoreRecovered records that the store answers again after an outage, in which
// the entries of running endpoints may have expired.
func (r *Registry) StoreRecovered(now time.Time) { r.graceUntil = now.Add(missingGrace) }

// Version returns the version of the list for other nodes. It increases when an
// endpoint is added or removed or changes other than in what it holds, and is at
// least the store's version at the last such change from the store. What engines
// hold changes with each order, and other nodes learn it from reports of load.
func (r *Registry) Version() int64 { return r.version }

// Apply applies changes as of a version of the store. If complete is set, changes
// contains all entries, and others are removed. It reports whether the result of
// List has changed, which includes changes that leave Version as it is.
func (r *Registry) Apply(now time.Time, changes []Change, version int64, complete bool) bool {
	effect := unchanged
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		named[c.Name] = true
		effect = max(effect, r.applyChange(now, c))
	}
	if complete {
		for name := range r.entries {
			if !named[name] && r.remove(now, name, version) {
				effect = listChanged
			}
		}
	}
	if effect == listChanged {
		r.version = max(r.version+1, version)
	}
	return effect != unchanged
}

// Adopt applies another node's complete list with its version. Unlike after Apply, the
// registry has at least that version even if nothing has changed, so the list is not
// fetched again.
func (r *Registry) Adopt(now time.Time, changes []Change, version int64) bool {
	changed := r.Apply(now, changes, version, true)
	r.version = max(r.version, version)
	return changed
}

// effect is what a change of an entry alters. Higher values include lower ones.
type effect int

const (
	unchanged effect = iota
	holdingsChanged
	listChanged
)

// changeEffect compares two entries of an endpoint.
func changeEffect(before, after Endpoint) effect {
	if reflect.DeepEqual(before, after) {
		return unchanged
	}
	before.Models = after.Models
	if reflect.DeepEqual(before, after) {
		return holdingsChanged
	}
	return listChanged
}

func (r *Registry) applyChange(now time.Time, c Change) effect {
	e := r.entries[c.Name]
	switch {
	case e != nil && c.Version < e.version:
		// The registry already has a later version from another reader.
		r.recordIgnored(c, e.version)
		return unchanged
	case c.Endpoint == nil && r.remove(now, c.Name, c.Version):
		return listChanged
	case c.Endpoint == nil:
		return unchanged
	case e == nil && c.Version <= r.removedVersions[c.Name]:
		r.recordIgnored(c, r.removedVersions[c.Name])
		return unchanged
	case e == nil:
		delete(r.removedVersions, c.Name)
		r.entries[c.Name] = &entry{
			endpoint: *c.Endpoint,
			version:  c.Version,
		}
		return listChanged
	case c.Endpoint.Incarnation < e.endpoint.Incarnation:
		// Ignore a delayed write of an earlier incarnation.
		return unchanged
	}
	effect := changeEffect(e.endpoint, *c.Endpoint)
	e.endpoint, e.version, e.missingSince = *c.Endpoint, c.Version, time.Time{}
	return effect
}

func (r *Registry) remove(now time.Time, name string, version int64) bool {
	e := r.entries[name]
	if e == nil {
		return false
	}
	if now.Before(r.graceUntil) && !e.endpoint.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		return false
	}
	delete(r.entries, name)
	r.recordRemoval(name, version)
	return true
}

// recordRemoval records the version at which an entry was removed. If there are
// more than maxRemoved such records, it drops the oldest.
func (r *Registry) recordRemoval(name string, version int64) {
	r.removedVersions[name] = max(r.removedVersions[name], version)
	if len(r.removedVersions) <= maxRemoved {
		return
	}
	oldest := name
	for n, v := range r.removedVersions {
		if v < r.removedVersions[oldest] {
			oldest = n
		}
	}
	delete(r.removedVersions, oldest)
}

// Expire removes the endpoints whose entries are still missing at the end of the
// grace period. It reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for name, e := range r.entries {
		if !e.missingSince.IsZero() && !now.Before(r.graceUntil) {
			delete(r.entries, name)
			changed = true
		}
	}
	if changed {
		r.version++
	}
	return changed
}

// Changes returns all entries as changes, to be applied to another registry.
func (r *Registry) Changes() []Change {
	out := make([]Change, 0, len(r.entries))
	for name, e := range r.entries {
		endpoint := e.endpoint
		out = append(out, Change{
			Name:     name,
			Version:  e.version,
			Endpoint: &endpoint,
		})
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// List returns the endpoints sorted by ID.
func (r *Registry) List() []Endpoint {
	out := make([]Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}
