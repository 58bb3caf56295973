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
	// tickEvery is the interval of the control loop. The time limit for the
	// freshness of keys includes a margin of 500 ms for it.
	tickEvery = 100 * time.Millisecond
	// callTimeout bounds one message to a peer.
	callTimeout = time.Second
	// publishEvery is how often the membership is passed to the limiter, the
	// transport and routing.
	publishEvery = 500 * time.Millisecond
	// queueSize bounds the messages queued for the control loop.
	queueSize = 1024
)

// message is an event that a worker or a handler sends to the control loop.
// handle runs on the goroutine of the loop.
type message interface {
	handle(l *loop)
}

// loop owns the control state of a node. Request handlers read the atomic
// pointers; all fields below them are accessed by the goroutine of the loop
// alone.
type loop struct {
	node    *Node
	inbox   chan message
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	config        atomic.Pointer[spec.Config]
	deadProcesses atomic.Pointer[map[peers.Process]bool]
	status        atomic.Pointer[statusView]

	started time.Time
	address string

	peers *peers.Peers
	view  *feed.View
	log   *feed.Log
	relay *feed.Relay
	// peerEchoes and peerRevisions hold what each peer sent in its last answer.
	peerEchoes          map[peers.Process]feed.EchoTimestamp
	peerRevisions       map[peers.Process]int64
	pendingReplications []pendingReplication
	confirmed           int64
	pollInFlight        bool
	oddRow              string // key of the last odd row of the configuration log
	pollDue             time.Time
	platformDown        bool
	lastPollOKAt        time.Time
	listInFlight        bool
	lastListAt          time.Time
	vms                 []store.VM
	publishDue          time.Time
	liveNodes           map[string]bool
	knownDead           map[peers.Process]bool
	leaving             bool
	leaseReleased       chan struct{}

	sweepDue    time.Time
	rotateDue   time.Time
	expireDue   time.Time
	expireAfter string

	lease         *lease.Lease
	leaseInFlight bool
	leaseDue      time.Time
	manager       *place.Manager
	outageAuth    place.Authority
	inputs        place.Inputs
	planners      map[string]string
	layouts       map[string]*place.Layout
	// otherDomainWaiting are the models and adapters that requests wait for and
	// that only another domain can provide.
	otherDomainWaiting map[waitKey]place.WaitingRequests
	// leavingEndpoints are the endpoints that the platform lists as leaving.
	leavingEndpoints map[string]bool
	remoteDue        time.Time
	report           reportState
	loads            map[string]wire.EndpointLoad
	loadSampledAt    map[string]time.Time
	loadInFlight     map[string]bool
	loadDue          time.Time
	cacheSeq         map[string]int64
	// incarnations holds those of the endpoints that are assigned to this node.
	incarnations map[string]string
}

func newLoop(n *Node) *loop {
	ctx, stop := context.WithCancel(context.Background())
	l := &loop{
		node:               n,
		inbox:              make(chan message, queueSize),
		ctx:                ctx,
		stop:               stop,
		started:            n.clock.Now(),
		view:               feed.NewView(),
		log:                feed.NewLog(n.store, n.store.Objects(), n.clock),
		peerEchoes:         make(map[peers.Process]feed.EchoTimestamp),
		peerRevisions:      make(map[peers.Process]int64),
		liveNodes:          make(map[string]bool),
		knownDead:          make(map[peers.Process]bool),
		planners:           make(map[string]string),
		layouts:            make(map[string]*place.Layout),
		otherDomainWaiting: make(map[waitKey]place.WaitingRequests),
		loads:              make(map[string]wire.EndpointLoad),
		loadSampledAt:      make(map[string]time.Time),
		loadInFlight:       make(map[string]bool),
		cacheSeq:           make(map[string]int64),
		incarnations:       make(map[string]string),
	}
	l.relay = &feed.Relay{
		View:    l.view,
		Fleet:   feed.NewFleet(),
		Members: feed.NewMembers(n.settings.Node.Domain, n.fencingNumber(), n.clock.Now()),
	}
	l.config.Store(l.view.Config())
	l.deadProcesses.Store(&map[peers.Process]bool{})
	l.lease = lease.New(lease.Settings{
		Key:           "lease/place/" + n.settings.Node.Domain,
		Holder:        n.settings.Node.Name,
		Incarnation:   incarnationText(n.incarnation),
		Term:          leaseTerm,
		RenewInterval: leaseRenew,
	})
	l.manager = place.NewManager(place.Settings{
		Domain:      n.settings.Node.Domain,
		Node:        n.fencingNumber(),
		Incarnation: incarnationText(n.incarnation),
		Policy:      n.opts.Policy,
	})
	return l
}

