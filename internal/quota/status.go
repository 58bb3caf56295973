package quota

import (
	"slices"
	"strings"
	"time"
)

// Status describes one workspace at one node.
type Status struct {
	Workspace string
	// Pool is the node that pools the workspace in this domain.
	Pool string
	// LentTo is the pool that uses this node's fraction now, or "".
	LentTo string
	// Level, Cap and Rate are those of the bucket on this node.
	Level float64
	Cap   float64
	Rate  float64
	// Lent and Borrowed are the loans from the bucket and from other domains.
	Lent     float64
	Borrowed int64
	// Deposits is the number of nodes that deposit with this one.
	Deposits int
	// Fraction is the domain's part of the workspace's rate and burst.
	Fraction float64
	// Domains hold a part of the workspace's rate and burst.
	Domains []string
	// FleetRate and FleetBurst are the configured values.
	FleetRate  float64
	FleetBurst float64
}

// Status returns the state of all workspaces, in the order of their names.
func (n *Node) Status(now time.Time) []Status {
	out := make([]Status, 0, len(n.spaces))
	for name, sp := range n.spaces {
		sh := n.shares.items[name]
		if sh == nil {
			continue
		}
		b := &sp.bucket
		b.settle(now)
		st := Status{
			Workspace:  name,
			Pool:       sp.home,
			Level:      b.level,
			Cap:        b.limit(),
			Rate:       b.rate(),
			Lent:       b.lent,
			Borrowed:   sp.borrowed.Tokens(now),
			Deposits:   len(b.sources),
			Fraction:   sh.fraction,
			Domains:    slices.Clone(sh.domains),
			FleetRate:  sh.rate,
			FleetBurst: sh.burst,
		}
		if now.Before(sp.lentUntil) {
			st.LentTo = sp.lentTo.node
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return out
}

// Slots returns how many slots this node may use now, and until when.
func (n *Node) Slots(now time.Time) (int, time.Time) {
	return n.slots.Usable(now)
}

// Owners returns the domain's slot table as last seen.
func (n *Node) Owners() []SlotOwner {
	return n.slots.Owners()
}
