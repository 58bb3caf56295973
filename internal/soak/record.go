package soak

import (
	"fmt"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// record is what happened in a run, for the judgement at its end. It is guarded
// by the run's lock.
type record struct {
	asked   map[string]*asked
	broken  []string
	configs []written
	drains  []event
	woken   []event
	locks   map[string]*sync.Mutex
}

// written is a configuration with the time at which the store acknowledged it.
type written struct {
	at     time.Time
	config site.Config
}

// event is something that happened to a process or an endpoint.
type event struct {
	name string
	at   time.Time
}

// asked is a request of a caller and its answer.
type asked struct {
	id     string
	route  *site.Route
	key    string
	node   *node
	sent   time.Time
	ended  time.Time
	tokens int
	// calm tells that the process was in touch, and the store undisturbed, when the
	// request was sent and when it ended.
	calm   bool
	status int
	// whole tells that the answer is complete.
	whole bool
	// problem is what is wrong with the answer itself, and answer the begin of an
	// answer that is no success.
	problem string
	answer  string
}

// lock returns what keeps two faults from one process or endpoint.
func (c *record) lock(x chance) *sync.Mutex {
	if c.locks == nil {
		c.locks = make(map[string]*sync.Mutex)
	}
	name := fmt.Sprintf("%s/%d", x.node.name, x.endpoint)
	if c.locks[name] == nil {
		c.locks[name] = new(sync.Mutex)
	}
	return c.locks[name]
}

func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.record.broken = append(r.record.broken, text)
	r.logf("%s", text)
}

// woke notes that a process, or a way of its, works again.
func (r *run) woke(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.woken = append(r.record.woken, event{name: name, at: time.Now()})
}

// left notes that an endpoint has told that it leaves.
func (r *run) left(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.drains = append(r.record.drains, event{name: name, at: time.Now()})
}

// calmAt reports whether rules with a time bound hold for a process now.
func (r *run) calmAt(n *node) bool {
	r.mu.Lock()
	stable := time.Since(r.disturb) > calmFor
	r.mu.Unlock()
	return stable && n.inTouch()
}

// keep stores a request that ended.
func (r *run) keep(a *asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.asked == nil {
		r.record.asked = make(map[string]*asked)
	}
	r.record.asked[a.id] = a
}

// newest returns the configuration written last.
func (r *run) newest() site.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config
}
