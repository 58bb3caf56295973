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

// Arrival is one request of the load. The same seed gives the same arrivals.
type Arrival struct {
	// At is the time since the start of the warm-up.
	At        time.Duration
	Workspace string
	Class     spec.Class

	Model        string
	Adapter      string
	Prefix       string
	PromptTokens int64
	OutputTokens int64
	NonStreaming bool

	// Path is set for calls of a plain service. Key is their idempotency key.
	// Repeat is set if the caller sends the call again, Read if it reads the
	// result back.
	Path   string
	Key    string
	Repeat bool
	Read   bool

	// ID makes the prompt or the booking unique.
	ID string
	// Skewed requests go to the first ready node, others to the ready node that
	// NodeChoice selects (modulo the number of ready nodes).
	Skewed     bool
	NodeChoice uint64
}

// Tokens returns the tokens that the request is charged with.
func (a *Arrival) Tokens() int64 { return a.PromptTokens + a.OutputTokens }

// Prompt returns the text of the prompt, with four bytes per token.
func (a *Arrival) Prompt() string {
	size := int(a.PromptTokens) * 4
	var b strings.Builder
	b.Grow(size)
	b.WriteString(a.Prefix)
	// The ID makes prompts unique, and so their answers. It follows the prefix,
	// which prompts have in common.
	fmt.Fprintf(&b, "[%s] ", a.ID)
	for b.Len() < size {
		b.WriteString("what may I book here? ")
	}
	return b.String()[:size]
}

// Arrivals returns the requests of a scenario in the order of their arrival
// times.
func (s *Scenario) Arrivals() []Arrival {
	var out []Arrival
	for i := range s.Load {
		// Each load has a random stream of its own, so that the arrivals of the
		// others stay the same when one is left out.
		r := rand.New(rand.NewPCG(uint64(s.Seed), uint64(i)))
		out = append(out, s.arrivals(i, r)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// arrivals generates the requests of one entry of Load.
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
		at = s.nextArrival(l, at, r.ExpFloat64())
		if at >= end {
			return out
		}
		a := Arrival{
			At:         at,
			Workspace:  l.Workspace,
			Class:      pickClass(l.Classes, r.Float64()),
			ID:         fmt.Sprintf("%d-%d-%d", s.Seed, i, len(out)),
			Skewed:     r.Float64() < l.EntrySkew,
			NodeChoice: r.Uint64(),
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
		a.PromptTokens = sampleRange(l.PromptTokens, r)
		a.OutputTokens = sampleRange(l.OutputTokens, r)
		a.NonStreaming = r.Float64() < l.WholeShare
		if r.Float64() < l.AdapterShare && len(adapters[a.Model]) > 0 {
			// The popularity of a model's adapters has a Zipf distribution with
			// exponent 1.
			list := adapters[a.Model]
			a.Adapter = list[pickZipf(len(list), 1, r.Float64())]
		}
		if r.Float64() < l.Prefixes.Share {
			n := r.IntN(l.Prefixes.Count)
			a.Prefix = prefixText(l.Workspace, n, l.Prefixes.Tokens)
		}
		// Make the prompt long enough for the prefix and the ID.
		a.PromptTokens = max(a.PromptTokens, int64(len(a.Prefix)+len(a.ID)+3)/4+1)
		out = append(out, a)
	}
}

// nextArrival returns the first arrival after at. amount is the exponentially
// distributed gap, in expected arrivals, so that rate changes within the gap are
// taken into account.
func (s *Scenario) nextArrival(l *Load, at time.Duration, amount float64) time.Duration {
	for {
		rate, until := s.rateAt(l, at)
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

// rateAt returns the requests per second at an instant, and until when that rate
// applies.
func (s *Scenario) rateAt(l *Load, at time.Duration) (float64, time.Duration) {
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

// pickModel selects a model with Zipf weights, multiplied by the factors of the
// phases; x is uniform in [0, 1).
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

// pickZipf selects one of n items with Zipf weights; x is uniform in [0, 1).
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

func sampleRange(r Range, random *rand.Rand) int64 {
	return r.Min + random.Int64N(r.Max-r.Min+1)
}

func prefixText(workspace string, n int, tokens int64) string {
	head := fmt.Sprintf("rules %d of %s: ", n, workspace)
	return (head + strings.Repeat("stay behind the line until the lane is free. ", int(tokens)/10+1))[:tokens*4]
}
