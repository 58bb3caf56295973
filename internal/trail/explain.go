package trail

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextBefore is the time before the first line of a request from which on
	// general lines of the same process are shown.
	contextBefore = 3 * time.Second
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
)

// line is a decoded log line.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Request string    `json:"request"`

	fields map[string]any
}

// sentences maps a log message to a sentence that explains it. A name in braces is
// replaced by the value of that field.
var sentences = map[string]string{
	"request sent":                         "{node} sent the request to {endpoint}, which had {load} requests by a report of {report-age-ms} ms before, under configuration {config}.",
	"request served":                       "{node} passed on the whole answer of {endpoint} with status {status} after {total-ms} ms.",
	"request failed":                       "{node} ended the request with status {status} ({code}): {why}. Attempts sent: {sent}; that may have run: {ran}. Last error: {error}.",
	"request over rate":                    "Workspace {workspace} had no tokens left for the {tokens} of the request; its rate is {rate} a second under configuration {config}.",
	"rate of request not known":            "{node} got no tokens of workspace {workspace} for the {tokens} of the request, since the coordinator had just begun; its rate is {rate} a second under configuration {config}.",
	"request repeated":                     "{node} tried again after {endpoint}: {why}. {error}",
	"stream resumed":                       "{node} resumed the stream after event {after-event}, which {endpoint} had broken off. {error}",
	"endpoint not reached":                 "{endpoint} took no connection, so nothing was sent: {error}.",
	"endpoint turned request away":         "{endpoint} answered {status} and did not run the request. Its Retry-After: {retry-after} (rule {retry-after-rule}); it gets nothing from {node} for {closed-for-ms} ms.",
	"endpoint says that it leaves":         "{endpoint} said that it leaves; {node} has it from: {source}.",
	"request moved":                        "The request was not sent to {endpoint} after all: it {why}.",
	"request waits for model":              "No endpoint held model {model}. Waits: {waits} ({reason}); load known: {load-known}, ready in {ready-in-ms} ms; the caller leaves in {caller-leaves-in-ms} ms; it is told to return after {retry-after-ms} ms.",
	"request waits for place":              "Only endpoints that limit requests could serve it. At {endpoint}, which takes {per-second} a second by its word of {limit-age-ms} ms before: waits {waits} ({reason}); place known: {place-known}, in {place-in-ms} ms; another copy in {load-in-ms} ms; it is told to return after {retry-after-ms} ms.",
	"endpoint's limit of requests changed": "{endpoint} limits requests: {in-force}, {per-second} a second (before: {was-in-force}, {per-second-before}); {node} has it from: {source}, {age-ms} ms old.",
	"engine does not respond":              "{endpoint} had answered {node} nothing for {silent-ms} ms, and its last report was {report-age-ms} ms old; it got one request at a time.",
	"engine responds again":                "{endpoint} answered {node} again, by its {by}.",
	"engine crashed under request":         "{endpoint} crashed before it had answered the request for long; the request and the parts of its prompt are suspected: {parts}.",
	"crash not confirmed":                  "Whether {endpoint} crashed is not known: {error}.",
	"prompt part blocked":                  "{node} refuses part {part} (a whole request: {is-request}), with which {crashes} endpoints crashed; it may be tested: {tested}, in {tested-in-ms} ms.",
	"blocked part tested":                  "{node} let a request test part {part}, for the {tests}. time.",
	"prompt part no longer blocked":        "{node} allows part {part} again: {why}.",
	"adapter not loaded":                   "Adapter {adapter} of model {model} was not loaded at {endpoint}: {error}.",
	"coordinator not reached":              "{node} lost the coordinator and admitted by its own fraction of the rates: {error}.",
	"coordinator reached":                  "{node} reached the coordinator again.",
	"coordinator known":                    "{node} follows the coordinator at {address}.",
	"coordinator begins":                   "{node} became coordinator; its first order was allowed in {orders-in-ms} ms.",
	"coordinator ends":                     "{node} was no longer coordinator: {why}.",
	"failure domain not reached":           "{node} reached no endpoint of failure domain {domain} any more.",
	"failure domain reached again":         "{node} reached failure domain {domain} again.",
	"store lost":                           "The store no longer answered {node}: {error}.",
	"store regained":                       "The store answered {node} again.",
	"configuration in force":               "Configuration {config} came into force at {node}, read from {source}.",
	"newer configuration known":            "{source} named configuration {config}; {node} had {in-force} and fetched it.",
	"request waited for configuration":     "Configuration {former-config} refused the request ({former-code}); {node} knew of configuration {newest-config} and waited {waited-ms} ms for it; refused now: {refused}.",
	"newer documents not fetched":          "{node} did not get newer data from {source} within {limit-ms} ms: {error}.",
	"endpoints changed":                    "The list of endpoints changed at {node}: added {added}, removed {removed}, leaving {leaving}.",
	"stop requested":                       "{node} was told to stop, at most {late-ms-at-most} ms before, with {active} requests under way and a grace of {grace-ms} ms.",
	"request interrupted":                  "{node} ended while the request ran; it had arrived {arrived-after-stop-ms} ms after the signal to stop, was expected to take up to {expected-ms} ms, and had got {events} events.",
	"process started":                      "{node} started.",
	"log lines dropped":                    "{node} left {count} lines out of its log.",
	"former coordinator resigned":          "The coordinator before resigned, so that orders need not wait.",
	"member removed":                       "{member} was silent for {silent-ms} ms and is no longer counted.",
	"engine gives no report":               "{endpoint} gave no report: {error}.",
	"lease not reached":                    "{node} could not read or write the coordinator's lease: {error}.",
	"configuration not usable, the former one stays in force": "A configuration could not be used: {error}.",
	"configuration of another node not usable":                "Configuration {config} of {source} could not be used: {error}.",
	"entry names no endpoint":                                 "Entry {entry} names no endpoint: {error}.",
	"row not readable":                                        "Row {row} of table {table} can't be read: {error}.",
	"row version out of range":                                "Row {row} of table {table} has a version that is not up to {newest}.",
	"settings in force":                                       "{node} read its settings again.",
	"settings not usable, the former ones stay in force":      "The new settings of {node} could not be used: {error}.",
	"request refused by a stopping process":                   "{node} was stopping and refused the request ({why}): expected to take up to {expected-ms} ms, {left-ms} ms left; it had arrived {arrived-after-stop-ms} ms after the signal.",
	"process ends":                                            "{node} ended with {active} requests under way.",
}

