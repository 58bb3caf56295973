// Package peers decides which entry processes are alive, which of them relay
// for their domain, and whom to ask next. It is a state machine without
// goroutines or I/O; the control loop of a node owns it.
//
// The platform's list of VMs and the seeds only say whom to ask. A process
// counts as live while it was heard within LiveTerm, by this node or by a peer
// that this node hears. Silence never proves a death: that takes a refused
// connection or another process at the same address.
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
	// SyncEvery is how often a node asks one of its domain's relays, in turn.
	SyncEvery = 500 * time.Millisecond
	// LiveTerm is how long a process counts as live after it was heard. Each
	// relay hears a node once a second, so that two lost messages are tolerated.
	LiveTerm = 3 * time.Second
	// RelayEvery is how often a domain asks another one. At 30 domains, with
	// both asking, half of it would take a relay above its 5 KB/s.
	RelayEvery = 5 * time.Second
	// RelayFast applies while the own view of the platform ages. Keys
	// are honoured for 3 s without news of the platform. The word of a domain is
	// then at most 1.7 s old: two requests of a node to the same relay (0.8 s),
	// one exchange between domains, one request of the node that uses it, and
	// the steps of the loops.
	RelayFast = 500 * time.Millisecond
	// SyncFast is the interval of SyncEvery in that case.
	SyncFast = 200 * time.Millisecond
	// RingEvery is how often a node probes each of its successors. It is below
	// LiveTerm, so that a successor does not drop out between two probes.
	RingEvery = 2 * time.Second
	// RingFast applies while no relay of the domain is heard.
	RingFast = time.Second
	// Forget is how long silent and dead processes are kept. It is longer than
	// the longest slot term and its margin, 66 min, so that a proof of death is
	// there when a slot's owner is looked up.
	Forget = 2 * time.Hour

	relaysPerDomain = 2
	successors      = 3
	// maxSuspects bounds the silent processes that a node probes in its ring.
	maxSuspects = 5
	// maxBackoff bounds the pause between probes of an address that does not
	// answer. It is part of the time to converge after a partition.
	maxBackoff = 10 * time.Second
	// tellDeaths is how long a proof of death is part of each request.
	tellDeaths = 5 * time.Second
	// authorEvery limits the versions of a domain's list.
	authorEvery = time.Second
	// listEvery is how often a relay reads the platform's list: at 420 VMs of 60
	// bytes that is 0.8 KB/s of the 5 KB/s allowed. A node that hears nobody
	// begins with listFast.
	listEvery = 30 * time.Second
	listFast  = 2 * time.Second
	// paceTerm is how long an address that is no longer probed is remembered.
	paceTerm = 10 * time.Minute
	maxLog   = 256
)

// Seed is an address to begin with, from the settings.
type Seed struct {
	Address string
	Domain  string
}

// Settings identifies a node.
type Settings struct {
	Name    string
	Domain  string
	Address string
	// Incarnation is larger than that of every earlier process of the node.
	Incarnation uint64
	Seeds       []Seed
}

// Peer is a process that can be asked.
type Peer struct {
	Process
	Address string
	Domain  string
	Leaving bool
}

// Peers holds the membership as one node knows it.
type Peers struct {
	set     Settings
	leaving bool
	polls   bool
	started time.Time
	now     time.Time

	// procs are the known processes of the own domain without this one.
	procs map[Process]*proc
	// foreign are the processes of other domains that introduced themselves.
	foreign map[Process]foreigner
	// views are what other processes reported, by the address that answered.
	views   map[string]*view
	domains map[string]*domain
	fleet   uint32

	cache    snapshot
	expireAt time.Time

	// published is the direct evidence that this node reports, with its log.
	published map[Process]Member
	version   uint64
	log       []change
	logStart  uint64

	// keep holds the configured domains; nil means that all are taken.
	keep map[string]bool

	hints    []store.VM
	listedAt time.Time
	lists    int
	pace     map[string]*pace
	syncAt   time.Time
	candAt   time.Time
	turn     int
	candTurn int
	authorAt time.Time
	want     map[string]bool
}

