// Package proc assembles and runs the entry process on the users' platform.
package proc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/caller"
	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/coord"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/mirror"
	"trefoildale.example/trefoildale/internal/picker"
	"trefoildale.example/trefoildale/internal/poison"
	"trefoildale.example/trefoildale/internal/serve"
	"trefoildale.example/trefoildale/internal/trail"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/platform"
)

const (
	// configLongPoll and endpointLongPoll are how long a call to the store waits for
	// changes of the configuration and of the endpoints. An unresponsive connection
	// is noticed after this wait plus storeTimeout.
	configLongPoll   = 800 * time.Millisecond
	endpointLongPoll = 500 * time.Millisecond
	// minEndpointInterval and minConfigInterval are the minimum time between the
	// starts of two reads. Entries of endpoints change with every heartbeat.
	minEndpointInterval = 400 * time.Millisecond
	minConfigInterval   = 50 * time.Millisecond
	// storeTimeout is how long the store may take in addition to the long-poll wait.
	// It usually answers within a few milliseconds, and within a few hundred when
	// it is slow.
	storeTimeout = 600 * time.Millisecond
	storeBackoff = 250 * time.Millisecond
	// unresponsivePeerTimeout is how long a peer may leave sent TCP data or keepalive
	// probes unacknowledged before the connection is closed.
	unresponsivePeerTimeout = 6 * time.Second
	// firstByteTimeout is how long a connection may be open before the first byte of its
	// first request.
	firstByteTimeout = 5 * time.Second
	// leaseTerm is the duration of the coordinator's lease. It leaves time for three
	// renewals even if the store is sixty times slower than usual.
	leaseTerm = 1500 * time.Millisecond
	// leaseWaitMargin is added to the configured minimum time between orders of two
	// lease holders.
	leaseWaitMargin = 200 * time.Millisecond
	// quotaInitialShare is the fraction of the quota slack that a new coordinator
	// may issue at once: four coordinators may follow each other within a window.
	// quotaDisconnectedShare is the fraction that all nodes without contact to the
	// coordinator may accumulate together.
	quotaInitialShare      = 0.1
	quotaDisconnectedShare = 0.4
	// minDrainTime is how long a stopping process keeps accepting connections at
	// least: the load balancer notices after two health checks a second apart.
	minDrainTime = 2500 * time.Millisecond
	// drainAcceptTime is how long a stopping process accepts requests. A request
	// accepted later might not finish before the process is killed.
	drainAcceptTime = 2900 * time.Millisecond
	// drainCheckInterval is how often a stopping process checks for running requests.
	drainCheckInterval = 20 * time.Millisecond
	// interruptMargin is how long before its exit a stopping process answers the
	// requests that still wait, with an error.
	interruptMargin = 200 * time.Millisecond
	// pulseInterval is how often the process notes that it handles signals.
	pulseInterval = 100 * time.Millisecond
	// drainKillMargin is how long before the kill a stopping process exits.
	drainKillMargin = 300 * time.Millisecond
	// exitMargin is how much longer the process waits for its goroutines.
	exitMargin = 100 * time.Millisecond
	// softMemoryShare is the part of the process's memory that is the soft limit of
	// the Go runtime: the garbage collector runs more often as memory use approaches
	// it. The rest is for bytes that the kernel holds and for what grows meanwhile.
	softMemoryShare = 0.7
	// maxOpenLines bounds the lines about requests that are open when the process ends.
	maxOpenLines = 50
	// defaultSoftMemory is that limit in bytes if the memory is not known.
	defaultSoftMemory = 160 << 20
)

// Process is an entry process on the users' platform.
type Process struct {
	settings       *conf.Fleet
	log            *trail.Log
	clock          clock.Clock
	store          *platform.Store
	table          *picker.Table
	server         *serve.Server
	node           *coord.Node
	callerServer   *caller.Server
	readyServer    *caller.Server
	metricsServer  *caller.Server
	requestMetrics *metrics
	// budget is what callers may use of the process's memory and descriptors.
	budget *budget.Pool
	limits limitLog
	// pulse belongs to the goroutine of Run.
	pulse    *drain.Pulse
	stopping atomic.Bool
	stopRPC  func()
}

