package caller

import (
	"trefoildale.example/trefoildale/internal/budget"
)

const (
	// headSlack is how many bytes more than its limit a head may have, as in http.Server:
	// a part of the head may be counted with what came before it.
	headSlack = 4 << 10
	// headByteCost and fieldCost are the memory, in bytes, that a byte and a field of a head
	// take as text, as the parsed header and as its copies.
	headByteCost = 4
	fieldCost    = 450
	// headStep is the least share of the budget that a head asks for, in bytes.
	headStep = 16 << 10
)

// headTooLarge is the answer to a request whose head exceeds the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headScan counts what has arrived of the head of a request.
type headScan struct {
	size  int
	lines int
	// share is what the head has of the budget.
	share int64
	// isLineBegun is set within a line that is not empty, hasLine once there was one.
	isLineBegun bool
	hasLine     bool
	isEnded     bool
}

// add counts bytes up to the end of the head.
func (h *headScan) add(p []byte) {
	for _, b := range p {
		if h.isEnded {
			return
		}
		h.size++
		switch b {
		case '\n':
			h.lines++
			h.isEnded = !h.isLineBegun && h.hasLine
			h.isLineBegun = false
		case '\r':
		default:
			h.isLineBegun, h.hasLine = true, true
		}
	}
}

// cost returns the memory that the head takes, in bytes.
func (h *headScan) cost() int64 { return int64(h.size)*headByteCost + int64(h.lines)*fieldCost }

// admitHead counts a part of a head that was read. If the head exceeds a limit, it refuses
// the request and returns false.
func (c *trackedConn) admitHead(p []byte) bool {
	c.head.add(p)
	pool := c.server.opts.Budget
	if limit := c.server.opts.MaxHeaderBytes(); c.head.size > limit+headSlack {
		c.refuseHead(headTooLarge, Limit{
			Name:  "head-bytes",
			Size:  int64(limit),
			Used:  int64(c.head.size),
			Phase: budget.ReadingHead,
		})
		return false
	}
	more := c.head.cost() - budget.FreeHead - c.head.share
	if more <= 0 {
		return true
	}
	more = (more + headStep - 1) / headStep * headStep
	if pool.Grow(c.holder, budget.Heads, more) {
		c.head.share += more
		return true
	}
	c.refuseHead(Overloaded, Limit{
		Name:  budget.Heads.String(),
		Size:  pool.Limit(budget.Heads),
		Used:  c.head.share,
		Phase: budget.ReadingHead,
	})
	return false
}

// refuseHead ends the connection of a request whose head was not read in full.
func (c *trackedConn) refuseHead(answer string, l Limit) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.endedBy != nil {
		answer, l = c.server.opts.LastAnswer, limitOf(*c.endedBy)
	}
	c.closeWith(answer, true)
	c.server.reportLimited(l, nil)
}
