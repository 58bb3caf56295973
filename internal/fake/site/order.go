package site

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

type wireOrder struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Expected *int64 `json:"expected"`
}

// serveOrder receives an order to load or unload a model or an adapter.
func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || e.opts.Class == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.rejectMisdirected(w, r) {
		return
	}
	e.mu.Lock()
	maxDelay, incarnation := e.faults.MaxOrderDelay, e.incarnation
	e.mu.Unlock()
	e.opts.Journal.recordOrder(ReceivedOrder{
		At:          time.Now(),
		Endpoint:    e.opts.ID,
		Incarnation: incarnation,
		Holder:      o.Holder,
		Fence:       o.Fence,
	})
	if maxDelay <= 0 {
		w.WriteHeader(e.execute(o))
		return
	}
	after := rand.N(maxDelay)
	e.background.Go(func() {
		select {
		case <-time.After(after):
			e.execute(o)
		case <-e.stopped:
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// execute starts an order and returns the HTTP status of the answer. Loads and
// unloads of models continue in the background.
func (e *Endpoint) execute(o wireOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.findResident(o.Model)
	switch {
	case !e.alive:
		return http.StatusServiceUnavailable
	case o.Expected != nil && *o.Expected != e.acceptedOrders:
		return http.StatusConflict
	case o.Op != "load" && o.Op != "unload":
		return http.StatusBadRequest
	case o.Adapter != "":
		return e.executeAdapterOrder(o, res)
	case o.Op == "load" && res != nil, o.Op == "unload" && res == nil:
		return http.StatusOK
	case e.orderRunning:
		return http.StatusConflict
	}
	i := slices.IndexFunc(e.opts.Class.Models, func(m Model) bool { return m.Name == o.Model })
	if o.Op == "load" && i < 0 {
		return http.StatusBadRequest
	}
	e.acceptedOrders++
	e.orderRunning = true
	incarnation := e.incarnation
	if o.Op == "unload" {
		res.unloading = true
		e.background.Go(func() { e.unload(res, incarnation) })
		return http.StatusAccepted
	}
	m := e.opts.Class.Models[i]
	if size := e.usedMB() + m.MB; size > e.opts.Class.WeightsMB {
		e.opts.Journal.violationf("engine %s was ordered to use %v MB of %v MB", e.opts.ID, size, e.opts.Class.WeightsMB)
	}
	loadSeconds := m.LoadS
	switch {
	case slices.Contains(e.inMemory, m.Name):
		loadSeconds = m.WarmS
	case slices.Contains(e.onDisk, m.Name):
		loadSeconds = m.DiskS
	default:
		e.opts.Journal.recordLoad(time.Now())
	}
	e.background.Go(func() {
		select {
		case <-time.After(time.Duration(loadSeconds * float64(time.Second))):
		case <-e.stopped:
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.incarnation == incarnation {
			e.addResident(m.Name)
			e.orderRunning = false
		}
	})
	return http.StatusAccepted
}

// usedMB returns the memory of resident models and adapters. The caller holds e.mu.
func (e *Endpoint) usedMB() float64 {
	var mb float64
	for _, r := range e.models {
		mb += r.model.MB + float64(len(r.adapters))*r.model.AdapterMB
	}
	return mb
}

// unload waits for the requests of a model to end and removes the model.
func (e *Endpoint) unload(res *resident, incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for res.activeRequests() > 0 {
		freed := e.slotFreed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-e.stopped:
			e.mu.Lock()
			return
		}
		e.mu.Lock()
	}
	if e.alive && e.incarnation == incarnation {
		e.models = slices.DeleteFunc(e.models, func(r *resident) bool { return r == res })
		e.orderRunning = false
	}
}

// executeAdapterOrder loads or unloads an adapter immediately and returns the
// HTTP status of the answer. The caller holds e.mu.
func (e *Endpoint) executeAdapterOrder(o wireOrder, res *resident) int {
	if res == nil {
		return http.StatusMisdirectedRequest
	}
	at := slices.Index(res.adapters, o.Adapter)
	if (o.Op == "load") == (at >= 0) {
		return http.StatusOK
	}
	if o.Op == "unload" {
		if res.activeByAdapter[o.Adapter] > 0 {
			return http.StatusConflict
		}
		e.acceptedOrders++
		res.adapters = slices.Delete(res.adapters, at, at+1)
		return http.StatusOK
	}
	e.acceptedOrders++
	res.adapters = append(res.adapters, o.Adapter)
	n := 0
	for _, r := range e.models {
		n += len(r.adapters)
	}
	if n > e.opts.Class.AdapterSlots || e.usedMB() > e.opts.Class.WeightsMB {
		e.opts.Journal.violationf("engine %s was ordered to use %d adapter slots of %d and %v MB of %v MB", e.opts.ID, n, e.opts.Class.AdapterSlots, e.usedMB(), e.opts.Class.WeightsMB)
	}
	return http.StatusAccepted
}
