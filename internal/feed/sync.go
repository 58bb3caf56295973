package feed

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// maxChangesSize bounds the total row size in bytes of the changes in one
	// message; a node that lags further sends another request. A single larger
	// change, such as the first revision with a whole configuration, is still
	// sent.
	maxChangesSize = 256 << 10
	// maxListEntries bounds the domains and the nodes in one message. The design
	// size is 30 domains with 14 nodes each.
	maxListEntries = 1024
	// maxNameLength is the maximum length in bytes of a node or domain name.
	maxNameLength = 64
)

// EchoTimestamp is a timestamp on the clock of the process that issued it. The
// receiver returns it unchanged in its next request, which shows the issuer that
// the request was sent after that time.
type EchoTimestamp struct {
	Issuer uint64 `cbor:"1,keyasint"`
	At     int64  `cbor:"2,keyasint"`
}

// ConfigRequest is the part of a Sync request that concerns the configuration.
type ConfigRequest struct {
	Domain string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
	Held   int64  `cbor:"3,keyasint"`
	// Known is the highest revision that the node knows of or has written.
	Known int64         `cbor:"4,keyasint,omitempty"`
	Echo  EchoTimestamp `cbor:"5,keyasint"`
	Scope Scope         `cbor:"6,keyasint,omitempty"`
	// Changes are the changes that the relay did not hold when it last answered.
	// A node that has appended a revision distributes it in this way.
	Changes []Entry `cbor:"7,keyasint,omitempty"`
}

// Scope selects which domain and node states a relay includes in its answer.
type Scope uint8

// The scopes of a Sync request.
const (
	// ScopeSummary includes no domain states. It is used by nodes that are not
	// relays.
	ScopeSummary Scope = iota
	// ScopeDomain includes the state of the relay's own domain. It is used by
	// relays of other domains.
	ScopeDomain
	// ScopeFleet includes the states of all domains and, for a relay of the same
	// domain, of all nodes. It also provides the states of domains that the
	// sender cannot reach itself. At the design size the answer is 30 times as
	// large as with ScopeDomain.
	ScopeFleet
)

// Validate checks a decoded request and decodes the changes in it.
func (a *ConfigRequest) Validate() error {
	switch {
	case a.Held < 0 || a.Known < 0:
		return fmt.Errorf("feed: request: revision below zero")
	case a.Scope > ScopeFleet:
		return fmt.Errorf("feed: request: no scope %d", a.Scope)
	case !isValidName(a.Node) || !isValidName(a.Domain):
		return fmt.Errorf("feed: request: name is empty or longer than %d", maxNameLength)
	}
	return validateChanges(a.Changes, a.Held)
}

// validateChanges decodes changes. Their revisions must be consecutive and must
// not exceed last.
func validateChanges(changes []Entry, last int64) error {
	for i := range changes {
		if err := changes[i].Validate(); err != nil {
			return err
		}
		if changes[i].Revision > last || i > 0 && changes[i].Revision != changes[i-1].Revision+1 {
			return fmt.Errorf("feed: revision %d out of order", changes[i].Revision)
		}
	}
	return nil
}

// DomainState summarises the revisions held in a domain at one time.
type DomainState struct {
	Domain string `cbor:"1,keyasint"`
	// Highest is the highest revision that a node of the domain has read or written.
	Highest int64 `cbor:"2,keyasint"`
	// Lowest is the revision that every node of the domain holds at least.
	Lowest int64 `cbor:"3,keyasint"`
	// Age is how long before the answer this state was valid.
	Age time.Duration `cbor:"4,keyasint"`
}

// MemberState is the state of one node, exchanged between relays of its domain.
type MemberState struct {
	Node  string        `cbor:"1,keyasint"`
	Held  int64         `cbor:"2,keyasint"`
	Known int64         `cbor:"3,keyasint"`
	Age   time.Duration `cbor:"4,keyasint"`
}

