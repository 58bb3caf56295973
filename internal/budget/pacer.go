package budget

import (
	"sync"
	"time"
)

// The bytes of chunk marks that a body may have without being paced: FreeFraming, and
// FramingRatio for each of its own bytes.
const (
	FreeFraming  = 64 << 10
	FramingRatio = 0.25
)

const (
	// framingRate is how many bytes of further chunk marks a core reads per second, and
	// framingBurst how many it reads at once after a time without any.
	framingRate  = 10 << 20
	framingBurst = 16 << 20
)

// Pacer bounds the processor time for the marks of small chunks, which take a hundred times
// the processor time of other bytes, over all bodies of a process.
type Pacer struct {
	rate float64

	mu sync.Mutex
	// free is how many bytes may be read at once, below 0 if readers have to wait.
	free float64
	at   time.Time
}

// NewPacer returns a pacer for a process that may use the given number of cores.
func NewPacer(cores float64) *Pacer {
	return &Pacer{
		rate: framingRate * cores,
		free: framingBurst,
		at:   time.Now(),
	}
}

// Take counts bytes of chunk marks that were read and returns for how long their reader
// has to wait.
func (p *Pacer) Take(n int64) time.Duration { return p.take(time.Now(), n) }

func (p *Pacer) take(now time.Time, n int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = min(framingBurst, p.free+p.rate*now.Sub(p.at).Seconds()) - float64(n)
	p.at = now
	if p.free >= 0 {
		return 0
	}
	return time.Duration(-p.free / p.rate * float64(time.Second))
}
