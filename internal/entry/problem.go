package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/stats"
)

// problem is an error response. Its code is the name of the audit reason, so that
// the response, the counters and the audit log agree.
type problem struct {
	Status     int
	Reason     audit.Reason
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request-id"`
	// NotRun is set only when the request is proved not to have run.
	NotRun bool `json:"not-run,omitempty"`
}

func (p problem) body(requestID string) []byte {
	data, err := json.Marshal(errorBody{
		Error: errorDetail{
			Code:      p.Reason.String(),
			Message:   p.Message,
			RequestID: requestID,
			NotRun:    p.NotRun,
		},
	})
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"the error cannot be encoded"}}`)
	}
	return append(data, '\n')
}

func (p problem) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", requestID)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(p.RetryAfter.Seconds())), 10))
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(p.body(requestID))
}

// Fail answers a request that failed by a fault of this program. It may have run.
func (s *Server) Fail(w http.ResponseWriter, requestID string) {
	p := problem{
		Status:  http.StatusInternalServerError,
		Reason:  audit.InternalError,
		Message: "this node has failed to handle the request, which may have run",
	}
	s.opts.Audit.Record(audit.Event{
		Reason:  p.Reason,
		Request: requestID,
		Node:    s.opts.Node,
	})
	s.opts.Stats.Inc(stats.RequestsFailed)
	p.write(w, requestID)
}

// writeEvent writes the problem as the last event of a stream.
func (p problem) writeEvent(w http.ResponseWriter, requestID string) {
	data := append([]byte("event: error\ndata: "), p.body(requestID)...)
	_, _ = w.Write(append(data, '\n'))
}

// problemError wraps a problem that a check before the first byte returned.
type problemError struct {
	problem *problem
}

// Error implements error.
func (r *problemError) Error() string {
	return r.problem.Message
}

// engineCheck adapts check to the Check field of engine.Call.
func engineCheck(check func() *problem) func() error {
	return func() error {
		if p := check(); p != nil {
			return &problemError{
				problem: p,
			}
		}
		return nil
	}
}
