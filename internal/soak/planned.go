package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	plannedEngines       = 9
	plannedPlain         = 3
	callersPerEngine     = 5
	plannedEventInterval = 40 * time.Millisecond
	// lateAcceptBound is how long after the signal to stop a request may be sent whose
	// stream the end of the grace may cut, if its engine is at work in the last
	// sixth of the grace.
	lateAcceptBound = 3 * time.Second
	lastSixth       = graceBound - graceBound/6
	// lostSlack is how long a connection without an answer may stay open if its request
	// was not passed on.
	lostSlack = 200 * time.Millisecond
	// unlimitedRate is a rate that nobody reaches.
	unlimitedRate = 1_000_000
	// deadlineSlack is how early an answer may end because of its deadline.
	deadlineSlack = 100 * time.Millisecond
	// stopSilenceShare is the share of stops with an engine that falls silent.
	stopSilenceShare = 0.7
	// secondSignalShare is the share of stops with a second signal.
	secondSignalShare = 0.5
	// delayShare is the share of stops whose process is suspended around the signal, for
	// minDelay to maxDelay.
	delayShare         = 0.5
	minDelay, maxDelay = 100 * time.Millisecond, 500 * time.Millisecond
)

// plannedEvents is how many events a stream has at most, by route. Those that may be
// resumed may last longer than a stop.
var plannedEvents = map[string]int{"notes": 56, "plans": 190, "lookup": 9, "book": 1, "read": 1}

// silence is a time in which an engine sent nothing.
type silence struct {
	endpoint string
	from, to time.Time
}

// plannedDeployment has streams of three lengths, with a short longest pause, and rates
// that nobody reaches.
func plannedDeployment() site.Config {
	c := deployment()
	for i := range c.Routes {
		r := &c.Routes[i]
		r.TimeoutMS, r.ObjectiveMS, r.PauseMS = 15_000, 250, 150
		switch r.Name {
		case "plans":
			r.ObjectiveMS = 1200
		case "book", "read":
			r.TimeoutMS, r.ObjectiveMS = 3000, 300
		}
	}
	c.Services = append(c.Services, site.Service{
		Name:       spareService,
		HealthPath: c.Services[1].HealthPath,
	})
	spare := c.Services[0].Engine.Models[0]
	spare.Name, spare.MB = spareModel, 30
	c.Services[0].Engine.Models = append(c.Services[0].Engine.Models, spare)
	lookup := c.Routes[0]
	lookup.Name, lookup.Prefix, lookup.TimeoutMS = "lookup", "/lookup/", 4000
	c.Routes = append(c.Routes, lookup)
	for i := range c.Tenants {
		c.Tenants[i].Rate, c.Tenants[i].Burst = unlimitedRate, unlimitedRate
	}
	return c
}

// injectPlanned begins planned work in overlapping series, and other trouble beside it.
func (r *run) injectPlanned(ctx context.Context) {
	var all sync.WaitGroup
	if r.opts.Incidents {
		all.Go(func() { r.poisonSome(ctx) })
	}
	for until := time.Now().Add(r.opts.Faults); time.Now().Before(until) && ctx.Err() == nil; {
		work := r.drawPlan()
		all.Go(func() { work(ctx) })
		r.mu.Lock()
		r.faults++
		r.mu.Unlock()
		sleep(ctx, r.seconds(0.1, 1.2))
	}
	all.Wait()
}

// drawStops draws a series of stops of some processes; the others serve meanwhile.
func (r *run) drawStops() func(context.Context) {
	first, count, gap := r.random.IntN(len(r.nodes)), 1+r.random.IntN(max(1, len(r.nodes)/2)), r.seconds(0.1, 2)
	stops := make([]stopWork, count)
	for i := range stops {
		w := &stops[i]
		w.node, w.after = r.nodes[(first+i)%len(r.nodes)], time.Duration(i)*gap
		if r.random.Float64() < secondSignalShare {
			w.again = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[r.random.IntN(2)]
			w.againAfter = r.seconds(0.1, 6)
		}
		if r.random.Float64() < stopSilenceShare {
			w.endpoint, w.silentAfter, w.silentFor = r.random.IntN(plannedEngines), r.seconds(0, 6), r.seconds(1, 2)
		}
		if r.random.Float64() < delayShare {
			w.delay = r.seconds(minDelay.Seconds(), maxDelay.Seconds())
			// Before, across or just after the signal.
			w.delayAt = r.seconds(-w.delay.Seconds(), minDelay.Seconds())
		}
	}
	return func(ctx context.Context) {
		var all sync.WaitGroup
		for _, w := range stops {
			all.Go(func() { r.stopAndStart(ctx, w) })
		}
		all.Wait()
	}
}

