package quota

import "time"

// Bounds of the memory of past transfers.
const (
	maxReplies  = 4096
	maxSenders  = 2048
	replyMemory = 2 * DepositTerm
)

// replies keeps the responses to draws, so that a duplicate gets the same one.
// Loans last no longer than replyMemory; a duplicate after that, or after the
// bound pushed the response out, draws once more and only wastes tokens.
type replies struct {
	byID  map[ID]*pastReply
	order []ID
}

type pastReply struct {
	at    time.Time
	done  bool
	reply DrawReply
}

func (r *replies) start(now time.Time, id ID) (*pastReply, bool) {
	if p, ok := r.byID[id]; ok {
		return p, false
	}
	for len(r.order) > 0 {
		first := r.byID[r.order[0]]
		if len(r.order) < maxReplies && now.Sub(first.at) < replyMemory {
			break
		}
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
	if r.byID == nil {
		r.byID = make(map[ID]*pastReply)
	}
	p := &pastReply{
		at: now,
	}
	r.byID[id] = p
	r.order = append(r.order, id)
	return p, true
}

// credits remembers which returns were credited: for each sender the highest
// sequence number and a window of those below it. A number below the window
// counts as known. Dropping a sender starts a new epoch, which makes the pool
// ignore every return that names an earlier one.
type credits struct {
	epoch   uint64
	senders map[ownerID]*window
}

type window struct {
	highest uint64
	below   [4]uint64 // bit i of the window is highest-i
}

const windowBits = 4 * 64

// first reports whether the return was not seen before.
func (c *credits) first(id ID) bool {
	key := ownerID{
		node:        id.Node,
		incarnation: id.Incarnation,
	}
	w := c.senders[key]
	if w == nil {
		if c.senders == nil || len(c.senders) >= maxSenders {
			if c.senders != nil {
				c.epoch++
			}
			c.senders = make(map[ownerID]*window)
		}
		w = &window{}
		c.senders[key] = w
	}
	return w.first(id.Seq)
}

func (w *window) first(seq uint64) bool {
	if seq > w.highest {
		w.shift(seq - w.highest)
		w.highest = seq
	}
	at := w.highest - seq
	if at >= windowBits || w.below[at/64]&(1<<(at%64)) != 0 {
		return false
	}
	w.below[at/64] |= 1 << (at % 64)
	return true
}

func (w *window) shift(n uint64) {
	if n >= windowBits {
		w.below = [4]uint64{}
		return
	}
	for ; n >= 64; n -= 64 {
		copy(w.below[1:], w.below[:3])
		w.below[0] = 0
	}
	if n == 0 {
		return
	}
	for i := 3; i >= 0; i-- {
		w.below[i] <<= n
		if i > 0 {
			w.below[i] |= w.below[i-1] >> (64 - n)
		}
	}
}
