// Package clock provides the time source of the decision packages.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the current time. The values of one Clock never go back.
type Clock interface {
	Now() time.Time
}

// Real is a Clock that advances while the VM is suspended. Leases are measured
// with it, so that a suspended holder does not find its lease extended.
type Real struct {
	start     time.Time
	startBoot time.Duration
}

// NewReal returns a Real set to the wall time at the call.
func NewReal() *Real {
	return &Real{
		start:     time.Now().Round(0),
		startBoot: bootTime(),
	}
}

// Now implements Clock.
func (r *Real) Now() time.Time {
	return r.start.Add(bootTime() - r.startBoot)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39; without it no lease is safe.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a Clock for tests. The zero value is not ready; use NewFake.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that stands at a fixed date.
func NewFake() *Fake {
	return &Fake{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
