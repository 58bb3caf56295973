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
	// minSamples is how many samples of a model are needed to do without those of the
	// other models.
	minSamples = 8
)

// Kind identifies requests that take about as long as each other, by their number of output
// tokens.
type Kind struct {
	Service string
	Model   string
}

// Sample is the course of one request that was answered in full.
type Sample struct {
	// First is the time from the sending of the request to the first part of the answer.
	First time.Duration
	// Rest is the time from the first to the last part.
	Rest time.Duration
	// Tokens is how many output tokens the caller allowed.
	Tokens float64
	// Parts is in how many parts the answer came, 0 if that is not known.
	Parts int
}

// perToken returns the seconds for a token, and whether the sample shows them: there is no
// time between the parts of an answer that came at once.
func (s Sample) perToken() (seconds float64, ok bool) {
	if s.Tokens <= 0 || s.Parts == 1 {
		return 0, false
	}
	rest := s.Rest.Seconds()
	if s.Parts > 1 {
		// The tokens of the first part were made before Rest.
		rest *= float64(s.Parts) / float64(s.Parts-1)
	}
	return rest / s.Tokens, true
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
		times.first.add(s.First.Seconds())
		if seconds, ok := s.perToken(); ok {
			times.perToken.add(seconds)
		}
		if k.Model == "" {
			return
		}
	}
}

// Expect returns how long a request with the given number of output tokens is likely to
// take at most. Requests of a model that has few samples are compared with all of the service
// too; without any sample the result is 0.
func (t *Times) Expect(k Kind, tokens float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds := 0.0
	times := t.byKind[k]
	if times != nil {
		seconds = times.expect(tokens)
	}
	if times == nil || times.perToken.samples < minSamples && tokens > 0 {
		if all := t.byKind[Kind{Service: k.Service}]; all != nil {
			seconds = max(seconds, all.expect(tokens))
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// expect returns how long a request is likely to take at most, in seconds.
func (t *kindTimes) expect(tokens float64) float64 {
	return t.first.high() + tokens*t.perToken.high()
}

// estimate is a moving mean with its mean deviation, in seconds.
type estimate struct {
	samples   int
	mean      float64
	deviation float64
}

func (e *estimate) add(x float64) {
	e.samples++
	if e.samples == 1 {
		e.mean = x
		return
	}
	// The first samples count alike, so that the very first one is not remembered for long.
	weight := max(sampleWeight, 1/float64(e.samples))
	diff := x - e.mean
	e.mean += weight * diff
	e.deviation += weight * (max(diff, -diff) - e.deviation)
}

// high returns a value that few samples exceed.
func (e *estimate) high() float64 { return e.mean + deviations*e.deviation }
