package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/pkg/spec"
)

// sync sends one heartbeat.
func (l *loop) sync(p peers.Probe) {
	req := &wire.SyncRequest{
		Peer: p.Hello,
		Feed: l.ask(p),
	}
	address := p.To.Address
	l.node.stats.Inc(stats.PeersSyncs)
	l.spawn(callTimeout, func(ctx context.Context) message {
		reply, err := l.node.wire.Sync(ctx, address, req)
		done := synced{
			probe: p,
			ask:   *req.Feed,
			reply: reply,
			err:   err,
		}
		if err != nil && l.ctx.Err() == nil {
			done.refused = errors.Is(l.node.wire.Probe(ctx, address), wire.ErrRefused)
		}
		return done
	})
}

// ask returns the configuration part of a heartbeat.
func (l *loop) ask(p peers.Probe) *feed.Ask {
	a := &feed.Ask{
		Domain: l.node.set.Node.Domain,
		Node:   l.node.set.Node.Name,
		Held:   l.view.Revision(),
		Known:  l.view.Known(),
		Mark:   l.marks[p.To.Process],
	}
	if held, ok := l.heldBy[p.To.Process]; ok && held < a.Held {
		// What the relay lacked when it last answered; a change that this node
		// has appended spreads in this way.
		a.Changes, _ = l.view.State().After(held)
	}
	switch {
	case !l.peers.IsRelay():
	case p.To.Domain == a.Domain:
		a.Scope = feed.ScopeFleet
	case l.failing:
		// The word of domains that cannot be reached directly may be known there.
		a.Scope = feed.ScopeFleet
	default:
		a.Scope = feed.ScopeDomain
	}
	return a
}

// synced is the outcome of a heartbeat.
type synced struct {
	probe   peers.Probe
	ask     feed.Ask
	reply   *wire.SyncReply
	err     error
	refused bool
}

func (m synced) handle(l *loop) {
	now := l.node.clock.Now()
	if m.err != nil {
		l.node.stats.Inc(stats.PeersSyncsFailed)
		failure := peers.Timeout
		if m.refused {
			failure = peers.Refused
		}
		l.peers.Failed(now, m.probe, failure)
		return
	}
	l.peers.Heard(now, m.probe, m.reply.Peer)
	for _, p := range m.reply.Planners {
		l.planners[p.Domain] = p.Node
	}
	a := m.reply.Feed
	if a == nil {
		return
	}
	if m.probe.To.Name != "" {
		l.marks[m.probe.To.Process] = a.Mark
		l.heldBy[m.probe.To.Process] = a.Revision
		l.noteSpread(m.probe.To.Name, m.probe.To.Domain, m.ask)
	}
	old := l.view.State()
	_, err := l.relay.TakeAnswer(l.node.set.Node.Name, a, m.probe.Sent, now)
	l.follow(old, err)
	l.confirm(a.Confirmed)
}

// asked is a heartbeat from another node.
type asked struct {
	req   *wire.SyncRequest
	reply chan<- *wire.SyncReply
}

func (m asked) handle(l *loop) {
	now := l.node.clock.Now()
	out := &wire.SyncReply{
		Peer: l.peers.Answer(now, m.req.Peer),
	}
	if m.req.Feed != nil {
		out.Planners = l.knownPlanners(*m.req.Feed)
		old := l.view.State()
		a, err := l.relay.Answer(*m.req.Feed, now)
		l.follow(old, nil)
		if err != nil {
			klog.ErrorS(err, "Configuration part of a heartbeat left out", "node", m.req.Feed.Node)
		} else {
			out.Feed = &a
		}
	}
	m.reply <- out
}

// knownPlanners are the planners that the sender of a heartbeat is told.
func (l *loop) knownPlanners(a feed.Ask) []wire.Planner {
	own := l.node.set.Node.Domain
	var out []wire.Planner
	if name := l.planner(); name != "" {
		out = append(out, wire.Planner{
			Domain: own,
			Node:   name,
		})
	}
	if a.Domain != own || a.Scope != feed.ScopeFleet {
		return out
	}
	for domain, name := range l.planners {
		if domain != own {
			out = append(out, wire.Planner{
				Domain: domain,
				Node:   name,
			})
		}
	}
	return out
}

