package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// checkPlanned checks that each request got a complete answer, where nothing but planned
// work and silences of sound engines happened. It returns how many requests had none
// without a broken guarantee, by the reason.
func (r *run) checkPlanned(rec record, runs map[string][]site.Execution) map[string]int {
	excused := map[string]int{}
	for _, q := range rec.requests {
		took := q.ended.Sub(q.sent)
		s := rec.stopBeside(q)
		switch {
		case q.complete:
		case took >= r.timeout(q.route)-deadlineSlack:
			excused["its time was over"]++
		case q.status == 0 && len(runs[q.id]) == 0 && took <= lostSlack:
			excused["it crossed the close of its connection"]++
		case s == nil || len(runs[q.id]) == 0 || !s.mayCut(q):
			r.reportViolation("LOST: %s", r.describeLost(rec, q, runs[q.id]))
		case q.sent.Before(s.at):
			excused["sent before the signal and cut at the end of the grace"]++
		case rec.silentBeside(q, runs[q.id]):
			excused["sent after the signal to an engine that fell silent, and cut at the end of the grace"]++
		default:
			r.reportViolation("CUT: %s", r.describeLost(rec, q, runs[q.id]))
		}
	}
	return excused
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
	return !q.sent.After(s.at.Add(lateAcceptBound)) && q.ended.After(s.at.Add(lastSixth)) && q.ended.Before(s.at.Add(graceBound+time.Second))
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
	text := fmt.Sprintf("%s (%s) at %s: sent %.2f s, ended %.2f s, status %d, %d of %d events, ran %s", q.id, q.route.Name, q.node.name,
		at(q.sent), at(q.ended), q.status, q.events, site.Events(q.tokens), r.describeRuns(runs))
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
