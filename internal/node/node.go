// Package node assembles an entry process: the control loop that owns all
// control state, the workers that call peers, the platform and endpoints, and
// the servers for callers, peers and operators.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/caller"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/internal/once"
	"trefoildale.example/trefoildale/internal/oper"
	"trefoildale.example/trefoildale/internal/place"
	"trefoildale.example/trefoildale/internal/route"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/internal/wire"
)

const (
	// drainNotice is how long the process keeps accepting requests after /readyz
	// begins to fail, so that the load balancer stops sending them first.
	drainNotice = 2 * time.Second
	// headerTimeout is how long a caller or an operator may take to send a request's
	// header, and callerIdleLimit how long a connection may be idle.
	headerTimeout   = 10 * time.Second
	callerIdleLimit = 2 * time.Minute
	// finalAnswerTime is how long requests that are cut have for their final answers.
	finalAnswerTime = time.Second
	// maxOpenLines bounds the lines about requests that are open when the process ends.
	maxOpenLines = 50
	// releaseTimeout bounds the return of slots and leases at shutdown.
	releaseTimeout = 10 * time.Second
)

// Options configures a Node.
type Options struct {
	Settings *conf.Settings
	// Policy decides placement; nil selects the planner.
	Policy place.Policy
	// Picker builds the endpoint selection from the routing table; nil selects
	// the one of the table itself.
	Picker func(*route.Table) route.Picker
	// Dial opens the connections to the platform, to peers and to endpoints; nil
	// means net.Dialer.
	Dial conn.Dial
	// DrainNotice is the time between failing /readyz and refusing new requests;
	// zero means 2 s.
	DrainNotice time.Duration
	// Clock is the node's clock; nil means a new clock.Real.
	Clock clock.Clock
}

// Node is a running entry process.
type Node struct {
	opts        Options
	settings    *conf.Settings
	clock       clock.Clock
	incarnation uint64

	store   *store.Client
	engines *engine.Client
	wire    *wire.Client
	meter   wire.Meter

	audit      *audit.Log
	stats      *stats.Set
	keyChecker *keys.Checker
	routes     *route.Table
	limiter    *limit.Limiter
	once       *once.Guard
	demand     *demandCollector
	transport  *transport
	entry      *entry.Server
	loop       *loop

	callers *caller.Server
	admin   *http.Server
	// The addresses that the listeners are bound to.
	CallersAddr string
	PeersAddr   string
	AdminAddr   string

	cleanups []func()
}

// New starts a node. The returned function stops it immediately; Shutdown stops
// it after its running requests have ended.
func New(opts Options) (*Node, func(), error) {
	if opts.DrainNotice == 0 {
		opts.DrainNotice = drainNotice
	}
	if opts.Clock == nil {
		opts.Clock = clock.NewReal()
	}
	n := &Node{
		opts:     opts,
		settings: opts.Settings,
		clock:    opts.Clock,
		// The start time in microseconds makes the incarnation grow with each
		// restart: no process restarts within one microsecond.
		incarnation: uint64(time.Now().UnixMicro()),
		stats:       stats.New(),
		demand:      newDemandCollector(),
	}
	if err := n.start(); err != nil {
		n.close()
		return nil, nil, eris.Wrapf(err, "start node %s", n.settings.Node.Name)
	}
	return n, n.close, nil
}

func (n *Node) onClose(f func()) {
	n.cleanups = append(n.cleanups, f)
}

// close runs the clean-up functions in reverse order.
func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.cleanups = nil
}

func (n *Node) start() error {
	name, domain := n.settings.Node.Name, n.settings.Node.Domain
	var release func()
	n.store, release = store.NewClientDial(n.settings.Platform.URL, n.opts.Dial)
	n.onClose(release)
	n.engines, release = engine.NewClient(engine.Options{
		Name: name,
		Dial: n.opts.Dial,
	})
	n.onClose(release)
	n.wire, release = wire.NewClient(&n.meter, n.opts.Dial)
	n.onClose(release)
	n.transport = newTransport(n.wire)
	n.audit = audit.New(name, 0, n.clock)
	n.keyChecker = keys.NewChecker(n.clock)
	n.routes = route.NewTable(route.Settings{
		Domain: domain,
	})
	n.limiter, release = limit.New(limit.Options{
		Node:        name,
		Incarnation: n.incarnation,
		Domain:      domain,
		Clock:       n.clock,
		Table:       n.store,
		Transport:   n.transport,
	})
	n.onClose(release)
	n.loop = newLoop(n)
	n.once = &once.Guard{
		Table:         n.store,
		Clock:         n.clock,
		Node:          name + "." + incarnationText(n.incarnation),
		IsProcessDead: n.loop.ownerDead,
	}
	n.entry = n.newEntry()
	if err := n.listen(); err != nil {
		return err
	}
	n.onClose(n.loop.start())
	return nil
}

