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

// Headers of requests and responses.
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
	headerLeaving        = "Server-Leaving"
	headerLimit          = "Server-Limit"
	headerRetryAfter     = "Retry-After"
)

const (
	// queuedPerSlot bounds the queue of an endpoint: 3 waiting requests per slot.
	queuedPerSlot = 3
	// maxMissedHeartbeats is the number of missed heartbeats after which the
	// entry of an endpoint is removed.
	maxMissedHeartbeats = 3
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent = 8
	// defaultTokens is the number of prompt tokens and of generated tokens of a
	// request without a valid token count.
	defaultTokens = 10
)

// EndpointOptions are the settings of an Endpoint.
type EndpointOptions struct {
	ID      string
	Domain  string
	Service string
	// Class is nil for plain services.
	Class *EngineClass
	// Slots is the concurrency limit of a plain service.
	Slots int
	// InitialModels are resident from the start.
	InitialModels []string
	// EventInterval is the time to produce one event of a stream, or a whole plain
	// answer.
	EventInterval time.Duration
	// HeartbeatInterval is the time between two updates of the endpoint's entry.
	HeartbeatInterval time.Duration
	Store             *Store
	Journal           *Journal
	// OnAlive, if set, is called when the endpoint crashes and when it starts again.
	OnAlive func(id string, alive bool)
}

// EndpointFaults are the faults that an Endpoint simulates.
type EndpointFaults struct {
	// LostAnswerRatio is the fraction of requests that run but whose connection
	// is closed without an answer. ErrorRatio is the fraction answered with status
	// 500.
	LostAnswerRatio float64
	ErrorRatio      float64
	// MaxOrderDelay, if set, makes each order run after a random delay of up to
	// this time, without an answer.
	MaxOrderDelay time.Duration
	// TurnAwayRatio is the fraction of requests that are turned away with status 503.
	// These answers have RetryAfter as it is, if it is not empty.
	TurnAwayRatio float64
	RetryAfter    string
	// TurnAwayUnproved leaves out the header that says that the request did not run.
	TurnAwayUnproved bool
	// Slowdown multiplies the EventInterval; values below 1 mean 1.
	Slowdown float64
	// FormRatio is the fraction of answers that have one of Forms.
	FormRatio float64
	Forms     []Form
}

// Endpoint simulates an engine or an endpoint of a plain service.
type Endpoint struct {
	opts       EndpointOptions
	address    string // under which the endpoint registers
	stopped    chan struct{}
	background sync.WaitGroup

	mu             sync.Mutex
	incarnation    int64 // start time in Unix milliseconds
	alive          bool
	draining       bool
	saysLeaving    bool      // in answers, whatever the entry says
	limit          LimitWord // named in answers
	stopsAt        time.Time // end announced by Drain, zero if none
	faults         EndpointFaults
	orderRunning   bool
	acceptedOrders int64
	writes         int64 // of the entry
	models         []*resident
	inMemory       []string
	onDisk         []string
	active         int
	queued         int
	slotFreed      chan struct{}
	conns          map[net.Conn]*connState
	deadly         DeadlyPart
	// silentUntil is when an endpoint that is silent for a moment goes on.
	silentUntil time.Time
}

// DeadlyPart is a part of prompts, or a request, under which an endpoint crashes as it begins to
// write an answer.
type DeadlyPart struct {
	ID string
	// Path is that of the request, for one that crashes endpoints whatever its prompt.
	Path string
	// Down is how long the engine is down.
	Down time.Duration
	// OnCrash, if set, is called at each crash.
	OnCrash func()
}

// resident is a model in the memory of an engine.
type resident struct {
	model           Model
	adapters        []string
	activeByAdapter map[string]int // running requests by adapter, "" for the model alone
	unloading       bool
}

func (r *resident) activeRequests() int {
	n := 0
	for _, x := range r.activeByAdapter {
		n += x
	}
	return n
}

