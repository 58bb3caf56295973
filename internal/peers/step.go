package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// Probe is a Sync request to send. The caller passes it to HandleResponse
// with the response, or to HandleFailure.
type Probe struct {
	To      Peer
	Request MemberRequest
	Sent    time.Time
}

// Step returns the requests that are due. The control loop calls it every
// 100 ms or so.
func (p *Peers) Step(now time.Time) []Probe {
	p.advanceTo(now)
	p.expire()
	p.publish()
	p.publishList()
	s := step{
		Peers: p,
		sent:  map[string]bool{},
	}
	relays := p.Relays(p.settings.Domain)
	isRelay := slices.ContainsFunc(relays, func(r Peer) bool { return r.Process == p.self() })
	s.syncWithRelays(relays, isRelay)
	s.probeConflicts()
	s.probeRing()
	if isRelay || !p.connected() {
		s.probeCandidates()
	}
	if isRelay {
		s.exchangeWithDomains(relays)
	}
	return s.out
}

// step collects the probes of one Step, at most one to an address.
type step struct {
	*Peers
	out  []Probe
	sent map[string]bool
}

func (s *step) probe(to Peer) {
	if to.Address == "" || to.Address == s.settings.Address || s.sent[to.Address] || s.probeScheduleOf(to.Address).self {
		return
	}
	s.sent[to.Address] = true
	s.out = append(s.out, Probe{
		To:      to,
		Request: s.newRequest(to),
		Sent:    s.now,
	})
}

// NewProbe returns an additional request to a process, outside the schedule.
func (p *Peers) NewProbe(now time.Time, to Peer) Probe {
	p.advanceTo(now)
	return Probe{
		To:      to,
		Request: p.newRequest(to),
		Sent:    now,
	}
}

func (p *Peers) newRequest(to Peer) MemberRequest {
	req := MemberRequest{
		Name:        p.settings.Name,
		Incarnation: p.settings.Incarnation,
		Leaving:     p.leaving,
		Fleet:       p.listsDigest,
	}
	v := p.views[to.Address]
	if v != nil {
		req.KnownProcess = v.peer.id()
		req.KnownVersion = v.version
	}
	if v == nil || !v.introduced {
		req.Domain = p.settings.Domain
		req.Address = p.settings.Address
	}
	// The lists are requested from every peer until one of them returns them.
	for _, name := range slices.Sorted(maps.Keys(p.wantedLists)) {
		if len(req.WantedLists) == maxLists {
			break
		}
		req.WantedLists = append(req.WantedLists, name)
	}
	if v != nil {
		for _, name := range v.outdatedLists {
			if d, ok := p.domains[name]; ok {
				req.Lists = append(req.Lists, d.list)
			}
		}
		v.outdatedLists = nil
	}
	if to.Domain != p.settings.Domain {
		return req
	}
	for _, pr := range p.procs {
		if !pr.provedDeadAt.IsZero() && p.now.Sub(pr.provedDeadAt) < deathReportTerm {
			m := pr.Member
			m.State = Dead
			req.Dead = append(req.Dead, m)
		}
	}
	sortMembers(req.Dead)
	return req
}

func (p *Peers) probeScheduleOf(address string) *probeSchedule {
	schedule, ok := p.probeSchedules[address]
	if !ok {
		schedule = &probeSchedule{}
		p.probeSchedules[address] = schedule
	}
	schedule.lastUsed = p.now
	return schedule
}

// advanceIfDue reports whether an address may be probed now, and if so schedules
// the next probe: after the interval while the address answers, with exponential
// back-off up to maxBackoff while it does not.
func (p *Peers) advanceIfDue(address string, every time.Duration) bool {
	schedule := p.probeScheduleOf(address)
	if p.now.Before(schedule.next) {
		return false
	}
	wait := every
	if schedule.fails > 0 {
		wait = min(every<<min(schedule.fails, 5), maxBackoff)
	}
	schedule.next = p.now.Add(wait)
	return true
}

// syncWithRelays sends requests to the relays of the domain in turn. A relay
// sends them to the other one half as often, because the other one does the same.
func (s *step) syncWithRelays(relays []Peer, isRelay bool) {
	if s.now.Before(s.nextSync) {
		return
	}
	every := SyncInterval
	if s.pollsFailing {
		every = FastSyncInterval
	}
	s.nextSync = s.now.Add(every)
	s.syncTurn++
	if isRelay && s.syncTurn%2 == 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(relays), func(r Peer) bool { return r.Process == s.self() })
	if len(others) == 0 {
		return
	}
	to := others[s.syncTurn%len(others)]
	// Only one in four requests goes to a relay that does not answer.
	if s.lastProbeFailed(to) && s.syncTurn%4 != 0 {
		for _, r := range others {
			if !s.lastProbeFailed(r) {
				to = r
			}
		}
	}
	s.probe(to)
}

// lastProbeFailed reports whether the last probe of a peer failed.
func (s *step) lastProbeFailed(to Peer) bool {
	return s.probeScheduleOf(to.Address).fails > 0
}

// probeConflicts probes addresses that two processes are recorded at.
func (s *step) probeConflicts() {
	for _, m := range s.currentSnapshot().members {
		if pr, ok := s.procs[m.Process()]; ok && pr.addressConflict && s.advanceIfDue(m.Address, SyncInterval) {
			s.probe(peer(s.settings.Domain, m))
		}
	}
}

