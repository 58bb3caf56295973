package node

import (
	"context"
	"maps"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
)

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
	l.refreshStatus(now)
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
