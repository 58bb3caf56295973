package node

import (
	"context"
	"fmt"
	"sync/atomic"

	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/wire"
)

// transport sends quota messages to nodes by name. It implements
// limit.Transport.
type transport struct {
	client *wire.Client
	// addresses maps node names to addresses. The control loop replaces it when
	// the membership changes.
	addresses atomic.Pointer[map[string]string]
}

func newTransport(c *wire.Client) *transport {
	t := &transport{
		client: c,
	}
	t.addresses.Store(&map[string]string{})
	return t
}

func (t *transport) address(node string) (string, error) {
	a := (*t.addresses.Load())[node]
	if a == "" {
		return "", fmt.Errorf("node %s has no known address", node)
	}
	return a, nil
}

// Deposit implements limit.Transport.
func (t *transport) Deposit(ctx context.Context, node string, req quota.DepositRequest) (quota.DepositReply, error) {
	return send(ctx, t, node, &req, t.client.Deposit)
}

// Draw implements limit.Transport.
func (t *transport) Draw(ctx context.Context, node string, req quota.DrawRequest) (quota.DrawReply, error) {
	return send(ctx, t, node, &req, t.client.Draw)
}

// Return implements limit.Transport.
func (t *transport) Return(ctx context.Context, node string, req quota.ReturnRequest) (quota.ReturnReply, error) {
	return send(ctx, t, node, &req, t.client.Return)
}

func send[Q, R any](ctx context.Context, t *transport, node string, req *Q, call func(context.Context, string, *Q) (*R, error)) (R, error) {
	var none R
	address, err := t.address(node)
	if err != nil {
		return none, err
	}
	reply, err := call(ctx, address, req)
	if err != nil {
		return none, fmt.Errorf("call node %s: %w", node, err)
	}
	return *reply, nil
}
