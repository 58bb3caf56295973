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

// maxOrders bounds the orders whose phase is remembered.
const maxOrders = 10_000

// defaultMiBPerSecond is the speed of a load without a weight store.
const defaultMiBPerSecond = 8192

// roleTime is how long a change of role takes.
const roleTime = 50 * time.Millisecond

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

// resident is a model or adapter in memory, or on its way in or out.
type resident struct {
	engine.Resident
	loading  bool
	draining bool
	// users is how many requests run on it.
	users int
	// idle is closed when a draining resident has no users.
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

// account updates the memory counters.
func (e *Engine) account() {
	used := int64(0)
	for _, r := range e.resident {
		used += r.MemoryMiB
	}
	e.stats.UsedMiB = used
	e.stats.PeakMiB = max(e.stats.PeakMiB, used)
}

// refusal is the reason why an order or request is not carried out.
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

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
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
	e.remember(ord)
	e.start(ord)
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

// admitOrder checks what can make the engine refuse an order.
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
		// The token counts from here on, whether or not the order succeeds.
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
	if o.Kind == engine.OrderLoadAdapter && e.find(o.Model, "") == nil {
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

// find returns a resident that can serve requests for a model or adapter.
func (e *Engine) find(model, adapter string) *resident {
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

func (e *Engine) remember(o *order) {
	e.stats.Orders++
	e.orders[o.ID] = o
	e.orderIDs = append(e.orderIDs, o.ID)
	if len(e.orderIDs) > maxOrders {
		delete(e.orders, e.orderIDs[0])
		e.orderIDs = e.orderIDs[1:]
	}
}

// start begins an admitted order. What takes time runs in the background.
func (e *Engine) start(o *order) {
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
		e.account()
		if o.Kind == engine.OrderLoad {
			e.background(o, func() error { return e.fetch(o.Order) }, e.loaded(key, res))
			return
		}
		e.adapters++
		d := e.adapterTime()
		e.background(o, func() error { return e.pause(d) }, e.loaded(key, res))
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		if !exists {
			o.phase = engine.OrderDone
			return
		}
		idle := e.drain(key, res)
		e.background(o, func() error { return e.await(idle) }, func(err error) {
			if err == nil {
				e.unloaded(key)
			}
		})
	case engine.OrderRole:
		e.background(o, func() error { return e.pause(roleTime) }, func(err error) {
			if err == nil {
				e.role = o.Role
			}
		})
	}
}

// background runs a part of an order without the lock, then finish with it.
func (e *Engine) background(o *order, run func() error, finish func(error)) {
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

func (e *Engine) loaded(key resKey, res *resident) func(error) {
	return func(err error) {
		if key.adapter != "" {
			e.adapters--
		}
		if err != nil {
			delete(e.resident, key)
			e.account()
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

// drain keeps new requests off a resident, and off the adapters of a model. The
// channel is closed when the running ones have ended.
func (e *Engine) drain(key resKey, res *resident) <-chan struct{} {
	res.draining = true
	res.idle = make(chan struct{})
	if res.users == 0 {
		close(res.idle)
	}
	if key.adapter == "" && e.find(key.model, "") == nil {
		for k, r := range e.resident {
			if k.model == key.model && k.adapter != "" {
				r.draining = true
			}
		}
	}
	return res.idle
}

func (e *Engine) unloaded(key resKey) {
	delete(e.resident, key)
	if key.adapter == "" && e.find(key.model, "") == nil {
		e.cache.dropModel(key.model)
		for k, r := range e.resident {
			if k.model == key.model && k.adapter != "" && r.draining {
				delete(e.resident, k)
			}
		}
	}
	e.account()
}

func (e *Engine) adapterTime() time.Duration {
	d := e.opts.AdapterMin
	if spread := e.opts.AdapterMax - e.opts.AdapterMin; spread > 0 {
		d += rand.N(spread)
	}
	if e.adapters > e.opts.AdapterParallel {
		d = d * time.Duration(e.adapters) / time.Duration(e.opts.AdapterParallel)
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

func (e *Engine) await(idle <-chan struct{}) error {
	select {
	case <-idle:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// fetch loads weights from the weight store.
func (e *Engine) fetch(o engine.Order) error {
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

func (e *Engine) orderStatus(w http.ResponseWriter, r *http.Request) {
	st := engine.OrderStatus{
		ID:    r.PathValue("id"),
		Phase: engine.OrderUnseen,
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
