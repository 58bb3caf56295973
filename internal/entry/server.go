// Package entry is the HTTP server for callers. It serves model completions, calls
// of plain services, and the health checks of a load balancer.
package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/caller"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fair"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/triage"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Admitter charges the tokens of a request to the rate limit of its workspace.
type Admitter interface {
	Admit(ctx context.Context, workspace string, tokens int64) (limit.Charge, error)
}

// Demand collects the demand for models and adapters, by which the planner places
// them.
type Demand interface {
	// RecordArrival counts an admitted request and the tokens charged for it.
	RecordArrival(model, workspace, adapter string, tokens int64)
	// RecordEnd counts a request that was served or that failed in the system.
	RecordEnd(r RequestResult)
	// TrackWaiting registers a request that waits for a model or adapter that is
	// not resident, until done is called.
	TrackWaiting(model, adapter string) (done func())
	// LayoutChanged returns a channel that is closed at the next change of the
	// layout.
	LayoutChanged() <-chan struct{}
	// MarkInUse marks an adapter as in use at an endpoint until done is called.
	MarkInUse(endpoint, model, adapter string) (done func())
	// ReportLayoutMismatch reports an endpoint whose response contradicts the
	// layout.
	ReportLayoutMismatch(endpoint string)
}

// RequestResult describes a request that has ended.
type RequestResult struct {
	Model     string
	Adapter   string
	Workspace string
	// OnTarget is set if the request met the latency target of its class.
	OnTarget bool
}

// Options holds the dependencies and settings of a Server. Picker, Limits and
// EndpointLimit are optional.
type Options struct {
	// Node and Incarnation identify this process in request ids.
	Node        string
	Incarnation uint64
	Clock       clock.Clock
	Keys        *keys.Checker
	Admitter    Admitter
	Routes      *route.Table
	// Picker chooses endpoints; nil means Routes.
	Picker  route.Picker
	Engines *engine.Client
	Once    *once.Guard
	Audit   *audit.Log
	Stats   *stats.Set
	Demand  Demand
	Limits  Limits
	// EndpointLimit is the maximum number of requests of this process at one
	// endpoint; 0 means fair.DefaultLimit.
	EndpointLimit int
}

// Limits bounds the resources that a single caller can take. Zero values select
// the defaults.
type Limits struct {
	MaxBodyBytes int64
	// StreamIdle is how long a write to a caller that reads nothing may block
	// before the response is ended.
	StreamIdle time.Duration
}

// Server is the HTTP server for callers.
type Server struct {
	opts        Options
	retryPolicy once.Policy
	seq         atomic.Uint64
	config      atomic.Pointer[view]
	newest      triage.Newest
	ready       atomic.Bool

	stop  atomic.Pointer[drain.Stop]
	times drain.Times

	mu      sync.Mutex
	running map[string]context.CancelCauseFunc
	queues  map[string]*endpointQueue
	// changed is closed and replaced whenever a request that waits has to ask again whether
	// it can be served.
	changed chan struct{}
	ended   bool
}

// endpointQueue is the fair queue of the endpoint at an address.
type endpointQueue struct {
	address string
	gate    *fair.Gate
}

// view is a configuration with the lookups that handlers need.
type view struct {
	revision int64
	index    *spec.Index
	models   []string
	services []*spec.Service
}

// New returns a Server that is not ready and has no configuration.
func New(opts Options) *Server {
	if opts.Limits.MaxBodyBytes == 0 {
		opts.Limits.MaxBodyBytes = 8 << 20
	}
	if opts.Limits.StreamIdle == 0 {
		opts.Limits.StreamIdle = 30 * time.Second
	}
	if opts.Picker == nil {
		opts.Picker = opts.Routes
	}
	s := &Server{
		opts:        opts,
		retryPolicy: once.DefaultPolicy(),
		running:     make(map[string]context.CancelCauseFunc),
		queues:      make(map[string]*endpointQueue),
		changed:     make(chan struct{}),
	}
	s.SetConfig(spec.New())
	return s
}

// SetConfig applies a configuration.
func (s *Server) SetConfig(c *spec.Config) {
	v := &view{
		revision: c.Revision,
		index:    c.Index(),
	}
	for i := range c.Services {
		if c.Services[i].Kind == spec.KindPlain {
			v.services = append(v.services, &c.Services[i])
		}
	}
	for _, m := range c.Models {
		v.models = append(v.models, m.Name)
	}
	slices.Sort(v.models)
	s.config.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.queues, func(name string, q *endpointQueue) bool {
		if v.hasEndpoint(name, q.address) {
			return false
		}
		q.gate.Close()
		return true
	})
	s.notifyChanged()
}

// hasEndpoint reports whether the endpoint exists and has the address.
func (v *view) hasEndpoint(name, address string) bool {
	e := v.index.Endpoints[name]
	return e != nil && e.Address == address
}

// notifyChanged wakes the requests that wait. The caller holds mu.
func (s *Server) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change of the configuration, or
// when the process is told to stop.
func (s *Server) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetReady sets whether the readiness check of the load balancer succeeds.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Ready reports the last value given to SetReady.
func (s *Server) Ready() bool {
	return s.ready.Load()
}

