package caller

import (
	"errors"
	"net"
	"os"
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

// trackedConn is a connection of a caller. Its fields are guarded by the server's lock.
//
// Only the goroutine that reads closes it: when a read deadline passes, Read looks for
// bytes in the socket first, and reads them if there are any.
type trackedConn struct {
	net.Conn

	server    *Server
	state     connState
	idleSince time.Time
	// limit is the highest limit on idle time seen since idleSince.
	limit time.Duration
	// httpDeadline is the read deadline that http.Server has set.
	httpDeadline time.Time
	// headerDeadline is the read deadline while a request's header is read.
	headerDeadline time.Time
	// nextBegun is set if http.Server has read the first byte of the next request
	// while it handled one.
	nextBegun bool
	// overdue is set while bytes are read after the deadline.
	overdue bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.onRead(n, len(p))
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.continueReading() {
			return n, err
		}
	}
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
		if c.overdue {
			c.overdue = false
			_ = c.Conn.SetReadDeadline(c.headerDeadline)
		}
	}
}

// beginRequest is called at the first byte of a request, with the server's lock held.
func (c *trackedConn) beginRequest() {
	c.state, c.nextBegun, c.overdue = stateReading, false, false
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

// onIdle is called with the server's lock held when an answer has been sent.
func (c *trackedConn) onIdle() {
	c.idleSince, c.limit = time.Now(), c.server.opts.IdleLimit()
	if c.nextBegun {
		c.beginRequest()
		return
	}
	c.state = stateIdle
	if c.server.closing {
		c.closeUnlessBusy()
		return
	}
	_ = c.Conn.SetReadDeadline(c.idleDeadline())
}

// idleDeadline returns when an idle connection is to be checked next.
func (c *trackedConn) idleDeadline() time.Time {
	if c.limit == 0 {
		return time.Now().Add(unlimitedRecheck)
	}
	return c.idleSince.Add(c.limit + c.server.opts.IdleMargin)
}

// closeUnlessBusy makes the reading goroutine close the connection, unless a request
// has begun. The caller holds the server's lock.
func (c *trackedConn) closeUnlessBusy() {
	if c.state == stateFresh || c.state == stateIdle {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// continueReading is called when a read deadline has passed. It returns false if the
// connection is to be closed, or if the read was ended by http.Server.
func (c *trackedConn) continueReading() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == stateHandling {
		return false
	}
	if c.state == stateIdle && !c.server.closing && c.extendIdle() {
		return true
	}
	if hasUnread(c.Conn) {
		switch c.state {
		case stateReading:
			c.overdue = true
			_ = c.Conn.SetReadDeadline(time.Time{})
		default:
			c.beginRequest()
		}
		return true
	}
	reason := HeaderTimeout
	switch {
	case c.state == stateReading:
	case c.server.closing:
		reason = Stop
	case c.state == stateIdle:
		reason = IdleLimit
	}
	c.server.opts.OnClose(Closing{
		Reason:   reason,
		Partial:  c.state == stateReading,
		Idle:     time.Since(c.idleSince),
		Limit:    c.limit,
		LimitNow: c.server.opts.IdleLimit(),
	})
	return false
}

// extendIdle applies the limit in force and returns whether the connection may stay
// idle for longer.
func (c *trackedConn) extendIdle() bool {
	limit := c.server.opts.IdleLimit()
	if limit == 0 || c.limit == 0 {
		c.idleSince, c.limit = time.Now(), limit
	}
	c.limit = max(c.limit, limit)
	deadline := c.idleDeadline()
	if !deadline.After(time.Now()) {
		return false
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}

// hasUnread reports whether bytes wait in the socket. A read after its deadline fails
// even then.
func hasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
