package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/internal/store"
)

// SlotCount is the number of slots that a domain's share is divided into.
const SlotCount = 64

// DefaultSlotTerm is how long slots stay valid after a renewal. It bounds the
// outage of the table during which nodes continue to admit.
const DefaultSlotTerm = time.Hour

// Intervals of the accesses to the slots row.
const (
	// slotReadInterval is the interval at which a node reads the row to find slots
	// to take or to release. 420 nodes make 42 reads/s.
	slotReadInterval = 10 * time.Second
	// slotReadIntervalEmpty is the interval while a node owns no slot.
	slotReadIntervalEmpty = 2 * time.Second
	slotRetryDelay        = 500 * time.Millisecond
)

// SlotTable is the value of the row slots/<domain>.
type SlotTable struct {
	Owners []SlotOwner `json:"owners"`
}

// SlotOwner is the entry of one node incarnation.
type SlotOwner struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation,string"`
	// Deadline is on the owner's clock and counted from before the renewal was
	// sent.
	Deadline time.Time `json:"deadline"`
	// Renewal grows with each renewal, so that other nodes detect renewals without
	// comparing clocks.
	Renewal int64 `json:"renewal"`
	// Term is the owner's slot term; others wait for it plus 10%.
	Term time.Duration `json:"term"`
	// Slots is a bit set of the owned slots.
	Slots uint64 `json:"slots,string"`
}

// DecodeSlots decodes and checks the value of a slots row.
func DecodeSlots(value []byte) (SlotTable, error) {
	var t SlotTable
	if err := json.Unmarshal(value, &t); err != nil {
		return SlotTable{}, fmt.Errorf("decode slots: %w", err)
	}
	var all uint64
	seen := make(map[ownerID]bool, len(t.Owners))
	for _, o := range t.Owners {
		id := o.id()
		if o.Node == "" || o.Term <= 0 || o.Slots == 0 || seen[id] || all&o.Slots != 0 {
			return SlotTable{}, fmt.Errorf("decode slots: entry of %q is empty, duplicated or overlaps another", o.Node)
		}
		seen[id] = true
		all |= o.Slots
	}
	return t, nil
}

// Encode returns the value of the row.
func (t SlotTable) Encode() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		// The type holds only strings, numbers and times of this century.
		panic("quota: encode slots: " + err.Error())
	}
	return b
}

type ownerID struct {
	node        string
	incarnation uint64
}

func (o SlotOwner) id() ownerID {
	return ownerID{
		node:        o.Node,
		incarnation: o.Incarnation,
	}
}

// TableOp is an operation on the slots row. Value is nil for a read; Version is
// 0 for an insert.
type TableOp struct {
	Key     string
	Value   []byte
	Version int64
}

// Slots is this node's view of its domain's slot table. Ownership is always
// derived from the row as it was read or written. A write whose outcome is
// unknown changes nothing until the row is read again.
type Slots struct {
	self           ownerID
	key            string
	term           time.Duration
	started        time.Time
	table          SlotTable
	version        int64
	current        bool // the row was read since the last failure
	busy           bool // an operation is in progress
	nextRead       time.Time
	failures       int
	own            SlotOwner
	releasing      uint64    // own slots that are being released
	releasingSince time.Time // when the last of them stopped being used
	leaving        bool
	observed       map[ownerID]observation
	proofs         map[string]proof
	faults         *faults
}

// observation is when this node first saw a renewal of an owner.
type observation struct {
	renewal int64
	at      time.Time
}

// proof is when this node learned that a process has ended.
type proof struct {
	incarnation uint64
	at          time.Time
}

// NewSlots returns the slots of a node that starts now.
func NewSlots(now time.Time, node string, incarnation uint64, domain string) *Slots {
	return &Slots{
		self: ownerID{
			node:        node,
			incarnation: incarnation,
		},
		key:      "slots/" + domain,
		term:     DefaultSlotTerm,
		started:  now,
		nextRead: now,
		observed: make(map[ownerID]observation),
		proofs:   make(map[string]proof),
		faults:   &faults{},
	}
}

// SetTerm changes the term of later renewals.
func (s *Slots) SetTerm(term time.Duration) {
	if term <= 0 {
		term = DefaultSlotTerm
	}
	s.term = term
}

