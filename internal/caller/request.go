package caller

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Phase is how far a request has come.
type Phase string

// Phases of a request whose answer is not sent in full.
const (
	// HeaderRead is that its header was read, and its body not in full.
	HeaderRead Phase = "header-read"
	// BodyRead is that its body was read too.
	BodyRead Phase = "body-read"
	// HandlerEnded is that its handler has returned.
	HandlerEnded Phase = "handler-ended"
)

// Request describes a request that has no whole answer.
type Request struct {
	// ID is what Options.RequestID has returned.
	ID     string
	Method string
	Host   string
	Path   string
	Phase  Phase
	// Age is the time since its header was read.
	Age time.Duration
	// Answering is set if a part of its answer was sent.
	Answering bool
}

// exchange is the state of a request that is handled. What its handler writes is atomic.
type exchange struct {
	id           string
	method       string
	host         string
	path         string
	headerReadAt time.Time
	bodyRead     atomic.Bool
	handlerEnded atomic.Bool
}

func (r *exchange) describe(answering bool) Request {
	phase := HeaderRead
	switch {
	case r.handlerEnded.Load():
		phase = HandlerEnded
	case r.bodyRead.Load():
		phase = BodyRead
	}
	return Request{
		ID:        r.id,
		Method:    r.method,
		Host:      r.host,
		Path:      r.path,
		Phase:     phase,
		Age:       time.Since(r.headerReadAt),
		Answering: answering,
	}
}

// body notices the end of a request's body.
type body struct {
	io.ReadCloser

	request *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.request.bodyRead.Store(true)
	}
	return n, err
}

type (
	connKey    struct{}
	requestKey struct{}
)

// RequestID returns the id of the request whose context is given, or an empty text.
func RequestID(ctx context.Context) string {
	r, ok := ctx.Value(requestKey{}).(*exchange)
	if !ok {
		return ""
	}
	return r.id
}

// begin records a request whose header was read. It returns the request that its handler
// is to get.
func (s *Server) begin(r *http.Request) (*http.Request, *exchange) {
	q := &exchange{
		method:       r.Method,
		host:         r.Host,
		path:         r.URL.Path,
		headerReadAt: time.Now(),
	}
	if s.opts.RequestID != nil {
		q.id = s.opts.RequestID(r)
	}
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		c.request.Store(q)
	}
	r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
	if r.Body == nil || r.Body == http.NoBody {
		q.bodyRead.Store(true)
		return r, q
	}
	r.Body = &body{
		ReadCloser: r.Body,
		request:    q,
	}
	return r, q
}

// Open returns the requests whose answer is not sent in full, the oldest first. Those
// whose header was not read yet have no id.
func (s *Server) Open() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Request
	for c := range s.conns {
		q := c.request.Load()
		if c.state == stateHandling && q != nil {
			out = append(out, q.describe(c.answerBegun.Load()))
		}
	}
	slices.SortFunc(out, func(a, b Request) int { return int(b.Age - a.Age) })
	return out
}
