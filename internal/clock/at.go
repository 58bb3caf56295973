package clock

import (
	"context"
	"time"
)

// checkInterval is how often At compares the time with its end.
const checkInterval = 20 * time.Millisecond

// At calls f at a time of a clock, unless ctx ends before. Unlike a timer, it does not stand
// still while the VM is suspended.
func At(ctx context.Context, c Clock, t time.Time, f func()) {
	for now := c.Now(); now.Before(t); now = c.Now() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(checkInterval, t.Sub(now))):
		}
	}
	f()
}
