package node

import (
	"context"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/wire"
)

// stepLoads reads the load reports of this node's part of the domain's model
// endpoints, so that each endpoint is asked by one node.
func (l *loop) stepLoads(now time.Time) {
	if now.Before(l.loadDue) {
		return
	}
	l.loadDue = now.Add(loadEvery)
	cfg := l.view.Config()
	local := l.peers.Local()
	for _, e := range cfg.Endpoints {
		if e.Domain != l.node.set.Node.Domain || e.MemoryMiB == 0 || l.loadBusy[e.Name] {
			continue
		}
		if rank.First("load/"+e.Name, local) != l.node.set.Node.Name {
			continue
		}
		l.loadBusy[e.Name] = true
		name, address, after := e.Name, e.Address, l.cacheSeq[e.Name]
		l.spawn(callTimeout, func(ctx context.Context) message {
			load, err := l.node.engines.Load(ctx, address)
			out := loadRead{
				endpoint: name,
				load:     load,
				err:      err,
			}
			if err == nil {
				// Without the events routing falls back to its own guesses.
				out.events, _ = l.node.engines.CacheEvents(ctx, address, after)
			}
			return out
		})
	}
}

// loadRead is a load report with cache events.
type loadRead struct {
	endpoint string
	load     engine.Load
	events   []engine.CacheEvent
	err      error
}

func (m loadRead) handle(l *loop) {
	l.loadBusy[m.endpoint] = false
	if m.err != nil {
		return
	}
	now := l.node.clock.Now()
	if n := len(m.events); n > 0 {
		l.cacheSeq[m.endpoint] = m.events[n-1].Seq
		l.node.routes.CacheEvents(now, m.endpoint, m.events)
	}
	l.takeLoad(now, wire.EndpointLoad{
		Endpoint:        m.endpoint,
		Running:         m.load.Running,
		Queued:          m.load.Queued,
		TokensPerSecond: int64(m.load.TokensPerSecond),
		Age:             max(0, time.Since(m.load.Sampled)),
		Leaving:         m.load.Leaving,
	})
}

// takeLoad takes over a report unless a newer one is held.
func (l *loop) takeLoad(now time.Time, load wire.EndpointLoad) {
	at := now.Add(-load.Age)
	if !at.After(l.loadAt[load.Endpoint]) {
		return
	}
	l.loadAt[load.Endpoint] = at
	l.loads[load.Endpoint] = load
	l.node.routes.SetLoad(now, load.Endpoint, engine.Load{
		Running:         load.Running,
		Queued:          load.Queued,
		TokensPerSecond: float64(load.TokensPerSecond),
		Sampled:         at,
		Leaving:         load.Leaving,
	})
}

// loadAge is how old a load report may be to be passed on.
const loadAge = 5 * time.Second

// ownLoads are the reports that this node read itself.
func (l *loop) ownLoads(now time.Time) []wire.EndpointLoad {
	local := l.peers.Local()
	return l.pickLoads(now, func(name string) bool {
		return rank.First("load/"+name, local) == l.node.set.Node.Name
	})
}

func (l *loop) allLoads(now time.Time) []wire.EndpointLoad {
	return l.pickLoads(now, func(string) bool { return true })
}

func (l *loop) pickLoads(now time.Time, want func(string) bool) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for name, load := range l.loads {
		age := now.Sub(l.loadAt[name])
		if age > loadAge || !want(name) {
			continue
		}
		load.Age = age
		out = append(out, load)
	}
	return out
}
