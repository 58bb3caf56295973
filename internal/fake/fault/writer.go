package fault

import (
	"errors"
	"net/http"

	"trefoildale.example/trefoildale/internal/fake/reply"
)

// sink discards an answer.
type sink struct {
	header http.Header
}

func newSink() *sink {
	return &sink{header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (s *sink) Header() http.Header { return s.header }

// Write implements http.ResponseWriter.
func (*sink) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (*sink) WriteHeader(int) {}

// Flush implements http.Flusher.
func (*sink) Flush() {}

// wrongID replaces the echoed request id.
type wrongID struct {
	http.ResponseWriter
	done bool
}

func (w *wrongID) change() {
	if !w.done {
		w.done = true
		w.Header().Set(reply.RequestID, "other-"+w.Header().Get(reply.RequestID))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *wrongID) WriteHeader(status int) {
	w.change()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *wrongID) Write(b []byte) (int, error) {
	w.change()
	return w.ResponseWriter.Write(b)
}

// FlushError serves http.ResponseController. A flush sends the header.
func (w *wrongID) FlushError() error {
	w.change()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap serves http.ResponseController.
func (w *wrongID) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// garbler overwrites the body after the first keep bytes.
type garbler struct {
	http.ResponseWriter
	keep int
}

// Write implements http.ResponseWriter.
func (g *garbler) Write(b []byte) (int, error) {
	out := make([]byte, len(b))
	for i, c := range b {
		if g.keep > 0 || c == '\n' {
			out[i] = c
		} else {
			out[i] = '~'
		}
		if g.keep > 0 {
			g.keep--
		}
	}
	return g.ResponseWriter.Write(out)
}

// Unwrap serves http.ResponseController.
func (g *garbler) Unwrap() http.ResponseWriter { return g.ResponseWriter }

var errTruncated = errors.New("fault: answer truncated")

// truncater passes on the first keep bytes of the body.
type truncater struct {
	http.ResponseWriter
	keep int
}

// Write implements http.ResponseWriter.
func (t *truncater) Write(b []byte) (int, error) {
	n := min(len(b), t.keep)
	t.keep -= n
	if n > 0 {
		if _, err := t.ResponseWriter.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	if n < len(b) {
		return n, errTruncated
	}
	return n, nil
}

// Unwrap serves http.ResponseController.
func (t *truncater) Unwrap() http.ResponseWriter { return t.ResponseWriter }
