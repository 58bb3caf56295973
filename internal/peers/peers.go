// Package peers implements the membership of entry processes: which of them are
// alive, which of them are relays of their domain, and which to send requests to
// next. It is a state machine without goroutines or I/O; the control loop of a
// node owns it.
//
// The platform's list of VMs and the seeds only provide addresses to probe. A
// process is considered live while it was heard from within LiveTerm, by this node
// or by a peer that this node hears from. Silence never proves a death: that takes a
// refused connection or another process at the same address.
package peers

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	// SyncInterval is the interval at which a node sends a request to one of its
	// domain's relays, in turn.
	SyncInterval = 500 * time.Millisecond
	// LiveTerm is how long a process is considered live after it was heard from. Each
	// relay hears from a node once a second, so that two lost messages are
	// tolerated.
	LiveTerm = 3 * time.Second
	// ExchangeInterval is the interval at which a domain sends a request to another
	// one. Both domains of a pair send requests; at 30 domains, half the interval
	// would take a relay above its limit of 5 KB/s.
	ExchangeInterval = 5 * time.Second
	// FastExchangeInterval replaces ExchangeInterval while this node's polls of the
	// platform fail. Keys are accepted for 3 s after the last confirmation of
	// freshness. With the fast intervals the state of a domain is at most 1.7 s
	// old: two requests of a node to the same relay (0.8 s), one exchange between
	// domains, one request of the node that uses it, and the steps of the control
	// loops.
	FastExchangeInterval = 500 * time.Millisecond
	// FastSyncInterval replaces SyncInterval in the same case.
	FastSyncInterval = 200 * time.Millisecond
	// RingProbeInterval is the interval at which a node probes each of its
	// successors. It is below LiveTerm, so that a successor stays live between two
	// probes.
	RingProbeInterval = 2 * time.Second
	// FastRingProbeInterval replaces RingProbeInterval while the node hears from
	// no other node of its domain.
	FastRingProbeInterval = time.Second
	// RetentionTerm is how long silent and dead processes are remembered. It is
	// longer than the longest slot term and its margin, 66 min, so that a proof of
	// death is available when a slot's owner is looked up.
	RetentionTerm = 2 * time.Hour

	relaysPerDomain = 2
	liveSuccessors  = 3
	// maxSuspects bounds the silent processes that a node probes in its ring.
	maxSuspects = 5
	// maxBackoff bounds the pause between probes of an address that does not
	// answer. It is part of the time to converge after a partition.
	maxBackoff = 10 * time.Second
	// deathReportTerm is how long a new proof of death is included in each request
	// to a process of the domain.
	deathReportTerm = 5 * time.Second
	// minPublishInterval is the minimum time between two versions of a domain's
	// member list.
	minPublishInterval = time.Second
	// listInterval is how often a relay reads the platform's list: at 420 VMs of 60
	// bytes that is 0.8 KB/s of the 5 KB/s allowed. A node that hears from no other
	// node of its domain begins with fastListInterval and backs off to listInterval.
	listInterval     = 30 * time.Second
	fastListInterval = 2 * time.Second
	// idleExpiry is how long the probe schedule of an unused address and a silent
	// process of another domain are remembered.
	idleExpiry   = 10 * time.Minute
	maxChangeLog = 256
)

// Seed is an address from the settings that a starting node probes.
type Seed struct {
	Address string
	Domain  string
}

// Settings identifies this node and its process.
type Settings struct {
	Name    string
	Domain  string
	Address string
	// Incarnation is larger than that of every earlier process of the node.
	Incarnation uint64
	Seeds       []Seed
}

// Peer is a process to which requests can be sent. Its name is empty while only
// the address is known.
type Peer struct {
	Process
	Address string
	Domain  string
	Leaving bool
}

