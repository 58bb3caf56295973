// Package clock provides the time source of the packages whose decisions depend
// on time, and a fake one for their tests.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a source of the current time. The times of one Clock never decrease.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// Real is a Clock that also advances while the VM is suspended. Leases are
// measured with it, so that the lease of a suspended holder still expires on time.
type Real struct {
	start       time.Time
	startUptime time.Duration
}

// NewReal returns a Real that starts at the current wall-clock time and ignores
// later adjustments of it.
func NewReal() *Real {
	return &Real{
		start:       time.Now().Round(0),
		startUptime: uptime(),
	}
}

// Now implements Clock.
func (r *Real) Now() time.Time {
	return r.start.Add(uptime() - r.startUptime)
}

// uptime returns the time since boot, including the time in suspend.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Leases are not safe without it.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a Clock for tests whose time changes only by Advance. The zero value is
// not ready for use; call NewFake.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake set to a fixed date.
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
