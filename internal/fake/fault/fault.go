// Package fault makes a stand-in misbehave on request. It wraps the stand-in's
// handler and serves an admin interface:
//
//	GET    /faults/        lists the faults with their hits
//	POST   /faults/        adds a fault, for example {"kind":"delay","path":"/load","delay":"2s"}
//	DELETE /faults/{kind}  clears the faults of a kind
//	DELETE /faults/        clears all
package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/reply"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Kind is a kind of misbehaviour.
type Kind string

// The kinds of fault.
const (
	// Delay holds a request before it is handled. A request whose client
	// leaves in the meantime has no effect.
	Delay Kind = "delay"
	// Refuse answers 503 and states that the request had no effect.
	Refuse Kind = "refuse"
	// LoseAnswer handles the request and closes the connection without an answer.
	LoseAnswer Kind = "lose-answer"
	// Freeze holds requests until the fault is cleared. They are then handled
	// even if their clients have left, as a suspended process would.
	Freeze Kind = "freeze"
	// StaleReports repeats the last report (load, cache events, VM list).
	StaleReports Kind = "stale-reports"
	// LateOrders closes the connection and handles the request after the delay.
	// Without a path it applies to /orders.
	LateOrders Kind = "late-orders"
	// Duplicate handles the request twice; the client gets the second answer.
	Duplicate Kind = "duplicate"
	// WrongID answers with the id of another request.
	WrongID Kind = "wrong-request-id"
	// Truncate closes the connection after Bytes bytes of the answer's body.
	Truncate Kind = "truncate"
	// Garble overwrites the answer's body after Bytes bytes.
	Garble Kind = "garble"
)

var kinds = []Kind{Delay, Refuse, LoseAnswer, Freeze, StaleReports, LateOrders, Duplicate, WrongID, Truncate, Garble}

// Fault is one misbehaviour.
type Fault struct {
	Kind Kind `json:"kind"`
	// Method and Path restrict the fault to requests with the method and a path
	// with this prefix; empty means all.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Count is how many requests it affects; 0 means all until it is cleared.
	Count int `json:"count,omitempty"`
	// Delay applies to Delay and LateOrders.
	Delay spec.Duration `json:"delay,omitempty"`
	// Bytes applies to Truncate and Garble.
	Bytes int `json:"bytes,omitempty"`
	// Hits is how many requests it has affected.
	Hits int `json:"hits"`
}

// Validate reports the first setting that makes no sense.
func (f Fault) Validate() error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("fault: unknown kind %q", f.Kind)
	case f.Count < 0 || f.Bytes < 0 || f.Delay < 0:
		return fmt.Errorf("fault: %s: count, bytes and delay must not be negative", f.Kind)
	default:
		return nil
	}
}

type entry struct {
	Fault
	cleared chan struct{}
}

// Set holds the active faults of one stand-in.
type Set struct {
	mu      sync.Mutex
	entries []*entry
	closed  chan struct{}
	late    sync.WaitGroup
}

// NewSet returns an empty Set and a function that clears it and ends what it
// has started.
func NewSet() (*Set, func()) {
	s := &Set{
		closed: make(chan struct{}),
	}
	return s, sync.OnceFunc(func() {
		close(s.closed)
		s.Clear("")
		s.late.Wait()
	})
}

// Add activates a fault.
func (s *Set) Add(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.Hits = 0
	if f.Kind == LateOrders && f.Path == "" {
		f.Path = "/orders"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, &entry{
		Fault:   f,
		cleared: make(chan struct{}),
	})
	return nil
}

// Clear ends the faults of a kind, or all when kind is empty.
func (s *Set) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
		if kind != "" && e.Kind != kind {
			return false
		}
		close(e.cleared)
		return true
	})
}

// List returns the faults that were added and not cleared, with their hits.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Fault, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.Fault)
	}
	return out
}

// Active reports whether the fault applies to the request, and counts a hit.
// Stand-ins call it for the kinds that only they can imitate.
func (s *Set) Active(kind Kind, r *http.Request) bool {
	_, ok := s.take(kind, r)
	return ok
}

