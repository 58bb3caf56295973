package fleet

import "slices"

// Resident is a model that is loaded on an engine, with its loaded adapters.
type Resident struct {
	Model    string   `cbor:"1,keyasint"`
	Version  int64    `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Has reports whether an adapter is loaded with the model. It returns true for
// the empty name.
func (r *Resident) Has(adapter string) bool {
	return adapter == "" || slices.Contains(r.Adapters, adapter)
}

// Endpoint is a process that serves requests, with the data it registered.
type Endpoint struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation distinguishes successive processes with the same ID. It is the
	// start time of the process in Unix milliseconds.
	Incarnation int64  `cbor:"2,keyasint"`
	Service     string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Domain      string `cbor:"5,keyasint"`
	Slots       int    `cbor:"6,keyasint,omitempty"`
	Leaving     bool   `cbor:"7,keyasint,omitempty"`
	// Models is what the endpoint held when it wrote its entry. Reports are newer.
	Models []Resident `cbor:"8,keyasint,omitempty"`
}

// Key identifies an incarnation of an endpoint.
type Key struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Key returns the identity of the incarnation.
func (e *Endpoint) Key() Key {
	return Key{
		ID:          e.ID,
		Incarnation: e.Incarnation,
	}
}

// Report is a snapshot of an engine's state and load, made by the engine itself.
type Report struct {
	Key    Key        `cbor:"1,keyasint"`
	Models []Resident `cbor:"2,keyasint,omitempty"`
	// LoadingAdapters lists the adapters that are being loaded, as MODEL/NAME or
	// MODEL/NAME@VERSION.
	LoadingAdapters []string `cbor:"3,keyasint,omitempty"`
	// Busy is set while the engine executes an order.
	Busy bool `cbor:"4,keyasint,omitempty"`
	// OrdersAccepted is the number of orders that this incarnation has accepted.
	OrdersAccepted int64    `cbor:"5,keyasint,omitempty"`
	Queued         int      `cbor:"6,keyasint,omitempty"`
	Active         int      `cbor:"7,keyasint,omitempty"`
	CacheUsed      int      `cbor:"8,keyasint,omitempty"`
	CacheTotal     int      `cbor:"9,keyasint,omitempty"`
	InMemory       []string `cbor:"10,keyasint,omitempty"`
	OnDisk         []string `cbor:"11,keyasint,omitempty"`
}

// Find returns the resident entry of a model, or nil.
func Find(models []Resident, name string) *Resident {
	for i := range models {
		if models[i].Model == name {
			return &models[i]
		}
	}
	return nil
}
