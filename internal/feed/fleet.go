package feed

import (
	"maps"
	"slices"
	"time"
)

// Fleet is what a relay knows of every domain: the highest revision that any
// node there has read or written, the lowest that one still holds, and the time
// for which both are known. It is not safe for concurrent use.
//
// A revision can only be acknowledged to an operator by a node, and each node is
// in a domain. When every domain's word, given at time t or later, names no
// revision above N, then none above N was acknowledged before t. That holds
// whether or not the platform's table responds, so the rule does not ask.
type Fleet struct {
	domains map[string]witness
}

type witness struct {
	highest int64
	lowest  int64
	asOf    time.Time
}

// NewFleet returns a Fleet that knows of no domain.
func NewFleet() *Fleet {
	return &Fleet{domains: map[string]witness{}}
}

// Learn notes the states in an answer to a request that was sent at sent. Of
// two words about a domain the one for the later time counts.
func (f *Fleet) Learn(sent time.Time, states []DomainState) {
	for _, s := range states {
		asOf := minus(sent, s.Age)
		if had, ok := f.domains[s.Domain]; asOf.IsZero() || ok && !asOf.After(had.asOf) {
			continue
		}
		f.domains[s.Domain] = witness{highest: s.Highest, lowest: s.Lowest, asOf: asOf}
	}
}

// States returns what is known, for passing it on.
func (f *Fleet) States(now time.Time) []DomainState {
	out := make([]DomainState, 0, len(f.domains))
	for _, name := range slices.Sorted(maps.Keys(f.domains)) {
		w := f.domains[name]
		out = append(out, DomainState{Domain: name, Highest: w.highest, Lowest: w.lowest, Age: ageOf(now, w.asOf)})
	}
	return out
}

// Keep forgets the domains that the configuration no longer has.
func (f *Fleet) Keep(domains []string) {
	maps.DeleteFunc(f.domains, func(name string, _ witness) bool { return !slices.Contains(domains, name) })
}

// Quiet returns a time at which no node of the given domains had read or
// written a revision above highest. It is false while a domain was never heard.
func (f *Fleet) Quiet(domains []string) (at time.Time, highest int64, ok bool) {
	for _, name := range domains {
		w, known := f.domains[name]
		if !known {
			return time.Time{}, 0, false
		}
		if at.IsZero() || w.asOf.Before(at) {
			at = w.asOf
		}
		highest = max(highest, w.highest)
	}
	return at, highest, !at.IsZero()
}

// ConfirmedRevision returns the revision that every node of the given domains
// holds at least. It is 0 while a domain was never heard.
func (f *Fleet) ConfirmedRevision(domains []string) int64 {
	lowest, first := int64(0), true
	for _, name := range domains {
		w, known := f.domains[name]
		if !known {
			return 0
		}
		if first || w.lowest < lowest {
			lowest, first = w.lowest, false
		}
	}
	return lowest
}

// Members is what a relay knows of the nodes of its own domain. It is not safe
// for concurrent use.
type Members struct {
	domain string
	issuer uint64
	since  time.Time
	nodes  map[string]member
}

// silentAfter is how long a node may give no word before it is left out of the
// word of its domain. Until then its silence keeps every domain from vouching.
// A revision that was acknowledged has spread to at least two other nodes, which
// pass it on several times a second. It is forgotten only if all that heard of
// it die, or stay silent for this long, before they pass it on, and the table
// stops responding before another node reads it. A caller that does not accept
// this leaves out Live and waits for proof of death; a paused node then keeps
// all domains from vouching while the table is down.
const silentAfter = 10 * time.Second

type member struct {
	held  int64
	known int64
	asOf  time.Time
}

// NewMembers returns an empty Members. issuer is a number that no other process
// uses, for example a random one; it marks the answers of this relay.
func NewMembers(domain string, issuer uint64, now time.Time) *Members {
	return &Members{domain: domain, issuer: issuer, since: now, nodes: map[string]member{}}
}

// Live returns the nodes, of those not proved dead, that the word of the domain
// is made of. A node that was never heard counts until this relay has had time
// to hear it.
func (m *Members) Live(now time.Time, nodes []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(name string) bool {
		last := m.since
		if n, ok := m.nodes[name]; ok && n.asOf.After(last) {
			last = n.asOf
		}
		return now.Sub(last) > silentAfter
	})
}

// Mark returns the mark to put into an answer.
func (m *Members) Mark(now time.Time) Mark {
	return Mark{Issuer: m.issuer, At: now.UnixNano()}
}

// Hear notes the request of a node of this domain. The network may have delayed
// it, so its word counts for the time of the mark that it returns, which was
// issued before the request was sent. A node's first request returns none and
// does not yet vouch for anything.
func (m *Members) Hear(a Ask, now time.Time) {
	var asOf time.Time
	if a.Mark.Issuer == m.issuer && a.Mark.At <= now.UnixNano() {
		asOf = time.Unix(0, a.Mark.At).In(now.Location())
	}
	m.note(a.Node, member{held: a.Held, known: max(a.Held, a.Known), asOf: asOf})
}

// Self notes what the relay itself holds and has heard of.
func (m *Members) Self(node string, held, known int64, now time.Time) {
	m.note(node, member{held: held, known: max(held, known), asOf: now})
}

// Learn notes what another relay of the domain knows of its nodes. The request
// was sent at sent.
func (m *Members) Learn(sent time.Time, states []MemberState) {
	for _, s := range states {
		m.note(s.Node, member{held: s.Held, known: max(s.Held, s.Known), asOf: minus(sent, s.Age)})
	}
}

func (m *Members) note(node string, n member) {
	had, ok := m.nodes[node]
	if ok && !n.asOf.After(had.asOf) {
		// A word without a newer time still tells that a revision exists, and a
		// lower one that the node has restarted.
		had.known = max(had.known, n.known)
		had.held = min(had.held, n.held)
		m.nodes[node] = had
		return
	}
	n.known = max(n.known, had.known)
	m.nodes[node] = n
}

// Forget removes a node that left or is proved dead.
func (m *Members) Forget(node string) { delete(m.nodes, node) }

// Known returns the highest revision that any node has heard of.
func (m *Members) Known() int64 {
	known := int64(0)
	for _, n := range m.nodes {
		known = max(known, n.known)
	}
	return known
}

// States returns what is known of each node, for another relay of the domain.
func (m *Members) States(now time.Time) []MemberState {
	out := make([]MemberState, 0, len(m.nodes))
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		n := m.nodes[name]
		out = append(out, MemberState{Node: name, Held: n.held, Known: n.known, Age: ageOf(now, n.asOf)})
	}
	return out
}

// State returns the word of the domain, made of the words of its live nodes. It
// is false while one of them has not vouched for anything.
func (m *Members) State(now time.Time, live []string) (DomainState, bool) {
	s := DomainState{Domain: m.domain}
	var oldest time.Time
	for i, name := range live {
		n, ok := m.nodes[name]
		if !ok || n.asOf.IsZero() {
			return DomainState{}, false
		}
		if i == 0 || n.asOf.Before(oldest) {
			oldest = n.asOf
		}
		if i == 0 || n.held < s.Lowest {
			s.Lowest = n.held
		}
		s.Highest = max(s.Highest, n.known)
	}
	s.Age = ageOf(now, oldest)
	return s, len(live) > 0
}

// ageOf returns how long ago t was, or -1 when t is unknown.
func ageOf(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(now.Sub(t), 0)
}
