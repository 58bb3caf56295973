package caller

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestUnansweredRequestIsNamed guards against requests that end without an answer, or with
// the process, and of which no one can tell which they were and how far they had come.
func TestUnansweredRequestIsNamed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		readBody bool
		// isOpen is set if the request is looked at while its handler runs.
		isOpen bool
		answer string
		phase  Phase
	}{
		{name: "header_read", isOpen: true, phase: HeaderRead},
		{name: "body_read", isOpen: true, readBody: true, phase: BodyRead},
		{name: "answer_begun", isOpen: true, readBody: true, answer: "part", phase: BodyRead},
		{name: "handler_ended", readBody: true, phase: HandlerEnded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			reached, finish := make(chan struct{}), make(chan struct{})
			s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, r *http.Request) {
				if id := RequestID(r.Context()); id != "id-1" {
					t.Errorf("the handler got the id %q", id)
				}
				if tc.readBody {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				if tc.answer != "" {
					_, _ = io.WriteString(w, tc.answer)
					_ = http.NewResponseController(w).Flush()
				}
				close(reached)
				<-finish
				panic(http.ErrAbortHandler)
			})
			closings := make(chan Closing, 1)
			s.opts.RequestID = func(r *http.Request) string { return r.Header.Get("Id") }
			s.opts.OnClose = func(c Closing) { closings <- c }
			go func() { _ = s.Serve(l) }()
			c := dial(t, l)
			fmt.Fprint(c, "POST /a/b?c HTTP/1.1\r\nHost: caller.example\r\nId: id-1\r\nContent-Length: 4\r\n\r\nbody")
			<-reached
			time.Sleep(5 * time.Millisecond)
			var got Request
			if open := s.Open(); len(open) != 1 {
				t.Fatalf("%d requests are open, want 1", len(open))
			} else if tc.isOpen {
				got = open[0]
			}
			close(finish)
			if !tc.isOpen {
				got = (<-closings).Request
			}
			if got.Age < 5*time.Millisecond || got.Age > 5*time.Second {
				t.Errorf("read %v ago", got.Age)
			}
			got.Age = 0
			want := Request{
				ID:        "id-1",
				Method:    http.MethodPost,
				Host:      "caller.example",
				Path:      "/a/b",
				Phase:     tc.phase,
				Answering: tc.answer != "",
			}
			if got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// TestUnansweredRequestIsReportedOnce guards against a request that is reported twice,
// because its handler and the server close its connection at about the same time.
func TestUnansweredRequestIsReportedOnce(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	reports := 0
	s.opts.OnClose = func(Closing) { reports++ }
	dial(t, l)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := s.track(accepted).(*trackedConn)
	c.state = stateHandling
	for range 2 {
		_ = c.Close()
	}
	if reports != 1 {
		t.Errorf("the request was reported %d times", reports)
	}
}
