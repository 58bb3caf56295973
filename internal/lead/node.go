package lead

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/steer"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	// exchangeEvery is the time between two exchanges with the coordinator. At
	// more than exchangeNodes nodes it grows with their number, so that the
	// coordinator's work does not.
	exchangeEvery = 250 * time.Millisecond
	exchangeNodes = 24
	// exchangeMost bounds it: a node that is silent for longer counts as lost.
	exchangeMost = 450 * time.Millisecond
	// paceEvery is how often a node tells the paces of engines.
	paceEvery = 2 * time.Second
	// deputies is how many nodes read the store and compete for the lease while
	// the coordinator answers but the store does not answer it.
	deputies = 3
	// fullCapacity is the part of a core from which a node can coordinate a large
	// fleet: the work takes 0.28 of a core with 74 nodes and 95 endpoints. Smaller
	// nodes wait up to startDelay before they compete for the first time.
	fullCapacity = 0.4
	startDelay   = 800 * time.Millisecond
	// electLater is in how many lease terms the other nodes compete when the
	// coordinator does not answer.
	electLater = 2
	// exchangeTimeout is when an exchange counts as lost.
	exchangeTimeout = 400 * time.Millisecond
	// kickPause is the least time between two exchanges that are sent early.
	kickPause = 5 * time.Millisecond
	// electEvery is how often the lease is looked at.
	electEvery = 100 * time.Millisecond
	// electTimeout bounds one call to the store for the lease.
	electTimeout = 700 * time.Millisecond
	// relayAge is when a node reads the store itself because it has not heard of
	// it from the coordinator, and relayStore how old the coordinator's own view
	// may be: a little more than its longest wait for a change.
	relayAge   = 600 * time.Millisecond
	relayStore = 1300 * time.Millisecond
	// competeAfter is how long the store must have answered a node before it
	// competes with a coordinator that answers but did not renew its lease. The
	// coordinator itself renews sooner once the store answers it.
	competeAfter = 900 * time.Millisecond
	// gossipEvery is how often another node is asked while there is no
	// coordinator, or the store does not answer.
	gossipEvery = 400 * time.Millisecond
)

// leaseKey is the key of the coordinator's lease.
const leaseKey = "coordinator"

// Options are what a Node works with.
type Options struct {
	Node        string
	Address     string
	Domain      string
	Incarnation string
	Clock       clock.Clock
	Log         *slog.Logger
	Rows        store.Table
	Peers       Peers
	Engines     Engines
	Table       *steer.Table
	// Capacity is this node's part of a core. Larger nodes coordinate.
	Capacity float64
	// Seeds are addresses of nodes that may be there.
	Seeds []string
	// Decode reads a configuration.
	Decode func(raw []byte) (*fleet.Config, error)
	// Server gets configurations and the number of nodes.
	Server *serve.Server
	// LeaseTerm is how long the coordinator's lease holds, LeaseWait how long a
	// new coordinator waits before its first order.
	LeaseTerm time.Duration
	LeaseWait time.Duration
	// QuotaHead is what a new coordinator may issue at once for each workspace,
	// QuotaSpare what nodes without contact may save up in all.
	QuotaHead  float64
	QuotaSpare float64
}

// Node joins one process to the fleet.
type Node struct {
	opts  Options
	Desk  *Desk
	usage *usage
	coord *Coordinator
	kick  chan struct{}

	mu       sync.Mutex
	doc      Document
	registry *fleet.Registry
	silent   bool // the store does not answer this node
	leader   string
	// since is the version of the lease's row from which leader is known. What
	// follows from an older row is ignored.
	since   int64
	holds   bool
	members []Member
	touched time.Time // last answer of the coordinator
	leaving bool
	// seen is when the store last answered each reader of this node, and
	// answering since when it does.
	seen      [readers]time.Time
	answering time.Time
	// relayed is when the coordinator's view of the store was last as new as
	// this node's own would be.
	relayed time.Time
	// heard is the lease as the coordinator told it; own is this node's view.
	heard *LeaseRow
	own   *LeaseRow
	lost  bool // the coordinator did not answer
	// deputy tells that this node is one of the deputies.
	deputy bool
	// confirmed is when the store last confirmed what this node knows, by its own
	// reads or by those of a node that it heard.
	confirmed time.Time
	// term and seq name the last answer of the coordinator, numbers the engines
	// in it.
	term    int64
	seq     int64
	engines map[int]*EngineState
	paced   time.Time
}

