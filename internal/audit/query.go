package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxText limits the length of names in queries and events, in bytes.
	maxText = 512
	// defaultLimit and maxLimit limit the events of an answer: 1,000 events of
	// 300 bytes are far below gRPC's message limit of 4 MB.
	defaultLimit = 200
	maxLimit     = 1000
	// maxNodes limits the nodes that one merged answer lists.
	maxNodes = 4096
)

// Query selects events. An event must match every field that is set.
type Query struct {
	Request   string    `cbor:"1,keyasint,omitempty" json:"request,omitempty"`
	Workspace string    `cbor:"2,keyasint,omitempty" json:"workspace,omitempty"`
	Model     string    `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	From      time.Time `cbor:"4,keyasint,omitempty" json:"from,omitzero"`
	To        time.Time `cbor:"5,keyasint,omitempty" json:"to,omitzero"`
	// Limit is the maximum number of events; the newest ones are returned. 0 means
	// 200.
	Limit int `cbor:"6,keyasint,omitempty" json:"limit,omitempty"`
}

// Validate checks a query that was received from another process.
func (q Query) Validate() error {
	for _, s := range []string{q.Request, q.Workspace, q.Model} {
		if len(s) > maxText {
			return fmt.Errorf("audit: a name in the query has %d bytes, at most %d are allowed", len(s), maxText)
		}
	}
	if q.Limit < 0 || q.Limit > maxLimit {
		return fmt.Errorf("audit: the query's limit is %d, it must be between 0 and %d", q.Limit, maxLimit)
	}
	if !q.From.IsZero() && !q.To.IsZero() && q.To.Before(q.From) {
		return fmt.Errorf("audit: the query's window ends before it begins")
	}
	return nil
}

func (q Query) limit() int {
	if q.Limit <= 0 {
		return defaultLimit
	}
	return min(q.Limit, maxLimit)
}

func (q Query) matches(e *Event) bool {
	switch {
	case q.Request != "" && q.Request != e.Request,
		q.Workspace != "" && q.Workspace != e.Workspace,
		q.Model != "" && q.Model != e.Model,
		!q.From.IsZero() && e.Time.Before(q.From),
		!q.To.IsZero() && e.Time.After(q.To):
		return false
	}
	return true
}

// Tally counts the requests of a workspace in the time window of a query. The
// window is rounded to whole minutes and goes back at most an hour.
type Tally struct {
	Workspace string `cbor:"1,keyasint" json:"workspace"`
	Served    int64  `cbor:"2,keyasint,omitempty" json:"served"`
	// Late is the number of requests in Served that missed the latency target.
	Late     int64   `cbor:"3,keyasint,omitempty" json:"late,omitempty"`
	Unserved []Count `cbor:"4,keyasint,omitempty" json:"unserved,omitempty"`
}

// Count is the number of requests that were not served for one reason.
type Count struct {
	Reason Reason `cbor:"1,keyasint" json:"reason"`
	Number int64  `cbor:"2,keyasint" json:"number"`
}

func (t *Tally) add(r Reason, n int64) {
	for i := range t.Unserved {
		if t.Unserved[i].Reason == r {
			t.Unserved[i].Number += n
			return
		}
	}
	t.Unserved = append(t.Unserved, Count{
		Reason: r,
		Number: n,
	})
}

func compareTallies(a, b Tally) int {
	return strings.Compare(a.Workspace, b.Workspace)
}

// Answer holds the events that match a query, ordered by time.
type Answer struct {
	// Nodes lists the nodes whose records the answer is based on.
	Nodes []string `cbor:"1,keyasint,omitempty" json:"nodes,omitempty"`
	// Missing lists the nodes that were queried but did not answer.
	Missing []string `cbor:"2,keyasint,omitempty" json:"missing,omitempty"`
	Events  []Event  `cbor:"3,keyasint,omitempty" json:"events,omitempty"`
	Tallies []Tally  `cbor:"4,keyasint,omitempty" json:"tallies,omitempty"`
	// Truncated means that older matching events were left out.
	Truncated bool `cbor:"5,keyasint,omitempty" json:"truncated,omitempty"`
	// Complete is the time since which the record is complete; zero if no event has
	// been dropped.
	Complete time.Time `cbor:"6,keyasint,omitempty" json:"complete,omitzero"`
}

// Validate checks an answer that was received from another process.
func (a Answer) Validate() error {
	if len(a.Events) > maxLimit || len(a.Nodes) > maxNodes || len(a.Missing) > maxNodes || len(a.Tallies) > maxNodes {
		return fmt.Errorf("audit: the answer holds %d events, %d nodes and %d tallies, which is too many",
			len(a.Events), len(a.Nodes)+len(a.Missing), len(a.Tallies))
	}
	for _, e := range a.Events {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	for _, t := range a.Tallies {
		if len(t.Workspace) > maxText || len(t.Unserved) > int(numReasons)*2 {
			return fmt.Errorf("audit: a tally is too large")
		}
		if t.Served < 0 || t.Late < 0 || t.Late > t.Served {
			return fmt.Errorf("audit: the tally of %q counts %d served and %d late", t.Workspace, t.Served, t.Late)
		}
	}
	return nil
}

func (a *Answer) sort() {
	slices.SortFunc(a.Events, func(x, y Event) int {
		return cmp.Or(x.Time.Compare(y.Time), strings.Compare(x.Node, y.Node), cmp.Compare(x.Seq, y.Seq))
	})
}

// trim drops the oldest events until at most limit are left.
func (a *Answer) trim(limit int) {
	if drop := len(a.Events) - limit; drop > 0 {
		a.Events = slices.Delete(a.Events, 0, drop)
		a.Truncated = true
	}
}

// Merge merges the answers of several nodes to one query. An answer whose nodes
// are all part of the result already is left out, so that a node queried by two
// relays is counted once.
func Merge(q Query, answers ...Answer) Answer {
	var out Answer
	nodes := map[string]bool{}
	missing := map[string]bool{}
	type id struct {
		node string
		seq  uint64
	}
	seen := map[id]bool{}
	tallies := map[string]*Tally{}
	for _, a := range answers {
		for _, n := range a.Missing {
			missing[n] = true
		}
		repeated := len(a.Nodes) > 0
		for _, n := range a.Nodes {
			repeated = repeated && nodes[n]
		}
		if repeated {
			continue
		}
		for _, n := range a.Nodes {
			nodes[n] = true
		}
		for _, e := range a.Events {
			if !seen[id{e.Node, e.Seq}] {
				seen[id{e.Node, e.Seq}] = true
				out.Events = append(out.Events, e)
			}
		}
		for _, t := range a.Tallies {
			sum := tallies[t.Workspace]
			if sum == nil {
				sum = &Tally{
					Workspace: t.Workspace,
				}
				tallies[t.Workspace] = sum
			}
			sum.Served += t.Served
			sum.Late += t.Late
			for _, c := range t.Unserved {
				sum.add(c.Reason, c.Number)
			}
		}
		out.Truncated = out.Truncated || a.Truncated
		if a.Complete.After(out.Complete) {
			out.Complete = a.Complete
		}
	}
	for n := range nodes {
		out.Nodes = append(out.Nodes, n)
		delete(missing, n)
	}
	for n := range missing {
		out.Missing = append(out.Missing, n)
	}
	for _, t := range tallies {
		out.Tallies = append(out.Tallies, *t)
	}
	slices.Sort(out.Nodes)
	slices.Sort(out.Missing)
	slices.SortFunc(out.Tallies, compareTallies)
	out.sort()
	out.trim(q.limit())
	return out
}

// ServiceLevel describes how well a workspace was served.
type ServiceLevel struct {
	Workspace string `json:"workspace"`
	// Entitled counts the requests that the workspace was entitled to: those that
	// were served and those that failed because of the system.
	Entitled int64 `json:"asked"`
	Late     int64 `json:"late"`
	// Lost counts requests that were not served because of the system.
	Lost int64 `json:"lost"`
	// OverAllowance and CallerErrors count requests that were not served because the
	// workspace exceeded its allowance, or because of the caller.
	OverAllowance int64 `json:"over-allowance"`
	CallerErrors  int64 `json:"mistaken"`
	// MainReason is the most frequent reason of the requests in Lost.
	MainReason Reason `json:"main"`
	MainCount  int64  `json:"main-count"`
}

// Share is the fraction of the entitled requests that were lost or late.
func (s ServiceLevel) Share() float64 {
	if s.Entitled == 0 {
		return 0
	}
	return float64(s.Lost+s.Late) / float64(s.Entitled)
}

// Ranking returns how well each workspace was served, worst first.
func Ranking(a Answer) []ServiceLevel {
	out := make([]ServiceLevel, 0, len(a.Tallies))
	for _, t := range a.Tallies {
		s := ServiceLevel{
			Workspace: t.Workspace,
			Entitled:  t.Served,
			Late:      t.Late,
		}
		for _, c := range t.Unserved {
			switch c.Reason.Cause() {
			case CauseAllowance:
				s.OverAllowance += c.Number
			case CauseCaller:
				s.CallerErrors += c.Number
			default:
				s.Entitled += c.Number
				s.Lost += c.Number
				if c.Number > s.MainCount || c.Number == s.MainCount && c.Reason < s.MainReason {
					s.MainReason, s.MainCount = c.Reason, c.Number
				}
			}
		}
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(x, y ServiceLevel) int {
		return cmp.Or(cmp.Compare(y.Share(), x.Share()), cmp.Compare(y.Lost, x.Lost), strings.Compare(x.Workspace, y.Workspace))
	})
	return out
}

// Summary describes in sentences which workspace was served worst and why.
func Summary(a Answer) string {
	ranking := Ranking(a)
	if len(ranking) == 0 {
		return "No request was recorded in this time."
	}
	worst := ranking[0]
	var b strings.Builder
	if worst.Share() == 0 {
		b.WriteString("Every workspace got an answer in time to each request within its allowance.")
	} else {
		fmt.Fprintf(&b, "Workspace %s was served worst: of %s requests within its allowance, %s",
			worst.Workspace, number(worst.Entitled), lostAndLate(worst))
		b.WriteString(".")
		if worst.Lost > 0 {
			fmt.Fprintf(&b, " The most frequent cause (%s of %s): %s", number(worst.MainCount), number(worst.Lost), example(a, worst))
		}
	}
	for _, s := range ranking {
		if s.OverAllowance > 0 {
			fmt.Fprintf(&b, " Workspace %s sent more than its allowance; %s of its requests were refused for that.", s.Workspace, number(s.OverAllowance))
		}
	}
	if len(a.Missing) > 0 {
		fmt.Fprintf(&b, " %s of the entry points did not answer, so this may be incomplete.", number(int64(len(a.Missing))))
	}
	return b.String()
}

func lostAndLate(s ServiceLevel) string {
	var parts []string
	if s.Lost > 0 {
		parts = append(parts, number(s.Lost)+" were not answered")
	}
	if s.Late > 0 {
		parts = append(parts, number(s.Late)+" were answered late")
	}
	return strings.Join(parts, " and ") + " (" + strconv.FormatFloat(100*s.Share(), 'f', 1, 64) + "%)"
}

// example explains the main reason with the newest event that has it. Without such
// an event, the sentence has no numbers.
func example(a Answer, s ServiceLevel) string {
	for _, e := range slices.Backward(a.Events) {
		if e.Workspace == s.Workspace && e.Reason == s.MainReason {
			return Sentence(e)
		}
	}
	return Sentence(Event{
		Reason:    s.MainReason,
		Workspace: s.Workspace,
	})
}
