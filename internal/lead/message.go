// Package lead joins the nodes of a fleet: one of them, the coordinator, holds a
// lease in the platform's store. The others exchange demand, grants, load
// reports and, where the store does not answer them, the configuration and the
// list of endpoints with it.
package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"trefoildale.example/trefoildale/internal/depot"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

// Work is the demand for a model since the last message.
type Work struct {
	Service string  `cbor:"1,keyasint"`
	Model   string  `cbor:"2,keyasint"`
	Tokens  float64 `cbor:"3,keyasint"`
}

// Document is a configuration as the platform's store holds it.
type Document struct {
	Version int64  `cbor:"1,keyasint"`
	Raw     []byte `cbor:"2,keyasint"`
}

// Listing is the list of endpoints as of a version of the store.
type Listing struct {
	Version int64          `cbor:"1,keyasint"`
	Entries []fleet.Change `cbor:"2,keyasint"`
}

// LeaseRow is the row of the coordinator's lease as the coordinator knows it.
type LeaseRow struct {
	Value   []byte `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Valid tells that the coordinator holds the lease now.
	Valid bool `cbor:"3,keyasint,omitempty"`
}

// Exchange is what a node tells the coordinator, or another node while there is
// no coordinator.
type Exchange struct {
	Node        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Leaving tells that the node stops.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the version in force at the sender.
	ConfigVersion int64 `cbor:"6,keyasint,omitempty"`
	// Config is set when the receiver is known to have an older one.
	Config *Document `cbor:"7,keyasint,omitempty"`
	// ListingFrom is the version of the sender's list of endpoints.
	ListingFrom int64           `cbor:"9,keyasint,omitempty"`
	Listing     *Listing        `cbor:"10,keyasint,omitempty"`
	Draws       []grant.Draw    `cbor:"11,keyasint,omitempty"`
	Work        []Work          `cbor:"12,keyasint,omitempty"`
	Waiting     []depot.Waiting `cbor:"13,keyasint,omitempty"`
	Running     []depot.Running `cbor:"14,keyasint,omitempty"`
	Paces       []Pace          `cbor:"15,keyasint,omitempty"`
	// Resign asks the receiver to give no further orders, because the sender
	// holds the lease with this fence.
	Resign int64 `cbor:"16,keyasint,omitempty"`
	// Brief asks for tokens only; the rest of the answer is left out.
	Brief bool `cbor:"17,keyasint,omitempty"`
	// Term and Seq name the last answer of the coordinator that the sender took
	// over, so that the next one tells only what has changed since.
	Term int64 `cbor:"18,keyasint,omitempty"`
	Seq  int64 `cbor:"19,keyasint,omitempty"`
	// StoreAge is how long ago the store last answered the sender itself.
	StoreAge time.Duration `cbor:"20,keyasint,omitempty"`
	// Capacity is the sender's part of a core.
	Capacity float64 `cbor:"21,keyasint,omitempty"`
	// Pooled asks the receiver for tokens of its pool, to which the sender, which
	// does not reach the coordinator, gives Deposits.
	Pooled   bool         `cbor:"22,keyasint,omitempty"`
	Deposits []grant.Loan `cbor:"23,keyasint,omitempty"`
}

// Pace is how long an engine takes for a unit of work, relative to others.
type Pace struct {
	Key  fleet.Key `cbor:"1,keyasint"`
	Pace float64   `cbor:"2,keyasint"`
}

// Handover tells a new coordinator when engines may be given orders.
type Handover struct {
	Engines []EngineHold  `cbor:"1,keyasint,omitempty"`
	Others  time.Duration `cbor:"2,keyasint"`
	// Levels are what the former coordinator had not issued.
	Levels []grant.Loan `cbor:"3,keyasint,omitempty"`
}

// EngineHold is in what time an engine may be given orders.
type EngineHold struct {
	Key fleet.Key     `cbor:"1,keyasint"`
	In  time.Duration `cbor:"2,keyasint"`
}

// maxItems bounds the lists of a message.
const maxItems = 1 << 14

// Validate checks a decoded message.
func (x *Exchange) Validate() error {
	if x.Node == "" || x.Address == "" {
		return errors.New("lead: exchange without a node or address")
	}
	if len(x.Draws)+len(x.Work)+len(x.Waiting)+len(x.Running)+len(x.Deposits) > maxItems {
		return fmt.Errorf("lead: exchange of node %.64q is too long", x.Node)
	}
	return nil
}

// LoadReport is an engine's load with its age when the message was sent. The
// engine is named by a number, which the coordinator gives with State.
type LoadReport struct {
	Engine    int           `cbor:"1,keyasint"`
	Age       time.Duration `cbor:"2,keyasint"`
	Active    int           `cbor:"3,keyasint,omitempty"`
	Queued    int           `cbor:"4,keyasint,omitempty"`
	CacheUsed int           `cbor:"5,keyasint,omitempty"`
	Busy      bool          `cbor:"6,keyasint,omitempty"`
	// State is set when it has changed since the answer that the node named.
	State *EngineState `cbor:"7,keyasint,omitempty"`
}

// EngineState is what changes rarely in an engine's report.
type EngineState struct {
	Key        fleet.Key        `cbor:"1,keyasint"`
	Models     []fleet.Resident `cbor:"2,keyasint,omitempty"`
	Orders     int64            `cbor:"3,keyasint,omitempty"`
	CacheTotal int              `cbor:"4,keyasint,omitempty"`
}

// Member is a node as the coordinator knows it.
type Member struct {
	Node     string  `cbor:"1,keyasint"`
	Address  string  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
	Capacity float64 `cbor:"4,keyasint,omitempty"`
	Domain   string  `cbor:"5,keyasint,omitempty"`
}

// MembersVersion orders lists of members: by the coordinator's fence, then by its
// count of changes.
type MembersVersion struct {
	Term int64 `cbor:"1,keyasint,omitempty"`
	Seq  int64 `cbor:"2,keyasint,omitempty"`
}

func (v MembersVersion) after(o MembersVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Seq > o.Seq
}

// PlainLoad is how many requests of all nodes are at an endpoint.
type PlainLoad struct {
	Key    fleet.Key `cbor:"1,keyasint"`
	Active int       `cbor:"2,keyasint"`
}

// Closing are models that are about to be unloaded at an engine.
type Closing struct {
	Key    fleet.Key `cbor:"1,keyasint"`
	Models []string  `cbor:"2,keyasint"`
}

// Reply answers an Exchange.
type Reply struct {
	// Coordinator tells that the sender holds the lease; without it only the
	// members, the configuration and the listing are given.
	Coordinator bool   `cbor:"1,keyasint,omitempty"`
	Leader      string `cbor:"2,keyasint,omitempty"`
	// Since is the version of the lease's row from which Leader is known.
	Since int64 `cbor:"19,keyasint,omitempty"`
	// Fraction is what the node may admit of each rate while it cannot reach the
	// coordinator.
	Fraction float64      `cbor:"3,keyasint,omitempty"`
	Loans    []grant.Loan `cbor:"4,keyasint,omitempty"`
	// Short names the draws for which there were too few tokens.
	Short   []grant.Shortage `cbor:"20,keyasint,omitempty"`
	Members []Member         `cbor:"5,keyasint,omitempty"`
	// MembersAs tells how new Members are.
	MembersAs     MembersVersion `cbor:"21,keyasint"`
	ConfigVersion int64          `cbor:"6,keyasint,omitempty"`
	Config        *Document      `cbor:"7,keyasint,omitempty"`
	ListingFrom   int64          `cbor:"9,keyasint,omitempty"`
	Listing       *Listing       `cbor:"10,keyasint,omitempty"`
	Reports       []LoadReport   `cbor:"11,keyasint,omitempty"`
	Closing       []Closing      `cbor:"12,keyasint,omitempty"`
	// Plain are the requests at endpoints of plain services, which give no reports.
	Plain []PlainLoad `cbor:"22,keyasint,omitempty"`
	Lease *LeaseRow   `cbor:"13,keyasint,omitempty"`
	// StoreAge is how long ago the store last answered the sender.
	StoreAge time.Duration `cbor:"14,keyasint,omitempty"`
	// ViewAge is how long ago the store last confirmed what the sender knows, by
	// the sender's own reads or those of a node that it heard.
	ViewAge time.Duration `cbor:"16,keyasint,omitempty"`
	// Term and Seq name this answer.
	Term int64 `cbor:"17,keyasint,omitempty"`
	Seq  int64 `cbor:"18,keyasint,omitempty"`
	// Handover answers Resign: the sender gives no orders any more.
	Handover *Handover `cbor:"15,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r *Reply) Validate() error {
	if r.Fraction < 0 || r.Fraction > 1 {
		return fmt.Errorf("lead: fraction %v is not between 0 and 1", r.Fraction)
	}
	return nil
}

// Fetch asks the coordinator to have an adapter loaded at an engine.
type Fetch struct {
	Key     fleet.Key `cbor:"1,keyasint"`
	Model   string    `cbor:"2,keyasint"`
	Adapter string    `cbor:"3,keyasint"`
}

// Validate checks a decoded message.
func (f *Fetch) Validate() error {
	if f.Key.ID == "" || f.Model == "" || f.Adapter == "" {
		return errors.New("lead: fetch without an engine, model or adapter")
	}
	return nil
}

// Fetched answers a Fetch. Problem is empty when the adapter is there.
type Fetched struct {
	Problem string `cbor:"1,keyasint,omitempty"`
}

// Peers calls other nodes.
type Peers interface {
	Exchange(ctx context.Context, address string, x *Exchange) (*Reply, error)
	Fetch(ctx context.Context, address string, f *Fetch) (*Fetched, error)
	// Forget closes the connection to an address that does not answer.
	Forget(address string)
}

// Engines talks to engines.
type Engines interface {
	Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error)
	Order(ctx context.Context, o depot.Order, holder string, fence int64) (depot.Answer, error)
}
