package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/proxy"
	"trefoildale.example/trefoildale/internal/local"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	maxBody    = 64 << 10
	streamIdle = 500 * time.Millisecond
	completion = "/v1/completions"
)

// testFleet is a fleet of one node with two engines and a booking service.
type testFleet struct {
	*local.Fleet
	key string
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	c := spec.New()
	c.Domains = []spec.Domain{{
		Name:   "d1",
		Region: "r",
	}}
	c.Services = []spec.Service{
		{
			Name: "assistant",
			Kind: spec.KindModel,
		},
		{
			Name:   "booking",
			Kind:   spec.KindPlain,
			Prefix: "/booking/",
			Methods: []spec.Method{
				{
					Method:     http.MethodGet,
					Path:       "*",
					Repeatable: true,
				},
				{
					Method: http.MethodPost,
					Path:   "*",
				},
			},
		},
	}
	for _, name := range []string{"e1", "e2"} {
		c.Endpoints = append(c.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "assistant",
			Domain:    "d1",
			Address:   "127.0.0.1:" + name[1:],
			MemoryMiB: 20_000,
			Fencing:   true,
			Speed:     1,
		})
	}
	c.Endpoints = append(c.Endpoints, spec.Endpoint{
		Name:    "b1",
		Service: "booking",
		Domain:  "d1",
		Address: "127.0.0.1:3",
	})
	c.Models = []spec.Model{{
		Name:             "lane-rules",
		Service:          "assistant",
		Version:          "1",
		MemoryMiB:        4000,
		MaxContextTokens: 100_000,
		OnDemand:         spec.Duration(10 * time.Second),
	}}
	c.Workspaces = []spec.Workspace{{
		Name:                "club",
		RateTokensPerSecond: 1_000_000,
		BurstTokens:         10_000_000,
		Weight:              1,
	}}
	f, stop, err := local.Start(local.Options{
		Config: c,
		Engine: model.Options{
			Speed:       100_000,
			StreamSpeed: 20_000,
			Resident: []engine.Resident{{
				Model:     "lane-rules",
				Version:   "1",
				MemoryMiB: 4000,
			}},
		},
		Settings: func(s *conf.Settings) {
			s.Limits.MaxBodyBytes = maxBody
			s.Limits.StreamIdle = conf.Duration(streamIdle)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	b := &testFleet{
		Fleet: f,
	}
	if b.key, err = f.AddKey(t.Context(), "desk", "club"); err != nil {
		t.Fatal(err)
	}
	b.waitUntilServing(t)
	return b
}

type answer struct {
	status int
	body   string
	Error  struct {
		Code   string
		NotRun bool `json:"not-run"`
	}
}

func (b *testFleet) send(t *testing.T, method, path, body string, header ...string) answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.Nodes[0].CallersAddr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a := answer{
		status: res.StatusCode,
		body:   string(data),
	}
	if err != nil {
		t.Fatalf("answer to %s %s: %v", method, path, err)
	}
	// The body of a stream is not a JSON object and has no code.
	_ = json.Unmarshal(data, &a)
	return a
}

// waitUntilServing waits until a completion returns the complete text for its
// prompt.
func (b *testFleet) waitUntilServing(t *testing.T) {
	t.Helper()
	eventually(t, 15*time.Second, func() error {
		a := b.send(t, http.MethodPost, completion, requestBody("good", 5, false))
		if a.status != http.StatusOK || !strings.Contains(a.body, model.Text("good", 5)) {
			return fmt.Errorf("good request: %d %s", a.status, a.body)
		}
		return nil
	})
}

func (b *testFleet) counter(c stats.Counter) int64 { return b.Nodes[0].Stats().Value(c) }

func requestBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"lane-rules","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
}

func eventually(t *testing.T, limit time.Duration, check func() error) {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after %s: %v", limit, err)
		}
	}
}