// poll reads the table when it is due: relays always, other nodes while their
// view is old.
func (l *loop) poll(now time.Time) {
	pace := l.view.Pace(now)
	if l.polling || now.Before(l.pollDue) || !l.peers.IsRelay() && !pace.PollSelf {
		return
	}
	l.polling = true
	// The interval varies with the node, so that many stale nodes do not ask at once.
	jitter := time.Duration(l.node.number()%100) * time.Millisecond
	l.pollDue = now.Add(feed.PollEvery + jitter)
	held := l.view.Revision()
	l.node.stats.Inc(stats.FeedPolls)
	l.spawn(time.Duration(l.node.set.Platform.Timeout), func(ctx context.Context) message {
		read := l.log.Poll
		if held == 0 {
			read = func(ctx context.Context, _ int64) (feed.Read, error) {
				return l.log.Start(ctx)
			}
		}
		r, err := read(ctx, held)
		return polled{
			read: r,
			err:  err,
		}
	})
}

// polled is the outcome of a poll.
type polled struct {
	read feed.Read
	err  error
}

// failingAfter is how long polls fail before the platform counts as down.
const failingAfter = time.Second

func (m polled) handle(l *loop) {
	now := l.node.clock.Now()
	l.polling = false
	if m.err != nil {
		l.node.stats.Inc(stats.FeedPollsFailed)
		if !l.failing && now.Sub(l.lastPoll) > failingAfter {
			l.failing = true
			l.record(audit.Event{
				Reason: audit.PlatformDown,
			})
		}
	} else {
		l.lastPoll = now
		if l.failing {
			l.failing = false
			l.record(audit.Event{
				Reason: audit.PlatformBack,
			})
		}
	}
	l.take(m.read)
	if len(m.read.Entries) > 0 && m.read.At.IsZero() {
		// More revisions follow.
		l.pollDue = time.Time{}
	}
}

// take applies what a read of the table showed.
func (l *loop) take(r feed.Read) {
	old := l.view.State()
	_, err := l.relay.Take(l.node.set.Node.Name, r, l.node.clock.Now())
	l.follow(old, err)
}

// follow brings everything that depends on the view up to date with it.
func (l *loop) follow(old feed.State, err error) {
	if err != nil {
		// A gap closes with the next read; anything else is a damaged row.
		klog.V(1).InfoS("Configuration not applied", "error", err.Error())
	}
	l.node.gate.Follow(l.view.Config(), l.view.FreshAt())
	if next := l.view.State(); next.Revision() != old.Revision() {
		l.apply(old, next)
	}
}

func (l *loop) apply(old, next feed.State) {
	cfg := next.Config
	l.node.entry.SetConfig(cfg)
	l.node.routes.SetConfig(cfg)
	l.inputs.Config = cfg
	l.config.Store(cfg)
	l.relay.Domains = l.relay.Domains[:0:0]
	for _, d := range cfg.Domains {
		l.relay.Domains = append(l.relay.Domains, d.Name)
	}
	l.relay.Fleet.Keep(l.relay.Domains)
	l.peers.KeepDomains(l.relay.Domains)
	// The limiter needs every revision: an increase of a share waits until the
	// split of each earlier one is out of use.
	step := old.Config
	entries, ok := next.After(old.Revision())
	if !ok || old.Revision() == 0 {
		entries, step = nil, cfg
		l.node.limiter.SetConfig(cfg, l.confirmed)
	}
	for _, e := range entries {
		step = step.Replay(*e.Change())
		l.node.limiter.SetConfig(step, l.confirmed)
	}
	l.node.stats.Add(stats.FeedChangesApplied, max(1, int64(len(entries))))
	l.record(audit.Event{
		Reason:   audit.ConfigApplied,
		Revision: cfg.Revision,
	})
	if old.Revision() > 0 {
		l.noteKeys(old.Config, cfg)
	}
}

// noteKeys records which keys came and went.
func (l *loop) noteKeys(old, next *spec.Config) {
	before, after := keysOf(old), keysOf(next)
	for id, k := range after {
		if _, ok := before[id]; !ok {
			l.record(keyEvent(audit.KeyAdded, k, next.Revision))
		}
	}
	for id, k := range before {
		if _, ok := after[id]; !ok {
			l.record(keyEvent(audit.KeyRemoved, k, next.Revision))
		}
	}
}

func keysOf(c *spec.Config) map[string]spec.Key {
	out := make(map[string]spec.Key, len(c.Keys))
	for _, k := range c.Keys {
		out[k.ID] = k
	}
	return out
}

func keyEvent(r audit.Reason, k spec.Key, revision int64) audit.Event {
	return audit.Event{
		Reason:    r,
		Key:       k.ID,
		Workspace: k.Workspace,
		Revision:  revision,
	}
}

// confirm takes over the revision that every node holds at least.
func (l *loop) confirm(revision int64) {
	if revision <= l.confirmed {
		return
	}
	l.confirmed = revision
	l.node.limiter.SetConfig(l.view.Config(), revision)
}
