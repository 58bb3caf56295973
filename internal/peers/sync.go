package peers

import (
	"maps"
	"slices"
	"time"
)

// Failure is how a probe failed.
type Failure uint8

// The failures.
const (
	// Refused means that the address refused a connection whose attempt began
	// after the probe was sent. An error kept from an earlier attempt, as gRPC
	// returns it during its back-off, is a Timeout.
	Refused Failure = iota + 1
	// Timeout means that no response came in time, or that the connection broke.
	Timeout
)

// Answer responds to a request of another process.
func (p *Peers) Answer(now time.Time, h Hello) Welcome {
	p.at(now)
	var w Welcome
	met := h.Seen == p.self().id()
	if !met {
		w.Name = p.set.Name
		w.Incarnation = p.set.Incarnation
		w.Domain = p.set.Domain
		w.Address = p.set.Address
	}
	w.Leaving = p.leaving
	from := Process{
		Name:        h.Name,
		Incarnation: h.Incarnation,
	}
	home := h.Domain
	if f, ok := p.foreign[from]; ok && home == "" {
		home = f.domain
	}
	switch {
	case from == p.self():
		return w
	case home != "" && home != p.set.Domain:
		if !p.kept(home) {
			return w
		}
		p.foreign[from] = foreigner{
			domain: home,
			heard:  p.now,
		}
		p.domain(home).heard = p.now
	default:
		for _, m := range h.Dead {
			p.learnDeath(m)
		}
		if !p.evidence(from, h.Address, h.Leaving, p.now) {
			w.Unknown = true
		}
		p.publish()
		p.delta(&w, h, met)
	}
	for _, l := range h.Lists {
		p.adopt(l)
	}
	if h.Fleet != p.fleet {
		w.Heads = p.heads()
	}
	for _, name := range h.Want {
		if d, ok := p.domains[name]; ok && d.head.Version > 0 && len(w.Lists) < maxLists {
			w.Lists = append(w.Lists, d.list)
		}
	}
	return w
}

// delta adds this node's view, or what changed in it since the sender's copy.
func (p *Peers) delta(w *Welcome, h Hello, met bool) {
	if met && h.SeenVersion == p.version {
		return
	}
	w.Version = p.version
	if met && h.SeenVersion >= p.logStart && h.SeenVersion < p.version {
		w.Changes = p.since(h.SeenVersion)
		return
	}
	w.Full = true
	w.Changes = sorted(maps.Values(p.published))
}

func (p *Peers) heads() []Head {
	var out []Head
	for _, name := range slices.Sorted(maps.Keys(p.domains)) {
		if d := p.domains[name]; d.head.Version > 0 {
			out = append(out, d.head)
		}
	}
	return out
}

// evidence records that a process of the own domain was heard at a time. It
// reports false when the process has not introduced itself.
func (p *Peers) evidence(id Process, address string, leaving bool, at time.Time) bool {
	if id == p.self() {
		return true
	}
	pr, ok := p.procs[id]
	if !ok {
		if address == "" {
			return false
		}
		pr = p.learn(Member{
			Name:        id.Name,
			Incarnation: id.Incarnation,
			Address:     address,
			State:       Live,
		})
	}
	p.cache.valid = false
	if at.After(pr.direct) {
		pr.direct = at
	}
	if leaving {
		// A process that leaves does not come back.
		pr.State = Leaving
	}
	return true
}

// learn adds a process that somebody heard. Others at its address are asked
// at once: one of the two has ended.
func (p *Peers) learn(m Member) *proc {
	pr := &proc{
		Member:  m,
		learned: p.now,
		seen:    p.now,
	}
	for _, other := range p.procs {
		if other.Address == m.Address && other.died.IsZero() {
			other.verify = true
			pr.verify = true
		}
	}
	p.cache.valid = false
	p.procs[m.Process()] = pr
	if m.Address == p.set.Address {
		// This process holds the address now, so that the other one ended before.
		p.die(pr)
	}
	// Whatever failed at the address before, somebody answers there now.
	delete(p.pace, m.Address)
	return pr
}

// learnDeath takes the proof of another node. A proof stays true, so that it
// may be passed on without end.
func (p *Peers) learnDeath(m Member) {
	if m.Process() == p.self() || m.State != Dead {
		return
	}
	pr, ok := p.procs[m.Process()]
	if !ok {
		pr = p.learn(m)
		pr.State = Live
		pr.verify = false
	}
	p.die(pr)
}

func (p *Peers) die(pr *proc) {
	if pr.died.IsZero() {
		p.cache.valid = false
		pr.died = p.now
		pr.verify = false
	}
}

