package place

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"trefoildale.example/trefoildale/internal/engine"
)

// maxListLength limits the lists in a message. Longer ones are rejected, so that a
// damaged message cannot take up all memory.
const maxListLength = 100_000

// ErrGap means that a delta does not follow the held layout, so that a full
// layout is needed.
var ErrGap = errors.New("place: layout delta does not follow the held layout")

// ModelLayout describes a version of a model at an endpoint and its adapters.
type ModelLayout struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Ready is false while the model is being loaded or about to be unloaded. It
	// then gets no new requests.
	Ready    bool     `cbor:"3,keyasint,omitempty"`
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Loading is true while the model is being loaded.
	Loading bool `cbor:"5,keyasint,omitempty"`
}

// ModelDemand is the demand for a model in one domain. It changes only when a
// level leaves its hysteresis band, or with the rounded Excess, which keeps the
// traffic between domains small.
type ModelDemand struct {
	Model    string  `cbor:"1,keyasint"`
	Requests float32 `cbor:"2,keyasint"`
	Tokens   float32 `cbor:"3,keyasint"`
	Value    float32 `cbor:"4,keyasint"`
	// Seq is the number of the layout that last changed this entry.
	Seq int64 `cbor:"5,keyasint"`
	// Excess is the part of Tokens that overloads the domain's endpoints.
	Excess float32 `cbor:"6,keyasint,omitempty"`
}

// EndpointLayout describes the role and the models of one endpoint.
type EndpointLayout struct {
	Endpoint string        `cbor:"1,keyasint"`
	Role     engine.Role   `cbor:"2,keyasint,omitempty"`
	Leaving  bool          `cbor:"3,keyasint,omitempty"`
	Models   []ModelLayout `cbor:"4,keyasint,omitempty"`
	// Seq is the number of the layout that last changed this endpoint.
	Seq int64 `cbor:"5,keyasint"`
}

// Layout describes the models at the endpoints of one failure domain and their
// demand, as known to the domain's planner.
type Layout struct {
	Domain string `cbor:"1,keyasint"`
	// Term orders the planners of the domain, Seq the layouts within a term.
	Term      engine.Fence     `cbor:"2,keyasint"`
	Seq       int64            `cbor:"3,keyasint"`
	Endpoints []EndpointLayout `cbor:"4,keyasint,omitempty"`
	Demand    []ModelDemand    `cbor:"5,keyasint,omitempty"`
}

// LayoutReply carries a full layout, or the changes since the layout with number
// Base that its receiver holds.
type LayoutReply struct {
	Domain  string           `cbor:"1,keyasint"`
	Term    engine.Fence     `cbor:"2,keyasint"`
	Seq     int64            `cbor:"3,keyasint"`
	Base    int64            `cbor:"4,keyasint,omitempty"`
	Full    bool             `cbor:"5,keyasint,omitempty"`
	Changed []EndpointLayout `cbor:"6,keyasint,omitempty"`
	Removed []string         `cbor:"7,keyasint,omitempty"`
	Demand  []ModelDemand    `cbor:"8,keyasint,omitempty"`
}

// DemandEntry counts the requests of one node for one model, workspace and
// adapter since its last report.
type DemandEntry struct {
	Model     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"`
	Adapter   string `cbor:"3,keyasint,omitempty"`
	// Requests and Tokens are counted at arrival, with the expected number of
	// tokens. Counting served requests would hide the demand for an overloaded model.
	Requests int64 `cbor:"4,keyasint,omitempty"`
	Tokens   int64 `cbor:"5,keyasint,omitempty"`
	// Measured counts the requests with a known result for their class's
	// first-token target, and OnTarget those that met the target.
	Measured int64 `cbor:"6,keyasint,omitempty"`
	OnTarget int64 `cbor:"7,keyasint,omitempty"`
}

// WaitingRequests reports requests that wait for a model or adapter that is not
// resident. A node reports a model to the planner of its own domain. It reports
// an adapter to the planner of a domain that has the adapter's model ready, since
// only that planner can load the adapter at once.
type WaitingRequests struct {
	Model    string `cbor:"1,keyasint"`
	Adapter  string `cbor:"2,keyasint,omitempty"`
	Requests int64  `cbor:"3,keyasint"`
}

