package serve

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/steer"
)

const (
	// defaultTimeout ends a request whose route names no timeout.
	defaultTimeout = 60 * time.Second
	// admitWait is the longest wait for tokens. A refusal that comes later than
	// an eighth of the usual objective costs callers more than it gains.
	admitWait = 120 * time.Millisecond
	// modelWait is the longest wait for a model that is being loaded: an unload
	// that waits for its running requests, and a load from the weight store.
	modelWait = 5 * time.Second
	// modelWaitPart is the part of the remaining time that the wait may take.
	modelWaitPart = 0.6
	// endpointWait is the longest wait for an endpoint of a plain service, or
	// for one that can be reached.
	endpointWait = 400 * time.Millisecond
	// adapterWait is how long loads of an adapter may take, at all endpoints that
	// are tried, before the request is refused. A new coordinator may give orders
	// at once when the former one resigned.
	adapterWait = 1200 * time.Millisecond
	// maxRejections bounds how many endpoints may turn one request away.
	maxRejections = 2
	// maxUnsent bounds how many connections may fail for one request.
	maxUnsent = 4
	// retrySoon and retryLater are when a refused caller should come back.
	retrySoon  = 300 * time.Millisecond
	retryLater = 800 * time.Millisecond
	// retryStopping sends a caller to another node at once.
	retryStopping = 20 * time.Millisecond
	// maxWhole is the largest answer that is collected before it is passed on,
	// so that one that breaks off can still be tried elsewhere.
	maxWhole = 1 << 20
	// urgencyStep spreads the priorities of routes and workspaces over the
	// engines' urgency classes.
	urgencyStep = 3
	// mostUrgency is the least urgent class of an engine.
	mostUrgency = 9
	// resumeAfter is how many of the longest allowed pauses a resumable stream
	// may be silent before it is resumed elsewhere, and resumeLeast the least time.
	resumeAfter = 8
	resumeLeast = 1200 * time.Millisecond
	// resumeFirst is how many objectives the first event may take before a
	// resumable stream is started elsewhere.
	resumeFirst = 4
)

// RetryRule bounds repeats, over all nodes together.
type RetryRule struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Options are what a Server works with. All fields are required.
type Options struct {
	Clock     clock.Clock
	Table     *steer.Table
	Sender    Sender
	Admission Admission
	Demand    Demand
	Log       *slog.Logger
	Retries   RetryRule
	Observe   Observer
}

// Observer counts how requests end.
type Observer interface {
	// Ended is called once for each request.
	Ended(service, outcome string, total time.Duration)
	// FirstByte is called when an answer begins.
	FirstByte(service string, after time.Duration)
	// Repeated is called for each attempt after the first.
	Repeated(service string)
}

// Server serves requests.
type Server struct {
	opts   Options
	config atomic.Pointer[fleet.Config]
	active atomic.Int64
	// refuseFrom is when a stopping process takes no more requests.
	refuseFrom atomic.Pointer[time.Time]

	mu      sync.Mutex
	nodes   int
	retries RetryRule
	budgets map[string]*steer.Budget
	pauses  map[string]*meanPause
}

// New returns a Server without a configuration.
func New(opts Options) *Server {
	return &Server{
		opts:    opts,
		nodes:   1,
		retries: opts.Retries,
		budgets: make(map[string]*steer.Budget),
		pauses:  make(map[string]*meanPause),
	}
}

// SetConfig takes over a configuration. An older one than the one in force is ignored.
func (s *Server) SetConfig(c *fleet.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Config returns the configuration in force, or nil.
func (s *Server) Config() *fleet.Config { return s.config.Load() }

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// RefuseFrom has requests refused from a time on, because the process stops and
// they could not be finished.
func (s *Server) RefuseFrom(t time.Time) { s.refuseFrom.Store(&t) }

// SetNodes tells how many nodes share the retry budget.
func (s *Server) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = max(1, n)
	for _, b := range s.budgets {
		b.SetBounds(s.retries.Ratio, s.retries.Slack/float64(s.nodes))
	}
}

// SetRetries changes the bounds on repeats. Their window stays as it was.
func (s *Server) SetRetries(r RetryRule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Ratio, s.retries.Slack = r.Ratio, r.Slack
	for _, b := range s.budgets {
		b.SetBounds(r.Ratio, r.Slack/float64(s.nodes))
	}
}

func (s *Server) budget(service string) *steer.Budget {
	b := s.budgets[service]
	if b == nil {
		b = steer.NewBudget(s.retries.Ratio, s.retries.Slack/float64(s.nodes), s.retries.Window)
		s.budgets[service] = b
	}
	return b
}

func (s *Server) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Request(s.opts.Clock.Now())
}

func (s *Server) mayRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Repeat(s.opts.Clock.Now())
}

// meanPause is the usual pause between events of a service's streams. Engines
// are compared with it.
type meanPause struct{ seconds float64 }

// pauseWeight is the weight of one sample in the usual pause.
const pauseWeight = 0.01

// learnPause compares an engine's mean pause in one answer with the usual one.
func (s *Server) learnPause(service string, key fleet.Key, pause time.Duration) {
	s.mu.Lock()
	m := s.pauses[service]
	if m == nil {
		m = &meanPause{
			seconds: pause.Seconds(),
		}
		s.pauses[service] = m
	}
	m.seconds += (pause.Seconds() - m.seconds) * pauseWeight
	usual := m.seconds
	s.mu.Unlock()
	if usual > 0 {
		s.opts.Table.Pace(key, pause.Seconds()/usual)
	}
}

// Serve takes a request to its final answer. The context ends when the caller
// is gone.
func (s *Server) Serve(ctx context.Context, q *Request, caller Caller) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &call{
		Server: s,
		q:      q,
		caller: caller,
		config: s.config.Load(),
	}
	c.run(ctx)
}
