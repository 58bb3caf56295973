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
// knows the level at the start of a run: the buckets that decide about refusals
// start empty, the one that decides about excess starts full.
type allowance struct {
	// offered is charged with everything that was sent, and so empty while a
	// workspace sends more than its rate.
	offered *bucket
	// low and high are charged with what the fleet admitted.
	low, high *bucket
}

func newAllowance(rate float64, burst int64) allowance {
	return allowance{
		offered: newBucket(rate, burst, 0),
		low:     newBucket(rate, burst, 0),
		high:    newBucket(rate, burst, float64(burst)),
	}
}

// offer charges a request that was sent and tells whether it is within the rate.
func (a allowance) offer(at time.Duration, tokens int64) bool {
	within := a.offered.holds(at, tokens)
	a.offered.take(at, tokens)
	// Without the floor, an overload would count against the workspace long
	// after its end.
	a.offered.level = max(0, a.offered.level)
	return within
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
