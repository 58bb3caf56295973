package lead

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
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
	// startMore is how much longer they wait before they read the store: by then
	// they have asked a node that has.
	startMore = 300 * time.Millisecond
	// handOverAfter is how long a small coordinator has held the lease before it
	// leaves it to a large node.
	handOverAfter = 3 * time.Second
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
	// relayAge is when the coordinator counts as silent, and relayStore how old
	// its own view of the store may be: a little more than its longest wait for a
	// change.
	relayAge   = 600 * time.Millisecond
	relayStore = 1300 * time.Millisecond
	// viewMost is how old a node's view of the store may be before it reads the
	// store itself. An endpoint that leaves must get nothing new after 2 s.
	viewMost = 1600 * time.Millisecond
	// gossipAfter is when a node that has not heard of the store from the
	// coordinator asks a deputy.
	gossipAfter = 550 * time.Millisecond
	// competeAfter is how long the store must have answered a node before it
	// competes with a coordinator that answers but did not renew its lease. The
	// coordinator itself renews sooner once the store answers it.
	competeAfter = 900 * time.Millisecond
	// gossipEvery is how often another node is asked while there is no
	// coordinator, or the store does not answer. Every second time it is a deputy.
	gossipEvery = 200 * time.Millisecond
	// expireEvery is how often entries that did not come back are looked for.
	expireEvery = 400 * time.Millisecond
)

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
	since int64
	holds bool
	// ordersFrom is when this node as the coordinator may give its first order.
	ordersFrom time.Time
	members    []Member
	// membersAs is how new they are.
	membersAs MembersVersion
	touched   time.Time // last answer of the coordinator
	leaving   bool
	// seen is when the store last answered each reader of this node, and
	// answering since when it does.
	seen      [readers]time.Time
	answering time.Time
	// viewed is the time of the newest view of the store that other nodes told,
	// and relayed when that was.
	viewed  time.Time
	relayed time.Time
	// readsFrom is when a node that has just started reads the store if no other
	// has told it anything. Large nodes read it at once.
	readsFrom time.Time
	// heard is the lease as the coordinator told it; own is this node's view.
	heard *LeaseRow
	own   *LeaseRow
	lost  bool // the coordinator did not answer
	// ended tells that the node that was followed coordinates no more.
	ended bool
	// deputies stand in for the coordinator; deputy tells that this node is one
	// of them.
	deputies []string
	deputy   bool
	// confirmed is when the store last confirmed what this node knows, by its own
	// reads or by those of a node that it heard.
	confirmed time.Time
	// term and seq name the last answer of the coordinator, numbers the engines
	// in it.
	term    int64
	seq     int64
	engines map[int]*EngineState
	paced   time.Time
	seeds   []string
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
		seeds:    o.Seeds,
	}
	if delay := n.startDelay(); delay > 0 {
		n.readsFrom = o.Clock.Now().Add(delay + startMore)
	}
	n.Desk = NewDesk(o.Clock, n.kick, o.QuotaSpare)
	return n
}

// SetSeeds changes the addresses of nodes that may be there.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Run takes part in the fleet until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.coord.run, n.elect, n.exchange, n.gossip, n.expire, n.pool} {
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

// Relayed reports whether another node reads the store for this one. Deputies
// begin to read it as soon as the coordinator is silent.
func (n *Node) Relayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	if n.relayed.IsZero() && now.Before(n.readsFrom) {
		return true
	}
	if n.holds || n.relayed.IsZero() || now.Sub(n.viewed) >= viewMost {
		return false
	}
	return !n.deputy || now.Sub(n.relayed) < relayAge
}

// relay notes how new the view of the store is that another node told in its
// answer to a message. Deputies rely on the coordinator's own reads only. The
// lock is held.
func (n *Node) relay(sent time.Time, r *Reply) {
	age := r.StoreAge
	if !n.deputy {
		age = min(age, r.ViewAge)
	} else if !r.Coordinator {
		return
	}
	if age >= relayStore {
		return
	}
	n.relayed = sent
	if at := sent.Add(-age); at.After(n.viewed) {
		n.viewed = at
	}
}

// expire drops endpoints whose entries did not come back after an outage.
func (n *Node) expire(ctx context.Context) {
	for wait(ctx, expireEvery) {
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
