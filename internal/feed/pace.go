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

// Schedule says when requests are due. It belongs to the control loop.
type Schedule struct {
	poll     time.Time
	sync     time.Time
	exchange time.Time
}

// Due holds the requests that are to be sent now.
type Due struct {
	// Poll is a read of the table, Sync a request to a relay of the same domain,
	// Exchange one to a relay of each other domain.
	Poll     bool
	Sync     bool
	Exchange bool
}

// NewSchedule returns the schedule of a node that starts at now. random, in
// [0,1), spreads the nodes over the intervals.
func NewSchedule(now time.Time, random func() float64) *Schedule {
	at := func(d time.Duration) time.Time { return now.Add(time.Duration(random() * float64(d))) }
	return &Schedule{poll: at(PollEvery), sync: at(syncEvery), exchange: at(exchangeEvery)}
}

// Due returns what is to be sent now and moves those times on.
func (s *Schedule) Due(now time.Time, p Pace, relay bool) Due {
	return Due{
		Poll:     (relay || p.PollSelf) && due(&s.poll, now, PollEvery),
		Sync:     due(&s.sync, now, p.Sync),
		Exchange: relay && due(&s.exchange, now, p.Exchange),
	}
}

// due reports whether the time has come and sets the next. An interval that
// has become shorter applies at once.
func due(next *time.Time, now time.Time, every time.Duration) bool {
	if limit := now.Add(every); next.After(limit) {
		*next = limit
	}
	if next.After(now) {
		return false
	}
	*next = now.Add(every)
	return true
}
