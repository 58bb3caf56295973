package feed

import (
	"maps"
	"slices"
	"time"
)

// Fleet holds a relay's latest state of every domain: the highest revision that
// any node there has read or written, the lowest revision held by any node
// there, and the time at which both were valid. It is not safe for concurrent
// use.
//
// A revision can only be acknowledged to an operator by a node, and each node is
// in a domain. When the states of all domains, valid at time t or later, contain
// no revision above N, then none above N was acknowledged before t. That holds
// whether or not the platform's table responds, so the table is not consulted.
type Fleet struct {
	domains map[string]domainObservation
}

type domainObservation struct {
	highest int64
	lowest  int64
	asOf    time.Time
}

// NewFleet returns a Fleet without any domain state.
func NewFleet() *Fleet {
	return &Fleet{domains: map[string]domainObservation{}}
}

// Merge records the states in the response to a request that was sent at sent.
// For each domain the state that is valid at the later time is kept.
func (f *Fleet) Merge(sent time.Time, states []DomainState) {
	for _, s := range states {
		asOf := subtractAge(sent, s.Age)
		if previous, ok := f.domains[s.Domain]; asOf.IsZero() || ok && !asOf.After(previous.asOf) {
			continue
		}
		f.domains[s.Domain] = domainObservation{highest: s.Highest, lowest: s.Lowest, asOf: asOf}
	}
}

// States returns the states of all known domains, sorted by name, to be sent to
// another relay.
func (f *Fleet) States(now time.Time) []DomainState {
	out := make([]DomainState, 0, len(f.domains))
	for _, name := range slices.Sorted(maps.Keys(f.domains)) {
		o := f.domains[name]
		out = append(out, DomainState{Domain: name, Highest: o.highest, Lowest: o.lowest, Age: ageOf(now, o.asOf)})
	}
	return out
}

// RetainDomains removes the state of every domain that is not in domains, the
// list of the configuration.
func (f *Fleet) RetainDomains(domains []string) {
	maps.DeleteFunc(f.domains, func(name string, _ domainObservation) bool { return !slices.Contains(domains, name) })
}

// HighestRevision returns a time at which no node of the given domains had read
// or written a revision above highest. ok is false while the state of one of the
// domains is not known.
func (f *Fleet) HighestRevision(domains []string) (at time.Time, highest int64, ok bool) {
	for _, name := range domains {
		o, known := f.domains[name]
		if !known {
			return time.Time{}, 0, false
		}
		if at.IsZero() || o.asOf.Before(at) {
			at = o.asOf
		}
		highest = max(highest, o.highest)
	}
	return at, highest, !at.IsZero()
}

// ConfirmedRevision returns the revision that every node of the given domains
// holds at least. It is 0 while the state of one of the domains is not known.
func (f *Fleet) ConfirmedRevision(domains []string) int64 {
	lowest, first := int64(0), true
	for _, name := range domains {
		o, known := f.domains[name]
		if !known {
			return 0
		}
		if first || o.lowest < lowest {
			lowest, first = o.lowest, false
		}
	}
	return lowest
}

// Members holds a relay's latest state of the nodes of its own domain. It is not
// safe for concurrent use.
type Members struct {
	domain    string
	issuer    uint64
	startedAt time.Time
	nodes     map[string]member
}

// memberTimeout is how long a node may send no request before it is left out of
// the state of its domain. Until then the silent node blocks the confirmation of
// freshness in all domains.
//
// A revision acknowledged after Replication.Done has reached at least two other
// nodes, if there are as many, which forward it several times a second. It is
// lost only if every node that received it dies or stays silent for this long
// before forwarding it, and the table stops responding before another node reads
// it. A caller that does not accept this risk does not filter with FilterLive and
// waits for proof of death instead; a paused node then blocks the confirmation in
// all domains while the table is down.
const memberTimeout = 10 * time.Second

type member struct {
	held  int64
	known int64
	// asOf is zero until the node's state is confirmed for some time.
	asOf time.Time
}

// NewMembers returns an empty Members. issuer identifies this relay in the echo
// timestamps it issues and must be unique to the process, for example a random
// number.
func NewMembers(domain string, issuer uint64, now time.Time) *Members {
	return &Members{domain: domain, issuer: issuer, startedAt: now, nodes: map[string]member{}}
}

// FilterLive filters nodes, which are not proved dead, for those whose last state
// is no older than memberTimeout. A node that has not sent any request is
// treated as live until memberTimeout after the start of this relay.
func (m *Members) FilterLive(now time.Time, nodes []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(name string) bool {
		last := m.startedAt
		if n, ok := m.nodes[name]; ok && n.asOf.After(last) {
			last = n.asOf
		}
		return now.Sub(last) > memberTimeout
	})
}

// EchoTimestamp returns the timestamp to include in a response sent at now.
func (m *Members) EchoTimestamp(now time.Time) EchoTimestamp {
	return EchoTimestamp{Issuer: m.issuer, At: now.UnixNano()}
}

// RecordRequest records the state in a request from a node of this domain. The
// network may have delayed the request, so the state is valid as of the echo
// timestamp that the request returns, which was issued before the request was sent.
// A node's first request carries no timestamp and confirms the state for no time.
func (m *Members) RecordRequest(a ConfigRequest, now time.Time) {
	var asOf time.Time
	if a.Echo.Issuer == m.issuer && a.Echo.At <= now.UnixNano() {
		asOf = time.Unix(0, a.Echo.At).In(now.Location())
	}
	m.record(a.Node, member{held: a.Held, known: max(a.Held, a.Known), asOf: asOf})
}

// RecordSelf records the revision that the relay itself holds and the highest
// one it knows of.
func (m *Members) RecordSelf(node string, held, known int64, now time.Time) {
	m.record(node, member{held: held, known: max(held, known), asOf: now})
}

// Merge records the node states in the response of another relay of the domain
// to a request that was sent at sent.
func (m *Members) Merge(sent time.Time, states []MemberState) {
	for _, s := range states {
		m.record(s.Node, member{held: s.Held, known: max(s.Held, s.Known), asOf: subtractAge(sent, s.Age)})
	}
}

func (m *Members) record(node string, n member) {
	previous, ok := m.nodes[node]
	if ok && !n.asOf.After(previous.asOf) {
		// A state that is not newer still proves that the revisions in it exist.
		// A lower held revision shows that the node has restarted.
		previous.known = max(previous.known, n.known)
		previous.held = min(previous.held, n.held)
		m.nodes[node] = previous
		return
	}
	n.known = max(n.known, previous.known)
	m.nodes[node] = n
}

// Remove removes the state of a node that left or is proved dead.
func (m *Members) Remove(node string) { delete(m.nodes, node) }

// Known returns the highest revision that any node of the domain knows of.
func (m *Members) Known() int64 {
	known := int64(0)
	for _, n := range m.nodes {
		known = max(known, n.known)
	}
	return known
}

// States returns the states of all nodes, sorted by name, to be sent to another
// relay of the domain.
func (m *Members) States(now time.Time) []MemberState {
	out := make([]MemberState, 0, len(m.nodes))
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		n := m.nodes[name]
		out = append(out, MemberState{Node: name, Held: n.held, Known: n.known, Age: ageOf(now, n.asOf)})
	}
	return out
}

// State returns the state of the domain, aggregated from the states of its live
// nodes. It returns false while the state of one of them is not confirmed.
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
