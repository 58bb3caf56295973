package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// record holds what happened in a run, for the evaluation at its end. It is
// guarded by run.mu.
type record struct {
	requests   map[string]*request
	violations []string
	configs    []writtenConfig
	drains     []event
	deadly     []deadlyPart
	recoveries []event
	// interruptions are the starts and pauses of processes and what disturbs their links
	// to endpoints.
	interruptions []event
	stops         []*stop
	silences      []silence // of engines
	restores      []event   // of the store
	// lateness holds the ends of times in which the soak itself was not scheduled.
	lateness []time.Time
	locks    map[string]*sync.Mutex
}

// writtenConfig is a configuration with the time at which the store acknowledged
// it.
type writtenConfig struct {
	at     time.Time
	config site.Config
	routes map[string]site.Route // by name
}

// event is an occurrence at a process or an endpoint.
type event struct {
	name string
	at   time.Time
}

// request is a request of a caller with its answer.
type request struct {
	id     string
	route  *site.Route
	key    string
	node   *node
	sent   time.Time
	ended  time.Time
	tokens int
	// parts are the shared parts of the prompt.
	parts []string
	// stable is set if the process was stable and the store undisturbed both
	// when the request was sent and when it ended.
	stable bool
	// stopping is set if the request ended beside a planned stop of its process and
	// neither the process nor its links were disturbed otherwise.
	stopping bool
	// storeRefused is set if the store turned the process away within stablePeriod
	// before the request ended.
	storeRefused bool
	// connected is set if the caller had a connection, and written is when the whole
	// request was sent, zero if it was not.
	connected bool
	written   time.Time
	status    int
	// err is why there is no whole answer.
	err error
	// events is how many events of a stream were received.
	events int
	// complete is set if the answer was read to its end.
	complete bool
	// problem describes how the answer differs from the expected one. answer is
	// the beginning of an answer without success.
	problem string
	answer  string
}

// describeFailure returns the status and message of an answer without success, which are
// the same for all requests that failed for the same reason.
func (r *request) describeFailure() string {
	switch {
	case r.status == http.StatusOK:
		return "200 that broke off"
	case r.status != 0:
		_, message := r.refusal()
		return strings.TrimSpace(fmt.Sprintf("%d %s", r.status, message))
	case !r.connected:
		return "no connection"
	}
	return "no answer"
}

// refusal returns the code and the message of an answer without success.
func (r *request) refusal() (code, message string) {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	// An answer that is cut off or of another form has no message.
	_ = json.Unmarshal([]byte(r.answer), &body)
	return body.Error.Code, body.Error.Message
}

// faultLock returns the lock that serializes faults with the same process and
// endpoint.
func (rec *record) faultLock(c faultParams) *sync.Mutex {
	if rec.locks == nil {
		rec.locks = make(map[string]*sync.Mutex)
	}
	name := fmt.Sprintf("%s/%d", c.node.name, c.endpoint)
	if rec.locks[name] == nil {
		rec.locks[name] = new(sync.Mutex)
	}
	return rec.locks[name]
}

// reportViolation records a broken guarantee.
func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.record.violations = append(r.record.violations, text)
	r.logf("%s", text)
}

// noteRecovery records that a process or one of its links works again.
func (r *run) noteRecovery(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.recoveries = append(r.record.recoveries, event{name: name, at: time.Now()})
}

// noteDrain records that an endpoint announced that it is leaving.
func (r *run) noteDrain(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.drains = append(r.record.drains, event{name: name, at: time.Now()})
}

// isStable reports whether rules with a time bound apply to a process now.
func (r *run) isStable(n *node) bool {
	r.mu.Lock()
	stable := time.Since(r.storeDisturbedUntil) > stablePeriod
	r.mu.Unlock()
	return stable && n.stable()
}

// addRequest records a request that ended.
func (r *run) addRequest(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.requests == nil {
		r.record.requests = make(map[string]*request)
	}
	r.record.requests[req.id] = req
}

// currentConfig returns the configuration that was written last.
func (r *run) currentConfig() site.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config
}
