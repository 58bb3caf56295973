package proc

import (
	"net/http"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/caller"
	"trefoildale.example/trefoildale/internal/conf"
)

// recordClosingAt returns the function that records connections of a listener which the
// process closes.
func (p *Process) recordClosingAt(listener string) func(caller.Closing) {
	return func(c caller.Closing) { p.recordClosing(listener, c) }
}

// The limits of the listeners for the load balancer's checks and for metrics.
const (
	sideConns          = 16
	sideHeadsBytes     = 256 << 10
	sideMaxHeaderBytes = 8 << 10
	sideHeaderTimeout  = 2 * time.Second
)

// newSideServer returns a server for few clients that send small requests without a body.
func (p *Process) newSideServer(listener string, h http.Handler) *caller.Server {
	return caller.NewServer(caller.Options{
		Handler:          h,
		IdleLimit:        func() time.Duration { return 0 },
		FirstByteTimeout: sideHeaderTimeout,
		HeaderTimeout:    func() time.Duration { return sideHeaderTimeout },
		MaxHeaderBytes:   func() int { return sideMaxHeaderBytes },
		LastAnswer:       caller.RequestTimeout,
		OnClose:          p.recordClosingAt(listener),
		Budget: budget.NewPool(budget.Limits{
			budget.Conns: sideConns,
			budget.Heads: sideHeadsBytes,
		}),
	})
}

// newPeersBudget returns the places for connections of other nodes. Their number is bounded
// as that of callers is by descriptors: a fleet may have more nodes than one has memory for
// callers.
func (p *Process) newPeersBudget() *budget.Pool {
	return budget.NewPool(budget.Limits{
		budget.Conns: budget.ConnsByDescriptors(budget.Descriptors(p.settings.Node.MaxFDs)),
	})
}

// newBudget returns what callers may use of the memory and the descriptors of the process.
func newBudget(settings *conf.Fleet) *budget.Pool {
	return budget.NewPool(budget.Divide(settings.Node.MemoryMB*1e6, budget.Descriptors(settings.Node.MaxFDs)))
}

const (
	// limitLines is how many lines about clients that a limit has ended are written in each
	// limitInterval. Further ones are counted.
	limitLines    = 20
	limitInterval = time.Second
)

// limitLog bounds the lines about clients that a limit has ended.
type limitLog struct {
	mu      sync.Mutex
	until   time.Time
	lines   int
	omitted int
}

// allow reports whether a line may be written, and how many were omitted before it.
func (l *limitLog) allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		l.until, l.lines = now.Add(limitInterval), 0
	}
	if l.lines >= limitLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// recordLimited counts and logs a client that a limit has ended.
func (p *Process) recordLimited(listener string, c caller.Closing) {
	p.requestMetrics.limited.WithLabelValues(c.Limit.Name).Inc()
	omitted, ok := p.limits.allow(p.clock.Now())
	if !ok {
		return
	}
	p.log.Warn("client ended by a limit", "listener", listener, "limit", c.Limit.Name, "size", c.Limit.Size, "used", c.Limit.Used, "phase", c.Limit.Phase.String(),
		"stopped-ms", c.Limit.Stopped.Milliseconds(), "request", c.Request.ID, "path", c.Request.Path, "request-age-ms", c.Request.Age.Milliseconds(),
		"connections", p.budget.Used(budget.Conns), "bodies", p.budget.Used(budget.Bodies), "omitted-lines", omitted)
}

// addBudgetGauges exposes what is in use of each part of the budget.
func (p *Process) addBudgetGauges() {
	for _, part := range budget.Parts() {
		p.requestMetrics.addPartGauge("trefoildale_caller_budget_used", "What callers use of a part of the process's budget: connections, or bytes.", part,
			func() float64 { return float64(p.budget.Used(part)) })
		p.requestMetrics.addPartGauge("trefoildale_caller_budget_limit", "The size of a part of the process's budget: connections, or bytes.", part,
			func() float64 { return float64(p.budget.Limit(part)) })
	}
}
