package serve

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
)

// fakePlaces has some places at each endpoint.
type fakePlaces struct {
	mu         sync.Mutex
	free       int
	taken      int
	prefetches int
	waits      int
	// lasts is how long a place may be used.
	lasts      time.Duration
	queuedFor  time.Duration
	expectedIn time.Duration
	changed    chan struct{}
}

func (p *fakePlaces) Has(fleet.Key, Turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free > 0
}

func (p *fakePlaces) Take(fleet.Key, Turn) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return time.Time{}, false
	}
	p.free--
	p.taken++
	return time.Now().Add(p.lasts), true
}

func (p *fakePlaces) Return(fleet.Key, time.Time) { p.add(1) }

func (p *fakePlaces) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free += n
	if p.taken >= n {
		p.taken -= n
	}
}

func (p *fakePlaces) Prefetch(fleet.Key) { p.prefetches++ }

func (p *fakePlaces) Wait(fleet.Key, int, time.Time) (Turn, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits++
	return 1, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waits--
	}
}

func (p *fakePlaces) QueuedUntil(fleet.Key, int) time.Time { return fromNow(p.queuedFor) }

func (p *fakePlaces) ExpectedAt(fleet.Key, Turn) time.Time { return fromNow(p.expectedIn) }

func fromNow(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

func (p *fakePlaces) Changed() <-chan struct{} { return p.changed }

// newPlaceHarness returns a harness whose endpoints of all services limit requests.
func newPlaceHarness(t *testing.T, p *fakePlaces) *harness {
	t.Helper()
	h := newHarness(t, fixedAdmission{})
	h.server.opts.Places = p
	p.lasts = time.Second
	for _, e := range h.table.Endpoints() {
		h.nameLimit(e.Key())
	}
	return h
}

func (h *harness) nameLimit(key fleet.Key) {
	h.table.Health().HearLimit(time.Now(), time.Now(), key, health.ParseLimit([]string{"1.4"}), health.Answer)
}

// TestEachArrivalNeedsPlace guards against attempts beyond the limit that an endpoint names:
// first ones, repeats, searches beside a silent engine, resumed streams and calls.
func TestEachArrivalNeedsPlace(t *testing.T) {
	for _, tc := range []struct {
		name     string
		route    string
		outcomes []fakeOutcome
		silent   bool
		places   int
		want     int
		arrivals int
	}{
		{name: "a call", route: "book", places: 1, want: http.StatusOK, arrivals: 1},
		{name: "a stream", route: "stream", places: 1, want: http.StatusOK, arrivals: 1},
		{name: "a repeated call", route: "read", outcomes: []fakeOutcome{outcomeLost}, places: 2, want: http.StatusOK, arrivals: 2},
		{name: "a call whose repeat has no place", route: "read", outcomes: []fakeOutcome{outcomeLost}, places: 1, want: http.StatusBadGateway, arrivals: 1},
		{name: "a call that was turned away", route: "book", outcomes: []fakeOutcome{outcomeRejected}, places: 2, want: http.StatusOK, arrivals: 2},
		{name: "a call that was turned away, and no place", route: "book", outcomes: []fakeOutcome{outcomeRejected}, places: 1, want: http.StatusServiceUnavailable, arrivals: 1},
		{name: "no place", route: "read", want: http.StatusServiceUnavailable},
		{name: "an endpoint that was not reached", route: "book", outcomes: []fakeOutcome{outcomeNoConnection}, places: 1, want: http.StatusOK, arrivals: 1},
		{name: "a search beside a silent engine", route: "resume", silent: true, places: 2, want: http.StatusOK, arrivals: 2},
		{name: "a search without a place", route: "resume", silent: true, places: 1, want: http.StatusOK, arrivals: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p := &fakePlaces{
				free:       tc.places,
				queuedFor:  time.Hour,
				expectedIn: time.Hour,
			}
			h := newPlaceHarness(t, p)
			h.sender.outcomes = tc.outcomes
			h.sender.body = func(Attempt) io.ReadCloser { return io.NopCloser(strings.NewReader(eventsFrom("", 3))) }
			if tc.silent {
				h.sender.body = func(a Attempt) io.ReadCloser {
					if a.LastEvent != "" {
						return newSteppedBody(step{text: eventsFrom("2", 1)})
					}
					return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: 2 * silence, text: eventsFrom("2", 1)})
				}
			}
			c := h.serve(tc.route)
			if c.status != tc.want {
				t.Errorf("status %d, problem %+v; want %d", c.status, c.problem, tc.want)
			}
			arrivals := 0
			for range h.sender.attempts {
				arrivals++
			}
			for _, o := range tc.outcomes {
				if o == outcomeNoConnection {
					arrivals--
				}
			}
			if arrivals != tc.arrivals || p.taken != tc.arrivals {
				t.Errorf("%d attempts arrived with %d places, want %d", arrivals, p.taken, tc.arrivals)
			}
			if p.waits != 0 {
				t.Errorf("%d requests wait after their end", p.waits)
			}
			if c.status == http.StatusServiceUnavailable && (!c.problem.NotRun || c.problem.RetryAfter <= 0) {
				t.Errorf("problem %+v; want a refusal that says not run and when to return", c.problem)
			}
		})
	}
}

