package serve

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// endlessBody sends the same bytes until it is closed.
type endlessBody struct{ closed chan struct{} }

func (b *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	default:
	}
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func (b *endlessBody) Close() error {
	select {
	case <-b.closed:
	default:
		close(b.closed)
	}
	return nil
}

// TestRefusalThatRan guards against passing on an endpoint's refusal of a request that may
// run once, where the endpoint did not say that it did not run it, in any form of its
// body.
func TestRefusalThatRan(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBody)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, tc := range []struct {
			name  string
			body  func() io.ReadCloser
			until bool // only the end of the connection ends the body
		}{
			{name: "empty", body: func() io.ReadCloser { return http.NoBody }},
			{name: "short", body: func() io.ReadCloser { return io.NopCloser(strings.NewReader("no")) }},
			{name: "short, ended by its connection", body: func() io.ReadCloser { return io.NopCloser(strings.NewReader("no")) }, until: true},
			{name: "large", body: func() io.ReadCloser { return io.NopCloser(strings.NewReader(large)) }},
			{name: "without end", body: func() io.ReadCloser { return &endlessBody{closed: make(chan struct{})} }},
			{name: "a byte now and then", body: func() io.ReadCloser { return newPacedBody(100*time.Millisecond, "x") }},
		} {
			for _, route := range []string{"book", "stream"} {
				t.Run(strconv.Itoa(status)+"/"+tc.name+"/"+route, func(t *testing.T) {
					h := newHarness(t, fixedAdmission{})
					h.sender.body = func(Attempt) io.ReadCloser { return tc.body() }
					h.sender.change = func(r *Reply) { r.Status, r.EndsWithConnection = status, tc.until }
					started := time.Now()
					c := h.serve(route)
					if c.status != http.StatusBadGateway || c.answers != 1 || h.sender.runs != 1 {
						t.Errorf("the caller got status %d, %d answers, after %d runs", c.status, c.answers, h.sender.runs)
					}
					if took := time.Since(started); took > time.Second {
						t.Errorf("the caller waited %v for an answer that was certain at once", took)
					}
				})
			}
		}
	}
}

// TestLargeErrorIsRepeated guards against passing on an error of an endpoint only because
// its body is large, where the request may be repeated.
func TestLargeErrorIsRepeated(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	h.sender.outcomes = []fakeOutcome{outcomeError}
	h.sender.body = func(Attempt) io.ReadCloser {
		if len(h.sender.attempts) == 1 {
			return &endlessBody{closed: make(chan struct{})}
		}
		return io.NopCloser(strings.NewReader("whole"))
	}
	if c := h.serve("read"); c.status != http.StatusOK || c.body.String() != "whole" || h.sender.runs != 2 {
		t.Errorf("the caller got status %d, %.20q, after %d runs", c.status, c.body.String(), h.sender.runs)
	}
}
