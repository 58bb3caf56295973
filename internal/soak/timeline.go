package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// maxTimelines is how many timelines a run writes at most.
	maxTimelines = 20
	// timelineMargin is how much a timeline holds of what happened before and after.
	timelineMargin = 300 * time.Millisecond
	maxLogLine     = 1 << 20
)

var violationID = regexp.MustCompile(`^[A-Z]+: (\d+-\d+-\d+) `)

// moment is a line of a timeline.
type moment struct {
	at   time.Time
	text string
}

// writeTimelines writes what happened to the first requests that violations name, from the
// logs of all processes, the endpoints, the store and the caller.
func (r *run) writeTimelines(violations []string) error {
	var queries []*request
	for _, v := range violations {
		m := violationID.FindStringSubmatch(v)
		if m == nil || len(queries) == maxTimelines {
			continue
		}
		if q := r.record.requests[m[1]]; q != nil && !slices.Contains(queries, q) {
			queries = append(queries, q)
		}
	}
	if len(queries) == 0 {
		return nil
	}
	logs, err := r.readLogs()
	if err != nil {
		return err
	}
	for _, q := range queries {
		var text strings.Builder
		for _, m := range r.timeline(q, logs) {
			fmt.Fprintf(&text, "%s %8.3f  %s\n", m.at.UTC().Format("15:04:05.000"), m.at.Sub(r.began).Seconds(), m.text)
		}
		if err := os.WriteFile(r.file(q.id+".timeline"), []byte(text.String()), 0o600); err != nil {
			return fmt.Errorf("soak: write timeline: %w", err)
		}
	}
	return nil
}

// logLine is a line of the log of a process.
type logLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	text    string
}

func (r *run) readLogs() ([]logLine, error) {
	var out []logLine
	for _, n := range r.nodes {
		f, err := os.Open(r.file(n.name + ".log"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("soak: read log: %w", err)
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, maxLogLine)
		for in.Scan() {
			l := logLine{
				text: in.Text(),
			}
			// A line that is cut off by a kill is not JSON.
			if json.Unmarshal(in.Bytes(), &l) == nil {
				out = append(out, l)
			}
		}
		f.Close()
		if err := in.Err(); err != nil {
			return nil, fmt.Errorf("soak: read log: %w", err)
		}
	}
	return out, nil
}

// timeline lists what happened to a request and beside it.
func (r *run) timeline(q *request, logs []logLine) []moment {
	rec := &r.record
	from, to := q.sent.Add(-timelineMargin), q.ended.Add(timelineMargin)
	var out []moment
	add := func(at time.Time, format string, args ...any) {
		out = append(out, moment{
			at:   at,
			text: fmt.Sprintf(format, args...),
		})
	}
	beside := func(at time.Time, format string, args ...any) {
		if at.After(from) && at.Before(to) {
			add(at, format, args...)
		}
	}
	add(q.sent, "caller: sends to %s on %s", q.node.name, q.route.Name)
	if !q.written.IsZero() {
		add(q.written, "caller: whole request written")
	}
	add(q.ended, "caller: status %d, %d of %d events, complete %v, error %v", q.status, q.events, site.Events(q.tokens), q.complete, q.err)
	for _, x := range r.site.Journal.Executions() {
		if x.Request == q.id {
			add(x.At, "%s: runs it after event %q", x.Endpoint, x.LastEventID)
		}
	}
	for _, a := range r.site.Journal.Arrivals() {
		if a.Request == q.id {
			add(a.At, "%s: it arrives, misdirected %v, leaving %v, Retry-After %q, form %d", a.Endpoint, a.Misdirected, a.Leaving, a.RetryAfter, a.Form)
			add(a.Ended, "%s: ends it, broken %q", a.Endpoint, a.Broken)
		}
	}
	for _, s := range rec.stops {
		if s.node != q.node || s.at.Add(graceBound+time.Second).Before(from) || s.at.After(to) {
			continue
		}
		add(s.at, "%s: SIGTERM", s.node.name)
		if !s.resumed.IsZero() {
			add(s.resumed, "%s: SIGCONT after a suspension", s.node.name)
		}
		if s.killed {
			add(s.at.Add(graceBound), "%s: SIGKILL", s.node.name)
		}
	}
	for _, c := range rec.configs {
		beside(c.at, "store: configuration %d written", c.config.Version)
	}
	for _, e := range rec.restores {
		beside(e.at, "%s", e.name)
	}
	for _, s := range rec.silences {
		beside(s.from, "%s: silent until %.3f", s.endpoint, s.to.Sub(r.began).Seconds())
	}
	for _, e := range rec.drains {
		beside(e.at, "%s: its entry says that it leaves", e.name)
	}
	for _, l := range logs {
		if l.Request == q.id {
			add(l.Time, "%s: %s", l.Node, l.text)
		} else if l.Request == "" && l.Node == q.node.name {
			beside(l.Time, "%s: %s", l.Node, l.text)
		}
	}
	slices.SortStableFunc(out, func(a, b moment) int { return a.at.Compare(b.at) })
	return out
}
