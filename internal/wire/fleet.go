package wire

import (
	"context"

	"google.golang.org/grpc"

	"trefoildale.example/trefoildale/internal/coord"
)

// fleetService is the gRPC service of the nodes that share a coordinator.
const fleetService = "trefoildale.Fleet"

// FleetHandler handles the messages of the trefoildale.Fleet service.
type FleetHandler interface {
	HandleExchange(ctx context.Context, x *coord.Exchange) (*coord.Reply, error)
	HandleFetch(ctx context.Context, f *coord.Fetch) (*coord.Fetched, error)
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

// Exchange implements coord.Peers.
func (c *Client) Exchange(ctx context.Context, address string, x *coord.Exchange) (*coord.Reply, error) {
	return invoke[coord.Exchange, coord.Reply](ctx, c, address, fleetService, methodExchange, x)
}

// Fetch implements coord.Peers.
func (c *Client) Fetch(ctx context.Context, address string, f *coord.Fetch) (*coord.Fetched, error) {
	return invoke[coord.Fetch, coord.Fetched](ctx, c, address, fleetService, methodFetch, f)
}
