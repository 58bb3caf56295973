package serve

import "trefoildale.example/trefoildale/internal/budget"

// bufferStep is the least share of the budget that a buffer asks for, so that requests don't
// contend for it with each read.
const bufferStep = 32 << 10

// buffer bounds the memory that one request uses for an unfinished answer or event, so that
// endpoints that send bytes without end can't exhaust that of the process. Usual answers and
// events are smaller than what is free.
type buffer struct {
	pool   *budget.Pool
	holder *budget.Holder
	size   int64
}

// newBuffer returns a buffer, and a function that returns its memory.
func (s *Server) newBuffer() (*buffer, func()) {
	b := &buffer{
		pool:   s.opts.Budget,
		holder: s.opts.Budget.NewHolder(),
	}
	return b, func() { b.pool.Leave(b.holder) }
}

// grow reserves memory for size bytes. It returns false if the memory for answers is used
// up.
func (b *buffer) grow(size int) bool {
	more := int64(size) - budget.FreeAnswer - b.size
	if more <= 0 {
		return true
	}
	more = (more + bufferStep - 1) / bufferStep * bufferStep
	if !b.pool.TryGrow(b.holder, budget.Answers, more) {
		return false
	}
	b.size += more
	return true
}
