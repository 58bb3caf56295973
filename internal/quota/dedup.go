package quota

import "time"

// Bounds of the state that is kept about past transfers.
const (
	maxReplies     = 4096
	maxSenders     = 2048
	replyRetention = 2 * DepositTerm
)

// replyCache keeps the replies to draws, so that a duplicate request gets the
// same reply. Loans last no longer than replyRetention. A duplicate that arrives
// later, or after maxReplies evicted the reply, draws once more, which only
// wastes tokens.
type replyCache struct {
	byID  map[ID]*cachedReply
	order []ID
}

type cachedReply struct {
	startedAt time.Time
	done      bool
	reply     DrawReply
}

// start returns the entry of a draw, and true for the first request with this ID.
func (r *replyCache) start(now time.Time, id ID) (*cachedReply, bool) {
	if p, ok := r.byID[id]; ok {
		return p, false
	}
	for len(r.order) > 0 {
		first := r.byID[r.order[0]]
		if len(r.order) < maxReplies && now.Sub(first.startedAt) < replyRetention {
			break
		}
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
	if r.byID == nil {
		r.byID = make(map[ID]*cachedReply)
	}
	p := &cachedReply{
		startedAt: now,
	}
	r.byID[id] = p
	r.order = append(r.order, id)
	return p, true
}

// returnFilter detects duplicate returns: for each sender it keeps the highest
// sequence number and a window of those below it. A number below the window
// is treated as a duplicate. Dropping the senders starts a new epoch, which makes the
// pool ignore every return that names an earlier one.
type returnFilter struct {
	epoch   uint64
	senders map[ownerID]*seqWindow
}

// seqWindow records which of the last windowBits sequence numbers were seen.
type seqWindow struct {
	highest uint64
	seen    [4]uint64 // bit i of the window is highest-i
}

const windowBits = 4 * 64

// isNew records a return and reports whether it was not seen before.
func (c *returnFilter) isNew(id ID) bool {
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
			c.senders = make(map[ownerID]*seqWindow)
		}
		w = &seqWindow{}
		c.senders[key] = w
	}
	return w.markSeen(id.Seq)
}

// markSeen records seq and reports whether it was not seen before.
func (w *seqWindow) markSeen(seq uint64) bool {
	if seq > w.highest {
		w.shift(seq - w.highest)
		w.highest = seq
	}
	at := w.highest - seq
	if at >= windowBits || w.seen[at/64]&(1<<(at%64)) != 0 {
		return false
	}
	w.seen[at/64] |= 1 << (at % 64)
	return true
}

func (w *seqWindow) shift(n uint64) {
	if n >= windowBits {
		w.seen = [4]uint64{}
		return
	}
	for ; n >= 64; n -= 64 {
		copy(w.seen[1:], w.seen[:3])
		w.seen[0] = 0
	}
	if n == 0 {
		return
	}
	for i := 3; i >= 0; i-- {
		w.seen[i] <<= n
		if i > 0 {
			w.seen[i] |= w.seen[i-1] >> (64 - n)
		}
	}
}
