// Package lease provides exclusive leases through the platform's table.
//
// A lease is one row of the table. The processes that compete for it are its
// candidates; the holder renews it by conditional updates. Its validity is
// measured on the holder's own clock, from before each write was sent. Another
// candidate takes the lease only after it has seen the row unchanged for the term
// plus a margin, or after the holder released the lease. The row is never
// deleted, because its version is the epoch of the lease and must not restart
// at 1.
//
// A table whose store was restored from a copy (see store.Era) may show an older row,
// which anyone may have replaced since, or none. Nobody holds the lease by such a row. A
// candidate whose lease is still valid on its own clock renews it on top of that row;
// all others wait from when they first saw it.
package lease

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/store"
)

// Margin is the fraction of the term that a candidate waits beyond the term. It
// allows for clocks that run at different rates.
const Margin = 0.1

// maxPending bounds the unanswered writes that are kept. Dropping the oldest ones
// can only shorten the validity of the lease.
const maxPending = 16

// Record is the value of a lease row.
type Record struct {
	// Holder is empty after the lease was released.
	Holder      string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Term        time.Duration `cbor:"3,keyasint"`
	// Write numbers the writes of one incarnation. A read of the row shows which
	// of several unanswered writes took effect.
	Write int64 `cbor:"4,keyasint"`
	// Note is data from the holder for its successors.
	Note []byte `cbor:"5,keyasint,omitempty"`
	// Era is the era of the row on top of which the record was written. In a row of
	// another era the record is from a copy, or the condition of its write was met by
	// other content with the same version.
	Era int64 `cbor:"6,keyasint,omitempty"`
}

// Validate checks a decoded record.
func (r Record) Validate() error {
	if r.Term <= 0 {
		return fmt.Errorf("lease: term %v is not positive", r.Term)
	}
	if r.Holder != "" && r.Incarnation == "" {
		return fmt.Errorf("lease: holder %q has no incarnation", r.Holder)
	}
	return nil
}

// Settings configures one candidate for a lease.
type Settings struct {
	// Key is the key of the row, for example "lease/place/north".
	Key         string
	Holder      string
	Incarnation string
	// Term is how long the lease is valid after a write was sent.
	Term time.Duration
	// RenewInterval is the interval between writes of the holder and between reads
	// of the other candidates.
	RenewInterval time.Duration
	// ReclaimOwn lets the candidate take the lease of an earlier incarnation of the
	// same holder without waiting. It may be set only if that incarnation has
	// certainly ended, for example because this one listens on the address that
	// is the holder's name.
	ReclaimOwn bool
	// Note returns the note to store with each write; it may be nil.
	Note func() []byte
}

// OpKind is the kind of a request to the table.
type OpKind int

// The values of OpKind.
const (
	OpNone OpKind = iota
	OpRead
	OpInsert
	OpUpdate
)

// Op is a request to the table.
type Op struct {
	Kind    OpKind
	Value   []byte
	Version int64
	write   int64
	release bool
}

// EventKind is the kind of a change of the lease, from the candidate's point of
// view.
type EventKind string

// The values of EventKind.
const (
	EventNone     EventKind = ""
	EventTaken    EventKind = "taken"
	EventLost     EventKind = "lost"
	EventExpired  EventKind = "lapsed"
	EventReleased EventKind = "given-back"
	EventRegained EventKind = "regained"
)

// Event is a change of the lease with a description for operators.
type Event struct {
	Kind        EventKind
	Description string
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	write   int64
	sent    time.Time
	version int64
}

