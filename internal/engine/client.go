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
)

// NotSentError reports that no byte of a request was written to the endpoint.
type NotSentError = conn.NotSentError

// MismatchError reports an answer that belongs to another request. The answer
// is discarded.
type MismatchError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer for request %q instead of %q", e.Got, e.Want)
}

// StatusError is an error that the endpoint answered with.
type StatusError struct {
	Status  int
	Code    string
	Message string
	// NotRun is the endpoint's statement that the request had no effect.
	NotRun     bool
	RetryAfter string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered %d %s: %s", e.Status, e.Code, e.Message)
}

// BrokenError reports that an answer was missing, cut short or malformed after
// the request may have been written.
type BrokenError struct {
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string { return "broken answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Options are the settings of a Client. Zero values mean the defaults.
type Options struct {
	// Dial opens a connection; the default is net.Dialer.
	Dial conn.Dial
	// DialTimeout defaults to 2 s.
	DialTimeout time.Duration
	// MaxIdlePerEndpoint defaults to 64.
	MaxIdlePerEndpoint int
	// MaxAnswer bounds the body of an answer that is no stream; the default is 8 MiB.
	MaxAnswer int64
	// MaxEvent bounds one event of a stream; the default is 1 MiB.
	MaxEvent int
	// Name begins the ids of control requests, for example the node's name.
	Name string
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *conn.Transport
	seq       atomic.Uint64
}

// NewClient returns a Client and a function that closes its idle connections.
func NewClient(opts Options) (*Client, func()) {
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = 8 << 20
	}
	if opts.MaxEvent == 0 {
		opts.MaxEvent = 1 << 20
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
	// Path may contain a query.
	Path   string
	Header http.Header
	Body   []byte
	// RequestID is sent as X-Request-Id and must be echoed.
	RequestID string
	// Check, when set, runs directly before the first byte is written. Its error
	// is returned in a *NotSentError.
	Check func() error
}

// Answer is a complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Usage is set where a completion reports it.
	Usage *Usage
}

// Plain calls a plain service. Any complete answer is returned, whatever its
// status.
func (c *Client) Plain(ctx context.Context, call Call) (*Answer, error) {
	res, err := c.send(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.Address, err)
	}
	a, err := c.readAnswer(ctx, res)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.Address, err)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "application/json") && len(a.Body) > 0 && !json.Valid(a.Body) {
		return nil, fmt.Errorf("call %s: %w", call.Address, &BrokenError{Err: errors.New("body is not the JSON that it is declared to be")})
	}
	return a, nil
}

// Complete requests a completion that is not streamed.
func (c *Client) Complete(ctx context.Context, call Call) (*Answer, error) {
	a, err := c.exchange(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("complete at %s: %w", call.Address, err)
	}
	if a.Usage, err = decodeUsage(a.Body); err != nil {
		return nil, fmt.Errorf("complete at %s: %w", call.Address, &BrokenError{Err: err})
	}
	return a, nil
}

// Stream requests a streamed completion.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	s, err := c.open(ctx, call, 0)
	if err != nil {
		return nil, fmt.Errorf("stream from %s: %w", call.Address, err)
	}
	return s, nil
}

// Resume continues the stream of a request after token from.
func (c *Client) Resume(ctx context.Context, address, requestID string, from int64) (*Stream, error) {
	s, err := c.open(ctx, Call{
		Address:   address,
		Method:    http.MethodGet,
		Path:      "/v1/streams/" + url.PathEscape(requestID) + "?from=" + strconv.FormatInt(from, 10),
		RequestID: requestID,
	}, from)
	if err != nil {
		return nil, fmt.Errorf("resume at %s: %w", address, err)
	}
	return s, nil
}

// Cancel ends the stream of a request. A request that the endpoint does not
// know counts as cancelled.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	err := c.control(ctx, address, http.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", address, err)
	}
	return nil
}

// Order sends an order. A refusal is a *StatusError whose Code is CodeStaleFence,
// CodeNoMemory or CodeDeadline.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	var st OrderStatus
	if err := c.control(ctx, address, http.MethodPost, "/orders", o, &st); err != nil {
		return OrderStatus{}, fmt.Errorf("order %s at %s: %w", o.ID, address, err)
	}
	if err := st.validate(o.ID); err != nil {
		return OrderStatus{}, fmt.Errorf("order %s at %s: %w", o.ID, address, &BrokenError{Err: err})
	}
	return st, nil
}

// OrderStatus asks how far an order has come.
func (c *Client) OrderStatus(ctx context.Context, address, id string) (OrderStatus, error) {
	var st OrderStatus
	if err := c.control(ctx, address, http.MethodGet, "/orders/"+url.PathEscape(id), nil, &st); err != nil {
		return OrderStatus{}, fmt.Errorf("status of order %s at %s: %w", id, address, err)
	}
	if err := st.validate(id); err != nil {
		return OrderStatus{}, fmt.Errorf("status of order %s at %s: %w", id, address, &BrokenError{Err: err})
	}
	return st, nil
}

// State reads what is resident and which orders are running.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var st State
	if err := c.control(ctx, address, http.MethodGet, "/state", nil, &st); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	if err := st.validate(); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, &BrokenError{Err: err})
	}
	return st, nil
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := c.control(ctx, address, http.MethodGet, "/load", nil, &l); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", address, err)
	}
	if err := l.validate(); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", address, &BrokenError{Err: err})
	}
	return l, nil
}

// CacheEvents reads the cache events with a number above after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/cache-events?after=" + strconv.FormatInt(after, 10)
	if err := c.control(ctx, address, http.MethodGet, path, nil, &events); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", address, err)
	}
	if err := validateEvents(events, after); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", address, &BrokenError{Err: err})
	}
	return events, nil
}

