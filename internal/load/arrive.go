package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// Arrival is one request of the load. Equal seeds give equal arrivals.
type Arrival struct {
	// At counts from the start of the warm-up.
	At        time.Duration
	Workspace string
	Class     spec.Class

	Model        string
	Adapter      string
	Prefix       string
	PromptTokens int64
	OutputTokens int64
	Whole        bool

	// Path is set for a call of a plain service.
	Path   string
	Key    string
	Repeat bool
	Read   bool

	// ID makes prompts and bookings distinct.
	ID string
	// Skewed requests go to one node, the others to the node that Spread picks.
	Skewed bool
	Spread uint64
}

// Tokens is what the request is charged with.
func (a *Arrival) Tokens() int64 { return a.PromptTokens + a.OutputTokens }

// Prompt returns the text of the prompt. Four bytes count as a token.
func (a *Arrival) Prompt() string {
	size := int(a.PromptTokens) * 4
	var b strings.Builder
	b.Grow(size)
	b.WriteString(a.Prefix)
	// The id follows the prefix, so that no two requests have the same answer.
	fmt.Fprintf(&b, "[%s] ", a.ID)
	for b.Len() < size {
		b.WriteString("what may I book here? ")
	}
	return b.String()[:size]
}

// Arrivals returns the requests of a scenario in the order of their times.
func (s *Scenario) Arrivals() []Arrival {
	var out []Arrival
	for i := range s.Load {
		// Each load has numbers of its own, so that leaving one out does not
		// change the others.
		r := rand.New(rand.NewPCG(uint64(s.Seed), uint64(i)))
		out = append(out, s.arrivals(i, r)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func (s *Scenario) arrivals(i int, r *rand.Rand) []Arrival {
	l := &s.Load[i]
	end := time.Duration(s.WarmUp + s.Duration)
	adapters := map[string][]string{}
	for _, a := range s.Fleet.Config.Adapters {
		adapters[a.Model] = append(adapters[a.Model], a.Name)
	}
	var out []Arrival
	at := time.Duration(0)
	for {
		at = s.next(l, at, r.ExpFloat64())
		if at >= end {
			return out
		}
		a := Arrival{
			At:        at,
			Workspace: l.Workspace,
			Class:     pickClass(l.Classes, r.Float64()),
			ID:        fmt.Sprintf("%d-%d-%d", s.Seed, i, len(out)),
			Skewed:    r.Float64() < l.EntrySkew,
			Spread:    r.Uint64(),
		}
		if l.Calls.Path != "" {
			a.Path = l.Calls.Path
			a.Key = "key-" + a.ID
			a.Repeat = r.Float64() < l.Calls.RepeatShare
			a.Read = r.Float64() < l.Calls.ReadShare
			out = append(out, a)
			continue
		}
		a.Model = s.pickModel(l, at, r.Float64())
		a.PromptTokens = draw(l.PromptTokens, r)
		a.OutputTokens = draw(l.OutputTokens, r)
		a.Whole = r.Float64() < l.WholeShare
		if r.Float64() < l.AdapterShare && len(adapters[a.Model]) > 0 {
			// Adapters of a model are popular in Zipf's proportions, too.
			list := adapters[a.Model]
			a.Adapter = list[pickZipf(len(list), 1, r.Float64())]
		}
		if r.Float64() < l.Prefixes.Share {
			n := r.IntN(l.Prefixes.Count)
			a.Prefix = prefixText(l.Workspace, n, l.Prefixes.Tokens)
		}
		// The prompt has room for the prefix and for the id.
		a.PromptTokens = max(a.PromptTokens, int64(len(a.Prefix)+len(a.ID)+3)/4+1)
		out = append(out, a)
	}
}

// next returns the arrival after at, given a drawn amount of expected arrivals.
func (s *Scenario) next(l *Load, at time.Duration, amount float64) time.Duration {
	for {
		rate, until := s.rate(l, at)
		if rate > 0 {
			step := time.Duration(math.Min(amount/rate, 1e6) * float64(time.Second))
			if at+step < until {
				return at + step
			}
			amount -= rate * (until - at).Seconds()
		}
		if until == math.MaxInt64 {
			return until
		}
		at = until
	}
}

// rate returns the requests per second at an instant, and until when they hold.
func (s *Scenario) rate(l *Load, at time.Duration) (float64, time.Duration) {
	rate, until := l.RequestsPerSecond, time.Duration(math.MaxInt64)
	for _, p := range s.Phases {
		from, end := time.Duration(s.WarmUp+p.From), time.Duration(s.WarmUp+p.Until)
		if from > at {
			until = min(until, from)
			continue
		}
		if end <= at {
			continue
		}
		until = min(until, end)
		for _, f := range p.Workspaces {
			if f.Name == l.Workspace {
				rate *= f.Factor
			}
		}
	}
	return rate, until
}

func (s *Scenario) pickModel(l *Load, at time.Duration, x float64) string {
	weights := make([]float64, len(l.Models))
	sum := 0.0
	for i, m := range l.Models {
		weights[i] = math.Pow(float64(i+1), -l.Zipf)
		for _, p := range s.Phases {
			if at < time.Duration(s.WarmUp+p.From) || at >= time.Duration(s.WarmUp+p.Until) {
				continue
			}
			for _, f := range p.Models {
				if f.Name == m {
					weights[i] *= f.Factor
				}
			}
		}
		sum += weights[i]
	}
	x *= sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return l.Models[i]
		}
	}
	return l.Models[0]
}

func pickZipf(n int, exponent, x float64) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
	}
	x *= sum
	for i := range n {
		if x -= math.Pow(float64(i+1), -exponent); x < 0 {
			return i
		}
	}
	return 0
}

func pickClass(shares []Share, x float64) spec.Class {
	for _, c := range shares {
		if x -= c.Share; x < 0 {
			return c.Class
		}
	}
	return shares[len(shares)-1].Class
}

func draw(r Range, random *rand.Rand) int64 {
	return r.Min + random.Int64N(r.Max-r.Min+1)
}

func prefixText(workspace string, n int, tokens int64) string {
	head := fmt.Sprintf("rules %d of %s: ", n, workspace)
	return (head + strings.Repeat("stay behind the line until the lane is free. ", int(tokens)/10+1))[:tokens*4]
}
