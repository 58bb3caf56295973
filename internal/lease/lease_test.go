package lease_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	key  = "lease/place/north"
	term = 10 * time.Second
)

// table fakes the platform's table with one row.
type table struct {
	row  store.Row
	fail error // returned instead of an answer
	lose bool  // the next write takes effect, but its answer is lost
}

func (t *table) apply(op lease.Op) (store.Row, error) {
	switch {
	case op.Kind == lease.OpRead && t.row.Version == 0:
		return store.Row{}, store.ErrNotFound
	case op.Kind == lease.OpRead:
		return t.row, nil
	case op.Kind == lease.OpInsert && t.row.Version > 0, op.Kind == lease.OpUpdate && op.Version != t.row.Version:
		return store.Row{}, store.ErrConflict
	}
	t.row = store.Row{
		Key:     key,
		Value:   op.Value,
		Version: t.row.Version + 1,
	}
	return t.row, nil
}

func (t *table) call(op lease.Op) (store.Row, error) {
	if t.fail != nil {
		return store.Row{}, t.fail
	}
	row, err := t.apply(op)
	if t.lose && op.Kind != lease.OpRead {
		t.lose = false
		return store.Row{}, store.ErrUnknown
	}
	return row, err
}

// TestMain sets a fixed seed and the size of the fuzz. Flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "1",
		"rapid.checks": "400",
		"rapid.steps":  "150",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func (t *table) Get(context.Context, string) (store.Row, error) {
	return t.call(lease.Op{Kind: lease.OpRead})
}

func (t *table) Insert(_ context.Context, _ string, value []byte) (store.Row, error) {
	return t.call(lease.Op{Kind: lease.OpInsert, Value: value})
}

func (t *table) Update(_ context.Context, _ string, value []byte, version int64) (store.Row, error) {
	return t.call(lease.Op{Kind: lease.OpUpdate, Value: value, Version: version})
}

func settings(name string) lease.Settings {
	return lease.Settings{
		Key:           key,
		Holder:        name,
		Incarnation:   name + "-1",
		Term:          term,
		RenewInterval: 3 * time.Second,
	}
}

// Guards against a lease that is taken while its holder may still use it, that
// changes its holder after a lost answer, or that can't be taken at once after it
// was released.
func TestKeeper(t *testing.T) {
	clk, tab, ctx := clock.NewFake(), &table{}, context.Background()
	a := lease.NewKeeper(tab, clk, settings("a"))
	b := lease.NewKeeper(tab, clk, settings("b"))
	step := func(k *lease.Keeper, want lease.EventKind) {
		t.Helper()
		ev, err := k.Step(ctx, clk.Now())
		if err != nil && !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrUnavailable) {
			t.Fatal(err)
		}
		if ev.Kind != want {
			t.Fatalf("event %q, want %q", ev.Kind, want)
		}
	}
	tab.lose = true
	step(a, lease.EventTaken) // the step reads the row after the lost answer
	step(b, lease.EventNone)
	if !a.Valid(clk.Now()) || b.Valid(clk.Now()) || a.Epoch() != 1 {
		t.Fatalf("a %v, b %v, epoch %d", a.Valid(clk.Now()), b.Valid(clk.Now()), a.Epoch())
	}
	since := a.Since()
	clk.Advance(4 * time.Second)
	tab.lose = true
	step(a, lease.EventNone)
	if got, want := a.Until(), clk.Now().Add(term); !got.Equal(want) {
		t.Fatalf("renewed until %v, want %v", got, want)
	}
	tab.fail = store.ErrUnavailable
	clk.Advance(term)
	step(a, lease.EventExpired)
	tab.fail = nil
	step(b, lease.EventNone) // reads a new version of the row, so the wait starts now
	clk.Advance(2 * time.Second)
	step(a, lease.EventRegained)
	if a.Since() != since || a.Epoch() != 3 {
		t.Fatalf("since %v, want %v; epoch %d, want 3", a.Since(), since, a.Epoch())
	}
	for range 4 {
		clk.Advance(3 * time.Second)
		step(b, lease.EventNone)
	}
	clk.Advance(3 * time.Second)
	step(b, lease.EventTaken)
	step(a, lease.EventLost)
	b.Release()
	if b.Valid(clk.Now()) {
		t.Fatal("a released lease is still valid")
	}
	step(b, lease.EventReleased)
	clk.Advance(3 * time.Second)
	step(a, lease.EventTaken)
	if !b.Released() || a.Epoch() != 6 {
		t.Fatalf("released %v, epoch %d, want 6", b.Released(), a.Epoch())
	}
}

