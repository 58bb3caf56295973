package picker

import (
	"math"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/rank"
)

// Query describes the request that an endpoint is chosen for.
type Query struct {
	Service string
	Model   string
	Adapter string
	// Session identifies the prompt part that the request shares with others.
	Session string
	Exclude map[fleet.Key]bool
	// HasPlace reports whether the request may be sent to an endpoint that limits requests;
	// without it no request is limited.
	HasPlace func(fleet.Key) bool
}

// Choice is a chosen endpoint, with the inputs of the choice for the log.
type Choice struct {
	Endpoint   fleet.Endpoint
	HasAdapter bool
	// Load is the estimated number of requests at the endpoint, Candidates the
	// number of endpoints that could serve the request, and ReportAge the age of
	// the endpoint's load report.
	Load       float64
	Candidates int
	ReportAge  time.Duration
	// IsStale is whether that report is too old to say how busy the endpoint is, or there is
	// none.
	IsStale bool
	// Fill is the load as a fraction of the endpoint's slots; 0 if these are not known.
	Fill float64
	// Pace is the time that the endpoint takes for a unit of work, relative to others.
	Pace float64
	// IsLimited is whether the endpoint limits requests, so that this one needs a place.
	IsLimited bool
	// Preferred is a limited endpoint that would be better if there were a place; empty if
	// there is none.
	Preferred fleet.Key
}

// LimitedError means that only endpoints that limit requests could serve a request, and that
// no place is free.
type LimitedError struct {
	// Endpoint is the best of them.
	Endpoint fleet.Endpoint
}

// Error implements error.
func (e *LimitedError) Error() string {
	return "picker: no place is free at endpoint " + e.Endpoint.ID + ", which limits requests"
}

// limitProbeAfter is how long after an endpoint was last heard to name its limit it gets a
// request although others have room, so that the end of the limit is noticed.
const limitProbeAfter = 2 * time.Second

// limitedCost returns the cost that is added at an endpoint that limits requests, in requests.
// It counts as one whose slots are taken, so that others with room come first.
func limitedCost(e *endpointState) float64 {
	return float64(e.Slots) * (1 + (1-NearFullShare)*fullCost)
}

// unloadKey is a model at an engine.
type unloadKey struct {
	key   fleet.Key
	model string
}

// Pick chooses the endpoint with the lowest cost and counts the request there
// until EndAttempt is called.
func (t *Table) Pick(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best, short *endpointState
	var bestCost, shortCost float64
	out := Choice{}
	holders, served := 0, 0
	closedKey, closedUntil := fleet.Key{}, time.Time{}
	affinity := t.affinity(now, q)
	jitter := jitterUnit * math.Sqrt(float64(t.nodes-1))
	for _, e := range t.endpoints {
		if e.Service != q.Service {
			continue
		}
		verdict := t.health.Ask(now, e.Key())
		if verdict.Reason == health.Leaving {
			continue
		}
		served++
		var r *fleet.Resident
		if q.Model != "" {
			if r = e.find(now, q.Model); r == nil {
				continue
			}
		}
		if now.Before(e.unreachableUntil) || q.Model != "" && t.isUnresponsive(now, e) {
			continue
		}
		if !verdict.Usable {
			if closedUntil.IsZero() || verdict.Until.Before(closedUntil) {
				closedKey, closedUntil = e.Key(), verdict.Until
			}
			continue
		}
		holders++
		if q.Exclude[e.Key()] {
			continue
		}
		out.Candidates++
		cost := t.cost(now, e, &q, r, e.ID == affinity) + jitter*t.randomExp()
		if verdict.IsLimited {
			if now.Sub(verdict.LimitNamed) < limitProbeAfter {
				cost += limitedCost(e)
			}
			if q.HasPlace != nil && !q.HasPlace(e.Key()) {
				if short == nil || cost < shortCost {
					short, shortCost = e, cost
				}
				continue
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost, out.IsLimited = e, cost, verdict.IsLimited
		}
	}
	switch {
	case best != nil:
		if short != nil && shortCost < bestCost {
			out.Preferred = short.Key()
		}
	case short != nil:
		return Choice{}, &LimitedError{
			Endpoint: short.Endpoint,
		}
	case holders == 0 && !closedUntil.IsZero():
		return Choice{}, &health.ClosedError{
			Engine: closedKey,
			Until:  closedUntil,
		}
	case q.Model != "" && holders == 0 && served > 0:
		return Choice{}, ErrNotResident
	default:
		return Choice{}, ErrNoEndpoint
	}
	out.Endpoint = best.Endpoint
	out.HasAdapter, out.Pace = true, best.pace
	best.describeLoad(now, t.nodes, 0, &out)
	if q.Adapter != "" {
		out.HasAdapter = best.has(now, fleet.Find(best.Models, q.Model), q.Adapter)
	}
	t.startProbe(best)
	best.running++
	best.sentAt = append(best.sentAt, now)
	if best.waitingSince.IsZero() {
		best.waitingSince = now
	}
	return out, nil
}

// Look returns a choice of Pick, whose attempt has not ended, with what is known by now of how
// busy its endpoint is.
func (t *Table) Look(now time.Time, c Choice) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(c.Endpoint.Key()); e != nil {
		e.describeLoad(now, t.nodes, 1, &c)
	}
	return c
}