func (s *Set) take(kind Kind, r *http.Request) (*entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.Kind != kind || e.Count > 0 && e.Hits >= e.Count {
			continue
		}
		if e.Method != "" && e.Method != r.Method || !strings.HasPrefix(r.URL.Path, e.Path) {
			continue
		}
		e.Hits++
		return e, true
	}
	return nil, false
}

// Wrap returns a handler that serves the admin interface under /faults/ and
// applies the active faults to all other requests. It echoes X-Request-Id.
func (s *Set) Wrap(next http.Handler) http.Handler {
	admin := s.admin()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/faults/") {
			admin.ServeHTTP(w, r)
			return
		}
		if id := r.Header.Get(reply.RequestID); id != "" {
			w.Header().Set(reply.RequestID, id)
		}
		s.serve(w, r, next)
	})
}

func (s *Set) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults/", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, s.List())
	})
	mux.HandleFunc("POST /faults/", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f)
		if err == nil {
			err = s.Add(f)
		}
		if err != nil {
			reply.Refuse(w, http.StatusBadRequest, "bad-fault", err.Error())
			return
		}
		reply.JSON(w, http.StatusOK, s.List())
	})
	mux.HandleFunc("DELETE /faults/{kind...}", func(w http.ResponseWriter, r *http.Request) {
		s.Clear(Kind(r.PathValue("kind")))
		reply.JSON(w, http.StatusOK, s.List())
	})
	return mux
}

func (s *Set) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if e, ok := s.take(LateOrders, r); ok {
		s.serveLate(r, next, time.Duration(e.Delay))
		panic(http.ErrAbortHandler)
	}
	if e, ok := s.take(Freeze, r); ok {
		r = detach(r)
		select {
		case <-e.cleared:
		case <-s.closed:
			panic(http.ErrAbortHandler)
		}
	}
	if e, ok := s.take(Delay, r); ok && !s.sleep(r.Context(), time.Duration(e.Delay)) {
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.take(Refuse, r); ok {
		reply.Refuse(w, http.StatusServiceUnavailable, "unavailable", "refused by a fault")
		return
	}
	if _, ok := s.take(Duplicate, r); ok {
		body := readBody(r)
		next.ServeHTTP(newSink(), r)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if _, ok := s.take(LoseAnswer, r); ok {
		next.ServeHTTP(newSink(), r)
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.take(WrongID, r); ok {
		w = &wrongID{ResponseWriter: w}
	}
	if e, ok := s.take(Garble, r); ok {
		w = &garbler{ResponseWriter: w, keep: e.Bytes}
	}
	if e, ok := s.take(Truncate, r); ok {
		next.ServeHTTP(&truncater{ResponseWriter: w, keep: e.Bytes}, r)
		// Without the abort, a short answer would end as a complete one.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// serveLate handles a copy of the request after the delay.
func (s *Set) serveLate(r *http.Request, next http.Handler, delay time.Duration) {
	late := detach(r)
	s.late.Add(1)
	go func() {
		defer s.late.Done()
		if s.sleep(context.Background(), delay) {
			next.ServeHTTP(newSink(), late)
		}
	}()
}

func (s *Set) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.closed:
		return false
	}
}

// detach returns the request with its body read and without the cancellation
// that follows when its client leaves.
func detach(r *http.Request) *http.Request {
	body := readBody(r)
	out := r.Clone(context.WithoutCancel(r.Context()))
	out.Body = io.NopCloser(bytes.NewReader(body))
	return out
}

// readBody reads the body and puts it back.
func readBody(r *http.Request) []byte {
	// A body that breaks off is handled as far as it came, as the handler would.
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

// Frozen reports whether the whole stand-in is frozen, so that work in progress
// must stop as well.
func (s *Set) Frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.entries, func(e *entry) bool {
		return e.Kind == Freeze && e.Path == "" && e.Method == "" && e.Count == 0
	})
}
