package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startAnswering starts a server that handles each connection itself and returns its address.
func startAnswering(t *testing.T, handle func(c *net.TCPConn, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readHead reads the head of a request, not its body.
func readHead(in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

// sendAnd sends a request and returns the body of its answer.
func sendAnd(t *testing.T, tr *Transport, address string, size int) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := tr.Send(req, make([]byte, size))
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

const openAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of the body"

// TestResetAnswerIsNotWhole guards against a part of an answer without a length that is
// taken for the whole, because the system reported the reset of the connection to the write
// of the request and the end of the connection to the read (MIXED).
func TestResetAnswerIsNotWhole(t *testing.T) {
	for _, tc := range []struct {
		name string
		size int
		// wait is the time from the answer to the reset.
		wait time.Duration
	}{
		{name: "long upload", size: 8 << 20, wait: 30 * time.Millisecond},
		{name: "long upload, at once", size: 8 << 20},
		{name: "upload of a few packets", size: 200 << 10, wait: 2 * time.Millisecond},
		{name: "no body", size: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := startAnswering(t, func(c *net.TCPConn, in *bufio.Reader) {
				if tc.size > 0 {
					readHead(in)
				}
				_, _ = io.WriteString(c, openAnswer)
				time.Sleep(tc.wait)
				_ = c.SetLinger(0)
			})
			tr, release := NewTransport(Options{})
			defer release()
			whole := 0
			const tries = 50
			for range tries {
				if _, body, err := sendAnd(t, tr, address, tc.size); err == nil {
					whole++
					if body != "part of the body" {
						t.Errorf("body %q", body)
					}
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset count as whole", whole, tries)
			}
		})
	}
}

// TestAnswerWithoutLengthIsWhole guards against sound answers that end with their connection
// and are taken for broken, one that begins before the request was read included.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle func(c *net.TCPConn, in *bufio.Reader)
	}{
		{name: "after the request", handle: func(c *net.TCPConn, in *bufio.Reader) {
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, openAnswer)
		}},
		{name: "before the body was read", handle: func(c *net.TCPConn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, openAnswer)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := startAnswering(t, tc.handle)
			tr, release := NewTransport(Options{})
			defer release()
			for _, size := range []int{0, 100, 8 << 20} {
				for range 10 {
					if _, body, err := sendAnd(t, tr, address, size); err != nil || body != "part of the body" {
						t.Fatalf("%d bytes: %q, %v", size, body, err)
					}
				}
			}
		})
	}
}
