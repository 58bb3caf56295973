// Package coord connects the nodes of a fleet. One node, the coordinator, holds a
// lease in the platform's store. The other nodes report their demand to it and
// receive rate-limit tokens and load reports of engines. If the store does not
// answer a node, it gets the configuration and the endpoints from other nodes.
package coord

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/models"
	"trefoildale.example/trefoildale/internal/poison"
)

// Work is the demand for a model, in tokens, that arrived at a node since its
// last message.
type Work struct {
	Service string  `cbor:"1,keyasint"`
	Model   string  `cbor:"2,keyasint"`
	Tokens  float64 `cbor:"3,keyasint"`
}

// Document is an undecoded configuration from the platform's store.
type Document struct {
	Version int64 `cbor:"1,keyasint"`
	// Raw is the configuration for nodes of builds that cannot read Packed.
	Raw []byte `cbor:"2,keyasint,omitempty"`
	// Packed is the compressed configuration.
	Packed []byte `cbor:"3,keyasint,omitempty"`
}

// Listing is the list of endpoints as of a version of the store.
type Listing struct {
	Version int64 `cbor:"1,keyasint"`
	// Entries holds the entries for nodes of builds that cannot read Packed.
	Entries []fleet.Change `cbor:"2,keyasint,omitempty"`
	// Packed holds the compressed entries.
	Packed []byte `cbor:"3,keyasint,omitempty"`
	// Era is the era of Version.
	Era int64 `cbor:"4,keyasint,omitempty"`

	hasEras   bool // the sender states eras
	newestEra int64
}

