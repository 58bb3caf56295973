package caller

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"trefoildale.example/trefoildale/internal/budget"
)

type connState int

const (
	// stateFresh is that no byte has been read so far.
	stateFresh connState = iota
	// stateReading is that a part of a request's header was read.
	stateReading
	// stateHandling is that the header was read and the answer is not sent in full.
	stateHandling
	// stateIdle is that the answer was sent and no byte of another request was read.
	stateIdle
)

// readBufferSize is the size of http.Server's buffer. A read between two requests is
// shorter where the buffer holds bytes.
const readBufferSize = 4 << 10

// trackedConn is a connection of a caller. Its fields are guarded by the server's lock.
//
// Only the goroutine that reads closes it: when a read deadline passes, Read looks for
// bytes in the socket first, and reads them if there are any.
type trackedConn struct {
	net.Conn

	server    *Server
	state     connState
	idleSince time.Time
	// limit is the limit on idle time when the connection was looked at last.
	limit time.Duration
	// httpDeadline is the read deadline that http.Server has set.
	httpDeadline time.Time
	// headerDeadline is the read deadline while a request's header is read.
	headerDeadline time.Time
	// isReported is set once OnClose was told that the request got no answer.
	isReported bool
	// nextBegun is set if http.Server has read the first byte of the next request
	// while it handled one.
	nextBegun bool
	// answerBegun is set once a byte of the answer was written, and peerClosed once the
	// caller has closed the connection.
	answerBegun atomic.Bool
	peerClosed  atomic.Bool
	// isRefused is set once closeWithRefusal has taken over the connection.
	isRefused atomic.Bool
	// request is the one that is handled, once its header was read.
	request atomic.Pointer[exchange]
	// bodyBytes is how many bytes were read since the head of the request, chunk marks
	// included.
	bodyBytes atomic.Int64
	// bodyUnread is set if a part of the request's body is not read, so that the
	// connection ends after the answer.
	bodyUnread atomic.Bool
	// head is what was read of a request's head. It belongs to the goroutine that reads.
	head headScan
	// holder is what the connection has of the server's budget. endedBy is why it has to
	// give way, nil if it doesn't.
	holder  *budget.Holder
	endedBy *budget.Cause
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			extended, waiting := c.onDeadline(p)
			switch {
			case extended:
				continue
			case waiting > 0:
				n, err = waiting, nil
			}
		}
		if n > 0 && c.onRead(n, len(p)) && !c.admitHead(p[:n]) {
			// http.Server says nothing to the client after that.
			return 0, os.ErrDeadlineExceeded
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed.Store(true)
		}
		return n, err
	}
}

// Write implements net.Conn. Each piece has to be taken in time by the caller, whatever the
// handler does: it would wait forever for one that reads nothing.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.answerBegun.Store(true)
	if !c.server.opts.Budget.BeginWrite(c.holder) {
		// Its end may have been decided while a part of the answer waited.
		c.server.mu.Lock()
		isOver := c.endedBy != nil && c.endedBy.Phase == budget.Writing
		c.server.mu.Unlock()
		if isOver {
			return 0, errGaveWay
		}
	}
	defer c.server.opts.Budget.EndWrite(c.holder)
	for written := 0; ; {
		piece := p[written:min(len(p), written+writeSize)]
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTime))
		n, err := c.Conn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.reportUnread()
		}
		if err != nil || written == len(p) {
			return written, err
		}
		c.server.opts.Budget.Advance(c.holder, n)
	}
}

// SetWriteDeadline implements net.Conn. Write sets a deadline for each piece.
func (*trackedConn) SetWriteDeadline(time.Time) error { return nil }

var errGaveWay = errors.New("caller: the connection gave way to others")

const (
	// writeTime is how long the caller may take for writeSize bytes of an answer.
	writeTime = 5 * time.Second
	writeSize = 64 << 10
)

// reportUnread reports a caller that does not read its answer.
func (c *trackedConn) reportUnread() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	limit := Limit{
		Name:  "answer-unread",
		Size:  writeTime.Milliseconds(),
		Used:  writeTime.Milliseconds(),
		Phase: budget.Writing,
	}
	if c.endedBy != nil {
		limit = limitOf(*c.endedBy)
	}
	c.server.reportLimited(limit, c.request.Load())
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.isRefused.Load() {
		return nil
	}
	// The lock may be held for long, and requests that arrive meanwhile are not read.
	err := c.Conn.Close()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == stateHandling && !c.isReported && !c.answerBegun.Load() && !c.peerClosed.Load() {
		c.isReported = true
		closing := Closing{
			Reason: Unanswered,
		}
		if q := c.request.Load(); q != nil {
			closing.Request = q.describe(false)
		}
		c.server.opts.OnClose(closing)
	}
	return err
}

// onRead records a read. It reports whether it was of a request's head.
func (c *trackedConn) onRead(n, size int) (isHead bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch c.state {
	case stateHandling:
		c.server.opts.Budget.Advance(c.holder, n)
		c.bodyBytes.Add(int64(n))
		// While a request is handled, http.Server reads single bytes only to notice
		// the end of the connection.
		c.nextBegun = c.nextBegun || n == 1 && size == 1
	case stateFresh, stateIdle:
		c.beginRequest()
	case stateReading:
	}
	return c.state == stateReading
}

