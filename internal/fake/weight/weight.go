// Package weight simulates the weight store, from which engines download models.
// It limits the rate and the number of concurrent loads.
package weight

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// Options are the settings of a Store. Zero values mean the defaults.
type Options struct {
	// LoadsPerSecond limits the starts of loads, Parallel the concurrent loads.
	// The defaults are 2 and 4.
	LoadsPerSecond float64
	Parallel       int
	// MiBPerSecond is the speed of one load; the default is 8,192.
	MiBPerSecond float64
	// MaxQueued bounds the waiting loads; further ones are refused. The default
	// is 1,000.
	MaxQueued int
}

// Validate reports all settings that are out of range.
func (o Options) Validate() error {
	var errs []error
	if o.LoadsPerSecond < 0 {
		errs = append(errs, errors.New("loads must not be negative"))
	}
	if o.Parallel < 0 {
		errs = append(errs, errors.New("parallel must not be negative"))
	}
	if o.MiBPerSecond < 0 {
		errs = append(errs, errors.New("mib-per-second must not be negative"))
	}
	if o.MaxQueued < 0 {
		errs = append(errs, errors.New("max-queued must not be negative"))
	}
	return errors.Join(errs...)
}

// Stats are the counters of a Store.
type Stats struct {
	Loads   int64 `json:"loads"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	// Waited counts loads that waited more than 1 ms for a limit.
	Waited  int64 `json:"waited"`
	Refused int64 `json:"refused"`
}

// Store simulates the weight store.
type Store struct {
	opts   Options
	faults *fault.Set
	rate   *rate.Limiter
	slots  chan struct{}

	mu    sync.Mutex
	stats Stats
}

// New returns a Store and a function that releases it.
func New(opts Options) (*Store, func()) {
	if opts.LoadsPerSecond == 0 {
		opts.LoadsPerSecond = 2
	}
	if opts.Parallel == 0 {
		opts.Parallel = 4
	}
	if opts.MiBPerSecond == 0 {
		opts.MiBPerSecond = 8192
	}
	if opts.MaxQueued == 0 {
		opts.MaxQueued = 1000
	}
	faults, release := fault.NewSet()
	return &Store{
		opts:   opts,
		faults: faults,
		rate:   rate.NewLimiter(rate.Limit(opts.LoadsPerSecond), max(1, int(opts.LoadsPerSecond))),
		slots:  make(chan struct{}, opts.Parallel),
	}, release
}

// Faults returns the set of active faults.
func (s *Store) Faults() *fault.Set { return s.faults }

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.serveLoad)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, s.Stats())
	})
	return s.faults.Wrap(mux)
}

// Loaded is the response to a load. It contains no weights and is sent after the
// time that their transfer would take.
type Loaded struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	MemoryMiB int64  `json:"memory-mib"`
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	mib, err := strconv.ParseInt(r.URL.Query().Get("mib"), 10, 64)
	if err != nil || mib < 1 {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "mib must be a number above 0")
		return
	}
	if !s.enqueue() {
		w.Header().Set("Retry-After", "1")
		reply.Refuse(w, http.StatusTooManyRequests, "rate-limited", "too many loads are waiting")
		return
	}
	if !s.waitForLimits(r.Context()) {
		s.dequeue()
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.stats.Queued--
	s.stats.Running++
	s.stats.Loads++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.stats.Running--
		s.mu.Unlock()
	}()
	if !sleep(r.Context(), time.Duration(float64(mib)/s.opts.MiBPerSecond*float64(time.Second))) {
		return
	}
	reply.JSON(w, http.StatusOK, Loaded{
		Model:     r.PathValue("model"),
		Version:   r.PathValue("version"),
		MemoryMiB: mib,
	})
}

// enqueue counts a waiting load. It returns false if the queue is full.
func (s *Store) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Queued >= s.opts.MaxQueued {
		s.stats.Refused++
		return false
	}
	s.stats.Queued++
	return true
}

func (s *Store) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Queued--
}

// waitForLimits waits for a slot and for the rate limit. It returns false if the
// client disconnects first.
func (s *Store) waitForLimits(ctx context.Context) bool {
	begin := time.Now()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if err := s.rate.Wait(ctx); err != nil {
		<-s.slots
		return false
	}
	// Without a wait, this takes less than a millisecond.
	if time.Since(begin) > time.Millisecond {
		s.mu.Lock()
		s.stats.Waited++
		s.mu.Unlock()
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
