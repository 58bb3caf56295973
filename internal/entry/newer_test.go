package entry

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/triage"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestNewerRevision guards against refusing what the configuration in force lacks while it
// is known that there is a newer one.
func TestNewerRevision(t *testing.T) {
	const addedKey = "secret-of-the-added"
	removeKey := func(c *spec.Config) {
		c.Keys = slices.DeleteFunc(c.Keys, func(k spec.Key) bool { return k.ID == "added" })
	}
	removeModel := func(c *spec.Config) {
		c.Models = slices.DeleteFunc(c.Models, func(m spec.Model) bool { return m.Name == "m2" })
	}
	removeAdapter := func(c *spec.Config) {
		c.Adapters = slices.DeleteFunc(c.Adapters, func(a spec.Adapter) bool { return a.Name == "a2" })
	}
	removeService := func(c *spec.Config) {
		c.Services = slices.DeleteFunc(c.Services, func(s spec.Service) bool { return s.Name == "open" })
	}
	tests := []struct {
		name   string
		remove func(*spec.Config)
		path   string
		header http.Header
		body   string
		// arrives is set if the newer configuration arrives, knownFor is for how long it
		// has been known.
		arrives  bool
		knownFor time.Duration
		// code is that of the refusal, none if the request passes the look-up.
		code string
	}{
		{name: "key added", remove: removeKey, path: "/v1/models", arrives: true},
		{name: "model added", remove: removeModel, path: "/v1/completions", body: `{"model":"m2","max_tokens":2000,"prompt":"p"}`, arrives: true, code: "context-too-long"},
		{name: "adapter added", remove: removeAdapter, path: "/v1/completions", header: http.Header{"X-Adapter": {"a2"}}, body: `{"model":"m1","max_tokens":2000,"prompt":"p"}`, arrives: true, code: "context-too-long"},
		{name: "adapter added, named as the model", remove: removeAdapter, path: "/v1/completions", body: `{"model":"a2","max_tokens":2000,"prompt":"p"}`, arrives: true, code: "context-too-long"},
		{name: "service added", remove: removeService, path: "/open/x", arrives: true, code: "method-unknown"},
		{name: "key not arrived", remove: removeKey, path: "/v1/models", code: "config-behind"},
		{name: "model not arrived", remove: removeModel, path: "/v1/completions", body: `{"model":"m2","max_tokens":1,"prompt":"p"}`, code: "config-behind"},
		{name: "service not arrived", remove: removeService, path: "/open/x", code: "config-behind"},
		{name: "not arrived for long", remove: removeKey, path: "/v1/models", knownFor: triage.MaxConfigDelay, code: "key-unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			// The key table takes a key that was in force for withdrawn.
			b.checker = keys.NewChecker(clock.NewReal())
			b.server.opts.Keys = b.checker
			b.config.Keys = append(b.config.Keys, spec.Key{
				ID:        "added",
				Workspace: "club",
				Digest:    spec.Digest(addedKey),
			})
			whole := *b.config
			b.apply(func(c *spec.Config) {
				tt.remove(c)
				c.Revision = 7
			})
			b.server.newest.Record(b.server.opts.Clock.Now().Add(-tt.knownFor), 8)
			if tt.arrives {
				time.AfterFunc(100*time.Millisecond, func() {
					b.apply(func(c *spec.Config) {
						*c = whole
						c.Revision = 8
					})
				})
			}
			method := http.MethodPost
			if tt.path == "/v1/models" {
				method = http.MethodGet
			}
			r := httptest.NewRequest(method, tt.path, strings.NewReader(tt.body))
			for name, values := range tt.header {
				r.Header[name] = values
			}
			if !strings.HasPrefix(tt.path, "/open/") {
				r.Header.Set("Authorization", "Bearer "+addedKey)
			}
			w := httptest.NewRecorder()
			began := time.Now()
			b.server.Handler().ServeHTTP(w, r)
			if took := time.Since(began); took > 2*triage.MaxConfigWait {
				t.Errorf("answered after %v", took)
			}
			if tt.code == "" {
				if w.Code != http.StatusOK {
					t.Errorf("got %d %s", w.Code, w.Body)
				}
				return
			}
			if !strings.Contains(w.Body.String(), `"`+tt.code+`"`) {
				t.Errorf("got %d %s, want %s", w.Code, w.Body, tt.code)
			}
			if tt.code == "config-behind" && (w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "") {
				t.Errorf("got %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
		})
	}
}
