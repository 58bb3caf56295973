package serve

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestResumedByAnotherAnswer guards against bytes in a caller's stream that no event
// of the resumed run holds, against events that come twice or without a place in the
// stream, and against ending such a stream as if it were complete.
func TestResumedByAnotherAnswer(t *testing.T) {
	const first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	eventStream := http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}}
	large := strings.Repeat("<p>the engine is overloaded</p>\n\n", maxBufferedBody/30)
	for _, tc := range []struct {
		name   string
		status int
		header http.Header
		body   string
		// want follows the events of the first run.
		want     string
		complete bool
	}{
		{name: "the rest", status: 200, header: eventStream, body: "id: 3\ndata: c\n\n", want: "id: 3\ndata: c\n\n", complete: true},
		{name: "the rest after a comment", status: 200, header: eventStream, body: ": hello\n\nid: 3\ndata: c\n\n", want: ": hello\n\nid: 3\ndata: c\n\n", complete: true},
		{name: "nothing left", status: 200, header: eventStream, complete: true},
		{name: "an error", status: 500, body: "the engine failed"},
		{name: "an error as events", status: 500, header: eventStream, body: "id: 3\ndata: c\n\n"},
		{name: "a large error", status: 500, body: large},
		{name: "a large refusal", status: 404, body: large},
		{name: "a redirect", status: 302, header: http.Header{"Location": {"/"}}, body: "moved"},
		{name: "another success", status: 206, header: eventStream, body: "id: 3\ndata: c\n\n"},
		{name: "a page", status: 200, header: http.Header{"Content-Type": {"text/html"}}, body: large},
		{name: "an empty page", status: 200, header: http.Header{"Content-Type": {"text/html"}}},
		{name: "no type", status: 200, body: "id: 3\ndata: c\n\n"},
		{name: "the stream from its start", status: 200, header: eventStream, body: first + "id: 3\ndata: c\n\n"},
		{name: "the last event once more", status: 200, header: eventStream, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		{name: "an event without an id", status: 200, header: eventStream, body: "event: error\ndata: overloaded\n\n"},
		{name: "an id that is no number", status: 200, header: eventStream, body: "id: x\ndata: c\n\n"},
		{name: "an event out of order", status: 200, header: eventStream, body: "id: 3\ndata: c\n\nid: 3\ndata: c\n\n", want: "id: 3\ndata: c\n\n"},
		{name: "a head", status: 200, header: eventStream, body: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"},
		{name: "half an event", status: 200, header: eventStream, body: "id: 3\nda"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(a Attempt) io.ReadCloser {
				if a.LastEvent == "" {
					return io.NopCloser(io.MultiReader(strings.NewReader(first+"id: 3\nda"), errReader{}))
				}
				return io.NopCloser(strings.NewReader(tc.body))
			}
			h.sender.change = func(r *Reply) {
				if len(h.sender.attempts) == 1 {
					r.Header.Set("Content-Type", "text/event-stream")
					return
				}
				r.Status, r.Header = tc.status, tc.header
			}
			c := h.serve("resume")
			if got, want := c.body.String(), first+tc.want; got != want {
				t.Errorf("the caller got %.200q, want %q", got, want)
			}
			if c.status != http.StatusOK || c.answers != 1 || c.ended != tc.complete || c.aborted == tc.complete {
				t.Errorf("the caller got status %d, %d answers, ended %v, aborted %v", c.status, c.answers, c.ended, c.aborted)
			}
		})
	}
}
