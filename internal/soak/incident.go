package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// maxAddedRoutes is how many routes a growing configuration gets at most; 3,000 have
	// about 600 kB.
	maxAddedRoutes = 3000
	// addedRoutePrefix begins the names of these routes.
	addedRoutePrefix = "added-"
	// addedRouteShare is the share of requests on such routes while there are any.
	addedRouteShare = 0.15
	// slowLinkRate is the rate in bytes a second of a slow link between processes.
	slowLinkRate = 80_000
	// skewBound is by how much a disturbed store may delay a configuration at a process
	// that it turns away.
	skewBound = 5 * time.Second
	// deadlyShare is the share of prompts with the deadly part while there is one.
	deadlyShare = 0.25
	// allowedCrashers is how many requests with a part that crashes engines may still
	// reach engines once the fleet must know of it, which is after crashesUntilKnown
	// crashes and stablePeriod.
	allowedCrashers   = 3
	crashesUntilKnown = 5
	// crashesToBlock is with how many crashes a part without an answer may be blocked.
	crashesToBlock = 2
	// minSoundSample is from how many sound requests on their share is checked.
	minSoundSample = 20
	// idleCallerInterval makes each third caller keep idle connections, and reusableShare
	// is the share of the idle limit for which callers may reuse one.
	idleCallerInterval = 3
	reusableShare      = 0.8
)

// deadlyPart is a part of prompts that crashes engines for some time.
type deadlyPart struct {
	id      string
	crashes []time.Time
	ended   time.Time // zero while requests with it come
}

// knownFrom returns when the fleet must know the part, zero if it need not.
func (d *deadlyPart) knownFrom() time.Time {
	if len(d.crashes) < crashesUntilKnown {
		return time.Time{}
	}
	return d.crashes[crashesUntilKnown-1].Add(stablePeriod)
}

// setEndpointAlive makes connections to a crashed endpoint fail as those to a process
// that is gone.
func (r *run) setEndpointAlive(id string, alive bool) {
	// An error means that the run ends.
	_ = r.endpointProxies[id].SetDown(!alive)
}

// injectIncidents injects all kinds of incidents, beside the other faults. They have
// random numbers of their own, so that the faults of a seed stay the same.
func (r *run) injectIncidents(ctx context.Context) {
	var all sync.WaitGroup
	until := time.Now().Add(r.opts.Faults)
	for i, f := range []func(context.Context, *rand.Rand, time.Time){r.growConfigs, r.poisonPrompts, r.changeIdleLimits} {
		all.Go(func() { f(ctx, rand.New(rand.NewPCG(r.opts.Seed, uint64(i)+1<<32)), until) })
	}
	all.Wait()
}

// growConfigs adds and removes many routes while the store turns some processes away and
// links between processes are slow.
func (r *run) growConfigs(ctx context.Context, random *rand.Rand, until time.Time) {
	for series := 0; time.Now().Before(until) && ctx.Err() == nil; series++ {
		var faults sync.WaitGroup
		duration := time.Duration((2 + 4*random.Float64()) * float64(time.Second))
		for _, n := range r.nodes {
			switch refused, slow := random.Float64() < 0.4, random.Float64() < 0.4; {
			case refused:
				outage := []site.Outage{site.Busy, site.RateLimited, site.Reset, site.Silent}[random.IntN(4)]
				faults.Go(func() { r.refuseAtStore(ctx, n, duration, outage) })
			case slow:
				n.peers.Throttle(slowLinkRate)
				faults.Go(func() {
					sleep(ctx, duration)
					n.peers.Throttle(0)
				})
			}
		}
		count := 1 + random.IntN(maxAddedRoutes)
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		for range 1 + random.IntN(3) {
			r.addRoutes(series, count)
			sleep(ctx, time.Duration(random.IntN(600))*time.Millisecond)
		}
		sleep(ctx, duration)
		r.changeConfig("added routes removed", func(c *site.Config) { c.Routes = c.Routes[:len(r.base.Routes)] })
		faults.Wait()
		sleep(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
	}
	r.changeConfig("added routes removed", func(c *site.Config) { c.Routes = c.Routes[:len(r.base.Routes)] })
}

// changeIdleLimits raises and lowers the limit on idle connections of callers.
func (r *run) changeIdleLimits(ctx context.Context, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		limit := []float64{500, 1000, 2000, 4000, 15_000}[random.IntN(5)]
		r.changeConfig(fmt.Sprintf("idle limit is %v ms", limit), func(c *site.Config) { c.Limits.IdleTimeoutMS = limit })
		sleep(ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
	}
}

// refuseAtStore makes the store turn a process away for some time.
func (r *run) refuseAtStore(ctx context.Context, n *node, duration time.Duration, outage site.Outage) {
	n.setRefused(true)
	defer n.setRefused(false)
	r.site.Store.SetFaults(n.name, site.StoreFaults{
		Outage: outage,
	})
	sleep(ctx, duration)
	r.site.Store.SetFaults(n.name, site.StoreFaults{})
}

// addRoutes adds routes to the booking service to the configuration.
func (r *run) addRoutes(series, count int) {
	r.changeConfig(fmt.Sprintf("%d routes added", count), func(c *site.Config) {
		base := r.base.Routes
		c.Routes = slices.Clone(c.Routes[:len(base)])
		for i := range count {
			route := base[len(base)-1]
			route.Name = fmt.Sprintf("%s%d-%d", addedRoutePrefix, series, i)
			route.Prefix = fmt.Sprintf("/added/%d/%d/", series, i)
			c.Routes = append(c.Routes, route)
		}
	})
}

func isAddedRoute(route *site.Route) bool {
	return strings.HasPrefix(route.Name, addedRoutePrefix)
}

// checkRoutes checks that stable processes serve added routes, and refuse removed
// ones, from configBound after the change on, and that none refuses a route that all
// configurations have.
func (r *run) checkRoutes(configs []writtenConfig, requests map[string]*request) {
	for _, req := range requests {
		routes, forbidden := r.routesInForce(configs, req)
		allowed := len(routes) > 0
		if allowed && forbidden {
			continue
		}
		code, _ := req.refusal()
		at := req.sent.Sub(r.began).Seconds()
		switch {
		case req.status == http.StatusNotFound && code != modelUnknown && allowed:
			r.reportViolation("CONFIG: %s at %.2f s got 404 from %s on %s, which all configurations that may be in force contain", req.id, at, req.node.name, req.route.Name)
		case req.status == http.StatusOK && forbidden:
			r.reportViolation("CONFIG: %s at %.2f s was served by %s on %s, which no configuration that may be in force contains", req.id, at, req.node.name, req.route.Name)
		}
	}
}

// poisonPrompts makes one part of prompts after the other crash engines.
func (r *run) poisonPrompts(ctx context.Context, random *rand.Rand, until time.Time) {
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
		r.startDeadlyPart(fmt.Sprintf("dead%d", i), time.Duration((1+2*random.Float64())*float64(time.Second)))
		sleep(ctx, time.Duration((10+5*random.Float64())*float64(time.Second)))
		r.endDeadlyPart()
	}
}

