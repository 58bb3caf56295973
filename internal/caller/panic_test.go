package caller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestPanicIsAnswered guards against requests that get neither an answer nor a refusal
// because their handler panics, and against broken answers that look complete.
func TestPanicIsAnswered(t *testing.T) {
	t.Parallel()
	const old, current = "HTTP/1.0", "HTTP/1.1"
	for _, tc := range []struct {
		name    string
		proto   string
		value   any
		written string
		status  int
		panics  int
	}{
		{name: "before_the_answer", proto: current, value: "fault", status: http.StatusBadGateway, panics: 1},
		{name: "before_the_answer_to_an_old_caller", proto: old, value: "fault", status: http.StatusBadGateway, panics: 1},
		{name: "within_the_answer", proto: current, value: "fault", written: "part", panics: 1},
		{name: "within_the_answer_to_an_old_caller", proto: old, value: "fault", written: "part", panics: 1},
		{name: "on_purpose", proto: current, value: http.ErrAbortHandler},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Encoding", "x")
				if tc.written != "" {
					_, _ = io.WriteString(w, tc.written)
					_ = http.NewResponseController(w).Flush()
				}
				panic(tc.value)
			})
			panics := make(chan Panic, 2)
			s.opts.RequestID = func(r *http.Request) string { return r.Header.Get("Id") }
			s.opts.OnPanic = func(p Panic) { panics <- p }
			s.opts.Fail = func(w http.ResponseWriter, id string) {
				w.WriteHeader(http.StatusBadGateway)
				_, _ = io.WriteString(w, id)
			}
			go func() { _ = s.Serve(l) }()
			c := dial(t, l)
			fmt.Fprintf(c, "GET /a %s\r\nHost: caller.example\r\nId: id-1\r\nConnection: keep-alive\r\n\r\n", tc.proto)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			var status int
			var text []byte
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				status = res.StatusCode
				text, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
			}
			switch {
			case tc.status == 0 && err == nil:
				t.Errorf("the broken answer %d %q looks complete", status, text)
			case tc.status != 0 && (err != nil || status != tc.status || string(text) != "id-1" || res.Header.Get("Content-Encoding") != "" || !res.Close):
				t.Errorf("got %v %q, %v, want %d that ends its connection", res, text, err, tc.status)
			}
			_ = s.Shutdown(t.Context())
			if len(panics) != tc.panics {
				t.Fatalf("%d panics were reported, want %d", len(panics), tc.panics)
			}
			if tc.panics == 0 {
				return
			}
			p := <-panics
			if p.Request.ID != "id-1" || p.Value != tc.value || !strings.Contains(p.Stack, "panic_test.go") || p.Answered != (tc.status != 0) {
				t.Errorf("reported %+v", p)
			}
		})
	}
}
