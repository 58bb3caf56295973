package lead

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/steer"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	// exchangeEvery is the time between two exchanges with the coordinator. At
	// more than exchangeNodes nodes it grows with their number, so that the
	// coordinator's work does not.
	exchangeEvery = 250 * time.Millisecond
	exchangeNodes = 32
	// exchangeTimeout is when an exchange counts as lost.
	exchangeTimeout = 400 * time.Millisecond
	// kickPause is the least time between two exchanges that are sent early.
	kickPause = 5 * time.Millisecond
	// electEvery is how often the lease is looked at.
	electEvery = 100 * time.Millisecond
	// electTimeout bounds one call to the store for the lease.
	electTimeout = 700 * time.Millisecond
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
	// QuotaHead is what a new coordinator may issue at once for each workspace.
	QuotaHead float64
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
	holds    bool
	members  []Member
	touched  time.Time // last answer of the coordinator
	leaving  bool
}

// New returns a Node that has read nothing.
func New(o Options) *Node {
	n := &Node{
		opts:     o,
		usage:    newUsage(),
		coord:    newCoordinator(o),
		kick:     make(chan struct{}, 1),
		registry: fleet.NewRegistry(),
	}
	n.Desk = NewDesk(o.Clock, n.kick)
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
func (n *Node) SetEndpoints(ctx context.Context, changes []fleet.Change, complete bool) {
	n.mu.Lock()
	n.registry.Apply(n.opts.Clock.Now(), changes, complete)
	list := n.registry.List()
	n.mu.Unlock()
	n.spreadList(ctx, list)
}

func (n *Node) spreadList(ctx context.Context, list []fleet.Endpoint) {
	n.opts.Table.SetEndpoints(list)
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
	}
}

