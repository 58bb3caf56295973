package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// drainBound is how long requests may still reach an endpoint after it
	// announced that it is leaving.
	drainBound = 2 * time.Second
	// recoverySlack is the time before and after the recovery of a process or
	// one of its links in which its orders are not checked.
	recoverySlack = 300 * time.Millisecond
	// loadWindow, loadExcess and loadSlack bound the number of loads from the
	// weight store.
	loadWindow = 5 * time.Second
	loadExcess = 1.1
	loadSlack  = 3
)

// evaluate checks everything that was recorded against the guarantees.
func (r *run) evaluate(recoveredAt time.Time) *Result {
	executions := r.site.Journal.Executions()
	runs := map[string][]site.Execution{}
	for _, a := range executions {
		runs[a.Request] = append(runs[a.Request], a)
	}
	r.mu.Lock()
	rec := r.record
	r.mu.Unlock()
	arrivals := map[string][]site.Arrival{}
	for _, a := range r.site.Journal.Arrivals() {
		arrivals[a.Request] = append(arrivals[a.Request], a)
	}
	configs := r.allConfigs()
	for _, a := range rec.requests {
		r.checkRequest(configs, a, runs[a.id], arrivals[a.id])
	}
	r.checkExecutions(executions, rec.requests)
	r.checkRates(executions)
	r.checkKeys(rec.requests, runs)
	r.checkOrders()
	r.checkDrains(executions, rec)
	r.checkStatements(rec)
	r.checkLimits(rec)
	r.checkLoads()
	for _, d := range rec.deadly {
		r.checkDeadlyPart(d, executions, rec.requests)
	}
	r.checkBlocked(rec)
	r.checkRoutes(configs, rec.requests)
	r.checkServices(configs, executions, rec.requests)
	var noted map[string]int
	if r.opts.Planned {
		noted = r.checkPlanned(rec, configs, runs, arrivals)
	}
	for _, w := range r.site.Journal.Violations() {
		r.reportViolation("ENDPOINT: %s", w)
	}
	out := &Result{
		Seed:     r.opts.Seed,
		Requests: len(rec.requests),
		Faults:   r.faults,
		Unserved: map[string]int{},
		Noted:    noted,
	}
	reasons := map[string]int{}
	for _, a := range rec.requests {
		served := a.status == http.StatusOK && a.complete && a.problem == ""
		if served {
			out.Served++
		} else {
			out.Unserved[a.describeFailure()]++
		}
		// Refusals of a workspace over its rate and of a withdrawn key are correct.
		if a.sent.Sub(recoveredAt) > r.recoverBound() && a.status != http.StatusTooManyRequests && a.status != http.StatusUnauthorized && !isAddedRoute(a.route) {
			out.Recovered++
			if served {
				out.RecoveredServed++
				continue
			}
			reasons[a.describeFailure()]++
		}
	}
	if out.Recovered == 0 || float64(out.RecoveredServed) < recoveredShare*float64(out.Recovered) {
		r.reportViolation("RECOVER: %d of %d requests were served later than %v after the last fault; the others by answer: %v", out.RecoveredServed, out.Recovered, r.recoverBound(), reasons)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Violations = slices.Clone(r.record.violations)
	return out
}

// checkRequest checks the answer to one request against how often the request
// ran.
func (r *run) checkRequest(configs []writtenConfig, req *request, runs []site.Execution, arrivals []site.Arrival) {
	routes, _ := r.routesInForce(configs, req)
	once := req.route.RunsAtMostOnce() && !slices.ContainsFunc(routes, func(x site.Route) bool { return !x.RunsAtMostOnce() })
	unframed := slices.ContainsFunc(arrivals, func(a site.Arrival) bool { return a.Form == site.Unframed && a.Broken != "" })
	at := req.sent.Sub(r.began).Seconds()
	switch {
	case req.problem != "" && unframed:
		// The end of the connection ended such an answer.
	case req.problem != "":
		r.reportViolation("MIXED: %s (%s) at %.2f s from %s: %s", req.id, req.route.Name, at, req.node.name, req.problem)
	case req.status == http.StatusOK && len(runs) == 0:
		r.reportViolation("MIXED: %s (%s) at %.2f s got status 200 from %s but did not run", req.id, req.route.Name, at, req.node.name)
	}
	if once && len(runs) > 1 {
		r.reportViolation("TWICE: %s (%s) at %.2f s ran %s", req.id, req.route.Name, at, r.describeRuns(runs))
	}
	switch req.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(runs) > 0 {
			r.reportViolation("REFUSED: %s (%s) at %.2f s got %d from %s after %v and ran %s: %s", req.id, req.route.Name, at, req.status, req.node.name,
				req.ended.Sub(req.sent).Round(time.Millisecond), r.describeRuns(runs), req.answer)
		}
	case http.StatusNotFound:
		// Checked by checkRoutes.
	case http.StatusForbidden, http.StatusBadRequest:
		r.reportViolation("DENIED: %s (%s) at %.2f s got %d from %s", req.id, req.route.Name, at, req.status, req.node.name)
	case 0:
		if !r.opts.Planned && (req.stable || req.stopping && len(runs) > 0) {
			r.reportViolation("LOST: %s (%s) at %.2f s got no answer from %s and ran %s", req.id, req.route.Name, at, req.node.name, r.describeRuns(runs))
		}
	}
}