// Reader names what reads a table of the store.
type Reader int

// The readers of the store.
const (
	ConfigReader Reader = iota
	EndpointReader
	readers
)

// New returns a Node that has read nothing.
func New(o Options) *Node {
	n := &Node{
		opts:     o,
		usage:    newUsage(),
		coord:    newCoordinator(o),
		kick:     make(chan struct{}, 1),
		registry: fleet.NewRegistry(),
		deputy:   true,
		engines:  make(map[int]*EngineState),
	}
	n.Desk = NewDesk(o.Clock, n.kick, o.QuotaSpare)
	return n
}

// Run takes part in the fleet until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.coord.run, n.elect, n.exchange, n.gossip, n.expire} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// SetDocument takes over a configuration. It reports an error for one that
// cannot be used; the one in force stays.
func (n *Node) SetDocument(ctx context.Context, raw []byte, source string) error {
	config, err := n.opts.Decode(raw)
	if err != nil {
		return err
	}
	if !n.opts.Server.SetConfig(config) {
		return nil
	}
	n.mu.Lock()
	if config.Version > n.doc.Version {
		n.doc = Document{
			Version: config.Version,
			Raw:     raw,
		}
	}
	n.mu.Unlock()
	n.Desk.SetConfig(config)
	n.coord.post(ctx, configChanged{
		config: config,
	})
	n.opts.Log.Info("configuration in force", "config", config.Version, "routes", len(config.Routes),
		"workspaces", len(config.Workspaces), "source", source)
	return nil
}

// SetEndpoints takes over changes of the endpoints' entries from the store.
func (n *Node) SetEndpoints(ctx context.Context, changes []fleet.Change, version int64, complete bool) {
	n.mu.Lock()
	changed := n.registry.Apply(n.opts.Clock.Now(), changes, version, complete)
	list := n.registry.List()
	n.mu.Unlock()
	if changed {
		n.spreadList(ctx, list, "store")
	}
}

// spreadList hands a list of endpoints to all who use it.
func (n *Node) spreadList(ctx context.Context, list []fleet.Endpoint, source string) {
	added, removed, leaving := n.opts.Table.SetEndpoints(list)
	if len(added)+len(removed)+len(leaving) > 0 {
		n.opts.Log.Info("endpoints changed", "source", source, "added", added, "removed", removed, "leaving", leaving,
			"endpoints", len(list))
	}
	n.coord.post(ctx, endpointsChanged{
		list: list,
	})
}

// SetStore tells whether the store answers this node.
func (n *Node) SetStore(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = err != nil
	if err == nil {
		n.registry.Recovered(n.opts.Clock.Now())
	} else {
		n.answering = time.Time{}
	}
}

// StoreSeen notes an answer of the store.
func (n *Node) StoreSeen(r Reader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	if n.answering.IsZero() || now.Sub(n.seen[r]) > relayStore {
		n.answering = now
	}
	n.seen[r] = now
}

// storeAge is how long ago the store last answered all readers. The lock is held.
func (n *Node) storeAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, at := range n.seen {
		age = max(age, now.Sub(at))
	}
	return age
}

// Relayed reports whether the coordinator reads the store for this node.
func (n *Node) Relayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.holds && !n.relayed.IsZero() && n.opts.Clock.Now().Sub(n.relayed) < relayAge
}