// Heard takes the response to a probe.
func (p *Peers) Heard(now time.Time, pb Probe, w Welcome) {
	p.at(now)
	pc := p.paceOf(pb.To.Address)
	pc.fails = 0
	v := p.views[pb.To.Address]
	var id Process
	var home string
	switch {
	case w.Incarnation != 0:
		id = Process{
			Name:        w.Name,
			Incarnation: w.Incarnation,
		}
		home = w.Domain
	case v != nil && v.peer.id() == pb.Hello.Seen:
		id, home = v.peer, v.domain
	default:
		// The view that the response continues is no longer held.
		return
	}
	if id == p.self() {
		pc.self = true
		return
	}
	p.cache.valid = false
	p.replaced(pb, id)
	if v == nil || v.peer != id || w.Unknown {
		v = &view{
			peer:    id,
			domain:  home,
			members: map[Process]bool{},
		}
		p.views[pb.To.Address] = v
	}
	if pb.Hello.Address != "" && !w.Unknown {
		v.introduced = true
	}
	if pb.Sent.After(v.heard) {
		v.heard = pb.Sent
	}
	if home == p.set.Domain {
		p.evidence(id, pb.To.Address, w.Leaving, pb.Sent)
		p.update(v, pb, w)
	} else if p.kept(home) {
		d := p.domain(home)
		if pb.Sent.After(d.heard) {
			d.heard = pb.Sent
		}
		d.fails = 0
	}
	if pb.To.Domain != home && pb.To.Domain != p.set.Domain {
		// A wrong hint: the address belongs to another domain.
		if d, ok := p.domains[pb.To.Domain]; ok {
			d.index++
		}
	}
	if len(w.Heads) > 0 {
		p.compare(v, w.Heads)
	}
	for _, l := range w.Lists {
		p.adopt(l)
	}
	p.publish()
}

// compare plans what to ask for and what to send in the next requests. The
// sender does both, because the responder does not learn what it lacks.
func (p *Peers) compare(v *view, heads []Head) {
	again := false
	behind := map[string]bool{}
	for name, d := range p.domains {
		behind[name] = d.head.Version > 0
	}
	for _, h := range heads {
		d, ok := p.domains[h.Domain]
		behind[h.Domain] = ok && d.head.newer(h)
		if p.kept(h.Domain) && (!ok || h.newer(d.head)) {
			p.want[h.Domain] = true
			again = true
		}
	}
	v.behind = v.behind[:0]
	for _, name := range slices.Sorted(maps.Keys(behind)) {
		if behind[name] && len(v.behind) < maxLists {
			v.behind = append(v.behind, name)
			again = true
		}
	}
	if d, ok := p.domains[v.domain]; ok {
		d.again = again
	}
}

// update applies the changes of a view. A late response to an older request is
// left out; the next one continues from the version held.
func (p *Peers) update(v *view, pb Probe, w Welcome) {
	if w.Version == 0 || w.Unknown || w.Version <= v.version {
		return
	}
	if !w.Full && pb.Hello.SeenVersion != v.version {
		return
	}
	if w.Full {
		clear(v.members)
	}
	v.version = w.Version
	for _, m := range w.Changes {
		id := m.Process()
		if m.State == Gone {
			delete(v.members, id)
			continue
		}
		if id == p.self() {
			continue
		}
		if m.State == Dead {
			delete(v.members, id)
			p.learnDeath(m)
			continue
		}
		v.members[id] = true
		pr, ok := p.procs[id]
		if !ok {
			pr = p.learn(m)
		}
		if m.State == Leaving {
			pr.State = Leaving
		}
	}
}

// replaced proves the death of processes at an address that another one
// answered from. Only a probe sent after they were known there proves it, and
// not a request from the address, which may have been under way for long.
func (p *Peers) replaced(pb Probe, id Process) {
	if p.Dead(id) {
		return
	}
	for other, pr := range p.procs {
		if pr.Address != pb.To.Address {
			continue
		}
		if other == id {
			pr.verify = false
			continue
		}
		if pr.learned.Before(pb.Sent) {
			p.die(pr)
		}
	}
}

// Failed takes the failure of a probe.
func (p *Peers) Failed(now time.Time, pb Probe, f Failure) {
	p.at(now)
	pc := p.paceOf(pb.To.Address)
	pc.fails++
	if d, ok := p.domains[pb.To.Domain]; ok && pb.To.Domain != p.set.Domain {
		d.index++
		d.fails++
	}
	if f == Refused {
		// The process listened when it was heard, and no longer does.
		for _, pr := range p.procs {
			if pr.Address == pb.To.Address && pr.learned.Before(pb.Sent) {
				p.die(pr)
			}
		}
	}
	p.publish()
}
