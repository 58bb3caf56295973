package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// Codes of refusals.
const (
	modelUnknown    = "model-unknown"
	overRate        = "over-rate"
	rateUnreachable = "rate-unreachable"
	keyUnknown      = "key-unknown"
	routeUnknown    = "route-unknown"
	configBehind    = "config-behind"
	partBlocked     = "prompt-part-blocked"
	// internalError is the code of an answer to a request whose handler failed.
	internalError = "internal-error"
)

// fullCodes are the codes of refusals because engines are full, fail or lack a model, which
// are correct while that may be so.
var fullCodes = []string{"no-endpoint", "no-further-endpoint", "endpoint-limit", partBlocked}

// checkPlanned checks that each whole request got a complete answer, where nothing but
// planned work and trouble of engines and of the store happened, and that each refusal has a
// reason. It returns how many requests had no whole answer, or one that is not right, without
// a broken guarantee, by the reason.
func (r *run) checkPlanned(rec record, configs []writtenConfig, runs map[string][]site.Execution, arrivals map[string][]site.Arrival) map[string]int {
	noted := map[string]int{}
	for _, q := range rec.requests {
		if q.complete {
			if reason := r.checkRefusal(configs, q); reason != "" {
				noted[reason]++
			}
			r.checkFailure(rec, configs, q, arrivals[q.id])
			continue
		}
		if kind, reason := r.whyLost(rec, configs, q, runs[q.id], arrivals[q.id]); kind != "" {
			r.reportViolation("%s: %s", kind, r.describeLost(rec, q, runs[q.id]))
		} else {
			noted[reason]++
		}
	}
	return noted
}

// whyLost returns the kind of violation that a request without a whole answer is, or the
// reason why it is none.
func (r *run) whyLost(rec record, configs []writtenConfig, q *request, runs []site.Execution, arrivals []site.Arrival) (kind, reason string) {
	took := q.ended.Sub(q.sent)
	s := rec.stopBeside(q)
	broken := lastBroken(arrivals)
	if broken >= 0 && workedAtEnd(q, arrivals[broken].Ended, runs, arrivals) {
		broken = -1
	}
	switch {
	case !q.connected:
		return "", "no connection"
	case q.written.IsZero():
		return "", "its body was not sent in full"
	case took >= r.lowestTimeout(configs, q)-deadlineSlack:
		return "", "its time was over"
	case broken >= 0:
		return "", "its engine broke it off: " + arrivals[broken].Broken
	case q.status == 0 && len(runs) == 0 && q.ended.Sub(q.written) <= lostSlack:
		return "", "it crossed the close of its connection"
	case rec.observerLate(q.ended):
		return "", "the soak itself was late when it ended"
	case s == nil || len(runs) == 0 || !s.mayCut(q):
		return "LOST", ""
	case q.sent.Before(s.at):
		return "", "sent before the signal and cut at the end of the grace"
	case q.sent.Before(s.knownFrom()):
		return "", "sent before its process could know the signal, and cut at the end of the grace"
	case rec.silentBeside(q, runs):
		return "", "sent after the signal to an engine that fell silent, and cut at the end of the grace"
	}
	return "CUT", ""
}

// lastBroken returns the index of the arrival that its engine broke off last, or -1.
func lastBroken(arrivals []site.Arrival) int {
	last := -1
	for i, a := range arrivals {
		if a.Broken != "" && (last < 0 || a.Ended.After(arrivals[last].Ended)) {
			last = i
		}
	}
	return last
}

// workedAtEnd reports whether an engine that broke nothing off worked on a request until its
// end, after another had broken it off.
func workedAtEnd(q *request, brokenAt time.Time, runs []site.Execution, arrivals []site.Arrival) bool {
	return slices.ContainsFunc(arrivals, func(a site.Arrival) bool {
		return a.Broken == "" && !a.Ended.Before(brokenAt) && a.Ended.Sub(q.ended).Abs() < sameMoment &&
			slices.ContainsFunc(runs, func(x site.Execution) bool { return x.Endpoint == a.Endpoint && !x.At.Before(a.At) })
	})
}

// lowestTimeout returns the shortest timeout that may have been in force for a request.
func (r *run) lowestTimeout(configs []writtenConfig, q *request) time.Duration {
	out := r.timeout(q.route)
	for i, c := range configs {
		if c.at.After(q.ended) || i+1 < len(configs) && configs[i+1].at.Add(oldestConfig).Before(q.sent) {
			continue
		}
		if route, ok := c.routes[q.route.Name]; ok {
			out = min(out, r.timeout(&route))
		}
	}
	return out
}

