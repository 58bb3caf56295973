package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// snapshotEvery bounds the rows that a starting node reads.
	snapshotEvery = 256
	// pageRows is the number of rows read at once.
	pageRows = 256
	// insertTries bounds the attempts of one Append, against lost answers and
	// against operators that take the revision first.
	insertTries = 16
)

// Refused means that the change was not made, for the reasons given.
type Refused struct {
	Findings spec.Findings
}

// Error implements error.
func (r *Refused) Error() string { return "change refused:\n" + r.Findings.Error() }

// Conflict means that the change was not made because another one, accepted
// after its base, puts or deletes the same item.
type Conflict struct {
	// Revision is the one that won, made by Author with operation OpID.
	Revision int64
	Author   string
	OpID     string
	Item     spec.Ref
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("change refused: revision %d by %s changed %s first", c.Revision, c.Author, c.Item)
}

// Unavailable means that this attempt had no effect. It says nothing of earlier
// attempts with the same operation id.
type Unavailable struct {
	Err error
}

// Error implements error.
func (u *Unavailable) Error() string { return "configuration log unavailable: " + u.Err.Error() }

// Unwrap implements the interface of package errors.
func (u *Unavailable) Unwrap() error { return u.Err }

// Unknown means that the change may have been made or may still be. A repeat
// with the same operation id settles it and makes the change at most once.
type Unknown struct {
	OpID string
	Err  error
}

// Error implements error.
func (u *Unknown) Error() string {
	return fmt.Sprintf("outcome of operation %s unknown: %v", u.OpID, u.Err)
}

// Unwrap implements the interface of package errors.
func (u *Unknown) Unwrap() error { return u.Err }

// Log reads and extends the log on the platform. It has no state of its own and
// is safe for concurrent use.
type Log struct {
	table   store.Table
	objects store.Objects
	clock   clock.Clock
	// every is the number of revisions from snapshot to snapshot.
	every int64
}

// NewLog returns a Log on the platform's table and objects.
func NewLog(table store.Table, objects store.Objects, c clock.Clock) *Log {
	return &Log{table: table, objects: objects, clock: c, every: snapshotEvery}
}

// Poll reads the revisions above held, at most one page of them. At is set when
// the read showed that there are no more.
func (l *Log) Poll(ctx context.Context, held int64) (Read, error) {
	before := l.clock.Now()
	rows, err := l.table.Scan(ctx, rowPrefix, rowKey(held), pageRows)
	if err != nil {
		return Read{}, fmt.Errorf("feed: read revisions above %d: %w", held, err)
	}
	r := Read{Latest: held}
	for _, row := range rows {
		n, err := revisionOf(row.Key)
		if err != nil {
			return Read{}, err
		}
		e := Entry{Revision: n, Row: row.Value}
		if n != r.Latest+1 {
			return r, ErrGap
		}
		if err := e.Validate(); err != nil {
			return r, err
		}
		r.Entries = append(r.Entries, e)
		r.Latest = n
	}
	if len(rows) < pageRows {
		r.At = before
	}
	return r, nil
}

// pollAll polls until there are no more revisions.
func (l *Log) pollAll(ctx context.Context, held int64) (Read, error) {
	all, err := l.Poll(ctx, held)
	for err == nil && all.At.IsZero() {
		var more Read
		more, err = l.Poll(ctx, all.Latest)
		all.Entries = append(all.Entries, more.Entries...)
		all.Latest, all.At = max(all.Latest, more.Latest), more.At
	}
	return all, err
}

type snapshotPlace struct {
	Revision int64  `json:"revision"`
	Object   string `json:"object"`
}

// Start reads the newest snapshot and the rows after it. Rows are never
// deleted, so a snapshot that cannot be used only costs time.
func (l *Log) Start(ctx context.Context) (Read, error) {
	c, err := l.loadSnapshot(ctx)
	if err != nil {
		return Read{}, err
	}
	held := int64(0)
	if c != nil {
		held = c.Revision
	}
	r, err := l.pollAll(ctx, held)
	if err != nil {
		return Read{}, err
	}
	r.Snapshot = c
	return r, nil
}

