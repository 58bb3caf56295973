package coord

import (
	"context"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/models"
)

// member is a node of the fleet with its demand as of its last exchange.
type member struct {
	Member
	incarnation  string
	lastExchange time.Time
	waiting      []models.Waiting
	running      []models.Running
}

type membersReceived struct{ list []Member }

type exchangeReceived struct {
	x     *Exchange
	reply chan<- Reply
}

func (m membersReceived) apply(_ context.Context, c *Coordinator, now time.Time) {
	if c.active {
		return
	}
	c.members = make(map[string]*member, len(m.list))
	for _, x := range m.list {
		// The list is sent only when the members change, so a fraction in it may
		// date from when the fleet was smaller and the fraction larger.
		x.Fraction = min(x.Fraction, 1/float64(len(m.list)))
		c.members[x.Node] = &member{
			Member:       x,
			lastExchange: now,
		}
	}
}

// reservedFraction returns the sum of the fractions of silent members, which may
// be admitting on their own. It removes members that have been silent for too
// long.
func (c *Coordinator) reservedFraction(now time.Time) float64 {
	var sum float64
	for name, m := range c.members {
		silent := now.Sub(m.lastExchange)
		if silent > memberTimeout {
			delete(c.members, name)
			c.membersChanged()
			c.log.Warn("member removed", "member", name, "silent-ms", silent.Milliseconds())
			continue
		}
		if silent > grant.ReserveAfter {
			sum += m.Fraction
		}
	}
	return sum
}

func (c *Coordinator) waiting() []models.Waiting {
	sums := map[modelKey]int{}
	for _, m := range c.members {
		for _, w := range m.waiting {
			sums[modelKey{service: w.Service, model: w.Model}] += w.Count
		}
	}
	out := make([]models.Waiting, 0, len(sums))
	for k, n := range sums {
		out = append(out, models.Waiting{
			Service: k.service,
			Model:   k.model,
			Count:   n,
		})
	}
	return out
}

func (m exchangeReceived) apply(_ context.Context, c *Coordinator, now time.Time) {
	x := m.x
	if x.Resign != 0 {
		m.reply <- Reply{
			Handover: c.resign(now, x.Resign),
		}
		return
	}
	if !c.active {
		m.reply <- Reply{}
		return
	}
	if x.Leaving {
		delete(c.members, x.Node)
		c.membersChanged()
		m.reply <- Reply{
			Coordinator: true,
		}
		return
	}
	mem := c.members[x.Node]
	if mem == nil {
		mem = &member{}
		c.members[x.Node] = mem
		c.membersChanged()
		c.log.Info("member joined", "member", x.Node, "address", x.Address, "members", len(c.members))
	}
	if mem.incarnation != x.Incarnation && mem.incarnation != "" {
		c.log.Info("member restarted", "member", x.Node, "incarnation", x.Incarnation)
	}
	mem.Node, mem.Address, mem.incarnation, mem.lastExchange = x.Node, x.Address, x.Incarnation, now
	mem.Capacity, mem.Domain = x.Capacity, x.Domain
	mem.waiting = x.Waiting
	mem.Fraction = 1 / float64(len(c.members))
	for _, w := range x.Work {
		c.planner.RecordDemand(now, w.Service, w.Model, w.Tokens)
	}
	r := Reply{
		Coordinator: true,
		Fraction:    mem.Fraction,
		Term:        c.tenure.Fence,
	}
	for _, request := range x.TokenRequests {
		if issued := c.issuer.Issue(now, request.Workspace, request.Want, request.Need); issued > 0 {
			r.Grants = append(r.Grants, grant.Grant{
				Workspace: request.Workspace,
				Tokens:    issued,
			})
		} else if request.Need > 0 {
			r.Shortages = append(r.Shortages, c.issuer.Shortage(now, request.Workspace, request.Need))
			c.logShortage(now, c.issuer, x.Node, request)
		}
	}
	c.issuePlaces(now, x, &r)
	if !x.TokensOnly {
		mem.running = x.Running
		c.fillReply(now, x, &r)
	}
	m.reply <- r
}