// checkRefusal checks that a refusal at a process that is undisturbed and not about to stop
// has a reason that may hold. It returns why a refusal is not right that breaks no guarantee.
func (r *run) checkRefusal(configs []writtenConfig, q *request) string {
	if q.status == http.StatusOK || !q.stable {
		return ""
	}
	code, message := q.refusal()
	hasKey := func(t site.Tenant) bool { return slices.Contains(t.Keys, q.key) }
	isSpare := func(m site.Model) bool { return m.Name == spareModel }
	known := false
	for _, c := range r.configsInForce(configs, q) {
		switch code {
		case overRate, rateUnreachable:
			known = known || slices.ContainsFunc(c.config.Tenants, func(t site.Tenant) bool {
				return t.Name == r.workspaceOf(q.key) && t.Rate < unlimitedRate
			})
		case keyUnknown:
			known = known || !slices.ContainsFunc(c.config.Tenants, hasKey)
		case routeUnknown:
			_, ok := c.routes[q.route.Name]
			known = known || !ok
		case modelUnknown:
			known = known || !slices.ContainsFunc(c.config.Services[0].Engine.Models, isSpare)
		case configBehind:
			_, ok := c.routes[q.route.Name]
			known = known || !ok || !slices.ContainsFunc(c.config.Tenants, hasKey) || !slices.ContainsFunc(c.config.Services[0].Engine.Models, isSpare)
		default:
			known = true
		}
	}
	switch {
	case q.status == http.StatusServiceUnavailable:
		known = slices.Contains(fullCodes, code) || (code == rateUnreachable || code == configBehind) && known
	case q.status < http.StatusInternalServerError && code == "":
		known = false
	}
	switch {
	case known:
		return ""
	case code == overRate:
		return "429 for a rate that nobody reaches"
	}
	r.reportViolation("CALM: %s (%s) at %.2f s got %d %s (%s) from %s after %v, which is neither stopping nor disturbed", q.id, q.route.Name,
		q.sent.Sub(r.began).Seconds(), q.status, code, message, q.node.name, q.ended.Sub(q.sent).Round(time.Millisecond))
	return ""
}

// stopBeside returns the last stop of the process of a request that may have affected it, nil
// if there was none.
func (rec *record) stopBeside(q *request) *stop {
	for _, s := range slices.Backward(rec.stops) {
		if s.node == q.node && s.at.Before(q.ended) && q.sent.Before(s.at.Add(graceBound+time.Second)) {
			return s
		}
	}
	return nil
}

// mayCut reports whether the end of the grace may cut a request: it was sent soon after the
// signal and its engine was at work until shortly before the end.
func (s *stop) mayCut(q *request) bool {
	return !q.sent.After(s.at.Add(lateAcceptBound)) && q.ended.After(s.at.Add(lastSixth)) && q.ended.Before(s.endsBefore())
}

// knownFrom returns from when the process must act on the signal.
func (s *stop) knownFrom() time.Time {
	known := s.at
	if s.resumed.After(known) {
		known = s.resumed
	}
	return known.Add(handlingSlack)
}

// endsBefore returns until when the end of a process may end its connections: a killed one
// may run until it is scheduled.
func (s *stop) endsBefore() time.Time {
	out := s.at.Add(graceBound + time.Second)
	if s.killed && s.exited.After(out) {
		return s.exited
	}
	return out
}

// silentBeside reports whether an engine that ran a request was silent meanwhile.
func (rec *record) silentBeside(q *request, runs []site.Execution) bool {
	return slices.ContainsFunc(rec.silences, func(s silence) bool { return s.meets(q, runs) })
}

func (s silence) meets(q *request, runs []site.Execution) bool {
	return s.from.Before(q.ended) && s.to.After(q.sent) && slices.ContainsFunc(runs, func(x site.Execution) bool { return x.Endpoint == s.endpoint })
}

