package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	planModel   = "season"
	planEvents  = 60
	planStep    = 40 * time.Millisecond
	planTimeout = 15 * time.Second
	planStreams = 5
	// planPauseMS is the longest pause between events that is on time, and
	// planObjectiveMS the objective, both as of the streams that may be resumed.
	planPauseMS     = 150
	planObjectiveMS = 1200
	// stopAt and silentAt are the events after which the process is told to stop, and
	// after which the engine falls silent.
	stopAt      = 5
	silentAt    = 20
	silenceTime = 1400 * time.Millisecond
	// otherInterval is the time between two requests for the model of the other engine.
	otherInterval = 200 * time.Millisecond
)

// playSilentEngine stops a process while streams run whose engine, the only one that holds
// their model, falls silent for a moment and goes on.
func playSilentEngine(w *world, trouble bool) (verdict, error) {
	sizes := map[string]time.Duration{planModel: time.Second, lookupModel: time.Second}
	class := &site.EngineClass{
		Slots:          16,
		CacheTokens:    100_000,
		WeightsMB:      100,
		AdapterSlots:   3,
		LoadsPerSecond: 2,
	}
	for name := range sizes {
		class.Models = append(class.Models, site.Model{
			Name:  name,
			MB:    60,
			LoadS: 1,
			DiskS: 0.5,
			WarmS: 0.3,
		})
	}
	config := baseConfig(1)
	config.Services = []site.Service{
		{
			Name:       "assistant",
			HealthPath: "/health",
			Engine:     class,
		},
	}
	plans := route("plans", "/plans/", kindStream, "assistant")
	plans.Resumable, plans.TimeoutMS = true, float64(planTimeout.Milliseconds())
	plans.PauseMS, plans.ObjectiveMS = planPauseMS, planObjectiveMS
	config.Routes = []site.Route{plans, route("lookup", "/lookup/", kindStream, "assistant")}
	if err := w.setConfig(config); err != nil {
		return "", err
	}
	answer := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		silence := time.Duration(0)
		if trouble && r.Header.Get(headerModel) == planModel {
			silence = silenceTime
		}
		e.writePausing(rw, r, silence)
	}
	for id, model := range map[string]string{"i-assistant-1": planModel, "i-assistant-2": lookupModel} {
		if _, err := w.addEngine(id, "assistant", []string{model}, sizes, answer); err != nil {
			return "", err
		}
	}
	if err := w.addNodes("front-1", "front-2"); err != nil {
		return "", err
	}
	time.Sleep(2 * stableTime)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(otherInterval):
			}
			wg.Go(func() {
				w.send(request{
					id:      fmt.Sprintf("lookup-%04d", n),
					node:    w.nodes[1],
					method:  http.MethodPost,
					path:    "/lookup/1",
					model:   lookupModel,
					prefix:  fmt.Sprintf("1c07a2e5:60,5e550001:40,0a%06x:100", n),
					timeout: lookupTimeout,
				}, 0, func(int) bool { return true })
			})
		}
	})
	var mu sync.Mutex
	lost, stopped := 0, false
	var stoppedAt time.Time
	var streams sync.WaitGroup
	for n := range planStreams {
		q := request{
			id:      fmt.Sprintf("plan-%02d", n),
			node:    w.nodes[0],
			method:  http.MethodPost,
			path:    "/plans/1",
			model:   planModel,
			prefix:  fmt.Sprintf("5c1e07a2:60,5e550002:40,0b%06x:100", n),
			timeout: planTimeout,
		}
		streams.Go(func() {
			w.logf("caller sends %s to %s", q.id, q.node.name)
			last := 0
			a := w.send(q, 0, func(id int) bool {
				last = id
				mu.Lock()
				defer mu.Unlock()
				if id == stopAt && !stopped {
					stopped, stoppedAt = true, time.Now()
					w.logf("%s gets SIGTERM", q.node.name)
					_ = q.node.cmd.Process.Signal(syscall.SIGTERM)
				}
				return true
			})
			mu.Lock()
			defer mu.Unlock()
			w.logf("caller gets for %s: %s; last event %d, %d ms after the SIGTERM", q.id, a.describe(), last, time.Since(stoppedAt).Milliseconds())
			if a.status != http.StatusOK || a.err != nil || last != planEvents {
				lost++
				w.logf("LOST: the answer to %s ended after event %d of %d", q.id, last, planEvents)
			}
		})
	}
	streams.Wait()
	close(stop)
	wg.Wait()
	// The process ends by itself after its stop.
	w.nodes[0].running = false
	if !stopped {
		return "", fmt.Errorf("no stream got event %d", stopAt)
	}
	if lost > 0 {
		return verdict(fmt.Sprintf("LOST: %d of %d streams ended without a complete answer while their process stopped, though their engine was sound", lost, planStreams)), nil
	}
	return "", nil
}

// writePausing streams a whole answer and falls silent once, for the given time. It goes on
// as long as the connection is open.
func (e *engine) writePausing(rw http.ResponseWriter, r *http.Request, silence time.Duration) {
	id := r.Header.Get(headerID)
	from, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	if silence > 0 {
		e.world.logf("engine %s runs %s, Last-Event-Id %q", e.id, id, r.Header.Get(headerLastEvent))
	}
	e.stamp(rw, r)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= planEvents; n++ {
		step := planStep
		if n == silentAt+1 {
			step += silence
		}
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			if silence > 0 {
				e.world.logf("engine %s finds the connection of %s closed, before event %d", e.id, id, n)
			}
			return
		}
		_, _ = rw.Write([]byte(event(id, n)))
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
	if silence > 0 {
		e.world.logf("engine %s has ended %s", e.id, id)
	}
}
