package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
)

// cellChange is a change of the configuration that meets a request in flight.
type cellChange struct {
	name string
	edit func(*fleet.Config)
	// status is that of the refusal of a request that has not run, 0 if it may run;
	// engineStatus is that of requests for engines.
	status       int
	engineStatus int
	// moves is set if the request is allowed at a service that can take it at once.
	moves bool
	// noRepeat is set if a request whose answer was lost may not run again, noResume if
	// that holds for streams only.
	noRepeat bool
	noResume bool
}

func editRoutes(edit func(*fleet.Route)) func(*fleet.Config) {
	return func(c *fleet.Config) {
		for i := range c.Routes {
			edit(&c.Routes[i])
		}
	}
}

var cellChanges = []cellChange{
	{name: "nothing", edit: func(*fleet.Config) {}},
	{name: "route removed", edit: func(c *fleet.Config) { c.Routes = nil }, status: http.StatusNotFound, noRepeat: true},
	{name: "route moved", edit: editRoutes(func(r *fleet.Route) { r.Targets[0].Service += "2" }), moves: true},
	{name: "route split", edit: editRoutes(func(r *fleet.Route) {
		r.Targets = append(r.Targets, fleet.Target{Service: r.Targets[0].Service + "2", Weight: 1e9})
	})},
	{name: "service removed", edit: func(c *fleet.Config) {
		editRoutes(func(r *fleet.Route) { r.Targets[0].Service += "2" })(c)
		delete(c.Services, "app")
		delete(c.Services, "lm")
	}, moves: true},
	{name: "key withdrawn", edit: func(c *fleet.Config) { c.Keys = nil }, status: http.StatusUnauthorized, noRepeat: true},
	{name: "key moved", edit: func(c *fleet.Config) { c.Keys[fleet.DigestOf("key")] = "w2" }, noRepeat: true},
	{name: "key withdrawn and not needed", edit: func(c *fleet.Config) {
		c.Keys = nil
		editRoutes(func(r *fleet.Route) { r.AllowAnonymous = true })(c)
	}, noRepeat: true},
	{name: "keys not needed", edit: func(c *fleet.Config) { c.Workspaces, c.Keys = nil, nil }, noRepeat: true},
	{name: "workspace removed", edit: func(c *fleet.Config) { delete(c.Workspaces, "w") }, status: http.StatusUnauthorized, noRepeat: true},
	{name: "limit lowered", edit: func(c *fleet.Config) { c.Workspaces["w"].Rate, c.Workspaces["w"].Burst = 0.001, 0.001 }},
	{name: "timeout lowered", edit: editRoutes(func(r *fleet.Route) { r.Timeout = time.Millisecond }), status: http.StatusServiceUnavailable},
	{name: "timeout raised", edit: editRoutes(func(r *fleet.Route) { r.Timeout *= 4 })},
	{name: "idle limit lowered", edit: func(c *fleet.Config) { c.Limits.IdleTimeout = time.Millisecond }},
	{name: "idle limit raised", edit: func(c *fleet.Config) { c.Limits.IdleTimeout = time.Hour }},
	{name: "body limit lowered", edit: func(c *fleet.Config) { c.Limits.MaxBodyBytes = 1 }},
	{name: "kind to at most once", edit: editRoutes(func(r *fleet.Route) { r.Kind = fleet.NonIdempotent }), noRepeat: true},
	{name: "kind to stream", edit: editRoutes(func(r *fleet.Route) { r.Kind, r.Resumable = fleet.Stream, false }), noRepeat: true},
	{name: "kind to repeatable", edit: editRoutes(func(r *fleet.Route) { r.Kind, r.Resumable, r.MaxAttempts = fleet.Idempotent, false, 2 }), noResume: true},
	{name: "attempts lowered", edit: editRoutes(func(r *fleet.Route) { r.MaxAttempts = 1 }), noRepeat: true},
	{name: "resumability taken away", edit: editRoutes(func(r *fleet.Route) { r.Resumable = false }), noResume: true},
	{name: "resumability given", edit: editRoutes(func(r *fleet.Route) {
		if r.Kind == fleet.Stream {
			r.Resumable, r.MaxAttempts = true, 2
		}
	})},
	{name: "model removed", edit: func(c *fleet.Config) { c.Services["lm"].Engine = &fleet.EngineClass{} }, engineStatus: http.StatusNotFound, noResume: true},
	{name: "engine to plain", edit: func(c *fleet.Config) { c.Services["lm"].Engine = nil }},
	{name: "plain to engine", edit: func(c *fleet.Config) { c.Services["app"].Engine = c.Services["lm"].Engine }},
}

