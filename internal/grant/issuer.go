// Package grant keeps what all nodes admit for a workspace within its rate and
// burst.
//
// One node, the coordinator, holds a bucket for each workspace and issues
// tokens from it. Issued tokens are spent within Term or not at all, so what is
// spent in a window was issued in the window or at most Term before it. A node
// that cannot reach the coordinator admits at its fraction of the rate, and the
// coordinator keeps the fractions of such nodes out of its own refill. The sum
// of all fractions and of the refill is the rate.
//
// The package has no goroutines and does no I/O.
package grant

import "time"

// Term is how long issued tokens may be spent, on the clock of the node that
// asked for them and from before it asked. A request rarely waits longer than
// this between two exchanges with the coordinator.
const Term = 600 * time.Millisecond

// Limit is the rate and burst of a workspace.
type Limit struct {
	Rate  float64
	Burst float64
}

// Issuer holds the buckets of all workspaces at the coordinator.
type Issuer struct {
	buckets map[string]*bucket
	// part is the fraction of the rates that no node without contact may use.
	part float64
	// head is the level of a bucket that is new to this issuer.
	head float64
	full bool
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
}

// NewIssuer returns an issuer without limits. Where an earlier coordinator may
// have issued tokens, buckets start with no more than head tokens; full starts
// them with the burst.
func NewIssuer(head float64, full bool) *Issuer {
	return &Issuer{
		buckets: make(map[string]*bucket),
		part:    1,
		head:    head,
		full:    full,
	}
}

// SetLimits takes over the limits of all workspaces.
func (s *Issuer) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range s.buckets {
		if _, ok := limits[name]; !ok {
			delete(s.buckets, name)
		}
	}
	for name, l := range limits {
		b := s.buckets[name]
		if b == nil {
			b = &bucket{
				limit: l,
				level: min(l.Burst, s.head),
				at:    now,
			}
			if s.full {
				b.level = l.Burst
			}
			s.buckets[name] = b
		}
		b.fill(now, s.part)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
}

// SetReserved keeps the fractions of nodes without contact out of the refill.
func (s *Issuer) SetReserved(now time.Time, reserved float64) {
	part := min(1, max(0, 1-reserved))
	if part == s.part {
		return
	}
	for _, b := range s.buckets {
		b.fill(now, s.part)
	}
	s.part = part
}

func (b *bucket) fill(now time.Time, part float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.limit.Burst, b.level+d.Seconds()*b.limit.Rate*part)
		b.at = now
	}
}

// Issue takes up to want tokens of a workspace. A request may be larger than
// the burst: need is the size of the smallest waiting request, which is issued
// from a bucket that is full, and the bucket owes the rest.
func (s *Issuer) Issue(now time.Time, workspace string, want, need float64) float64 {
	b := s.buckets[workspace]
	if b == nil || want <= 0 {
		return 0
	}
	b.fill(now, s.part)
	got := min(want, max(0, b.level))
	if got < need && b.level >= min(need, b.limit.Burst)*fullEnough {
		got = need
	}
	if got < need {
		// Less than one request would only expire at the node that asked.
		return 0
	}
	b.level -= got
	return got
}

// Wait is in what time a bucket is likely to hold need tokens.
func (s *Issuer) Wait(now time.Time, workspace string, need float64) time.Duration {
	b := s.buckets[workspace]
	if b == nil {
		return 0
	}
	b.fill(now, s.part)
	need = min(need, b.limit.Burst*fullEnough)
	rate := b.limit.Rate * s.part
	if rate*shortMost.Seconds() < need-b.level {
		return shortMost
	}
	return max(shortLeast, time.Duration((need-b.level)/rate*float64(time.Second)))
}

const (
	// shortLeast and shortMost bound the time after which a node asks again for
	// tokens that it did not get. The least is a few times the way to the issuer
	// and back, the most is how soon a bucket may fill by other means.
	shortLeast = 15 * time.Millisecond
	shortMost  = 500 * time.Millisecond
)

// fullEnough is the part of the burst at which a bucket counts as full for a
// request larger than the burst.
const fullEnough = 0.98

// Inherit adds what a former issuer had not issued when it stopped.
func (s *Issuer) Inherit(now time.Time, workspace string, level float64) {
	b := s.buckets[workspace]
	if b == nil {
		return
	}
	b.fill(now, s.part)
	b.level = min(b.limit.Burst, b.level+level)
}

// Levels returns the tokens that all buckets hold.
func (s *Issuer) Levels(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(s.buckets))
	for name := range s.buckets {
		out[name] = s.Level(now, name)
	}
	return out
}

// Level returns the tokens that a workspace's bucket holds, for logs and tests.
func (s *Issuer) Level(now time.Time, workspace string) float64 {
	b := s.buckets[workspace]
	if b == nil {
		return 0
	}
	b.fill(now, s.part)
	return b.level
}
