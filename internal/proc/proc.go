// Package proc assembles the entry process on the users' platform.
package proc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/lead"
	"trefoildale.example/trefoildale/internal/mirror"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/steer"
	"trefoildale.example/trefoildale/internal/trail"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/platform"
)

const (
	// configWait is how long a call for changes of the configuration waits, and
	// endpointWait the same for endpoints. A connection that has fallen silent is
	// noticed after the wait and the time limit.
	configWait   = 800 * time.Millisecond
	endpointWait = 500 * time.Millisecond
	// endpointPace is the least time between two reads of the endpoints, whose
	// entries change with every heartbeat.
	endpointPace = 400 * time.Millisecond
	configPace   = 50 * time.Millisecond
	// storeTimeout is how long the store may take beyond the wait. It answers in
	// a few milliseconds, and in a few hundred when it is slow.
	storeTimeout = 600 * time.Millisecond
	storeBackoff = 250 * time.Millisecond
	// silence is when a connection without an answer is given up.
	silence = 6 * time.Second
	// headerTime is how long a caller may take to send the head of a request.
	headerTime = 5 * time.Second
	// leaseTerm is the coordinator's lease. It leaves time for three renewals at a
	// store that is sixty times slower than usual.
	leaseTerm = 1500 * time.Millisecond
	// leaseWaitMargin is added to the bound on the orders of two holders.
	leaseWaitMargin = 200 * time.Millisecond
	// quotaHeadPart is the part of the allowed excess that a new coordinator
	// issues at once: four may follow each other within a window. quotaSparePart
	// is what nodes without contact may save up in all.
	quotaHeadPart  = 0.1
	quotaSparePart = 0.4
	// drainLeast is how long a stopping process goes on taking requests: the
	// balancer notices after two checks a second apart.
	drainLeast = 2500 * time.Millisecond
	// drainAccept is how long a stopping process takes requests. What is taken
	// later might not be finished before the kill.
	drainAccept = 2900 * time.Millisecond
	// drainMargin is how long before the kill a stopping process ends.
	drainMargin = 300 * time.Millisecond
	// softMemoryPart is the part of the process's memory limit at which the
	// garbage collector works harder.
	softMemory = 160 << 20
)

// Process is an entry process on the users' platform.
type Process struct {
	set      *conf.Fleet
	log      *trail.Log
	clock    clock.Clock
	store    *platform.Store
	table    *steer.Table
	server   *serve.Server
	node     *lead.Node
	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	meters   *metrics
	stopping atomic.Bool
	idle     idleConns
	stopRPC  func()
}