// cellPhase is how far a request has come when the change meets it.
type cellPhase int

const (
	waits   cellPhase = iota // it has not run
	runs                     // an endpoint runs it and answers it whole
	isLost                   // an endpoint runs it and breaks off after the change
	isAlone                  // as runs, and its answer is not to come from another endpoint
)

// cellState is a state of a request.
type cellState struct {
	name  string
	route string
	phase cellPhase
	// setUp prepares the cell so that the request reaches the state.
	setUp func(*cell)
	// release lets the request go on.
	release func(*cell)
	// goesOn names further changes that let the request go on at once.
	goesOn []string
	// tells is set if the request waits outside of the package, which is told of the end.
	tells bool
	// needsRelease is set if a service that can take the request does not end the wait.
	needsRelease bool
}

// cell is one change that meets a request in one state.
type cell struct {
	*harness
	fake     *clock.Fake
	adapter  string
	reached  chan struct{}
	released chan struct{}
	reach    func()

	mu       sync.Mutex
	cause    error // of the end of a wait that was not released
	attempts []Attempt
	ran      []string // endpoints
	charged  []string // workspaces
	// answer runs an attempt whose number counts from 1.
	answer func(ctx context.Context, a Attempt, number int) (*Reply, error)
	// beforeCheck runs before the check of an attempt.
	beforeCheck func(ctx context.Context, number int)
}

// Send implements Sender.
func (c *cell) Send(ctx context.Context, a Attempt) (*Reply, error) {
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	number := len(c.attempts)
	c.mu.Unlock()
	if c.beforeCheck != nil {
		c.beforeCheck(ctx, number)
	}
	if err := a.Check(); err != nil {
		c.mu.Lock()
		c.attempts = slices.Delete(c.attempts, number-1, number)
		c.mu.Unlock()
		return nil, &conn.NotSentError{Err: err}
	}
	return c.answer(ctx, a, number)
}

func (c *cell) run(a Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran = append(c.ran, a.Endpoint.ID)
}

func (c *cell) numbers() (attempts, ran int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts), len(c.ran)
}

// wait waits until the cell is released or ctx ends.
func (c *cell) wait(ctx context.Context) {
	select {
	case <-c.released:
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cause = context.Cause(ctx)
	}
}

