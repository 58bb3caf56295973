// Package fair orders the requests that wait for one endpoint, so that each
// workspace gets its weighted share of a busy endpoint. Queue contains the
// scheduling without any blocking; Gate adds blocking for callers.
//
// Workspaces are scheduled by start-time fair queueing, with the cost of a
// request as its length. Requests of one workspace are ordered by class, then by
// arrival. An interactive request may run ahead of its workspace's virtual start
// time by a bounded cost, which is charged to later requests of the workspace.
// Deferrable requests come after all others until they have waited for
// DeferBound.
package fair

import (
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// Errors for requests that were not admitted. Nothing was sent for them.
var (
	// ErrFull means that the queue is full and that the request's workspace has
	// the highest waiting cost relative to its weight.
	ErrFull = errors.New("fair: queue is full")
	// ErrDeadline means that the deadline of the request passed while it waited.
	ErrDeadline = errors.New("fair: deadline passed in the queue")
	// ErrClosed means that the endpoint was removed or moved while the request waited.
	ErrClosed = errors.New("fair: queue is closed")
	// ErrClass means that the class does not exist.
	ErrClass = errors.New("fair: unknown class")
)

// Options configures a Queue. Zero values select the defaults.
type Options struct {
	// Limit is the number of requests that the endpoint handles at the same
	// time.
	Limit int
	// Reserve is the part of Limit that a workspace above its fair share may not
	// use while other workspaces are active. Running requests are not
	// interrupted, so without a reserve each request of the other workspaces has
	// to wait until one of them ends. The default is an eighth of Limit.
	Reserve int
	// MaxQueue bounds the number of waiting requests.
	MaxQueue int
	// DeferBound is the waiting time after which a request is treated like one
	// of the most urgent class.
	DeferBound time.Duration
	// Credit is the cost that a workspace which used less than its share may
	// catch up on. Without credit, a burst of its requests would alternate with
	// those of a workspace that always has requests waiting.
	Credit int64
	// InteractiveLead is the cost by which an interactive request may run ahead
	// of the virtual start time of its workspace.
	InteractiveLead int64
}

// Defaults of Options.
const (
	DefaultLimit           = 32
	DefaultMaxQueue        = 1024
	DefaultDeferBound      = 30 * time.Second
	DefaultCredit          = 16384
	DefaultInteractiveLead = 4096
	// activeTimeout is how long a workspace is considered active after its last
	// request arrived.
	activeTimeout = 10 * time.Second
)

// State is the state of a Ticket.
type State int

// The states of a Ticket.
const (
	Waiting State = iota
	Running
	Finished
)

// Ticket is one request in a Queue.
type Ticket struct {
	Workspace string
	Weight    float64
	Class     spec.Class
	// Cost is the expected work of the request in tokens.
	Cost int64
	// Deadline is when the request stops waiting; the zero time means no
	// deadline.
	Deadline time.Time

	state   State
	arrived time.Time
	seq     uint64
	flow    *flow
}

// State returns whether the request waits, runs or has finished.
func (t *Ticket) State() State {
	return t.state
}

// Queue schedules the requests of one endpoint. It is not safe for concurrent
// use.
type Queue struct {
	opts        Options
	flows       map[string]*flow
	virtualTime float64
	seq         uint64
	waiting     int
	running     int
	lastSweep   time.Time
}

// flow is the scheduling state of one workspace.
type flow struct {
	name         string
	weight       float64
	virtualStart float64 // virtual start time of its next request
	classes      [3][]*Ticket
	waiting      int
	queuedCost   int64 // cost of the waiting requests
	running      int
	lastArrival  time.Time
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

// reserve returns Options.Reserve, but at most one less than the limit, or an
// eighth of the limit if it is not set.
func (q *Queue) reserve() int {
	if q.opts.Reserve > 0 {
		return min(q.opts.Reserve, q.opts.Limit-1)
	}
	return q.opts.Limit / 8
}

// SetLimit changes how many requests the endpoint handles at the same time.
// Lowering it does not affect running requests.
func (q *Queue) SetLimit(limit int) {
	q.opts.Limit = max(1, limit)
}

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of requests at the endpoint.
func (q *Queue) Running() int { return q.running }

func classRank(c spec.Class) int {
	return slices.Index([]spec.Class{spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable}, c)
}

// Push adds a request. If the queue is full, the workspace with the highest
// waiting cost relative to its weight loses a request: either its newest request
// of the least urgent class is removed and returned as Finished, or t itself is
// rejected with ErrFull.
func (q *Queue) Push(now time.Time, t *Ticket) (*Ticket, error) {
	class := classRank(t.Class)
	if class < 0 {
		return nil, ErrClass
	}
	q.removeIdle(now)
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
	f.lastArrival = now
	t.Cost = max(1, t.Cost)
	var out *Ticket
	if q.waiting >= q.opts.MaxQueue {
		out = q.evictionCandidate(f, t)
		if out == nil {
			return nil, ErrFull
		}
		q.remove(out)
		out.state = Finished
	}
	if f.waiting == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime-float64(q.opts.Credit)/f.weight)
	}
	q.seq++
	t.seq, t.arrived, t.flow, t.state = q.seq, now, f, Waiting
	f.classes[class] = append(f.classes[class], t)
	f.waiting++
	f.queuedCost += t.Cost
	q.waiting++
	return out, nil
}

