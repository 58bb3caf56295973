// Package model simulates an engine that serves language models. It models the
// timing of continuous batching, the prompt-prefix cache, and the memory of
// models and adapters. Answers consist of words from a fixed list.
package model

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// Options are the settings of an Engine. Zero values mean the defaults.
type Options struct {
	Name string
	// MemoryMiB defaults to 81,920.
	MemoryMiB int64
	// Speed is the generated tokens per second of all running requests
	// together; the default is 1,000.
	Speed float64
	// StreamSpeed bounds the generated tokens per second of one request; the
	// default is 100.
	StreamSpeed float64
	// PrefillSpeed is the prompt tokens per second; the default is 20 times Speed.
	PrefillSpeed float64
	// MaxRunning bounds the batch, MaxQueued the requests that wait for it.
	// The defaults are 64 and 1,000.
	MaxRunning int
	MaxQueued  int
	// MinAnswer is the minimum length of an answer as a fraction of max_tokens.
	// The length is derived from a hash of the prompt. The default of 1 gives
	// answers of exactly max_tokens.
	MinAnswer float64
	// ResumeGrace is how long a stream continues without a reader before it is
	// cancelled; the default is 5 s.
	ResumeGrace time.Duration
	// Fencing makes the engine refuse orders with a stale fencing token,
	// Deadlines those that arrive after their deadline.
	Fencing   bool
	Deadlines bool
	// CheckMemory makes the engine refuse an order that exceeds its memory.
	// Without it, the order is executed and counted as an overcommit.
	CheckMemory bool
	// Weights is the base URL of the weight store. Without one, loads run at
	// 8,192 MiB/s.
	Weights string
	// Resident lists the models and adapters in memory at the start.
	Resident []engine.Resident
	// CacheTokens bounds the prompt-prefix cache; the default is 65,536.
	CacheTokens int64
	// CacheLag delays cache events. Every CacheGap-th event is lost, none if 0.
	CacheLag time.Duration
	CacheGap int64
	// ReportLag is the minimum interval between two load samples. A report
	// repeats the last sample until it has reached this age.
	ReportLag time.Duration
	// AdapterMin and AdapterMax bound the random time to load an adapter while at
	// most AdapterParallel are loading; with more it grows in proportion. The
	// defaults are 5 ms, 10 ms and 16.
	AdapterMin      time.Duration
	AdapterMax      time.Duration
	AdapterParallel int
}

func (o *Options) setDefaults() {
	setDefault(&o.Name, "engine")
	setDefault(&o.MemoryMiB, 81_920)
	setDefault(&o.Speed, 1000)
	setDefault(&o.StreamSpeed, 100)
	setDefault(&o.PrefillSpeed, 20*o.Speed)
	setDefault(&o.MaxRunning, 64)
	setDefault(&o.MaxQueued, 1000)
	setDefault(&o.MinAnswer, 1)
	setDefault(&o.ResumeGrace, 5*time.Second)
	setDefault(&o.CacheTokens, 65_536)
	setDefault(&o.AdapterMin, 5*time.Millisecond)
	setDefault(&o.AdapterMax, 10*time.Millisecond)
	setDefault(&o.AdapterParallel, 16)
}

// Validate reports all settings that are out of range.
func (o Options) Validate() error {
	var errs []error
	check := func(ok bool, name, want string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s must %s", name, want))
		}
	}
	check(o.MemoryMiB >= 0, "memory-mib", "not be negative")
	check(o.Speed >= 0, "speed", "not be negative")
	check(o.StreamSpeed >= 0, "stream-speed", "not be negative")
	check(o.PrefillSpeed >= 0, "prefill-speed", "not be negative")
	check(o.MaxRunning >= 0, "max-running", "not be negative")
	check(o.MaxQueued >= 0, "max-queued", "not be negative")
	check(o.MinAnswer >= 0 && o.MinAnswer <= 1, "min-answer", "be between 0 and 1")
	check(o.CacheTokens >= 0, "cache-tokens", "not be negative")
	check(o.CacheGap != 1 && o.CacheGap >= 0, "cache-gap", "be 0 or at least 2; 1 loses every event")
	check(o.AdapterMin >= 0 && o.AdapterMin <= o.AdapterMax, "adapter-min", "be between 0 and adapter-max")
	check(o.AdapterParallel >= 0, "adapter-parallel", "not be negative")
	used := int64(0)
	for _, r := range o.Resident {
		used += r.MemoryMiB
	}
	check(o.MemoryMiB == 0 || used <= o.MemoryMiB, "resident", "fit into memory-mib")
	return errors.Join(errs...)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Stats are the counters of an Engine.
type Stats struct {
	Requests  int64 `json:"requests"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Tokens    int64 `json:"tokens"`
	// RepeatedIDs counts requests with the id of an earlier request.
	RepeatedIDs int64 `json:"repeated-ids"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
	// LateRequests counts requests that arrived more than 3 s after the engine
	// was set to leaving.
	LateRequests int64 `json:"late-requests"`
	Loads        int64 `json:"loads"`
	AdapterLoads int64 `json:"adapter-loads"`
	Orders       int64 `json:"orders"`
	// Overcommits counts orders that were executed although they exceeded the
	// memory.
	Overcommits int64 `json:"overcommits"`
	// NoMemory, StaleFence and DeadlinePassed count refused orders.
	NoMemory       int64 `json:"no-memory"`
	StaleFence     int64 `json:"stale-fence"`
	DeadlinePassed int64 `json:"deadline-passed"`
	// UsedMiB is the memory of resident and loading models and adapters; PeakMiB
	// is its maximum.
	UsedMiB       int64 `json:"used-mib"`
	PeakMiB       int64 `json:"peak-mib"`
	CacheHits     int64 `json:"cache-hit-tokens"`
	PrefillTokens int64 `json:"prefill-tokens"`
}

