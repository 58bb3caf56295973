package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// maxOrders bounds the orders whose status can be queried.
const maxOrders = 10_000

// defaultMiBPerSecond is the speed of loads without a weight store.
const defaultMiBPerSecond = 8192

// roleChangeTime is the duration of a change of role.
const roleChangeTime = 50 * time.Millisecond

type resKey struct {
	model   string
	version string
	adapter string
}

func keyOf(r engine.Resident) resKey {
	return resKey{
		model:   r.Model,
		version: r.Version,
		adapter: r.Adapter,
	}
}

// resident is a model or adapter that is in memory, loading or unloading.
type resident struct {
	engine.Resident
	loading  bool
	draining bool
	// activeRequests is the number of unfinished requests that use it.
	activeRequests int
	// idle is closed when a draining resident has no active requests.
	idle chan struct{}
}

type order struct {
	engine.Order
	phase  engine.OrderPhase
	reason string
}

func (o *order) status() engine.OrderStatus {
	return engine.OrderStatus{
		ID:     o.ID,
		Phase:  o.phase,
		Reason: o.reason,
	}
}

// updateMemoryStats recomputes UsedMiB and PeakMiB. The caller holds e.mu, or the
// engine is not shared yet.
func (e *Engine) updateMemoryStats() {
	used := int64(0)
	for _, r := range e.resident {
		used += r.MemoryMiB
	}
	e.stats.UsedMiB = used
	e.stats.PeakMiB = max(e.stats.PeakMiB, used)
}

// refusal is the error response to an order or request that is not executed.
type refusal struct {
	status  int
	code    string
	message string
}

func refuse(status int, code, message string) *refusal {
	return &refusal{
		status:  status,
		code:    code,
		message: message,
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o)
	if err == nil {
		err = checkOrder(o)
	}
	if err != nil {
		reply.Refuse(w, http.StatusBadRequest, "bad-order", err.Error())
		return
	}
	e.mu.Lock()
	known, ok := e.orders[o.ID]
	if ok {
		st := known.status()
		e.mu.Unlock()
		reply.JSON(w, http.StatusOK, st)
		return
	}
	ref := e.admitOrder(o)
	if ref != nil {
		e.mu.Unlock()
		reply.Refuse(w, ref.status, ref.code, ref.message)
		return
	}
	ord := &order{
		Order: o,
		phase: engine.OrderRunning,
	}
	e.recordOrder(ord)
	e.startOrder(ord)
	st := ord.status()
	e.mu.Unlock()
	reply.JSON(w, http.StatusAccepted, st)
}

func checkOrder(o engine.Order) error {
	if o.ID == "" {
		return errors.New("id is missing")
	}
	switch o.Kind {
	case engine.OrderRole:
		switch o.Role {
		case engine.RoleMixed, engine.RolePrefill, engine.RoleDecode:
			return nil
		}
		return fmt.Errorf("unknown role %q", o.Role)
	case engine.OrderLoadAdapter, engine.OrderUnloadAdapter:
		if o.Adapter == "" {
			return errors.New("adapter is missing")
		}
	case engine.OrderLoad, engine.OrderUnload:
		if o.Adapter != "" {
			return errors.New("adapter is not expected")
		}
	default:
		return fmt.Errorf("unknown kind %q", o.Kind)
	}
	if o.Model == "" {
		return errors.New("model is missing")
	}
	if o.MemoryMiB < 0 || o.Kind == engine.OrderLoad && o.MemoryMiB == 0 {
		return errors.New("memory-mib is missing or negative")
	}
	return nil
}

// admitOrder returns why an order must be refused, or nil. It also raises the
// engine's fencing token. The caller holds e.mu.
func (e *Engine) admitOrder(o engine.Order) *refusal {
	if e.opts.Fencing && o.Fence.Less(e.fence) {
		e.stats.StaleFence++
		return refuse(http.StatusConflict, engine.CodeStaleFence, "the highest fence is "+e.fence.String())
	}
	if e.opts.Deadlines && !o.Deadline.IsZero() && time.Now().After(o.Deadline) {
		e.stats.DeadlinePassed++
		return refuse(http.StatusConflict, engine.CodeDeadline, "the deadline of the order has passed")
	}
	if e.opts.Fencing {
		// The token takes effect even if the order is refused below or fails.
		e.fence = o.Fence
	}
	key := orderKey(o)
	res, exists := e.resident[key]
	if exists && (res.loading || res.draining) {
		return refuse(http.StatusConflict, "busy", "another order for it is running")
	}
	if o.Kind != engine.OrderLoad && o.Kind != engine.OrderLoadAdapter || exists {
		return nil
	}
	if o.Kind == engine.OrderLoadAdapter && e.findResident(o.Model, "") == nil {
		return refuse(http.StatusConflict, engine.CodeNotResident, "the adapter's model is not resident")
	}
	if e.stats.UsedMiB+o.MemoryMiB > e.opts.MemoryMiB {
		if e.opts.CheckMemory {
			e.stats.NoMemory++
			return refuse(http.StatusConflict, engine.CodeNoMemory, fmt.Sprintf("%d of %d MiB are in use", e.stats.UsedMiB, e.opts.MemoryMiB))
		}
		e.stats.Overcommits++
	}
	return nil
}

func orderKey(o engine.Order) resKey {
	return resKey{
		model:   o.Model,
		version: o.Version,
		adapter: o.Adapter,
	}
}

// findResident returns the newest version of a model or adapter that accepts
// requests, or nil.
func (e *Engine) findResident(model, adapter string) *resident {
	var best *resident
	for _, r := range e.resident {
		if r.Model != model || r.Adapter != adapter || r.loading || r.draining {
			continue
		}
		if best == nil || r.Version > best.Version {
			best = r
		}
	}
	return best
}

