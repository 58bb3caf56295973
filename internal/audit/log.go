package audit

import (
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
)

const (
	// DefaultSize is the number of request events that are kept. At 300 bytes each,
	// they take 5 MB of the 64 MB allowed for control work.
	DefaultSize = 16384
	// requestsPerFleetEvent is the number of request events that are kept for each
	// fleet event that is kept.
	requestsPerFleetEvent = 8
	// maxWorkspaces limits the memory of the tallies: 33 of 20 KB each, with that
	// of Other, take less than 1 MB.
	maxWorkspaces = 32
	// tallyMinutes is the number of past minutes that the summary covers.
	tallyMinutes = 60
	// Other is the name under which workspaces above the limit are tallied.
	Other = "other"
)

// Log is the bounded record of the decisions of one node. It is safe for
// concurrent use.
//
// Events of requests and events of the fleet are stored in separate rings, so that
// many refusals of one workspace do not displace the moves and ejections that
// explain them.
type Log struct {
	node     string
	clock    clock.Clock
	counts   [numReasons]atomic.Int64
	requests ring
	fleet    ring

	mu      sync.Mutex
	tallies map[string]*tally
}

// New returns an empty Log of a node that keeps up to size request events.
func New(node string, size int, c clock.Clock) *Log {
	size = max(size, requestsPerFleetEvent)
	return &Log{
		node:     node,
		clock:    c,
		requests: newRing(size, 0),
		fleet:    newRing(size/requestsPerFleetEvent, 1),
		tallies:  map[string]*tally{},
	}
}

// Record stores an event. An event without a time gets the current time.
func (l *Log) Record(e Event) {
	if e.Reason == ReasonNone || e.Reason >= numReasons {
		return
	}
	if e.Time.IsZero() {
		e.Time = l.clock.Now()
	}
	e.Node = l.node
	l.counts[e.Reason].Add(1)
	if e.Reason.unserved() {
		l.mu.Lock()
		l.tally(e.Workspace).at(e.Time).reasons[e.Reason]++
		l.mu.Unlock()
	}
	if e.Request != "" || e.Reason.unserved() {
		l.requests.add(e)
		return
	}
	l.fleet.add(e)
}

// Served counts a request that received its complete response. late means that
// the response missed the latency target of the request's class.
func (l *Log) Served(workspace string, late bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.tally(workspace).at(now)
	b.served++
	if late {
		b.late++
	}
}

// Count returns the number of events with a reason since the process started.
func (l *Log) Count(r Reason) int64 {
	if r >= numReasons {
		return 0
	}
	return l.counts[r].Load()
}

// Counts publishes the number of events by kind and reason.
func (l *Log) Counts() expvar.Func {
	return func() any {
		out := map[string]map[string]int64{}
		for _, r := range Reasons() {
			n := l.Count(r)
			if n == 0 {
				continue
			}
			kind := r.Kind().String()
			if out[kind] == nil {
				out[kind] = map[string]int64{}
			}
			out[kind][r.String()] = n
		}
		return out
	}
}

// ring holds the newest events in order of arrival.
type ring struct {
	mu    sync.Mutex
	slots []slot
	next  uint64
	base  uint64
	// last maps a request id to the newest event of the request.
	last map[string]uint64
}

type slot struct {
	event Event
	// prev is the position of the previous event of the same request, plus one, or
	// 0 if there is none.
	prev uint64
}

// newRing returns a ring whose events get the sequence numbers base+2n+2, so
// that the numbers of a node's two rings differ.
func newRing(size int, base uint64) ring {
	return ring{
		slots: make([]slot, size),
		base:  base,
		last:  map[string]uint64{},
	}
}

func (r *ring) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pos := r.next
	r.next++
	s := &r.slots[pos%uint64(len(r.slots))]
	size := uint64(len(r.slots))
	if pos >= size && s.event.Request != "" && r.last[s.event.Request] == pos-size {
		delete(r.last, s.event.Request)
	}
	e.Seq = 2*pos + 2 + r.base
	s.event = e
	s.prev = 0
	if e.Request == "" {
		return
	}
	if prev, ok := r.last[e.Request]; ok {
		s.prev = prev + 1
	}
	r.last[e.Request] = pos
}

