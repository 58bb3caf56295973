package feed

import "time"

// The intervals of the requests that keep views current. While a view ages,
// which it does when polls fail, they are shorter: then the word of all domains
// must reach each node within the 3 s that keys are honoured for. Its age is at
// most two Sync intervals of a node with its relay (the mark travels there and
// back), one between the relays of a domain, one exchange between domains, and
// one Sync to the node that uses it: 2 s with the short intervals.
const (
	PollEvery          = 500 * time.Millisecond
	syncEvery          = 500 * time.Millisecond
	syncEveryAging     = 250 * time.Millisecond
	exchangeEvery      = 2 * time.Second
	exchangeEveryAging = time.Second
	// agingAfter is above the age that a relay's view has between two polls that
	// succeed.
	agingAfter = 800 * time.Millisecond
	// pollSelfAfter is the age of its view after which a node that is not a
	// relay polls the table itself.
	pollSelfAfter = 1500 * time.Millisecond
)

// Pace holds the intervals for the present age of a view.
type Pace struct {
	// Sync is for requests to a relay of the same domain, Exchange for those of
	// a relay to a relay of another domain.
	Sync     time.Duration
	Exchange time.Duration
	// PollSelf is set when a node that is not a relay is to poll too.
	PollSelf bool
}

// Pace returns the intervals. They follow the table's word alone: the other way
// to be fresh needs the short ones.
func (v *View) Pace(now time.Time) Pace {
	age := now.Sub(v.asOf)
	p := Pace{Sync: syncEvery, Exchange: exchangeEvery, PollSelf: age > pollSelfAfter}
	if v.asOf.IsZero() || age > agingAfter {
		p.Sync, p.Exchange = syncEveryAging, exchangeEveryAging
	}
	return p
}
