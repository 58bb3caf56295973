// Package conn provides an HTTP transport whose errors state whether a request
// may have reached the server, so that an unsent request can be retried safely.
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

// ErrSealed is returned by writes to a connection after its request was reported
// as not sent, or was refused by its check.
var ErrSealed = errors.New("conn: connection is sealed")

// NotSentError reports that no byte of the request was written to the server, so
// that it is safe to send the request again.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Transport. Zero values select the defaults.
type Options struct {
	// Dial opens a connection; the default is net.Dialer.
	Dial Dial
	// DialTimeout bounds the time to open a connection; the default is 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; the default is 90 s.
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the idle connections kept per server; the default is
	// 64.
	MaxIdlePerHost int
	// ReadBuffer, if set, is what the system may hold of an answer that is not read, in
	// bytes. By default it lets that grow to megabytes.
	ReadBuffer int
	// ResetOnClose makes the close of a connection drop what has not reached the server.
	// After a usual close, the system goes on sending it, so that a request which was
	// given up during a network partition arrives after the partition.
	ResetOnClose bool
}

// maxResponseHeaderBytes bounds the head of an answer. With http.Transport's default of
// 10 MiB, a single endpoint could exhaust the memory of a small VM.
const maxResponseHeaderBytes = 64 << 10

// Transport sends HTTP/1.1 requests. Unlike http.Transport, it never resends a
// request of which a byte may have been written. http.Transport does so for GET
// requests and for all requests with an Idempotency-Key header.
type Transport struct {
	base *http.Transport
	// single opens a connection for each request and closes it after the response.
	single *http.Transport
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
			if l, ok := c.(interface{ SetLinger(int) error }); ok && opts.ResetOnClose {
				if err := l.SetLinger(0); err != nil {
					return nil, errors.Join(err, c.Close())
				}
			}
			if b, ok := c.(interface{ SetReadBuffer(int) error }); ok && opts.ReadBuffer > 0 {
				// Where that is not possible, the connection works as well. The system
				// doubles the value, for its own use.
				_ = b.SetReadBuffer(opts.ReadBuffer / 2)
			}
			return newTrackedConn(c), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	}
	single := base.Clone()
	single.DisableKeepAlives = true
	return &Transport{
		base:   base,
		single: single,
	}, base.CloseIdleConnections
}

// maxAttempts bounds the attempts on idle connections that the server has closed
// meanwhile, before the request fails as not sent.
const maxAttempts = 3

// Body is the body of a request, in pieces.
type Body [][]byte

// Bytes returns the body in one piece.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// reader returns a reader of the body.
func (b Body) reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, piece := range b {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Send sends req with the given body and returns the response. The error is a
// *NotSentError if no byte was written.
func (t *Transport) Send(req *http.Request, body []byte) (*http.Response, error) {
	return t.SendChecked(req, Body{body}, nil)
}

// SendChecked is like Send, but runs check once a connection is available,
// immediately before the first byte is written. An error from check is returned
// in a *NotSentError.
func (t *Transport) SendChecked(req *http.Request, body Body, check func() error) (*http.Response, error) {
	return send(t.base, req, body, check)
}

// SendAgain is like SendChecked, but uses a new connection. It is for a request that
// the server was sent before with the same id: on a connection that was used before, a
// second copy of the earlier response could not be told from the response to this one.
func (t *Transport) SendAgain(req *http.Request, body Body, check func() error) (*http.Response, error) {
	return send(t.single, req, body, check)
}

func send(base *http.Transport, req *http.Request, body Body, check func() error) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		w := &writeTracker{
			check: check,
		}
		res, err := sendOnce(base, req, body, w)
		if err == nil {
			return res, nil
		}
		var notSent *NotSentError
		if !errors.As(err, &notSent) || !w.reused.Load() || w.checkErr != nil || attempt == maxAttempts || req.Context().Err() != nil {
			return nil, err
		}
	}
}

func sendOnce(base *http.Transport, req *http.Request, body Body, w *writeTracker) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: w.gotConn,
	}
	out := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// http.Transport cannot resend a request that has a body but no GetBody.
	out.Body = &onceBody{Reader: body.reader()}
	out.GetBody = nil
	out.ContentLength = int64(body.Len())
	if out.ContentLength == 0 {
		// Zero with a body means that the length is unknown; an explicit
		// encoding is then chosen by http.Transport.
		out.ContentLength = -1
	}
	res, err := base.RoundTrip(out)
	if err == nil {
		res.Body = &responseBody{
			ReadCloser: res.Body,
			conn:       w.lastConn(),
		}
		return res, nil
	}
	if w.seal() {
		if w.checkErr != nil {
			err = w.checkErr
		}
		return nil, &NotSentError{Err: err}
	}
	return nil, err
}

// responseBody is the body of a response with the connection it arrives on.
type responseBody struct {
	io.ReadCloser
	conn *trackedConn // nil if unknown
}

// CloseConnection closes the body of a response and the connection that it arrived
// on. It is for responses that belong to another request: the response that
// follows on the connection would go to the next request.
func CloseConnection(res *http.Response) {
	if b, ok := res.Body.(*responseBody); ok && b.conn != nil {
		// The response is discarded, so an error has no effect on the caller.
		_ = b.conn.Close()
	}
	_ = res.Body.Close()
}

// onceBody is a request body that http.Transport cannot rewind.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (*onceBody) Close() error { return nil }

// writeTracker records the connections assigned to a request and whether
// anything was written to them.
type writeTracker struct {
	mu            sync.Mutex
	conns         []*trackedConn
	initialWrites []int64
	untracked     bool
	reused        atomic.Bool
	// check may refuse the request; checkErr is the error it returned.
	check    func() error
	checkErr error
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if info.Reused {
		w.reused.Store(true)
	}
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		w.untracked = true
		return
	}
	w.conns = append(w.conns, c)
	w.initialWrites = append(w.initialWrites, c.writeCount())
	if w.check == nil {
		return
	}
	if w.checkErr = w.check(); w.checkErr != nil {
		// Writing the request then fails, and http.Transport closes the connection.
		c.sealIfUnused(c.writeCount())
	}
}

// lastConn returns the connection that the request was assigned last, or nil.
func (w *writeTracker) lastConn() *trackedConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		return nil
	}
	return w.conns[len(w.conns)-1]
}

// seal reports whether nothing was written for the request. If so, it also
// blocks all later writes to the connections that it was assigned.
func (w *writeTracker) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.untracked {
		return false
	}
	for i, c := range w.conns {
		if !c.sealIfUnused(w.initialWrites[i]) {
			return false
		}
	}
	return true
}
