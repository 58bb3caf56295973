package site

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Arrival is the execution of a request by an endpoint.
type Arrival struct {
	At        time.Time
	Request   string
	Target    string // method and path
	Endpoint  string
	Born      int64
	Service   string
	Workspace string
	Tokens    float64
	// After is the id of the last event that the caller of a resumed stream has.
	After string
}

// Given is an order that an engine received, executed or not.
type Given struct {
	At       time.Time
	Endpoint string
	Born     int64
	Holder   string
	Fence    int64
}

// Journal records the requests and orders that reached the endpoints, and
// violations of rules that the system must keep.
type Journal struct {
	mu         sync.Mutex
	arrivals   []Arrival
	orders     []Given
	loads      []time.Time
	violations []string
}

func (j *Journal) recordArrival(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

func (j *Journal) recordOrder(g Given) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, g)
}

func (j *Journal) recordLoad(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.loads = append(j.loads, at)
}

func (j *Journal) violationf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// Arrivals returns the requests that ran, in the order of their start.
func (j *Journal) Arrivals() []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.arrivals)
}

// Runs returns the number of executions of a request.
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

// Orders returns all orders that engines received.
func (j *Journal) Orders() []Given {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.orders)
}

// Loads returns the start times of loads from the weight store.
func (j *Journal) Loads() []time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.loads)
}

// Wrong returns descriptions of the violations that endpoints detected, such as
// memory that is overcommitted or a caller's key that was passed on.
func (j *Journal) Wrong() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}