// Lease is the state of one candidate. It starts no goroutines and does no I/O:
// Next returns a request, the caller calls MarkSent before it sends the request
// and passes the outcome to HandleResult.
type Lease struct {
	settings Settings

	known   bool // the row was read or written at least once
	exists  bool
	version int64 // of the row, or of the table when the row was found missing
	record  Record
	// foreign is set while the row is of another era than its record, or while it is
	// missing in a restored table.
	foreign bool
	// rewritten is set if a foreign row was seen to change within its era: its writer does
	// not state the era, as processes of former builds.
	rewritten bool
	// formerUnknown is set if the lease was free or expired on top of a foreign row: the
	// holder before may not be the one that the table names.
	formerUnknown bool
	// seenAt is when this candidate first saw the current version, which was
	// written before.
	seenAt time.Time

	// previousIncarnation is the last incarnation other than this one that wrote
	// the row.
	previousIncarnation string
	// previousNote is the last note of previousIncarnation.
	previousNote []byte

	epoch      int64
	validUntil time.Time
	heldSince  time.Time
	held       bool // the row names this incarnation
	expired    bool
	// unresolved is set while the lease has expired on top of a foreign row and no row
	// of another holder was seen since.
	unresolved bool

	writes  int64
	pending []pendingWrite
	// releaseVersion is the highest row version for which a write that releases
	// the lease was sent. While the row has this version, that write may still
	// take effect.
	releaseVersion int64
	mustRead       bool
	nextDue        time.Time
	releasing      bool
}

// New returns a candidate that has not read the row yet.
func New(set Settings) *Lease {
	return &Lease{
		settings:       set,
		releaseVersion: -1,
	}
}

// Valid reports whether the candidate holds the lease at now, a time of its own
// clock. It has to be checked directly before each use of the lease.
func (l *Lease) Valid(now time.Time) bool {
	return l.usable(now) && !l.releasing
}

// Until returns the end of the validity on the candidate's own clock, or zero if
// the candidate doesn't hold the lease. The end is past, and not zero, as long as the
// lease has expired and nothing shows that another candidate took it.
func (l *Lease) Until() time.Time {
	if !l.held && !l.unresolved || l.releasing || l.releaseVersion >= l.version {
		return time.Time{}
	}
	return l.validUntil
}

// Since returns when the candidate took the lease. It stays the same after a late
// renewal if the row versions show that no other candidate held the lease in
// between.
func (l *Lease) Since() time.Time { return l.heldSince }

// Epoch returns the row version of the last own write that took effect. It grows
// with each write, and no two holders ever have the same epoch.
func (l *Lease) Epoch() int64 { return l.epoch }

// Holder returns the holder in the last known row, or "" if the lease was
// released or the row may be from a copy.
func (l *Lease) Holder() string {
	switch {
	case l.foreign && l.held:
		return l.settings.Holder
	case l.foreign && !l.rewritten:
		return ""
	}
	return l.record.Holder
}

// Version returns the version of the last known row.
func (l *Lease) Version() int64 { return l.version }

// IsFormerKnown reports whether the last other holder is certainly the one that
// PreviousIncarnation returns. After the table was restored from a copy, another one may
// have held the lease.
func (l *Lease) IsFormerKnown() bool { return !l.formerUnknown }

// PreviousIncarnation returns the last other incarnation that wrote the row, or ""
// if this candidate has seen none.
func (l *Lease) PreviousIncarnation() string { return l.previousIncarnation }

// PreviousNote returns the last note of the incarnation that PreviousIncarnation
// returns.
func (l *Lease) PreviousNote() []byte { return l.previousNote }

// Note returns the note in the last known row.
func (l *Lease) Note() []byte { return l.record.Note }

// Row returns the last known row without its note. The holder sends it to other
// candidates, which then don't have to read the table.
func (l *Lease) Row() (store.Row, bool) {
	if !l.exists || l.foreign {
		return store.Row{}, false
	}
	rec := l.record
	// Only readers of the table need the note.
	rec.Note = nil
	value, err := cbor.Marshal(rec)
	if err != nil {
		// The record holds only strings, bytes and integers, so encoding can't fail.
		panic("lease: encode record: " + err.Error())
	}
	return store.Row{
		Key:     l.settings.Key,
		Value:   value,
		Version: l.version,
	}, true
}

