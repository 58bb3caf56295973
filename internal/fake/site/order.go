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

// order takes an order about models or adapters.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || e.o.Class == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	late, born := e.faults.LateOrders, e.born
	e.mu.Unlock()
	e.o.Journal.ordered(Given{
		At:       time.Now(),
		Endpoint: e.o.ID,
		Born:     born,
		Holder:   o.Holder,
		Fence:    o.Fence,
	})
	if late <= 0 {
		w.WriteHeader(e.carryOut(o))
		return
	}
	after := rand.N(late)
	e.work.Go(func() {
		select {
		case <-time.After(after):
			e.carryOut(o)
		case <-e.stop:
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// carryOut begins an order, or tells why not by a status.
func (e *Endpoint) carryOut(o wireOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.find(o.Model)
	switch {
	case !e.alive:
		return http.StatusServiceUnavailable
	case o.Expected != nil && *o.Expected != e.accepted:
		return http.StatusConflict
	case o.Op != "load" && o.Op != "unload":
		return http.StatusBadRequest
	case o.Adapter != "":
		return e.adapter(o, held)
	case o.Op == "load" && held != nil, o.Op == "unload" && held == nil:
		return http.StatusOK
	case e.busy:
		return http.StatusConflict
	}
	e.accepted++
	e.busy = true
	born := e.born
	if o.Op == "unload" {
		held.closing = true
		e.work.Go(func() { e.unload(held, born) })
		return http.StatusAccepted
	}
	i := slices.IndexFunc(e.o.Class.Models, func(m Model) bool { return m.Name == o.Model })
	if i < 0 {
		e.busy = false
		return http.StatusBadRequest
	}
	m := e.o.Class.Models[i]
	if size := e.size() + m.MB; size > e.o.Class.WeightsMB {
		e.o.Journal.wrongf("engine %s was ordered to hold %v of %v MB", e.o.ID, size, e.o.Class.WeightsMB)
	}
	took := m.LoadS
	switch {
	case slices.Contains(e.inMemory, m.Name):
		took = m.WarmS
	case slices.Contains(e.onDisk, m.Name):
		took = m.DiskS
	default:
		e.o.Journal.loaded(time.Now())
	}
	e.work.Go(func() {
		select {
		case <-time.After(time.Duration(took * float64(time.Second))):
		case <-e.stop:
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.born == born {
			e.add(m.Name)
			e.busy = false
		}
	})
	return http.StatusAccepted
}

// size is the memory that models and adapters take. The lock is held.
func (e *Endpoint) size() float64 {
	var mb float64
	for _, r := range e.models {
		mb += r.model.MB + float64(len(r.adapters))*r.model.AdapterMB
	}
	return mb
}

// unload drops a model when its requests have ended.
func (e *Endpoint) unload(held *resident, born int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for held.runs() > 0 {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-e.stop:
			e.mu.Lock()
			return
		}
		e.mu.Lock()
	}
	if e.alive && e.born == born {
		e.models = slices.DeleteFunc(e.models, func(r *resident) bool { return r == held })
		e.busy = false
	}
}

// adapter loads or unloads an adapter at once. The lock is held.
func (e *Endpoint) adapter(o wireOrder, held *resident) int {
	if held == nil {
		return http.StatusMisdirectedRequest
	}
	at := slices.Index(held.adapters, o.Adapter)
	if (o.Op == "load") == (at >= 0) {
		return http.StatusOK
	}
	if o.Op == "unload" {
		if held.running[o.Adapter] > 0 {
			return http.StatusConflict
		}
		e.accepted++
		held.adapters = slices.Delete(held.adapters, at, at+1)
		return http.StatusOK
	}
	e.accepted++
	held.adapters = append(held.adapters, o.Adapter)
	n := 0
	for _, r := range e.models {
		n += len(r.adapters)
	}
	if n > e.o.Class.AdapterSlots || e.size() > e.o.Class.WeightsMB {
		e.o.Journal.wrongf("engine %s was ordered to hold %d of %d adapters and %v of %v MB", e.o.ID, n, e.o.Class.AdapterSlots, e.size(), e.o.Class.WeightsMB)
	}
	return http.StatusAccepted
}
