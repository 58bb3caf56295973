package wire

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Meter counts the control traffic of a node in both directions.
type Meter struct {
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	sentMessages  atomic.Int64
}

// Usage is the traffic that a Meter has counted. Bytes are those of gRPC frames,
// without TCP and IP headers.
type Usage struct {
	SentBytes     int64 `json:"sent-bytes"`
	ReceivedBytes int64 `json:"received-bytes"`
	SentMessages  int64 `json:"sent-messages"`
}

// Read returns the totals since the process started.
func (m *Meter) Read() Usage {
	return Usage{
		SentBytes:     m.sentBytes.Load(),
		ReceivedBytes: m.receivedBytes.Load(),
		SentMessages:  m.sentMessages.Load(),
	}
}

// TagRPC implements stats.Handler.
func (*Meter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// TagConn implements stats.Handler.
func (*Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (*Meter) HandleConn(context.Context, stats.ConnStats) {}

// frameOverheadBytes estimates the HTTP/2 frame header and the compressed gRPC
// headers of a message, which the gRPC statistics do not include.
const frameOverheadBytes = 40

// HandleRPC implements stats.Handler.
func (m *Meter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch v := s.(type) {
	case *stats.OutPayload:
		m.sentBytes.Add(int64(v.WireLength) + frameOverheadBytes)
		m.sentMessages.Add(1)
	case *stats.InPayload:
		m.receivedBytes.Add(int64(v.WireLength) + frameOverheadBytes)
	}
}
