package load

import "time"

// bucket is an ideal token bucket: one counter with the whole rate and burst of
// a workspace, which no distribution over nodes makes smaller.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func newBucket(rate float64, burst int64, level float64) *bucket {
	return &bucket{
		rate:  rate,
		burst: float64(burst),
		level: level,
	}
}

// allowance bounds what a workspace is entitled to. Nobody outside the fleet
// knows the level at the start of a run: the low bucket, which decides about
// refusals, starts empty, and the high one, which decides about excess, full.
type allowance struct {
	low, high *bucket
}

func newAllowance(rate float64, burst int64) allowance {
	return allowance{
		low:  newBucket(rate, burst, 0),
		high: newBucket(rate, burst, float64(burst)),
	}
}

func (a allowance) take(at time.Duration, tokens int64) {
	a.low.take(at, tokens)
	a.high.take(at, tokens)
}

// refill brings the level up to an instant; earlier instants change nothing.
func (b *bucket) refill(at time.Duration) {
	if at <= b.at {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
}

// holds tells whether the bucket has the tokens.
func (b *bucket) holds(at time.Duration, tokens int64) bool {
	b.refill(at)
	return b.level >= float64(tokens)
}

// take charges tokens. The level falls below zero when more is taken than the
// workspace is entitled to.
func (b *bucket) take(at time.Duration, tokens int64) {
	b.refill(at)
	b.level -= float64(tokens)
}
