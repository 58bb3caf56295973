package caller

import (
	"testing"
	"time"
)

// TestLimitsThatCallersMayBelieve guards against connections that are closed at a limit
// that callers do not know yet, and against those that stay open because of one that all
// callers know to be over.
func TestLimitsThatCallersMayBelieve(t *testing.T) {
	t.Parallel()
	type change struct {
		at    time.Duration
		limit time.Duration
	}
	const s = time.Second
	for _, tc := range []struct {
		name    string
		changes []change
		idle    time.Duration // since when
		want    time.Duration // 0 for no limit
	}{
		{name: "unchanged", changes: []change{{limit: 10 * s}}, idle: 1 * s, want: 13 * s},
		{name: "raised", changes: []change{{limit: 10 * s}, {at: 5 * s, limit: 30 * s}}, idle: 1 * s, want: 33 * s},
		{name: "raised_and_lowered", changes: []change{{limit: 10 * s}, {at: 5 * s, limit: 60 * s}, {at: 20 * s, limit: 10 * s}}, idle: 1 * s, want: 22 * s},
		{name: "lowered_long_after_its_end", changes: []change{{limit: 5 * s}, {at: 9 * s, limit: 1 * s}}, idle: 1 * s, want: 8 * s},
		{name: "lowered_before_the_answer", changes: []change{{limit: 60 * s}, {at: 5 * s, limit: 1 * s}}, idle: 6 * s, want: 9 * s},
		{name: "limited_since", changes: []change{{at: 20 * s, limit: 3 * s}}, idle: 1 * s, want: 22 * s},
		{name: "limited_for_a_moment", changes: []change{{at: 4 * s, limit: 3 * s}, {at: 5 * s}}, idle: 1 * s},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			l := idleLimit{
				margin: 2 * s,
			}
			for _, c := range tc.changes {
				l.observe(start.Add(c.at), c.limit)
			}
			at, isLimited := l.deadline(start.Add(tc.idle))
			if isLimited != (tc.want > 0) || isLimited && at.Sub(start) != tc.want {
				t.Errorf("closed at %v, limited %v, want %v", at.Sub(start), isLimited, tc.want)
			}
		})
	}
}

// TestChangesOfTheLimitAreBounded guards against memory that grows with each change.
func TestChangesOfTheLimitAreBounded(t *testing.T) {
	t.Parallel()
	start := time.Now()
	l := idleLimit{
		margin: time.Hour,
	}
	for i := range 1000 {
		limit := time.Second
		if i == 10 {
			limit = time.Minute
		}
		if i%2 == 1 {
			limit = 2 * time.Second
		}
		l.observe(start.Add(time.Duration(i)*time.Second), limit)
	}
	if len(l.past) > maxPastLimits {
		t.Errorf("%d limits are kept", len(l.past))
	}
	// The longest limit was in force until 11 s after the start.
	if at, _ := l.deadline(start); at.Sub(start) < time.Hour+11*time.Second {
		t.Errorf("closed after %v", at.Sub(start))
	}
}