// checkNoRequestGoroutines fails when a goroutine still runs code of a request. It
// finds the type names request, completion and plainCall in the stacks.
func checkNoRequestGoroutines(t *testing.T) {
	t.Helper()
	eventually(t, 5*time.Second, func() error {
		buf := make([]byte, 4<<20)
		for stack := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			if strings.Contains(stack, "internal/entry.(*request)") || strings.Contains(stack, "internal/entry.(*completion)") ||
				strings.Contains(stack, "internal/entry.(*plainCall)") {
				return errors.New("goroutine of a request remains:\n" + stack)
			}
		}
		return nil
	})
}

// TestBadInput guards against invalid requests that reach an endpoint, get the
// wrong status or code, or are not counted.
func TestBadInput(t *testing.T) {
	b := newTestFleet(t)
	for _, tc := range []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		status int
		code   string
	}{
		{name: "malformed JSON", body: `{"model":`, status: 400, code: "bad-request"},
		{name: "not an object", body: `[1]`, status: 400, code: "bad-request"},
		{name: "no model", body: `{"prompt":"x"}`, status: 400, code: "bad-request"},
		{name: "no output", body: requestBody("x", 0, false), status: 400, code: "bad-request"},
		{name: "prompt of numbers", body: `{"model":"lane-rules","prompt":{"a":1}}`, status: 400, code: "bad-request"},
		{name: "body too large", body: requestBody(strings.Repeat("x", maxBody), 1, false), status: 413, code: "body-too-large"},
		{name: "context too long", body: requestBody("x", 100_000, false), status: 400, code: "context-too-long"},
		{name: "unknown model", body: `{"model":"nobody","prompt":"x"}`, status: 404, code: "model-unknown"},
		{name: "unknown adapter", body: requestBody("x", 1, false), header: []string{"X-Adapter", "nobody"}, status: 404, code: "model-unknown"},
		{name: "unknown class", body: requestBody("x", 1, false), header: []string{"X-Priority", "first"}, status: 400, code: "bad-request"},
		{name: "no key", body: requestBody("x", 1, false), header: []string{"Authorization", ""}, status: 401, code: "no-key"},
		{name: "unknown key", body: requestBody("x", 1, false), header: []string{"Authorization", "Bearer nobody"}, status: 401, code: "key-unknown"},
		{name: "key in the body", body: requestBody(b.key, 1, false), status: 400, code: "bad-request"},
		{name: "key in the query", path: completion + "?key=" + b.key, body: requestBody("x", 1, false), status: 400, code: "bad-request"},
		{name: "key in a header", body: requestBody("x", 1, false), header: []string{"X-Other", b.key}, status: 400, code: "bad-request"},
		{name: "wrong method", method: http.MethodGet, status: 405, code: "method-unknown"},
		{name: "wrong method of a service", method: http.MethodPut, path: "/booking/lanes", status: 405, code: "method-unknown"},
		{name: "unknown service", path: "/nobody", status: 404, code: "service-unknown"},
		{name: "key in a booking", path: "/booking/" + b.key, status: 400, code: "bad-request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			method, path := tc.method, tc.path
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = completion
			}
			requests := func() int64 {
				return b.Engines["e1"].Stats().Requests + b.Engines["e2"].Stats().Requests + b.Services["b1"].Stats().Executions
			}
			sent := requests()
			refused := b.counter(stats.RequestsRefused)
			a := b.send(t, method, path, tc.body, tc.header...)
			if a.status != tc.status || a.Error.Code != tc.code || !a.Error.NotRun {
				t.Errorf("got %d %s, want %d %s and not-run", a.status, a.body, tc.status, tc.code)
			}
			if got := b.counter(stats.RequestsRefused) - refused; got != 1 {
				t.Errorf("%d refusals were counted, want 1", got)
			}
			if requests() != sent {
				t.Error("the request reached an endpoint")
			}
			if strings.Contains(a.body, b.key) {
				t.Error("the answer contains the key")
			}
		})
	}
	b.waitUntilServing(t)
	checkNoRequestGoroutines(t)
}

