package serve

import "sync/atomic"

const (
	// freeBuffer is how many bytes of an unfinished answer or event each request may
	// hold without a reservation. Usual answers and events are smaller.
	freeBuffer = 32 << 10
	// maxReservedBuffers is how many bytes beyond freeBuffer all requests of a process
	// may hold together. The smallest VMs have 144 MB.
	maxReservedBuffers = 16 << 20
)

// bufferPool bounds the memory that all requests of a process use for unfinished
// answers, so that endpoints that send bytes without end can't exhaust it.
type bufferPool struct {
	reserved atomic.Int64
}

// buffer is one request's part of a bufferPool.
type buffer struct {
	pool     *bufferPool
	reserved int64
}

// grow reserves memory for size bytes. It returns false if the pool is used up.
func (b *buffer) grow(size int) bool {
	more := int64(size) - freeBuffer - b.reserved
	if more <= 0 {
		return true
	}
	// Reserving in whole steps keeps requests from contending for the counter.
	more = (more + freeBuffer - 1) / freeBuffer * freeBuffer
	if b.pool.reserved.Add(more) > maxReservedBuffers {
		b.pool.reserved.Add(-more)
		return false
	}
	b.reserved += more
	return true
}

// release returns the reserved memory.
func (b *buffer) release() {
	b.pool.reserved.Add(-b.reserved)
	b.reserved = 0
}
