package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/pkg/spec"
)

// reporter follows the exchange with the planners.
type reporter struct {
	due     time.Time
	busy    bool
	last    time.Time
	seq     int64
	fetched time.Time
}

// stepReport exchanges demand and layouts with the planner of the domain. The
// planner itself asks the planners of the other domains.
func (l *loop) stepReport(now time.Time) {
	if l.report.busy || now.Before(l.report.due) || now.Sub(l.report.last) < urgentGap {
		return
	}
	planner := l.planner()
	if planner == "" {
		return
	}
	l.report.last = now
	l.report.due = now.Add(reportEvery)
	l.report.seq++
	report := &place.DemandReport{
		Node:        l.node.set.Node.Name,
		Incarnation: incarnationText(l.node.inc),
		Seq:         l.report.seq,
	}
	l.node.board.take(report)
	if planner == l.node.set.Node.Name {
		l.takeReport(*report)
		l.fetchLayouts(now)
		return
	}
	if held := l.layouts[l.node.set.Node.Domain]; held != nil {
		report.LayoutTerm, report.LayoutSeq = held.Term, held.Seq
	}
	l.exchange(l.node.set.Node.Domain, planner, &wire.DemandRequest{
		Domain: l.node.set.Node.Domain,
		Report: report,
		Held:   l.marksOf(),
		Loads:  l.ownLoads(now),
	})
}

// takeReport hands a report of the domain to the manager. What requests wait for
// and only another domain can provide is passed on.
func (l *loop) takeReport(r place.DemandReport) {
	l.inputs.Reports = append(l.inputs.Reports, r)
	own := l.node.set.Node.Domain
	for _, w := range r.Waiting {
		if w.Adapter == "" && !l.canHold(w.Model, own) || w.Adapter != "" && !l.holds(w.Model, own) {
			l.foreign[wantKey{model: w.Model, adapter: w.Adapter}] = w
		}
	}
}

// holds reports whether a domain has the model ready.
func (l *loop) holds(model, domain string) bool {
	held := l.layouts[domain]
	if held == nil {
		return false
	}
	return slices.ContainsFunc(held.Endpoints, func(e place.EndpointLayout) bool {
		return slices.ContainsFunc(e.Models, func(m place.ModelLayout) bool {
			return m.Model == model && m.Ready
		})
	})
}

// canHold reports whether an endpoint of the domain could be given the model.
func (l *loop) canHold(model, domain string) bool {
	cfg := l.view.Config()
	i := slices.IndexFunc(cfg.Models, func(m spec.Model) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	m := cfg.Models[i]
	return slices.ContainsFunc(cfg.Endpoints, func(e spec.Endpoint) bool {
		return e.Domain == domain && e.Service == m.Service && e.MemoryMiB >= m.MemoryMiB &&
			!l.gone[e.Name] && !l.loads[e.Name].Leaving
	})
}

// foreignReport is what the planner of another domain is asked for. Each want
// goes to one domain that can meet it.
func (l *loop) foreignReport(domain string) *place.DemandReport {
	own := l.node.set.Node
	var report *place.DemandReport
	for key, w := range l.foreign {
		can := l.canHold
		if w.Adapter != "" {
			can = l.holds
		}
		var able []string
		for d := range l.planners {
			if d != own.Domain && can(w.Model, d) {
				able = append(able, d)
			}
		}
		if rank.First("model/"+w.Model, able) != domain {
			continue
		}
		if report == nil {
			l.report.seq++
			report = &place.DemandReport{
				Node:        own.Name,
				Incarnation: incarnationText(l.node.inc),
				Seq:         l.report.seq,
			}
		}
		report.Waiting = append(report.Waiting, w)
		delete(l.foreign, key)
	}
	return report
}

func (l *loop) marksOf() []wire.LayoutMark {
	out := make([]wire.LayoutMark, 0, len(l.layouts))
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		held := l.layouts[name]
		out = append(out, wire.LayoutMark{
			Domain: name,
			Term:   held.Term,
			Seq:    held.Seq,
		})
	}
	return out
}

