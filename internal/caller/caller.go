// Package caller serves HTTP/1.1 requests of callers and owns their connections. A
// connection is closed only while no byte of a request has been read from it or waits
// in its socket, so that each request that arrives is answered.
package caller

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
)

const (
	// unlimitedRecheck is how often a connection that became idle without a limit is
	// checked for one.
	unlimitedRecheck = 10 * time.Second
	// firstRequestTime is how long a server that is shut down waits for the first
	// byte on connections that it has accepted last.
	firstRequestTime = 100 * time.Millisecond
	// limitInterval is how often the server looks for a change of the idle limit, and
	// limitLooks how often at least within the margin.
	limitInterval = time.Second
	limitLooks    = 5
	// refusalWriteTime bounds the write of the last answer, and refusalReadTime the wait
	// for the end of its connection.
	refusalWriteTime = 10 * time.Millisecond
	refusalReadTime  = time.Second
	// lastRefusalTime is how long a server that is shut down waits for the ends of these
	// connections.
	lastRefusalTime = 200 * time.Millisecond
	// defaultDescriptors is how many descriptors a server without a budget may use.
	defaultDescriptors = 4096
	// maxRefused is how many refused connections are kept until their clients close them.
	maxRefused = 32
	// shutdownInterval is how often a server that is shut down checks whether all
	// connections are closed.
	shutdownInterval = 5 * time.Millisecond
)

// Reason is why the server closes a connection.
type Reason string

// Reasons to close a connection.
const (
	// IdleLimit is that the connection was idle for longer than allowed.
	IdleLimit Reason = "idle-limit"
	// HeaderTimeout is that a request's header did not arrive in time.
	HeaderTimeout Reason = "header-timeout"
	// Stop is that the server is shut down.
	Stop Reason = "stop"
	// Unanswered is that the handler ended without an answer.
	Unanswered Reason = "unanswered"
	// Limited is that a part of the process's budget is used up, or that the client
	// exceeds a limit of its own. Closing.Limit says which.
	Limited Reason = "limited"
)

// RequestTimeout is a LastAnswer with HTTP's own status for a request that a server has not
// read and will not run.
const RequestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Closing describes a connection that the server closes.
type Closing struct {
	Reason Reason
	// Partial is set if a part of a request was read.
	Partial bool
	// Idle is the time since the last answer, or since the connection was accepted.
	Idle time.Duration
	// IdleLimit is the limit on Idle that is in force.
	IdleLimit time.Duration
	// Limit is the limit that has ended the connection, for Limited.
	Limit Limit
	// Request is the request that got no answer, for Unanswered.
	Request Request
}

// Options holds the settings of a Server.
type Options struct {
	Handler http.Handler
	// IdleLimit returns how long a connection may be idle, or 0 for no limit.
	IdleLimit func() time.Duration
	// IdleMargin is by how much earlier or later than this process callers may learn of a
	// change of the limit. Connections are closed that much later.
	IdleMargin time.Duration
	// FirstByteTimeout limits the time from the start of a connection to its first byte, and
	// HeaderTimeout that from a request's first byte to the end of its header.
	FirstByteTimeout time.Duration
	HeaderTimeout    func() time.Duration
	// MaxHeaderBytes returns how many bytes a request's header may have; the default is
	// DefaultMaxHeaderBytes.
	MaxHeaderBytes func() int
	// LastAnswer is sent on a connection without a whole header of a request before the
	// server closes it. It has to promise that a request that is on its way will not run. It may
	// be empty.
	LastAnswer string
	// RequestID names a request whose header was read. It may be nil.
	RequestID func(*http.Request) string
	// Fail writes an answer that promises nothing, to a request whose handler has panicked.
	Fail func(w http.ResponseWriter, requestID string)
	// OnPanic is called for each handler that has panicked.
	OnPanic func(Panic)
	// OnClose is called for each connection that the server closes by itself. It must not
	// block.
	OnClose func(Closing)
	// Budget bounds what all connections together use. Without one, the server has a budget
	// for a process whose memory is not known.
	Budget *budget.Pool
	// Pacer bounds the processor time for bodies in small chunks. Without one, the server has
	// one for a whole core.
	Pacer *budget.Pacer
}

// DefaultMaxHeaderBytes is the limit on a request's header where none is set.
const DefaultMaxHeaderBytes = 64 << 10

// Server serves the requests of callers.
type Server struct {
	opts Options
	http *http.Server

	mu       sync.Mutex
	limit    idleLimit
	conns    map[*trackedConn]struct{}
	listener *listener
	draining bool
	// refused is the number of connections that have got the last answer and are open.
	refused int
	// closingIdle is set once connections that wait for another request are closed,
	// and closing once those without a request are closed too.
	closingIdle bool
	closing     bool
}

