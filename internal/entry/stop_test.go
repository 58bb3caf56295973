package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/drain"
)

// allStates are the states of completions and of calls.
func allStates() []state { return append(append([]state{}, completionStates...), callStates...) }

// expectTimes makes the server expect that each request takes d.
func (b *bench) expectTimes(d time.Duration) {
	b.server.times.Record(drain.Kind{Service: "lm", Model: "m1"}, drain.Sample{First: time.Millisecond, Rest: d, Tokens: benchTokens})
	for _, service := range []string{"app", "open"} {
		b.server.times.Record(drain.Kind{Service: service}, drain.Sample{First: d})
	}
}

func (b *bench) stopIn(d time.Duration) {
	now := b.server.opts.Clock.Now()
	b.server.Stop(drain.Stop{AcceptUntil: now.Add(d), EndsAt: now.Add(d)})
}

// checkRefused checks that the caller got one truthful refusal of a stopping process.
func (b *bench) checkRefused(t *testing.T, s state, mark string, got reply) {
	t.Helper()
	if got.err != nil || got.status != http.StatusServiceUnavailable || got.code != "shutting-down" || !got.notRun && !s.unproved {
		t.Errorf("got %d %q %v, want 503 shutting-down and not-run", got.status, got.body, got.err)
	}
	if n := b.runs(mark); n > 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestStopRejectsWhatCannotBeFinished guards against requests that a stopping process
// accepts, or lets wait, although it cannot finish them, against refusals of those that it
// can finish, and against running requests that a stop ends before its end.
func TestStopRejectsWhatCannotBeFinished(t *testing.T) {
	for _, s := range allStates() {
		t.Run("too long/"+s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.expectTimes(time.Hour)
			x, mark := b.beginIn(s)
			b.stopIn(time.Minute)
			x.sendRest()
			if s.sent {
				s.release(b)
			}
			// Held claims are let go of after a moment.
			got, ok := x.within(time.Second)
			if !ok && !s.wait {
				s.release(b)
				got, ok = x.within(5 * time.Second)
			}
			switch {
			case !ok:
				t.Error("neither an answer nor a refusal at once")
			case s.sent && !got.isWhole():
				t.Errorf("got %d %q %v, want a whole answer", got.status, got.body, got.err)
			case !s.sent:
				b.checkRefused(t, s, mark, got)
			}
		})
		t.Run("short/"+s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.expectTimes(time.Second)
			x, mark := b.beginIn(s)
			b.stopIn(time.Minute)
			x.sendRest()
			s.release(b)
			if got, _ := x.within(5 * time.Second); !got.isWhole() || b.runs(mark) != 1 {
				t.Errorf("got %d %q %v, want a whole answer", got.status, got.body, got.err)
			}
		})
		t.Run("no end/"+s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.expectTimes(time.Hour)
			x, mark := b.beginIn(s)
			b.server.Stop(drain.Stop{AcceptUntil: b.server.opts.Clock.Now().Add(time.Hour)})
			x.sendRest()
			s.release(b)
			if got, _ := x.within(5 * time.Second); !got.isWhole() || b.runs(mark) != 1 {
				t.Errorf("got %d %q %v, want a whole answer", got.status, got.body, got.err)
			}
		})
	}
}

// TestStopEndsWaitsInTime guards against requests that wait until a stopping process cannot
// finish them any more, and are cut at its end.
func TestStopEndsWaitsInTime(t *testing.T) {
	for _, s := range allStates() {
		if !s.wait {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.expectTimes(9 * time.Second)
			x, mark := b.beginIn(s)
			began := time.Now()
			b.stopIn(10 * time.Second)
			got, ok := x.within(5 * time.Second)
			if took := time.Since(began); !ok || took < 900*time.Millisecond {
				t.Fatalf("refused: %v after %v, want after 1 s", ok, took)
			}
			b.checkRefused(t, s, mark, got)
		})
	}
}

// TestStopDoesNotResume guards against a stream that is resumed although the rest of it
// will be cut.
func TestStopDoesNotResume(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.expectTimes(time.Hour)
	b.engines["e1"].begin()
	x := b.begin(http.MethodPost, "/v1/completions", completionBody("p", true), "", "Authorization", "Bearer "+benchKey)
	b.eventually("streaming", func() bool { return len(x.progress) >= 2 })
	b.stopIn(time.Minute)
	b.engines["e1"].mu.Lock()
	b.engines["e1"].aborts = true
	b.engines["e1"].mu.Unlock()
	b.engines["e1"].release()
	got, ok := x.within(5 * time.Second)
	if !ok || got.code != "stream-broken" || got.notRun || strings.Contains(got.body, "[DONE]") {
		t.Errorf("got %q %v, want stream-broken", got.body, got.err)
	}
}