func incarnationText(inc uint64) string {
	return strconv.FormatUint(inc, 32)
}

// bind sets the address that is advertised to other nodes. It must be called
// before start.
func (l *loop) bind(address string) {
	l.address = address
	seeds := make([]peers.Seed, 0, len(l.node.settings.Peers.Seeds))
	for _, a := range l.node.settings.Peers.Seeds {
		seeds = append(seeds, peers.Seed{
			Address: a,
		})
	}
	l.peers = peers.New(peers.Settings{
		Name:        l.node.settings.Node.Name,
		Domain:      l.node.settings.Node.Domain,
		Address:     address,
		Incarnation: l.node.incarnation,
		Seeds:       seeds,
	}, l.node.clock.Now())
}

// start runs the loop. The returned function stops it and waits for its workers.
func (l *loop) start() (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run()
	}()
	return func() {
		l.stop()
		<-done
		l.workers.Wait()
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
		case <-l.node.demand.urgent:
			l.report.due = time.Time{}
		}
	}
}

// post sends a message to the loop. It returns false when the loop has stopped.
func (l *loop) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// spawn runs f in a worker goroutine with a timeout and posts the message that f
// returns, if any.
func (l *loop) spawn(timeout time.Duration, f func(ctx context.Context) message) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		defer cancel()
		if m := f(ctx); m != nil {
			l.post(m)
		}
	}()
}

// tick runs every periodic task that is due.
func (l *loop) tick(now time.Time) {
	l.poll(now)
	l.listVMs(now)
	if l.peers.IsRelay() {
		l.relay.LiveNodes = l.relay.Members.FilterLive(now, l.aliveNodes())
		l.relay.Refresh(l.node.settings.Node.Name, now)
		l.setConfirmed(l.relay.Fleet.ConfirmedRevision(l.relay.Domains))
	}
	// While the view gets older, confirmations from all domains must arrive
	// before cached keys stop being accepted, so heartbeats are sent more often.
	l.peers.SetPollsFailing(l.viewAging(now))
	for _, p := range l.peers.Step(now) {
		l.sendHeartbeat(p)
	}
	l.node.keyChecker.SetConfig(l.view.Config(), l.view.FreshAt())
	l.stepReplications(now)
	l.publishMembers(now)
	l.stepLease(now)
	l.stepManager(now)
	l.stepReport(now)
	l.stepLoads(now)
	l.stepReady(now)
	l.stepMaintenance(now)
}

const (
	// sweepEvery is how often call outcomes that could not be stored are stored
	// again. Until then, other nodes report such a call as in progress.
	sweepEvery = 3 * time.Second
	// expireEvery and expirePageSize limit the removal of old call rows to a few
	// writes per second. The planner of one domain does the removal for the
	// fleet.
	expireEvery    = time.Minute
	expirePageSize = 100
	rotateEvery    = time.Minute
	expireTimeout  = 30 * time.Second
)

