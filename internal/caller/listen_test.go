package caller

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestAcceptQueueOutlivesDescriptorLimit guards against requests that wait in the accept
// queue and get no answer because the process has no free descriptor when it stops.
func TestAcceptQueueOutlivesDescriptorLimit(t *testing.T) {
	s, l := newTestServer(t, noLimit, nil)
	c := dial(t, l)
	if _, err := fmt.Fprintf(c, request, "first"); err != nil {
		t.Fatal(err)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 1, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	restore := func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) }
	t.Cleanup(restore)
	defer time.AfterFunc(100*time.Millisecond, restore).Stop()
	if err := s.Serve(l); err != nil {
		t.Fatal(err)
	}
	if err := c.receive(); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
}

// TestAcceptQueueOutlivesResetConnection guards against requests that wait in the accept
// queue and get no answer because a caller ahead of them has reset its connection.
func TestAcceptQueueOutlivesResetConnection(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	reset := dial(t, l)
	_ = reset.Conn.(*net.TCPConn).SetLinger(0)
	c := dial(t, l)
	if _, err := fmt.Fprintf(c, request, "second"); err != nil {
		t.Fatal(err)
	}
	_ = reset.Close()
	time.Sleep(20 * time.Millisecond)
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := s.Serve(l); err != nil {
		t.Fatal(err)
	}
	if err := c.receive(); err != nil {
		t.Errorf("the request behind the reset connection got no answer: %v", err)
	}
}
