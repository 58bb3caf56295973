package feed

// requiredReceivers is the number of other nodes that must know of a revision
// before Done reports true, unless there are fewer.
const requiredReceivers = 2

// Replication tracks which nodes know of a revision that this node has appended.
// The acknowledgement to the operator waits for Done, or for a deadline, after
// which it is marked as unreplicated (see Appended). Without the wait, the only
// node that knows of a key withdrawal could die just before the platform's table
// stops responding; all other nodes would then confirm that no newer revision
// exists, and the key would work until the table is back. With three nodes in two
// domains, all of them would have to die within one poll interval before the
// outage.
type Replication struct {
	domain   string
	revision int64
	// receivers maps the names of the nodes that know of the revision to their
	// domains.
	receivers map[string]string
}

// NewReplication returns a Replication for a revision that a node of domain has
// appended.
func NewReplication(domain string, revision int64) *Replication {
	return &Replication{domain: domain, revision: revision, receivers: map[string]string{}}
}

// RecordAnswer records that node, in the given domain, answered the request a. The
// node then knows of the revisions that the request states.
func (r *Replication) RecordAnswer(node, domain string, a ConfigRequest) {
	if max(a.Held, a.Known) >= r.revision {
		r.receivers[node] = domain
	}
}

// Done reports whether enough other nodes know of the revision: two, one of them
// in another domain, or as many as there are. others is the number of other nodes
// in each domain, including this node's own domain.
func (r *Replication) Done(others map[string]int) bool {
	total, outside, receiversOutside := 0, 0, 0
	for domain, n := range others {
		total += n
		if domain != r.domain {
			outside += n
		}
	}
	for _, domain := range r.receivers {
		if domain != r.domain {
			receiversOutside++
		}
	}
	return len(r.receivers) >= min(requiredReceivers, total) && receiversOutside >= min(1, outside)
}
