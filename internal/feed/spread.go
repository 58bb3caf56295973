package feed

// spreadTo is the number of other nodes that must have heard of a revision
// before it is acknowledged.
const spreadTo = 2

// Spread counts the nodes that have heard of a revision which this node has
// appended. Until it is done the operator gets no acknowledgement: if the only
// node that knows of a withdrawal dies just before the platform's table stops
// responding, all others truthfully say that they know of no newer revision,
// and the key works until the table is back. With three nodes in two domains
// all of them would have to die within one poll interval before the outage.
type Spread struct {
	domain   string
	revision int64
	heard    map[string]string
}

// NewSpread returns a Spread for a revision that a node of domain has appended.
func NewSpread(domain string, revision int64) *Spread {
	return &Spread{domain: domain, revision: revision, heard: map[string]string{}}
}

// Answered notes that node, in the given domain, answered the request a.
func (s *Spread) Answered(node, domain string, a Ask) {
	if max(a.Held, a.Known) >= s.revision {
		s.heard[node] = domain
	}
}

// Done reports whether enough other nodes have heard: two, one of them in
// another domain, or as many as there are. others is the number of other nodes
// in each domain, this node's own included.
func (s *Spread) Done(others map[string]int) bool {
	total, outside, heardOutside := 0, 0, 0
	for domain, n := range others {
		total += n
		if domain != s.domain {
			outside += n
		}
	}
	for _, domain := range s.heard {
		if domain != s.domain {
			heardOutside++
		}
	}
	return len(s.heard) >= min(spreadTo, total) && heardOutside >= min(1, outside)
}
