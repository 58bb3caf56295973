// Package plat simulates the platform: a table with conditional writes, an object
// store, and a list of VMs whose changes become visible after a delay.
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
	// ReadsPerSecond and WritesPerSecond limit the reads and writes of the table,
	// the objects and the list of VMs together; the defaults are 2,000 and 300.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Lag is the delay until a change of the list of VMs becomes visible.
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

// maxQueueWait is the longest time that a request waits for the rate limit. A
// request that would wait longer is refused at once.
const maxQueueWait = 100 * time.Millisecond

// Stats are the counters of a Platform.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
	Rows    int   `json:"rows"`
	Objects int   `json:"objects"`
}

// Platform simulates the platform. Its state is in memory only.
type Platform struct {
	faults *fault.Set
	reads  *rate.Limiter
	writes *rate.Limiter

	mu         sync.Mutex
	rows       map[string]store.Row
	keys       []string
	objects    map[string][]byte
	lag        time.Duration
	versions   []vmListVersion
	lastServed []store.VM
	stats      Stats
}

// vmListVersion is the list of VMs that replaced the previous one at a time.
type vmListVersion struct {
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

// limiter returns a rate limiter whose burst is the calls of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Faults returns the set of active faults.
func (p *Platform) Faults() *fault.Set { return p.faults }

// SetVMs replaces the list of VMs. It becomes visible after the lag.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendVersion(slices.Clone(vms))
}

// PutVM adds a VM or replaces the one with its name.
func (p *Platform) PutVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.DeleteFunc(p.latestVMs(), func(v store.VM) bool { return v.Name == vm.Name })
	p.appendVersion(append(vms, vm))
}

// DeleteVM removes the VM with the name.
func (p *Platform) DeleteVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendVersion(slices.DeleteFunc(p.latestVMs(), func(v store.VM) bool { return v.Name == name }))
}

// SetLag sets the delay until changes of the list of VMs become visible.
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

// latestVMs returns a copy of the newest list, visible or not. The caller holds
// p.mu.
func (p *Platform) latestVMs() []store.VM {
	if len(p.versions) == 0 {
		return nil
	}
	return slices.Clone(p.versions[len(p.versions)-1].vms)
}

// appendVersion adds a list that becomes visible after the lag. The caller holds
// p.mu.
func (p *Platform) appendVersion(vms []store.VM) {
	p.visibleVMs()
	p.versions = append(p.versions, vmListVersion{
		since: time.Now(),
		vms:   vms,
	})
}

// visibleVMs returns the newest list that is older than the lag and discards
// older lists. The caller holds p.mu.
func (p *Platform) visibleVMs() []store.VM {
	limit := time.Now().Add(-p.lag)
	for len(p.versions) > 1 && !p.versions[1].since.After(limit) {
		p.versions = p.versions[1:]
	}
	if len(p.versions) == 0 || p.versions[0].since.After(limit) {
		return []store.VM{}
	}
	return p.versions[0].vms
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
	return p.rateLimit(p.reads, &p.stats.Reads, next)
}

func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return p.rateLimit(p.writes, &p.stats.Writes, next)
}

// rateLimit applies a rate limit to a handler and counts the requests within it.
func (p *Platform) rateLimit(l *rate.Limiter, count *int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		res := l.Reserve()
		wait := res.Delay()
		p.mu.Lock()
		if wait > maxQueueWait {
			p.stats.Refused++
		} else {
			*count++
		}
		p.mu.Unlock()
		if wait > maxQueueWait {
			res.Cancel()
			w.Header().Set("Retry-After", "1")
			reply.Refuse(w, http.StatusTooManyRequests, "rate-limited", "above the rate limit")
			return
		}
		time.Sleep(wait)
		next(w, r)
	}
}

func replyAbsent(w http.ResponseWriter, key string) {
	reply.Refuse(w, http.StatusNotFound, store.CodeAbsent, fmt.Sprintf("key %q does not exist", key))
}

func replyConflict(w http.ResponseWriter, message string) {
	reply.Refuse(w, http.StatusConflict, store.CodeConflict, message)
}

func replyBadRequest(w http.ResponseWriter, message string) {
	reply.Refuse(w, http.StatusBadRequest, "bad-request", message)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	row, ok := p.rows[key]
	p.mu.Unlock()
	if !ok {
		replyAbsent(w, key)
		return
	}
	reply.JSON(w, http.StatusOK, row)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		replyBadRequest(w, "limit must be a number above 0")
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

// decodeWrite decodes a write request. If that fails, it writes the error response
// and returns false.
func decodeWrite(w http.ResponseWriter, r *http.Request) (store.WriteRequest, bool) {
	var req store.WriteRequest
	err := json.NewDecoder(io.LimitReader(r.Body, store.MaxResponseSize)).Decode(&req)
	if err != nil || req.Key == "" {
		replyBadRequest(w, "body must be JSON with a key")
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
		replyConflict(w, "the row exists")
		return
	}
	replyWritten(w, row)
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeWrite(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	old, exists := p.rows[req.Key]
	matches := exists && old.Version == req.Version
	row := store.Row{
		Key:     req.Key,
		Value:   req.Value,
		Version: old.Version + 1,
	}
	if matches {
		p.rows[req.Key] = row
	}
	p.mu.Unlock()
	replyConditional(w, row, matches)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeWrite(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	old, exists := p.rows[req.Key]
	matches := exists && old.Version == req.Version
	if matches {
		delete(p.rows, req.Key)
		i, _ := slices.BinarySearch(p.keys, req.Key)
		p.keys = slices.Delete(p.keys, i, i+1)
	}
	p.mu.Unlock()
	replyConditional(w, old, matches)
}

// replyConditional answers a conditional write. A missing row is a conflict, since
// the caller expected a version of it.
func replyConditional(w http.ResponseWriter, row store.Row, matches bool) {
	if !matches {
		replyConflict(w, "the row is absent or has another version")
		return
	}
	replyWritten(w, row)
}

// replyWritten answers a successful write with the row, without its value.
func replyWritten(w http.ResponseWriter, row store.Row) {
	row.Value = nil
	reply.JSON(w, http.StatusOK, row)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	value, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		replyAbsent(w, key)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value)))
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxResponseSize))
	if err != nil || key == "" {
		replyBadRequest(w, "the key is missing, or the value is incomplete or too large")
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
	if !stale || p.lastServed == nil {
		p.lastServed = p.visibleVMs()
	}
	vms := p.lastServed
	p.mu.Unlock()
	reply.JSON(w, http.StatusOK, vms)
}

func (p *Platform) adminVMs(w http.ResponseWriter, r *http.Request) {
	var vms []store.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		replyBadRequest(w, err.Error())
		return
	}
	p.SetVMs(vms)
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) adminPutVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.Name == "" {
		replyBadRequest(w, "body must be a VM with a name")
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
		replyBadRequest(w, `body must have the form {"lag": "2s"}`)
		return
	}
	p.SetLag(time.Duration(body.Lag))
	reply.JSON(w, http.StatusOK, struct{}{})
}
