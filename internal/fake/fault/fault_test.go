package fault_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
)

func do(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, err.Error()
	}
	return res.StatusCode, string(out)
}

// TestAdmin guards against a fault set through the admin interface that affects
// other requests than those with its method and path, or more than its count.
func TestAdmin(t *testing.T) {
	set, release := fault.NewSet()
	defer release()
	var handled atomic.Int64
	srv := httptest.NewServer(set.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })))
	defer srv.Close()
	steps := []struct {
		method string
		path   string
		body   string
		status int
		// handled is the total number of requests handled after this step.
		handled int64
	}{
		{method: "POST", path: "/faults/", body: `{"kind":"nonsense"}`, status: 400},
		{method: "POST", path: "/faults/", body: `{"kind":"refuse","count":-1}`, status: 400},
		{method: "POST", path: "/faults/", body: `{"kind":"refuse","path":"/a","method":"POST","count":1}`, status: 200},
		{method: "GET", path: "/a", status: 200, handled: 1},
		{method: "POST", path: "/b", status: 200, handled: 2},
		{method: "POST", path: "/a", status: 503, handled: 2},
		{method: "POST", path: "/a", status: 200, handled: 3},
		{method: "POST", path: "/faults/", body: `{"kind":"lose-answer"}`, status: 200, handled: 3},
		{method: "POST", path: "/a", handled: 4},
		{method: "DELETE", path: "/faults/lose-answer", status: 200, handled: 4},
		{method: "POST", path: "/faults/", body: `{"kind":"duplicate","count":1}`, status: 200, handled: 4},
		{method: "POST", path: "/a", status: 200, handled: 6},
		{method: "POST", path: "/faults/", body: `{"kind":"delay","delay":"1ms"}`, status: 200, handled: 6},
		{method: "POST", path: "/a", status: 200, handled: 7},
	}
	for i, s := range steps {
		status, answer := do(t, s.method, srv.URL+s.path, s.body)
		if status != s.status || handled.Load() != s.handled {
			t.Errorf("step %d: status %d, handled %d, want %d and %d: %s", i, status, handled.Load(), s.status, s.handled, answer)
		}
	}
	if _, got := do(t, "GET", srv.URL+"/faults/", ""); !strings.Contains(got, `"delay":"1ms","hits":1`) {
		t.Errorf("got faults %s", got)
	}
	do(t, "DELETE", srv.URL+"/faults/", "")
	if got := set.List(); len(got) != 0 {
		t.Errorf("faults after DELETE /faults/: %+v", got)
	}
}

// TestFreeze guards against a freeze that handles requests, or that loses a request
// whose client disconnected. A suspended process handles it when it continues.
func TestFreeze(t *testing.T) {
	set, release := fault.NewSet()
	defer release()
	bodies := make(chan string, 1)
	srv := httptest.NewServer(set.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			body = []byte("cancelled")
		case <-time.After(50 * time.Millisecond):
		}
		bodies <- string(body)
	})))
	defer srv.Close()
	if err := set.Add(fault.Fault{Kind: fault.Freeze}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("charge"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("a request was answered during the freeze")
	}
	select {
	case <-bodies:
		t.Fatal("a request was handled during the freeze")
	case <-time.After(20 * time.Millisecond):
	}
	set.Clear(fault.Freeze)
	select {
	case got := <-bodies:
		if got != "charge" {
			t.Errorf("got body %q", got)
		}
	case <-time.After(time.Second):
		t.Error("the request was not handled within 1 s after the freeze")
	}
}