// ApplyRow applies a row that was received from the holder as if it had been read
// from the table. The next read is due one renewal interval later.
func (l *Lease) ApplyRow(now time.Time, row store.Row) (Event, error) {
	if l.held || l.mustRead || row.Version < l.version {
		return Event{}, nil
	}
	ev, err := l.onRead(now, row, nil)
	if err == nil && !l.held && l.record.Holder != "" {
		l.nextDue = now.Add(l.settings.RenewInterval)
	}
	return ev, err
}

// ReadNow makes a read due at once, for a candidate that receives no more
// renewals from the holder.
func (l *Lease) ReadNow() {
	if !l.held {
		l.nextDue = time.Time{}
	}
}

// Release ends the validity at once. The next requests write the release to the
// row.
func (l *Lease) Release() { l.releasing, l.unresolved = true, false }

// Released reports whether, after Release, the lease has been released or was not
// held.
func (l *Lease) Released() bool { return l.releasing && !l.held && len(l.pending) == 0 }

// Resume makes the candidate compete again after Release. If a write that
// releases the lease was already sent, the lease becomes valid only with a later
// write.
func (l *Lease) Resume() { l.releasing = false }

// Next returns the request that is due at now, or one of kind OpNone.
func (l *Lease) Next(now time.Time) Op {
	l.dropForeign(now)
	switch {
	case l.releasing && !l.held && len(l.pending) == 0:
		return Op{}
	case !l.known || l.mustRead:
		if now.Before(l.nextDue) && !l.releasing {
			return Op{}
		}
		return Op{
			Kind: OpRead,
		}
	case l.releasing && !l.held:
		// The read has shown that no own write holds the lease. If a pending write
		// still takes effect, the other candidates have to wait for the term.
		l.pending = nil
		return Op{}
	case l.releasing:
		return l.newWrite(true)
	case l.held:
		if now.Before(l.nextDue) {
			return Op{}
		}
		return l.newWrite(false)
	case l.canTake(now):
		if now.Before(l.nextDue) {
			return Op{}
		}
		return l.newWrite(false)
	case now.Before(l.nextDue):
		return Op{}
	default:
		return Op{
			Kind: OpRead,
		}
	}
}

// dropForeign ends the possession of a lease that expired before it could be renewed on
// top of a foreign row: another candidate may have held it since.
func (l *Lease) dropForeign(now time.Time) bool {
	if !l.foreign || !l.held || now.Before(l.validUntil) {
		return false
	}
	l.unresolved = l.isLast()
	l.held, l.formerUnknown = false, true
	return true
}

// canTake reports whether the candidate may take the lease at now.
func (l *Lease) canTake(now time.Time) bool {
	if l.foreign {
		return !now.Before(l.seenAt.Add(takeoverDelay(l.record)))
	}
	if !l.exists || l.record.Holder == "" {
		return true
	}
	if l.settings.ReclaimOwn && l.record.Holder == l.settings.Holder && l.record.Incarnation != l.settings.Incarnation {
		return true
	}
	return !now.Before(l.seenAt.Add(takeoverDelay(l.record)))
}

// takeoverDelay is how long a row must stay unchanged before another candidate
// may take the lease.
func takeoverDelay(rec Record) time.Duration {
	return rec.Term + time.Duration(float64(rec.Term)*Margin)
}

