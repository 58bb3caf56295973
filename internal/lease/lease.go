// Package lease provides exclusive leases through the platform's table.
//
// A lease is one row. The holder extends it by conditional updates; its
// validity is measured on the holder's own clock from before each write was
// sent. Another process takes the row only after the term plus a margin has
// passed during which it saw the row unchanged, or after the holder gave it
// back. The row is never deleted, because its version is the lease's epoch and
// must not start again at 1.
package lease

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/store"
)

// Margin is the part of the term by which a candidate waits longer than the
// holder may use the lease. It covers clocks that run at different rates.
const Margin = 0.1

// maxPending bounds the writes without an answer that are remembered. Older
// ones are forgotten, which can only shorten the validity of the lease.
const maxPending = 16

// Record is the value of a lease row.
type Record struct {
	// Holder is empty when the lease was given back.
	Holder      string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Term        time.Duration `cbor:"3,keyasint"`
	// Write numbers the writes of one incarnation. A read that shows it settles
	// which of several writes without an answer took effect.
	Write int64 `cbor:"4,keyasint"`
	// Note is what the holder wants its successors to know.
	Note []byte `cbor:"5,keyasint,omitempty"`
}

// Validate reports what is wrong with a record.
func (r Record) Validate() error {
	if r.Term <= 0 {
		return fmt.Errorf("lease: term %v is not positive", r.Term)
	}
	if r.Holder != "" && r.Incarnation == "" {
		return fmt.Errorf("lease: holder %q has no incarnation", r.Holder)
	}
	return nil
}

// Settings describe one candidate for one lease.
type Settings struct {
	// Key is the key of the row, for example "lease/place/north".
	Key         string
	Holder      string
	Incarnation string
	// Term is how long one write makes the lease valid.
	Term time.Duration
	// Renew is the time between two writes of the holder, and between two reads
	// of a candidate.
	Renew time.Duration
	// Reclaim tells that an earlier incarnation of the holder is dead for sure,
	// for example because this one listens on the address that names the holder.
	Reclaim bool
	// Note is written with each renewal; it may be nil.
	Note func() []byte
}

// OpKind is a request to the table.
type OpKind int

// The kinds of request.
const (
	OpNone OpKind = iota
	OpRead
	OpInsert
	OpUpdate
)

// Op is the request that a lease needs next.
type Op struct {
	Kind    OpKind
	Value   []byte
	Version int64
	write   int64
	release bool
}

// EventKind is a change of a lease as its candidate sees it.
type EventKind string

// The changes of a lease.
const (
	EventNone     EventKind = ""
	EventTaken    EventKind = "taken"
	EventLost     EventKind = "lost"
	EventLapsed   EventKind = "lapsed"
	EventGiven    EventKind = "given-back"
	EventRegained EventKind = "regained"
)

// Event is a change of state with a plain sentence for operators.
type Event struct {
	Kind     EventKind
	Sentence string
}

type pendingWrite struct {
	write   int64
	sent    time.Time
	version int64
}

// Lease is the state of one candidate. It has no goroutine and does no I/O.
type Lease struct {
	set Settings

	known   bool // the row was read or written at least once
	exists  bool
	version int64
	rec     Record
	// seenAt is when this candidate first saw the current version; the write
	// happened earlier.
	seenAt time.Time

	// former is the last other incarnation that wrote the row.
	former string
	// formerNote is what that incarnation wrote for its successors.
	formerNote []byte

	epoch  int64
	until  time.Time
	since  time.Time
	held   bool // the row names this incarnation
	lapsed bool

	writes  int64
	pending []pendingWrite
	// released is the highest version that a give-back was sent for. While the
	// row has this version, a late give-back may still free it.
	released int64
	mustRead bool
	next     time.Time
	quit     bool
}

// New returns a candidate that has not seen the row.
func New(set Settings) *Lease {
	return &Lease{
		set:      set,
		released: -1,
	}
}

// Valid reports whether the lease may be used at now, a time of the candidate's
// own clock. A caller checks it directly before each use.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && !l.quit && l.released < l.version && now.Before(l.until)
}

// Until is the end of validity on the candidate's own clock. It is zero when
// the lease is not held.
func (l *Lease) Until() time.Time {
	if !l.held || l.quit || l.released >= l.version {
		return time.Time{}
	}
	return l.until
}

// Since is when the current holding began. It stays the same while the version
// chain of the row shows that nobody else held the lease in between, even if
// validity lapsed.
func (l *Lease) Since() time.Time { return l.since }

// Epoch is the row version of the last own write that took effect. It grows
// with each write and is never the same for two holders.
func (l *Lease) Epoch() int64 { return l.epoch }

// Holder names the holder that the row showed last, "" when it is free.
func (l *Lease) Holder() string { return l.rec.Holder }

// Former is the last other incarnation that held the lease, "" when this
// candidate is the first one ever.
func (l *Lease) Former() string { return l.former }