// describeLost describes a lost request beside the stops of its process, configurations, and
// the silences of the engines that ran it.
func (r *run) describeLost(rec record, q *request, runs []site.Execution) string {
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	text := fmt.Sprintf("%s (%s) at %s: sent %.2f s, ended %.2f s, status %d, %d of %d events, ran %s, %v", q.id, q.route.Name, q.node.name,
		at(q.sent), at(q.ended), q.status, q.events, site.Events(q.tokens), r.describeRuns(runs), q.err)
	var beside []string
	for _, s := range rec.stops {
		if s.node == q.node && s.at.Before(q.ended) && q.sent.Before(s.at.Add(graceBound+time.Second)) {
			what := fmt.Sprintf("stop at %.2f s (sent %+.2f s, ended %+.2f s)", at(s.at), q.sent.Sub(s.at).Seconds(), q.ended.Sub(s.at).Seconds())
			if !s.resumed.IsZero() {
				what += fmt.Sprintf(", suspended until %+.2f s", s.resumed.Sub(s.at).Seconds())
			}
			if s.killed {
				what += ", killed"
			}
			beside = append(beside, what)
		}
	}
	for _, c := range rec.configs {
		if c.at.Before(q.ended) && q.sent.Before(c.at.Add(configBound+time.Second)) {
			beside = append(beside, fmt.Sprintf("configuration at %.2f s", at(c.at)))
		}
	}
	for _, s := range rec.silences {
		if s.meets(q, runs) {
			beside = append(beside, fmt.Sprintf("%s silent %.2f to %.2f s", s.endpoint, at(s.from), at(s.to)))
		}
	}
	return text + "; " + strings.Join(beside, ", ")
}

// checkFailure checks that no handler fails, that a timeout comes no earlier than the request's time is over, and
// that no failure replaces the answer of an engine that broke nothing off, at a process that
// is undisturbed and not about to stop.
func (r *run) checkFailure(rec record, configs []writtenConfig, q *request, arrivals []site.Arrival) {
	took := q.ended.Sub(q.sent)
	code, message := q.refusal()
	switch {
	case code == internalError:
		r.reportViolation("FAILED: %s (%s) at %.2f s got %d (%s) from %s", q.id, q.route.Name, q.sent.Sub(r.began).Seconds(), q.status, message, q.node.name)
	case !q.stable || rec.observerLate(q.ended):
	case q.status == http.StatusGatewayTimeout && took < r.lowestTimeout(configs, q)-deadlineSlack:
		r.reportViolation("EARLY: %s (%s) at %.2f s got 504 from %s after %v", q.id, q.route.Name, q.sent.Sub(r.began).Seconds(), q.node.name, took.Round(time.Millisecond))
	case q.status == http.StatusBadGateway && len(arrivals) > 0 && !slices.ContainsFunc(arrivals, func(a site.Arrival) bool { return a.Broken != "" }):
		r.reportViolation("FAILED: %s (%s) at %.2f s got 502 (%s) from %s after %v, and none of its %d engines broke it off", q.id, q.route.Name,
			q.sent.Sub(r.began).Seconds(), message, q.node.name, took.Round(time.Millisecond), len(arrivals))
	}
}

const (
	// sameMoment is how much the end of a request at an engine and at its caller differ.
	sameMoment = 100 * time.Millisecond
	// oldestConfig is how old a configuration may be that limits the time of a request, at
	// a process that a restored store has given an old one.
	oldestConfig = 10 * time.Second
	// handlingSlack is how long a process that runs may take to handle a signal.
	handlingSlack = 50 * time.Millisecond
	// watchInterval is how often the soak checks whether it is scheduled in time, and
	// maxLateness how late that may be. latenessReach is for how long a request's end may
	// be observed late afterwards.
	watchInterval = 20 * time.Millisecond
	maxLateness   = 150 * time.Millisecond
	latenessReach = time.Second
)

// watchItself records when the soak itself is not scheduled in time, so that what it sees of
// processes has no exact time.
func (r *run) watchItself(ctx context.Context) {
	for last := time.Now(); sleep(ctx, watchInterval); last = time.Now() {
		if now := time.Now(); now.Sub(last) > watchInterval+maxLateness {
			r.mu.Lock()
			r.record.lateness = append(r.record.lateness, now)
			r.logf("the soak itself was late by %v", now.Sub(last)-watchInterval)
			r.mu.Unlock()
		}
	}
}

// observerLate reports whether the soak was not scheduled in time shortly before an instant.
func (rec *record) observerLate(at time.Time) bool {
	return slices.ContainsFunc(rec.lateness, func(x time.Time) bool { return x.After(at.Add(-latenessReach)) && x.Before(at.Add(latenessReach)) })
}

func (r *run) isLate(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.observerLate(at)
}
