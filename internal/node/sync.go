package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
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

// list reads the platform's list of VMs when it is due.
func (l *loop) list(now time.Time) {
	due := l.peers.ListDue(now) || l.peers.IsRelay() && now.Sub(l.listed) > listEvery
	if l.listing || !due {
		return
	}
	l.listing = true
	l.listed = now
	l.spawn(time.Duration(l.node.set.Platform.Timeout), func(ctx context.Context) message {
		vms, err := l.node.store.List(ctx)
		return listedVMs{
			vms: vms,
			err: err,
		}
	})
}

// listEvery is how often a relay reads the list of VMs; a leaving endpoint gets
// no new work 3 s after it was listed.
const listEvery = time.Second

// listedVMs is the platform's list of VMs.
type listedVMs struct {
	vms []store.VM
	err error
}

func (m listedVMs) handle(l *loop) {
	l.listing = false
	if m.err != nil {
		return
	}
	l.vms = m.vms
	byAddress := make(map[string]string)
	for _, e := range l.view.Config().Endpoints {
		byAddress[e.Address] = e.Name
	}
	entries := make([]store.VM, 0, len(m.vms))
	gone := make(map[string]bool)
	for _, vm := range m.vms {
		if name, ok := byAddress[vm.Address]; ok {
			if vm.Leaving {
				gone[name] = true
			}
			continue
		}
		entries = append(entries, vm)
	}
	l.peers.List(l.node.clock.Now(), entries)
	l.node.routes.SetLeaving(gone)
	l.inputs.Leaving = gone
	l.gone = gone
}

// publish hands the membership to the parts that need it.
func (l *loop) publish(now time.Time) {
	if now.Before(l.publishAt) {
		return
	}
	l.publishAt = now.Add(publishEvery)
	own := l.node.set.Node.Domain
	local := l.peers.Local()
	addresses := make(map[string]string)
	for _, name := range local {
		if p, ok := l.peers.Lookup(own, name); ok {
			addresses[name] = p.Address
		}
	}
	// A node that is leaving still answers for the tokens that it holds.
	for _, m := range l.peers.Members() {
		if m.State != peers.Dead && addresses[m.Name] == "" {
			addresses[m.Name] = m.Address
		}
	}
	pools := make(map[string][]string)
	isolated := l.isolated(now)
	for _, d := range l.peers.Domains() {
		if d.Name == own {
			continue
		}
		for _, p := range d.Relays {
			pools[d.Name] = append(pools[d.Name], p.Name)
			addresses[p.Name] = p.Address
		}
		for _, m := range d.Members {
			if m.State == peers.Live && m.Address != "" {
				addresses[m.Name] = m.Address
			}
		}
	}
	l.node.trans.addresses.Store(&addresses)
	l.node.limiter.SetMembers(local, pools)
	l.node.routes.SetIsolated(isolated)
	l.noteMembers(local)
	l.noteDead()
}

// isolatedAfter is how old the word of a domain may be before its endpoints get
// no work from here: two exchanges and the way of the word between relays.
const isolatedAfter = 3 * peers.RelayEvery

// isolated are the domains that no relay of this domain has heard lately. Other
// nodes leave it to the failures of their requests.
func (l *loop) isolated(now time.Time) map[string]bool {
	out := make(map[string]bool)
	if !l.peers.IsRelay() {
		return out
	}
	for _, s := range l.relay.Fleet.States(now) {
		out[s.Domain] = s.Domain != l.node.set.Node.Domain && s.Age > isolatedAfter
	}
	return out
}

// noteMembers records who joined and who fell silent.
func (l *loop) noteMembers(local []string) {
	live := make(map[string]bool, len(local))
	for _, name := range local {
		live[name] = true
		if !l.known[name] && name != l.node.set.Node.Name {
			l.record(audit.Event{
				Reason: audit.MemberJoined,
				Other:  name,
			})
		}
	}
	for name := range l.known {
		if !live[name] && name != l.node.set.Node.Name {
			l.record(audit.Event{
				Reason: audit.MemberSilent,
				Other:  name,
			})
		}
	}
	l.known = live
}

// noteDead tells the limiter and the guard which processes are proved dead.
func (l *loop) noteDead() {
	fresh := false
	for _, p := range l.peers.DeadIncarnations() {
		if l.deadSeen[p] {
			continue
		}
		fresh = true
		l.deadSeen[p] = true
		l.relay.Members.Forget(p.Name)
		l.node.limiter.ProvedDead(p.Name, p.Incarnation)
		l.node.stats.Inc(stats.PeersProvedDead)
		l.record(audit.Event{
			Reason: audit.MemberDead,
			Other:  p.Name,
		})
	}
	if fresh {
		dead := maps.Clone(l.deadSeen)
		l.dead.Store(&dead)
	}
}