// newWrite returns the next write, which renews, takes or releases the lease.
func (l *Lease) newWrite(release bool) Op {
	l.writes++
	rec := Record{
		Holder:      l.settings.Holder,
		Incarnation: l.settings.Incarnation,
		Term:        l.settings.Term,
		Write:       l.writes,
		Era:         store.Era(l.version),
	}
	if release {
		rec.Holder = ""
	}
	if l.settings.Note != nil {
		rec.Note = l.settings.Note()
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		// The record holds only strings, bytes and integers, so encoding can't fail.
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

// MarkSent records that op is sent at now. It has to be called before op is sent,
// so that the validity counts from before the write.
func (l *Lease) MarkSent(op Op, now time.Time) {
	l.nextDue = now.Add(l.settings.RenewInterval)
	if op.Kind != OpInsert && op.Kind != OpUpdate {
		return
	}
	if op.release {
		// An insert has no version of its own.
		l.releaseVersion = max(l.releaseVersion, l.version)
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

// HandleResult applies the outcome of op. now is read after the outcome is known.
func (l *Lease) HandleResult(op Op, now time.Time, row store.Row, opErr error) (Event, error) {
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
	if errors.Is(opErr, store.ErrNotFound) {
		return l.onMissing(now, row.Version)
	}
	if opErr != nil {
		l.nextDue = now.Add(l.settings.RenewInterval / 3)
		return Event{}, fmt.Errorf("lease: read %s: %w", l.settings.Key, opErr)
	}
	var rec Record
	if err := cbor.Unmarshal(row.Value, &rec); err != nil {
		return Event{}, fmt.Errorf("lease: decode %s: %w", l.settings.Key, err)
	}
	if err := rec.Validate(); err != nil {
		return Event{}, err
	}
	if l.known && row.Version < l.version {
		// This is the delayed answer to an earlier read.
		return Event{}, nil
	}
	l.mustRead = false
	ev := l.observe(now, row.Version, rec)
	if rec.Holder == "" && !l.foreign {
		// A released lease may be taken at once.
		l.nextDue = time.Time{}
	}
	l.tryAsSoonAsAllowed()
	return ev, nil
}

// tryAsSoonAsAllowed makes the next request due when the lease may be taken, if that is
// before the next read.
func (l *Lease) tryAsSoonAsAllowed() {
	if l.held || l.record.Holder == "" && !l.foreign {
		return
	}
	if end := l.seenAt.Add(takeoverDelay(l.record)); end.Before(l.nextDue) {
		l.nextDue = end
	}
}

// onMissing applies that the table has no row at a version of the table.
func (l *Lease) onMissing(now time.Time, version int64) (Event, error) {
	switch {
	case l.known && version < l.version && store.Era(version) < store.Era(l.version):
		// This is the delayed answer to an earlier read.
		return Event{}, nil
	case l.known && l.exists && store.Era(version) == store.Era(l.version):
		// The version, and with it the epoch, would restart at 1.
		return Event{}, fmt.Errorf("lease: row %s of version %d has disappeared", l.settings.Key, l.version)
	}
	if !l.known || l.exists || store.Era(version) != store.Era(l.version) {
		l.seenAt = now
	}
	usable, isLast := l.usable(now), l.isLast()
	l.known, l.mustRead, l.exists, l.rewritten, l.version = true, false, false, false, version
	if store.Era(version) == 0 {
		l.nextDue = time.Time{}
		return Event{}, nil
	}
	l.record = Record{
		Term: l.settings.Term,
	}
	ev := l.onForeign(usable, isLast)
	l.tryAsSoonAsAllowed()
	return ev, nil
}

// usable reports whether the lease is valid or would be if it were not to be released.
func (l *Lease) usable(now time.Time) bool {
	return l.held && l.releaseVersion < l.version && now.Before(l.validUntil)
}

// isLast reports whether this candidate holds the lease, or was the last holder as far
// as it knows, and has not begun to release it.
func (l *Lease) isLast() bool {
	return l.unresolved || l.held && !l.releasing && l.releaseVersion < l.version
}

// onForeign applies that the row is foreign. If the lease was usable, the next write
// renews it on top of this row.
func (l *Lease) onForeign(usable, isLast bool) Event {
	l.foreign, l.pending = true, nil
	if usable {
		l.nextDue = time.Time{}
		return Event{}
	}
	wasHeld := l.held
	l.unresolved = isLast
	l.held, l.formerUnknown = false, true
	if wasHeld {
		return Event{
			Kind:        EventLost,
			Description: fmt.Sprintf("%s had expired here when its table was restored from a copy.", l.settings.Key),
		}
	}
	return Event{}
}

// observe applies the record at a version of the row.
func (l *Lease) observe(now time.Time, version int64, rec Record) Event {
	if !l.known || !l.exists || version != l.version {
		l.seenAt = now
	}
	wasHeld, usable, isLast := l.held, l.usable(now), l.isLast()
	l.rewritten = l.foreign && l.exists && store.Era(version) == store.Era(l.version) && (l.rewritten || version > l.version)
	l.known, l.exists, l.version, l.record = true, true, version, rec
	if rec.Era != store.Era(version) {
		if rec.Incarnation != l.settings.Incarnation {
			l.previousIncarnation, l.previousNote = rec.Incarnation, nil
		}
		return l.onForeign(usable, isLast && !l.rewritten)
	}
	l.foreign, l.unresolved = false, false
	if rec.Incarnation != l.settings.Incarnation {
		l.previousIncarnation, l.previousNote, l.formerUnknown = rec.Incarnation, rec.Note, false
		l.held, l.validUntil = false, time.Time{}
		l.dropStale(version)
		if wasHeld {
			return Event{
				Kind:        EventLost,
				Description: fmt.Sprintf("%s now holds %s, because this process did not renew in time.", rec.Holder, l.settings.Key),
			}
		}
		return Event{}
	}
	if rec.Holder == "" {
		l.held, l.validUntil = false, time.Time{}
		l.dropStale(version)
		return Event{
			Kind:        EventReleased,
			Description: fmt.Sprintf("This process released %s.", l.settings.Key),
		}
	}
	l.epoch = version
	for _, p := range l.pending {
		if p.write == rec.Write {
			// The validity counts from before the write was sent, even if the answer
			// is late.
			l.validUntil = p.sent.Add(rec.Term)
		}
	}
	l.dropStale(version)
	l.held = true
	if wasHeld {
		if l.expired {
			l.expired = false
			return Event{
				Kind:        EventRegained,
				Description: fmt.Sprintf("%s was renewed late; nobody else held it in between.", l.settings.Key),
			}
		}
		return Event{}
	}
	l.heldSince, l.expired = now, false
	return Event{
		Kind:        EventTaken,
		Description: fmt.Sprintf("This process took %s.", l.settings.Key),
	}
}

// dropStale drops the pending writes that can no longer take effect, because they
// expect a version below that of the row.
func (l *Lease) dropStale(version int64) {
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
		if l.known && row.Version <= l.version {
			return Event{}, nil
		}
		return l.observe(now, row.Version, rec), nil
	}
	if errors.Is(opErr, store.ErrUnavailable) {
		// ErrUnavailable means that the request had no effect.
		for i, p := range l.pending {
			if p.write == op.write {
				l.pending = append(l.pending[:i], l.pending[i+1:]...)
				break
			}
		}
		l.nextDue = now.Add(l.settings.RenewInterval / 3)
		return Event{}, fmt.Errorf("lease: write %s: %w", l.settings.Key, opErr)
	}
	// Read the row at once: after a conflict it shows the holder, after a lost
	// answer whether the write took effect.
	l.mustRead = true
	l.nextDue = time.Time{}
	if errors.Is(opErr, store.ErrConflict) {
		return Event{}, nil
	}
	return Event{}, fmt.Errorf("lease: write %s: %w", l.settings.Key, opErr)
}

// CheckExpired returns an EventExpired, only once, when the held lease has expired
// on the candidate's own clock.
func (l *Lease) CheckExpired(now time.Time) Event {
	if l.dropForeign(now) {
		return Event{
			Kind:        EventLost,
			Description: fmt.Sprintf("%s expired before it could be renewed after its table was restored from a copy.", l.settings.Key),
		}
	}
	if !l.held || l.releasing || l.expired || now.Before(l.validUntil) {
		return Event{}
	}
	l.expired = true
	return Event{
		Kind:        EventExpired,
		Description: fmt.Sprintf("%s could not be renewed within its term and is not used.", l.settings.Key),
	}
}
