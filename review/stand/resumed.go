package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	streamEvents  = 60
	streamStep    = 60 * time.Millisecond
	streamTimeout = 15 * time.Second
	streamModel   = "season"
	streamPrefix  = "5c1e07a2:100,91bd3f06:100"
	// firstPart is the last event that the caller has from its first attempt.
	firstPart = 6
	// movedAt and crashAt are the events of the second attempt after which the operator
	// moves the route, and after which the engine crashes.
	movedAt = 12
	crashAt = 50
)

// playResumedTwice resumes a stream after a broken connection. Meanwhile the operator
// moves the route to a new service, and then the old engine crashes.
func playResumedTwice(w *world, trouble bool) (verdict, error) {
	sizes := map[string]time.Duration{streamModel: 300 * time.Millisecond}
	class := func() *site.EngineClass {
		return &site.EngineClass{
			Slots:          16,
			CacheTokens:    100_000,
			WeightsMB:      100,
			AdapterSlots:   3,
			LoadsPerSecond: 4,
			Models: []site.Model{
				{
					Name:  streamModel,
					MB:    30,
					LoadS: 0.3,
					DiskS: 0.2,
					WarmS: 0.1,
				},
			},
		}
	}
	config := baseConfig(1)
	config.Services = []site.Service{
		{
			Name:       "plans-old",
			HealthPath: "/health",
			Engine:     class(),
		},
		{
			Name:       "plans-new",
			HealthPath: "/health",
			Engine:     class(),
		},
	}
	plans := route("plans", "/plans/", kindStream, "plans-old")
	plans.Resumable, plans.TimeoutMS = true, float64(streamTimeout.Milliseconds())
	config.Routes = []site.Route{plans}
	if err := w.setConfig(config); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var runsAt *engine // of the request that ran last
	stream := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runsAt = e
		mu.Unlock()
		e.writeEvents(rw, r, streamEvents, streamStep)
	}
	for _, service := range []string{"plans-old", "plans-new"} {
		for i := range 2 {
			if _, err := w.addEngine(fmt.Sprintf("i-%s-%d", service, i+1), service, []string{streamModel}, sizes, stream); err != nil {
				return "", err
			}
		}
	}
	if err := w.addNodes("front-1", "front-2"); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	q := request{
		id:      "plan-first",
		node:    w.nodes[0],
		method:  http.MethodPost,
		path:    "/plans/1",
		model:   streamModel,
		prefix:  streamPrefix,
		timeout: streamTimeout,
	}
	got := 0
	w.logf("caller sends %s to %s", q.id, q.node.name)
	a := w.send(q, 0, func(id int) bool {
		got = id
		return id < firstPart
	})
	w.logf("caller has %s up to event %d, its connection breaks: %s", q.id, got, a.describe())
	if got != firstPart {
		return "", fmt.Errorf("the first attempt got event %d", got)
	}
	q.id, q.lastEvent = "plan-second", strconv.Itoa(got)
	var ids []int
	w.logf("caller sends %s with Last-Event-Id %s to %s", q.id, q.lastEvent, q.node.name)
	a = w.send(q, 0, func(id int) bool {
		ids = append(ids, id)
		switch {
		case len(ids) == movedAt-firstPart:
			config.Version, config.Routes[0].Service = 2, "plans-new"
			if err := w.setConfig(config); err != nil {
				w.logf("configuration not written: %v", err)
			}
		case len(ids) == crashAt-firstPart && trouble:
			mu.Lock()
			go runsAt.crash(0)
			mu.Unlock()
		}
		return true
	})
	w.logf("caller gets for %s: %s", q.id, a.describe())
	w.logf("events of %s: %v", q.id, ids)
	last := firstPart
	for _, id := range ids {
		if id <= last {
			return verdict(fmt.Sprintf("ORDER: the caller of %s got event %d after event %d: pieces came twice", q.id, id, last)), nil
		}
		if id > last+1 {
			return verdict(fmt.Sprintf("ORDER: the caller of %s got event %d after event %d: pieces are missing", q.id, id, last)), nil
		}
		last = id
	}
	if !trouble && (a.err != nil || last != streamEvents) {
		return "", fmt.Errorf("without trouble the stream ended at event %d: %w", last, a.err)
	}
	return "", nil
}
