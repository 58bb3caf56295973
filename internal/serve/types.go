// Package serve takes a request from its arrival to its final answer:
// authenticate, admit, choose an endpoint, send, relay, retry or resume, refuse,
// record. It knows no protocol: front ends decode requests and encode answers,
// and a Sender talks to endpoints.
package serve

import (
	"context"
	"io"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Request is a caller's request, decoded.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the decoded path, URI what the endpoint gets as its target.
	Path   string
	URI    string
	Header http.Header
	Body   []byte
	// Wait is how long the caller waits for an answer; 0 means no limit of its own.
	Wait    time.Duration
	Arrived time.Time
	Key     string
	Model   string
	Adapter string
	// InputTokens and OutputTokens are what the request may use; CountsTokens
	// tells that the caller named them.
	InputTokens  float64
	OutputTokens float64
	CountsTokens bool
	// Session identifies the last prompt part that other requests share.
	Session string
	// LastEvent is set when the caller resumes a stream.
	LastEvent string
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  fleet.Endpoint
	Workspace string
	// Remaining is the time that the endpoint may take.
	Remaining time.Duration
	// Urgency is 0 for the most urgent and 9 for the least; it is sent to
	// engines only.
	Urgency  int
	IsEngine bool
	// LastEvent is the last event that the caller has, when a stream is resumed.
	LastEvent string
	// Check runs directly before the first byte is sent; its error ends the
	// attempt with nothing sent.
	Check func() error
}

// Verdict is what an endpoint's answer says about the attempt.
type Verdict int

// The verdicts.
const (
	// Answered means that the endpoint's answer belongs to the request.
	Answered Verdict = iota
	// TurnedAway means that the endpoint did not run the request.
	TurnedAway
	// Misdirected means that another endpoint has the address, or that the
	// endpoint lacks the model; the request was not run.
	Misdirected
	// Foreign means that the answer does not belong to the request, which may
	// have run.
	Foreign
)

// Reply is the head of an endpoint's answer. The body must be closed.
type Reply struct {
	Verdict Verdict
	Status  int
	Header  http.Header
	// Length is the length of the body, -1 when it is not known in advance.
	Length int64
	Body   io.ReadCloser
}

// Sender sends requests to endpoints. An error that wraps *conn.NotSentError
// means that no byte was sent; after any other error the request may have run.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// Problem is an answer of the system's own.
type Problem struct {
	Status  int
	Code    string
	Message string
	// NotRun is set where it is proved that the request has not run and will not.
	NotRun     bool
	RetryAfter time.Duration
}

// Caller is the connection to the one who asked. Exactly one of Refuse, Respond
// and Begin is called; after Begin comes Event and then End or Abort.
type Caller interface {
	Refuse(p Problem)
	Respond(status int, header http.Header, body []byte)
	// Begin starts an answer of unknown length.
	Begin(status int, header http.Header) error
	Event(data []byte) error
	End()
	// Abort ends an answer so that the caller sees it is not complete.
	Abort()
}

// Admission decides whether the tokens of a request are within its workspace's
// rate. It may wait for tokens.
type Admission interface {
	Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (retryAfter time.Duration, ok bool)
}

// Demand learns what is asked for, and gets adapters loaded.
type Demand interface {
	// Arrived counts an admitted request. Work is in tokens of a usual model.
	Arrived(service, model, adapter string, work float64)
	// Wait reports a request that waits for a model until done is called.
	Wait(service, model string) (done func())
	// Running counts a request at an endpoint until done is called.
	Running(key fleet.Key, model, adapter string) (done func())
	// FetchAdapter has an adapter loaded at an endpoint.
	FetchAdapter(ctx context.Context, e fleet.Endpoint, model, adapter string) error
}
