// Package quota divides the rate and burst of each workspace over the fleet so
// that all nodes together admit no more than both.
//
// Each domain holds a share of a workspace, divided into slots that the nodes of
// the domain own. For each workspace one node of the domain is the pool: the
// others deposit their slots with it for a short term and draw tokens from it.
// A drawn token is a loan: it must be spent before its deadline.
//
// Why the limit holds: let F be all tokens that can still be spent, which are
// the levels of all buckets plus the loans before their deadline. F grows only
// by refills, at no more than the rate in total, and by credited refunds. The
// level of a bucket never exceeds its capacity, a loan lowers the capacity of
// its bucket until its deadline, and all capacities add up to at most the burst.
// So F <= burst at any time, and charges minus refunds in a window of length w
// are at most burst + rate x w. A refund counts when it is credited to a bucket.
//
// The package starts no goroutines and does no I/O. Node collects messages,
// table operations and results in Effects, which package limit executes.
//
// go test runs a short fuzz with fixed seeds. A longer run:
//
//	go test ./internal/quota -run 'TestFleetWithinLimit$' -rapid.checks=20000 -rapid.seed=$RANDOM -timeout 0
package quota

import "time"

// Terms of deposits and loans. The depositor's term exceeds the pool's by 10%,
// the largest difference assumed between the speeds of two clocks.
const (
	// DepositTerm is how long a pool may use a deposit, counted from before it
	// sent the request.
	DepositTerm = 3 * time.Second
	// DepositorTerm is how long after its reply a depositor must not use the
	// deposited slots itself.
	DepositorTerm = DepositTerm + DepositTerm/10
	// DepositInterval is the interval at which a pool renews its deposits.
	DepositInterval = time.Second
	// minLoanTerm is the shortest remaining term of a deposit that backs loans.
	minLoanTerm = 100 * time.Millisecond
)

// faults disables single mechanisms, so that tests can verify that the limit is
// exceeded without them.
type faults struct {
	resumeEarly             bool // the depositor uses its slots while the pool still uses the deposit
	keepCap                 bool // a loan doesn't lower the capacity of its bucket
	takeImmediately         bool // slots are taken without waiting for the owner's term
	ignoreSpendBy           bool // tokens are spent after their deadline
	raiseUnconfirmed        bool // a raised share is used before it is confirmed
	creditTwice             bool // a duplicate return is credited again
	takeFromDeadImmediately bool // slots of a dead process are taken while a pool still uses its deposit
	depositTwice            bool // slots are deposited with two pools
	raiseNoWait             bool // a confirmed raise doesn't wait until the loans of the old split expire
	omitDebt                bool // a deposit omits the depositor's outstanding loans
}