// loadSnapshot returns nil when there is no usable snapshot.
func (l *Log) loadSnapshot(ctx context.Context) (*spec.Config, error) {
	row, err := l.table.Get(ctx, snapshotRow)
	if errors.Is(err, store.ErrAbsent) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("feed: read the place of the snapshot: %w", err)
	}
	var p snapshotPlace
	if json.Unmarshal(row.Value, &p) != nil {
		return nil, nil
	}
	data, err := l.objects.Get(ctx, p.Object)
	if errors.Is(err, store.ErrAbsent) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("feed: read snapshot %s: %w", p.Object, err)
	}
	c, err := decodeSnapshot(data)
	if err != nil || c.Revision != p.Revision {
		return nil, nil
	}
	return c, nil
}

// Snapshot writes the configuration as the newest snapshot, unless there is a
// newer one.
func (l *Log) Snapshot(ctx context.Context, c *spec.Config) error {
	data, err := encodeSnapshot(c)
	if err != nil {
		return fmt.Errorf("feed: encode snapshot: %w", err)
	}
	p := snapshotPlace{Revision: c.Revision, Object: fmt.Sprintf("%s/%012d", snapshotRow, c.Revision)}
	if err := l.objects.Put(ctx, p.Object, data); err != nil {
		return fmt.Errorf("feed: write snapshot %s: %w", p.Object, err)
	}
	value, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("feed: encode the place of the snapshot: %w", err)
	}
	row, err := l.table.Get(ctx, snapshotRow)
	if errors.Is(err, store.ErrAbsent) {
		_, err = l.table.Insert(ctx, snapshotRow, value)
	} else if err == nil {
		var had snapshotPlace
		if json.Unmarshal(row.Value, &had) == nil && had.Revision >= p.Revision {
			return nil
		}
		_, err = l.table.Update(ctx, snapshotRow, value, row.Version)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("feed: write the place of snapshot %d: %w", p.Revision, err)
	}
	return nil
}

// Appended is the outcome of Append.
type Appended struct {
	// Revision is the one that holds the change.
	Revision int64
	// Repeated is set when an earlier attempt had already made the change.
	Repeated bool
	// Unspread is set by the node that appended when it acknowledges the change
	// before Spread is done.
	Unspread bool
	// SnapshotErr tells why a due snapshot was not written. The next one is
	// tried 256 revisions later.
	SnapshotErr error
}

// Append adds a change to the log. from is what the node holds. The error is
// *Refused, *Conflict, *Unavailable or *Unknown. The Read holds the revisions
// that were seen on the way, also when there is an error; the node takes it
// before it answers the operator.
func (l *Log) Append(ctx context.Context, from State, c spec.Change) (Appended, Read, error) {
	// The view goes on appending to its own list meanwhile.
	from.recent = slices.Clip(from.recent)
	a := appending{log: l, change: c, state: from}
	if f := c.Check(); len(f) > 0 {
		return Appended{}, Read{}, &Refused{Findings: f}
	}
	done, err := a.run(ctx)
	a.read.Latest = a.state.Revision()
	if err == nil && !done.Repeated && done.Revision%l.every == 0 {
		done.SnapshotErr = l.Snapshot(ctx, a.state.Config)
	}
	return done, a.read, err
}

// appending is one Append under way.
type appending struct {
	log    *Log
	change spec.Change
	state  State
	read   Read
	// scanned is the revision up to which the log was searched for the
	// operation and for conflicts.
	scanned int64
}

func (a *appending) run(ctx context.Context) (Appended, error) {
	// A refusal must hold for the newest revision: with an older one this node
	// could refuse what another node has already accepted for the same caller.
	if err := a.catchUp(ctx); err != nil {
		return Appended{}, &Unavailable{Err: err}
	}
	if a.change.Base > a.state.Revision() {
		return Appended{}, &Refused{Findings: spec.Findings{{
			Path: "base",
			Text: fmt.Sprintf("revision %d does not exist, the newest is %d", a.change.Base, a.state.Revision()),
		}}}
	}
	a.scanned = a.change.Base
	for range insertTries {
		done, err := a.search(ctx)
		if done.Revision != 0 || err != nil {
			return done, err
		}
		next, findings := a.state.Config.Apply(a.change)
		if len(findings) > 0 {
			return Appended{}, &Refused{Findings: findings}
		}
		e, err := newEntry(next.Revision, a.change)
		if err != nil {
			return Appended{}, &Refused{Findings: spec.Findings{{Text: err.Error()}}}
		}
		err = a.insert(ctx, e)
		switch {
		case err == nil:
			a.state = a.state.next(e)
			a.read.Entries = append(a.read.Entries, e)
			return Appended{Revision: e.Revision}, nil
		case errors.Is(err, store.ErrConflict):
			if err := a.catchUp(ctx); err != nil {
				// The row is taken, but by which operation is not known.
				return Appended{}, &Unknown{OpID: a.change.OpID, Err: err}
			}
		case errors.Is(err, store.ErrUnavailable):
			return Appended{}, &Unavailable{Err: err}
		default:
			return Appended{}, &Unknown{OpID: a.change.OpID, Err: err}
		}
	}
	return Appended{}, &Unavailable{Err: fmt.Errorf("feed: other changes came first %d times", insertTries)}
}