// ConfigResponse is the part of a Sync response that concerns the configuration.
type ConfigResponse struct {
	// Revision is the revision that the relay holds and that AsOfAge refers to.
	Revision int64 `cbor:"1,keyasint"`
	// AsOfAge is the age of the relay's AsOf, or -1 when it has none.
	AsOfAge  time.Duration `cbor:"2,keyasint"`
	Changes  []Entry       `cbor:"3,keyasint,omitempty"`
	Snapshot []byte        `cbor:"4,keyasint,omitempty"`
	Known    int64         `cbor:"5,keyasint,omitempty"`
	Echo     EchoTimestamp `cbor:"6,keyasint"`
	// FleetHighestAge is the age of the relay's knowledge that no node of any domain
	// had read or written a revision above FleetHighest, or -1.
	FleetHighestAge time.Duration `cbor:"7,keyasint"`
	FleetHighest    int64         `cbor:"8,keyasint,omitempty"`
	// Confirmed is the revision that every node of every domain holds at least,
	// or 0 when unknown.
	Confirmed int64         `cbor:"9,keyasint,omitempty"`
	Domains   []DomainState `cbor:"10,keyasint,omitempty"`
	Members   []MemberState `cbor:"11,keyasint,omitempty"`

	snapshot *spec.Config
}

// Validate checks a decoded answer and decodes the changes and the snapshot in
// it.
func (a *ConfigResponse) Validate() error {
	if a.Revision < 0 || a.Known < 0 || a.FleetHighest < 0 || a.Confirmed < 0 {
		return fmt.Errorf("feed: answer: revision below zero")
	}
	if len(a.Domains) > maxListEntries || len(a.Members) > maxListEntries {
		return fmt.Errorf("feed: answer: more than %d domains or nodes", maxListEntries)
	}
	for _, d := range a.Domains {
		if !isValidName(d.Domain) || d.Highest < 0 || d.Lowest < 0 || d.Lowest > d.Highest {
			return fmt.Errorf("feed: answer: malformed state of domain %.64q", d.Domain)
		}
	}
	for _, m := range a.Members {
		if !isValidName(m.Node) || m.Held < 0 || m.Known < 0 {
			return fmt.Errorf("feed: answer: malformed state of node %.64q", m.Node)
		}
	}
	if err := validateChanges(a.Changes, a.Revision); err != nil {
		return err
	}
	if a.Snapshot != nil {
		c, err := decodeSnapshot(a.Snapshot)
		if err != nil {
			return fmt.Errorf("feed: answer: snapshot: %w", err)
		}
		if c.Revision > a.Revision {
			return fmt.Errorf("feed: answer: snapshot of revision %d above %d", c.Revision, a.Revision)
		}
		a.snapshot = c
	}
	return nil
}

// Read converts a valid answer to a request that was sent at sent. The ages are
// subtracted from that time, which is never later than the time of the answer, so
// that a network delay cannot make the data appear newer than it is.
func (a *ConfigResponse) Read(sent time.Time) Read {
	return Read{
		Snapshot:     a.snapshot,
		Entries:      a.Changes,
		TableAsOf:    subtractAge(sent, a.AsOfAge),
		TableLatest:  a.Revision,
		FleetAsOf:    subtractAge(sent, a.FleetHighestAge),
		FleetHighest: a.FleetHighest,
	}
}

// Relay holds the state from which a node answers Sync requests.
type Relay struct {
	View    *View
	Fleet   *Fleet
	Members *Members
	// LiveNodes holds the nodes of the relay's domain that are not proved dead,
	// filtered by Members.FilterLive. Domains holds all domains of the
	// configuration and the relay's own. The caller keeps both up to date. A node
	// that is missing from LiveNodes without proof of death may have appended a
	// revision that the state of the domain does not include.
	LiveNodes []string
	Domains   []string

	// encodedSnapshot caches the last snapshot that was sent, of revision
	// encodedRevision.
	encodedSnapshot []byte
	encodedRevision int64
}

// ConfigRequest returns the request to a relay that last answered with revision
// relayHeld (0 before the first answer) and echo.
func (v *View) ConfigRequest(node, domain string, scope Scope, relayHeld int64, echo EchoTimestamp) ConfigRequest {
	a := ConfigRequest{Domain: domain, Node: node, Held: v.Revision(), Known: v.Known(), Echo: echo, Scope: scope}
	if relayHeld > 0 {
		// The changes are missing when the relay lags further than the retained
		// entries reach. It then receives a snapshot from another node.
		entries, _ := v.state.After(relayHeld)
		a.Changes = limitMessageSize(entries)
	}
	return a
}