// TestBadAnswers guards against callers that get the response of another
// request, or a truncated or altered one, and against endpoint faults that are
// not counted or that affect requests after the fault has ended.
func TestBadAnswers(t *testing.T) {
	b := newTestFleet(t)
	for _, tc := range []struct {
		name    string
		fault   fault.Fault
		stream  bool
		status  int
		counted stats.Counter
	}{
		{
			name:    "one answer of another request",
			fault:   fault.Fault{Kind: fault.WrongID, Count: 1},
			status:  http.StatusOK,
			counted: stats.ResponsesMismatched,
		},
		{
			name:    "only answers of other requests",
			fault:   fault.Fault{Kind: fault.WrongID},
			status:  http.StatusBadGateway,
			counted: stats.ResponsesMismatched,
		},
		{
			name:    "stream of another request",
			fault:   fault.Fault{Kind: fault.WrongID, Count: 1},
			stream:  true,
			status:  http.StatusOK,
			counted: stats.ResponsesMismatched,
		},
		{
			name:    "one answer truncated",
			fault:   fault.Fault{Kind: fault.Truncate, Bytes: 40, Count: 1},
			status:  http.StatusOK,
			counted: stats.RetriesDone,
		},
		{
			name:    "all answers truncated",
			fault:   fault.Fault{Kind: fault.Truncate, Bytes: 40},
			status:  http.StatusBadGateway,
			counted: stats.RequestsFailed,
		},
		{
			name:    "one answer garbled",
			fault:   fault.Fault{Kind: fault.Garble, Bytes: 40, Count: 1},
			status:  http.StatusOK,
			counted: stats.RetriesDone,
		},
		{
			name:    "all answers garbled",
			fault:   fault.Fault{Kind: fault.Garble, Bytes: 40},
			status:  http.StatusBadGateway,
			counted: stats.RequestsFailed,
		},
		{
			name:    "refused once",
			fault:   fault.Fault{Kind: fault.Refuse, Count: 1},
			status:  http.StatusOK,
			counted: stats.RetriesDone,
		},
		{
			name:    "stream broken in the middle",
			fault:   fault.Fault{Kind: fault.Truncate, Bytes: 5000, Count: 1},
			stream:  true,
			status:  http.StatusOK,
			counted: stats.StreamsResumed,
		},
		{
			name:    "stream garbled in the middle",
			fault:   fault.Fault{Kind: fault.Garble, Bytes: 5000, Count: 1},
			stream:  true,
			status:  http.StatusOK,
			counted: stats.StreamsResumed,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.fault.Path = completion
			for _, e := range b.Engines {
				if err := e.Faults().Add(tc.fault); err != nil {
					t.Fatal(err)
				}
			}
			before := b.counter(tc.counted)
			prompt := tc.name
			a := b.send(t, http.MethodPost, completion, requestBody(prompt, 200, tc.stream))
			if a.status != tc.status {
				t.Errorf("got %d %s, want %d", a.status, a.body, tc.status)
			}
			if tc.status != http.StatusOK && (a.Error.Code != "endpoint-failed" || a.Error.NotRun) {
				t.Errorf("got %s, want endpoint-failed without not-run", a.body)
			}
			if tc.status == http.StatusOK && tc.stream {
				checkStream(t, a.body, prompt, 200)
			}
			if tc.status == http.StatusOK && !tc.stream && !strings.Contains(a.body, model.Text(prompt, 200)) {
				t.Errorf("got %s, want the answer to the request", a.body)
			}
			if b.counter(tc.counted) == before {
				t.Errorf("%s did not count it", tc.counted)
			}
			for _, e := range b.Engines {
				e.Faults().Clear(tc.fault.Kind)
			}
			b.waitUntilServing(t)
			checkNoRequestGoroutines(t)
		})
	}
}

var (
	idField   = regexp.MustCompile(`(?m)^id: (\d+)$`)
	textField = regexp.MustCompile(`"text":"([^"]*)"`)
)

