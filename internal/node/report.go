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

// reportState tracks the exchange of demand and layouts with the planners.
type reportState struct {
	due         time.Time
	inFlight    bool
	lastSentAt  time.Time
	seq         int64
	lastFetchAt time.Time
}

// stepReport exchanges demand and layouts with the planner of the domain. If
// this node is the planner, it contacts the planners of the other domains
// instead.
func (l *loop) stepReport(now time.Time) {
	if l.report.inFlight || now.Before(l.report.due) || now.Sub(l.report.lastSentAt) < minReportGap {
		return
	}
	planner := l.planner()
	if planner == "" {
		return
	}
	l.report.lastSentAt = now
	l.report.due = now.Add(reportEvery)
	l.report.seq++
	report := &place.DemandReport{
		Node:        l.node.settings.Node.Name,
		Incarnation: incarnationText(l.node.incarnation),
		Seq:         l.report.seq,
	}
	l.node.demand.fillReport(report)
	if planner == l.node.settings.Node.Name {
		l.addReport(*report)
		l.fetchLayouts(now)
		return
	}
	if held := l.layouts[l.node.settings.Node.Domain]; held != nil {
		report.LayoutTerm, report.LayoutSeq = held.Term, held.Seq
	}
	l.sendDemand(l.node.settings.Node.Domain, planner, &wire.DemandRequest{
		Domain: l.node.settings.Node.Domain,
		Report: report,
		Held:   l.layoutVersions(),
		Loads:  l.ownLoads(now),
	})
}

// addReport adds a demand report of the domain to the manager's inputs. Models
// and adapters that requests wait for and only another domain can provide are
// kept for otherDomainReport.
func (l *loop) addReport(r place.DemandReport) {
	if err := r.Validate(); err != nil {
		klog.InfoS("Demand report not applied", "reporter", r.Node, "error", err.Error())
		return
	}
	l.inputs.Reports = append(l.inputs.Reports, r)
	own := l.node.settings.Node.Domain
	for _, w := range r.Waiting {
		if w.Adapter == "" && !l.domainCanHost(w.Model, own) || w.Adapter != "" && !l.domainHasModel(w.Model, own) {
			l.otherDomainWaiting[waitKey{model: w.Model, adapter: w.Adapter}] = w
		}
	}
}

// domainHasModel reports whether an endpoint of the domain has the model loaded
// and ready.
func (l *loop) domainHasModel(model, domain string) bool {
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

// domainCanHost reports whether an endpoint of the domain can load the model.
func (l *loop) domainCanHost(model, domain string) bool {
	cfg := l.view.Config()
	i := slices.IndexFunc(cfg.Models, func(m spec.Model) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	m := cfg.Models[i]
	return slices.ContainsFunc(cfg.Endpoints, func(e spec.Endpoint) bool {
		return e.Domain == domain && e.Service == m.Service && e.MemoryMiB >= m.MemoryMiB &&
			!l.leavingEndpoints[e.Name] && !l.loads[e.Name].Leaving
	})
}

// otherDomainReport returns the demand to send to the planner of another domain,
// nil if there is none. Each entry of otherDomainWaiting is sent to a single domain
// that can provide it.
func (l *loop) otherDomainReport(domain string) *place.DemandReport {
	own := l.node.settings.Node
	var report *place.DemandReport
	for key, w := range l.otherDomainWaiting {
		can := l.domainCanHost
		if w.Adapter != "" {
			can = l.domainHasModel
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
				Incarnation: incarnationText(l.node.incarnation),
				Seq:         l.report.seq,
			}
		}
		report.Waiting = append(report.Waiting, w)
		delete(l.otherDomainWaiting, key)
	}
	return report
}

func (l *loop) layoutVersions() []wire.LayoutVersion {
	out := make([]wire.LayoutVersion, 0, len(l.layouts))
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		held := l.layouts[name]
		out = append(out, wire.LayoutVersion{
			Domain: name,
			Term:   held.Term,
			Seq:    held.Seq,
		})
	}
	return out
}