// reply returns an answer of an endpoint whose parts are written one after another; an
// empty part waits for the release. It breaks off at its end if broken is set.
func (c *cell) reply(ctx context.Context, a Attempt, broken bool, parts ...string) *Reply {
	r, w := io.Pipe()
	stop := context.AfterFunc(ctx, func() { _ = r.CloseWithError(context.Canceled) })
	go func() {
		defer stop()
		for _, part := range parts {
			if part == "" {
				c.reach()
				c.wait(ctx)
				continue
			}
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
		if broken {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		_ = w.Close()
	}()
	return &Reply{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/event-stream"}, "X-Signature": {a.Endpoint.ID}},
		Body:   r,
	}
}

// answerWhole runs an attempt and answers it whole at once.
func (c *cell) answerWhole(ctx context.Context, a Attempt, _ int) (*Reply, error) {
	c.run(a)
	return c.reply(ctx, a, false, eventsFrom(a.LastEvent, 3-min(3, len(a.LastEvent)*2))), nil
}

// Admit implements Admission: the tokens of workspace w come with the release, if the state
// is to wait for them.
type cellAdmission struct {
	c     *cell
	waits bool
}

// Admit implements Admission.
func (a *cellAdmission) Admit(ctx context.Context, workspace string, _ float64, _ time.Duration) (Refusal, bool) {
	a.c.mu.Lock()
	a.c.charged = append(a.c.charged, workspace)
	a.c.mu.Unlock()
	if !a.waits || workspace != "w" {
		return Refusal{}, true
	}
	a.c.reach()
	a.c.wait(ctx)
	return Refusal{RetryAfter: time.Second}, ctx.Err() == nil
}

type cellDemand struct {
	noDemand

	trackWaiting func()
	loadAdapter  func(context.Context) error
}

func (d *cellDemand) TrackWaiting(string, string) func() {
	if d.trackWaiting != nil {
		d.trackWaiting()
	}
	return func() {}
}

func (d *cellDemand) LoadAdapter(ctx context.Context, _ fleet.Endpoint, _, _ string) error {
	if d.loadAdapter != nil {
		return d.loadAdapter(ctx)
	}
	return nil
}

// cellEndpoints returns two endpoints of each service. Those of the named one hold no model.
func cellEndpoints(without string) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, service := range []string{"app", "app2", "lm", "lm2"} {
		for _, suffix := range []string{"-a", "-b"} {
			e := fleet.Endpoint{ID: service + suffix, Incarnation: 1, Service: service, Domain: "north", Slots: 64, Models: []fleet.Resident{{Model: "m1"}}}
			if service == without {
				e.Models = nil
			}
			list = append(list, e)
		}
	}
	return list
}

// cellConfig returns the configuration of all cells.
func cellConfig(version int64) *fleet.Config {
	c := testConfig(version)
	for _, name := range []string{"app", "lm"} {
		second := *c.Services[name]
		second.Name += "2"
		c.Services[second.Name] = &second
	}
	c.Workspaces["w2"] = &fleet.Workspace{Name: "w2", Rate: 100, Burst: 100, PlainTokens: 1, CountsTokens: true}
	editRoutes(func(r *fleet.Route) { r.Timeout = cellTimeout })(c)
	return c
}

// cellTimeout is the timeout of the routes. A request that is known to be refused gets its
// answer within half of it.
const cellTimeout = 8 * time.Second

var large = strings.Repeat("0123456789abcdef", maxBufferedBody/16+1)

var cellStates = []cellState{
	{
		name: "waits for tokens", route: "read", phase: waits, tells: true, needsRelease: true, goesOn: []string{"key moved", "key withdrawn and not needed", "keys not needed"},
		setUp: func(c *cell) { c.server.opts.Admission = &cellAdmission{c: c, waits: true} },
	},
	{
		name: "waits for a model", route: "resume", phase: waits, goesOn: []string{"engine to plain"},
		setUp: func(c *cell) {
			c.table.SetEndpoints(c.fake.Now(), cellEndpoints("lm"))
			c.server.opts.Demand = &cellDemand{trackWaiting: c.reach}
		},
		release: func(c *cell) {
			e := fleet.Endpoint{ID: "lm-c", Incarnation: 1, Service: "lm", Domain: "north", Slots: 64, Models: []fleet.Resident{{Model: "m1"}}}
			c.table.SetEndpoints(c.fake.Now(), append(cellEndpoints("lm"), e))
		},
	},
	{
		name: "waits for an adapter", route: "resume", phase: waits, tells: true, goesOn: []string{"engine to plain"},
		setUp: func(c *cell) {
			c.adapter = "a1"
			list := cellEndpoints("")
			for i := range list {
				if list[i].Service == "lm2" {
					list[i].Models = []fleet.Resident{{Model: "m1", Adapters: []string{"a1"}}}
				}
			}
			c.table.SetEndpoints(c.fake.Now(), list)
			c.server.opts.Demand = &cellDemand{loadAdapter: func(ctx context.Context) error {
				c.reach()
				c.wait(ctx)
				return ctx.Err()
			}}
		},
	},
	{
		name: "waits for an endpoint", route: "read", phase: waits,
		setUp: func(c *cell) {
			var others []fleet.Endpoint
			for _, e := range cellEndpoints("") {
				if e.Service != "app" {
					others = append(others, e)
				}
			}
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				if number > 1 {
					return c.answerWhole(ctx, a, number)
				}
				c.table.SetEndpoints(c.fake.Now(), others)
				time.AfterFunc(10*time.Millisecond, c.reach)
				return nil, &conn.NotSentError{Err: errors.New("refused")}
			}
		},
		release: func(c *cell) { c.table.SetEndpoints(c.fake.Now(), cellEndpoints("")) },
	},
	{
		name: "waits, plain service full", route: "book", phase: waits,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				if number > 2 {
					return c.answerWhole(ctx, a, number)
				}
				if number == 2 {
					time.AfterFunc(10*time.Millisecond, c.reach)
				}
				r := c.reply(ctx, a, false, "full")
				r.Verdict, r.Status = Rejected, http.StatusServiceUnavailable
				return r, nil
			}
		},
		release: func(c *cell) {
			e := fleet.Endpoint{ID: "app-c", Incarnation: 1, Service: "app", Domain: "north", Slots: 64, Models: []fleet.Resident{{Model: "m1"}}}
			c.table.SetEndpoints(c.fake.Now(), append(cellEndpoints(""), e))
		},
	},
	{
		name: "engine turns it away", route: "resume", phase: waits,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				if number > 1 {
					return c.answerWhole(ctx, a, number)
				}
				c.reach()
				c.wait(ctx)
				r := c.reply(ctx, a, false, "full")
				r.Verdict, r.Status = Rejected, http.StatusServiceUnavailable
				return r, nil
			}
		},
	},
	{
		name: "waits for a connection", route: "book", phase: waits,
		setUp: func(c *cell) {
			c.beforeCheck = func(ctx context.Context, number int) {
				if number == 1 {
					c.reach()
					c.wait(ctx)
				}
			}
		},
	},
	{
		name: "sent", route: "read", phase: runs,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, _ int) (*Reply, error) {
				c.run(a)
				c.reach()
				c.wait(ctx)
				return c.reply(ctx, a, false, eventsFrom("", 3)), nil
			}
		},
	},
	{
		name: "sent, then lost", route: "read", phase: isLost,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				if number > 1 {
					return c.answerWhole(ctx, a, number)
				}
				c.run(a)
				c.reach()
				c.wait(ctx)
				return nil, errors.New("connection reset")
			}
		},
	},
	{
		name: "sent at most once, then lost", route: "book", phase: isLost,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, _ int) (*Reply, error) {
				c.run(a)
				c.reach()
				c.wait(ctx)
				return nil, errors.New("connection reset")
			}
		},
	},
	{
		name: "head of a large answer passed on", route: "book", phase: runs,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, _ int) (*Reply, error) {
				c.run(a)
				return c.reply(ctx, a, false, large, "", large), nil
			}
		},
	},
	{
		name: "streaming", route: "stream", phase: runs,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, _ int) (*Reply, error) {
				c.run(a)
				return c.reply(ctx, a, false, eventsFrom("", 2), "", eventsFrom("2", 1)), nil
			}
		},
	},
	{
		name: "streaming, then broken off", route: "resume", phase: isLost,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				if number > 1 {
					c.run(a)
					return c.reply(ctx, a, false, eventsFrom(a.LastEvent, 1)), nil
				}
				c.run(a)
				return c.reply(ctx, a, true, eventsFrom("", 2), ""), nil
			}
		},
	},
	{
		name: "streaming at most once, then broken off", route: "stream", phase: isLost,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, _ int) (*Reply, error) {
				c.run(a)
				return c.reply(ctx, a, true, eventsFrom("", 2), ""), nil
			}
		},
	},
	{
		name: "silent, nobody asked yet", route: "resume", phase: isAlone,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				c.run(a)
				if number > 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return c.reply(ctx, a, false, eventsFrom("", 2), "", eventsFrom("2", 1)), nil
			}
		},
		release: func(*cell) { time.Sleep(silence) },
	},
	{
		name: "silent, another asked", route: "resume", phase: isAlone,
		setUp: func(c *cell) {
			reach := c.reach
			c.reach = func() {}
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				c.run(a)
				if number > 1 {
					reach()
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return c.reply(ctx, a, false, eventsFrom("", 2), "", eventsFrom("2", 1)), nil
			}
		},
	},
	{
		name: "silent, another asked and goes on", route: "resume", phase: runs,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				c.run(a)
				if number > 1 {
					return c.reply(ctx, a, false, "", eventsFrom(a.LastEvent, 1)), nil
				}
				first := newSteppedBody(step{text: eventsFrom("", 2)})
				first.isSilent = true
				context.AfterFunc(ctx, func() { first.Close() })
				r := c.reply(ctx, a, false)
				r.Body = first
				return r, nil
			}
		},
	},
	{
		name: "resumed", route: "resume", phase: runs,
		setUp: func(c *cell) {
			c.answer = func(ctx context.Context, a Attempt, number int) (*Reply, error) {
				c.run(a)
				if number == 1 {
					return c.reply(ctx, a, true, eventsFrom("", 1)), nil
				}
				return c.reply(ctx, a, false, eventsFrom(a.LastEvent, 1), "", eventsFrom("2", 1)), nil
			}
		},
	},
}

