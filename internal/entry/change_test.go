package entry

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/internal/stats"
	"trefoildale.example/trefoildale/pkg/spec"
)

// state is a state of a request, in which a change of the configuration finds it.
type state struct {
	name string
	// method is that of a call of a plain service; empty for a completion.
	method string
	// wait is whether the request has not been sent and may wait for long, so that a
	// refusal must come at once.
	wait bool
	// sent is whether an endpoint runs the request or has run it.
	sent bool
	// streams is whether a part of the answer was delivered.
	streams bool
	// unproved is whether the node cannot prove that the request has not run, even if it
	// has not.
	unproved bool
	part     string
	adapter  bool
	open     bool
	stream   bool
	prepare  func(*bench)
	reached  func(*bench, *exchange) bool
	// release ends the state, if the change has not.
	release func(*bench)
}

var (
	isRunning = func(b *bench, _ *exchange) bool { return len(b.server.Running()) > 0 }
	isChecked = func(b *bench, _ *exchange) bool { return b.checker.Count(keys.OK) > 0 }
	isAtHold  = func(endpoint string) func(*bench, *exchange) bool {
		return func(b *bench, _ *exchange) bool { return b.engines[endpoint].count() > 0 }
	}
	holdEndpoint  = func(endpoint string) func(*bench) { return func(b *bench) { b.engines[endpoint].begin() } }
	hasRetried    = func(b *bench, _ *exchange) bool { return b.server.opts.Stats.Value(stats.RetriesDone) > 0 }
	declineOnce   = func(endpoint string) func(*bench) { return func(b *bench) { b.engines[endpoint].declines = 1 } }
	nothing       = func(*bench) {}
	hasArrivedAll = func(*bench, *exchange) bool { time.Sleep(20 * time.Millisecond); return true }
)

var completionStates = []state{
	{name: "header read in part", part: "header", prepare: nothing, reached: hasArrivedAll, release: nothing},
	{name: "body read in part", part: "body", prepare: nothing, reached: isChecked, release: nothing},
	{
		name:    "waiting for tokens",
		wait:    true,
		prepare: func(b *bench) { b.admitter.begin() },
		reached: func(b *bench, _ *exchange) bool { return b.admitter.count() > 0 },
		release: func(b *bench) { b.admitter.release() },
	},
	{
		name:    "waiting for a model",
		wait:    true,
		prepare: func(b *bench) { b.setLayout("", "", "") },
		reached: func(b *bench, _ *exchange) bool { return len(b.demand.urgent) > 0 },
		release: func(b *bench) { b.setLayout(b.home, "m1", "a1") },
	},
	{
		name:    "waiting for an adapter",
		wait:    true,
		adapter: true,
		prepare: func(b *bench) { b.setLayout("e1", "m1", "") },
		reached: func(b *bench, _ *exchange) bool { return len(b.demand.urgent) > 0 },
		release: func(b *bench) { b.setLayout(b.home, "m1", "a1") },
	},
	{
		name: "in an endpoint's queue",
		wait: true,
		prepare: func(b *bench) {
			b.engines["e1"].begin()
			b.begin(http.MethodPost, "/v1/completions", completionBody("blocker", false), "", "Authorization", "Bearer "+benchKey, "X-Priority", "interactive")
			b.eventually("the endpoint is busy", func() bool { return b.engines["e1"].count() > 0 })
		},
		reached: func(b *bench, _ *exchange) bool {
			_, waiting := b.server.queue("e1", b.engines["e1"].address).Load()
			return waiting > 0
		},
		release: func(b *bench) { b.engines["e1"].release() },
	},
	{name: "sent and unanswered, whole", sent: true, prepare: holdEndpoint("e1"), reached: isAtHold("e1"), release: func(b *bench) { b.engines["e1"].release() }},
	{
		name:    "sent and unanswered, stream",
		sent:    true,
		stream:  true,
		prepare: func(b *bench) { b.engines["e1"].begin(); b.engines["e1"].early = true },
		reached: isAtHold("e1"),
		release: func(b *bench) { b.engines["e1"].release() },
	},
	{
		name:    "streaming",
		sent:    true,
		streams: true,
		stream:  true,
		prepare: holdEndpoint("e1"),
		reached: func(_ *bench, x *exchange) bool { return len(x.progress) >= 2 },
		release: func(b *bench) { b.engines["e1"].release() },
	},
	{name: "backing off before a retry", prepare: declineOnce("e1"), reached: hasRetried, release: nothing},
	{
		name:    "resumed",
		sent:    true,
		streams: true,
		stream:  true,
		prepare: func(b *bench) { b.engines["e1"].begin(); b.engines["e1"].breaks = 1 },
		reached: func(b *bench, _ *exchange) bool { return b.engines["e1"].count() > 0 },
		release: func(b *bench) { b.engines["e1"].release() },
	},
}

