package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// injectRestores takes the store away for a moment and brings it back from a copy some
// seconds old, again and again, beside the other faults. It has random numbers of its own,
// so that the faults of a seed stay the same.
func (r *run) injectRestores(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 1<<33))
	for until := time.Now().Add(r.opts.Faults); time.Now().Before(until); {
		if !sleep(ctx, time.Duration(1500+random.IntN(3500))*time.Millisecond) {
			return
		}
		outage := time.Duration(random.IntN(2500)) * time.Millisecond
		age := time.Duration(1+random.IntN(10)) * time.Second
		rewrite := time.Duration(50+random.IntN(1500)) * time.Millisecond
		kind := []site.Outage{site.Busy, site.Reset, site.Silent}[random.IntN(3)]
		r.mu.Lock()
		r.faults++
		r.logf("store-restored: %.1f s away, %.0f s lost, the others' rows back after %.1f s", outage.Seconds(), age.Seconds(), rewrite.Seconds())
		r.mu.Unlock()
		r.restoreStore(ctx, outage, age, rewrite, kind)
	}
}

func (r *run) restoreStore(ctx context.Context, outage, age, rewrite time.Duration, kind site.Outage) {
	r.markStoreDisturbed(time.Now().Add(outage + rewrite + time.Second))
	defer func() { r.markStoreDisturbed(time.Now()) }()
	var down sync.WaitGroup
	down.Go(func() {
		r.storeFault(ctx, "", faultParams{
			duration: outage,
		}, site.StoreFaults{
			Outage: kind,
		})
	})
	sleep(ctx, outage*3/4)
	r.site.Store.Restore(age, rewrite)
	down.Wait()
	sleep(ctx, rewrite)
}
