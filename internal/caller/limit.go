package caller

import "time"

// maxPastLimits bounds the limits that are kept.
const maxPastLimits = 64

// idleLimit is the limit on the idle time of connections, with those that were in force
// before: callers may learn of a change later than this process, by the margin at most.
type idleLimit struct {
	margin time.Duration
	// current is the limit in force, or 0 for none.
	current time.Duration
	past    []pastLimit
}

type pastLimit struct {
	limit time.Duration
	// until is when the limit was seen to be in force no longer.
	until time.Time
}

// observe records the limit that is in force now.
func (l *idleLimit) observe(now time.Time, limit time.Duration) {
	if limit == l.current {
		return
	}
	keep := l.past[:0]
	for _, p := range l.past {
		if p.until.Add(l.margin).After(now) {
			keep = append(keep, p)
		}
	}
	l.past = append(keep, pastLimit{
		limit: l.current,
		until: now,
	})
	l.current = limit
	if len(l.past) <= maxPastLimits {
		return
	}
	// Two become one that allows as much as both.
	a, b := l.past[0], l.past[1]
	if a.limit == 0 || b.limit != 0 && a.limit > b.limit {
		b.limit = a.limit
	}
	l.past = l.past[1:]
	l.past[0] = b
}

// deadline returns the end of the time for which a caller may reuse a connection that is
// idle since then, or false if there is no limit.
func (l *idleLimit) deadline(since time.Time) (time.Time, bool) {
	if l.current == 0 {
		return time.Time{}, false
	}
	out := since.Add(l.current + l.margin)
	for _, p := range l.past {
		end := p.until.Add(l.margin)
		if at := since.Add(p.limit + l.margin); p.limit > 0 && at.Before(end) {
			end = at
		}
		if end.After(out) {
			out = end
		}
	}
	return out, true
}
