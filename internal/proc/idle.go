package proc

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// callerConns closes callers' connections that are idle for longer than the
// configuration in force allows, and all idle ones when the process stops.
//
// A request can arrive while its connection is being closed. Such a request is
// dropped without an answer, so that the caller may send it again.
type callerConns struct {
	idleLimit func() time.Duration
	log       *slog.Logger
	metrics   *metrics

	mu      sync.Mutex
	conns   map[net.Conn]*callerConn
	stopped bool
}

// callerConn is the state of one connection of a caller.
type callerConn struct {
	timer  *time.Timer
	busy   bool
	closed bool
	// reason, idleSince, limit and closedAt describe why the process closed it.
	reason    closeReason
	idleSince time.Time
	limit     time.Duration
	closedAt  time.Time
}

// closeReason is why the process closes a connection of a caller.
type closeReason string

const (
	closeIdleLimit closeReason = "idle-limit"
	closeStop      closeReason = "stop"
)

// close closes a connection and records why. The caller holds the lock.
func (cc *callerConns) close(c net.Conn, conn *callerConn, reason closeReason) {
	waiting := unreadBytes(c)
	conn.closed, conn.reason, conn.closedAt = true, reason, time.Now()
	_ = c.Close()
	cc.metrics.connsClosed.WithLabelValues(string(reason)).Inc()
	if waiting > 0 {
		cc.log.Warn("connection closed with unread bytes", "reason", reason, "unread", waiting,
			"idle-ms", time.Since(conn.idleSince).Milliseconds(), "limit-ms", conn.limit.Milliseconds(),
			"limit-now-ms", cc.idleLimit().Milliseconds())
	}
}

// unreadBytes returns how many bytes, at most 64, wait in the socket's receive buffer.
func unreadBytes(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	err = raw.Control(func(fd uintptr) {
		var buf [64]byte
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

type connContextKey struct{}

// withConn stores the connection in the context of its requests, for dropClosed.
func (cc *callerConns) withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// trackState is the http.Server's ConnState hook.
func (cc *callerConns) trackState(c net.Conn, s http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch s {
	case http.StateNew:
		if cc.conns == nil {
			cc.conns = make(map[net.Conn]*callerConn)
		}
		cc.conns[c] = &callerConn{}
	case http.StateIdle:
		cc.onIdle(c)
	case http.StateClosed, http.StateHijacked:
		if conn := cc.conns[c]; conn != nil && conn.timer != nil {
			conn.timer.Stop()
		}
		delete(cc.conns, c)
	case http.StateActive:
	}
}

// onIdle starts the idle timer of a connection, or closes it at once when the
// process is stopping. The caller holds the lock.
func (cc *callerConns) onIdle(c net.Conn) {
	conn := cc.conns[c]
	if conn == nil {
		return
	}
	conn.busy = false
	limit := cc.idleLimit()
	conn.idleSince, conn.limit = time.Now(), limit
	switch {
	case cc.stopped:
		cc.close(c, conn, closeStop)
	case limit > 0:
		conn.timer = time.AfterFunc(limit, func() { cc.closeIfIdle(c) })
	}
}

func (cc *callerConns) closeIfIdle(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if conn := cc.conns[c]; conn != nil && !conn.busy && !conn.closed {
		cc.close(c, conn, closeIdleLimit)
	}
}

// markBusy marks a connection as busy. It returns false if the connection was
// closed already.
func (cc *callerConns) markBusy(c net.Conn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	conn := cc.conns[c]
	if conn == nil {
		return true
	}
	if conn.closed {
		cc.metrics.requestsDropped.WithLabelValues(string(conn.reason)).Inc()
		cc.log.Warn("request dropped without an answer", "reason", conn.reason, "closed-for-us", time.Since(conn.closedAt).Microseconds(),
			"idle-ms", conn.closedAt.Sub(conn.idleSince).Milliseconds(), "limit-ms", conn.limit.Milliseconds(),
			"limit-now-ms", cc.idleLimit().Milliseconds())
		return false
	}
	conn.busy = true
	if conn.timer != nil {
		conn.timer.Stop()
	}
	return true
}

// busyCount returns the number of connections whose request is being read or whose
// answer is not sent in full yet.
func (cc *callerConns) busyCount() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	n := 0
	for _, conn := range cc.conns {
		if conn.busy && !conn.closed {
			n++
		}
	}
	return n
}

// dropClosed aborts requests whose connection was closed before they were handled.
func (cc *callerConns) dropClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connContextKey{}).(net.Conn); ok && !cc.markBusy(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// counts returns the numbers of connections by state: with a request, idle after an
// answer, without a request so far.
func (cc *callerConns) counts() (busy, idle, fresh int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, conn := range cc.conns {
		switch {
		case conn.busy:
			busy++
		case conn.idleSince.IsZero():
			fresh++
		default:
			idle++
		}
	}
	return busy, idle, fresh
}

// stop closes the connections that are idle now, and the others once they become
// idle. Connections without a request so far stay open, since their caller may be
// about to send one.
func (cc *callerConns) stop() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.stopped = true
	for c, conn := range cc.conns {
		if conn.timer != nil && !conn.busy && !conn.closed {
			conn.timer.Stop()
			cc.close(c, conn, closeStop)
		}
	}
}
