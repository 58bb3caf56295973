package serve

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// TestSameEndpointAgain guards against sending a request to the same endpoint again as if
// for the first time: an earlier refusal that the endpoint writes once more on the kept
// connection would then count as the refusal of the attempt that runs.
func TestSameEndpointAgain(t *testing.T) {
	again := 0
	for range 50 {
		h := newHarness(t, fixedAdmission{})
		h.table.SetEndpoints(time.Now(), []fleet.Endpoint{
			{ID: "a", Incarnation: 1, Service: "app", Domain: "north", Address: "10.0.0.1:80"},
			{ID: "b", Incarnation: 1, Service: "app", Domain: "north", Address: "10.0.0.2:80"},
		})
		h.sender.outcomes = []fakeOutcome{outcomeRejected, outcomeNoConnection}
		if c := h.serve("book"); c.status != 200 || len(h.sender.attempts) != 3 {
			t.Fatalf("status %d after %d attempts, want 200 after 3", c.status, len(h.sender.attempts))
		}
		a := h.sender.attempts
		if a[0].Again || a[1].Again {
			t.Error("the first attempt at an endpoint counts as the second")
		}
		if want := a[2].Endpoint.ID == a[0].Endpoint.ID; a[2].Again != want {
			t.Errorf("the third attempt has Again %v, want %v", a[2].Again, want)
		}
		if a[2].Again {
			again++
		}
	}
	if again == 0 {
		t.Error("no request reached the same endpoint twice")
	}
}
