package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// limitWindow is the window in which an endpoint that names a limit gets at most
	// limitFactor times what the limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldGrace is how long after a process has passed on a limit its requests count.
	toldGrace = 500 * time.Millisecond
)

// namedLimits are limits that endpoints name.
var namedLimits = []string{"0", "0.5", "1.2", "4", "12"}

// injectLimits makes endpoints name limits of requests, some of them also in reports, and end
// or change them. It has random numbers of its own, so that the faults of a seed stay the same.
func (r *run) injectLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 1<<34))
	var all sync.WaitGroup
	for until := time.Now().Add(r.opts.Faults); time.Now().Before(until) && ctx.Err() == nil; {
		i := random.IntN(len(r.site.Endpoints))
		text := namedLimits[random.IntN(len(namedLimits))]
		duration := time.Duration((5 + 8*random.Float64()) * float64(time.Second))
		inReports := random.IntN(2) == 0
		all.Go(func() {
			e := r.site.Endpoints[i]
			r.mu.Lock()
			r.logf("limit: endpoint %d, %.1f s, %q, in reports %v", i+1, duration.Seconds(), text, inReports)
			r.mu.Unlock()
			e.NameLimit(site.LimitWord{
				Values:    []string{text},
				InReports: inReports,
			})
			sleep(ctx, duration)
			e.NameLimit(site.LimitWord{})
		})
		sleep(ctx, time.Duration(1500+random.IntN(4000))*time.Millisecond)
	}
	all.Wait()
}

// limitedArrival is an arrival at an endpoint with the process that sent it.
type limitedArrival struct {
	site.Arrival
	node *node
	// passedOn is when the process passed the answer on, zero if it did not.
	passedOn time.Time
}

// checkLimits checks that endpoints which name a limit get no more requests than it allows,
// over all processes that have passed it on.
func (r *run) checkLimits(rec record) {
	byEndpoint := map[string][]limitedArrival{}
	for _, a := range r.site.Journal.Arrivals() {
		q := rec.requests[a.Request]
		if q == nil || q.node.isFormer() {
			continue
		}
		x := limitedArrival{
			Arrival: a,
			node:    q.node,
		}
		if q.status != 0 {
			x.passedOn = q.ended
		}
		key := fmt.Sprint(a.Endpoint, "/", a.Incarnation)
		byEndpoint[key] = append(byEndpoint[key], x)
	}
	for _, list := range byEndpoint {
		slices.SortFunc(list, func(a, b limitedArrival) int { return a.At.Compare(b.At) })
		for len(list) > 0 {
			at := slices.IndexFunc(list, func(a limitedArrival) bool { return a.Limit != "" })
			if at < 0 {
				break
			}
			list = list[at:]
			end := slices.IndexFunc(list, func(a limitedArrival) bool { return a.Limit != list[0].Limit })
			if end < 0 {
				end = len(list)
			}
			if text := checkLimited(rec, list[:end]); text != "" {
				r.reportViolation("LIMIT: %s", text)
			}
			list = list[end:]
		}
	}
}

// checkLimited checks the arrivals at an endpoint while it names the same limit. It returns
// what is wrong, or "".
func checkLimited(rec record, list []limitedArrival) string {
	limit, err := strconv.ParseFloat(list[0].Limit, 64)
	if err != nil {
		return ""
	}
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	bindsFrom := list[0].At.Add(stablePeriod)
	var counted []time.Time
	for _, a := range list {
		if a.At.Before(bindsFrom) || !isTold(rec, list, a) {
			continue
		}
		counted = append(counted, a.At)
		first := slices.IndexFunc(counted, func(at time.Time) bool { return a.At.Sub(at) < limitWindow })
		if n := len(counted) - first; float64(n) > allowed {
			return fmt.Sprintf("%s, which names %s a second since %v, got %d requests within %v until %v, allowed %.1f",
				a.Endpoint, a.Limit, list[0].At.Format(time.StampMilli), n, limitWindow, a.At.Format(time.StampMilli), allowed)
		}
	}
	return ""
}

// isTold reports whether the process of an arrival had passed the limit on in time and was not
// disturbed since.
func isTold(rec record, list []limitedArrival, a limitedArrival) bool {
	return slices.ContainsFunc(list, func(b limitedArrival) bool {
		return b.node == a.node && !b.passedOn.IsZero() && !b.passedOn.After(a.At.Add(-toldGrace)) &&
			!rec.interrupted(b.passedOn.Add(-linkSlack), a.At, a.node.name, a.Endpoint)
	})
}
