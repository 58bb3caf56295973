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
	// paceSpread is by what factor an answer may take longer for a part than the mean of
	// its model and endpoint.
	paceSpread = 1.25
	// maxDecay is the weight of one sample that is below a highest value.
	maxDecay = 0.001
	// lateDecay is the weight of one sample that is below the highest lateness.
	lateDecay = 0.02
	// minSamples is how many samples of a model are needed to do without those of the
	// other models.
	minSamples = 8
)

// Kind identifies requests that take about as long as each other, by their number of output
// tokens.
type Kind struct {
	Service string
	Model   string
	// IsWhole is set for answers that come in one part, after all of their tokens.
	IsWhole bool
}

// all returns the kind that stands for all models.
func (k Kind) all() Kind {
	k.Model = ""
	return k
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
	// Parts is in how many parts the answer came, 0 if that is not known.
	Parts int
}

// Times learns how long requests take. It is safe for concurrent use; the zero value is
// ready for use.
type Times struct {
	mu     sync.Mutex
	byKind map[Kind]*kindTimes
}

type kindTimes struct {
	first estimate
	// perToken is from samples whose parts are not known, perPart from the others.
	perToken estimate
	perPart  estimate
	// partsPerToken is the highest number of parts of an answer for each token that its
	// caller allowed. Most answers end long before.
	partsPerToken float64
	// late is by how many seconds recent requests took longer than expected at most: waits in
	// an endpoint's queue and pauses within answers are rare and long.
	late float64
}

// Record adds a sample.
func (t *Times) Record(k Kind, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range []Kind{k, k.all()} {
		times := t.byKind[key]
		if times == nil {
			if t.byKind == nil {
				t.byKind = make(map[Kind]*kindTimes)
			}
			times = new(kindTimes)
			t.byKind[key] = times
		}
		times.add(s)
		if k.Model == "" {
			return
		}
	}
}

func (t *kindTimes) add(s Sample) {
	t.late = max(t.lateness(s), t.late*(1-lateDecay))
	if s.First > 0 {
		t.first.add(s.First.Seconds())
	}
	if s.Tokens <= 0 {
		return
	}
	if s.Parts <= 0 {
		t.perToken.add(s.Rest.Seconds() / s.Tokens)
		return
	}
	ratio := float64(s.Parts) / s.Tokens
	t.partsPerToken = max(ratio, t.partsPerToken+maxDecay*(ratio-t.partsPerToken))
	if s.Parts > 1 {
		t.perPart.add(s.Rest.Seconds() / float64(s.Parts-1))
	}
}

// lateness returns by how many seconds a request took longer than the samples before it
// let expect of one with as many parts.
func (t *kindTimes) lateness(s Sample) float64 {
	var late float64
	if s.First > 0 && t.first.samples >= minSamples {
		late += s.First.Seconds() - t.first.high()
	}
	switch {
	case s.Parts > 1 && t.perPart.samples >= minSamples:
		late += s.Rest.Seconds() - float64(s.Parts-1)*t.perPart.mean*paceSpread
	case s.Parts <= 0 && s.Tokens > 0 && t.perToken.samples >= minSamples:
		late += s.Rest.Seconds() - s.Tokens*t.perToken.high()
	}
	return late
}

// Expect returns how long a request with the given number of output tokens is likely to
// take at most. Requests of a model that has few samples are compared with all of the service
// too; without any sample the result is 0.
func (t *Times) Expect(k Kind, tokens float64) time.Duration { return t.ExpectAt(k, tokens, 1) }

// ExpectFirst returns how long the first part of an answer is likely to take at most, apart
// from waits and pauses, which may fall anywhere in the answer.
func (t *Times) ExpectFirst(k Kind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.byKind[k]
	if times == nil {
		times = t.byKind[k.all()]
	}
	if times == nil {
		return 0
	}
	return time.Duration(times.first.high() * float64(time.Second))
}

// ExpectAt is Expect at an endpoint. Its pace is the time that it takes for a part, relative
// to all endpoints.
func (t *Times) ExpectAt(k Kind, tokens, pace float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.byKind[k.all()], t.byKind[k]
	if all == nil {
		return 0
	}
	if own == nil {
		own = all
	}
	rest, late := own.rest(tokens, pace, all.partsPerToken), own.late
	if own.perToken.samples+own.perPart.samples < minSamples {
		rest, late = max(rest, all.rest(tokens, pace, all.partsPerToken)), max(late, all.late)
	}
	return time.Duration((own.first.high() + rest + late) * float64(time.Second))
}

// Knows reports whether the samples show how long such requests take.
func (t *Times) Knows(k Kind, tokens float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.byKind[k.all()]
	return all != nil && (tokens == 0 || all.perToken.samples+all.perPart.samples > 0)
}

// rest returns how many seconds all tokens that are allowed take after the first part.
func (t *kindTimes) rest(tokens, pace, partsPerToken float64) float64 {
	if t.perPart.samples == 0 {
		return tokens * t.perToken.high() * pace
	}
	return max(0, tokens*partsPerToken-1) * t.perPart.mean * pace * paceSpread
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
