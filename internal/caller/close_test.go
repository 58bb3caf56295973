package caller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestShutdownAnnouncesTheEndOfConnections guards against requests that get no answer
// because their connection is closed after an answer that lets the caller reuse it: that
// of a request that was running when the shutdown began.
func TestShutdownAnnouncesTheEndOfConnections(t *testing.T) {
	t.Parallel()
	begun, finish := make(chan struct{}), make(chan struct{})
	s, l := newTestServer(t, noLimit, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-finish
	})
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprintf(c, request, "running")
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		draining = s.draining
		s.mu.Unlock()
	}
	close(finish)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if !res.Close {
		t.Error("the answer lets the caller reuse the connection, which is closed then")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestLimitRaisedAndLoweredWithinTheMargin guards against requests that get no answer because the idle
// limit was raised and lowered again while their connection was idle.
func TestLimitRaisedAndLoweredWithinTheMargin(t *testing.T) {
	t.Parallel()
	start := time.Now()
	limit := func() time.Duration {
		if d := time.Since(start); d > 100*time.Millisecond && d < 400*time.Millisecond {
			return 2 * time.Second
		}
		return 300 * time.Millisecond
	}
	s, l := newTestServer(t, limit, nil)
	s.opts.IdleMargin = 200 * time.Millisecond
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprintf(c, request, "first")
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	// The lower limit is in force at the caller 200 ms after it is here.
	time.Sleep(time.Until(start.Add(550 * time.Millisecond)))
	fmt.Fprintf(c, request, "second")
	if err := c.receive(); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
}
