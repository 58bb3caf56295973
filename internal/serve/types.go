// Package serve handles a request from its arrival to its final answer: it
// authenticates and admits the request, chooses an endpoint, sends the request,
// relays the answer, retries or resumes, or refuses, and logs the result. It
// depends on no protocol: front ends decode requests and encode answers, and a
// Sender talks to endpoints.
package serve

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// Request is a decoded request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the decoded path. URI is the request target as received, which is
	// sent to the endpoint unchanged.
	Path   string
	URI    string
	Header http.Header
	Body   conn.Body
	// Wait is how long the caller waits for an answer; 0 means no limit of its own.
	Wait    time.Duration
	Arrived time.Time
	Key     string
	Model   string
	Adapter string
	// InputTokens and OutputTokens are how many tokens the request may use.
	// CountsTokens reports whether the caller stated them.
	InputTokens  float64
	OutputTokens float64
	CountsTokens bool
	// Session identifies the last part of the prompt that other requests share.
	Session string
	// Parts are the ids of the parts of the prompt, without the last one, which is the
	// request's own.
	Parts []string
	// LastEvent is the id of the last event that the caller has, when it resumes a
	// stream.
	LastEvent string
}

// Fingerprint identifies the request however often it is sent: by its target, its caller and
// its body. It has no part of an id that changes.
func (r *Request) Fingerprint() string {
	h := sha256.New()
	for _, field := range []conn.Body{{[]byte(r.URI)}, {[]byte(r.Key)}, r.Body} {
		// The lengths keep fields apart.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(field.Len()))
		h.Write(size[:])
		for _, piece := range field {
			h.Write(piece)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is how much of the digest a fingerprint keeps.
const fingerprintBytes = 12

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  fleet.Endpoint
	Workspace string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Urgency is 0 for the most urgent and 9 for the least; it is sent to
	// engines only.
	Urgency  int
	IsEngine bool
	// LastEvent is the id of the last event that the caller has, when a stream is
	// resumed.
	LastEvent string
	// Again is set if the endpoint's address was sent this request before. An answer on
	// a connection that was used then may be a copy of the earlier answer.
	Again bool
	// Check runs directly before the first byte is sent; its error ends the
	// attempt with nothing sent.
	Check func() error
}

// Verdict classifies an endpoint's answer to an attempt.
type Verdict int

// The verdicts.
const (
	// Answered means that the endpoint's answer belongs to the request.
	Answered Verdict = iota
	// Rejected means that the endpoint did not run the request.
	Rejected
	// Misdirected means that another endpoint uses the address now, or that the
	// endpoint does not hold the model; the request was not run.
	Misdirected
	// Foreign means that the answer does not belong to the request, which may
	// have run.
	Foreign
)

// Reply is an endpoint's answer with its body unread. The body must be closed.
type Reply struct {
	Verdict Verdict
	Status  int
	Header  http.Header
	// Length is the length of the body, -1 when it is not known in advance.
	Length int64
	// EndsWithConnection is set if only the end of the connection ends the body, so that
	// its end does not show that it is complete.
	EndsWithConnection bool
	Body               io.ReadCloser
	// Leaving is set if the endpoint says in this answer that it leaves.
	Leaving bool
	// Wait is how long the endpoint wants no requests of this node, if it says so.
	Wait health.Wait
	// Limit is how many requests per second the endpoint takes from all nodes together.
	Limit health.Limit

	// sentAt is when the sending of the attempt began.
	sentAt time.Time
}

// Sender sends requests to endpoints. An error that wraps *conn.NotSentError
// means that no byte was sent; after any other error the request may have run.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// Problem is an error answer that this system creates, as opposed to an endpoint's
// answer.
type Problem struct {
	Status  int
	Code    string
	Message string
	// NotRun is set only if the request certainly has not run and will not run.
	NotRun     bool
	RetryAfter time.Duration
}

// Caller writes the answer to the caller of a request. Exactly one of Refuse,
// Respond and Begin is called; Begin is followed by calls of Event and then by End
// or Abort.
type Caller interface {
	Refuse(p Problem)
	Respond(status int, header http.Header, body []byte)
	// Begin starts an answer of unknown length.
	Begin(status int, header http.Header) error
	Event(data []byte) error
	End()
	// Abort ends an answer in a way that shows the caller that it is incomplete.
	Abort()
}

// Admission decides whether the tokens of a request are within its workspace's
// rate. It may wait for tokens.
type Admission interface {
	Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (Refusal, bool)
}

// Refusal says why a request was not admitted.
type Refusal struct {
	RetryAfter time.Duration
	// Unreachable is set if it is not known that the workspace has used up its rate.
	Unreachable bool
}

// Turn is a request's position among those that wait for a place. The zero value is that of a
// request that does not wait.
type Turn int64

// Places gives places to requests at endpoints that limit how many requests per second they
// take from all nodes together.
type Places interface {
	// Has reports whether a place is free for a request at an endpoint. Requests that wait
	// and come before it count as served first.
	Has(key fleet.Key, turn Turn) bool
	// Take takes a free place. The first byte of the request has to be sent before until.
	Take(key fleet.Key, turn Turn) (until time.Time, ok bool)
	// Return gives back a place with which no byte was sent.
	Return(key fleet.Key, until time.Time)
	// Prefetch asks for a place for a later request.
	Prefetch(key fleet.Key)
	// Wait makes a request wait for a place, until leave is called. The most urgent
	// requests, 0 first, come first, and then those that arrived first.
	Wait(key fleet.Key, urgency int, arrived time.Time) (turn Turn, leave func())
	// QueuedUntil returns by when those that come before a new request of an urgency have
	// their places, zero if that is not known.
	QueuedUntil(key fleet.Key, urgency int) time.Time
	// ExpectedAt returns when a waiting request is expected to get its place, zero if that
	// is not known.
	ExpectedAt(key fleet.Key, turn Turn) time.Time
	// Changed returns a channel that is closed when places may have become free.
	Changed() <-chan struct{}
}

// Demand collects the demand for models, which the coordinator plans with, and
// requests loads of adapters.
type Demand interface {
	// RecordArrival counts an admitted request. Work is in tokens of the service's
	// mean model.
	RecordArrival(service, model, adapter string, work float64)
	// TrackWaiting counts a request as waiting for a model until done is called.
	TrackWaiting(service, model string) (done func())
	// TrackRunning counts a request as running at an endpoint until done is called.
	TrackRunning(key fleet.Key, model, adapter string) (done func())
	// LoadAdapter returns once an adapter is loaded at an endpoint, or an error if
	// the load fails.
	LoadAdapter(ctx context.Context, e fleet.Endpoint, model, adapter string) error
}
