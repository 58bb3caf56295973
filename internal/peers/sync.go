package peers

import (
	"maps"
	"slices"
	"time"
)

// Failure is the way in which a probe failed.
type Failure uint8

// The failures of a probe.
const (
	// Refused means that the address refused a connection that was attempted
	// after the probe was sent. A cached error of an earlier attempt, as gRPC
	// returns during its back-off, must be reported as Timeout.
	Refused Failure = iota + 1
	// Timeout means that no response came in time, or that the connection broke.
	Timeout
)

// HandleRequest processes the request of another process and returns the response.
func (p *Peers) HandleRequest(now time.Time, h MemberRequest) MemberResponse {
	p.advanceTo(now)
	var w MemberResponse
	senderKnowsSelf := h.KnownProcess == p.self().id()
	if !senderKnowsSelf {
		w.Name = p.settings.Name
		w.Incarnation = p.settings.Incarnation
		w.Domain = p.settings.Domain
		w.Address = p.settings.Address
	}
	w.Leaving = p.leaving
	from := Process{
		Name:        h.Name,
		Incarnation: h.Incarnation,
	}
	senderDomain := h.Domain
	if f, ok := p.foreignProcs[from]; ok && senderDomain == "" {
		senderDomain = f.domain
	}
	switch {
	case from == p.self():
		return w
	case senderDomain != "" && senderDomain != p.settings.Domain:
		if !p.isConfigured(senderDomain) {
			return w
		}
		p.foreignProcs[from] = foreignProc{
			domain:  senderDomain,
			heardAt: p.now,
		}
		p.domain(senderDomain).heardAt = p.now
	default:
		for _, m := range h.Dead {
			p.recordDeath(m)
		}
		if !p.recordHeard(from, h.Address, h.Leaving, p.now) {
			w.SenderUnknown = true
		}
		p.publish()
		p.addViewChanges(&w, h, senderKnowsSelf)
	}
	for _, l := range h.Lists {
		p.applyList(l)
	}
	if h.Fleet != p.listsDigest {
		w.Heads = p.heads()
	}
	for _, name := range h.WantedLists {
		if d, ok := p.domains[name]; ok && d.head.Version > 0 && len(w.Lists) < maxLists {
			w.Lists = append(w.Lists, d.list)
		}
	}
	return w
}