// AdapterUse reports the running requests of an adapter at an endpoint.
type AdapterUse struct {
	Endpoint string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Adapter  string `cbor:"3,keyasint"`
	Running  int64  `cbor:"4,keyasint"`
}

// DemandReport is a node's report to a planner, usually that of its own domain.
// Models without requests are left out.
type DemandReport struct {
	Node        string            `cbor:"1,keyasint"`
	Incarnation string            `cbor:"2,keyasint"`
	Seq         int64             `cbor:"3,keyasint"`
	Entries     []DemandEntry     `cbor:"4,keyasint,omitempty"`
	Waiting     []WaitingRequests `cbor:"5,keyasint,omitempty"`
	InUse       []AdapterUse      `cbor:"6,keyasint,omitempty"`
	// Suspects are endpoints whose answers contradict the layout.
	Suspects []string `cbor:"7,keyasint,omitempty"`
	// LayoutTerm and LayoutSeq identify the layout that the node holds.
	LayoutTerm engine.Fence `cbor:"8,keyasint"`
	LayoutSeq  int64        `cbor:"9,keyasint,omitempty"`
}

func validateEndpoints(list []EndpointLayout) error {
	if len(list) > maxListLength {
		return fmt.Errorf("place: layout lists %d endpoints", len(list))
	}
	for i, e := range list {
		if e.Endpoint == "" {
			return errors.New("place: layout lists an endpoint without a name")
		}
		if i > 0 && list[i-1].Endpoint >= e.Endpoint {
			return fmt.Errorf("place: layout is not sorted at endpoint %s", e.Endpoint)
		}
		switch e.Role {
		case "", engine.RoleMixed, engine.RolePrefill, engine.RoleDecode:
		default:
			return fmt.Errorf("place: endpoint %s has unknown role %q", e.Endpoint, e.Role)
		}
		if len(e.Models) > maxListLength {
			return fmt.Errorf("place: endpoint %s lists %d models", e.Endpoint, len(e.Models))
		}
		for _, m := range e.Models {
			if m.Model == "" {
				return fmt.Errorf("place: endpoint %s lists a model without a name", e.Endpoint)
			}
			if len(m.Adapters) > maxListLength {
				return fmt.Errorf("place: model %s at %s lists %d adapters", m.Model, e.Endpoint, len(m.Adapters))
			}
			if slices.Contains(m.Adapters, "") {
				return fmt.Errorf("place: model %s at %s lists an adapter without a name", m.Model, e.Endpoint)
			}
		}
	}
	return nil
}

func validateDemand(list []ModelDemand) error {
	if len(list) > maxListLength {
		return fmt.Errorf("place: layout lists the demand of %d models", len(list))
	}
	for i, d := range list {
		if d.Model == "" || !(d.Requests >= 0) || !(d.Tokens >= 0) || !(d.Value >= 0) || !(d.Excess >= 0) {
			return fmt.Errorf("place: layout has invalid demand for model %q", d.Model)
		}
		if i > 0 && list[i-1].Model >= d.Model {
			return fmt.Errorf("place: demand is not sorted at model %s", d.Model)
		}
	}
	return nil
}

// Validate returns an error if the layout is malformed.
func (l Layout) Validate() error {
	if l.Domain == "" {
		return errors.New("place: layout without a domain")
	}
	if l.Seq < 0 {
		return fmt.Errorf("place: layout has negative number %d", l.Seq)
	}
	return errors.Join(validateEndpoints(l.Endpoints), validateDemand(l.Demand))
}

// Validate returns an error if the reply is malformed.
func (r LayoutReply) Validate() error {
	if r.Domain == "" {
		return errors.New("place: layout reply without a domain")
	}
	if r.Seq < r.Base || r.Base < 0 {
		return fmt.Errorf("place: layout reply has invalid range from %d to %d", r.Base, r.Seq)
	}
	if len(r.Removed) > maxListLength || slices.Contains(r.Removed, "") {
		return errors.New("place: layout reply has an invalid list of removed endpoints")
	}
	return errors.Join(validateEndpoints(r.Changed), validateDemand(r.Demand))
}

