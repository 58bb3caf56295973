package steer

import "time"

const (
	// budgetBuckets divide the window of the retry budget.
	budgetBuckets = 10
	// budgetRing has one bucket more, since the window reaches into the bucket
	// before the first whole one.
	budgetRing = budgetBuckets + 1
	// budgetSafety is the part of the allowed retries that is used. The rest
	// covers requests that others count in a neighbouring window.
	budgetSafety = 0.8
)

// Budget bounds the repeats of requests at one service. Each node keeps to its
// own requests and its part of the slack, so that the sum over all nodes keeps
// to the bound however unevenly requests arrive.
type Budget struct {
	ratio  float64
	slack  float64
	width  time.Duration
	counts [budgetRing]struct {
		number   int64
		requests float64
		repeats  float64
	}
}

// NewBudget returns a budget of ratio times the requests in the window plus
// this node's part of the slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		ratio: ratio,
		slack: slack,
		width: window / budgetBuckets,
	}
}

// SetBounds changes the ratio and this node's part of the slack.
func (b *Budget) SetBounds(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

func (b *Budget) at(now time.Time) int {
	n := now.UnixNano() / int64(b.width)
	i := int(n % budgetRing)
	if b.counts[i].number != n {
		b.counts[i].number, b.counts[i].requests, b.counts[i].repeats = n, 0, 0
	}
	return i
}

// Request counts a request of a client.
func (b *Budget) Request(now time.Time) { b.counts[b.at(now)].requests++ }

// Repeat counts a repeat if the budget allows it. Repeats are counted over a
// little more than the window, requests over a little less.
func (b *Budget) Repeat(now time.Time) bool {
	at := b.at(now)
	newest := b.counts[at].number
	var requests, repeats float64
	for i := range b.counts {
		age := newest - b.counts[i].number
		if age <= budgetBuckets {
			repeats += b.counts[i].repeats
		}
		if age < budgetBuckets {
			requests += b.counts[i].requests
		}
	}
	if repeats+1 > budgetSafety*(b.ratio*requests+b.slack) {
		return false
	}
	b.counts[at].repeats++
	return true
}