// Explain describes from logs what happened to a request: it explains the lines of
// the request, and the known lines without a request that the same processes
// logged shortly before or meanwhile. Lines without a JSON object are skipped.
func Explain(id string, logs ...io.Reader) ([]string, error) {
	all, err := readAll(logs)
	if err != nil {
		return nil, err
	}
	first := map[string]time.Time{}
	last := map[string]time.Time{}
	for _, l := range all {
		if l.Request != id {
			continue
		}
		if _, ok := first[l.Node]; !ok {
			first[l.Node] = l.Time
		}
		last[l.Node] = l.Time
	}
	var out []string
	for _, l := range all {
		start, ok := first[l.Node]
		isContext := ok && l.Request == "" && l.Time.After(start.Add(-contextBefore)) && !l.Time.After(last[l.Node])
		if l.Request == id || isContext && sentences[l.Message] != "" {
			out = append(out, l.Time.Format("15:04:05.000 ")+l.sentence())
		}
	}
	return out, nil
}

// readAll returns the lines of all logs in the order of time.
func readAll(logs []io.Reader) ([]line, error) {
	var all []line
	for _, r := range logs {
		in := bufio.NewScanner(r)
		in.Buffer(nil, maxLine)
		for in.Scan() {
			if l, ok := parse(in.Bytes()); ok {
				all = append(all, l)
			}
		}
		if err := in.Err(); err != nil {
			return nil, fmt.Errorf("trail: read log: %w", err)
		}
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.Time.Compare(b.Time) })
	return all, nil
}

// parse decodes a line. Log collectors may put a prefix before the JSON object.
func parse(b []byte) (line, bool) {
	text := string(b)
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal([]byte(text[at:]), &l); err != nil || l.Message == "" {
		return line{}, false
	}
	// The same text was decoded as an object above, so this cannot fail.
	_ = json.Unmarshal([]byte(text[at:]), &l.fields)
	return l, true
}

func (l *line) sentence() string {
	pattern := sentences[l.Message]
	if pattern == "" {
		pattern = l.Message + " at {node}."
	}
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(pattern, "{")
		out.WriteString(before)
		if !ok {
			return strings.TrimSpace(out.String())
		}
		name, after, _ := strings.Cut(rest, "}")
		fmt.Fprint(&out, cmp.Or(text(l.fields[name]), "(none)"))
		pattern = after
	}
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case float64:
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2f", v), "0"), ".")
	case []any:
		parts := make([]string, len(v))
		for i, x := range v {
			parts[i] = text(x)
		}
		return strings.Join(parts, ", ")
	}
	return fmt.Sprint(v)
}