// TestChangeMeetsRequest guards against a change of the configuration that leaves a request
// in flight without its answer, that lets it run as no configuration allows, or that makes
// it wait although it is known that it will be refused. Each change meets a request in each
// state.
func TestChangeMeetsRequest(t *testing.T) {
	for _, state := range cellStates {
		for _, change := range cellChanges {
			t.Run(strings.ReplaceAll(state.name+"/"+change.name, " ", "_"), func(t *testing.T) {
				t.Parallel()
				playCell(t, state, change)
			})
		}
	}
}

func playCell(t *testing.T, state cellState, change cellChange) {
	c := &cell{
		harness:  newHarness(t, fixedAdmission{}),
		fake:     clock.NewFake(),
		reached:  make(chan struct{}),
		released: make(chan struct{}),
	}
	c.reach = sync.OnceFunc(func() { close(c.reached) })
	c.clock, c.server.opts.Clock, c.server.opts.Sender = c.fake, c.fake, c
	c.server.opts.Admission = &cellAdmission{c: c}
	c.table.SetEndpoints(c.fake.Now(), cellEndpoints(""))
	c.answer = c.answerWhole
	before, after := cellConfig(2), cellConfig(3)
	change.edit(after)
	for _, config := range []*fleet.Config{before, after} {
		if err := config.Prepare(); err != nil {
			t.Fatal(err)
		}
	}
	c.server.SetConfig(before)
	state.setUp(c)

	caller := &fakeCaller{}
	request := c.request(state.route)
	request.Adapter = c.adapter
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.server.Serve(t.Context(), request, caller)
	}()
	select {
	case <-c.reached:
	case <-done:
		t.Fatalf("the request ended before it reached the state: status %d, problem %+v", caller.status, caller.problem)
	}
	c.fake.Advance(5 * time.Millisecond)
	c.server.SetConfig(after)
	attemptsBefore, ranBefore := c.numbers()

	isEngine := state.route == "stream" || state.route == "resume"
	status := change.status
	if isEngine && status == 0 {
		status = change.engineStatus
	}
	endsAtOnce := state.phase == waits && (status != 0 || change.moves && !state.needsRelease || slices.Contains(state.goesOn, change.name))
	if endsAtOnce && state.waitsItself() {
		select {
		case <-done:
		case <-time.After(cellTimeout / 2):
			t.Error("the request still waits, although the configuration decides about it at once")
		}
		if state.tells && !errors.Is(c.cause, errConfigChanged) {
			t.Errorf("the wait ended with %v, not with the change", c.cause)
		}
	}
	if state.release != nil {
		state.release(c)
	}
	close(c.released)
	<-done

	_, ran := c.numbers()
	whole := caller.problem == nil && !caller.aborted && caller.status == http.StatusOK
	limit := map[string]int{"read": 2, "book": 1, "stream": 1, "resume": 2}[state.route]
	switch {
	case caller.answers != 1:
		t.Errorf("the caller got %d answers", caller.answers)
	case ran > limit:
		t.Errorf("the request ran %d times, its route allows %d", ran, limit)
	case whole && state.name == "head of a large answer passed on" && caller.body.Len() != 2*len(large),
		whole && state.name != "head of a large answer passed on" && caller.body.String() != eventsFrom("", 3):
		t.Errorf("the caller got %d bytes, %.100q, as a whole answer", caller.body.Len(), caller.body.String())
	case ran > 0 && notRunStatuses[caller.status], ran > 0 && caller.problem != nil && caller.problem.NotRun:
		t.Errorf("status %d after %d runs: %+v", caller.status, ran, caller.problem)
	case caller.problem != nil && ran == 0 && !caller.problem.NotRun:
		t.Errorf("the refusal does not say that the request has not run: %+v", caller.problem)
	}
	for _, a := range c.attempts[min(attemptsBefore, len(c.attempts)):] {
		checkAllowed(t, after, request, a)
		if a.Workspace != "" && !slices.Contains(c.charged, a.Workspace) {
			t.Errorf("workspace %q was not charged for the request", a.Workspace)
		}
	}

	noRepeat := change.noRepeat || isEngine && change.noResume || limit == 1
	switch {
	case state.phase == waits && status != 0:
		if caller.status != status || ran > 0 {
			t.Errorf("status %d after %d runs, want %d after none: %+v", caller.status, ran, status, caller.problem)
		}
	case state.phase == waits:
		if !whole || ran != 1 {
			t.Errorf("status %d after %d runs, want a whole answer: %+v", caller.status, ran, caller.problem)
		}
	case state.phase == runs:
		if !whole || ran != ranBefore {
			t.Errorf("status %d, aborted %v, after %d runs, want a whole answer of the run that was under way: %+v", caller.status, caller.aborted, ran, caller.problem)
		}
	case state.phase == isAlone:
		if most := ranBefore + 1; !whole || ran > most || noRepeat && ran > ranBefore {
			t.Errorf("status %d, aborted %v, after %d runs, %d of them before the change: %+v", caller.status, caller.aborted, ran, ranBefore, caller.problem)
		}
	case noRepeat:
		if whole || ran != 1 || caller.problem != nil && caller.problem.Status != http.StatusBadGateway {
			t.Errorf("status %d after %d runs, want no other run and status 502 or a broken stream: %+v", caller.status, ran, caller.problem)
		}
	default:
		if !whole || ran != 2 {
			t.Errorf("status %d, aborted %v, after %d runs, want a whole answer of the second: %+v", caller.status, caller.aborted, ran, caller.problem)
		}
	}
}

