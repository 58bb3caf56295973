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

// DefaultSlotTerm is the longest table outage through which limits go on.
const DefaultSlotTerm = time.Hour

// Intervals of the slot aggregate.
const (
	// slotRead is the interval at which a node looks for slots to take or to
	// give up: 420 nodes make 42 reads/s.
	slotRead = 10 * time.Second
	// slotReadEmpty applies while a node has no slot.
	slotReadEmpty = 2 * time.Second
	slotRetry     = 500 * time.Millisecond
)

// SlotTable is the value of the row slots/<domain>.
type SlotTable struct {
	Owners []SlotOwner `json:"owners"`
}

// SlotOwner is the entry of one node incarnation.
type SlotOwner struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation,string"`
	// Deadline is on the owner's clock, from before the renewal was sent.
	Deadline time.Time `json:"deadline"`
	// Renewal grows with each renewal, so that others see it without comparing clocks.
	Renewal int64 `json:"renewal"`
	// Term is the owner's slot term; others wait for it plus 10%.
	Term time.Duration `json:"term"`
	// Slots is the set of slots, one bit for each.
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
			return SlotTable{}, fmt.Errorf("decode slots: entry of %q is empty, doubled or overlaps another", o.Node)
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

// Slots owns this node's view of its domain's slot table. Ownership always
// follows from the row as it was read or written, never from a write whose
// outcome is unknown; reading the row back settles such a write.
type Slots struct {
	self      ownerID
	key       string
	term      time.Duration
	started   time.Time
	table     SlotTable
	version   int64
	known     bool // the row was read since the last failure
	busy      bool // an operation is out
	nextRead  time.Time
	failures  int
	mine      SlotOwner
	held      uint64    // own slots that are being given up
	heldAt    time.Time // when the last of them was last used
	leaving   bool
	sightings map[ownerID]sighting
	proofs    map[string]proof
	faults    *faults
}

type sighting struct {
	renewal int64
	at      time.Time
}

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
		key:       "slots/" + domain,
		term:      DefaultSlotTerm,
		started:   now,
		nextRead:  now,
		sightings: make(map[ownerID]sighting),
		proofs:    make(map[string]proof),
		faults:    &faults{},
	}
}

// SetTerm changes the term of later renewals.
func (s *Slots) SetTerm(term time.Duration) {
	if term <= 0 {
		term = DefaultSlotTerm
	}
	s.term = term
}

// ProvedDead notes that the process of a node up to an incarnation has ended.
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

// Leave starts giving all slots back.
func (s *Slots) Leave(now time.Time) {
	if !s.leaving {
		s.leaving = true
		s.hold(now, s.mine.Slots)
		s.nextRead = now
	}
}

// Left reports whether the row shows that this node owns no slot after Leave.
func (s *Slots) Left() bool {
	return s.leaving && s.known && s.mine.Slots == 0
}

// Usable returns the number of slots that may be used now and their deadline.
func (s *Slots) Usable(now time.Time) (int, time.Time) {
	if !now.Before(s.mine.Deadline) {
		return 0, s.mine.Deadline
	}
	return bits.OnesCount64(s.mine.Slots &^ s.held), s.mine.Deadline
}

// Owners returns the table as last seen.
func (s *Slots) Owners() []SlotOwner {
	return slices.Clone(s.table.Owners)
}

// Step returns the next operation on the row, at most one at a time. Done has
// to be called with its outcome.
func (s *Slots) Step(now time.Time, members []string) (TableOp, bool) {
	if s.busy || now.Before(s.nextRead) && !s.known {
		return TableOp{}, false
	}
	if !s.known || !now.Before(s.nextRead) {
		s.busy = true
		return TableOp{
			Key: s.key,
		}, true
	}
	next, ok := s.plan(now, members)
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

// Done takes the outcome of an operation.
func (s *Slots) Done(now time.Time, op TableOp, row store.Row, err error) error {
	s.busy = false
	switch {
	case err == nil && op.Value != nil:
		row.Value = op.Value
	case err == nil:
	case op.Value == nil && errors.Is(err, store.ErrAbsent):
		row, err = store.Row{}, nil
	case op.Value != nil && (errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrAbsent)):
		s.known = false
		s.nextRead = now.Add(s.jitter(slotRetry / 4))
		return nil
	default:
		s.failures++
		s.known = false
		s.nextRead = now.Add(s.jitter(slotRetry << min(s.failures, 4)))
		return fmt.Errorf("access row %s: %w", op.Key, err)
	}
	s.failures = 0
	var t SlotTable
	if row.Version > 0 {
		t, err = DecodeSlots(row.Value)
		if err != nil {
			s.known = false
			s.nextRead = now.Add(s.jitter(slotRead))
			return err
		}
	}
	s.adopt(now, t, row.Version)
	wait := slotRead
	if s.mine.Slots == 0 && !s.leaving {
		wait = slotReadEmpty
	}
	s.nextRead = now.Add(s.jitter(wait))
	return nil
}

