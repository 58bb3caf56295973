// Package plat is a stand-in for the platform: a transactional table, objects
// and a lagging list of VMs.
package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/reply"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Options are the settings of a Platform. Zero values mean the defaults.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit the table and objects together;
	// the defaults are 2,000 and 300.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Lag is how late changes show up in the list of VMs.
	Lag time.Duration
}

// Validate reports all settings that are out of range.
func (o Options) Validate() error {
	var errs []error
	if o.ReadsPerSecond < 0 {
		errs = append(errs, errors.New("reads must not be negative"))
	}
	if o.WritesPerSecond < 0 {
		errs = append(errs, errors.New("writes must not be negative"))
	}
	if o.Lag < 0 {
		errs = append(errs, errors.New("lag must not be negative"))
	}
	return errors.Join(errs...)
}

// maxWait is how long a request above the rate limit is queued before it is refused.
const maxWait = 100 * time.Millisecond

// Stats are the counters of a Platform.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
	Rows    int   `json:"rows"`
	Objects int   `json:"objects"`
}

// Platform is the stand-in. Its state is in memory.
type Platform struct {
	faults *fault.Set
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	rows    map[string]store.Row
	keys    []string
	objects map[string][]byte
	lag     time.Duration
	lists   []vmList
	shown   []store.VM
	stats   Stats
}

// vmList is the list of VMs from a time on.
type vmList struct {
	since time.Time
	vms   []store.VM
}

// New returns a Platform and a function that releases it.
func New(opts Options) (*Platform, func()) {
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = 2000
	}
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = 300
	}
	faults, release := fault.NewSet()
	return &Platform{
		faults:  faults,
		reads:   limiter(opts.ReadsPerSecond),
		writes:  limiter(opts.WritesPerSecond),
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		lag:     opts.Lag,
	}, release
}

// limiter allows a tenth of a second's worth at once.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Faults returns the faults of the stand-in.
func (p *Platform) Faults() *fault.Set { return p.faults }

// SetVMs replaces the list of VMs. It becomes visible after the lag.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setVMs(slices.Clone(vms))
}

// PutVM adds a VM or replaces the one with its name.
func (p *Platform) PutVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.DeleteFunc(p.latest(), func(v store.VM) bool { return v.Name == vm.Name })
	p.setVMs(append(vms, vm))
}

// DeleteVM removes the VM with the name.
func (p *Platform) DeleteVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setVMs(slices.DeleteFunc(p.latest(), func(v store.VM) bool { return v.Name == name }))
}

// SetLag sets how late changes of the list of VMs become visible.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Rows = len(p.rows)
	s.Objects = len(p.objects)
	return s
}

func (p *Platform) latest() []store.VM {
	if len(p.lists) == 0 {
		return nil
	}
	return slices.Clone(p.lists[len(p.lists)-1].vms)
}

func (p *Platform) setVMs(vms []store.VM) {
	p.visible()
	p.lists = append(p.lists, vmList{
		since: time.Now(),
		vms:   vms,
	})
}

// visible returns the newest list that is older than the lag, and forgets
// those before it.
func (p *Platform) visible() []store.VM {
	limit := time.Now().Add(-p.lag)
	for len(p.lists) > 1 && !p.lists[1].since.After(limit) {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 || p.lists[0].since.After(limit) {
		return []store.VM{}
	}
	return p.lists[0].vms
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", p.read(p.getRow))
	mux.HandleFunc("GET /table/scan", p.read(p.scan))
	mux.HandleFunc("POST /table/insert", p.write(p.insert))
	mux.HandleFunc("POST /table/update", p.write(p.update))
	mux.HandleFunc("POST /table/delete", p.write(p.delete))
	mux.HandleFunc("GET /objects", p.read(p.getObject))
	mux.HandleFunc("PUT /objects", p.write(p.putObject))
	mux.HandleFunc("GET /vms", p.read(p.listVMs))
	mux.HandleFunc("PUT /vms", p.adminVMs)
	mux.HandleFunc("POST /vms", p.adminPutVM)
	mux.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.DeleteVM(r.PathValue("name"))
		reply.JSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("PUT /vms/lag", p.adminLag)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, p.Stats())
	})
	return p.faults.Wrap(mux)
}

func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return p.limited(p.reads, &p.stats.Reads, next)
}

func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return p.limited(p.writes, &p.stats.Writes, next)
}

