package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
)

// statusOf reads one answer.
func (c *client) statusOf(t *testing.T) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode
}

// limitRecord holds the limits that have ended connections.
type limitRecord struct {
	mu    sync.Mutex
	names []string
}

func (r *limitRecord) onClose(c Closing) {
	if c.Reason != Limited {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, c.Limit.Name)
}

// mustHave waits until it is recorded that a limit has ended a connection. The answer comes
// first, since nothing may delay it.
func (r *limitRecord) mustHave(t *testing.T, name string) {
	t.Helper()
	var names []string
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		names = slices.Clone(r.names)
		r.mu.Unlock()
		if slices.Contains(names, name) {
			return
		}
	}
	t.Errorf("the limits that ended connections are %q, without %q", names, name)
}

// uploadHandler answers 200 to a whole body, and otherwise with a status for the error.
func uploadHandler(limit func() int64, wait func() time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u := Upload{
			Limit: limit,
		}
		if d := wait(); d > 0 {
			u.Until = time.Now().Add(d)
		}
		_, err := ReadBody(w, r, u)
		switch {
		case errors.Is(err, ErrBodyTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrBodiesFull):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrBodyStalled), errors.Is(err, ErrBodyLate):
			w.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
	}
}

const oneMiB = 1 << 20

func maxOneMiB() int64 { return oneMiB }

func startUpload(t *testing.T, c *client, size, sent int) {
	t.Helper()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: caller.example\r\nContent-Length: %d\r\n\r\n", size)
	if _, err := c.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
}

// TestStalledBodyGivesWay guards against bodies that have stopped and keep the memory from
// one that makes progress, and against small requests that wait for them.
func TestStalledBodyGivesWay(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, uploadHandler(maxOneMiB, noLimit))
	var record limitRecord
	s.opts.OnClose = record.onClose
	s.opts.Budget = budget.NewPool(budget.Limits{
		budget.Conns:  10,
		budget.Heads:  oneMiB,
		budget.Bodies: 300 << 10,
	})
	go func() { _ = s.Serve(l) }()
	stalled := dial(t, l)
	startUpload(t, stalled, 300<<10, 300<<10-1)
	for s.opts.Budget.Used(budget.Bodies) < 250<<10 {
		time.Sleep(time.Millisecond)
	}
	small := dial(t, l)
	startUpload(t, small, 1000, 1000)
	if got := small.statusOf(t); got != http.StatusOK {
		t.Errorf("a small request got %d", got)
	}
	// The other has stopped by now.
	time.Sleep(time.Second)
	large := dial(t, l)
	startUpload(t, large, 300<<10, 300<<10)
	if got := large.statusOf(t); got != http.StatusOK {
		t.Errorf("a body that arrives whole got %d", got)
	}
	if got := stalled.statusOf(t); got != http.StatusRequestTimeout {
		t.Errorf("the body that has stopped got %d", got)
	}
	record.mustHave(t, "bodies")
}

// TestBodiesThatArriveKeepTheirMemory guards against bodies that are refused shortly before
// their end for ones that begin later.
func TestBodiesThatArriveKeepTheirMemory(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, uploadHandler(maxOneMiB, noLimit))
	s.opts.Budget = budget.NewPool(budget.Limits{
		budget.Conns:  10,
		budget.Heads:  oneMiB,
		budget.Bodies: 300 << 10,
	})
	go func() { _ = s.Serve(l) }()
	first := dial(t, l)
	startUpload(t, first, 300<<10, 200<<10)
	for s.opts.Budget.Used(budget.Bodies) < 150<<10 {
		time.Sleep(time.Millisecond)
	}
	later := dial(t, l)
	fmt.Fprintf(later, "POST / HTTP/1.1\r\nHost: caller.example\r\nContent-Length: %d\r\n\r\n", 300<<10)
	var sending sync.WaitGroup
	sending.Go(func() { _, _ = later.Write(make([]byte, 300<<10)) })
	for range 10 {
		if _, err := first.Write(make([]byte, 10<<10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := first.statusOf(t); got != http.StatusOK {
		t.Errorf("the first body got %d", got)
	}
	if got := later.statusOf(t); got != http.StatusServiceUnavailable && got != http.StatusOK {
		t.Errorf("the later body got %d", got)
	}
	sending.Wait()
	if used := s.opts.Budget.Used(budget.Bodies); used != 0 {
		t.Errorf("%d bytes stay in use", used)
	}
}

// TestLimitsBindOnOpenConnections guards against limits that a new configuration changes and
// that an open connection doesn't know.
func TestLimitsBindOnOpenConnections(t *testing.T) {
	t.Parallel()
	var maxBody, maxHead atomic.Int64
	maxBody.Store(oneMiB)
	maxHead.Store(32 << 10)
	s, l := newTestServer(t, noLimit, uploadHandler(maxBody.Load, noLimit))
	s.opts.MaxHeaderBytes = func() int { return int(maxHead.Load()) }
	var record limitRecord
	s.opts.OnClose = record.onClose
	go func() { _ = s.Serve(l) }()
	head := "GET / HTTP/1.1\r\nHost: caller.example\r\nX-Long: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	for _, tc := range []struct {
		name   string
		change func()
		send   func(c *client)
		status int
		limit  string
	}{
		{
			name:   "head",
			change: func() { maxHead.Store(8 << 10) },
			send:   func(c *client) { fmt.Fprint(c, head) },
			status: http.StatusRequestHeaderFieldsTooLarge,
			limit:  "head-bytes",
		},
		{
			name:   "body",
			change: func() { maxBody.Store(1000) },
			send:   func(c *client) { startUpload(t, c, 2000, 2000) },
			status: http.StatusRequestEntityTooLarge,
			limit:  "body-bytes",
		},
		{
			name:   "a body without a length",
			change: func() { maxBody.Store(1000) },
			send: func(c *client) {
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: caller.example\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n%s\r\n0\r\n\r\n", make([]byte, 2000))
			},
			status: http.StatusRequestEntityTooLarge,
			limit:  "body-bytes",
		},
	} {
		maxBody.Store(oneMiB)
		maxHead.Store(32 << 10)
		c := dial(t, l)
		tc.send(c)
		if got := c.statusOf(t); got != http.StatusOK {
			t.Errorf("%s: status %d within the limit", tc.name, got)
		}
		tc.change()
		tc.send(c)
		if got := c.statusOf(t); got != tc.status {
			t.Errorf("%s: status %d beyond the limit, want %d", tc.name, got, tc.status)
		}
		record.mustHave(t, tc.limit)
	}
}

// TestBodyEndsAtItsDeadline guards against bodies that never end and keep their request
// beyond the time for which its caller waits.
func TestBodyEndsAtItsDeadline(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, uploadHandler(maxOneMiB, func() time.Duration { return 200 * time.Millisecond }))
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	startUpload(t, c, 1000, 999)
	if got := c.statusOf(t); got != http.StatusRequestTimeout {
		t.Errorf("status %d", got)
	}
}

