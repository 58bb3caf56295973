package feed_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestMain sets a fixed seed for reproducible CI runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260104", "rapid.checks": "300", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// recorder is a testing.TB that records the failure of a check that is expected
// to fail.
type recorder struct {
	*testing.T
	failed bool
	text   strings.Builder
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	fmt.Fprintf(&r.text, format+"\n", args...)
}
func (r *recorder) Logf(format string, args ...any)   { fmt.Fprintf(&r.text, format+"\n", args...) }
func (r *recorder) Log(args ...any)                   { fmt.Fprintln(&r.text, args...) }
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...); runtime.Goexit() }
func (r *recorder) Failed() bool                      { return r.failed }
func (r *recorder) FailNow()                          { r.failed = true; runtime.Goexit() }

// mustFail runs a check with a mechanism switched off and fails the test if the
// check passes.
func mustFail(t *testing.T, check func(rapid.TB)) {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "1s", "rapid.checks": "5000"} {
		old := flag.Lookup(name).Value.String()
		defer flag.Set(name, old)
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	r := &recorder{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check(r)
	}()
	<-done
	if !r.failed {
		t.Error("the check passes with the mechanism switched off")
	}
	t.Log(r.text.String())
}

// table is a fake platform that loses answers. A write without an answer may take
// effect at once, later, or never.
type table struct {
	rows          map[string]store.Row
	objects       map[string][]byte
	down          bool
	delayedWrites []func()
	// chooseFault selects the fault of a request; nil injects no faults.
	chooseFault func(faults ...string) string
	// beforeRequest runs before each request, to interleave other operators.
	beforeRequest func()
}

func newTable() *table { return &table{rows: map[string]store.Row{}, objects: map[string][]byte{}} }

func (p *table) fault(kinds ...string) string {
	if p.beforeRequest != nil {
		p.beforeRequest()
	}
	if p.down {
		return "down"
	}
	if p.chooseFault == nil {
		return "none"
	}
	return p.chooseFault(kinds...)
}

func (p *table) read() error {
	if f := p.fault("none", "none", "none", "down"); f != "none" {
		return store.ErrUnavailable
	}
	return nil
}

func (p *table) write(do func() error) error {
	switch p.fault("none", "none", "none", "down", "lost", "late", "never") {
	case "down":
		return store.ErrUnavailable
	case "lost":
		_ = do()
		return fmt.Errorf("insert: %w", store.ErrUnknown)
	case "late":
		p.delayedWrites = append(p.delayedWrites, func() { _ = do() })
		return store.ErrUnknown
	case "never":
		return store.ErrUnknown
	}
	return do()
}

func (p *table) Get(_ context.Context, key string) (store.Row, error) {
	if err := p.read(); err != nil {
		return store.Row{}, err
	}
	row, ok := p.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	return row, nil
}

func (p *table) Insert(_ context.Context, key string, value []byte) (store.Row, error) {
	row := store.Row{Key: key, Value: value, Version: 1}
	return row, p.write(func() error {
		if _, ok := p.rows[key]; ok {
			return store.ErrConflict
		}
		p.rows[key] = row
		return nil
	})
}

func (p *table) Update(_ context.Context, key string, value []byte, version int64) (store.Row, error) {
	row := store.Row{Key: key, Value: value, Version: version + 1}
	return row, p.write(func() error {
		if p.rows[key].Version != version {
			return store.ErrConflict
		}
		p.rows[key] = row
		return nil
	})
}

func (p *table) Delete(context.Context, string, int64) error { return errors.New("not used") }

func (p *table) Scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := p.read(); err != nil {
		return nil, err
	}
	var out []store.Row
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, p.rows[key])
		}
	}
	return out, nil
}

type objects struct{ *table }

func (o objects) Put(_ context.Context, key string, value []byte) error {
	return o.write(func() error {
		o.objects[key] = value
		return nil
	})
}

func (o objects) Get(_ context.Context, key string) ([]byte, error) {
	if err := o.read(); err != nil {
		return nil, err
	}
	data, ok := o.objects[key]
	if !ok {
		return nil, store.ErrNotFound
	}
	return data, nil
}

// logRow decodes the change in a row of the log without using feed.Log.
func logRow(p *table, revision int64) (spec.Change, bool) {
	row, ok := p.rows[fmt.Sprintf("config/%012d", revision)]
	if !ok {
		return spec.Change{}, false
	}
	e := feed.Entry{Revision: revision, Row: row.Value}
	if err := e.Validate(); err != nil {
		panic(err)
	}
	return *e.Change(), true
}

// operation is one operator's change and the outcome reported to the operator.
type operation struct {
	change   spec.Change
	revision int64
	refused  bool
	unknown  bool
}

// operators simulates several operators that append to one log through several
// nodes.
type operators struct {
	t     *rapid.T
	p     *table
	log   *feed.Log
	views []*feed.View
	ops   []*operation
	depth int
	// newIDs makes retries use a new operation id.
	newIDs bool
}