var callStates = []state{
	{name: "header read in part", method: http.MethodGet, part: "header", prepare: nothing, reached: hasArrivedAll, release: nothing},
	{name: "body read in part", method: http.MethodGet, part: "body", prepare: nothing, reached: isChecked, release: nothing},
	{name: "body read in part, once", method: http.MethodPost, unproved: true, part: "body", prepare: nothing, reached: isChecked, release: nothing},
	{
		name:    "being claimed",
		method:  http.MethodPost,
		prepare: func(b *bench) { b.table.begin() },
		reached: func(b *bench, _ *exchange) bool { return b.table.count() > 0 },
		release: func(b *bench) { b.table.release() },
	},
	{name: "sent and unanswered", method: http.MethodGet, sent: true, prepare: holdEndpoint("p1"), reached: isAtHold("p1"), release: func(b *bench) { b.engines["p1"].release() }},
	{name: "sent and unanswered, once", method: http.MethodPost, sent: true, prepare: holdEndpoint("p1"), reached: isAtHold("p1"), release: func(b *bench) { b.engines["p1"].release() }},
	{name: "backing off before a retry", method: http.MethodGet, unproved: true, prepare: declineOnce("p1"), reached: hasRetried, release: nothing},
	{name: "open, header read in part", method: http.MethodGet, open: true, part: "header", prepare: nothing, reached: hasArrivedAll, release: nothing},
	{name: "open, body read in part", method: http.MethodGet, open: true, part: "body", prepare: nothing, reached: isRunning, release: nothing},
	{name: "open, sent and unanswered", method: http.MethodGet, open: true, sent: true, prepare: holdEndpoint("o1"), reached: isAtHold("o1"), release: func(b *bench) { b.engines["o1"].release() }},
	{name: "open, backing off before a retry", method: http.MethodGet, unproved: true, open: true, prepare: declineOnce("o1"), reached: hasRetried, release: nothing},
}

const (
	served = "served"
	// keyWithdrawn stands for key-withdrawn and stream-key-withdrawn, which one depends on
	// who notices it first.
	keyWithdrawn = "key-withdrawn"
)

// change is a change of the configuration with what it does to a request.
type change struct {
	name  string
	apply func(*bench)
	// want returns served or the code of the refusal.
	want func(state) string
	// at is the endpoint that runs the request after the change, if it was not sent
	// before; empty for any.
	at string
}

// unlessSent is served for requests that were sent, and code for the others.
func unlessSent(code string) func(state) string {
	return func(s state) string {
		if s.sent {
			return served
		}
		return code
	}
}

func always(code string) func(state) string { return func(state) string { return code } }

// withdrawn is what becomes of requests of a key that is withdrawn.
func withdrawn(s state) string {
	switch {
	case s.open:
		return served
	case s.method == http.MethodPost && s.sent:
		// Its outcome has to be known.
		return served
	}
	return keyWithdrawn
}

func changeKey(f func(*spec.Config)) func(*bench) { return func(b *bench) { b.apply(f) } }

func removeEndpoint(name string) func(*bench) {
	return func(b *bench) {
		b.apply(func(c *spec.Config) {
			c.Endpoints = slices.DeleteFunc(c.Endpoints, func(e spec.Endpoint) bool { return e.Name == name })
		})
	}
}

func moveEndpoint(name string) func(*bench) {
	return func(b *bench) {
		b.apply(func(c *spec.Config) {
			i := slices.IndexFunc(c.Endpoints, func(e spec.Endpoint) bool { return e.Name == name })
			c.Endpoints[i].Address = b.engines["other"].address
		})
		b.demand.layoutChanged()
	}
}

func changeService(name string, f func(*spec.Service)) func(*bench) {
	return func(b *bench) {
		b.apply(func(c *spec.Config) {
			i := slices.IndexFunc(c.Services, func(s spec.Service) bool { return s.Name == name })
			f(&c.Services[i])
		})
	}
}

// both changes the services app and open.
func both(f func(*spec.Service)) func(*bench) {
	return func(b *bench) {
		changeService("app", f)(b)
		changeService("open", f)(b)
	}
}

