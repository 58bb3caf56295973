// Package place decides which models, adapters and versions are resident at
// which endpoint of a failure domain, without ever overcommitting memory.
//
// Ledger accounts for the memory of one endpoint, DemandEstimator estimates the
// demand for models and adapters, a Policy decides moves (Planner, and the
// baselines Static and LRU), and Manager carries them out as a state machine
// without I/O.
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
	// ErrNoMemory means that too little memory is free: it is in use, or booked for
	// orders that may still take effect.
	ErrNoMemory = errors.New("place: not enough free memory")
	// ErrNotSynced means that orders of an earlier holder may still arrive, or that
	// no state has shown the order's fencing token as the endpoint's own.
	ErrNotSynced = errors.New("place: ledger not synchronised with the endpoint")
	// ErrDuplicate means that an order with the same id is already booked.
	ErrDuplicate = errors.New("place: order id already booked")
)

// Item identifies what occupies memory at an endpoint: a version of a model, or
// an adapter for one.
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

// booking is a decided order of which a copy may still take effect.
type booking struct {
	order engine.Order
	// expiresAt is the time from which no copy of the order can arrive any more.
	expiresAt time.Time
}

// LedgerSettings are the properties of the endpoint that a ledger accounts for.
type LedgerSettings struct {
	Endpoint  string
	MemoryMiB int64
	Fencing   bool
	// ClockMargin extends the time until an order's deadline by this fraction, for
	// clocks that run at different rates.
	ClockMargin float64
}

// Ledger accounts for the memory of one endpoint so that loads never overcommit
// it. Memory is booked when an order is decided, and released only by a state of
// the endpoint that was requested after the order's deadline and margin and does
// not show the order as running: no copy of the order can take effect any more.
//
// Nothing else releases memory. A reported order status (done, failed) and a
// higher fencing token are valid only until the endpoint restarts: it then forgets
// both, and a late copy of a finished or refused order may run. A reported status
// only makes the manager read the state. Endpoints that check neither deadline
// nor token are assumed to get no order later than its deadline, and loading an
// item that is resident or loading is assumed to use no additional memory.
//
// A load for a fencing endpoint carries only a token that a state has shown as
// the endpoint's own. Had another holder given an order after that state, the
// endpoint's token would be higher and the load refused. So the ledger knows of
// all memory that is in use when its load is accepted. One case is not covered:
// two nodes that act as stand-in planners at the same time during an outage,
// while the endpoint restarts and forgets its token. There only the endpoint's
// own memory check prevents overcommitment.
type Ledger struct {
	settings      LedgerSettings
	configuredMiB int64 // from the configuration
	reportedMiB   int64 // from the last state, 0 before the first one

	incarnation     string
	hasState        bool
	stateReceivedAt time.Time // when the last applied state was received
	resident        map[Item]int64
	residentItems   []Item                  // sorted
	running         map[string]engine.Order // by id, from the last state
	bookings        map[string]*booking
	fence           engine.Fence // from the last state

	// staleUntil is the time until which orders of earlier holders can arrive.
	staleUntil time.Time
	synced     bool
}

// NewLedger returns a ledger for an endpoint whose state has not been read.
func NewLedger(set LedgerSettings) *Ledger {
	return &Ledger{
		settings:      set,
		configuredMiB: set.MemoryMiB,
		resident:      map[Item]int64{},
		running:       map[string]engine.Order{},
		bookings:      map[string]*booking{},
	}
}

// SetMemory sets the configured memory size. The smaller of it and the size that
// the endpoint reports applies.
func (l *Ledger) SetMemory(mib int64) { l.configuredMiB = mib }

// CanSync reports whether the ledger is not synchronised and a state requested
// at now would synchronise it.
func (l *Ledger) CanSync(now time.Time) bool {
	return !l.synced && !now.Before(l.staleUntil)
}

// Fencing reports whether the endpoint checks fences.
func (l *Ledger) Fencing() bool { return l.settings.Fencing }

// BeginTenure starts the tenure of a new holder. Orders of earlier holders can
// arrive until staleUntil.
func (l *Ledger) BeginTenure(staleUntil time.Time) {
	l.staleUntil = staleUntil
	l.synced = false
}

// Synced reports whether a state was requested after the last order of an earlier
// holder could arrive. Only then may loads be booked.
func (l *Ledger) Synced() bool { return l.synced }

// Incarnation returns the endpoint's incarnation in the last state, "" before the
// first one.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Fence returns the endpoint's highest fencing token in the last state.
func (l *Ledger) Fence() engine.Fence { return l.fence }

// MemoryMiB returns the memory that may be used: the smaller of the configured
// and the reported size.
func (l *Ledger) MemoryMiB() int64 {
	if l.reportedMiB > 0 && l.reportedMiB < l.configuredMiB {
		return l.reportedMiB
	}
	return l.configuredMiB
}

