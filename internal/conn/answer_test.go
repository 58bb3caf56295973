package conn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// TestHeads guards against bytes that are no answer in the protocol and are passed on as
// one, with fields that hide the length of the body (MIXED).
func TestHeads(t *testing.T) {
	for _, tc := range []struct {
		name string
		head string
		ok   bool
	}{
		{name: "plain", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", ok: true},
		{name: "without a reason", head: "HTTP/1.1 200\r\nContent-Length: 2\r\n", ok: true},
		{name: "with an empty reason", head: "HTTP/1.1 200 \r\nContent-Length: 2\r\n", ok: true},
		{name: "protocol 1.0", head: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n", ok: true},
		{name: "all punctuation of names", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n!#$%&'*+-.^_`|~09Az: y\r\n", ok: true},
		{name: "tab and bytes above 127 in a value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\tb\xc3\xa9\r\n", ok: true},
		{name: "lines that end with LF", head: "HTTP/1.1 200 OK\nContent-Length: 2\n", ok: true},
		{name: "folded value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\r\n b\r\n", ok: true},
		{name: "empty value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX:\r\n", ok: true},
		{name: "interim answers", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n", ok: true},
		{name: "the same length twice", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n", ok: true},
		{name: "status 599", head: "HTTP/1.1 599 x\r\nContent-Length: 2\r\n", ok: true},
		{name: "status 000", head: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n"},
		{name: "status 001", head: "HTTP/1.1 001 OK\r\nContent-Length: 2\r\n"},
		{name: "status 099", head: "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n"},
		{name: "status 600", head: "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n"},
		{name: "status 999", head: "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n"},
		{name: "status +20", head: "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n"},
		{name: "status -20", head: "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n"},
		{name: "status of two digits", head: "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n"},
		{name: "status of four digits", head: "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n"},
		{name: "switch of protocols", head: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n"},
		{name: "switch of protocols without an upgrade", head: "HTTP/1.1 101 x\r\nContent-Length: 2\r\n"},
		{name: "protocol 9.9", head: "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n"},
		{name: "protocol 2.0", head: "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n"},
		{name: "protocol in small letters", head: "http/1.1 200 OK\r\nContent-Length: 2\r\n"},
		{name: "two blanks before the status", head: "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n"},
		{name: "tab before the status", head: "HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n"},
		{name: "control byte in the reason", head: "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n"},
		{name: "empty line first", head: "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"},
		{name: "blank before the colon of the length", head: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n"},
		{name: "blank before the colon of the coding", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"},
		{name: "tab before the colon", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\t: 2\r\n"},
		{name: "blank in a name", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: 2\r\n"},
		{name: "control byte in a name", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x01Y: 2\r\n"},
		{name: "delete in a name", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x7f: 2\r\n"},
		{name: "a name beyond ASCII", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\xe9: 2\r\n"},
		{name: "separator in a name", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX(Y): 2\r\n"},
		{name: "empty name", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n: 2\r\n"},
		{name: "no colon", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\r\n"},
		{name: "control byte in a value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\x02b\r\n"},
		{name: "CR in a value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\rb\r\n"},
		{name: "NUL in a folded value", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\r\n b\x00\r\n"},
		{name: "blank before the first name", head: "HTTP/1.1 200 OK\r\n X: 2\r\nContent-Length: 2\r\n"},
		{name: "length and coding", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"},
		{name: "coding in protocol 1.0", head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"},
		{name: "two lengths", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n"},
		{name: "length with a sign", head: "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n"},
		{name: "folded length", head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 1\r\n"},
		{name: "an interim answer with a bad name", head: "HTTP/1.1 103 x\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"},
		{name: "a bad status after an interim answer", head: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n"},
	} {
		for _, split := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", tc.name, split), func(t *testing.T) {
				address := startAnswering(t, func(c *net.TCPConn, in *bufio.Reader) {
					readHead(in)
					text := tc.head + "\r\nok"
					if strings.Contains(tc.head, "chunked") {
						text = tc.head + "\r\n2\r\nok\r\n0\r\n\r\n"
					}
					if !split {
						_, _ = io.WriteString(c, text)
					}
					for i := 0; split && i < len(text); i++ {
						_, _ = c.Write([]byte{text[i]})
						if i%16 == 0 {
							time.Sleep(50 * time.Microsecond)
						}
					}
					// The client has to read it before the end of the connection.
					time.Sleep(20 * time.Millisecond)
				})
				tr, release := NewTransport(Options{})
				defer release()
				res, body, err := sendAnd(t, tr, address, 0)
				if !tc.ok {
					var notSent *NotSentError
					if err == nil || errors.As(err, &notSent) {
						t.Fatalf("got %v, %q, %v; want an error of a request that may have run", res.StatusCode, body, err)
					}
					return
				}
				if err != nil || body != "ok" {
					t.Errorf("body %q, %v", body, err)
				}
			})
		}
	}
}
