package site

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The headers of requests and answers.
const (
	headerRequestID      = "Trefoildale-Request-Id"
	headerDeadline       = "Trefoildale-Deadline-Ms"
	headerModel          = "Trefoildale-Model"
	headerTokens         = "Trefoildale-Token-Count"
	headerPrefix         = "Trefoildale-Prompt-Prefix"
	headerTenant         = "Trefoildale-Tenant"
	headerExpectInstance = "Trefoildale-Expect-Instance"
	headerInstance       = "Trefoildale-Instance-Id"
	headerStamp          = "Trefoildale-Server-Stamp"
	headerNotRun         = "Trefoildale-Not-Run"
	headerLastEvent      = "Last-Event-Id"
)

const (
	// queuePart is how many requests an endpoint queues for each slot.
	queuePart = 3
	// lapseBeats is after how many missed heartbeats an entry is removed.
	lapseBeats = 3
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens = 8
	// defaultTokens is the size of a request that names none.
	defaultTokens = 10
)

// EndpointOptions are the settings of an Endpoint.
type EndpointOptions struct {
	ID      string
	Domain  string
	Service string
	// Class is nil for plain services.
	Class *EngineClass
	// Slots is how many requests a plain service runs at once.
	Slots int
	// Holds are the models that are there at the start.
	Holds []string
	// Step is the time for an event of a stream, or for a whole plain answer.
	Step time.Duration
	// Beat is the time between two heartbeats.
	Beat    time.Duration
	Store   *Store
	Journal *Journal
}

// EndpointFaults are what is wrong with an Endpoint.
type EndpointFaults struct {
	// LoseAnswers is the part of the requests that run and break off unanswered,
	// Fail the part that is answered with an error.
	LoseAnswers float64
	Fail        float64
	// LateOrders is how much later, at most, orders are carried out without an answer.
	LateOrders time.Duration
	// Slow multiplies the time for each step, 0 means 1.
	Slow float64
}

// Endpoint stands in for an engine or for an endpoint of a plain service.
type Endpoint struct {
	o       EndpointOptions
	address string // that others are told
	stop    chan struct{}
	work    sync.WaitGroup

	mu       sync.Mutex
	born     int64
	alive    bool
	draining bool
	leaves   time.Time // zero when it stays
	faults   EndpointFaults
	busy     bool
	accepted int64
	models   []*resident
	inMemory []string
	onDisk   []string
	active   int
	queued   int
	freed    chan struct{}
	conns    map[net.Conn]struct{}
}

type resident struct {
	model    Model
	adapters []string
	running  map[string]int // by adapter, "" for the model alone
	closing  bool
}

func (r *resident) runs() int {
	n := 0
	for _, x := range r.running {
		n += x
	}
	return n
}

// NewEndpoint returns an endpoint that is not registered yet.
func NewEndpoint(o EndpointOptions) *Endpoint {
	e := &Endpoint{
		o:     o,
		stop:  make(chan struct{}),
		freed: make(chan struct{}),
		conns: make(map[net.Conn]struct{}),
	}
	e.begin(o.Holds)
	return e
}

// begin makes the endpoint a new incarnation. The lock is held, or nobody else
// knows the endpoint.
func (e *Endpoint) begin(holds []string) {
	e.born, e.alive, e.draining, e.leaves = time.Now().UnixMilli(), true, false, time.Time{}
	e.busy, e.accepted, e.models, e.inMemory = false, 0, nil, nil
	for _, name := range holds {
		e.add(name)
	}
}

// add makes a model resident. The lock is held, or nobody else knows the endpoint.
func (e *Endpoint) add(name string) {
	for _, m := range e.o.Class.Models {
		if m.Name == name {
			e.models = append(e.models, &resident{
				model:   m,
				running: make(map[string]int),
			})
		}
	}
	if !slices.Contains(e.inMemory, name) {
		e.inMemory = append(e.inMemory, name)
	}
	if !slices.Contains(e.onDisk, name) {
		e.onDisk = append(e.onDisk, name)
	}
}

