package feed

import "time"

// The intervals of the requests that keep views current. They are shorter while a
// view is aging because polls of the table fail. The states of all domains must
// then reach each node within the 3 s for which keys are accepted. The age of a
// domain state on arrival is at most two Sync intervals between a node and its
// relay (for the round trip of the echo timestamp), one between the relays of a
// domain, one exchange between domains, and one Sync to the node that uses it:
// 2 s with the short intervals.
const (
	PollInterval          = 500 * time.Millisecond
	syncInterval          = 500 * time.Millisecond
	syncIntervalAging     = 250 * time.Millisecond
	exchangeInterval      = 2 * time.Second
	exchangeIntervalAging = time.Second
	// agingThreshold is the age above which a view is considered aging. It is above
	// the age that a relay's view reaches between two successful polls.
	agingThreshold = 800 * time.Millisecond
	// selfPollThreshold is the age of the view above which a node that is not a
	// relay polls the table itself.
	selfPollThreshold = 1500 * time.Millisecond
)

// Intervals holds the request intervals for the current age of a view.
type Intervals struct {
	// Sync is the interval of requests to a relay of the same domain, Exchange
	// that of requests from a relay to a relay of another domain.
	Sync     time.Duration
	Exchange time.Duration
	// PollTable is set when a node that is not a relay polls the table as well.
	PollTable bool
}

// Intervals returns the intervals for the current age of the view. The age is
// counted from the last read of the table only: while freshness depends on the
// states of all domains, the short intervals are needed to keep it.
func (v *View) Intervals(now time.Time) Intervals {
	age := now.Sub(v.asOf)
	p := Intervals{Sync: syncInterval, Exchange: exchangeInterval, PollTable: age > selfPollThreshold}
	if v.asOf.IsZero() || age > agingThreshold {
		p.Sync, p.Exchange = syncIntervalAging, exchangeIntervalAging
	}
	return p
}

// Schedule holds the next due times of requests. It is not safe for concurrent
// use; the control loop owns it.
type Schedule struct {
	poll     time.Time
	sync     time.Time
	exchange time.Time
}

// Due selects the requests to send now.
type Due struct {
	// Poll is a read of the table, Sync a request to a relay of the same domain,
	// Exchange a request to one relay of each other domain.
	Poll     bool
	Sync     bool
	Exchange bool
}

// NewSchedule returns the schedule of a node that starts at now. random, in
// [0,1), spreads the requests of the nodes over the intervals.
func NewSchedule(now time.Time, random func() float64) *Schedule {
	at := func(d time.Duration) time.Time { return now.Add(time.Duration(random() * float64(d))) }
	return &Schedule{poll: at(PollInterval), sync: at(syncInterval), exchange: at(exchangeInterval)}
}

// Due returns the requests that are due and schedules their next times.
func (s *Schedule) Due(now time.Time, p Intervals, relay bool) Due {
	return Due{
		Poll:     (relay || p.PollTable) && advanceIfDue(&s.poll, now, PollInterval),
		Sync:     advanceIfDue(&s.sync, now, p.Sync),
		Exchange: relay && advanceIfDue(&s.exchange, now, p.Exchange),
	}
}

// advanceIfDue reports whether next has been reached, and if so moves it to one
// interval after now. A shortened interval takes effect at once.
func advanceIfDue(next *time.Time, now time.Time, every time.Duration) bool {
	if limit := now.Add(every); next.After(limit) {
		*next = limit
	}
	if next.After(now) {
		return false
	}
	*next = now.Add(every)
	return true
}