// checkStream checks that every token came once and in order.
func checkStream(t *testing.T, body, prompt string, tokens int64) {
	t.Helper()
	for i, m := range idField.FindAllStringSubmatch(body, -1) {
		if m[1] != fmt.Sprint(i+1) {
			t.Fatalf("event %d carries token %s", i+1, m[1])
		}
	}
	var text strings.Builder
	for _, m := range textField.FindAllStringSubmatch(body, -1) {
		text.WriteString(m[1])
	}
	if text.String() != model.Text(prompt, tokens) {
		t.Errorf("the text differs from the answer to the request: %s", text.String())
	}
	if strings.Count(body, "data: [DONE]") != 1 || strings.Contains(body, "event: error") {
		t.Errorf("the stream does not end whole: %s", body[max(0, len(body)-300):])
	}
}

// TestStreamThatCannotBeResumed guards against a stream that cannot be resumed
// but looks complete to the caller.
func TestStreamThatCannotBeResumed(t *testing.T) {
	b := newTestFleet(t)
	for _, e := range b.Engines {
		if err := e.Faults().Add(fault.Fault{Kind: fault.Truncate, Bytes: 2000, Path: "/v1/"}); err != nil {
			t.Fatal(err)
		}
	}
	failed := b.counter(stats.RequestsFailed)
	a := b.send(t, http.MethodPost, completion, requestBody("x", 200, true))
	if !strings.Contains(a.body, "event: error") || strings.Contains(a.body, "[DONE]") || strings.Contains(a.body, "not-run") {
		t.Errorf("got %s, want an error event at the end", a.body)
	}
	if b.counter(stats.RequestsFailed) != failed+1 {
		t.Error("the failure was not counted once")
	}
	for _, e := range b.Engines {
		e.Faults().Clear(fault.Truncate)
	}
	b.waitUntilServing(t)
	checkNoRequestGoroutines(t)
}

// TestResumeRefused guards against bytes of an engine's answer that is no continuation in
// the caller's stream, and against ending that stream as if it were complete.
func TestResumeRefused(t *testing.T) {
	b := newTestFleet(t)
	for _, kind := range []fault.Kind{fault.Refuse, fault.LoseAnswer, fault.WrongID, fault.Garble} {
		t.Run(string(kind), func(t *testing.T) {
			for _, e := range b.Engines {
				for _, f := range []fault.Fault{
					{Kind: fault.Truncate, Bytes: 2000, Count: 1, Path: completion},
					{Kind: kind, Path: "/v1/streams/"},
				} {
					if err := e.Faults().Add(f); err != nil {
						t.Fatal(err)
					}
				}
			}
			a := b.send(t, http.MethodPost, completion, requestBody("x", 200, true))
			events, last, ok := strings.Cut(a.body, "event: error\n")
			if !ok || strings.Contains(a.body, "[DONE]") || !strings.Contains(last, "stream-broken") || strings.Contains(a.body, "refused by a fault") {
				t.Errorf("got %s, want an error event at the end", a.body)
			}
			if texts, ids := len(textField.FindAllString(events, -1)), len(idField.FindAllString(events, -1)); ids == 0 || texts < ids || strings.Contains(events, "~") {
				t.Errorf("got %s, want whole events", events)
			}
			for _, e := range b.Engines {
				e.Faults().Clear("")
			}
			b.waitUntilServing(t)
		})
	}
	checkNoRequestGoroutines(t)
}

