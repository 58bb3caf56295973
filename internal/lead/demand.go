package lead

import (
	"context"
	"errors"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Arrived implements serve.Demand.
func (n *Node) Arrived(service, model, _ string, tokens float64) {
	n.usage.arrived(service, model, tokens)
}

// Wait implements serve.Demand. The coordinator is told at once.
func (n *Node) Wait(service, model string) (done func()) {
	done = n.usage.wait(service, model)
	n.hurry()
	return done
}

// Running implements serve.Demand.
func (n *Node) Running(key fleet.Key, model, adapter string) (done func()) {
	return n.usage.run(key, model, adapter)
}

// FetchAdapter implements serve.Demand.
func (n *Node) FetchAdapter(ctx context.Context, e fleet.Endpoint, model, adapter string) error {
	n.mu.Lock()
	address, own := n.leader, n.holds
	n.mu.Unlock()
	f := &Fetch{
		Key:     e.Key(),
		Model:   model,
		Adapter: adapter,
	}
	var r *Fetched
	var err error
	switch {
	case own:
		r, err = n.HandleFetch(ctx, f)
	case address == "":
		return errNoCoordinator
	default:
		r, err = n.opts.Peers.Fetch(ctx, address, f)
	}
	if err != nil {
		return err
	}
	if r.Problem != "" {
		return errors.New("lead: " + r.Problem)
	}
	return nil
}
