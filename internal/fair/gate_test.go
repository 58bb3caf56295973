package fair

import (
	"context"
	"errors"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestGateClose guards against requests that wait for an endpoint that was removed until
// those that run there have ended.
func TestGateClose(t *testing.T) {
	g := NewGate(clock.NewReal(), Options{
		Limit: 1,
	})
	release, err := g.Acquire(t.Context(), "w", 1, spec.ClassNormal, 1)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := g.Acquire(context.Background(), "w", 1, spec.ClassNormal, 1)
			ended <- err
		}()
	}
	for {
		if _, waiting := g.Load(); waiting == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	g.Close()
	for range 2 {
		if err := <-ended; !errors.Is(err, ErrClosed) {
			t.Errorf("a request that waited got %v", err)
		}
	}
	if _, err := g.Acquire(t.Context(), "w", 1, spec.ClassNormal, 1); !errors.Is(err, ErrClosed) {
		t.Errorf("a request that came later got %v", err)
	}
	release()
	if running, waiting := g.Load(); running != 0 || waiting != 0 || len(g.waiters) != 0 {
		t.Errorf("%d running, %d waiting, %d waiters left", running, waiting, len(g.waiters))
	}
}
