package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/health"
)

// NotSentError reports that no byte of a request was written to the endpoint.
type NotSentError = conn.NotSentError

// MismatchError reports a response that belongs to another request. The response
// is discarded.
type MismatchError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer for request %q instead of %q", e.Got, e.Want)
}

// StatusError is an error status returned by the endpoint.
type StatusError struct {
	Status  int
	Code    string
	Message string
	// NotRun means that the endpoint states that the request had no effect.
	NotRun bool
	Statement
}

// Statement is what an endpoint says of itself in an answer.
type Statement struct {
	// Leaving is set if the endpoint leaves and takes no new requests.
	Leaving bool
	// Wait is how long the endpoint wants no requests of this process, if it says so.
	Wait health.Wait
}

// headerLeaving is "1" in all answers of an endpoint that leaves.
const headerLeaving = "X-Leaving"

func decodeStatement(res *http.Response) Statement {
	s := Statement{
		Leaving: res.Header.Get(headerLeaving) == "1",
	}
	if text, ok := res.Header["Retry-After"]; ok && res.StatusCode == http.StatusServiceUnavailable {
		s.Wait = health.ParseWait(text[0], res.Header.Get("Date"), time.Now())
	}
	return s
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered %d %s: %s", e.Status, e.Code, e.Message)
}

// BadResponseError reports that a response was missing, truncated or malformed
// after the request may have been written.
type BadResponseError struct {
	Err error
	Statement
}

// Error implements error.
func (e *BadResponseError) Error() string { return "broken answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BadResponseError) Unwrap() error { return e.Err }

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// Dial opens a connection; the default is net.Dialer.
	Dial conn.Dial
	// DialTimeout defaults to 2 s.
	DialTimeout time.Duration
	// MaxIdlePerEndpoint defaults to 64.
	MaxIdlePerEndpoint int
	// MaxAnswerBytes bounds the body of a response that is not streamed; the
	// default is 8 MiB.
	MaxAnswerBytes int64
	// MaxEventBytes bounds one event of a stream; the default is 1 MiB.
	MaxEventBytes int
	// Name is the prefix of the request ids of control requests, for example the
	// node's name.
	Name string
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *conn.Transport
	seq       atomic.Uint64
}

// StatementOf returns what the endpoint said of itself in an answer that is an error.
func StatementOf(err error) Statement {
	var status *StatusError
	var bad *BadResponseError
	switch {
	case errors.As(err, &status):
		return status.Statement
	case errors.As(err, &bad):
		return bad.Statement
	}
	return Statement{}
}

// NewClient returns a Client and a function that closes its idle connections.
func NewClient(opts Options) (*Client, func()) {
	if opts.MaxAnswerBytes == 0 {
		opts.MaxAnswerBytes = 8 << 20
	}
	if opts.MaxEventBytes == 0 {
		opts.MaxEventBytes = 1 << 20
	}
	if opts.Name == "" {
		opts.Name = "control"
	}
	t, release := conn.NewTransport(conn.Options{
		Dial:           opts.Dial,
		DialTimeout:    opts.DialTimeout,
		MaxIdlePerHost: opts.MaxIdlePerEndpoint,
	})
	return &Client{
		opts:      opts,
		transport: t,
	}, release
}

// Call is a request to an endpoint.
type Call struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Path may include a query string.
	Path   string
	Header http.Header
	Body   []byte
	// RequestID is sent as X-Request-Id. The response must echo it.
	RequestID string
	// Again is set if the endpoint was sent a request with this id before.
	Again bool
	// Check, if set, runs immediately before the first byte is written. Its
	// error is returned in a *NotSentError.
	Check func() error
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Usage is set if a completion reports it.
	Usage *Usage
	Statement
}

// Call sends a request to an endpoint that is not an engine. It returns any
// complete response, whatever its status.
func (c *Client) Call(ctx context.Context, call Call) (*Response, error) {
	res, err := c.send(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.Address, err)
	}
	a, err := c.readResponse(ctx, res)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.Address, err)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "application/json") && len(a.Body) > 0 && !json.Valid(a.Body) {
		return nil, fmt.Errorf("call %s: %w", call.Address, &BadResponseError{Err: errors.New("body declared as application/json is not valid JSON")})
	}
	return a, nil
}

// Complete requests a completion without streaming.
func (c *Client) Complete(ctx context.Context, call Call) (*Response, error) {
	a, err := c.callOK(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("complete at %s: %w", call.Address, err)
	}
	if a.Usage, err = decodeUsage(a.Body); err != nil {
		return nil, fmt.Errorf("complete at %s: %w", call.Address, &BadResponseError{Err: err})
	}
	return a, nil
}

// Stream requests a streamed completion.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	s, err := c.openStream(ctx, call, 0)
	if err != nil {
		return nil, fmt.Errorf("stream from %s: %w", call.Address, err)
	}
	return s, nil
}

