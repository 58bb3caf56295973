// Package conn provides an HTTP transport that can prove that no byte of a
// request was written to the server.
package conn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// ErrSealed is returned by writes to a connection after its request was
// reported as not sent.
var ErrSealed = errors.New("conn: connection is sealed")

// NotSentError reports that no byte of the request was written to the server.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the settings of a Transport. Zero values mean the defaults.
type Options struct {
	// Dial opens a connection; the default is net.Dialer.
	Dial Dial
	// DialTimeout bounds opening a connection; the default is 2 s.
	DialTimeout time.Duration
	// IdleTimeout closes kept connections that are not used; the default is 90 s.
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the idle connections kept for one server; the default is 64.
	MaxIdlePerHost int
}

// Transport sends HTTP/1.1 requests. Unlike http.Transport it never repeats a
// request of which a byte may have been written: http.Transport does so for
// GET, and for any method with an Idempotency-Key header.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport and a function that closes its idle connections.
func NewTransport(opts Options) (*Transport, func()) {
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	timeout := opts.DialTimeout
	if timeout == 0 {
		timeout = 2 * time.Second
	}
	idle := opts.MaxIdlePerHost
	if idle == 0 {
		idle = 64
	}
	idleTimeout := opts.IdleTimeout
	if idleTimeout == 0 {
		idleTimeout = 90 * time.Second
	}
	base := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &tracked{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		// The default of 10 MiB would let one endpoint exhaust a small VM.
		MaxResponseHeaderBytes: 64 << 10,
		IdleConnTimeout:        idleTimeout,
	}
	return &Transport{base: base}, base.CloseIdleConnections
}

// maxAttempts bounds how many idle connections that the server has closed in
// the meantime are tried before the request fails as not sent.
const maxAttempts = 3

// Send sends req with the body and returns the response. The error is a
// *NotSentError when no byte was written.
func (t *Transport) Send(req *http.Request, body []byte) (*http.Response, error) {
	return t.SendIf(req, body, nil)
}

// SendIf is Send with a check that runs when a connection is there, directly
// before the first byte is written. Its error is returned in a *NotSentError.
func (t *Transport) SendIf(req *http.Request, body []byte, check func() error) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		p := &proof{
			check: check,
		}
		res, err := t.sendOnce(req, body, p)
		if err == nil {
			return res, nil
		}
		var notSent *NotSentError
		if !errors.As(err, &notSent) || !p.reused.Load() || p.refused != nil || attempt == maxAttempts || req.Context().Err() != nil {
			return nil, err
		}
	}
}

func (t *Transport) sendOnce(req *http.Request, body []byte, p *proof) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: p.gotConn,
	}
	out := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// A body without GetBody keeps http.Transport from repeating the request.
	out.Body = &onceBody{Reader: bytes.NewReader(body)}
	out.GetBody = nil
	out.ContentLength = int64(len(body))
	if len(body) == 0 {
		// Zero with a body means that the length is unknown; an explicit
		// encoding is then chosen by http.Transport.
		out.ContentLength = -1
	}
	res, err := t.base.RoundTrip(out)
	if err == nil {
		return res, nil
	}
	if p.seal() {
		if p.refused != nil {
			err = p.refused
		}
		return nil, &NotSentError{Err: err}
	}
	return nil, err
}

// onceBody is a request body of a type that http.Transport cannot rewind.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (*onceBody) Close() error { return nil }

// proof follows the connections that a request was given.
type proof struct {
	mu     sync.Mutex
	conns  []*tracked
	starts []int64
	opaque bool
	reused atomic.Bool
	// check may refuse the request; refused is its error.
	check   func() error
	refused error
}

func (p *proof) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if info.Reused {
		p.reused.Store(true)
	}
	c, ok := info.Conn.(*tracked)
	if !ok {
		p.opaque = true
		return
	}
	p.conns = append(p.conns, c)
	p.starts = append(p.starts, c.count())
	if p.check == nil {
		return
	}
	if p.refused = p.check(); p.refused != nil {
		// The write of the request fails and the connection is dropped.
		c.seal(c.count())
	}
}

// seal reports whether nothing was written, and makes sure that nothing will be.
func (p *proof) seal() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opaque {
		return false
	}
	for i, c := range p.conns {
		if !c.seal(p.starts[i]) {
			return false
		}
	}
	return true
}

// tracked is a connection that counts the writes that may have sent a byte.
type tracked struct {
	net.Conn
	mu     sync.Mutex
	writes int64
	sealed bool
}

func (c *tracked) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

func (c *tracked) seal(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != start {
		return false
	}
	c.sealed = true
	return true
}

// Write implements net.Conn. A write counts from before it starts, so that one
// in progress is never taken for nothing written.
func (c *tracked) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}