// appendTimeout bounds an operator's change: a few reads and writes of the table.
const appendTimeout = 10 * time.Second

// appendChange adds a change to the log for an operator. It returns after the
// view has taken what was read on the way.
func (l *loop) appendChange(ctx context.Context, c spec.Change) (feed.Appended, error) {
	state := make(chan feed.State, 1)
	if !l.post(stateAsked{reply: state}) {
		return feed.Appended{}, errStopped
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	from, err := receive(ctx, state)
	if err != nil {
		return feed.Appended{}, err
	}
	if domains := from.Config.Domains; len(domains) > 0 && !slices.ContainsFunc(domains, l.isOwn) {
		// Other domains would not wait for this node's word before they call
		// their views fresh.
		return feed.Appended{}, &feed.Unavailable{
			Err: errors.New("the node's failure domain is not in the configuration"),
		}
	}
	done, read, appendErr := l.log.Append(ctx, from, c)
	taken := make(chan bool, 1)
	m := appended{
		read: read,
		done: taken,
	}
	if appendErr == nil {
		m.revision = done.Revision
	}
	if !l.post(m) {
		return done, errStopped
	}
	spread, err := receive(context.WithoutCancel(ctx), taken)
	if err != nil {
		return done, err
	}
	done.Unspread = appendErr == nil && !spread
	return done, appendErr
}

func (l *loop) isOwn(d spec.Domain) bool {
	return d.Name == l.node.set.Node.Domain
}

var errStopped = errors.New("node: the control loop has stopped")

func receive[T any](ctx context.Context, c <-chan T) (T, error) {
	select {
	case v := <-c:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// stateAsked asks for the configuration that the view holds.
type stateAsked struct {
	reply chan<- feed.State
}

func (m stateAsked) handle(l *loop) {
	m.reply <- l.view.State()
}

// appended is what an operator's change read and wrote.
type appended struct {
	read feed.Read
	// revision is the one to spread before done, 0 for none.
	revision int64
	// done gets whether the revision has spread.
	done chan<- bool
}

// spreadTimeout bounds the wait for other nodes to hear of a change.
const spreadTimeout = 2 * time.Second

func (m appended) handle(l *loop) {
	l.take(m.read)
	if m.revision == 0 {
		m.done <- false
		return
	}
	l.spreads = append(l.spreads, spreading{
		Spread:   feed.NewSpread(l.node.set.Node.Domain, m.revision),
		done:     m.done,
		deadline: l.node.clock.Now().Add(spreadTimeout),
	})
	l.stepSpread(l.node.clock.Now())
}

// spreading is a change whose operator waits until other nodes have heard of it.
type spreading struct {
	*feed.Spread
	done     chan<- bool
	deadline time.Time
	askAt    time.Time
}

// spreadEvery is how often nodes are told of a change that has not spread.
const spreadEvery = 200 * time.Millisecond

// stepSpread answers operators whose changes have spread, and tells a few nodes
// of the others.
func (l *loop) stepSpread(now time.Time) {
	others := l.otherNodes()
	left := l.spreads[:0]
	for _, s := range l.spreads {
		if done := s.Done(others); done || !now.Before(s.deadline) {
			s.done <- done
			continue
		}
		if !now.Before(s.askAt) {
			s.askAt = now.Add(spreadEvery)
			l.tellFew()
		}
		left = append(left, s)
	}
	l.spreads = left
}

// otherNodes counts the live nodes that this node knows in each domain.
func (l *loop) otherNodes() map[string]int {
	out := map[string]int{
		l.node.set.Node.Domain: len(l.peers.Local()) - 1,
	}
	for _, d := range l.peers.Domains() {
		if d.Name != l.node.set.Node.Domain {
			out[d.Name] = len(d.Relays)
		}
	}
	return out
}

// tellFew sends a heartbeat to two nodes of the domain and to a relay of two
// other domains, out of turn.
func (l *loop) tellFew() {
	own := l.node.set.Node
	var to []peers.Peer
	for _, name := range l.peers.Local() {
		if p, ok := l.peers.Lookup(own.Domain, name); ok && name != own.Name && len(to) < 2 {
			to = append(to, p)
		}
	}
	most := len(to) + 2
	for _, d := range l.peers.Domains() {
		if d.Name != own.Domain && len(d.Relays) > 0 && len(to) < most {
			to = append(to, d.Relays[0])
		}
	}
	for _, p := range to {
		l.sync(l.peers.Greet(l.node.clock.Now(), p))
	}
}

func (l *loop) noteSpread(node, domain string, a feed.Ask) {
	if len(l.spreads) == 0 {
		return
	}
	for _, s := range l.spreads {
		s.Answered(node, domain, a)
	}
	l.stepSpread(l.node.clock.Now())
}