func (n *Node) newEntry() *entry.Server {
	var picker route.Picker
	if n.opts.Picker != nil {
		picker = n.opts.Picker(n.routes)
	}
	return entry.New(entry.Options{
		Node:        n.settings.Node.Name,
		Incarnation: n.incarnation,
		Clock:       n.clock,
		Keys:        n.keyChecker,
		Admitter:    n.limiter,
		Routes:      n.routes,
		Picker:      picker,
		Engines:     n.engines,
		Once:        n.once,
		Audit:       n.audit,
		Stats:       n.stats,
		Demand:      n.demand,
		Limits: entry.Limits{
			MaxBodyBytes: n.settings.Limits.MaxBodyBytes,
			StreamIdle:   time.Duration(n.settings.Limits.StreamIdle),
		},
	})
}

// listen binds the three addresses and serves callers, peers and operators.
func (n *Node) listen() error {
	peersL, err := net.Listen("tcp", n.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	n.PeersAddr = peersL.Addr().String()
	callersL, err := net.Listen("tcp", n.settings.Listen.Callers)
	if err != nil {
		_ = peersL.Close()
		return eris.Wrap(err, "listen for callers")
	}
	n.CallersAddr = callersL.Addr().String()
	adminL, err := net.Listen("tcp", n.settings.Listen.Admin)
	if err != nil {
		_ = peersL.Close()
		_ = callersL.Close()
		return eris.Wrap(err, "listen for operators")
	}
	n.AdminAddr = adminL.Addr().String()
	n.loop.bind(n.advertisedAddress())
	stop := wire.Serve(peersL, &peerHandler{
		node: n,
	}, &n.meter)
	n.onClose(stop)
	n.callers = n.serveCallers(callersL)
	n.admin = n.serve(adminL, n.adminHandler())
	return nil
}

// advertisedAddress returns the address that other nodes use to reach this one.
func (n *Node) advertisedAddress() string {
	_, port, err := net.SplitHostPort(n.settings.Listen.PeersAdvertised)
	if err == nil && port != "0" {
		return n.settings.Listen.PeersAdvertised
	}
	return n.PeersAddr
}

// serveCallers serves callers' requests until the node is closed.
func (n *Node) serveCallers(l net.Listener) *caller.Server {
	srv := caller.NewServer(caller.Options{
		Handler:          n.entry.Handler(),
		IdleLimit:        func() time.Duration { return callerIdleLimit },
		FirstByteTimeout: headerTimeout,
		HeaderTimeout:    func() time.Duration { return headerTimeout },
		MaxHeaderBytes:   func() int { return n.settings.Limits.MaxHeaderBytes },
		LastAnswer:       caller.RequestTimeout,
		RequestID:        n.entry.NewRequestID,
		Budget:           budget.NewPool(budget.Divide(n.settings.Node.MemoryMB*1e6, budget.Descriptors(n.settings.Node.MaxFDs))),
		Pacer:            budget.NewPacer(n.settings.Node.Capacity),
		Fail:             n.entry.Fail,
		OnPanic: func(p caller.Panic) {
			n.stats.Inc(stats.RequestsPanicked)
			n.logUnanswered("Request failed by a fault of this program", p.Request, "answered", p.Answered,
				"fault", fmt.Sprintf("%.200v", p.Value), "stack", p.Stack)
		},
		OnClose: func(c caller.Closing) {
			if c.Reason == caller.Unanswered {
				n.logUnanswered("Request ended without an answer", c.Request)
				return
			}
			if c.Reason == caller.Limited {
				n.stats.Inc(stats.CallersLimited)
			}
			klog.V(2).InfoS("Connection closed", "limit", c.Limit.Name, "size", c.Limit.Size, "used", c.Limit.Used, "reason", c.Reason, "partial", c.Partial, "idle", c.Idle)
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(l); err != nil {
			klog.ErrorS(err, "Server stopped", "address", l.Addr().String())
		}
	}()
	n.onClose(func() {
		_ = srv.Close()
		<-done
	})
	return srv
}

// logUnanswered logs a request that has no whole answer.
func (n *Node) logUnanswered(message string, r caller.Request, more ...any) {
	klog.InfoS(message, append([]any{
		"request", r.ID, "method", r.Method, "host", r.Host, "path", r.Path, "phase", r.Phase,
		"read", r.Age, "answering", r.Answering, "stopping", !n.entry.Ready(), "config", n.loop.config.Load().Revision,
	}, more...)...)
}

func (n *Node) serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleLimit,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Server stopped", "address", l.Addr().String())
		}
	}()
	n.onClose(func() {
		_ = srv.Close()
		<-done
	})
	return srv
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	o := &operator{
		node: n,
	}
	mux.Handle("/admin/", oper.NewHandler(o, o, o, o))
	mux.HandleFunc("POST /admin/requests/{id}/cancel", o.cancel)
	mux.HandleFunc("GET /debug/vars", o.vars)
	return mux
}

