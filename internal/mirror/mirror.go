// Package mirror follows a table of the platform's store, so that the caller can
// keep a local copy of it.
//
// A mirror reads the table once in full and then follows its change feed. If the
// changes since its last read are no longer available, it reads the table in
// full again. Every call has a timeout, because a connection to the store can
// stop answering without an error.
package mirror

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the changes after a version are no longer available.
var ErrCompacted = errors.New("mirror: history is no longer available")

// Row is a row of a table. Deleted rows occur only in changes.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Source reads a table.
type Source interface {
	// List returns all rows and the version of the table that they represent.
	List(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows that changed after a version and the version to
	// continue from. If there are none yet, it waits up to wait for a change.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}

// Options are the settings of a Mirror.
type Options struct {
	Table string
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// MinInterval is the minimum time between the starts of two calls.
	MinInterval time.Duration
	// Timeout is how much longer than Wait a call may take.
	Timeout time.Duration
	// Backoff is the pause after a failed call.
	Backoff time.Duration
	// Apply is called with changed rows and the version that they lead to. After
	// a full read complete is set, and rows that are missing no longer exist.
	Apply func(rows []Row, version int64, complete bool)
	// Paused reports whether the store need not be read now because the table's
	// data comes from another source.
	Paused func() bool
	// OnAnswer is called for each answer of the store with rows or a version, after
	// its rows were applied.
	OnAnswer func()
	// OnFullRead is called before the table is read in full, with the reason and the
	// version after which changes were not read.
	OnFullRead func(reason string, after int64)
	// OnStateChange is called with the error when the store stops answering, and
	// with nil when it answers again.
	OnStateChange func(err error)
}

// Mirror follows one table and passes its rows to Options.Apply.
type Mirror struct {
	opts   Options
	source Source
	failed bool
}

// New returns a Mirror, which starts to read the table when Run is called.
func New(source Source, opts Options) *Mirror {
	return &Mirror{
		opts:   opts,
		source: source,
	}
}

// Run follows the table until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	after, reason := int64(-1), "first read"
	readUpTo := int64(-1)  // before the full read
	var lastRead time.Time // of the last answer
	for ctx.Err() == nil {
		if m.opts.Paused != nil && m.opts.Paused() {
			sleep(ctx, pausedInterval)
			continue
		}
		started := time.Now()
		if after >= 0 && started.Sub(lastRead) > fullReadAfter {
			readUpTo, after, reason = after, -1, "last read too long ago"
		}
		if after < 0 && reason != "" && m.opts.OnFullRead != nil {
			m.opts.OnFullRead(reason, readUpTo)
			reason = ""
		}
		next, err := m.step(ctx, after)
		if ctx.Err() != nil {
			return
		}
		pause := m.opts.MinInterval - time.Since(started)
		switch {
		case errors.Is(err, ErrCompacted):
			readUpTo, after, reason, pause = after, -1, err.Error(), 0
		case err != nil:
			pause = m.opts.Backoff
		default:
			if after < 0 {
				// Read the feed at once, because the full read may already be outdated.
				pause = 0
			}
			after, lastRead = next, time.Now()
		}
		sleep(ctx, pause)
	}
}

// fullReadAfter is how long after its last read a mirror reads the table in full
// instead of all changes since then, most of which are heartbeats whose effect
// the caller has received from other nodes in the meantime.
const fullReadAfter = 3 * time.Second

// pausedInterval is how often Options.Paused is checked while it returns true.
const pausedInterval = 50 * time.Millisecond

// reportState calls Options.OnStateChange at the first failure and at the first
// success after failures. ErrCompacted is not a failure: it only causes a full read.
func (m *Mirror) reportState(err error) {
	failed := err != nil && !errors.Is(err, ErrCompacted)
	if !failed {
		err = nil
	}
	if failed != m.failed && m.opts.OnStateChange != nil {
		m.opts.OnStateChange(err)
	}
	m.failed = failed
}

// step makes one call and applies the rows that it returns. It reports the
// state of the store before it applies the rows.
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
	if err == nil && version < after {
		// The store has lost changes that were read.
		err = ErrCompacted
	}
	m.reportState(err)
	if err != nil {
		return 0, err
	}
	if after < 0 || len(rows) > 0 {
		m.opts.Apply(rows, version, after < 0)
	}
	if m.opts.OnAnswer != nil {
		m.opts.OnAnswer()
	}
	return version, nil
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