// LeaseRow is the store's row of the coordinator's lease as the coordinator last
// read or wrote it.
type LeaseRow struct {
	Value   []byte `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Valid is set if the coordinator held the lease when it sent the row.
	Valid bool `cbor:"3,keyasint,omitempty"`
}

// Exchange is a message of a node to the coordinator, or to another node while
// the coordinator or the store does not answer.
type Exchange struct {
	Node        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Leaving is set when the node shuts down and admits no more requests.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion int64 `cbor:"6,keyasint,omitempty"`
	// Config is set when the receiver is known to have an older configuration.
	Config *Document `cbor:"7,keyasint,omitempty"`
	// ListingVersion is the version of the sender's list of endpoints.
	ListingVersion int64                `cbor:"9,keyasint,omitempty"`
	Listing        *Listing             `cbor:"10,keyasint,omitempty"`
	TokenRequests  []grant.TokenRequest `cbor:"11,keyasint,omitempty"`
	Work           []Work               `cbor:"12,keyasint,omitempty"`
	Waiting        []models.Waiting     `cbor:"13,keyasint,omitempty"`
	Running        []models.Running     `cbor:"14,keyasint,omitempty"`
	Paces          []Pace               `cbor:"15,keyasint,omitempty"`
	// Resign is the fence with which the sender holds the lease. If it is set, the
	// receiver must send no further orders.
	Resign int64 `cbor:"16,keyasint,omitempty"`
	// TokensOnly requests a reply without engine loads, members and lease.
	TokensOnly bool `cbor:"17,keyasint,omitempty"`
	// Term and Seq identify the last reply of the coordinator that the sender
	// applied. The next reply contains only what changed since.
	Term int64 `cbor:"18,keyasint,omitempty"`
	Seq  int64 `cbor:"19,keyasint,omitempty"`
	// StoreAge is the time since the store last answered the sender itself.
	StoreAge time.Duration `cbor:"20,keyasint,omitempty"`
	// ViewAge is the time since the store last confirmed the sender's data, through
	// its own reads or those of a node that sent it a message.
	ViewAge time.Duration `cbor:"24,keyasint,omitempty"`
	// Capacity is the sender's CPU capacity in cores.
	Capacity float64 `cbor:"21,keyasint,omitempty"`
	// UsePool requests tokens of the pool that the receiver holds. The sender
	// does not reach the coordinator and adds Deposits to the pool.
	UsePool  bool          `cbor:"22,keyasint,omitempty"`
	Deposits []grant.Grant `cbor:"23,keyasint,omitempty"`
	// VersionsOnly requests a reply that names the versions of the configuration and
	// of the list of endpoints without containing them. Builds that do not know it
	// reply with both.
	VersionsOnly bool `cbor:"25,keyasint,omitempty"`
	// DocumentsOnly requests the configuration and the list of endpoints, if they are
	// newer than the sender's, and nothing else.
	DocumentsOnly bool `cbor:"26,keyasint,omitempty"`
	// Parts is the sender's evidence against parts of prompts.
	Parts []poison.Evidence `cbor:"27,keyasint,omitempty"`
	// LeavingEngines lists engines that have said that they leave and that the list of
	// endpoints does not name as leaving.
	LeavingEngines []health.Statement `cbor:"30,keyasint,omitempty"`
	Eras           *Eras              `cbor:"28,keyasint,omitempty"`
	// LimitedEngines lists engines that have named a limit of requests. PlaceRequests are
	// the tokens that the sender needs for requests to them, PlaceDeposits those that it
	// adds to the pool.
	LimitedEngines []health.LimitStatement `cbor:"31,keyasint,omitempty"`
	PlaceRequests  []grant.TokenRequest    `cbor:"32,keyasint,omitempty"`
	PlaceDeposits  []grant.Grant           `cbor:"33,keyasint,omitempty"`
}

// Pace is the time that an engine takes for a unit of work, relative to other
// engines.
type Pace struct {
	Key  fleet.Key `cbor:"1,keyasint"`
	Pace float64   `cbor:"2,keyasint"`
}

// Handover is the former coordinator's reply to a request to resign. It states
// when the new coordinator may send orders.
type Handover struct {
	Engines []EngineWait `cbor:"1,keyasint,omitempty"`
	// OtherEngines is the wait for engines that are not in Engines.
	OtherEngines time.Duration `cbor:"2,keyasint"`
	// Levels are the tokens that the former coordinator had not issued, by
	// workspace.
	Levels []grant.Grant `cbor:"3,keyasint,omitempty"`
}

// EngineWait is how long a new coordinator must wait before it sends an order
// to an engine.
type EngineWait struct {
	Key  fleet.Key     `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

// maxItems limits the total length of the lists in an Exchange.
const maxItems = 1 << 14

// Validate checks that a decoded Exchange names its sender and is not too long.
func (x *Exchange) Validate() error {
	if x.Node == "" || x.Address == "" {
		return errors.New("coord: exchange without a node or address")
	}
	if len(x.TokenRequests)+len(x.Work)+len(x.Waiting)+len(x.Running)+len(x.Deposits)+len(x.PlaceRequests)+len(x.PlaceDeposits) > maxItems {
		return fmt.Errorf("coord: exchange of node %.64q has too many list items", x.Node)
	}
	return cmp.Or(
		health.ValidateAll(x.LeavingEngines),
		health.ValidateLimits(x.LimitedEngines),
		grant.ValidateRequests(x.TokenRequests),
		grant.ValidateRequests(x.PlaceRequests),
		poison.ValidateAll(x.Parts),
	)
}

// LoadReport is an engine's load and the age of that report when the message was
// sent. The engine is identified by a number, which the coordinator assigns and
// which State maps to the engine's key.
type LoadReport struct {
	Engine    int           `cbor:"1,keyasint"`
	Age       time.Duration `cbor:"2,keyasint"`
	Active    int           `cbor:"3,keyasint,omitempty"`
	Queued    int           `cbor:"4,keyasint,omitempty"`
	CacheUsed int           `cbor:"5,keyasint,omitempty"`
	Busy      bool          `cbor:"6,keyasint,omitempty"`
	// State is set if it changed since the last reply that the node applied.
	State *EngineState `cbor:"7,keyasint,omitempty"`
}

// EngineState is the rarely changing part of an engine's report.
type EngineState struct {
	Key            fleet.Key        `cbor:"1,keyasint"`
	Models         []fleet.Resident `cbor:"2,keyasint,omitempty"`
	OrdersAccepted int64            `cbor:"3,keyasint,omitempty"`
	CacheTotal     int              `cbor:"4,keyasint,omitempty"`
}

// Member is a node that exchanges messages with the coordinator. Fraction is the
// part of each rate that it may admit while it does not reach the coordinator.
type Member struct {
	Node     string  `cbor:"1,keyasint"`
	Address  string  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
	Capacity float64 `cbor:"4,keyasint,omitempty"`
	Domain   string  `cbor:"5,keyasint,omitempty"`
}

// MembersVersion is the version of a list of members. Versions are ordered by
// the coordinator's fence, then by its count of changes.
type MembersVersion struct {
	Term int64 `cbor:"1,keyasint,omitempty"`
	Seq  int64 `cbor:"2,keyasint,omitempty"`
}

func (v MembersVersion) after(o MembersVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Seq > o.Seq
}

// PlainLoad is the number of active requests of all nodes at an endpoint of a
// plain service.
type PlainLoad struct {
	Key    fleet.Key `cbor:"1,keyasint"`
	Active int       `cbor:"2,keyasint"`
}

// EngineUnloads lists the models that an engine is about to unload. New requests
// for them go to other engines.
type EngineUnloads struct {
	Key    fleet.Key `cbor:"1,keyasint"`
	Models []string  `cbor:"2,keyasint"`
}

// Reply is the answer to an Exchange.
type Reply struct {
	// Coordinator is set if the sender is the coordinator. Other nodes reply
	// without tokens and engine loads.
	Coordinator        bool   `cbor:"1,keyasint,omitempty"`
	CoordinatorAddress string `cbor:"2,keyasint,omitempty"`
	// LeaseVersion is the version of the lease row that names
	// CoordinatorAddress.
	LeaseVersion int64 `cbor:"19,keyasint,omitempty"`
	// Fraction is the part of each rate that the node may admit while it cannot
	// reach the coordinator.
	Fraction float64       `cbor:"3,keyasint,omitempty"`
	Grants   []grant.Grant `cbor:"4,keyasint,omitempty"`
	// Shortages lists the token requests that could not be met.
	Shortages []grant.Shortage `cbor:"20,keyasint,omitempty"`
	Members   []Member         `cbor:"5,keyasint,omitempty"`
	// MembersVersion is the version of Members.
	MembersVersion MembersVersion  `cbor:"21,keyasint"`
	ConfigVersion  int64           `cbor:"6,keyasint,omitempty"`
	Config         *Document       `cbor:"7,keyasint,omitempty"`
	ListingVersion int64           `cbor:"9,keyasint,omitempty"`
	Listing        *Listing        `cbor:"10,keyasint,omitempty"`
	Reports        []LoadReport    `cbor:"11,keyasint,omitempty"`
	PendingUnloads []EngineUnloads `cbor:"12,keyasint,omitempty"`
	// Plain lists the active requests at endpoints of plain services, which send
	// no reports themselves.
	Plain []PlainLoad `cbor:"22,keyasint,omitempty"`
	// Loads lists the models that are being loaded.
	Loads []models.Load `cbor:"23,keyasint,omitempty"`
	Lease *LeaseRow     `cbor:"13,keyasint,omitempty"`
	// StoreAge is the time since the store last answered the sender.
	StoreAge time.Duration `cbor:"14,keyasint,omitempty"`
	// ViewAge is the time since the store last confirmed the sender's data,
	// through its own reads or those of a node that sent it a message.
	ViewAge time.Duration `cbor:"16,keyasint,omitempty"`
	// Term and Seq identify this reply.
	Term int64 `cbor:"17,keyasint,omitempty"`
	Seq  int64 `cbor:"18,keyasint,omitempty"`
	// Handover is the answer to Resign: the sender sends no more orders.
	Handover *Handover `cbor:"15,keyasint,omitempty"`
	// FetchesDocuments is set by nodes that fetch newer documents themselves when a
	// message names their versions. Other builds must be sent them.
	FetchesDocuments bool `cbor:"24,keyasint,omitempty"`
	// Parts is the evidence against parts of prompts with which several engines crashed,
	// or of all suspected ones if the sender is not the coordinator.
	Parts []poison.Evidence `cbor:"25,keyasint,omitempty"`
	// LeavingEngines is as in an Exchange.
	LeavingEngines []health.Statement `cbor:"30,keyasint,omitempty"`
	Eras           *Eras              `cbor:"26,keyasint,omitempty"`
	// LimitedEngines is as in an Exchange. Places and PlaceShortages answer
	// PlaceRequests.
	LimitedEngines []health.LimitStatement `cbor:"31,keyasint,omitempty"`
	Places         []grant.Grant           `cbor:"32,keyasint,omitempty"`
	PlaceShortages []grant.Shortage        `cbor:"33,keyasint,omitempty"`
}

// Validate checks that the fraction of a decoded Reply is between 0 and 1.
func (r *Reply) Validate() error {
	if r.Fraction < 0 || r.Fraction > 1 {
		return fmt.Errorf("coord: fraction %v is not between 0 and 1", r.Fraction)
	}
	return cmp.Or(
		health.ValidateAll(r.LeavingEngines),
		health.ValidateLimits(r.LimitedEngines),
		poison.ValidateAll(r.Parts),
	)
}

// Fetch is a request to the coordinator to load an adapter at an engine.
type Fetch struct {
	Key     fleet.Key `cbor:"1,keyasint"`
	Model   string    `cbor:"2,keyasint"`
	Adapter string    `cbor:"3,keyasint"`
}

// Validate checks that a decoded Fetch names an engine, a model and an adapter.
func (f *Fetch) Validate() error {
	if f.Key.ID == "" || f.Model == "" || f.Adapter == "" {
		return errors.New("coord: fetch without an engine, model or adapter")
	}
	return nil
}

// Fetched is the answer to a Fetch. Problem is the error text, empty if the
// adapter is usable.
type Fetched struct {
	Problem string `cbor:"1,keyasint,omitempty"`
}

// Peers sends messages to other nodes.
type Peers interface {
	Exchange(ctx context.Context, address string, x *Exchange) (*Reply, error)
	Fetch(ctx context.Context, address string, f *Fetch) (*Fetched, error)
	// Forget closes the connection to an address, so that the next call opens a
	// new one.
	Forget(address string)
}

// Engines reads load reports of engines and sends orders to them.
type Engines interface {
	Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error)
	// Order sends an order. check runs directly before the first byte is sent; its
	// error ends the call with nothing sent.
	Order(ctx context.Context, o models.Order, holder string, fence int64, check func() error) (models.Answer, error)
}