// leaveGrace is the time after SetLeaving during which requests are not counted
// as late.
const leaveGrace = 3 * time.Second

// Engine simulates one engine.
type Engine struct {
	opts    Options
	faults  *fault.Set
	weights *http.Client
	wake    chan struct{}
	done    chan struct{}
	// ctx is cancelled when the engine is released.
	ctx  context.Context
	work sync.WaitGroup

	mu          sync.Mutex
	incarnation string
	// restarts counts restarts. Orders that were running at a restart compare it
	// to discard their result.
	restarts        int
	speed           float64
	role            engine.Role
	leaving         bool
	leavingSince    time.Time
	fence           engine.Fence
	resident        map[resKey]*resident
	orders          map[string]*order
	orderIDs        []string
	loadingAdapters int
	requests        map[string]*request
	active          []*request
	finished        []*request
	seq             int64
	cache           *cache
	imported        map[string]bool
	sample          engine.Load
	sampledTokens   int64
	stats           Stats
	lastStale       []engine.CacheEvent
}

var incarnations atomic.Int64

func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatInt(incarnations.Add(1), 36)
}

// New returns an Engine and a function that releases it.
func New(opts Options) (*Engine, func()) {
	opts.setDefaults()
	faults, releaseFaults := fault.NewSet()
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{
		DialContext: conn.Judged(nil),
	}
	e := &Engine{
		opts:    opts,
		faults:  faults,
		weights: &http.Client{Transport: transport},
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		ctx:     ctx,
		speed:   opts.Speed,
	}
	e.reset()
	for _, r := range opts.Resident {
		e.resident[keyOf(r)] = &resident{Resident: r}
	}
	e.updateMemoryStats()
	go e.run()
	return e, sync.OnceFunc(func() {
		cancel()
		releaseFaults()
		e.work.Wait()
		<-e.done
		transport.CloseIdleConnections()
	})
}

// reset initializes the state as after a start of the process. The caller holds
// e.mu, or the engine is not shared yet.
func (e *Engine) reset() {
	e.incarnation = newIncarnation()
	e.role = engine.RoleMixed
	e.fence = engine.Fence{}
	e.resident = map[resKey]*resident{}
	e.orders = map[string]*order{}
	e.orderIDs = nil
	e.loadingAdapters = 0
	e.requests = map[string]*request{}
	e.active = nil
	e.finished = nil
	e.cache = newCache(e.opts.CacheTokens)
	e.imported = map[string]bool{}
	e.sample = engine.Load{}
	e.lastStale = nil
}

// Restart simulates a crash and restart: models and adapters, orders, streams and
// the highest fencing token are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.active {
		e.finish(r, reasonCancelled)
	}
	e.restarts++
	e.reset()
	e.updateMemoryStats()
}

// SetLeaving sets whether the engine reports itself as leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && !e.leaving {
		e.leavingSince = time.Now()
	}
	e.leaving = leaving
}

// SetSpeed sets the generated tokens per second of all requests together.
func (e *Engine) SetSpeed(speed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = speed
}

// Faults returns the set of active faults.
func (e *Engine) Faults() *fault.Set { return e.faults }

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.complete(w, r, true)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.complete(w, r, false)
	})
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders/{id}", e.serveOrderStatus)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("GET /kv/{id}", e.exportKV)
	mux.HandleFunc("PUT /kv/{id}", e.importKV)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		reply.JSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("PUT /admin/settings", e.adminSettings)
	return e.faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reply.CarriesKey(r.Header) {
			e.mu.Lock()
			e.stats.KeysSeen++
			e.mu.Unlock()
			reply.Refuse(w, http.StatusBadRequest, engine.CodeKeyReceived, "the request carries a caller's key")
			return
		}
		e.mu.Lock()
		if e.leaving {
			w.Header().Set("X-Leaving", "1")
		}
		e.mu.Unlock()
		mux.ServeHTTP(w, r)
	}))
}

func (e *Engine) adminSettings(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Leaving *bool    `json:"leaving"`
		Speed   *float64 `json:"speed"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Speed != nil && *body.Speed <= 0 {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "want leaving, or a speed above 0")
		return
	}
	if body.Leaving != nil {
		e.SetLeaving(*body.Leaving)
	}
	if body.Speed != nil {
		e.SetSpeed(*body.Speed)
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	stale := e.faults.Active(fault.StaleReports, r)
	e.mu.Lock()
	now := time.Now()
	age := now.Sub(e.sample.Sampled)
	if e.sample.Sampled.IsZero() || !stale && age >= e.opts.ReportLag {
		running := min(len(e.active), e.opts.MaxRunning)
		tokens := 0.0
		if !e.sample.Sampled.IsZero() && age > 0 {
			tokens = float64(e.stats.Tokens-e.sampledTokens) / age.Seconds()
		}
		e.sampledTokens = e.stats.Tokens
		e.sample = engine.Load{
			Running:         running,
			Queued:          len(e.active) - running,
			TokensPerSecond: tokens,
			Sampled:         now,
			Leaving:         e.leaving,
			Incarnation:     e.incarnation,
		}
	}
	sample := e.sample
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, sample)
}
