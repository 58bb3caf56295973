package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLargeAnswerIsLost guards against passing on the status of an answer whose body was
// not read to its end: the caller of a booking would take a 503 for a refusal.
func TestLargeAnswerIsLost(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(strings.Repeat("x", 4096)))
	}))
	defer s.Close()
	c, release := NewClient(Options{
		MaxAnswerBytes: 1024,
	})
	defer release()
	a, err := c.Call(t.Context(), Call{
		Address:   strings.TrimPrefix(s.URL, "http://"),
		Method:    http.MethodPost,
		Path:      "/",
		RequestID: "r1",
	})
	var bad *BadResponseError
	if !errors.As(err, &bad) {
		t.Errorf("got %v, %v, want a broken answer", a, err)
	}
}
