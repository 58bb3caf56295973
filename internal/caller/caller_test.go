package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const request = "GET /%s HTTP/1.1\r\nHost: caller.example\r\n\r\n"

func newTestServer(t *testing.T, idle func() time.Duration, h http.HandlerFunc) (*Server, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if h == nil {
		h = func(http.ResponseWriter, *http.Request) {}
	}
	s := NewServer(Options{
		Handler:          h,
		IdleLimit:        idle,
		FirstByteTimeout: 2 * time.Second,
		HeaderTimeout:    func() time.Duration { return 2 * time.Second },
		OnClose:          func(Closing) {},
	})
	t.Cleanup(func() {
		_ = s.Close()
		_ = l.Close()
	})
	return s, l
}

func noLimit() time.Duration { return 0 }

type client struct {
	net.Conn

	in *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *client {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{
		Conn: c,
		in:   bufio.NewReader(c),
	}
}

func (c *client) receive() error {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// hasUnread reports whether bytes wait in the socket.
func hasUnread(t *testing.T, c net.Conn) bool {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		t.Fatal(err)
	}
	return n > 0
}

// TestBytesThatWaitAreRead guards against requests that wait in the socket and get no
// answer, because the process reads them only after the connection's deadline.
func TestBytesThatWaitAreRead(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		state   connState
		closing bool
		waiting bool
		reason  Reason
	}{
		{name: "first_request", state: stateFresh, waiting: true},
		{name: "first_request_at_the_stop", state: stateFresh, closing: true, waiting: true},
		{name: "idle", state: stateIdle, waiting: true},
		{name: "idle_at_the_stop", state: stateIdle, closing: true, waiting: true},
		{name: "within_the_header", state: stateReading, waiting: true},
		{name: "no_first_request", state: stateFresh, reason: HeaderTimeout},
		{name: "no_first_request_at_the_stop", state: stateFresh, closing: true, reason: Stop},
		{name: "nothing_on_an_idle_connection", state: stateIdle, reason: IdleLimit},
		{name: "nothing_at_the_stop", state: stateIdle, closing: true, reason: Stop},
		{name: "no_rest_of_the_header", state: stateReading, reason: HeaderTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, l := newTestServer(t, func() time.Duration { return time.Millisecond }, nil)
			var reason Reason
			s.opts.OnClose = func(c Closing) { reason = c.Reason }
			peer := dial(t, l)
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := s.track(accepted).(*trackedConn)
			c.state, s.closing = tc.state, tc.closing
			c.limit = time.Millisecond
			if tc.waiting {
				if _, err := peer.Write([]byte("GET")); err != nil {
					t.Fatal(err)
				}
				for !hasUnread(t, accepted) {
					time.Sleep(time.Millisecond)
				}
			}
			time.Sleep(5 * time.Millisecond)
			if err := accepted.SetReadDeadline(time.Now()); err != nil {
				t.Fatal(err)
			}
			var buf [readBufferSize]byte
			n, err := c.Read(buf[:])
			if tc.waiting && (n != 3 || err != nil || c.state != stateReading) {
				t.Errorf("read %d bytes, %v, state %d; want the bytes that wait", n, err, c.state)
			}
			if !tc.waiting && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read %d bytes, %v; want the end of the deadline", n, err)
			}
			if reason != tc.reason {
				t.Errorf("closed for %q, want %q", reason, tc.reason)
			}
		})
	}
}

// TestHeaderTimeoutHoldsForSlowCallers guards against a connection that is held open by
// a caller that sends its request byte by byte.
func TestHeaderTimeoutHoldsForSlowCallers(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	s.opts.HeaderTimeout = func() time.Duration { return 300 * time.Millisecond }
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		if _, err := c.Write([]byte("G")); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the connection was open for %v, want 300ms", took)
	}
}

