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

// SyncRequest is a heartbeat: membership and configuration in one message.
type SyncRequest struct {
	Peer peers.Hello `cbor:"1,keyasint"`
	// Feed is nil until the sender knows whom it talks to.
	Feed *feed.Ask `cbor:"2,keyasint,omitempty"`
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
	Peer peers.Welcome `cbor:"1,keyasint"`
	Feed *feed.Answer  `cbor:"2,keyasint,omitempty"`
	// Planners are those that the responder knows: of its own domain, and for
	// another relay of its domain those of all domains.
	Planners []Planner `cbor:"3,keyasint,omitempty"`
}

// Planner names the node that places the models of a domain.
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
		if p.Domain == "" || p.Node == "" || len(p.Domain)+len(p.Node) > maxID {
			return fmt.Errorf("malformed planner of domain %.64q", p.Domain)
		}
	}
	if r.Feed == nil {
		return nil
	}
	return r.Feed.Validate()
}

// LayoutMark names the layout of a domain that a node holds.
type LayoutMark struct {
	Domain string       `cbor:"1,keyasint"`
	Term   engine.Fence `cbor:"2,keyasint"`
	Seq    int64        `cbor:"3,keyasint"`
}

// EndpointLoad is a load report that a node read from an endpoint.
type EndpointLoad struct {
	Endpoint string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint,omitempty"`
	Queued   int    `cbor:"3,keyasint,omitempty"`
	// TokensPerSecond is rounded; one byte or two are enough for routing.
	TokensPerSecond int64 `cbor:"4,keyasint,omitempty"`
	// Age is how old the report was when the message was sent.
	Age     time.Duration `cbor:"5,keyasint,omitempty"`
	Leaving bool          `cbor:"6,keyasint,omitempty"`
}

// maxEndpoints bounds the endpoints in one message. A domain of the design size
// has 87.
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

// DemandRequest reports a node's demand to the planner of its domain and asks
// for layouts. A planner of another domain sends it without a report.
type DemandRequest struct {
	Domain string              `cbor:"1,keyasint"`
	Report *place.DemandReport `cbor:"2,keyasint,omitempty"`
	Held   []LayoutMark        `cbor:"3,keyasint,omitempty"`
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

// DemandReply carries what changed in the layouts, and the loads of the
// planner's domain.
type DemandReply struct {
	// Planner is false when the receiver does not plan for its domain.
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

// FindRequest asks for what a node recorded, or to cancel a request it runs.
type FindRequest struct {
	Query audit.Query `cbor:"1,keyasint"`
	// Cancel is the id of a request to cancel; Query is not used then.
	Cancel string `cbor:"2,keyasint,omitempty"`
	// Domain asks a relay to include the nodes of its domain.
	Domain bool `cbor:"3,keyasint,omitempty"`
}

// maxID bounds a request id from another process.
const maxID = 128

// Validate checks a decoded message.
func (r *FindRequest) Validate() error {
	if len(r.Cancel) > maxID {
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
	// Found tells that the node ran the request to cancel.
	Found bool `cbor:"2,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *FindReply) Validate() error {
	return r.Answer.Validate()
}

// Handler answers the messages of other entry processes.
type Handler interface {
	Sync(ctx context.Context, req *SyncRequest) (*SyncReply, error)
	Deposit(ctx context.Context, req *quota.DepositRequest) (*quota.DepositReply, error)
	Draw(ctx context.Context, req *quota.DrawRequest) (*quota.DrawReply, error)
	Return(ctx context.Context, req *quota.ReturnRequest) (*quota.ReturnReply, error)
	Demand(ctx context.Context, req *DemandRequest) (*DemandReply, error)
	Find(ctx context.Context, req *FindRequest) (*FindReply, error)
}

// The names of the methods.
const (
	methodSync    = "Sync"
	methodDeposit = "Deposit"
	methodDraw    = "Draw"
	methodReturn  = "Return"
	methodDemand  = "Demand"
	methodFind    = "Find"
)

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		method(methodSync, Handler.Sync),
		method(methodDeposit, Handler.Deposit),
		method(methodDraw, Handler.Draw),
		method(methodReturn, Handler.Return),
		method(methodDemand, Handler.Demand),
		method(methodFind, Handler.Find),
	},
	Streams: []grpc.StreamDesc{},
}

// Sync exchanges heartbeats with the process at address.
func (c *Client) Sync(ctx context.Context, address string, req *SyncRequest) (*SyncReply, error) {
	return call[SyncRequest, SyncReply](ctx, c, address, methodSync, req)
}

// Deposit asks the process at address for its fractions.
func (c *Client) Deposit(ctx context.Context, address string, req *quota.DepositRequest) (*quota.DepositReply, error) {
	return call[quota.DepositRequest, quota.DepositReply](ctx, c, address, methodDeposit, req)
}

// Draw asks the pool at address for tokens.
func (c *Client) Draw(ctx context.Context, address string, req *quota.DrawRequest) (*quota.DrawReply, error) {
	return call[quota.DrawRequest, quota.DrawReply](ctx, c, address, methodDraw, req)
}

// Return gives tokens back to the pool at address.
func (c *Client) Return(ctx context.Context, address string, req *quota.ReturnRequest) (*quota.ReturnReply, error) {
	return call[quota.ReturnRequest, quota.ReturnReply](ctx, c, address, methodReturn, req)
}

// Demand reports demand to the planner at address and returns the layout.
func (c *Client) Demand(ctx context.Context, address string, req *DemandRequest) (*DemandReply, error) {
	return call[DemandRequest, DemandReply](ctx, c, address, methodDemand, req)
}

// Find queries the record of the process at address.
func (c *Client) Find(ctx context.Context, address string, req *FindRequest) (*FindReply, error) {
	return call[FindRequest, FindReply](ctx, c, address, methodFind, req)
}