// ProvedDead records that the process of a node up to an incarnation has ended.
func (s *Slots) ProvedDead(now time.Time, node string, incarnation uint64) {
	if p, ok := s.proofs[node]; ok && p.incarnation >= incarnation {
		return
	}
	s.proofs[node] = proof{
		incarnation: incarnation,
		at:          now,
	}
	s.nextRead = now
}

// Leave starts to release all slots.
func (s *Slots) Leave(now time.Time) {
	if !s.leaving {
		s.leaving = true
		s.startRelease(now, s.own.Slots)
		s.nextRead = now
	}
}

// Left reports whether the row shows that this node owns no slot after Leave.
func (s *Slots) Left() bool {
	return s.leaving && s.current && s.own.Slots == 0
}

// Usable returns the number of slots that may be used now and their deadline.
func (s *Slots) Usable(now time.Time) (int, time.Time) {
	if !now.Before(s.own.Deadline) {
		return 0, s.own.Deadline
	}
	return bits.OnesCount64(s.own.Slots &^ s.releasing), s.own.Deadline
}

// Owners returns the table as last seen.
func (s *Slots) Owners() []SlotOwner {
	return slices.Clone(s.table.Owners)
}

// Step returns the next operation on the row, if one is due. Only one is in
// progress at a time; Done has to be called with its outcome.
func (s *Slots) Step(now time.Time, members []string) (TableOp, bool) {
	if s.busy || now.Before(s.nextRead) && !s.current {
		return TableOp{}, false
	}
	if !s.current || !now.Before(s.nextRead) {
		s.busy = true
		return TableOp{
			Key: s.key,
		}, true
	}
	next, ok := s.nextTable(now, members)
	if !ok {
		return TableOp{}, false
	}
	s.busy = true
	return TableOp{
		Key:     s.key,
		Value:   next.Encode(),
		Version: s.version,
	}, true
}

// Done applies the outcome of an operation.
func (s *Slots) Done(now time.Time, op TableOp, row store.Row, err error) error {
	s.busy = false
	switch {
	case err == nil && op.Value != nil:
		row.Value = op.Value
	case err == nil:
	case op.Value == nil && errors.Is(err, store.ErrNotFound):
		row, err = store.Row{}, nil
	case op.Value != nil && (errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrNotFound)):
		s.current = false
		s.nextRead = now.Add(s.jitter(slotRetryDelay / 4))
		return nil
	default:
		s.failures++
		s.current = false
		s.nextRead = now.Add(s.jitter(slotRetryDelay << min(s.failures, 4)))
		return fmt.Errorf("access row %s: %w", op.Key, err)
	}
	s.failures = 0
	var t SlotTable
	if row.Version > 0 {
		t, err = DecodeSlots(row.Value)
		if err != nil {
			s.current = false
			s.nextRead = now.Add(s.jitter(slotReadInterval))
			return err
		}
	}
	s.apply(now, t, row.Version)
	wait := slotReadInterval
	if s.own.Slots == 0 && !s.leaving {
		wait = slotReadIntervalEmpty
	}
	s.nextRead = now.Add(s.jitter(wait))
	return nil
}

// apply stores the table as it was read or written, and derives the own slots from
// it.
func (s *Slots) apply(now time.Time, t SlotTable, version int64) {
	s.table, s.version, s.current = t, version, true
	s.own = SlotOwner{}
	present := make(map[ownerID]bool, len(t.Owners))
	for _, o := range t.Owners {
		id := o.id()
		present[id] = true
		if id == s.self {
			s.own = o
		}
		if seen, ok := s.observed[id]; !ok || seen.renewal != o.Renewal {
			s.observed[id] = observation{
				renewal: o.Renewal,
				at:      now,
			}
		}
	}
	for id := range s.observed {
		if !present[id] {
			delete(s.observed, id)
		}
	}
	// A slot being released may be used again only after the row has shown it
	// without this owner. Otherwise a delayed write that releases it could take
	// effect while the slot is used.
	s.releasing &= s.own.Slots
	if s.leaving {
		s.startRelease(now, s.own.Slots)
	}
}

// startRelease stops the use of slots. They are removed from the row DepositorTerm
// later, when no pool uses a deposit of them any more.
func (s *Slots) startRelease(now time.Time, slots uint64) {
	if slots&^s.releasing != 0 {
		s.releasing |= slots
		s.releasingSince = now
	}
}