func (r *ring) oldest() uint64 {
	return r.next - min(r.next, uint64(len(r.slots)))
}

// find appends matching events to out, newest first, until out has limit events.
// more reports whether further events match; since is the time of the oldest
// event that is still kept, or zero if none was overwritten.
func (r *ring) find(q Query, limit int, out []Event) (events []Event, more bool, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.oldest()
	if oldest > 0 {
		since = r.at(oldest).event.Time
	}
	if q.Request != "" {
		pos, ok := r.last[q.Request]
		for ok && pos >= oldest {
			s := r.at(pos)
			if q.matches(&s.event) {
				if len(out) >= limit {
					return out, true, since
				}
				out = append(out, s.event)
			}
			pos, ok = s.prev-1, s.prev > 0
		}
		return out, false, since
	}
	for pos := r.next; pos > oldest; pos-- {
		s := r.at(pos - 1)
		if !q.matches(&s.event) {
			continue
		}
		if len(out) >= limit {
			return out, true, since
		}
		out = append(out, s.event)
	}
	return out, false, since
}

func (r *ring) at(pos uint64) *slot {
	return &r.slots[pos%uint64(len(r.slots))]
}

// tally counts the requests of one workspace per minute.
type tally struct {
	minutes [tallyMinutes]minuteTally
}

type minuteTally struct {
	minute  int64
	served  int64
	late    int64
	reasons [numReasons]uint32
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / 60
}

func (t *tally) at(now time.Time) *minuteTally {
	m := minuteOf(now)
	b := &t.minutes[m%tallyMinutes]
	if b.minute < m {
		*b = minuteTally{minute: m}
	}
	return b
}

// tally returns the tally of a workspace. The caller holds l.mu.
func (l *Log) tally(workspace string) *tally {
	t, ok := l.tallies[workspace]
	if ok {
		return t
	}
	if len(l.tallies) >= maxWorkspaces {
		workspace = Other
		if t, ok = l.tallies[workspace]; ok {
			return t
		}
	}
	t = new(tally)
	l.tallies[workspace] = t
	return t
}

// Answer answers a query from the record of this node.
func (l *Log) Answer(q Query) Answer {
	limit := q.limit()
	a := Answer{
		Nodes: []string{l.node},
	}
	var moreFleet, moreRequests bool
	var since time.Time
	a.Events, moreRequests, a.Complete = l.requests.find(q, limit, nil)
	requests := len(a.Events)
	a.Events, moreFleet, since = l.fleet.find(q, requests+limit, a.Events)
	if since.After(a.Complete) {
		a.Complete = since
	}
	a.Truncated = moreFleet || moreRequests
	if q.Request == "" && q.Model == "" {
		a.Tallies = l.sum(q)
	}
	a.sort()
	a.trim(limit)
	return a
}

// sum adds up the tallies of the minutes in the time window of the query.
func (l *Log) sum(q Query) []Tally {
	from, to := int64(0), int64(1<<62)
	if !q.From.IsZero() {
		from = minuteOf(q.From)
	}
	if !q.To.IsZero() {
		to = minuteOf(q.To)
	}
	now := minuteOf(l.clock.Now())
	from = max(from, now-tallyMinutes+1)
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Tally
	for workspace, t := range l.tallies {
		if q.Workspace != "" && q.Workspace != workspace {
			continue
		}
		sum := Tally{
			Workspace: workspace,
		}
		for i := range t.minutes {
			b := &t.minutes[i]
			if b.minute < from || b.minute > to {
				continue
			}
			sum.Served += b.served
			sum.Late += b.late
			for r, n := range b.reasons {
				if n > 0 {
					sum.add(Reason(r), int64(n))
				}
			}
		}
		if sum.Served > 0 || len(sum.Unserved) > 0 {
			out = append(out, sum)
		}
	}
	slices.SortFunc(out, compareTallies)
	return out
}
