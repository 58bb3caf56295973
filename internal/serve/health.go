package serve

import (
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// recordStatements records what an endpoint says of itself in an answer, before anything
// else is done with the answer.
func (c *call) recordStatements(key fleet.Key, reply *Reply) {
	now := c.opts.Clock.Now()
	if reply.Leaving && c.opts.Table.Health().SetLeaving(now, key, health.Answer) {
		c.opts.Log.Info("endpoint says that it leaves", "endpoint", key.ID, "incarnation", key.Incarnation,
			"source", string(health.Answer), "request", c.req.ID, "status", reply.Status)
	}
	if reply.Wait.For > 0 {
		c.opts.Table.Health().SetClosed(now, key, now.Add(reply.Wait.For))
	}
	if reply.Verdict == Foreign || reply.Verdict == Misdirected {
		// Another endpoint may have sent it.
		return
	}
	if change := c.opts.Table.Health().HearLimit(now, reply.sentAt, key, reply.Limit, health.Answer); change != nil {
		c.opts.Log.Info("endpoint's limit of requests changed", append(change.Attrs(), "request", c.req.ID, "status", reply.Status)...)
	}
}
