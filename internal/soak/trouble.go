package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// maxLeaving is how many endpoints of an engine's service leave or turn requests away
	// at a time.
	maxLeaving = 2
	// maxFormed is how many endpoints give answers in another form at a time.
	maxFormed = 5
	// longBodyShare is the share of requests with a long body, of minBody to maxBody bytes.
	longBodyShare = 0.2
	minBody       = 20_000
	maxBody       = 400_000
	// bodyPieces is in how many pieces a slow caller sends a long body, and maxBodyPause the
	// longest pause between two.
	bodyPieces   = 8
	maxBodyPause = 150 * time.Millisecond
)

// planKind is a kind of planned work, or of trouble beside it. Its draw function draws all
// random numbers and returns what happens.
type planKind struct {
	share int
	draw  func(r *run) func(ctx context.Context)
}

// planKinds lists what the options allow.
func (r *run) planKinds() []planKind {
	out := []planKind{
		{share: 4, draw: (*run).drawStops},
		{share: 1, draw: func(r *run) func(context.Context) {
			n := r.nodes[r.random.IntN(len(r.nodes))]
			return func(ctx context.Context) { r.reloadReady(ctx, n) }
		}},
		{share: 4, draw: func(r *run) func(context.Context) {
			s := r.drawChanges()
			return func(ctx context.Context) { r.applyChanges(ctx, s) }
		}},
		{share: 1, draw: func(r *run) func(context.Context) {
			i, d := r.random.IntN(plannedEngines), r.seconds(1, 2)
			return func(ctx context.Context) { r.silenceEngine(ctx, i, 0, d) }
		}},
	}
	if r.opts.Statements {
		out = append(out, planKind{share: 3, draw: (*run).drawForms}, planKind{share: 1, draw: (*run).drawStatement})
	}
	if r.opts.Crowds {
		out = append(out, planKind{share: 3, draw: (*run).drawCrowd}, planKind{share: 2, draw: (*run).drawOddAnswers})
	}
	if r.opts.Restores {
		out = append(out, planKind{share: 1, draw: (*run).drawRestore})
	}
	return out
}

func (r *run) drawPlan() func(context.Context) {
	kinds, sum := r.planKinds(), 0
	for _, k := range kinds {
		sum += k.share
	}
	n := r.random.IntN(sum)
	for _, k := range kinds {
		if n -= k.share; n < 0 {
			return k.draw(r)
		}
	}
	panic("soak: no kind was drawn")
}

func (r *run) seconds(least, most float64) time.Duration {
	return time.Duration((least + (most-least)*r.random.Float64()) * float64(time.Second))
}

// drawForms draws some endpoints that give their answers in other forms for a time.
func (r *run) drawForms() func(context.Context) {
	forms := [][]site.Form{{site.Unframed}, {site.Early}, {site.Repeated, site.ForeignAfter}, {site.EndlessHead, site.EndlessBody}}[r.random.IntN(4)]
	chosen := r.random.Perm(len(r.site.Endpoints))[:1+r.random.IntN(maxFormed)]
	d, ratio := r.seconds(0.5, 4), 0.2+0.8*r.random.Float64()
	return func(ctx context.Context) {
		var all sync.WaitGroup
		for _, i := range chosen {
			all.Go(func() {
				defer r.lockEndpoint(i)()
				e := r.site.Endpoints[i]
				r.mu.Lock()
				r.logf("forms %v of %.0f %% of the answers of %s for %v", forms, 100*ratio, e.ID(), d)
				r.mu.Unlock()
				e.SetFaults(site.EndpointFaults{
					Forms:     forms,
					FormRatio: ratio,
				})
				sleep(ctx, d)
				e.SetFaults(site.EndpointFaults{})
			})
		}
		all.Wait()
	}
}

// drawStatement draws an endpoint that says that it leaves or that it wants no requests.
func (r *run) drawStatement() func(context.Context) {
	i, kind, d := r.random.IntN(len(r.site.Endpoints)), r.random.IntN(3), r.seconds(1, 3)
	ratio, retryAfter := 0.2+0.8*r.random.Float64(), retryAfters[r.random.IntN(len(retryAfters))]
	return func(ctx context.Context) {
		select {
		case r.leaving <- struct{}{}:
			defer func() { <-r.leaving }()
		default:
			return
		}
		defer r.lockEndpoint(i)()
		e := r.site.Endpoints[i]
		r.mu.Lock()
		r.logf("statement %d of %s for %v, %.2f, %q", kind, e.ID(), d, ratio, retryAfter)
		r.mu.Unlock()
		r.injectStatement(ctx, e, kind, d, ratio, retryAfter)
	}
}

// drawRestore draws a restore of the store from a copy. Only one is under way at a time.
func (r *run) drawRestore() func(context.Context) {
	outage, age, rewrite := r.seconds(0, 2.5), r.seconds(1, 10), r.seconds(0.05, 1.5)
	kind := []site.Outage{site.Busy, site.Reset, site.Silent}[r.random.IntN(3)]
	return func(ctx context.Context) {
		if !r.restoring.TryLock() {
			return
		}
		defer r.restoring.Unlock()
		r.mu.Lock()
		r.logf("store restored: away for %v, %v lost, the others' rows back after %v", outage, age, rewrite)
		r.record.restores = append(r.record.restores, event{name: fmt.Sprintf("store away for %v, then %v lost", outage, age), at: time.Now()})
		r.mu.Unlock()
		r.restoreStore(ctx, outage, age, rewrite, kind)
	}
}

// lockEndpoint waits until no other fault of an endpoint is under way, and returns the
// function that ends this one.
func (r *run) lockEndpoint(i int) (unlock func()) {
	r.mu.Lock()
	lock := r.record.faultLock(faultParams{
		node:     r.nodes[0],
		endpoint: i,
	})
	r.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// drawBody draws a long body for some requests, and sends it slowly for some of these.
func (c *caller) drawBody(ctx context.Context, q *request, out *site.CallerRequest) {
	if !c.run.opts.Planned || c.random.Float64() >= longBodyShare {
		return
	}
	body := site.Body(q.id, minBody+c.random.IntN(maxBody-minBody))
	out.BodyBytes = int64(len(body))
	s := &slowBody{
		rest: body,
	}
	if c.random.IntN(2) == 0 {
		s.ctx, s.piece = ctx, len(body)/bodyPieces
		s.pause = time.Duration(c.random.Int64N(int64(maxBodyPause)))
	}
	out.Body = s
}

// slowBody is a body that is sent in pieces with a pause before each.
type slowBody struct {
	ctx   context.Context
	mu    sync.Mutex
	rest  []byte
	piece int // 0 for no limit
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowBody) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	if s.piece > 0 {
		if !sleep(s.ctx, s.pause) {
			return 0, s.ctx.Err()
		}
		p = p[:min(len(p), s.piece)]
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// poisonSome makes prompt parts crash engines in half of the runs.
func (r *run) poisonSome(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 1<<34))
	if random.IntN(2) == 0 {
		r.poisonPrompts(ctx, random, time.Now().Add(r.opts.Faults))
	}
}
