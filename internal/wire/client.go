package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"trefoildale.example/trefoildale/internal/conn"
)

// ErrRefused means that the peer's address refused the connection, so no process
// listens there.
var ErrRefused = errors.New("wire: connection refused")

// Client calls other entry processes by address and keeps one connection to
// each.
type Client struct {
	meter *Meter
	dial  conn.Dial

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewClient returns a client and a function that closes its connections. If dial
// is nil, net.Dialer is used.
func NewClient(meter *Meter, dial conn.Dial) (*Client, func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c := &Client{
		meter: meter,
		dial:  dial,
		conns: make(map[string]*grpc.ClientConn),
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

// Forget closes the connection to an address that is no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, status.Error(codes.Canceled, "client is closed")
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
		),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(c.meter),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return c.dial(ctx, "tcp", address)
		}),
		// Peers are reachable again within seconds after a partition. The default
		// backoff of up to two minutes would keep the domains disconnected.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   time.Second,
			},
			MinConnectTimeout: time.Second,
		}),
	)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

func callPeer[Q, R any](ctx context.Context, c *Client, address, method string, req *Q) (*R, error) {
	return invoke[Q, R](ctx, c, address, peerService, method, req)
}

func invoke[Q, R any](ctx context.Context, c *Client, address, service, method string, req *Q) (*R, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	reply := new(R)
	err = conn.Invoke(ctx, "/"+service+"/"+method, req, reply)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// Probe opens and closes a connection to a peer's address. It returns ErrRefused
// when no process listens there. It dials separately because gRPC repeats the
// error of an earlier attempt during backoff, and that error may be older than a
// restart of the peer.
func (c *Client) Probe(ctx context.Context, address string) error {
	opened, err := c.dial(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	if err != nil {
		return err
	}
	return opened.Close()
}
