package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestForms guards against a stand-in whose answers do not have the form that is asked for.
func TestForms(t *testing.T) {
	const id = "q1"
	body := Body(id, 300_000)
	for _, tc := range []struct {
		name string
		form Form
		// check reads what follows a request of which only the header is written yet; write
		// writes its body.
		check func(t *testing.T, in *bufio.Reader, write func())
	}{
		{name: "without a length", form: Unframed, check: func(t *testing.T, in *bufio.Reader, write func()) {
			write()
			res := readResponse(t, in)
			if data, err := io.ReadAll(res.Body); err != nil || string(data) != PlainAnswer(id) || res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
				t.Errorf("got %q (%v), length %d, %v", data, err, res.ContentLength, res.TransferEncoding)
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("the connection does not end: %v", err)
			}
		}},
		{name: "before the body is read", form: Early, check: func(t *testing.T, in *bufio.Reader, write func()) {
			res := readResponse(t, in)
			if data, err := io.ReadAll(res.Body); err != nil || string(data) != PlainAnswer(id) {
				t.Errorf("got %q (%v)", data, err)
			}
			write()
		}},
		{name: "followed by a copy", form: Repeated, check: func(t *testing.T, in *bufio.Reader, write func()) {
			write()
			for range 2 {
				res := readResponse(t, in)
				if data, err := io.ReadAll(res.Body); err != nil || string(data) != PlainAnswer(id) || res.Header.Get(headerRequestID) != id {
					t.Errorf("got %q (%v)", data, err)
				}
			}
		}},
		{name: "followed by an answer to another request", form: ForeignAfter, check: func(t *testing.T, in *bufio.Reader, write func()) {
			write()
			if _, err := io.Copy(io.Discard, readResponse(t, in).Body); err != nil {
				t.Error(err)
			}
			if got := readResponse(t, in).Header.Get(headerRequestID); got == id || got == "" {
				t.Errorf("the second answer is to %q", got)
			}
		}},
		{name: "head without end", form: EndlessHead, check: func(t *testing.T, in *bufio.Reader, write func()) {
			write()
			readMany(t, in)
		}},
		{name: "body without end", form: EndlessBody, check: func(t *testing.T, in *bufio.Reader, write func()) {
			write()
			readResponse(t, in)
			readMany(t, in)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, closeStore := NewStore(StoreOptions{})
			defer closeStore()
			journal := new(Journal)
			e := NewEndpoint(EndpointOptions{
				ID:                "e",
				Slots:             1,
				EventInterval:     time.Millisecond,
				HeartbeatInterval: time.Second,
				Store:             store,
				Journal:           journal,
			})
			address, release, err := e.Serve()
			if err != nil {
				t.Fatal(err)
			}
			defer release()
			e.SetFaults(EndpointFaults{
				Forms:     []Form{tc.form},
				FormRatio: 1,
			})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: e\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", headerRequestID, id, len(body))
			tc.check(t, bufio.NewReader(conn), func() {
				if _, err := conn.Write(body); err != nil {
					t.Error(err)
				}
			})
			// The arrival is recorded once the body is read.
			for until := time.Now().Add(5 * time.Second); tc.form != EndlessHead && tc.form != EndlessBody && len(journal.Arrivals()) == 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("the arrival is not recorded")
				}
			}
			if v := journal.Violations(); len(v) > 0 {
				t.Error(v)
			}
		})
	}
}

func readResponse(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// readMany reads more than any answer of the stand-in has.
func readMany(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if n, err := io.CopyN(io.Discard, in, 1<<20); err != nil {
		t.Errorf("the answer ends after %d bytes: %v", n, err)
	}
}

// TestOtherBody guards against a stand-in that overlooks a body that was changed on the way.
func TestOtherBody(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
		want bool
	}{
		{name: "as sent", body: string(Body("q1", 1000))},
		{name: "that of another request", body: string(Body("q2", 1000)), want: true},
		{name: "a piece twice", body: string(Body("q1", 1000)) + string(Body("q1", 1000)), want: true},
		{name: "not a long body", body: "{}"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := NewEndpoint(EndpointOptions{
				ID:      "e",
				Slots:   1,
				Journal: new(Journal),
			})
			r, err := http.NewRequest(http.MethodPost, "http://e/", strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			e.readBody(r, "q1", 0)
			if got := len(e.opts.Journal.Violations()) > 0; got != tc.want {
				t.Errorf("reported %v, want %v", got, tc.want)
			}
		})
	}
}