// expire drops endpoints whose entries did not come back after an outage.
func (n *Node) expire(ctx context.Context) {
	for wait(ctx, gossipEvery) {
		n.mu.Lock()
		changed := n.registry.Expire(n.opts.Clock.Now())
		list := n.registry.List()
		n.mu.Unlock()
		if changed {
			n.spreadList(ctx, list, "not back after an outage")
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Stop gives the lease back. The node goes on to admit and serve requests.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Leave tells the coordinator that this node admits no more requests, so that
// its fraction of the rates is free at once.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	address, own := n.leader, n.holds
	n.mu.Unlock()
	if address == "" || own {
		return
	}
	x := n.message(n.opts.Clock.Now())
	x.Draws, x.Leaving = nil, true
	if _, err := n.ask(ctx, address, false, x); err != nil {
		n.opts.Log.Info("coordinator not told of the end", "error", err.Error())
	}
}

// elect takes part in the election of the coordinator.
func (n *Node) elect(ctx context.Context) {
	k := lease.NewKeeper(n.opts.Rows, n.opts.Clock, lease.Settings{
		Key:         leaseKey,
		Holder:      n.opts.Address,
		Incarnation: n.opts.Address + "/" + n.opts.Incarnation,
		Term:        n.opts.LeaseTerm,
		Renew:       n.opts.LeaseTerm / 3,
		Reclaim:     true,
		Note:        n.note,
	})
	e := election{
		Node: n,
		k:    k,
	}
	if !wait(ctx, n.startDelay()) {
		return
	}
	for {
		e.step(ctx)
		if !wait(ctx, electEvery) {
			return
		}
	}
}

// startDelay lets larger nodes that start at the same time coordinate.
func (n *Node) startDelay() time.Duration {
	small := max(0, fullCapacity-n.opts.Capacity) / fullCapacity
	return time.Duration(small * float64(startDelay))
}

// election is this node's part in the election.
type election struct {
	*Node
	k      *lease.Keeper
	tenure Tenure
	noted  bool // the note of the first row was read
	valid  bool // the coordinator held the lease when it last told of it
	failed bool
}

func (e *election) step(ctx context.Context) {
	now := e.opts.Clock.Now()
	competes := e.prepare(now)
	held := !e.tenure.Until.IsZero()
	event := lease.EventNone
	if competes && e.k.Next(now).Kind != lease.OpNone {
		bounded, cancel := context.WithTimeout(ctx, electTimeout)
		ev, err := e.k.Step(bounded, e.opts.Clock.Now())
		cancel()
		event = ev.Kind
		e.report(err)
	}
	until := e.k.Until()
	switch {
	case !until.IsZero() && !held:
		former, _, _ := strings.Cut(e.k.Former(), "/")
		e.tenure = Tenure{
			Since:  e.k.Since(),
			Fence:  e.k.Epoch(),
			First:  former == "",
			Former: former,
		}
		if former != "" && former != e.opts.Address {
			go e.askHandover(ctx, e.tenure)
		}
	case until.IsZero() && held:
		e.opts.Log.Info("lease ended", "event", string(event), "holder", e.k.Holder())
	}
	e.tenure.Until = until
	e.readNote(ctx)
	e.coord.post(ctx, tenureChanged{
		tenure: e.tenure,
	})
	now = e.opts.Clock.Now()
	e.mu.Lock()
	e.own = nil
	if row, ok := e.k.Row(); ok {
		e.own = &LeaseRow{
			Value:   row.Value,
			Version: row.Version,
			Valid:   e.k.Valid(now),
		}
	}
	e.mu.Unlock()
	if row, ok := e.k.Row(); ok {
		e.setLeader(e.k.Holder(), !until.IsZero(), row.Version)
	}
}

// handoverTries is how often the former holder is asked to resign.
const handoverTries = 3

// askHandover asks the former holder to resign, so that this node need not wait
// for orders that the other may still have given.
func (n *Node) askHandover(ctx context.Context, t Tenure) {
	for range handoverTries {
		sent := n.opts.Clock.Now()
		x := n.message(sent)
		x.Draws, x.Resign = nil, t.Fence
		r, err := n.ask(ctx, t.Former, false, x)
		if err == nil && r.Handover != nil {
			// Counted from the answer, which is later than the other's clock.
			n.coord.post(ctx, handedOver{
				fence:    t.Fence,
				at:       n.opts.Clock.Now(),
				handover: r.Handover,
			})
			return
		}
		if !wait(ctx, exchangeEvery) {
			return
		}
	}
	n.opts.Log.Warn("former coordinator did not resign", "former", t.Former, "fence", t.Fence)
}

// prepare takes over what was heard, and reports whether to use the store.
func (e *election) prepare(now time.Time) bool {
	e.mu.Lock()
	leaving, heard, lost, deputy := e.leaving, e.heard, e.lost, e.deputy
	touch := now.Sub(e.touched) < relayAge
	answering := !e.answering.IsZero() && now.Sub(e.answering) > competeAfter && e.storeAge(now) < relayStore
	e.heard, e.lost = nil, false
	e.mu.Unlock()
	if leaving {
		if !e.k.Released() {
			e.k.Release()
		}
		return true
	}
	if !e.k.Until().IsZero() {
		return true
	}
	if heard != nil {
		e.valid = heard.Valid
	}
	if heard != nil && heard.Valid {
		row := store.Row{
			Key:     leaseKey,
			Value:   heard.Value,
			Version: heard.Version,
		}
		if _, err := e.k.Heard(now, row); err != nil {
			e.opts.Log.Warn("lease of the coordinator not readable", "error", err.Error())
		}
	}
	if lost {
		e.k.Recheck()
	}
	if touch {
		return !e.valid && answering
	}
	return deputy || e.opts.Clock.Now().Sub(e.touched) > electLater*e.opts.LeaseTerm
}

func (e *election) report(err error) {
	if failed := err != nil; failed != e.failed {
		e.failed = failed
		if failed {
			e.opts.Log.Warn("lease not reached", "error", err.Error())
		} else {
			e.opts.Log.Info("lease reached again", "holder", e.k.Holder())
		}
	}
}

// readNote learns the members from the first row that is seen: a process that
// starts while there is no coordinator knows its fraction from it.
func (e *election) readNote(ctx context.Context) {
	note := e.k.Note()
	if e.noted || len(note) == 0 {
		return
	}
	e.noted = true
	var members []Member
	if err := cbor.Unmarshal(note, &members); err != nil {
		e.opts.Log.Warn("note of the lease not readable", "error", err.Error())
		return
	}
	e.know(ctx, members)
	for _, m := range members {
		if m.Node == e.opts.Node {
			e.Desk.setFraction(m.Fraction)
		}
	}
}

// note is what a coordinator leaves to its successors: the members.
func (n *Node) note() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := cbor.Marshal(n.members)
	if err != nil {
		// Members have only strings and numbers, which always encode.
		panic("lead: encode members: " + err.Error())
	}
	return b
}

// setLeader takes over who holds the lease, as of a version of its row.
func (n *Node) setLeader(address string, own bool, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version < n.since {
		return
	}
	n.since, n.holds = version, own
	if address == "" || address == n.leader {
		return
	}
	n.opts.Log.Info("coordinator known", "address", address, "before", n.leader, "version", version)
	n.leader = address
	n.hurry()
}

// hurry has the next exchange begin at once.
func (n *Node) hurry() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// exchange talks to the coordinator, at intervals and when tokens are needed.
func (n *Node) exchange(ctx context.Context) {
	lost := false
	brief := false
	var full time.Time // when the next full exchange is due
	for {
		began := n.opts.Clock.Now()
		err := n.exchangeOnce(ctx, brief)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.mu.Lock()
			n.lost = true
			n.mu.Unlock()
		}
		if (err != nil) != lost {
			lost = err != nil
			if lost {
				n.opts.Log.Warn("coordinator not reached", "error", err.Error())
			} else {
				n.opts.Log.Info("coordinator reached")
			}
		}
		if !brief {
			full = began.Add(n.interval())
		}
		if !wait(ctx, kickPause) {
			return
		}
		t := time.NewTimer(full.Sub(n.opts.Clock.Now()))
		select {
		case <-t.C:
			brief = false
		case <-n.kick:
			brief = n.opts.Clock.Now().Before(full) && err == nil
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(exchangeMost, exchangeEvery*time.Duration(max(1, len(n.members)/exchangeNodes)))
}

var errNoCoordinator = errors.New("lead: no coordinator is known")

// exchangeOnce talks to the coordinator. A brief exchange is about tokens only.
func (n *Node) exchangeOnce(ctx context.Context, brief bool) error {
	n.mu.Lock()
	address := n.leader
	own := n.holds
	n.mu.Unlock()
	if address == "" {
		return errNoCoordinator
	}
	sent := n.opts.Clock.Now()
	x := n.message(sent)
	x.Brief = brief
	n.usage.fill(x)
	if !brief {
		n.addPaces(sent, x)
	}
	r, err := n.ask(ctx, address, own, x)
	if err != nil {
		return err
	}
	n.take(ctx, sent, r, "coordinator")
	if !r.Coordinator {
		n.follow(r)
		return errNoCoordinator
	}
	n.mu.Lock()
	n.touched = sent
	if r.Lease != nil {
		n.heard = r.Lease
	}
	// Deputies read the store themselves while it does not answer the coordinator.
	if r.StoreAge < relayStore || r.ViewAge < relayStore && !n.deputy {
		n.relayed = sent
	}
	n.mu.Unlock()
	n.Desk.receive(sent, r.Loans, r.Fraction)
	return n.push(ctx, address, own, r)
}

// follow takes over whom another node follows, if it knows of a newer holder.
func (n *Node) follow(r *Reply) {
	n.mu.Lock()
	newer := r.Leader != "" && r.Leader != n.leader && r.Since > n.since
	n.mu.Unlock()
	if newer {
		n.setLeader(r.Leader, false, r.Since)
	}
}

// push gives the other side what it lacks.
func (n *Node) push(ctx context.Context, address string, own bool, r *Reply) error {
	n.mu.Lock()
	x := &Exchange{}
	if r.ConfigVersion < n.doc.Version {
		doc := n.doc
		x.Config = &doc
	}
	if r.ListingFrom < n.registry.Version() {
		x.Listing = n.listing()
	}
	n.mu.Unlock()
	if own || x.Config == nil && x.Listing == nil {
		return nil
	}
	sent := n.opts.Clock.Now()
	y := n.message(sent)
	y.Config, y.Listing = x.Config, x.Listing
	_, err := n.ask(ctx, address, own, y)
	return err
}

// message returns what every exchange says.
func (n *Node) message(now time.Time) *Exchange {
	draws := n.Desk.draws(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Exchange{
		Node:          n.opts.Node,
		Address:       n.opts.Address,
		Domain:        n.opts.Domain,
		Incarnation:   n.opts.Incarnation,
		ConfigVersion: n.doc.Version,
		ListingFrom:   n.registry.Version(),
		Draws:         draws,
		Term:          n.term,
		Seq:           n.seq,
		Capacity:      n.opts.Capacity,
		StoreAge:      n.storeAge(now),
	}
}

// addPaces tells what this node has learned of the engines, now and then.
func (n *Node) addPaces(now time.Time, x *Exchange) {
	n.mu.Lock()
	due := now.Sub(n.paced) > paceEvery
	if due {
		n.paced = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for key, pace := range n.opts.Table.Paces() {
		x.Paces = append(x.Paces, Pace{
			Key:  key,
			Pace: pace,
		})
	}
}

// listing returns the endpoints for another node. The lock is held.
func (n *Node) listing() *Listing {
	return &Listing{
		Version: n.registry.Version(),
		Entries: n.registry.Changes(),
	}
}

func (n *Node) ask(ctx context.Context, address string, own bool, x *Exchange) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if own {
		return n.HandleExchange(ctx, x)
	}
	r, err := n.opts.Peers.Exchange(ctx, address, x)
	if err != nil && ctx.Err() != nil {
		// The connection may have fallen silent for good.
		n.opts.Peers.Forget(address)
	}
	return r, err
}

// take takes over what another node told.
func (n *Node) take(ctx context.Context, sent time.Time, r *Reply, source string) {
	if r.Config != nil {
		if err := n.SetDocument(ctx, r.Config.Raw, source); err != nil {
			n.opts.Log.Warn("configuration of another node not usable", "config", r.Config.Version, "error", err.Error())
		}
	}
	n.takeListing(ctx, r.Listing, source)
	n.know(ctx, r.Members)
	if !r.Coordinator || r.Seq == 0 {
		return
	}
	n.takeReports(sent, r)
	closing := make(map[fleet.Key][]string, len(r.Closing))
	for _, c := range r.Closing {
		closing[c.Key] = c.Models
	}
	n.opts.Table.SetClosing(closing)
}

// takeReports takes over the engines' loads from a full answer.
func (n *Node) takeReports(sent time.Time, r *Reply) {
	n.mu.Lock()
	if r.Term != n.term {
		clear(n.engines)
	}
	n.term, n.seq = r.Term, r.Seq
	reports := make([]fleet.Report, 0, len(r.Reports))
	ages := make([]time.Duration, 0, len(r.Reports))
	for _, l := range r.Reports {
		if l.State != nil {
			n.engines[l.Engine] = l.State
		}
		s := n.engines[l.Engine]
		if s == nil {
			continue
		}
		reports = append(reports, fleet.Report{
			Key:        s.Key,
			Models:     s.Models,
			Orders:     s.Orders,
			CacheTotal: s.CacheTotal,
			Busy:       l.Busy,
			Active:     l.Active,
			Queued:     l.Queued,
			CacheUsed:  l.CacheUsed,
		})
		ages = append(ages, l.Age)
	}
	n.mu.Unlock()
	for i, rep := range reports {
		n.opts.Table.SetReport(sent.Add(-ages[i]), rep)
	}
}

// know takes over the members of the fleet.
func (n *Node) know(ctx context.Context, members []Member) {
	if len(members) == 0 {
		return
	}
	n.mu.Lock()
	n.members = members
	n.deputy = slices.Contains(deputiesOf(members), n.opts.Node)
	n.mu.Unlock()
	n.coord.post(ctx, membersKnown{
		list: members,
	})
	n.opts.Server.SetNodes(len(members))
	n.opts.Table.SetNodes(len(members))
}

// deputiesOf names the members that stand in for the coordinator: the largest
// ones, and among equals the first by rendezvous hashing.
func deputiesOf(members []Member) []string {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		if a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		return cmp.Compare(rank.Score(leaseKey, b.Node), rank.Score(leaseKey, a.Node))
	})
	var out []string
	for _, m := range order[:min(deputies, len(order))] {
		out = append(out, m.Node)
	}
	return out
}

func (n *Node) takeListing(ctx context.Context, l *Listing, source string) {
	if l == nil {
		return
	}
	n.mu.Lock()
	if l.Version <= n.registry.Version() {
		n.mu.Unlock()
		return
	}
	n.registry.Apply(n.opts.Clock.Now(), l.Entries, l.Version, true)
	list := n.registry.List()
	n.mu.Unlock()
	n.spreadList(ctx, list, source)
}

// HandleExchange answers an exchange of another node, or of this one.
func (n *Node) HandleExchange(ctx context.Context, x *Exchange) (*Reply, error) {
	if x.Config != nil {
		if err := n.SetDocument(ctx, x.Config.Raw, x.Node); err != nil {
			n.opts.Log.Warn("configuration of another node not usable", "config", x.Config.Version, "error", err.Error())
		}
	}
	n.takeListing(ctx, x.Listing, x.Node)
	reply := make(chan Reply, 1)
	n.coord.post(ctx, exchanged{
		x:     x,
		reply: reply,
	})
	var r Reply
	select {
	case r = <-reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Handover != nil && x.Resign > n.since {
		n.leader, n.since, n.holds = x.Address, x.Resign, false
	}
	r.Leader, r.Since = n.leader, n.since
	if !r.Coordinator {
		r.Members = n.members
	}
	now := n.opts.Clock.Now()
	if x.ConfigVersion <= n.doc.Version && x.ListingFrom <= n.registry.Version() {
		// The sender's reads of the store confirm what this node knows.
		if at := now.Add(-x.StoreAge); at.After(n.confirmed) {
			n.confirmed = at
		}
	}
	r.ConfigVersion = n.doc.Version
	if x.ConfigVersion < n.doc.Version {
		doc := n.doc
		r.Config = &doc
	}
	r.ListingFrom = n.registry.Version()
	if x.ListingFrom < n.registry.Version() {
		r.Listing = n.listing()
	}
	r.StoreAge = n.storeAge(now)
	r.ViewAge = min(r.StoreAge, now.Sub(n.confirmed))
	if !x.Brief {
		r.Lease = n.own
	}
	return &r, nil
}

// HandleFetch answers a request for an adapter.
func (n *Node) HandleFetch(ctx context.Context, f *Fetch) (*Fetched, error) {
	reply := make(chan Fetched, 1)
	n.coord.post(ctx, &fetch{
		Fetch: *f,
		reply: reply,
	})
	select {
	case r := <-reply:
		return &r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// gossip asks another node while the store or the coordinator is silent, so
// that configurations and withdrawn keys still arrive.
func (n *Node) gossip(ctx context.Context) {
	for wait(ctx, gossipEvery) {
		n.mu.Lock()
		lost := n.opts.Clock.Now().Sub(n.touched) > 2*exchangeTimeout
		needed := lost || n.doc.Version == 0 || n.silent
		var others []string
		for _, m := range n.members {
			if m.Address != n.opts.Address {
				others = append(others, m.Address)
			}
		}
		own := n.holds
		n.mu.Unlock()
		if own && !needed {
			continue
		}
		if !needed {
			continue
		}
		for _, s := range n.opts.Seeds {
			if s != n.opts.Address {
				others = append(others, s)
			}
		}
		if len(others) == 0 {
			continue
		}
		n.gossipWith(ctx, others[rand.IntN(len(others))])
	}
}

func (n *Node) gossipWith(ctx context.Context, address string) {
	sent := n.opts.Clock.Now()
	x := n.message(sent)
	x.Draws = nil
	r, err := n.ask(ctx, address, false, x)
	if err != nil {
		return
	}
	n.take(ctx, sent, r, address)
	if err := n.push(ctx, address, false, r); err != nil {
		n.opts.Log.Info("node not reached", "address", address, "error", err.Error())
	}
	n.follow(r)
	for _, m := range r.Members {
		if m.Node == n.opts.Node {
			n.Desk.setFraction(m.Fraction)
		}
	}
}

// Coordinates reports whether this node is the coordinator.
func (n *Node) Coordinates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds
}

// CoordinatorAge is how long ago the coordinator last answered this node.
func (n *Node) CoordinatorAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts.Clock.Now().Sub(n.touched)
}

// StoreAge is how long ago the store last answered this node itself.
func (n *Node) StoreAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeAge(n.opts.Clock.Now())
}

// Ready reports whether this node can serve requests.
func (n *Node) Ready() bool {
	return n.opts.Server.Config() != nil && n.opts.Table.Healthy(n.opts.Clock.Now())
}

// Arrived implements serve.Demand.
func (n *Node) Arrived(service, model, _ string, tokens float64) {
	n.usage.arrived(service, model, tokens)
}

// Wait implements serve.Demand. The coordinator is told at once.
func (n *Node) Wait(service, model string) (done func()) {
	done = n.usage.wait(service, model)
	n.hurry()
	return done
}

// Running implements serve.Demand.
func (n *Node) Running(key fleet.Key, model, adapter string) (done func()) {
	return n.usage.run(key, model, adapter)
}

// FetchAdapter implements serve.Demand.
func (n *Node) FetchAdapter(ctx context.Context, e fleet.Endpoint, model, adapter string) error {
	n.mu.Lock()
	address, own := n.leader, n.holds
	n.mu.Unlock()
	f := &Fetch{
		Key:     e.Key(),
		Model:   model,
		Adapter: adapter,
	}
	var r *Fetched
	var err error
	switch {
	case own:
		r, err = n.HandleFetch(ctx, f)
	case address == "":
		return errNoCoordinator
	default:
		r, err = n.opts.Peers.Fetch(ctx, address, f)
	}
	if err != nil {
		return err
	}
	if r.Problem != "" {
		return errors.New("lead: " + r.Problem)
	}
	return nil
}