// FormerNote is what the last other incarnation wrote for its successors.
func (l *Lease) FormerNote() []byte { return l.formerNote }

// Note is what the holder of the row that was seen last wrote for its successors.
func (l *Lease) Note() []byte { return l.rec.Note }

// Row returns the row as it was seen last, for candidates that hear of it from
// the holder instead of the table.
func (l *Lease) Row() (store.Row, bool) {
	if !l.exists {
		return store.Row{}, false
	}
	rec := l.rec
	// The note is for those who read the table.
	rec.Note = nil
	value, err := cbor.Marshal(rec)
	if err != nil {
		// The record has only strings, bytes and integers, which always encode.
		panic("lease: encode record: " + err.Error())
	}
	return store.Row{
		Key:     l.set.Key,
		Value:   value,
		Version: l.version,
	}, true
}

// Heard takes over a row that the holder told of. It counts like a read, and
// the next read is due one renewal later.
func (l *Lease) Heard(now time.Time, row store.Row) (Event, error) {
	if l.held || l.mustRead || row.Version < l.version {
		return Event{}, nil
	}
	ev, err := l.onRead(now, row, nil)
	if err == nil && !l.held && l.rec.Holder != "" {
		l.next = now.Add(l.set.Renew)
	}
	return ev, err
}

// Recheck makes a read due at once, for a candidate that has lost the holder.
func (l *Lease) Recheck() {
	if !l.held {
		l.next = time.Time{}
	}
}

// Release ends the use of the lease at once; the next operations give the row back.
func (l *Lease) Release() { l.quit = true }

// Released reports whether the row was given back or was never held.
func (l *Lease) Released() bool { return l.quit && !l.held && len(l.pending) == 0 }

// Resume makes the candidate compete again after Release. If a give-back was
// sent, the lease is valid again only after a later write of this candidate.
func (l *Lease) Resume() { l.quit = false }

// Next returns the request that is due at now.
func (l *Lease) Next(now time.Time) Op {
	switch {
	case l.quit && !l.held && len(l.pending) == 0:
		return Op{}
	case !l.known || l.mustRead:
		if now.Before(l.next) && !l.quit {
			return Op{}
		}
		return Op{
			Kind: OpRead,
		}
	case l.quit && !l.held:
		// The read has shown that no own write holds the row; one that arrives
		// later only lets the others wait for the term.
		l.pending = nil
		return Op{}
	case l.quit:
		return l.write(true)
	case l.held:
		if now.Before(l.next) {
			return Op{}
		}
		return l.write(false)
	case l.free(now):
		if now.Before(l.next) {
			return Op{}
		}
		return l.write(false)
	case now.Before(l.next):
		return Op{}
	default:
		return Op{
			Kind: OpRead,
		}
	}
}

// free reports whether the row may be taken at now.
func (l *Lease) free(now time.Time) bool {
	if !l.exists || l.rec.Holder == "" {
		return true
	}
	if l.set.Reclaim && l.rec.Holder == l.set.Holder && l.rec.Incarnation != l.set.Incarnation {
		return true
	}
	return !now.Before(l.seenAt.Add(wait(l.rec)))
}

// wait is how long a row must stay unchanged before another process takes it.
func wait(rec Record) time.Duration {
	return rec.Term + time.Duration(float64(rec.Term)*Margin)
}

func (l *Lease) write(release bool) Op {
	l.writes++
	rec := Record{
		Holder:      l.set.Holder,
		Incarnation: l.set.Incarnation,
		Term:        l.set.Term,
		Write:       l.writes,
	}
	if release {
		rec.Holder = ""
	}
	if l.set.Note != nil {
		rec.Note = l.set.Note()
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		// The record has only strings and integers, which always encode.
		panic("lease: encode record: " + err.Error())
	}
	op := Op{
		Kind:    OpUpdate,
		Value:   value,
		Version: l.version,
		write:   l.writes,
		release: release,
	}
	if !l.exists {
		op.Kind, op.Version = OpInsert, 0
	}
	return op
}

// Sent records that op is about to be sent at now.
func (l *Lease) Sent(op Op, now time.Time) {
	l.next = now.Add(l.set.Renew)
	if op.Kind != OpInsert && op.Kind != OpUpdate {
		return
	}
	if op.release {
		l.released = max(l.released, op.Version)
	}
	l.pending = append(l.pending, pendingWrite{
		write:   op.write,
		sent:    now,
		version: op.Version,
	})
	if len(l.pending) > maxPending {
		l.pending = l.pending[1:]
	}
}

// Answer applies the outcome of op. now is a time after the answer arrived.
func (l *Lease) Answer(op Op, now time.Time, row store.Row, opErr error) (Event, error) {
	switch op.Kind {
	case OpRead:
		return l.onRead(now, row, opErr)
	case OpInsert, OpUpdate:
		return l.onWrite(op, now, row, opErr)
	default:
		return Event{}, nil
	}
}

