package coord

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/poison"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	// minExchangeInterval is the time between two full exchanges with the
	// coordinator in a small fleet. Every further membersPerInterval members
	// lengthen it by the same time, which limits the coordinator's load.
	minExchangeInterval = 250 * time.Millisecond
	membersPerInterval  = 24
	// maxExchangeInterval stays below the time after which the coordinator
	// treats a silent node as disconnected.
	maxExchangeInterval = 450 * time.Millisecond
	// paceInterval is how often a node reports the paces of engines.
	paceInterval = 2 * time.Second
	// deputyCount is how many nodes read the store and compete for the lease
	// before all others when the coordinator is silent or cannot renew its lease.
	deputyCount = 3
	// preferredCapacity is the CPU capacity in cores from which a node can
	// coordinate a large fleet: coordinating 74 nodes and 95 endpoints takes 0.28
	// of a core. Smaller nodes wait up to maxStartDelay before they first compete.
	preferredCapacity = 0.4
	maxStartDelay     = 800 * time.Millisecond
	// maxStartSpread is by how much that wait is spread at most: several rounds of
	// gossip, which tell a node who coordinates.
	maxStartSpread = 1500 * time.Millisecond
	// extraReadDelay is how much longer smaller nodes wait before they read the
	// store. By then a node that has read it has usually answered them.
	extraReadDelay = 300 * time.Millisecond
	// handoverDelay is how long a small coordinator holds the lease before it
	// leaves it to a larger node, and how long it then does not compete.
	handoverDelay = 3 * time.Second
	// electionDelayTerms is after how many lease terms without a valid
	// coordinator nodes that are not deputies compete for the lease.
	electionDelayTerms = 2
	// exchangeTimeout limits one exchange with another node.
	exchangeTimeout = 400 * time.Millisecond
	// minExchangePause is the minimum pause between two exchanges, also if the
	// second one is requested early.
	minExchangePause = 5 * time.Millisecond
	// electionInterval is the time between two steps of the election.
	electionInterval = 100 * time.Millisecond
	// leaseCallTimeout limits one call to the store for the lease.
	leaseCallTimeout = 700 * time.Millisecond
	// coordinatorSilentAfter is how long after its last answer the coordinator is
	// treated as silent. maxRelayedStoreAge is how old a view of the store may be
	// when another node relays it: a little more than the longest wait of a
	// reader for a change.
	coordinatorSilentAfter = 600 * time.Millisecond
	maxRelayedStoreAge     = 1300 * time.Millisecond
	// maxStoreViewAge is how old a node's relayed view of the store may become
	// before it reads the store itself. A leaving endpoint must get no new
	// requests after 2 s.
	maxStoreViewAge = 1600 * time.Millisecond
	// gossipAfter is how long a node waits for the coordinator, or for a recent
	// view of the store, before it exchanges messages with other nodes.
	gossipAfter = 550 * time.Millisecond
	// maxConfigWait is how long a node waits for a configuration, beyond the delay at its
	// start by its size, before it competes for the lease without one.
	maxConfigWait = time.Second
	// competeAfter is how long the store must have answered a node before it
	// competes with a coordinator that answers but has not renewed its lease.
	// After an outage of the store the coordinator therefore renews first.
	competeAfter = 900 * time.Millisecond
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = 200 * time.Millisecond
	// expiredAfterBeats is for how many heartbeats the store must have answered nobody
	// before entries can have expired meanwhile: endpoints' entries expire after three
	// without a write, and the last write may be up to one older than the outage.
	expiredAfterBeats = 2
	// expiryInterval is how often endpoints are removed whose entries did not
	// return after an outage of the store.
	expiryInterval = 400 * time.Millisecond
)

// Options configures a Node and provides its dependencies.
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
	Table       *picker.Table
	// Capacity is this node's CPU capacity in cores. Nodes with a larger
	// capacity are preferred as the coordinator.
	Capacity float64
	// Seeds are addresses to try for contact with the fleet; not all of them need
	// to belong to a running node.
	Seeds []string
	// Decode decodes and checks a configuration.
	Decode func(raw []byte) (*fleet.Config, error)
	// Server receives each configuration in force and the number of nodes.
	Server *serve.Server
	// LeaseTerm is how long the coordinator's lease is valid without a renewal,
	// LeaseWait how long a new coordinator waits before its first order.
	LeaseTerm time.Duration
	LeaseWait time.Duration
	// Heartbeat is how often endpoints write their entries.
	Heartbeat time.Duration
	// QuotaInitial is how many tokens a new coordinator may issue at once for each
	// workspace. QuotaDisconnected is how many tokens all nodes that do not reach
	// the coordinator may together save up beyond their fractions.
	QuotaInitial      float64
	QuotaDisconnected float64
	// Parts keeps the evidence against parts of prompts; it may be nil.
	Parts *poison.Tracker
	// Pacer gives places at engines that limit requests; it may be nil.
	Pacer *Pacer
}

