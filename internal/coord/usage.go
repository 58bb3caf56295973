package coord

import (
	"cmp"
	"slices"
	"sync"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/models"
)

// usage counts the arrived, waiting and running requests of this node, which it
// reports to the coordinator.
type usage struct {
	mu      sync.Mutex
	work    map[modelKey]float64
	waiting map[modelKey]int
	running map[placementKey]int
}

type modelKey struct {
	service string
	model   string
}

type placementKey struct {
	key     fleet.Key
	model   string
	adapter string
}

func newUsage() *usage {
	return &usage{
		work:    make(map[modelKey]float64),
		waiting: make(map[modelKey]int),
		running: make(map[placementKey]int),
	}
}

func (u *usage) addWork(service, model string, tokens float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work[modelKey{service: service, model: model}] += tokens
}

func (u *usage) addWaiting(service, model string) (done func()) {
	k := modelKey{
		service: service,
		model:   model,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting[k]++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.waiting[k]--; u.waiting[k] <= 0 {
			delete(u.waiting, k)
		}
	}
}

func (u *usage) addRunning(key fleet.Key, model, adapter string) (done func()) {
	k := placementKey{
		key:     key,
		model:   model,
		adapter: adapter,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[k]++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.running[k]--; u.running[k] <= 0 {
			delete(u.running, k)
		}
	}
}

// fill adds the counts to a message and resets the arrived work. If the message
// is lost, that work is not reported; a few hundred milliseconds of missing
// demand are acceptable.
func (u *usage) fill(x *Exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k, tokens := range u.work {
		x.Work = append(x.Work, Work{
			Service: k.service,
			Model:   k.model,
			Tokens:  tokens,
		})
	}
	clear(u.work)
	for k, n := range u.waiting {
		x.Waiting = append(x.Waiting, models.Waiting{
			Service: k.service,
			Model:   k.model,
			Count:   n,
		})
	}
	for k, n := range u.running {
		x.Running = append(x.Running, models.Running{
			Key:     k.key,
			Model:   k.model,
			Adapter: k.adapter,
			Count:   n,
		})
	}
	slices.SortFunc(x.Work, func(a, b Work) int { return cmp.Compare(a.Model, b.Model) })
}
