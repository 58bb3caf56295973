package lease_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	era  int64
	next int64 // the version of the next write
	// copies are the rows that a restore may bring back, and the version that it leads to.
	copies []tableCopy
	fail   error // returned instead of an answer
	lose   bool  // the next write takes effect, but its answer is lost
}

func (t *table) apply(op lease.Op) (store.Row, error) {
	switch {
	case op.Kind == lease.OpRead && t.row.Version == 0:
		return store.Row{
			Version: store.Revision(t.era, t.next),
		}, store.ErrNotFound
	case op.Kind == lease.OpRead:
		return t.current(), nil
	case op.Kind == lease.OpInsert && t.row.Version > 0, op.Kind == lease.OpUpdate && store.Version(op.Version) != t.row.Version:
		return store.Row{}, store.ErrConflict
	}
	t.copies = append(t.copies, tableCopy{row: t.row, next: t.next})
	t.next++
	t.row = store.Row{
		Key:     key,
		Value:   op.Value,
		Version: t.next,
	}
	return t.current(), nil
}

// tableCopy is a former content of a table.
type tableCopy struct {
	row  store.Row
	next int64
}

func (t *table) current() store.Row {
	row := t.row
	row.Version = store.Revision(t.era, row.Version)
	return row
}

// restore brings back the content before the last writes. Versions are given out again.
func (t *table) restore(writes int) {
	t.era++
	if n := len(t.copies); n > 0 {
		c := t.copies[max(0, n-writes)]
		t.copies = t.copies[:max(0, n-writes)]
		t.row, t.next = c.row, c.next
	}
}

// applySent applies a write that was sent in an era. The table's client reports one that
// is answered in a later era as unknown.
func (t *table) applySent(op lease.Op, era int64) (store.Row, error) {
	row, err := t.apply(op)
	if err == nil && op.Kind != lease.OpRead && era != t.era {
		return store.Row{}, store.ErrUnknown
	}
	return row, err
}

func (t *table) call(op lease.Op) (store.Row, error) {
	if t.fail != nil {
		return store.Row{}, t.fail
	}
	row, err := t.applySent(op, t.era)
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
	era     int64 // of the table when the request was sent
	applied bool
	row     store.Row
	err     error
}