// startDeadlyPart makes engines crash under a part; each is down for some time.
func (r *run) startDeadlyPart(id string, down time.Duration) {
	r.mu.Lock()
	r.deadly = deadlyPart{
		id: id,
	}
	r.logf("part %s crashes engines", id)
	r.mu.Unlock()
	for _, e := range r.site.Endpoints {
		e.SetDeadlyPart(site.DeadlyPart{
			ID:   id,
			Down: down,
			OnCrash: func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.deadly.crashes = append(r.deadly.crashes, time.Now())
				r.logf("endpoint %s crashes under part %s", e.ID(), id)
			},
		})
	}
}

// endDeadlyPart ends the requests with the part, which stays deadly until the next one.
func (r *run) endDeadlyPart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadly.ended = time.Now()
	r.record.deadly = append(r.record.deadly, r.deadly)
	r.deadly = deadlyPart{}
}

// drawParts draws the shared parts of a prompt: one of three first ones, one of thirty
// second ones, and the deadly one for some. The number of the request makes no two alike.
func (c *caller) drawParts() []string {
	if !c.run.opts.Incidents {
		return nil
	}
	parts := []string{fmt.Sprintf("f%d", c.random.IntN(3)), fmt.Sprintf("s%d", c.random.IntN(30))}
	c.run.mu.Lock()
	deadly := c.run.deadly.id
	c.run.mu.Unlock()
	if deadly != "" && c.random.Float64() < deadlyShare {
		parts = append(parts, deadly)
	}
	return parts
}

// checkDeadlyPart checks that a part that crashes engines does not reach them any more
// once the fleet must know of it, through processes of this build, and that sound requests are not refused for it.
func (r *run) checkDeadlyPart(d deadlyPart, executions []site.Execution, requests map[string]*request) {
	if len(d.crashes) == 0 {
		return
	}
	if from := d.knownFrom(); !from.IsZero() {
		var late []string
		for _, a := range executions {
			if q := requests[a.Request]; q != nil && q.stable && !q.node.isFormer() && slices.Contains(a.Parts, d.id) && q.sent.After(from) {
				late = append(late, a.Request)
			}
		}
		if len(late) > allowedCrashers {
			r.reportViolation("BUDGET: %d requests with part %s reached engines later than %v after its fifth crash: %v", len(late), d.id, stablePeriod, late)
		}
	}
	from := d.crashes[min(len(d.crashes), crashesUntilKnown)-1].Add(2 * stablePeriod)
	sound, refused := 0, 0
	for _, q := range requests {
		if len(q.parts) == 0 || !q.stable || slices.Contains(q.parts, d.id) || q.sent.Before(from) || q.sent.After(d.ended) {
			continue
		}
		sound++
		if strings.Contains(q.answer, partBlocked) {
			refused++
		}
	}
	if sound >= minSoundSample && 2*refused > sound {
		r.reportViolation("LOST: %d of %d sound requests beside part %s were refused for it", refused, sound, d.id)
	}
}

// checkBlocked checks that stable processes of this build refuse no request for a prompt part
// unless one of its parts crashes engines, or may be taken for one that does: no request was
// answered with it before, and crashesToBlock were not.
func (r *run) checkBlocked(rec record) {
	byPart := map[string][]*request{}
	for _, q := range rec.requests {
		for _, part := range q.parts {
			byPart[part] = append(byPart[part], q)
		}
	}
	mayBeTaken := func(part string, at time.Time) bool {
		if slices.ContainsFunc(rec.deadly, func(d deadlyPart) bool { return d.id == part }) {
			return true
		}
		unanswered := 0
		for _, q := range byPart[part] {
			switch {
			case !q.ended.Before(at):
			case q.status == http.StatusOK && q.complete:
				return false
			default:
				unanswered++
			}
		}
		return unanswered >= crashesToBlock
	}
	for _, q := range rec.requests {
		if code, _ := q.refusal(); code != partBlocked || !q.stable || q.node.isFormer() {
			continue
		}
		if !slices.ContainsFunc(q.parts, func(part string) bool { return mayBeTaken(part, q.sent) }) {
			r.reportViolation("LOST: %s (%s) at %.2f s was refused by %s for a part of its prompt, none of which crashes engines: %v", q.id, q.route.Name,
				q.sent.Sub(r.began).Seconds(), q.node.name, q.parts)
		}
	}
}
