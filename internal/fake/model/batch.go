package model

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// maxFinished bounds the finished streams that can still be resumed, and the
// imported KV caches that are not used yet.
const maxFinished = 4096

// Bounds of the interval between two steps of the batch. Timers are inaccurate
// below a millisecond.
const (
	minStep = time.Millisecond
	maxStep = 20 * time.Millisecond
)

// Reasons for the end of a request, as in the field finish_reason.
const (
	reasonStop      = "stop"
	reasonLength    = "length"
	reasonCancelled = "cancelled"
)

// request is a completion request that the engine has accepted.
type request struct {
	id        string
	model     string
	prompt    string
	chat      bool
	rank      int
	seq       int64
	residents []*resident
	prefixes  []string

	promptTokens int64
	maxTokens    int64
	answerTokens int64

	// prefillLeft is the number of prompt tokens that remain to be processed.
	prefillLeft float64
	tokenCredit float64
	generated   int64
	// lastProgress is the time of the last step that included the request; zero
	// while the request is queued.
	lastProgress time.Time
	// reason is the reason for the end; empty while the request is active.
	reason string

	// readers is the number of connections that receive the answer. Without one
	// since unreadSince, the request is cancelled after ResumeGrace.
	readers     int
	unreadSince time.Time
	listeners   []chan struct{}
}

// priorityRank returns the rank of a priority; the lowest rank is served first.
func priorityRank(priority string) int {
	switch spec.Class(priority) {
	case spec.ClassInteractive:
		return 0
	case spec.ClassDeferrable:
		return 2
	default:
		return 1
	}
}

// submit adds a request to the batch or its queue, or returns why it is refused.
func (e *Engine) submit(r *request, adapter string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	base := e.findResident(r.model, "")
	if base == nil {
		return refuse(http.StatusConflict, engine.CodeNotResident, "the model is not resident")
	}
	r.residents = []*resident{base}
	if adapter != "" {
		a := e.findResident(r.model, adapter)
		if a == nil {
			return refuse(http.StatusConflict, engine.CodeNotResident, "the adapter is not resident")
		}
		r.residents = append(r.residents, a)
	}
	if len(e.active) >= e.opts.MaxRunning+e.opts.MaxQueued {
		return refuse(http.StatusTooManyRequests, "overloaded", "too many requests are waiting")
	}
	e.stats.Requests++
	if e.leaving && time.Since(e.leavingSince) > leaveGrace {
		e.stats.LateRequests++
	}
	if old, ok := e.requests[r.id]; ok {
		e.stats.RepeatedIDs++
		e.finish(old, reasonCancelled)
	}
	for _, res := range r.residents {
		res.activeRequests++
	}
	e.seq++
	r.seq = e.seq
	r.unreadSince = time.Now()
	hit := min(e.cache.cachedTokens(r.prefixes), r.promptTokens)
	if e.imported[r.id] {
		hit = r.promptTokens
		delete(e.imported, r.id)
	}
	e.stats.CacheHits += hit
	e.stats.PrefillTokens += r.promptTokens - hit
	r.prefillLeft = float64(r.promptTokens - hit)
	if r.prefillLeft == 0 {
		r.tokenCredit = 1
	}
	e.requests[r.id] = r
	i, _ := slices.BinarySearchFunc(e.active, r, compareRequests)
	e.active = slices.Insert(e.active, i, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// compareRequests orders by priority, then by arrival. A request therefore
// preempts a running one of lower priority when the batch is full.
func compareRequests(a, b *request) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.seq, b.seq))
}

// finish ends a request. Its tokens can still be read. The caller holds e.mu.
func (e *Engine) finish(r *request, reason string) {
	if r.reason != "" {
		return
	}
	r.reason = reason
	if reason == reasonCancelled {
		e.stats.Cancelled++
	} else {
		e.stats.Finished++
	}
	for _, res := range r.residents {
		res.activeRequests--
		if res.activeRequests == 0 && res.idle != nil {
			close(res.idle)
			res.idle = nil
		}
	}
	e.active = slices.DeleteFunc(slices.Clone(e.active), func(o *request) bool { return o == r })
	e.finished = append(e.finished, r)
	if len(e.finished) > maxFinished {
		if old := e.finished[0]; e.requests[old.id] == old {
			delete(e.requests, old.id)
		}
		e.finished = e.finished[1:]
	}
	r.notify()
}