// describeRuns lists where and when a request ran.
func (r *run) describeRuns(runs []site.Execution) string {
	out := make([]string, len(runs))
	for i, a := range runs {
		out[i] = fmt.Sprintf("at %s at %.2f s", a.Endpoint, a.At.Sub(r.began).Seconds())
	}
	return "[" + strings.Join(out, ", ") + "]"
}

// checkExecutions checks that endpoints received only requests that callers sent,
// on behalf of the workspace of their key.
func (r *run) checkExecutions(executions []site.Execution, requests map[string]*request) {
	for _, a := range executions {
		q := requests[a.Request]
		if q == nil {
			// Requests that were in progress at the end of the run are not recorded.
			if !strings.HasPrefix(a.Request, fmt.Sprintf("%d-", r.opts.Seed)) {
				r.reportViolation("UNASKED: %s ran %q (%s) at %.2f s, which no caller sent", a.Endpoint, a.Request, a.Target, a.At.Sub(r.began).Seconds())
			}
			continue
		}
		if want := r.workspaceOf(q.key); a.Workspace != want {
			r.reportViolation("UNASKED: %s ran for workspace %q, its key belongs to %q", a.Request, a.Workspace, want)
		}
	}
}

// workspaceOf returns the workspace to which a key belongs in any configuration
// of the run.
func (r *run) workspaceOf(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range append([]writtenConfig{{config: r.base}}, r.record.configs...) {
		for _, t := range c.config.Tenants {
			if slices.Contains(t.Keys, key) {
				return t.Name
			}
		}
	}
	return ""
}

// checkRates checks the tokens of each workspace in each window of length
// quotaWindow.
func (r *run) checkRates(executions []site.Execution) {
	byTenant := map[string][]site.Execution{}
	for _, a := range executions {
		byTenant[a.Workspace] = append(byTenant[a.Workspace], a)
	}
	for name, list := range byTenant {
		slices.SortFunc(list, func(a, b site.Execution) int { return a.At.Compare(b.At) })
		first, sum := 0, 0.0
		for _, a := range list {
			sum += a.Tokens
			for a.At.Sub(list[first].At) > quotaWindow {
				sum -= list[first].Tokens
				first++
			}
			rate, burst := r.highestLimit(name, list[first].At, a.At)
			if limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack; sum > limit {
				r.reportViolation("QUOTA: %s got %.0f tokens in the %v before %.2f s, at most %.0f are allowed", name, sum, quotaWindow, a.At.Sub(r.began).Seconds(), limit)
				break
			}
		}
	}
}

// highestLimit returns the highest rate and burst that may have been in force for
// a workspace between two instants. A lowered limit applies one window after all
// processes had time to read it. Faults may delay that, so an old limit is
// allowed for a window, configBound and twice stablePeriod after its replacement.
func (r *run) highestLimit(name string, from, to time.Time) (rate, burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	configs := append([]writtenConfig{{config: r.base}}, r.record.configs...)
	for i, c := range configs {
		ended := to
		if i+1 < len(configs) {
			ended = configs[i+1].at
		}
		if c.at.After(to) || ended.Add(quotaWindow+configBound+2*stablePeriod).Before(from) {
			continue
		}
		for _, t := range c.config.Tenants {
			if t.Name == name {
				rate, burst = max(rate, t.Rate), max(burst, t.Burst)
			}
		}
	}
	return rate, burst
}