// Resume continues the stream of a request after the token with number from.
func (c *Client) Resume(ctx context.Context, address, requestID string, from int64) (*Stream, error) {
	s, err := c.openStream(ctx, Call{
		Address:   address,
		Method:    http.MethodGet,
		Path:      "/v1/streams/" + url.PathEscape(requestID) + "?from=" + strconv.FormatInt(from, 10),
		RequestID: requestID,
		Again:     true,
	}, from)
	if err != nil {
		return nil, fmt.Errorf("resume at %s: %w", address, err)
	}
	return s, nil
}

// Cancel ends the stream of a request. If the endpoint does not know the
// request, Cancel returns nil.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	err := c.controlCall(ctx, address, http.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", address, err)
	}
	return nil
}

// Order sends an order. A refusal is returned as a *StatusError whose Code is
// CodeStaleFence, CodeNoMemory or CodeDeadline.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	var st OrderStatus
	if err := c.controlCall(ctx, address, http.MethodPost, "/orders", o, &st); err != nil {
		return OrderStatus{}, fmt.Errorf("order %s at %s: %w", o.ID, address, err)
	}
	if err := st.validate(o.ID); err != nil {
		return OrderStatus{}, fmt.Errorf("order %s at %s: %w", o.ID, address, &BadResponseError{Err: err})
	}
	return st, nil
}

// OrderStatus reads the progress of an order.
func (c *Client) OrderStatus(ctx context.Context, address, id string) (OrderStatus, error) {
	var st OrderStatus
	if err := c.controlCall(ctx, address, http.MethodGet, "/orders/"+url.PathEscape(id), nil, &st); err != nil {
		return OrderStatus{}, fmt.Errorf("status of order %s at %s: %w", id, address, err)
	}
	if err := st.validate(id); err != nil {
		return OrderStatus{}, fmt.Errorf("status of order %s at %s: %w", id, address, &BadResponseError{Err: err})
	}
	return st, nil
}

// State reads the state of an endpoint: its resident models and its running
// orders.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var st State
	if err := c.controlCall(ctx, address, http.MethodGet, "/state", nil, &st); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	if err := st.validate(); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, &BadResponseError{Err: err})
	}
	return st, nil
}

// LoadReport reads the load report.
func (c *Client) LoadReport(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := c.controlCall(ctx, address, http.MethodGet, "/load", nil, &l); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", address, err)
	}
	if err := l.validate(); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", address, &BadResponseError{Err: err})
	}
	return l, nil
}

// CacheEvents reads the cache events whose sequence number is above after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/cache-events?after=" + strconv.FormatInt(after, 10)
	if err := c.controlCall(ctx, address, http.MethodGet, path, nil, &events); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", address, err)
	}
	if err := validateEvents(events, after); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", address, &BadResponseError{Err: err})
	}
	return events, nil
}

// ExportKV reads the KV cache of a request from an endpoint.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	a, err := c.callOK(ctx, Call{
		Address:   address,
		Method:    http.MethodGet,
		Path:      "/kv/" + url.PathEscape(requestID),
		RequestID: c.controlID(),
	})
	if err != nil {
		return nil, fmt.Errorf("export KV cache from %s: %w", address, err)
	}
	return a.Body, nil
}

// ImportKV sends the KV cache of a request to the endpoint that will continue
// it.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	_, err := c.callOK(ctx, Call{
		Address:   address,
		Method:    http.MethodPut,
		Path:      "/kv/" + url.PathEscape(requestID),
		Body:      kv,
		RequestID: c.controlID(),
	})
	if err != nil {
		return fmt.Errorf("import KV cache at %s: %w", address, err)
	}
	return nil
}

func (c *Client) controlID() string {
	return c.opts.Name + "-" + strconv.FormatUint(c.seq.Add(1), 36)
}

// controlCall sends v as JSON, or an empty body if v is nil, and decodes the
// response into out.
func (c *Client) controlCall(ctx context.Context, address, method, path string, v, out any) error {
	call := Call{
		Address:   address,
		Method:    method,
		Path:      path,
		RequestID: c.controlID(),
	}
	if v != nil {
		body, err := json.Marshal(v)
		if err != nil {
			return &NotSentError{Err: err}
		}
		call.Body = body
	}
	a, err := c.callOK(ctx, call)
	if err != nil || out == nil {
		return err
	}
	if err := decodeJSON(a.Body, out); err != nil {
		return &BadResponseError{Err: err}
	}
	return nil
}

func decodeJSON(body []byte, out any) error {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return errors.New("answer is null")
	}
	return json.Unmarshal(body, out)
}

// callOK sends a call and returns its complete response. A status other than 2xx
// is returned as an error.
func (c *Client) callOK(ctx context.Context, call Call) (*Response, error) {
	res, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	a, err := c.readResponse(ctx, res)
	if err != nil {
		return nil, err
	}
	if a.Status/100 != 2 {
		return nil, statusError(a)
	}
	return a, nil
}

func (c *Client) readResponse(ctx context.Context, res *http.Response) (*Response, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.opts.MaxAnswerBytes+1))
	if err != nil {
		return nil, brokenError(ctx, err)
	}
	if int64(len(body)) > c.opts.MaxAnswerBytes {
		return nil, &BadResponseError{Err: fmt.Errorf("answer exceeds %d bytes", c.opts.MaxAnswerBytes)}
	}
	return &Response{
		Status:    res.StatusCode,
		Header:    res.Header,
		Body:      body,
		Statement: decodeStatement(res),
	}, nil
}

