// Package fault injects faults into the HTTP handler of a simulated server. The
// wrapped handler also serves an admin interface:
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

// Kind is the type of an injected fault.
type Kind string

// Kinds of fault.
const (
	// Delay delays the handling of a request. A request whose client disconnects
	// in the meantime is not handled.
	Delay Kind = "delay"
	// Refuse answers 503 with not-run set and does not handle the request.
	Refuse Kind = "refuse"
	// LoseAnswer handles the request and closes the connection without an answer.
	LoseAnswer Kind = "lose-answer"
	// Freeze blocks requests until the fault is cleared. They are then handled even
	// if their clients have disconnected, as in a process that was suspended.
	Freeze Kind = "freeze"
	// StaleReports repeats the last load report or list of VMs, and reports no new
	// cache events. Only the simulated servers can implement it, see Set.Active.
	StaleReports Kind = "stale-reports"
	// LateOrders closes the connection and handles the request after the delay.
	// Without a path it applies to /orders.
	LateOrders Kind = "late-orders"
	// Duplicate handles the request twice; the client receives the second answer.
	Duplicate Kind = "duplicate"
	// WrongID answers with an id that differs from the request's.
	WrongID Kind = "wrong-request-id"
	// Truncate closes the connection after Bytes bytes of the answer's body.
	Truncate Kind = "truncate"
	// Garble replaces the answer's body after Bytes bytes by tildes, except for
	// newlines.
	Garble Kind = "garble"
	// RepeatRefusal answers like Refuse. It handles the next request with the same
	// path on that connection, but answers it with that refusal once more, even if the
	// fault has been cleared.
	RepeatRefusal Kind = "repeat-refusal"
)

var kinds = []Kind{Delay, Refuse, LoseAnswer, Freeze, StaleReports, LateOrders, Duplicate, WrongID, Truncate, Garble, RepeatRefusal}

// Fault describes one injected fault.
type Fault struct {
	Kind Kind `json:"kind"`
	// Method and Path restrict the fault to requests with the method and a path
	// with this prefix; empty means all.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Count limits the number of requests affected; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Delay applies to Delay and LateOrders.
	Delay spec.Duration `json:"delay,omitempty"`
	// Bytes applies to Truncate and Garble.
	Bytes int `json:"bytes,omitempty"`
	// RetryAfter is sent with the answers of Refuse, if it is not empty.
	RetryAfter string `json:"retry-after,omitempty"`
	// Hits is the number of requests affected so far.
	Hits int `json:"hits"`
}

// Validate returns an error for the first invalid field.
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

type refusalKey struct{ remote, path string }

// Set holds the faults of one simulated server.
type Set struct {
	mu           sync.Mutex
	entries      []*entry
	released     chan struct{}
	lateRequests sync.WaitGroup
	// refused maps connections to the request ids of the refusals that are still to be
	// repeated.
	refused map[refusalKey]string
}

// NewSet returns an empty Set and a function that clears it, cancels waiting
// requests and waits for late ones in progress.
func NewSet() (*Set, func()) {
	s := &Set{
		released: make(chan struct{}),
		refused:  make(map[refusalKey]string),
	}
	return s, sync.OnceFunc(func() {
		close(s.released)
		s.Clear("")
		s.lateRequests.Wait()
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

// Clear removes the faults of a kind, or all if kind is empty.
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

// List returns the faults that have not been cleared, also those whose Count is
// used up.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Fault, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.Fault)
	}
	return out
}

// Active reports whether a fault of the kind applies to the request, and counts a
// hit. Simulated servers call it for kinds that Wrap cannot apply.
func (s *Set) Active(kind Kind, r *http.Request) bool {
	_, ok := s.match(kind, r)
	return ok
}

// match returns the first fault of the kind that applies to the request, and
// counts a hit.
func (s *Set) match(kind Kind, r *http.Request) (*entry, bool) {
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
		s.applyFaults(w, r, next)
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

func (s *Set) applyFaults(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if e, ok := s.match(LateOrders, r); ok {
		s.serveLate(r, next, time.Duration(e.Delay))
		panic(http.ErrAbortHandler)
	}
	if e, ok := s.match(Freeze, r); ok {
		r = detach(r)
		select {
		case <-e.cleared:
		case <-s.released:
			panic(http.ErrAbortHandler)
		}
	}
	if e, ok := s.match(Delay, r); ok && !s.sleep(r.Context(), time.Duration(e.Delay)) {
		panic(http.ErrAbortHandler)
	}
	if f, ok := s.match(Refuse, r); ok {
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		reply.Refuse(w, http.StatusServiceUnavailable, "unavailable", "refused by a fault")
		return
	}
	if id, ok := s.takeRefusal(r); ok {
		next.ServeHTTP(newDiscardWriter(), r)
		w.Header().Set(reply.RequestID, id)
		reply.Refuse(w, http.StatusServiceUnavailable, "unavailable", "refused by a fault")
		return
	}
	if _, ok := s.match(RepeatRefusal, r); ok {
		s.mu.Lock()
		s.refused[refusalKey{remote: r.RemoteAddr, path: r.URL.Path}] = r.Header.Get(reply.RequestID)
		s.mu.Unlock()
		reply.Refuse(w, http.StatusServiceUnavailable, "unavailable", "refused by a fault")
		return
	}
	if _, ok := s.match(Duplicate, r); ok {
		body := readBody(r)
		next.ServeHTTP(newDiscardWriter(), r)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if _, ok := s.match(LoseAnswer, r); ok {
		next.ServeHTTP(newDiscardWriter(), r)
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.match(WrongID, r); ok {
		w = &wrongIDWriter{ResponseWriter: w}
	}
	if e, ok := s.match(Garble, r); ok {
		w = &garbleWriter{ResponseWriter: w, keep: e.Bytes}
	}
	if e, ok := s.match(Truncate, r); ok {
		next.ServeHTTP(&truncateWriter{ResponseWriter: w, keep: e.Bytes}, r)
		// Without the abort, the client would take the short answer for complete.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// takeRefusal returns the id of the refusal that is to be repeated on the connection of
// a request.
func (s *Set) takeRefusal(r *http.Request) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := refusalKey{
		remote: r.RemoteAddr,
		path:   r.URL.Path,
	}
	id, ok := s.refused[key]
	delete(s.refused, key)
	return id, ok
}

// serveLate handles a copy of the request after the delay, in the background.
func (s *Set) serveLate(r *http.Request, next http.Handler, delay time.Duration) {
	late := detach(r)
	s.lateRequests.Add(1)
	go func() {
		defer s.lateRequests.Done()
		if s.sleep(context.Background(), delay) {
			next.ServeHTTP(newDiscardWriter(), late)
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
	case <-s.released:
		return false
	}
}

// detach returns a copy of the request with its body buffered, whose context is
// not cancelled when the client disconnects.
func detach(r *http.Request) *http.Request {
	body := readBody(r)
	out := r.Clone(context.WithoutCancel(r.Context()))
	out.Body = io.NopCloser(bytes.NewReader(body))
	return out
}

// readBody reads the body and replaces it by a copy that can be read again.
func readBody(r *http.Request) []byte {
	// After a read error, the part that arrived is used.
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

// Frozen reports whether a Freeze without restrictions is active. The simulated
// server must then also stop work in progress.
func (s *Set) Frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.entries, func(e *entry) bool {
		return e.Kind == Freeze && e.Path == "" && e.Method == "" && e.Count == 0
	})
}
