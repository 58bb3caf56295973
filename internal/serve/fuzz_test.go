package serve

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
)

// FuzzResumedStream guards against bytes in a caller's stream that are no whole event, and
// against an event of a resumed run that doesn't follow the last one.
func FuzzResumedStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"), []byte("id: 2\ndata: b\n\n"), 200, "text/event-stream")
	f.Add([]byte("id: 1\ndata: a\n\n"), []byte("the engine failed\n\n"), 500, "text/plain")
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n"), []byte("HTTP/1.1 500 no\r\nA: b\r\n\r\n"), 200, "text/event-stream")
	f.Add([]byte("id: 1\ndata: a\n\n"), []byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 200, "TEXT/event-stream; x")
	f.Fuzz(func(t *testing.T, first, second []byte, status int, mediaType string) {
		h := newHarness(t, fixedAdmission{})
		sent := 0
		h.sender.body = func(Attempt) io.ReadCloser {
			if sent++; sent == 1 {
				return io.NopCloser(io.MultiReader(bytes.NewReader(first), errReader{}))
			}
			return io.NopCloser(bytes.NewReader(second))
		}
		h.sender.change = func(r *Reply) {
			r.Header = http.Header{"Content-Type": {"text/event-stream"}}
			if sent > 1 {
				r.Status, r.Header = status, http.Header{"Content-Type": {mediaType}}
			}
		}
		c := h.serve("resume")
		var s eventSplitter
		s.add(first)
		var whole []byte
		last := ""
		for e := s.next(); e != nil; e = s.next() {
			whole = append(whole, e...)
			if id := eventID(e); id != "" {
				last = id
			}
		}
		if len(whole) == 0 {
			// The second answer is the first that the caller gets a part of.
			return
		}
		rest, ok := bytes.CutPrefix(c.body.Bytes(), whole)
		if !ok {
			t.Fatalf("the caller got %q after %q", c.body.Bytes(), whole)
		}
		if c.ended == c.aborted || c.answers != 1 || c.status != http.StatusOK {
			t.Fatalf("ended %v, aborted %v, %d answers, status %d", c.ended, c.aborted, c.answers, c.status)
		}
		if len(rest) > 0 && (status != http.StatusOK || !bytes.HasPrefix(second, rest)) {
			t.Fatalf("the caller got %q of status %d", rest, status)
		}
		var r eventSplitter
		r.add(rest)
		for e := r.next(); e != nil; e = r.next() {
			if !hasField(e) {
				continue
			}
			before, err1 := strconv.ParseUint(last, 10, 64)
			id, err2 := strconv.ParseUint(eventID(e), 10, 64)
			if err1 != nil || err2 != nil || id <= before {
				t.Fatalf("event %q follows id %q", e, last)
			}
			last = eventID(e)
		}
		if len(r.unread) > 0 {
			t.Fatalf("the caller got half an event %q", r.unread)
		}
	})
}
