package conn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// startDroppingServer starts a server that answers the first request of each
// connection and closes the connection without a response on the second. It
// returns the address and the number of requests read so far.
func startDroppingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var read atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					// An empty POST body is sent with chunked encoding.
					_, _ = io.Copy(io.Discard, req.Body)
					read.Add(1)
					if n == 0 {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &read
}

// TestSendDoesNotRepeat guards against a booking that runs twice because the
// transport resends a request whose response was lost.
func TestSendDoesNotRepeat(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			addr, read := startDroppingServer(t)
			tr, release := NewTransport(Options{})
			defer release()
			for n := range 2 {
				req, err := http.NewRequest(method, "http://"+addr, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Idempotency-Key", "k")
				res, err := tr.Send(req, nil)
				if n == 0 {
					if err != nil {
						t.Fatal(err)
					}
					res.Body.Close()
					continue
				}
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Fatalf("got %v, want an error other than *NotSentError", err)
				}
			}
			if got := read.Load(); got != 2 {
				t.Errorf("the server read %d requests, want 2", got)
			}
		})
	}
}

// TestSendNotSent guards against a request that is not reported as unsent
// although nothing was written, which would prevent its retry.
func TestSendNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	l.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		opts Options
	}{
		{
			name: "refused",
			ctx:  context.Background(),
		},
		{
			name: "cancelled before",
			ctx:  cancelled,
		},
		{
			name: "dial timeout",
			ctx:  context.Background(),
			opts: Options{
				DialTimeout: 10 * time.Millisecond,
				Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, release := NewTransport(tt.opts)
			defer release()
			req, err := http.NewRequestWithContext(tt.ctx, http.MethodPost, "http://"+refused, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, err = tr.Send(req, []byte("body"))
			var notSent *NotSentError
			if !errors.As(err, &notSent) {
				t.Errorf("got %v, want *NotSentError", err)
			}
		})
	}
}

// TestSeal guards against a write that happens after the request was reported
// as not sent.
func TestSeal(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := newTrackedConn(a)
	var w writeTracker
	w.conns, w.initialWrites = []*trackedConn{c}, []int64{c.writeCount()}
	if !w.seal() {
		t.Fatal("a connection without writes was not reported as unused")
	}
	_ = a.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Write([]byte("x")); !errors.Is(err, ErrSealed) {
		t.Errorf("write after seal: got %v, want ErrSealed", err)
	}
	_ = a.SetWriteDeadline(time.Time{})
	c.sealed = false
	go func() { _, _ = c.Write([]byte("x")) }()
	for c.writeCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	if w.seal() {
		t.Error("a connection with a write in progress was reported as unused")
	}
}

// TestCheckBeforeFirstByte guards against sending a request whose permission
// expired while its connection was being opened.
func TestCheckBeforeFirstByte(t *testing.T) {
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
	}))
	defer srv.Close()
	tr, release := NewTransport(Options{})
	defer release()
	refused := errors.New("too late")
	for _, want := range []error{nil, refused, nil} {
		req, err := http.NewRequest(http.MethodPost, srv.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := tr.SendChecked(req, Body{[]byte("x")}, func() error { return want })
		if err == nil {
			res.Body.Close()
		}
		var notSent *NotSentError
		if !errors.Is(err, want) || want != nil && !errors.As(err, &notSent) {
			t.Errorf("error is %v, want %v", err, want)
		}
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("the server got %d requests, want 2", n)
	}
}

// TestSendAgain guards against sending a request again on a connection on which a second
// copy of its earlier response may arrive, and against a resend of such a request.
func TestSendAgain(t *testing.T) {
	addr, read := startDroppingServer(t)
	tr, release := NewTransport(Options{})
	defer release()
	for n := range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		send := tr.SendAgain
		if n == 0 {
			send = tr.SendChecked
		}
		// The server drops the second request of a connection.
		res, err := send(req, nil, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		res.Body.Close()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	refused := errors.New("refused")
	var notSent *NotSentError
	if _, err := tr.SendAgain(req, nil, func() error { return refused }); !errors.As(err, &notSent) || !errors.Is(err, refused) {
		t.Errorf("got %v, want a *NotSentError of the check", err)
	}
	if got := read.Load(); got != 3 {
		t.Errorf("the server read %d requests, want 3", got)
	}
}
