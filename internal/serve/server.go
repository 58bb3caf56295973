package serve

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/poison"
	"trefoildale.example/trefoildale/internal/triage"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 60 * time.Second
	// maxAdmitWait is the longest wait for tokens of the rate limit. A refusal after
	// more than an eighth of the usual objective costs callers more than the chance
	// of admission gains.
	maxAdmitWait = 120 * time.Millisecond
	// maxEndpointWait is the longest wait for an endpoint of a plain service, or
	// for one that can be reached.
	maxEndpointWait = 400 * time.Millisecond
	// maxAdapterWait is the longest total wait for loads of an adapter, over all
	// endpoints that are tried. This covers a change of the coordinator where the
	// previous one resigned, since the new one may then send orders at once.
	maxAdapterWait = 1200 * time.Millisecond
	// maxRejections is how many rejections by endpoints a request is retried after.
	maxRejections = 2
	// maxUnsentAttempts is the number of attempts without a byte sent after which a
	// request is refused, because connections failed or its configuration changed.
	maxUnsentAttempts = 4
	// configRetryAfter and endpointRetryAfter are sent as Retry-After: the first
	// while the node has no configuration, the second when no endpoint is available.
	configRetryAfter   = 300 * time.Millisecond
	endpointRetryAfter = 800 * time.Millisecond
	// stoppingRetryAfter is sent by a stopping node, since another node can take the
	// request at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// maxBufferedBody is the size up to which an answer is buffered before it is
	// sent, so that an incomplete one can still be replaced by another attempt.
	maxBufferedBody = 1 << 20
	// urgencyStep maps the priorities of routes and workspaces to the engines'
	// urgency classes.
	urgencyStep = 3
	// maxUrgency is an engine's least urgent class.
	maxUrgency = 9
	// A resumable stream that sends nothing for resumePauses times the route's
	// longest allowed pause, and at least for minResumeSilence, is resumed at
	// another endpoint.
	resumePauses     = 8
	minResumeSilence = 1200 * time.Millisecond
	// resumeObjectives times the route's objective is the time after which a
	// resumable stream without a first event is sent to another endpoint.
	resumeObjectives = 4
)

// RetryRule bounds the repeats of requests to a service over all nodes: Ratio
// times the requests in the window, plus Slack.
type RetryRule struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Options are the dependencies and settings of a Server. All fields but the last five
// are required.
type Options struct {
	Clock     clock.Clock
	Table     *picker.Table
	Sender    Sender
	Admission Admission
	Demand    Demand
	Log       *slog.Logger
	Retries   RetryRule
	Observer  Observer
	// Parts keeps the evidence against parts of prompts.
	Parts *poison.Tracker
	// Prober finds out whether an engine has crashed; without it no part is suspected.
	Prober EngineProber
	// MayTest reports whether this node may test blocked parts.
	MayTest func() bool
	// Places gives places at endpoints that limit requests; without it limits are not
	// obeyed.
	Places Places
	// Budget bounds the memory for unfinished answers; without it, that is as for a process
	// whose memory is not known.
	Budget *budget.Pool
}

// Observer collects metrics of requests.
type Observer interface {
	// Ended is called once for each request.
	Ended(service, outcome string, total time.Duration)
	// FirstByte is called when an answer begins.
	FirstByte(service string, after time.Duration)
	// Repeated is called for each attempt after one of which a byte may have been
	// sent.
	Repeated(service string)
}

// Server handles the requests of a node. It is safe for concurrent use.
type Server struct {
	opts   Options
	config atomic.Pointer[fleet.Config]
	newest triage.Newest
	active atomic.Int64
	probes probes
	// stop is the plan of a stopping process, nil before.
	stop atomic.Pointer[drain.Stop]
	// times are learned from requests that were answered in full.
	times drain.Times
	// interrupted ends when Interrupt is called.
	interrupted context.Context
	interrupt   context.CancelFunc
	// refusing ends when refuse is called: once no request that arrives is accepted.
	refusing context.Context
	refuse   context.CancelFunc
	// interruptedCalls is how many requests Interrupt has ended.
	interruptedCalls atomic.Int64

	watchMu sync.Mutex
	// watches are called when a configuration comes into force.
	watches map[*watch]struct{}

	mu        sync.Mutex
	nodes     int
	retryRule RetryRule
	budgets   map[string]*picker.Budget
	// meanPauses are moving averages of the pause between events, in seconds.
	meanPauses map[pauseKey]float64
}

// New returns a Server without a configuration.
func New(opts Options) *Server {
	if opts.Parts == nil {
		opts.Parts = poison.New(opts.Log)
	}
	if opts.MayTest == nil {
		opts.MayTest = func() bool { return false }
	}
	if opts.Places == nil {
		opts.Places = unlimitedPlaces{
			now: opts.Clock.Now,
		}
	}
	if opts.Budget == nil {
		opts.Budget = budget.NewPool(budget.Divide(budget.DefaultMemory, 0))
	}
	interrupted, interrupt := context.WithCancel(context.Background())
	refusing, refuse := context.WithCancel(interrupted)
	return &Server{
		interrupted: interrupted,
		interrupt:   interrupt,
		refusing:    refusing,
		refuse:      refuse,
		opts:        opts,
		nodes:       1,
		retryRule:   opts.Retries,
		budgets:     make(map[string]*picker.Budget),
		meanPauses:  make(map[pauseKey]float64),
		watches:     make(map[*watch]struct{}),
		probes: probes{
			byKey: make(map[fleet.Key]*probe),
		},
	}
}

