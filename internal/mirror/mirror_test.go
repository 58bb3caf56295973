package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// fakeSource is a table in memory that can fail or stop answering.
type fakeSource struct {
	mu        sync.Mutex
	rows      map[string]Row
	version   int64
	compacted int64 // changes up to this version are no longer available
	err       error
	silent    bool
	fullReads int
}

func (f *fakeSource) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Value: []byte(value), Version: f.version}
}

func (f *fakeSource) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Version: f.version, Deleted: true}
}

func (f *fakeSource) List(ctx context.Context, _ string) ([]Row, int64, error) {
	if err := f.wait(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullReads++
	var out []Row
	for _, r := range f.rows {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out, f.version, nil
}

func (f *fakeSource) wait(ctx context.Context) error {
	f.mu.Lock()
	err, silent := f.err, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (f *fakeSource) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]Row, int64, error) {
	if err := f.wait(ctx); err != nil {
		return nil, 0, err
	}
	until := time.Now().Add(wait)
	for {
		f.mu.Lock()
		if after < f.compacted {
			f.mu.Unlock()
			return nil, 0, ErrCompacted
		}
		var out []Row
		for _, r := range f.rows {
			if r.Version > after {
				out = append(out, r)
			}
		}
		version := f.version
		f.mu.Unlock()
		if len(out) > 0 || time.Now().After(until) {
			return out, version, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// recorder keeps the copy of the table and the reported states of the store.
type recorder struct {
	mu        sync.Mutex
	rows      map[string]string
	states    []error
	storeDown bool
	// appliedWhileDown is set if rows were applied before the recovery of the
	// store was reported.
	appliedWhileDown bool
}

func (c *recorder) apply(rows []Row, _ int64, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedWhileDown = c.appliedWhileDown || c.storeDown
	if complete {
		c.rows = map[string]string{}
	}
	for _, r := range rows {
		if r.Deleted {
			delete(c.rows, r.Key)
			continue
		}
		c.rows[r.Key] = string(r.Value)
	}
}

func (c *recorder) hasRow(key, value string) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rows[key] == value
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 5 s: %s", what)
}

func start(t *testing.T, f *fakeSource, paused func() bool) *recorder {
	t.Helper()
	c := &recorder{}
	m := New(f, Options{
		Table:       "t",
		Wait:        20 * time.Millisecond,
		MinInterval: time.Millisecond,
		Timeout:     50 * time.Millisecond,
		Backoff:     5 * time.Millisecond,
		Apply:       c.apply,
		Paused:      paused,
		OnStateChange: func(err error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.states = append(c.states, err)
			c.storeDown = err != nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// TestMirror guards against a copy that stays outdated after changes, removals,
// compaction, errors and a connection that stopped answering.
func TestMirror(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	f.put("a", "1")
	c := start(t, f, nil)
	eventually(t, "the first read", c.hasRow("a", "1"))
	f.put("a", "2")
	f.put("b", "1")
	eventually(t, "a change", c.hasRow("a", "2"))
	eventually(t, "a new row", c.hasRow("b", "1"))
	f.remove("b")
	eventually(t, "a removal", c.hasRow("b", ""))

	f.mu.Lock()
	f.version += 5
	f.compacted = f.version
	delete(f.rows, "a")
	f.mu.Unlock()
	f.put("c", "1")
	eventually(t, "a row written while the history was lost", c.hasRow("c", "1"))
	eventually(t, "a row removed while the history was lost", c.hasRow("a", ""))

	f.mu.Lock()
	f.silent = true
	f.mu.Unlock()
	f.put("d", "1")
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	f.silent, f.err = false, errors.New("down")
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	f.put("e", "1")
	f.mu.Lock()
	f.err = nil
	f.mu.Unlock()
	eventually(t, "a row written during an outage", c.hasRow("d", "1"))
	eventually(t, "a row written at its end", c.hasRow("e", "1"))
	eventually(t, "one failure and one recovery of the store reported", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.states) == 2 && c.states[0] != nil && c.states[1] == nil
	})
	// Entries that expired during an outage are kept for a grace period. It must
	// begin before the first rows are applied.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.appliedWhileDown {
		t.Error("rows were applied before the recovery of the store was reported")
	}
}

// TestPaused guards against calls to the store while Paused returns true, and
// against not resuming them afterwards.
func TestPaused(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	f.put("a", "1")
	var mu sync.Mutex
	isPaused := true
	c := start(t, f, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return isPaused
	})
	time.Sleep(60 * time.Millisecond)
	f.mu.Lock()
	fullReads := f.fullReads
	f.mu.Unlock()
	if fullReads != 0 {
		t.Errorf("the store was read %d times while paused", fullReads)
	}
	mu.Lock()
	isPaused = false
	mu.Unlock()
	eventually(t, "the read after the pause", c.hasRow("a", "1"))
}

// TestRecoveryWithoutHistory guards against a store that counts as lost for good
// because its first answer after failures is that its history is gone: the grace
// period for lapsed entries then never starts.
func TestRecoveryWithoutHistory(t *testing.T) {
	var states []error
	m := New(nil, Options{
		OnStateChange: func(err error) { states = append(states, err) },
	})
	for _, err := range []error{errors.New("down"), ErrCompacted, nil} {
		m.reportState(err)
	}
	if len(states) != 2 || states[0] == nil || states[1] != nil {
		t.Errorf("states %v; want a failure, then one recovery without an error", states)
	}
}

// TestAnswerCountsAfterItsRows guards against a process that tells others that it has
// read the store just now while it still works on the rows of that read.
func TestAnswerCountsAfterItsRows(t *testing.T) {
	source := &fakeSource{
		rows: make(map[string]Row),
	}
	source.put("a", "1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	applied := false
	m := New(source, Options{
		Table:   "t",
		Wait:    10 * time.Millisecond,
		Timeout: time.Second,
		Apply:   func([]Row, int64, bool) { applied = true },
		OnAnswer: func() {
			if !applied {
				t.Error("the answer counts before its rows were applied")
			}
			cancel()
		},
	})
	m.Run(ctx)
	if !applied {
		t.Error("no row was applied")
	}
}

// TestFullReadsAreReported guards against a full read that the log does not explain.
func TestFullReadsAreReported(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	f.put("a", "1")
	type read struct {
		reason string
		after  int64
	}
	reads, applied := make(chan read, 8), make(chan struct{}, 8)
	m := New(f, Options{
		Table:       "t",
		Wait:        5 * time.Millisecond,
		MinInterval: time.Millisecond,
		Timeout:     time.Second,
		Apply:       func([]Row, int64, bool) { applied <- struct{}{} },
		OnFullRead:  func(reason string, after int64) { reads <- read{reason: reason, after: after} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	if got := <-reads; got.reason != "first read" || got.after != -1 {
		t.Errorf("the first full read is reported as %+v", got)
	}
	<-applied
	f.mu.Lock()
	f.version, f.compacted = 9, 9
	f.mu.Unlock()
	if got := <-reads; got.reason != ErrCompacted.Error() || got.after != 1 {
		t.Errorf("the second full read is reported as %+v", got)
	}
}

// TestFallenVersion guards against a mirror that goes on from a version that the store no
// longer has, so that the changes below it are never read.
func TestFallenVersion(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	for range 9 {
		f.put("a", "old")
	}
	c := start(t, f, nil)
	eventually(t, "the first read", c.hasRow("a", "old"))
	f.mu.Lock()
	f.version, f.rows = 2, map[string]Row{"b": {Key: "b", Value: []byte("copy"), Version: 1}}
	f.mu.Unlock()
	eventually(t, "the row of the copy", c.hasRow("b", "copy"))
	f.put("c", "new")
	eventually(t, "a change after the restore", c.hasRow("c", "new"))
}
