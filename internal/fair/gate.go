package fair

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Gate lets callers wait for their turn at one endpoint.
type Gate struct {
	clock clock.Clock
	mu    sync.Mutex
	queue *Queue
	turns map[*Ticket]chan error
}

// NewGate returns a Gate without requests.
func NewGate(c clock.Clock, opts Options) *Gate {
	return &Gate{
		clock: c,
		queue: NewQueue(opts),
		turns: make(map[*Ticket]chan error),
	}
}

// Acquire waits until the request may go to the endpoint. release has to be
// called when it has ended; calls after the first do nothing. The errors are
// ErrFull, ErrDeadline, ErrClass and that of ctx, all wrapped.
func (g *Gate) Acquire(ctx context.Context, workspace string, weight float64, class spec.Class, cost int64) (release func(), err error) {
	t := &Ticket{
		Workspace: workspace,
		Weight:    weight,
		Class:     class,
		Cost:      cost,
	}
	turn := make(chan error, 1)
	g.mu.Lock()
	out, err := g.queue.Push(g.clock.Now(), t)
	if err != nil {
		g.mu.Unlock()
		return nil, fmt.Errorf("queue request of workspace %s: %w", workspace, err)
	}
	g.turns[t] = turn
	if out != nil {
		g.tell(out, ErrFull)
	}
	g.start()
	g.mu.Unlock()
	select {
	case err = <-turn:
	case <-ctx.Done():
		err = ctx.Err()
		if errors.Is(err, context.DeadlineExceeded) {
			err = errors.Join(ErrDeadline, err)
		}
		// If the turn came at the same moment, Done frees the place again.
		g.finish(t)
	}
	if err != nil {
		return nil, fmt.Errorf("wait for the turn of workspace %s: %w", workspace, err)
	}
	return func() { g.finish(t) }, nil
}

// SetLimit changes how many requests the endpoint gets at once.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(limit)
	g.start()
}

// Load is the number of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}

func (g *Gate) finish(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.turns, t)
	g.queue.Done(t)
	g.start()
}

func (g *Gate) start() {
	now := g.clock.Now()
	for t := g.queue.Next(now); t != nil; t = g.queue.Next(now) {
		g.tell(t, nil)
	}
}

func (g *Gate) tell(t *Ticket, err error) {
	if turn, ok := g.turns[t]; ok {
		delete(g.turns, t)
		turn <- err
	}
}
