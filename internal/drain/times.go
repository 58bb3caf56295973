package drain

import (
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of one sample in the means.
	sampleWeight = 0.05
	// deviations is by how many mean deviations a request may take longer than the mean.
	deviations = 2
)

// Kind identifies requests that take about as long as each other, by their number of output
// tokens.
type Kind struct {
	Service string
	Model   string
}

// Sample is the course of one request that was answered in full.
type Sample struct {
	// First is the time from the sending of the request to the first part of the answer; 0
	// if it is not known.
	First time.Duration
	// Rest is the time from the first to the last part.
	Rest time.Duration
	// Tokens is how many output tokens the caller allowed.
	Tokens float64
}

// Times learns how long requests take. It is safe for concurrent use; the zero value is
// ready for use.
type Times struct {
	mu     sync.Mutex
	byKind map[Kind]*kindTimes
}

type kindTimes struct {
	first    estimate
	perToken estimate
}

// Record adds a sample.
func (t *Times) Record(k Kind, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range []Kind{k, {Service: k.Service}} {
		times := t.byKind[key]
		if times == nil {
			if t.byKind == nil {
				t.byKind = make(map[Kind]*kindTimes)
			}
			times = new(kindTimes)
			t.byKind[key] = times
		}
		if s.First > 0 {
			times.first.add(s.First.Seconds())
		}
		if s.Tokens > 0 {
			times.perToken.add(s.Rest.Seconds() / s.Tokens)
		}
		if k.Model == "" {
			return
		}
	}
}

// Expect returns how long a request with the given number of output tokens is likely to
// take at most. Requests of an unknown model are compared with all of the service; without
// any sample the result is 0.
func (t *Times) Expect(k Kind, tokens float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.byKind[k]
	if times == nil {
		times = t.byKind[Kind{Service: k.Service}]
	}
	if times == nil {
		return 0
	}
	return time.Duration((times.first.high() + tokens*times.perToken.high()) * float64(time.Second))
}

// estimate is a moving mean with its mean deviation, in seconds.
type estimate struct {
	isKnown   bool
	mean      float64
	deviation float64
}

func (e *estimate) add(x float64) {
	if !e.isKnown {
		e.isKnown, e.mean = true, x
		return
	}
	diff := x - e.mean
	e.mean += sampleWeight * diff
	e.deviation += sampleWeight * (max(diff, -diff) - e.deviation)
}

// high returns a value that few samples exceed.
func (e *estimate) high() float64 { return e.mean + deviations*e.deviation }