// describeLoad sets what is known of how busy an endpoint is, apart from own requests that were
// chosen and not sent.
func (e *endpointState) describeLoad(now time.Time, nodes, own int, out *Choice) {
	out.Load = e.estimatedLoad(now, nodes, own)
	if e.Slots > 0 {
		out.Fill = out.Load / float64(e.Slots)
	}
	if !e.reported.IsZero() {
		out.ReportAge = now.Sub(e.reported)
	}
	out.IsStale = !e.hasReport(now)
}

// affinity returns the id of the endpoint that requests of the same session
// prefer, by rendezvous hashing.
func (t *Table) affinity(now time.Time, q Query) string {
	if q.Session == "" {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, e := range t.endpoints {
		if e.Service != q.Service || fleet.Find(e.Models, q.Model) == nil || !t.health.Ask(now, e.Key()).Usable {
			continue
		}
		if s := rank.Score(q.Session, e.ID); best == "" || s > bestScore {
			best, bestScore = e.ID, s
		}
	}
	return best
}

// hasReport reports whether the endpoint has a report that says how busy it is.
func (e *endpointState) hasReport(now time.Time) bool {
	return !e.reported.IsZero() && now.Sub(e.reported) < reportMaxAge
}

// estimatedLoad estimates the number of requests that all nodes have at an
// endpoint, apart from own ones of this node. Without a recent report it assumes
// that every node has as many as this one.
func (e *endpointState) estimatedLoad(now time.Time, nodes, own int) float64 {
	running := max(0, e.running-own)
	if e.hasReport(now) {
		return max(float64(running), float64(e.report.Active+e.report.Queued+max(0, len(e.sentAt)-own)))
	}
	return float64(running * nodes)
}

// cost returns the cost of sending a request to an endpoint, in units of requests
// that already run there; lower is better.
func (t *Table) cost(now time.Time, e *endpointState, q *Query, r *fleet.Resident, preferred bool) float64 {
	load := e.estimatedLoad(now, t.nodes, 0)
	cost := idlePlainLoad + load
	if r != nil {
		cost = idleEngineCost(e.Slots) + load
		if preferred {
			cost -= affinityBonus
		}
		if !e.has(now, r, q.Adapter) {
			cost += adapterLoadCost
			if e.report.Busy || t.busyEngines[e.Key()] {
				cost += busyEngineCost
			}
		}
	}
	if e.Domain != t.domain {
		cost += otherDomainCost * idlePlainLoad / 4
		if r != nil {
			cost += otherDomainCost
		}
	}
	if fresh := now.Sub(e.reported) < reportMaxAge; fresh && !e.reported.IsZero() {
		cost += queueCost * float64(e.report.Queued)
		if total := e.report.CacheTotal; total > 0 {
			if used := float64(e.report.CacheUsed) / float64(total); used > highMemoryShare {
				cost *= 1 + 4*(used-highMemoryShare)
			}
		}
	}
	if !e.reported.IsZero() && t.newestReport.Sub(e.reported) > reportMaxAge {
		cost += staleReportCost
	}
	if slots := float64(e.Slots); slots > 0 && load >= slots*NearFullShare {
		cost += fullCost * (load - slots*NearFullShare + 1)
	}
	cost *= e.pace
	cost *= 1 + failureCost*e.failureRate
	if now.Before(e.fullUntil) {
		cost = cost*4 + 100
	}
	if t.domainStates[e.Domain].avoid(now) {
		cost += cutDomainCost
	}
	if e.isSilent(now) {
		cost = cost*10 + 1000
	}
	if t.pendingUnloads[unloadKey{key: e.Key(), model: q.Model}] {
		cost = cost*6 + 500
	}
	return cost
}

// idleEngineCost returns the base cost of an engine with the given slots.
func idleEngineCost(slots int) float64 {
	if slots <= 0 {
		return idleEngineLoad
	}
	return min(idleEngineLoad, idleSlotShare*float64(slots))
}

// isUnresponsive reports whether an engine gets no more requests because it neither
// answers nor sends reports. Requests that run at it are not affected. One request at
// a time tests whether it answers again.
func (t *Table) isUnresponsive(now time.Time, e *endpointState) bool {
	if e.suspectSince.IsZero() {
		silent := now.Sub(e.waitingSince)
		reportsStop := !e.reported.IsZero() && t.newestReport.Sub(e.reported) > reportMaxAge
		if e.waitingSince.IsZero() || silent <= silentAfter || !reportsStop && silent <= unreportedSilentAfter {
			return false
		}
		if recent := now.Sub(e.reported) <= reportMaxAge; recent {
			// It is alive, and its queue is long.
			return false
		}
		e.suspectSince = now
		t.log.Warn("engine does not respond", "endpoint", e.ID, "silent-ms", silent.Milliseconds(),
			"report-age-ms", now.Sub(e.reported).Milliseconds(), "running", e.running)
	}
	return e.running > 0
}

// Reopening returns the error of Pick if every endpoint that could serve a request wants
// none of this node for a time, and nil otherwise.
func (t *Table) Reopening(now time.Time, q Query) *health.ClosedError {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed *health.ClosedError
	for _, e := range t.endpoints {
		if e.Service != q.Service || q.Model != "" && e.find(now, q.Model) == nil || now.Before(e.unreachableUntil) {
			continue
		}
		switch v := t.health.Ask(now, e.Key()); {
		case v.Usable:
			return nil
		case v.Reason == health.Closed && (closed == nil || v.Until.Before(closed.Until)):
			closed = &health.ClosedError{
				Engine: e.Key(),
				Until:  v.Until,
			}
		}
	}
	return closed
}

// Unusable describes the endpoints of a service that could serve a request but are not
// usable, for the log, limited to a few.
func (t *Table) Unusable(now time.Time, q Query) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, e := range t.endpoints {
		if e.Service != q.Service || q.Model != "" && fleet.Find(e.Models, q.Model) == nil {
			continue
		}
		if v := t.health.Ask(now, e.Key()); !v.Usable {
			out = append(out, e.ID+" "+v.String())
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxUnusableLogged)]
}

// maxUnusableLogged bounds the endpoints that a log line describes.
const maxUnusableLogged = 8

// isSilent reports whether the endpoint has running requests and has sent nothing
// for longer than silentAfter.
func (e *endpointState) isSilent(now time.Time) bool {
	return !e.waitingSince.IsZero() && now.Sub(e.waitingSince) > silentAfter
}
