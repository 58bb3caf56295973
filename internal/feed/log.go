package feed

import (
	"cmp"
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
	// defaultSnapshotInterval is the number of revisions between snapshots. It
	// bounds the rows that a starting node reads.
	defaultSnapshotInterval = 256
	// scanPageSize is the maximum number of rows in one scan of the table.
	scanPageSize = 256
	// maxInsertAttempts bounds the retries of one Append after lost answers and
	// after losing a revision number to other operators.
	maxInsertAttempts = 16
)

// InvalidChange means that the change is not valid and was not made. Findings lists
// the reasons.
type InvalidChange struct {
	Findings spec.Findings
}

// Error implements error.
func (r *InvalidChange) Error() string { return "change refused:\n" + r.Findings.Error() }

// Conflict means that the change was not made because another one, accepted
// after its base, puts or deletes the same item.
type Conflict struct {
	// Revision is the conflicting revision, written by Author with operation OpID.
	Revision int64
	Author   string
	OpID     string
	Item     spec.Ref
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("change refused: revision %d by %s changed %s first", c.Revision, c.Author, c.Item)
}

// Unavailable means that the log could not be read or written and that this
// attempt had no effect. Earlier attempts with the same operation id may have had
// one.
type Unavailable struct {
	Err error
}

// Error implements error.
func (u *Unavailable) Error() string { return "configuration log unavailable: " + u.Err.Error() }

// Unwrap implements the interface of package errors.
func (u *Unavailable) Unwrap() error { return u.Err }

// OutcomeUnknown means that the change may have been made, or may still be made
// by a delayed write. Retrying with the same operation id determines the outcome
// and makes the change at most once.
type OutcomeUnknown struct {
	OpID string
	Err  error
}

// Error implements error.
func (u *OutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of operation %s unknown: %v", u.OpID, u.Err)
}

// Unwrap implements the interface of package errors.
func (u *OutcomeUnknown) Unwrap() error { return u.Err }

// Log reads and appends to the configuration log on the platform. It holds no
// mutable state and is safe for concurrent use.
type Log struct {
	table   store.Table
	objects store.Objects
	clock   clock.Clock
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval int64
}

// NewLog returns a Log that stores revisions in table and snapshots in objects.
func NewLog(table store.Table, objects store.Objects, c clock.Clock) *Log {
	return &Log{table: table, objects: objects, clock: c, snapshotInterval: defaultSnapshotInterval}
}