// TestIdleConnectionsGiveWay guards against a connection that is refused while others have
// no request, and against one that is ended although its request has begun.
func TestIdleConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s, l := newTestServer(t, noLimit, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	var record limitRecord
	s.opts.OnClose, s.opts.LastAnswer = record.onClose, RequestTimeout
	s.opts.Budget = budget.NewPool(budget.Limits{
		budget.Conns: 2,
		budget.Heads: oneMiB,
	})
	go func() { _ = s.Serve(l) }()
	busy, idle := dial(t, l), dial(t, l)
	fmt.Fprintf(busy, request, "slow")
	fmt.Fprintf(idle, request, "quick")
	if got := idle.statusOf(t); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	next := dial(t, l)
	fmt.Fprintf(next, request, "quick")
	if got := next.statusOf(t); got != http.StatusOK {
		t.Errorf("the next connection got %d", got)
	}
	if got := idle.statusOf(t); got != http.StatusRequestTimeout {
		t.Errorf("the idle connection got %d", got)
	}
	fmt.Fprintf(next, request, "slow")
	// Both are in work: nobody gives way.
	for s.Counts().Busy < 2 {
		time.Sleep(time.Millisecond)
	}
	refused := dial(t, l)
	if got := refused.statusOf(t); got != http.StatusServiceUnavailable {
		t.Errorf("a connection beyond the limit got %d", got)
	}
	close(release)
	for _, c := range []*client{busy, next} {
		if got := c.statusOf(t); got != http.StatusOK {
			t.Errorf("a request in work got %d", got)
		}
	}
	record.mustHave(t, "connections")
}

// TestRefusalOfStalledBody guards against a refusal that waits for the rest of a body which its
// handler does not read, and which has stopped.
func TestRefusalOfStalledBody(t *testing.T) {
	t.Parallel()
	s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) })
	go func() { _ = s.Serve(l) }()
	stalled, whole := dial(t, l), dial(t, l)
	startUpload(t, stalled, 1000, 999)
	if got := stalled.statusOf(t); got != http.StatusBadRequest {
		t.Errorf("status %d", got)
	}
	for range 2 {
		// A body that arrives leaves the connection in use.
		startUpload(t, whole, 1000, 1000)
		if got := whole.statusOf(t); got != http.StatusBadRequest {
			t.Errorf("status %d after a whole body", got)
		}
	}
}

// TestUnreadAnswerEnds guards against callers that send requests, read no answers and hold a
// connection for good.
func TestUnreadAnswerEnds(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	s, l := newTestServer(t, noLimit, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 32<<20))
		ended <- err
	})
	var record limitRecord
	s.opts.OnClose = record.onClose
	go func() { _ = s.Serve(l) }()
	c := dial(t, l)
	fmt.Fprintf(c, request, "large")
	select {
	case err := <-ended:
		if err == nil {
			t.Error("an answer that nobody reads was written")
		}
	case <-time.After(4 * writeTime):
		t.Error("the write goes on")
	}
	record.mustHave(t, "answer-unread")
}
