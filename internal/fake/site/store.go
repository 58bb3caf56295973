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
	maxRowBytes    = 65_536
	maxTxItems     = 100
	maxTxBytes     = 1 << 20
	maxPageRows    = 500
	maxPageNames   = 1000
	maxFeedWait    = 30 * time.Second
	maxObjectBytes = 8 << 20
	// burstSeconds sets the burst of a rate limit: the calls of a quarter of a second.
	burstSeconds = 0.25
)

// Outage is the way in which the store fails all calls of a client.
type Outage int

// Kinds of outage.
const (
	// NoOutage is the zero value: the store simulates no outage.
	NoOutage Outage = iota
	// Busy answers 503 and RateLimited 429. Reset closes connections without an
	// answer; Silent keeps them open and never answers.
	Busy
	RateLimited
	Reset
	Silent
)

// StoreFaults are the faults that the store simulates for one client, or for all.
type StoreFaults struct {
	Outage Outage
	// Delay is added to each answer.
	Delay time.Duration
	// LostWriteRatio is the fraction of writes that are applied but not answered.
	// If MaxWriteDelay is set, they are applied after a random delay of up to that
	// time, provided that their conditions still hold then.
	LostWriteRatio float64
	MaxWriteDelay  time.Duration
}

// StoreOptions are the rate limits of a Store in calls per second. 0 means no limit.
type StoreOptions struct {
	Reads  float64
	Writes float64
}

// Store simulates the platform's metadata store.
type Store struct {
	start  time.Time
	reads  *rate.Limiter
	writes *rate.Limiter

	mu               sync.Mutex
	era              int64
	version          int64
	rows             map[rowKey]wireRow
	history          []wireRow // in the order of versions
	undo             []undoStep
	compactedVersion int64 // history up to this version is discarded
	changed          chan struct{}
	objects          map[string][]byte
	faults           map[string]StoreFaults // by client, "" for all
	calls            map[string]int         // by path
	closed           chan struct{}
	delayedWrites    sync.WaitGroup
}

// headerEra numbers the restores of the store.
const headerEra = "Store-Era"

// undoStep reverts the write of one row.
type undoStep struct {
	at     time.Time
	key    rowKey
	before wireRow
	exists bool // the row existed before the write
	lost   wireRow
}

// maxUndoSteps limits how many writes a restore can revert.
const maxUndoSteps = 1 << 16

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

// NewStore returns an empty store and a function that ends simulated delays and
// delayed writes.
func NewStore(o StoreOptions) (*Store, func()) {
	limiter := func(perSecond float64) *rate.Limiter {
		if perSecond <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
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
		s.delayedWrites.Wait()
	})
}

// SetFaults replaces the faults for a client; the empty name means all clients.
func (s *Store) SetFaults(client string, f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = f
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

// DiscardHistory discards the change history. A feed from an older version is
// answered with 410 Gone.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	s.notify()
}

// Restore replaces the content of the store with that of the given time ago, and starts
// a new era. Versions go on from the copy's. The lost rows of the operator and of the
// endpoints are written again after rewriteAfter, in the order in which they were lost;
// 0 means never.
func (s *Store) Restore(age, rewriteAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []wireRow
	for n := len(s.undo); n > 0 && time.Since(s.undo[n-1].at) < age; n-- {
		u := s.undo[n-1]
		s.undo = s.undo[:n-1]
		s.version = *u.lost.Version - 1
		delete(s.rows, u.key)
		if u.exists {
			s.rows[u.key] = u.before
		}
		if u.key.table == operatorTable || u.key.table == endpointTable {
			lost = append(lost, u.lost)
		}
	}
	s.era++
	s.history = slices.DeleteFunc(s.history, func(r wireRow) bool { return *r.Version > s.version })
	s.compactedVersion = min(s.compactedVersion, s.version)
	s.notify()
	if len(lost) == 0 || rewriteAfter == 0 {
		return
	}
	restored := s.version
	slices.Reverse(lost)
	s.delayedWrites.Go(func() {
		select {
		case <-time.After(rewriteAfter):
		case <-s.closed:
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		written := make(map[rowKey]bool)
		for _, r := range s.history {
			written[r.id()] = *r.Version > restored || written[r.id()]
		}
		for _, r := range lost {
			if written[r.id()] {
				continue
			}
			s.version++
			s.set(wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}, r.Deleted)
		}
		s.notify()
	})
}