// fetchLayouts requests the layouts of the other domains from their planners.
func (l *loop) fetchLayouts(now time.Time) {
	if now.Sub(l.report.lastFetchAt) < fetchEvery {
		return
	}
	l.report.lastFetchAt = now
	for domain, planner := range l.planners {
		if domain == l.node.settings.Node.Domain {
			continue
		}
		req := &wire.DemandRequest{
			Domain: l.node.settings.Node.Domain,
			Report: l.otherDomainReport(domain),
		}
		if held := l.layouts[domain]; held != nil {
			req.Held = []wire.LayoutVersion{{
				Domain: domain,
				Term:   held.Term,
				Seq:    held.Seq,
			}}
		}
		l.sendDemand(domain, planner, req)
	}
}

// sendDemand sends a DemandRequest to a planner.
func (l *loop) sendDemand(domain, planner string, req *wire.DemandRequest) {
	p, ok := l.peers.Lookup(domain, planner)
	if !ok {
		return
	}
	if domain == l.node.settings.Node.Domain {
		l.report.inFlight = true
	}
	l.spawn(callTimeout, func(ctx context.Context) message {
		reply, err := l.node.wire.Demand(ctx, p.Address, req)
		return demandDone{
			domain: domain,
			req:    req,
			reply:  reply,
			err:    err,
		}
	})
}

// demandDone is the outcome of a DemandRequest to a planner.
type demandDone struct {
	domain string
	req    *wire.DemandRequest
	reply  *wire.DemandReply
	err    error
}

func (m demandDone) handle(l *loop) {
	if m.domain == l.node.settings.Node.Domain {
		l.report.inFlight = false
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
			// Without a stored layout, the next exchange requests the whole one.
			klog.V(1).InfoS("Layout not applied", "domain", r.Domain, "error", err.Error())
			delete(l.layouts, r.Domain)
			continue
		}
		l.setLayout(next)
	}
	now := l.node.clock.Now()
	for _, load := range m.reply.Loads {
		l.setLoad(now, load)
	}
}

// demandRequest is a DemandRequest that this node received as a planner.
type demandRequest struct {
	req   *wire.DemandRequest
	reply chan<- *wire.DemandReply
}

func (m demandRequest) handle(l *loop) {
	now := l.node.clock.Now()
	out := &wire.DemandReply{
		Planner: l.authority(now) != (place.Authority{}),
	}
	if !out.Planner {
		m.reply <- out
		return
	}
	own := l.node.settings.Node.Domain
	held := make(map[string]wire.LayoutVersion, len(m.req.Held))
	for _, h := range m.req.Held {
		held[h.Domain] = h
	}
	if h := held[own]; true {
		out.Layouts = append(out.Layouts, l.manager.Reply(h.Term, h.Seq))
	}
	if m.req.Domain != own && m.req.Report != nil {
		// The sender's domain cannot host what its requests wait for.
		l.inputs.Reports = append(l.inputs.Reports, *m.req.Report)
	}
	if m.req.Domain == own {
		if m.req.Report != nil {
			l.addReport(*m.req.Report)
		}
		out.Layouts = append(out.Layouts, l.otherLayouts(held)...)
		for _, load := range m.req.Loads {
			l.setLoad(now, load)
		}
		out.Loads = l.allLoads(now)
	}
	m.reply <- out
}

// otherLayouts returns the layouts of other domains that differ from those the
// sender holds.
func (l *loop) otherLayouts(held map[string]wire.LayoutVersion) []place.LayoutReply {
	var out []place.LayoutReply
	for _, name := range slices.Sorted(maps.Keys(l.layouts)) {
		have := l.layouts[name]
		if h := held[name]; name == l.node.settings.Node.Domain || h.Term == have.Term && h.Seq == have.Seq {
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
