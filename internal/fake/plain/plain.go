// Package plain simulates a plain service, such as booking. It counts the
// executions of each request.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// Options are the settings of a Service.
type Options struct {
	Name string
	// Work is the time to handle a call.
	Work time.Duration
}

// maxRecorded bounds the recorded request ids, idempotency keys and bodies, each,
// so that long experiments do not exhaust memory. The oldest are discarded first.
const maxRecorded = 200_000

// maxBody bounds the body of a call.
const maxBody = 1 << 20

// Stats are the counters of a Service.
type Stats struct {
	Executions int64 `json:"executions"`
	// Repeated counts executions after the first one of the same idempotency key
	// or, without a key, of the same request id. GET requests without a key are
	// not counted.
	Repeated int64 `json:"repeated"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
}

// Service simulates one endpoint of a plain service.
type Service struct {
	opts   Options
	faults *fault.Set

	mu              sync.Mutex
	executionsByKey executionCounts
	executionsByID  executionCounts
	bodies          map[string][]byte
	order           []string
	stats           Stats
}

// New returns a Service and a function that releases it.
func New(opts Options) (*Service, func()) {
	faults, release := fault.NewSet()
	return &Service{
		opts:            opts,
		faults:          faults,
		executionsByKey: newCounts(),
		executionsByID:  newCounts(),
		bodies:          map[string][]byte{},
	}, release
}

// Faults returns the set of active faults.
func (s *Service) Faults() *fault.Set { return s.faults }

// Executions returns the number of executions with the idempotency key.
func (s *Service) Executions(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey.counts[key]
}

// RequestExecutions returns the number of executions with the request id.
func (s *Service) RequestExecutions(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByID.counts[id]
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler returns the HTTP handler of the service. GET /stats returns the
// counters or, with a parameter key or request-id, the number of executions of
// that key or request.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("/", s.serveCall)
	return s.faults.Wrap(mux)
}

func (s *Service) serveStats(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case q.Has("key"):
		reply.JSON(w, http.StatusOK, map[string]int64{"executions": s.Executions(q.Get("key"))})
	case q.Has("request-id"):
		reply.JSON(w, http.StatusOK, map[string]int64{"executions": s.RequestExecutions(q.Get("request-id"))})
	default:
		reply.JSON(w, http.StatusOK, s.Stats())
	}
}

// Result is the answer to a call.
type Result struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	// Execution is the sequence number of the execution among all calls.
	Execution int64 `json:"execution"`
	// Location is the path at which GET returns the body.
	Location string          `json:"location,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// serveCall executes a call, even if the client has disconnected in the meantime.
// The client then cannot know whether its call ran.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "the body is incomplete or too large")
		return
	}
	if reply.CarriesKey(r.Header) {
		s.mu.Lock()
		s.stats.KeysSeen++
		s.mu.Unlock()
		reply.Refuse(w, http.StatusBadRequest, "key-seen", "the request carries a caller's key")
		return
	}
	if s.opts.Work > 0 {
		time.Sleep(s.opts.Work)
	}
	res, status := s.execute(r, body)
	reply.JSON(w, status, res)
}

func (s *Service) execute(r *http.Request, body []byte) (Result, int) {
	id := r.Header.Get(reply.RequestID)
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions++
	if key != "" {
		if s.executionsByKey.add(key) > 1 {
			s.stats.Repeated++
		}
	}
	if id != "" {
		if s.executionsByID.add(id) > 1 && key == "" && r.Method != http.MethodGet {
			s.stats.Repeated++
		}
	}
	res := Result{
		Service:   s.opts.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		RequestID: id,
		Execution: s.stats.Executions,
	}
	if r.Method == http.MethodGet {
		res.Body = asJSON(s.bodies[r.URL.Path])
		return res, http.StatusOK
	}
	res.Location = strings.TrimSuffix(r.URL.Path, "/") + "/" + strconv.FormatInt(res.Execution, 10)
	s.bodies[res.Location] = body
	s.order = append(s.order, res.Location)
	if len(s.order) > maxRecorded {
		delete(s.bodies, s.order[0])
		s.order = s.order[1:]
	}
	return res, http.StatusCreated
}

func asJSON(body []byte) json.RawMessage {
	if len(body) == 0 || json.Valid(body) {
		return body
	}
	// Encoding a string never fails.
	out, _ := json.Marshal(string(body))
	return out
}

// executionCounts counts executions by name. It discards the oldest names beyond
// maxRecorded.
type executionCounts struct {
	counts map[string]int64
	order  []string
}

func newCounts() executionCounts {
	return executionCounts{counts: map[string]int64{}}
}

// add counts an execution and returns the number for the name.
func (c *executionCounts) add(name string) int64 {
	n := c.counts[name] + 1
	c.counts[name] = n
	if n == 1 {
		c.order = append(c.order, name)
		if len(c.order) > maxRecorded {
			delete(c.counts, c.order[0])
			c.order = c.order[1:]
		}
	}
	return n
}
