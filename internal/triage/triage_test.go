package triage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDecide guards against requests that wait for a model longer than their caller
// does, and against rejecting those that a load under way can still serve.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		leaves time.Duration
		model  Model
		waited time.Duration
		want   Decision
	}{
		{
			name:   "a load that ends before the caller leaves",
			leaves: 2 * time.Second,
			model:  Model{ReadyAt: now.Add(500 * time.Millisecond)},
			want:   Decision{Wait: true, Until: now.Add(1900 * time.Millisecond), Reason: LoadInTime},
		},
		{
			name:   "a load that ends after the caller leaves",
			leaves: 2 * time.Second,
			model:  Model{ReadyAt: now.Add(4 * time.Second)},
			want:   Decision{Reason: LoadTooLate, RetryAfter: 4400 * time.Millisecond},
		},
		{
			name:   "a load that should have ended",
			leaves: 2 * time.Second,
			model:  Model{ReadyAt: now.Add(-4 * time.Second)},
			want:   Decision{Wait: true, Until: now.Add(1900 * time.Millisecond), Reason: LoadInTime},
		},
		{
			name:   "no load known yet",
			leaves: 2 * time.Second,
			model:  Model{LoadTime: 5 * time.Second},
			want:   Decision{Wait: true, Until: now.Add(planTime), Reason: LoadNotYet},
		},
		{
			name:   "no load known in time",
			leaves: 2 * time.Second,
			model:  Model{LoadTime: 5 * time.Second},
			waited: planTime,
			want:   Decision{Reason: LoadUnknown, RetryAfter: 5400 * time.Millisecond},
		},
		{
			name:   "a caller that leaves before a load can be reported",
			leaves: 500 * time.Millisecond,
			model:  Model{LoadTime: time.Second},
			want:   Decision{Reason: LoadUnknown, RetryAfter: 1400 * time.Millisecond},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Decide(now, Request{
				Since:     now.Add(-tc.waited),
				LeavesAt:  now.Add(tc.leaves),
				FirstPart: 100 * time.Millisecond,
			}, tc.model)
			if got != tc.want {
				t.Errorf("decided %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestRareModelsAllAtOnce plays the load that the package answers: many requests
// for models that are not loaded. It guards against requests that are held until
// their caller leaves, against decisions that come late, and against callers that
// return together or before the model is loaded.
func TestRareModelsAllAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		ms := func(label string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
		}
		patience, first := ms("patience", 500, 8000), ms("first", 10, 400)
		reported, loadTime := ms("reported", 100, 1500), ms("load", 250, 6500)
		readyAt := start.Add(reported + loadTime)
		for range rapid.IntRange(2, 30).Draw(t, "requests") {
			since := start.Add(ms("arrival", 0, 4000))
			r := Request{
				Since:     since,
				LeavesAt:  since.Add(patience),
				FirstPart: first,
				Random:    rapid.Float64Range(0, 0.999).Draw(t, "random"),
			}
			for now := since; ; now = now.Add(50 * time.Millisecond) {
				if !now.Before(readyAt.Add(reportTime)) {
					break // served
				}
				m := Model{LoadTime: loadTime}
				if now.Sub(start) >= reported {
					m.ReadyAt = readyAt
				}
				d := Decide(now, r, m)
				if d.Wait {
					if d.Until.After(r.LeavesAt) || !d.Until.After(now) {
						t.Fatalf("waits until %v, its caller leaves at %v", d.Until.Sub(start), r.LeavesAt.Sub(start))
					}
					if !m.ReadyAt.IsZero() && !m.ReadyAt.Add(reportTime).Before(r.LeavesAt) {
						t.Fatalf("waits for a load that ends after its caller left")
					}
					continue
				}
				if !m.ReadyAt.IsZero() && m.ReadyAt.After(now) && now.Add(d.RetryAfter).Before(m.ReadyAt) {
					t.Fatalf("the caller returns %v before the model is loaded", m.ReadyAt.Sub(now.Add(d.RetryAfter)))
				}
				if held := now.Sub(since); held > planTime+100*time.Millisecond && m.ReadyAt.Equal(readyAt) && now.Sub(start) > reported+100*time.Millisecond {
					t.Fatalf("held for %v before it was rejected", held)
				}
				break
			}
		}
	})
}

// TestSpread guards against callers that were rejected together returning together.
func TestSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	r := Request{Since: now, LeavesAt: now.Add(time.Second)}
	m := Model{ReadyAt: now.Add(4 * time.Second)}
	seen := map[time.Duration]bool{}
	for i := range 20 {
		r.Random = float64(i) / 20
		seen[Decide(now, r, m).RetryAfter.Round(50*time.Millisecond)] = true
	}
	if len(seen) < 15 {
		t.Errorf("20 callers return at %d different times", len(seen))
	}
}

