package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// allowedAfterRefusal is how many requests of a process may still reach an endpoint
	// from refusalGrace after it turned one away until the end of the time that it named.
	allowedAfterRefusal = 2
	refusalGrace        = 500 * time.Millisecond
	// linkSlack is how much earlier than the report of a disturbance its effect may begin.
	linkSlack = time.Second
	// longRetryAfter is a time beyond the end of a run.
	longRetryAfter = "3600"
)

// retryAfters are values of the header Retry-After, usable or not.
var retryAfters = []string{"1", "1.5", "3", "0", "-2", "soon", longRetryAfter}

// injectStatements makes endpoints say of themselves that they leave, with and without an
// entry that says so, and turn requests away for some time. It has random numbers of its
// own, so that the faults of a seed stay the same.
func (r *run) injectStatements(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 1<<33))
	var all sync.WaitGroup
	for until := time.Now().Add(r.opts.Faults); time.Now().Before(until) && ctx.Err() == nil; {
		i, kind := random.IntN(len(r.site.Endpoints)), random.IntN(3)
		duration := time.Duration((2 + 3*random.Float64()) * float64(time.Second))
		ratio := 0.2 + 0.8*random.Float64()
		retryAfter := time.Now().Add(3 * time.Second).UTC().Format(http.TimeFormat)
		if i := random.IntN(len(retryAfters) + 1); i < len(retryAfters) {
			retryAfter = retryAfters[i]
		}
		name := fmt.Sprintf("statement-%d-%d", i, kind)
		all.Go(func() {
			defer r.lockEndpoint(i)()
			r.mu.Lock()
			r.logf("%s: endpoint %d, %.1f s, %.2f, %q", name, i+1, duration.Seconds(), ratio, retryAfter)
			r.mu.Unlock()
			r.injectStatement(ctx, r.site.Endpoints[i], kind, duration, ratio, retryAfter)
		})
		sleep(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond)
	}
	all.Wait()
}

func (r *run) injectStatement(ctx context.Context, e *site.Endpoint, kind int, duration time.Duration, ratio float64, retryAfter string) {
	switch kind {
	case 0:
		e.SetFaults(site.EndpointFaults{
			TurnAwayRatio: ratio,
			RetryAfter:    retryAfter,
		})
		sleep(ctx, duration)
		e.SetFaults(site.EndpointFaults{})
		if retryAfter != longRetryAfter {
			return
		}
		// Only another incarnation takes requests again within the run.
	case 1:
		e.SayLeaving()
	case 2:
		r.noteDrain(e.ID())
		e.Drain(0)
	}
	sleep(ctx, duration)
	e.Crash()
	sleep(ctx, duration)
	e.Restart()
}

// noteInterruption records that a process or a link to an endpoint is disturbed in a way
// that excuses it from what endpoints have said.
func (r *run) noteInterruption(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.interruptions = append(r.record.interruptions, event{name: name, at: time.Now()})
}

// interrupted reports whether one of the names was disturbed in a span of time.
func (rec *record) interrupted(from, to time.Time, names ...string) bool {
	return slices.ContainsFunc(rec.interruptions, func(e event) bool {
		return slices.Contains(names, e.name) && !e.at.Before(from) && !e.at.After(to)
	})
}

// arrivalKey is one process's view of one incarnation of an endpoint.
type arrivalKey struct {
	node        *node
	endpoint    string
	incarnation int64
}

// checkStatements checks that processes obey what endpoints say of themselves in their
// answers, from what the endpoints see.
func (r *run) checkStatements(rec record) {
	byKey := map[arrivalKey][]site.Arrival{}
	for _, a := range r.site.Journal.Arrivals() {
		if q := rec.requests[a.Request]; q != nil && !q.node.isFormer() && !a.Misdirected {
			k := arrivalKey{
				node:        q.node,
				endpoint:    a.Endpoint,
				incarnation: a.Incarnation,
			}
			byKey[k] = append(byKey[k], a)
		}
	}
	for k, list := range byKey {
		slices.SortFunc(list, func(a, b site.Arrival) int { return a.At.Compare(b.At) })
		r.checkLeft(rec, k, list)
		r.checkTurnedAway(rec, k, list)
	}
}

// checkLeft checks that no request reaches an endpoint that was sent later than drainBound
// after the process had passed on an answer that says that the endpoint leaves.
func (r *run) checkLeft(rec record, k arrivalKey, list []site.Arrival) {
	var passedOn time.Time
	for _, a := range list {
		q := rec.requests[a.Request]
		if !passedOn.IsZero() && q.sent.Sub(passedOn) > drainBound && !rec.interrupted(passedOn, a.At, k.node.name) {
			r.reportViolation("DRAIN: %s reached %s from %s, sent %v after that had passed on its word that it leaves", a.Request, k.endpoint, k.node.name, q.sent.Sub(passedOn))
			return
		}
		// A request without an answer may not have passed the word on.
		if a.Leaving && q.status != 0 && (passedOn.IsZero() || q.ended.Before(passedOn)) {
			passedOn = q.ended
		}
	}
}

// checkTurnedAway checks that few requests reach an endpoint before the end of the time
// for which it wanted none.
func (r *run) checkTurnedAway(rec record, k arrivalKey, list []site.Arrival) {
	for i, a := range list {
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		if err != nil {
			continue
		}
		end := a.At.Add(time.Duration(seconds * float64(time.Second)))
		late := 0
		for _, b := range list[i+1:] {
			if b.At.After(a.At.Add(refusalGrace)) && b.At.Before(end) && !rec.interrupted(a.At.Add(-linkSlack), b.At, k.node.name, k.endpoint) {
				late++
			}
		}
		if late > allowedAfterRefusal {
			r.reportViolation("BUDGET: %d requests reached %s from %s within %s s after it had turned %s away", late, k.endpoint, k.node.name, a.RetryAfter, a.Request)
			return
		}
	}
}
