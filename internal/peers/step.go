package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// Probe is a Sync request to send. Its result is given to Heard or Failed with
// the same value.
type Probe struct {
	To    Peer
	Hello Hello
	Sent  time.Time
}

// Step returns the requests that are due. The control loop calls it every
// 100 ms or so.
func (p *Peers) Step(now time.Time) []Probe {
	p.at(now)
	p.expire()
	p.publish()
	p.author()
	s := step{
		Peers: p,
		sent:  map[string]bool{},
	}
	relays := p.Relays(p.set.Domain)
	isRelay := slices.ContainsFunc(relays, func(r Peer) bool { return r.Process == p.self() })
	s.sync(relays, isRelay)
	s.verify()
	s.ring()
	if isRelay || !p.connected() {
		s.candidates()
	}
	if isRelay {
		s.exchange(relays)
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
	if to.Address == "" || to.Address == s.set.Address || s.sent[to.Address] || s.paceOf(to.Address).self {
		return
	}
	s.sent[to.Address] = true
	s.out = append(s.out, Probe{
		To:    to,
		Hello: s.hello(to),
		Sent:  s.now,
	})
}

// Greet returns a request to a process out of turn.
func (p *Peers) Greet(now time.Time, to Peer) Probe {
	p.at(now)
	return Probe{
		To:    to,
		Hello: p.hello(to),
		Sent:  now,
	}
}

func (p *Peers) hello(to Peer) Hello {
	h := Hello{
		Name:        p.set.Name,
		Incarnation: p.set.Incarnation,
		Leaving:     p.leaving,
		Fleet:       p.fleet,
	}
	v := p.views[to.Address]
	if v != nil {
		h.Seen = v.peer.id()
		h.SeenVersion = v.version
	}
	if v == nil || !v.introduced {
		h.Domain = p.set.Domain
		h.Address = p.set.Address
	}
	// Lists are asked of whoever is asked next; those not answered are asked again.
	for _, name := range slices.Sorted(maps.Keys(p.want)) {
		if len(h.Want) == maxLists {
			break
		}
		h.Want = append(h.Want, name)
	}
	if v != nil {
		for _, name := range v.behind {
			if d, ok := p.domains[name]; ok {
				h.Lists = append(h.Lists, d.list)
			}
		}
		v.behind = nil
	}
	if to.Domain != p.set.Domain {
		return h
	}
	for _, pr := range p.procs {
		if !pr.died.IsZero() && p.now.Sub(pr.died) < tellDeaths {
			m := pr.Member
			m.State = Dead
			h.Dead = append(h.Dead, m)
		}
	}
	sortMembers(h.Dead)
	return h
}

func (p *Peers) paceOf(address string) *pace {
	pc, ok := p.pace[address]
	if !ok {
		pc = &pace{}
		p.pace[address] = pc
	}
	pc.used = p.now
	return pc
}

// due reports whether an address may be probed again, and plans the next time:
// every interval while it answers, less often while it does not.
func (p *Peers) due(address string, every time.Duration) bool {
	pc := p.paceOf(address)
	if p.now.Before(pc.next) {
		return false
	}
	wait := every
	if pc.fails > 0 {
		wait = min(every<<min(pc.fails, 5), maxBackoff)
	}
	pc.next = p.now.Add(wait)
	return true
}

// sync asks the relays of the domain in turn. A relay asks the other one half
// as often, because the other one asks as well.
func (s *step) sync(relays []Peer, isRelay bool) {
	if s.now.Before(s.syncAt) {
		return
	}
	every := SyncEvery
	if s.polls {
		every = SyncFast
	}
	s.syncAt = s.now.Add(every)
	s.turn++
	if isRelay && s.turn%2 == 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(relays), func(r Peer) bool { return r.Process == s.self() })
	if len(others) == 0 {
		return
	}
	to := others[s.turn%len(others)]
	// One in four requests goes to a relay that does not answer.
	if s.silent(to) && s.turn%4 != 0 {
		for _, r := range others {
			if !s.silent(r) {
				to = r
			}
		}
	}
	s.probe(to)
}

// silent reports whether the last probe of a peer failed.
func (s *step) silent(to Peer) bool {
	return s.paceOf(to.Address).fails > 0
}

// verify asks at addresses that two processes claim.
func (s *step) verify() {
	for _, m := range s.snap().members {
		if pr, ok := s.procs[m.Process()]; ok && pr.verify && s.due(m.Address, SyncEvery) {
			s.probe(peer(s.set.Domain, m))
		}
	}
}