// UsedMiB returns the memory that is in use or may come into use through orders
// that can still take effect.
func (l *Ledger) UsedMiB() int64 {
	var sum int64
	for _, mib := range l.reservedMiB() {
		sum += mib
	}
	return sum
}

// FreeMiB returns the memory that can be booked. It is negative when a changed
// configuration leaves less memory than is in use.
func (l *Ledger) FreeMiB() int64 { return l.MemoryMiB() - l.UsedMiB() }

// reservedMiB returns for each item the most memory that it uses or may use.
func (l *Ledger) reservedMiB() map[Item]int64 {
	out := maps.Clone(l.resident)
	for _, o := range l.running {
		if takesMemory(o.Kind) {
			out[itemOf(o)] = max(out[itemOf(o)], o.MemoryMiB)
		}
	}
	for _, e := range l.bookings {
		if takesMemory(e.order.Kind) {
			out[itemOf(e.order)] = max(out[itemOf(e.order)], e.order.MemoryMiB)
		}
	}
	return out
}

// Resident returns the items that the last state showed as resident, sorted. The
// caller must not change the list.
func (l *Ledger) Resident() []Item { return l.residentItems }

// Has reports whether the last state showed the item as resident.
func (l *Ledger) Has(i Item) bool {
	_, ok := l.resident[i]
	return ok
}

// Reserves reports whether the item is resident or may become so without a
// further order.
func (l *Ledger) Reserves(i Item) bool {
	_, ok := l.reservedMiB()[i]
	return ok
}

// AdditionalMiB returns the memory that loading an item of size mib would add to
// what is already reserved for it.
func (l *Ledger) AdditionalMiB(i Item, mib int64) int64 {
	return max(0, mib-l.reservedMiB()[i])
}

// PendingOrders returns the sorted ids of the orders that can still take effect.
func (l *Ledger) PendingOrders() []string { return slices.Sorted(maps.Keys(l.bookings)) }

// Book reserves the memory for an order decided at now. A booked order may be
// sent any number of times until its deadline. An order that Book rejects must
// not be sent.
func (l *Ledger) Book(now time.Time, o engine.Order) error {
	if _, ok := l.bookings[o.ID]; ok {
		return fmt.Errorf("%w: %s", ErrDuplicate, o.ID)
	}
	if takesMemory(o.Kind) {
		if err := l.checkLoad(o); err != nil {
			return err
		}
	}
	lifetime := o.Deadline.Sub(now)
	l.bookings[o.ID] = &booking{
		order:     o,
		expiresAt: o.Deadline.Add(time.Duration(float64(lifetime) * l.settings.ClockMargin)),
	}
	return nil
}

func (l *Ledger) checkLoad(o engine.Order) error {
	if o.MemoryMiB <= 0 {
		return fmt.Errorf("place: load order for %v has no memory size", itemOf(o))
	}
	if !l.synced {
		return fmt.Errorf("%w: %s", ErrNotSynced, l.settings.Endpoint)
	}
	if l.Fencing() && (o.Fence != l.fence || o.Fence == engine.Fence{}) {
		return fmt.Errorf("%w: %s has fencing token %v, the order has %v", ErrNotSynced, l.settings.Endpoint, l.fence, o.Fence)
	}
	if need, free := l.AdditionalMiB(itemOf(o), o.MemoryMiB), l.FreeMiB(); need > free {
		return fmt.Errorf("%w: %s needs %d MiB for %v, %d MiB are free", ErrNoMemory, l.settings.Endpoint, need, itemOf(o), free)
	}
	return nil
}

// Apply processes a state that was requested at requestedAt and received at receivedAt,
// both on the holder's clock. It reports whether the state was used: a state
// requested before the last one was received may be older than that one and is
// ignored.
func (l *Ledger) Apply(requestedAt, receivedAt time.Time, st engine.State) bool {
	if l.hasState && requestedAt.Before(l.stateReceivedAt) {
		return false
	}
	l.hasState, l.stateReceivedAt = true, receivedAt
	l.incarnation, l.reportedMiB, l.fence = st.Incarnation, st.MemoryMiB, st.Fence

	clear(l.running)
	for _, o := range st.Running {
		l.running[o.ID] = o
	}
	for id, e := range l.bookings {
		if !requestedAt.Before(e.expiresAt) {
			delete(l.bookings, id)
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
		// If the endpoint does not report a size, the last known one is used.
		mib := r.MemoryMiB
		if mib <= 0 {
			mib = before[i]
		}
		l.resident[i] += mib
	}
	l.residentItems = slices.SortedFunc(maps.Keys(l.resident), compareItems)
	l.synced = l.synced || !requestedAt.Before(l.staleUntil)
	return true
}