// Guards against two processes that hold a valid lease at the same instant, each
// by its own clock, under lost and late requests, outages, restarts, and paused
// processes that later continue with old requests, rows that the holder sends to others,
// and a table that is restored from a copy; and against an end of the validity that is
// still to come for a process that does not hold it.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &table{}
		var elapsed time.Duration
		var all []*candidate
		var late []*inFlight
		var rows []store.Row // on their way between candidates
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
						era:  tab.era,
					}
				}
			},
			"arrive": func(t *rapid.T) {
				if c := pick(t); c.op != nil && !c.op.applied {
					c.op.applied = true
					c.op.row, c.op.err = tab.applySent(c.op.op, c.op.era)
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
			// The holder's row reaches another candidate, at once or later.
			"send-row": func(t *rapid.T) {
				c := pick(t)
				if row, ok := c.lease.Row(); ok && c.lease.Valid(c.now(elapsed)) && len(rows) < 20 {
					rows = append(rows, row)
				}
			},
			"receive-row": func(t *rapid.T) {
				if len(rows) == 0 {
					return
				}
				i := rapid.IntRange(0, len(rows)-1).Draw(t, "row")
				c := pick(t)
				_, _ = c.lease.ApplyRow(c.now(elapsed), rows[i])
				rows = append(rows[:i:i], rows[i+1:]...)
			},
			"restore": func(t *rapid.T) {
				tab.restore(rapid.IntRange(1, 6).Draw(t, "writes"))
			},
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
					now := c.now(elapsed)
					if valid := c.lease.Valid(now); valid != now.Before(c.lease.Until()) {
						t.Fatalf("at %v the lease of %s is valid: %v, until %v", elapsed, c.name, valid, c.lease.Until().Sub(now))
					}
					if !c.lease.Valid(now) {
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

// restoredLease is a table with a lease that a holds, and a second candidate b.
type restoredLease struct {
	t    *testing.T
	clk  *clock.Fake
	tab  *table
	a, b *lease.Keeper
}

func newRestoredLease(t *testing.T) *restoredLease {
	l := &restoredLease{
		t:   t,
		clk: clock.NewFake(),
		tab: &table{},
	}
	l.a = lease.NewKeeper(l.tab, l.clk, settings("a"))
	l.b = lease.NewKeeper(l.tab, l.clk, settings("b"))
	l.step(l.a)
	l.step(l.b)
	l.check(true, false)
	return l
}

func (l *restoredLease) step(k *lease.Keeper) {
	l.t.Helper()
	if _, err := k.Step(context.Background(), l.clk.Now()); err != nil {
		l.t.Fatal(err)
	}
}

func (l *restoredLease) check(a, b bool) {
	l.t.Helper()
	if now := l.clk.Now(); l.a.Valid(now) != a || l.b.Valid(now) != b {
		l.t.Fatalf("a holds the lease: %v, want %v; b: %v, want %v", l.a.Valid(now), a, l.b.Valid(now), b)
	}
}

// handOver gives the lease to b, which releases it and a takes it again.
func (l *restoredLease) handOver() {
	l.t.Helper()
	l.a.Release()
	l.step(l.a)
	l.clk.Advance(3 * time.Second)
	l.step(l.b)
	l.check(false, true)
	l.b.Release()
	l.step(l.b)
	l.a.Resume()
	l.clk.Advance(3 * time.Second)
	l.step(l.a)
	l.check(true, false)
}

// TestHolderGoesOnAfterRestore guards against a holder that loses its lease, or an error
// that never ends, because the table was restored from a copy in which the row is older or
// missing; and against an epoch that falls.
func TestHolderGoesOnAfterRestore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		writes int
	}{
		{name: "an older row", writes: 1},
		{name: "no row", writes: 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newRestoredLease(t)
			l.clk.Advance(4 * time.Second)
			l.step(l.a)
			since, epoch := l.a.Since(), l.a.Epoch()
			l.tab.restore(tc.writes)
			l.clk.Advance(4 * time.Second)
			l.step(l.b)
			l.step(l.a)
			l.check(true, false)
			if l.a.Epoch() <= epoch || !l.a.Since().Equal(since) || l.a.Holder() != "a" {
				t.Errorf("epoch %d after %d, holder %q since %v, want %v", l.a.Epoch(), epoch, l.a.Holder(), l.a.Since(), since)
			}
			for range 4 {
				l.clk.Advance(4 * time.Second)
				l.step(l.b)
				l.step(l.a)
				l.check(true, false)
			}
		})
	}
}

// TestTakeoverAfterRestore guards against two holders, because a candidate takes a lease
// at once that the copy shows as released, as missing, as its own or as that of its former
// incarnation, while the holder may still use it; and against a candidate that takes the
// copy's holder for the last one.
func TestTakeoverAfterRestore(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(l *restoredLease)
	}{
		{name: "released in the copy", prepare: func(l *restoredLease) {
			l.a.Release()
			l.step(l.a)
			l.a.Resume()
			l.clk.Advance(3 * time.Second)
			l.step(l.a)
			l.tab.restore(1)
		}},
		{name: "missing in the copy", prepare: func(l *restoredLease) { l.tab.restore(9) }},
		{name: "missing in the copy, for a process that starts", prepare: func(l *restoredLease) {
			l.tab.restore(9)
			l.b = lease.NewKeeper(l.tab, l.clk, settings("b"))
		}},
		{name: "its own in the copy", prepare: func(l *restoredLease) {
			l.handOver()
			l.b.Resume()
			l.tab.restore(2)
		}},
		{name: "of its former incarnation in the copy", prepare: func(l *restoredLease) {
			l.handOver()
			l.tab.restore(2)
			set := settings("b")
			set.Incarnation, set.ReclaimOwn = "b-2", true
			l.b = lease.NewKeeper(l.tab, l.clk, set)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newRestoredLease(t)
			tc.prepare(l)
			l.check(true, false)
			for end := l.clk.Now().Add(term); l.clk.Now().Before(end); l.clk.Advance(time.Second) {
				l.step(l.b)
				l.check(true, false)
			}
			// b may have seen the copy up to one interval between two reads later.
			l.clk.Advance(5 * time.Second)
			l.step(l.b)
			l.check(false, true)
			if l.b.IsFormerKnown() {
				t.Errorf("the former holder is taken to be %q", l.b.PreviousIncarnation())
			}
			l.step(l.a)
			l.check(false, true)
		})
	}
}

