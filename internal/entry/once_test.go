package entry

import (
	"net/http"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestRepeatabilityChanged guards against a second run of a call that may not be repeated
// any more, and against one that is sent without a claim of its idempotency key.
func TestRepeatabilityChanged(t *testing.T) {
	once := changeService("app", func(s *spec.Service) { s.Methods[0].Repeatable = false })
	for _, tc := range []struct {
		name   string
		change func(*bench)
		runs   int
		code   string
	}{
		{name: "repeatable", change: nothing, runs: 2},
		{name: "not repeatable any more", change: once, runs: 1, code: "outcome-unknown"},
	} {
		t.Run("lost/"+tc.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			e := b.engines["p1"]
			e.losses = 1
			e.begin()
			x := b.begin(http.MethodGet, "/app/x", "", "", "Authorization", "Bearer "+benchKey)
			b.eventually("sent", func() bool { return e.count() > 0 })
			tc.change(b)
			e.release()
			got, _ := x.within(5 * time.Second)
			if got.code != tc.code || got.notRun || tc.code == "" && !got.isWhole() || b.runs("/app/x") != tc.runs {
				t.Errorf("got %d %q %v after %d runs, want %q after %d", got.status, got.body, got.err, b.runs("/app/x"), tc.code, tc.runs)
			}
		})
	}
	t.Run("claim before a retry", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		b.engines["p1"].declines = 1
		x := b.begin(http.MethodGet, "/app/x", "", "", "Authorization", "Bearer "+benchKey, "Idempotency-Key", "k1")
		b.eventually("backing off", func() bool { return hasRetried(b, x) })
		once(b)
		if got, _ := x.within(5 * time.Second); !got.isWhole() {
			t.Errorf("got %d %q %v", got.status, got.body, got.err)
		}
		again := b.begin(http.MethodGet, "/app/x", "", "", "Authorization", "Bearer "+benchKey, "Idempotency-Key", "k1")
		if got, _ := again.within(5 * time.Second); !got.isWhole() || b.runs("/app/x") != 1 {
			t.Errorf("the repeat got %d %q %v after %d runs", got.status, got.body, got.err, b.runs("/app/x"))
		}
	})
}

// TestReplayToWithdrawnKey guards against the stored answer of a call for a key that was
// withdrawn while the call was looked up, and against callers of other changes who do not
// learn of an outcome.
func TestReplayToWithdrawnKey(t *testing.T) {
	for _, c := range callChanges {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			header := []string{"Authorization", "Bearer " + benchKey, "Idempotency-Key", "k1"}
			first := b.begin(http.MethodPost, "/app/x", "{}", "", header...)
			if got, _ := first.within(5 * time.Second); !got.isWhole() {
				t.Fatalf("got %d %q %v", got.status, got.body, got.err)
			}
			b.table.begin()
			x := b.begin(http.MethodPost, "/app/x", "{}", "", header...)
			b.eventually("looked up", func() bool { return b.table.count() > 0 })
			c.apply(b)
			b.table.release()
			got, _ := x.within(5 * time.Second)
			isWithdrawn := withdrawn(state{method: http.MethodPost}) == c.want(state{method: http.MethodPost})
			if isWithdrawn && got.code != "key-withdrawn" || !isWithdrawn && !got.isWhole() || got.notRun || b.runs("/app/x") != 1 {
				t.Errorf("got %d %q %v after %d runs", got.status, got.body, got.err, b.runs("/app/x"))
			}
		})
	}
}

// TestKeyOfNewWorkspace guards against the refusal of a key whose workspace is part of the
// same change, when the keys come into force just before the rest, and the limits after it.
func TestKeyOfNewWorkspace(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	next := *b.config
	next.Workspaces = []spec.Workspace{{Name: "new", Weight: 1}}
	next.Keys = []spec.Key{{ID: "desk", Workspace: "new", Digest: spec.Digest(benchKey)}}
	b.checker.SetConfig(&next, time.Now().Add(time.Hour))
	x := b.begin(http.MethodPost, "/v1/completions", completionBody("p", false), "", "Authorization", "Bearer "+benchKey)
	b.eventually("the key is known", func() bool { return b.checker.Count(keys.OK) > 0 })
	b.admitter.unknown.Store(3)
	b.server.SetConfig(&next)
	if got, _ := x.within(5 * time.Second); !got.isWhole() {
		t.Errorf("got %d %q %v", got.status, got.body, got.err)
	}
}

// TestSlowBodyOfWithdrawnKey guards against a request whose key is withdrawn while its body
// arrives, and that is refused only when all of it has arrived.
func TestSlowBodyOfWithdrawnKey(t *testing.T) {
	for _, s := range []state{completionStates[1], callStates[1], callStates[2]} {
		t.Run(s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			x, mark := b.beginIn(s)
			commonChanges[0].apply(b)
			got, ok := x.within(2 * time.Second)
			if !ok || got.code != "stream-key-withdrawn" || !got.notRun && !s.unproved || b.runs(mark) > 0 {
				t.Errorf("got %d %q %v after %d runs, at once: %v", got.status, got.body, got.err, b.runs(mark), ok)
			}
		})
	}
}

// TestKeyOfClosedService guards against the refusal of a call that has a valid key, and
// against a key that reaches an endpoint, when the service is closed before a retry.
func TestKeyOfClosedService(t *testing.T) {
	for _, tc := range []struct {
		name string
		key  string
		body string
		code string
	}{
		{name: "valid", key: benchKey},
		{name: "not ours", key: "another", code: "key-unknown"},
		{name: "in the body too", key: benchKey, body: benchKey, code: "bad-request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.engines["o1"].declines = 1
			x := b.begin(http.MethodGet, "/open/x", tc.body, "", "Authorization", "Bearer "+tc.key)
			b.eventually("backing off", func() bool { return hasRetried(b, x) })
			changeService("open", func(s *spec.Service) { s.Open = false })(b)
			got, _ := x.within(5 * time.Second)
			if got.code != tc.code || tc.code == "" && !got.isWhole() || tc.code != "" && b.runs("/open/x") > 0 {
				t.Errorf("got %d %q %v after %d runs", got.status, got.body, got.err, b.runs("/open/x"))
			}
		})
	}
}