func (e *Engine) recordOrder(o *order) {
	e.stats.Orders++
	e.orders[o.ID] = o
	e.orderIDs = append(e.orderIDs, o.ID)
	if len(e.orderIDs) > maxOrders {
		delete(e.orders, e.orderIDs[0])
		e.orderIDs = e.orderIDs[1:]
	}
}

// startOrder starts an admitted order; loads, unloads and role changes continue
// in the background. The caller holds e.mu.
func (e *Engine) startOrder(o *order) {
	key := orderKey(o.Order)
	res, exists := e.resident[key]
	switch o.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		if exists {
			o.phase = engine.OrderDone
			return
		}
		res = &resident{
			Resident: engine.Resident{
				Model:     o.Model,
				Version:   o.Version,
				Adapter:   o.Adapter,
				MemoryMiB: o.MemoryMiB,
			},
			loading: true,
		}
		e.resident[key] = res
		e.updateMemoryStats()
		if o.Kind == engine.OrderLoad {
			e.runInBackground(o, func() error { return e.fetchWeights(o.Order) }, e.finishLoad(key, res))
			return
		}
		e.loadingAdapters++
		d := e.adapterLoadTime()
		e.runInBackground(o, func() error { return e.pause(d) }, e.finishLoad(key, res))
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		if !exists {
			o.phase = engine.OrderDone
			return
		}
		idle := e.drain(key, res)
		e.runInBackground(o, func() error { return e.awaitIdle(idle) }, func(err error) {
			if err == nil {
				e.finishUnload(key)
			}
		})
	case engine.OrderRole:
		e.runInBackground(o, func() error { return e.pause(roleChangeTime) }, func(err error) {
			if err == nil {
				e.role = o.Role
			}
		})
	}
}

// runInBackground calls run without holding e.mu, then finish with it, and sets
// the phase of the order. After a restart of the engine, finish is not called.
func (e *Engine) runInBackground(o *order, run func() error, finish func(error)) {
	restarts := e.restarts
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		err := run()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.restarts != restarts {
			return
		}
		finish(err)
		o.phase = engine.OrderDone
		if err != nil {
			o.phase = engine.OrderFailed
			o.reason = err.Error()
		}
	}()
}

func (e *Engine) finishLoad(key resKey, res *resident) func(error) {
	return func(err error) {
		if key.adapter != "" {
			e.loadingAdapters--
		}
		if err != nil {
			delete(e.resident, key)
			e.updateMemoryStats()
			return
		}
		res.loading = false
		if key.adapter != "" {
			e.stats.AdapterLoads++
		} else {
			e.stats.Loads++
		}
	}
}

// drain stops new requests for a resident, and for the adapters of a model whose
// last version drains. The channel is closed when its active requests have ended.
func (e *Engine) drain(key resKey, res *resident) <-chan struct{} {
	res.draining = true
	res.idle = make(chan struct{})
	if res.activeRequests == 0 {
		close(res.idle)
	}
	if key.adapter == "" && e.findResident(key.model, "") == nil {
		for k, r := range e.resident {
			if k.model == key.model && k.adapter != "" {
				r.draining = true
			}
		}
	}
	return res.idle
}

func (e *Engine) finishUnload(key resKey) {
	delete(e.resident, key)
	if key.adapter == "" && e.findResident(key.model, "") == nil {
		e.cache.dropModel(key.model)
		for k, r := range e.resident {
			if k.model == key.model && k.adapter != "" && r.draining {
				delete(e.resident, k)
			}
		}
	}
	e.updateMemoryStats()
}

func (e *Engine) adapterLoadTime() time.Duration {
	d := e.opts.AdapterMin
	if width := e.opts.AdapterMax - e.opts.AdapterMin; width > 0 {
		d += rand.N(width)
	}
	if e.loadingAdapters > e.opts.AdapterParallel {
		d = d * time.Duration(e.loadingAdapters) / time.Duration(e.opts.AdapterParallel)
	}
	return d
}

func (e *Engine) pause(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

func (e *Engine) awaitIdle(idle <-chan struct{}) error {
	select {
	case <-idle:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// fetchWeights downloads the weights of a model from the weight store.
func (e *Engine) fetchWeights(o engine.Order) error {
	if e.opts.Weights == "" {
		return e.pause(time.Duration(float64(o.MemoryMiB) / defaultMiBPerSecond * float64(time.Second)))
	}
	version := o.Version
	if version == "" {
		version = "latest"
	}
	u := fmt.Sprintf("%s/weights/%s/%s?mib=%d", e.opts.Weights, url.PathEscape(o.Model), url.PathEscape(version), o.MemoryMiB)
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, u, nil)
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	res, err := e.weights.Do(req)
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch weights: status %d", res.StatusCode)
	}
	return nil
}

func (e *Engine) serveOrderStatus(w http.ResponseWriter, r *http.Request) {
	st := engine.OrderStatus{
		ID:    r.PathValue("id"),
		Phase: engine.OrderUnknown,
	}
	e.mu.Lock()
	if o, ok := e.orders[st.ID]; ok {
		st = o.status()
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, st)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	st := engine.State{
		Incarnation: e.incarnation,
		MemoryMiB:   e.opts.MemoryMiB,
		Resident:    []engine.Resident{},
		Running:     []engine.Order{},
		Fence:       e.fence,
		Role:        e.role,
		Leaving:     e.leaving,
	}
	for _, r := range e.resident {
		// A load in progress is reported by its order.
		if !r.loading {
			st.Resident = append(st.Resident, r.Resident)
		}
	}
	for _, id := range e.orderIDs {
		if o := e.orders[id]; o.phase == engine.OrderRunning {
			st.Running = append(st.Running, o.Order)
		}
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, st)
}
