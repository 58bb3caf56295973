// Package plain is a stand-in for a plain service, such as booking. It counts
// how often each request ran.
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
	// Work is how long a call takes.
	Work time.Duration
}

// maxKeys bounds the request ids and idempotency keys that are remembered, and
// the stored bodies, so that long experiments do not exhaust memory.
const maxKeys = 200_000

// maxBody bounds the body of a call.
const maxBody = 1 << 20

// Stats are the counters of a Service.
type Stats struct {
	Executions int64 `json:"executions"`
	// Repeated is how many executions were a second or later one of their
	// idempotency key or, without one, of their request id. Reads are not counted.
	Repeated int64 `json:"repeated"`
	// KeysSeen is how many requests carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
}

// Service is the stand-in.
type Service struct {
	opts   Options
	faults *fault.Set

	mu     sync.Mutex
	byKey  counts
	byID   counts
	stored map[string][]byte
	order  []string
	stats  Stats
}

// New returns a Service and a function that releases it.
func New(opts Options) (*Service, func()) {
	faults, release := fault.NewSet()
	return &Service{
		opts:   opts,
		faults: faults,
		byKey:  newCounts(),
		byID:   newCounts(),
		stored: map[string][]byte{},
	}, release
}

// Faults returns the faults of the stand-in.
func (s *Service) Faults() *fault.Set { return s.faults }

// Executions returns how often calls with the idempotency key ran.
func (s *Service) Executions(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey.counts[key]
}

// RequestExecutions returns how often calls with the request id ran.
func (s *Service) RequestExecutions(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID.counts[id]
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler returns the HTTP handler of the service. GET /stats returns the
// counters; with key or request-id, the executions of one.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("/", s.call)
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
	// Execution is the number of the execution, counted over all calls.
	Execution int64 `json:"execution"`
	// Location is where a GET reads the body back.
	Location string          `json:"location,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// call executes a call. It does not watch the client: what has arrived is
// executed even if the client has left, which is the harder case for callers.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
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
		if s.byKey.add(key) > 1 {
			s.stats.Repeated++
		}
	}
	if id != "" {
		if s.byID.add(id) > 1 && key == "" && r.Method != http.MethodGet {
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
		res.Body = asJSON(s.stored[r.URL.Path])
		return res, http.StatusOK
	}
	res.Location = strings.TrimSuffix(r.URL.Path, "/") + "/" + strconv.FormatInt(res.Execution, 10)
	s.stored[res.Location] = body
	s.order = append(s.order, res.Location)
	if len(s.order) > maxKeys {
		delete(s.stored, s.order[0])
		s.order = s.order[1:]
	}
	return res, http.StatusCreated
}

func asJSON(body []byte) json.RawMessage {
	if len(body) == 0 || json.Valid(body) {
		return body
	}
	// Marshalling a string does not fail.
	out, _ := json.Marshal(string(body))
	return out
}

// counts counts executions by name and forgets the oldest names.
type counts struct {
	counts map[string]int64
	order  []string
}

func newCounts() counts {
	return counts{counts: map[string]int64{}}
}

func (c *counts) add(name string) int64 {
	n := c.counts[name] + 1
	c.counts[name] = n
	if n == 1 {
		c.order = append(c.order, name)
		if len(c.order) > maxKeys {
			delete(c.counts, c.order[0])
			c.order = c.order[1:]
		}
	}
	return n
}
