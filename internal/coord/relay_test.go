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

// TestFormerBuildBesideCoordinator guards against a node of a build without eras that has no
// coordinator, because its regular messages are taken for requests to resign.
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