// nextTable returns the table to write, or false if no write is needed.
func (s *Slots) nextTable(now time.Time, members []string) (SlotTable, bool) {
	next := SlotTable{}
	var taken uint64
	changed := false
	counts := make(map[string]int, len(members))
	for _, o := range s.table.Owners {
		if o.id() == s.self {
			continue
		}
		if s.hasEnded(now, o) {
			changed = true
			continue
		}
		next.Owners = append(next.Owners, o)
		taken |= o.Slots
		counts[o.Node] += bits.OnesCount64(o.Slots)
	}
	mine := s.own
	n := max(1, len(members))
	target := (SlotCount + n - 1) / n
	own := bits.OnesCount64(mine.Slots &^ s.releasing)
	switch {
	case s.leaving:
	case own < target:
		free := ^(taken | mine.Slots)
		for ; own < target && free != 0; own++ {
			at := bits.TrailingZeros64(free)
			mine.Slots |= 1 << at
			free &^= 1 << at
			changed = true
		}
		if bits.OnesCount64(mine.Slots) == bits.OnesCount64(s.own.Slots) {
			changed = changed && s.own.Slots != 0
		}
	case own > target+1 && s.anyBelow(members, counts, SlotCount/n):
		// A node keeps one slot above the target, so that slots don't move with
		// every change of the members.
		extra := uint64(0)
		for rest := mine.Slots &^ s.releasing; own > target; own-- {
			at := 63 - bits.LeadingZeros64(rest)
			extra |= 1 << at
			rest &^= 1 << at
		}
		s.startRelease(now, extra)
	}
	if s.releasing != 0 && !now.Before(s.releasingSince.Add(DepositorTerm)) {
		mine.Slots &^= s.releasing
		changed = true
	}
	if mine.Slots != 0 && !s.leaving && now.Add(s.term-s.term/4).After(mine.Deadline) {
		changed = true
	}
	if !changed {
		return SlotTable{}, false
	}
	if mine.Slots != 0 {
		mine.Node, mine.Incarnation, mine.Term = s.self.node, s.self.incarnation, s.term
		if !s.leaving {
			mine.Deadline = now.Add(s.term)
		}
		mine.Renewal++
		next.Owners = append(next.Owners, mine)
	}
	slices.SortFunc(next.Owners, func(a, b SlotOwner) int {
		return strings.Compare(a.Node, b.Node)
	})
	return next, true
}

// hasEnded reports whether an owner can no longer use its slots. After a process has
// died, a pool may still use its deposit for up to DepositorTerm.
func (s *Slots) hasEnded(now time.Time, o SlotOwner) bool {
	if s.faults.takeImmediately {
		return true
	}
	if p, ok := s.proofs[o.Node]; ok && o.Incarnation <= p.incarnation && (s.faults.takeFromDeadImmediately || !now.Before(p.at.Add(DepositorTerm))) {
		return true
	}
	if o.Node == s.self.node && o.Incarnation != s.self.incarnation && !now.Before(s.started.Add(DepositorTerm)) {
		// An earlier process of this node. It has ended, since this process has its
		// address now.
		return true
	}
	seen, ok := s.observed[o.id()]
	return ok && seen.renewal == o.Renewal && !now.Before(seen.at.Add(o.Term+o.Term/10))
}

// prune drops the proofs about nodes that own no slot.
func (s *Slots) prune(now time.Time) {
	for node, p := range s.proofs {
		owns := slices.ContainsFunc(s.table.Owners, func(o SlotOwner) bool {
			return o.Node == node
		})
		if !owns && now.Sub(p.at) >= pruneInterval {
			delete(s.proofs, node)
		}
	}
}

// anyBelow reports whether another member owns fewer than least-1 slots.
func (s *Slots) anyBelow(members []string, counts map[string]int, least int) bool {
	for _, m := range members {
		if m != s.self.node && counts[m] < least-1 {
			return true
		}
	}
	return false
}

// jitter adds up to a quarter to d, by a fixed amount for each node.
func (s *Slots) jitter(d time.Duration) time.Duration {
	return d + time.Duration(rank.Score(s.self.node, s.key)%256)*d/1024
}
