package keys

import (
	"fmt"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

func config(ids ...string) *spec.Config {
	c := spec.New()
	for _, id := range ids {
		c.Keys = append(c.Keys, spec.Key{ID: id, Workspace: "desk", Digest: spec.Digest("secret-" + id)})
	}
	return c
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestChecker guards against a wrong result, and against a stream that is not ended
// by the withdrawal of its key or is ended by the withdrawal of another key.
func TestChecker(t *testing.T) {
	clk := clock.NewFake()
	checker := NewChecker(clk)
	if r := checker.Check("secret-a").Result; r != Stale {
		t.Errorf("before the first configuration: %s", r)
	}
	checker.Update(config("a", "b"))
	checker.RecordFresh(clk.Now())
	a, b := checker.Check("secret-a"), checker.Check("secret-b")
	if a.Result != OK || a.Workspace != "desk" || a.KeyID != "a" || checker.Check("secret-c").Result != Unknown || checker.Check("").Result != Unknown {
		t.Errorf("fresh: %+v", a)
	}
	replaced := config("b")
	replaced.Keys = append(replaced.Keys, spec.Key{ID: "a", Workspace: "other", Digest: spec.Digest("secret-new")})
	checker.Update(replaced)
	if !isClosed(a.Withdrawn()) || isClosed(b.Withdrawn()) || checker.Recheck(a) != Withdrawn || checker.Recheck(b) != OK {
		t.Error("replacing key a did not end its streams, or ended others")
	}
	if r := checker.Check("secret-a").Result; r != Withdrawn {
		t.Errorf("withdrawn key: %s", r)
	}
	expired := checker.Expired()
	clk.Advance(requestFreshness + 1)
	checker.Tick()
	if checker.Check("secret-b").Result != Stale || checker.RecheckBeforeSend(b) != Stale || checker.Recheck(b) != OK || isClosed(expired) {
		t.Error("after 3 s: want new requests refused and running ones continued")
	}
	clk.Advance(streamFreshness - requestFreshness)
	if checker.Recheck(b) != Stale {
		t.Error("after 4.5 s, before a tick: Recheck accepts the stream")
	}
	checker.Tick()
	if !isClosed(expired) || !isClosed(checker.Expired()) {
		t.Error("after 4.5 s: the channel of Expired is not closed")
	}
	checker.RecordFresh(clk.Now())
	checker.RecordFresh(clk.Now().Add(-time.Hour))
	checker.Tick()
	if isClosed(checker.Expired()) || checker.Check("secret-b").Result != OK {
		t.Error("fresh again: requests refused, or the channel of Expired closed")
	}
	clk.Advance(time.Hour)
	serve := config("b")
	serve.Limits.WhenIsolated = spec.IsolationServe
	checker.Update(serve)
	checker.Tick()
	if isClosed(checker.Expired()) || checker.Check("secret-b").Result != OK || checker.RecheckBeforeSend(b) != OK || checker.Check("secret-a").Result != Withdrawn {
		t.Error("when-isolated: serve: valid key refused, or withdrawn key accepted")
	}
}

// TestGenerate guards against secrets that repeat or do not match their digest.
func TestGenerate(t *testing.T) {
	s, d := Generate()
	other, _ := Generate()
	if s == other || d != spec.Digest(s) || len(s) != len("tfd-")+26 {
		t.Errorf("%q %q %q", s, d, other)
	}
}

func BenchmarkCheck(b *testing.B) {
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint(i))
	}
	clk := clock.NewReal()
	checker := NewChecker(clk)
	checker.Update(config(ids...))
	checker.RecordFresh(clk.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if checker.Check("secret-500").Result != OK {
			b.Fatal("refused")
		}
	}
}
