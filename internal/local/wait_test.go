package local

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestChangesReachRequestsThatWait guards against requests that wait at a node for a model
// which cannot be loaded, and go on to wait after a change has made it certain that they
// will not be served.
func TestChangesReachRequestsThatWait(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(1),
		NodesPerDomain: 1,
	})
	client, err := f.Admin(0)
	if err != nil {
		t.Fatal(err)
	}
	// From now on no model is loaded.
	if err := f.Engines["assistant-d1"].Faults().Add(fault.Fault{Kind: fault.Refuse, Path: "/orders"}); err != nil {
		t.Fatal(err)
	}
	apply := func(puts []spec.Item, deletes []spec.Ref) {
		t.Helper()
		cfg, err := client.Config(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Apply(t.Context(), spec.Change{
			OpID:    spec.NewOpID(cfg.Revision),
			Author:  "test",
			Base:    cfg.Revision,
			Puts:    puts,
			Deletes: deletes,
		}); err != nil {
			t.Fatal(err)
		}
	}
	spare := spec.Model{
		Name:             "spare",
		Service:          "assistant",
		Version:          "1",
		MemoryMiB:        1000,
		MaxContextTokens: 1000,
		OnDemand:         spec.Duration(30 * time.Second),
	}
	for _, tc := range []struct {
		name   string
		change func(spec.Model)
		status int
		code   string
	}{
		{
			name:   "model removed",
			change: func(m spec.Model) { apply(nil, []spec.Ref{{Kind: spec.KindOfModel, Name: m.Name}}) },
			status: http.StatusNotFound,
			code:   "model-unknown",
		},
		{
			name: "on-demand limit lowered",
			change: func(m spec.Model) {
				m.OnDemand = spec.Duration(time.Millisecond)
				apply([]spec.Item{{Model: &m}}, nil)
			},
			status: http.StatusServiceUnavailable,
			code:   "model-loading",
		},
		{
			name: "context limit lowered",
			change: func(m spec.Model) {
				m.MaxContextTokens = 2
				apply([]spec.Item{{Model: &m}}, nil)
			},
			status: http.StatusBadRequest,
			code:   "context-too-long",
		},
		{
			name:   "key withdrawn",
			change: func(spec.Model) { apply(nil, []spec.Ref{{Kind: spec.KindOfKey, Name: "key-club"}}) },
			status: http.StatusUnauthorized,
			code:   "stream-key-withdrawn",
		},
	} {
		m := spare
		apply([]spec.Item{{Model: &m}}, nil)
		answered := make(chan answer, 1)
		go func() {
			answered <- do(t, f, 0, http.MethodPost, "/v1/completions", keys["club"],
				fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":4}`, m.Name))
		}()
		select {
		case a := <-answered:
			t.Fatalf("%s: the request does not wait: %d %s", tc.name, a.status, a.body)
		case <-time.After(time.Second):
		}
		tc.change(m)
		select {
		case a := <-answered:
			if a.status != tc.status || a.code != tc.code || !a.notRun {
				t.Errorf("%s: got %d %s, want %d %s and not-run", tc.name, a.status, a.body, tc.status, tc.code)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the request still waits", tc.name)
			<-answered
		}
	}
}
