package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id        string
	node      *node
	method    string
	path      string
	model     string
	prefix    string
	lastEvent string
	timeout   time.Duration
}

// answer is what the caller saw.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
}

// send sends a request on a new connection and reads the answer to its end, or up to
// limit bytes. onEvent, if set, gets the id of each event of a stream as it arrives, and
// ends the reading by returning false.
func (w *world) send(q request, limit int64, onEvent func(id int) bool) answer {
	began := time.Now()
	a := w.sendOnce(q, limit, onEvent)
	a.elapsed = time.Since(began)
	return a
}

func (w *world) sendOnce(q request, limit int64, onEvent func(id int) bool) answer {
	// The caller leaves a little after its deadline.
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.node.callers+q.path, io.NopCloser(strings.NewReader("{}")))
	if err != nil {
		return answer{
			err: err,
		}
	}
	r.ContentLength = 2
	r.Host = callerHost
	r.Header.Set(headerID, q.id)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.model != "" {
		r.Header.Set(headerModel, q.model)
		r.Header.Set(headerTokens, "200,80")
		r.Header.Set(headerPrefix, q.prefix)
	}
	if q.lastEvent != "" {
		r.Header.Set(headerLastEvent, q.lastEvent)
	}
	t := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(r)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	out := answer{
		status: res.StatusCode,
		header: res.Header,
	}
	if onEvent == nil {
		out.body, out.err = io.ReadAll(io.LimitReader(res.Body, limit))
		return out
	}
	lines := bufio.NewReader(res.Body)
	var body bytes.Buffer
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(text)
			if !onEvent(n) {
				out.err = errStopped
				break
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			out.err = err
			break
		}
	}
	out.body = body.Bytes()
	return out
}

var errStopped = errors.New("the caller closed the connection")

// describe returns an answer as the record has it.
func (a answer) describe() string {
	text := "no answer"
	if a.status != 0 {
		text = "status " + strconv.Itoa(a.status) + ", " + strconv.Itoa(len(a.body)) + " bytes read"
		if s := a.header.Get(headerStamp); s != "" {
			text += ", stamp " + s
		}
		if s := a.header.Get("Retry-After"); s != "" {
			text += ", Retry-After " + s
		}
	}
	if a.err != nil {
		text += ", " + a.err.Error()
	}
	return text + ", after " + strconv.FormatInt(a.elapsed.Milliseconds(), 10) + " ms"
}
