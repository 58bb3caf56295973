package feed

import (
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// ErrGap means that revisions between the held and the offered one are missing.
var ErrGap = errors.New("feed: revisions are missing before this one")

// keep is the number of changes that a view keeps for nodes that lag and for
// rebasing. At 3,600 changes a day it covers three hours.
const keep = 512

// State is the configuration at one revision with the changes that led to it.
// It never changes and may be shared.
type State struct {
	Config *spec.Config
	recent []Entry
}

// Revision returns the revision of the configuration.
func (s State) Revision() int64 { return s.Config.Revision }

// After returns the kept entries above revision, and false when some of them
// are no longer kept.
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

func (s State) next(e Entry) State {
	recent := s.recent
	if len(recent) >= 2*keep {
		recent = slices.Clone(recent[len(recent)-keep:])
	}
	// Earlier states share the array; each sees only its own length of it.
	return State{Config: s.Config.Replay(*e.change), recent: append(recent, e)}
}

// Read is what a read of the table or an answer of a relay showed.
type Read struct {
	// Snapshot is a whole configuration, set where Entries do not reach back to
	// the revision held.
	Snapshot *spec.Config
	Entries  []Entry
	// At is a time, on the reader's clock, at which no revision above Latest
	// existed. Zero when the read did not show that.
	At     time.Time
	Latest int64
	// QuietAt is a time at which no node of any domain had read or written a
	// revision above QuietLatest. Zero when unknown.
	QuietAt     time.Time
	QuietLatest int64
}

// View is a node's copy of the configuration. It is not safe for concurrent
// use; the control loop owns it.
type View struct {
	state State
	asOf  time.Time
	quiet time.Time
	known int64
}

// NewView returns a view that holds revision 0.
func NewView() *View {
	return &View{state: State{Config: spec.New()}}
}

// State returns what the view holds.
func (v *View) State() State { return v.state }

// Config returns the configuration held.
func (v *View) Config() *spec.Config { return v.state.Config }

// Revision returns the revision held.
func (v *View) Revision() int64 { return v.state.Revision() }

// Known returns the highest revision that the node has heard of.
func (v *View) Known() int64 { return max(v.known, v.Revision()) }

// Heard notes that a revision exists.
func (v *View) Heard(revision int64) { v.known = max(v.known, revision) }

// AsOf returns a time, no later than the instant of a platform read that showed
// no revision above the one held. It is zero when there was none.
func (v *View) AsOf() time.Time { return v.asOf }

// FreshAt returns the latest time at which no revision above the one held can
// have been acknowledged to an operator: by the platform's word (AsOf) or by
// the word of all domains.
func (v *View) FreshAt() time.Time {
	if v.quiet.After(v.asOf) {
		return v.quiet
	}
	return v.asOf
}

// Quiet notes that at the time at no node of any domain had read or written a
// revision above latest.
func (v *View) Quiet(at time.Time, latest int64) {
	v.Heard(latest)
	if v.Revision() >= latest && at.After(v.quiet) {
		v.quiet = at
	}
}

// Take applies what a read showed and reports whether the configuration
// changed. Only higher revisions are applied, and only in order.
func (v *View) Take(r Read) (changed bool, err error) {
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
			v.Heard(e.Revision)
			err = ErrGap
			break
		}
		v.state = v.state.next(e)
	}
	if !r.At.IsZero() {
		v.Heard(r.Latest)
		// The read says nothing of the configuration held while that lags
		// behind what the read showed.
		if v.Revision() >= r.Latest && r.At.After(v.asOf) {
			v.asOf = r.At
		}
	}
	if !r.QuietAt.IsZero() {
		v.Quiet(r.QuietAt, r.QuietLatest)
	}
	return v.Revision() != before, err
}
