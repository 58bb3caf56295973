package serve

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// step is a part of a body that arrives after a delay.
type step struct {
	after time.Duration
	text  string
}

// steppedBody is a body whose parts arrive as its steps say. It breaks off at its end if
// isBroken is set, and stays silent if isSilent is.
type steppedBody struct {
	steps    []step
	isBroken bool
	isSilent bool
	closed   chan struct{}
	closedAt atomic.Pointer[time.Time]
}

func newSteppedBody(steps ...step) *steppedBody {
	return &steppedBody{
		steps:  steps,
		closed: make(chan struct{}),
	}
}

func (b *steppedBody) Read(p []byte) (int, error) {
	if len(b.steps) == 0 {
		if b.isSilent {
			<-b.closed
		}
		if b.isSilent || b.isBroken {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, io.EOF
	}
	select {
	case <-time.After(b.steps[0].after):
	case <-b.closed:
		return 0, io.ErrClosedPipe
	}
	n := copy(p, b.steps[0].text)
	b.steps = b.steps[1:]
	return n, nil
}

func (b *steppedBody) Close() error {
	now := time.Now()
	if b.closedAt.CompareAndSwap(nil, &now) {
		close(b.closed)
	}
	return nil
}

// silence is how long the engine of these tests is silent. Callers wait longer for the
// next event.
const silence = 1400 * time.Millisecond

// TestSilentEngine guards against ending a stream because its engine is silent for a
// moment, and against waiting for an engine that is lost while another one could go on.
func TestSilentEngine(t *testing.T) {
	goesOn := func() *steppedBody {
		return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: silence, text: eventsFrom("2", 1)})
	}
	lost := func() *steppedBody {
		b := newSteppedBody(step{text: eventsFrom("", 2)})
		b.isSilent = true
		return b
	}
	rest := func() *steppedBody { return newSteppedBody(step{text: eventsFrom("2", 1)}) }
	mute := func() *steppedBody {
		b := newSteppedBody()
		b.isSilent = true
		return b
	}
	for _, tc := range []struct {
		name     string
		engines  int // 4 if zero
		outcomes []fakeOutcome
		bodies   []func() *steppedBody
		change   func(attempt int, r *Reply)
		noBudget bool
		want     string // "1 2 3" and a whole answer if empty
		runs     int
	}{
		{name: "the only engine", engines: 1, bodies: []func() *steppedBody{goesOn}, runs: 1},
		{name: "no retries left", bodies: []func() *steppedBody{goesOn}, noBudget: true, runs: 1},
		{name: "no attempts left", outcomes: []fakeOutcome{outcomeLost}, bodies: []func() *steppedBody{mute, goesOn}, runs: 2},
		{name: "the second is silent too", bodies: []func() *steppedBody{goesOn, mute}, runs: 2},
		{name: "the others are full", outcomes: []fakeOutcome{outcomeServed, outcomeRejected, outcomeRejected, outcomeRejected}, bodies: []func() *steppedBody{goesOn, rest, rest, rest}, runs: 1},
		{name: "the others are not reached", outcomes: []fakeOutcome{outcomeServed, outcomeNoConnection, outcomeNoConnection, outcomeNoConnection}, bodies: []func() *steppedBody{goesOn, rest, rest, rest}, runs: 1},
		{name: "the second has an error", outcomes: []fakeOutcome{outcomeServed, outcomeError}, bodies: []func() *steppedBody{goesOn, rest}, runs: 2},
		{name: "the second loses its answer", outcomes: []fakeOutcome{outcomeServed, outcomeLost}, bodies: []func() *steppedBody{goesOn, rest}, runs: 2},
		{name: "the second begins anew", bodies: []func() *steppedBody{goesOn, func() *steppedBody { return newSteppedBody(step{text: eventsFrom("", 3)}) }}, runs: 2},
		{name: "the second sends a page", bodies: []func() *steppedBody{goesOn, rest}, change: func(attempt int, r *Reply) {
			if attempt == 2 {
				r.Header.Set("Content-Type", "text/html")
			}
		}, runs: 2},
		{name: "the second sends comments", bodies: []func() *steppedBody{goesOn, func() *steppedBody {
			b := newSteppedBody(step{text: ": wait\n\n"}, step{after: 50 * time.Millisecond, text: ": wait\n\n"})
			b.isSilent = true
			return b
		}}, runs: 2},
		{name: "the silent one sends comments", bodies: []func() *steppedBody{func() *steppedBody {
			return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: silence - 50*time.Millisecond, text: ": wait\n\n"}, step{after: 50 * time.Millisecond, text: eventsFrom("2", 1)})
		}, mute}, runs: 2},
		{name: "silent before the first event", bodies: []func() *steppedBody{func() *steppedBody {
			return newSteppedBody(step{after: silence, text: eventsFrom("", 3)})
		}, mute}, runs: 2},
		{name: "lost, the second goes on", bodies: []func() *steppedBody{lost, rest}, runs: 2},
		{name: "lost before the first event", bodies: []func() *steppedBody{mute, func() *steppedBody { return newSteppedBody(step{text: eventsFrom("", 3)}) }}, runs: 2},
		{name: "breaks off while the second is asked", bodies: []func() *steppedBody{
			func() *steppedBody {
				b := newSteppedBody(step{text: eventsFrom("", 2)}, step{after: silence, text: "id"})
				b.isBroken = true
				return b
			},
			func() *steppedBody {
				return newSteppedBody(step{after: 400 * time.Millisecond, text: eventsFrom("2", 1)})
			},
		}, runs: 2},
		{name: "all are lost", bodies: []func() *steppedBody{lost, mute}, want: "1 2", runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			if tc.engines > 0 {
				h.table.SetEndpoints(time.Now(), []fleet.Endpoint{{ID: "lm0", Incarnation: 1, Service: "lm", Domain: "north", Slots: 64, Models: []fleet.Resident{{Model: "m1"}}}})
			}
			if tc.noBudget {
				h.useUpRetries("lm")
			}
			h.sender.outcomes = tc.outcomes
			var bodies []*steppedBody
			h.sender.body = func(Attempt) io.ReadCloser {
				b := tc.bodies[min(len(bodies), len(tc.bodies)-1)]()
				bodies = append(bodies, b)
				return b
			}
			h.sender.change = func(r *Reply) {
				r.Header.Set("Content-Type", "text/event-stream")
				if tc.change != nil {
					tc.change(len(h.sender.attempts), r)
				}
			}
			c := &fakeCaller{}
			h.server.Serve(t.Context(), h.request("resume"), c)
			ended := time.Now()
			want, ended2 := tc.want, tc.want == ""
			if want == "" {
				want = "1 2 3"
			}
			if got := eventIDs(c.body.String()); got != want || c.ended != ended2 || c.aborted == ended2 || c.status != http.StatusOK {
				t.Errorf("the caller got status %d, events %s, ended %v, aborted %v", c.status, got, c.ended, c.aborted)
			}
			if h.sender.runs != tc.runs {
				t.Errorf("the request ran %d times, want %d", h.sender.runs, tc.runs)
			}
			for i, b := range bodies {
				if at := b.closedAt.Load(); at == nil || at.After(ended.Add(100*time.Millisecond)) {
					t.Errorf("the answer of attempt %d stays open after the end", i+1)
				}
			}
		})
	}
}

