package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	lookupModel   = "rules"
	lookupEvents  = 5
	lookupStep    = 25 * time.Millisecond
	lookupTimeout = 4 * time.Second
	// sharedPart is the first part of all prompts of the route, deadlyPart the one that
	// crashes engines.
	sharedPart = "1c07a2e5"
	deadlyPart = "e83f06d1"
	// soundInterval and deadlyInterval are the times between two requests.
	soundInterval  = 50 * time.Millisecond
	deadlyInterval = 700 * time.Millisecond
	calmTime       = 8 * time.Second
	deadlyTime     = 45 * time.Second
	crashDown      = 2 * time.Second
	stableTime     = 3 * time.Second
	// minCompared is how many requests the rule compares at least.
	minCompared = 20
)

// sample is the first attempt of a sound request.
type sample struct {
	at     time.Time
	begun  bool
	status int
}

// playSharedPart sends requests with a part that crashes engines, beside sound ones with
// the same first part. All answers are short, have neither a length nor chunks, and end
// with their connection.
func playSharedPart(w *world, trouble bool) (verdict, error) {
	config := baseConfig(1)
	config.Services = []site.Service{
		{
			Name:       "assistant",
			HealthPath: "/health",
			Engine: &site.EngineClass{
				Slots:          16,
				CacheTokens:    100_000,
				WeightsMB:      100,
				AdapterSlots:   3,
				LoadsPerSecond: 4,
				Models: []site.Model{
					{
						Name:  lookupModel,
						MB:    60,
						LoadS: 0.3,
						DiskS: 0.2,
						WarmS: 0.1,
					},
				},
			},
		},
	}
	lookup := route("lookup", "/lookup/", kindStream, "assistant")
	lookup.TimeoutMS = float64(lookupTimeout.Milliseconds())
	config.Routes = []site.Route{lookup}
	if err := w.setConfig(config); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var crashes []time.Time
	answer := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		if slices.Contains(parts(r), deadlyPart) {
			time.Sleep(lookupStep)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.logf("engine %s begins to write an answer on %s", e.id, r.Header.Get(headerID))
			e.crash(crashDown)
			return
		}
		e.writeUnframed(rw, r)
	}
	sizes := map[string]time.Duration{lookupModel: 300 * time.Millisecond}
	for i := range 4 {
		if _, err := w.addEngine(fmt.Sprintf("i-assistant-%d", i+1), "assistant", []string{lookupModel}, sizes, answer); err != nil {
			return "", err
		}
	}
	if err := w.addNodes("front-1", "front-2"); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var samples []sample
	send := func(n int, deadly bool) {
		second, kind := fmt.Sprintf("5e55%04x", n%7), "sound"
		if deadly {
			second, kind = deadlyPart, "deadly"
		}
		q := request{
			id:      fmt.Sprintf("%s-%04d", kind, n),
			node:    w.nodes[n%len(w.nodes)],
			method:  http.MethodPost,
			path:    "/lookup/1",
			model:   lookupModel,
			prefix:  fmt.Sprintf("%s:60,%s:40,0a%06x:100", sharedPart, second, 2*n+len(kind)),
			timeout: lookupTimeout,
		}
		sent := time.Now()
		a := w.send(q, 0, func(int) bool { return true })
		w.logf("%s at %s: %s", q.id, q.node.name, a.describe())
		if deadly {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, sample{
			at:     sent,
			begun:  a.status == http.StatusOK,
			status: a.status,
		})
	}
	began := time.Now()
	deadlyFrom, end := began.Add(calmTime), began.Add(calmTime+deadlyTime)
	nextDeadly := deadlyFrom
	for n := 0; time.Now().Before(end); n++ {
		now := time.Now()
		wg.Go(func() { send(n, false) })
		if trouble && !now.Before(nextDeadly) {
			nextDeadly = now.Add(deadlyInterval)
			wg.Go(func() { send(n, true) })
		}
		time.Sleep(soundInterval)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	from := deadlyFrom
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * stableTime)
	}
	var calm, later, calmBegun, laterBegun float64
	for _, s := range samples {
		switch {
		case s.at.Before(deadlyFrom):
			calm++
			if s.begun {
				calmBegun++
			}
		case !s.at.Before(from):
			later++
			if s.begun {
				laterBegun++
			}
		}
	}
	w.logf("%d crashes; sound requests that began at the first attempt: %.0f of %.0f before, %.0f of %.0f later than %v after the last or fifth crash",
		len(crashes), calmBegun, calm, laterBegun, later, 2*stableTime)
	if calm < minCompared || later < minCompared {
		return "", fmt.Errorf("too few requests to compare: %.0f and %.0f", calm, later)
	}
	if laterBegun/later < calmBegun/calm/2 {
		return verdict(fmt.Sprintf("LOST: %.0f of %.0f sound requests began at the first attempt, %.0f of %.0f before the trouble", laterBegun, later, calmBegun, calm)), nil
	}
	return "", nil
}

// writeUnframed streams a whole answer that has neither a length nor chunks and ends with
// its connection.
func (e *engine) writeUnframed(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	c, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		e.world.logf("engine %s cannot answer %s: %v", e.id, id, err)
		return
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, e.id, id)
	for n := 1; n <= lookupEvents; n++ {
		time.Sleep(lookupStep)
		_, _ = buf.WriteString(event(id, n))
		if buf.Flush() != nil {
			return
		}
	}
}