// Era returns the number of restores.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// PutRow writes a row on behalf of the operator or an endpoint, without conditions.
func (s *Store) PutRow(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key, Value: value}, false)
	s.notify()
}

// DeleteRow deletes a row on behalf of the operator or an endpoint, without
// conditions.
func (s *Store) DeleteRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key}, true)
	s.notify()
}

// set writes or deletes a row at the current version and appends the change to
// the history. The caller holds s.mu.
func (s *Store) set(r wireRow, drop bool) {
	v := s.version
	r.Version, r.Deleted = &v, drop
	before, exists := s.rows[r.id()]
	s.undo = append(s.undo, undoStep{
		at:     time.Now(),
		key:    r.id(),
		before: before,
		exists: exists,
		lost:   r,
	})
	if len(s.undo) > maxUndoSteps {
		s.undo = s.undo[1:]
	}
	if drop {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

// notify wakes all feeds that wait for a change. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP handler of the store for one client.
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

// faultsFor combines the faults of a client with those for all clients.
func (s *Store) faultsFor(client string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, all := s.faults[client], s.faults[""]
	f.Outage = max(f.Outage, all.Outage)
	f.Delay += all.Delay
	if all.LostWriteRatio > f.LostWriteRatio {
		f.LostWriteRatio, f.MaxWriteDelay = all.LostWriteRatio, all.MaxWriteDelay
	}
	return f
}

func (s *Store) serve(client string, l *rate.Limiter, w http.ResponseWriter, r *http.Request, f func(http.ResponseWriter, *http.Request)) {
	fault := s.faultsFor(client)
	if fault.Delay > 0 && !s.sleep(r, fault.Delay) {
		return
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	setEra(w, s.era)
	s.mu.Unlock()
	switch {
	case fault.Outage == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault.Outage == RateLimited || !l.Allow():
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

	era int64
}

func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
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
		era:       s.era,
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if page, ok := body.(wirePage); ok {
		// The era may have changed since the call arrived.
		setEra(w, page.era)
	}
	w.WriteHeader(status)
	// Encode fails if the client has disconnected; no other client is affected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) getRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
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
	writeJSON(w, http.StatusOK, page)
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
	writeJSON(w, http.StatusOK, map[string][]string{"parts": parts[:min(maxPageNames, len(parts))]})
}

// feed is a long poll: it returns the changes after a version and waits up to
// wait_ms if there are none yet.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil && q.Get("wait_ms") != "" {
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		if after < s.compactedVersion || after > s.version {
			setEra(w, s.era)
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
			writeJSON(w, http.StatusOK, page)
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
		if r.Context().Err() != nil || isClosed(s.closed) {
			return
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
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
	fault := s.faultsFor(client)
	if rand.Float64() >= fault.LostWriteRatio {
		status, body := s.apply(tx)
		writeJSON(w, status, body)
		return
	}
	if fault.MaxWriteDelay <= 0 {
		s.apply(tx)
		panic(http.ErrAbortHandler)
	}
	after := rand.N(fault.MaxWriteDelay)
	s.delayedWrites.Go(func() {
		select {
		case <-time.After(after):
			s.apply(tx)
		case <-s.closed:
		}
	})
	panic(http.ErrAbortHandler)
}

// check validates a transaction. It returns the status and text of the first
// problem found.
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

// apply commits a transaction if all expected versions match.
func (s *Store) apply(tx wireTx) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matched := true
	current := []wireRow{}
	for _, e := range tx.Expected {
		row, ok := s.rows[e.id()]
		if ok {
			current = append(current, row)
		}
		if ok && *row.Version != *e.Version || !ok && *e.Version != 0 {
			matched = false
		}
	}
	if !matched {
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
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
	// Write fails if the client has disconnected; no other client is affected.
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
	writeJSON(w, http.StatusOK, map[string]any{
		"names":     names[:min(maxPageNames, len(names))],
		"truncated": len(names) > maxPageNames,
	})
}