// New returns a process whose listeners are open, and a function that closes its
// clients and its log.
func New(settings *conf.Fleet, out io.Writer) (*Process, func(), error) {
	debug.SetMemoryLimit(softMemoryLimit(settings.Node.MemoryMB))
	log, closeLog := trail.New(out, "node", settings.Node.Name)
	clk := clock.NewReal()
	incarnation := strconv.FormatInt(clk.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	dial := conn.NewDialer(unresponsivePeerTimeout)
	store, closeStore := platform.NewStore(settings.Store.Address, dial)
	store.SetLog(log.Logger)
	endpoints, closeEndpoints := platform.NewEndpoints(dial)
	peers, closePeers := wire.NewClient(new(wire.Meter), dial)
	p := &Process{
		settings:       settings,
		log:            log,
		clock:          clk,
		store:          store,
		table:          picker.NewTable(settings.Node.Domain),
		requestMetrics: newMetrics(),
		budget:         newBudget(settings),
		pulse:          drain.NewPulse(clk.Now()),
	}
	p.table.SetLog(log.Logger)
	holder := &nodeHolder{}
	parts := poison.New(log.Logger)
	pacer := coord.NewPacer(clk, p.table.Health())
	p.server = serve.New(serve.Options{
		Clock:     clk,
		Table:     p.table,
		Sender:    endpoints,
		Admission: holder,
		Demand:    holder,
		Log:       log.Logger,
		Retries:   retryRule(settings),
		Observer:  p.requestMetrics,
		Parts:     parts,
		Prober:    endpoints,
		MayTest:   func() bool { return p.node.IsCoordinator() },
		Places:    pacer,
		Budget:    p.budget,
	})
	p.node = coord.New(coord.Options{
		Node:              settings.Node.Name,
		Address:           settings.Listen.PeersAdvertised,
		Domain:            settings.Node.Domain,
		Incarnation:       incarnation,
		Capacity:          settings.Node.Capacity,
		Clock:             clk,
		Log:               log.Logger,
		Rows:              store.Rows(platform.SystemTable),
		Peers:             peers,
		Engines:           endpoints,
		Table:             p.table,
		Seeds:             settings.Seeds,
		Decode:            platform.DecodeConfig,
		Server:            p.server,
		LeaseTerm:         leaseTerm,
		LeaseWait:         time.Duration(settings.Bounds.Lease) + leaseWaitMargin,
		Heartbeat:         time.Duration(settings.Store.Heartbeat),
		QuotaInitial:      settings.Bounds.QuotaSlack * quotaInitialShare,
		QuotaDisconnected: settings.Bounds.QuotaSlack * quotaDisconnectedShare,
		Parts:             parts,
		Pacer:             pacer,
	})
	holder.Node = p.node
	store.OnEra(func(before, era int64) {
		log.Warn("store has a new era", "era", era, "before", before)
		p.node.StoreRestored()
	})
	endpoints.SetListener(p.node)
	p.addGauges(parts)
	p.addBudgetGauges()
	release := func() {
		closePeers()
		closeEndpoints()
		closeStore()
		closeLog()
	}
	if err := p.listen(); err != nil {
		release()
		return nil, nil, err
	}
	return p, release, nil
}

func (p *Process) addGauges(parts *poison.Tracker) {
	p.requestMetrics.addGauge("trefoildale_prompt_parts_blocked", "Parts of prompts that are blocked because engines crashed with them.", func() float64 {
		return float64(parts.Blocked())
	})
	p.requestMetrics.addGauge("trefoildale_requests_active", "Requests under way.", func() float64 { return float64(p.server.Active()) })
	p.requestMetrics.addGauge("trefoildale_log_lines_dropped", "Log lines that were not written.", func() float64 { return float64(p.log.Dropped()) })
	p.requestMetrics.addGauge("trefoildale_config_version", "Version of the configuration in force.", func() float64 {
		return float64(p.configVersion())
	})
	p.requestMetrics.addGauge("trefoildale_config_newest_version", "Version of the newest configuration in force here or named by another process.", func() float64 {
		return float64(p.server.NewestConfig())
	})
	p.requestMetrics.addGauge("trefoildale_coordinator", "1 where this process is the coordinator.", func() float64 {
		if p.node.IsCoordinator() {
			return 1
		}
		return 0
	})
	p.requestMetrics.addGauge("trefoildale_coordinator_age_seconds", "Time since the coordinator last answered this process.", func() float64 {
		return p.node.CoordinatorAge().Seconds()
	})
	p.requestMetrics.addGauge("trefoildale_store_age_seconds", "Time since the store last answered this process.", func() float64 {
		return p.node.StoreAge().Seconds()
	})
	p.requestMetrics.addGauge("trefoildale_store_era", "How often the store was restored from a copy, by its highest answer.", func() float64 {
		return float64(p.store.Era())
	})
	p.requestMetrics.addGauge("trefoildale_endpoints_limited", "Endpoints that limit how many requests per second they take.", func() float64 {
		return float64(len(p.table.Health().Limits()))
	})
	p.requestMetrics.addGauge("trefoildale_endpoints", "Endpoints that are registered.", func() float64 { return float64(len(p.table.Endpoints())) })
}

// softMemoryLimit returns the soft memory limit in bytes for a process that may use
// the given memory.
func softMemoryLimit(memoryMB float64) int64 {
	if memoryMB == 0 {
		return defaultSoftMemory
	}
	return int64(memoryMB * softMemoryShare * 1e6)
}

// nodeHolder lets the server be created before the node that it uses, since the
// node needs the server too.
type nodeHolder struct{ *coord.Node }

// Admit implements serve.Admission.
func (h *nodeHolder) Admit(ctx context.Context, workspace string, tokens float64, wait time.Duration) (serve.Refusal, bool) {
	return h.Admitter.Admit(ctx, workspace, tokens, wait)
}

func (p *Process) listen() error {
	peers, err := net.Listen("tcp", p.settings.Listen.Peers)
	if err != nil {
		return err
	}
	p.stopRPC = wire.ServeFleet(caller.Bound(peers, p.newPeersBudget(), p.recordClosingAt("peers")), p.node, new(wire.Meter))
	front := platform.NewFront(p.server, p.clock)
	p.callerServer = caller.NewServer(caller.Options{
		Handler:          front,
		IdleLimit:        func() time.Duration { return platform.IdleLimit(p.server.Config()) },
		IdleMargin:       time.Duration(p.settings.Bounds.ConfigApply),
		FirstByteTimeout: firstByteTimeout,
		HeaderTimeout:    func() time.Duration { return platform.HeaderTimeout(p.server.Config()) },
		MaxHeaderBytes:   func() int { return platform.MaxHeaderBytes(p.server.Config()) },
		LastAnswer:       caller.RequestTimeout,
		RequestID:        platform.RequestID,
		Fail:             front.Fail,
		OnPanic:          p.recordPanic,
		OnClose:          p.recordClosingAt("callers"),
		Budget:           p.budget,
		Pacer:            budget.NewPacer(p.settings.Node.Capacity),
	})
	p.readyServer = p.newSideServer("ready", platform.NewReadyHandler(func() bool { return !p.stopping.Load() && p.node.Ready() }))
	p.metricsServer = p.newSideServer("metrics", p.requestMetrics.handler())
	for _, s := range []struct {
		server interface {
			Serve(net.Listener) error
		}
		address string
	}{
		{server: p.callerServer, address: p.settings.Listen.Callers},
		{server: p.readyServer, address: p.settings.Listen.Ready},
		{server: p.metricsServer, address: p.settings.Listen.Metrics},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		go func() {
			if err := s.server.Serve(l); err != nil {
				p.log.Error("listener failed", "address", s.address, "error", err.Error())
			}
		}()
	}
	return nil
}

// Run serves requests until a stop signal arrives or the context ends, and then
// drains the process. On SIGHUP it reloads the settings with read.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal, read func() (*conf.Fleet, error)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	p.log.Info("process started", "domain", p.settings.Node.Domain, "callers", p.settings.Listen.Callers,
		"store", p.settings.Store.Address, "seeds", len(p.settings.Seeds))
	wg.Go(func() { p.node.Run(ctx) })
	wg.Go(func() { p.configMirror(ctx).Run(ctx) })
	wg.Go(func() { p.endpointMirror(ctx).Run(ctx) })
	// A ticker may fire twice in a row after a suspension, before the signal is handled.
	beat := time.NewTimer(pulseInterval)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			p.pulse.Beat(p.clock.Now())
			beat.Reset(pulseInterval)
			continue
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(read)
				continue
			}
			p.log.Info("stop requested", "signal", s.String(), "active", p.server.Active(),
				"late-ms-at-most", p.clock.Now().Sub(p.pulse.Since()).Milliseconds(), "grace-ms", time.Duration(p.settings.Bounds.Grace).Milliseconds())
		case <-ctx.Done():
		}
		break
	}
	exitBy := p.drain(signals, read)
	cancel()
	if !waitFor(&wg, exitBy.Sub(p.clock.Now())) {
		p.log.Warn("process ends before its goroutines")
	}
}