// TestExpiredHolderAfterRestore guards against a holder whose lease expired before the
// table was restored, and which renews it on top of the copy although another one took it
// in between.
func TestExpiredHolderAfterRestore(t *testing.T) {
	l := newRestoredLease(t)
	l.clk.Advance(12 * time.Second) // a is paused meanwhile
	l.step(l.b)
	l.check(false, true)
	l.tab.restore(1)
	l.step(l.a)
	l.check(false, true)
	l.step(l.b)
	l.check(false, true)
	l.step(l.a)
	l.check(false, true)
}

// TestWriteAcrossRestore guards against a second holder through a write that was sent
// before the table was restored and met other content with the same version, and against
// candidates that take the lease at once because of such a release.
func TestWriteAcrossRestore(t *testing.T) {
	for _, release := range []bool{false, true} {
		t.Run(fmt.Sprint("release ", release), func(t *testing.T) {
			l := newRestoredLease(t)
			now := l.clk.Now().Add(3 * time.Second)
			l.clk.Advance(3 * time.Second)
			if release {
				l.a.Release()
			}
			late := l.a.Next(now)
			l.a.MarkSent(late, now)
			_, _ = l.a.HandleResult(late, now, store.Row{}, store.ErrUnknown)
			l.tab.restore(9)
			l.step(l.b)
			l.clk.Advance(12 * time.Second)
			l.step(l.b) // takes the lease as version 1 of the new era
			l.check(false, true)
			if _, err := l.tab.apply(late); err != nil {
				t.Fatal(err)
			}
			c := lease.NewKeeper(l.tab, l.clk, settings("c"))
			l.a.Resume()
			l.step(l.a)
			l.step(c)
			l.check(false, true)
			l.clk.Advance(3 * time.Second)
			l.step(l.a)
			l.step(c)
			l.step(l.b)
			l.check(false, true)
			if c.Valid(l.clk.Now()) {
				t.Error("a third candidate took the lease")
			}
		})
	}
}

// TestHolderOfFormerBuild guards against a holder that stays unknown, or whose lease is
// taken from it, because its records do not state the era.
func TestHolderOfFormerBuild(t *testing.T) {
	l := newRestoredLease(t)
	l.tab.restore(9)
	for i := range 6 {
		value, err := cbor.Marshal(lease.Record{
			Holder:      "former",
			Incarnation: "former-1",
			Term:        term,
			Write:       int64(i + 1),
		})
		if err != nil {
			t.Fatal(err)
		}
		l.tab.next++
		l.tab.row = store.Row{Key: key, Value: value, Version: l.tab.next}
		l.clk.Advance(4 * time.Second)
		l.step(l.b)
		if want := map[bool]string{true: "former"}[i > 0]; l.b.Holder() != want {
			t.Errorf("after %d renewals the holder is %q, want %q", i, l.b.Holder(), want)
		}
	}
	l.check(false, false)
}

// TestFormerBuildAfterExpiry guards against a process that goes on as the last holder after
// its lease expired, while a process of a build that states no era holds it.
func TestFormerBuildAfterExpiry(t *testing.T) {
	l := newRestoredLease(t)
	l.clk.Advance(3 * time.Second)
	l.step(l.a)
	l.clk.Advance(12 * time.Second)
	l.tab.restore(1)
	l.step(l.a)
	l.check(false, false)
	if l.a.Until().IsZero() {
		t.Fatal("a does not go on as the last holder")
	}
	former := settings("b")
	value, err := cbor.Marshal(lease.Record{
		Holder:      former.Holder,
		Incarnation: former.Incarnation,
		Term:        former.Term,
		Write:       1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.tab.apply(lease.Op{Kind: lease.OpUpdate, Value: value, Version: l.a.Version()}); err != nil {
		t.Fatal(err)
	}
	l.clk.Advance(3 * time.Second)
	l.step(l.a)
	if l.a.Holder() != "b" || !l.a.Until().IsZero() {
		t.Errorf("the holder is %q, the lease of a is held until %v", l.a.Holder(), l.a.Until())
	}
}