// snapshot holds what follows from the evidence at one time.
type snapshot struct {
	valid      bool
	members    []Member
	relays     []Member
	successors []Member
}

// proc is what is known of a process of the own domain.
type proc struct {
	Member
	// learned is when this node first knew that the process had answered.
	learned time.Time
	// direct is when this node last heard it.
	direct time.Time
	// seen is when anybody was last known to hear it.
	seen   time.Time
	died   time.Time
	verify bool
	// state is the condition at the time of the snapshot.
	state State
}

type foreigner struct {
	domain string
	heard  time.Time
}

// view is what a process of the own domain reported.
type view struct {
	peer    Process
	domain  string
	version uint64
	heard   time.Time
	members map[Process]bool
	// introduced means that the peer knows this node's address.
	introduced bool
	// behind names the domains of which the peer holds an older list.
	behind []string
}

type change struct {
	version uint64
	member  Member
}

// pace spaces the probes of one address.
type pace struct {
	used  time.Time
	next  time.Time
	fails int
	// self marks an address of this node.
	self bool
}

// domain is what is known of a domain, the own one included.
type domain struct {
	list   List
	head   Head
	relays []Member
	// heard is when this node last exchanged with the domain.
	heard time.Time
	tried time.Time
	index int
	fails int
	// again asks for an exchange soon, because the lists differ.
	again bool
}

// New returns the state of a node that has just started.
func New(set Settings, now time.Time) *Peers {
	p := &Peers{
		set:       set,
		started:   now,
		now:       now,
		procs:     map[Process]*proc{},
		foreign:   map[Process]foreigner{},
		views:     map[string]*view{},
		domains:   map[string]*domain{},
		published: map[Process]Member{},
		pace:      map[string]*pace{},
		want:      map[string]bool{},
	}
	for _, s := range set.Seeds {
		if s.Domain != "" {
			p.domain(s.Domain)
		}
	}
	p.domain(set.Domain)
	p.rehash()
	p.publish()
	return p
}

func (p *Peers) self() Process {
	return Process{
		Name:        p.set.Name,
		Incarnation: p.set.Incarnation,
	}
}

