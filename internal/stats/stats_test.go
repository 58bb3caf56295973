package stats

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// Guards against a counter without a published name, and against two counters with
// the same name.
func TestEveryCounterHasItsOwnName(t *testing.T) {
	seen := map[string]bool{}
	for c := range numCounters {
		name := c.String()
		if labels[c].subject == "" || labels[c].name == "" || seen[name] {
			t.Errorf("counter %d is published as %q", int(c), name)
		}
		seen[name] = true
	}
}

// Guards against counts that are lost under concurrent use, quantiles that are off
// by more than 1%, and memory that grows with the number of workspaces.
func TestSeriesUnderConcurrentUse(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := 1; i <= 1000; i++ {
				s.Inc(RequestsStarted)
				series := s.Series("reykjavik", spec.ClassInteractive)
				series.FirstToken(time.Duration(i) * time.Millisecond)
				series.TokenGap(time.Hour)
				s.Series(fmt.Sprintf("w-%d", i), "").TokenGap(-time.Second)
			}
		})
	}
	wg.Wait()
	if got := s.Value(RequestsStarted); got != 8000 {
		t.Errorf("started = %d, want 8000", got)
	}
	s.Rotate()
	s.Series("reykjavik", spec.ClassInteractive).FirstToken(time.Millisecond)
	recent := s.Reports()[0].RecentFirstToken.Count
	s.Rotate()
	if now := s.Reports()[0].RecentFirstToken.Count; recent != 8001 || now != 1 {
		t.Errorf("%d and then %d values are recent, want 8001 and 1", recent, now)
	}
	text, err := json.Marshal(s.Latency()())
	if err != nil {
		t.Fatal(err)
	}
	var out map[string]map[string]Report
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	if len(out) != maxWorkspaces+1 {
		t.Errorf("%d workspaces are reported, want %d and %q", len(out), maxWorkspaces, Other)
	}
	r := out["reykjavik"]["interactive"]
	for _, q := range []struct{ got, want float64 }{
		{r.FirstToken.P50, 500},
		{r.FirstToken.P95, 950},
		{r.FirstToken.P99, 990},
		{r.FirstToken.Max, 1000},
		{r.TokenGap.Max, 600_000},
	} {
		if math.Abs(q.got-q.want) > q.want/100 {
			t.Errorf("got %v ms, want %v within 1%%", q.got, q.want)
		}
	}
	if r.FirstToken.Count != 8001 {
		t.Errorf("count = %d, want 8001", r.FirstToken.Count)
	}
}

// Guards against an unbounded number of counters for labels that callers choose.
func TestLabelsAreBounded(t *testing.T) {
	l := NewLabelCounters("rate", "key")
	l.Inc("rate")
	l.Inc("made-up-1")
	l.Inc("made-up-2")
	if l.Value("rate") != 1 || l.Value("anything") != 2 || strings.Contains(l.String(), "made-up") {
		t.Errorf("labels are %s", l.String())
	}
}

func BenchmarkRecord(b *testing.B) {
	s := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Inc(TokensGenerated)
			s.Series("reykjavik", spec.ClassInteractive).TokenGap(20 * time.Millisecond)
		}
	})
}
