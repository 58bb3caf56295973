package drain

import (
	"testing"
	"time"
)

// TestStop guards against requests that a stopping process accepts and cuts at its end,
// and against rejections of requests that it could finish.
func TestStop(t *testing.T) {
	began := time.Unix(1000, 0)
	stop := &Stop{
		AcceptUntil: began.Add(3 * time.Second),
		EndsAt:      began.Add(7 * time.Second),
	}
	for _, tc := range []struct {
		name    string
		stop    *Stop
		at      time.Duration
		need    time.Duration
		arrival Reason
		start   Reason
	}{
		{name: "not stopping", at: time.Second, need: time.Hour},
		{name: "short", stop: stop, at: time.Second, need: time.Second},
		{name: "unknown", stop: stop, at: 2 * time.Second},
		{name: "ends just before", stop: stop, at: 2 * time.Second, need: 5*time.Second - 1},
		{name: "ends with the process", stop: stop, at: 2 * time.Second, need: 5 * time.Second, arrival: TooLong, start: TooLong},
		{name: "short and late", stop: stop, at: 3 * time.Second, need: time.Second, arrival: TooLate},
		{name: "long and late", stop: stop, at: 3 * time.Second, need: time.Hour, arrival: TooLate, start: TooLong},
		{name: "after the end", stop: stop, at: 8 * time.Second, arrival: TooLate, start: TooLong},
		{name: "without an end", stop: &Stop{AcceptUntil: stop.AcceptUntil}, at: time.Second, need: time.Hour},
		{name: "without an end, late", stop: &Stop{AcceptUntil: stop.AcceptUntil}, at: 3 * time.Second, need: time.Hour, arrival: TooLate},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := began.Add(tc.at)
			if got := tc.stop.Arrival(now, tc.need); got != tc.arrival {
				t.Errorf("an arrival is %q, want %q", got, tc.arrival)
			}
			if got := tc.stop.Start(now, tc.need); got != tc.start {
				t.Errorf("a start is %q, want %q", got, tc.start)
			}
		})
	}
}

