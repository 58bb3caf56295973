package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/quota"
)

// SyncRequest is a heartbeat. It combines the membership and the configuration
// exchange.
type SyncRequest struct {
	Peer peers.MemberRequest `cbor:"1,keyasint"`
	// Feed is nil until the sender knows the identity of the receiver.
	Feed *feed.ConfigRequest `cbor:"2,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *SyncRequest) Validate() error {
	if err := r.Peer.Validate(); err != nil {
		return err
	}
	if r.Feed == nil {
		return nil
	}
	return r.Feed.Validate()
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Peer peers.MemberResponse `cbor:"1,keyasint"`
	Feed *feed.ConfigResponse `cbor:"2,keyasint,omitempty"`
	// Planners are the planners that the responder knows. It sends the one of
	// its own domain, and those of all domains to another relay of its domain.
	Planners []Planner `cbor:"3,keyasint,omitempty"`
}

// Planner names the node that decides model placement for a domain.
type Planner struct {
	Domain string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
}

// Validate checks a decoded message.
func (r *SyncReply) Validate() error {
	if err := r.Peer.Validate(); err != nil {
		return err
	}
	for _, p := range r.Planners {
		if p.Domain == "" || p.Node == "" || len(p.Domain)+len(p.Node) > maxIDBytes {
			return fmt.Errorf("malformed planner of domain %.64q", p.Domain)
		}
	}
	if r.Feed == nil {
		return nil
	}
	return r.Feed.Validate()
}

// LayoutVersion identifies the version of a domain's layout that a node has.
type LayoutVersion struct {
	Domain string       `cbor:"1,keyasint"`
	Term   engine.Fence `cbor:"2,keyasint"`
	Seq    int64        `cbor:"3,keyasint"`
}

// EndpointLoad is a load report that a node read from an endpoint.
type EndpointLoad struct {
	Endpoint string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint,omitempty"`
	Queued   int    `cbor:"3,keyasint,omitempty"`
	// TokensPerSecond is rounded to an integer. One or two bytes of precision
	// are enough for routing.
	TokensPerSecond int64 `cbor:"4,keyasint,omitempty"`
	// Age is the age of the report at the time the message was sent.
	Age     time.Duration `cbor:"5,keyasint,omitempty"`
	Leaving bool          `cbor:"6,keyasint,omitempty"`
}

// maxEndpoints bounds the number of endpoints in one message. A domain of the
// size that the system is designed for has 87.
const maxEndpoints = 4096

func validateLoads(loads []EndpointLoad) error {
	if len(loads) > maxEndpoints {
		return fmt.Errorf("load reports of %d endpoints", len(loads))
	}
	for _, l := range loads {
		if l.Endpoint == "" || l.Running < 0 || l.Queued < 0 || l.Age < 0 {
			return fmt.Errorf("malformed load report of endpoint %.64q", l.Endpoint)
		}
	}
	return nil
}

// DemandRequest reports a node's demand to the planner of its domain and
// requests layouts. A planner sends it to the planners of other domains, with a
// report only for demand that its own domain cannot meet.
type DemandRequest struct {
	Domain string              `cbor:"1,keyasint"`
	Report *place.DemandReport `cbor:"2,keyasint,omitempty"`
	Held   []LayoutVersion     `cbor:"3,keyasint,omitempty"`
	Loads  []EndpointLoad      `cbor:"4,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *DemandRequest) Validate() error {
	if r.Domain == "" || len(r.Held) > maxEndpoints {
		return errors.New("demand request without a domain or with too many layouts")
	}
	if err := validateLoads(r.Loads); err != nil {
		return err
	}
	if r.Report == nil {
		return nil
	}
	return r.Report.Validate()
}

// DemandReply carries the layout changes and the endpoint loads of the planner's
// domain.
type DemandReply struct {
	// Planner is false when the receiver is not the planner of its domain.
	Planner bool                `cbor:"1,keyasint"`
	Layouts []place.LayoutReply `cbor:"2,keyasint,omitempty"`
	Loads   []EndpointLoad      `cbor:"3,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *DemandReply) Validate() error {
	for _, l := range r.Layouts {
		if err := l.Validate(); err != nil {
			return err
		}
	}
	return validateLoads(r.Loads)
}