// evictionCandidate returns the request to evict in favour of t, or nil if t
// itself has to be rejected.
func (q *Queue) evictionCandidate(own *flow, t *Ticket) *Ticket {
	worst, load := own, float64(own.queuedCost+t.Cost)/own.weight
	for _, f := range q.flows {
		l := float64(f.queuedCost) / f.weight
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

// Next starts the next request and returns it, or nil if none may start. The
// caller must call it after Push, Done and SetLimit until it returns nil.
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
		if now.Sub(f.lastArrival) < activeTimeout || f.waiting > 0 || f.running > 0 {
			weights += f.weight
			active++
		}
	}
	for _, f := range q.flows {
		if f.waiting == 0 {
			continue
		}
		if lowest < 0 || f.virtualStart < lowest {
			lowest = f.virtualStart
		}
		if active > 1 && q.running >= q.opts.Limit-q.reserve() &&
			f.virtualStart >= q.virtualTime && float64(f.running) >= float64(q.opts.Limit)*f.weight/weights {
			continue
		}
		t, rank := q.firstOf(now, f)
		key := f.virtualStart
		if rank == 0 {
			key -= float64(q.opts.InteractiveLead) / f.weight
		}
		// A deferrable request comes after all others, whatever its virtual start
		// time.
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
	q.virtualTime = max(q.virtualTime, lowest)
	f.virtualStart += float64(best.Cost) / f.weight
	f.running++
	q.running++
	best.state = Running
	return best
}

// firstOf returns the first request of a workspace and the rank of its class. A
// request that has waited for DeferBound gets the rank of the most urgent class,
// because otherwise more urgent requests of the same workspace could delay it
// indefinitely.
func (q *Queue) firstOf(now time.Time, f *flow) (*Ticket, int) {
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

// Done ends a running request or removes a waiting one. Further calls for the
// same request do nothing.
func (q *Queue) Done(t *Ticket) {
	switch t.state {
	case Running:
		t.flow.running--
		q.running--
	case Waiting:
		q.remove(t)
	case Finished:
		return
	}
	t.state = Finished
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
		t.state = Finished
	}
	return out
}

func (q *Queue) remove(t *Ticket) {
	f := t.flow
	for class := range f.classes {
		if i := slices.Index(f.classes[class], t); i >= 0 {
			f.classes[class] = slices.Delete(f.classes[class], i, i+1)
			f.waiting--
			f.queuedCost -= t.Cost
			q.waiting--
			return
		}
	}
}

// removeIdle removes the flows of idle workspaces, at most once per
// activeTimeout.
func (q *Queue) removeIdle(now time.Time) {
	if now.Sub(q.lastSweep) < activeTimeout {
		return
	}
	q.lastSweep = now
	for name, f := range q.flows {
		if f.waiting == 0 && f.running == 0 && now.Sub(f.lastArrival) >= activeTimeout {
			delete(q.flows, name)
		}
	}
}
