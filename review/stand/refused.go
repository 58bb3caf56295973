package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// The kinds of routes in the configuration.
const (
	kindOnce   = "non_idempotent"
	kindRead   = "idempotent"
	kindStream = "stream"
)

// baseConfig returns a configuration without routes and services.
func baseConfig(version int64) site.Config {
	return site.Config{
		Version: version,
		Limits: site.Limits{
			MaxHeaderBytes:  16_384,
			MaxBodyBytes:    1 << 20,
			HeaderTimeoutMS: 3000,
			IdleTimeoutMS:   15_000,
		},
		Tenants: []site.Tenant{
			{
				Name:        "club",
				Keys:        []string{callerKey},
				Unit:        "tokens",
				PlainTokens: 20,
				Rate:        200_000,
				Burst:       200_000,
			},
		},
	}
}

func route(name, prefix, kind, service string) site.Route {
	return site.Route{
		Name:        name,
		Host:        callerHost,
		Prefix:      prefix,
		Kind:        kind,
		TimeoutMS:   8000,
		ObjectiveMS: 500,
		Priority:    1,
		Service:     service,
		Attempts:    2,
		PauseMS:     200,
	}
}

// runs counts how often requests ran.
type runs struct {
	mu sync.Mutex
	at map[string][]string
}

func newRuns() *runs {
	return &runs{
		at: make(map[string][]string),
	}
}

func (r *runs) add(request, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[request] = append(r.at[request], engine)
}

func (r *runs) of(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[request]
}

const (
	bookings       = 60
	bookingServers = 4
	bookingTimeout = 2500 * time.Millisecond
	bookingWork    = 30 * time.Millisecond
	// largeBody is the size of a failure's body that has an end.
	largeBody = 2 << 20
	// maxRead is how much of an answer without end a caller reads.
	maxRead = 4 << 20
)

// playRefusedLarge lets one of four servers of a booking service run its requests and answer
// two of five with a failure whose body is large or has no end.
func playRefusedLarge(w *world, trouble bool) (verdict, error) {
	config := baseConfig(1)
	config.Services = []site.Service{
		{
			Name:       "booking",
			HealthPath: "/health",
		},
	}
	config.Routes = []site.Route{route("book", "/book/", kindOnce, "booking")}
	ran := newRuns()
	var arrivals, failures atomic.Int64 // at the failing server
	sound := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		ran.add(id, e.id)
		w.logf("server %s runs %s", e.id, id)
		time.Sleep(bookingWork)
		e.stamp(rw, r)
		_, _ = rw.Write([]byte("booked " + id + "\n"))
	}
	failing := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		if n := arrivals.Add(1) % 5; n != 1 && n != 3 {
			sound(e, rw, r)
			return
		}
		id := r.Header.Get(headerID)
		ran.add(id, e.id)
		// Every second failure has an end.
		size, what := 0, "without end"
		if failures.Add(1)%2 == 0 {
			size, what = largeBody, fmt.Sprintf("of %d bytes", largeBody)
		}
		w.logf("server %s runs %s and answers 503 without the word that it did not run, with a body %s", e.id, id, what)
		time.Sleep(bookingWork)
		e.stamp(rw, r)
		if size > 0 {
			rw.Header().Set("Content-Length", strconv.Itoa(size))
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		junk := []byte(strings.Repeat("x", 16<<10))
		for sent := 0; size == 0 || sent < size; sent += len(junk) {
			if _, err := rw.Write(junk); err != nil {
				return
			}
		}
	}
	if err := w.setConfig(config); err != nil {
		return "", err
	}
	for i := range bookingServers {
		answer := sound
		if i == 0 && trouble {
			answer = failing
		}
		if _, err := w.addEngine(fmt.Sprintf("i-booking-%d", i+1), "booking", nil, nil, answer); err != nil {
			return "", err
		}
	}
	if err := w.addNodes("front-1", "front-2"); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	broken, served := 0, 0
	for i := range bookings {
		q := request{
			id:      fmt.Sprintf("booking-%02d", i),
			node:    w.nodes[i%len(w.nodes)],
			method:  http.MethodPost,
			path:    "/book/lane-7",
			timeout: bookingTimeout,
		}
		w.logf("caller sends %s to %s", q.id, q.node.name)
		a := w.send(q, maxRead, nil)
		w.logf("caller gets for %s: %s", q.id, a.describe())
		at := ran.of(q.id)
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if len(at) > 0 {
				broken++
				w.logf("REFUSED: %s was answered %d, and has run at %v", q.id, a.status, at)
			}
		}
	}
	w.logf("%d of %d bookings served, %d answered with a promise that they have not run though they have", served, bookings, broken)
	if served == 0 {
		return "", fmt.Errorf("no booking was served")
	}
	if broken > 0 {
		return verdict(fmt.Sprintf("REFUSED: %d of %d bookings were answered 503 and have run", broken, bookings)), nil
	}
	return "", nil
}