// NewEndpoint returns an endpoint that is not registered yet.
func NewEndpoint(o EndpointOptions) *Endpoint {
	e := &Endpoint{
		opts:      o,
		stopped:   make(chan struct{}),
		slotFreed: make(chan struct{}),
		conns:     make(map[net.Conn]*connState),
	}
	e.resetState(o.InitialModels)
	return e
}

// resetState starts a new incarnation with the given models resident. The caller
// holds e.mu, or the endpoint is not shared yet.
func (e *Endpoint) resetState(models []string) {
	e.incarnation, e.alive, e.draining, e.stopsAt = time.Now().UnixMilli(), true, false, time.Time{}
	e.saysLeaving, e.limit = false, LimitWord{}
	e.orderRunning, e.acceptedOrders, e.models, e.inMemory = false, 0, nil, nil
	for _, name := range models {
		e.addResident(name)
	}
}

// addResident makes a model resident. The caller holds e.mu, or the endpoint is
// not shared yet.
func (e *Endpoint) addResident(name string) {
	for _, m := range e.opts.Class.Models {
		if m.Name == name {
			e.models = append(e.models, &resident{
				model:           m,
				activeByAdapter: make(map[string]int),
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

func (e *Endpoint) findResident(name string) *resident {
	for _, r := range e.models {
		if r.model.Name == name {
			return r
		}
	}
	return nil
}

// Serve serves on a free port of the loopback interface until release is called.
// Pass the address to Register, or the address of a proxy in front of it.
func (e *Endpoint) Serve() (address string, release func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("/", e.serveRequest)
	srv := &http.Server{
		Handler:           e.announce(mux),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         e.track,
		ConnContext:       withConn,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve returns only after release has closed the server, with
		// http.ErrServerClosed.
		_ = srv.Serve(l)
	}()
	return l.Addr().String(), sync.OnceFunc(func() {
		close(e.stopped)
		_ = srv.Close()
		<-done
		e.background.Wait()
	}), nil
}

// announce adds to all answers that the endpoint leaves, while it does.
func (e *Endpoint) announce(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaves() {
			w.Header().Set(headerLeaving, "1")
		}
		for _, text := range e.namedLimit(r) {
			w.Header().Add(headerLimit, text)
		}
		h.ServeHTTP(w, r)
	})
}

// Silence makes the endpoint send nothing in its answers for a time. It is sound and goes on
// afterwards.
func (e *Endpoint) Silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

// work takes the time for one event or answer, and waits for the end of a silence. It
// returns false if the client disconnects first.
func (e *Endpoint) work(r *http.Request, step time.Duration) bool {
	if !pause(r, step) {
		return false
	}
	e.mu.Lock()
	silent := time.Until(e.silentUntil)
	e.mu.Unlock()
	return silent <= 0 || pause(r, silent)
}

func (e *Endpoint) leaves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining || e.saysLeaving
}

// SayLeaving makes the endpoint say in all its answers that it leaves, while its entry
// stays as it is.
func (e *Endpoint) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saysLeaving = true
}

// LimitWord is how an endpoint in need names how many requests a second it takes from all
// machines together.
type LimitWord struct {
	// Values are those of the header; without any the endpoint names no limit.
	Values []string
	// InReports is set if reports and answers to orders name it too.
	InReports bool
}

// NameLimit makes the endpoint name a limit in its answers, or none.
func (e *Endpoint) NameLimit(l LimitWord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = l
}

// namedLimit returns the limit that the answer to a call names.
func (e *Endpoint) namedLimit(r *http.Request) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limit.InReports && r.Header.Get(headerRequestID) == "" {
		return nil
	}
	return e.limit.Values
}

// track records open connections, so that Crash can close them.
func (e *Endpoint) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if !e.alive {
			_ = c.Close()
			return
		}
		e.conns[c] = new(connState)
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	case http.StateActive, http.StateIdle:
		if s := e.conns[c]; s != nil {
			s.idle = state == http.StateIdle
		}
	}
}

