package coord

import (
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
)

// SetLeaving records that an engine has said that it leaves. The next exchange tells the
// other nodes.
func (n *Node) SetLeaving(key fleet.Key, from health.Source) {
	if n.opts.Table.Health().SetLeaving(n.opts.Clock.Now(), key, from) {
		n.opts.Log.Info("endpoint says that it leaves", "endpoint", key.ID, "incarnation", key.Incarnation, "source", string(from))
	}
}

// HearLimit records what an engine's answer to a report or an order, which took the given
// time, says of its limit.
func (n *Node) HearLimit(took time.Duration, key fleet.Key, l health.Limit) {
	now := n.opts.Clock.Now()
	if change := n.opts.Table.Health().HearLimit(now, now.Add(-took), key, l, health.Report); change != nil {
		n.opts.Log.Info("endpoint's limit of requests changed", change.Attrs()...)
	}
}

// mergeLeaving records which engines another node has heard to leave.
func (n *Node) mergeLeaving(now time.Time, list []health.Statement, source string) {
	if len(list) == 0 {
		return
	}
	for _, s := range n.opts.Table.Health().Merge(now, list) {
		n.opts.Log.Info("endpoint says that it leaves", "endpoint", s.Key.ID, "incarnation", s.Key.Incarnation,
			"source", string(health.Peer), "peer", source, "age-ms", s.Age.Milliseconds())
	}
}

// mergeLimits records which engines another node has heard to name a limit.
func (n *Node) mergeLimits(now time.Time, list []health.LimitStatement, source string) {
	if len(list) == 0 {
		return
	}
	for _, change := range n.opts.Table.Health().MergeLimits(now, list) {
		n.opts.Log.Info("endpoint's limit of requests changed", append(change.Attrs(), "peer", source)...)
	}
}

// applyLimits makes the coordinator issue places at the engines that name a limit, and plan
// with little of their pace.
func (c *Coordinator) applyLimits(now time.Time) {
	version := c.health.LimitVersion()
	if version == c.limitVersion {
		return
	}
	c.limitVersion = version
	c.places.SetLimits(now, endpointLimits(c.health))
	limited := make(map[fleet.Key]bool)
	for key := range c.health.Limits() {
		limited[key] = true
	}
	c.planner.SetLimited(limited)
}

// issuePlaces answers a node's requests for places.
func (c *Coordinator) issuePlaces(now time.Time, x *Exchange, r *Reply) {
	c.applyLimits(now)
	for _, request := range x.PlaceRequests {
		issued, short := c.places.IssueInTurn(now, x.Node, request)
		if issued > 0 {
			r.Places = append(r.Places, grant.Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		}
		if short != nil {
			r.PlaceShortages = append(r.PlaceShortages, *short)
			c.logShortage(now, c.places, x.Node, request)
		}
	}
}

// plannedEndpoints returns the endpoints as the planner sees them: those that have said
// that they leave are marked, whatever the list says.
func (c *Coordinator) plannedEndpoints(now time.Time) []fleet.Endpoint {
	out := slices.Clone(c.endpoints)
	for i := range out {
		if c.health.Ask(now, out[i].Key()).Reason == health.Leaving {
			out[i].Leaving = true
		}
	}
	return out
}
