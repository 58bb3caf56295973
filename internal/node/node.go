// Package node assembles an entry process: the control loop that owns all
// control state, the workers that talk to peers, platform and endpoints, and
// the servers for callers, peers and operators.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/conn"
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
	// drainNotice is how long the process keeps taking requests after /readyz
	// began to fail, so that the load balancer notices first.
	drainNotice = 2 * time.Second
	// giveBackTimeout bounds the return of slots and leases at shutdown.
	giveBackTimeout = 10 * time.Second
)

// Options are what a Node is made from.
type Options struct {
	Settings *conf.Settings
	// Policy decides placement; nil means the planner.
	Policy place.Policy
	// Picker makes the endpoint choice from the routing table; nil means the
	// table's own.
	Picker func(*route.Table) route.Picker
	// Dial opens the connections to the platform, to peers and to endpoints; nil
	// means net.Dialer.
	Dial conn.Dial
	// DrainNotice overrides the time between failing /readyz and stopping to
	// take requests; zero means the default.
	DrainNotice time.Duration
}

// Node is a running entry process.
type Node struct {
	opts  Options
	set   *conf.Settings
	clock clock.Clock
	inc   uint64

	store   *store.Client
	engines *engine.Client
	wire    *wire.Client
	meter   wire.Meter

	audit   *audit.Log
	stats   *stats.Set
	gate    *keys.Gate
	routes  *route.Table
	limiter *limit.Limiter
	once    *once.Guard
	board   *board
	trans   *transport
	entry   *entry.Server
	loop    *loop

	callers *http.Server
	admin   *http.Server
	// Bound addresses.
	CallersAddr string
	PeersAddr   string
	AdminAddr   string

	stops []func()
}

// New starts a node. The returned function ends it at once; Shutdown ends it
// without cutting requests.
func New(opts Options) (*Node, func(), error) {
	if opts.DrainNotice == 0 {
		opts.DrainNotice = drainNotice
	}
	n := &Node{
		opts:  opts,
		set:   opts.Settings,
		clock: clock.NewReal(),
		// Restarts within a microsecond do not happen, so the incarnation grows.
		inc:   uint64(time.Now().UnixMicro()),
		stats: stats.New(),
		board: newBoard(),
	}
	if err := n.start(); err != nil {
		n.close()
		return nil, nil, eris.Wrapf(err, "start node %s", n.set.Node.Name)
	}
	return n, n.close, nil
}

func (n *Node) onClose(f func()) {
	n.stops = append(n.stops, f)
}

// close runs the clean-up functions in reverse order.
func (n *Node) close() {
	for i := len(n.stops) - 1; i >= 0; i-- {
		n.stops[i]()
	}
	n.stops = nil
}

func (n *Node) start() error {
	name, domain := n.set.Node.Name, n.set.Node.Domain
	var release func()
	n.store, release = store.NewClientDial(n.set.Platform.URL, n.opts.Dial)
	n.onClose(release)
	n.engines, release = engine.NewClient(engine.Options{
		Name: name,
		Dial: n.opts.Dial,
	})
	n.onClose(release)
	n.wire, release = wire.NewClient(&n.meter, n.opts.Dial)
	n.onClose(release)
	n.trans = newTransport(n.wire)
	n.audit = audit.New(name, 0, n.clock)
	n.gate = keys.NewGate(n.clock)
	n.routes = route.NewTable(route.Settings{
		Domain: domain,
	})
	n.limiter, release = limit.New(limit.Options{
		Node:        name,
		Incarnation: n.inc,
		Domain:      domain,
		Clock:       n.clock,
		Table:       n.store,
		Transport:   n.trans,
	})
	n.onClose(release)
	n.loop = newLoop(n)
	n.once = &once.Guard{
		Table: n.store,
		Clock: n.clock,
		Node:  name + "." + incarnationText(n.inc),
		Dead:  n.loop.ownerDead,
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
		Node:        n.set.Node.Name,
		Incarnation: n.inc,
		Clock:       n.clock,
		Gate:        n.gate,
		Admitter:    n.limiter,
		Routes:      n.routes,
		Picker:      picker,
		Engines:     n.engines,
		Once:        n.once,
		Audit:       n.audit,
		Stats:       n.stats,
		Demand:      n.board,
		Limits: entry.Limits{
			MaxBodyBytes: n.set.Limits.MaxBodyBytes,
			StreamIdle:   time.Duration(n.set.Limits.StreamIdle),
		},
	})
}

