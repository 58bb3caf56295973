package drain

import (
	"os"
	"os/signal"
	"syscall"
)

// Probe shows that the signals which were sent to this process before are handled. It is
// itself a signal, without effect, and the system delivers it after those.
type Probe struct {
	// Send sends one.
	Send func() error
	// C receives each that has arrived.
	C <-chan os.Signal
}

// NewProbe returns a Probe and a function that ends it.
func NewProbe() (Probe, func()) {
	const signalWithoutEffect = syscall.SIGWINCH
	c := make(chan os.Signal, 1)
	signal.Notify(c, signalWithoutEffect)
	probe := Probe{
		Send: func() error { return syscall.Kill(os.Getpid(), signalWithoutEffect) },
		C:    c,
	}
	return probe, func() { signal.Stop(c) }
}