func (p *Platform) limited(l *rate.Limiter, count *int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		res := l.Reserve()
		wait := res.Delay()
		p.mu.Lock()
		if wait > maxWait {
			p.stats.Refused++
		} else {
			*count++
		}
		p.mu.Unlock()
		if wait > maxWait {
			res.Cancel()
			w.Header().Set("Retry-After", "1")
			reply.Refuse(w, http.StatusTooManyRequests, "rate-limited", "above the rate limit")
			return
		}
		time.Sleep(wait)
		next(w, r)
	}
}

func absent(w http.ResponseWriter, key string) {
	reply.Refuse(w, http.StatusNotFound, store.CodeAbsent, fmt.Sprintf("no %q", key))
}

func conflict(w http.ResponseWriter, message string) {
	reply.Refuse(w, http.StatusConflict, store.CodeConflict, message)
}

func badRequest(w http.ResponseWriter, message string) {
	reply.Refuse(w, http.StatusBadRequest, "bad-request", message)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	row, ok := p.rows[key]
	p.mu.Unlock()
	if !ok {
		absent(w, key)
		return
	}
	reply.JSON(w, http.StatusOK, row)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		badRequest(w, "limit must be a number above 0")
		return
	}
	rows := []store.Row{}
	p.mu.Lock()
	i, _ := slices.BinarySearch(p.keys, max(prefix, after))
	for ; i < len(p.keys) && len(rows) < limit; i++ {
		key := p.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, p.rows[key])
		}
	}
	p.mu.Unlock()
	reply.JSON(w, http.StatusOK, rows)
}

// decodeWrite reads a write. It reports false after it has answered.
func decodeWrite(w http.ResponseWriter, r *http.Request) (store.WriteRequest, bool) {
	var req store.WriteRequest
	err := json.NewDecoder(io.LimitReader(r.Body, store.MaxAnswer)).Decode(&req)
	if err != nil || req.Key == "" {
		badRequest(w, "want a key and a value")
		return store.WriteRequest{}, false
	}
	return req, true
}

func (p *Platform) insert(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeWrite(w, r)
	if !ok {
		return
	}
	row := store.Row{
		Key:     req.Key,
		Value:   req.Value,
		Version: 1,
	}
	p.mu.Lock()
	_, exists := p.rows[req.Key]
	if !exists {
		p.rows[req.Key] = row
		i, _ := slices.BinarySearch(p.keys, req.Key)
		p.keys = slices.Insert(p.keys, i, req.Key)
	}
	p.mu.Unlock()
	if exists {
		conflict(w, "the row exists")
		return
	}
	written(w, row)
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeWrite(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	old, exists := p.rows[req.Key]
	holds := exists && old.Version == req.Version
	row := store.Row{
		Key:     req.Key,
		Value:   req.Value,
		Version: old.Version + 1,
	}
	if holds {
		p.rows[req.Key] = row
	}
	p.mu.Unlock()
	answerWrite(w, row, holds)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeWrite(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	old, exists := p.rows[req.Key]
	holds := exists && old.Version == req.Version
	if holds {
		delete(p.rows, req.Key)
		i, _ := slices.BinarySearch(p.keys, req.Key)
		p.keys = slices.Delete(p.keys, i, i+1)
	}
	p.mu.Unlock()
	answerWrite(w, old, holds)
}

// answerWrite answers a conditional write. A missing row counts as a condition
// that does not hold, as the caller asked for a version.
func answerWrite(w http.ResponseWriter, row store.Row, holds bool) {
	if !holds {
		conflict(w, "the row is absent or has another version")
		return
	}
	written(w, row)
}

// written answers a write without repeating the value.
func written(w http.ResponseWriter, row store.Row) {
	row.Value = nil
	reply.JSON(w, http.StatusOK, row)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	value, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		absent(w, key)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value)))
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxAnswer))
	if err != nil || key == "" {
		badRequest(w, "want a key and a whole value")
		return
	}
	p.mu.Lock()
	p.objects[key] = value
	p.mu.Unlock()
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	stale := p.faults.Active(fault.StaleReports, r)
	p.mu.Lock()
	if !stale || p.shown == nil {
		p.shown = p.visible()
	}
	vms := p.shown
	p.mu.Unlock()
	reply.JSON(w, http.StatusOK, vms)
}

func (p *Platform) adminVMs(w http.ResponseWriter, r *http.Request) {
	var vms []store.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		badRequest(w, err.Error())
		return
	}
	p.SetVMs(vms)
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) adminPutVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.Name == "" {
		badRequest(w, "want a VM with a name")
		return
	}
	p.PutVM(vm)
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) adminLag(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Lag spec.Duration `json:"lag"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Lag < 0 {
		badRequest(w, `want {"lag": "2s"}`)
		return
	}
	p.SetLag(time.Duration(body.Lag))
	reply.JSON(w, http.StatusOK, struct{}{})
}
