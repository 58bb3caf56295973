package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// crowdModel draws what the connections of a process do and checks the rule after each step.
type crowdModel struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	state  *state
	conns  []*Holder
	// asking holds who waits for others to give way, and for how much of which part.
	asking map[*Holder]share
}

type share struct {
	part Part
	size int64
}

func (m *crowdModel) pick() *Holder {
	if len(m.conns) == 0 {
		return nil
	}
	return m.conns[m.random.IntN(len(m.conns))]
}

func (m *crowdModel) end(h *Holder) {
	m.state.leave(h)
	delete(m.asking, h)
	for i, c := range m.conns {
		if c == h {
			m.conns[i] = m.conns[len(m.conns)-1]
			m.conns = m.conns[:len(m.conns)-1]
			return
		}
	}
}

// checkVictims checks who gave way to by, which may be a new connection.
func (m *crowdModel) checkVictims(by *Holder, p Part, victims []*Holder) {
	for _, v := range victims {
		stalled := v.isStalled(m.now)
		switch {
		case v == by:
			m.t.Error("a holder gives way to itself")
		case v.phase == Working:
			m.t.Error("a request in work gives way")
		case p == Conns && v.phase != Idle && !stalled:
			m.t.Errorf("a connection that makes progress (%v) gives way to a new one", v.phase)
		case p != Conns && !stalled && !v.began.After(by.began):
			m.t.Errorf("a request that makes progress (%v) gives way to a later one", v.phase)
		}
		if stalled {
			continue
		}
		for _, other := range m.state.all() {
			if other != by && !other.givesWay && other.isStalled(m.now) && (other.has[p] > 0) {
				m.t.Errorf("a holder that has not stopped (%v) gives way before one that has (%v)", v.phase, other.phase)
			}
		}
	}
}

// all returns the holders, in any order.
func (s *state) all() []*Holder {
	var out []*Holder
	for h := range s.holders {
		out = append(out, h)
	}
	return out
}

func (m *crowdModel) ask(h *Holder, s share) {
	o, victims := m.state.grow(m.now, h, s.part, s.size)
	m.checkVictims(h, s.part, victims)
	h.waiting = o == pending
	switch o {
	case granted:
		delete(m.asking, h)
	case pending:
		m.asking[h] = s
	case refused:
		delete(m.asking, h)
		if len(victims) > 0 {
			m.t.Error("holders give way for a share that is refused")
		}
		m.checkRefusal(h, s)
		m.end(h)
	}
}

// checkRefusal checks that nobody who should give way keeps a holder from its share.
func (m *crowdModel) checkRefusal(h *Holder, s share) {
	free := m.state.limits[s.part] - m.state.used[s.part]
	for other := range m.state.holders {
		if other != h && other.has[s.part] > 0 && (other.givesWay || other.isStalled(m.now)) {
			free += other.has[s.part]
		}
	}
	if free >= s.size {
		m.t.Errorf("a request is refused %d bytes of %v for requests that have stopped", s.size, s.part)
	}
}

func (m *crowdModel) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(40)) * time.Millisecond)
	h := m.pick()
	switch m.random.IntN(12) {
	case 0, 1, 2:
		fresh := new(Holder)
		isFull := m.state.used[Conns] >= m.state.limits[Conns]
		o, victims := m.state.join(m.now, fresh)
		m.checkVictims(fresh, Conns, victims)
		if o == refused {
			if !isFull || m.state.oldestConn(m.now) != nil {
				m.t.Error("a connection is refused although one could be open")
			}
			break
		}
		m.conns = append(m.conns, fresh)
	case 3:
		if h != nil && (h.phase == Fresh || h.phase == Idle) && !h.givesWay {
			h.enter(m.now, ReadingHead)
		}
	case 4:
		if h != nil && h.phase == ReadingHead {
			h.enter(m.now, ReadingBody)
		}
	case 5, 6, 7:
		if h == nil || m.asking[h] != (share{}) || h.givesWay {
			break
		}
		switch h.phase {
		case ReadingHead:
			m.ask(h, share{part: Heads, size: 1 + m.random.Int64N(300)})
		case ReadingBody:
			n := 1 + m.random.Int64N(9000)
			h.advance(m.now, n)
			m.ask(h, share{part: Bodies, size: n})
		}
	case 8:
		if h != nil && m.asking[h] == (share{}) && !h.givesWay && (h.phase == ReadingHead || h.phase == ReadingBody) {
			h.enter(m.now, Working)
		}
	case 9:
		if h != nil && h.phase == Working && m.random.IntN(2) == 0 {
			h.enter(m.now, Writing)
		}
	case 10:
		if h != nil && (h.phase == Working || h.phase == Writing) {
			for _, p := range []Part{Heads, Bodies} {
				m.state.take(h, p, -h.has[p])
			}
			h.enter(m.now, Idle)
		}
	case 11:
		if m.random.IntN(20) == 0 {
			m.state.limits = m.drawLimits()
		}
	}
	// Those who were told to give way end some time later.
	for _, c := range m.state.all() {
		if c.givesWay && m.random.IntN(3) == 0 {
			m.end(c)
		}
	}
	for c, s := range m.asking {
		if !c.givesWay {
			m.ask(c, s)
		}
	}
}