// Guards against a record that would make every candidate take the row at once.
func TestRecordValidate(t *testing.T) {
	for _, r := range []lease.Record{
		{
			Holder:      "a",
			Incarnation: "1",
		},
		{
			Holder: "a",
			Term:   term,
		},
	} {
		if r.Validate() == nil {
			t.Errorf("%+v is accepted", r)
		}
	}
}

// candidate is one process in the fuzz with its own clock rate.
type candidate struct {
	name  string
	lease *lease.Lease
	rate  float64
	op    *inFlight // the request in progress, or nil
}

func (c *candidate) now(elapsed time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(elapsed) * c.rate))
}

// inFlight is a request that the candidate has sent and that has no answer yet.
type inFlight struct {
	from    *candidate
	op      lease.Op
	applied bool
	row     store.Row
	err     error
}

// Guards against two processes that hold a valid lease at the same instant, each
// by its own clock, under lost and late requests, outages, restarts, and paused
// processes that later continue with old requests.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &table{}
		var elapsed time.Duration
		var all []*candidate
		var late []*inFlight
		join := func(name string) {
			set := settings(name)
			set.Incarnation = fmt.Sprintf("%s-%d", name, len(all))
			all = append(all, &candidate{
				name:  name,
				lease: lease.New(set),
				rate:  rapid.SampledFrom([]float64{0.955, 1, 1.045}).Draw(t, "rate"),
			})
		}
		for _, name := range []string{"a", "b", "c"} {
			join(name)
		}
		pick := func(t *rapid.T) *candidate {
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "candidate")]
		}
		answer := func(c *candidate, row store.Row, err error) {
			op := c.op.op
			c.op = nil
			_, _ = c.lease.HandleResult(op, c.now(elapsed), row, err)
		}
		exchange := func(c *candidate) {
			now := c.now(elapsed)
			if c.op != nil {
				return
			}
			if op := c.lease.Next(now); op.Kind != lease.OpNone {
				c.lease.MarkSent(op, now)
				row, err := tab.apply(op)
				_, _ = c.lease.HandleResult(op, c.now(elapsed), row, err)
			}
		}
		var epoch int64
		var holders []string
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				elapsed += time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "by"))
			},
			"request": func(t *rapid.T) {
				c := pick(t)
				now := c.now(elapsed)
				if c.op != nil {
					return
				}
				if op := c.lease.Next(now); op.Kind != lease.OpNone {
					c.lease.MarkSent(op, now)
					c.op = &inFlight{
						from: c,
						op:   op,
					}
				}
			},
			"arrive": func(t *rapid.T) {
				if c := pick(t); c.op != nil && !c.op.applied {
					c.op.applied = true
					c.op.row, c.op.err = tab.apply(c.op.op)
				}
			},
			"answer": func(t *rapid.T) {
				if c := pick(t); c.op != nil && c.op.applied {
					answer(c, c.op.row, c.op.err)
				}
			},
			"lose": func(t *rapid.T) {
				c := pick(t)
				if c.op == nil {
					return
				}
				if !c.op.applied {
					late = append(late, c.op)
				}
				answer(c, store.Row{}, store.ErrUnknown)
			},
			"refuse": func(t *rapid.T) {
				if c := pick(t); c.op != nil && !c.op.applied {
					answer(c, store.Row{}, store.ErrUnavailable)
				}
			},
			"late": func(*rapid.T) {
				if len(late) > 0 {
					_, _ = tab.apply(late[0].op)
					late = late[1:]
				}
			},
			"exchange": func(t *rapid.T) { exchange(pick(t)) },
			// All other candidates are paused with their requests in progress until
			// this one has taken the lease at the first instant at which it may.
			"wait-out": func(t *rapid.T) {
				c := pick(t)
				for range 60 {
					if exchange(c); c.lease.Valid(c.now(elapsed)) {
						return
					}
					elapsed += 250 * time.Millisecond
				}
			},
			"release": func(t *rapid.T) {
				pick(t).lease.Release()
			},
			"resume": func(t *rapid.T) { pick(t).lease.Resume() },
			"restart": func(t *rapid.T) {
				// The old process continues to run, since it may only have been
				// paused.
				if len(all) < 8 {
					join(pick(t).name)
				}
			},
			"": func(t *rapid.T) {
				holder := ""
				for _, c := range all {
					if !c.lease.Valid(c.now(elapsed)) {
						continue
					}
					if holder != "" {
						t.Fatalf("at %v both %s and %s hold the lease", elapsed, holder, c.name)
					}
					holder = fmt.Sprintf("%s (epoch %d)", c.name, c.lease.Epoch())
					if c.lease.Epoch() < epoch {
						t.Fatalf("epoch went from %d to %d", epoch, c.lease.Epoch())
					}
					epoch = c.lease.Epoch()
					if n := len(holders); n == 0 || holders[n-1] != holder {
						holders = append(holders, holder)
					}
				}
			},
		})
	})
}
