// Package place decides which models, adapters and versions are resident at
// which endpoint of a failure domain, without ever overcommitting memory.
//
// Ledger guards the memory of one endpoint, Demand estimates what is asked for,
// a Policy decides moves (Planner, and the baselines Static and LRU), and
// Manager carries them out as a state machine without I/O.
//
// The policies are compared with the figures of both user organisations by
//
//	go test ./internal/place -run TestMeasurePolicies -v
//
// and the cost of a step at the design size is measured by
//
//	go test ./internal/place -run NONE -bench Step -benchmem
package place

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
)

// Errors of Ledger.Book.
var (
	// ErrNoRoom means that the memory is taken or may still be taken.
	ErrNoRoom = errors.New("place: no room")
	// ErrUnsettled means that the ledger does not know yet which orders of an
	// earlier holder can still arrive.
	ErrUnsettled = errors.New("place: endpoint not settled")
	// ErrDuplicate means that an order with this id is booked.
	ErrDuplicate = errors.New("place: order id already booked")
)

// Item is something that takes memory at an endpoint: a version of a model, or
// an adapter of it.
type Item struct {
	Model   string
	Version string
	Adapter string
}

// String implements fmt.Stringer.
func (i Item) String() string {
	s := i.Model
	if i.Version != "" {
		s += "@" + i.Version
	}
	if i.Adapter != "" {
		s += "/" + i.Adapter
	}
	return s
}

func compareItems(a, b Item) int {
	if c := strings.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	if c := strings.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(a.Adapter, b.Adapter)
}

func itemOf(o engine.Order) Item {
	return Item{
		Model:   o.Model,
		Version: o.Version,
		Adapter: o.Adapter,
	}
}

func takesMemory(k engine.OrderKind) bool {
	return k == engine.OrderLoad || k == engine.OrderLoadAdapter
}

// entry is an order of which a copy may still take effect.
type entry struct {
	order engine.Order
	// gone is when no copy of the order can arrive any more.
	gone time.Time
}

// LedgerSettings describe one endpoint to its ledger.
type LedgerSettings struct {
	Endpoint  string
	MemoryMiB int64
	Fencing   bool
	// Margin is added to the time until an order's deadline, as a part of it.
	Margin float64
}

// Ledger guards the memory of one endpoint. Memory is booked when an order is
// decided, and released only by a state of the endpoint that was read after the
// order's deadline and margin and does not show the order as running: no copy
// of the order can take effect any more.
//
// Nothing else releases. The endpoint's word on an order ("done", "failed") and
// a higher fence hold only until the endpoint restarts: it then forgets both,
// and a late copy of a finished or refused order may run. The word makes the
// manager read the state. Endpoints that check neither deadline nor fence are
// assumed to get no order later than its deadline, and loading an item that is
// resident or loading is assumed to take no second copy.
//
// A load for a fencing endpoint carries only a fence that a state has shown as
// the endpoint's own. Had another holder ordered something after that state, the
// endpoint's fence would be higher and the load refused. So the ledger knows of
// all memory that is in use when its load is accepted. This does not cover two
// nodes that stand in at the same time during an outage while the endpoint
// restarts and forgets its fence; there the endpoint's own check of its memory
// remains.
type Ledger struct {
	set      LedgerSettings
	memory   int64 // as the configuration has it
	reported int64 // as the endpoint has it, 0 before the first state

	incarnation string
	read        bool
	readUntil   time.Time // when the answer of the last state read was received
	resident    map[Item]int64
	order       []Item                  // the resident items in order
	running     map[string]engine.Order // orders that the last state showed as running
	entries     map[string]*entry
	fence       engine.Fence // as the last state had it

	// quiet is when no order of an earlier holder can arrive any more.
	quiet   time.Time
	settled bool
}

// NewLedger returns the ledger of an endpoint of which nothing is known.
func NewLedger(set LedgerSettings) *Ledger {
	return &Ledger{
		set:      set,
		memory:   set.MemoryMiB,
		resident: map[Item]int64{},
		running:  map[string]engine.Order{},
		entries:  map[string]*entry{},
	}
}

// SetMemory takes over a changed size from the configuration. The smaller of
// it and the endpoint's own figure counts.
func (l *Ledger) SetMemory(mib int64) { l.memory = mib }

// SettlesBy reports whether a state that is asked for at now settles the ledger.
func (l *Ledger) SettlesBy(now time.Time) bool {
	return !l.settled && !now.Before(l.quiet)
}

// Fencing reports whether the endpoint checks fences.
func (l *Ledger) Fencing() bool { return l.set.Fencing }

// Begin starts the work of a new holder. Orders of earlier holders can arrive
// until quiet.
func (l *Ledger) Begin(quiet time.Time) {
	l.quiet = quiet
	l.settled = false
}

// Settled reports whether loads may be booked.
func (l *Ledger) Settled() bool { return l.settled }

