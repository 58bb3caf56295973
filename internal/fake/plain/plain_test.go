package plain

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestRepeated guards the counter by which other tests detect a booking that was
// executed twice.
func TestRepeated(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		key      string
		ids      []string
		repeated int64
	}{
		{
			name:     "same key, other request",
			method:   http.MethodPost,
			key:      "k",
			ids:      []string{"a", "b"},
			repeated: 1,
		},
		{
			name:     "same request without a key",
			method:   http.MethodPost,
			ids:      []string{"a", "a", "a"},
			repeated: 2,
		},
		{
			name:   "read again",
			method: http.MethodGet,
			ids:    []string{"a", "a"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, release := New(Options{})
			defer release()
			for _, id := range tt.ids {
				r := httptest.NewRequest(tt.method, "/bookings", strings.NewReader("{}"))
				r.Header.Set("X-Request-Id", id)
				r.Header.Set("Idempotency-Key", tt.key)
				s.Handler().ServeHTTP(httptest.NewRecorder(), r)
			}
			if got := s.Stats(); got.Repeated != tt.repeated || got.Executions != int64(len(tt.ids)) {
				t.Errorf("got %+v, want %d repeated", got, tt.repeated)
			}
		})
	}
}