// New returns a process that listens, and a function that releases what it holds.
func New(set *conf.Fleet, out io.Writer) (*Process, func(), error) {
	debug.SetMemoryLimit(softMemory)
	log, closeLog := trail.New(out, "node", set.Node.Name)
	clk := clock.NewReal()
	incarnation := strconv.FormatInt(clk.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	dial := conn.NewDialer(silence)
	store, closeStore := platform.NewStore(set.Store.Address, dial)
	ends, closeEnds := platform.NewEndpoints(dial)
	peers, closePeers := wire.NewClient(new(wire.Meter), dial)
	p := &Process{
		set:    set,
		log:    log,
		clock:  clk,
		store:  store,
		table:  steer.NewTable(set.Node.Domain),
		meters: newMetrics(),
	}
	p.table.SetLog(log.Logger)
	lazy := &lateNode{}
	p.server = serve.New(serve.Options{
		Clock:     clk,
		Table:     p.table,
		Sender:    ends,
		Admission: lazy,
		Demand:    lazy,
		Log:       log.Logger,
		Retries:   retryRule(set),
		Observe:   p.meters,
	})
	p.node = lead.New(lead.Options{
		Node:        set.Node.Name,
		Address:     set.Listen.PeersAdvertised,
		Domain:      set.Node.Domain,
		Incarnation: incarnation,
		Capacity:    set.Node.Capacity,
		Clock:       clk,
		Log:         log.Logger,
		Rows:        store.Rows(platform.OwnTable),
		Peers:       peers,
		Engines:     ends,
		Table:       p.table,
		Seeds:       set.Seeds,
		Decode:      platform.DecodeConfig,
		Server:      p.server,
		LeaseTerm:   leaseTerm,
		LeaseWait:   time.Duration(set.Bounds.Lease) + leaseWaitMargin,
		QuotaHead:   set.Bounds.QuotaSlack * quotaHeadPart,
		QuotaSpare:  set.Bounds.QuotaSlack * quotaSparePart,
	})
	lazy.Node = p.node
	p.addGauges()
	release := func() {
		closePeers()
		closeEnds()
		closeStore()
		closeLog()
	}
	if err := p.listen(); err != nil {
		release()
		return nil, nil, err
	}
	return p, release, nil
}

func (p *Process) addGauges() {
	p.meters.gauge("trefoildale_requests_active", "Requests under way.", func() float64 { return float64(p.server.Active()) })
	p.meters.gauge("trefoildale_log_lines_dropped", "Log lines that were not written.", func() float64 { return float64(p.log.Dropped()) })
	p.meters.gauge("trefoildale_config_version", "Version of the configuration in force.", func() float64 {
		if c := p.server.Config(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	p.meters.gauge("trefoildale_coordinator", "1 where this process is the coordinator.", func() float64 {
		if p.node.Coordinates() {
			return 1
		}
		return 0
	})
	p.meters.gauge("trefoildale_coordinator_age_seconds", "Time since the coordinator last answered this process.", func() float64 {
		return p.node.CoordinatorAge().Seconds()
	})
	p.meters.gauge("trefoildale_store_age_seconds", "Time since the store last answered this process.", func() float64 {
		return p.node.StoreAge().Seconds()
	})
	p.meters.gauge("trefoildale_endpoints", "Endpoints that are registered.", func() float64 { return float64(len(p.table.Endpoints())) })
}

// lateNode lets the server be made before the node that it uses.
type lateNode struct{ *lead.Node }

// Admit implements serve.Admission.
func (l *lateNode) Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (time.Duration, bool) {
	return l.Desk.Admit(ctx, workspace, tokens, wait)
}

func (p *Process) listen() error {
	peers, err := net.Listen("tcp", p.set.Listen.Peers)
	if err != nil {
		return err
	}
	p.stopRPC = wire.ServeFleet(peers, p.node, new(wire.Meter))
	p.callers = &http.Server{
		Handler:           p.idle.guard(platform.NewFront(p.server, p.clock, p.stopping.Load)),
		ReadHeaderTimeout: headerTime,
		ConnState:         p.idle.state,
		ConnContext:       p.idle.context,
	}
	p.idle.limit = func() time.Duration { return platform.IdleLimit(p.server.Config()) }
	p.ready = &http.Server{
		Handler: platform.NewReady(func() bool { return !p.stopping.Load() && p.node.Ready() }),
	}
	p.metrics = &http.Server{
		Handler: p.meters.handler(),
	}
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{server: p.callers, address: p.set.Listen.Callers},
		{server: p.ready, address: p.set.Listen.Ready},
		{server: p.metrics, address: p.set.Listen.Metrics},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		go func() {
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				p.log.Error("listener ended", "address", s.address, "error", err.Error())
			}
		}()
	}
	return nil
}

// Run serves until a signal to stop, then lets running requests finish. SIGHUP
// has the settings read again by read.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal, read func() (*conf.Fleet, error)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
	}()
	p.log.Info("process started", "domain", p.set.Node.Domain, "callers", p.set.Listen.Callers,
		"store", p.set.Store.Address, "seeds", len(p.set.Seeds))
	wg.Go(func() { p.node.Run(ctx) })
	wg.Go(func() { p.configMirror(ctx).Run(ctx) })
	wg.Go(func() { p.endpointMirror(ctx).Run(ctx) })
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(read)
				continue
			}
			p.log.Info("stop requested", "signal", s.String(), "active", p.server.Active())
		case <-ctx.Done():
		}
		break
	}
	p.drain(signals)
}