// TestAcceptQueueIsServed guards against requests that get no answer because their
// connection waits in the accept queue when the listener closes.
func TestAcceptQueueIsServed(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	var clients []*client
	for i := range 8 {
		c := dial(t, l)
		if _, err := fmt.Fprintf(c, request, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := s.Serve(l); err != nil {
		t.Fatal(err)
	}
	for i, c := range clients {
		if err := c.receive(); err != nil {
			t.Errorf("request %d got no answer: %v", i, err)
		}
	}
}

// TestShutdownAnswersBegunRequests guards against requests that http.Server.Shutdown
// drops after it has read them: those whose header is read in part when it begins.
func TestShutdownAnswersBegunRequests(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	kept, fresh, idle := dial(t, l), dial(t, l), dial(t, l)
	for _, c := range []*client{kept, idle} {
		fmt.Fprintf(c, request, "first")
		if err := c.receive(); err != nil {
			t.Fatal(err)
		}
	}
	text := fmt.Sprintf(request, "second")
	for _, c := range []*client{kept, fresh} {
		if _, err := c.Write([]byte(text[:10])); err != nil {
			t.Fatal(err)
		}
	}
	for s.Counts().Busy < 2 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v", err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the server ended before the requests: %v", err)
	default:
	}
	for _, c := range []*client{kept, fresh} {
		if _, err := c.Write([]byte(text[10:])); err != nil {
			t.Fatal(err)
		}
		if err := c.receive(); err != nil {
			t.Errorf("a request that was read in part got no answer: %v", err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestEachRequestReadIsAnswered guards against requests that are read and dropped while
// callers reuse connections about as long as they may, the limit changes and the server
// stops.
func TestEachRequestReadIsAnswered(t *testing.T) {
	t.Parallel()
	const longest = 40 * time.Millisecond
	start := time.Now()
	limit := func() time.Duration {
		if time.Since(start)/(100*time.Millisecond)%2 == 0 {
			return longest
		}
		return longest / 2
	}
	var mu sync.Mutex
	read := make(map[string]bool)
	s, l := newTestServer(t, limit, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		read[r.URL.Path[1:]] = true
	})
	go func() { _ = s.Serve(l) }()
	stop := time.AfterFunc(time.Second, func() { _ = s.Shutdown(context.Background()) })
	defer stop.Stop()
	answered := make(map[string]bool)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			var c *client
			for n := 0; time.Since(start) < 1200*time.Millisecond; n++ {
				if c == nil {
					conn, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return
					}
					defer conn.Close()
					c = &client{
						Conn: conn,
						in:   bufio.NewReader(conn),
					}
				}
				id := fmt.Sprintf("%d-%d", i, n)
				text := fmt.Sprintf(request, id)
				cut := 1 + rng.IntN(len(text)-1)
				_, _ = c.Write([]byte(text[:cut]))
				time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Millisecond))))
				_, _ = c.Write([]byte(text[cut:]))
				if err := c.receive(); err != nil {
					c = nil
				} else {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
				time.Sleep(time.Duration(rng.Int64N(int64(longest * 5 / 4))))
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(answered) < 100 {
		t.Errorf("only %d requests were answered", len(answered))
	}
	for id := range read {
		if !answered[id] {
			t.Errorf("request %s was read and got no answer", id)
		}
	}
}

// TestUnansweredRequestIsReported guards against requests that are read and cut without
// a trace in the log.
func TestUnansweredRequestIsReported(t *testing.T) {
	t.Parallel()
	reasons := make(chan Reason, 2)
	s, l := newTestServer(t, noLimit, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	})
	s.opts.OnClose = func(c Closing) { reasons <- c.Reason }
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprintf(c, request, "answered")
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, request, "cut")
	if err := c.receive(); err == nil {
		t.Error("the request got an answer")
	}
	select {
	case reason := <-reasons:
		if reason != Unanswered {
			t.Errorf("closed for %q", reason)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request was not reported")
	}
}

// TestShutdownAfterTheListenerFailed guards against a shutdown that waits for ever for a
// listener that has failed before.
func TestShutdownAfterTheListenerFailed(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, nil)
	_ = l.Close()
	if err := s.Serve(l); err == nil {
		t.Error("the failure was not reported")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// TestBytesReadAheadAreAnswered guards against requests that get no answer because their
// first bytes were read together with the request before.
func TestBytesReadAheadAreAnswered(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		stop bool
	}{
		{name: "idle_limit"},
		{name: "stop", stop: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, l := newTestServer(t, func() time.Duration { return 100 * time.Millisecond }, nil)
			go func() { _ = s.Serve(l) }()
			c := dial(t, l)
			second := fmt.Sprintf(request, "second")
			if _, err := c.Write([]byte(fmt.Sprintf(request, "first") + second[:20])); err != nil {
				t.Fatal(err)
			}
			if err := c.receive(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			if tc.stop {
				s.CloseIdle()
			}
			time.Sleep(200 * time.Millisecond)
			_, _ = c.Write([]byte(second[20:]))
			if err := c.receive(); err != nil {
				t.Errorf("the request that was read in part got no answer: %v", err)
			}
		})
	}
}

// TestCloseWaitsForNothing guards against requests that get no answer because they arrive
// between the last look for bytes and the close: that time must not depend on other
// connections or on the log.
func TestCloseWaitsForNothing(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, func() time.Duration { return time.Millisecond }, nil)
	peer := dial(t, l)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := s.track(accepted).(*trackedConn)
	c.state, c.limit = stateIdle, time.Millisecond
	closed := make(chan error, 1)
	s.opts.OnClose = func(Closing) {
		_ = peer.SetReadDeadline(time.Now().Add(time.Second))
		_, err := peer.in.ReadByte()
		closed <- err
	}
	if err := accepted.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	var buf [readBufferSize]byte
	if n, err := c.Read(buf[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v; want the end of the deadline", n, err)
	}
	if err := <-closed; err != io.EOF {
		t.Errorf("the connection was open when its close was recorded: %v", err)
	}
}

// TestHijackedConnectionIsReset guards against a broken answer without a length that
// looks complete, since the connection's wrapper hides how to reset it.
func TestHijackedConnectionIsReset(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		if err := conn.(interface{ SetLinger(int) error }).SetLinger(0); err != nil {
			t.Error(err)
		}
		_ = conn.Close()
	})
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprintf(c, request, "a")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}
