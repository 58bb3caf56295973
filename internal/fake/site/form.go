package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Form is the form of an answer on its connection.
type Form int

// Forms of answers.
const (
	// Usual is the zero value: an answer with a length or in chunks.
	Usual Form = iota
	// Unframed has neither and ends with its connection.
	Unframed
	// Early is sent before the body of the request is read, which is read on afterwards.
	Early
	// Repeated is followed by a copy and ForeignAfter by an answer to another request,
	// both late on the connection.
	Repeated
	ForeignAfter
	// ResetPart is a part of an answer without a length, before the body of the request is
	// read, whose connection is reset then.
	ResetPart
	// OddHead is an answer whose head is none in the protocol.
	OddHead
	// EndlessHead and EndlessBody are bytes that are no answer, until the client closes.
	EndlessHead
	EndlessBody
)

const (
	// maxSecondDelay is how late a second answer comes at most.
	maxSecondDelay = 400 * time.Millisecond
	// secondLead is how long before the arrival of a request a second answer may have been
	// written that its sender reads instead of the answer.
	secondLead = 100 * time.Millisecond
	// endlessLimit is how long a client may read an answer without end.
	endlessLimit = 20 * time.Second
	// bodyPiece and bodyPause set the rate at which a body is read on after an early answer.
	bodyPiece = 32 << 10
	bodyPause = 10 * time.Millisecond
	// bodyMark begins a body whose content endpoints check.
	bodyMark = "body of "
)

// Body returns a long body for a request, whose content endpoints check.
func Body(id string, size int) []byte {
	piece := bodyMark + id + "\n"
	return []byte(strings.Repeat(piece, size/len(piece)+1)[:size])
}

// connState is what an endpoint knows of a connection.
type connState struct {
	idle bool
	// second is when a second answer was written last.
	second time.Time
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// drawForm draws the form of an answer.
func (f EndpointFaults) drawForm() Form {
	if len(f.Forms) == 0 || rand.Float64() >= f.FormRatio {
		return Usual
	}
	return f.Forms[rand.IntN(len(f.Forms))]
}

// readBody reads the body of a request and checks its content. It returns false if the
// client disconnects first.
func (e *Endpoint) readBody(r *http.Request, id string, pause time.Duration) bool {
	var data bytes.Buffer
	for {
		n, err := io.CopyN(&data, r.Body, bodyPiece)
		if err == io.EOF {
			break
		}
		if err != nil || n == 0 {
			return false
		}
		time.Sleep(pause)
	}
	got := data.Bytes()
	if bytes.HasPrefix(got, []byte(bodyMark)) && !bytes.Equal(got, Body(id, len(got))) {
		e.opts.Journal.violationf("endpoint %s got another body with request %s", e.opts.ID, id)
	}
	if r.ContentLength >= 0 && r.ContentLength != int64(len(got)) {
		e.opts.Journal.violationf("endpoint %s got %d bytes of %d of the body of request %s", e.opts.ID, len(got), r.ContentLength, id)
	}
	return true
}

// writeSecond writes a second answer on the connection of a request, late and only if the
// connection is idle then.
func (e *Endpoint) writeSecond(r *http.Request, id string, form Form) {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	if form == ForeignAfter {
		id += "-foreign"
	}
	body := PlainAnswer(id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s.%s\r\n\r\n%s", len(body), headerRequestID, id, headerStamp, e.opts.ID, id, body)
	e.background.Go(func() {
		select {
		case <-time.After(rand.N(maxSecondDelay)):
		case <-e.stopped:
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if c := e.conns[conn]; c != nil && c.idle {
			c.second = time.Now()
			// An error means that the client has disconnected.
			_, _ = io.WriteString(conn, answer)
		}
	})
}

// metSecond reports whether the client may have read a second answer instead of that to a
// request that arrived at an instant.
func (e *Endpoint) metSecond(r *http.Request, arrived time.Time) bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.conns[conn]
	return c != nil && c.second.After(arrived.Add(-secondLead))
}

// oddHeads are heads that are none in the protocol, each with what is wrong.
var oddHeads = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: %d\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : %d\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX Y: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX\x02Y: 1\r\n",
	"HTTP/9.9 200 OK\r\nContent-Length: %d\r\n",
}

// maxResetDelay is how long after a part of an answer its connection is reset at most.
const maxResetDelay = 30 * time.Millisecond

// writeOdd sends an answer that is none, or a part of one and a reset.
func (e *Endpoint) writeOdd(w http.ResponseWriter, id string, form Form) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := PlainAnswer(id)
	head := "HTTP/1.1 200 OK\r\n"
	if form == OddHead {
		head = fmt.Sprintf(oddHeads[rand.IntN(len(oddHeads))], len(body))
	} else {
		body = body[:len(body)/2]
		if tcp, ok := conn.(*net.TCPConn); ok {
			defer func() { _ = tcp.SetLinger(0) }()
		}
	}
	// An error means that the client has disconnected.
	_, _ = fmt.Fprintf(conn, "%s%s: %s\r\n%s: %s.%s\r\n\r\n%s", head, headerRequestID, id, headerStamp, e.opts.ID, id, body)
	time.Sleep(rand.N(maxResetDelay))
}

// writeEndless sends bytes that are no answer until the client closes the connection.
func (e *Endpoint) writeEndless(w http.ResponseWriter, id string, form Form) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head, piece := "HTTP/1.1 200 OK\r\n", "X-Pad: "+strings.Repeat("x", 8<<10)+"\r\n"
	if form == EndlessBody {
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: %s.%s\r\n\r\n", headerRequestID, id, headerStamp, e.opts.ID, id)
		piece = strings.Repeat("x", 8<<10)
	}
	_, err = io.WriteString(conn, head)
	for until := time.Now().Add(endlessLimit); err == nil && !isClosed(e.stopped); {
		if time.Now().After(until) {
			e.opts.Journal.violationf("endpoint %s: the client of %s still reads an answer without end after %v", e.opts.ID, id, endlessLimit)
			return
		}
		time.Sleep(2 * time.Millisecond)
		_, err = io.WriteString(conn, piece)
	}
}
