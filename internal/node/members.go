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

// listVMs reads the platform's list of VMs when it is due.
func (l *loop) listVMs(now time.Time) {
	due := l.peers.VMListDue(now) || l.peers.IsRelay() && now.Sub(l.lastListAt) > listEvery
	if l.listInFlight || !due {
		return
	}
	l.listInFlight = true
	l.lastListAt = now
	l.spawn(time.Duration(l.node.settings.Platform.Timeout), func(ctx context.Context) message {
		vms, err := l.node.store.List(ctx)
		return listDone{
			vms: vms,
			err: err,
		}
	})
}

// listEvery is how often a relay reads the list of VMs. An endpoint gets no new
// work from 3 s after it was listed as leaving.
const listEvery = time.Second

// listDone is the outcome of reading the platform's list of VMs.
type listDone struct {
	vms []store.VM
	err error
}

func (m listDone) handle(l *loop) {
	l.listInFlight = false
	if m.err != nil {
		return
	}
	l.vms = m.vms
	byAddress := make(map[string]string)
	for _, e := range l.view.Config().Endpoints {
		byAddress[e.Address] = e.Name
	}
	entries := make([]store.VM, 0, len(m.vms))
	leaving := make(map[string]bool)
	for _, vm := range m.vms {
		if name, ok := byAddress[vm.Address]; ok {
			if vm.Leaving {
				leaving[name] = true
			}
			continue
		}
		entries = append(entries, vm)
	}
	l.peers.SetVMs(l.node.clock.Now(), entries)
	l.node.routes.SetLeaving(leaving)
	l.inputs.Leaving = leaving
	l.leavingEndpoints = leaving
}

// publishMembers passes the membership to the transport, the limiter and
// routing, and records changes of it.
func (l *loop) publishMembers(now time.Time) {
	if now.Before(l.publishDue) {
		return
	}
	l.publishDue = now.Add(publishEvery)
	own := l.node.settings.Node.Domain
	local := l.peers.LiveNodes()
	addresses := make(map[string]string)
	for _, name := range local {
		if p, ok := l.peers.Lookup(own, name); ok {
			addresses[name] = p.Address
		}
	}
	// A leaving node still accepts quota messages for the tokens that it holds.
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
	l.node.transport.addresses.Store(&addresses)
	l.node.limiter.SetMembers(local, pools)
	l.node.routes.SetIsolated(isolated)
	l.recordMembers(local)
	l.reportDead()
	l.refreshStatus(now)
}

// isolatedAfter is the age of a domain's last message above which its endpoints
// get no work from this domain. It allows for two exchanges plus the forwarding
// between relays.
const isolatedAfter = 3 * peers.ExchangeInterval

// isolated returns the domains that no relay of this domain has received a
// message from recently. On nodes that are not relays it is empty: they rely on
// the failures of their own requests.
func (l *loop) isolated(now time.Time) map[string]bool {
	out := make(map[string]bool)
	if !l.peers.IsRelay() {
		return out
	}
	for _, s := range l.relay.Fleet.States(now) {
		out[s.Domain] = s.Domain != l.node.settings.Node.Domain && s.Age > isolatedAfter
	}
	return out
}

// recordMembers records which nodes became live or stopped responding.
func (l *loop) recordMembers(local []string) {
	live := make(map[string]bool, len(local))
	for _, name := range local {
		live[name] = true
		if !l.liveNodes[name] && name != l.node.settings.Node.Name {
			l.recordEvent(audit.Event{
				Reason: audit.MemberJoined,
				Other:  name,
			})
		}
	}
	for name := range l.liveNodes {
		if !live[name] && name != l.node.settings.Node.Name {
			l.recordEvent(audit.Event{
				Reason: audit.MemberSilent,
				Other:  name,
			})
		}
	}
	l.liveNodes = live
}

// reportDead passes newly proved deaths to the relay, the limiter and the once
// guard.
func (l *loop) reportDead() {
	fresh := false
	for _, p := range l.peers.DeadProcesses() {
		if l.knownDead[p] {
			continue
		}
		fresh = true
		l.knownDead[p] = true
		l.relay.Members.Remove(p.Name)
		l.node.limiter.ProvedDead(p.Name, p.Incarnation)
		l.node.stats.Inc(stats.PeersProvedDead)
		l.recordEvent(audit.Event{
			Reason: audit.MemberDead,
			Other:  p.Name,
		})
	}
	if fresh {
		dead := maps.Clone(l.knownDead)
		l.deadProcesses.Store(&dead)
	}
}