// TestSilentEngineIsEnded guards against two engines at work on one stream: the silent one
// is ended as soon as another one goes on.
func TestSilentEngineIsEnded(t *testing.T) {
	h := newHarness(t, fixedAdmission{})
	silent := newSteppedBody(step{text: eventsFrom("", 2)})
	silent.isSilent = true
	second := newSteppedBody(step{text: eventsFrom("2", 1)}, step{after: 300 * time.Millisecond, text: eventsFrom("3", 1)})
	h.sender.body = func(a Attempt) io.ReadCloser {
		if a.LastEvent == "" {
			return silent
		}
		return second
	}
	c := h.serve("resume")
	if got := eventIDs(c.body.String()); got != "1 2 3 4" || !c.ended {
		t.Fatalf("the caller got events %s, ended %v", got, c.ended)
	}
	if at := silent.closedAt.Load(); at == nil || time.Since(*at) < 200*time.Millisecond {
		t.Error("the silent attempt stayed open while another engine went on")
	}
}

// TestSilentAndSecondTogether guards against events that come twice or are missing where
// the silent engine and a second one send the next event at about the same time.
func TestSilentAndSecondTogether(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			within := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
			// The search begins after minResumeSilence.
			first := minResumeSilence + within(3*time.Millisecond)
			second, third := within(3*time.Millisecond), within(2*time.Millisecond)
			comment := ""
			if random.IntN(2) == 0 {
				comment = ": wait\n\n"
			}
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(a Attempt) io.ReadCloser {
				if a.LastEvent == "" {
					return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: first, text: comment + eventsFrom("2", 1)}, step{after: third, text: eventsFrom("3", 2)})
				}
				return newSteppedBody(step{after: second, text: eventsFrom("2", 1)}, step{after: third, text: eventsFrom("3", 2)})
			}
			h.sender.change = func(r *Reply) { r.Header.Set("Content-Type", "text/event-stream") }
			c := h.serve("resume")
			if got := eventIDs(c.body.String()); got != "1 2 3 4 5" || !c.ended || c.aborted {
				t.Errorf("the caller got events %s, ended %v, aborted %v", got, c.ended, c.aborted)
			}
		})
	}
}

