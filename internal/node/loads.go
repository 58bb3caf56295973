package node

import (
	"context"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/wire"
)

// stepLoads reads the load reports of the endpoints that are assigned to this
// node. Each model endpoint of the domain is assigned to one node, so only one
// node polls it.
func (l *loop) stepLoads(now time.Time) {
	if now.Before(l.loadDue) {
		return
	}
	l.loadDue = now.Add(loadEvery)
	cfg := l.view.Config()
	local := l.peers.LiveNodes()
	for _, e := range cfg.Endpoints {
		if e.Domain != l.node.settings.Node.Domain || e.MemoryMiB == 0 || l.loadInFlight[e.Name] {
			continue
		}
		if rank.First("load/"+e.Name, local) != l.node.settings.Node.Name {
			continue
		}
		l.loadInFlight[e.Name] = true
		name, address, after := e.Name, e.Address, l.cacheSeq[e.Name]
		l.spawn(callTimeout, func(ctx context.Context) message {
			load, err := l.node.engines.LoadReport(ctx, address)
			out := loadDone{
				endpoint: name,
				load:     load,
				err:      err,
			}
			if err == nil {
				// Without cache events, routing estimates the cache contents itself.
				out.events, _ = l.node.engines.CacheEvents(ctx, address, after)
			}
			return out
		})
	}
}

// loadDone is the outcome of reading an endpoint's load report and cache events.
type loadDone struct {
	endpoint string
	load     engine.Load
	events   []engine.CacheEvent
	err      error
}

func (m loadDone) handle(l *loop) {
	l.loadInFlight[m.endpoint] = false
	if m.err != nil {
		return
	}
	now := l.node.clock.Now()
	if l.isRestarted(m.endpoint, m.load.Incarnation) {
		// What the engine held is gone, and its cache events are numbered anew.
		l.node.demand.ReportLayoutMismatch(m.endpoint)
		l.cacheSeq[m.endpoint], m.events = 0, nil
	}
	if n := len(m.events); n > 0 {
		l.cacheSeq[m.endpoint] = m.events[n-1].Seq
		l.node.routes.CacheEvents(now, m.endpoint, m.events)
	}
	l.setLoad(now, wire.EndpointLoad{
		Endpoint:        m.endpoint,
		Running:         m.load.Running,
		Queued:          m.load.Queued,
		TokensPerSecond: int64(m.load.TokensPerSecond),
		Age:             max(0, time.Since(m.load.Sampled)),
		Leaving:         m.load.Leaving,
	})
}

// isRestarted reports whether an endpoint has started again since its last load report.
func (l *loop) isRestarted(endpoint, incarnation string) bool {
	if incarnation == "" {
		return false
	}
	before := l.incarnations[endpoint]
	l.incarnations[endpoint] = incarnation
	return before != "" && before != incarnation
}

// setLoad stores a load report unless the stored one is at least as new, and
// passes it to the routing table.
func (l *loop) setLoad(now time.Time, load wire.EndpointLoad) {
	at := now.Add(-load.Age)
	if !at.After(l.loadSampledAt[load.Endpoint]) {
		return
	}
	l.loadSampledAt[load.Endpoint] = at
	l.loads[load.Endpoint] = load
	l.node.routes.SetLoad(now, load.Endpoint, engine.Load{
		Running:         load.Running,
		Queued:          load.Queued,
		TokensPerSecond: float64(load.TokensPerSecond),
		Sampled:         at,
		Leaving:         load.Leaving,
	})
}

// maxLoadAge is the age above which a load report is no longer forwarded to
// other nodes.
const maxLoadAge = 5 * time.Second

// ownLoads returns the reports of the endpoints that are assigned to this node.
func (l *loop) ownLoads(now time.Time) []wire.EndpointLoad {
	local := l.peers.LiveNodes()
	return l.filterLoads(now, func(name string) bool {
		return rank.First("load/"+name, local) == l.node.settings.Node.Name
	})
}

func (l *loop) allLoads(now time.Time) []wire.EndpointLoad {
	return l.filterLoads(now, func(string) bool { return true })
}

func (l *loop) filterLoads(now time.Time, want func(string) bool) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for name, load := range l.loads {
		age := now.Sub(l.loadSampledAt[name])
		if age > maxLoadAge || !want(name) {
			continue
		}
		load.Age = age
		out = append(out, load)
	}
	return out
}
