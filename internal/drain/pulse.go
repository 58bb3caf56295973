package drain

import "time"

// Pulse knows since when a signal that is handled now may have been waiting. A process that
// was suspended handles a signal after its end, while the one who sent it counts from the
// sending.
type Pulse struct {
	interval time.Duration
	last     time.Time
	before   time.Time
	// asked is when an answer to Beat was given that is not confirmed yet; zero if none.
	asked time.Time
}

// NewPulse returns the Pulse of a process that handled signals at now, and is to call Beat
// after each interval.
func NewPulse(now time.Time, interval time.Duration) *Pulse {
	return &Pulse{
		interval: interval,
		last:     now,
		before:   now,
	}
}

// Beat notes that the process handles signals at now. It is to be called regularly, by what
// also handles the signals, and not twice within the time that the delivery of a signal takes.
// It reports whether the process may have been suspended: then a Probe is to be sent.
func (p *Pulse) Beat(now time.Time) (suspended bool) {
	suspended = now.Sub(p.last) > 2*p.interval
	if suspended {
		p.asked = now
	}
	p.before, p.last = p.last, now
	return suspended
}

// Confirm notes that all signals were handled that were sent before the last answer of Beat.
func (p *Pulse) Confirm() {
	if p.asked.After(p.before) {
		p.before = p.asked
	}
	p.asked = time.Time{}
}

// Since returns the earliest time at which a signal that is handled now may have been sent.
// The last beat may come from the same moment as the signal: after a suspension both are due.
func (p *Pulse) Since() time.Time { return p.before }