// beginRequest is called at the first byte of a request, with the server's lock held.
func (c *trackedConn) beginRequest() {
	c.server.opts.Budget.Enter(c.holder, budget.ReadingHead)
	c.state, c.nextBegun = stateReading, false
	c.answerBegun.Store(false)
	c.request.Store(nil)
	c.head = headScan{}
	c.bodyBytes.Store(0)
	c.bodyUnread.Store(false)
	c.headerDeadline = time.Now().Add(c.server.opts.HeaderTimeout())
	_ = c.Conn.SetReadDeadline(c.headerDeadline)
}

// SetReadDeadline implements net.Conn. While a connection is idle or a header is read,
// the server's own deadlines hold.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.httpDeadline = t
	if c.state == stateHandling || c.state == stateFresh && !c.server.closing {
		return c.Conn.SetReadDeadline(t)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// CloseWrite lets http.Server end an answer without a reset where the caller still
// sends.
func (c *trackedConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// SetLinger lets a handler reset a connection that it has hijacked.
func (c *trackedConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// onIdle is called with the server's lock held when an answer has been sent.
func (c *trackedConn) onIdle() {
	c.idleSince = time.Now()
	c.server.opts.Budget.Release(c.holder, budget.Heads)
	c.server.opts.Budget.Enter(c.holder, budget.Idle)
	if c.nextBegun {
		c.beginRequest()
		return
	}
	c.state = stateIdle
	if c.isDue() {
		c.closeIfDue()
		return
	}
	_ = c.Conn.SetReadDeadline(c.idleDeadline())
}

// idleDeadline returns when an idle connection is to be checked next. The caller holds the
// server's lock.
func (c *trackedConn) idleDeadline() time.Time {
	c.limit = c.server.lookAtLimit()
	at, isLimited := c.server.limit.deadline(c.idleSince)
	if !isLimited {
		return time.Now().Add(unlimitedRecheck)
	}
	return at
}

// isDue reports whether the server is to close the connection because it stops, or because
// others need it. The caller holds the server's lock.
func (c *trackedConn) isDue() bool {
	switch c.state {
	case stateIdle:
		return c.server.closingIdle || c.server.closing || c.endedBy != nil
	case stateFresh:
		return c.server.closing || c.endedBy != nil
	case stateReading, stateHandling:
	}
	return false
}

// giveWay makes the connection end, since others need what it has. A request that arrived
// meanwhile is still served.
func (c *trackedConn) giveWay(cause budget.Cause) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.endedBy = &cause
	switch cause.Phase {
	case budget.Writing:
		_ = c.Conn.SetWriteDeadline(time.Now())
	case budget.ReadingBody:
		_ = c.Conn.SetReadDeadline(time.Now())
	default:
		// A request whose head has arrived meanwhile is served.
		if c.state != stateHandling {
			_ = c.Conn.SetReadDeadline(time.Now())
		}
	}
}

// closeIfDue makes the reading goroutine close the connection. The caller holds the
// server's lock.
func (c *trackedConn) closeIfDue() {
	// One that is refused already waits for its caller, by the same deadline.
	if c.isDue() && !c.isRefused.Load() {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// onDeadline is called when a read deadline has passed. It returns whether the deadline
// was extended, or else how many bytes it has read into p. If there are none either, the
// connection is to be closed, or the read was ended by http.Server.
func (c *trackedConn) onDeadline(p []byte) (extended bool, waiting int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == stateHandling {
		return false, 0
	}
	if c.state == stateIdle && len(p) < readBufferSize {
		// The first bytes of the request were read together with the one before.
		c.beginRequest()
		return true, 0
	}
	if c.state == stateIdle && !c.isDue() && c.extendIdle() {
		return true, 0
	}
	// A head that has stopped arriving gives way with the bytes that have come meanwhile.
	if c.state != stateReading || c.endedBy == nil {
		if n := readWaiting(c.Conn, p); n > 0 {
			return false, n
		}
	}
	closing := Closing{
		Reason:    HeaderTimeout,
		Partial:   c.state == stateReading,
		Idle:      time.Since(c.idleSince),
		IdleLimit: c.limit,
	}
	switch {
	case c.endedBy != nil:
		closing.Reason, closing.Limit = Limited, limitOf(*c.endedBy)
	case c.isDue():
		closing.Reason = Stop
	case c.state == stateIdle:
		closing.Reason = IdleLimit
	}
	// http.Server closes it too, but later: a request may arrive in between.
	c.closeWith(c.server.opts.LastAnswer, c.endedBy != nil)
	c.server.opts.OnClose(closing)
	return false, 0
}

// closeWith closes the connection with an answer to the request that may be on its way, or
// without one if it is empty, or if many others of a crowd have got one just now. The caller
// holds the server's lock.
func (c *trackedConn) closeWith(answer string, isCrowd bool) {
	if answer == "" || isCrowd && c.server.refused >= maxRefused {
		_ = c.Conn.Close()
		return
	}
	c.isRefused.Store(true)
	c.server.closeRefused(c.Conn, answer)
}

// extendIdle applies the limit in force and returns whether the connection may stay
// idle for longer.
func (c *trackedConn) extendIdle() bool {
	deadline := c.idleDeadline()
	if !deadline.After(time.Now()) {
		return false
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}

// readWaiting reads the bytes that wait in the socket. Conn.Read returns none of them
// after its deadline.
func readWaiting(c net.Conn, p []byte) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Read(int(fd), p)
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}
