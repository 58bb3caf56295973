package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// fakeSource answers from a list of scripted results.
type fakeSource struct {
	mu      sync.Mutex
	rows    map[string]Row
	version int64
	history int64 // changes up to this version are forgotten
	err     error
	mute    bool
	lists   int
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
	f.lists++
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
	err, mute := f.err, f.mute
	f.mu.Unlock()
	if mute {
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
		if after < f.history {
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

type copyOf struct {
	mu     sync.Mutex
	rows   map[string]string
	states []error
	lost   bool
	// early tells that rows were applied before the return of the store was told.
	early bool
}

func (c *copyOf) apply(rows []Row, _ int64, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.early || c.lost
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

func (c *copyOf) has(key, value string) func() bool {
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

func start(t *testing.T, f *fakeSource, skip func() bool) *copyOf {
	t.Helper()
	c := &copyOf{}
	m := New(f, Options{
		Table:   "t",
		Wait:    20 * time.Millisecond,
		Pace:    time.Millisecond,
		Timeout: 50 * time.Millisecond,
		Backoff: 5 * time.Millisecond,
		Apply:   c.apply,
		Skip:    skip,
		State: func(err error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.states = append(c.states, err)
			c.lost = err != nil
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

// TestMirror guards against a copy that stays behind its table: after changes,
// removals, lost history, errors and a connection that has fallen silent.
func TestMirror(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	f.put("a", "1")
	c := start(t, f, nil)
	eventually(t, "the first read", c.has("a", "1"))
	f.put("a", "2")
	f.put("b", "1")
	eventually(t, "a change", c.has("a", "2"))
	eventually(t, "a new row", c.has("b", "1"))
	f.remove("b")
	eventually(t, "a removal", c.has("b", ""))

	f.mu.Lock()
	f.version += 5
	f.history = f.version
	delete(f.rows, "a")
	f.mu.Unlock()
	f.put("c", "1")
	eventually(t, "a row written while the history was lost", c.has("c", "1"))
	eventually(t, "a row removed while the history was lost", c.has("a", ""))

	f.mu.Lock()
	f.mute = true
	f.mu.Unlock()
	f.put("d", "1")
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	f.mute, f.err = false, errors.New("down")
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	f.put("e", "1")
	f.mu.Lock()
	f.err = nil
	f.mu.Unlock()
	eventually(t, "a row written during an outage", c.has("d", "1"))
	eventually(t, "a row written at its end", c.has("e", "1"))
	eventually(t, "one loss and one return told", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.states) == 2 && c.states[0] != nil && c.states[1] == nil
	})
	// Entries that lapsed during an outage are kept for a while after it, which
	// must begin before the first rows are taken over.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early {
		t.Error("rows were applied before the return of the store was told")
	}
}

// TestSkip guards against calls to the store while the table is known from
// elsewhere, and against staying away from it afterwards.
func TestSkip(t *testing.T) {
	f := &fakeSource{rows: map[string]Row{}}
	f.put("a", "1")
	var mu sync.Mutex
	skipping := true
	c := start(t, f, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return skipping
	})
	time.Sleep(60 * time.Millisecond)
	f.mu.Lock()
	lists := f.lists
	f.mu.Unlock()
	if lists != 0 {
		t.Errorf("the store was read %d times while skipping", lists)
	}
	mu.Lock()
	skipping = false
	mu.Unlock()
	eventually(t, "the read after skipping", c.has("a", "1"))
}