// ring probes the successors in the order of the names' hashes: the next three
// live ones, and silent ones on the way, whose death may be provable.
func (s *step) ring() {
	every := RingEvery
	if !s.connected() {
		every = RingFast
	}
	for _, m := range s.snap().successors {
		pr := s.procs[m.Process()]
		if s.now.Sub(pr.direct) < every {
			continue
		}
		if s.due(m.Address, every) {
			s.probe(peer(s.set.Domain, m))
		}
	}
}

// Successors returns the processes that this node probes in the domain's ring.
func (p *Peers) Successors() []Member {
	return slices.Clone(p.snap().successors)
}

func successorsOf(self Process, members []Member) []Member {
	type place struct {
		score  uint64
		member Member
	}
	var ring []place
	own := rank.Score("ring", self.Name)
	for _, m := range members {
		if m.State != Dead && m.Process() != self {
			ring = append(ring, place{
				// The distance from this node; it wraps around.
				score:  rank.Score("ring", m.Name) - own,
				member: m,
			})
		}
	}
	slices.SortStableFunc(ring, func(a, b place) int { return cmp.Compare(a.score, b.score) })
	var out []Member
	live, suspects := 0, 0
	for _, pl := range ring {
		if live == successors {
			break
		}
		if pl.member.State == Gone {
			if suspects < maxSuspects {
				suspects++
				out = append(out, pl.member)
			}
			continue
		}
		live++
		out = append(out, pl.member)
	}
	return out
}

// candidates asks at addresses that may belong to nodes of the domain which
// nobody hears: hints, seeds, and silent processes.
func (s *step) candidates() {
	if s.now.Before(s.candAt) {
		return
	}
	s.candAt = s.now.Add(SyncEvery)
	live := map[string]bool{}
	var addresses []string
	s.snap()
	for _, pr := range s.procs {
		switch pr.state {
		case Live, Leaving:
			live[pr.Address] = true
		case Gone:
			addresses = append(addresses, pr.Address)
		}
	}
	for _, vm := range s.hints {
		if vm.Domain == s.set.Domain {
			addresses = append(addresses, vm.Address)
		}
	}
	for _, seed := range s.set.Seeds {
		if seed.Domain == s.set.Domain || seed.Domain == "" {
			addresses = append(addresses, seed.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return live[a] })
	asked := 0
	for range addresses {
		s.candTurn++
		a := addresses[s.candTurn%len(addresses)]
		if s.due(a, SyncEvery) {
			s.probe(Peer{
				Address: a,
				Domain:  s.set.Domain,
			})
			if asked++; asked == 2 {
				return
			}
		}
	}
}

// exchange asks one relay of each other domain. For each pair of domains one
// relay of each is responsible. Both domains ask: only an answer tells its
// receiver how old the other domain's word is at most.
func (s *step) exchange(relays []Peer) {
	every := RelayEvery
	if s.polls {
		every = RelayFast
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if name == s.set.Domain || s.responsible(s.set.Domain, name, relays) != s.set.Name {
			continue
		}
		d := s.domains[name]
		wait := every
		// After a failure the next address is asked sooner, and so is a domain
		// whose lists differ or whose list was never received.
		if d.fails > 0 && d.fails < 4 || d.again || d.list.Version == 0 {
			wait = SyncEvery
		}
		if s.now.Sub(d.tried) < wait {
			continue
		}
		targets := s.targets(name, d)
		if len(targets) == 0 {
			continue
		}
		d.tried = s.now
		d.again = false
		s.probe(targets[d.index%len(targets)])
	}
}

// responsible names the relay that exchanges with another domain. The domains
// are dealt to the relays in turn, so that each has half of them.
func (p *Peers) responsible(own, other string, relays []Peer) string {
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

// targets returns whom to ask in another domain: the relay responsible for the
// pair, the other relay, the remaining members, then hints and seeds.
func (p *Peers) targets(name string, d *domain) []Peer {
	var out []Peer
	seen := map[string]bool{}
	add := func(to Peer) {
		if !seen[to.Address] {
			seen[to.Address] = true
			out = append(out, to)
		}
	}
	relays := p.Relays(name)
	first := p.responsible(name, p.set.Domain, relays)
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
	for _, vm := range p.hints {
		if vm.Domain == name {
			add(Peer{
				Address: vm.Address,
				Domain:  name,
			})
		}
	}
	for _, seed := range p.set.Seeds {
		if seed.Domain == name {
			add(Peer{
				Address: seed.Address,
				Domain:  name,
			})
		}
	}
	return out
}
