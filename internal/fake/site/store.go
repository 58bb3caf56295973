package site

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the store that the platform documents.
const (
	maxRowBytes = 65_536
	maxTxItems  = 100
	maxTxBytes  = 1 << 20
	pageRows    = 500
	pageNames   = 1000
	maxWait     = 30 * time.Second
	maxObject   = 8 << 20
	// burstPart is how much of a second's calls may come at once.
	burstPart = 0.25
)

// Outage is how the store fails to answer a client.
type Outage int

// The outages.
const (
	Up Outage = iota
	// Busy answers 503, Many 429; Reset breaks connections and Silent never answers.
	Busy
	Many
	Reset
	Silent
)

// StoreFaults are what is wrong with the store for one client, or for all.
type StoreFaults struct {
	Outage Outage
	// Delay is added to each answer.
	Delay time.Duration
	// LoseWrites is the part of the writes that are done and not answered. With
	// Late they are done up to that time later, if their condition still holds.
	LoseWrites float64
	Late       time.Duration
}

// StoreOptions are the rates of a Store, in calls a second. 0 means no limit.
type StoreOptions struct {
	Reads  float64
	Writes float64
}

// Store stands in for the platform's metadata store.
type Store struct {
	start  time.Time
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	version int64
	rows    map[rowKey]wireRow
	history []wireRow // in the order of versions
	forgot  int64     // changes up to this version are forgotten
	changed chan struct{}
	objects map[string][]byte
	faults  map[string]StoreFaults // by client, "" for all
	calls   map[string]int         // by path
	closed  chan struct{}
	late    sync.WaitGroup
}

type rowKey struct{ table, part, key string }

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version *int64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r wireRow) id() rowKey { return rowKey{table: r.Table, part: r.Part, key: r.Key} }

// NewStore returns an empty store, and a function that ends what it has under way.
func NewStore(o StoreOptions) (*Store, func()) {
	limiter := func(perSecond float64) *rate.Limiter {
		if perSecond <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstPart)))
	}
	s := &Store{
		start:   time.Now(),
		reads:   limiter(o.Reads),
		writes:  limiter(o.Writes),
		rows:    make(map[rowKey]wireRow),
		changed: make(chan struct{}),
		objects: make(map[string][]byte),
		faults:  make(map[string]StoreFaults),
		calls:   make(map[string]int),
		closed:  make(chan struct{}),
	}
	return s, sync.OnceFunc(func() {
		close(s.closed)
		s.late.Wait()
	})
}

// SetFaults changes what is wrong for a client; the empty name means all.
func (s *Store) SetFaults(client string, f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = f
}

// Calls is how often each path was called.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgot = nil, s.version
	s.notify()
}

// Put writes a row of the operator or of an endpoint.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key, Value: value}, false)
	s.notify()
}

// Drop removes a row of the operator or of an endpoint.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key}, true)
	s.notify()
}

// set writes a row at the present version. The lock is held.
func (s *Store) set(r wireRow, drop bool) {
	v := s.version
	r.Version, r.Deleted = &v, drop
	if drop {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store to one client.
func (s *Store) Handler(client string) http.Handler {
	mux := http.NewServeMux()
	read := func(pattern string, f func(http.ResponseWriter, *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(client, s.reads, w, r, f) })
	}
	read("GET /rows-get", s.getRows)
	read("GET /rows-parts", s.getParts)
	read("GET /rows-feed", s.feed)
	read("GET /blob-get/{id}", s.getObject)
	read("GET /blob-list", s.listObjects)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) {
		s.serve(client, s.writes, w, r, func(w http.ResponseWriter, r *http.Request) { s.write(client, w, r) })
	})
	mux.HandleFunc("PUT /blob-put/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(client, s.writes, w, r, s.putObject) })
	mux.HandleFunc("DELETE /blob-drop/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(client, s.writes, w, r, s.dropObject) })
	return mux
}

// fault is what is wrong for a client now.
func (s *Store) fault(client string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, all := s.faults[client], s.faults[""]
	f.Outage = max(f.Outage, all.Outage)
	f.Delay += all.Delay
	if all.LoseWrites > f.LoseWrites {
		f.LoseWrites, f.Late = all.LoseWrites, all.Late
	}
	return f
}

func (s *Store) serve(client string, l *rate.Limiter, w http.ResponseWriter, r *http.Request, f func(http.ResponseWriter, *http.Request)) {
	fault := s.fault(client)
	if fault.Delay > 0 && !s.sleep(r, fault.Delay) {
		return
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	switch {
	case fault.Outage == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault.Outage == Many || !l.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case fault.Outage == Reset:
		panic(http.ErrAbortHandler)
	case fault.Outage == Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	f(w, r)
}

func (s *Store) sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	case <-s.closed:
		return false
	}
}

type wirePage struct {
	Rows      []wireRow `json:"rows"`
	Truncated bool      `json:"truncated"`
	Version   int64     `json:"ver"`
	NowMS     int64     `json:"now_ms"`
}

func (s *Store) page(rows []wireRow, truncated bool) wirePage {
	if rows == nil {
		rows = []wireRow{}
	}
	return wirePage{
		Rows:      rows,
		Truncated: truncated,
		Version:   s.version,
		NowMS:     time.Since(s.start).Milliseconds(),
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) getRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit is not a positive number", http.StatusBadRequest)
			return
		}
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []wireRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	page := s.page(rows[:min(limit, len(rows))], len(rows) > limit)
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *Store) getParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := []string{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	answer(w, http.StatusOK, map[string][]string{"parts": parts[:min(pageNames, len(parts))]})
}

