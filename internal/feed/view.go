package feed

import (
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// ErrGap means that the revisions between the held and the received one are
// missing.
var ErrGap = errors.New("feed: revisions are missing before this one")

// retainedChanges is the minimum number of recent changes that a view retains
// for nodes that lag and for conflict checks in Append. At 3,600 changes a day it
// covers three hours.
const retainedChanges = 512

// State is the configuration at one revision and the recent changes that led to
// it. It is immutable and may be shared.
type State struct {
	Config *spec.Config
	recent []Entry
}

// Revision returns the revision of the configuration.
func (s State) Revision() int64 { return s.Config.Revision }

// After returns the entries above revision, or false when some of them are no
// longer retained.
func (s State) After(revision int64) ([]Entry, bool) {
	if revision >= s.Revision() {
		return nil, true
	}
	missing := s.Revision() - revision
	if missing > int64(len(s.recent)) {
		return nil, false
	}
	return s.recent[int64(len(s.recent))-missing:], true
}

func (s State) withEntry(e Entry) State {
	recent := s.recent
	if len(recent) >= 2*retainedChanges {
		recent = slices.Clone(recent[len(recent)-retainedChanges:])
	}
	// Earlier states share the backing array; each one's length ends before the
	// new entry.
	return State{Config: s.Config.Replay(*e.change), recent: append(recent, e)}
}

// Read is the result of a read of the table or of an answer of a relay.
type Read struct {
	// Snapshot is a whole configuration, set where Entries do not reach back to
	// the revision held.
	Snapshot *spec.Config
	Entries  []Entry
	// TableAsOf is a time, on the reader's clock, at which no revision above
	// TableLatest existed. It is zero when unknown.
	TableAsOf   time.Time
	TableLatest int64
	// OddKey is the key of a row among the revisions that holds none, if there is one.
	OddKey string
	// FleetAsOf is a time at which no node of any domain had read or written a
	// revision above FleetHighest. Zero when unknown.
	FleetAsOf    time.Time
	FleetHighest int64
}

// View is a node's copy of the configuration. It is not safe for concurrent
// use; the control loop owns it.
type View struct {
	state     State
	asOf      time.Time
	fleetAsOf time.Time
	known     int64
}

// NewView returns a view of the empty configuration, revision 0.
func NewView() *View {
	return &View{state: State{Config: spec.New()}}
}

// State returns the current state, which stays valid while the view changes.
func (v *View) State() State { return v.state }

// Config returns the current configuration.
func (v *View) Config() *spec.Config { return v.state.Config }

// Revision returns the revision of the current configuration.
func (v *View) Revision() int64 { return v.state.Revision() }

// Known returns the highest revision that is known to exist. It may be above the
// one held.
func (v *View) Known() int64 { return max(v.known, v.Revision()) }

// RecordKnown records that a revision exists.
func (v *View) RecordKnown(revision int64) { v.known = max(v.known, revision) }

// AsOf returns a time no later than the last read of the table that showed no
// revision above the one held. It is zero when there was no such read.
func (v *View) AsOf() time.Time { return v.asOf }

// FreshAt returns the latest time at which no revision above the one held can
// have been acknowledged to an operator, according to the platform's table (see
// AsOf) or to the states of all domains.
func (v *View) FreshAt() time.Time {
	if v.fleetAsOf.After(v.asOf) {
		return v.fleetAsOf
	}
	return v.asOf
}

// RecordFleetHighest records that at time at no node of any domain had read or
// written a revision above latest.
func (v *View) RecordFleetHighest(at time.Time, latest int64) {
	v.RecordKnown(latest)
	if v.Revision() >= latest && at.After(v.fleetAsOf) {
		v.fleetAsOf = at
	}
}

// Apply applies the result of a read and reports whether the configuration
// changed. Only higher revisions are applied, and only in order.
func (v *View) Apply(r Read) (changed bool, err error) {
	before := v.Revision()
	if r.Snapshot != nil && r.Snapshot.Revision > before {
		v.state = State{Config: r.Snapshot}
	}
	for i := range r.Entries {
		e := r.Entries[i]
		if e.Revision <= v.Revision() {
			continue
		}
		if err = e.Validate(); err != nil {
			break
		}
		if e.Revision != v.Revision()+1 {
			v.RecordKnown(e.Revision)
			err = ErrGap
			break
		}
		v.state = v.state.withEntry(e)
	}
	if !r.TableAsOf.IsZero() {
		v.RecordKnown(r.TableLatest)
		// The time applies only to a view that has reached the latest revision
		// of the read.
		if v.Revision() >= r.TableLatest && r.TableAsOf.After(v.asOf) {
			v.asOf = r.TableAsOf
		}
	}
	if !r.FleetAsOf.IsZero() {
		v.RecordFleetHighest(r.FleetAsOf, r.FleetHighest)
	}
	return v.Revision() != before, err
}
