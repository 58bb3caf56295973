package place

import (
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// rotationWindow is how long a domain keeps its part of the parallel loads that
// cannot be divided evenly among the domains.
const rotationWindow = 15 * time.Second

// WeightLimiter limits loads from the weight store. It divides the store's limits
// among the domains without communication. Parallel loads are divided evenly; the
// remainder rotates among the domains in windows of the wall clock, in the order
// of a rendezvous hash. Loads per second are divided among the domains that may
// load in the window.
type WeightLimiter struct {
	domain   string
	domains  []string
	rate     float64
	parallel int

	tokens     float64
	refilledAt time.Time
}

// SetLimits sets the own domain, all domains and the weight store's limits. Zero
// means no limit.
func (w *WeightLimiter) SetLimits(domain string, domains []string, rate float64, parallel int) {
	w.domain, w.domains, w.rate, w.parallel = domain, domains, rate, parallel
}

// share returns this domain's number of parallel loads and its loads per second
// at now.
func (w *WeightLimiter) share(now time.Time) (int, float64) {
	n := max(1, len(w.domains))
	if w.parallel <= 0 {
		return 1 << 20, w.rate / float64(n)
	}
	whole, rest := w.parallel/n, w.parallel%n
	active := n
	if whole == 0 {
		active = rest
	}
	if rest > 0 {
		window := now.UnixNano() / int64(rotationWindow)
		// The order rotates by one position per window, so that each domain gets its
		// part within n windows.
		order := rank.Order(fmt.Sprintf("weights/%d", window/int64(n)), w.domains)
		position := slices.Index(order, w.domain)
		if position >= 0 && (position+int(window%int64(n)))%n < rest {
			whole++
		}
	}
	if whole == 0 {
		return 0, 0
	}
	return whole, w.rate / float64(active)
}

// Available returns how many loads may start at now while running loads are in
// flight. loadTime is the expected duration of a load: a load that would extend
// into another domain's window does not start.
func (w *WeightLimiter) Available(now time.Time, running int, loadTime time.Duration) int {
	parallel, rate := w.share(now)
	if later, _ := w.share(now.Add(loadTime)); later < parallel && loadTime < rotationWindow {
		parallel = later
	}
	free := max(0, parallel-running)
	if w.rate <= 0 {
		return free
	}
	if !w.refilledAt.IsZero() && now.After(w.refilledAt) {
		// The bucket holds the loads of one second, at least one.
		w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*rate, max(1, rate))
	}
	w.refilledAt = now
	return min(free, int(w.tokens+1e-9))
}

// Take takes one token for a load that starts.
func (w *WeightLimiter) Take() { w.tokens-- }
