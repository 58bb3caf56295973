package cmds

import (
	"os"
	"syscall"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/drain"
)

// TestAwaitStop guards against a process that was suspended when its signal arrived and
// counts its drain from the handling of the signal, or was resumed before the signal was sent
// and counts from the begin of the suspension.
func TestAwaitStop(t *testing.T) {
	for _, tc := range []struct {
		name string
		// tickFirst is whether a tick is handled between the suspension and the signal.
		tickFirst bool
		// probed is whether the probe for that tick arrives before the signal.
		probed bool
	}{
		{name: "signal first"},
		{name: "tick first", tickFirst: true},
		{name: "tick and probe first", tickFirst: true, probed: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewFake()
			ticks, stops := make(chan time.Time), make(chan os.Signal)
			sent, probes := make(chan bool, 1), make(chan os.Signal)
			probe := drain.Probe{
				Send: func() error {
					sent <- true
					return nil
				},
				C: probes,
			}
			arrived := make(chan time.Time, 1)
			go func() { arrived <- awaitStop(t.Context(), clk, func() <-chan time.Time { return ticks }, stops, probe) }()
			for range 5 {
				clk.Advance(aliveInterval)
				ticks <- time.Time{}
			}
			suspended := clk.Now()
			clk.Advance(5 * time.Second)
			if tc.tickFirst {
				ticks <- time.Time{}
			}
			earliest := suspended
			if tc.probed {
				<-sent
				probes <- syscall.SIGWINCH
				earliest = clk.Now()
			}
			stops <- syscall.SIGTERM
			if at := <-arrived; at.After(earliest) || earliest.Sub(at) > 3*aliveInterval {
				t.Errorf("counted from %v after the earliest time of the signal", at.Sub(earliest))
			}
		})
	}
}