// Peers holds the membership known to one node. It is not safe for concurrent
// use.
type Peers struct {
	settings     Settings
	leaving      bool
	pollsFailing bool
	started      time.Time
	now          time.Time

	// procs holds the known processes of the own domain except this one.
	procs map[Process]*proc
	// foreignProcs holds the processes of other domains that sent their domain in
	// a request.
	foreignProcs map[Process]foreignProc
	// views holds the views that other processes reported, by the address that
	// answered.
	views       map[string]*view
	domains     map[string]*domain
	listsDigest uint32

	cache    snapshot
	expireAt time.Time

	// published is the view that this node reports to others, changeLog the recent
	// changes to it, and logStart the version before the first of them.
	published map[Process]Member
	version   uint64
	changeLog []memberChange
	logStart  uint64

	// configured holds the configured domains; nil means that all domains are
	// accepted.
	configured map[string]bool

	listedVMs       []store.VM
	listedAt        time.Time
	listReads       int
	probeSchedules  map[string]*probeSchedule
	nextSync        time.Time
	nextCandidates  time.Time
	syncTurn        int
	candidateTurn   int
	publishedListAt time.Time
	wantedLists     map[string]bool
}

// snapshot holds the members, relays and ring successors computed at one time.
type snapshot struct {
	valid      bool
	members    []Member
	relays     []Member
	successors []Member
}

// proc is the state of a process of the own domain.
type proc struct {
	Member
	// learnedAt is when this node first knew of the process.
	learnedAt time.Time
	// heardAt is when this node itself last heard from it.
	heardAt time.Time
	// lastHeardByAny is when it was last live according to this node or a peer.
	lastHeardByAny  time.Time
	provedDeadAt    time.Time
	addressConflict bool
	// state is the state at the time of the snapshot.
	state State
}

type foreignProc struct {
	domain  string
	heardAt time.Time
}

// view is the membership view reported by another process. Only processes of the
// own domain report members.
type view struct {
	peer    Process
	domain  string
	version uint64
	heardAt time.Time
	members map[Process]bool
	// introduced is set when the peer has received this node's address.
	introduced bool
	// outdatedLists names the domains of which the peer holds an older list.
	outdatedLists []string
}

type memberChange struct {
	version uint64
	member  Member
}

// probeSchedule limits the rate of probes of one address.
type probeSchedule struct {
	lastUsed time.Time
	next     time.Time
	fails    int
	// self marks an address of this node.
	self bool
}

// domain is the state of a domain, which may be the own one.
type domain struct {
	list   List
	head   Head
	relays []Member
	// heardAt is when this node last exchanged messages with the domain.
	heardAt     time.Time
	triedAt     time.Time
	targetIndex int
	fails       int
	// listsDiffer shortens the wait for the next exchange, because the two sides
	// hold different lists.
	listsDiffer bool
}

// New returns the state of a node that has just started.
func New(settings Settings, now time.Time) *Peers {
	p := &Peers{
		settings:       settings,
		started:        now,
		now:            now,
		procs:          map[Process]*proc{},
		foreignProcs:   map[Process]foreignProc{},
		views:          map[string]*view{},
		domains:        map[string]*domain{},
		published:      map[Process]Member{},
		probeSchedules: map[string]*probeSchedule{},
		wantedLists:    map[string]bool{},
	}
	for _, s := range settings.Seeds {
		if s.Domain != "" {
			p.domain(s.Domain)
		}
	}
	p.domain(settings.Domain)
	p.updateListsDigest()
	p.publish()
	return p
}

func (p *Peers) self() Process {
	return Process{
		Name:        p.settings.Name,
		Incarnation: p.settings.Incarnation,
	}
}

func (p *Peers) selfMember() Member {
	m := Member{
		Name:        p.settings.Name,
		Incarnation: p.settings.Incarnation,
		Address:     p.settings.Address,
		State:       Live,
	}
	if p.leaving {
		m.State = Leaving
	}
	return m
}

func (p *Peers) domain(name string) *domain {
	d, ok := p.domains[name]
	if !ok {
		d = &domain{
			list: List{
				Domain: name,
			},
			head: Head{
				Domain: name,
			},
		}
		p.domains[name] = d
	}
	return d
}

// advanceTo sets the current time of the state machine, which never goes back.
func (p *Peers) advanceTo(now time.Time) {
	if now.After(p.now) {
		p.now = now
		p.cache.valid = false
	}
}