// Ready reports whether the node accepts requests.
func (n *Node) Ready() bool {
	return n.entry.Ready()
}

// Stats returns the counters of the process.
func (n *Node) Stats() *stats.Set {
	return n.stats
}

// Usage returns the amount of control traffic that the process has sent and
// received.
func (n *Node) Usage() wire.Usage {
	return n.meter.Read()
}

// Shutdown stops the node gracefully: /readyz fails first, so that the load
// balancer stops sending requests, then running requests finish, and then slots
// and leases are released. When ctx ends first, the remaining requests are cut
// and their ids returned.
func (n *Node) Shutdown(ctx context.Context) (cut []string) {
	return n.ShutdownBy(ctx, time.Time{})
}

// ShutdownBy is Shutdown with a time, by the node's clock, at which the remaining requests
// are cut. Requests that have not run and cannot be finished before it are rejected at
// once. The zero time means none.
func (n *Node) ShutdownBy(ctx context.Context, endsAt time.Time) (cut []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !endsAt.IsZero() {
		// After the notice only requests on open connections arrive. They are accepted as
		// long as they can be finished.
		n.entry.Stop(drain.Stop{
			AcceptUntil: endsAt,
			EndsAt:      endsAt,
		})
		go clock.At(ctx, n.clock, endsAt, cancel)
	}
	n.audit.Record(audit.Event{
		Reason: audit.ShutdownStarted,
		Node:   n.settings.Node.Name,
	})
	klog.InfoS("Shutdown started", "node", n.settings.Node.Name, "running", len(n.entry.Running()))
	n.loop.post(shutdownStarted{})
	n.entry.SetReady(false)
	select {
	case <-time.After(n.opts.DrainNotice):
	case <-ctx.Done():
	}
	if err := n.callers.Shutdown(ctx); err != nil {
		cut = n.cutRequests()
	}
	n.releaseResources()
	n.audit.Record(audit.Event{
		Reason: audit.ShutdownDone,
		Node:   n.settings.Node.Name,
	})
	klog.InfoS("Shutdown done", "node", n.settings.Node.Name, "cut", len(cut))
	n.close()
	return cut
}

// cutRequests ends the requests that still run with a final answer, and returns their ids.
func (n *Node) cutRequests() []string {
	cut := n.entry.Running()
	for _, id := range cut {
		klog.InfoS("Request cut by shutdown", "request", id)
		n.stats.Inc(stats.RequestsInterrupted)
		n.audit.Record(audit.Event{
			Reason:  audit.ShutdownCut,
			Request: id,
		})
	}
	n.entry.End()
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		klog.InfoS("Callers have not taken their final answers", "connections", n.callers.Counts())
		open := n.callers.Open()
		for _, r := range open[:min(len(open), maxOpenLines)] {
			n.logUnanswered("Request open at the end of the process", r)
		}
	}
	return cut
}

// releaseResources stores pending outcomes and releases slots and the lease. It
// has its own timeout because it is useful even after the operator's deadline.
func (n *Node) releaseResources() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	done := make(chan struct{})
	n.loop.post(releaseLease{
		done: done,
	})
	if err := n.once.FlushPending(ctx); err != nil {
		klog.ErrorS(err, "Call outcomes not stored", "pending", n.once.Pending())
	}
	if err := n.limiter.ReleaseSlots(ctx); err != nil {
		klog.ErrorS(err, "Slots not released; they stay unused until their term ends")
	}
	select {
	case <-done:
	case <-ctx.Done():
		klog.InfoS("Lease not released; other nodes wait until its term ends")
	}
}

// fencingNumber returns the number that identifies this process in fencing
// tokens.
func (n *Node) fencingNumber() uint64 {
	return xxhash.Sum64String(n.settings.Node.Name + "." + incarnationText(n.incarnation))
}