// FindRequest queries the audit records of a node, or cancels a request that it
// runs.
type FindRequest struct {
	Query audit.Query `cbor:"1,keyasint"`
	// Cancel is the id of a request to cancel. If it is set, Query is ignored.
	Cancel string `cbor:"2,keyasint,omitempty"`
	// Domain makes the receiving relay include the records of all nodes of its
	// domain.
	Domain bool `cbor:"3,keyasint,omitempty"`
}

// maxIDBytes bounds the length of ids and names received from another process.
const maxIDBytes = 128

// Validate checks a decoded message.
func (r *FindRequest) Validate() error {
	if len(r.Cancel) > maxIDBytes {
		return errors.New("request id is too long")
	}
	if r.Cancel != "" {
		return nil
	}
	return r.Query.Validate()
}

// FindReply answers a FindRequest.
type FindReply struct {
	Answer audit.Answer `cbor:"1,keyasint"`
	// Found reports whether the node ran the request to cancel.
	Found bool `cbor:"2,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *FindReply) Validate() error {
	return r.Answer.Validate()
}

// PeerHandler handles the messages of the trefoildale.Peer service.
type PeerHandler interface {
	Sync(ctx context.Context, req *SyncRequest) (*SyncReply, error)
	Deposit(ctx context.Context, req *quota.DepositRequest) (*quota.DepositReply, error)
	Draw(ctx context.Context, req *quota.DrawRequest) (*quota.DrawReply, error)
	Return(ctx context.Context, req *quota.ReturnRequest) (*quota.ReturnReply, error)
	Demand(ctx context.Context, req *DemandRequest) (*DemandReply, error)
	Find(ctx context.Context, req *FindRequest) (*FindReply, error)
}

// The method names of the trefoildale.Peer service.
const (
	methodSync    = "Sync"
	methodDeposit = "Deposit"
	methodDraw    = "Draw"
	methodReturn  = "Return"
	methodDemand  = "Demand"
	methodFind    = "Find"
)

var peerDesc = grpc.ServiceDesc{
	ServiceName: peerService,
	HandlerType: (*PeerHandler)(nil),
	Methods: []grpc.MethodDesc{
		method(methodSync, PeerHandler.Sync),
		method(methodDeposit, PeerHandler.Deposit),
		method(methodDraw, PeerHandler.Draw),
		method(methodReturn, PeerHandler.Return),
		method(methodDemand, PeerHandler.Demand),
		method(methodFind, PeerHandler.Find),
	},
	Streams: []grpc.StreamDesc{},
}

// Sync sends a heartbeat to the process at address and returns its reply.
func (c *Client) Sync(ctx context.Context, address string, req *SyncRequest) (*SyncReply, error) {
	return callPeer[SyncRequest, SyncReply](ctx, c, address, methodSync, req)
}

// Deposit sends a deposit request to the process at address.
func (c *Client) Deposit(ctx context.Context, address string, req *quota.DepositRequest) (*quota.DepositReply, error) {
	return callPeer[quota.DepositRequest, quota.DepositReply](ctx, c, address, methodDeposit, req)
}

// Draw requests tokens from the pool at address.
func (c *Client) Draw(ctx context.Context, address string, req *quota.DrawRequest) (*quota.DrawReply, error) {
	return callPeer[quota.DrawRequest, quota.DrawReply](ctx, c, address, methodDraw, req)
}

// Return returns tokens to the pool at address.
func (c *Client) Return(ctx context.Context, address string, req *quota.ReturnRequest) (*quota.ReturnReply, error) {
	return callPeer[quota.ReturnRequest, quota.ReturnReply](ctx, c, address, methodReturn, req)
}

// Demand sends demand to the planner at address and returns its reply.
func (c *Client) Demand(ctx context.Context, address string, req *DemandRequest) (*DemandReply, error) {
	return callPeer[DemandRequest, DemandReply](ctx, c, address, methodDemand, req)
}

// Find queries the audit records of the process at address, or cancels a request
// there.
func (c *Client) Find(ctx context.Context, address string, req *FindRequest) (*FindReply, error) {
	return callPeer[FindRequest, FindReply](ctx, c, address, methodFind, req)
}
