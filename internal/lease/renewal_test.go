package lease_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/store"
)

// TestReclaim guards against a restarted holder that waits for the end of its own
// former term, and against a candidate that takes the lease of another holder
// without waiting.
func TestReclaim(t *testing.T) {
	now := time.Unix(1000, 0)
	value, err := cbor.Marshal(lease.Record{
		Holder:      "10.0.0.1:80",
		Incarnation: "before",
		Term:        time.Second,
		Write:       7,
		Note:        []byte("note"),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name    string
		holder  string
		reclaim bool
		want    lease.OpKind
	}{
		{name: "own address", holder: "10.0.0.1:80", reclaim: true, want: lease.OpUpdate},
		{name: "own address without reclaim", holder: "10.0.0.1:80", want: lease.OpNone},
		{name: "another address", holder: "10.0.0.2:80", reclaim: true, want: lease.OpNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := lease.New(lease.Settings{
				Key:           "k",
				Holder:        tc.holder,
				Incarnation:   "now",
				Term:          time.Second,
				RenewInterval: 300 * time.Millisecond,
				ReclaimOwn:    tc.reclaim,
			})
			op := l.Next(now)
			l.MarkSent(op, now)
			if _, err := l.HandleResult(op, now, store.Row{Key: "k", Value: value, Version: 9}, nil); err != nil {
				t.Fatal(err)
			}
			if string(l.Note()) != "note" {
				t.Errorf("the note is %q", l.Note())
			}
			if former := l.PreviousIncarnation(); former != "before" {
				t.Errorf("the former holder is %q", former)
			}
			if got := l.Next(now.Add(310 * time.Millisecond)).Kind; tc.want == lease.OpUpdate && got != lease.OpUpdate || tc.want == lease.OpNone && got == lease.OpUpdate {
				t.Errorf("the next operation is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRenewalsFromHolder guards against a candidate that takes the lease although
// it receives renewals from the holder, and against one that waits too long after
// they have stopped.
func TestRenewalsFromHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lease.New(lease.Settings{
		Key:           "k",
		Holder:        "b",
		Incarnation:   "b1",
		Term:          time.Second,
		RenewInterval: 300 * time.Millisecond,
	})
	for i := range 20 {
		value, err := cbor.Marshal(lease.Record{
			Holder:      "a",
			Incarnation: "a1",
			Term:        time.Second,
			Write:       int64(i),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.ApplyRow(now, store.Row{Key: "k", Value: value, Version: int64(10 + i)}); err != nil {
			t.Fatal(err)
		}
		if op := l.Next(now); op.Kind != lease.OpNone {
			t.Fatalf("after renewal %d the candidate wants operation %v", i, op.Kind)
		}
		now = now.Add(250 * time.Millisecond)
	}
	taken := now.Add(time.Second)
	l.ReadNow()
	if op := l.Next(taken); op.Kind != lease.OpUpdate {
		t.Errorf("after the term the candidate wants operation %v, want an update", op.Kind)
	}
}