// TestSilentEngineAndWithdrawnKey guards against a second engine that gets a request whose
// key was withdrawn while the first one was silent, without its workspace, because an
// earlier search took over the configuration that refused it.
func TestSilentEngineAndWithdrawnKey(t *testing.T) {
	for _, tc := range []struct {
		name string
		edit func(*fleet.Config)
	}{
		{name: "key withdrawn", edit: func(c *fleet.Config) { c.Keys = nil }},
		{name: "key withdrawn, anonymous callers allowed", edit: func(c *fleet.Config) {
			c.Keys = nil
			for i := range c.Routes {
				c.Routes[i].AllowAnonymous = true
			}
		}},
		{name: "route removed", edit: func(c *fleet.Config) { c.Routes = c.Routes[:3] }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			var configs []*fleet.Config
			for version := int64(2); version <= 3; version++ {
				c := testConfig(version)
				for i := range c.Routes {
					c.Routes[i].Timeout = 5 * time.Second
				}
				if version == 3 {
					tc.edit(c)
				}
				if err := c.Prepare(); err != nil {
					t.Fatal(err)
				}
				configs = append(configs, c)
			}
			h.server.SetConfig(configs[0])
			h.sender.body = func(a Attempt) io.ReadCloser {
				if a.LastEvent != "" {
					return newSteppedBody(step{text: eventsFrom(a.LastEvent, 1)})
				}
				h.server.SetConfig(configs[1])
				// Long enough for two searches.
				return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: 2*minResumeSilence + 400*time.Millisecond, text: eventsFrom("2", 1)})
			}
			c := h.serve("resume")
			if got := eventIDs(c.body.String()); got != "1 2 3" || !c.ended || h.sender.runs != 1 {
				t.Errorf("the caller got events %s, ended %v, after %d runs", got, c.ended, h.sender.runs)
			}
		})
	}
}

// TestPanicInSearchFailsOneRequest guards against the end of the process, and with it of all
// its requests, by a panic in the search for an endpoint that continues a silent stream.
func TestPanicInSearchFailsOneRequest(t *testing.T) {
	for _, tc := range []struct {
		name string
		// second is the answer of the second endpoint; the search panics at once if nil.
		second func() io.ReadCloser
		want   string
		whole  bool
	}{
		{name: "before_the_second_goes_on", want: "1 2 3", whole: true},
		{name: "after_the_second_has_gone_on", second: func() io.ReadCloser {
			return &panickingBody{steppedBody: newSteppedBody(step{text: eventsFrom("2", 2)})}
		}, want: "1 2 3 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(a Attempt) io.ReadCloser {
				switch {
				case a.LastEvent == "":
					return newSteppedBody(step{text: eventsFrom("", 2)}, step{after: silence, text: eventsFrom("2", 1)})
				case tc.second == nil:
					panic("fault")
				}
				return tc.second()
			}
			h.sender.change = func(r *Reply) { r.Header.Set("Content-Type", "text/event-stream") }
			c := h.serve("resume")
			if got := eventIDs(c.body.String()); got != tc.want || c.ended != tc.whole || c.aborted == tc.whole {
				t.Errorf("the caller got events %s, ended %v, aborted %v, want %s, ended %v", got, c.ended, c.aborted, tc.want, tc.whole)
			}
		})
	}
}

// panickingBody panics at its end.
type panickingBody struct{ *steppedBody }

// Read implements io.Reader.
func (b *panickingBody) Read(p []byte) (int, error) {
	n, err := b.steppedBody.Read(p)
	if err != nil {
		panic("fault")
	}
	return n, nil
}