// Node is this process's membership in the fleet: it takes part in the election,
// exchanges messages with the coordinator and distributes the configuration and
// endpoints within the process.
type Node struct {
	opts              Options
	Admitter          *Admitter
	Pacer             *Pacer
	usage             *usage
	coord             *Coordinator
	exchangeRequested chan struct{}
	// documentsRequested is signalled when another node holds newer documents.
	documentsRequested chan struct{}
	firstElectionIn    time.Duration // from the start of the node
	// configured is closed when the node has its first configuration.
	configured chan struct{}

	// configMu is held while a configuration is put into force, endpointsMu while the
	// endpoints change. They are locked before mu.
	configMu    sync.Mutex
	endpointsMu sync.Mutex

	mu                 sync.Mutex
	document           Document
	registry           *fleet.Registry
	packedListing      *Listing // as of packedVersion of the registry
	packedVersion      int64
	storeSilent        bool // the store does not answer this node
	coordinatorAddress string
	// leaseVersion is the version of the lease row that names
	// coordinatorAddress. Older rows are ignored.
	leaseVersion  int64
	isCoordinator bool
	// ordersFrom is when this node, as the coordinator, may send its first order.
	ordersFrom        time.Time
	members           []Member
	membersVersion    MembersVersion
	coordinatorSeenAt time.Time // last answer of the coordinator
	leaving           bool
	// storeSeenAt is when the store last answered each reader of this node,
	// storeAnsweringSince since when it has answered without a gap.
	storeSeenAt         [readerCount]time.Time
	storeAnsweringSince time.Time
	// storeViewAt is the time of the newest view of the store that another node
	// relayed, relayedAt when the relaying exchange was sent.
	storeViewAt time.Time
	relayedAt   time.Time
	// readStoreFrom is when a node that has just started reads the store if no
	// other node has relayed it by then. Large nodes read it at once.
	readStoreFrom time.Time
	// coordinatorLease is the lease as the coordinator reported it, ownLease as
	// this node last saw it in the store.
	coordinatorLease *LeaseRow
	ownLease         *LeaseRow
	coordinatorLost  bool // the coordinator did not answer
	// coordinatorEnded is set if the node at coordinatorAddress replied that
	// it is no longer the coordinator.
	coordinatorEnded bool
	// deputies are the names of the members that may replace the coordinator
	// first; isDeputy is set if this node is one of them.
	deputies []string
	isDeputy bool
	// confirmedAt is when the store last confirmed this node's data through the
	// reads of a node that sent it a message.
	confirmedAt time.Time
	// replyTerm and replySeq identify the last full reply of the coordinator.
	// engineStates maps the engine numbers used in it to the engines.
	replyTerm    int64
	replySeq     int64
	engineStates map[int]*EngineState
	pacesSentAt  time.Time
	seeds        []string
	// documentSources are the nodes that hold newer documents than this one, by
	// address.
	documentSources map[string]documentVersions
}

// StoreReader identifies one of the goroutines that read a table of the store.
type StoreReader int

// The readers of the store.
const (
	ConfigReader StoreReader = iota
	EndpointReader
	readerCount
)

