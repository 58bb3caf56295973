package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	headerID        = "Trefoildale-Request-Id"
	headerExpect    = "Trefoildale-Expect-Instance"
	headerInstance  = "Trefoildale-Instance-Id"
	headerStamp     = "Trefoildale-Server-Stamp"
	headerModel     = "Trefoildale-Model"
	headerTokens    = "Trefoildale-Token-Count"
	headerPrefix    = "Trefoildale-Prompt-Prefix"
	headerDeadline  = "Trefoildale-Deadline-Ms"
	headerNotRun    = "Trefoildale-Not-Run"
	headerLastEvent = "Last-Event-Id"
)

// engine is a stand-in for an engine, or for a server of a plain service if it has no
// models.
type engine struct {
	world   *world
	id      string
	service string
	address string
	sizes   map[string]time.Duration // load times of the models that it may hold
	answer  func(e *engine, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	server   *http.Server
	alive    bool
	listed   bool
	born     int64
	models   []string
	loading  bool
	accepted int64 // orders
	writes   int64 // of the entry
	active   int
	ended    chan struct{}
}

// addEngine starts an engine that holds the given models and registers it.
func (w *world) addEngine(id, service string, held []string, sizes map[string]time.Duration, answer func(*engine, http.ResponseWriter, *http.Request)) (*engine, error) {
	e := &engine{
		world:   w,
		id:      id,
		service: service,
		sizes:   sizes,
		answer:  answer,
		listed:  true,
		ended:   make(chan struct{}),
	}
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.start(l, held)
	go e.beat()
	w.onClose(func() {
		close(e.ended)
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	return e, nil
}

// start begins an incarnation.
func (e *engine) start(l net.Listener, held []string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	e.mu.Lock()
	e.server, e.alive, e.born = srv, true, time.Now().UnixMilli()
	e.models, e.loading, e.accepted = slices.Clone(held), false, 0
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	e.writeEntry()
}

// beat renews the entry.
func (e *engine) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.writeEntry()
		case <-e.ended:
			return
		}
	}
}

// crash ends the incarnation; the engine is back, empty, after the given time. 0 means
// never.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return
	}
	e.alive = false
	srv, born := e.server, e.born
	e.mu.Unlock()
	e.world.logf("engine %s crashes", e.id)
	_ = srv.Close()
	if down == 0 || down > 3*heartbeat {
		time.AfterFunc(3*heartbeat, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.alive && e.born == born {
				e.world.store.DeleteRow(entriesTable, e.id)
			}
		})
	}
	if down == 0 {
		return
	}
	time.AfterFunc(down, func() {
		select {
		case <-e.ended:
			return
		default:
		}
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			e.world.logf("engine %s cannot listen again: %v", e.id, err)
			return
		}
		e.world.logf("engine %s is back", e.id)
		e.start(l, nil)
	})
}

// unlist removes the entry for good; the engine goes on serving.
func (e *engine) unlist() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = false
	e.world.store.DeleteRow(entriesTable, e.id)
}

type wireResident struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// state returns the fields that entries and reports share. The caller holds the lock.
func (e *engine) state() map[string]any {
	models := []wireResident{}
	for _, m := range e.models {
		models = append(models, wireResident{
			Name:     m,
			Version:  1,
			Adapters: []string{},
		})
	}
	return map[string]any{
		"stage":  "mixed",
		"models": models,
		"seq":    e.accepted,
		"born":   e.born,
	}
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive || !e.listed {
		return
	}
	out := e.state()
	e.writes++
	out["service"], out["addr"], out["zone"], out["version"] = e.service, e.address, failureDomain, "v1"
	out["slots"], out["cold_left_ms"], out["state"], out["seq"] = 16, 0, "ready", e.writes
	e.world.store.PutRow(entriesTable, e.id, []byte(quote(out)))
}

// isMisdirected answers 421 to a request for another engine.
func (e *engine) isMisdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get(headerExpect); want == "" || want == e.id {
		return false
	}
	w.Header().Set(headerInstance, e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.isMisdirected(w, r) {
		return
	}
	e.mu.Lock()
	out := e.state()
	out["busy"], out["queued"], out["active"] = e.loading, 0, e.active
	out["kv_used"], out["kv_total"], out["handles"] = 100*e.active, 100_000, 0
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(quote(out)))
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Adapter  string `json:"adapter"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.isMisdirected(w, r) {
		return
	}
	status := e.execute(o.Op, o.Model, o.Expected)
	e.world.logf("engine %s gets order %s %s from %s, fence %d, answers %d", e.id, o.Op, o.Model, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of its answer.
func (e *engine) execute(op, model string, expected *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	loadTime, known := e.sizes[model]
	held := slices.Contains(e.models, model)
	switch {
	case e.loading || expected != nil && *expected != e.accepted:
		return http.StatusConflict
	case !known || op != "load" && op != "unload":
		return http.StatusBadRequest
	case held == (op == "load"):
		return http.StatusOK
	}
	e.accepted++
	if op == "unload" {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	}
	e.loading = true
	born := e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.born == born {
			e.models, e.loading = append(e.models, model), false
		}
	})
	return http.StatusAccepted
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	if e.isMisdirected(w, r) {
		return
	}
	model := r.Header.Get(headerModel)
	e.mu.Lock()
	if model != "" && !slices.Contains(e.models, model) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.active++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
	}()
	e.answer(e, w, r)
}

// stamp marks an answer as that of the engine.
func (e *engine) stamp(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerStamp, e.id+"."+r.Header.Get(headerID))
}

// event returns event n of a streamed answer.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// writeEvents streams the events after the one that the request names, up to the last.
func (e *engine) writeEvents(w http.ResponseWriter, r *http.Request, last int, step time.Duration) {
	id := r.Header.Get(headerID)
	from := 0
	if text := r.Header.Get(headerLastEvent); text != "" {
		from, _ = strconv.Atoi(text)
	}
	e.world.logf("engine %s runs %s, Last-Event-Id %q", e.id, id, r.Header.Get(headerLastEvent))
	e.stamp(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= last; n++ {
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write([]byte(event(id, n))); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	e.world.logf("engine %s has ended %s", e.id, id)
}

// parts returns the ids of the parts of a request's prompt.
func parts(r *http.Request) []string {
	var out []string
	for p := range strings.SplitSeq(r.Header.Get(headerPrefix), ",") {
		id, _, _ := strings.Cut(p, ":")
		out = append(out, id)
	}
	return out
}
