package drain

import "time"

// Pulse knows since when a signal that is handled now may have been waiting. A process that
// was suspended handles a signal after its end, while the one who sent it counts from the
// sending.
type Pulse struct {
	last   time.Time
	before time.Time
}

// NewPulse returns the Pulse of a process that handled signals at now.
func NewPulse(now time.Time) *Pulse {
	return &Pulse{
		last:   now,
		before: now,
	}
}

// Beat notes that the process handles signals at now. It is to be called regularly, by what
// also handles the signals, and not twice within the time that the delivery of a signal takes.
func (p *Pulse) Beat(now time.Time) { p.before, p.last = p.last, now }

// Since returns the earliest time at which a signal that is handled now may have been sent.
// The last beat may come from the same moment as the signal: after a suspension both are due.
func (p *Pulse) Since() time.Time { return p.before }