// feed answers with the changes after a version, waiting for the first one.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil && q.Get("wait_ms") != "" {
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		if after < s.forgot {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []wireRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && *row.Version > after {
				rows = append(rows, row)
			}
		}
		page, changed := s.page(rows, false), s.changed
		s.mu.Unlock()
		left := time.Until(until)
		if len(rows) > 0 || left <= 0 {
			answer(w, http.StatusOK, page)
			return
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		case <-s.closed:
		}
		t.Stop()
		if r.Context().Err() != nil {
			return
		}
	}
}

type wireTx struct {
	Expected []wireRow `json:"expected"`
	Put      []wireRow `json:"put"`
	Delete   []wireRow `json:"delete"`
	Across   bool      `json:"across"`
}

func (s *Store) write(client string, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var tx wireTx
	if err := json.Unmarshal(data, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, problem := tx.check(); problem != "" {
		http.Error(w, problem, status)
		return
	}
	fault := s.fault(client)
	if rand.Float64() >= fault.LoseWrites {
		status, body := s.apply(tx)
		answer(w, status, body)
		return
	}
	if fault.Late <= 0 {
		s.apply(tx)
		panic(http.ErrAbortHandler)
	}
	after := rand.N(fault.Late)
	s.late.Go(func() {
		select {
		case <-time.After(after):
			s.apply(tx)
		case <-s.closed:
		}
	})
	panic(http.ErrAbortHandler)
}

// check refuses what the system may not write.
func (tx wireTx) check() (status int, problem string) {
	if len(tx.Expected)+len(tx.Put)+len(tx.Delete) > maxTxItems {
		return http.StatusBadRequest, "a transaction has at most 100 entries"
	}
	parts := map[string]bool{}
	for _, row := range slices.Concat(tx.Expected, tx.Put, tx.Delete) {
		parts[row.Part] = true
	}
	if len(parts) > 1 && !tx.Across {
		return http.StatusBadRequest, "the entries have more than one part"
	}
	for _, row := range tx.Expected {
		if row.Version == nil {
			return http.StatusBadRequest, "an expected row has no version"
		}
	}
	for _, row := range slices.Concat(tx.Put, tx.Delete) {
		switch {
		case row.Table == operatorTable || row.Table == endpointTable:
			return http.StatusForbidden, "the system may not write to table " + row.Table
		case len(row.Value) > maxRowBytes:
			return http.StatusBadRequest, "a value is too large"
		}
	}
	return http.StatusOK, ""
}

// apply does a transaction if its conditions hold.
func (s *Store) apply(tx wireTx) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	current := []wireRow{}
	for _, e := range tx.Expected {
		row, ok := s.rows[e.id()]
		if ok {
			current = append(current, row)
		}
		if ok && *row.Version != *e.Version || !ok && *e.Version != 0 {
			held = false
		}
	}
	if !held {
		return http.StatusPreconditionFailed, s.page(current, false)
	}
	s.version++
	for _, row := range tx.Put {
		s.set(row, false)
	}
	for _, row := range tx.Delete {
		s.set(row, true)
	}
	s.notify()
	return http.StatusOK, s.page(nil, false)
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[r.PathValue("id")]; ok && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[r.PathValue("id")] = data
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// The client may be gone; there is nobody left to tell.
	_, _ = w.Write(data)
}

func (s *Store) dropObject(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, r.PathValue("id"))
}

func (s *Store) listObjects(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	answer(w, http.StatusOK, map[string]any{
		"names":     names[:min(pageNames, len(names))],
		"truncated": len(names) > pageNames,
	})
}
