package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
		if n > 0 {
			c.onRead(n, len(p))
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed.Store(true)
		}
		return n, err
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.answerBegun.Store(true)
	return c.Conn.Write(p)
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

func (c *trackedConn) onRead(n, size int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch c.state {
	case stateHandling:
		// While a request is handled, http.Server reads single bytes only to notice
		// the end of the connection.
		c.nextBegun = c.nextBegun || n == 1 && size == 1
	case stateFresh, stateIdle:
		c.beginRequest()
	case stateReading:
	}
}

// beginRequest is called at the first byte of a request, with the server's lock held.
func (c *trackedConn) beginRequest() {
	c.state, c.nextBegun = stateReading, false
	c.answerBegun.Store(false)
	c.request.Store(nil)
	c.headerDeadline = time.Now().Add(c.server.opts.HeaderTimeout)
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

// isDue reports whether the server is to close the connection because it stops. The
// caller holds the server's lock.
func (c *trackedConn) isDue() bool {
	return c.state == stateIdle && (c.server.closingIdle || c.server.closing) || c.state == stateFresh && c.server.closing
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
	if n := readWaiting(c.Conn, p); n > 0 {
		return false, n
	}
	reason := HeaderTimeout
	switch {
	case c.isDue():
		reason = Stop
	case c.state == stateIdle:
		reason = IdleLimit
	}
	// http.Server closes it too, but later: a request may arrive in between.
	if !c.closeWithRefusal() {
		_ = c.Conn.Close()
	}
	c.server.opts.OnClose(Closing{
		Reason:  reason,
		Partial: c.state == stateReading,
		Idle:    time.Since(c.idleSince),
		Limit:   c.limit,
	})
	return false, 0
}

// closeWithRefusal refuses the request that may be on its way to the connection, which is
// never read, and closes the connection once the caller has done so, or after a while: a
// close with unread bytes would take the refusal from the caller. It returns false if the
// connection is to be closed at once. The caller holds the server's lock.
func (c *trackedConn) closeWithRefusal() bool {
	text := c.server.opts.LastAnswer
	if text == "" {
		return false
	}
	// The socket's buffer is empty, as any answer before was sent.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if _, err := io.WriteString(c.Conn, text); err != nil || c.CloseWrite() != nil {
		return false
	}
	c.isRefused.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalReadTime))
	c.server.refused++
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.refused--
	}()
	return true
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
