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
	// pauses are the usual pauses between events, in seconds.
	pauses map[pauseKey]float64
}

// New returns a Server without a configuration.
func New(opts Options) *Server {
	return &Server{
		opts:    opts,
		nodes:   1,
		retries: opts.Retries,
		budgets: make(map[string]*steer.Budget),
		pauses:  make(map[pauseKey]float64),
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

// pauseKey is a model of a service, or the service as a whole.
type pauseKey struct{ service, model string }

const (
	// pauseWeight is the weight of one sample in the usual pause.
	pauseWeight = 0.02
	// weightLeast and weightMost bound how much the work of models differs. The
	// largest models take about four times as long for a token as the smallest.
	weightLeast = 0.2
	weightMost  = 5
)

// learnPause takes over the mean pause between the events of one answer. The
// engine is compared with others at the same model, since models differ more
// than engines do.
func (s *Server) learnPause(service, model string, key fleet.Key, pause time.Duration) {
	s.mu.Lock()
	s.learn(pauseKey{service: service}, pause.Seconds())
	usual := s.learn(pauseKey{service: service, model: model}, pause.Seconds())
	s.mu.Unlock()
	if usual > 0 {
		s.opts.Table.Pace(key, pause.Seconds()/usual)
	}
}

// learn takes a sample into a usual pause and returns it. The lock is held.
func (s *Server) learn(k pauseKey, seconds float64) float64 {
	usual, ok := s.pauses[k]
	if !ok {
		usual = seconds
	}
	usual += (seconds - usual) * pauseWeight
	s.pauses[k] = usual
	return usual
}

// workWeight is how long a token of a model takes, relative to the service's
// usual one.
func (s *Server) workWeight(service, model string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, one := s.pauses[pauseKey{service: service}], s.pauses[pauseKey{service: service, model: model}]
	if all <= 0 || one <= 0 {
		return 1
	}
	return min(weightMost, max(weightLeast, one/all))
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
