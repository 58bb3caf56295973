package coord

import (
	"context"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/store"
)

// TestEraLearnedLate guards against an endpoint that stays in use for longer than its drain
// time after its entry was removed, because this node reads the store for the first time
// since its restore, long after all others have read it.
func TestEraLearnedLate(t *testing.T) {
	ctx := context.Background()
	n := newTestFleet(t).prepare("a", 1)
	if err := n.SetRawConfig(ctx, []byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	n.SetEndpoints(ctx, testEndpoints, store.Revision(1, 60), true)
	n.StoreRestored()
	n.SetEndpoints(ctx, nil, store.Revision(1, 90), true)
	if list := n.opts.Table.Endpoints(); len(list) != 0 {
		t.Errorf("%d endpoints in use without an entry", len(list))
	}
}

// TestExchangeOfBuildWithoutEras guards against a message of a build without eras that is
// taken for a request to resign: that node then has no coordinator, and the coordinator may
// end its tenure.
func TestExchangeOfBuildWithoutEras(t *testing.T) {
	for _, newest := range []int64{0, 1, 2} {
		x := transcode[Exchange](t, &formerExchange{ListingVersion: 60})
		x.join(newest)
		if x.Resign != 0 || x.Term != 0 {
			t.Errorf("newest era %d: resign %d, term %d, want none", newest, x.Resign, x.Term)
		}
		r := transcode[Reply](t, &formerReply{})
		r.join(newest)
		if r.ListingVersion != 0 || r.LeaseVersion != 0 || r.Term != 0 {
			t.Errorf("newest era %d: listing %d, lease %d, term %d, want none", newest, r.ListingVersion, r.LeaseVersion, r.Term)
		}
	}
}

// TestFormerBuildBesideCoordinator guards against the same in a fleet: the coordinator has
// taken its lease in an era above 0, as all have whose store counts from 1.
func TestFormerBuildBesideCoordinator(t *testing.T) {
	ctx := context.Background()
	f := newTestFleet(t)
	f.table.era = 1
	n := f.start("a")
	f.awaitCoordinator(10*time.Second, n)
	r, err := n.HandleExchange(ctx, &Exchange{Node: "b", Address: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Coordinator {
		t.Error("the coordinator does not answer as such")
	}
}
