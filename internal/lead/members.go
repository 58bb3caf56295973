package lead

import (
	"context"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/depot"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

type member struct {
	Member
	incarnation string
	heard       time.Time
	waiting     []depot.Waiting
	running     []depot.Running
}

type membersKnown struct{ list []Member }

type exchanged struct {
	x     *Exchange
	reply chan<- Reply
}

func (m membersKnown) apply(_ context.Context, c *Coordinator, now time.Time) {
	if c.active {
		return
	}
	c.members = make(map[string]*member, len(m.list))
	for _, x := range m.list {
		// The list is told when members change, so a fraction in it may date from
		// a smaller fleet.
		x.Fraction = min(x.Fraction, 1/float64(len(m.list)))
		c.members[x.Node] = &member{
			Member: x,
			heard:  now,
		}
	}
}

// reserved is the sum of the fractions of nodes without contact.
func (c *Coordinator) reserved(now time.Time) float64 {
	var sum float64
	for name, m := range c.members {
		silent := now.Sub(m.heard)
		if silent > memberGone {
			delete(c.members, name)
			c.memberChanged()
			c.log.Warn("member removed", "member", name, "silent-ms", silent.Milliseconds())
			continue
		}
		if silent > grant.ReserveAfter {
			sum += m.Fraction
		}
	}
	return sum
}

func (c *Coordinator) waiting() []depot.Waiting {
	sums := map[modelKey]int{}
	for _, m := range c.members {
		for _, w := range m.waiting {
			sums[modelKey{service: w.Service, model: w.Model}] += w.Count
		}
	}
	out := make([]depot.Waiting, 0, len(sums))
	for k, n := range sums {
		out = append(out, depot.Waiting{
			Service: k.service,
			Model:   k.model,
			Count:   n,
		})
	}
	return out
}

func (m exchanged) apply(_ context.Context, c *Coordinator, now time.Time) {
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
		c.memberChanged()
		m.reply <- Reply{
			Coordinator: true,
		}
		return
	}
	mem := c.members[x.Node]
	if mem == nil {
		mem = &member{}
		c.members[x.Node] = mem
		c.memberChanged()
		c.log.Info("member joined", "member", x.Node, "address", x.Address, "members", len(c.members))
	}
	if mem.incarnation != x.Incarnation && mem.incarnation != "" {
		c.log.Info("member restarted", "member", x.Node, "incarnation", x.Incarnation)
	}
	mem.Node, mem.Address, mem.incarnation, mem.heard = x.Node, x.Address, x.Incarnation, now
	mem.Capacity, mem.Domain = x.Capacity, x.Domain
	mem.waiting = x.Waiting
	mem.Fraction = 1 / float64(len(c.members))
	for _, w := range x.Work {
		c.depot.Arrived(now, w.Service, w.Model, w.Tokens)
	}
	r := Reply{
		Coordinator: true,
		Fraction:    mem.Fraction,
		Term:        c.tenure.Fence,
	}
	for _, d := range x.Draws {
		if got := c.issuer.Issue(now, d.Workspace, d.Want, d.Need); got > 0 {
			r.Loans = append(r.Loans, grant.Loan{
				Workspace: d.Workspace,
				Tokens:    got,
			})
		} else if d.Need > 0 {
			r.Short = append(r.Short, grant.Shortage{
				Workspace: d.Workspace,
				In:        c.issuer.Wait(now, d.Workspace, d.Need),
			})
			c.tellShort(now, x.Node, d)
		}
	}
	if !x.Brief {
		mem.running = x.Running
		c.tell(now, x, &r)
	}
	m.reply <- r
}

// shortEvery is the least time between two lines about one workspace without
// tokens.
const shortEvery = time.Second

// tellShort notes why a node got no tokens.
func (c *Coordinator) tellShort(now time.Time, node string, d grant.Draw) {
	if now.Sub(c.short[d.Workspace]) < shortEvery {
		return
	}
	c.short[d.Workspace] = now
	c.log.Warn("no tokens to issue", "workspace", d.Workspace, "member", node, "want", d.Want, "need", d.Need,
		"level", c.issuer.Level(now, d.Workspace), "reserved", c.reserved(now), "members", len(c.members), "config", c.configVersion())
}

func (c *Coordinator) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// memberChanged has all nodes told of the members.
func (c *Coordinator) memberChanged() {
	c.seq++
	c.memberSeq = c.seq
}

// tell takes over what a full exchange says of engines, and answers with what
// the node does not know yet.
func (c *Coordinator) tell(now time.Time, x *Exchange, r *Reply) {
	for _, u := range x.Running {
		if u.Adapter != "" {
			c.depot.AdapterUsed(now, u.Key, u.Model, u.Adapter)
		}
	}
	for _, p := range x.Paces {
		c.depot.SetPace(p.Key, p.Pace)
	}
	known := x.Seq
	if x.Term != c.tenure.Fence {
		known = -1
	}
	r.Seq = c.seq
	if c.memberSeq > known {
		r.Members = c.memberList()
		r.MembersAs = MembersVersion{
			Term: c.tenure.Fence,
			Seq:  c.memberSeq,
		}
	}
	for _, p := range c.reports {
		if p.asked.IsZero() {
			continue
		}
		l := LoadReport{
			Engine:    p.number,
			Age:       now.Sub(p.asked),
			Active:    p.report.Active,
			Queued:    p.report.Queued,
			CacheUsed: p.report.CacheUsed,
			Busy:      p.report.Busy,
		}
		if p.stateSeq > known {
			l.State = &EngineState{
				Key:        p.report.Key,
				Models:     p.report.Models,
				Orders:     p.report.Orders,
				CacheTotal: p.report.CacheTotal,
			}
		}
		r.Reports = append(r.Reports, l)
	}
	r.Plain = c.plain
	for key, models := range c.depot.Closing() {
		r.Closing = append(r.Closing, Closing{
			Key:    key,
			Models: models,
		})
	}
}

// gatherEvery is how often the requests under way are added up. Nodes tell of
// them at most that often.
const gatherEvery = 100 * time.Millisecond

// gather adds up the requests under way over all nodes.
func (c *Coordinator) gather(now time.Time) {
	if now.Sub(c.gathered) < gatherEvery {
		return
	}
	c.gathered = now
	var running []depot.Running
	active := map[fleet.Key]int{}
	for _, m := range c.members {
		running = append(running, m.running...)
		for _, u := range m.running {
			active[u.Key] += u.Count
		}
	}
	c.depot.SetRunning(running)
	c.plain = nil
	for _, e := range c.list {
		if c.config != nil && c.config.Services[e.Service] != nil && c.config.Services[e.Service].Engine == nil {
			c.plain = append(c.plain, PlainLoad{
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
