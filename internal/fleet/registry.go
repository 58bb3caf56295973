package fleet

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/store"
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
	// removed holds the entries that were removed. It rejects older changes, which a
	// reader delivers when it resumes after a pause in which other nodes updated the
	// registry, and entries that only a copy of the store still has.
	removed    map[string]removal
	version    int64
	graceUntil time.Time
	ignored    []Ignored
}

// Ignored is a change that was not applied, and the version that was known instead.
type Ignored struct {
	Name    string
	Version int64
	Known   int64
}

// removal is the end of an entry.
type removal struct {
	version     int64 // of the store at which the entry was missing
	incarnation int64
	// leaving is set if the endpoint had announced that it leaves. This incarnation does
	// not return.
	leaving bool
}

type entry struct {
	endpoint     Endpoint
	version      int64
	missingSince time.Time // when the entry was found missing during the grace
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries: make(map[string]*entry),
		removed: make(map[string]removal),
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

// maxRemoved limits the size of Registry.removed. It suffices for several
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
	r.enterEra(now, version)
	effect := unchanged
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		named[c.Name] = true
		if !r.onlyInCopy(c) {
			effect = max(effect, r.applyChange(now, c))
		}
	}
	return r.finish(now, named, version, complete, effect)
}

// enterEra begins the grace for missing entries with the first version of a new era of
// the store, and moves the version of the list into that era, so that lists of the former
// one are no longer newer.
func (r *Registry) enterEra(now time.Time, version int64) {
	if r.version == 0 || store.Era(version) <= store.Era(r.version) {
		return
	}
	r.graceUntil = now.Add(missingGrace)
	r.version = version
}

// onlyInCopy reports whether a change may only repeat what the store had before it was
// restored from a copy: its entry was removed since. A running endpoint writes again.
func (r *Registry) onlyInCopy(c Change) bool {
	gone, ok := r.removed[c.Name]
	if !ok || c.Endpoint == nil || r.entries[c.Name] != nil || c.Endpoint.Incarnation > gone.incarnation || store.Era(c.Version) <= store.Era(gone.version) {
		return false
	}
	gone.version = c.Version
	r.removed[c.Name] = gone
	r.recordIgnored(c, gone.version)
	return true
}

// finish removes the entries that a complete list does not name, and sets the version.
func (r *Registry) finish(now time.Time, named map[string]bool, version int64, complete bool, effect effect) bool {
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
	r.enterEra(now, version)
	effect := unchanged
	named := make(map[string]bool, len(changes))
	for _, c := range changes {
		named[c.Name] = true
		effect = max(effect, r.applyChange(now, c))
	}
	changed := r.finish(now, named, version, true, effect)
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
	case e == nil && c.Version <= r.removed[c.Name].version:
		r.recordIgnored(c, r.removed[c.Name].version)
		return unchanged
	case e == nil && r.removed[c.Name].leaving && c.Endpoint.Incarnation <= r.removed[c.Name].incarnation:
		r.recordIgnored(c, r.removed[c.Name].version)
		return unchanged
	case e == nil:
		delete(r.removed, c.Name)
		r.entries[c.Name] = &entry{
			endpoint: *c.Endpoint,
			version:  c.Version,
		}
		return listChanged
	case c.Endpoint.Incarnation < e.endpoint.Incarnation:
		// Ignore a delayed write of an earlier incarnation.
		return unchanged
	}
	after := *c.Endpoint
	// An endpoint that leaves does not change its mind; the entry is older than its version.
	after.Leaving = after.Leaving || e.endpoint.Leaving && after.Incarnation == e.endpoint.Incarnation
	effect := changeEffect(e.endpoint, after)
	e.endpoint, e.version, e.missingSince = after, c.Version, time.Time{}
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
	r.recordRemoval(name, removal{
		version:     version,
		incarnation: e.endpoint.Incarnation,
		leaving:     e.endpoint.Leaving,
	})
	return true
}

// recordRemoval records the removal of an entry. If there are more than maxRemoved such
// records, it drops the oldest.
func (r *Registry) recordRemoval(name string, gone removal) {
	gone.version = max(gone.version, r.removed[name].version)
	r.removed[name] = gone
	if len(r.removed) <= maxRemoved {
		return
	}
	oldest := name
	for n, g := range r.removed {
		if g.version < r.removed[oldest].version {
			oldest = n
		}
	}
	delete(r.removed, oldest)
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
