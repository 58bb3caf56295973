package audit

import (
	"fmt"
	"strings"
	"time"
)

// Explain formats an answer as text for a reader without a technical background:
// what happened, in order, which workspace was served worst, and what may be
// missing from the text. Times are shown in the given location.
func Explain(q Query, a Answer, in *time.Location) string {
	var b strings.Builder
	fmt.Fprintln(&b, heading(q, in))
	day := ""
	for _, line := range condense(a.Events) {
		at := line.event.Time.In(in)
		if d := at.Format("Monday 2 January 2006"); d != day {
			day = d
			fmt.Fprintf(&b, "%s\n", d)
		}
		fmt.Fprintf(&b, "  %s  %s", at.Format("15:04:05"), Sentence(line.event))
		if line.repeats > 0 {
			fmt.Fprintf(&b, " (The same happened %s more times until %s.)", number(line.repeats), line.last.In(in).Format("15:04:05"))
		}
		b.WriteString("\n")
	}
	if len(a.Events) == 0 {
		b.WriteString("  Nothing was recorded.\n")
	}
	if q.Request == "" && q.Model == "" {
		fmt.Fprintln(&b, Summary(a))
	}
	for _, sentence := range gaps(q, a, in) {
		fmt.Fprintln(&b, sentence)
	}
	return b.String()
}

func heading(q Query, in *time.Location) string {
	var parts []string
	for _, p := range []struct{ what, name string }{
		{"request", q.Request},
		{"workspace", q.Workspace},
		{"model", q.Model},
	} {
		if p.name != "" {
			parts = append(parts, p.what+" "+p.name)
		}
	}
	text := "What happened"
	if len(parts) > 0 {
		text += " to " + strings.Join(parts, ", ")
	}
	const layout = "2 January 15:04:05"
	if !q.From.IsZero() {
		text += " from " + q.From.In(in).Format(layout)
	}
	if !q.To.IsZero() {
		text += " to " + q.To.In(in).Format(layout)
	}
	return text + ":"
}

// line is an event and the number of similar events that directly followed it.
type line struct {
	event   Event
	repeats int64
	last    time.Time
}

// condense merges consecutive events of requests that were not served if they
// differ only in the time, the node, the request, the second party and the numbers,
// so that many refusals in a row take one line.
func condense(events []Event) []line {
	var out []line
	for _, e := range events {
		if len(out) > 0 {
			l := &out[len(out)-1]
			if similar(l.event, e) {
				l.repeats++
				l.last = e.Time
				continue
			}
		}
		out = append(out, line{
			event: e,
			last:  e.Time,
		})
	}
	return out
}

func similar(a, b Event) bool {
	return a.Reason == b.Reason && a.Workspace == b.Workspace && a.Model == b.Model &&
		a.Endpoint == b.Endpoint && a.Domain == b.Domain && a.Key == b.Key && a.NotRun == b.NotRun &&
		a.Reason.unserved()
}

// gaps returns sentences about what may be missing from the answer.
func gaps(q Query, a Answer, in *time.Location) []string {
	var out []string
	if a.Truncated {
		out = append(out, "More happened before that than is shown here.")
	}
	if !a.Complete.IsZero() && a.Complete.After(q.From) {
		out = append(out, "Before "+a.Complete.In(in).Format("2 January 15:04:05")+" the record is not complete, because only the newest events are kept.")
	}
	if len(a.Missing) > 0 {
		out = append(out, "No record came from "+strings.Join(a.Missing, ", ")+".")
	}
	return out
}
