package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/plain"
)

type testEndpoint struct {
	*model.Local
}

func start(t *testing.T, opts model.Options) testEndpoint {
	t.Helper()
	if opts.Resident == nil {
		opts.Resident = []engine.Resident{
			{
				Model:     "m",
				Version:   "1",
				MemoryMiB: 1000,
			},
		}
	}
	l, stop, err := model.Start(opts)
	must(t, err)
	t.Cleanup(stop)
	return testEndpoint{Local: l}
}

func (s testEndpoint) call(id, prompt string, maxTokens int, stream bool) engine.Call {
	return engine.Call{
		Address:   s.Addr,
		Method:    http.MethodPost,
		Path:      "/v1/completions",
		Body:      fmt.Appendf(nil, `{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, maxTokens, stream),
		RequestID: id,
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// readText reads a stream to its end, or up to token number limit if that is
// above 0, and returns the text of its tokens.
func readText(s *engine.Stream, limit int64) (string, *engine.Usage, error) {
	defer s.Close()
	var b strings.Builder
	var usage *engine.Usage
	for {
		ev, err := s.Next()
		if err == io.EOF {
			return b.String(), usage, nil
		}
		if err != nil {
			return b.String(), usage, err
		}
		if ev.Usage != nil {
			usage = ev.Usage
		}
		if ev.Token > 0 {
			_, rest, _ := strings.Cut(string(ev.Data), `"text":"`)
			token, _, _ := strings.Cut(rest, `"`)
			b.WriteString(token)
		}
		if limit > 0 && ev.Token == limit {
			return b.String(), usage, nil
		}
	}
}

// TestComplete guards against a response with the tokens or the usage of another
// request, both streamed and not.
func TestComplete(t *testing.T) {
	s := start(t, model.Options{StreamSpeed: 10_000, Speed: 10_000})
	want := model.Text("a lane", 20)
	st, err := s.Client.Stream(context.Background(), s.call("r1", "a lane", 20, true))
	must(t, err)
	got, usage, err := readText(st, 0)
	if err != nil || got != want || usage == nil || *usage != (engine.Usage{PromptTokens: 2, CompletionTokens: 20}) {
		t.Errorf("stream: got %q, %+v, %v; want %q", got, usage, err, want)
	}
	a, err := s.Client.Complete(context.Background(), s.call("r2", "a lane", 20, false))
	must(t, err)
	if !strings.Contains(string(a.Body), want) || a.Usage == nil || a.Usage.CompletionTokens != 20 {
		t.Errorf("got %s with usage %+v", a.Body, a.Usage)
	}
}

// TestResume guards against lost or repeated tokens when a stream is resumed on
// a second connection.
func TestResume(t *testing.T) {
	s := start(t, model.Options{StreamSpeed: 1000, Speed: 1000})
	ctx := context.Background()
	for _, at := range []int64{1, 7, 29} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			id := fmt.Sprint("r", at)
			first, err := s.Client.Stream(ctx, s.call(id, "a fan", 30, true))
			must(t, err)
			head, _, err := readText(first, at)
			must(t, err)
			second, err := s.Client.Resume(ctx, s.Addr, id, first.LastToken())
			must(t, err)
			tail, _, err := readText(second, 0)
			if got, want := head+tail, model.Text("a fan", 30); err != nil || got != want {
				t.Errorf("got %q, %v; want %q", got, err, want)
			}
		})
	}
}

// TestCancel guards against a cancelled request that continues to use the
// engine.
func TestCancel(t *testing.T) {
	s := start(t, model.Options{})
	ctx := context.Background()
	st, err := s.Client.Stream(ctx, s.call("r", "p", 10_000, true))
	must(t, err)
	if err := s.Client.Cancel(ctx, s.Addr, "r"); err != nil {
		t.Fatal(err)
	}
	_, _, err = readText(st, 0)
	var broken *engine.BadResponseError
	if !errors.As(err, &broken) {
		t.Errorf("a cancelled stream ended with %v", err)
	}
	if got := s.Stats(); got.Cancelled != 1 {
		t.Errorf("cancelled %d requests", got.Cancelled)
	}
	if err := s.Client.Cancel(ctx, s.Addr, "unknown"); err != nil {
		t.Errorf("cancel of an unknown request: %v", err)
	}
}

// TestCancelledStreamLeavesNothing guards against goroutine leaks from a stream
// whose context was cancelled or that was closed early.
func TestCancelledStreamLeavesNothing(t *testing.T) {
	s := start(t, model.Options{})
	before := runtime.NumGoroutine()
	for i := range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		// The context ends only after the check, because Close alone must release
		// the stream.
		defer cancel()
		st, err := s.Client.Stream(ctx, s.call(fmt.Sprint(i), "p", 1000, true))
		must(t, err)
		if _, err := st.Next(); err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			cancel()
			for err == nil {
				_, err = st.Next()
			}
			if !errors.Is(err, context.Canceled) {
				t.Errorf("read after cancel: %v", err)
			}
		}
		st.Close()
	}
	deadline := time.Now().Add(2 * time.Second)
	for runtime.NumGoroutine() > before && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if after := runtime.NumGoroutine(); after > before {
		buf := make([]byte, 1<<16)
		t.Errorf("%d goroutines before, %d after:\n%s", before, after, buf[:runtime.Stack(buf, true)])
	}
}

