package node

import (
	"context"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/quota"
	"trefoildale.example/trefoildale/internal/wire"
)

// peerHandler serves requests from other entry processes. It implements
// wire.PeerHandler.
type peerHandler struct {
	node *Node
}

// Sync implements wire.PeerHandler.
func (h *peerHandler) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	reply := make(chan *wire.SyncReply, 1)
	if !h.node.loop.post(heartbeatRequest{req: req, reply: reply}) {
		return nil, errStopped
	}
	return receive(ctx, reply)
}

// Deposit implements wire.PeerHandler.
func (h *peerHandler) Deposit(ctx context.Context, req *quota.DepositRequest) (*quota.DepositReply, error) {
	reply, err := h.node.limiter.HandleDeposit(ctx, *req)
	return &reply, err
}

// Draw implements wire.PeerHandler.
func (h *peerHandler) Draw(ctx context.Context, req *quota.DrawRequest) (*quota.DrawReply, error) {
	reply, err := h.node.limiter.HandleDraw(ctx, *req)
	return &reply, err
}

// Return implements wire.PeerHandler.
func (h *peerHandler) Return(ctx context.Context, req *quota.ReturnRequest) (*quota.ReturnReply, error) {
	reply, err := h.node.limiter.HandleReturn(ctx, *req)
	return &reply, err
}

// Demand implements wire.PeerHandler.
func (h *peerHandler) Demand(ctx context.Context, req *wire.DemandRequest) (*wire.DemandReply, error) {
	reply := make(chan *wire.DemandReply, 1)
	if !h.node.loop.post(demandRequest{req: req, reply: reply}) {
		return nil, errStopped
	}
	return receive(ctx, reply)
}

// Find implements wire.PeerHandler.
func (h *peerHandler) Find(ctx context.Context, req *wire.FindRequest) (*wire.FindReply, error) {
	if req.Cancel != "" {
		return &wire.FindReply{
			Found: h.node.entry.Cancel(req.Cancel),
		}, nil
	}
	answers := []audit.Answer{h.node.audit.Answer(req.Query)}
	if req.Domain {
		answers = append(answers, h.node.findInDomain(ctx, req.Query)...)
	}
	return &wire.FindReply{
		Answer: audit.Merge(req.Query, answers...),
	}, nil
}