// waitFor waits for goroutines and reports whether they ended within the limit.
func waitFor(wg *sync.WaitGroup, limit time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// reload applies changes of the seeds, the grace and the bounds on retries. All
// other settings need a restart; the log lists those that differ.
func (p *Process) reload(read func() (*conf.Fleet, error)) {
	settings, err := read()
	if err != nil {
		p.log.Error("settings not usable, the former ones stay in force", "error", err.Error())
		return
	}
	p.node.SetSeeds(settings.Seeds)
	p.server.SetRetries(retryRule(settings))
	var afterRestart []string
	for name, unchanged := range map[string]bool{
		"node":         settings.Node == p.settings.Node,
		"listen":       settings.Listen == p.settings.Listen,
		"store":        settings.Store == p.settings.Store,
		"lease":        settings.Bounds.Lease == p.settings.Bounds.Lease,
		"config-apply": settings.Bounds.ConfigApply == p.settings.Bounds.ConfigApply,
		"quota-slack":  settings.Bounds.QuotaSlack == p.settings.Bounds.QuotaSlack,
	} {
		if !unchanged {
			afterRestart = append(afterRestart, name)
		}
	}
	slices.Sort(afterRestart)
	p.settings.Seeds, p.settings.Bounds.Grace = settings.Seeds, settings.Bounds.Grace
	p.log.Info("settings in force", "seeds", len(settings.Seeds), "grace", time.Duration(settings.Bounds.Grace).String(),
		"retry-ratio", settings.Bounds.RetryRatio, "retry-slack", settings.Bounds.RetrySlack, "after-restart", afterRestart)
}

func retryRule(settings *conf.Fleet) serve.RetryRule {
	return serve.RetryRule{
		Ratio:  settings.Bounds.RetryRatio,
		Slack:  settings.Bounds.RetrySlack,
		Window: time.Duration(settings.Bounds.RetryWindow),
	}
}

// drain makes the process report not ready to the load balancer, lets running
// requests finish and returns before the process is killed at the end of its
// grace, which counts from the signal. A grace that is lowered meanwhile holds too. It
// returns by when the process has to exit.
func (p *Process) drain(signals <-chan os.Signal, read func() (*conf.Fleet, error)) (exitBy time.Time) {
	startedAt, since := p.clock.Now(), p.pulse.Since()
	kill := p.killTime(since)
	plan := drain.Stop{
		Since:       since,
		AcceptUntil: since.Add(drainAcceptTime),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follow := func() {
		plan.EndsAt = kill.Add(-interruptMargin)
		p.server.SetStop(plan)
		go clock.At(ctx, p.clock, plan.EndsAt, func() {
			p.log.Warn("requests interrupted at the end of the grace", "active", p.server.Active())
			p.server.Interrupt()
		})
		go clock.At(ctx, p.clock, kill, cancel)
	}
	p.stopping.Store(true)
	follow()
	p.node.ReleaseLease()
	// Callers that are idle go on at other nodes, which shortens the stop.
	p.callerServer.CloseIdle()
	for p.waitUntil(signals, kill, func(now time.Time) bool {
		return now.Sub(startedAt) >= minDrainTime && p.callerServer.Counts().Busy == 0
	}) {
		p.reload(read)
		if lowered := p.killTime(since); lowered.Before(kill) {
			kill = lowered
			// The requests that are interrupted need time for their answers.
			if earliest := p.clock.Now().Add(interruptMargin); kill.Before(earliest) {
				kill = earliest
			}
			follow()
		}
	}
	// Requests that still arrive are refused, and those accepted before are finished.
	plan.AcceptUntil = p.clock.Now()
	p.server.SetStop(plan)
	p.node.Leave(ctx)
	n := p.callerServer.Counts()
	p.log.Info("listener closes", "busy", n.Busy, "idle", n.Idle, "without-request", n.Fresh)
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.log.Warn("requests cut at the end of the grace", "busy", p.callerServer.Counts().Busy)
		p.logOpen()
	}
	p.log.Info("process ends", "active", p.callerServer.Counts().Busy, "after-ms", p.clock.Now().Sub(startedAt).Milliseconds())
	return kill.Add(exitMargin)
}

// killTime returns when a process that got the signal to stop at the given time has to end
// what still runs.
func (p *Process) killTime(since time.Time) time.Time {
	return since.Add(time.Duration(p.settings.Bounds.Grace) - drainKillMargin)
}

// waitUntil returns once done returns true, or at limit. It returns early, and true, if the
// settings are to be read again.
func (p *Process) waitUntil(signals <-chan os.Signal, limit time.Time, done func(now time.Time) bool) (isReload bool) {
	for {
		now := p.clock.Now()
		if done(now) || !now.Before(limit) {
			return false
		}
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				return true
			}
		case <-time.After(drainCheckInterval):
		}
	}
}