func (w *operators) submit() {
	n := rapid.IntRange(0, len(w.views)-1).Draw(w.t, "node")
	base := rapid.Int64Range(max(0, w.views[n].Revision()-2), w.views[n].Revision()).Draw(w.t, "base")
	name := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(w.t, "workspace"))
	o := &operation{change: spec.Change{OpID: fmt.Sprintf("%d-op%d", base, len(w.ops)), Author: "t", Base: base}}
	if rapid.IntRange(0, 3).Draw(w.t, "delete") == 0 {
		o.change.Deletes = []spec.Ref{{Kind: spec.KindOfWorkspace, Name: name}}
	} else {
		o.change.Puts = []spec.Item{{Workspace: &spec.Workspace{Name: name, RateTokensPerSecond: float64(len(w.ops)), BurstTokens: 9}}}
	}
	w.ops = append(w.ops, o)
	w.attempt(o, n)
}

func (w *operators) attempt(o *operation, n int) {
	c := o.change
	if w.newIDs && o.unknown {
		c.OpID += "-again"
	}
	done, read, err := w.log.Append(context.Background(), w.views[n].State(), c)
	if _, bad := w.views[n].Apply(read); bad != nil {
		w.t.Fatalf("apply after append: %v", bad)
	}
	var refused *feed.InvalidChange
	var conflict *feed.Conflict
	var unavailable *feed.Unavailable
	var unknown *feed.OutcomeUnknown
	switch {
	case err == nil:
		o.revision = done.Revision
	case errors.As(err, &refused):
		o.refused = true
	case errors.As(err, &conflict):
		o.refused = true
		if won, ok := logRow(w.p, conflict.Revision); !ok || conflict.Revision <= c.Base || !won.Touches(&c) {
			w.t.Fatalf("conflict names revision %d, which does not conflict: %+v", conflict.Revision, won)
		}
	case errors.As(err, &unavailable):
		// Unless an earlier attempt had an unknown outcome, the change was not made.
		o.refused = !o.unknown
	case errors.As(err, &unknown):
		o.unknown = true
	default:
		w.t.Fatalf("untyped error: %v", err)
	}
}

func (w *operators) repeat() {
	for _, o := range w.ops {
		if o.unknown && o.revision == 0 && !o.refused {
			w.attempt(o, rapid.IntRange(0, len(w.views)-1).Draw(w.t, "node"))
			return
		}
	}
}

func (w *operators) check() {
	seen := map[string]int64{}
	configs := []*spec.Config{spec.New()}
	for n := int64(1); ; n++ {
		c, ok := logRow(w.p, n)
		if !ok {
			break
		}
		id := strings.TrimSuffix(c.OpID, "-again")
		if seen[id] != 0 {
			w.t.Fatalf("operation %s took effect in revisions %d and %d", id, seen[id], n)
		}
		seen[id] = n
		next, findings := configs[n-1].Apply(c)
		if findings != nil {
			w.t.Fatalf("revision %d breaks a rule: %v", n, findings)
		}
		configs = append(configs, next)
	}
	for _, o := range w.ops {
		if at := seen[o.change.OpID]; o.revision != 0 && at != o.revision || o.refused && at != 0 {
			w.t.Fatalf("operation %s is in revision %d, reported to its operator as revision %d, refused %v", o.change.OpID, at, o.revision, o.refused)
		}
	}
	for i, v := range w.views {
		if want := configs[v.Revision()]; !reflect.DeepEqual(v.Config(), want) {
			w.t.Fatalf("node %d at revision %d holds %+v, want %+v", i, v.Revision(), v.Config(), want)
		}
	}
}