// stepMaintenance runs the infrequent tasks: storing outcomes again, rotating
// statistics and removing old call rows.
func (l *loop) stepMaintenance(now time.Time) {
	if !now.Before(l.sweepDue) && l.node.once.Pending() > 0 {
		l.sweepDue = now.Add(sweepEvery)
		l.spawn(sweepEvery, func(ctx context.Context) message {
			// Outcomes that still cannot be stored stay pending for the next sweep.
			_ = l.node.once.FlushPending(ctx)
			return nil
		})
	}
	if !now.Before(l.rotateDue) {
		l.rotateDue = now.Add(rotateEvery)
		l.node.stats.Rotate()
	}
	due := !now.Before(l.expireDue) && l.lease.Valid(now)
	if due && rank.First("expire", l.relay.Domains) == l.node.settings.Node.Domain {
		l.expireDue = now.Add(expireEvery)
		after := l.expireAfter
		l.spawn(expireTimeout, func(ctx context.Context) message {
			next, _, err := l.node.once.Expire(ctx, after, expirePageSize)
			if err != nil {
				return nil
			}
			return expireDone{
				next: next,
			}
		})
	}
}

// expireDone carries the position at which the removal of old call rows
// continues.
type expireDone struct {
	next string
}

func (m expireDone) handle(l *loop) {
	l.expireAfter = m.next
}

// aliveNodes returns the nodes of the domain that are not proved dead. A node
// that does not respond may still be alive and use a configuration.
func (l *loop) aliveNodes() []string {
	var out []string
	for _, m := range l.peers.Members() {
		if m.State != peers.Dead && !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// stepReady marks the node ready once it has a configuration and slots of the
// rate limits, or once the wait for slots has timed out.
func (l *loop) stepReady(now time.Time) {
	if l.leaving || l.node.entry.Ready() || l.view.Revision() == 0 {
		return
	}
	age := now.Sub(l.started)
	if age < membershipWait || age < slotsWait && !l.hasSlots() {
		return
	}
	l.node.entry.SetReady(true)
	klog.InfoS("Ready", "node", l.node.settings.Node.Name, "revision", l.view.Revision())
}

// Relays read the table every 500 ms and other nodes receive the result up to
// 500 ms later. An older view means that reads of the table fail.
const (
	relayMaxViewAge = 800 * time.Millisecond
	nodeMaxViewAge  = 1400 * time.Millisecond
)

// viewAging reports whether the view is older than it can be while reads of the
// table succeed.
func (l *loop) viewAging(now time.Time) bool {
	limit := nodeMaxViewAge
	if l.peers.IsRelay() {
		limit = relayMaxViewAge
	}
	return l.platformDown || l.view.AsOf().IsZero() || now.Sub(l.view.AsOf()) > limit
}

const (
	// membershipWait is how long a starting node discovers other members before
	// it accepts requests. A token pool that does not know its members yet
	// refuses them.
	membershipWait = 3 * time.Second
	// slotsWait bounds the wait for slots after the start.
	slotsWait = 6 * time.Second
)

func (l *loop) hasSlots() bool {
	ctx, cancel := context.WithTimeout(l.ctx, tickEvery)
	defer cancel()
	s, err := l.node.limiter.Snapshot(ctx)
	return err == nil && s.Slots > 0
}

// ownerDead reports whether the process named in a request id is proved dead.
// Request handlers call it.
func (l *loop) ownerDead(requestID string) bool {
	node, inc, ok := entry.OwnerOf(requestID)
	if !ok {
		return false
	}
	return (*l.deadProcesses.Load())[peers.Process{
		Name:        node,
		Incarnation: inc,
	}]
}

// shutdownStarted is posted when the process begins to shut down.
type shutdownStarted struct{}

func (shutdownStarted) handle(l *loop) {
	l.leaving = true
	l.peers.Leave()
}

// releaseLease makes the loop release its lease and close done afterwards.
type releaseLease struct {
	done chan struct{}
}

func (r releaseLease) handle(l *loop) {
	l.leaseReleased = r.done
	l.lease.Release()
	l.leaseDue = time.Time{}
}

// recordEvent adds an event to the audit log and writes it to the process log.
func (l *loop) recordEvent(e audit.Event) {
	l.node.audit.Record(e)
	klog.InfoS(audit.Sentence(e), "reason", e.Reason.String())
}