// Poll reads at most one page of the revisions above held. Read.TableAsOf is set
// only when no further revisions existed. Rows whose keys are not those of revisions
// are skipped.
func (l *Log) Poll(ctx context.Context, held int64) (Read, error) {
	before := l.clock.Now()
	r := Read{TableLatest: held}
	for after := rowKey(held); ; {
		rows, err := l.table.Scan(ctx, rowPrefix, after, scanPageSize)
		if err != nil {
			return r, fmt.Errorf("feed: read revisions above %d: %w", held, err)
		}
		if err := r.add(rows); err != nil {
			return r, err
		}
		if len(rows) < scanPageSize {
			r.TableAsOf = before
			return r, nil
		}
		if len(r.Entries) > 0 {
			return r, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// maxOddKey is how many bytes of an odd key are kept for the log.
const maxOddKey = 200

// add adds the revisions among rows.
func (r *Read) add(rows []store.Row) error {
	for _, row := range rows {
		n, err := revisionOf(row.Key)
		if err != nil {
			r.OddKey = row.Key[:min(len(row.Key), maxOddKey)]
			continue
		}
		if n != r.TableLatest+1 {
			return ErrGap
		}
		e := Entry{Revision: n, Row: row.Value}
		if err := e.Validate(); err != nil {
			r.OddKey = row.Key
			return err
		}
		r.Entries = append(r.Entries, e)
		r.TableLatest = n
	}
	return nil
}

// pollAll reads pages until there are no more revisions.
func (l *Log) pollAll(ctx context.Context, held int64) (Read, error) {
	all, err := l.Poll(ctx, held)
	for err == nil && all.TableAsOf.IsZero() {
		var more Read
		more, err = l.Poll(ctx, all.TableLatest)
		all.Entries = append(all.Entries, more.Entries...)
		all.OddKey = cmp.Or(more.OddKey, all.OddKey)
		all.TableLatest, all.TableAsOf = max(all.TableLatest, more.TableLatest), more.TableAsOf
	}
	return all, err
}

// snapshotPointer is the value of the row that names the newest snapshot object.
type snapshotPointer struct {
	Revision int64  `json:"revision"`
	Object   string `json:"object"`
}

// Load reads the newest snapshot and the rows after it. Rows are never
// deleted, so that without a usable snapshot the whole log is read instead.
func (l *Log) Load(ctx context.Context) (Read, error) {
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
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("feed: read snapshot pointer: %w", err)
	}
	var p snapshotPointer
	if json.Unmarshal(row.Value, &p) != nil {
		return nil, nil
	}
	data, err := l.objects.Get(ctx, p.Object)
	if errors.Is(err, store.ErrNotFound) {
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

// Snapshot stores the configuration as the newest snapshot, unless a newer one
// exists.
func (l *Log) Snapshot(ctx context.Context, c *spec.Config) error {
	data, err := encodeSnapshot(c)
	if err != nil {
		return fmt.Errorf("feed: encode snapshot: %w", err)
	}
	p := snapshotPointer{Revision: c.Revision, Object: fmt.Sprintf("%s/%012d", snapshotRow, c.Revision)}
	if err := l.objects.Put(ctx, p.Object, data); err != nil {
		return fmt.Errorf("feed: write snapshot %s: %w", p.Object, err)
	}
	value, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("feed: encode snapshot pointer: %w", err)
	}
	row, err := l.table.Get(ctx, snapshotRow)
	if errors.Is(err, store.ErrNotFound) {
		_, err = l.table.Insert(ctx, snapshotRow, value)
	} else if err == nil {
		var current snapshotPointer
		if json.Unmarshal(row.Value, &current) == nil && current.Revision >= p.Revision {
			return nil
		}
		_, err = l.table.Update(ctx, snapshotRow, value, row.Version)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("feed: write pointer to snapshot %d: %w", p.Revision, err)
	}
	return nil
}

// Appended is the result of a successful Append.
type Appended struct {
	// Revision is the revision that holds the change.
	Revision int64
	// Duplicate is set when an earlier attempt had already made the change.
	Duplicate bool
	// Unreplicated is set by the appending node, not by Append, when it
	// acknowledges the change before Replication.Done reports true.
	Unreplicated bool
	// SnapshotErr is the error of writing a snapshot that was due. The next one
	// is written 256 revisions later.
	SnapshotErr error
}

// Append adds a change to the log. from is the node's current state. The error is
// a *InvalidChange, *Conflict, *Unavailable or *OutcomeUnknown. The returned Read
// holds the revisions that were read or written in the process, also when there
// is an error; the node applies it to its view before it answers the operator.
func (l *Log) Append(ctx context.Context, from State, c spec.Change) (Appended, Read, error) {
	// The view may append to the same backing array concurrently; clipping makes
	// appends here allocate a new array.
	from.recent = slices.Clip(from.recent)
	a := appendOperation{log: l, change: c, state: from}
	if f := c.Check(); len(f) > 0 {
		return Appended{}, Read{}, &InvalidChange{Findings: f}
	}
	done, err := a.run(ctx)
	a.read.TableLatest = a.state.Revision()
	if err == nil && !done.Duplicate && done.Revision%l.snapshotInterval == 0 {
		done.SnapshotErr = l.Snapshot(ctx, a.state.Config)
	}
	return done, a.read, err
}

// appendOperation holds the progress of one call of Append.
type appendOperation struct {
	log    *Log
	change spec.Change
	state  State
	read   Read
	// searchedUpTo is the revision up to which the log was searched for the
	// operation and for conflicts.
	searchedUpTo int64
}

func (a *appendOperation) run(ctx context.Context) (Appended, error) {
	// A change must be validated against the newest revision: with an older one
	// this node could refuse what another node has already accepted for the same
	// caller.
	if err := a.catchUp(ctx); err != nil {
		return Appended{}, &Unavailable{Err: err}
	}
	if a.change.Base > a.state.Revision() {
		return Appended{}, &InvalidChange{Findings: spec.Findings{{
			Path: "base",
			Text: fmt.Sprintf("revision %d does not exist, the newest is %d", a.change.Base, a.state.Revision()),
		}}}
	}
	a.searchedUpTo = a.change.Base
	for range maxInsertAttempts {
		done, err := a.findDuplicateOrConflict(ctx)
		if done.Revision != 0 || err != nil {
			return done, err
		}
		next, findings := a.state.Config.Apply(a.change)
		if len(findings) > 0 {
			return Appended{}, &InvalidChange{Findings: findings}
		}
		e, err := newEntry(next.Revision, a.change)
		if err != nil {
			return Appended{}, &InvalidChange{Findings: spec.Findings{{Text: err.Error()}}}
		}
		err = a.insert(ctx, e)
		switch {
		case err == nil:
			a.state = a.state.withEntry(e)
			a.read.Entries = append(a.read.Entries, e)
			return Appended{Revision: e.Revision}, nil
		case errors.Is(err, store.ErrConflict):
			if err := a.catchUp(ctx); err != nil {
				// The row exists, but which operation wrote it is not known.
				return Appended{}, &OutcomeUnknown{OpID: a.change.OpID, Err: err}
			}
		case errors.Is(err, store.ErrUnavailable):
			return Appended{}, &Unavailable{Err: err}
		default:
			return Appended{}, &OutcomeUnknown{OpID: a.change.OpID, Err: err}
		}
	}
	return Appended{}, &Unavailable{Err: fmt.Errorf("feed: lost the next revision to other changes %d times", maxInsertAttempts)}
}

// catchUp reads and applies the revisions above that of a.state.
func (a *appendOperation) catchUp(ctx context.Context) error {
	r, err := a.log.pollAll(ctx, a.state.Revision())
	for _, e := range r.Entries {
		a.state = a.state.withEntry(e)
		a.read.Entries = append(a.read.Entries, e)
	}
	if err == nil {
		a.read.TableAsOf = r.TableAsOf
	}
	return err
}

// findDuplicateOrConflict searches the revisions after searchedUpTo for an
// earlier attempt of the same operation and for conflicting changes.
func (a *appendOperation) findDuplicateOrConflict(ctx context.Context) (Appended, error) {
	entries, ok := a.state.After(a.searchedUpTo)
	if !ok {
		r, err := a.log.pollAll(ctx, a.searchedUpTo)
		if err != nil {
			return Appended{}, &Unavailable{Err: err}
		}
		entries = r.Entries
	}
	var conflict error
	for _, e := range entries {
		if e.Revision > a.state.Revision() {
			// Written after the last catchUp. The insert will fail with a
			// conflict, and the next search covers this revision.
			break
		}
		if e.change.OpID == a.change.OpID {
			if !sameContent(e.change, &a.change) {
				return Appended{}, &InvalidChange{Findings: spec.Findings{{
					Path: "op-id",
					Text: fmt.Sprintf("%q was used for another change, in revision %d", a.change.OpID, e.Revision),
				}}}
			}
			return Appended{Revision: e.Revision, Duplicate: true}, nil
		}
		if conflict == nil && e.change.Touches(&a.change) {
			conflict = &Conflict{Revision: e.Revision, Author: e.change.Author, OpID: e.change.OpID, Item: firstCommonItem(e.change, &a.change)}
		}
	}
	a.searchedUpTo = a.state.Revision()
	return Appended{}, conflict
}

// insert writes the row of a revision. After a lost answer it reads the row
// back. While the row is absent the write may still take effect, so it retries
// the same row instead of trying another revision.
func (a *appendOperation) insert(ctx context.Context, e Entry) error {
	var err error
	for try := range maxInsertAttempts {
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
		case !errors.Is(readErr, store.ErrNotFound):
			return unknownOutcomeError{err: err}
		}
	}
	return unknownOutcomeError{err: err}
}

// unknownOutcomeError hides the wrapped error from errors.Is, so that the
// outcome of the operation is reported as unknown.
type unknownOutcomeError struct{ err error }

func (e unknownOutcomeError) Error() string { return e.err.Error() }

func sameContent(a, b *spec.Change) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func firstCommonItem(a, b *spec.Change) spec.Ref {
	items := map[spec.Ref]bool{}
	for _, r := range a.Refs() {
		items[r] = true
	}
	for _, r := range b.Refs() {
		if items[r] {
			return r
		}
	}
	return spec.Ref{}
}

// subtractAge returns t - age, or the zero time when t is zero or age is
// negative (unknown).
func subtractAge(t time.Time, age time.Duration) time.Time {
	if t.IsZero() || age < 0 {
		return time.Time{}
	}
	return t.Add(-age)
}