// stopWork is the stop of one process and what comes beside it.
type stopWork struct {
	node  *node
	after time.Duration
	// again is a second signal, 0 for none.
	again      syscall.Signal
	againAfter time.Duration
	// delay is for how long the process is suspended from delayAt on, which counts from
	// the signal and may be negative.
	delay   time.Duration
	delayAt time.Duration
	// endpoint is the engine that falls silent, if silentFor is not zero.
	endpoint    int
	silentAfter time.Duration
	silentFor   time.Duration
}

// stop is a signal to stop a process that is killed graceBound after it.
type stop struct {
	node *node
	at   time.Time
	// resumed is the end of the suspension around the signal, zero if there was none.
	resumed time.Time
	// killed is set if the process ran until the end of the grace.
	killed bool
	// exited is when the process had exited.
	exited time.Time
}

// stopAndStart stops a process by a signal, kills it at the end of the grace as the
// platform does, and starts it again.
func (r *run) stopAndStart(ctx context.Context, w stopWork) {
	n := w.node
	sleep(ctx, w.after)
	var beside sync.WaitGroup
	defer beside.Wait()
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	// Before it is ready, a process may not handle the signal yet.
	for !n.ready() {
		if !sleep(ctx, 50*time.Millisecond) {
			return
		}
	}
	s := &stop{
		node: n,
		at:   time.Now().Add(max(0, -w.delayAt)),
	}
	r.mu.Lock()
	r.record.stops = append(r.record.stops, s)
	r.logf("stop: %s, suspended for %v at %v, second signal %v after %v, silence %v", n.name, w.delay, w.delayAt, w.again, w.againAfter, w.silentFor)
	r.mu.Unlock()
	if w.delay > 0 {
		beside.Go(func() {
			sleep(ctx, time.Until(s.at.Add(w.delayAt)))
			r.suspend(ctx, n, w.delay)
			r.mu.Lock()
			defer r.mu.Unlock()
			s.resumed = time.Now()
		})
	}
	sleep(ctx, time.Until(s.at))
	n.signal(syscall.SIGTERM)
	if w.silentFor > 0 {
		beside.Go(func() { r.silenceEngine(ctx, w.endpoint, w.silentAfter, w.silentFor) })
	}
	if w.again != 0 {
		beside.Go(func() {
			sleep(ctx, w.againAfter)
			n.signal(w.again)
		})
	}
	if !n.awaitExit(s.at.Add(graceBound)) {
		n.signal(syscall.SIGKILL)
		n.waitExit(graceBound)
		r.mu.Lock()
		s.killed, s.exited = true, time.Now()
		r.mu.Unlock()
		if w.delay == 0 && !r.isLate(time.Now()) {
			r.reportViolation("STOP: process %s still runs %v after SIGTERM", n.name, graceBound)
		}
	}
	// The second signal is for this process only.
	beside.Wait()
	if err := n.start(); err != nil {
		r.reportViolation("START: process %s: %v", n.name, err)
	}
}

// suspend suspends a process for a time.
func (r *run) suspend(ctx context.Context, n *node, d time.Duration) {
	n.beginDisturbance()
	defer n.endDisturbance()
	r.noteInterruption(n.name)
	n.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	n.signal(syscall.SIGCONT)
	r.noteInterruption(n.name)
	r.noteRecovery(n.name)
}

// reloadReady sends SIGHUP to a process once it is ready: before that, the signal may end it.
func (r *run) reloadReady(ctx context.Context, n *node) {
	for !n.ready() && sleep(ctx, 100*time.Millisecond) {
		if stopping, killed := n.state(); stopping || killed {
			return
		}
	}
	n.signal(syscall.SIGHUP)
}

// silenceEngine makes an engine silent after a delay.
func (r *run) silenceEngine(ctx context.Context, i int, after, d time.Duration) {
	sleep(ctx, after)
	e := r.site.Endpoints[i]
	e.Silence(d)
	now := time.Now()
	r.mu.Lock()
	r.record.silences = append(r.record.silences, silence{endpoint: e.ID(), from: now, to: now.Add(d)})
	r.logf("silence: %s for %v", e.ID(), d)
	r.mu.Unlock()
	sleep(ctx, d)
}
