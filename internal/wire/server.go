package wire

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// peerService is the gRPC service of entry processes.
const peerService = "trefoildale.Peer"

// method describes one unary method of a service.
func method[H, Q, R any](name string, call func(H, context.Context, *Q) (*R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Q)
			if err := dec(req); err != nil {
				return nil, err
			}
			return call(srv.(H), ctx, req)
		},
	}
}

// Serve handles calls from peers on the listener. The returned function stops
// accepting calls and waits for the running ones.
func Serve(l net.Listener, h PeerHandler, meter *Meter) (stop func()) {
	return serve(l, &peerDesc, h, meter)
}

// ServeFleet handles calls from the nodes that share a coordinator, like Serve.
func ServeFleet(l net.Listener, h FleetHandler, meter *Meter) (stop func()) {
	return serve(l, &fleetDesc, h, meter)
}

func serve(l net.Listener, desc *grpc.ServiceDesc, h any, meter *Meter) (stop func()) {
	srv := grpc.NewServer(
		grpc.StatsHandler(meter),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             time.Second,
			PermitWithoutStream: true,
		}),
	)
	srv.RegisterService(desc, h)
	done := make(chan error, 1)
	go func() {
		done <- eris.Wrapf(srv.Serve(l), "serve peers on %s", l.Addr())
	}()
	return func() {
		srv.GracefulStop()
		<-done
	}
}
