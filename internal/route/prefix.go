package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

const (
	prefixShards = 64
	// maxHolders limits the endpoints recorded for one prefix.
	maxHolders = 4
	// reorderWindow is how many sequence numbers an event may be late. A lower
	// number means that the endpoint has restarted.
	reorderWindow = 64
	// forgetGenerations is the age in generations from which a recorded prefix
	// no longer counts.
	forgetGenerations = 8
)

// nameHash hashes a prefix or an endpoint name. Both hashes are combined to the
// rendezvous hash, which is the same on all nodes.
func nameHash(name string) uint64 { return rank.Score("", name) }

func prefixHash(model, prefix string) uint64 { return rank.Score(model, prefix) }

// holder is an endpoint that is expected to have a prefix in its cache.
type holder struct {
	endpointID uint32
	generation uint32
	recordedAt int64 // Unix time in ns
}

type prefixEntry struct {
	holders   [maxHolders]holder
	n         uint8
	ringIndex uint32
}

type prefixShard struct {
	mu      sync.Mutex
	entries map[uint64]*prefixEntry
	ring    []uint64 // keys in order of insertion; the oldest is overwritten
	next    int
}

// prefixes records which endpoints cache which prefix, in limited memory.
type prefixes struct {
	shards [prefixShards]prefixShard
}

func newPrefixes(limit int) *prefixes {
	p := &prefixes{}
	for i := range p.shards {
		p.shards[i].entries = map[uint64]*prefixEntry{}
		p.shards[i].ring = make([]uint64, max(1, limit/prefixShards))
	}
	return p
}

func (p *prefixes) shard(h uint64) *prefixShard { return &p.shards[h%prefixShards] }

func (p *prefixes) add(h uint64, endpointID, generation uint32, now time.Time) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if e == nil {
		if old := s.entries[s.ring[s.next]]; old != nil && int(old.ringIndex) == s.next {
			delete(s.entries, s.ring[s.next])
		}
		e = &prefixEntry{
			ringIndex: uint32(s.next),
		}
		s.entries[h] = e
		s.ring[s.next] = h
		s.next = (s.next + 1) % len(s.ring)
	}
	x := holder{
		endpointID: endpointID,
		generation: generation,
		recordedAt: now.UnixNano(),
	}
	oldest := 0
	for i := range int(e.n) {
		if e.holders[i].endpointID == endpointID {
			e.holders[i] = x
			return
		}
		if e.holders[i].recordedAt < e.holders[oldest].recordedAt {
			oldest = i
		}
	}
	if e.n < maxHolders {
		e.holders[e.n] = x
		e.n++
		return
	}
	e.holders[oldest] = x
}

func (p *prefixes) remove(h uint64, endpointID uint32) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if e == nil {
		return
	}
	for i := range int(e.n) {
		if e.holders[i].endpointID == endpointID {
			e.n--
			e.holders[i] = e.holders[e.n]
			break
		}
	}
}

// find returns a copy of the holders of a prefix and their number.
func (p *prefixes) find(h uint64) ([maxHolders]holder, int) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[h]; e != nil {
		return e.holders, int(e.n)
	}
	return [maxHolders]holder{}, 0
}

// retryBudget limits retries to a share of the first attempts, so that retries do
// not overload a fleet that is already failing.
type retryBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func (b *retryBudget) init(ratio, burst float64) {
	b.ratio, b.burst, b.tokens = ratio, burst, burst
}

func (b *retryBudget) credit() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// waitEstimate is a moving average of the time in seconds that a request waits for
// each request ahead of it at an endpoint of speed 1.
type waitEstimate struct {
	bits atomic.Uint64
}

const (
	defaultWait = 0.05 // s
	minWait     = 0.001
	maxWait     = 5.0
)

func (u *waitEstimate) get() float64 {
	if b := u.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return defaultWait
}

func (u *waitEstimate) learn(sample float64) {
	old := u.get()
	next := old + (min(max(sample, minWait), maxWait)-old)*0.02
	// A concurrent update may be lost, which does not matter for an average.
	u.bits.Store(math.Float64bits(next))
}