// probeRing probes this node's successors in the ring, which is ordered by the
// hashes of the names: the next three live ones, and the silent ones in between,
// whose death a probe may prove.
func (s *step) probeRing() {
	every := RingProbeInterval
	if !s.connected() {
		every = FastRingProbeInterval
	}
	for _, m := range s.currentSnapshot().successors {
		pr := s.procs[m.Process()]
		if s.now.Sub(pr.heardAt) < every {
			continue
		}
		if s.advanceIfDue(m.Address, every) {
			s.probe(peer(s.settings.Domain, m))
		}
	}
}

// Successors returns the processes that this node probes in the domain's ring.
func (p *Peers) Successors() []Member {
	return slices.Clone(p.currentSnapshot().successors)
}

func successorsOf(self Process, members []Member) []Member {
	type ringEntry struct {
		distance uint64
		member   Member
	}
	var ring []ringEntry
	own := rank.Score("ring", self.Name)
	for _, m := range members {
		if m.State != Dead && m.Process() != self {
			ring = append(ring, ringEntry{
				// The distance from this node; the subtraction wraps around.
				distance: rank.Score("ring", m.Name) - own,
				member:   m,
			})
		}
	}
	slices.SortStableFunc(ring, func(a, b ringEntry) int { return cmp.Compare(a.distance, b.distance) })
	var out []Member
	live, suspects := 0, 0
	for _, entry := range ring {
		if live == liveSuccessors {
			break
		}
		if entry.member.State == Silent {
			if suspects < maxSuspects {
				suspects++
				out = append(out, entry.member)
			}
			continue
		}
		live++
		out = append(out, entry.member)
	}
	return out
}

// probeCandidates probes addresses that may belong to nodes of the domain that are
// not known to be live: listed VMs, seeds, and silent processes. It probes at most
// two addresses in each SyncInterval.
func (s *step) probeCandidates() {
	if s.now.Before(s.nextCandidates) {
		return
	}
	s.nextCandidates = s.now.Add(SyncInterval)
	live := map[string]bool{}
	var addresses []string
	s.currentSnapshot()
	for _, pr := range s.procs {
		switch pr.state {
		case Live, Leaving:
			live[pr.Address] = true
		case Silent:
			addresses = append(addresses, pr.Address)
		}
	}
	for _, vm := range s.listedVMs {
		if vm.Domain == s.settings.Domain {
			addresses = append(addresses, vm.Address)
		}
	}
	for _, seed := range s.settings.Seeds {
		if seed.Domain == s.settings.Domain || seed.Domain == "" {
			addresses = append(addresses, seed.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return live[a] })
	probed := 0
	for range addresses {
		s.candidateTurn++
		a := addresses[s.candidateTurn%len(addresses)]
		if s.advanceIfDue(a, SyncInterval) {
			s.probe(Peer{
				Address: a,
				Domain:  s.settings.Domain,
			})
			if probed++; probed == 2 {
				return
			}
		}
	}
}

// exchangeWithDomains sends a request to one relay of each other domain. For each
// pair of domains one relay of each is responsible. Both domains send requests:
// only a response gives its receiver an upper bound for the age of the other
// domain's state.
func (s *step) exchangeWithDomains(relays []Peer) {
	every := ExchangeInterval
	if s.pollsFailing {
		every = FastExchangeInterval
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if name == s.settings.Domain || s.responsibleRelay(s.settings.Domain, name, relays) != s.settings.Name {
			continue
		}
		d := s.domains[name]
		wait := every
		// The wait is shorter after one to three failures, while the lists differ,
		// and while the domain's list was never received.
		if d.fails > 0 && d.fails < 4 || d.listsDiffer || d.list.Version == 0 {
			wait = SyncInterval
		}
		if s.now.Sub(d.triedAt) < wait {
			continue
		}
		targets := s.exchangeTargets(name, d)
		if len(targets) == 0 {
			continue
		}
		d.triedAt = s.now
		d.listsDiffer = false
		s.probe(targets[d.targetIndex%len(targets)])
	}
}

// responsibleRelay returns the name of the relay of domain own that exchanges
// with domain other. The domains are assigned to the relays in turn, so that each
// relay has half of them.
func (p *Peers) responsibleRelay(own, other string, relays []Peer) string {
	if len(relays) == 0 {
		return ""
	}
	before := 0
	for name := range p.domains {
		if name < other && name != own {
			before++
		}
	}
	return relays[before%len(relays)].Name
}

// exchangeTargets returns the peers to try in another domain: the relay
// responsible for the pair, the other relay, the remaining members, then listed
// VMs and seeds.
func (p *Peers) exchangeTargets(name string, d *domain) []Peer {
	var out []Peer
	seen := map[string]bool{}
	add := func(to Peer) {
		if !seen[to.Address] {
			seen[to.Address] = true
			out = append(out, to)
		}
	}
	relays := p.Relays(name)
	first := p.responsibleRelay(name, p.settings.Domain, relays)
	for _, r := range relays {
		if r.Name == first {
			add(r)
		}
	}
	for _, r := range relays {
		add(r)
	}
	for _, m := range d.list.Members {
		add(peer(name, m))
	}
	for _, vm := range p.listedVMs {
		if vm.Domain == name {
			add(Peer{
				Address: vm.Address,
				Domain:  name,
			})
		}
	}
	for _, seed := range p.settings.Seeds {
		if seed.Domain == name {
			add(Peer{
				Address: seed.Address,
				Domain:  name,
			})
		}
	}
	return out
}
