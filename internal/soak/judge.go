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
	// drainBound is how long after an endpoint's word that it leaves requests may
	// reach it.
	drainBound = 2 * time.Second
	// wakeSlack is how long after a process or its way works again its orders do
	// not count.
	wakeSlack = 300 * time.Millisecond
	// ceilingWindow, ceilingExcess and ceilingSlack bound loads from the weight store.
	ceilingWindow = 5 * time.Second
	ceilingExcess = 1.1
	ceilingSlack  = 3
)

// judge compares all that was seen with the promises.
func (r *run) judge(healed time.Time) *Result {
	arrivals := r.site.Journal.Arrivals()
	runs := map[string][]site.Arrival{}
	for _, a := range arrivals {
		runs[a.Request] = append(runs[a.Request], a)
	}
	r.mu.Lock()
	all := r.record
	r.mu.Unlock()
	for _, a := range all.asked {
		r.judgeRequest(a, runs[a.id])
	}
	r.judgeArrivals(arrivals, all.asked)
	r.judgeRates(arrivals)
	r.judgeKeys(all.asked, runs)
	r.judgeOrders()
	r.judgeDrains(arrivals, all)
	r.judgeLoads()
	for _, w := range r.site.Journal.Wrong() {
		r.broken("ENDPOINT: %s", w)
	}
	out := &Result{
		Seed:     r.o.Seed,
		Requests: len(all.asked),
		Faults:   r.faults,
	}
	late, lateServed := 0, 0
	for _, a := range all.asked {
		served := a.status == http.StatusOK && a.whole && a.problem == ""
		if served {
			out.Served++
		}
		// A workspace above its rate, and a withdrawn key, are refused rightly.
		if a.sent.Sub(healed) > recoverBound && a.status != http.StatusTooManyRequests && a.status != http.StatusUnauthorized {
			late++
			if served {
				lateServed++
			}
		}
	}
	if late == 0 || float64(lateServed) < recoveredPart*float64(late) {
		r.broken("RECOVER: %d of %d requests were served later than %v after the last fault", lateServed, late, recoverBound)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Broken = slices.Clone(r.record.broken)
	return out
}

// judgeRequest checks one request by its answer and by how often it ran.
func (r *run) judgeRequest(a *asked, runs []site.Arrival) {
	once := a.route.RunsOnce()
	at := a.sent.Sub(r.began).Seconds()
	switch {
	case a.problem != "":
		r.broken("MIXED: %s (%s) at %.2f s from %s: %s", a.id, a.route.Name, at, a.node.name, a.problem)
	case a.status == http.StatusOK && len(runs) == 0:
		r.broken("MIXED: %s (%s) at %.2f s got a success from %s and did not run", a.id, a.route.Name, at, a.node.name)
	}
	if once && len(runs) > 1 {
		r.broken("TWICE: %s (%s) at %.2f s ran %s", a.id, a.route.Name, at, r.places(runs))
	}
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(runs) > 0 {
			r.broken("REFUSED: %s (%s) at %.2f s got %d from %s after %v and ran %s: %s", a.id, a.route.Name, at, a.status, a.node.name,
				a.ended.Sub(a.sent).Round(time.Millisecond), r.places(runs), a.answer)
		}
	case http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		r.broken("DENIED: %s (%s) at %.2f s got %d from %s", a.id, a.route.Name, at, a.status, a.node.name)
	case 0:
		if a.calm {
			r.broken("LOST: %s (%s) at %.2f s got no answer from %s and ran %s", a.id, a.route.Name, at, a.node.name, r.places(runs))
		}
	}
}

// places tells where and when a request ran.
func (r *run) places(runs []site.Arrival) string {
	out := make([]string, len(runs))
	for i, a := range runs {
		out[i] = fmt.Sprintf("at %s at %.2f s", a.Endpoint, a.At.Sub(r.began).Seconds())
	}
	return "[" + strings.Join(out, ", ") + "]"
}

// judgeArrivals checks that endpoints got nothing but what callers sent, for the
// workspace of their key.
func (r *run) judgeArrivals(arrivals []site.Arrival, requests map[string]*asked) {
	for _, a := range arrivals {
		q := requests[a.Request]
		if q == nil {
			// Requests that were under way at the end are not kept.
			if !strings.HasPrefix(a.Request, fmt.Sprintf("%d-", r.o.Seed)) {
				r.broken("UNASKED: %s ran %q (%s) at %.2f s, which no caller sent", a.Endpoint, a.Request, a.Target, a.At.Sub(r.began).Seconds())
			}
			continue
		}
		if want := r.workspaceOf(q.key); a.Workspace != want {
			r.broken("UNASKED: %s ran for workspace %q, its key is of %q", a.Request, a.Workspace, want)
		}
	}
}

// workspaceOf returns the workspace that ever held a key.
func (r *run) workspaceOf(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range append([]written{{config: deployment()}}, r.record.configs...) {
		for _, t := range c.config.Tenants {
			if slices.Contains(t.Keys, key) {
				return t.Name
			}
		}
	}
	return ""
}

// judgeRates checks the tokens of each workspace in each window.
func (r *run) judgeRates(arrivals []site.Arrival) {
	byTenant := map[string][]site.Arrival{}
	for _, a := range arrivals {
		byTenant[a.Workspace] = append(byTenant[a.Workspace], a)
	}
	for name, list := range byTenant {
		slices.SortFunc(list, func(a, b site.Arrival) int { return a.At.Compare(b.At) })
		first, sum := 0, 0.0
		for _, a := range list {
			sum += a.Tokens
			for a.At.Sub(list[first].At) > quotaWindow {
				sum -= list[first].Tokens
				first++
			}
			rate, burst := r.limitIn(name, list[first].At, a.At)
			if most := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack; sum > most {
				r.broken("QUOTA: %s got %.0f tokens in the %v before %.2f s, at most %.0f are allowed", name, sum, quotaWindow, a.At.Sub(r.began).Seconds(), most)
				break
			}
		}
	}
}

