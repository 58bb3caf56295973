package fair

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Gate blocks callers until the queue of an endpoint admits their requests.
type Gate struct {
	clock   clock.Clock
	mu      sync.Mutex
	queue   *Queue
	waiters map[*Ticket]chan error
	closed  bool
}

// NewGate returns an empty Gate.
func NewGate(c clock.Clock, opts Options) *Gate {
	return &Gate{
		clock:   c,
		queue:   NewQueue(opts),
		waiters: make(map[*Ticket]chan error),
	}
}

// Acquire blocks until the request may be sent to the endpoint. The caller must
// call release when the request has ended; further calls do nothing. The
// returned error wraps ErrFull, ErrDeadline, ErrClass, ErrClosed or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, workspace string, weight float64, class spec.Class, cost int64) (release func(), err error) {
	t := &Ticket{
		Workspace: workspace,
		Weight:    weight,
		Class:     class,
		Cost:      cost,
	}
	admitted := make(chan error, 1)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, ErrClosed
	}
	out, err := g.queue.Push(g.clock.Now(), t)
	if err != nil {
		g.mu.Unlock()
		return nil, fmt.Errorf("queue request of workspace %s: %w", workspace, err)
	}
	g.waiters[t] = admitted
	if out != nil {
		g.notify(out, ErrFull)
	}
	g.dispatch()
	g.mu.Unlock()
	select {
	case err = <-admitted:
	case <-ctx.Done():
		err = ctx.Err()
		if errors.Is(err, context.DeadlineExceeded) {
			err = errors.Join(ErrDeadline, err)
		}
		// If the request was admitted at the same moment, this frees its place.
		g.finish(t)
	}
	if err != nil {
		return nil, fmt.Errorf("wait in the queue for workspace %s: %w", workspace, err)
	}
	return func() { g.finish(t) }, nil
}

// Close makes all requests that wait, and those that come later, return ErrClosed.
// Running requests are not affected.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for t := range g.waiters {
		g.queue.Done(t)
		g.notify(t, ErrClosed)
	}
}

// SetLimit changes how many requests the endpoint handles at the same time.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(limit)
	g.dispatch()
}

// Load returns the numbers of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}

func (g *Gate) finish(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, t)
	g.queue.Done(t)
	g.dispatch()
}

func (g *Gate) dispatch() {
	now := g.clock.Now()
	for t := g.queue.Next(now); t != nil; t = g.queue.Next(now) {
		g.notify(t, nil)
	}
}

func (g *Gate) notify(t *Ticket, err error) {
	if admitted, ok := g.waiters[t]; ok {
		delete(g.waiters, t)
		admitted <- err
	}
}