// fetchLayouts asks the planners of the other domains for their layouts.
func (l *loop) fetchLayouts(now time.Time) {
	if now.Sub(l.report.fetched) < fetchEvery {
		return
	}
	l.report.fetched = now
	for domain, planner := range l.planners {
		if domain == l.node.set.Node.Domain {
			continue
		}
		req := &wire.DemandRequest{
			Domain: l.node.set.Node.Domain,
			Report: l.foreignReport(domain),
		}
		if held := l.layouts[domain]; held != nil {
			req.Held = []wire.LayoutMark{{
				Domain: domain,
				Term:   held.Term,
				Seq:    held.Seq,
			}}
		}
		l.exchange(domain, planner, req)
	}
}

// exchange sends one message to a planner.
func (l *loop) exchange(domain, planner string, req *wire.DemandRequest) {
	p, ok := l.peers.Lookup(domain, planner)
	if !ok {
		return
	}
	if domain == l.node.set.Node.Domain {
		l.report.busy = true
	}
	l.spawn(callTimeout, func(ctx context.Context) message {
		reply, err := l.node.wire.Demand(ctx, p.Address, req)
		return exchanged{
			domain: domain,
			req:    req,
			reply:  reply,
			err:    err,
		}
	})
}

// exchanged is the outcome of a message to a planner.
type exchanged struct {
	domain string
	req    *wire.DemandRequest
	reply  *wire.DemandReply
	err    error
}

func (m exchanged) handle(l *loop) {
	if m.domain == l.node.set.Node.Domain {
		l.report.busy = false
	}
	if m.err != nil || !m.reply.Planner {
		delete(l.planners, m.domain)
		return
	}
	for _, r := range m.reply.Layouts {
		next := place.Layout{}
		if held := l.layouts[r.Domain]; held != nil {
			next = *held
		}
		if err := next.Apply(r); err != nil {
			// The next exchange asks for the whole layout.
			klog.V(1).InfoS("Layout not applied", "domain", r.Domain, "error", err.Error())
			delete(l.layouts, r.Domain)
			continue
		}
		l.takeLayout(next)
	}
	now := l.node.clock.Now()
	for _, load := range m.reply.Loads {
		l.takeLoad(now, load)
	}
}

// demanded is a message to this node as a planner.
type demanded struct {
	req   *wire.DemandRequest
	reply chan<- *wire.DemandReply
}

func (m demanded) handle(l *loop) {
	now := l.node.clock.Now()
	out := &wire.DemandReply{
		Planner: l.authority(now) != (place.Authority{}),
	}
	if !out.Planner {
		m.reply <- out
		return
	}
	own := l.node.set.Node.Domain
	held := make(map[string]wire.LayoutMark, len(m.req.Held))
	for _, h := range m.req.Held {
		held[h.Domain] = h
	}
	if h := held[own]; true {
		out.Layouts = append(out.Layouts, l.manager.Reply(h.Term, h.Seq))
	}
	if m.req.Domain != own && m.req.Report != nil {
		// A domain that cannot hold a model asks for it here.
		l.inputs.Reports = append(l.inputs.Reports, *m.req.Report)
	}
	if m.req.Domain == own {
		if m.req.Report != nil {
			l.takeReport(*m.req.Report)
		}
		out.Layouts = append(out.Layouts, l.otherLayouts(held)...)
		for _, load := range m.req.Loads {
			l.takeLoad(now, load)
		}
		out.Loads = l.allLoads(now)
	}
	m.reply <- out
}

// otherLayouts returns the layouts of other domains that differ from the held ones.
func (l *loop) otherLayouts(held map[string]wire.LayoutMark) []place.LayoutReply {
	var out []place.LayoutReply
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		have := l.layouts[name]
		if h := held[name]; name == l.node.set.Node.Domain || h.Term == have.Term && h.Seq == have.Seq {
			continue
		}
		out = append(out, place.LayoutReply{
			Domain:  name,
			Term:    have.Term,
			Seq:     have.Seq,
			Full:    true,
			Changed: have.Endpoints,
			Demand:  have.Demand,
		})
	}
	return out
}
