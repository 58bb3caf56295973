package peers

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoildale.example/trefoildale/internal/rank"
)

// Process identifies one run of a node. A restarted node is another process.
type Process struct {
	Name        string
	Incarnation uint64
}

// id returns a 64-bit hash that identifies the process in messages.
func (p Process) id() uint64 {
	return rank.Score(p.Name, strconv.FormatUint(p.Incarnation, 36))
}

// State is the state of a process as known to the node that reports it.
type State uint8

// The states of a process.
const (
	// Silent means that the reporter no longer hears from the process, which may
	// be alive.
	Silent State = iota + 1
	// Live means that the process was heard from within LiveTerm.
	Live
	// Leaving means that the process is shutting down.
	Leaving
	// Dead means that the process is proved to have ended, or to have released
	// everything it held.
	Dead
)

// Member is a process with its address and state.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint"`
}

// Process returns the member's identity.
func (m Member) Process() Process {
	return Process{
		Name:        m.Name,
		Incarnation: m.Incarnation,
	}
}

// Head identifies a version of a domain's member list.
type Head struct {
	Domain  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  uint32 `cbor:"3,keyasint"`
}

// newer reports whether the list of h replaces that of o. The digest breaks ties
// between lists with the same version, so that every node keeps the same one.
func (h Head) newer(o Head) bool {
	return cmp.Or(cmp.Compare(h.Version, o.Version), cmp.Compare(h.Digest, o.Digest)) > 0
}

// List is the member list that the first relay of a domain publishes.
type List struct {
	Domain  string   `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Head returns the version and digest that identify the list.
func (l List) Head() Head {
	return Head{
		Domain:  l.Domain,
		Version: l.Version,
		Digest:  digest(l.Members),
	}
}

func digest(members []Member) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		// Writes to a Digest do not fail.
		_, _ = d.WriteString(m.Name)
		_, _ = d.WriteString("\x00" + m.Address)
		var b [9]byte
		binary.LittleEndian.PutUint64(b[:], m.Incarnation)
		b[8] = byte(m.State)
		_, _ = d.Write(b[:])
	}
	return uint32(d.Sum64())
}

// MemberRequest is the membership part of a Sync request.
type MemberRequest struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Domain and Address introduce the sender to a process that does not know
	// them yet.
	Domain  string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	// KnownProcess identifies the process that the sender knows at the receiver's
	// address, and KnownVersion the version of its view that the sender holds.
	KnownProcess uint64 `cbor:"6,keyasint,omitempty"`
	KnownVersion uint64 `cbor:"7,keyasint,omitempty"`
	// Fleet is the digest of the member lists that the sender holds.
	Fleet uint32 `cbor:"8,keyasint,omitempty"`
	// WantedLists names the domains whose lists the sender requests.
	WantedLists []string `cbor:"9,keyasint,omitempty"`
	// Dead are processes of the receiver's domain that were recently proved dead.
	Dead []Member `cbor:"10,keyasint,omitempty"`
	// Lists are newer than those that the receiver held at its last response.
	Lists []List `cbor:"11,keyasint,omitempty"`
}

// MemberResponse is the membership part of a Sync response. It is empty when the
// sender of the request already holds everything that the responder has.
type MemberResponse struct {
	// Name, Incarnation, Domain and Address are set unless the request's
	// KnownProcess identifies the responder.
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Domain      string `cbor:"3,keyasint,omitempty"`
	Address     string `cbor:"4,keyasint,omitempty"`
	Leaving     bool   `cbor:"5,keyasint,omitempty"`
	// SenderUnknown means that the responder does not know the sender, which must
	// send its domain and address in the next request.
	SenderUnknown bool `cbor:"6,keyasint,omitempty"`
	// Version is the version of the responder's view after Changes; 0 means
	// unchanged. With Full, Changes is the whole view, otherwise the changes after
	// the request's KnownVersion.
	Version uint64   `cbor:"7,keyasint,omitempty"`
	Full    bool     `cbor:"8,keyasint,omitempty"`
	Changes []Member `cbor:"9,keyasint,omitempty"`
	// Heads are set when the sender's digest of the lists differs.
	Heads []Head `cbor:"10,keyasint,omitempty"`
	// Lists are the lists named in the request's WantedLists.
	Lists []List `cbor:"11,keyasint,omitempty"`
}

const (
	maxName    = 128
	maxMembers = 4096
	maxDomains = 256
	// maxLists bounds the lists in one message. Eight lists of 14 members take
	// 5 KB, and a starting node receives the lists of 30 domains in four exchanges.
	maxLists = 8
)

func checkName(what, s string, required bool) error {
	if required && s == "" {
		return fmt.Errorf("peers: %s is missing", what)
	}
	if len(s) > maxName {
		return fmt.Errorf("peers: %s has %d bytes, at most %d are allowed", what, len(s), maxName)
	}
	return nil
}

func checkMembers(members []Member) error {
	if len(members) > maxMembers {
		return fmt.Errorf("peers: %d members, at most %d are allowed", len(members), maxMembers)
	}
	for _, m := range members {
		if err := cmp.Or(checkName("a member's name", m.Name, true), checkName("a member's address", m.Address, false)); err != nil {
			return err
		}
		if m.Incarnation == 0 || m.State < Silent || m.State > Dead {
			return fmt.Errorf("peers: member %s has incarnation %d and state %d", m.Name, m.Incarnation, m.State)
		}
	}
	return nil
}

func checkLists(lists []List) error {
	if len(lists) > maxLists {
		return fmt.Errorf("peers: %d lists, at most %d are allowed", len(lists), maxLists)
	}
	for _, l := range lists {
		if err := cmp.Or(checkName("a domain", l.Domain, true), checkMembers(l.Members)); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks a request received from another process.
func (h MemberRequest) Validate() error {
	if err := cmp.Or(
		checkName("the sender's name", h.Name, true),
		checkName("the sender's domain", h.Domain, false),
		checkName("the sender's address", h.Address, h.Domain != ""),
		checkMembers(h.Dead),
		checkLists(h.Lists),
	); err != nil {
		return err
	}
	if h.Incarnation == 0 {
		return fmt.Errorf("peers: %s has no incarnation", h.Name)
	}
	if len(h.WantedLists) > maxDomains {
		return fmt.Errorf("peers: %s requests %d lists, at most %d are allowed", h.Name, len(h.WantedLists), maxDomains)
	}
	return nil
}

// Validate checks a response received from another process.
func (w MemberResponse) Validate() error {
	if err := cmp.Or(
		checkName("the responder's name", w.Name, w.Incarnation != 0),
		checkName("the responder's domain", w.Domain, w.Incarnation != 0),
		checkName("the responder's address", w.Address, false),
		checkMembers(w.Changes),
		checkLists(w.Lists),
	); err != nil {
		return err
	}
	if len(w.Heads) > maxDomains {
		return fmt.Errorf("peers: the response holds %d heads, at most %d are allowed", len(w.Heads), maxDomains)
	}
	for _, h := range w.Heads {
		if err := checkName("a domain", h.Domain, true); err != nil {
			return err
		}
	}
	return nil
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
