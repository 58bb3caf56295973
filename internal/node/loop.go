package node

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/lease"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// tickEvery is the pace of the control loop. Freshness of keys has a margin
	// of 500 ms for it.
	tickEvery = 100 * time.Millisecond
	// callTimeout bounds one message to a peer.
	callTimeout = time.Second
	// publishEvery is how often the membership is handed to the limiter.
	publishEvery = 500 * time.Millisecond
	// queueSize bounds the messages that wait for the control loop.
	queueSize = 1024
)

// message is what workers and handlers send to the control loop.
type message interface {
	handle(l *loop)
}

// loop owns the control state of a node. Everything below the channels is
// touched by its goroutine alone.
type loop struct {
	node  *Node
	inbox chan message
	ctx   context.Context
	stop  context.CancelFunc
	work  sync.WaitGroup

	config atomic.Pointer[spec.Config]
	dead   atomic.Pointer[map[peers.Process]bool]
	status atomic.Pointer[statusView]

	started time.Time
	address string

	peers     *peers.Peers
	view      *feed.View
	log       *feed.Log
	relay     *feed.Relay
	marks     map[peers.Process]feed.Mark
	heldBy    map[peers.Process]int64
	spreads   []spreading
	confirmed int64
	polling   bool
	pollDue   time.Time
	failing   bool
	lastPoll  time.Time
	listing   bool
	listed    time.Time
	vms       []store.VM
	publishAt time.Time
	known     map[string]bool
	deadSeen  map[peers.Process]bool
	leaving   bool
	drained   chan struct{}

	sweepDue    time.Time
	rotateDue   time.Time
	expireDue   time.Time
	expireAfter string

	lease     *lease.Lease
	leaseBusy bool
	leaseDue  time.Time
	manager   *place.Manager
	standIn   place.Authority
	inputs    place.Inputs
	planners  map[string]string
	layouts   map[string]*place.Layout
	// foreign are wants that only another domain can meet; gone are endpoints
	// listed as leaving.
	foreign   map[wantKey]place.Want
	gone      map[string]bool
	remoteDue time.Time
	report    reporter
	loads     map[string]wire.EndpointLoad
	loadAt    map[string]time.Time
	loadBusy  map[string]bool
	loadDue   time.Time
	cacheSeq  map[string]int64
}

func newLoop(n *Node) *loop {
	ctx, stop := context.WithCancel(context.Background())
	l := &loop{
		node:     n,
		inbox:    make(chan message, queueSize),
		ctx:      ctx,
		stop:     stop,
		started:  n.clock.Now(),
		view:     feed.NewView(),
		log:      feed.NewLog(n.store, n.store.Objects(), n.clock),
		marks:    make(map[peers.Process]feed.Mark),
		heldBy:   make(map[peers.Process]int64),
		known:    make(map[string]bool),
		deadSeen: make(map[peers.Process]bool),
		planners: make(map[string]string),
		layouts:  make(map[string]*place.Layout),
		foreign:  make(map[wantKey]place.Want),
		loads:    make(map[string]wire.EndpointLoad),
		loadAt:   make(map[string]time.Time),
		loadBusy: make(map[string]bool),
		cacheSeq: make(map[string]int64),
	}
	l.relay = &feed.Relay{
		View:    l.view,
		Fleet:   feed.NewFleet(),
		Members: feed.NewMembers(n.set.Node.Domain, n.number(), n.clock.Now()),
	}
	l.config.Store(l.view.Config())
	l.dead.Store(&map[peers.Process]bool{})
	l.lease = lease.New(lease.Settings{
		Key:         "lease/place/" + n.set.Node.Domain,
		Holder:      n.set.Node.Name,
		Incarnation: incarnationText(n.inc),
		Term:        leaseTerm,
		Renew:       leaseRenew,
	})
	l.manager = place.NewManager(place.Settings{
		Domain:      n.set.Node.Domain,
		Node:        n.number(),
		Incarnation: incarnationText(n.inc),
		Policy:      n.opts.Policy,
	})
	return l
}

func incarnationText(inc uint64) string {
	return strconv.FormatUint(inc, 32)
}

// bind sets the address that other nodes are told. It comes before start.
func (l *loop) bind(address string) {
	l.address = address
	seeds := make([]peers.Seed, 0, len(l.node.set.Peers.Seeds))
	for _, a := range l.node.set.Peers.Seeds {
		seeds = append(seeds, peers.Seed{
			Address: a,
		})
	}
	l.peers = peers.New(peers.Settings{
		Name:        l.node.set.Node.Name,
		Domain:      l.node.set.Node.Domain,
		Address:     address,
		Incarnation: l.node.inc,
		Seeds:       seeds,
	}, l.node.clock.Now())
}

// start runs the loop; the returned function stops it and its workers.
func (l *loop) start() (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run()
	}()
	return func() {
		l.stop()
		<-done
		l.work.Wait()
	}
}

func (l *loop) run() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.inbox:
			m.handle(l)
		case <-t.C:
			l.tick(l.node.clock.Now())
		case <-l.node.board.urgent:
			l.report.due = time.Time{}
		}
	}
}

// post hands a message to the loop. It gives up when the loop has stopped.
func (l *loop) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// spawn runs a worker with a timeout; its result comes back as a message.
func (l *loop) spawn(timeout time.Duration, f func(ctx context.Context) message) {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		if m := f(ctx); m != nil {
			l.post(m)
		}
	}()
}