// Register writes the endpoint's entry to the store and renews it with each
// heartbeat until the endpoint is released.
func (e *Endpoint) Register(address string) {
	e.mu.Lock()
	e.address = address
	e.mu.Unlock()
	e.writeEntry()
	e.background.Go(func() {
		t := time.NewTicker(e.opts.HeartbeatInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.writeEntry()
			case <-e.stopped:
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

// state returns the fields that entries and reports share. The caller holds e.mu.
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
		"seq":       e.acceptedOrders,
		"born":      e.incarnation,
		"available": map[string][]string{"in_memory": e.inMemory, "on_disk": e.onDisk},
	}
}

// writeEntry writes the endpoint's entry to the store. It does nothing while the
// endpoint is down or the store has an outage for all clients.
func (e *Endpoint) writeEntry() {
	// The lock is held until the entry is written, so that none is written after the
	// endpoint has crashed and its entry was removed.
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.state()
	out["service"], out["addr"], out["zone"], out["version"] = e.opts.Service, e.address, e.opts.Domain, "v1"
	// In an entry seq counts the writes, in a report the orders.
	e.writes++
	out["seq"] = e.writes
	out["slots"], out["cold_left_ms"], out["state"] = e.slotCount(), 0, "ready"
	if e.draining {
		out["state"] = "draining"
	}
	if !e.stopsAt.IsZero() {
		out["remaining_ms"] = max(0, time.Until(e.stopsAt).Milliseconds())
	}
	if !e.alive || e.address == "" || e.opts.Store.faultsFor("").Outage != NoOutage {
		return
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic("site: encode entry: " + err.Error())
	}
	e.opts.Store.PutRow(endpointTable, e.opts.ID, body)
}

func (e *Endpoint) slotCount() int {
	if e.opts.Class != nil {
		return e.opts.Class.Slots
	}
	return e.opts.Slots
}

// SetFaults replaces the faults that the endpoint simulates.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Drain marks the endpoint as draining in its entry. If remaining is above 0, the
// endpoint stops after that time.
func (e *Endpoint) Drain(remaining time.Duration) {
	e.mu.Lock()
	e.draining = true
	if remaining > 0 {
		e.stopsAt = time.Now().Add(remaining)
	}
	e.mu.Unlock()
	e.writeEntry()
	if remaining > 0 {
		e.background.Go(func() {
			select {
			case <-time.After(remaining):
				e.Crash()
			case <-e.stopped:
			}
		})
	}
}

// Crash closes all connections and refuses new ones. All state is lost except the
// list of models on disk. The entry is removed after maxMissedHeartbeats, unless
// Restart comes first.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return
	}
	e.alive = false
	incarnation := e.incarnation
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.reportAlive(false)
	e.background.Go(func() {
		select {
		case <-time.After(maxMissedHeartbeats * e.opts.HeartbeatInterval):
		case <-e.stopped:
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.alive && e.incarnation == incarnation {
			e.opts.Store.DeleteRow(endpointTable, e.opts.ID)
		}
	})
}

// Restart starts a crashed endpoint as a new incarnation without models.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	if !e.alive {
		e.resetState(nil)
	}
	e.mu.Unlock()
	e.reportAlive(true)
	e.writeEntry()
}

func (e *Endpoint) reportAlive(alive bool) {
	if e.opts.OnAlive != nil {
		e.opts.OnAlive(e.opts.ID, alive)
	}
}

// SetDeadlyPart sets the part of prompts under which the engine crashes; the zero value
// ends that.
func (e *Endpoint) SetDeadlyPart(d DeadlyPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadly = d
}

// crashUnder crashes the endpoint if a request is deadly, or a part of its prompt, and
// starts it again after the time that it is down. It reports whether it crashed.
func (e *Endpoint) crashUnder(r *http.Request, parts []string) bool {
	e.mu.Lock()
	d, alive := e.deadly, e.alive
	e.mu.Unlock()
	if (d.ID == "" || !slices.Contains(parts, d.ID)) && (d.Path == "" || d.Path != r.URL.Path) {
		return false
	}
	if alive && d.OnCrash != nil {
		d.OnCrash()
	}
	e.Crash()
	e.background.Go(func() {
		select {
		case <-time.After(d.Down):
			e.Restart()
		case <-e.stopped:
		}
	})
	return true
}

