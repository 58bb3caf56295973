package coord

import (
	"context"
	"errors"

	"trefoildale.example/trefoildale/internal/fleet"
)

// RecordArrival implements serve.Demand. The next exchange reports the work to
// the coordinator.
func (n *Node) RecordArrival(service, model, _ string, work float64) {
	n.usage.addWork(service, model, work)
}

// TrackWaiting implements serve.Demand. It starts an exchange at once, so that
// the coordinator loads the model without waiting for the next regular exchange.
func (n *Node) TrackWaiting(service, model string) (done func()) {
	done = n.usage.addWaiting(service, model)
	n.requestExchange()
	return done
}

// TrackRunning implements serve.Demand. Running requests are reported with every
// full exchange.
func (n *Node) TrackRunning(key fleet.Key, model, adapter string) (done func()) {
	return n.usage.addRunning(key, model, adapter)
}

// LoadAdapter implements serve.Demand. It sends the coordinator a request to load
// the adapter, and returns when the adapter is usable or the load has failed.
func (n *Node) LoadAdapter(ctx context.Context, e fleet.Endpoint, model, adapter string) error {
	n.mu.Lock()
	address, own := n.coordinatorAddress, n.isCoordinator
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
		return errors.New("coord: " + r.Problem)
	}
	return nil
}
