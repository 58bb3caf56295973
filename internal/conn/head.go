package conn

import (
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

// keptBytes is how much of a line is kept: enough for the status, and for the names of the
// fields that count here.
const keptBytes = 64

// headJudge follows the head of an answer as it arrives and decides whether it is one, by
// the grammar of RFC 9112. It is stricter than net/http where that reads a field under
// another name, or the end of the body at another place, than the next reader may. It holds
// no lines, since they may come without end; http.Transport bounds the whole head.
type headJudge struct {
	isDone bool
	// lines is how many lines of the head have ended, the status line included.
	lines     int
	isInterim bool
	isOld     bool
	hasLength bool
	hasCoding bool
	// kept is the begin of the line, which has size bytes so far.
	kept []byte
	size int
	// isEnding is set after a CR, and inValue after the colon of a field or within a line
	// that continues a value.
	isEnding bool
	inValue  bool
}

// add judges a part of what was read.
func (h *headJudge) add(p []byte) error {
	for _, b := range p {
		if h.isDone {
			return nil
		}
		var err error
		switch {
		case b == '\n':
			err = h.endLine()
		case h.isEnding:
			err = h.fail("CR within a line")
		case b == '\r':
			h.isEnding = true
		default:
			err = h.addByte(b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *headJudge) fail(why string) error {
	return &HeadError{
		Why:  why,
		Line: string(h.kept),
	}
}

// addByte judges a byte within a line.
func (h *headJudge) addByte(b byte) error {
	if len(h.kept) < keptBytes {
		h.kept = append(h.kept, b)
	}
	h.size++
	isFolded := h.size == 1 && (b == ' ' || b == '\t')
	switch {
	case h.lines == 0, h.inValue:
		if b < ' ' && b != '\t' || b == 0x7f {
			return h.fail("control byte")
		}
	case isFolded && h.lines == 1:
		return h.fail("blank before the name of a field")
	case isFolded:
		h.inValue = true
	case b == ':':
		return h.endName()
	case !isTokenByte(b):
		return h.fail("the name of a field has a byte that none may have")
	}
	return nil
}

// endName judges the name of a field at its colon.
func (h *headJudge) endName() error {
	if h.size == 1 {
		return h.fail("a field has no name")
	}
	h.inValue = true
	if h.size <= keptBytes {
		name := string(h.kept[:h.size-1])
		h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
		h.hasCoding = h.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	}
	return nil
}

// endLine judges a whole line.
func (h *headJudge) endLine() error {
	h.lines++
	switch {
	case h.lines == 1:
		if err := h.judgeStatus(); err != nil {
			return err
		}
	case h.size == 0:
		return h.endHead()
	case !h.inValue:
		return h.fail("a field has no value")
	}
	h.kept, h.size, h.isEnding, h.inValue = h.kept[:0], 0, false, false
	return nil
}

// endHead judges the head at its end.
func (h *headJudge) endHead() error {
	switch {
	case h.hasCoding && h.hasLength:
		return h.fail("the body has a length and a coding")
	case h.hasCoding && h.isOld:
		return h.fail("HTTP/1.0 has no codings")
	}
	*h = headJudge{
		isDone: !h.isInterim,
	}
	return nil
}

// judgeStatus judges the first line, "HTTP/1.x SP 3DIGIT [SP reason]".
func (h *headJudge) judgeStatus() error {
	const version, length = "HTTP/1.", len("HTTP/1.1 200")
	text := string(h.kept)
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
	}
	h.isInterim = status[0] == '1'
	h.isOld = text[len(version)] == '0'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTokenByte reports whether a byte may be in the name of a field.
func isTokenByte(b byte) bool {
	isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
	return isLetter || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