// checkKeys checks that, at stable processes, keys work from their addition until
// their withdrawal, and that keys that are neither added nor withdrawn during the
// run work at all processes.
func (r *run) checkKeys(requests map[string]*request, runs map[string][]site.Execution) {
	for _, a := range requests {
		added, withdrawn := r.keyLifetime(a.key)
		bound := configBound
		if a.storeRefused {
			bound += skewBound
		}
		at := a.sent.Sub(r.began).Seconds()
		switch {
		case len(runs[a.id]) > 0 && a.stable && !withdrawn.IsZero() && a.sent.Sub(withdrawn) > bound:
			r.reportViolation("CONFIG: %s at %.2f s ran at %s with a key that was withdrawn at %.2f s", a.id, at, a.node.name, withdrawn.Sub(r.began).Seconds())
		case a.status != http.StatusUnauthorized:
		case added.IsZero() && withdrawn.IsZero():
			r.reportViolation("DENIED: %s at %.2f s got 401 from %s with a key that was never added or withdrawn", a.id, at, a.node.name)
		case a.stable && a.sent.Sub(added) > bound && (withdrawn.IsZero() || a.ended.Before(withdrawn)):
			r.reportViolation("CONFIG: %s at %.2f s got 401 from %s with a key that was added at %.2f s", a.id, at, a.node.name, added.Sub(r.began).Seconds())
		}
	}
}

// keyLifetime returns when a key was added and withdrawn; an instant is zero if
// that did not happen. A key that was added again has the instant of its last
// addition.
func (r *run) keyLifetime(key string) (added, withdrawn time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasValid := slices.ContainsFunc(r.base.Tenants, func(t site.Tenant) bool { return slices.Contains(t.Keys, key) })
	for _, c := range r.record.configs {
		isValid := slices.ContainsFunc(c.config.Tenants, func(t site.Tenant) bool { return slices.Contains(t.Keys, key) })
		switch {
		case isValid && !wasValid:
			added, withdrawn = c.at, time.Time{}
		case !isValid && wasValid:
			withdrawn = c.at
		}
		wasValid = isValid
	}
	return added, withdrawn
}

// checkOrders checks that an engine never gets orders from two lease holders
// within leaseBound, and that fencing tokens increase with each change of holder.
func (r *run) checkOrders() {
	type incarnation struct {
		endpoint string
		born     int64
	}
	last := map[incarnation]site.ReceivedOrder{}
	orders := r.site.Journal.Orders()
	slices.SortStableFunc(orders, func(a, b site.ReceivedOrder) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, o := range orders {
		if r.recentlyRecovered(o.Holder, o.At) {
			continue
		}
		k := incarnation{endpoint: o.Endpoint, born: o.Incarnation}
		before, ok := last[k]
		last[k] = o
		if !ok || before.Holder == o.Holder {
			continue
		}
		at := o.At.Sub(r.began).Seconds()
		if gap := o.At.Sub(before.At); gap < leaseBound {
			r.reportViolation("ONE: %s got orders of %s and %s within %v at %.2f s", o.Endpoint, before.Holder, o.Holder, gap, at)
		}
		if o.Fence <= before.Fence {
			r.reportViolation("ONE: %s got fence %d of %s after %d of %s at %.2f s", o.Endpoint, o.Fence, o.Holder, before.Fence, before.Holder, at)
		}
	}
}

// recentlyRecovered reports whether a process recovered within recoverySlack of
// an instant.
func (r *run) recentlyRecovered(name string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.record.recoveries, func(e event) bool {
		return e.name == name && !at.Before(e.at.Add(-recoverySlack)) && at.Before(e.at.Add(recoverySlack))
	})
}

// checkDrains checks that stable processes send no new requests to leaving
// endpoints.
func (r *run) checkDrains(executions []site.Execution, rec record) {
	for _, a := range executions {
		q := rec.requests[a.Request]
		if q == nil || !q.stable {
			continue
		}
		for _, d := range rec.drains {
			// An endpoint exits 2.5 s after it announces that it is leaving, and is
			// restarted later, or earlier by another fault.
			since := a.At.Sub(d.at)
			if time.UnixMilli(a.Incarnation).After(d.at) {
				continue
			}
			if d.name == a.Endpoint && since > drainBound && since < 2500*time.Millisecond && q.sent.After(d.at) {
				r.reportViolation("DRAIN: %s reached %s from %s %v after the endpoint announced that it was leaving", a.Request, a.Endpoint, q.node.name, since)
			}
		}
	}
}

// checkLoads checks the number of loads from the weight store in each window of
// length loadWindow.
func (r *run) checkLoads() {
	var limit float64
	for _, s := range r.config.Services {
		if s.Engine != nil {
			limit = s.Engine.LoadsPerSecond*loadWindow.Seconds()*loadExcess + loadSlack
		}
	}
	loads := r.site.Journal.LoadStarts()
	first := 0
	for i, at := range loads {
		for at.Sub(loads[first]) > loadWindow {
			first++
		}
		if n := i - first + 1; float64(n) > limit {
			r.reportViolation("CEILING: %d loads in the %v before %.2f s, at most %.0f are allowed", n, loadWindow, at.Sub(r.began).Seconds(), limit)
			return
		}
	}
}