// SetConfig puts a configuration into force and returns true, unless the one in
// force has the same or a higher version.
func (s *Server) SetConfig(c *fleet.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			s.tellWatches()
			return true
		}
	}
}

// watch is told of configurations that come into force.
type watch struct{ tell func(*fleet.Config) }

// watch calls tell with the configuration in force, now and when another one comes into
// force, until the returned function is called. No call of tell goes on after that.
func (s *Server) watch(tell func(*fleet.Config)) (stop func()) {
	w := &watch{
		tell: tell,
	}
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	s.watches[w] = struct{}{}
	tell(s.Config())
	return func() {
		s.watchMu.Lock()
		defer s.watchMu.Unlock()
		delete(s.watches, w)
	}
}

func (s *Server) tellWatches() {
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	for w := range s.watches {
		w.tell(s.Config())
	}
}

// Config returns the configuration in force, or nil.
func (s *Server) Config() *fleet.Config { return s.config.Load() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// SetStop makes the server refuse what the process can't finish by this plan.
func (s *Server) SetStop(plan drain.Stop) {
	s.stop.Store(&plan)
	go clock.At(s.refusing, s.opts.Clock, plan.AcceptUntil, s.refuse)
}

// Refusing returns a context that ends once the process, which stops, accepts no request whose
// body has not arrived.
func (s *Server) Refusing() context.Context { return s.refusing }

// RefuseUnread refuses a request whose body has not arrived while Refusing has ended.
func (s *Server) RefuseUnread(req *Request, caller Caller) {
	c := &call{
		Server: s,
		req:    req,
		caller: caller,
		config: s.config.Load(),
	}
	c.sendProblem(c.stoppingProblem(drain.TooLate))
}

// Interrupt ends all requests now: those without an answer so far get a final one, and
// streams break off.
func (s *Server) Interrupt() { s.interrupt() }

// SetNodes sets the number of nodes that share the slack of the retry budget.
func (s *Server) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = max(1, n)
	for _, b := range s.budgets {
		b.SetBounds(s.retryRule.Ratio, s.retryRule.Slack/float64(s.nodes))
	}
}

// SetRetries changes the ratio and slack of the retry budgets. The window stays.
func (s *Server) SetRetries(r RetryRule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryRule.Ratio, s.retryRule.Slack = r.Ratio, r.Slack
	for _, b := range s.budgets {
		b.SetBounds(r.Ratio, r.Slack/float64(s.nodes))
	}
}

// budget returns the retry budget of a service. The caller holds the lock.
func (s *Server) budget(service string) *picker.Budget {
	b := s.budgets[service]
	if b == nil {
		b = picker.NewBudget(s.retryRule.Ratio, s.retryRule.Slack/float64(s.nodes), s.retryRule.Window)
		s.budgets[service] = b
	}
	return b
}

func (s *Server) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).CountRequest(s.opts.Clock.Now())
}

func (s *Server) allowRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).AllowRepeat(s.opts.Clock.Now())
}

// pauseKey is a model of a service, or the whole service if model is empty.
type pauseKey struct{ service, model string }

const (
	// pauseSampleWeight is the weight of one sample in the mean pause.
	pauseSampleWeight = 0.02
	// minWorkWeight and maxWorkWeight bound the relative work for a token of a
	// model. The largest models take about four times as long for a token as the
	// smallest.
	minWorkWeight = 0.2
	maxWorkWeight = 5
)

// recordPause records the mean pause between the events of one answer. The engine
// is compared with others that ran the same model, since models differ more than
// engines do.
func (s *Server) recordPause(service, model string, key fleet.Key, pause time.Duration) {
	s.mu.Lock()
	s.updateMeanPause(pauseKey{service: service}, pause.Seconds())
	mean := s.updateMeanPause(pauseKey{service: service, model: model}, pause.Seconds())
	s.mu.Unlock()
	if mean > 0 {
		s.opts.Table.RecordPace(key, pause.Seconds()/mean)
	}
}

// updateMeanPause adds a sample to a mean pause and returns the new mean. The caller
// holds the lock.
func (s *Server) updateMeanPause(k pauseKey, seconds float64) float64 {
	mean, ok := s.meanPauses[k]
	if !ok {
		mean = seconds
	}
	mean += (seconds - mean) * pauseSampleWeight
	s.meanPauses[k] = mean
	return mean
}

// workWeight returns how long a token of a model takes, relative to the mean of
// the service.
func (s *Server) workWeight(service, model string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceMean, modelMean := s.meanPauses[pauseKey{service: service}], s.meanPauses[pauseKey{service: service, model: model}]
	if serviceMean <= 0 || modelMean <= 0 {
		return 1
	}
	return min(maxWorkWeight, max(minWorkWeight, modelMean/serviceMean))
}

// Serve handles a request until its final answer was sent. The context must end
// when the caller closes the connection.
func (s *Server) Serve(ctx context.Context, req *Request, caller Caller) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &call{
		Server: s,
		req:    req,
		caller: caller,
		config: s.config.Load(),
	}
	c.run(ctx)
}
