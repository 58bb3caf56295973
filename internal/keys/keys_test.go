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

// TestGate guards against a wrong result, and against a stream that is not ended
// by the withdrawal of its key or is ended by the withdrawal of another key.
func TestGate(t *testing.T) {
	now := clock.NewFake()
	g := NewChecker(now)
	if r := g.Check("secret-a").Result; r != Stale {
		t.Errorf("before the first configuration: %s", r)
	}
	g.Update(config("a", "b"))
	g.RecordFresh(now.Now())
	a, b := g.Check("secret-a"), g.Check("secret-b")
	if a.Result != OK || a.Workspace != "desk" || a.KeyID != "a" || g.Check("secret-c").Result != Unknown || g.Check("").Result != Unknown {
		t.Errorf("fresh: %+v", a)
	}
	replaced := config("b")
	replaced.Keys = append(replaced.Keys, spec.Key{ID: "a", Workspace: "other", Digest: spec.Digest("secret-new")})
	g.Update(replaced)
	if !isClosed(a.Withdrawn()) || isClosed(b.Withdrawn()) || g.Recheck(a) != Withdrawn || g.Recheck(b) != OK {
		t.Error("replacing key a did not end its streams, or ended others")
	}
	if r := g.Check("secret-a").Result; r != Withdrawn {
		t.Errorf("withdrawn key: %s", r)
	}
	expired := g.Expired()
	now.Advance(requestFreshness + 1)
	g.Tick()
	if g.Check("secret-b").Result != Stale || g.RecheckBeforeSend(b) != Stale || g.Recheck(b) != OK || isClosed(expired) {
		t.Error("after 3 s: want new requests refused and running ones continued")
	}
	now.Advance(streamFreshness - requestFreshness)
	if g.Recheck(b) != Stale {
		t.Error("after 4.5 s, before a tick: Recheck accepts the stream")
	}
	g.Tick()
	if !isClosed(expired) || !isClosed(g.Expired()) {
		t.Error("after 4.5 s: the channel of Expired is not closed")
	}
	g.RecordFresh(now.Now())
	g.RecordFresh(now.Now().Add(-time.Hour))
	g.Tick()
	if isClosed(g.Expired()) || g.Check("secret-b").Result != OK {
		t.Error("fresh again: requests refused, or the channel of Expired closed")
	}
	now.Advance(time.Hour)
	serve := config("b")
	serve.Limits.WhenIsolated = spec.IsolationServe
	g.Update(serve)
	g.Tick()
	if isClosed(g.Expired()) || g.Check("secret-b").Result != OK || g.RecheckBeforeSend(b) != OK || g.Check("secret-a").Result != Withdrawn {
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
	now := clock.NewReal()
	g := NewChecker(now)
	g.Update(config(ids...))
	g.RecordFresh(now.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if g.Check("secret-500").Result != OK {
			b.Fatal("refused")
		}
	}
}