func (l *Lease) onRead(now time.Time, row store.Row, opErr error) (Event, error) {
	if errors.Is(opErr, store.ErrAbsent) {
		if l.known && l.exists {
			// Deleting the row would restart its version and with it the epoch.
			return Event{}, fmt.Errorf("lease: row %s of version %d has disappeared", l.set.Key, l.version)
		}
		l.known, l.mustRead, l.exists = true, false, false
		l.next = time.Time{}
		return Event{}, nil
	}
	if opErr != nil {
		l.next = now.Add(l.set.Renew / 3)
		return Event{}, fmt.Errorf("lease: read %s: %w", l.set.Key, opErr)
	}
	var rec Record
	if err := cbor.Unmarshal(row.Value, &rec); err != nil {
		return Event{}, fmt.Errorf("lease: decode %s: %w", l.set.Key, err)
	}
	if err := rec.Validate(); err != nil {
		return Event{}, err
	}
	if l.known && l.exists && row.Version < l.version {
		// A late answer of an earlier read tells nothing new.
		return Event{}, nil
	}
	l.mustRead = false
	if rec.Holder == "" {
		// A lease that was given back is taken without waiting.
		l.next = time.Time{}
	}
	ev := l.observe(now, row.Version, rec)
	if !l.held && rec.Holder != "" {
		// The row is taken as soon as it may be, not at the next read after it.
		if end := l.seenAt.Add(wait(rec)); end.Before(l.next) {
			l.next = end
		}
	}
	return ev, nil
}

// observe takes over what the row holds at a version.
func (l *Lease) observe(now time.Time, version int64, rec Record) Event {
	if !l.known || !l.exists || version != l.version {
		l.seenAt = now
	}
	wasHeld := l.held
	l.known, l.exists, l.version, l.rec = true, true, version, rec
	if rec.Incarnation != l.set.Incarnation {
		l.former, l.formerNote = rec.Incarnation, rec.Note
		l.held, l.until = false, time.Time{}
		l.settle(version)
		if wasHeld {
			return Event{
				Kind:     EventLost,
				Sentence: fmt.Sprintf("%s now holds %s, because this process did not renew in time.", rec.Holder, l.set.Key),
			}
		}
		return Event{}
	}
	if rec.Holder == "" {
		l.held, l.until = false, time.Time{}
		l.settle(version)
		return Event{
			Kind:     EventGiven,
			Sentence: fmt.Sprintf("This process gave %s back.", l.set.Key),
		}
	}
	l.epoch = version
	for _, p := range l.pending {
		if p.write == rec.Write {
			// Validity counts from before the write was sent, however late the
			// answer is.
			l.until = p.sent.Add(rec.Term)
		}
	}
	l.settle(version)
	l.held = true
	if wasHeld {
		if l.lapsed {
			l.lapsed = false
			return Event{
				Kind:     EventRegained,
				Sentence: fmt.Sprintf("%s was renewed late; nobody else held it in between.", l.set.Key),
			}
		}
		return Event{}
	}
	l.since, l.lapsed = now, false
	return Event{
		Kind:     EventTaken,
		Sentence: fmt.Sprintf("This process took %s.", l.set.Key),
	}
}

// settle drops the pending writes that can no longer take effect: their
// condition names a version below the one that the row has.
func (l *Lease) settle(version int64) {
	rest := l.pending[:0]
	for _, p := range l.pending {
		if p.version >= version {
			rest = append(rest, p)
		}
	}
	l.pending = rest
}

func (l *Lease) onWrite(op Op, now time.Time, row store.Row, opErr error) (Event, error) {
	if opErr == nil {
		var rec Record
		if err := cbor.Unmarshal(op.Value, &rec); err != nil {
			return Event{}, fmt.Errorf("lease: decode own record: %w", err)
		}
		if l.known && l.exists && row.Version <= l.version {
			return Event{}, nil
		}
		return l.observe(now, row.Version, rec), nil
	}
	if errors.Is(opErr, store.ErrUnavailable) {
		// The request had no effect.
		for i, p := range l.pending {
			if p.write == op.write {
				l.pending = append(l.pending[:i], l.pending[i+1:]...)
				break
			}
		}
		l.next = now.Add(l.set.Renew / 3)
		return Event{}, fmt.Errorf("lease: write %s: %w", l.set.Key, opErr)
	}
	// After a conflict the row shows who won; after a lost answer it shows
	// whether the write took effect. Both are read at once.
	l.mustRead = true
	l.next = time.Time{}
	if errors.Is(opErr, store.ErrConflict) {
		return Event{}, nil
	}
	return Event{}, fmt.Errorf("lease: write %s: %w", l.set.Key, opErr)
}

// Lapse reports once that a held lease ended on the candidate's own clock.
func (l *Lease) Lapse(now time.Time) Event {
	if !l.held || l.quit || l.lapsed || now.Before(l.until) {
		return Event{}
	}
	l.lapsed = true
	return Event{
		Kind:     EventLapsed,
		Sentence: fmt.Sprintf("%s could not be renewed within its term and is not used.", l.set.Key),
	}
}
