package budget

import (
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases.
const (
	// Fresh is that no byte of a request has arrived on the connection.
	Fresh Phase = iota
	// ReadingHead is that a part of a request's head has arrived.
	ReadingHead
	// ReadingBody is that the head has arrived and the body not in full.
	ReadingBody
	// Working is that the request is in work. Such a connection never gives way.
	Working
	// Writing is that a part of the answer waits until the caller takes it.
	Writing
	// Idle is that the connection waits for another request.
	Idle
)

var phaseNames = []string{"fresh", "reading-head", "reading-body", "working", "writing", "idle"}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// minProgress is how many bytes of a body or of an answer count as progress.
const minProgress = 4 << 10

// Holder is a connection, or another user of the parts. Its fields belong to the pool.
type Holder struct {
	phase Phase
	// progress is when the phase began or last made progress, and arrived the bytes since.
	progress time.Time
	arrived  int64
	// began is when the request, or the connection before it, began.
	began time.Time
	// waiting is set while the holder waits for others to give way.
	waiting bool
	has     [partCount]int64
	// givesWay is set once the holder was told to.
	givesWay bool
	giveWay  func(Cause)
}

// Cause is why a holder gives way.
type Cause struct {
	// Part is what was used up, Limit its size.
	Part  Part
	Limit int64
	// Held is what the holder had of the part.
	Held  int64
	Phase Phase
	// Stopped is the time since its last progress. Stalled is set if it gave way for that.
	Stopped time.Duration
	Stalled bool
}

// state is what is held of each part. Its methods are the rule; they take the time and
// call nobody.
type state struct {
	limits  Limits
	used    [partCount]int64
	holders map[*Holder]struct{}
}

func newState(limits Limits) *state {
	return &state{
		limits:  limits,
		holders: make(map[*Holder]struct{}),
	}
}

// outcome is what a request for a share leads to.
type outcome int

const (
	// granted is that the holder has the share.
	granted outcome = iota
	// pending is that the holder gets it once others have given way.
	pending
	// refused is that nobody gives way.
	refused
)

// join adds a connection if it may be open. The victims have to give way; their places
// are given on at once.
func (s *state) join(now time.Time, h *Holder) (o outcome, victims []*Holder) {
	h.phase, h.progress, h.began = Fresh, now, now
	if s.used[Conns] >= s.limits[Conns] {
		victim := s.oldestConn(now)
		if victim == nil {
			return refused, nil
		}
		s.take(victim, Conns, -victim.has[Conns])
		victim.givesWay = true
		victims = []*Holder{victim}
	}
	s.holders[h] = struct{}{}
	s.take(h, Conns, 1)
	return granted, victims
}

// oldestConn returns the connection that gives way to a new one, or nil: the one that has
// stopped for the longest time, and if there is none, the one that is idle for the longest.
func (s *state) oldestConn(now time.Time) *Holder {
	var found *Holder
	for h := range s.holders {
		if h.givesWay || h.has[Conns] == 0 || h.phase != Idle && !h.isStalled(now) {
			continue
		}
		isBefore := found == nil || (found.phase == Idle) != (h.phase == Idle) && found.phase == Idle ||
			(found.phase == Idle) == (h.phase == Idle) && h.progress.Before(found.progress)
		if isBefore {
			found = h
		}
	}
	return found
}

// grow gives a holder a share of a part. A pending request is repeated once a share was
// returned.
func (s *state) grow(now time.Time, h *Holder, p Part, n int64) (o outcome, victims []*Holder) {
	if s.used[p]+n <= s.limits[p] {
		s.take(h, p, n)
		return granted, nil
	}
	// What those who give way already will return is not needed from others.
	need := s.used[p] + n - s.limits[p]
	for other := range s.holders {
		if other.givesWay && other != h {
			need -= other.has[p]
		}
	}
	for need > 0 {
		victim := s.victim(now, h, p)
		if victim == nil {
			// Nobody gives way in vain.
			for _, v := range victims {
				v.givesWay = false
			}
			return refused, nil
		}
		victim.givesWay = true
		victims = append(victims, victim)
		need -= victim.has[p]
	}
	return pending, victims
}

// victim returns who gives way to a holder that needs more of a part, or nil: the one that
// has stopped for the longest time, and if there is none, the one that began last, if that
// was after the holder.
func (s *state) victim(now time.Time, by *Holder, p Part) *Holder {
	var stalled, newest *Holder
	for h := range s.holders {
		if h == by || h.givesWay || h.has[p] == 0 || !h.mayGiveWay() {
			continue
		}
		if h.isStalled(now) && (stalled == nil || h.progress.Before(stalled.progress)) {
			stalled = h
		}
		if h.began.After(by.began) && h.phase != Writing && (newest == nil || h.began.After(newest.began)) {
			newest = h
		}
	}
	if stalled != nil {
		return stalled
	}
	return newest
}

func (s *state) take(h *Holder, p Part, n int64) {
	h.has[p] += n
	s.used[p] += n
}

// leave returns all that a holder has.
func (s *state) leave(h *Holder) {
	for p := range partCount {
		s.take(h, p, -h.has[p])
	}
	delete(s.holders, h)
}

// The time without progress after which a connection has stopped. A caller that has
// connected sends its request within a round trip or two.
const (
	freshPatience = 100 * time.Millisecond
	headPatience  = time.Second
	bodyPatience  = 500 * time.Millisecond
	writePatience = time.Second
)

func (h *Holder) mayGiveWay() bool { return h.phase != Working }

// isStalled reports whether the holder has stopped.
func (h *Holder) isStalled(now time.Time) bool {
	stopped := now.Sub(h.progress)
	switch h.phase {
	case Fresh:
		return stopped >= freshPatience
	case ReadingHead:
		return !h.waiting && stopped >= headPatience
	case ReadingBody:
		return !h.waiting && stopped >= bodyPatience
	case Writing:
		return stopped >= writePatience
	case Working, Idle:
	}
	return false
}

// enter begins a phase.
func (h *Holder) enter(now time.Time, p Phase) {
	h.phase, h.progress, h.arrived = p, now, 0
	if p == ReadingHead {
		h.began = now
	}
}

// advance records bytes that arrived in the phase.
func (h *Holder) advance(now time.Time, n int64) {
	if h.arrived += n; h.arrived >= minProgress {
		h.progress, h.arrived = now, 0
	}
}

// cause returns why a holder gives way for a part.
func (s *state) cause(now time.Time, h *Holder, p Part) Cause {
	return Cause{
		Part:    p,
		Limit:   s.limits[p],
		Held:    h.has[p],
		Phase:   h.phase,
		Stopped: now.Sub(h.progress),
		Stalled: h.isStalled(now),
	}
}
