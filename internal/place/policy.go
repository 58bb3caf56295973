package place

import (
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Reason classifies why a move was decided.
type Reason string

// The reasons of moves.
const (
	ReasonCoverage       Reason = "coverage"
	ReasonOnDemand       Reason = "on-demand"
	ReasonDemand         Reason = "demand"
	ReasonOverload       Reason = "overload"
	ReasonVersion        Reason = "version"
	ReasonObsolete       Reason = "obsolete"
	ReasonMemory         Reason = "memory"
	ReasonInitial        Reason = "initial"
	ReasonRole           Reason = "role"
	ReasonAdapter        Reason = "adapter"
	ReasonAdapterEvicted Reason = "adapter-evicted"
)

// ItemView describes an item at an endpoint to a policy.
type ItemView struct {
	Item
	MiB int64
	// Ready is false while the item is being loaded or about to be unloaded.
	Ready bool
	// ResidentSince is when the item was first seen as resident.
	ResidentSince time.Time
	// RunningRequests is the number of running requests that use an adapter.
	RunningRequests int64
}

// EndpointView describes an endpoint to a policy.
type EndpointView struct {
	Name      string
	MemoryMiB int64
	FreeMiB   int64
	Speed     float64
	Role      engine.Role
	// Items are resident or being loaded, sorted.
	Items []ItemView
	// Idle is true when the endpoint can start a move now.
	Idle bool
	// BookedFor is how long the memory of an item stays booked after its load was
	// decided, even if the item is unloaded sooner.
	BookedFor time.Duration
}

// ModelView describes a model and its demand to a policy.
type ModelView struct {
	Spec spec.Model
	// Requests and Tokens are levels per second in all domains of the region. Value
	// is the level of requests weighted by their workspaces' weight and attainment.
	Requests float64
	Tokens   float64
	Value    float64
	// Excess is the part of Tokens that overloads endpoints of other domains.
	Excess  float64
	LastUse time.Time
	// WaitingSince is when requests began to wait for the model; zero if none wait.
	WaitingSince time.Time
	// RemoteReplicas counts the replicas in other domains, ready or being loaded.
	RemoteReplicas int
	// DomainRank is the position of this domain in the model's order of the region's
	// domains, from 0. Domains wait for those before them, so that they do not all
	// load the model at once.
	DomainRank int
	// AdapterReserveMiB is the memory to keep free for adapters of the model.
	AdapterReserveMiB int64
}

// View is the input of a policy. A policy must not keep or change it.
type View struct {
	Now       time.Time
	Endpoints []EndpointView
	// Models are sorted by name.
	Models []ModelView
	// MaxLoads is the number of loads that a policy may start now under the weight
	// store's limits.
	MaxLoads int
	// LoadTime is the moving average of the duration of loads.
	LoadTime time.Duration
	// TokensPerSecond is the throughput of an endpoint with speed 1.
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
	// Explanation is a sentence for readers without a technical background.
	Explanation string
}

// Policy decides which moves to start. Plan gets a complete view at each call and
// returns at most one move for each idle endpoint.
type Policy interface {
	Name() string
	Plan(v *View) []Move
}

// memoryAt is the memory needed to place the model at an endpoint. It includes the
// reserve for adapters unless the endpoint is too small for both.
func (m *ModelView) memoryAt(e *EndpointView) int64 {
	if need := m.Spec.MemoryMiB + m.AdapterReserveMiB; need <= e.MemoryMiB {
		return need
	}
	return m.Spec.MemoryMiB
}
