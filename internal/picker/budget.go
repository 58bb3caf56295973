package picker

import "time"

const (
	// budgetBuckets is the number of buckets that divide the window of the retry
	// budget.
	budgetBuckets = 10
	// budgetRingSize has one more bucket, since the window also covers a part of
	// the bucket before its first whole one.
	budgetRingSize = budgetBuckets + 1
	// budgetSafetyFactor is the fraction of the allowed retries that is used. The
	// rest covers requests that an observer counts in a neighbouring window.
	budgetSafetyFactor = 0.8
)

// Budget is a retry budget: it bounds the repeats of requests to one service in a
// sliding window. Each node applies the ratio to its own requests and uses its
// share of the slack, so the sum over all nodes stays within the bound however
// unevenly requests arrive.
type Budget struct {
	ratio       float64
	slack       float64
	bucketWidth time.Duration
	buckets     [budgetRingSize]struct {
		number   int64
		requests float64
		repeats  float64
	}
}

// NewBudget returns a budget that allows ratio times the requests in the window,
// plus slack, which is this node's share of the total slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		ratio:       ratio,
		slack:       slack,
		bucketWidth: window / budgetBuckets,
	}
}

// SetBounds changes the ratio and this node's share of the slack.
func (b *Budget) SetBounds(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

// bucketIndex returns the index of the bucket for now, and clears the bucket if it
// still has the counts of an earlier window.
func (b *Budget) bucketIndex(now time.Time) int {
	n := now.UnixNano() / int64(b.bucketWidth)
	i := int(n % budgetRingSize)
	if b.buckets[i].number != n {
		b.buckets[i].number, b.buckets[i].requests, b.buckets[i].repeats = n, 0, 0
	}
	return i
}

// CountRequest counts a caller's request, which raises the number of repeats that
// the budget allows.
func (b *Budget) CountRequest(now time.Time) { b.buckets[b.bucketIndex(now)].requests++ }

// AllowRepeat counts a repeat if the budget allows it, and reports whether it does.
// To stay below the bound, repeats are counted over slightly more than the window
// and requests over slightly less.
func (b *Budget) AllowRepeat(now time.Time) bool {
	at := b.bucketIndex(now)
	newest := b.buckets[at].number
	var requests, repeats float64
	for i := range b.buckets {
		age := newest - b.buckets[i].number
		if age <= budgetBuckets {
			repeats += b.buckets[i].repeats
		}
		if age < budgetBuckets {
			requests += b.buckets[i].requests
		}
	}
	if repeats+1 > budgetSafetyFactor*(b.ratio*requests+b.slack) {
		return false
	}
	b.buckets[at].repeats++
	return true
}
