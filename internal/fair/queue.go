// Package fair orders the requests that wait for one endpoint, so that each
// workspace gets its weighted part of a busy endpoint. Queue is the pure core;
// Gate blocks callers around it.
//
// Between workspaces it is start-time fair queueing by cost. Within a workspace
// the class decides, then the arrival. An interactive request may run ahead of
// its workspace's turn by a bounded cost, which it makes up for later.
// Deferrable requests yield to all others until they have waited DeferBound.
package fair

import (
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// Errors of requests that don't get their turn. Nothing was sent for them.
var (
	// ErrFull means that the queue is full and the workspace has the most in it
	// for its weight.
	ErrFull = errors.New("fair: queue is full")
	// ErrDeadline means that the request's deadline passed in the queue.
	ErrDeadline = errors.New("fair: deadline passed in the queue")
	// ErrClass means that the class does not exist.
	ErrClass = errors.New("fair: unknown class")
)

// Options are the settings of a Queue. Zero values mean the defaults.
type Options struct {
	// Limit is the number of requests that the endpoint gets at once.
	Limit int
	// Reserve is the part of Limit that a workspace above its fair part may not
	// use while others are active. Running requests are not interrupted, so
	// without it every arrival of the others waits for one of them to end. The
	// default is an eighth of Limit.
	Reserve int
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// DeferBound is how long a request yields to more urgent classes.
	DeferBound time.Duration
	// Credit is the cost that a workspace which used less than its part may catch
	// up. Without it a group of its requests would take turns with a workspace
	// that always has requests waiting.
	Credit int64
	// InteractiveLead is the cost by which interactive requests run ahead.
	InteractiveLead int64
}

// Defaults of Options.
const (
	DefaultLimit           = 32
	DefaultMaxQueue        = 1024
	DefaultDeferBound      = 30 * time.Second
	DefaultCredit          = 16384
	DefaultInteractiveLead = 4096
	// activeFor is how long a workspace counts as active after its last request.
	activeFor = 10 * time.Second
)

// State is what became of a Ticket.
type State int

// The states of a Ticket.
const (
	Waiting State = iota
	Running
	Over
)

// Ticket is one request.
type Ticket struct {
	Workspace string
	Weight    float64
	Class     spec.Class
	// Cost is in tokens.
	Cost int64
	// Deadline is the end of the wait; zero means none.
	Deadline time.Time

	state   State
	arrived time.Time
	seq     uint64
	flow    *flow
}

// State tells whether the ticket waits, runs or is over.
func (t *Ticket) State() State {
	return t.state
}

// Queue is the state in front of one endpoint. It is not safe for concurrent use.
type Queue struct {
	opts    Options
	flows   map[string]*flow
	virtual float64
	seq     uint64
	waiting int
	running int
	swept   time.Time
}

// flow is the state of one workspace.
type flow struct {
	name    string
	weight  float64
	start   float64 // virtual time at which its next request starts
	classes [3][]*Ticket
	waiting int
	queued  int64 // cost of the waiting requests
	running int
	last    time.Time
}

// NewQueue returns an empty Queue.
func NewQueue(opts Options) *Queue {
	if opts.Limit <= 0 {
		opts.Limit = DefaultLimit
	}
	if opts.MaxQueue <= 0 {
		opts.MaxQueue = DefaultMaxQueue
	}
	if opts.DeferBound <= 0 {
		opts.DeferBound = DefaultDeferBound
	}
	if opts.Credit <= 0 {
		opts.Credit = DefaultCredit
	}
	if opts.InteractiveLead <= 0 {
		opts.InteractiveLead = DefaultInteractiveLead
	}
	return &Queue{
		opts:  opts,
		flows: make(map[string]*flow),
	}
}

// reserve is Options.Reserve, or an eighth of the limit.
func (q *Queue) reserve() int {
	if q.opts.Reserve > 0 {
		return min(q.opts.Reserve, q.opts.Limit-1)
	}
	return q.opts.Limit / 8
}

// SetLimit changes how many requests the endpoint gets at once. Running
// requests go on when it is lowered.
func (q *Queue) SetLimit(limit int) {
	q.opts.Limit = max(1, limit)
}

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Running is the number of requests at the endpoint.
func (q *Queue) Running() int { return q.running }

func rankOf(c spec.Class) int {
	return slices.Index([]spec.Class{spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable}, c)
}

// Push adds a request. If the queue is full, the newest request of the
// workspace with the most waiting cost for its weight has to go: either the
// returned one, which is now over, or t itself, with ErrFull.
func (q *Queue) Push(now time.Time, t *Ticket) (*Ticket, error) {
	class := rankOf(t.Class)
	if class < 0 {
		return nil, ErrClass
	}
	q.sweep(now)
	f := q.flows[t.Workspace]
	if f == nil {
		f = &flow{
			name: t.Workspace,
		}
		q.flows[t.Workspace] = f
	}
	f.weight = t.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	f.last = now
	t.Cost = max(1, t.Cost)
	var out *Ticket
	if q.waiting >= q.opts.MaxQueue {
		out = q.heaviest(f, t)
		if out == nil {
			return nil, ErrFull
		}
		q.remove(out)
		out.state = Over
	}
	if f.waiting == 0 {
		f.start = max(f.start, q.virtual-float64(q.opts.Credit)/f.weight)
	}
	q.seq++
	t.seq, t.arrived, t.flow, t.state = q.seq, now, f, Waiting
	f.classes[class] = append(f.classes[class], t)
	f.waiting++
	f.queued += t.Cost
	q.waiting++
	return out, nil
}

// heaviest returns the request to push out for t, or nil if t has to go.
func (q *Queue) heaviest(own *flow, t *Ticket) *Ticket {
	worst, load := own, float64(own.queued+t.Cost)/own.weight
	for _, f := range q.flows {
		l := float64(f.queued) / f.weight
		if f.waiting > 0 && f != own && (l > load || l == load && f.name < worst.name && worst != own) {
			worst, load = f, l
		}
	}
	if worst == own {
		return nil
	}
	for class := len(worst.classes) - 1; class >= 0; class-- {
		if n := len(worst.classes[class]); n > 0 {
			return worst.classes[class][n-1]
		}
	}
	return nil
}

// Next starts the next request, if the limit allows one. It has to be called
// after Push, Done and SetLimit until it returns nil.
func (q *Queue) Next(now time.Time) *Ticket {
	if q.running >= q.opts.Limit || q.waiting == 0 {
		return nil
	}
	var best *Ticket
	var bestRank int
	var bestKey float64
	lowest := -1.0
	var weights float64
	active := 0
	for _, f := range q.flows {
		if now.Sub(f.last) < activeFor || f.waiting > 0 || f.running > 0 {
			weights += f.weight
			active++
		}
	}
	for _, f := range q.flows {
		if f.waiting == 0 {
			continue
		}
		if lowest < 0 || f.start < lowest {
			lowest = f.start
		}
		if active > 1 && q.running >= q.opts.Limit-q.reserve() &&
			f.start >= q.virtual && float64(f.running) >= float64(q.opts.Limit)*f.weight/weights {
			continue
		}
		t, rank := q.head(now, f)
		key := f.start
		if rank == 0 {
			key -= float64(q.opts.InteractiveLead) / f.weight
		}
		// A deferrable request comes after all others, whatever its turn.
		deferred, bestDeferred := rank == 2, bestRank == 2
		if best == nil || deferred != bestDeferred && !deferred ||
			deferred == bestDeferred && (key < bestKey || key == bestKey && t.seq < best.seq) {
			best, bestRank, bestKey = t, rank, key
		}
	}
	if best == nil {
		return nil
	}
	f := best.flow
	q.remove(best)
	q.virtual = max(q.virtual, lowest)
	f.start += float64(best.Cost) / f.weight
	f.running++
	q.running++
	best.state = Running
	return best
}

// head returns the request of a workspace that comes first, and the rank of
// its class. A request that waited DeferBound ranks with the most urgent ones;
// otherwise urgent requests of its own workspace could hold it up for ever.
func (q *Queue) head(now time.Time, f *flow) (*Ticket, int) {
	var best *Ticket
	bestRank := 0
	for class, list := range f.classes {
		if len(list) == 0 {
			continue
		}
		t, rank := list[0], class
		if now.Sub(t.arrived) >= q.opts.DeferBound {
			rank = 0
		}
		if best == nil || rank < bestRank || rank == bestRank && t.seq < best.seq {
			best, bestRank = t, rank
		}
	}
	return best, bestRank
}

// Done ends a running request, or withdraws a waiting one. Calls after the
// first do nothing.
func (q *Queue) Done(t *Ticket) {
	switch t.state {
	case Running:
		t.flow.running--
		q.running--
	case Waiting:
		q.remove(t)
	case Over:
		return
	}
	t.state = Over
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var out []*Ticket
	for _, f := range q.flows {
		for _, list := range f.classes {
			for _, t := range list {
				if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
					out = append(out, t)
				}
			}
		}
	}
	for _, t := range out {
		q.remove(t)
		t.state = Over
	}
	return out
}

func (q *Queue) remove(t *Ticket) {
	f := t.flow
	for class := range f.classes {
		if i := slices.Index(f.classes[class], t); i >= 0 {
			f.classes[class] = slices.Delete(f.classes[class], i, i+1)
			f.waiting--
			f.queued -= t.Cost
			q.waiting--
			return
		}
	}
}

// sweep forgets workspaces that are idle.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.swept) < activeFor {
		return
	}
	q.swept = now
	for name, f := range q.flows {
		if f.waiting == 0 && f.running == 0 && now.Sub(f.last) >= activeFor {
			delete(q.flows, name)
		}
	}
}