// TestBadAnswersOfPlainServices guards against calls of a plain service that
// are repeated, or reported as not run, after their response was lost, damaged
// or that of another request.
func TestBadAnswersOfPlainServices(t *testing.T) {
	b := newTestFleet(t)
	s := b.Services["b1"]
	for _, kind := range []fault.Kind{fault.LoseAnswer, fault.WrongID, fault.Truncate, fault.Garble} {
		t.Run(string(kind), func(t *testing.T) {
			if err := s.Faults().Add(fault.Fault{Kind: kind, Bytes: 10, Count: 1}); err != nil {
				t.Fatal(err)
			}
			ran := s.Stats().Executions
			a := b.send(t, http.MethodPost, "/booking/lanes", `{"lane":1}`)
			if a.status != http.StatusGatewayTimeout || a.Error.Code != "outcome-unknown" || a.Error.NotRun {
				t.Errorf("booking: %d %s, want outcome-unknown without not-run", a.status, a.body)
			}
			if n := s.Stats().Executions - ran; n != 1 {
				t.Errorf("the booking ran %d times, want 1", n)
			}
			if err := s.Faults().Add(fault.Fault{Kind: kind, Bytes: 10, Count: 1}); err != nil {
				t.Fatal(err)
			}
			if a := b.send(t, http.MethodGet, "/booking/lanes", ""); a.status != http.StatusOK {
				t.Errorf("read: %d %s, want a retry", a.status, a.body)
			}
		})
	}
	checkNoRequestGoroutines(t)
}

// TestEarlierRefusalOnceMore guards against "not run" for a request that ran, when an
// endpoint writes an earlier refusal of this request or of another once more on the kept
// connection.
func TestEarlierRefusalOnceMore(t *testing.T) {
	b := newTestFleet(t)
	s := b.Services["b1"]
	repeat := fault.Fault{Kind: fault.RepeatRefusal, Count: 1}
	if err := s.Faults().Add(repeat); err != nil {
		t.Fatal(err)
	}
	ran := s.Stats().Executions
	if a := b.send(t, http.MethodPost, "/booking/lanes", `{"lane":1}`); !a.Error.NotRun || s.Stats().Executions != ran {
		t.Errorf("refused booking: %d %s, want not-run", a.status, a.body)
	}
	if a := b.send(t, http.MethodPost, "/booking/lanes", `{"lane":2}`); a.status != http.StatusGatewayTimeout || a.Error.NotRun || s.Stats().Executions != ran+1 {
		t.Errorf("booking that ran: %d %s, want outcome-unknown without not-run", a.status, a.body)
	}
	for _, e := range b.Engines {
		// The first two attempts are refused, and the third is at the first engine.
		repeat.Path = completion
		if err := e.Faults().Add(repeat); err != nil {
			t.Fatal(err)
		}
	}
	if a := b.send(t, http.MethodPost, completion, requestBody("p", 20, false)); a.status != http.StatusOK {
		t.Errorf("completion: %d %s, want 200", a.status, a.body)
	}
	checkNoRequestGoroutines(t)
}

