package cmds

import (
	"os"
	"syscall"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
)

// TestAwaitStop guards against a process that was suspended when its signal arrived and
// counts its drain from the handling of the signal.
func TestAwaitStop(t *testing.T) {
	for _, tc := range []struct {
		name string
		// tickFirst is whether a tick is handled between the suspension and the signal.
		tickFirst bool
	}{
		{name: "signal first"},
		{name: "tick first", tickFirst: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewFake()
			ticks, stops := make(chan time.Time), make(chan os.Signal)
			arrived := make(chan time.Time, 1)
			// waits gets an element whenever all ticks before were handled.
			waits := make(chan struct{}, 1)
			next := func() <-chan time.Time {
				waits <- struct{}{}
				return ticks
			}
			go func() { arrived <- awaitStop(t.Context(), clk, next, stops) }()
			<-waits
			for range 5 {
				clk.Advance(aliveInterval)
				ticks <- time.Time{}
				<-waits
			}
			suspended := clk.Now()
			clk.Advance(5 * time.Second)
			if tc.tickFirst {
				ticks <- time.Time{}
			}
			stops <- syscall.SIGTERM
			if at := <-arrived; at.After(suspended) || suspended.Sub(at) > 3*aliveInterval {
				t.Errorf("the signal may have arrived %v after the suspension began", at.Sub(suspended))
			}
		})
	}
}