// delayedSender does something between the choice of an endpoint and the first byte.
type delayedSender struct {
	Sender
	before func()
}

// Send implements Sender.
func (s *delayedSender) Send(ctx context.Context, a Attempt) (*Reply, error) {
	s.before()
	return s.Sender.Send(ctx, a)
}

// TestLimitNamedOnTheWay guards against a request that was chosen before the endpoint named
// its limit, or whose place ended on the way, and arrives after that.
func TestLimitNamedOnTheWay(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lasts time.Duration // of the first place
	}{
		{name: "named after the choice", lasts: time.Second},
		{name: "the place ended on the way", lasts: time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &fakePlaces{
				free: 4,
			}
			h := newHarness(t, fixedAdmission{})
			h.server.opts.Places, p.lasts = p, tc.lasts
			sends := 0
			h.server.opts.Sender = &delayedSender{
				Sender: h.sender,
				before: func() {
					if sends++; sends > 2 {
						return
					}
					for _, e := range h.table.Endpoints() {
						h.nameLimit(e.Key())
					}
					time.Sleep(5 * time.Millisecond)
					p.lasts = time.Second
				},
			}
			c := h.serve("read")
			if c.status != http.StatusOK || len(h.sender.attempts) != 1 {
				t.Fatalf("status %d after %d attempts", c.status, len(h.sender.attempts))
			}
			if p.taken == 0 {
				t.Error("the request arrived without a place")
			}
		})
	}
}

// TestOthersGoFirst guards against requests at an endpoint that limits them while another one
// has room, and against waiting in a queue that does not move in time.
func TestOthersGoFirst(t *testing.T) {
	p := &fakePlaces{
		free:      100,
		queuedFor: time.Hour,
		lasts:     time.Second,
	}
	h := newHarness(t, fixedAdmission{})
	h.server.opts.Places = p
	var last fleet.Key
	for _, e := range h.table.Endpoints() {
		if e.Service != "app" {
			continue
		}
		if last.ID != "" {
			h.nameLimit(e.Key())
		}
		last = e.Key()
	}
	for range 20 {
		if c := h.serve("read"); c.status != http.StatusOK {
			t.Fatalf("status %d", c.status)
		}
	}
	if p.taken > 0 {
		t.Errorf("%d of 20 requests went to endpoints that limit them", p.taken)
	}
	h = newPlaceHarness(t, p)
	p.free = 0
	began := time.Now()
	if c := h.serve("read"); c.status != http.StatusServiceUnavailable || c.problem.Code != "endpoint-limit" || c.problem.RetryAfter < time.Minute {
		t.Errorf("status %d, problem %+v", c.status, c.problem)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v although the queue is known to be too long", took)
	}
}