// expire drops endpoints whose entries did not come back after an outage.
func (n *Node) expire(ctx context.Context) {
	for wait(ctx, gossipEvery) {
		n.mu.Lock()
		changed := n.registry.Expire(n.opts.Clock.Now())
		list := n.registry.List()
		n.mu.Unlock()
		if changed {
			n.spreadList(ctx, list)
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

// Stop gives the lease back and tells the coordinator that this node leaves.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// elect takes part in the election of the coordinator.
func (n *Node) elect(ctx context.Context) {
	k := lease.NewKeeper(n.opts.Rows, n.opts.Clock, lease.Settings{
		Key:         leaseKey,
		Holder:      n.opts.Address,
		Incarnation: n.opts.Node + "/" + n.opts.Incarnation,
		Term:        n.opts.LeaseTerm,
		Renew:       n.opts.LeaseTerm / 3,
	})
	var tenure Tenure
	before := "" // the holder that the row showed last
	known := false
	failed := false
	for wait(ctx, electEvery) {
		n.mu.Lock()
		leaving := n.leaving
		n.mu.Unlock()
		if leaving && !k.Released() {
			k.Release()
		}
		held := !tenure.Until.IsZero()
		bounded, cancel := context.WithTimeout(ctx, electTimeout)
		ev, err := k.Step(bounded, n.opts.Clock.Now())
		cancel()
		if (err != nil) != failed {
			failed = err != nil
			if failed {
				n.opts.Log.Warn("lease not reached", "error", err.Error())
			} else {
				n.opts.Log.Info("lease reached again", "holder", k.Holder())
			}
		}
		until := k.Until()
		switch {
		case ev.Kind == lease.EventTaken || !until.IsZero() && !held:
			tenure = Tenure{
				Since: k.Since(),
				Fence: k.Epoch(),
				First: !known,
				Own:   before == n.opts.Address,
			}
		case until.IsZero() && held:
			n.opts.Log.Info("lease ended", "event", string(ev.Kind), "holder", k.Holder())
		}
		tenure.Until = until
		n.coord.post(ctx, tenureChanged{
			tenure: tenure,
		})
		if h := k.Holder(); h != "" {
			before, known = h, true
		}
		n.setLeader(k.Holder(), !until.IsZero() && n.opts.Clock.Now().Before(until))
	}
}

func (n *Node) setLeader(address string, own bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holds = own
	if address != "" && address != n.leader {
		n.opts.Log.Info("coordinator known", "address", address, "before", n.leader)
		n.leader = address
	}
}

// exchange talks to the coordinator, at intervals and when tokens are needed.
func (n *Node) exchange(ctx context.Context) {
	lost := false
	for {
		err := n.exchangeOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			if lost {
				n.opts.Log.Warn("coordinator not reached", "error", err.Error())
			} else {
				n.opts.Log.Info("coordinator reached")
			}
		}
		pause := n.interval()
		if !wait(ctx, kickPause) {
			return
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-n.kick:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return exchangeEvery * time.Duration(max(1, len(n.members)/exchangeNodes))
}

var errNoCoordinator = errors.New("lead: no coordinator is known")

func (n *Node) exchangeOnce(ctx context.Context) error {
	n.mu.Lock()
	address := n.leader
	own := n.holds
	n.mu.Unlock()
	if address == "" {
		return errNoCoordinator
	}
	sent := n.opts.Clock.Now()
	x := n.message(sent)
	n.usage.fill(x)
	r, err := n.ask(ctx, address, own, x)
	if err != nil {
		return err
	}
	n.take(ctx, sent, r, "coordinator")
	if !r.Coordinator {
		return errNoCoordinator
	}
	n.mu.Lock()
	n.touched = sent
	n.mu.Unlock()
	n.Desk.receive(sent, r.Loans, r.Fraction)
	return n.push(ctx, address, own, r)
}

// push gives the other side what it lacks.
func (n *Node) push(ctx context.Context, address string, own bool, r *Reply) error {
	n.mu.Lock()
	x := &Exchange{}
	if r.ConfigVersion < n.doc.Version {
		doc := n.doc
		x.Config = &doc
	}
	if r.WantListing && !n.silent && r.ListingFrom < n.registry.Version() {
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
		Leaving:       n.leaving,
		ConfigVersion: n.doc.Version,
		WantListing:   n.silent,
		ListingFrom:   n.registry.Version(),
		Draws:         draws,
	}
}

// listing returns the endpoints for another node. The lock is held.
func (n *Node) listing() *Listing {
	return &Listing{
		Version:   n.registry.Version(),
		Endpoints: n.registry.List(),
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
	if len(r.Members) > 0 {
		n.mu.Lock()
		n.members = r.Members
		n.mu.Unlock()
		n.coord.post(ctx, membersKnown{
			list: r.Members,
		})
		n.opts.Server.SetNodes(len(r.Members))
		n.opts.Table.SetNodes(len(r.Members))
	}
	if !r.Coordinator {
		return
	}
	for _, t := range r.Reports {
		n.opts.Table.SetReport(sent.Add(-t.Age), t.Report)
	}
	closing := make(map[fleet.Key][]string, len(r.Closing))
	for _, c := range r.Closing {
		closing[c.Key] = c.Models
	}
	n.opts.Table.SetClosing(closing)
}

func (n *Node) takeListing(ctx context.Context, l *Listing, source string) {
	if l == nil {
		return
	}
	n.mu.Lock()
	if l.Version <= n.registry.Version() || !n.silent {
		n.mu.Unlock()
		return
	}
	changes := make([]fleet.Change, len(l.Endpoints))
	for i := range l.Endpoints {
		changes[i] = fleet.Change{
			Name:     l.Endpoints[i].ID,
			Version:  l.Version,
			Endpoint: &l.Endpoints[i],
		}
	}
	n.registry.Apply(n.opts.Clock.Now(), changes, true)
	list := n.registry.List()
	n.mu.Unlock()
	n.spreadList(ctx, list)
	n.opts.Log.Info("endpoints taken from another node", "source", source, "version", l.Version, "endpoints", len(l.Endpoints))
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
	r.Leader = n.leader
	if !r.Coordinator {
		r.Members = n.members
	}
	r.ConfigVersion = n.doc.Version
	if x.ConfigVersion < n.doc.Version {
		doc := n.doc
		r.Config = &doc
	}
	r.WantListing, r.ListingFrom = n.silent, n.registry.Version()
	if x.WantListing && x.ListingFrom < n.registry.Version() {
		r.Listing = n.listing()
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
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range r.Members {
		if m.Node == n.opts.Node {
			n.Desk.setFraction(m.Fraction)
		}
	}
	if n.leader == "" && r.Leader != "" {
		n.leader = r.Leader
	}
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
	select {
	case n.kick <- struct{}{}:
	default:
	}
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