func (e *Endpoint) find(name string) *resident {
	for _, r := range e.models {
		if r.model.Name == name {
			return r
		}
	}
	return nil
}

// Serve serves on a free port until release. The address is what Register needs,
// unless a proxy stands before it.
func (e *Endpoint) Serve() (address string, release func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("/", e.request)
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         e.track,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The error tells only that release closed the server.
		_ = srv.Serve(l)
	}()
	return l.Addr().String(), sync.OnceFunc(func() {
		close(e.stop)
		_ = srv.Close()
		<-done
		e.work.Wait()
	}), nil
}

func (e *Endpoint) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if !e.alive {
			_ = c.Close()
			return
		}
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// Register announces the endpoint in the store, and keeps doing so.
func (e *Endpoint) Register(address string) {
	e.mu.Lock()
	e.address = address
	e.mu.Unlock()
	e.beat()
	e.work.Go(func() {
		t := time.NewTicker(e.o.Beat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.beat()
			case <-e.stop:
				return
			}
		}
	})
}

type wireResident struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// state is what the endpoint says of itself in its entry and in reports. The
// lock is held.
func (e *Endpoint) state() map[string]any {
	models := []wireResident{}
	for _, r := range e.models {
		models = append(models, wireResident{
			Name:     r.model.Name,
			Version:  1,
			Adapters: append([]string{}, r.adapters...),
		})
	}
	return map[string]any{
		"stage":     "mixed",
		"models":    models,
		"seq":       e.accepted,
		"born":      e.born,
		"available": map[string][]string{"in_memory": e.inMemory, "on_disk": e.onDisk},
	}
}

// beat writes the entry, unless the store answers nobody.
func (e *Endpoint) beat() {
	e.mu.Lock()
	out := e.state()
	out["service"], out["addr"], out["zone"], out["version"] = e.o.Service, e.address, e.o.Domain, "v1"
	out["slots"], out["cold_left_ms"], out["state"] = e.slots(), 0, "ready"
	if e.draining {
		out["state"] = "draining"
	}
	if !e.leaves.IsZero() {
		out["remaining_ms"] = max(0, time.Until(e.leaves).Milliseconds())
	}
	alive, address := e.alive, e.address
	e.mu.Unlock()
	if !alive || address == "" || e.o.Store.fault("").Outage != Up {
		return
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic("site: encode entry: " + err.Error())
	}
	e.o.Store.Put(endpointTable, e.o.ID, body)
}

func (e *Endpoint) slots() int {
	if e.o.Class != nil {
		return e.o.Class.Slots
	}
	return e.o.Slots
}

// SetFaults changes what is wrong with the endpoint.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Drain announces that the endpoint leaves. With a time it is gone then.
func (e *Endpoint) Drain(remaining time.Duration) {
	e.mu.Lock()
	e.draining = true
	if remaining > 0 {
		e.leaves = time.Now().Add(remaining)
	}
	e.mu.Unlock()
	e.beat()
	if remaining > 0 {
		e.work.Go(func() {
			select {
			case <-time.After(remaining):
				e.Crash()
			case <-e.stop:
			}
		})
	}
}

// Crash ends all connections and forgets everything but the copies on disk. The
// entry goes after the missed heartbeats, unless Restart comes first.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return
	}
	e.alive = false
	born := e.born
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.work.Go(func() {
		select {
		case <-time.After(lapseBeats * e.o.Beat):
		case <-e.stop:
			return
		}
		e.mu.Lock()
		gone := !e.alive && e.born == born
		e.mu.Unlock()
		if gone {
			e.o.Store.Drop(endpointTable, e.o.ID)
		}
	})
}

// Restart starts a crashed endpoint again, empty.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	if !e.alive {
		e.begin(nil)
	}
	e.mu.Unlock()
	e.beat()
}

// Alive reports whether the endpoint runs and stays.
func (e *Endpoint) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive && !e.draining
}