// TestFaults guards against a wrong type of error, by which the caller decides
// whether a request may be sent again.
func TestFaults(t *testing.T) {
	var (
		broken   *engine.BadResponseError
		mismatch *engine.MismatchError
		status   *engine.StatusError
	)
	tests := []struct {
		fault fault.Fault
		want  any
	}{
		{
			fault: fault.Fault{Kind: fault.Refuse},
			want:  &status,
		},
		{
			fault: fault.Fault{Kind: fault.LoseAnswer},
			want:  &broken,
		},
		{
			fault: fault.Fault{Kind: fault.WrongID},
			want:  &mismatch,
		},
		{
			fault: fault.Fault{Kind: fault.Truncate, Bytes: 100},
			want:  &broken,
		},
		{
			fault: fault.Fault{Kind: fault.Garble, Bytes: 100},
			want:  &broken,
		},
		{
			fault: fault.Fault{Kind: fault.Freeze},
			want:  &broken,
		},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault.Kind), func(t *testing.T) {
			s := start(t, model.Options{StreamSpeed: 10_000, Speed: 10_000})
			must(t, s.Faults().Add(tt.fault))
			run := map[string]func(context.Context) error{
				"whole": func(ctx context.Context) error {
					_, err := s.Client.Complete(ctx, s.call("r1", "p", 5, false))
					return err
				},
				"stream": func(ctx context.Context) error {
					st, err := s.Client.Stream(ctx, s.call("r2", "p", 5, true))
					if err == nil {
						_, _, err = readText(st, 0)
					}
					return err
				},
				"state": func(ctx context.Context) error {
					_, err := s.Client.State(ctx, s.Addr)
					return err
				},
			}
			for name, f := range run {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				if err := f(ctx); !errors.As(err, tt.want) {
					t.Errorf("%s: got %v (%[2]T), want %T", name, err, tt.want)
				}
				cancel()
			}
		})
	}
}

// TestNotSent guards against an unsent request that is not reported as such,
// which would prevent a booking from being sent to another endpoint.
func TestNotSent(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	c, release := engine.NewClient(engine.Options{})
	defer release()
	_, err := c.Call(context.Background(), engine.Call{
		Address:   strings.TrimPrefix(srv.URL, "http://"),
		Method:    http.MethodPost,
		Path:      "/bookings",
		RequestID: "r",
	})
	var notSent *engine.NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("got %v, want *NotSentError", err)
	}
}

// TestPlain guards against a booking that runs twice after its response was
// lost, and against an API key that reaches an endpoint.
func TestPlain(t *testing.T) {
	p, stop, err := plain.Start(plain.Options{})
	must(t, err)
	defer stop()
	c, release := engine.NewClient(engine.Options{})
	defer release()
	call := engine.Call{
		Address: p.Addr,
		Method:  http.MethodPost,
		Path:    "/bookings",
		Header: http.Header{
			"Authorization":   {"Bearer secret"},
			"Connection":      {"X-Private"},
			"X-Private":       {"Bearer secret"},
			"Idempotency-Key": {"k1"},
		},
		Body:      []byte(`{"lane":3}`),
		RequestID: "r1",
	}
	// The first request opens a connection, which the one whose response is lost
	// then reuses.
	a, err := c.Call(context.Background(), call)
	if err != nil || a.Status != http.StatusCreated {
		t.Fatalf("got %+v, %v", a, err)
	}
	must(t, p.Faults().Add(fault.Fault{Kind: fault.LoseAnswer, Count: 1}))
	call.RequestID = "r2"
	call.Header.Set("Idempotency-Key", "k2")
	var broken *engine.BadResponseError
	if _, err := c.Call(context.Background(), call); !errors.As(err, &broken) {
		t.Errorf("lost answer: got %v, want *BadResponseError", err)
	}
	if p.Executions("k1") != 1 || p.Executions("k2") != 1 || p.RequestExecutions("r2") != 1 {
		t.Errorf("bookings ran %d and %d times, want once", p.Executions("k1"), p.Executions("k2"))
	}
	if got := p.Stats(); got.KeysSeen != 0 || got.Repeated != 0 {
		t.Errorf("got %+v", got)
	}
	read := engine.Call{
		Address:   call.Address,
		Method:    http.MethodGet,
		Path:      "/bookings/1",
		RequestID: "r3",
	}
	if a, err = c.Call(context.Background(), read); err != nil || !strings.Contains(string(a.Body), `{"lane":3}`) {
		t.Errorf("read back: got %+v, %v", a, err)
	}
}

// TestKV guards against an imported KV cache that does not save the prefill.
func TestKV(t *testing.T) {
	a, b := start(t, model.Options{}), start(t, model.Options{})
	ctx := context.Background()
	prompt := strings.Repeat("x", 4000)
	if _, err := a.Client.Complete(ctx, a.call("r", prompt, 1, false)); err != nil {
		t.Fatal(err)
	}
	kv, err := a.Client.ExportKV(ctx, a.Addr, "r")
	must(t, err)
	must(t, b.Client.ImportKV(ctx, b.Addr, "r", kv))
	if _, err := b.Client.Complete(ctx, b.call("r", prompt, 1, false)); err != nil {
		t.Fatal(err)
	}
	if got := b.Stats().PrefillTokens; got != 0 {
		t.Errorf("%d tokens were processed again", got)
	}
}
