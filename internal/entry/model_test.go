package entry

import (
	"net/http"
	"strings"
	"testing"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/route"
)

// TestProblemWithinStream guards against the text of an engine's refusal to resume a stream
// in the caller's stream, and against counting it as the caller's mistake.
func TestProblemWithinStream(t *testing.T) {
	c := &completion{
		delivered: true,
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable} {
		p := c.failureProblem(&engine.StatusError{
			Status:  status,
			Message: "text of the engine",
		}, once.Verdict{}, route.Choice{Endpoint: "e1"})
		if p.Reason != audit.StreamBroken || strings.Contains(p.Message, "text of the engine") {
			t.Errorf("status %d: %+v, want %s", status, p, audit.StreamBroken)
		}
	}
}
