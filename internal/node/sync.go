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

// sendHeartbeat sends one heartbeat. If it fails, a probe distinguishes a
// refused connection from a timeout.
func (l *loop) sendHeartbeat(p peers.Probe) {
	req := &wire.SyncRequest{
		Peer: p.Request,
		Feed: l.feedRequest(p),
	}
	address := p.To.Address
	l.node.stats.Inc(stats.PeersSyncs)
	l.spawn(callTimeout, func(ctx context.Context) message {
		reply, err := l.node.wire.Sync(ctx, address, req)
		done := heartbeatDone{
			probe:   p,
			request: *req.Feed,
			reply:   reply,
			err:     err,
		}
		if err != nil && l.ctx.Err() == nil {
			done.refused = errors.Is(l.node.wire.Probe(ctx, address), wire.ErrRefused)
		}
		return done
	})
}

// feedRequest returns the configuration part of a heartbeat.
func (l *loop) feedRequest(p peers.Probe) *feed.ConfigRequest {
	a := &feed.ConfigRequest{
		Domain: l.node.settings.Node.Domain,
		Node:   l.node.settings.Node.Name,
		Held:   l.view.Revision(),
		Known:  l.view.Known(),
		Echo:   l.peerEchoes[p.To.Process],
	}
	if held, ok := l.peerRevisions[p.To.Process]; ok && held < a.Held {
		// Includes the changes that the peer lacked in its last reply. This is
		// how changes that this node appended are replicated.
		a.Changes, _ = l.view.State().After(held)
	}
	switch {
	case !l.peers.IsRelay():
	case p.To.Domain == a.Domain:
		a.Scope = feed.ScopeFleet
	case l.platformDown:
		// The peer may have confirmations from domains that this node cannot
		// reach directly.
		a.Scope = feed.ScopeFleet
	default:
		a.Scope = feed.ScopeDomain
	}
	return a
}

// heartbeatDone is the outcome of a heartbeat.
type heartbeatDone struct {
	probe   peers.Probe
	request feed.ConfigRequest
	reply   *wire.SyncReply
	err     error
	refused bool
}

func (m heartbeatDone) handle(l *loop) {
	now := l.node.clock.Now()
	if m.err != nil {
		l.node.stats.Inc(stats.PeersSyncsFailed)
		failure := peers.Timeout
		if m.refused {
			failure = peers.Refused
		}
		l.peers.HandleFailure(now, m.probe, failure)
		return
	}
	l.peers.HandleResponse(now, m.probe, m.reply.Peer)
	for _, p := range m.reply.Planners {
		l.planners[p.Domain] = p.Node
	}
	a := m.reply.Feed
	if a == nil {
		return
	}
	if m.probe.To.Name != "" {
		l.peerEchoes[m.probe.To.Process] = a.Echo
		l.peerRevisions[m.probe.To.Process] = a.Revision
		l.recordReplication(m.probe.To.Name, m.probe.To.Domain, m.request)
	}
	old := l.view.State()
	_, err := l.relay.ApplyAnswer(l.node.settings.Node.Name, a, m.probe.Sent, now)
	l.updateFromView(old, err)
	l.setConfirmed(a.Confirmed)
}

// heartbeatRequest is a heartbeat received from another node.
type heartbeatRequest struct {
	req   *wire.SyncRequest
	reply chan<- *wire.SyncReply
}

func (m heartbeatRequest) handle(l *loop) {
	now := l.node.clock.Now()
	out := &wire.SyncReply{
		Peer: l.peers.HandleRequest(now, m.req.Peer),
	}
	if m.req.Feed != nil {
		out.Planners = l.knownPlanners(*m.req.Feed)
		old := l.view.State()
		a, err := l.relay.Answer(*m.req.Feed, now)
		l.updateFromView(old, nil)
		if err != nil {
			klog.ErrorS(err, "Configuration part of a heartbeat left out", "node", m.req.Feed.Node)
		} else {
			out.Feed = &a
		}
	}
	m.reply <- out
}