// New returns a Node without configuration, endpoints and members.
func New(o Options) *Node {
	if o.Parts == nil {
		o.Parts = poison.New(o.Log)
	}
	if o.Pacer == nil {
		o.Pacer = NewPacer(o.Clock, healthOf(o))
	}
	n := &Node{
		opts:               o,
		usage:              newUsage(),
		coord:              newCoordinator(o),
		Pacer:              o.Pacer,
		exchangeRequested:  o.Pacer.exchangeRequested,
		documentsRequested: make(chan struct{}, 1),
		configured:         make(chan struct{}),
		registry:           fleet.NewRegistry(),
		isDeputy:           true,
		engineStates:       make(map[int]*EngineState),
		documentSources:    make(map[string]documentVersions),
		seeds:              o.Seeds,
	}
	n.firstElectionIn = startDelay(o.Capacity, rand.Float64())
	if n.firstElectionIn > 0 {
		n.readStoreFrom = o.Clock.Now().Add(n.firstElectionIn + extraReadDelay)
	}
	n.Admitter = NewAdmitter(o.Clock, n.exchangeRequested, o.Pacer.poolRequested, o.QuotaDisconnected)
	return n
}

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Run runs the node's goroutines until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.coord.run, n.runElection, n.runExchanges, n.runDocuments, n.runGossip, n.runExpiry, n.runPool} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// SetRawConfig decodes a configuration and puts it into force if it is newer. If
// it is not usable, SetRawConfig returns an error and the one in force stays.
func (n *Node) SetRawConfig(ctx context.Context, raw []byte, source string) error {
	config, err := n.opts.Decode(raw)
	if err != nil {
		return err
	}
	// Configurations arrive from several goroutines. The parts of the process must get
	// them in the same order.
	n.configMu.Lock()
	defer n.configMu.Unlock()
	c := n.opts.Server.Config()
	if c != nil && c.Version >= config.Version {
		return nil
	}
	if c == nil {
		// The coordinator of this node must learn it first.
		defer close(n.configured)
	}
	// Requests that wait for tokens ask for them again once the server has the configuration.
	n.Admitter.SetConfig(config)
	n.opts.Server.SetConfig(config)
	packed := pack(raw)
	n.mu.Lock()
	if config.Version > n.document.Version {
		n.document = Document{
			Version: config.Version,
			Packed:  packed,
		}
	}
	n.mu.Unlock()
	delay := n.opts.Server.Newest().KnownFor(n.opts.Clock.Now(), config.Version)
	n.coord.post(ctx, configChanged{
		config: config,
	})
	n.opts.Log.Info("configuration in force", "config", config.Version, "routes", len(config.Routes),
		"workspaces", len(config.Workspaces), "source", source, "bytes", len(raw), "known-for-ms", delay.Milliseconds())
	return nil
}

// storeSource is the source of data that this node read itself.
const storeSource = "store"

// SetEndpoints applies changes of the endpoints' entries in the store.
func (n *Node) SetEndpoints(ctx context.Context, changes []fleet.Change, version int64, complete bool) {
	n.changeEndpoints(ctx, storeSource, func(r *fleet.Registry) bool {
		return r.Apply(n.opts.Clock.Now(), changes, version, complete)
	})
}

// changeEndpoints changes the registry and passes its endpoints on if change returns
// true. The parts of the process get the lists in the order of the changes.
func (n *Node) changeEndpoints(ctx context.Context, source string, change func(*fleet.Registry) bool) {
	n.endpointsMu.Lock()
	defer n.endpointsMu.Unlock()
	n.mu.Lock()
	changed := change(n.registry)
	list := n.registry.List()
	ignored := n.registry.TakeIgnored()
	n.mu.Unlock()
	if source == storeSource && len(ignored) > 0 {
		n.opts.Log.Info("changes of entries ignored", "reason", "older than the known version", "entry", ignored[0].Name,
			"row-version", ignored[0].Version, "known-version", ignored[0].Known, "or-more", len(ignored))
	}
	if changed {
		n.distributeEndpoints(ctx, list, source)
	}
}

// distributeEndpoints passes a list of endpoints to the routing table and the
// coordinator.
func (n *Node) distributeEndpoints(ctx context.Context, list []fleet.Endpoint, source string) {
	added, removed, leaving := n.opts.Table.SetEndpoints(n.opts.Clock.Now(), list)
	if len(added)+len(removed)+len(leaving) > 0 {
		n.opts.Log.Info("endpoints changed", "source", source, "added", added, "removed", removed, "leaving", leaving,
			"endpoints", len(list))
	}
	n.coord.post(ctx, endpointsChanged{
		list: list,
	})
}

// SetStoreState records whether the store answers this node; err is nil if it does. Only
// after an outage in which entries of running endpoints can have expired does a missing
// entry not mean at once that its endpoint is gone: a shorter one, or one of this node's
// path to the store alone, must not delay removals in the whole fleet.
func (n *Node) SetStoreState(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeSilent = err != nil
	if err != nil {
		n.storeAnsweringSince = time.Time{}
		return
	}
	now := n.opts.Clock.Now()
	silent := n.storeOutage(now)
	keeps := silent >= expiredAfterBeats*n.opts.Heartbeat
	if keeps {
		n.registry.StoreRecovered(now)
	}
	n.opts.Log.Info("missing entries after an outage", "kept", keeps, "store-silent-ms", silent.Milliseconds(),
		"own-answer-age-ms", now.Sub(n.storeSeenAt[EndpointReader]).Milliseconds(), "heartbeat-ms", n.opts.Heartbeat.Milliseconds())
}

// storeOutage returns the time since the store last answered this node's reader of
// endpoints, or another node that has told this one. The caller holds the lock.
func (n *Node) storeOutage(now time.Time) time.Duration {
	return min(now.Sub(n.storeSeenAt[EndpointReader]), now.Sub(n.confirmedAt), now.Sub(n.storeViewAt))
}

