package proc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that are idle for longer than the
// configuration in force allows, and all idle ones when the process stops.
//
// A request can arrive while its connection is closed. It is then neither passed
// on nor answered, so that the caller may send it again.
type idleConns struct {
	limit func() time.Duration

	mu      sync.Mutex
	conns   map[net.Conn]*idleConn
	stopped bool
}

// idleConn is a caller's connection.
type idleConn struct {
	timer  *time.Timer
	busy   bool
	closed bool
}

type connKey struct{}

// context lets guard find the connection of a request.
func (i *idleConns) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// state follows the connections.
func (i *idleConns) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case http.StateNew:
		if i.conns == nil {
			i.conns = make(map[net.Conn]*idleConn)
		}
		i.conns[c] = &idleConn{}
	case http.StateIdle:
		i.idle(c)
	case http.StateClosed, http.StateHijacked:
		if x := i.conns[c]; x != nil && x.timer != nil {
			x.timer.Stop()
		}
		delete(i.conns, c)
	case http.StateActive:
	}
}

// idle closes a connection later, or at once when the process stops. The lock
// is held.
func (i *idleConns) idle(c net.Conn) {
	x := i.conns[c]
	if x == nil {
		return
	}
	x.busy = false
	limit := i.limit()
	switch {
	case i.stopped:
		x.closed = true
		_ = c.Close()
	case limit > 0:
		x.timer = time.AfterFunc(limit, func() { i.expire(c) })
	}
}

func (i *idleConns) expire(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if x := i.conns[c]; x != nil && !x.busy {
		x.closed = true
		_ = c.Close()
	}
}

// begin marks a connection as busy. It reports false when it was closed.
func (i *idleConns) begin(c net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	x := i.conns[c]
	if x == nil {
		return true
	}
	if x.closed {
		return false
	}
	x.busy = true
	if x.timer != nil {
		x.timer.Stop()
	}
	return true
}

// guard drops requests whose connection was closed before they were read.
func (i *idleConns) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !i.begin(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// stop closes the connections that are idle, now and later. Connections on
// which no request was read yet stay, since their caller may be about to send.
func (i *idleConns) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	for c, x := range i.conns {
		if x.timer != nil && !x.busy && !x.closed {
			x.timer.Stop()
			x.closed = true
			_ = c.Close()
		}
	}
}
