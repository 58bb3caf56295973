package proc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns closes callers' connections that are idle for longer than the
// configuration in force allows, and all idle ones when the process stops.
//
// A request can arrive while its connection is being closed. Such a request is
// dropped without an answer, so that the caller may send it again.
type callerConns struct {
	idleLimit func() time.Duration

	mu      sync.Mutex
	conns   map[net.Conn]*callerConn
	stopped bool
}

// callerConn is the state of one connection of a caller.
type callerConn struct {
	timer  *time.Timer
	busy   bool
	closed bool
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
	switch {
	case cc.stopped:
		conn.closed = true
		_ = c.Close()
	case limit > 0:
		conn.timer = time.AfterFunc(limit, func() { cc.closeIfIdle(c) })
	}
}

func (cc *callerConns) closeIfIdle(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if conn := cc.conns[c]; conn != nil && !conn.busy {
		conn.closed = true
		_ = c.Close()
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
			conn.closed = true
			_ = c.Close()
		}
	}
}