// catchUp reads the revisions above the one at hand.
func (a *appending) catchUp(ctx context.Context) error {
	r, err := a.log.pollAll(ctx, a.state.Revision())
	for _, e := range r.Entries {
		a.state = a.state.next(e)
		a.read.Entries = append(a.read.Entries, e)
	}
	if err == nil {
		a.read.At = r.At
	}
	return err
}

// search looks for the operation itself and for conflicts in the revisions that
// were not searched yet.
func (a *appending) search(ctx context.Context) (Appended, error) {
	entries, ok := a.state.After(a.scanned)
	if !ok {
		r, err := a.log.pollAll(ctx, a.scanned)
		if err != nil {
			return Appended{}, &Unavailable{Err: err}
		}
		entries = r.Entries
	}
	var conflict error
	for _, e := range entries {
		if e.Revision > a.state.Revision() {
			// It came after the last catchUp and is found when the insert fails.
			break
		}
		if e.change.OpID == a.change.OpID {
			if !sameContent(e.change, &a.change) {
				return Appended{}, &Refused{Findings: spec.Findings{{
					Path: "op-id",
					Text: fmt.Sprintf("%q was used for another change, in revision %d", a.change.OpID, e.Revision),
				}}}
			}
			return Appended{Revision: e.Revision, Repeated: true}, nil
		}
		if conflict == nil && e.change.Touches(&a.change) {
			conflict = &Conflict{Revision: e.Revision, Author: e.change.Author, OpID: e.change.OpID, Item: common(e.change, &a.change)}
		}
	}
	a.scanned = a.state.Revision()
	return Appended{}, conflict
}

// insert writes the row of a revision. After a lost answer it reads the row
// back; while the row is absent the write may still take effect, so that the
// same row is written again and no other revision is tried.
func (a *appending) insert(ctx context.Context, e Entry) error {
	var err error
	for try := range insertTries {
		if _, err = a.log.table.Insert(ctx, rowKey(e.Revision), e.Row); err == nil || errors.Is(err, store.ErrConflict) {
			return err
		}
		if errors.Is(err, store.ErrUnavailable) && try == 0 {
			return err
		}
		row, readErr := a.log.table.Get(ctx, rowKey(e.Revision))
		switch {
		case readErr == nil:
			found := Entry{Revision: e.Revision, Row: row.Value}
			if bad := found.Validate(); bad != nil {
				return bad
			}
			if found.change.OpID == a.change.OpID {
				return nil
			}
			return store.ErrConflict
		case !errors.Is(readErr, store.ErrAbsent):
			return lostAnswer{err: err}
		}
	}
	return lostAnswer{err: err}
}

// lostAnswer hides the kind of the error, so that it counts as unknown.
type lostAnswer struct{ err error }

func (l lostAnswer) Error() string { return l.err.Error() }

func sameContent(a, b *spec.Change) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func common(a, b *spec.Change) spec.Ref {
	mine := map[spec.Ref]bool{}
	for _, r := range a.Refs() {
		mine[r] = true
	}
	for _, r := range b.Refs() {
		if mine[r] {
			return r
		}
	}
	return spec.Ref{}
}

// minus returns t - d, and the zero time when t or the age is unknown.
func minus(t time.Time, age time.Duration) time.Time {
	if t.IsZero() || age < 0 {
		return time.Time{}
	}
	return t.Add(-age)
}