// recordClosing counts connections that the process closes, and logs those of which a
// request or a part of one was read.
func (p *Process) recordClosing(listener string, c caller.Closing) {
	p.requestMetrics.connsClosed.WithLabelValues(string(c.Reason)).Inc()
	switch {
	case c.Reason == caller.Limited:
		p.recordLimited(listener, c)
	case c.Reason == caller.Unanswered:
		p.logUnanswered("request ended without an answer", c.Request)
	case c.Partial:
		p.log.Warn("connection closed within a request's header", "reason", string(c.Reason), "idle-ms", c.Idle.Milliseconds())
	}
}

// recordPanic counts and logs a request whose handler has panicked.
func (p *Process) recordPanic(c caller.Panic) {
	p.requestMetrics.panics.Inc()
	r := c.Request
	p.log.Error("request failed by a fault of this program", "request", r.ID, "method", r.Method, "host", r.Host, "path", r.Path,
		"phase", string(r.Phase), "read-ms-ago", r.Age.Milliseconds(), "answered", c.Answered, "config", p.configVersion(),
		"fault", fmt.Sprintf("%.200v", c.Value), "stack", c.Stack)
}

// logUnanswered logs a request that has no whole answer.
func (p *Process) logUnanswered(message string, r caller.Request) {
	p.log.Warn(message, "request", r.ID, "method", r.Method, "host", r.Host, "path", r.Path, "phase", string(r.Phase),
		"read-ms-ago", r.Age.Milliseconds(), "answering", r.Answering, "stopping", p.stopping.Load(), "config", p.configVersion())
}

