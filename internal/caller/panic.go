package caller

import (
	"net/http"
	"runtime/debug"
)

// maxStackBytes bounds the stack of a Panic.
const maxStackBytes = 4 << 10

// Panic describes a handler that has panicked. http.ErrAbortHandler, which ends an answer
// on purpose, is none.
type Panic struct {
	Request Request
	Value   any
	Stack   string
	// Answered is set if the request got an answer that says so. Otherwise its answer had
	// begun, and its connection ends.
	Answered bool
}

// onPanic answers a request whose handler has panicked with the given value, or ends its
// connection if its answer has begun.
func (s *Server) onPanic(a *answerWriter, q *exchange, value any) {
	if value == http.ErrAbortHandler {
		panic(value)
	}
	stack := string(debug.Stack())
	p := Panic{
		Request:  q.describe(a.isBegun),
		Value:    value,
		Stack:    stack[:min(len(stack), maxStackBytes)],
		Answered: !a.isBegun && s.opts.Fail != nil,
	}
	if s.opts.OnPanic != nil {
		s.opts.OnPanic(p)
	}
	if !p.Answered {
		if a.isPlain && a.conn != nil {
			// The usual end of the connection would complete an answer without a length.
			_ = a.conn.SetLinger(0)
		}
		panic(http.ErrAbortHandler)
	}
	clear(a.Header())
	// What the handler has left unread or running must not meet another request.
	a.isLast = true
	s.opts.Fail(a, q.id)
	a.begin(http.StatusOK)
}