// knownPlanners returns the planners to include in the reply to a heartbeat.
func (l *loop) knownPlanners(a feed.ConfigRequest) []wire.Planner {
	own := l.node.settings.Node.Domain
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

// poll reads the configuration table when it is due: on relays always, on other
// nodes only while their view is old.
func (l *loop) poll(now time.Time) {
	intervals := l.view.Intervals(now)
	if l.pollInFlight || now.Before(l.pollDue) || !l.peers.IsRelay() && !intervals.PollTable {
		return
	}
	l.pollInFlight = true
	// The interval differs between nodes, so that many nodes with an old view
	// do not read the table at the same time.
	jitter := time.Duration(l.node.fencingNumber()%100) * time.Millisecond
	l.pollDue = now.Add(feed.PollInterval + jitter)
	held := l.view.Revision()
	l.node.stats.Inc(stats.FeedPolls)
	l.spawn(time.Duration(l.node.settings.Platform.Timeout), func(ctx context.Context) message {
		read := l.log.Poll
		if held == 0 {
			read = func(ctx context.Context, _ int64) (feed.Read, error) {
				return l.log.Load(ctx)
			}
		}
		r, err := read(ctx, held)
		return pollDone{
			read: r,
			err:  err,
		}
	})
}

// pollDone is the outcome of a poll.
type pollDone struct {
	read feed.Read
	err  error
}

// platformDownAfter is how long polls must fail before the platform is
// considered down.
const platformDownAfter = time.Second

func (m pollDone) handle(l *loop) {
	now := l.node.clock.Now()
	l.pollInFlight = false
	l.logOddRow(m)
	if m.err != nil {
		l.node.stats.Inc(stats.FeedPollsFailed)
		if !l.platformDown && now.Sub(l.lastPollOKAt) > platformDownAfter {
			l.platformDown = true
			l.recordEvent(audit.Event{
				Reason: audit.PlatformDown,
			})
		}
	} else {
		l.lastPollOKAt = now
		if l.platformDown {
			l.platformDown = false
			l.recordEvent(audit.Event{
				Reason: audit.PlatformBack,
			})
		}
	}
	l.applyRead(m.read)
	if len(m.read.Entries) > 0 && m.read.TableAsOf.IsZero() {
		// More revisions follow.
		l.pollDue = time.Time{}
	}
}

// logOddRow logs a row of the table that holds no revision, once until another one does.
func (l *loop) logOddRow(m pollDone) {
	if key := m.read.OddKey; key != "" && key != l.oddRow {
		klog.InfoS("Row of the configuration log not readable", "row", key, "revision", m.read.TableLatest, "error", m.err)
	}
	l.oddRow = m.read.OddKey
}

// applyRead applies the result of a read of the table.
func (l *loop) applyRead(r feed.Read) {
	old := l.view.State()
	_, err := l.relay.Apply(l.node.settings.Node.Name, r, l.node.clock.Now())
	l.updateFromView(old, err)
}

// updateFromView updates everything that depends on the view after it may have
// changed from old.
func (l *loop) updateFromView(old feed.State, err error) {
	if err != nil {
		// A gap between revisions is closed by the next read. Any other error
		// means a damaged row.
		klog.V(1).InfoS("Configuration not applied", "error", err.Error())
	}
	l.node.keyChecker.SetConfig(l.view.Config(), l.view.FreshAt())
	l.node.entry.RecordNewest(l.view.Known())
	if next := l.view.State(); next.Revision() != old.Revision() {
		l.applyConfig(old, next)
	}
}

func (l *loop) applyConfig(old, next feed.State) {
	cfg := next.Config
	// A request that asks again because of the change must find its new routes.
	l.node.routes.SetConfig(cfg)
	l.node.entry.SetConfig(cfg)
	l.inputs.Config = cfg
	l.config.Store(cfg)
	l.relay.Domains = l.relay.Domains[:0:0]
	for _, d := range cfg.Domains {
		l.relay.Domains = append(l.relay.Domains, d.Name)
	}
	l.relay.Fleet.RetainDomains(l.relay.Domains)
	l.peers.SetDomains(l.relay.Domains)
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
	l.recordEvent(audit.Event{
		Reason:   audit.ConfigApplied,
		Revision: cfg.Revision,
	})
	if old.Revision() > 0 {
		l.recordKeyChanges(old.Config, cfg)
	}
}

// recordKeyChanges records which keys were added and removed.
func (l *loop) recordKeyChanges(old, next *spec.Config) {
	before, after := keysOf(old), keysOf(next)
	for id, k := range after {
		if _, ok := before[id]; !ok {
			l.recordEvent(keyEvent(audit.KeyAdded, k, next.Revision))
		}
	}
	for id, k := range before {
		if _, ok := after[id]; !ok {
			l.recordEvent(keyEvent(audit.KeyRemoved, k, next.Revision))
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

// setConfirmed stores the lowest revision that is confirmed for all nodes and
// passes it to the limiter.
func (l *loop) setConfirmed(revision int64) {
	if revision <= l.confirmed {
		return
	}
	l.confirmed = revision
	l.node.limiter.SetConfig(l.view.Config(), revision)
}