// configVersion returns the version of the configuration in force, or 0.
func (p *Process) configVersion() int64 {
	c := p.server.Config()
	if c == nil {
		return 0
	}
	return c.Version
}

// logOpen logs the requests that end with the process, at most maxOpenLines of them.
func (p *Process) logOpen() {
	open := p.callerServer.Open()
	for _, r := range open[:min(len(open), maxOpenLines)] {
		p.logUnanswered("request open at the end of the process", r)
	}
	if more := len(open) - maxOpenLines; more > 0 {
		p.log.Warn("more requests open at the end of the process", "more", more)
	}
}

func (p *Process) configMirror(ctx context.Context) *mirror.Mirror {
	return mirror.New(p.store, mirror.Options{
		Table:       platform.ConfigTable,
		Wait:        configLongPoll,
		MinInterval: minConfigInterval,
		Timeout:     storeTimeout,
		Backoff:     storeBackoff,
		Paused:      p.node.IsStoreRelayed,
		OnAnswer:    func() { p.node.RecordStoreAnswer(coord.ConfigReader) },
		OnFullRead:  func(reason string, after int64) { p.logFullRead("configuration", reason, after) },
		Apply: func(rows []mirror.Row, _ int64, _ bool) {
			for _, r := range rows {
				if r.Key != platform.ConfigKey || r.Deleted {
					continue
				}
				if err := p.node.SetRawConfig(ctx, r.Value, "store"); err != nil {
					p.log.Error("configuration not usable, the former one stays in force", "row-version", r.Version, "error", err.Error())
				}
				p.callerServer.LimitChanged()
			}
		},
		OnStateChange: func(err error) {
			p.logStoreState("configuration", err)
		},
	})
}

func (p *Process) endpointMirror(ctx context.Context) *mirror.Mirror {
	return mirror.New(p.store, mirror.Options{
		Table:       platform.EndpointTable,
		Wait:        endpointLongPoll,
		MinInterval: minEndpointInterval,
		Timeout:     storeTimeout,
		Backoff:     storeBackoff,
		Paused:      p.node.IsStoreRelayed,
		OnAnswer:    func() { p.node.RecordStoreAnswer(coord.EndpointReader) },
		OnFullRead:  func(reason string, after int64) { p.logFullRead("endpoints", reason, after) },
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
		OnStateChange: func(err error) {
			p.node.SetStoreState(err)
			p.logStoreState("endpoints", err)
		},
	})
}

func (p *Process) logFullRead(reader, reason string, after int64) {
	p.log.Info("table read in full", "reader", reader, "reason", reason, "after", after, "era", p.store.Era())
}

func (p *Process) logStoreState(reader string, err error) {
	if err != nil {
		p.log.Warn("store lost", "reader", reader, "error", err.Error())
		return
	}
	p.log.Info("store regained", "reader", reader)
}
