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

// maxKept bounds the finished streams that can still be resumed.
const maxKept = 4096

// The bounds of a step of the batch. Timers are not exact below a millisecond.
const (
	minStep = time.Millisecond
	maxStep = 20 * time.Millisecond
)

// The reasons for the end of a request.
const (
	reasonStop      = "stop"
	reasonLength    = "length"
	reasonCancelled = "cancelled"
)

// request is a completion request that the engine has accepted.
type request struct {
	id       string
	model    string
	prompt   string
	chat     bool
	class    int
	seq      int64
	on       []*resident
	prefixes []string

	promptTokens int64
	limit        int64
	target       int64

	// prefill is how many prompt tokens have still to be processed.
	prefill float64
	credit  float64
	made    int64
	// advanced is when the request last made progress; zero while it waits.
	advanced time.Time
	// reason is empty while the request is active.
	reason string

	readers   int
	unread    time.Time
	listeners []chan struct{}
}

func classOf(priority string) int {
	switch spec.Class(priority) {
	case spec.ClassInteractive:
		return 0
	case spec.ClassDeferrable:
		return 2
	default:
		return 1
	}
}

// submit puts a request into the batch or its queue.
func (e *Engine) submit(r *request, adapter string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	on := e.find(r.model, "")
	if on == nil {
		return refuse(http.StatusConflict, engine.CodeNotResident, "the model is not resident")
	}
	r.on = []*resident{on}
	if adapter != "" {
		a := e.find(r.model, adapter)
		if a == nil {
			return refuse(http.StatusConflict, engine.CodeNotResident, "the adapter is not resident")
		}
		r.on = append(r.on, a)
	}
	if len(e.active) >= e.opts.MaxRunning+e.opts.MaxQueued {
		return refuse(http.StatusTooManyRequests, "overloaded", "too many requests are waiting")
	}
	e.stats.Requests++
	if e.leaving && time.Since(e.leftAt) > leaveGrace {
		e.stats.LateRequests++
	}
	if old, ok := e.requests[r.id]; ok {
		e.stats.RepeatedIDs++
		e.finish(old, reasonCancelled)
	}
	for _, res := range r.on {
		res.users++
	}
	e.seq++
	r.seq = e.seq
	r.unread = time.Now()
	hit := min(e.cache.hit(r.prefixes), r.promptTokens)
	if e.imported[r.id] {
		hit = r.promptTokens
		delete(e.imported, r.id)
	}
	e.stats.CacheHits += hit
	e.stats.PrefillTokens += r.promptTokens - hit
	r.prefill = float64(r.promptTokens - hit)
	if r.prefill == 0 {
		r.credit = 1
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

// compareRequests orders by priority, then by arrival. A request of a higher
// priority takes the place of a running one of a lower priority.
func compareRequests(a, b *request) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq))
}

// finish ends a request. Its tokens stay readable.
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
	for _, res := range r.on {
		res.users--
		if res.users == 0 && res.idle != nil {
			close(res.idle)
			res.idle = nil
		}
	}
	e.active = slices.DeleteFunc(slices.Clone(e.active), func(o *request) bool { return o == r })
	e.kept = append(e.kept, r)
	if len(e.kept) > maxKept {
		if old := e.kept[0]; e.requests[old.id] == old {
			delete(e.requests, old.id)
		}
		e.kept = e.kept[1:]
	}
	r.notify()
}

func (r *request) notify() {
	for _, l := range r.listeners {
		select {
		case l <- struct{}{}:
		default:
		}
	}
}

// cancel ends a request before its time.
func (e *Engine) cancel(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(r, reasonCancelled)
}

// run is the loop of the batch.
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

// step advances the batch to the time now. It returns the time to the next
// step, or 0 when there is nothing to do.
func (e *Engine) step(now time.Time) time.Duration {
	frozen := e.faults.Frozen()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.active {
		if r.readers == 0 && now.Sub(r.unread) > e.opts.ResumeGrace {
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
		r.advanced = time.Time{}
	}
	prefilling := 0
	for _, r := range running {
		if r.prefill > 0 {
			prefilling++
		}
	}
	prefill, decode := e.rates()
	prefill /= float64(max(1, prefilling))
	decode = min(e.opts.StreamSpeed, decode/float64(max(1, len(running)-prefilling)))
	next := maxStep
	for _, r := range running {
		elapsed := time.Duration(0)
		if !r.advanced.IsZero() {
			elapsed = now.Sub(r.advanced)
		}
		r.advanced = now
		if r.prefill > 0 {
			r.prefill -= prefill * elapsed.Seconds()
			if r.prefill <= 0 {
				e.cache.insert(r.model, r.prefixes)
				// The first token comes with the end of the prefill.
				r.credit = 1
			}
			next = min(next, seconds(max(0, r.prefill)/prefill))
		} else {
			r.credit += decode * elapsed.Seconds()
		}
		if n := min(int64(r.credit), r.target-r.made); n > 0 {
			r.credit -= float64(n)
			r.made += n
			e.stats.Tokens += n
			r.notify()
		}
		next = min(next, seconds((1-r.credit)/decode))
	}
	for _, r := range running {
		if r.made == r.target {
			e.finish(r, finishReason(r))
		}
	}
	return max(minStep, next)
}

func finishReason(r *request) string {
	if r.target < r.limit {
		return reasonStop
	}
	return reasonLength
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// rates returns the prompt and generated tokens per second in the present role.
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

// follow calls emit with the numbers of tokens made after from as they appear,
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
		r.unread = time.Now()
		r.listeners = slices.DeleteFunc(r.listeners, func(l chan struct{}) bool { return l == listener })
	}()
	for {
		e.mu.Lock()
		made, reason := r.made, r.reason
		e.mu.Unlock()
		if made > from {
			if err := emit(from+1, made); err != nil {
				return "", err
			}
			from = made
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