// limitIn returns the highest limit that a workspace may have had in a time. A
// lowered one binds a window after all processes could know it; a run with
// faults never tells when that was, so that a window and calmFor more are left.
func (r *run) limitIn(name string, from, to time.Time) (rate, burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	configs := append([]written{{config: deployment()}}, r.record.configs...)
	for i, c := range configs {
		ended := to
		if i+1 < len(configs) {
			ended = configs[i+1].at
		}
		if c.at.After(to) || ended.Add(quotaWindow+configBound+2*calmFor).Before(from) {
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

// judgeKeys checks that keys work from their addition until their withdrawal, at
// processes in touch, and that keys that are always there work everywhere.
func (r *run) judgeKeys(requests map[string]*asked, runs map[string][]site.Arrival) {
	for _, a := range requests {
		added, withdrawn := r.life(a.key)
		at := a.sent.Sub(r.began).Seconds()
		switch {
		case len(runs[a.id]) > 0 && a.calm && !withdrawn.IsZero() && a.sent.Sub(withdrawn) > configBound:
			r.broken("CONFIG: %s at %.2f s ran at %s with a key that was withdrawn at %.2f s", a.id, at, a.node.name, withdrawn.Sub(r.began).Seconds())
		case a.status != http.StatusUnauthorized:
		case added.IsZero() && withdrawn.IsZero():
			r.broken("DENIED: %s at %.2f s got 401 from %s with a key that is always there", a.id, at, a.node.name)
		case a.calm && a.sent.Sub(added) > configBound && (withdrawn.IsZero() || a.ended.Before(withdrawn)):
			r.broken("CONFIG: %s at %.2f s got 401 from %s with a key that was added at %.2f s", a.id, at, a.node.name, added.Sub(r.began).Seconds())
		}
	}
}

// life returns when a key was added and withdrawn, zero where it was not. A key
// that was added again counts from its last addition.
func (r *run) life(key string) (added, withdrawn time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := slices.ContainsFunc(deployment().Tenants, func(t site.Tenant) bool { return slices.Contains(t.Keys, key) })
	for _, c := range r.record.configs {
		now := slices.ContainsFunc(c.config.Tenants, func(t site.Tenant) bool { return slices.Contains(t.Keys, key) })
		switch {
		case now && !held:
			added, withdrawn = c.at, time.Time{}
		case !now && held:
			withdrawn = c.at
		}
		held = now
	}
	return added, withdrawn
}

// judgeOrders checks that two holders never give orders to an engine within the
// time of a lease, and that fencing tokens never fall.
func (r *run) judgeOrders() {
	type incarnation struct {
		endpoint string
		born     int64
	}
	last := map[incarnation]site.Given{}
	orders := r.site.Journal.Orders()
	slices.SortStableFunc(orders, func(a, b site.Given) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, o := range orders {
		if r.awoke(o.Holder, o.At) {
			continue
		}
		k := incarnation{endpoint: o.Endpoint, born: o.Born}
		before, ok := last[k]
		last[k] = o
		if !ok || before.Holder == o.Holder {
			continue
		}
		at := o.At.Sub(r.began).Seconds()
		if gap := o.At.Sub(before.At); gap < leaseBound {
			r.broken("ONE: %s got orders of %s and %s within %v at %.2f s", o.Endpoint, before.Holder, o.Holder, gap, at)
		}
		if o.Fence <= before.Fence {
			r.broken("ONE: %s got fence %d of %s after %d of %s at %.2f s", o.Endpoint, o.Fence, o.Holder, before.Fence, before.Holder, at)
		}
	}
}

func (r *run) awoke(name string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.record.woken, func(e event) bool {
		return e.name == name && !at.Before(e.at.Add(-wakeSlack)) && at.Before(e.at.Add(wakeSlack))
	})
}

// judgeDrains checks that leaving endpoints get nothing new from processes in touch.
func (r *run) judgeDrains(arrivals []site.Arrival, all record) {
	for _, a := range arrivals {
		q := all.asked[a.Request]
		if q == nil || !q.calm {
			continue
		}
		for _, d := range all.drains {
			// An endpoint is gone 2.5 s after its word and starts again later.
			since := a.At.Sub(d.at)
			if d.name == a.Endpoint && since > drainBound && since < 2500*time.Millisecond && q.sent.After(d.at) {
				r.broken("DRAIN: %s reached %s from %s %v after it had told that it leaves", a.Request, a.Endpoint, q.node.name, since)
			}
		}
	}
}

// judgeLoads checks the loads from the weight store in each window.
func (r *run) judgeLoads() {
	var most float64
	for _, s := range r.config.Services {
		if s.Engine != nil {
			most = s.Engine.LoadsPerSecond*ceilingWindow.Seconds()*ceilingExcess + ceilingSlack
		}
	}
	loads := r.site.Journal.Loads()
	first := 0
	for i, at := range loads {
		for at.Sub(loads[first]) > ceilingWindow {
			first++
		}
		if n := i - first + 1; float64(n) > most {
			r.broken("CEILING: %d loads in the %v before %.2f s, at most %.0f are allowed", n, ceilingWindow, at.Sub(r.began).Seconds(), most)
			return
		}
	}
}
