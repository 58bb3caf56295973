package wire

import (
	"context"

	"google.golang.org/grpc"

	"trefoildale.example/trefoildale/internal/lead"
)

// fleetService is the gRPC service of the nodes that share a coordinator.
const fleetService = "trefoildale.Fleet"

// FleetHandler handles the messages of the trefoildale.Fleet service.
type FleetHandler interface {
	HandleExchange(ctx context.Context, x *lead.Exchange) (*lead.Reply, error)
	HandleFetch(ctx context.Context, f *lead.Fetch) (*lead.Fetched, error)
}

const (
	methodExchange = "Exchange"
	methodFetch    = "Fetch"
)

var fleetDesc = grpc.ServiceDesc{
	ServiceName: fleetService,
	HandlerType: (*FleetHandler)(nil),
	Methods: []grpc.MethodDesc{
		method(methodExchange, FleetHandler.HandleExchange),
		method(methodFetch, FleetHandler.HandleFetch),
	},
	Streams: []grpc.StreamDesc{},
}

// Exchange implements lead.Peers.
func (c *Client) Exchange(ctx context.Context, address string, x *lead.Exchange) (*lead.Reply, error) {
	return invoke[lead.Exchange, lead.Reply](ctx, c, address, fleetService, methodExchange, x)
}

// Fetch implements lead.Peers.
func (c *Client) Fetch(ctx context.Context, address string, f *lead.Fetch) (*lead.Fetched, error) {
	return invoke[lead.Fetch, lead.Fetched](ctx, c, address, fleetService, methodFetch, f)
}