// Incarnation is the endpoint's incarnation in the last state, "" before it.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Fence is the endpoint's highest fence in the last state.
func (l *Ledger) Fence() engine.Fence { return l.fence }

// MemoryMiB is the memory that may be used.
func (l *Ledger) MemoryMiB() int64 {
	if l.reported > 0 && l.reported < l.memory {
		return l.reported
	}
	return l.memory
}

// UsedMiB is the memory that is in use or may come into use through orders
// that can still take effect.
func (l *Ledger) UsedMiB() int64 {
	var sum int64
	for _, mib := range l.possible() {
		sum += mib
	}
	return sum
}

// FreeMiB is what can be booked. It is negative when a changed configuration
// leaves less memory than is in use.
func (l *Ledger) FreeMiB() int64 { return l.MemoryMiB() - l.UsedMiB() }

// possible gives for each item the most memory that it takes or may take.
func (l *Ledger) possible() map[Item]int64 {
	out := maps.Clone(l.resident)
	for _, o := range l.running {
		if takesMemory(o.Kind) {
			out[itemOf(o)] = max(out[itemOf(o)], o.MemoryMiB)
		}
	}
	for _, e := range l.entries {
		if takesMemory(e.order.Kind) {
			out[itemOf(e.order)] = max(out[itemOf(e.order)], e.order.MemoryMiB)
		}
	}
	return out
}

// Resident lists what the last state showed as resident, in order. The caller
// does not change the list.
func (l *Ledger) Resident() []Item { return l.order }

// Has reports whether the last state showed the item as resident.
func (l *Ledger) Has(i Item) bool {
	_, ok := l.resident[i]
	return ok
}

// Possible reports whether the item is resident or may become so without a
// further order.
func (l *Ledger) Possible(i Item) bool {
	_, ok := l.possible()[i]
	return ok
}

// Cost is the memory that a load of the item would add.
func (l *Ledger) Cost(i Item, mib int64) int64 {
	return max(0, mib-l.possible()[i])
}

// Open lists the ids of the orders that can still take effect, in order.
func (l *Ledger) Open() []string { return slices.Sorted(maps.Keys(l.entries)) }

// Book reserves what an order decided at now needs. After it the order may be
// sent, once or more often, but not after its deadline. An order that is
// refused here may not be sent.
func (l *Ledger) Book(now time.Time, o engine.Order) error {
	if _, ok := l.entries[o.ID]; ok {
		return fmt.Errorf("%w: %s", ErrDuplicate, o.ID)
	}
	if takesMemory(o.Kind) {
		if err := l.check(o); err != nil {
			return err
		}
	}
	life := o.Deadline.Sub(now)
	l.entries[o.ID] = &entry{
		order: o,
		gone:  o.Deadline.Add(time.Duration(float64(life) * l.set.Margin)),
	}
	return nil
}

func (l *Ledger) check(o engine.Order) error {
	if o.MemoryMiB <= 0 {
		return fmt.Errorf("place: load of %v without a size", itemOf(o))
	}
	if !l.settled {
		return fmt.Errorf("%w: %s", ErrUnsettled, l.set.Endpoint)
	}
	if l.Fencing() && (o.Fence != l.fence || o.Fence == engine.Fence{}) {
		return fmt.Errorf("%w: %s has fence %v, the order %v", ErrUnsettled, l.set.Endpoint, l.fence, o.Fence)
	}
	if need, free := l.Cost(itemOf(o), o.MemoryMiB), l.FreeMiB(); need > free {
		return fmt.Errorf("%w: %s needs %d MiB for %v, %d MiB are free", ErrNoRoom, l.set.Endpoint, need, itemOf(o), free)
	}
	return nil
}

// Apply takes over a state that was asked for at asked and whose answer was
// received at received, both on the holder's clock. It reports whether the
// state was used: one that was asked for before the answer of an earlier state
// arrived may be older than that one and is ignored.
func (l *Ledger) Apply(asked, received time.Time, st engine.State) bool {
	if l.read && asked.Before(l.readUntil) {
		return false
	}
	l.read, l.readUntil = true, received
	l.incarnation, l.reported, l.fence = st.Incarnation, st.MemoryMiB, st.Fence

	clear(l.running)
	for _, o := range st.Running {
		l.running[o.ID] = o
	}
	for id, e := range l.entries {
		if !asked.Before(e.gone) {
			delete(l.entries, id)
		}
	}
	before := l.resident
	l.resident = make(map[Item]int64, len(st.Resident))
	for _, r := range st.Resident {
		i := Item{
			Model:   r.Model,
			Version: r.Version,
			Adapter: r.Adapter,
		}
		// An endpoint that leaves out a size is counted with the last known one.
		mib := r.MemoryMiB
		if mib <= 0 {
			mib = before[i]
		}
		l.resident[i] += mib
	}
	l.order = slices.SortedFunc(maps.Keys(l.resident), compareItems)
	l.settled = l.settled || !asked.Before(l.quiet)
	return true
}