// ExportKV reads the KV cache of a request.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	a, err := c.exchange(ctx, Call{
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

// ImportKV gives an endpoint the KV cache of a request that will follow.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	_, err := c.exchange(ctx, Call{
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

// control sends v as JSON, where there is one, and decodes the answer into out.
func (c *Client) control(ctx context.Context, address, method, path string, v, out any) error {
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
	a, err := c.exchange(ctx, call)
	if err != nil || out == nil {
		return err
	}
	if err := decodeJSON(a.Body, out); err != nil {
		return &BrokenError{Err: err}
	}
	return nil
}

func decodeJSON(body []byte, out any) error {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return errors.New("answer is null")
	}
	return json.Unmarshal(body, out)
}

// exchange sends a call and returns the complete answer of a success.
func (c *Client) exchange(ctx context.Context, call Call) (*Answer, error) {
	res, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	a, err := c.readAnswer(ctx, res)
	if err != nil {
		return nil, err
	}
	if a.Status/100 != 2 {
		return nil, statusError(a)
	}
	return a, nil
}

func (c *Client) readAnswer(ctx context.Context, res *http.Response) (*Answer, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.opts.MaxAnswer+1))
	if err != nil {
		return nil, broken(ctx, err)
	}
	if int64(len(body)) > c.opts.MaxAnswer {
		return nil, &BrokenError{Err: fmt.Errorf("answer above %d bytes", c.opts.MaxAnswer)}
	}
	return &Answer{
		Status: res.StatusCode,
		Header: res.Header,
		Body:   body,
	}, nil
}

func statusError(a *Answer) error {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			NotRun  bool   `json:"not-run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return &BrokenError{Err: fmt.Errorf("status %d: %w", a.Status, err)}
	}
	return &StatusError{
		Status:     a.Status,
		Code:       body.Error.Code,
		Message:    body.Error.Message,
		NotRun:     body.Error.NotRun,
		RetryAfter: a.Header.Get("Retry-After"),
	}
}

// notForwarded are headers that belong to the caller's connection, and those
// that can contain a key, which no endpoint may see. Accept-Encoding is left
// out because events are read as they come.
var notForwarded = map[string]bool{
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

// connectionHeaders belong to the endpoint's connection. They are removed from
// an answer so that it can be passed on.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Connection",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// send returns a response whose echoed request id is right. The caller closes
// its body.
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
		if _, dropped := req.Header[name]; !dropped && !notForwarded[name] {
			req.Header[name] = values
		}
	}
	if len(call.Body) > 0 && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Request-Id", call.RequestID)
	res, err := c.transport.SendIf(req, call.Body, call.Check)
	if err != nil {
		var notSent *NotSentError
		if errors.As(err, &notSent) {
			return nil, err
		}
		return nil, broken(ctx, err)
	}
	for _, name := range connectionHeaders {
		res.Header.Del(name)
	}
	if got := res.Header.Get("X-Request-Id"); got != call.RequestID {
		// Closing an unread body closes the connection, so nothing of the
		// other answer reaches a later request.
		res.Body.Close()
		return nil, &MismatchError{
			Want: call.RequestID,
			Got:  got,
		}
	}
	return res, nil
}

// broken returns the error for a failure after the request may have been
// written. The end of the context is reported as such.
func broken(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return &BrokenError{Err: cause}
	}
	return &BrokenError{Err: err}
}

// endTimeout bounds the wait for the end of a body after its last event.
const endTimeout = 100 * time.Millisecond

// Stream is a streamed completion. It is read by one goroutine; Close may be
// called by any.
type Stream struct {
	Header http.Header

	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	events *eventReader
	last   int64
	done   atomic.Bool
	close  sync.Once
}

func (c *Client) open(ctx context.Context, call Call, from int64) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	res, err := c.send(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		a, err := c.readAnswer(ctx, res)
		if err != nil {
			return nil, err
		}
		return nil, statusError(a)
	}
	if ct := res.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		res.Body.Close()
		cancel()
		return nil, &BrokenError{Err: fmt.Errorf("content type %q instead of a stream", ct)}
	}
	return &Stream{
		Header: res.Header,
		ctx:    ctx,
		cancel: cancel,
		body:   res.Body,
		events: newEventReader(res.Body, c.opts.MaxEvent),
		last:   from,
	}, nil
}

// Next returns the next event. After the event with Done it returns io.EOF; a
// stream that ends earlier, skips a token or repeats one is a *BrokenError.
func (s *Stream) Next() (Event, error) {
	if s.done.Load() {
		return Event{}, io.EOF
	}
	ev, err := s.events.next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return Event{}, broken(s.ctx, err)
	}
	if ev.Token > 0 {
		if ev.Token != s.last+1 {
			return Event{}, &BrokenError{Err: fmt.Errorf("token %d follows token %d", ev.Token, s.last)}
		}
		s.last = ev.Token
	}
	s.done.Store(ev.Done)
	return ev, nil
}

// Buffered reports whether Next returns an event without waiting for the
// network. A proxy flushes its output when it is false.
func (s *Stream) Buffered() bool { return !s.done.Load() && s.events.buffered() }

// Last returns the number of the last token read, from which Resume continues.
func (s *Stream) Last() int64 { return s.last }

// Close releases the stream. The connection of a stream that was read to its
// end is used again.
func (s *Stream) Close() {
	s.close.Do(func() {
		if s.done.Load() {
			// The end of the body follows the last event; reading it lets
			// the connection be kept. An endpoint that does not end the body
			// must not hold up the caller.
			t := time.AfterFunc(endTimeout, s.cancel)
			_, _ = s.body.Read(make([]byte, 1))
			t.Stop()
		}
		s.cancel()
		s.body.Close()
	})
}
