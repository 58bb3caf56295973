package proc

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
)

// TestEndOfGraceAfterSuspension guards against a stopping process whose VM was suspended and
// which waits for the end of its grace by timers that stood still meanwhile.
func TestEndOfGraceAfterSuspension(t *testing.T) {
	clk := clock.NewFake()
	ended := make(chan struct{})
	go at(t.Context(), clk, clk.Now().Add(time.Minute), func() { close(ended) })
	select {
	case <-ended:
		t.Fatal("the grace ended at once")
	case <-time.After(5 * drainCheckInterval):
	}
	clk.Advance(time.Minute)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the grace did not end after the suspension")
	}
}
