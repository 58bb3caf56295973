package clock

import (
	"testing"
	"time"
)

// TestAtAfterSuspension guards against a stopping process whose VM was suspended and which
// waits for the end of its grace by timers that stood still meanwhile.
func TestAtAfterSuspension(t *testing.T) {
	clk := NewFake()
	ended := make(chan struct{})
	go At(t.Context(), clk, clk.Now().Add(time.Minute), func() { close(ended) })
	select {
	case <-ended:
		t.Fatal("the grace ended at once")
	case <-time.After(5 * checkInterval):
	}
	clk.Advance(time.Minute)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the grace did not end after the suspension")
	}
}
