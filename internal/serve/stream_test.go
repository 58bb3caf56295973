package serve

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/picker"
)

// pacedBody is a body whose parts arrive with a pause before each.
type pacedBody struct {
	parts []string
	pause time.Duration
	// filler arrives without end after the parts, if set.
	filler string
	closed chan struct{}
}

func newPacedBody(pause time.Duration, filler string, parts ...string) *pacedBody {
	return &pacedBody{
		parts:  parts,
		pause:  pause,
		filler: filler,
		closed: make(chan struct{}),
	}
}

func (b *pacedBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	case <-time.After(b.pause):
	}
	part := b.filler
	if len(b.parts) > 0 {
		part, b.parts = b.parts[0], b.parts[1:]
	}
	if part == "" {
		return 0, io.EOF
	}
	return copy(p, part), nil
}

func (b *pacedBody) Close() error {
	select {
	case <-b.closed:
	default:
		close(b.closed)
	}
	return nil
}

// TestSlowStreams guards against cutting streams that are slow but sound, and against
// waiting until the deadline for a stalled stream that sends a byte now and then.
func TestSlowStreams(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, tc := range []struct {
		name   string
		route  string
		pause  time.Duration
		filler string
		parts  []string
		runs   int
	}{
		{name: "slow but sound", route: "stream", pause: 600 * time.Millisecond, parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, runs: 1},
		{name: "slow but sound, resumable", route: "resume", pause: 600 * time.Millisecond, parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, runs: 1},
		{name: "only comments", route: "resume", pause: 100 * time.Millisecond, parts: []string{"id: 1\ndata: a\n\n"}, filler: ": wait\n\n", runs: 2},
		{name: "only bytes without an event", route: "resume", pause: 100 * time.Millisecond, parts: []string{"id: 1\ndata: a\n\n"}, filler: "x", runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(a Attempt) io.ReadCloser {
				if a.LastEvent != "" {
					return io.NopCloser(strings.NewReader("id: 2\ndata: b\n\n"))
				}
				return newPacedBody(tc.pause, tc.filler, tc.parts...)
			}
			c := &fakeCaller{}
			q := h.request(tc.route)
			h.server.Serve(t.Context(), q, c)
			got := strings.ReplaceAll(c.body.String(), ": wait\n\n", "")
			if got != whole || !c.ended || c.status != http.StatusOK {
				t.Errorf("the caller got status %d, %q, ended %v", c.status, got, c.ended)
			}
			if h.sender.runs != tc.runs {
				t.Errorf("the request ran %d times, want %d", h.sender.runs, tc.runs)
			}
		})
	}
}

// TestEndpointRemovedDuringStream guards against giving up or starting again the
// running work of an endpoint whose entry is missing for a while because it is only
// silent.
func TestEndpointRemovedDuringStream(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	h.sender.body = func(Attempt) io.ReadCloser {
		return newPacedBody(100*time.Millisecond, "", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n")
	}
	time.AfterFunc(150*time.Millisecond, func() { h.table.SetEndpoints(time.Now(), nil) })
	c := h.serve("stream")
	if !c.ended || strings.Count(c.body.String(), "data:") != 3 || h.sender.runs != 1 {
		t.Errorf("the caller got %q, ended %v, after %d runs", c.body.String(), c.ended, h.sender.runs)
	}
	if _, err := h.table.Pick(time.Now(), picker.Query{Service: "lm", Model: "m1"}); err == nil {
		t.Error("the removed endpoint gets new requests")
	}
}

// TestStreamThatEndsWithItsConnection guards against passing on a stream as complete that
// an engine broke off, where only the end of the connection ends it.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, tc := range []struct {
		name     string
		body     string
		complete bool
	}{
		{name: "whole events", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", complete: true},
		{name: "no event"},
		{name: "broken off inside an event", body: "id: 1\ndata: a\n\nid: 2\nda"},
		{name: "broken off before the blank line", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(Attempt) io.ReadCloser { return io.NopCloser(strings.NewReader(tc.body)) }
			h.sender.change = func(r *Reply) { r.EndsWithConnection = true }
			c := h.serve("stream")
			if got := c.status == http.StatusOK && c.ended && !c.aborted; got != tc.complete {
				t.Errorf("passed on as complete: %v, want %v (status %d)", got, tc.complete, c.status)
			}
		})
	}
}