func statusError(a *Response) error {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			NotRun  bool   `json:"not-run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return &BadResponseError{
			Err:       fmt.Errorf("status %d: %w", a.Status, err),
			Statement: a.Statement,
		}
	}
	return &StatusError{
		Status:    a.Status,
		Code:      body.Error.Code,
		Message:   body.Error.Message,
		NotRun:    body.Error.NotRun,
		Statement: a.Statement,
	}
}

// droppedHeaders are request headers that are not forwarded: those that apply
// only to the caller's connection, and those that can contain a key, which must
// not reach an endpoint. Accept-Encoding is dropped because the events of a
// stream are parsed as received.
var droppedHeaders = map[string]bool{
	"Accept-Encoding":     true,
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Cookie":              true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"X-Api-Key":           true,
	"X-Request-Id":        true,
}

// connectionHeaders are response headers that apply only to the endpoint's
// connection. They are removed so that the response can be forwarded.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Connection",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// send returns a response that echoes the right request id. The caller must
// close its body.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	for _, name := range call.Header["Connection"] {
		for token := range strings.SplitSeq(name, ",") {
			req.Header[http.CanonicalHeaderKey(strings.TrimSpace(token))] = nil
		}
	}
	for name, values := range call.Header {
		name = http.CanonicalHeaderKey(name)
		if _, dropped := req.Header[name]; !dropped && !droppedHeaders[name] {
			req.Header[name] = values
		}
	}
	if len(call.Body) > 0 && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Request-Id", call.RequestID)
	send := c.transport.SendChecked
	if call.Again {
		send = c.transport.SendAgain
	}
	res, err := send(req, conn.Body{call.Body}, call.Check)
	if err != nil {
		var notSent *NotSentError
		if errors.As(err, &notSent) {
			return nil, err
		}
		return nil, brokenError(ctx, err)
	}
	for _, name := range connectionHeaders {
		res.Header.Del(name)
	}
	if got := res.Header.Get("X-Request-Id"); got != call.RequestID {
		conn.CloseConnection(res)
		return nil, &MismatchError{
			Want: call.RequestID,
			Got:  got,
		}
	}
	return res, nil
}

// brokenError returns the error for a failure after the request may have been
// written. If ctx has ended, its error is the cause.
func brokenError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return &BadResponseError{Err: cause}
	}
	return &BadResponseError{Err: err}
}

// bodyEndTimeout bounds the wait for the end of a body after the last event.
const bodyEndTimeout = 100 * time.Millisecond

// Stream is a streamed completion. Only one goroutine may read it; Close may be
// called from any.
type Stream struct {
	Header http.Header
	Statement

	ctx       context.Context
	cancel    context.CancelFunc
	body      io.ReadCloser
	events    *eventReader
	lastToken int64
	done      atomic.Bool
	close     sync.Once
}

func (c *Client) openStream(ctx context.Context, call Call, from int64) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	res, err := c.send(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		a, err := c.readResponse(ctx, res)
		if err != nil {
			return nil, err
		}
		return nil, statusError(a)
	}
	if ct := res.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		res.Body.Close()
		cancel()
		return nil, &BadResponseError{Err: fmt.Errorf("content type %q instead of a stream", ct)}
	}
	return &Stream{
		Header:    res.Header,
		Statement: decodeStatement(res),
		ctx:       ctx,
		cancel:    cancel,
		body:      res.Body,
		events:    newEventReader(res.Body, c.opts.MaxEventBytes),
		lastToken: from,
	}, nil
}

// Next returns the next event. After the event with Done set it returns io.EOF.
// A stream that ends earlier, or skips or repeats a token, yields a
// *BadResponseError.
func (s *Stream) Next() (Event, error) {
	if s.done.Load() {
		return Event{}, io.EOF
	}
	ev, err := s.events.next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return Event{}, brokenError(s.ctx, err)
	}
	if ev.Token > 0 {
		if ev.Token != s.lastToken+1 {
			return Event{}, &BadResponseError{Err: fmt.Errorf("token %d follows token %d", ev.Token, s.lastToken)}
		}
		s.lastToken = ev.Token
	}
	s.done.Store(ev.Done)
	return ev, nil
}

// Buffered reports whether Next can return an event without reading from the
// network. If it is false, a proxy should flush its output.
func (s *Stream) Buffered() bool { return !s.done.Load() && s.events.hasEvent() }

// LastToken returns the number of the last token read, which is where Resume
// continues.
func (s *Stream) LastToken() int64 { return s.lastToken }

// Close releases the stream. The connection is reused if the stream was read to
// its end.
func (s *Stream) Close() {
	s.close.Do(func() {
		if s.done.Load() {
			// The connection can be reused only after the end of the body has been
			// read. The timeout covers endpoints that do not end the body.
			t := time.AfterFunc(bodyEndTimeout, s.cancel)
			_, _ = s.body.Read(make([]byte, 1))
			t.Stop()
		}
		s.cancel()
		s.body.Close()
	})
}
