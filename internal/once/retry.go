package once

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Outcome is the result of one attempt at an endpoint.
type Outcome uint8

// The outcomes.
const (
	// NotSent means that no byte of the request was written.
	NotSent Outcome = iota + 1
	// Declined means that the endpoint responded that it did not run the request.
	Declined
	// Lost means that a byte was written and no complete response was received.
	Lost
	// Mismatched means that the response carried the id of another request.
	Mismatched
	// Faulted means that the endpoint answered with an internal error.
	Faulted
	// Answered means that the endpoint gave a complete response without an
	// internal error.
	Answered
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"", "not-sent", "declined", "lost", "mismatched", "faulted", "answered"}
	if o == 0 || int(o) >= len(names) {
		return fmt.Sprintf("outcome-%d", uint8(o))
	}
	return names[o]
}

// ProvedNotRun reports whether the outcome proves that the request did not run.
func (o Outcome) ProvedNotRun() bool {
	return o == NotSent || o == Declined
}

// Call holds the properties of a request that the retry policy depends on.
type Call struct {
	Repeatable bool
	// Delivered means that a part of a response was already sent to the caller.
	Delivered bool
	Deadline  time.Time
}

// Action is what to do after an attempt.
type Action uint8

// The actions.
const (
	// Stop means that the attempt's response goes to the caller.
	Stop Action = iota + 1
	// Retry means that another attempt may be made.
	Retry
	// Forbidden means that the request may not be repeated, because it may have run
	// or a part of its response was delivered.
	Forbidden
	// NoTimeLeft means that the time to the deadline is too short for a retry.
	NoTimeLeft
	// NoAttemptsLeft means that the maximum number of attempts was made.
	NoAttemptsLeft
	// OverBudget means that the retry budget of all requests is used up.
	OverBudget
)

// Verdict is the decision of a Policy after an attempt.
type Verdict struct {
	Action Action
	// Wait is how long to wait before the retry.
	Wait time.Duration
	// NotRun means that the request is proved not to have run, so that an error
	// response may say so.
	NotRun bool
}

// Policy decides whether to retry after an attempt.
type Policy struct {
	MaxAttempts int
	// MinRemaining is the minimum time before the deadline for a retry.
	MinRemaining time.Duration
	// Backoff is the wait after a first attempt that was declined or faulted. It
	// doubles with each attempt.
	Backoff time.Duration
	// Budget limits retries over all requests; nil means no limit.
	Budget *Budget
}

// DefaultPolicy returns the policy of package entry.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:  3,
		MinRemaining: 50 * time.Millisecond,
		Backoff:      20 * time.Millisecond,
		Budget:       NewBudget(0.1, 20),
	}
}

// Next decides what to do after the given number of attempts, the last of which
// ended with o. allProvedNotRun means that every earlier attempt is proved not to
// have run.
func (p Policy) Next(c Call, o Outcome, attempts int, allProvedNotRun bool, now time.Time) Verdict {
	v := Verdict{
		NotRun: allProvedNotRun && o.ProvedNotRun() && !c.Delivered,
	}
	wait := time.Duration(0)
	if o == Declined || o == Faulted {
		wait = p.Backoff << min(attempts-1, 10)
	}
	switch {
	case o == Answered:
		v.Action = Stop
	case c.Delivered, !c.Repeatable && !v.NotRun:
		v.Action = Forbidden
		if o == Faulted {
			v.Action = Stop
		}
	case attempts >= p.MaxAttempts:
		v.Action = NoAttemptsLeft
	case c.Deadline.Sub(now) < p.MinRemaining+wait:
		v.Action = NoTimeLeft
	case p.Budget != nil && !p.Budget.Take():
		v.Action = OverBudget
	default:
		v.Action = Retry
		v.Wait = wait
	}
	return v
}

// Budget limits retries to a share of the requests, so that the failure of many
// endpoints does not multiply the load on the others.
type Budget struct {
	// balance is in thousandths of a retry.
	balance atomic.Int64
	ratio   int64
	limit   int64
}

// NewBudget returns a full budget of reserve retries. Each request adds ratio
// retries, up to reserve.
func NewBudget(ratio float64, reserve int) *Budget {
	b := &Budget{
		ratio: int64(ratio * 1000),
		limit: int64(reserve) * 1000,
	}
	b.balance.Store(b.limit)
	return b
}

// Credit adds the ratio for a new request to the budget.
func (b *Budget) Credit() {
	for {
		old := b.balance.Load()
		next := min(old+b.ratio, b.limit)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take takes one retry from the budget. It returns false if less than one is left.
func (b *Budget) Take() bool {
	for {
		old := b.balance.Load()
		if old < 1000 {
			return false
		}
		if b.balance.CompareAndSwap(old, old-1000) {
			return true
		}
	}
}