// waitsItself reports whether the request waits in the serving process, which can end the
// wait at once.
func (s *cellState) waitsItself() bool {
	return s.phase == waits && s.name != "engine turns it away" && s.name != "waits for a connection"
}

// checkAllowed checks an attempt that was made when the configuration was in force.
func checkAllowed(t *testing.T, config *fleet.Config, q *Request, a Attempt) {
	route, workspace := config.Match(q.Host, q.Path), config.WorkspaceOf(q.Key)
	if route == nil || workspace == nil && config.Workspaces != nil && !route.AllowAnonymous {
		t.Errorf("%s got the request after its route or key was withdrawn", a.Endpoint.ID)
		return
	}
	name := ""
	if workspace != nil {
		name = workspace.Name
	}
	if !slices.ContainsFunc(route.Targets, func(target fleet.Target) bool { return target.Service == a.Endpoint.Service }) {
		t.Errorf("%s of service %s got the request, which its route does not allow", a.Endpoint.ID, a.Endpoint.Service)
	}
	if a.Workspace != name {
		t.Errorf("%s got workspace %q, the key belongs to %q", a.Endpoint.ID, a.Workspace, name)
	}
}

// TestTimeoutLoweredBeforeSending guards against a request that is sent after its route's
// timeout was lowered, and held until the deadline of before.
func TestTimeoutLoweredBeforeSending(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	const lowered = 300 * time.Millisecond
	var remaining time.Duration
	h.server.opts.Sender = senderFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		if h.server.Config().Version == 2 {
			after := cellConfig(3)
			editRoutes(func(r *fleet.Route) { r.Timeout = lowered })(after)
			if err := after.Prepare(); err != nil {
				t.Error(err)
			}
			h.server.SetConfig(after)
		}
		if err := a.Check(); err != nil {
			return nil, &conn.NotSentError{Err: err}
		}
		remaining = a.Remaining
		<-ctx.Done()
		return nil, ctx.Err()
	})
	before := cellConfig(2)
	if err := before.Prepare(); err != nil {
		t.Fatal(err)
	}
	h.server.SetConfig(before)
	q := h.request("book")
	c := &fakeCaller{}
	h.server.Serve(t.Context(), q, c)
	if took := h.clock.Now().Sub(q.Arrived); c.status != http.StatusGatewayTimeout || took > cellTimeout/2 || remaining > lowered {
		t.Errorf("status %d after %v, the endpoint had %v, want 504 after %v", c.status, took, remaining, lowered)
	}
}