// NewServer returns a Server that does not listen yet.
func NewServer(opts Options) *Server {
	if opts.Budget == nil {
		opts.Budget = budget.NewPool(budget.Divide(budget.DefaultMemory, defaultDescriptors))
	}
	if opts.Pacer == nil {
		opts.Pacer = budget.NewPacer(1)
	}
	if opts.MaxHeaderBytes == nil {
		opts.MaxHeaderBytes = func() int { return DefaultMaxHeaderBytes }
	}
	s := &Server{
		opts:  opts,
		conns: make(map[*trackedConn]struct{}),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: opts.FirstByteTimeout,
		// trackedConn applies the limit that is in force.
		MaxHeaderBytes: math.MaxInt32,
		ConnState:      s.onState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	r, q := s.begin(r)
	defer q.handlerEnded.Store(true)
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		defer s.opts.Budget.Release(c.holder, budget.Bodies)
	}
	a := &answerWriter{
		ResponseWriter: w,
		server:         s,
		isPlain:        !r.ProtoAtLeast(1, 1),
	}
	a.conn, _ = r.Context().Value(connKey{}).(*trackedConn)
	a.request = q
	defer func() {
		if value := recover(); value != nil {
			s.onPanic(a, q, value)
		}
	}()
	s.opts.Handler.ServeHTTP(a, r)
	a.begin(http.StatusOK)
	if a.conn != nil && a.conn.bodyUnread.Load() && a.FlushError() == nil {
		a.conn.discardUnread()
	}
}

// isEnding reports whether a connection, which may be nil, ends after its next answer.
func (s *Server) isEnding(c *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.closingIdle || c != nil && c.endedBy != nil
}

// Serve accepts connections until the listener fails or is closed by Shutdown or
// Close. It returns nil in the latter case.
func (s *Server) Serve(l net.Listener) error {
	tracked := &listener{
		Listener: l,
		server:   s,
		done:     make(chan struct{}),
	}
	s.mu.Lock()
	s.listener = tracked
	if s.draining {
		tracked.stop()
	}
	s.mu.Unlock()
	go s.observeLimit(tracked.done)
	err := s.http.Serve(tracked)
	close(tracked.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	return err
}

// observeLimit follows the idle limit until done is closed.
func (s *Server) observeLimit(done <-chan struct{}) {
	interval := limitInterval
	if margin := s.opts.IdleMargin; margin > 0 {
		interval = min(interval, max(margin/limitLooks, time.Millisecond))
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.LimitChanged()
		case <-done:
			return
		}
	}
}

// LimitChanged may be called when the idle limit has changed. Without it, a limit that is
// in force for a shorter time than the server's interval may not be seen.
func (s *Server) LimitChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookAtLimit()
}

// lookAtLimit returns the limit in force. The caller holds the lock.
func (s *Server) lookAtLimit() time.Duration {
	s.limit.margin = s.opts.IdleMargin
	s.limit.observe(time.Now(), s.opts.IdleLimit())
	return s.limit.current
}

// Counts holds the numbers of connections by state.
type Counts struct {
	// Busy connections have a request of which at least a byte was read and whose
	// answer is not sent in full.
	Busy int
	// Idle connections wait for another request, and Fresh ones for the first.
	Idle  int
	Fresh int
}

// Counts returns the current numbers of connections.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n Counts
	for c := range s.conns {
		switch c.state {
		case stateFresh:
			n.Fresh++
		case stateIdle:
			n.Idle++
		default:
			n.Busy++
		}
	}
	return n
}

// Shutdown closes the listener and then each connection once it has no request, and
// waits until all are closed. Unlike http.Server.Shutdown, it answers requests that
// were sent before their connection was closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	accepted := make(chan struct{})
	if s.listener != nil {
		s.listener.stop()
		accepted = s.listener.done
	} else {
		close(accepted)
	}
	s.mu.Unlock()
	select {
	case <-accepted:
	case <-ctx.Done():
		return ctx.Err()
	}
	for start := time.Now(); time.Since(start) < firstRequestTime && s.Counts().Fresh > 0; {
		if err := sleep(ctx, shutdownInterval); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.closeIfDue()
	}
	s.mu.Unlock()
	for s.Counts() != (Counts{}) {
		if err := sleep(ctx, shutdownInterval); err != nil {
			return err
		}
	}
	for start := time.Now(); time.Since(start) < lastRefusalTime && s.hasRefused(); {
		if sleep(ctx, shutdownInterval) != nil {
			// All requests that were read have their answer.
			return nil
		}
	}
	return nil
}

func (s *Server) hasRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused > 0
}

// CloseIdle closes the connections that wait for another request, and from now on each
// one once it would do so. All answers announce the end of their connection from now on.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingIdle = true
	for c := range s.conns {
		c.closeIfDue()
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.http.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// onState is the http.Server's ConnState hook.
func (s *Server) onState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		c.state = stateHandling
		s.opts.Budget.Enter(c.holder, budget.Working)
		_ = c.Conn.SetReadDeadline(c.httpDeadline)
	case http.StateIdle:
		c.onIdle()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		s.opts.Budget.Leave(c.holder)
	case http.StateNew:
	}
}