// tick does what is due.
func (l *loop) tick(now time.Time) {
	l.poll(now)
	l.list(now)
	if l.peers.IsRelay() {
		l.relay.Live = l.relay.Members.Live(now, l.aliveNodes())
		l.relay.Refresh(l.node.set.Node.Name, now)
		l.confirm(l.relay.Fleet.ConfirmedRevision(l.relay.Domains))
	}
	// While the view ages, the word of all domains must arrive within the time
	// that keys are honoured for, so nodes exchange it more often.
	l.peers.PollsFail(l.aging(now))
	for _, p := range l.peers.Step(now) {
		l.sync(p)
	}
	l.node.gate.Follow(l.view.Config(), l.view.FreshAt())
	l.stepSpread(now)
	l.publish(now)
	l.stepLease(now)
	l.stepManager(now)
	l.stepReport(now)
	l.stepLoads(now)
	l.stepReady(now)
	l.stepUpkeep(now)
}

const (
	// sweepEvery is how often outcomes of calls that could not be stored are
	// tried again; other nodes report such a call as in progress until then.
	sweepEvery = 3 * time.Second
	// expireEvery and expirePage bound the removal of old call rows to a few
	// writes a second; the planner of one domain does it.
	expireEvery  = time.Minute
	expirePage   = 100
	rotateEvery  = time.Minute
	expireBudget = 30 * time.Second
)

// stepUpkeep runs the work that is due now and then.
func (l *loop) stepUpkeep(now time.Time) {
	if !now.Before(l.sweepDue) && l.node.once.Pending() > 0 {
		l.sweepDue = now.Add(sweepEvery)
		l.spawn(sweepEvery, func(ctx context.Context) message {
			// What stays is tried again.
			_ = l.node.once.Sweep(ctx)
			return nil
		})
	}
	if !now.Before(l.rotateDue) {
		l.rotateDue = now.Add(rotateEvery)
		l.node.stats.Rotate()
	}
	due := !now.Before(l.expireDue) && l.lease.Valid(now)
	if due && rank.First("expire", l.relay.Domains) == l.node.set.Node.Domain {
		l.expireDue = now.Add(expireEvery)
		after := l.expireAfter
		l.spawn(expireBudget, func(ctx context.Context) message {
			next, _, err := l.node.once.Expire(ctx, after, expirePage)
			if err != nil {
				return nil
			}
			return expired{
				next: next,
			}
		})
	}
}

// expired tells how far the removal of old call rows has come.
type expired struct {
	next string
}

func (m expired) handle(l *loop) {
	l.expireAfter = m.next
}

// aliveNodes are the nodes of the domain that are not proved dead: a silent one
// may still be alive and hold a configuration.
func (l *loop) aliveNodes() []string {
	var out []string
	for _, m := range l.peers.Members() {
		if m.State != peers.Dead && !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// stepReady makes the node ready once it has a configuration and a share of the
// rate limits, or when waiting for the share no longer helps.
func (l *loop) stepReady(now time.Time) {
	if l.leaving || l.node.entry.Ready() || l.view.Revision() == 0 {
		return
	}
	age := now.Sub(l.started)
	if age < settleWait || age < readyWait && !l.hasShares() {
		return
	}
	l.node.entry.SetReady(true)
	klog.InfoS("Ready", "node", l.node.set.Node.Name, "revision", l.view.Revision())
}

// Relays read the table every 500 ms and other nodes hear of it up to 500 ms
// later; a view older than that tells that reads fail.
const (
	relayAging = 800 * time.Millisecond
	nodeAging  = 1400 * time.Millisecond
)

func (l *loop) aging(now time.Time) bool {
	limit := nodeAging
	if l.peers.IsRelay() {
		limit = relayAging
	}
	return l.failing || l.view.AsOf().IsZero() || now.Sub(l.view.AsOf()) > limit
}

const (
	// settleWait is how long a node learns who is there before it takes
	// requests. A pool that does not know its members yet refuses them.
	settleWait = 3 * time.Second
	// readyWait bounds the wait for slots after the start.
	readyWait = 6 * time.Second
)

func (l *loop) hasShares() bool {
	ctx, cancel := context.WithTimeout(l.ctx, tickEvery)
	defer cancel()
	s, err := l.node.limiter.Snapshot(ctx)
	return err == nil && s.Slots > 0
}

// ownerDead reports whether the process that a request id names is proved dead.
// It is called by request handlers.
func (l *loop) ownerDead(requestID string) bool {
	node, inc, ok := entry.OwnerOf(requestID)
	if !ok {
		return false
	}
	return (*l.dead.Load())[peers.Process{
		Name:        node,
		Incarnation: inc,
	}]
}

// leaving tells the loop that the process is shutting down.
type leaving struct{}

func (leaving) handle(l *loop) {
	l.leaving = true
	l.peers.Leave()
}

// release asks the loop to give its lease back.
type release struct {
	done chan struct{}
}

func (r release) handle(l *loop) {
	l.drained = r.done
	l.lease.Release()
	l.leaseDue = time.Time{}
}

// record notes an event of the fleet and logs it, as a change of state.
func (l *loop) record(e audit.Event) {
	l.node.audit.Record(e)
	klog.InfoS(audit.Sentence(e), "reason", e.Reason.String())
}
