// Package engine is the client for endpoints: completions and streams, orders
// that load and unload models, and the state and load reports of endpoints.
package engine

import (
	"fmt"
	"time"
)

// Fence is a fencing token. Endpoints that check fencing tokens refuse an order
// whose token is lower than the highest one they have received.
type Fence struct {
	Counter int64  `json:"counter" cbor:"1,keyasint"`
	Node    uint64 `json:"node" cbor:"2,keyasint"`
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool {
	if f.Counter != o.Counter {
		return f.Counter < o.Counter
	}
	return f.Node < o.Node
}

// String implements fmt.Stringer.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Counter, f.Node)
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Role is the part of request processing that an engine performs: prefill,
// decode or both.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order instructs an engine to load or unload a model or an adapter, or to
// change its role.
type Order struct {
	ID        string    `json:"id"`
	Fence     Fence     `json:"fence"`
	Kind      OrderKind `json:"kind"`
	Model     string    `json:"model,omitempty"`
	Version   string    `json:"version,omitempty"`
	Adapter   string    `json:"adapter,omitempty"`
	Role      Role      `json:"role,omitempty"`
	MemoryMiB int64     `json:"memory-mib,omitempty"`
	// Deadline is the time from which an engine that checks deadlines refuses
	// the order.
	Deadline time.Time `json:"deadline"`
}

// OrderPhase is the progress of an order.
type OrderPhase string

// The phases of an order.
const (
	OrderRunning OrderPhase = "running"
	OrderDone    OrderPhase = "done"
	OrderFailed  OrderPhase = "failed"
	// OrderUnknown means that the engine reports not having received the order.
	OrderUnknown OrderPhase = "unseen"
)

// OrderStatus is an engine's report on the progress of one order.
type OrderStatus struct {
	ID     string     `json:"id"`
	Phase  OrderPhase `json:"phase"`
	Reason string     `json:"reason,omitempty"`
}

// Resident is a model or adapter in an engine's memory.
type Resident struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	MemoryMiB int64  `json:"memory-mib"`
}

// State is an engine's response to GET /state.
type State struct {
	// Incarnation changes when the engine restarts, which empties its memory.
	Incarnation string     `json:"incarnation"`
	MemoryMiB   int64      `json:"memory-mib"`
	Resident    []Resident `json:"resident"`
	Running     []Order    `json:"running"`
	Fence       Fence      `json:"fence"`
	Role        Role       `json:"role"`
	Leaving     bool       `json:"leaving"`
}

// Load is an engine's load report. It describes the load at time Sampled, some
// time before the report is read.
type Load struct {
	Running         int       `json:"running"`
	Queued          int       `json:"queued"`
	TokensPerSecond float64   `json:"tokens-per-second"`
	Sampled         time.Time `json:"sampled"`
	Leaving         bool      `json:"leaving"`
	// Incarnation changes with each start of the engine; empty if it does not say.
	Incarnation string `json:"incarnation,omitempty"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from an
// engine's cache. Events arrive late, and Seq may have gaps.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Model   string `json:"model"`
	Prefix  string `json:"prefix"`
	Evicted bool   `json:"evicted"`
}
