package fault

import (
	"errors"
	"net/http"

	"trefoildale.example/trefoildale/internal/fake/reply"
)

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter {
	return &discardWriter{header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (*discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (*discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (*discardWriter) Flush() {}

// wrongIDWriter replaces the echoed request id before the header is sent.
type wrongIDWriter struct {
	http.ResponseWriter
	replaced bool
}

func (w *wrongIDWriter) replaceID() {
	if !w.replaced {
		w.replaced = true
		w.Header().Set(reply.RequestID, "other-"+w.Header().Get(reply.RequestID))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *wrongIDWriter) WriteHeader(status int) {
	w.replaceID()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *wrongIDWriter) Write(b []byte) (int, error) {
	w.replaceID()
	return w.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController. Flushing sends the header, so
// the id must be replaced before.
func (w *wrongIDWriter) FlushError() error {
	w.replaceID()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *wrongIDWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// garbleWriter passes on the first keep bytes of the body and overwrites the rest.
type garbleWriter struct {
	http.ResponseWriter
	keep int
}

// Write implements http.ResponseWriter.
func (g *garbleWriter) Write(b []byte) (int, error) {
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

// Unwrap is called by http.ResponseController.
func (g *garbleWriter) Unwrap() http.ResponseWriter { return g.ResponseWriter }

var errTruncated = errors.New("fault: answer truncated")

// truncateWriter passes on the first keep bytes of the body and fails all further
// writes.
type truncateWriter struct {
	http.ResponseWriter
	keep int
}

// Write implements http.ResponseWriter.
func (t *truncateWriter) Write(b []byte) (int, error) {
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

// Unwrap is called by http.ResponseController.
func (t *truncateWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