// isRecent reports whether t is within LiveTerm.
func (p *Peers) isRecent(t time.Time) bool {
	return !t.IsZero() && p.now.Sub(t) <= LiveTerm
}

// Leave marks this node as shutting down. It keeps answering requests, but is no
// longer a relay and is left out of LiveNodes on every node.
func (p *Peers) Leave() {
	p.leaving = true
	p.cache.valid = false
	p.publish()
}

// SetPollsFailing sets whether this node's own polls of the platform fail, which
// selects the fast intervals.
func (p *Peers) SetPollsFailing(failing bool) {
	p.pollsFailing = failing
}

// VMListDue reports whether the platform's list of VMs should be read now. After
// the first read, only relays and nodes that hear from no other node of their
// domain need it.
func (p *Peers) VMListDue(now time.Time) bool {
	p.advanceTo(now)
	switch {
	case p.listReads == 0:
		return true
	case now.Sub(p.listedAt) < fastListInterval:
		return false
	case !p.connected():
		return now.Sub(p.listedAt) >= min(fastListInterval<<min(p.listReads-1, 5), listInterval)
	case p.IsRelay():
		return now.Sub(p.listedAt) >= listInterval
	}
	return false
}

// SetVMs stores the platform's list of the VMs of entry processes. The addresses
// are those of their control ports. The list is a hint: it may be outdated or
// wrong.
func (p *Peers) SetVMs(now time.Time, vms []store.VM) {
	p.advanceTo(now)
	p.listedAt = now
	p.listReads++
	if p.connected() {
		p.listReads = 1
	}
	p.listedVMs = slices.Clone(vms)
	for _, vm := range vms {
		if vm.Domain != "" && p.isConfigured(vm.Domain) {
			p.domain(vm.Domain)
		}
	}
}

// SetDomains sets the domains of the configuration. The state of other domains
// is dropped.
func (p *Peers) SetDomains(names []string) {
	p.configured = map[string]bool{
		p.settings.Domain: true,
	}
	for _, name := range names {
		p.configured[name] = true
	}
	drop := func(name string) bool { return !p.configured[name] }
	maps.DeleteFunc(p.domains, func(name string, _ *domain) bool { return drop(name) })
	maps.DeleteFunc(p.wantedLists, func(name string, _ bool) bool { return drop(name) })
	p.updateListsDigest()
}

func (p *Peers) isConfigured(domain string) bool {
	return p.configured == nil || p.configured[domain]
}

// currentSnapshot returns the snapshot for the current time. The relays and the
// ring are recomputed only when a member changed.
func (p *Peers) currentSnapshot() *snapshot {
	c := &p.cache
	if c.valid {
		return c
	}
	c.valid = true
	var views []*view
	for _, v := range p.views {
		if v.domain == p.settings.Domain && p.isRecent(v.heardAt) {
			views = append(views, v)
		}
	}
	heardByPeer := func(id Process) bool {
		return slices.ContainsFunc(views, func(v *view) bool { return v.members[id] })
	}
	members := make([]Member, 0, len(p.procs)+1)
	members = append(members, p.selfMember())
	for id, pr := range p.procs {
		switch {
		case !pr.provedDeadAt.IsZero():
			pr.state = Dead
		case p.isRecent(pr.heardAt) || heardByPeer(id):
			pr.state = pr.State
		default:
			pr.state = Silent
		}
		m := pr.Member
		m.State = pr.state
		members = append(members, m)
	}
	sortMembers(members)
	if !slices.Equal(members, c.members) {
		c.members = members
		c.relays = relaysOf(p.settings.Domain, members)
		c.successors = successorsOf(p.self(), members)
	}
	return c
}

// Members returns the own domain's processes, including silent and dead ones.
func (p *Peers) Members() []Member {
	return slices.Clone(p.currentSnapshot().members)
}

