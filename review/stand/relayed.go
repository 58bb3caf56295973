package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

const (
	// cutTime is how long the coordinator is cut off from the store.
	cutTime = 500 * time.Millisecond
	// removedAfter is how long after the end of the cut the entry is removed.
	removedAfter = 100 * time.Millisecond
	// drainTime is the rule's bound drain_ms.
	drainTime    = 2 * time.Second
	watchTime    = 5 * time.Second
	readInterval = 15 * time.Millisecond
	readTimeout  = 2500 * time.Millisecond
	// rounds is how often the coordinator is cut off. Each time another server leaves.
	rounds      = 3
	readServers = rounds + 2
)

// arrival is a request that reached a server.
type arrival struct {
	request string
	at      time.Time
}

// playRelayedEntry cuts one machine off from the store for a moment, that of the
// coordinator. Just after the end of the cut the entry of a server is removed. The rule is
// checked at the other machines, which nothing has disturbed.
func playRelayedEntry(w *world, trouble bool) (verdict, error) {
	config := baseConfig(1)
	config.Services = []site.Service{
		{
			Name:       "booking",
			HealthPath: "/health",
		},
	}
	config.Routes = []site.Route{route("read", "/read/", kindRead, "booking")}
	if err := w.setConfig(config); err != nil {
		return "", err
	}
	var mu sync.Mutex
	arrivals := make(map[string][]arrival) // by server
	answer := func(e *engine, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrivals[e.id] = append(arrivals[e.id], arrival{
			request: r.Header.Get(headerID),
			at:      time.Now(),
		})
		mu.Unlock()
		time.Sleep(bookingWork)
		e.stamp(rw, r)
		_, _ = rw.Write([]byte("read\n"))
	}
	var servers []*engine
	for i := range readServers {
		e, err := w.addEngine(fmt.Sprintf("i-booking-%d", i+1), "booking", nil, nil, answer)
		if err != nil {
			return "", err
		}
		servers = append(servers, e)
	}
	if err := w.addNodes("front-1", "front-2", "front-3"); err != nil {
		return "", err
	}
	time.Sleep(2 * stableTime)
	var leader *node
	var others []*node
	for _, n := range w.nodes {
		if isCoordinator(n) {
			leader = n
			continue
		}
		others = append(others, n)
	}
	if leader == nil || len(others) != 2 {
		return "", fmt.Errorf("there is not one coordinator")
	}
	w.logf("the coordinator is %s; callers send to the others", leader.name)
	sentBy := make(map[string]string)
	sentAt := make(map[string]time.Time)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(readInterval):
			}
			q := request{
				id:      fmt.Sprintf("read-%05d", n),
				node:    others[n%len(others)],
				method:  http.MethodGet,
				path:    "/read/1",
				timeout: readTimeout,
			}
			mu.Lock()
			sentBy[q.id], sentAt[q.id] = q.node.name, time.Now()
			mu.Unlock()
			wg.Go(func() {
				if a := w.send(q, maxRead, nil); a.status != http.StatusOK {
					w.logf("%s at %s: %s", q.id, q.node.name, a.describe())
				}
			})
		}
	})
	removed := make(map[string]time.Time)
	for _, e := range servers[:rounds] {
		time.Sleep(stableTime)
		if !isCoordinator(leader) {
			w.logf("%s is no longer the coordinator", leader.name)
			break
		}
		if trouble {
			w.logf("%s is cut off from the store", leader.name)
			leader.storeTo.cut()
		}
		time.Sleep(cutTime)
		leader.storeTo.heal()
		w.logf("%s reaches the store", leader.name)
		time.Sleep(removedAfter)
		e.unlist()
		removed[e.id] = time.Now()
		w.logf("the entry of %s is removed; the server goes on serving", e.id)
		time.Sleep(watchTime)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, used := 0, 0
	var last time.Duration
	for server, since := range removed {
		for _, a := range arrivals[server] {
			age := a.at.Sub(since)
			if age < 0 {
				used++
			}
			last = max(last, age)
			if age > drainTime {
				late++
				w.logf("DRAIN: %s, sent to %s %d ms after the removal, reaches %s %d ms after it", a.request, sentBy[a.request], sentAt[a.request].Sub(since).Milliseconds(), server, age.Milliseconds())
			}
		}
	}
	w.logf("the servers got %d requests before their removal; the last one after it came %d ms later", used, last.Milliseconds())
	if used == 0 {
		return "", errors.New("the servers got no requests")
	}
	if late > 0 {
		return verdict(fmt.Sprintf("DRAIN: %d requests reached a server later than %v after its entry was removed, the last after %d ms, from machines that nothing has disturbed", late, drainTime, last.Milliseconds())), nil
	}
	return "", nil
}

// isCoordinator reports whether the metrics of a process say that it is the coordinator.
func isCoordinator(n *node) bool {
	res, err := http.Get("http://" + n.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return err == nil && strings.Contains(string(text), "\ntrefoildale_coordinator 1")
}
