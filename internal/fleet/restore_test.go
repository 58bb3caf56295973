package fleet

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/store"
)

// TestRegistryAfterRestore guards against an endpoint that gets requests again, because a
// copy from which the store was restored still has it as ready, although it said that it
// leaves or was removed since; and against endpoints that are dropped because the copy does
// not have them yet.
func TestRegistryAfterRestore(t *testing.T) {
	entry := func(era, version int64, name string, incarnation int64, leaving bool) Change {
		return Change{
			Name:     name,
			Version:  store.Revision(era, version),
			Endpoint: testEndpoint(name, incarnation, leaving),
		}
	}
	gone := func(era, version int64, name string) Change {
		return Change{
			Name:    name,
			Version: store.Revision(era, version),
		}
	}
	type step struct {
		after    time.Duration
		version  int64
		changes  []Change
		complete bool
		adopt    bool
		want     string
	}
	ready := step{version: 100, changes: []Change{entry(0, 90, "a", 1, false), entry(0, 91, "b", 1, false)}, complete: true, want: "a b "}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{
			name: "leaving before, ready in the copy",
			steps: []step{
				ready,
				{version: 110, changes: []Change{entry(0, 110, "a", 1, true)}, want: "a! b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, complete: true, want: "a! b "},
				{version: store.Revision(1, 62), changes: []Change{entry(1, 62, "a", 2, false)}, want: "a b "},
			},
		},
		{
			name: "left and removed before, ready in the copy",
			steps: []step{
				ready,
				{version: 110, changes: []Change{entry(0, 110, "a", 1, true)}, want: "a! b "},
				{version: 111, changes: []Change{gone(0, 111, "a")}, want: "b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, complete: true, want: "b "},
				{version: store.Revision(1, 61), changes: []Change{entry(1, 61, "a", 1, false)}, want: "b "},
				{version: store.Revision(1, 62), changes: []Change{entry(1, 62, "a", 2, false)}, want: "a b "},
			},
		},
		{
			name: "removed without leaving, ready in the copy, not written again",
			steps: []step{
				ready,
				{version: 111, changes: []Change{gone(0, 111, "a")}, want: "b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, complete: true, want: "b "},
				{version: store.Revision(1, 63), changes: []Change{gone(1, 63, "a")}, want: "b "},
			},
		},
		{
			name: "removed without leaving, written again after the copy",
			steps: []step{
				ready,
				{version: 111, changes: []Change{gone(0, 111, "a")}, want: "b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, complete: true, want: "b "},
				{version: store.Revision(1, 63), changes: []Change{entry(1, 63, "a", 1, false)}, want: "a b "},
			},
		},
		{
			name: "removed without leaving, an earlier incarnation in the copy",
			steps: []step{
				{version: 100, changes: []Change{entry(0, 90, "a", 5, false), entry(0, 91, "b", 1, false)}, complete: true, want: "a b "},
				{version: 111, changes: []Change{gone(0, 111, "a")}, want: "b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, complete: true, want: "b "},
			},
		},
		{
			name: "missing in the copy, without any failed call",
			steps: []step{
				ready,
				{version: store.Revision(1, 60), changes: []Change{entry(1, 51, "b", 1, false)}, complete: true, want: "a b "},
				{after: 1900 * time.Millisecond, version: store.Revision(1, 70), changes: []Change{entry(1, 70, "a", 1, false)}, want: "a b "},
				{after: time.Second, version: store.Revision(1, 71), changes: []Change{entry(1, 71, "b", 1, false)}, want: "a b "},
			},
		},
		{
			name: "missing in the copy and not written again",
			steps: []step{
				ready,
				{version: store.Revision(1, 60), changes: []Change{entry(1, 51, "b", 1, false)}, complete: true, want: "a b "},
				{after: 2400 * time.Millisecond, version: store.Revision(1, 71), changes: []Change{entry(1, 71, "b", 1, false)}, want: "b "},
			},
		},
		{
			name: "a row of another writer in the copy",
			steps: []step{
				ready,
				{version: store.Revision(1, 60), changes: []Change{gone(1, 50, "a"), entry(1, 51, "b", 1, false)}, complete: true, want: "a b "},
				{after: time.Second, version: store.Revision(1, 63), changes: []Change{entry(1, 63, "a", 1, false)}, want: "a b "},
			},
		},
		{
			name: "missing in the list of a node that has read the copy",
			steps: []step{
				ready,
				{version: store.Revision(1, 60), changes: []Change{entry(1, 51, "b", 1, false)}, adopt: true, want: "a b "},
				{after: time.Second, version: store.Revision(1, 66), changes: []Change{entry(1, 66, "a", 1, false), entry(1, 51, "b", 1, false)}, adopt: true, want: "a b "},
			},
		},
		{
			name: "leaving, ready in the list of a node that knows only the copy",
			steps: []step{
				ready,
				{version: 110, changes: []Change{entry(0, 110, "a", 1, true)}, want: "a! b "},
				{version: store.Revision(1, 60), changes: []Change{entry(1, 50, "a", 1, false), entry(1, 51, "b", 1, false)}, adopt: true, want: "a! b "},
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRegistry()
			now := time.Unix(1000, 0)
			for i, s := range tc.steps {
				now = now.Add(s.after)
				if s.adopt {
					r.Adopt(now, s.changes, s.version)
				} else {
					r.Apply(now, s.changes, s.version, s.complete)
				}
				r.Expire(now)
				if got := endpointIDs(r); got != s.want {
					t.Fatalf("step %d: endpoints %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestListVersionAfterRestore guards against a list of endpoints from before a restore of
// the store that is newer than the one read after it, because nothing had changed.
func TestListVersionAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := NewRegistry(), NewRegistry()
	for _, r := range []*Registry{before, after} {
		r.Apply(now, []Change{{Name: "a", Version: 90, Endpoint: testEndpoint("a", 1, false)}}, 100, true)
	}
	after.Apply(now, []Change{{Name: "a", Version: store.Revision(1, 50), Endpoint: testEndpoint("a", 1, false)}}, store.Revision(1, 60), true)
	before.Apply(now, []Change{{Name: "a", Version: 110}}, 110, false)
	if before.Version() >= after.Version() {
		t.Errorf("the list from before the restore has version %d, the one from after it %d", before.Version(), after.Version())
	}
}
