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
	// maxText bounds names in queries and events.
	maxText = 512
	// defaultLimit and maxLimit bound the events of an answer: 1,000 events of
	// 300 bytes stay far below gRPC's limit of 4 MB for a message.
	defaultLimit = 200
	maxLimit     = 1000
	// maxNodes bounds the nodes that one merged answer names.
	maxNodes = 4096
)

// Query asks for events. Every field that is set has to match.
type Query struct {
	Request   string    `cbor:"1,keyasint,omitempty" json:"request,omitempty"`
	Workspace string    `cbor:"2,keyasint,omitempty" json:"workspace,omitempty"`
	Model     string    `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	From      time.Time `cbor:"4,keyasint,omitempty" json:"from,omitzero"`
	To        time.Time `cbor:"5,keyasint,omitempty" json:"to,omitzero"`
	// Limit is the largest number of events, the newest ones; 0 means 200.
	Limit int `cbor:"6,keyasint,omitempty" json:"limit,omitempty"`
}

// Validate checks a query that came from another process.
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

// Tally counts the requests of a workspace in the window of a query, by whole
// minutes and at most an hour back.
type Tally struct {
	Workspace string `cbor:"1,keyasint" json:"workspace"`
	Served    int64  `cbor:"2,keyasint,omitempty" json:"served"`
	// Late is the part of Served that missed the latency target.
	Late     int64   `cbor:"3,keyasint,omitempty" json:"late,omitempty"`
	Unserved []Count `cbor:"4,keyasint,omitempty" json:"unserved,omitempty"`
}

// Count is the number of requests not served for a reason.
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

// Answer holds the events that match a query, in the order of their times.
type Answer struct {
	// Nodes are the nodes whose records the answer was made from.
	Nodes []string `cbor:"1,keyasint,omitempty" json:"nodes,omitempty"`
	// Missing are the nodes that were asked and did not answer.
	Missing []string `cbor:"2,keyasint,omitempty" json:"missing,omitempty"`
	Events  []Event  `cbor:"3,keyasint,omitempty" json:"events,omitempty"`
	Tallies []Tally  `cbor:"4,keyasint,omitempty" json:"tallies,omitempty"`
	// Truncated means that older events match as well.
	Truncated bool `cbor:"5,keyasint,omitempty" json:"truncated,omitempty"`
	// Complete is the time before which events are no longer kept; zero when
	// none has been dropped.
	Complete time.Time `cbor:"6,keyasint,omitempty" json:"complete,omitzero"`
}

// Validate checks an answer that came from another process.
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

// trim keeps the newest events.
func (a *Answer) trim(limit int) {
	if drop := len(a.Events) - limit; drop > 0 {
		a.Events = slices.Delete(a.Events, 0, drop)
		a.Truncated = true
	}
}

// Merge joins the answers of several nodes to one query. An answer of a node
// that is already part of the result is left out, so that a node asked by two
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

// Service tells how well a workspace was served.
type Service struct {
	Workspace string `json:"workspace"`
	// Asked counts the requests that the workspace was entitled to: those served
	// and those not served on the system's account.
	Asked int64 `json:"asked"`
	Late  int64 `json:"late"`
	// Lost counts requests not served on the system's account.
	Lost int64 `json:"lost"`
	// OverAllowance and Mistaken were not served on the workspace's own account.
	OverAllowance int64 `json:"over-allowance"`
	Mistaken      int64 `json:"mistaken"`
	// Main is the most frequent reason behind Lost.
	Main      Reason `json:"main"`
	MainCount int64  `json:"main-count"`
}

// Share is the part of the entitled requests that were lost or late.
func (s Service) Share() float64 {
	if s.Asked == 0 {
		return 0
	}
	return float64(s.Lost+s.Late) / float64(s.Asked)
}

// Ranking lists how the workspaces were served, worst first.
func Ranking(a Answer) []Service {
	out := make([]Service, 0, len(a.Tallies))
	for _, t := range a.Tallies {
		s := Service{
			Workspace: t.Workspace,
			Asked:     t.Served,
			Late:      t.Late,
		}
		for _, c := range t.Unserved {
			switch c.Reason.Cause() {
			case CauseAllowance:
				s.OverAllowance += c.Number
			case CauseCaller:
				s.Mistaken += c.Number
			default:
				s.Asked += c.Number
				s.Lost += c.Number
				if c.Number > s.MainCount || c.Number == s.MainCount && c.Reason < s.Main {
					s.Main, s.MainCount = c.Reason, c.Number
				}
			}
		}
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(x, y Service) int {
		return cmp.Or(cmp.Compare(y.Share(), x.Share()), cmp.Compare(y.Lost, x.Lost), strings.Compare(x.Workspace, y.Workspace))
	})
	return out
}

// Summary says who was served worst, and why.
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
			worst.Workspace, number(worst.Asked), parts(worst))
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

func parts(s Service) string {
	var p []string
	if s.Lost > 0 {
		p = append(p, number(s.Lost)+" were not answered")
	}
	if s.Late > 0 {
		p = append(p, number(s.Late)+" were answered late")
	}
	return strings.Join(p, " and ") + " (" + strconv.FormatFloat(100*s.Share(), 'f', 1, 64) + "%)"
}

// example explains the main reason with the newest event of it, or without numbers.
func example(a Answer, s Service) string {
	for _, e := range slices.Backward(a.Events) {
		if e.Workspace == s.Workspace && e.Reason == s.Main {
			return Sentence(e)
		}
	}
	return Sentence(Event{
		Reason:    s.Main,
		Workspace: s.Workspace,
	})
}