// Running returns the sorted ids of the requests in progress.
func (s *Server) Running() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.running))
}

// Cancel cancels a request of this process. It returns false if no request has the
// id.
func (s *Server) Cancel(requestID string) bool {
	s.mu.Lock()
	cancel := s.running[requestID]
	s.mu.Unlock()
	if cancel == nil {
		return false
	}
	cancel(errCancelled)
	return true
}

// Handler returns the HTTP handler for the address that callers use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.track(s.complete))
	mux.HandleFunc("POST /v1/completions", s.track(s.complete))
	mux.HandleFunc("GET /v1/models", s.track(s.listModels))
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/models"} {
		mux.HandleFunc(path, s.track(wrongMethod))
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("/", s.track(s.plain))
	return mux
}

// wrongMethod answers a request for a known path with an unsupported method.
func wrongMethod(q *request) {
	q.refuse(problem{
		Status:  http.StatusMethodNotAllowed,
		Reason:  audit.MethodUnknown,
		Message: q.r.URL.Path + " does not offer " + q.r.Method,
		NotRun:  true,
	}, audit.Event{})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// request is the state of one HTTP request that all handlers share.
type request struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	view    *view
	// newerUntil is until when the request waits for newer configurations, zero before.
	newerUntil time.Time

	verdict   keys.Verdict
	workspace *spec.Workspace
	secret    string
	model     string
	// claimed is set once the idempotency key of the call is proved new.
	claimed bool
}

// track assigns an id to each request and registers it as running while handle
// runs.
func (s *Server) track(handle func(*request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		id := caller.RequestID(ctx)
		if id == "" {
			id = s.newID()
		}
		q := &request{
			Server:  s,
			w:       w,
			r:       r.WithContext(ctx),
			id:      id,
			arrived: s.opts.Clock.Now(),
			view:    s.config.Load(),
		}
		s.mu.Lock()
		s.running[q.id] = cancel
		if s.ended {
			cancel(errProcessEnds)
		}
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.running, q.id)
			s.mu.Unlock()
		}()
		s.opts.Stats.Inc(stats.RequestsStarted)
		handle(q)
	}
}

// NewRequestID returns the id of a request of which only the header was read.
func (s *Server) NewRequestID(*http.Request) string { return s.newID() }

// newID returns a request id that contains the node and incarnation of this
// process, so that any node can forward a cancellation or a query to it.
func (s *Server) newID() string {
	var b strings.Builder
	b.WriteString(s.opts.Node)
	b.WriteByte('.')
	b.WriteString(strconv.FormatUint(s.opts.Incarnation, 32))
	b.WriteByte('.')
	b.WriteString(strconv.FormatUint(s.seq.Add(1), 32))
	return b.String()
}

// OwnerOf returns the node and incarnation of the process that created a request
// id.
func OwnerOf(requestID string) (node string, incarnation uint64, ok bool) {
	// A node's name may contain dots.
	rest, _, ok1 := cutLast(requestID)
	node, number, ok2 := cutLast(rest)
	n, err := strconv.ParseUint(number, 32, 64)
	return node, n, ok1 && ok2 && err == nil && node != ""
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// refuse records a problem and answers with it. Nothing of a response may have
// been delivered before.
func (q *request) refuse(p problem, e audit.Event) {
	p.NotRun = p.NotRun && !q.mayHaveRun()
	q.record(p, e)
	p.write(q.w, q.id)
}

// record writes a problem to the audit log and counts it.
func (q *request) record(p problem, e audit.Event) {
	e.Reason = p.Reason
	e.Request = q.id
	e.NotRun = p.NotRun
	e.RetryAfter = p.RetryAfter
	if q.workspace != nil {
		e.Workspace = q.workspace.Name
	}
	if e.Model == "" {
		e.Model = q.model
	}
	q.opts.Audit.Record(e)
	switch p.Reason.Kind() {
	case audit.KindRefusal:
		q.opts.Stats.Inc(stats.RequestsRefused)
	default:
		q.opts.Stats.Inc(stats.RequestsFailed)
	}
}

// queue returns the fair queue for an endpoint, or nil if the configuration does not have
// the endpoint at this address any more.
func (s *Server) queue(endpoint, address string) *fair.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.Load().hasEndpoint(endpoint, address) {
		return nil
	}
	q := s.queues[endpoint]
	if q == nil {
		q = &endpointQueue{
			address: address,
			gate: fair.NewGate(s.opts.Clock, fair.Options{
				Limit: s.opts.EndpointLimit,
			}),
		}
		s.queues[endpoint] = q
	}
	return q.gate
}

func (s *Server) listModels(q *request) {
	if !q.authenticate() {
		return
	}
	type item struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	out := struct {
		Object string `json:"object"`
		Data   []item `json:"data"`
	}{
		Object: "list",
		Data:   make([]item, 0, len(q.view.models)),
	}
	for _, name := range q.view.models {
		out.Data = append(out.Data, item{
			ID:     name,
			Object: "model",
		})
	}
	q.w.Header().Set("Content-Type", "application/json")
	q.w.Header().Set("X-Request-Id", q.id)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(q.w).Encode(out)
	s.opts.Stats.Inc(stats.RequestsServed)
}
