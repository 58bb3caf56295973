package coord

import (
	"context"
	"testing"

	"trefoildale.example/trefoildale/internal/fleet"
)

// TestOddEntryOfAnotherNode guards against taking over an entry that names no usable
// endpoint from a node of a build that kept it, and against dropping the whole list then.
func TestOddEntryOfAnotherNode(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("a")
	entry := func(name, id, address string) fleet.Change {
		return fleet.Change{
			Name:    name,
			Version: 1,
			Endpoint: &fleet.Endpoint{
				ID:          id,
				Incarnation: 1,
				Service:     "lm",
				Address:     address,
			},
		}
	}
	listing := &Listing{
		Version: 1 << 40,
		Packed: packEntries([]fleet.Change{
			entry("good", "good", "10.0.0.1:80"),
			entry("port", "port", "10.0.0.1:99999"),
			entry("other", "good", "10.0.0.2:80"),
			entry("line\r\nbreak", "line\r\nbreak", "10.0.0.3:80"),
		}),
	}
	n.applyListing(context.Background(), listing, "b")
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.registry.List()
	if len(list) != 1 || list[0].ID != "good" || list[0].Address != "10.0.0.1:80" || n.registry.Version() != listing.Version {
		t.Errorf("the list as of %d is %+v", n.registry.Version(), list)
	}
}
