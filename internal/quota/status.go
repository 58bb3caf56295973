package quota

import (
	"slices"
	"strings"
	"time"
)

// Status describes one workspace at one node.
type Status struct {
	Workspace string
	// Pool is the node that is the workspace's pool in this domain.
	Pool string
	// DepositedWith is the pool that uses this node's slots now, or "".
	DepositedWith string
	// Level, Cap and Rate are those of the bucket on this node.
	Level float64
	Cap   float64
	Rate  float64
	// Lent is the tokens lent from the bucket, Borrowed those borrowed from other
	// domains.
	Lent     float64
	Borrowed int64
	// Deposits is the number of nodes whose slots this node uses as a pool.
	Deposits int
	// Fraction is the domain's part of the workspace's rate and burst.
	Fraction float64
	// Domains are the domains that hold a share of the workspace.
	Domains []string
	// FleetRate and FleetBurst are the configured values.
	FleetRate  float64
	FleetBurst float64
}

// Status returns the state of all workspaces, in the order of their names.
func (n *Node) Status(now time.Time) []Status {
	out := make([]Status, 0, len(n.workspaces))
	for name, ws := range n.workspaces {
		sh := n.shares.byWorkspace[name]
		if sh == nil {
			continue
		}
		b := &ws.bucket
		b.advance(now)
		st := Status{
			Workspace:  name,
			Pool:       ws.pool,
			Level:      b.level,
			Cap:        b.capacity(),
			Rate:       b.rate(),
			Lent:       b.lent,
			Borrowed:   ws.borrowed.Tokens(now),
			Deposits:   len(b.deposits),
			Fraction:   sh.fraction,
			Domains:    slices.Clone(sh.domains),
			FleetRate:  sh.rate,
			FleetBurst: sh.burst,
		}
		if now.Before(ws.depositedUntil) {
			st.DepositedWith = ws.depositedWith.node
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return out
}

// Slots returns the number of slots that this node may use now and their
// deadline.
func (n *Node) Slots(now time.Time) (int, time.Time) {
	return n.slots.Usable(now)
}

// Owners returns the domain's slot table as last seen.
func (n *Node) Owners() []SlotOwner {
	return n.slots.Owners()
}
