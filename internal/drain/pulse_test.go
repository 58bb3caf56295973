package drain

import (
	"testing"
	"time"
)

// TestPulse guards against a process that was suspended around its signal to stop and counts
// from the moment at which it handles it: then it accepts and runs for too long.
func TestPulse(t *testing.T) {
	began := time.Unix(1000, 0)
	const interval = 100 * time.Millisecond
	for _, tc := range []struct {
		name string
		// beats and sent are times since the start.
		beats []time.Duration
		sent  time.Duration
	}{
		{name: "at the start", sent: 0},
		{name: "between two beats", beats: []time.Duration{interval, 2 * interval}, sent: 250 * time.Millisecond},
		{name: "suspended, signal first", beats: []time.Duration{interval, 2 * interval}, sent: 300 * time.Millisecond},
		{name: "suspended, beat first", beats: []time.Duration{interval, 2 * interval, 3 * time.Second}, sent: 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPulse(began)
			for _, d := range tc.beats {
				p.Beat(began.Add(d))
			}
			since := p.Since().Sub(began)
			if since > tc.sent || tc.sent-since > 2*interval {
				t.Errorf("counted from %v, the signal was sent at %v", since, tc.sent)
			}
		})
	}
}
