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
	// holdersMax bounds the endpoints remembered for one prefix.
	holdersMax = 4
	// reorderWindow is how late an event may be before a lower number is taken
	// for a restart of the endpoint.
	reorderWindow = 64
	// forgetGenerations makes everything known before count nothing.
	forgetGenerations = 8
)

// nameHash is one half of the rendezvous hash of a prefix and an endpoint. All
// nodes get the same one.
func nameHash(name string) uint64 { return rank.Score("", name) }

func prefixHash(model, prefix string) uint64 { return rank.Score(model, prefix) }

// holder is an endpoint that is believed to have a prefix in its cache.
type holder struct {
	end        uint32
	generation uint32
	at         int64 // ns
}

type prefixEntry struct {
	holders [holdersMax]holder
	n       uint8
	ring    uint32
}

type prefixShard struct {
	mu      sync.Mutex
	entries map[uint64]*prefixEntry
	ring    []uint64 // insertion order, the oldest is overwritten
	next    int
}

// prefixes remembers, within a bound, which endpoint caches which prefix.
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

func (p *prefixes) add(h uint64, end, generation uint32, now time.Time) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if e == nil {
		if old := s.entries[s.ring[s.next]]; old != nil && int(old.ring) == s.next {
			delete(s.entries, s.ring[s.next])
		}
		e = &prefixEntry{
			ring: uint32(s.next),
		}
		s.entries[h] = e
		s.ring[s.next] = h
		s.next = (s.next + 1) % len(s.ring)
	}
	x := holder{
		end:        end,
		generation: generation,
		at:         now.UnixNano(),
	}
	oldest := 0
	for i := range int(e.n) {
		if e.holders[i].end == end {
			e.holders[i] = x
			return
		}
		if e.holders[i].at < e.holders[oldest].at {
			oldest = i
		}
	}
	if e.n < holdersMax {
		e.holders[e.n] = x
		e.n++
		return
	}
	e.holders[oldest] = x
}

func (p *prefixes) remove(h uint64, end uint32) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if e == nil {
		return
	}
	for i := range int(e.n) {
		if e.holders[i].end == end {
			e.n--
			e.holders[i] = e.holders[e.n]
			break
		}
	}
}

// find copies the holders of a prefix.
func (p *prefixes) find(h uint64) ([holdersMax]holder, int) {
	s := p.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[h]; e != nil {
		return e.holders, int(e.n)
	}
	return [holdersMax]holder{}, 0
}

// budget limits retries to a part of the first attempts, so that a fleet in
// trouble is not given more work than it had before.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func (b *budget) init(ratio, burst float64) {
	b.ratio, b.burst, b.tokens = ratio, burst, burst
}

func (b *budget) first() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// unitWait learns how long a request waits for each request that is at an
// endpoint of speed 1 when it arrives.
type unitWait struct {
	bits atomic.Uint64
}

const (
	unitStart = 0.05 // s
	unitMin   = 0.001
	unitMax   = 5.0
)

func (u *unitWait) get() float64 {
	if b := u.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return unitStart
}

func (u *unitWait) learn(sample float64) {
	old := u.get()
	next := old + (min(max(sample, unitMin), unitMax)-old)*0.02
	// A lost update of two at once does not matter for an average.
	u.bits.Store(math.Float64bits(next))
}
