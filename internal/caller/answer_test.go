package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestStopIsAnnouncedWhereverAnAnswerBegins guards against answers that let callers reuse
// a connection that is closed then, because their header is written in another way.
func TestStopIsAnnouncedWhereverAnAnswerBegins(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		begin func(http.ResponseWriter)
	}{
		{name: "nothing_written", begin: func(http.ResponseWriter) {}},
		{name: "header", begin: func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }},
		{name: "body", begin: func(w http.ResponseWriter) { _, _ = io.WriteString(w, "text") }},
		{name: "flusher", begin: func(w http.ResponseWriter) { w.(http.Flusher).Flush() }},
		{name: "controller", begin: func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }},
		{name: "after_an_interim_answer", begin: func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begun, finish := make(chan struct{}), make(chan struct{})
			s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, _ *http.Request) {
				close(begun)
				<-finish
				tc.begin(w)
			})
			go func() { _ = s.Serve(l) }()
			c := dial(t, l)
			fmt.Fprintf(c, request, "running")
			<-begun
			s.CloseIdle()
			close(finish)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			res, err := http.ReadResponse(c.in, nil)
			for err == nil && res.StatusCode == http.StatusEarlyHints {
				res, err = http.ReadResponse(c.in, nil)
			}
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if !res.Close {
				t.Error("the answer lets the caller reuse the connection")
			}
			if err := s.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestTooLargeBodyEndsItsConnection guards against a next request that is lost in the rest
// of a body that is not read.
func TestTooLargeBodyEndsItsConnection(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: caller.example\r\nContent-Length: 30\r\n\r\nfifteen bytes..")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusRequestEntityTooLarge || !res.Close {
		t.Errorf("got %d, close %v", res.StatusCode, res.Close)
	}
}
