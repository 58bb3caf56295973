package place

import (
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Reason is why a move was decided.
type Reason string

// The reasons of moves.
const (
	ReasonCoverage  Reason = "coverage"
	ReasonOnDemand  Reason = "on-demand"
	ReasonDemand    Reason = "demand"
	ReasonOverload  Reason = "overload"
	ReasonVersion   Reason = "version"
	ReasonObsolete  Reason = "obsolete"
	ReasonMemory    Reason = "memory"
	ReasonInitial   Reason = "initial"
	ReasonRole      Reason = "role"
	ReasonAdapter   Reason = "adapter"
	ReasonAdapterGo Reason = "adapter-evicted"
)

// ItemView is an item at an endpoint as a policy sees it.
type ItemView struct {
	Item
	MiB int64
	// Ready is false while the item is being loaded or about to be unloaded.
	Ready bool
	// Since is when the item was first seen as resident.
	Since time.Time
	// Refs counts the running requests of an adapter.
	Refs int64
}

// EndpointView is an endpoint as a policy sees it.
type EndpointView struct {
	Name      string
	MemoryMiB int64
	FreeMiB   int64
	Speed     float64
	Role      engine.Role
	// Items are resident or may become resident, in order.
	Items []ItemView
	// Idle is true when the endpoint can start a move now.
	Idle bool
	// Hold is how long the memory of an item stays booked after its load was
	// decided, even if it is unloaded before.
	Hold time.Duration
}

// ModelView is a model with its demand.
type ModelView struct {
	Spec spec.Model
	// Requests and Tokens are levels per second in all domains of the region;
	// Value counts the requests with the weight and the urgency of their
	// workspaces.
	Requests float64
	Tokens   float64
	Value    float64
	// Excess is the part of Tokens that the endpoints of other domains are too
	// busy for.
	Excess  float64
	LastUse time.Time
	// Waiting is since when requests wait for the model, zero when none do.
	Waiting time.Time
	// Remote counts the replicas in other domains, ready or being loaded.
	Remote int
	// Turn is the place of this domain in the order in which the domains take
	// care of the model. It keeps them from all loading it at once.
	Turn int
	// AdapterMiB is the memory to keep free for the model's adapters.
	AdapterMiB int64
}

// View is what a policy decides on. A policy does not keep or change it.
type View struct {
	Now       time.Time
	Endpoints []EndpointView
	// Models are in the order of their names.
	Models []ModelView
	// Loads is how many loads may start now under the weight store's limits.
	Loads int
	// LoadTime is how long a load takes, from experience.
	LoadTime time.Duration
	// TokensPerSecond is the throughput of an endpoint of speed 1.
	TokensPerSecond float64
}

// Move is a change at one endpoint: the items to evict first, then the item to
// load. Either part may be empty. A move may be a change of role instead.
type Move struct {
	Endpoint string
	Evict    []Item
	Load     Item
	MiB      int64
	Role     engine.Role
	Reason   Reason
	// Sentence explains the move to someone without a technical background.
	Sentence string
}

// Policy decides which moves to start. It gets the whole picture at each call
// and returns at most one move for each idle endpoint.
type Policy interface {
	Name() string
	Plan(v *View) []Move
}

// needAt is the memory that placing a model at an endpoint takes. The room for
// adapters is left out where it would make the endpoint too small.
func (m *ModelView) needAt(e *EndpointView) int64 {
	if need := m.Spec.MemoryMiB + m.AdapterMiB; need <= e.MemoryMiB {
		return need
	}
	return m.Spec.MemoryMiB
}