// sharedParts returns the ids of the parts of a prompt without the last one.
func sharedParts(prefix string) []string {
	var out []string
	for part := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(part, ":")
		out = append(out, id)
	}
	return out[:len(out)-1]
}

// Alive reports whether the endpoint is running and not draining.
func (e *Endpoint) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive && !e.draining
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(headerInstance, e.opts.ID)
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) serveReport(w http.ResponseWriter, r *http.Request) {
	if !e.work(r, 0) || e.rejectMisdirected(w, r) {
		return
	}
	e.mu.Lock()
	out := e.state()
	out["busy"], out["queued"], out["active"] = e.orderRunning, e.queued, e.active
	if e.opts.Class != nil {
		out["kv_used"], out["kv_total"] = e.active*e.opts.Class.CacheTokens/(2*e.opts.Class.Slots), e.opts.Class.CacheTokens
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// rejectMisdirected answers 421 to a request that expects another instance, and
// reports whether it did.
func (e *Endpoint) rejectMisdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get(headerExpectInstance); want == "" || want == e.opts.ID {
		return false
	}
	w.Header().Set(headerInstance, e.opts.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// serveRequest executes a caller's request.
func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if r.Header.Get("Authorization") != "" {
		e.opts.Journal.violationf("endpoint %s received the caller's key with request %s", e.opts.ID, id)
	}
	arrival := Arrival{
		At:       time.Now(),
		Request:  id,
		Endpoint: e.opts.ID,
		Leaving:  w.Header().Get(headerLeaving) != "",
		Limit:    strings.Join(w.Header()[headerLimit], ","),
	}
	finished := false
	defer func() {
		e.mu.Lock()
		crashed := !e.alive || e.incarnation != arrival.Incarnation
		e.mu.Unlock()
		switch {
		case e.metSecond(r, arrival.At):
			arrival.Broken = "second answer on its connection"
		case !finished && crashed:
			arrival.Broken = "crash"
		}
		arrival.Ended = time.Now()
		e.opts.Journal.recordArrival(arrival)
	}()
	e.mu.Lock()
	arrival.Incarnation = e.incarnation
	e.mu.Unlock()
	if e.rejectMisdirected(w, r) {
		arrival.Misdirected = true
		return
	}
	e.mu.Lock()
	turnAway := e.faults
	e.mu.Unlock()
	if rand.Float64() < turnAway.TurnAwayRatio {
		if turnAway.RetryAfter != "" {
			w.Header().Set(headerRetryAfter, turnAway.RetryAfter)
			arrival.RetryAfter = turnAway.RetryAfter
		}
		if !turnAway.TurnAwayUnproved {
			w.Header().Set(headerNotRun, "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	tokens := parseTokenCounts(r.Header.Get(headerTokens))
	parts := sharedParts(r.Header.Get(headerPrefix))
	status, leave := e.acquireSlot(r, model, adapter)
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set(headerNotRun, "1")
		}
		arrival.Misdirected = status == http.StatusMisdirectedRequest
		w.WriteHeader(status)
		return
	}
	defer leave()
	e.mu.Lock()
	faults, incarnation := e.faults, e.incarnation
	e.mu.Unlock()
	e.opts.Journal.recordExecution(Execution{
		At:          time.Now(),
		Request:     id,
		Target:      r.Method + " " + r.URL.RequestURI(),
		Endpoint:    e.opts.ID,
		Incarnation: incarnation,
		Service:     e.opts.Service,
		Workspace:   r.Header.Get(headerTenant),
		Tokens:      float64(tokens[0] + tokens[1]),
		Parts:       parts,
		LastEventID: r.Header.Get(headerLastEvent),
	})
	if rand.Float64() < faults.LostAnswerRatio {
		arrival.Broken = "answer lost"
		panic(http.ErrAbortHandler)
	}
	form := faults.drawForm()
	arrival.Form = form
	switch form {
	case Unframed:
		// net/http ends such an answer with its connection.
		w.Header().Set("Transfer-Encoding", "identity")
	case Early:
		// An error means a connection that cannot do it; the body is read first then.
		_ = http.NewResponseController(w).EnableFullDuplex()
		defer e.readBody(r, id, bodyPause)
	case Repeated, ForeignAfter:
		defer e.writeSecond(r, id, form)
	case ResetPart, OddHead:
		arrival.Broken = "answer that is none"
		e.writeOdd(w, id, form)
		return
	case EndlessHead, EndlessBody:
		arrival.Broken = "answer without end"
		e.writeEndless(w, id, form)
		return
	case Usual:
	}
	if form != Early && !e.readBody(r, id, 0) {
		return
	}
	w.Header().Set(headerStamp, e.opts.ID+"."+id)
	step := time.Duration(float64(e.opts.EventInterval) * max(1, faults.Slowdown))
	if rand.Float64() < faults.ErrorRatio {
		w.WriteHeader(http.StatusInternalServerError)
		finished = true
		return
	}
	if e.opts.Class == nil {
		if !e.work(r, step) {
			return
		}
		if e.crashUnder(r, nil) {
			panic(http.ErrAbortHandler)
		}
		if form != Unframed {
			w.Header().Set("Content-Length", strconv.Itoa(len(PlainAnswer(id))))
		}
		fmt.Fprint(w, PlainAnswer(id))
		finished = http.NewResponseController(w).Flush() == nil
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if after := r.Header.Get(headerLastEvent); after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			e.opts.Journal.violationf("request %s has an invalid Last-Event-Id %q", id, after)
		}
		from = n
	}
	for i := from + 1; i <= Events(tokens[1]); i++ {
		if !e.work(r, step) {
			return
		}
		if i == from+1 && e.crashUnder(r, parts) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, Event(id, i))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	finished = true
}

// PlainAnswer returns the body of a plain service's answer to a request.
func PlainAnswer(id string) string { return "done " + id + "\n" }

// Event returns event i, from 1, of the streamed answer to a request.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i, id, i) }

// Events returns the number of events in an answer with the given number of tokens.
func Events(tokens int) int { return max(1, (tokens+TokensPerEvent-1)/TokensPerEvent) }

// pause waits for d. It returns false if the client disconnects first.
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

// parseTokenCounts returns the prompt and generated tokens of a request.
func parseTokenCounts(text string) [2]int {
	in, out, _ := strings.Cut(text, ",")
	a, err1 := strconv.Atoi(in)
	b, err2 := strconv.Atoi(out)
	if err1 != nil || err2 != nil {
		return [2]int{defaultTokens, defaultTokens}
	}
	return [2]int{a, b}
}

// acquireSlot waits in the queue for a free slot. If the request is refused, it
// returns the HTTP status; otherwise status is 0 and leave frees the slot.
func (e *Endpoint) acquireSlot(r *http.Request, model, adapter string) (status int, leave func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queued >= e.slotCount()*queuedPerSlot {
		return http.StatusServiceUnavailable, nil
	}
	e.queued++
	for e.active >= e.slotCount() {
		freed := e.slotFreed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
		case <-e.stopped:
		}
		e.mu.Lock()
		if r.Context().Err() != nil {
			e.queued--
			return http.StatusServiceUnavailable, nil
		}
	}
	e.queued--
	var res *resident
	if e.opts.Class != nil {
		res = e.findResident(model)
		switch {
		case res == nil, adapter != "" && !slices.Contains(res.adapters, adapter):
			return http.StatusMisdirectedRequest, nil
		case res.unloading:
			return http.StatusServiceUnavailable, nil
		}
		res.activeByAdapter[adapter]++
	}
	e.active++
	return 0, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		if res != nil {
			res.activeByAdapter[adapter]--
		}
		close(e.slotFreed)
		e.slotFreed = make(chan struct{})
	}
}

// ID returns the name under which the endpoint registers.
func (e *Endpoint) ID() string { return e.opts.ID }