// StoreRestored records that the store was restored from a copy. A coordinator that has
// not renewed its lease since then gets the time to do so, as after an outage. Missing
// entries get theirs from the first list of the new era, which may have come earlier from
// another node.
func (n *Node) StoreRestored() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeAnsweringSince = time.Time{}
}

// RecordStoreAnswer records that the store answered a reader.
func (n *Node) RecordStoreAnswer(r StoreReader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	if n.storeAnsweringSince.IsZero() || now.Sub(n.storeSeenAt[r]) > maxRelayedStoreAge {
		n.storeAnsweringSince = now
	}
	n.storeSeenAt[r] = now
}

// storeAge returns the time since the store last answered the reader that has
// waited longest. The caller holds the lock.
func (n *Node) storeAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, at := range n.storeSeenAt {
		age = max(age, now.Sub(at))
	}
	return age
}

// viewAge returns the time since the store last confirmed this node's data, through
// its own reads or those of a node that sent it a message. The caller holds the lock.
func (n *Node) viewAge(now time.Time) time.Duration {
	return min(n.storeAge(now), now.Sub(n.confirmedAt))
}

// acceptsView reports whether the configuration and the endpoints of another node
// may be used, given the age of its view of the store. A node that has just started
// would otherwise bring a withdrawn key or a departed endpoint into use again that
// another node, cut off from the store, still knows. If the store does not answer,
// an old view is better than none.
func (n *Node) acceptsView(age time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeSilent || n.document.Version > 0 && n.registry.Version() > 0 || age <= maxRelayedStoreAge
}

// IsStoreRelayed reports whether another node currently relays the store, so that
// this one need not read it. Deputies read it as soon as the coordinator is
// silent.
func (n *Node) IsStoreRelayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	if n.relayedAt.IsZero() && now.Before(n.readStoreFrom) {
		return true
	}
	if n.isCoordinator || n.relayedAt.IsZero() || now.Sub(n.storeViewAt) >= maxStoreViewAge {
		return false
	}
	return !n.isDeputy || now.Sub(n.relayedAt) < coordinatorSilentAfter
}

// recordStoreView records the age of the view of the store that another node
// relayed in its reply to a message. Deputies accept the coordinator's own reads
// only. A view whose data this node does not hold yet does not count. The caller holds
// the lock.
func (n *Node) recordStoreView(sent time.Time, r *Reply) {
	v := documentVersions{
		config:  r.ConfigVersion,
		listing: r.ListingVersion,
	}
	if v.newerThan(n.held()) {
		return
	}
	age := r.StoreAge
	if !n.isDeputy {
		age = min(age, r.ViewAge)
	} else if !r.Coordinator {
		return
	}
	if age >= maxRelayedStoreAge {
		return
	}
	n.relayedAt = sent
	if at := sent.Add(-age); at.After(n.storeViewAt) {
		n.storeViewAt = at
	}
}

// runExpiry removes endpoints whose entries did not return after an outage.
func (n *Node) runExpiry(ctx context.Context) {
	for sleep(ctx, expiryInterval) {
		n.changeEndpoints(ctx, "not back after an outage", func(r *fleet.Registry) bool {
			return r.Expire(n.opts.Clock.Now())
		})
	}
}

// sleep pauses for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ReleaseLease makes the node release the lease and not compete for it again. The
// node continues to admit and serve requests.
func (n *Node) ReleaseLease() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Leave notifies the coordinator that this node admits no more requests, so that
// its fraction of the rates is released at once.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	address, own := n.coordinatorAddress, n.isCoordinator
	n.mu.Unlock()
	if address == "" || own {
		return
	}
	x := n.newExchange(n.opts.Clock.Now())
	x.TokenRequests, x.Leaving = nil, true
	if _, err := n.send(ctx, address, false, x); err != nil {
		n.opts.Log.Info("coordinator not notified of shutdown", "error", err.Error())
	}
}

// IsCoordinator reports whether this node is the coordinator.
func (n *Node) IsCoordinator() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCoordinator
}

// CoordinatorAge returns the time since the coordinator last answered this node.
func (n *Node) CoordinatorAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts.Clock.Now().Sub(n.coordinatorSeenAt)
}

// StoreAge returns the time since the store last answered this node itself.
func (n *Node) StoreAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeAge(n.opts.Clock.Now())
}

// Ready reports whether this node can serve requests: it has a configuration and
// a healthy routing table.
func (n *Node) Ready() bool {
	return n.opts.Server.Config() != nil && n.opts.Table.HasAvailableEndpoint(n.opts.Clock.Now())
}