// Refresh updates the relay's own state, the state of its domain and the
// freshness of the view. node is the name of the relay. A node that holds no
// configuration yet records no state: before a restart it may have known of a
// revision that it does not know now.
func (r *Relay) Refresh(node string, now time.Time) {
	if r.View.Revision() == 0 && r.View.AsOf().IsZero() {
		return
	}
	r.Members.RecordSelf(node, r.View.Revision(), r.View.Known(), now)
	if own, ok := r.Members.State(now, r.LiveNodes); ok {
		r.Fleet.Merge(now, []DomainState{own})
	}
	if at, highest, ok := r.Fleet.HighestRevision(r.Domains); ok {
		r.View.RecordFleetHighest(at, highest)
	}
}

// Apply applies a read or an answer to the view and refreshes the states derived
// from it. See View.Apply.
func (r *Relay) Apply(node string, read Read, now time.Time) (changed bool, err error) {
	changed, err = r.View.Apply(read)
	r.Refresh(node, now)
	return changed, err
}

// ApplyAnswer applies the valid answer of another relay to a request that was sent
// at sent. See Apply.
func (r *Relay) ApplyAnswer(node string, a *ConfigResponse, sent, now time.Time) (changed bool, err error) {
	r.View.RecordKnown(a.Known)
	r.Fleet.Merge(sent, a.Domains)
	r.Members.Merge(sent, a.Members)
	return r.Apply(node, a.Read(sent), now)
}

// Answer applies the changes in a valid request and returns the response. A
// request from the relay's own domain also updates the state of its sender.
func (r *Relay) Answer(a ConfigRequest, now time.Time) (ConfigResponse, error) {
	// Changes with a gap cannot be applied, but the rest of the request is valid.
	if _, err := r.View.Apply(Read{Entries: a.Changes}); err != nil && !errors.Is(err, ErrGap) {
		return ConfigResponse{}, err
	}
	own := a.Domain == r.Members.domain
	if own {
		r.Members.RecordRequest(a, now)
	}
	r.View.RecordKnown(max(a.Held, a.Known))
	out := ConfigResponse{
		Revision:        r.View.Revision(),
		AsOfAge:         ageOf(now, r.View.AsOf()),
		Known:           r.View.Known(),
		Echo:            r.Members.EchoTimestamp(now),
		FleetHighestAge: -1,
		Confirmed:       r.Fleet.ConfirmedRevision(r.Domains),
	}
	if at, highest, ok := r.Fleet.HighestRevision(r.Domains); ok {
		out.FleetHighestAge, out.FleetHighest = ageOf(now, at), highest
	}
	switch a.Scope {
	case ScopeSummary:
	case ScopeDomain:
		out.Domains = slices.DeleteFunc(r.Fleet.States(now), func(s DomainState) bool { return s.Domain != r.Members.domain })
	case ScopeFleet:
		out.Domains = r.Fleet.States(now)
		if own {
			out.Members = r.Members.States(now)
		}
	}
	return out, r.addChanges(&out, a.Held)
}

// addChanges adds the changes above held to the answer, or a snapshot when they
// are no longer retained.
func (r *Relay) addChanges(out *ConfigResponse, held int64) error {
	s := r.View.State()
	entries, ok := s.After(held)
	if !ok {
		if r.encodedRevision != s.Revision() {
			data, err := encodeSnapshot(s.Config)
			if err != nil {
				return fmt.Errorf("feed: encode snapshot for a node: %w", err)
			}
			r.encodedSnapshot, r.encodedRevision = data, s.Revision()
		}
		out.Snapshot = r.encodedSnapshot
		return nil
	}
	out.Changes = limitMessageSize(entries)
	return nil
}

// limitMessageSize returns the leading entries that fit into maxChangesSize, and
// at least one.
func limitMessageSize(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.Row); size > maxChangesSize && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameLength }
