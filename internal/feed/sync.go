package feed

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// maxAnswer bounds the changes in one answer; a node that lags further asks
	// again. A whole configuration, as in the first revision, may be larger.
	maxAnswer = 256 << 10
	// maxListed bounds the domains and nodes in one message; the design size
	// has 30 domains and 14 nodes in each.
	maxListed = 1024
	// maxName is the longest name of a node or domain.
	maxName = 64
)

// Mark is a time on the clock of the process that issued it. The receiver
// returns it unchanged in its next request.
type Mark struct {
	Issuer uint64 `cbor:"1,keyasint"`
	At     int64  `cbor:"2,keyasint"`
}

// Ask is the part of a Sync request that concerns the configuration.
type Ask struct {
	Domain string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
	Held   int64  `cbor:"3,keyasint"`
	// Known is the highest revision that the node has heard of or has written.
	Known int64 `cbor:"4,keyasint,omitempty"`
	Mark  Mark  `cbor:"5,keyasint"`
	Scope Scope `cbor:"6,keyasint,omitempty"`
	// Changes are those that the relay did not hold when it last answered. A
	// node that has appended a revision spreads it in this way.
	Changes []Entry `cbor:"7,keyasint,omitempty"`
}

// Scope says how much of what it knows the relay answers with.
type Scope uint8

// The scopes.
const (
	// ScopeSummary is for nodes that are not relays.
	ScopeSummary Scope = iota
	// ScopeDomain adds the word of the relay's own domain; it is for relays of
	// other domains.
	ScopeDomain
	// ScopeFleet adds the words of all domains, and of all nodes for a relay of
	// the same domain. It also reaches domains that the asker is cut off from,
	// at 30 times the size at the design size.
	ScopeFleet
)

// Validate checks a decoded message.
func (a *Ask) Validate() error {
	switch {
	case a.Held < 0 || a.Known < 0:
		return fmt.Errorf("feed: ask: revision below zero")
	case a.Scope > ScopeFleet:
		return fmt.Errorf("feed: ask: no scope %d", a.Scope)
	case !nameOK(a.Node) || !nameOK(a.Domain):
		return fmt.Errorf("feed: ask: name is empty or longer than %d", maxName)
	}
	return validate(a.Changes, a.Held)
}

// validate decodes changes, which must be in order and at most revision last.
func validate(changes []Entry, last int64) error {
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

// DomainState is the word of a domain.
type DomainState struct {
	Domain string `cbor:"1,keyasint"`
	// Highest is the highest revision that a node of the domain has read or written.
	Highest int64 `cbor:"2,keyasint"`
	// Lowest is the revision that every node of the domain holds at least.
	Lowest int64 `cbor:"3,keyasint"`
	// Age is how long before the answer this held.
	Age time.Duration `cbor:"4,keyasint"`
}

// MemberState is the word of one node, passed between relays of its domain.
type MemberState struct {
	Node  string        `cbor:"1,keyasint"`
	Held  int64         `cbor:"2,keyasint"`
	Known int64         `cbor:"3,keyasint"`
	Age   time.Duration `cbor:"4,keyasint"`
}

// Answer is the part of a Sync response that concerns the configuration.
type Answer struct {
	// Revision is the one that the relay holds and that AsOfAge is about.
	Revision int64 `cbor:"1,keyasint"`
	// AsOfAge is the age of the relay's AsOf, or -1 when it has none.
	AsOfAge  time.Duration `cbor:"2,keyasint"`
	Changes  []Entry       `cbor:"3,keyasint,omitempty"`
	Snapshot []byte        `cbor:"4,keyasint,omitempty"`
	Known    int64         `cbor:"5,keyasint,omitempty"`
	Mark     Mark          `cbor:"6,keyasint"`
	// QuietAge is the age of the relay's knowledge that no node of any domain
	// had read or written a revision above QuietHighest, or -1.
	QuietAge     time.Duration `cbor:"7,keyasint"`
	QuietHighest int64         `cbor:"8,keyasint,omitempty"`
	// Confirmed is the revision that every node of every domain holds at least.
	Confirmed int64         `cbor:"9,keyasint,omitempty"`
	Domains   []DomainState `cbor:"10,keyasint,omitempty"`
	Members   []MemberState `cbor:"11,keyasint,omitempty"`

	snapshot *spec.Config
}

// Validate checks a decoded message and decodes the changes in it.
func (a *Answer) Validate() error {
	if a.Revision < 0 || a.Known < 0 || a.QuietHighest < 0 || a.Confirmed < 0 {
		return fmt.Errorf("feed: answer: revision below zero")
	}
	if len(a.Domains) > maxListed || len(a.Members) > maxListed {
		return fmt.Errorf("feed: answer: more than %d domains or nodes", maxListed)
	}
	for _, d := range a.Domains {
		if !nameOK(d.Domain) || d.Highest < 0 || d.Lowest < 0 || d.Lowest > d.Highest {
			return fmt.Errorf("feed: answer: malformed state of domain %.64q", d.Domain)
		}
	}
	for _, m := range a.Members {
		if !nameOK(m.Node) || m.Held < 0 || m.Known < 0 {
			return fmt.Errorf("feed: answer: malformed state of node %.64q", m.Node)
		}
	}
	if err := validate(a.Changes, a.Revision); err != nil {
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

// Read returns what a valid answer showed to the node that sent its request at
// sent. Subtracting the ages from that time is safe for any network delay.
func (a *Answer) Read(sent time.Time) Read {
	return Read{
		Snapshot:    a.snapshot,
		Entries:     a.Changes,
		At:          minus(sent, a.AsOfAge),
		Latest:      a.Revision,
		QuietAt:     minus(sent, a.QuietAge),
		QuietLatest: a.QuietHighest,
	}
}

// Relay is what a node answers Sync requests from.
type Relay struct {
	View    *View
	Fleet   *Fleet
	Members *Members
	// Live are the nodes of the relay's domain that are not proved dead, reduced
	// by Members.Live. Domains are all domains of the configuration and the
	// relay's own. The caller keeps both current. A node that is missing in Live
	// without proof can have appended a revision that the domain denies.
	Live    []string
	Domains []string

	// packed is the last snapshot that was sent.
	packed   []byte
	packedAt int64
}

// Ask returns the request to a relay that last answered with revision relayHeld
// (0 before the first answer) and mark.
func (v *View) Ask(node, domain string, scope Scope, relayHeld int64, mark Mark) Ask {
	a := Ask{Domain: domain, Node: node, Held: v.Revision(), Known: v.Known(), Mark: mark, Scope: scope}
	if relayHeld > 0 {
		// A relay that lags further gets a snapshot elsewhere.
		entries, _ := v.state.After(relayHeld)
		a.Changes = firstOf(entries)
	}
	return a
}

// Refresh brings the relay's own word and the word of its domain up to date and
// moves the view's freshness accordingly. node is the relay itself. A node that
// holds no configuration yet has no word: before a restart it may have known
// of a revision that it does not know now.
func (r *Relay) Refresh(node string, now time.Time) {
	if r.View.Revision() == 0 && r.View.AsOf().IsZero() {
		return
	}
	r.Members.Self(node, r.View.Revision(), r.View.Known(), now)
	if own, ok := r.Members.State(now, r.Live); ok {
		r.Fleet.Learn(now, []DomainState{own})
	}
	if at, highest, ok := r.Fleet.Quiet(r.Domains); ok {
		r.View.Quiet(at, highest)
	}
}

// Take gives the view what a read or an answer showed and refreshes the words
// that follow from it. See View.Take.
func (r *Relay) Take(node string, read Read, now time.Time) (changed bool, err error) {
	changed, err = r.View.Take(read)
	r.Refresh(node, now)
	return changed, err
}

// TakeAnswer is Take for the valid answer of another relay to the request that
// was sent at sent.
func (r *Relay) TakeAnswer(node string, a *Answer, sent, now time.Time) (changed bool, err error) {
	r.View.Heard(a.Known)
	r.Fleet.Learn(sent, a.Domains)
	r.Members.Learn(sent, a.Members)
	return r.Take(node, a.Read(sent), now)
}

// Answer takes the changes in a valid request and returns the response. Requests
// of the relay's own domain are also noted as that node's word.
func (r *Relay) Answer(a Ask, now time.Time) (Answer, error) {
	// Changes that leave a gap are of no use, but the rest of the request is.
	if _, err := r.View.Take(Read{Entries: a.Changes}); err != nil && !errors.Is(err, ErrGap) {
		return Answer{}, err
	}
	own := a.Domain == r.Members.domain
	if own {
		r.Members.Hear(a, now)
	}
	r.View.Heard(max(a.Held, a.Known))
	out := Answer{
		Revision:  r.View.Revision(),
		AsOfAge:   ageOf(now, r.View.AsOf()),
		Known:     r.View.Known(),
		Mark:      r.Members.Mark(now),
		QuietAge:  -1,
		Confirmed: r.Fleet.ConfirmedRevision(r.Domains),
	}
	if at, highest, ok := r.Fleet.Quiet(r.Domains); ok {
		out.QuietAge, out.QuietHighest = ageOf(now, at), highest
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
	return out, r.fill(&out, a.Held)
}

func (r *Relay) fill(out *Answer, held int64) error {
	s := r.View.State()
	entries, ok := s.After(held)
	if !ok {
		if r.packedAt != s.Revision() {
			data, err := encodeSnapshot(s.Config)
			if err != nil {
				return fmt.Errorf("feed: encode snapshot for a node: %w", err)
			}
			r.packed, r.packedAt = data, s.Revision()
		}
		out.Snapshot = r.packed
		return nil
	}
	out.Changes = firstOf(entries)
	return nil
}

// firstOf returns as many entries as fit into a message.
func firstOf(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.Row); size > maxAnswer && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func nameOK(s string) bool { return s != "" && len(s) <= maxName }
