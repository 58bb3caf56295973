package site

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution records that an endpoint ran a request.
type Execution struct {
	At          time.Time
	Request     string
	Target      string // method and path
	Endpoint    string
	Incarnation int64 // start time of the endpoint in Unix milliseconds
	Service     string
	Workspace   string
	Tokens      float64
	// Parts are the ids of the parts of the prompt, without the last one.
	Parts []string
	// LastEventID is the id of the last event that the caller of a resumed stream
	// has.
	LastEventID string
}

// Arrival records that a request reached an endpoint, whether it ran or not, and what the
// endpoint said of itself in its answer.
type Arrival struct {
	At          time.Time
	Request     string
	Endpoint    string
	Incarnation int64 // start time of the endpoint in Unix milliseconds
	// Misdirected is set if the answer has status 421.
	Misdirected bool
	Leaving     bool
	// Limit is the limit that the answer named, empty if it named none.
	Limit string
	// RetryAfter is the header of an answer that turned the request away.
	RetryAfter string
	Form       Form
	// Broken is why the endpoint gave no whole answer, empty if it did or if the client
	// left.
	Broken string
	Ended  time.Time
}

// ReceivedOrder is an order that an engine received, executed or not.
type ReceivedOrder struct {
	At          time.Time
	Endpoint    string
	Incarnation int64 // start time of the endpoint in Unix milliseconds
	Holder      string
	Fence       int64
}

// Journal records the requests and orders that reached the endpoints, and
// violations of rules that the system must keep.
type Journal struct {
	mu         sync.Mutex
	executions []Execution
	arrivals   []Arrival
	orders     []ReceivedOrder
	loadStarts []time.Time
	violations []string
}

func (j *Journal) recordExecution(e Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, e)
}

func (j *Journal) recordArrival(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

// Arrivals returns the requests that reached endpoints, in the order of their answers.
func (j *Journal) Arrivals() []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.arrivals)
}

func (j *Journal) recordOrder(o ReceivedOrder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, o)
}

func (j *Journal) recordLoad(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.loadStarts = append(j.loadStarts, at)
}

func (j *Journal) violationf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// Executions returns the requests that ran, in the order of their start.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.executions)
}

// ExecutionCount returns the number of executions of a request.
func (j *Journal) ExecutionCount(request string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, e := range j.executions {
		if e.Request == request {
			n++
		}
	}
	return n
}

// Orders returns all orders that engines received.
func (j *Journal) Orders() []ReceivedOrder {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.orders)
}

// LoadStarts returns the start times of loads from the weight store.
func (j *Journal) LoadStarts() []time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.loadStarts)
}

// Violations returns descriptions of the violations that endpoints detected, such
// as memory that is overcommitted or a caller's key that was passed on.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}