// TestSeriesOfChanges guards against refusing a request because its route is moved several
// times while it waits, although each configuration allows it, and against an attempt that
// is made under another configuration than the one in force.
func TestSeriesOfChanges(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	h.table.SetEndpoints(time.Now(), cellEndpoints(""))
	const moves = 8
	moved := 0
	h.server.opts.Sender = senderFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		if moved < moves {
			moved++
			config := cellConfig(int64(2 + moved))
			if moved%2 == 1 {
				editRoutes(func(r *fleet.Route) { r.Targets[0].Service += "2" })(config)
			}
			if err := config.Prepare(); err != nil {
				t.Error(err)
			}
			h.server.SetConfig(config)
		}
		if err := a.Check(); err != nil {
			return nil, &conn.NotSentError{Err: err}
		}
		checkAllowed(t, h.server.Config(), a.Request, a)
		return h.sender.Send(ctx, a)
	})
	before := cellConfig(2)
	if err := before.Prepare(); err != nil {
		t.Fatal(err)
	}
	h.server.SetConfig(before)
	if c := h.serve("book"); c.status != http.StatusOK || h.sender.runs != 1 || moved != moves {
		t.Errorf("status %d after %d runs and %d moves, problem %+v", c.status, h.sender.runs, moved, c.problem)
	}
}