// shortageLogInterval is the minimum time between two log lines about a lack of
// tokens in the same workspace.
const shortageLogInterval = time.Second

// logShortage logs the numbers that explain why a node got no tokens.
func (c *Coordinator) logShortage(now time.Time, from *grant.Issuer, node string, request grant.TokenRequest) {
	if now.Sub(c.shortageLoggedAt[request.Workspace]) < shortageLogInterval {
		return
	}
	c.shortageLoggedAt[request.Workspace] = now
	c.log.Warn("no tokens to issue", "limit", request.Workspace, "member", node, "want", request.Want, "need", request.Need,
		"urgency", request.Urgency, "level", from.Level(now, request.Workspace), "reserved", c.reservedFraction(now), "members", len(c.members), "config", c.configVersion())
}

func (c *Coordinator) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// membersChanged makes the next full reply to every node contain the members.
func (c *Coordinator) membersChanged() {
	c.seq++
	c.memberSeq = c.seq
}

// fillReply applies what a full exchange reports about engines, and adds to the
// reply what changed since the last reply that the node applied.
func (c *Coordinator) fillReply(now time.Time, x *Exchange, r *Reply) {
	for _, u := range x.Running {
		if u.Adapter != "" {
			c.planner.RecordAdapterUse(now, u.Key, u.Model, u.Adapter)
		}
	}
	for _, p := range x.Paces {
		c.planner.RecordPace(p.Key, p.Pace)
	}
	known := x.Seq
	if x.Term != c.tenure.Fence {
		known = -1
	}
	r.Seq = c.seq
	if c.memberSeq > known {
		r.Members = c.memberList()
		r.MembersVersion = MembersVersion{
			Term: c.tenure.Fence,
			Seq:  c.memberSeq,
		}
	}
	for _, p := range c.polls {
		if p.requestedAt.IsZero() {
			continue
		}
		l := LoadReport{
			Engine:    p.number,
			Age:       now.Sub(p.requestedAt),
			Active:    p.report.Active,
			Queued:    p.report.Queued,
			CacheUsed: p.report.CacheUsed,
			Busy:      p.report.Busy,
		}
		if p.stateSeq > known {
			l.State = &EngineState{
				Key:            p.report.Key,
				Models:         p.report.Models,
				OrdersAccepted: p.report.OrdersAccepted,
				CacheTotal:     p.report.CacheTotal,
			}
		}
		r.Reports = append(r.Reports, l)
	}
	r.Plain = c.plainLoads
	r.PendingUnloads, r.Loads = c.plannedUnloads, c.plannedLoads
}

// loadSumInterval is how often the active requests of all nodes are summed. It
// is shorter than the interval at which nodes report them.
const loadSumInterval = 100 * time.Millisecond

// sumLoads sums the active requests over all nodes, and lists what the planner is
// about to change.
func (c *Coordinator) sumLoads(now time.Time) {
	if now.Sub(c.loadsSummedAt) < loadSumInterval {
		return
	}
	c.loadsSummedAt = now
	var running []models.Running
	active := map[fleet.Key]int{}
	for _, m := range c.members {
		running = append(running, m.running...)
		for _, u := range m.running {
			active[u.Key] += u.Count
		}
	}
	c.planner.SetRunning(running)
	c.plannedLoads, c.plannedUnloads = c.planner.Loads(now), nil
	for key, names := range c.planner.PendingUnloads() {
		c.plannedUnloads = append(c.plannedUnloads, EngineUnloads{
			Key:    key,
			Models: names,
		})
	}
	c.plainLoads = nil
	for _, e := range c.endpoints {
		if c.config != nil && c.config.Services[e.Service] != nil && c.config.Services[e.Service].Engine == nil {
			c.plainLoads = append(c.plainLoads, PlainLoad{
				Key:    e.Key(),
				Active: active[e.Key()],
			})
		}
	}
}

func (c *Coordinator) memberList() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return out
}
