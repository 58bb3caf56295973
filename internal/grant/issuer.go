// Package grant limits the requests that all nodes together admit for a workspace, or send
// to an endpoint, to its rate and burst. The names of workspaces and of endpoints are the
// names of limits here; those of the two kinds are held apart by their own issuer, node
// limiters and pools.
//
// One node, the coordinator, holds a token bucket for each workspace and issues
// tokens from it. Issued tokens expire after Term, so tokens spent in a window
// were issued in the window or at most Term before it. A node that cannot reach
// the coordinator admits at its fraction of the rate, and the coordinator
// subtracts the fractions of such nodes from its own refill. The sum of these
// fractions and of the refill is the rate.
//
// The package has no goroutines and does no I/O.
package grant

import (
	"maps"
	"time"
)

// Term is how long issued tokens may be spent. It counts from when the node sent
// its token request, on that node's clock. Requests rarely wait longer than this
// between two exchanges with the coordinator.
const Term = 600 * time.Millisecond

// Limit is the rate of a workspace in tokens per second and its burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// Issuer holds the token buckets of all workspaces at the coordinator. It is not
// safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket
	// refillPart is the part of each rate that refills the buckets. The rest is
	// reserved for nodes that do not reach the coordinator.
	refillPart float64
	// initialTokens is the level at which a new bucket starts, unless startFull
	// is set.
	initialTokens float64
	startFull     bool
	// handedOver are the levels of a former issuer's buckets that do not exist here yet.
	handedOver map[string]float64
	turns      turns
}

type bucket struct {
	limit     Limit
	level     float64
	updatedAt time.Time
	// withheld is how many tokens more the bucket may have held at the start of the
	// issuer, less those that were refilled since.
	withheld float64
}

// NewIssuer returns an issuer without limits. Buckets start with at most
// initialTokens, because an earlier coordinator may have issued tokens that are
// not spent yet. If there was none, startFull makes them start with the burst.
func NewIssuer(initialTokens float64, startFull bool) *Issuer {
	return &Issuer{
		buckets:       make(map[string]*bucket),
		refillPart:    1,
		initialTokens: initialTokens,
		startFull:     startFull,
		handedOver:    make(map[string]float64),
		turns: turns{
			byName: make(map[string][]turn),
		},
	}
}

// SetLimits replaces the limits of all workspaces. Workspaces that are not in
// limits lose their bucket.
func (s *Issuer) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range s.buckets {
		if _, ok := limits[name]; !ok {
			delete(s.buckets, name)
			delete(s.turns.byName, name)
		}
	}
	for name, l := range limits {
		b := s.buckets[name]
		if b == nil {
			b = &bucket{
				limit:     l,
				level:     min(l.Burst, s.initialTokens),
				updatedAt: now,
			}
			if s.startFull {
				b.level = l.Burst
			}
			b.withheld = l.Burst - b.level
			s.buckets[name] = b
			if level, ok := s.handedOver[name]; ok {
				delete(s.handedOver, name)
				s.AddTokens(now, name, level)
			}
		}
		b.refill(now, s.refillPart)
		b.limit = l
		b.level = min(b.level, l.Burst)
		b.withheld = min(b.withheld, l.Burst-b.level)
	}
}

// SetReserved sets the part of each rate that is not refilled because nodes that
// do not reach the coordinator admit at it.
func (s *Issuer) SetReserved(now time.Time, reserved float64) {
	refillPart := min(1, max(0, 1-reserved))
	if refillPart == s.refillPart {
		return
	}
	for _, b := range s.buckets {
		b.refill(now, s.refillPart)
	}
	s.refillPart = refillPart
}

func (b *bucket) refill(now time.Time, refillPart float64) {
	if d := now.Sub(b.updatedAt); d > 0 {
		refilled := d.Seconds() * b.limit.Rate * refillPart
		b.level = min(b.limit.Burst, b.level+refilled)
		b.withheld = max(0, b.withheld-refilled)
		b.updatedAt = now
	}
}

// Issue takes up to want tokens of a workspace from its bucket. need is the size
// of the smallest waiting request. If that request is larger than the burst, a
// full bucket still issues it, and the level becomes negative.
func (s *Issuer) Issue(now time.Time, workspace string, want, need float64) float64 {
	b := s.buckets[workspace]
	if b == nil || want <= 0 {
		return 0
	}
	b.refill(now, s.refillPart)
	issued := min(want, max(0, b.level))
	if issued < need && b.level >= min(need, b.limit.Burst)*fullBucketPart {
		issued = need
	}
	if issued < need {
		// Fewer tokens than one request needs would expire unused at the node.
		return 0
	}
	b.level -= issued
	return issued
}

// Shortage states that there are fewer than need tokens of a workspace.
func (s *Issuer) Shortage(now time.Time, workspace string, need float64) Shortage {
	b := s.buckets[workspace]
	if b == nil {
		// The issuer does not know the limit yet.
		return Shortage{
			Workspace: workspace,
			RetryIn:   minRetryWait,
			RefillIn:  minRetryWait,
		}
	}
	b.refill(now, s.refillPart)
	need = min(need, b.limit.Burst*fullBucketPart)
	refillIn := maxRefillWait
	if rate := b.limit.Rate * s.refillPart; rate*maxRefillWait.Seconds() > need-b.level {
		refillIn = time.Duration((need - b.level) / rate * float64(time.Second))
	}
	refillIn = max(minRetryWait, refillIn)
	out := Shortage{
		Workspace: workspace,
		RetryIn:   min(refillIn, maxRetryWait),
	}
	if b.level+b.withheld >= need {
		out.RefillIn = refillIn
	}
	return out
}

const (
	// minRetryWait and maxRetryWait limit the time after which a node requests
	// tokens again that it did not get. The minimum is a few network round trips
	// to the issuer. The maximum covers other causes that fill a bucket, such as
	// a released fraction of the rate.
	minRetryWait = 15 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
	// maxRefillWait is longer than any request waits for tokens.
	maxRefillWait = time.Minute
)

// fullBucketPart is the part of the burst from which a bucket is treated as full
// for a request larger than the burst.
const fullBucketPart = 0.98

// AddTokens adds the tokens that a former issuer had not issued when it stopped.
// A negative level is subtracted. If the limit of the workspace is not known yet, its bucket
// gets them when it is.
func (s *Issuer) AddTokens(now time.Time, workspace string, level float64) {
	b := s.buckets[workspace]
	if b == nil {
		s.handedOver[workspace] += level
		return
	}
	b.refill(now, s.refillPart)
	b.level = min(b.limit.Burst, b.level+level)
	b.withheld = 0
}

// Levels returns the levels of all buckets by workspace, and those handed over for buckets
// that do not exist yet.
func (s *Issuer) Levels(now time.Time) map[string]float64 {
	out := maps.Clone(s.handedOver)
	for name := range s.buckets {
		out[name] = s.Level(now, name)
	}
	return out
}

// Level returns the level of a workspace's bucket.
func (s *Issuer) Level(now time.Time, workspace string) float64 {
	b := s.buckets[workspace]
	if b == nil {
		return 0
	}
	b.refill(now, s.refillPart)
	return b.level
}
