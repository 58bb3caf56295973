// Package health holds what engines say of themselves: that they leave, that they want no
// requests for a time, and how many requests per second they take from all nodes together. It answers one question, whether an engine is usable for
// a new request now, and if not, why and until when.
//
// Evidence comes from answers to requests and orders, from reports, from the list of
// endpoints and from other nodes. Each statement is about one incarnation of an engine,
// never about an address, since addresses are used again. An engine's own word that it
// leaves stays in force until another incarnation appears: a list that says otherwise
// may be older. A time without requests ends by itself and is known to this node only.
//
// The package has no goroutine, no clock and no network.
package health

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

const (
	// maxRecords bounds the engines with evidence. The largest deployment has 2,600.
	maxRecords = 4096
	// unlistedFor is how long evidence about an engine is kept after it has left the
	// list. An entry that a restored store brings back within this time does not make
	// the engine usable again.
	unlistedFor = 10 * time.Minute
)

// Source is where evidence comes from.
type Source string

// The sources.
const (
	// Answer is the engine's answer to a request or an order.
	Answer Source = "answer"
	// Report is the engine's report of its state.
	Report Source = "report"
	// List is the list of endpoints.
	List Source = "list"
	// Peer is another node that has heard the engine.
	Peer Source = "peer"
)

// Reason is why an engine is not usable.
type Reason string

// The reasons.
const (
	Leaving Reason = "leaving"
	Closed  Reason = "closed"
)

// Verdict is the answer to the question whether an engine is usable for a new request.
type Verdict struct {
	Usable bool
	// Reason, Since and Source describe the evidence if the engine is not usable.
	Reason Reason
	Since  time.Time
	Source Source
	// Until is when the engine is usable again, zero if it leaves.
	Until time.Time
	// IsLimited is set if the engine takes a limited rate of requests from all nodes
	// together; LimitNamed is when it was last heard to say so.
	IsLimited  bool
	LimitNamed time.Time
}

// String describes the verdict for logs.
func (v Verdict) String() string {
	const clock = "15:04:05.000"
	switch v.Reason {
	case Leaving:
		return "leaves, heard at " + v.Since.Format(clock) + " from " + string(v.Source)
	case Closed:
		return "turns requests away until " + v.Until.Format(clock) + ", said at " + v.Since.Format(clock)
	}
	return "is usable"
}

// ClosedError means that every engine that could serve a request wants none of this node
// for a time.
type ClosedError struct {
	// Engine is the one that takes requests again first, at Until.
	Engine fleet.Key
	Until  time.Time
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "health: all engines turn requests away, " + e.Engine.ID + " for the shortest time"
}

// record is the evidence about an engine. A record that a snapshot holds is not changed.
type record struct {
	incarnation int64
	// saidLeaving is when the engine itself was first heard to leave, zero if it was not.
	saidLeaving time.Time
	saidBy      Source
	// listedLeaving is since when the list says that the engine leaves, zero if it does
	// not.
	listedLeaving time.Time
	// closedUntil is the deadline that the engine named for this node, closedAt when it
	// did.
	closedUntil time.Time
	closedAt    time.Time
	limit       limitRecord
	// unlistedSince is when the engine left the list, zero while it is listed.
	unlistedSince time.Time
}

func (r *record) isEmpty(now time.Time) bool {
	return r.saidLeaving.IsZero() && r.listedLeaving.IsZero() && !now.Before(r.closedUntil) && !r.limit.isKept(now)
}

// Table holds the evidence about all engines. It is safe for concurrent use; Ask takes
// no lock.
type Table struct {
	records atomic.Pointer[map[string]record]
	// version counts the changes of which engines leave, limitVersion those of limits.
	version      atomic.Int64
	limitVersion atomic.Int64

	mu     sync.Mutex // held while records is replaced
	listed map[string]int64
}

// New returns a table without evidence.
func New() *Table {
	t := &Table{}
	t.records.Store(&map[string]record{})
	return t
}

// Version returns a number that changes whenever an engine begins or ceases to leave.
func (t *Table) Version() int64 { return t.version.Load() }

// IsEmpty reports whether there is no evidence about any engine, so that all are usable.
func (t *Table) IsEmpty() bool { return len(*t.records.Load()) == 0 }

// Ask reports whether an incarnation of an engine is usable for a new request at now.
// Evidence about a later incarnation under the same id holds too: the earlier one has
// ended.
func (t *Table) Ask(now time.Time, key fleet.Key) Verdict {
	records := *t.records.Load()
	if len(records) == 0 {
		return Verdict{Usable: true}
	}
	r, ok := records[key.ID]
	if !ok || r.incarnation < key.Incarnation {
		return Verdict{Usable: true}
	}
	switch {
	case !r.saidLeaving.IsZero():
		return Verdict{
			Reason: Leaving,
			Since:  r.saidLeaving,
			Source: r.saidBy,
		}
	case !r.listedLeaving.IsZero():
		return Verdict{
			Reason: Leaving,
			Since:  r.listedLeaving,
			Source: List,
		}
	case now.Before(r.closedUntil):
		return Verdict{
			Reason: Closed,
			Since:  r.closedAt,
			Source: Answer,
			Until:  r.closedUntil,
		}
	}
	return Verdict{
		Usable:     true,
		IsLimited:  r.incarnation == key.Incarnation && r.limit.isInForce(),
		LimitNamed: r.limit.namedAt,
	}
}

