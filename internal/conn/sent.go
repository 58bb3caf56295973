package conn

import (
	"bytes"
	"strconv"
	"strings"
)

// sentRequest follows how much of a request was written to a connection.
type sentRequest struct {
	// head is what was written of the head, until it is whole.
	head []byte
	// hasHead is set then. rest is how many bytes of the body are left, or -1 if it ends
	// with its last chunk.
	hasHead bool
	rest    int64
	// tail holds the last bytes of a body in chunks.
	tail []byte
}

const (
	headEnd   = "\r\n\r\n"
	lastChunk = "0\r\n\r\n"
)

// isBegun reports whether a byte of the request was written.
func (s *sentRequest) isBegun() bool { return s.hasHead || len(s.head) > 0 }

// isWhole reports whether the request was written to its end.
func (s *sentRequest) isWhole() bool {
	if !s.hasHead || s.rest > 0 {
		return false
	}
	return s.rest == 0 || string(s.tail) == lastChunk || strings.HasSuffix(string(s.tail), "\r\n"+lastChunk)
}

// add counts bytes that were written.
func (s *sentRequest) add(p []byte) {
	if !s.hasHead {
		s.head = append(s.head, p...)
		end := bytes.Index(s.head, []byte(headEnd))
		if end < 0 {
			return
		}
		p = s.head[end+len(headEnd):]
		s.rest = bodyLength(string(s.head[:end+len("\r\n")]))
		s.hasHead, s.head = true, nil
	}
	switch {
	case s.rest > 0:
		s.rest = max(0, s.rest-int64(len(p)))
	case s.rest < 0:
		s.tail = append(s.tail, p...)
		if more := len(s.tail) - len("\r\n"+lastChunk); more > 0 {
			s.tail = append(s.tail[:0], s.tail[more:]...)
		}
	}
}

// bodyLength returns the length of a request's body by its head, or -1 if it has chunks.
// http.Transport writes the names in this form.
func bodyLength(head string) int64 {
	if strings.Contains(head, "\r\nTransfer-Encoding: chunked\r\n") {
		return -1
	}
	_, after, ok := strings.Cut(head, "\r\nContent-Length: ")
	if !ok {
		return 0
	}
	text, _, _ := strings.Cut(after, "\r\n")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