func (m *crowdModel) drawLimits() Limits {
	return Limits{
		Conns:  4 + m.random.Int64N(30),
		Heads:  300 + m.random.Int64N(2000),
		Bodies: 9000 + m.random.Int64N(80_000),
	}
}

// TestRule guards against a sum of shares beyond the limits, and against connections that
// give way or are refused for others that have stopped, over drawn arrivals, stalls, ends
// and changes of the limits.
func TestRule(t *testing.T) {
	for seed := range uint64(200) {
		m := &crowdModel{
			t:      t,
			random: rand.New(rand.NewPCG(seed, 46)),
			now:    time.Unix(1e9, 0),
			asking: make(map[*Holder]share),
		}
		m.state = newState(m.drawLimits())
		for range 2000 {
			before, limits := m.state.used, m.state.limits
			m.step()
			var sum [partCount]int64
			for h := range m.state.holders {
				for p := range partCount {
					sum[p] += h.has[p]
				}
			}
			if sum != m.state.used {
				t.Fatalf("seed %d: the holders have %v, the state counts %v", seed, sum, m.state.used)
			}
			for p := range partCount {
				// A lowered limit does not take away what is held.
				if used := m.state.used[p]; used > max(before[p], limits[p], m.state.limits[p]) {
					t.Fatalf("seed %d: %d of %v in use, the limit is %d", seed, used, p, limits[p])
				}
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
	}
}

// TestSmallestMachine guards against parts that together are more than the machine has.
func TestSmallestMachine(t *testing.T) {
	for _, tc := range []struct {
		name        string
		memory      float64
		descriptors int
	}{
		{name: "the smallest machine of the platform", memory: 144e6, descriptors: 3075},
		{name: "the smallest of the small deployments", memory: 284e6, descriptors: 4100},
		{name: "a large machine", memory: 536e6, descriptors: 8192},
		{name: "many descriptors", memory: 424e6, descriptors: 10250},
		{name: "few descriptors", memory: 144e6, descriptors: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := Divide(tc.memory, tc.descriptors)
			sum := stateBytes + float64(l[Conns]*ConnCost+l[Heads]+l[Bodies]+l[Answers])
			// The garbage collector needs a fifth of what callers may use.
			if limit := tc.memory - (tc.memory-stateBytes)/5; sum > limit {
				t.Errorf("the parts sum up to %.0f MB, %.0f may be in use", sum/1e6, limit/1e6)
			}
			if n := l[Conns]*descriptorsPerConn + fileDescriptors; n > int64(tc.descriptors) {
				t.Errorf("the connections take %d descriptors of %d", n, tc.descriptors)
			}
			const largestBody = 4 << 20
			if l[Bodies] < largestBody {
				t.Errorf("no body of %d bytes has room in %d", largestBody, l[Bodies])
			}
		})
	}
}

// TestPacer guards against chunk marks that take the processor from all others, and against
// a single body that is slowed down without need.
func TestPacer(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := &Pacer{
		rate: framingRate * 0.4,
		free: framingBurst,
		at:   now,
	}
	if wait := p.take(now, 600_000*5); wait != 0 {
		t.Errorf("a body of 600,000 chunks alone waits for %v", wait)
	}
	total, end := int64(0), now.Add(20*time.Second)
	for next := now; next.Before(end); {
		const piece = 4 << 10
		total += piece
		next = next.Add(p.take(next, piece))
	}
	if limit := int64(framingBurst + 20*p.rate + 1<<20); total > limit {
		t.Errorf("%d bytes of marks were read in 20 s, %d are allowed", total, limit)
	}
}
