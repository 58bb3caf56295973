package budget

import (
	"sync"
	"time"
)

// handOverTime bounds the wait for the share of a holder that gives way.
const handOverTime = time.Second

// Pool is the budget of a process. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	state *state
	// returned is closed when a share is returned that somebody waits for.
	returned chan struct{}
}

// NewPool returns a pool whose parts are free.
func NewPool(limits Limits) *Pool {
	return &Pool{
		state: newState(limits),
	}
}

// SetLimits changes the sizes of the parts. What is held stays until its requests end.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.limits = limits
	p.wake()
}

// Limit returns the size of a part.
func (p *Pool) Limit(part Part) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.limits[part]
}

// Used returns how much of a part is held.
func (p *Pool) Used(part Part) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.used[part]
}

// Join returns the holder of a new connection, or nil if all connections are needed.
// giveWay is called, at most once, when the connection has to end; it must not block.
func (p *Pool) Join(giveWay func(Cause)) *Holder {
	h := &Holder{
		giveWay: giveWay,
	}
	p.mu.Lock()
	o, victims := p.state.join(time.Now(), h)
	tell := p.tell(victims, Conns)
	p.mu.Unlock()
	tell()
	if o == refused {
		return nil
	}
	return h
}

// NewHolder returns a holder without a connection, which never gives way.
func (p *Pool) NewHolder() *Holder {
	h := &Holder{
		phase: Working,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.holders[h] = struct{}{}
	return h
}

// tell returns a function that makes victims give way, for use without the lock.
func (p *Pool) tell(victims []*Holder, part Part) func() {
	causes := make([]Cause, len(victims))
	now := time.Now()
	for i, v := range victims {
		causes[i] = p.state.cause(now, v, part)
		if part == Conns {
			// Its place was given on already.
			causes[i].Held = 1
		}
	}
	return func() {
		for i, v := range victims {
			v.giveWay(causes[i])
		}
	}
}

// TryGrow gives a holder a share if it is free.
func (p *Pool) TryGrow(h *Holder, part Part, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.used[part]+n > p.state.limits[part] {
		return false
	}
	p.state.take(h, part, n)
	return true
}

// Grow gives a holder a share, if need be that of holders that give way. It returns false
// if nobody does, or if the holder itself has to.
func (p *Pool) Grow(h *Holder, part Part, n int64) bool {
	until := time.Now().Add(handOverTime)
	for {
		p.mu.Lock()
		if h.givesWay {
			p.mu.Unlock()
			return false
		}
		now := time.Now()
		o, victims := p.state.grow(now, h, part, n)
		tell := p.tell(victims, part)
		h.waiting = o == pending
		if o == pending && p.returned == nil {
			p.returned = make(chan struct{})
		}
		returned := p.returned
		p.mu.Unlock()
		tell()
		if o != pending {
			return o == granted
		}
		select {
		case <-returned:
		case <-time.After(time.Until(until)):
			p.mu.Lock()
			h.waiting = false
			p.mu.Unlock()
			return false
		}
	}
}

// Release returns all that a holder has of a part.
func (p *Pool) Release(h *Holder, part Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.has[part] != 0 {
		p.state.take(h, part, -h.has[part])
		p.wake()
	}
}

// Leave returns all that a holder has.
func (p *Pool) Leave(h *Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.leave(h)
	p.wake()
}

// wake lets those who wait for a share ask again. The caller holds the lock.
func (p *Pool) wake() {
	if p.returned != nil {
		close(p.returned)
		p.returned = nil
	}
}

// Enter begins a phase of a holder. It returns false if the holder has to give way.
func (p *Pool) Enter(h *Holder, phase Phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.enter(time.Now(), phase)
	return !h.givesWay
}

// BeginWrite records that a part of the answer of a request in work is written. It returns
// false if the holder has to give way.
func (p *Pool) BeginWrite(h *Holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.phase == Working {
		h.enter(time.Now(), Writing)
	}
	return !h.givesWay
}

// EndWrite records that the caller has taken it.
func (p *Pool) EndWrite(h *Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.phase == Writing {
		h.enter(time.Now(), Working)
	}
}

// Advance records bytes that arrived in the phase of a holder.
func (p *Pool) Advance(h *Holder, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.advance(time.Now(), int64(n))
}

// GivesWay reports whether a holder has to give way.
func (p *Pool) GivesWay(h *Holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.givesWay
}