var commonChanges = []change{
	{
		name:  "key withdrawn",
		apply: changeKey(func(c *spec.Config) { c.Keys = nil }),
		want:  withdrawn,
	},
	{
		name:  "key moved to another workspace",
		apply: changeKey(func(c *spec.Config) { c.Keys[0].Workspace = "other" }),
		want: func(s state) string {
			if s.part == "header" {
				return served
			}
			return withdrawn(s)
		},
	},
	{
		name: "workspace removed",
		apply: changeKey(func(c *spec.Config) {
			c.Keys = nil
			c.Workspaces = c.Workspaces[1:]
		}),
		want: withdrawn,
	},
}

var completionChanges = append(slices.Clone(commonChanges),
	change{
		name: "rate lowered to nearly nothing",
		apply: func(b *bench) {
			b.admitter.refused.Store("club", true)
			b.admitter.release()
		},
		want: func(s state) string {
			// A retry of a request that never waited holds its tokens.
			if s.sent || s.name == "backing off before a retry" || s.name == "in an endpoint's queue" {
				return served
			}
			return "over-rate"
		},
	},
	change{
		name: "model removed",
		apply: func(b *bench) {
			b.apply(func(c *spec.Config) { c.Models, c.Adapters = c.Models[1:], nil })
		},
		want: unlessSent("model-unknown"),
	},
	change{
		name: "service removed",
		apply: func(b *bench) {
			b.apply(func(c *spec.Config) {
				c.Services, c.Models, c.Adapters = c.Services[1:], nil, nil
				c.Endpoints = slices.DeleteFunc(c.Endpoints, func(e spec.Endpoint) bool { return e.Service == "lm" })
			})
		},
		want: unlessSent("model-unknown"),
	},
	change{
		name:  "another model removed",
		apply: func(b *bench) { b.apply(func(c *spec.Config) { c.Models = c.Models[:1] }) },
		want:  always(served),
	},
	change{
		name:  "adapter removed",
		apply: func(b *bench) { b.apply(func(c *spec.Config) { c.Adapters = c.Adapters[1:] }) },
		want: func(s state) string {
			if s.adapter {
				return "model-unknown"
			}
			return served
		},
	},
	change{
		name: "on-demand limit lowered",
		apply: func(b *bench) {
			b.apply(func(c *spec.Config) { c.Models[0].OnDemand = spec.Duration(time.Millisecond) })
		},
		want: func(s state) string {
			if s.name == "waiting for a model" || s.name == "waiting for an adapter" {
				return "model-loading"
			}
			return served
		},
	},
	change{
		name: "endpoint removed",
		apply: func(b *bench) {
			removeEndpoint("e1")(b)
			b.home = "e2"
			b.setLayout(b.home, "m1", "a1")
		},
		want: always(served),
		at:   "e2",
	},
	change{
		name: "endpoint moved to another address",
		apply: func(b *bench) {
			moveEndpoint("e1")(b)
			b.setLayout(b.home, "m1", "a1")
		},
		want: always(served),
		at:   "other",
	},
	change{
		name:  "context limit lowered",
		apply: func(b *bench) { b.apply(func(c *spec.Config) { c.Models[0].MaxContextTokens = 3 }) },
		want:  unlessSent("context-too-long"),
	},
)

var callChanges = append(slices.Clone(commonChanges),
	change{
		name: "service removed",
		apply: func(b *bench) {
			b.apply(func(c *spec.Config) {
				c.Services = c.Services[:1]
				c.Endpoints = slices.DeleteFunc(c.Endpoints, func(e spec.Endpoint) bool { return e.Service != "lm" })
			})
		},
		want: unlessSent("service-unknown"),
	},
	change{
		name:  "prefix changed",
		apply: both(func(s *spec.Service) { s.Prefix = "/moved" + s.Prefix }),
		want:  unlessSent("service-unknown"),
	},
	change{
		name:  "method removed",
		apply: both(func(s *spec.Service) { s.Methods = []spec.Method{{Method: http.MethodPut, Path: "*"}} }),
		want:  unlessSent("method-unknown"),
	},
	change{
		name: "method not repeatable any more",
		apply: both(func(s *spec.Service) {
			s.Methods[0].Repeatable = false
		}),
		want: always(served),
	},
	change{
		name: "method repeatable from now on",
		apply: changeService("app", func(s *spec.Service) {
			s.Methods[1].Repeatable = true
		}),
		want: always(served),
	},
	change{
		name:  "endpoint moved to another address",
		apply: func(b *bench) { moveEndpoint("p1")(b) },
		want:  always(served),
		at:    "other",
	},
	change{
		name: "endpoint removed",
		apply: func(b *bench) {
			b.apply(func(c *spec.Config) {
				i := slices.IndexFunc(c.Endpoints, func(e spec.Endpoint) bool { return e.Name == "p1" })
				c.Endpoints[i].Name, c.Endpoints[i].Address = "p2", b.engines["other"].address
			})
		},
		want: always(served),
		at:   "other",
	},
	change{
		name:  "service closed",
		apply: changeService("open", func(s *spec.Service) { s.Open = false }),
		want: func(s state) string {
			if s.open && !s.sent {
				return "no-key"
			}
			return served
		},
	},
	change{
		name:  "service opened",
		apply: changeService("app", func(s *spec.Service) { s.Open = true }),
		want:  always(served),
	},
)

func completionBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"m1","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, benchTokens, stream)
}

// TestChangesAndStates guards against requests that a change of the configuration leaves
// without an answer or refusal, refuses wrongly, runs although they may not, runs twice, or
// lets wait although they cannot be served any more.
func TestChangesAndStates(t *testing.T) {
	for _, table := range []struct {
		name    string
		changes []change
		states  []state
	}{
		{name: "completion", changes: completionChanges, states: completionStates},
		{name: "call", changes: callChanges, states: callStates},
	} {
		for _, c := range table.changes {
			for _, s := range table.states {
				t.Run(table.name+"/"+c.name+"/"+s.name, func(t *testing.T) {
					t.Parallel()
					playCell(t, c, s)
				})
			}
		}
	}
}

// beginIn sends a request and waits until it is in the state. It returns the mark by which
// endpoints count its runs.
func (b *bench) beginIn(s state) (x *exchange, mark string) {
	s.prepare(b)
	header := []string{"Authorization", "Bearer " + benchKey}
	method, path, body := http.MethodPost, "/v1/completions", completionBody("p", s.stream)
	mark = "p"
	switch {
	case s.method != "" && s.open:
		method, path, body, header, mark = s.method, "/open/x", "{}", nil, "/open/x"
	case s.method == http.MethodPost:
		header = append(header, "Idempotency-Key", "k1")
		fallthrough
	case s.method != "":
		method, path, body, mark = s.method, "/app/x", "{}", "/app/x"
	case s.adapter:
		header = append(header, "X-Adapter", "a1")
	}
	x = b.begin(method, path, body, s.part, header...)
	b.eventually(s.name, func() bool { return s.reached(b, x) })
	return x, mark
}

func playCell(t *testing.T, c change, s state) {
	b := newBench(t)
	x, mark := b.beginIn(s)
	c.apply(b)
	want := c.want(s)
	x.sendRest()
	// A refusal of a request that waits, or the end of a stream, must not wait for what the
	// request waited for.
	atOnce := want != served && (s.wait || s.sent) && want != "over-rate"
	got, ok := reply{}, false
	if atOnce {
		if got, ok = x.within(2 * time.Second); !ok {
			t.Errorf("no refusal at once, want %s", want)
		}
	}
	moved := s.name == "in an endpoint's queue" && c.at != ""
	if moved {
		// The endpoint that has taken its place is free.
		if got, ok = x.within(2 * time.Second); !ok {
			t.Error("the request still waits for the endpoint that was removed")
		}
	}
	if !ok {
		s.release(b)
		if got, ok = x.within(5 * time.Second); !ok {
			t.Fatal("neither an answer nor a refusal")
		}
	}
	runs := b.runs(mark)
	if want == keyWithdrawn && got.code == "stream-key-withdrawn" {
		want = got.code
	}
	if want == served && !got.isWhole() || want != served && got.code != want {
		t.Errorf("got %d %q %v, want %s", got.status, got.body, got.err, want)
	}
	if got.err != nil || !got.isWhole() && got.code == "" {
		t.Errorf("neither a whole answer nor a refusal: %d %q %v", got.status, got.body, got.err)
	}
	if got.notRun && runs > 0 || !got.notRun && runs == 0 && !s.unproved {
		t.Errorf("not-run is %v after %d runs", got.notRun, runs)
	}
	if runs > 1 {
		t.Errorf("ran %d times", runs)
	}
	if want == served && !s.sent && !s.open && c.at != "" && b.engines[c.at].ranOf(mark) != 1 {
		t.Error("did not run at the endpoint that the configuration names")
	}
	b.eventually("no request runs", func() bool { b.releaseAll(); return len(b.server.Running()) == 0 })
}

func (e *stubEndpoint) ranOf(mark string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[mark]
}