// TestDemandThatMoves plays the load in which a model becomes hot and its only holder
// is full until further copies are loaded. It guards against callers that return
// before the next copy, all at once, or long after it.
func TestDemandThatMoves(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		readyIn time.Duration
		least   time.Duration
	}{
		{name: "no copy is being loaded", least: drainTime},
		{name: "a copy that is ready soon", readyIn: 100 * time.Millisecond, least: drainTime},
		{name: "a copy from the store", readyIn: 6 * time.Second, least: 6*time.Second + reportTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			readyAt := time.Time{}
			if tc.readyIn > 0 {
				readyAt = now.Add(tc.readyIn)
			}
			perTenth := map[time.Duration]int{}
			const callers = 100
			for i := range callers {
				d := Full(now, readyAt, float64(i)/callers)
				most := tc.least + time.Duration(spreadShare*float64(tc.least))
				if d.Wait || d.RetryAfter < tc.least || d.RetryAfter > most {
					t.Fatalf("decided %+v, want a return between %v and %v", d, tc.least, most)
				}
				perTenth[d.RetryAfter.Truncate(100*time.Millisecond)]++
			}
			for at, n := range perTenth {
				if n > callers*2/3 {
					t.Errorf("%d of %d callers return in the tenth of a second after %v", n, callers, at)
				}
			}
		})
	}
}

// TestClosedEngines guards against callers that return before any engine takes requests
// again, or all at once, in every unit in which they are told the time.
func TestClosedEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, unit := range []time.Duration{time.Millisecond, time.Second} {
		for _, opensIn := range []time.Duration{-time.Second, 0, 200 * time.Millisecond, 3 * time.Second, time.Minute} {
			perUnit := map[time.Duration]int{}
			const callers = 100
			for i := range callers {
				d := Closed(now, now.Add(opensIn), unit, float64(i)/callers)
				if d.Wait || d.Reason != AllClosed || d.RetryAfter < max(opensIn, MinRetryAfter) {
					t.Fatalf("decided %+v, the first engine takes requests in %v", d, opensIn)
				}
				least := max(opensIn, MinRetryAfter)
				if most := least + max(closedSpread, 2*unit, least/4); d.RetryAfter > most {
					t.Fatalf("a caller returns after %v, the first engine takes requests in %v", d.RetryAfter, opensIn)
				}
				// Callers are told whole units, rounded up.
				perUnit[(d.RetryAfter+unit-1).Truncate(unit)]++
			}
			for at, n := range perUnit {
				if n > callers*2/3 {
					t.Errorf("%d of %d callers return after %v", n, callers, at)
				}
			}
		}
	}
}

// TestPlace guards against requests that wait in vain for a place at an endpoint that limits
// requests, are refused although one comes in time, or return together.
func TestPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for _, tc := range []struct {
		name             string
		since            time.Time
		placeAt, readyAt time.Time
		leavesIn         time.Duration
		wait             bool
		reason           Reason
		retryAfter       time.Duration // at least
	}{
		{name: "in time", since: now, placeAt: in(time.Second), leavesIn: 2 * time.Second, wait: true, reason: PlaceInTime},
		{name: "hardly in time", since: now, placeAt: in(1700 * time.Millisecond), leavesIn: 2 * time.Second, reason: PlaceTooLate, retryAfter: 1700 * time.Millisecond},
		{name: "too late", since: now, placeAt: in(9 * time.Second), leavesIn: 2 * time.Second, reason: PlaceTooLate, retryAfter: 9 * time.Second},
		{name: "a copy comes before", since: now, placeAt: in(9 * time.Second), readyAt: in(time.Second), leavesIn: 2 * time.Second, wait: true, reason: PlaceInTime},
		{name: "a copy comes too late, too", since: now, placeAt: in(9 * time.Second), readyAt: in(3 * time.Second), leavesIn: 2 * time.Second, reason: PlaceTooLate, retryAfter: 3 * time.Second},
		{name: "not known yet", since: now, leavesIn: 2 * time.Second, wait: true, reason: PlaceNotYet},
		{name: "not known", since: in(-2 * time.Second), leavesIn: 2 * time.Second, reason: PlaceUnknown, retryAfter: MinRetryAfter},
		{name: "due", since: in(-2 * time.Second), placeAt: in(-time.Second), leavesIn: 2 * time.Second, wait: true, reason: PlaceInTime},
		{name: "due, and the caller leaves", since: in(-2 * time.Second), placeAt: in(-time.Second), leavesIn: 100 * time.Millisecond, reason: PlaceTooLate, retryAfter: MinRetryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var returns []time.Duration
			for _, random := range []float64{0, 0.5, 1} {
				d := Place(now, Request{
					Since:     tc.since,
					LeavesAt:  in(tc.leavesIn),
					FirstPart: 150 * time.Millisecond,
					Random:    random,
				}, tc.placeAt, tc.readyAt)
				if d.Wait != tc.wait || d.Reason != tc.reason {
					t.Fatalf("got %+v", d)
				}
				if d.Wait && (!d.Until.After(now) || d.Until.After(in(tc.leavesIn))) {
					t.Errorf("waits until %v", d.Until.Sub(now))
				}
				returns = append(returns, d.RetryAfter)
			}
			if tc.wait {
				return
			}
			if returns[0] < tc.retryAfter || returns[2]-returns[0] < closedSpread {
				t.Errorf("callers return after %v", returns)
			}
		})
	}
}