// listen binds the three addresses and serves callers, peers and operators.
func (n *Node) listen() error {
	peersL, err := net.Listen("tcp", n.set.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	n.PeersAddr = peersL.Addr().String()
	callersL, err := net.Listen("tcp", n.set.Listen.Callers)
	if err != nil {
		_ = peersL.Close()
		return eris.Wrap(err, "listen for callers")
	}
	n.CallersAddr = callersL.Addr().String()
	adminL, err := net.Listen("tcp", n.set.Listen.Admin)
	if err != nil {
		_ = peersL.Close()
		_ = callersL.Close()
		return eris.Wrap(err, "listen for operators")
	}
	n.AdminAddr = adminL.Addr().String()
	n.loop.bind(n.advertised())
	stop := wire.Serve(peersL, &peerHandler{
		node: n,
	}, &n.meter)
	n.onClose(stop)
	n.callers = n.serve(callersL, n.entry.Handler())
	n.admin = n.serve(adminL, n.adminHandler())
	return nil
}

// advertised is the address that other nodes are told.
func (n *Node) advertised() string {
	_, port, err := net.SplitHostPort(n.set.Listen.PeersAdvertised)
	if err == nil && port != "0" {
		return n.set.Listen.PeersAdvertised
	}
	return n.PeersAddr
}

func (n *Node) serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.set.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
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

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool {
	return n.entry.Ready()
}

// Stats returns the counters of the process.
func (n *Node) Stats() *stats.Set {
	return n.stats
}

// Usage returns the control traffic of the process.
func (n *Node) Usage() wire.Usage {
	return n.meter.Read()
}

// Shutdown stops the node without cutting requests: the load balancer is told
// first, then every running request ends, then what the node holds is given
// back. When ctx ends first, the requests that were cut are returned.
func (n *Node) Shutdown(ctx context.Context) (cut []string) {
	n.audit.Record(audit.Event{
		Reason: audit.ShutdownStarted,
		Node:   n.set.Node.Name,
	})
	klog.InfoS("Shutdown started", "node", n.set.Node.Name, "running", len(n.entry.Running()))
	n.loop.post(leaving{})
	n.entry.SetReady(false)
	select {
	case <-time.After(n.opts.DrainNotice):
	case <-ctx.Done():
	}
	if err := n.callers.Shutdown(ctx); err != nil {
		cut = n.entry.Running()
		for _, id := range cut {
			klog.InfoS("Request cut by shutdown", "request", id)
			n.stats.Inc(stats.RequestsInterrupted)
			n.audit.Record(audit.Event{
				Reason:  audit.ShutdownCut,
				Request: id,
			})
		}
	}
	n.giveBack()
	n.audit.Record(audit.Event{
		Reason: audit.ShutdownDone,
		Node:   n.set.Node.Name,
	})
	klog.InfoS("Shutdown done", "node", n.set.Node.Name, "cut", len(cut))
	n.close()
	return cut
}

// giveBack returns leases, slots and stored outcomes. It has its own bound: it
// is worth doing even after the operator's deadline.
func (n *Node) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
	defer cancel()
	done := make(chan struct{})
	n.loop.post(release{
		done: done,
	})
	if err := n.once.Sweep(ctx); err != nil {
		klog.ErrorS(err, "Outcomes of calls are not stored", "pending", n.once.Pending())
	}
	if err := n.limiter.GiveBack(ctx); err != nil {
		klog.ErrorS(err, "Slots are not given back; they stay unused for their term")
	}
	select {
	case <-done:
	case <-ctx.Done():
		klog.InfoS("Lease is not given back; others wait for its term")
	}
}

// number tells this process from every other one in fencing tokens.
func (n *Node) number() uint64 {
	return xxhash.Sum64String(n.set.Node.Name + "." + incarnationText(n.inc))
}
