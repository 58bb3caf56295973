package site

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Arrival is a request that an endpoint began to run.
type Arrival struct {
	At        time.Time
	Request   string
	Target    string // method and path
	Endpoint  string
	Born      int64
	Service   string
	Workspace string
	Tokens    float64
	// After is the last event before a resumed stream goes on.
	After string
}

// Given is an order that an engine got, whether it carried it out or not.
type Given struct {
	At       time.Time
	Endpoint string
	Born     int64
	Holder   string
	Fence    int64
}

// Journal records what reached the endpoints, and what must never reach them.
type Journal struct {
	mu       sync.Mutex
	arrivals []Arrival
	orders   []Given
	loads    []time.Time
	wrong    []string
}

func (j *Journal) arrived(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

func (j *Journal) ordered(g Given) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, g)
}

func (j *Journal) loaded(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.loads = append(j.loads, at)
}

func (j *Journal) wrongf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.wrong = append(j.wrong, fmt.Sprintf(format, args...))
}

// Arrivals returns the requests that ran, in the order in which they began.
func (j *Journal) Arrivals() []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.arrivals)
}

// Runs returns how often a request ran.
func (j *Journal) Runs(request string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, a := range j.arrivals {
		if a.Request == request {
			n++
		}
	}
	return n
}

// Orders returns all orders that arrived.
func (j *Journal) Orders() []Given {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.orders)
}

// Loads returns when loads from the weight store began.
func (j *Journal) Loads() []time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.loads)
}

// Wrong returns what endpoints saw that the system must never do.
func (j *Journal) Wrong() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.wrong)
}
