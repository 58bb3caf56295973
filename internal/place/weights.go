package place

import (
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// weightWindow is how long the right to a parallel load stays with a domain
// when there are fewer parallel loads than domains.
const weightWindow = 15 * time.Second

// Weights divides the weight store's limits among the domains without any
// message. Each domain has the whole parts of the parallel loads; the rest goes
// round in windows of the wall clock, in the order of a rendezvous hash. Loads
// per second are divided among the domains that may load in the window.
type Weights struct {
	domain   string
	domains  []string
	rate     float64
	parallel int

	tokens float64
	at     time.Time
}

// Set takes over the limits. Zero means no limit.
func (w *Weights) Set(domain string, domains []string, rate float64, parallel int) {
	w.domain, w.domains, w.rate, w.parallel = domain, domains, rate, parallel
}

// share is the number of parallel loads and the rate of this domain at now.
func (w *Weights) share(now time.Time) (int, float64) {
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
		window := now.UnixNano() / int64(weightWindow)
		// The order is turned by one place per window, so that each domain gets
		// its part within n windows.
		order := rank.Order(fmt.Sprintf("weights/%d", window/int64(n)), w.domains)
		at := slices.Index(order, w.domain)
		if at >= 0 && (at+int(window%int64(n)))%n < rest {
			whole++
		}
	}
	if whole == 0 {
		return 0, 0
	}
	return whole, w.rate / float64(active)
}

// Ready is how many loads may start at now while running ones are under way.
// loadTime is how long a load is expected to take: one that would reach into a
// window of another domain does not start.
func (w *Weights) Ready(now time.Time, running int, loadTime time.Duration) int {
	parallel, rate := w.share(now)
	if later, _ := w.share(now.Add(loadTime)); later < parallel && loadTime < weightWindow {
		parallel = later
	}
	free := max(0, parallel-running)
	if w.rate <= 0 {
		return free
	}
	if !w.at.IsZero() && now.After(w.at) {
		// One second's worth may be saved up, at least one load.
		w.tokens = min(w.tokens+now.Sub(w.at).Seconds()*rate, max(1, rate))
	}
	w.at = now
	return min(free, int(w.tokens+1e-9))
}

// Take counts a load that starts.
func (w *Weights) Take() { w.tokens-- }
