package load

import "time"

// bucket is an ideal token bucket: a single counter with the whole rate and burst
// of a workspace, which are not reduced by their distribution over nodes.
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

// allowance bounds the tokens that a workspace may use. The level of the fleet's
// own limit at the start of a run is unknown, so the buckets that judge refusals
// start empty, and the one that judges excess starts full.
type allowance struct {
	// sent is charged with every request that was sent, so it stays empty while
	// a workspace sends more than its rate.
	sent *bucket
	// admittedMin and admittedMax are charged with the requests that the fleet
	// admitted. They are the lowest and the highest possible level.
	admittedMin, admittedMax *bucket
}

func newAllowance(rate float64, burst int64) allowance {
	return allowance{
		sent:        newBucket(rate, burst, 0),
		admittedMin: newBucket(rate, burst, 0),
		admittedMax: newBucket(rate, burst, float64(burst)),
	}
}

// recordSent charges a request that was sent and reports whether it was within
// the rate.
func (a allowance) recordSent(at time.Duration, tokens int64) bool {
	within := a.sent.hasTokens(at, tokens)
	a.sent.charge(at, tokens)
	// Without this floor, requests over the rate would still count against the
	// workspace long after an overload.
	a.sent.level = max(0, a.sent.level)
	return within
}

func (a allowance) charge(at time.Duration, tokens int64) {
	a.admittedMin.charge(at, tokens)
	a.admittedMax.charge(at, tokens)
}

// refill adds the tokens up to an instant. Instants before the last refill have
// no effect.
func (b *bucket) refill(at time.Duration) {
	if at <= b.at {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
}

// hasTokens reports whether the bucket holds that many tokens at an instant.
func (b *bucket) hasTokens(at time.Duration, tokens int64) bool {
	b.refill(at)
	return b.level >= float64(tokens)
}

// charge removes tokens. The level becomes negative when more is charged than the
// workspace may use.
func (b *bucket) charge(at time.Duration, tokens int64) {
	b.refill(at)
	b.level -= float64(tokens)
}