// Validate returns an error if the report is malformed.
func (d DemandReport) Validate() error {
	if d.Node == "" || d.Incarnation == "" {
		return errors.New("place: demand report without a node or incarnation")
	}
	if len(d.Entries) > maxListLength || len(d.Waiting) > maxListLength || len(d.InUse) > maxListLength || len(d.Suspects) > maxListLength {
		return fmt.Errorf("place: demand report of %s has a list that is too long", d.Node)
	}
	for _, e := range d.Entries {
		if e.Model == "" || e.Requests < 0 || e.Tokens < 0 || e.OnTarget < 0 || e.OnTarget > e.Measured {
			return fmt.Errorf("place: demand report of %s has an invalid entry for model %q", d.Node, e.Model)
		}
	}
	for _, w := range d.Waiting {
		if w.Model == "" || w.Requests < 0 {
			return fmt.Errorf("place: demand report of %s has an invalid waiting entry for model %q", d.Node, w.Model)
		}
	}
	for _, u := range d.InUse {
		if u.Endpoint == "" || u.Model == "" || u.Adapter == "" || u.Running < 0 {
			return fmt.Errorf("place: demand report of %s has an invalid use of adapter %q", d.Node, u.Adapter)
		}
	}
	return nil
}

// Apply updates the layout from a reply. A reply with an older term or number is
// ignored.
func (l *Layout) Apply(r LayoutReply) error {
	if l.Domain != "" && l.Domain != r.Domain {
		return fmt.Errorf("place: layout of %s does not apply to %s", r.Domain, l.Domain)
	}
	if r.Term.Less(l.Term) || r.Term == l.Term && r.Seq <= l.Seq && l.Domain != "" {
		return nil
	}
	if r.Full {
		*l = Layout{
			Domain:    r.Domain,
			Term:      r.Term,
			Seq:       r.Seq,
			Endpoints: r.Changed,
			Demand:    r.Demand,
		}
		return nil
	}
	if r.Term != l.Term || r.Base > l.Seq {
		return fmt.Errorf("%w: held %v/%d, delta from %v/%d", ErrGap, l.Term, l.Seq, r.Term, r.Base)
	}
	// The list is replaced, not changed in place, because readers may hold it.
	merged := make([]EndpointLayout, 0, len(l.Endpoints)+len(r.Changed))
	for _, e := range l.Endpoints {
		if slices.Contains(r.Removed, e.Endpoint) {
			continue
		}
		if _, ok := slices.BinarySearchFunc(r.Changed, e.Endpoint, compareEndpoint); !ok {
			merged = append(merged, e)
		}
	}
	merged = append(merged, r.Changed...)
	slices.SortFunc(merged, func(a, b EndpointLayout) int {
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	demand := make([]ModelDemand, 0, len(l.Demand)+len(r.Demand))
	for _, d := range l.Demand {
		if _, ok := slices.BinarySearchFunc(r.Demand, d.Model, compareDemand); !ok {
			demand = append(demand, d)
		}
	}
	demand = append(demand, r.Demand...)
	slices.SortFunc(demand, func(a, b ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	l.Seq, l.Endpoints, l.Demand = r.Seq, merged, demand
	return nil
}

func compareDemand(d ModelDemand, name string) int { return strings.Compare(d.Model, name) }

// RemoteModel holds the replicas of a model in other domains and its demand there.
type RemoteModel struct {
	// Replicas counts those that are ready or being loaded.
	Replicas int
	Requests float64
	Tokens   float64
	Value    float64
	Excess   float64
}

// Remote sums the layouts of other domains for Inputs.Remote. The caller passes
// the layouts of the region's other domains.
func Remote(layouts ...Layout) map[string]RemoteModel {
	out := map[string]RemoteModel{}
	for _, l := range layouts {
		for _, e := range l.Endpoints {
			if e.Leaving {
				continue
			}
			for _, m := range e.Models {
				if m.Ready || m.Loading {
					x := out[m.Model]
					x.Replicas++
					out[m.Model] = x
				}
			}
		}
		for _, d := range l.Demand {
			x := out[d.Model]
			x.Requests += float64(d.Requests)
			x.Tokens += float64(d.Tokens)
			x.Value += float64(d.Value)
			x.Excess += float64(d.Excess)
			out[d.Model] = x
		}
	}
	return out
}

func compareEndpoint(e EndpointLayout, name string) int {
	return strings.Compare(e.Endpoint, name)
}