// TestEndAnswersAll guards against requests that get neither an answer nor a refusal when
// the process ends, against a broken stream that looks whole, and against "not run" for a
// request that ran.
func TestEndAnswersAll(t *testing.T) {
	for _, s := range allStates() {
		if s.part == "header" {
			// There is no request before the end of the header.
			continue
		}
		t.Run(s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			x, mark := b.beginIn(s)
			b.server.End()
			got, ok := x.within(3 * time.Second)
			want := "shutting-down"
			switch {
			case s.streams:
				want = "stream-broken"
			case s.sent && s.method == http.MethodPost:
				want = "outcome-unknown"
			case s.name == "being claimed":
				want = "repeat-unprovable"
			}
			if !ok || got.code != want || strings.Contains(got.body, "[DONE]") {
				t.Errorf("got %d %q %v, want %s", got.status, got.body, got.err, want)
			}
			if runs := b.runs(mark); got.notRun && runs > 0 || !got.notRun && runs == 0 && !s.unproved && want == "shutting-down" {
				t.Errorf("not-run is %v after %d runs", got.notRun, runs)
			}
		})
	}
	t.Run("arrives after the end", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		b.server.End()
		for _, x := range []*exchange{
			b.begin(http.MethodPost, "/v1/completions", completionBody("p", false), "", "Authorization", "Bearer "+benchKey),
			b.begin(http.MethodGet, "/app/x", "", "", "Authorization", "Bearer "+benchKey),
		} {
			if got, _ := x.within(5 * time.Second); got.code != "shutting-down" || !got.notRun {
				t.Errorf("got %d %q %v, want shutting-down", got.status, got.body, got.err)
			}
		}
	})
}

// TestEndKeepsAnswerBeyondStore guards against an answer that is lost because its outcome
// could not be stored before the end of the process.
func TestEndKeepsAnswerBeyondStore(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.engines["p1"].begin()
	x := b.begin(http.MethodPost, "/app/x", "{}", "", "Authorization", "Bearer "+benchKey, "Idempotency-Key", "k1")
	b.eventually("sent", func() bool { return b.engines["p1"].count() > 0 })
	b.table.updates.begin()
	b.engines["p1"].release()
	b.eventually("storing", func() bool { return b.table.updates.count() > 0 })
	b.server.End()
	if got, ok := x.within(2 * time.Second); !ok || !got.isWhole() {
		t.Errorf("got %d %q %v, want the answer", got.status, got.body, got.err)
	}
	if b.server.opts.Once.Pending() != 1 {
		t.Error("the outcome is not kept for the last store")
	}
}

// TestLearnsTimes guards against a stopping process that knows no times, because whole
// answers were not measured.
func TestLearnsTimes(t *testing.T) {
	t.Parallel()
	const pause = 200 * time.Millisecond
	for _, s := range allStates() {
		if !s.sent {
			continue
		}
		t.Run(s.name+s.method, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			x, _ := b.beginIn(s)
			time.Sleep(pause)
			s.release(b)
			if got, _ := x.within(5 * time.Second); !got.isWhole() {
				t.Fatalf("got %d %q %v", got.status, got.body, got.err)
			}
			kind := drain.Kind{Service: "lm", Model: "m1"}
			switch {
			case s.open:
				kind = drain.Kind{Service: "open"}
			case s.method != "":
				kind = drain.Kind{Service: "app"}
			}
			b.eventually("the time is learned", func() bool { return b.server.times.Expect(kind, benchTokens) >= pause })
		})
	}
}

// TestStopWithoutKnownTimes guards against a process that was told to stop soon after its
// start and accepts what it cannot finish, because no answer has shown how long they take.
func TestStopWithoutKnownTimes(t *testing.T) {
	for _, s := range completionStates {
		if s.sent {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			x, mark := b.beginIn(s)
			b.stopIn(firstTokenTarget)
			x.sendRest()
			got, _ := x.within(time.Second)
			b.checkRefused(t, s, mark, got)
		})
	}
}