// addViewChanges adds the changes to this node's view since the version that the
// sender holds, or the whole view when they are not available.
func (p *Peers) addViewChanges(w *MemberResponse, h MemberRequest, senderKnowsSelf bool) {
	if senderKnowsSelf && h.KnownVersion == p.version {
		return
	}
	w.Version = p.version
	if senderKnowsSelf && h.KnownVersion >= p.logStart && h.KnownVersion < p.version {
		w.Changes = p.changesSince(h.KnownVersion)
		return
	}
	w.Full = true
	w.Changes = sortedMembers(maps.Values(p.published))
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

// recordHeard records that a process of the own domain was heard from at a time.
// It returns false when the process is unknown and its address was not sent.
func (p *Peers) recordHeard(id Process, address string, leaving bool, at time.Time) bool {
	if id == p.self() {
		return true
	}
	pr, ok := p.procs[id]
	if !ok {
		if address == "" {
			return false
		}
		pr = p.addProc(Member{
			Name:        id.Name,
			Incarnation: id.Incarnation,
			Address:     address,
			State:       Live,
		})
	}
	p.cache.valid = false
	if at.After(pr.heardAt) {
		pr.heardAt = at
	}
	if leaving {
		// Leaving is final for a process.
		pr.State = Leaving
	}
	return true
}

// addProc adds a process that this node or a peer heard from. If another process
// is recorded at the same address, one of the two has ended and the address is
// probed at once.
func (p *Peers) addProc(m Member) *proc {
	pr := &proc{
		Member:         m,
		learnedAt:      p.now,
		lastHeardByAny: p.now,
	}
	for _, other := range p.procs {
		if other.Address == m.Address && other.provedDeadAt.IsZero() {
			other.addressConflict = true
			pr.addressConflict = true
		}
	}
	p.cache.valid = false
	p.procs[m.Process()] = pr
	if m.Address == p.settings.Address {
		// This process listens at the address, so the other one has ended.
		p.markDead(pr)
	}
	// The address answers now, so that its earlier failures no longer count.
	delete(p.probeSchedules, m.Address)
	return pr
}

// recordDeath records a death that another node proved. A proof never becomes
// invalid, so it may be forwarded without expiry.
func (p *Peers) recordDeath(m Member) {
	if m.Process() == p.self() || m.State != Dead {
		return
	}
	pr, ok := p.procs[m.Process()]
	if !ok {
		pr = p.addProc(m)
		pr.State = Live
		pr.addressConflict = false
	}
	p.markDead(pr)
}

func (p *Peers) markDead(pr *proc) {
	if pr.provedDeadAt.IsZero() {
		p.cache.valid = false
		pr.provedDeadAt = p.now
		pr.addressConflict = false
	}
}

// HandleResponse processes the response to a probe.
func (p *Peers) HandleResponse(now time.Time, pb Probe, w MemberResponse) {
	p.advanceTo(now)
	schedule := p.probeScheduleOf(pb.To.Address)
	schedule.fails = 0
	v := p.views[pb.To.Address]
	var id Process
	var responderDomain string
	switch {
	case w.Incarnation != 0:
		id = Process{
			Name:        w.Name,
			Incarnation: w.Incarnation,
		}
		responderDomain = w.Domain
	case v != nil && v.peer.id() == pb.Request.KnownProcess:
		id, responderDomain = v.peer, v.domain
	default:
		// The response refers to a view that this node no longer holds.
		return
	}
	if id == p.self() {
		schedule.self = true
		return
	}
	p.cache.valid = false
	p.markReplaced(pb, id)
	if v == nil || v.peer != id || w.SenderUnknown {
		v = &view{
			peer:    id,
			domain:  responderDomain,
			members: map[Process]bool{},
		}
		p.views[pb.To.Address] = v
	}
	if pb.Request.Address != "" && !w.SenderUnknown {
		v.introduced = true
	}
	if pb.Sent.After(v.heardAt) {
		v.heardAt = pb.Sent
	}
	if responderDomain == p.settings.Domain {
		p.recordHeard(id, pb.To.Address, w.Leaving, pb.Sent)
		p.applyViewChanges(v, pb, w)
	} else if p.isConfigured(responderDomain) {
		d := p.domain(responderDomain)
		if pb.Sent.After(d.heardAt) {
			d.heardAt = pb.Sent
		}
		d.fails = 0
	}
	if pb.To.Domain != responderDomain && pb.To.Domain != p.settings.Domain {
		// The listed domain was wrong: the address belongs to another domain.
		if d, ok := p.domains[pb.To.Domain]; ok {
			d.targetIndex++
		}
	}
	if len(w.Heads) > 0 {
		p.compareHeads(v, w.Heads)
	}
	for _, l := range w.Lists {
		p.applyList(l)
	}
	p.publish()
}

// compareHeads determines which lists to request and which to send in the next
// requests. The sender of the request does both, because only the sender receives
// the other side's heads.
func (p *Peers) compareHeads(v *view, heads []Head) {
	listsDiffer := false
	behind := map[string]bool{}
	for name, d := range p.domains {
		behind[name] = d.head.Version > 0
	}
	for _, h := range heads {
		d, ok := p.domains[h.Domain]
		behind[h.Domain] = ok && d.head.newer(h)
		if p.isConfigured(h.Domain) && (!ok || h.newer(d.head)) {
			p.wantedLists[h.Domain] = true
			listsDiffer = true
		}
	}
	v.outdatedLists = v.outdatedLists[:0]
	for _, name := range slices.Sorted(maps.Keys(behind)) {
		if behind[name] && len(v.outdatedLists) < maxLists {
			v.outdatedLists = append(v.outdatedLists, name)
			listsDiffer = true
		}
	}
	if d, ok := p.domains[v.domain]; ok {
		d.listsDiffer = listsDiffer
	}
}

// applyViewChanges applies the changes in a response to the view of its sender. A
// delayed response to an older request is ignored; the next response continues
// from the version held.
func (p *Peers) applyViewChanges(v *view, pb Probe, w MemberResponse) {
	if w.Version == 0 || w.SenderUnknown || w.Version <= v.version {
		return
	}
	if !w.Full && pb.Request.KnownVersion != v.version {
		return
	}
	if w.Full {
		clear(v.members)
	}
	v.version = w.Version
	for _, m := range w.Changes {
		id := m.Process()
		if m.State == Silent {
			delete(v.members, id)
			continue
		}
		if id == p.self() {
			continue
		}
		if m.State == Dead {
			delete(v.members, id)
			p.recordDeath(m)
			continue
		}
		v.members[id] = true
		pr, ok := p.procs[id]
		if !ok {
			pr = p.addProc(m)
		}
		if m.State == Leaving {
			pr.State = Leaving
		}
	}
}

// markReplaced marks as dead the processes at an address from which another
// process answered. Only a probe that was sent after they were learned proves
// their death; a request from the address does not, as it may have been delayed.
func (p *Peers) markReplaced(pb Probe, id Process) {
	if p.Dead(id) {
		return
	}
	for other, pr := range p.procs {
		if pr.Address != pb.To.Address {
			continue
		}
		if other == id {
			pr.addressConflict = false
			continue
		}
		if pr.learnedAt.Before(pb.Sent) {
			p.markDead(pr)
		}
	}
}

// HandleFailure processes the failure of a probe.
func (p *Peers) HandleFailure(now time.Time, pb Probe, f Failure) {
	p.advanceTo(now)
	schedule := p.probeScheduleOf(pb.To.Address)
	schedule.fails++
	if d, ok := p.domains[pb.To.Domain]; ok && pb.To.Domain != p.settings.Domain {
		d.targetIndex++
		d.fails++
	}
	if f == Refused {
		// The process listened when this node learned of it and no longer does.
		for _, pr := range p.procs {
			if pr.Address == pb.To.Address && pr.learnedAt.Before(pb.Sent) {
				p.markDead(pr)
			}
		}
	}
	p.publish()
}