// reload takes over changed settings: seeds, grace and the bounds on retries.
// Everything else names the process or holds from its start; the log names what
// is in force only after a restart.
func (p *Process) reload(read func() (*conf.Fleet, error)) {
	set, err := read()
	if err != nil {
		p.log.Error("settings not usable, the former ones stay in force", "error", err.Error())
		return
	}
	p.node.SetSeeds(set.Seeds)
	p.server.SetRetries(retryRule(set))
	var later []string
	for name, same := range map[string]bool{
		"node":        set.Node == p.set.Node,
		"listen":      set.Listen == p.set.Listen,
		"store":       set.Store == p.set.Store,
		"lease":       set.Bounds.Lease == p.set.Bounds.Lease,
		"quota-slack": set.Bounds.QuotaSlack == p.set.Bounds.QuotaSlack,
	} {
		if !same {
			later = append(later, name)
		}
	}
	slices.Sort(later)
	p.set.Seeds, p.set.Bounds.Grace = set.Seeds, set.Bounds.Grace
	p.log.Info("settings in force", "seeds", len(set.Seeds), "grace", time.Duration(set.Bounds.Grace).String(),
		"retry-ratio", set.Bounds.RetryRatio, "retry-slack", set.Bounds.RetrySlack, "after-restart", later)
}

func retryRule(set *conf.Fleet) serve.RetryRule {
	return serve.RetryRule{
		Ratio:  set.Bounds.RetryRatio,
		Slack:  set.Bounds.RetrySlack,
		Window: time.Duration(set.Bounds.RetryWindow),
	}
}

// drain takes the process out of the balancer, lets running requests finish and
// ends before the kill.
func (p *Process) drain(signals <-chan os.Signal) {
	began := p.clock.Now()
	kill := began.Add(time.Duration(p.set.Bounds.Grace) - drainMargin)
	p.stopping.Store(true)
	p.server.RefuseFrom(began.Add(drainAccept))
	p.node.Stop()
	p.idle.stop()
	for {
		now := p.clock.Now()
		if now.Sub(began) >= drainLeast && p.server.Active() == 0 || !now.Before(kill) {
			break
		}
		select {
		case <-signals:
		case <-time.After(20 * time.Millisecond):
		}
	}
	p.node.Leave(context.Background())
	p.log.Info("process ends", "active", p.server.Active(), "after-ms", p.clock.Now().Sub(began).Milliseconds())
}

func (p *Process) configMirror(ctx context.Context) *mirror.Mirror {
	return mirror.New(p.store, mirror.Options{
		Table:   platform.ConfigTable,
		Wait:    configWait,
		Pace:    configPace,
		Timeout: storeTimeout,
		Backoff: storeBackoff,
		Skip:    p.node.Relayed,
		Seen:    func() { p.node.StoreSeen(lead.ConfigReader) },
		Apply: func(rows []mirror.Row, _ int64, _ bool) {
			for _, r := range rows {
				if r.Key != platform.ConfigKey || r.Deleted {
					continue
				}
				if err := p.node.SetDocument(ctx, r.Value, "store"); err != nil {
					p.log.Error("configuration not usable, the former one stays in force", "row-version", r.Version, "error", err.Error())
				}
			}
		},
		State: func(err error) {
			p.storeState("configuration", err)
		},
	})
}

func (p *Process) endpointMirror(ctx context.Context) *mirror.Mirror {
	return mirror.New(p.store, mirror.Options{
		Table:   platform.EndpointTable,
		Wait:    endpointWait,
		Pace:    endpointPace,
		Timeout: storeTimeout,
		Backoff: storeBackoff,
		Skip:    p.node.Relayed,
		Seen:    func() { p.node.StoreSeen(lead.EndpointReader) },
		Apply: func(rows []mirror.Row, version int64, complete bool) {
			changes := make([]fleet.Change, len(rows))
			for i, r := range rows {
				changes[i] = fleet.Change{
					Name:    r.Key,
					Version: r.Version,
				}
				if r.Deleted {
					continue
				}
				e, err := platform.DecodeEndpoint(r.Key, r.Value)
				if err != nil {
					p.log.Warn("entry names no endpoint", "entry", r.Key, "row-version", r.Version, "error", err.Error())
					continue
				}
				changes[i].Endpoint = e
			}
			p.node.SetEndpoints(ctx, changes, version, complete)
		},
		State: func(err error) {
			p.node.SetStore(err)
			p.storeState("endpoints", err)
		},
	})
}

func (p *Process) storeState(what string, err error) {
	if err != nil {
		p.log.Warn("store lost", "reader", what, "error", err.Error())
		return
	}
	p.log.Info("store regained", "reader", what)
}