// TestExpect guards against long requests that are accepted because they are expected to be
// as short as the others.
func TestExpect(t *testing.T) {
	var times Times
	large, small := Kind{Service: "lm", Model: "large"}, Kind{Service: "lm", Model: "small"}
	plain := Kind{Service: "app"}
	for range 200 {
		times.Record(large, Sample{First: 200 * time.Millisecond, Rest: 4 * time.Second, Tokens: 100})
		times.Record(small, Sample{First: 100 * time.Millisecond, Rest: time.Second, Tokens: 100})
		times.Record(plain, Sample{First: 60 * time.Millisecond})
		// A time to the first part that is not known must not count as none.
		times.Record(small, Sample{Rest: time.Second, Tokens: 100})
	}
	for _, tc := range []struct {
		name   string
		kind   Kind
		tokens float64
		least  time.Duration
		most   time.Duration
	}{
		{name: "large, long", kind: large, tokens: 400, least: 16 * time.Second, most: 17 * time.Second},
		{name: "large, short", kind: large, tokens: 10, least: 500 * time.Millisecond, most: 700 * time.Millisecond},
		{name: "small, long", kind: small, tokens: 400, least: 4 * time.Second, most: 5 * time.Second},
		{name: "small, without tokens", kind: small, least: 100 * time.Millisecond, most: 101 * time.Millisecond},
		{name: "unknown model", kind: Kind{Service: "lm", Model: "new"}, tokens: 100, least: 2 * time.Second, most: 6 * time.Second},
		{name: "without tokens", kind: plain, least: 60 * time.Millisecond, most: 70 * time.Millisecond},
		{name: "unknown service", kind: Kind{Service: "other"}, tokens: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := times.Expect(tc.kind, tc.tokens); got < tc.least || got > tc.most {
				t.Errorf("expected to take %v, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}

// TestExpectSpread guards against an expectation that half of the requests exceed.
func TestExpectSpread(t *testing.T) {
	var times Times
	kind := Kind{Service: "lm", Model: "a"}
	const tokens = 100
	longer := 0
	for i := range 1000 {
		rest := time.Duration(1+i*7%10) * time.Second
		if i >= 500 && times.Expect(kind, tokens) < rest {
			longer++
		}
		times.Record(kind, Sample{Rest: rest, Tokens: tokens})
	}
	if longer > 50 {
		t.Errorf("%d of 500 requests took longer than expected, want at most 50", longer)
	}
}

// TestExpectBesideShortAnswers guards against a long stream that is expected to be short,
// because most answers came in one part, or because the first sample was an odd one.
func TestExpectBesideShortAnswers(t *testing.T) {
	kind := Kind{Service: "lm", Model: "a"}
	short := Sample{First: 50 * time.Millisecond, Tokens: 5, Parts: 1}
	two := Sample{First: 50 * time.Millisecond, Rest: 50 * time.Millisecond, Tokens: 10, Parts: 2}
	long := Sample{First: 50 * time.Millisecond, Rest: 2450 * time.Millisecond, Tokens: 250, Parts: 50}
	for _, tc := range []struct {
		name    string
		samples []Sample
	}{
		{name: "one long", samples: []Sample{long}},
		{name: "short first", samples: []Sample{short, short, short, long, long}},
		{name: "mostly short", samples: []Sample{long, short, two, short, two, short, two, short, short, two, short, short}},
		{name: "two parts", samples: []Sample{two, two, two}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var times Times
			for _, s := range tc.samples {
				times.Record(kind, s)
			}
			// Each part of five tokens takes 50 ms.
			if got := times.Expect(kind, 950); got < 9300*time.Millisecond || got > 12*time.Second {
				t.Errorf("950 tokens are expected to take %v, want 9.5s and a margin", got)
			}
		})
	}
}

// TestExpectFewSamples guards against the first answers of a model deciding alone for the
// next ones, although engines differ.
func TestExpectFewSamples(t *testing.T) {
	var times Times
	kind := Kind{Service: "lm", Model: "a"}
	for range 50 {
		times.Record(Kind{Service: "lm", Model: "b"}, Sample{Rest: 4 * time.Second, Tokens: 100})
	}
	times.Record(kind, Sample{Rest: time.Second, Tokens: 100})
	if got := times.Expect(kind, 100); got < 3500*time.Millisecond {
		t.Errorf("expected to take %v after one sample, others of the service take 4s", got)
	}
	for range 50 {
		times.Record(kind, Sample{Rest: time.Second, Tokens: 100})
	}
	if got := times.Expect(kind, 100); got > 1500*time.Millisecond {
		t.Errorf("expected to take %v after 51 samples of 1s", got)
	}
}

// TestExpectAllowedTokens guards against a long stream that is expected to be short because
// most callers allow far more tokens than their answers have.
func TestExpectAllowedTokens(t *testing.T) {
	var times Times
	kind := Kind{Service: "lm", Model: "a"}
	for i := range 400 {
		parts := 5 + i*13%80
		if i%33 == 0 {
			parts = 190
		}
		times.Record(kind, Sample{Rest: time.Duration(parts-1) * 20 * time.Millisecond, Tokens: 950, Parts: parts})
	}
	if got := times.Expect(kind, 950); got < 3780*time.Millisecond || got > 4800*time.Millisecond {
		t.Errorf("expected to take %v, want 3.8s and a margin", got)
	}
}

// TestExpectAtSlowEndpoint guards against a stream that a slow endpoint takes and that is
// expected to take as long as at the others.
func TestExpectAtSlowEndpoint(t *testing.T) {
	var times Times
	kind := Kind{Service: "lm", Model: "a"}
	for range 50 {
		times.Record(kind, Sample{Rest: time.Second, Tokens: 100, Parts: 11})
	}
	usual, slow := times.Expect(kind, 100), times.ExpectAt(kind, 100, 2.5)
	if usual > 1500*time.Millisecond || slow < 2500*time.Millisecond {
		t.Errorf("expected to take %v, and %v at an endpoint that takes 2.5 times as long", usual, slow)
	}
}

// TestExpectAfterLateAnswers guards against streams that a stopping process accepts and cuts,
// because few of those before them waited in a queue or paused.
func TestExpectAfterLateAnswers(t *testing.T) {
	kind := Kind{Service: "lm", Model: "a"}
	usual := Sample{First: 50 * time.Millisecond, Rest: 950 * time.Millisecond, Tokens: 100, Parts: 20}
	for _, tc := range []struct {
		name string
		late Sample
	}{
		{name: "queue", late: Sample{First: 1650 * time.Millisecond, Rest: 950 * time.Millisecond, Tokens: 100, Parts: 20}},
		{name: "pause", late: Sample{First: 50 * time.Millisecond, Rest: 2550 * time.Millisecond, Tokens: 100, Parts: 20}},
		{name: "pause in a short answer", late: Sample{First: 50 * time.Millisecond, Rest: 1700 * time.Millisecond, Tokens: 100, Parts: 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var times Times
			record := func(n int, s Sample) {
				for range n {
					times.Record(kind, s)
				}
			}
			record(100, usual)
			if got := times.Expect(kind, 100); got > 1300*time.Millisecond {
				t.Errorf("expected to take %v, each took 1s", got)
			}
			record(1, tc.late)
			record(5, usual)
			if got := times.ExpectFirst(kind); got > 400*time.Millisecond {
				t.Errorf("the first part is expected to take %v after one late answer", got)
			}
			if got := times.Expect(kind, 100); got < 2400*time.Millisecond {
				t.Errorf("expected to take %v soon after one that was 1.6s late", got)
			}
			record(300, usual)
			if got := times.Expect(kind, 100); got > 1300*time.Millisecond {
				t.Errorf("expected to take %v, the last 300 took 1s", got)
			}
		})
	}
}

// TestKnows guards against requests that are expected to need no time because nothing is
// known of their service.
func TestKnows(t *testing.T) {
	kind := Kind{Service: "lm", Model: "a"}
	for _, tc := range []struct {
		name    string
		samples []Sample
		tokens  float64
		want    bool
	}{
		{name: "nothing", tokens: 100},
		{name: "nothing, without tokens"},
		{name: "the first part only", samples: []Sample{{First: time.Second, Tokens: 5, Parts: 1}}, tokens: 100},
		{name: "the first part only, without tokens", samples: []Sample{{First: time.Second}}, want: true},
		{name: "parts", samples: []Sample{{First: time.Second, Rest: time.Second, Tokens: 100, Parts: 10}}, tokens: 100, want: true},
		{name: "tokens", samples: []Sample{{Rest: time.Second, Tokens: 100}}, tokens: 100, want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var times Times
			for _, s := range tc.samples {
				times.Record(Kind{Service: "lm", Model: "b"}, s)
			}
			if got := times.Knows(kind, tc.tokens); got != tc.want {
				t.Errorf("known: %v, want %v", got, tc.want)
			}
		})
	}
}
