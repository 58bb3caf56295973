package store_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/plat"
	"trefoildale.example/trefoildale/internal/store"
)

func start(t *testing.T, opts plat.Options) (*store.Client, *plat.Platform) {
	t.Helper()
	l, stop, err := plat.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return l.Client, l.Platform
}

// TestErrorMapping guards against a write that took effect but is reported as
// having none, and against a lost response that is reported as a success.
func TestErrorMapping(t *testing.T) {
	tests := []struct {
		name    string
		fault   fault.Fault
		write   error
		read    error
		applied bool
	}{
		{
			name:    "none",
			applied: true,
		},
		{
			name:  "refused",
			fault: fault.Fault{Kind: fault.Refuse},
			write: store.ErrUnavailable,
			read:  store.ErrUnavailable,
		},
		{
			name:    "answer lost",
			fault:   fault.Fault{Kind: fault.LoseAnswer},
			write:   store.ErrUnknown,
			read:    store.ErrUnavailable,
			applied: true,
		},
		{
			name:    "answer truncated",
			fault:   fault.Fault{Kind: fault.Truncate, Bytes: 5},
			write:   store.ErrUnknown,
			read:    store.ErrUnavailable,
			applied: true,
		},
		{
			name:    "answer garbled",
			fault:   fault.Fault{Kind: fault.Garble, Bytes: 5},
			write:   store.ErrUnknown,
			read:    store.ErrUnavailable,
			applied: true,
		},
		{
			name:    "answer of another request",
			fault:   fault.Fault{Kind: fault.WrongID},
			write:   store.ErrUnknown,
			read:    store.ErrUnavailable,
			applied: true,
		},
		{
			name:  "frozen",
			fault: fault.Fault{Kind: fault.Freeze},
			write: store.ErrUnknown,
			read:  store.ErrUnavailable,
			// The platform executes the request when it resumes.
			applied: true,
		},
		{
			name:  "late",
			fault: fault.Fault{Kind: fault.LateOrders, Path: "/table", Delay: 1},
			write: store.ErrUnknown,
			read:  store.ErrUnavailable,
			// The write takes effect after the request has failed.
			applied: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, p := start(t, plat.Options{})
			ctx := context.Background()
			if _, err := c.Insert(ctx, "read", []byte("v")); err != nil {
				t.Fatal(err)
			}
			if tt.fault.Kind != "" {
				if err := p.Faults().Add(tt.fault); err != nil {
					t.Fatal(err)
				}
			}
			short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			_, err := c.Insert(short, "written", []byte("v"))
			if !errors.Is(err, tt.write) {
				t.Errorf("insert: got %v, want %v", err, tt.write)
			}
			short, cancel = context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			if _, err = c.Get(short, "read"); !errors.Is(err, tt.read) {
				t.Errorf("get: got %v, want %v", err, tt.read)
			}
			p.Faults().Clear("")
			applied := false
			for range 50 {
				if _, err = c.Get(ctx, "written"); err == nil {
					applied = true
					break
				}
				if !errors.Is(err, store.ErrNotFound) || !tt.applied {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if applied != tt.applied {
				t.Errorf("applied: got %v, want %v (%v)", applied, tt.applied, err)
			}
		})
	}
}

// TestUnreachable guards against an outage that is reported as an unknown outcome.
func TestUnreachable(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	c, release := store.NewClient(srv.URL)
	defer release()
	if _, err := c.Insert(context.Background(), "k", nil); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestTable guards against writes that ignore their condition and scans in the
// wrong order. Leases and the configuration log depend on both.
func TestTable(t *testing.T) {
	c, p := start(t, plat.Options{})
	ctx := context.Background()
	must := func(err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	row, err := c.Insert(ctx, "a/1", []byte("one"))
	must(err, nil)
	_, err = c.Insert(ctx, "a/1", []byte("two"))
	must(err, store.ErrConflict)
	_, err = c.Update(ctx, "a/1", []byte("two"), row.Version+1)
	must(err, store.ErrConflict)
	row, err = c.Update(ctx, "a/1", []byte("two"), row.Version)
	must(err, nil)
	got, err := c.Get(ctx, "a/1")
	must(err, nil)
	if got.Version != 2 || row.Version != 2 || !bytes.Equal(got.Value, []byte("two")) {
		t.Errorf("got row %+v, update returned %+v", got, row)
	}
	_, err = c.Update(ctx, "a/0", nil, 1)
	must(err, store.ErrConflict)
	_, err = c.Get(ctx, "a/0")
	must(err, store.ErrNotFound)
	for _, key := range []string{"b/1", "a/3", "a/2"} {
		_, err = c.Insert(ctx, key, nil)
		must(err, nil)
	}
	rows, err := c.Scan(ctx, "a/", "a/1", 10)
	must(err, nil)
	if len(rows) != 2 || rows[0].Key != "a/2" || rows[1].Key != "a/3" {
		t.Errorf("got scan %+v", rows)
	}
	must(c.Delete(ctx, "a/1", 1), store.ErrConflict)
	must(c.Delete(ctx, "a/1", 2), nil)
	_, err = c.Get(ctx, "a/1")
	must(err, store.ErrNotFound)

	value := bytes.Repeat([]byte{0, 255}, 50_000)
	must(c.Objects().Put(ctx, "snapshot/1", value), nil)
	back, err := c.Objects().Get(ctx, "snapshot/1")
	must(err, nil)
	if !bytes.Equal(back, value) {
		t.Error("the object changed")
	}
	_, err = c.Objects().Get(ctx, "snapshot/2")
	must(err, store.ErrNotFound)

	p.SetLag(300 * time.Millisecond)
	p.PutVM(store.VM{Name: "vm-1", Leaving: true})
	vms, err := c.List(ctx)
	must(err, nil)
	if len(vms) != 0 {
		t.Errorf("the list shows %+v without a lag", vms)
	}
	time.Sleep(350 * time.Millisecond)
	vms, err = c.List(ctx)
	must(err, nil)
	if len(vms) != 1 || !vms[0].Leaving {
		t.Errorf("got VMs %+v", vms)
	}
}

// TestRateLimit guards against a fake platform that accepts more writes than its
// limit, which would hide a client that writes too often.
func TestRateLimit(t *testing.T) {
	c, p := start(t, plat.Options{WritesPerSecond: 5})
	refused := 0
	for i := range 5 {
		_, err := c.Insert(context.Background(), string(rune('a'+i)), nil)
		if errors.Is(err, store.ErrUnavailable) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused == 0 || int64(refused) != p.Stats().Refused {
		t.Errorf("%d of 5 writes at once were refused at 5 per second, counted %d", refused, p.Stats().Refused)
	}
}
