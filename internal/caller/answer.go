package caller

import (
	"bufio"
	"net"
	"net/http"
)

// answerWriter decides what an answer says about its connection when its header is
// written: callers reuse the connection after an answer that does not announce its end.
type answerWriter struct {
	http.ResponseWriter

	server *Server
	conn   *trackedConn
	// request is nil where there is no conn.
	request *exchange
	// isPlain is set if an answer without a length ends with its connection.
	isPlain bool
	// isLast is set if the connection ends after the answer.
	isLast bool
	// isBegun is set once the header was written or the connection was hijacked.
	isBegun bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.begin(status)
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (int, error) {
	a.begin(http.StatusOK)
	return a.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (a *answerWriter) FlushError() error {
	a.begin(http.StatusOK)
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (a *answerWriter) Flush() { _ = a.FlushError() }

// Hijack implements http.Hijacker.
func (a *answerWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(a.ResponseWriter).Hijack()
	if err == nil {
		a.isBegun = true
	}
	return c, rw, err
}

// Unwrap is used by http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answerWriter) begin(status int) {
	if a.isBegun {
		return
	}
	a.isBegun = true
	if a.conn != nil && a.request != nil && !a.request.bodyRead.Load() {
		a.conn.limitUnread()
	}
	// http.MaxBytesReader asks for the end of the connection only from the ResponseWriter
	// of http.Server itself.
	isUnread := a.conn != nil && a.conn.bodyUnread.Load()
	if a.isLast || isUnread || status == http.StatusRequestEntityTooLarge || a.server.isEnding(a.conn) {
		a.Header().Set("Connection", "close")
	}
}
