package local

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fake/model"
)

// streamed sends a completion with a stream and returns its status and body.
func streamed(t *testing.T, address, key string, tokens int) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"lane-rules","prompt":"x","max_tokens":%d,"stream":true}`, tokens)))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0, ""
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Errorf("the answer ends with %v", err)
	}
	return res.StatusCode, string(data)
}

// TestStopRejectsWhatItWouldCut guards against a stopping node that accepts streams which
// it cuts at the end of its drain, refuses those that it can finish, or ends a stream
// without saying so.
func TestStopRejectsWhatItWouldCut(t *testing.T) {
	t.Parallel()
	// An engine makes 100 tokens a second for one stream.
	f, keys := testFleet(t, Options{
		Config:         testConfig(1),
		NodesPerDomain: 1,
		Engine: model.Options{
			Speed:       100_000,
			StreamSpeed: 100,
		},
	})
	n, key := f.Nodes[0], keys["club"]
	if status, body := streamed(t, n.CallersAddr, key, 100); status != http.StatusOK || !strings.Contains(body, "[DONE]") {
		t.Fatalf("%d %s", status, body)
	}
	type result struct {
		status int
		body   string
	}
	before := f.Engines["assistant-d1"].Stats().Requests
	running, ended := make(chan result, 1), make(chan []string, 1)
	go func() {
		status, body := streamed(t, n.CallersAddr, key, 2000)
		running <- result{status: status, body: body}
	}()
	eventually(t, 5*time.Second, func() error {
		if f.Engines["assistant-d1"].Stats().Requests == before {
			return errors.New("the stream does not run")
		}
		return nil
	})
	began := time.Now()
	go func() { ended <- n.ShutdownBy(t.Context(), clock.NewReal().Now().Add(6*time.Second)) }()
	eventually(t, time.Second, func() error {
		if n.Ready() {
			return errors.New("the stop has not begun")
		}
		return nil
	})
	status, body := streamed(t, n.CallersAddr, key, 2000)
	if took := time.Since(began); status != http.StatusServiceUnavailable || !strings.Contains(body, `"code":"shutting-down"`) ||
		!strings.Contains(body, `"not-run":true`) || took > 3*time.Second {
		t.Errorf("a stream of 20 s got %d after %v: %.200s", status, took, body)
	}
	if status, body := streamed(t, n.CallersAddr, key, 100); status != http.StatusOK || !strings.Contains(body, "[DONE]") {
		t.Errorf("a stream of 1 s got %d: %.200s", status, body)
	}
	if got := <-running; got.status != http.StatusOK || !strings.Contains(got.body, "event: error") || strings.Contains(got.body, "[DONE]") {
		t.Errorf("the stream that ran got %d, and does not end with an error: %s", got.status, got.body[max(0, len(got.body)-200):])
	}
	if cut := <-ended; len(cut) != 1 {
		t.Errorf("cut %v, want the stream that ran before the stop", cut)
	}
}

// TestStopCutsNoLongStream guards against a stopping node that loses its view of the keys
// while a stream goes on, and ends the stream.
func TestStopCutsNoLongStream(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(2),
		NodesPerDomain: 2,
		Engine: model.Options{
			Speed:       100_000,
			StreamSpeed: 100,
		},
	})
	var all sync.WaitGroup
	for i, n := range f.Nodes {
		if i%2 == 0 && i > 0 {
			// One node of the second domain and both of the first are stopped.
			continue
		}
		before := f.Engines["assistant-d1"].Stats().Requests + f.Engines["assistant-d2"].Stats().Requests
		all.Go(func() {
			if status, body := streamed(t, n.CallersAddr, keys["club"], 900); status != http.StatusOK || !strings.Contains(body, "[DONE]") {
				t.Errorf("node %d: %d %s", i, status, body[max(0, len(body)-300):])
			}
		})
		eventually(t, 5*time.Second, func() error {
			if f.Engines["assistant-d1"].Stats().Requests+f.Engines["assistant-d2"].Stats().Requests == before {
				return errors.New("the stream does not run")
			}
			return nil
		})
		all.Go(func() {
			if cut := n.Shutdown(t.Context()); len(cut) > 0 {
				t.Errorf("node %d cut %v", i, cut)
			}
		})
	}
	all.Wait()
}
