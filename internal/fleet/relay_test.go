package fleet

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/store"
)

// adoptNewer passes the list of one registry to another if it is newer, as nodes do.
func adoptNewer(now time.Time, from, to *Registry) {
	if from.Version() > to.Version() {
		to.Adopt(now, from.Changes(), from.Version())
	}
}

// TestMissingInListsOfOthers guards against an endpoint that stays in use for good after
// its entry was lost with a restore of the store: nodes that pass on lists in which it
// is still named make each other forget that the store does not have it.
func TestMissingInListsOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, other := NewRegistry(), NewRegistry()
	ready := []Change{
		{Name: "a", Version: 90, Endpoint: testEndpoint("a", 1, false)},
		{Name: "b", Version: 91, Endpoint: testEndpoint("b", 1, false)},
		{Name: "c", Version: 92, Endpoint: testEndpoint("c", 1, false)},
	}
	reader.Apply(now, ready, 100, true)
	adoptNewer(now, reader, other)
	row := func(version int64, name string, leaving bool) []Change {
		return []Change{{Name: name, Version: store.Revision(1, version), Endpoint: testEndpoint(name, 1, leaving)}}
	}
	// The copy does not have a, which has ended; c says that it leaves.
	reader.Apply(now, append(row(50, "b", false), row(51, "c", true)...), store.Revision(1, 60), true)
	for i := range 10 {
		now = now.Add(500 * time.Millisecond)
		adoptNewer(now, reader, other)
		adoptNewer(now, other, reader)
		if i < 4 {
			// Other endpoints write their entries again.
			reader.Apply(now, row(int64(70+i), string(rune('d'+i)), false), store.Revision(1, int64(70+i)), false)
		}
		adoptNewer(now, reader, other)
		reader.Expire(now)
		other.Expire(now)
	}
	for _, r := range []*Registry{reader, other} {
		if got := endpointIDs(r); got != "b c! d e f g " {
			t.Errorf("endpoints %q 5 s after the restore, want %q", got, "b c! d e f g ")
		}
	}
}

// TestExpiredInCopy guards against an endpoint that gets requests again because a copy of
// the store, from before an outage after which its entry did not return, still has it.
func TestExpiredInCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	r.Apply(now, []Change{
		{Name: "a", Version: 90, Endpoint: testEndpoint("a", 1, false)},
		{Name: "b", Version: 91, Endpoint: testEndpoint("b", 1, false)},
	}, 100, true)
	r.StoreRecovered(now)
	r.Apply(now, []Change{{Name: "a", Version: 105}}, 105, false)
	now = now.Add(missingGrace)
	r.Expire(now)
	if got := endpointIDs(r); got != "b " {
		t.Fatalf("endpoints %q after the grace, want %q", got, "b ")
	}
	now = now.Add(3 * time.Second)
	r.Apply(now, []Change{
		{Name: "a", Version: store.Revision(1, 90), Endpoint: testEndpoint("a", 1, false)},
		{Name: "b", Version: store.Revision(1, 91), Endpoint: testEndpoint("b", 1, false)},
	}, store.Revision(1, 100), true)
	if got := endpointIDs(r); got != "b " {
		t.Errorf("endpoints %q after the restore, want %q", got, "b ")
	}
}

// TestListVersionAtNewEra guards against nodes that fetch each other's lists for nothing,
// because the list that a node has taken over in a new era of the store counts as newer
// than the one of the node that has read the store.
func TestListVersionAtNewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, other := NewRegistry(), NewRegistry()
	reader.Apply(now, []Change{{Name: "a", Version: 90, Endpoint: testEndpoint("a", 1, false)}}, 100, true)
	adoptNewer(now, reader, other)
	reader.Apply(now, []Change{{Name: "a", Version: store.Revision(1, 50), Endpoint: testEndpoint("a", 1, true)}}, store.Revision(1, 60), true)
	adoptNewer(now, reader, other)
	if other.Version() != reader.Version() {
		t.Errorf("the list has version %d where the store was read and %d where it was taken over", reader.Version(), other.Version())
	}
}