// LiveNodes returns the names of the own domain's live nodes that are not leaving.
func (p *Peers) LiveNodes() []string {
	var out []string
	for _, m := range p.currentSnapshot().members {
		if m.State == Live && !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// Lookup returns the live or leaving process of a node: from the current view in
// the own domain, from the published member list in another one.
func (p *Peers) Lookup(domain, name string) (Peer, bool) {
	members := p.Members()
	if domain != p.settings.Domain {
		members = nil
		if d, ok := p.domains[domain]; ok {
			members = d.list.Members
		}
	}
	for _, m := range slices.Backward(members) {
		if m.Name == name && (m.State == Live || m.State == Leaving) {
			return peer(domain, m), true
		}
	}
	return Peer{}, false
}

func peer(domain string, m Member) Peer {
	return Peer{
		Process: m.Process(),
		Address: m.Address,
		Domain:  domain,
		Leaving: m.State == Leaving,
	}
}

// Relays returns the relays of a domain, the preferred one first.
func (p *Peers) Relays(domain string) []Peer {
	var members []Member
	if domain == p.settings.Domain {
		members = p.currentSnapshot().relays
	} else if d, ok := p.domains[domain]; ok {
		members = d.relays
	}
	out := make([]Peer, 0, len(members))
	for _, m := range members {
		out = append(out, peer(domain, m))
	}
	return out
}

func relaysOf(domain string, members []Member) []Member {
	byName := map[string]Member{}
	for _, m := range members {
		// Of two processes of a node, the newer one comes last in the order.
		if m.State == Live {
			byName[m.Name] = m
		}
	}
	var out []Member
	for _, name := range rank.Order("relay/"+domain, slices.Collect(maps.Keys(byName))) {
		if len(out) == relaysPerDomain {
			break
		}
		out = append(out, byName[name])
	}
	return out
}

// IsRelay reports whether this node is a relay of its domain.
func (p *Peers) IsRelay() bool {
	return slices.ContainsFunc(p.currentSnapshot().relays, func(m Member) bool { return m.Process() == p.self() })
}

// Connected reports whether this node hears from another node of its domain.
func (p *Peers) Connected(now time.Time) bool {
	p.advanceTo(now)
	return p.connected()
}

func (p *Peers) connected() bool {
	for _, v := range p.views {
		if v.domain == p.settings.Domain && p.isRecent(v.heardAt) {
			return true
		}
	}
	return false
}

// DomainState is the membership of a domain as this node knows it.
type DomainState struct {
	Name    string
	Version uint64
	Members []Member
	Relays  []Peer
	// Heard is when this node last exchanged messages with the domain. It is zero
	// when it never did, as on most nodes that are not relays.
	Heard time.Time
}

// Domains returns the state of each known domain, sorted by name.
func (p *Peers) Domains() []DomainState {
	var out []DomainState
	for _, name := range slices.Sorted(maps.Keys(p.domains)) {
		d := p.domains[name]
		s := DomainState{
			Name:    name,
			Version: d.list.Version,
			Members: slices.Clone(d.list.Members),
			Relays:  p.Relays(name),
			Heard:   d.heardAt,
		}
		if name == p.settings.Domain {
			s.Members = p.Members()
			s.Heard = p.now
		}
		out = append(out, s)
	}
	return out
}

// DeadProcesses returns the own domain's processes that are proved dead.
func (p *Peers) DeadProcesses() []Process {
	var out []Process
	for id, pr := range p.procs {
		if !pr.provedDeadAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b Process) int {
		if c := strings.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return out
}

// Dead reports whether a process is proved dead.
func (p *Peers) Dead(id Process) bool {
	pr, ok := p.procs[id]
	return ok && !pr.provedDeadAt.IsZero()
}

// publish updates the view that this node reports. It contains only processes
// that the node heard from itself: liveness forwarded between nodes in a cycle
// would never expire.
func (p *Peers) publish() {
	p.publishMember(p.selfMember())
	for id, pr := range p.procs {
		m := pr.Member
		switch {
		case !pr.provedDeadAt.IsZero():
			m.State = Dead
		case !p.isRecent(pr.heardAt):
			p.unpublish(id)
			continue
		}
		p.publishMember(m)
	}
	if drop := len(p.changeLog) - maxChangeLog; drop > 0 {
		p.logStart = p.changeLog[drop-1].version
		p.changeLog = slices.Delete(p.changeLog, 0, drop)
	}
}

func (p *Peers) publishMember(m Member) {
	if p.published[m.Process()] == m {
		return
	}
	p.published[m.Process()] = m
	p.version++
	p.changeLog = append(p.changeLog, memberChange{
		version: p.version,
		member:  m,
	})
}

func (p *Peers) unpublish(id Process) {
	if _, ok := p.published[id]; !ok {
		return
	}
	delete(p.published, id)
	p.version++
	p.changeLog = append(p.changeLog, memberChange{
		version: p.version,
		member: Member{
			Name:        id.Name,
			Incarnation: id.Incarnation,
			State:       Silent,
		},
	})
}

// changesSince returns the last change of each process after a version.
func (p *Peers) changesSince(version uint64) []Member {
	last := map[Process]Member{}
	for _, c := range p.changeLog {
		if c.version > version {
			last[c.member.Process()] = c.member
		}
	}
	return sortedMembers(maps.Values(last))
}

func sortedMembers(seq func(func(Member) bool)) []Member {
	out := slices.Collect(seq)
	sortMembers(out)
	return out
}

// updateListsDigest recomputes the digest of the member lists of all domains.
func (p *Peers) updateListsDigest() {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(maps.Keys(p.domains)) {
		h := p.domains[name].head
		if h.Version == 0 {
			continue
		}
		var b [12]byte
		binary.LittleEndian.PutUint64(b[:8], h.Version)
		binary.LittleEndian.PutUint32(b[8:], h.Digest)
		// Writes to a Digest do not fail.
		_, _ = d.WriteString(name)
		_, _ = d.Write(b[:])
	}
	p.listsDigest = uint32(d.Sum64())
}

// applyList stores a member list if it is newer than the one held.
func (p *Peers) applyList(l List) {
	delete(p.wantedLists, l.Domain)
	if !p.isConfigured(l.Domain) {
		return
	}
	head := l.Head()
	d := p.domain(l.Domain)
	if !head.newer(d.head) {
		return
	}
	d.list = l
	d.head = head
	d.relays = relaysOf(l.Domain, l.Members)
	d.targetIndex = 0
	p.updateListsDigest()
}

// publishList publishes the own domain's member list when this node is its first
// relay. The second relay does not, since two different views would keep replacing
// each other. A starting node waits for LiveTerm to hear from the other members.
func (p *Peers) publishList() {
	relays := p.currentSnapshot().relays
	if len(relays) == 0 || relays[0].Process() != p.self() || p.now.Sub(p.started) < LiveTerm || p.now.Sub(p.publishedListAt) < minPublishInterval {
		return
	}
	members := slices.DeleteFunc(p.Members(), func(m Member) bool {
		return m.State != Live && m.State != Leaving
	})
	d := p.domain(p.settings.Domain)
	if slices.Equal(members, d.list.Members) {
		return
	}
	p.publishedListAt = p.now
	p.applyList(List{
		Domain:  p.settings.Domain,
		Version: d.list.Version + 1,
		Members: members,
	})
}

// expire drops processes, schedules and views past their retention. It runs at
// most once a second.
func (p *Peers) expire() {
	if p.now.Before(p.expireAt) {
		return
	}
	p.expireAt = p.now.Add(time.Second)
	p.currentSnapshot()
	for id, pr := range p.procs {
		if pr.state == Live || pr.state == Leaving {
			pr.lastHeardByAny = p.now
		}
		if p.now.Sub(pr.lastHeardByAny) > RetentionTerm && p.now.Sub(pr.provedDeadAt) > RetentionTerm {
			delete(p.procs, id)
			p.unpublish(id)
			p.cache.valid = false
		}
	}
	maps.DeleteFunc(p.probeSchedules, func(_ string, schedule *probeSchedule) bool { return p.now.Sub(schedule.lastUsed) > idleExpiry })
	maps.DeleteFunc(p.foreignProcs, func(_ Process, f foreignProc) bool { return p.now.Sub(f.heardAt) > idleExpiry })
	for address, v := range p.views {
		if p.now.Sub(v.heardAt) > 10*LiveTerm {
			delete(p.views, address)
		}
	}
}