// TestEngineThatRefusesConnections guards against requests that fail because
// one of two engines refuses connections.
func TestEngineThatRefusesConnections(t *testing.T) {
	b := newTestFleet(t)
	client, err := b.Admin(0)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.Config(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	i := 0
	for c.Endpoints[i].Name != "e2" {
		i++
	}
	e2Proxy, stop, err := proxy.New(c.Endpoints[i].Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	e := c.Endpoints[i]
	e.Address = e2Proxy.Addr()
	if _, err := client.Apply(t.Context(), spec.Change{
		OpID:   spec.NewOpID(c.Revision),
		Author: "test",
		Base:   c.Revision,
		Puts:   []spec.Item{{Endpoint: &e}},
	}); err != nil {
		t.Fatal(err)
	}
	n := 0
	request := func() error {
		n++
		prompt := fmt.Sprint("refused ", n)
		if a := b.send(t, http.MethodPost, completion, requestBody(prompt, 5, false)); a.status != http.StatusOK || !strings.Contains(a.body, model.Text(prompt, 5)) {
			t.Fatalf("request %d: %d %s", n, a.status, a.body)
		}
		if e2Proxy.Connections() == 0 || b.Engines["e2"].Stats().Requests == 0 {
			return errors.New("e2 got no request through the proxy")
		}
		return nil
	}
	var retries int64
	// If the last load report of e2 before the cut shows it as busy, all requests
	// go to e1. The cut is repeated until a request is tried at e2.
	for until := time.Now().Add(15 * time.Second); ; {
		served := b.Engines["e2"].Stats().Requests
		eventually(t, 15*time.Second, func() error {
			if err := request(); err != nil {
				return err
			}
			if b.Engines["e2"].Stats().Requests == served {
				return errors.New("e2 got no request since it was reached again")
			}
			return nil
		})
		retries = b.counter(stats.RetriesDone)
		e2Proxy.Cut()
		for range 200 {
			_ = request()
		}
		if b.counter(stats.RetriesDone) > retries || time.Now().After(until) {
			break
		}
		if err := e2Proxy.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	if b.counter(stats.RetriesDone) == retries {
		t.Error("no request was sent to the engine that refuses connections; the test proves nothing")
	}
	checkNoRequestGoroutines(t)
}

// TestCallerDisconnectCancels guards against an engine that continues to
// generate after the caller has disconnected, and against goroutines that
// remain.
func TestCallerDisconnectCancels(t *testing.T) {
	b := newTestFleet(t)
	cancelled := func() int64 { return b.Engines["e1"].Stats().Cancelled + b.Engines["e2"].Stats().Cancelled }
	for _, stream := range []bool{true, false} {
		before, counted := cancelled(), b.counter(stats.RequestsCancelled)
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Nodes[0].CallersAddr+completion,
			strings.NewReader(requestBody("leave", 90_000, stream)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+b.key)
		time.AfterFunc(300*time.Millisecond, cancel)
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		eventually(t, 3*time.Second, func() error {
			if n, c := cancelled()-before, b.counter(stats.RequestsCancelled)-counted; n != 1 || c != 1 {
				return fmt.Errorf("stream %t: %d requests cancelled at the engines and %d counted, want 1", stream, n, c)
			}
			return nil
		})
		checkNoRequestGoroutines(t)
	}
	b.waitUntilServing(t)
}

// TestSlowCallerIsCutOff guards against a caller that stops reading and holds a
// stream, its memory and its slot at the engine indefinitely.
func TestSlowCallerIsCutOff(t *testing.T) {
	b := newTestFleet(t)
	dialer := net.Dialer{
		// A small receive buffer fills up quickly.
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			})
		},
	}
	conn, err := dialer.DialContext(t.Context(), "tcp", b.Nodes[0].CallersAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := requestBody("slow", 90_000, true)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", completion, b.key, len(body), body)
	eventually(t, 15*time.Second, func() error {
		if b.counter(stats.StreamsSlow) != 1 {
			return errors.New("the slow caller is still connected")
		}
		b.waitUntilServing(t)
		return nil
	})
	checkNoRequestGoroutines(t)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	data, err := io.ReadAll(bufio.NewReader(conn))
	if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(string(data), "[DONE]") {
		t.Errorf("the connection ends with %v and a whole stream: %t", err, strings.Contains(string(data), "[DONE]"))
	}
	b.waitUntilServing(t)
}

// FuzzOwnerOf guards against a request id that resolves to a node other than
// the one that created it, and against a panic on invalid ids from callers.
func FuzzOwnerOf(f *testing.F) {
	for _, id := range []string{"n1.1j1pclptukj.lq", "a.b.1.2", "", ".", "..", "n..1", "n.-1.1", "n.+1.1", "n.zz.1"} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		node, incarnation, ok := entry.OwnerOf(id)
		if !ok {
			return
		}
		if node == "" || !strings.HasPrefix(id, node+".") {
			t.Fatalf("id %q: node %q", id, node)
		}
		again, number, ok := entry.OwnerOf(fmt.Sprintf("%s.%s.1", node, strconv.FormatUint(incarnation, 32)))
		if !ok || again != node || number != incarnation {
			t.Fatalf("id %q: owner %q %d became %q %d", id, node, incarnation, again, number)
		}
	})
}
