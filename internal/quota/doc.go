// Package quota divides the rate and burst of each workspace over the fleet and
// keeps the sum of what all nodes admit within them.
//
// The argument for the limit: let F be all tokens that may still be spent
// anywhere, which are the levels of all buckets plus the loans before their
// deadline. F grows only by refill, at no more than the rate in total, and by
// credited refunds. Each token is below a cap, a loan lowers the cap it came
// from until its deadline, and the caps add up to no more than the burst. So
// F <= burst at any time, and charges minus refunds in a window of length w are
// at most burst + rate x w. A refund counts when it is credited to a bucket.
//
// The package has no goroutines and does no I/O. Node collects what is to be
// done in Effects; package limit carries it out.
//
// A short fuzz with fixed seeds runs in plain go test. A long run:
//
//	go test ./internal/quota -run 'TestFleetWithinLimit$' -rapid.checks=20000 -rapid.seed=$RANDOM -timeout 0
package quota

import "time"

// Terms of transfers. The depositor's term exceeds the pool's by 10%, the
// largest difference assumed between the speeds of two clocks.
const (
	// DepositTerm is how long a pool uses a deposit, from before it asked.
	DepositTerm = 3 * time.Second
	// ResumeAfter is how long a depositor keeps off a fraction after it responded.
	ResumeAfter = DepositTerm + DepositTerm/10
	// DepositEvery is the interval at which a pool renews its deposits.
	DepositEvery = time.Second
	// minLoanTerm is the shortest remaining term that is worth lending for.
	minLoanTerm = 100 * time.Millisecond
)

// faults switches single mechanisms off, so that tests can show that the check
// of the limit finds their absence.
type faults struct {
	resumeEarly   bool // the depositor resumes while the pool still uses the deposit
	keepCap       bool // a loan doesn't lower the cap of its bucket
	takeAtOnce    bool // slots are taken without waiting for the owner's term
	ignoreSpendBy bool // tokens are spent after their deadline
	raiseAtOnce   bool // a raised share is used before it is confirmed
	creditTwice   bool // a duplicate of a return is credited again
	deadAtOnce    bool // slots of a dead process are taken while its deposit is used
	lendTwice     bool // a fraction is deposited with two pools
	raiseNoWait   bool // a confirmed raise doesn't wait for the loans of the old split
	forgetDebt    bool // a deposit doesn't tell what the depositor lent itself
}