func (s *Slots) adopt(now time.Time, t SlotTable, version int64) {
	s.table, s.version, s.known = t, version, true
	s.mine = SlotOwner{}
	present := make(map[ownerID]bool, len(t.Owners))
	for _, o := range t.Owners {
		id := o.id()
		present[id] = true
		if id == s.self {
			s.mine = o
		}
		if seen, ok := s.sightings[id]; !ok || seen.renewal != o.Renewal {
			s.sightings[id] = sighting{
				renewal: o.Renewal,
				at:      now,
			}
		}
	}
	for id := range s.sightings {
		if !present[id] {
			delete(s.sightings, id)
		}
	}
	// A held slot is free to be used again only once the row has shown it
	// without this owner: a give-back that is still out could otherwise take
	// effect while the slot is used.
	s.held &= s.mine.Slots
	if s.leaving {
		s.hold(now, s.mine.Slots)
	}
}

func (s *Slots) hold(now time.Time, slots uint64) {
	if slots&^s.held != 0 {
		s.held |= slots
		s.heldAt = now
	}
}

// plan returns the table that this node wants to write, if it differs enough
// from the one it knows.
func (s *Slots) plan(now time.Time, members []string) (SlotTable, bool) {
	next := SlotTable{}
	var taken uint64
	changed := false
	counts := make(map[string]int, len(members))
	for _, o := range s.table.Owners {
		if o.id() == s.self {
			continue
		}
		if s.ended(now, o) {
			changed = true
			continue
		}
		next.Owners = append(next.Owners, o)
		taken |= o.Slots
		counts[o.Node] += bits.OnesCount64(o.Slots)
	}
	mine := s.mine
	n := max(1, len(members))
	target := (SlotCount + n - 1) / n
	own := bits.OnesCount64(mine.Slots &^ s.held)
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
		if bits.OnesCount64(mine.Slots) == bits.OnesCount64(s.mine.Slots) {
			changed = changed && s.mine.Slots != 0
		}
	case own > target+1 && s.someoneLacks(members, counts, SlotCount/n):
		// One slot above the target is kept, so that slots don't move with every
		// change of membership.
		extra := uint64(0)
		for rest := mine.Slots &^ s.held; own > target; own-- {
			at := 63 - bits.LeadingZeros64(rest)
			extra |= 1 << at
			rest &^= 1 << at
		}
		s.hold(now, extra)
	}
	if s.held != 0 && !now.Before(s.heldAt.Add(ResumeAfter)) {
		mine.Slots &^= s.held
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

// ended reports whether an owner can no longer use its slots. A dead process
// no longer uses them itself, but the pool uses its deposit a little longer.
func (s *Slots) ended(now time.Time, o SlotOwner) bool {
	if s.faults.takeAtOnce {
		return true
	}
	if p, ok := s.proofs[o.Node]; ok && o.Incarnation <= p.incarnation && (s.faults.deadAtOnce || !now.Before(p.at.Add(ResumeAfter))) {
		return true
	}
	if o.Node == s.self.node && o.Incarnation != s.self.incarnation && !now.Before(s.started.Add(ResumeAfter)) {
		// An earlier process of this node; this one has its address now.
		return true
	}
	seen, ok := s.sightings[o.id()]
	return ok && seen.renewal == o.Renewal && !now.Before(seen.at.Add(o.Term+o.Term/10))
}

// prune forgets proofs about nodes that own no slot.
func (s *Slots) prune(now time.Time) {
	for node, p := range s.proofs {
		owns := slices.ContainsFunc(s.table.Owners, func(o SlotOwner) bool {
			return o.Node == node
		})
		if !owns && now.Sub(p.at) >= pruneEvery {
			delete(s.proofs, node)
		}
	}
}

func (s *Slots) someoneLacks(members []string, counts map[string]int, least int) bool {
	for _, m := range members {
		if m != s.self.node && counts[m] < least-1 {
			return true
		}
	}
	return false
}

// jitter spreads d by a quarter, differently for each node.
func (s *Slots) jitter(d time.Duration) time.Duration {
	return d + time.Duration(rank.Score(s.self.node, s.key)%256)*d/1024
}