func (e *Endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(headerInstance, e.o.ID)
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) report(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	out := e.state()
	out["busy"], out["queued"], out["active"] = e.busy, e.queued, e.active
	if e.o.Class != nil {
		out["kv_used"], out["kv_total"] = e.active*e.o.Class.CacheTokens/(2*e.o.Class.Slots), e.o.Class.CacheTokens
	}
	e.mu.Unlock()
	answer(w, http.StatusOK, out)
}

func (e *Endpoint) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get(headerExpectInstance); want == "" || want == e.o.ID {
		return false
	}
	w.Header().Set(headerInstance, e.o.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// request runs a request of a caller.
func (e *Endpoint) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if r.Header.Get("Authorization") != "" {
		e.o.Journal.wrongf("endpoint %s got the key of request %s", e.o.ID, id)
	}
	if e.misdirected(w, r) {
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	tokens := tokensOf(r.Header.Get(headerTokens))
	status, leave := e.enter(r, model, adapter)
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set(headerNotRun, "1")
		}
		w.WriteHeader(status)
		return
	}
	defer leave()
	e.mu.Lock()
	faults, born := e.faults, e.born
	e.mu.Unlock()
	e.o.Journal.arrived(Arrival{
		At:        time.Now(),
		Request:   id,
		Target:    r.Method + " " + r.URL.RequestURI(),
		Endpoint:  e.o.ID,
		Born:      born,
		Service:   e.o.Service,
		Workspace: r.Header.Get(headerTenant),
		Tokens:    float64(tokens[0] + tokens[1]),
		After:     r.Header.Get(headerLastEvent),
	})
	if rand.Float64() < faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerStamp, e.o.ID+"."+id)
	step := time.Duration(float64(e.o.Step) * max(1, faults.Slow))
	if rand.Float64() < faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.o.Class == nil {
		if pause(r, step) {
			fmt.Fprint(w, PlainAnswer(id))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if after := r.Header.Get(headerLastEvent); after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			e.o.Journal.wrongf("request %s goes on after event %q", id, after)
		}
		from = n
	}
	for i := from + 1; i <= Events(tokens[1]); i++ {
		if !pause(r, step) {
			return
		}
		fmt.Fprint(w, Event(id, i))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// PlainAnswer is the body of a plain service's answer to a request.
func PlainAnswer(id string) string { return "done " + id + "\n" }

// Event is one event of the answer to a request.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i, id, i) }

// Events is how many events an answer of so many tokens has.
func Events(tokens int) int { return max(1, (tokens+EventTokens-1)/EventTokens) }

func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func tokensOf(text string) [2]int {
	in, out, _ := strings.Cut(text, ",")
	a, err1 := strconv.Atoi(in)
	b, err2 := strconv.Atoi(out)
	if err1 != nil || err2 != nil {
		return [2]int{defaultTokens, defaultTokens}
	}
	return [2]int{a, b}
}

// enter takes a slot, waiting in the queue for it. It returns a status when the
// request is turned away.
func (e *Endpoint) enter(r *http.Request, model, adapter string) (status int, leave func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queued >= e.slots()*queuePart {
		return http.StatusServiceUnavailable, nil
	}
	e.queued++
	for e.active >= e.slots() {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
		case <-e.stop:
		}
		e.mu.Lock()
		if r.Context().Err() != nil {
			e.queued--
			return http.StatusServiceUnavailable, nil
		}
	}
	e.queued--
	var held *resident
	if e.o.Class != nil {
		held = e.find(model)
		switch {
		case held == nil, adapter != "" && !slices.Contains(held.adapters, adapter):
			return http.StatusMisdirectedRequest, nil
		case held.closing:
			return http.StatusServiceUnavailable, nil
		}
		held.running[adapter]++
	}
	e.active++
	return 0, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		if held != nil {
			held.running[adapter]--
		}
		close(e.freed)
		e.freed = make(chan struct{})
	}
}

// ID is the name under which the endpoint registers.
func (e *Endpoint) ID() string { return e.o.ID }