// SetLeaving records that an engine was heard at the given time to say that it leaves.
// It reports whether that is new.
func (t *Table) SetLeaving(at time.Time, key fleet.Key, from Source) bool {
	changed := false
	t.change(at, key, func(r *record) {
		if r.saidLeaving.IsZero() {
			r.saidLeaving, r.saidBy, changed = at, from, true
		}
	})
	return changed
}

// SetClosed records that an engine wants no requests of this node until a deadline. An
// earlier deadline does not replace a later one.
func (t *Table) SetClosed(now time.Time, key fleet.Key, until time.Time) {
	t.change(now, key, func(r *record) {
		if until.After(r.closedUntil) {
			r.closedUntil, r.closedAt = until, now
		}
	})
}

// change applies f to the record of an engine, unless a later incarnation is known.
func (t *Table) change(now time.Time, key fleet.Key, f func(*record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.records.Load()
	before, known := old[key.ID]
	if known && before.incarnation > key.Incarnation || !known && t.listed[key.ID] > key.Incarnation {
		return
	}
	r := before
	if !known || r.incarnation < key.Incarnation {
		r = record{
			incarnation: key.Incarnation,
		}
		if _, listed := t.listed[key.ID]; !listed {
			r.unlistedSince = now
		}
	}
	f(&r)
	if known && r == before {
		return
	}
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(_ string, r record) bool { return r.isEmpty(now) })
	next[key.ID] = r
	if len(next) > maxRecords {
		drop(now, next, key.ID)
	}
	t.replace(old, next)
}

// replace makes next visible to Ask. The caller holds the lock.
func (t *Table) replace(old, next map[string]record) {
	t.records.Store(&next)
	t.countLimitChange(old, next)
	leaves := func(r record) bool { return !r.saidLeaving.IsZero() || !r.listedLeaving.IsZero() }
	for id, r := range next {
		if leaves(r) != leaves(old[id]) || leaves(r) && r.incarnation != old[id].incarnation {
			t.version.Add(1)
			return
		}
	}
	for id, r := range old {
		if _, ok := next[id]; !ok && leaves(r) {
			t.version.Add(1)
			return
		}
	}
}

// drop removes the record that matters least: one without evidence in force, or else
// that of the engine that left the list first, or else the one that ends first.
func drop(now time.Time, records map[string]record, except string) {
	rank := func(r record) (int, time.Time) {
		switch {
		case r.isEmpty(now):
			return 0, r.closedUntil
		case !r.unlistedSince.IsZero():
			return 1, r.unlistedSince
		case r.saidLeaving.IsZero():
			return 2, r.closedUntil
		}
		return 3, r.saidLeaving
	}
	least := ""
	for id, r := range records {
		if id == except {
			continue
		}
		if least == "" {
			least = id
			continue
		}
		a, at := rank(r)
		b, bt := rank(records[least])
		if a < b || a == b && at.Before(bt) {
			least = id
		}
	}
	delete(records, least)
}

// SetList applies the list of endpoints. It drops evidence about former incarnations and
// about engines that left the list some time ago.
func (t *Table) SetList(now time.Time, list []fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.records.Load()
	t.listed = make(map[string]int64, len(list))
	next := maps.Clone(old)
	for i := range list {
		e := &list[i]
		t.listed[e.ID] = e.Incarnation
		r, known := next[e.ID]
		if known && r.incarnation > e.Incarnation {
			// The entry is older than what the engine or a peer has said.
			r.unlistedSince = time.Time{}
			next[e.ID] = r
			continue
		}
		if !known || r.incarnation < e.Incarnation {
			r = record{
				incarnation: e.Incarnation,
			}
		}
		r.unlistedSince = time.Time{}
		switch {
		case !e.Leaving:
			r.listedLeaving = time.Time{}
		case r.listedLeaving.IsZero():
			r.listedLeaving = now
		}
		if r.isEmpty(now) {
			delete(next, e.ID)
			continue
		}
		next[e.ID] = r
	}
	for id, r := range next {
		if _, listed := t.listed[id]; listed {
			continue
		}
		if r.unlistedSince.IsZero() {
			r.unlistedSince = now
			next[id] = r
		}
		if r.isEmpty(now) || now.Sub(r.unlistedSince) >= unlistedFor {
			delete(next, id)
		}
	}
	for len(next) > maxRecords {
		drop(now, next, "")
	}
	t.replace(old, next)
}