func (p *Peers) selfMember() Member {
	m := Member{
		Name:        p.set.Name,
		Incarnation: p.set.Incarnation,
		Address:     p.set.Address,
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

// at moves the state's time, which never goes back.
func (p *Peers) at(now time.Time) {
	if now.After(p.now) {
		p.now = now
		p.cache.valid = false
	}
}

func (p *Peers) fresh(t time.Time) bool {
	return !t.IsZero() && p.now.Sub(t) <= LiveTerm
}

// Leave marks this node as shutting down. It keeps answering, but relays no
// more and is no longer part of Local on any node.
func (p *Peers) Leave() {
	p.leaving = true
	p.cache.valid = false
	p.publish()
}

// PollsFail tells whether this node's own polls of the platform fail.
func (p *Peers) PollsFail(failing bool) {
	p.polls = failing
}

// ListDue reports whether the platform's list of VMs should be read now. Only
// relays and nodes that hear no relay need it.
func (p *Peers) ListDue(now time.Time) bool {
	p.at(now)
	switch {
	case p.lists == 0:
		return true
	case now.Sub(p.listedAt) < listFast:
		return false
	case !p.connected():
		return now.Sub(p.listedAt) >= min(listFast<<min(p.lists-1, 5), listEvery)
	case p.IsRelay():
		return now.Sub(p.listedAt) >= listEvery
	}
	return false
}

// List takes the platform's list of the VMs of entry processes. The addresses
// are those of their control ports. The list is a hint: it may be late or wrong.
func (p *Peers) List(now time.Time, vms []store.VM) {
	p.at(now)
	p.listedAt = now
	p.lists++
	if p.connected() {
		p.lists = 1
	}
	p.hints = slices.Clone(vms)
	for _, vm := range vms {
		if vm.Domain != "" && p.kept(vm.Domain) {
			p.domain(vm.Domain)
		}
	}
}

// KeepDomains takes the domains that the configuration has. Others are dropped.
func (p *Peers) KeepDomains(names []string) {
	p.keep = map[string]bool{
		p.set.Domain: true,
	}
	for _, name := range names {
		p.keep[name] = true
	}
	drop := func(name string) bool { return !p.keep[name] }
	maps.DeleteFunc(p.domains, func(name string, _ *domain) bool { return drop(name) })
	maps.DeleteFunc(p.want, func(name string, _ bool) bool { return drop(name) })
	p.rehash()
}

func (p *Peers) kept(domain string) bool {
	return p.keep == nil || p.keep[domain]
}

// snap brings the snapshot up to date. The relays and the ring are worked out
// again only when a member changed.
func (p *Peers) snap() *snapshot {
	c := &p.cache
	if c.valid {
		return c
	}
	c.valid = true
	var views []*view
	for _, v := range p.views {
		if v.domain == p.set.Domain && p.fresh(v.heard) {
			views = append(views, v)
		}
	}
	vouched := func(id Process) bool {
		return slices.ContainsFunc(views, func(v *view) bool { return v.members[id] })
	}
	members := make([]Member, 0, len(p.procs)+1)
	members = append(members, p.selfMember())
	for id, pr := range p.procs {
		switch {
		case !pr.died.IsZero():
			pr.state = Dead
		case p.fresh(pr.direct) || vouched(id):
			pr.state = pr.State
		default:
			pr.state = Gone
		}
		m := pr.Member
		m.State = pr.state
		members = append(members, m)
	}
	sortMembers(members)
	if !slices.Equal(members, c.members) {
		c.members = members
		c.relays = relaysOf(p.set.Domain, members)
		c.successors = successorsOf(p.self(), members)
	}
	return c
}

// Members returns the own domain's processes, with the silent and dead ones.
func (p *Peers) Members() []Member {
	return slices.Clone(p.snap().members)
}

// Local returns the names of the own domain's live nodes that are not leaving.
func (p *Peers) Local() []string {
	var out []string
	for _, m := range p.snap().members {
		if m.State == Live && !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// Lookup finds the live process of a node in the own domain, or the listed one
// in another.
func (p *Peers) Lookup(domain, name string) (Peer, bool) {
	members := p.Members()
	if domain != p.set.Domain {
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
	if domain == p.set.Domain {
		members = p.snap().relays
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
		// Of two processes of a node, the last in order is the newer one.
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

// IsRelay reports whether this node relays for its domain.
func (p *Peers) IsRelay() bool {
	return slices.ContainsFunc(p.snap().relays, func(m Member) bool { return m.Process() == p.self() })
}

// Connected reports whether this node hears another one of its domain.
func (p *Peers) Connected(now time.Time) bool {
	p.at(now)
	return p.connected()
}

func (p *Peers) connected() bool {
	for _, v := range p.views {
		if v.domain == p.set.Domain && p.fresh(v.heard) {
			return true
		}
	}
	return false
}

// DomainState describes a domain.
type DomainState struct {
	Name    string
	Version uint64
	Members []Member
	Relays  []Peer
	// Heard is when this node last exchanged with the domain; it is zero on
	// nodes that leave this to the relays.
	Heard time.Time
}

// Domains returns what is known of each domain, in the order of names.
func (p *Peers) Domains() []DomainState {
	var out []DomainState
	for _, name := range slices.Sorted(maps.Keys(p.domains)) {
		d := p.domains[name]
		s := DomainState{
			Name:    name,
			Version: d.list.Version,
			Members: slices.Clone(d.list.Members),
			Relays:  p.Relays(name),
			Heard:   d.heard,
		}
		if name == p.set.Domain {
			s.Members = p.Members()
			s.Heard = p.now
		}
		out = append(out, s)
	}
	return out
}

// DeadIncarnations returns the own domain's processes that are proved dead.
func (p *Peers) DeadIncarnations() []Process {
	var out []Process
	for id, pr := range p.procs {
		if !pr.died.IsZero() {
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
	return ok && !pr.died.IsZero()
}

// publish brings the view that this node reports up to date: only what it
// heard itself, because evidence passed on in circles would never expire.
func (p *Peers) publish() {
	p.report(p.selfMember())
	for id, pr := range p.procs {
		m := pr.Member
		switch {
		case !pr.died.IsZero():
			m.State = Dead
		case !p.fresh(pr.direct):
			p.retract(id)
			continue
		}
		p.report(m)
	}
	if drop := len(p.log) - maxLog; drop > 0 {
		p.logStart = p.log[drop-1].version
		p.log = slices.Delete(p.log, 0, drop)
	}
}

func (p *Peers) report(m Member) {
	if p.published[m.Process()] == m {
		return
	}
	p.published[m.Process()] = m
	p.version++
	p.log = append(p.log, change{
		version: p.version,
		member:  m,
	})
}

func (p *Peers) retract(id Process) {
	if _, ok := p.published[id]; !ok {
		return
	}
	delete(p.published, id)
	p.version++
	p.log = append(p.log, change{
		version: p.version,
		member: Member{
			Name:        id.Name,
			Incarnation: id.Incarnation,
			State:       Gone,
		},
	})
}

// since returns the changes after a version, the last of each process.
func (p *Peers) since(version uint64) []Member {
	last := map[Process]Member{}
	for _, c := range p.log {
		if c.version > version {
			last[c.member.Process()] = c.member
		}
	}
	return sorted(maps.Values(last))
}

func sorted(seq func(func(Member) bool)) []Member {
	out := slices.Collect(seq)
	sortMembers(out)
	return out
}

// rehash brings the digest of all lists up to date.
func (p *Peers) rehash() {
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
	p.fleet = uint32(d.Sum64())
}

// adopt takes a list that replaces the one held.
func (p *Peers) adopt(l List) {
	delete(p.want, l.Domain)
	if !p.kept(l.Domain) {
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
	d.index = 0
	p.rehash()
}

// author publishes the own domain's list when this node is its first relay. A
// second relay does not, so that two views do not replace each other, and a
// starting node first hears who else is there.
func (p *Peers) author() {
	relays := p.snap().relays
	if len(relays) == 0 || relays[0].Process() != p.self() || p.now.Sub(p.started) < LiveTerm || p.now.Sub(p.authorAt) < authorEvery {
		return
	}
	members := slices.DeleteFunc(p.Members(), func(m Member) bool {
		return m.State != Live && m.State != Leaving
	})
	d := p.domain(p.set.Domain)
	if slices.Equal(members, d.list.Members) {
		return
	}
	p.authorAt = p.now
	p.adopt(List{
		Domain:  p.set.Domain,
		Version: d.list.Version + 1,
		Members: members,
	})
}

// expire drops what is no longer needed.
func (p *Peers) expire() {
	if p.now.Before(p.expireAt) {
		return
	}
	p.expireAt = p.now.Add(time.Second)
	p.snap()
	for id, pr := range p.procs {
		if pr.state == Live || pr.state == Leaving {
			pr.seen = p.now
		}
		if p.now.Sub(pr.seen) > Forget && p.now.Sub(pr.died) > Forget {
			delete(p.procs, id)
			p.retract(id)
			p.cache.valid = false
		}
	}
	maps.DeleteFunc(p.pace, func(_ string, pc *pace) bool { return p.now.Sub(pc.used) > paceTerm })
	maps.DeleteFunc(p.foreign, func(_ Process, f foreigner) bool { return p.now.Sub(f.heard) > paceTerm })
	for address, v := range p.views {
		if p.now.Sub(v.heard) > 10*LiveTerm {
			delete(p.views, address)
		}
	}
}
