package conn

import (
	"bytes"
	"fmt"
	"strings"
)

// HeadError reports bytes that are no head of an answer. The request may have run.
type HeadError struct {
	// Why says what is wrong with Line, which is cut.
	Why  string
	Line string
}

// Error implements error.
func (e *HeadError) Error() string { return fmt.Sprintf("conn: no answer: %s: %q", e.Why, e.Line) }

// maxHeadLine bounds a line of a head, in bytes. http.Transport bounds the whole head.
const maxHeadLine = maxResponseHeaderBytes

// headJudge follows the head of an answer as it arrives and decides whether it is one, by
// the grammar of RFC 9112. It is stricter than net/http where that reads a field under
// another name, or the end of the body at another place, than the next reader may.
type headJudge struct {
	isDone bool
	line   []byte
	// lines is how many lines of the head were read, the status line included.
	lines     int
	isInterim bool
	isOld     bool
	hasLength bool
	hasCoding bool
}

// add judges a part of what was read.
func (h *headJudge) add(p []byte) error {
	for !h.isDone && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line = append(h.line, p...)
			if len(h.line) > maxHeadLine {
				return h.fail("a line is too long")
			}
			return nil
		}
		h.line = append(h.line, p[:end]...)
		p = p[end+1:]
		h.line = bytes.TrimSuffix(h.line, []byte("\r"))
		if err := h.endLine(); err != nil {
			return err
		}
		h.line = h.line[:0]
	}
	return nil
}

func (h *headJudge) fail(why string) error {
	const shown = 60
	return &HeadError{
		Why:  why,
		Line: string(h.line[:min(len(h.line), shown)]),
	}
}

// endLine judges a whole line.
func (h *headJudge) endLine() error {
	h.lines++
	switch {
	case h.lines == 1:
		return h.judgeStatus()
	case len(h.line) > 0:
		return h.judgeField()
	case h.hasCoding && h.hasLength:
		return h.fail("the body has a length and a coding")
	case h.hasCoding && h.isOld:
		return h.fail("HTTP/1.0 has no codings")
	}
	isInterim := h.isInterim
	*h = headJudge{
		isDone: !isInterim,
	}
	return nil
}

// judgeStatus judges the first line, "HTTP/1.x SP 3DIGIT [SP reason]".
func (h *headJudge) judgeStatus() error {
	const version, length = "HTTP/1.", len("HTTP/1.1 200")
	text := string(h.line)
	if len(text) < length || !strings.HasPrefix(text, version) || !isDigit(text[len(version)]) || text[len(version)+1] != ' ' {
		return h.fail("the first line is not that of an answer")
	}
	status := text[length-3 : length]
	if !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || len(text) > length && text[length] != ' ' {
		return h.fail("the status is not a number of three digits")
	}
	switch {
	case status < "100" || status > "599":
		return h.fail("the status is not from 100 to 599")
	case status == "101":
		return h.fail("nobody asked for another protocol")
	case !isText(h.line):
		return h.fail("control byte")
	}
	h.isInterim = status[0] == '1'
	h.isOld = text[len(version)] == '0'
	return nil
}

// judgeField judges the line of a field, or one that continues the value before it.
func (h *headJudge) judgeField() error {
	if h.line[0] == ' ' || h.line[0] == '\t' {
		switch {
		case h.lines == 2:
			return h.fail("blank before the name of a field")
		case !isText(h.line):
			return h.fail("control byte in the value of a field")
		}
		return nil
	}
	name, value, ok := bytes.Cut(h.line, []byte(":"))
	switch {
	case !ok:
		return h.fail("a field has no value")
	case !isToken(name):
		return h.fail("the name of a field has a byte that none may have")
	case !isText(value):
		return h.fail("control byte in the value of a field")
	}
	h.hasLength = h.hasLength || strings.EqualFold(string(name), "Content-Length")
	h.hasCoding = h.hasCoding || strings.EqualFold(string(name), "Transfer-Encoding")
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether bytes may stand in the value of a field.
func isText(p []byte) bool {
	for _, b := range p {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether bytes may be the name of a field.
func isToken(p []byte) bool {
	for _, b := range p {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && !isDigit(b) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(p) > 0
}
