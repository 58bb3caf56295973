// Package mirror keeps a local copy of a table of the platform's store.
//
// A copy follows the table's change feed. When the feed has lost its history,
// the table is read as a whole. Each call has a time limit, because a
// connection to the store can fall silent without an error.
package mirror

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the changes after a version are no longer available.
var ErrCompacted = errors.New("mirror: history is no longer available")

// Row is a row of a table. Deleted rows appear in changes only.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Source reads a table.
type Source interface {
	// List returns all rows and the version that they are as of.
	List(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows that changed after a version, waiting for the
	// first change, and the version to continue from.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}

// Options are the settings of a Mirror.
type Options struct {
	Table string
	// Wait is how long a call waits for a change.
	Wait time.Duration
	// Pace is the least time between the starts of two calls.
	Pace time.Duration
	// Timeout is how long an answer may take beyond Wait.
	Timeout time.Duration
	// Backoff is the pause after a failed call.
	Backoff time.Duration
	// Apply takes over changed rows as of a version. After a full read, complete
	// is set and rows that are not named no longer exist.
	Apply func(rows []Row, version int64, complete bool)
	// Skip tells that the table is known from elsewhere for now.
	Skip func() bool
	// Seen is told of each answer of the store.
	Seen func()
	// State is told when the store stops or starts to answer.
	State func(err error)
}

// Mirror follows one table.
type Mirror struct {
	opts   Options
	source Source
	failed bool
}

// New returns a Mirror that has read nothing.
func New(source Source, opts Options) *Mirror {
	return &Mirror{
		opts:   opts,
		source: source,
	}
}

// Run follows the table until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	after := int64(-1)
	var read time.Time // of the last answer
	for ctx.Err() == nil {
		if m.opts.Skip != nil && m.opts.Skip() {
			sleep(ctx, skipPause)
			continue
		}
		began := time.Now()
		if began.Sub(read) > relistAfter {
			after = -1
		}
		next, err := m.step(ctx, after)
		if ctx.Err() != nil {
			return
		}
		pause := m.opts.Pace - time.Since(began)
		switch {
		case errors.Is(err, ErrCompacted):
			after, pause = -1, 0
		case err != nil:
			pause = m.opts.Backoff
		default:
			if after < 0 {
				// The feed is asked at once: the full read may be old already.
				pause = 0
			}
			after, read = next, time.Now()
		}
		sleep(ctx, pause)
	}
}

// relistAfter is how long after its last read a mirror reads the table as a
// whole instead of repeating all changes since then, most of which are heartbeats
// that others have told of in the meantime.
const relistAfter = 3 * time.Second

// skipPause is how often a mirror that skips looks whether it still should.
const skipPause = 50 * time.Millisecond

// tell reports the first failure and the first success after failures. A full
// read after lost history is part of normal work.
func (m *Mirror) tell(err error) {
	failed := err != nil && !errors.Is(err, ErrCompacted)
	if !failed && m.opts.Seen != nil {
		m.opts.Seen()
	}
	if failed != m.failed && m.opts.State != nil {
		m.opts.State(err)
	}
	m.failed = failed
}

// step makes one call and takes over its answer. The return of the store is told
// before its rows are applied.
func (m *Mirror) step(ctx context.Context, after int64) (int64, error) {
	wait := m.opts.Wait
	if after < 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+m.opts.Timeout)
	defer cancel()
	var rows []Row
	var version int64
	var err error
	if after < 0 {
		rows, version, err = m.source.List(ctx, m.opts.Table)
	} else {
		rows, version, err = m.source.Changes(ctx, m.opts.Table, after, wait)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return 0, context.Canceled
	}
	m.tell(err)
	if err != nil {
		return 0, err
	}
	if after < 0 || len(rows) > 0 {
		m.opts.Apply(rows, version, after < 0)
	}
	return max(version, after), nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