func runConcurrentOperators(t rapid.TB, wrap func(store.Table) store.Table, newIDs bool) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTable()
		w := &operators{t: t, p: p, newIDs: newIDs}
		p.chooseFault = func(faults ...string) string { return rapid.SampledFrom(faults).Draw(t, "fault") }
		p.beforeRequest = func() {
			// Sometimes a delayed write takes effect or another operator submits
			// a change first.
			if len(p.delayedWrites) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				late := p.delayedWrites[0]
				p.delayedWrites = p.delayedWrites[1:]
				late()
			}
			if w.depth == 0 && rapid.IntRange(0, 5).Draw(t, "race") == 0 {
				w.depth++
				w.submit()
				w.depth--
			}
		}
		w.log = feed.NewLog(wrap(p), objects{table: p}, clock.NewFake())
		w.log.SetSnapshotInterval(3)
		for range 3 {
			w.views = append(w.views, feed.NewView())
		}
		pick := func() int { return rapid.IntRange(0, len(w.views)-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"repeat": func(*rapid.T) { w.repeat() },
			"outage": func(*rapid.T) { p.down = !p.down },
			"poll": func(t *rapid.T) {
				v := w.views[pick()]
				before := v.Revision()
				r, err := w.log.Poll(context.Background(), before)
				if _, bad := v.Apply(r); err == nil && (bad != nil || v.Revision() < before) {
					t.Fatalf("went from revision %d to %d: %v", before, v.Revision(), bad)
				}
			},
			"old": func(t *rapid.T) {
				// The answer to an earlier request arrives after newer answers.
				from := w.views[pick()].State()
				entries, _ := from.After(max(0, from.Revision()-2))
				v := w.views[pick()]
				before := v.Revision()
				_, _ = v.Apply(feed.Read{Snapshot: from.Config, Entries: entries})
				if v.Revision() < before {
					t.Fatalf("went back from revision %d to %d", before, v.Revision())
				}
			},
			"restart": func(t *rapid.T) {
				r, err := w.log.Load(context.Background())
				if err != nil {
					return
				}
				v := feed.NewView()
				if _, err := v.Apply(r); err != nil {
					t.Fatal(err)
				}
				w.views[pick()] = v
			},
			"": func(*rapid.T) { w.check() },
		})
		// Finally every delayed write takes effect and every operator retries until
		// the outcome is known.
		p.chooseFault, p.beforeRequest, p.down = nil, nil, false
		for _, late := range p.delayedWrites {
			late()
		}
		for _, o := range w.ops {
			if o.revision == 0 && !o.refused {
				w.attempt(o, 0)
			}
			if o.revision == 0 && !o.refused {
				t.Fatalf("the outcome of operation %s stays unknown", o.change.OpID)
			}
		}
		w.check()
	})
}

func identity(t store.Table) store.Table { return t }

// TestOperatorsRace guards against diverging sequences of revisions, an operation
// that takes effect twice, and a wrong outcome reported to an operator.
func TestOperatorsRace(t *testing.T) { runConcurrentOperators(t, identity, false) }

// noReadBack reports a lost answer as a write without effect.
type noReadBack struct{ store.Table }

func (n noReadBack) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	row, err := n.Table.Insert(ctx, key, value)
	if errors.Is(err, store.ErrUnknown) {
		err = store.ErrUnavailable
	}
	return row, err
}

// TestOperatorsRaceNotices verifies that TestOperatorsRace detects an append
// without read-back and a retry that is treated as a new operation.
func TestOperatorsRaceNotices(t *testing.T) {
	t.Run("no read-back", func(t *testing.T) {
		mustFail(t, func(t rapid.TB) {
			runConcurrentOperators(t, func(t store.Table) store.Table { return noReadBack{Table: t} }, false)
		})
	})
	t.Run("new operation ids", func(t *testing.T) {
		mustFail(t, func(t rapid.TB) { runConcurrentOperators(t, identity, true) })
	})
}

// TestOddRow guards against a configuration that is no longer followed because another
// writer left a row among the revisions, and against an odd revision without its key.
func TestOddRow(t *testing.T) {
	p := newTable()
	log := feed.NewLog(p, objects{table: p}, clock.NewFake())
	put := func(key, value string) { p.rows[key] = store.Row{Key: key, Value: []byte(value), Version: 1} }
	change := `{"op-id":"o%d","author":"a","deletes":[{"kind":"domain","name":"d%d"}]}`
	for n := 1; n <= 2; n++ {
		put(fmt.Sprintf("config/%012d", n), fmt.Sprintf(change, n, n))
	}
	sound, err := log.Poll(t.Context(), 0)
	if err != nil || len(sound.Entries) != 2 || sound.OddKey != "" {
		t.Fatalf("the sound log is %+v, %v", sound, err)
	}
	for i := range 600 {
		put(fmt.Sprintf("config/000000000001-%d", i), "{")
	}
	for _, key := range []string{"config/", "config/1", "config/-1", "config/99999999999999999999", "config/zzz", "config/" + strings.Repeat("z", 1<<16)} {
		put(key, "{")
	}
	for held := range int64(3) {
		r, err := log.Poll(t.Context(), held)
		for err == nil && r.TableAsOf.IsZero() {
			var more feed.Read
			more, err = log.Poll(t.Context(), r.TableLatest)
			more.Entries = append(r.Entries, more.Entries...)
			r = more
		}
		if err != nil || len(r.Entries) != 2-int(held) || r.TableLatest != 2 || r.OddKey == "" || len(r.OddKey) > 200 {
			t.Errorf("above %d: %d entries up to %d, odd %q, %v", held, len(r.Entries), r.TableLatest, r.OddKey, err)
		}
	}
	put("config/000000000003", strings.Repeat("[", 1<<16))
	r, err := log.Poll(t.Context(), 0)
	for err == nil && r.TableAsOf.IsZero() {
		r, err = log.Poll(t.Context(), r.TableLatest)
	}
	if err == nil || r.TableLatest != 2 || r.OddKey != "config/000000000003" || len(err.Error()) > 300 {
		t.Errorf("up to %d, odd %q, %v", r.TableLatest, r.OddKey, err)
	}
}
