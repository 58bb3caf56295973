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
func (p *Peers) HandleRequest(now time.Time, req MemberRequest) MemberResponse {
	p.advanceTo(now)
	var resp MemberResponse
	senderKnowsSelf := req.KnownProcess == p.self().id()
	if !senderKnowsSelf {
		resp.Name = p.settings.Name
		resp.Incarnation = p.settings.Incarnation
		resp.Domain = p.settings.Domain
		resp.Address = p.settings.Address
	}
	resp.Leaving = p.leaving
	from := Process{
		Name:        req.Name,
		Incarnation: req.Incarnation,
	}
	senderDomain := req.Domain
	if f, ok := p.foreignProcs[from]; ok && senderDomain == "" {
		senderDomain = f.domain
	}
	switch {
	case from == p.self():
		return resp
	case senderDomain != "" && senderDomain != p.settings.Domain:
		if !p.isConfigured(senderDomain) {
			return resp
		}
		p.foreignProcs[from] = foreignProc{
			domain:  senderDomain,
			heardAt: p.now,
		}
		p.domain(senderDomain).heardAt = p.now
	default:
		for _, m := range req.Dead {
			p.recordDeath(m)
		}
		if !p.recordHeard(from, req.Address, req.Leaving, p.now) {
			resp.SenderUnknown = true
		}
		p.publish()
		p.addViewChanges(&resp, req, senderKnowsSelf)
	}
	for _, l := range req.Lists {
		p.applyList(l)
	}
	if req.Fleet != p.listsDigest {
		resp.Heads = p.heads()
	}
	for _, name := range req.WantedLists {
		if d, ok := p.domains[name]; ok && d.head.Version > 0 && len(resp.Lists) < maxLists {
			resp.Lists = append(resp.Lists, d.list)
		}
	}
	return resp
}

// addViewChanges adds the changes to this node's view since the version that the
// sender holds, or the whole view when they are not available.
func (p *Peers) addViewChanges(resp *MemberResponse, req MemberRequest, senderKnowsSelf bool) {
	if senderKnowsSelf && req.KnownVersion == p.version {
		return
	}
	resp.Version = p.version
	if senderKnowsSelf && req.KnownVersion >= p.logStart && req.KnownVersion < p.version {
		resp.Changes = p.changesSince(req.KnownVersion)
		return
	}
	resp.Full = true
	resp.Changes = sortedMembers(maps.Values(p.published))
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
func (p *Peers) HandleResponse(now time.Time, pb Probe, resp MemberResponse) {
	p.advanceTo(now)
	schedule := p.probeScheduleOf(pb.To.Address)
	schedule.fails = 0
	v := p.views[pb.To.Address]
	var id Process
	var responderDomain string
	switch {
	case resp.Incarnation != 0:
		id = Process{
			Name:        resp.Name,
			Incarnation: resp.Incarnation,
		}
		responderDomain = resp.Domain
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
	if v == nil || v.peer != id || resp.SenderUnknown {
		v = &view{
			peer:    id,
			domain:  responderDomain,
			members: map[Process]bool{},
		}
		p.views[pb.To.Address] = v
	}
	if pb.Request.Address != "" && !resp.SenderUnknown {
		v.introduced = true
	}
	if pb.Sent.After(v.heardAt) {
		v.heardAt = pb.Sent
	}
	if responderDomain == p.settings.Domain {
		p.recordHeard(id, pb.To.Address, resp.Leaving, pb.Sent)
		p.applyViewChanges(v, pb, resp)
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
	if len(resp.Heads) > 0 {
		p.compareHeads(v, resp.Heads)
	}
	for _, l := range resp.Lists {
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
func (p *Peers) applyViewChanges(v *view, pb Probe, resp MemberResponse) {
	if resp.Version == 0 || resp.SenderUnknown || resp.Version <= v.version {
		return
	}
	if !resp.Full && pb.Request.KnownVersion != v.version {
		return
	}
	if resp.Full {
		clear(v.members)
	}
	v.version = resp.Version
	for _, m := range resp.Changes {
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