// notify wakes the readers of the request.
func (r *request) notify() {
	for _, l := range r.listeners {
		select {
		case l <- struct{}{}:
		default:
		}
	}
}

// cancel ends a request before its answer is complete.
func (e *Engine) cancel(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(r, reasonCancelled)
}

// run advances the batch until the engine is released. It sleeps while no
// request is active.
func (e *Engine) run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		select {
		case <-e.wake:
		case <-e.ctx.Done():
			return
		}
		for step := e.step(time.Now()); step > 0; step = e.step(time.Now()) {
			timer.Reset(step)
			select {
			case <-timer.C:
			case <-e.wake:
			case <-e.ctx.Done():
				return
			}
		}
	}
}

// step advances the batch to the time now. It returns the interval to the next
// step, or 0 if no request is active.
func (e *Engine) step(now time.Time) time.Duration {
	frozen := e.faults.Frozen()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.active {
		if r.readers == 0 && now.Sub(r.unreadSince) > e.opts.ResumeGrace {
			e.finish(r, reasonCancelled)
		}
	}
	if len(e.active) == 0 {
		return 0
	}
	running := e.active[:min(len(e.active), e.opts.MaxRunning)]
	if frozen {
		running = nil
	}
	for _, r := range e.active[len(running):] {
		r.lastProgress = time.Time{}
	}
	prefilling := 0
	for _, r := range running {
		if r.prefillLeft > 0 {
			prefilling++
		}
	}
	prefill, decode := e.rates()
	prefill /= float64(max(1, prefilling))
	decode = min(e.opts.StreamSpeed, decode/float64(max(1, len(running)-prefilling)))
	next := maxStep
	for _, r := range running {
		elapsed := time.Duration(0)
		if !r.lastProgress.IsZero() {
			elapsed = now.Sub(r.lastProgress)
		}
		r.lastProgress = now
		if r.prefillLeft > 0 {
			r.prefillLeft -= prefill * elapsed.Seconds()
			if r.prefillLeft <= 0 {
				e.cache.insert(r.model, r.prefixes)
				// The end of the prefill yields the first token.
				r.tokenCredit = 1
			}
			next = min(next, seconds(max(0, r.prefillLeft)/prefill))
		} else {
			r.tokenCredit += decode * elapsed.Seconds()
		}
		if n := min(int64(r.tokenCredit), r.answerTokens-r.generated); n > 0 {
			r.tokenCredit -= float64(n)
			r.generated += n
			e.stats.Tokens += n
			r.notify()
		}
		next = min(next, seconds((1-r.tokenCredit)/decode))
	}
	for _, r := range running {
		if r.generated == r.answerTokens {
			e.finish(r, finishReason(r))
		}
	}
	return max(minStep, next)
}

func finishReason(r *request) string {
	if r.answerTokens < r.maxTokens {
		return reasonStop
	}
	return reasonLength
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// rates returns the prompt and generated tokens per second in the current role.
func (e *Engine) rates() (prefill, decode float64) {
	prefill, decode = e.opts.PrefillSpeed, e.speed
	switch e.role {
	case engine.RolePrefill:
		return prefill * 1.5, decode / 4
	case engine.RoleDecode:
		return prefill / 4, decode * 1.5
	default:
		return prefill, decode
	}
}

// follow calls emit with the range of each group of new tokens after token from,
// until the request ends. It returns the reason for the end.
func (e *Engine) follow(ctx context.Context, r *request, from int64, emit func(first, last int64) error) (string, error) {
	listener := make(chan struct{}, 1)
	e.mu.Lock()
	r.readers++
	r.listeners = append(r.listeners, listener)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		r.readers--
		r.unreadSince = time.Now()
		r.listeners = slices.DeleteFunc(r.listeners, func(l chan struct{}) bool { return l == listener })
	}()
	for {
		e.mu.Lock()
		generated, reason := r.generated, r.reason
		e.mu.Unlock()
		if generated > from {
			if err := emit(from+1, generated); err != nil {
				return "", err
			}
			from = generated
		}
		if reason != "" {
			return reason, nil
		}
		select {
		case <-listener:
		case <-ctx.Done():
			return "", ctx.Err()
		case <-e.ctx.Done():
			return "", e.ctx.Err()
		}
	}
}
