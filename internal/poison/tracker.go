// Package poison finds the parts of prompts, and the whole requests, that crash endpoints, and
// blocks them.
//
// A part is suspected when an engine crashes before it has answered a request with that
// part for long. An answer to any request with the part clears it: a part that crashes
// every engine is never answered. Nodes exchange what they have seen, so that a part is
// blocked at all of them after a few crashes. Times of other nodes arrive as ages, so
// clocks need not agree.
//
// A request that comes again is one more part of itself, named by RequestPart. Where it and a
// part of its prompt explain the same crashes, the request is blocked, which refuses less.
package poison

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

const (
	// crashesToBlock is after how many crashes in a row, without an answer in between,
	// a part is blocked. crashesToBlockUnserved applies to a part that no node has ever
	// seen answered, once all nodes had objectionTime to say otherwise.
	crashesToBlock         = 3
	crashesToBlockUnserved = 2
	objectionTime          = time.Second
	// simultaneousCrashes is the time within which crashes of several engines count as
	// one: they have a common cause, such as a loss of power.
	simultaneousCrashes = 100 * time.Millisecond
	// simultaneousForRequest replaces it for requests: one that is repeated crashes the next
	// endpoint soon after the first.
	simultaneousForRequest = 30 * time.Millisecond
	// minBlock is how long after the last crash a part is blocked before one request
	// tests it again. Each further crash doubles the time up to maxBlock.
	minBlock = time.Minute
	maxBlock = 30 * time.Minute
	// minBlockUnserved replaces minBlock for a part that is blocked by crashesToBlockUnserved.
	minBlockUnserved = 10 * time.Second
	// testTime is how long a test may take before the next one.
	testTime = 30 * time.Second
	// maxRequestTests is how often a blocked request is tested in all. It has no sound
	// neighbours that a mistake would refuse, and each test may crash an endpoint.
	maxRequestTests = 2
	// forgetWeakAfter and forgetBlockedAfter are how long after its last crash the
	// evidence against a part is dropped.
	forgetWeakAfter    = 10 * time.Minute
	forgetBlockedAfter = 2 * maxBlock
	// maxSuspects and maxServed limit how many suspected parts, and times of answers to
	// parts, are kept; those of requests are kept apart from those of prompts.
	maxSuspects = 1024
	maxServed   = 4096
	// shareFor is how long a change of the evidence is sent with every message. Several
	// messages within this time reach every node, even if one is lost.
	shareFor = 3 * time.Second
)

const requestPrefix = "request:"

// RequestPart returns the name under which a request is a part of itself, from a fingerprint
// that stays the same however often it comes.
func RequestPart(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequest reports whether a part is a whole request.
func IsRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// Block says that a part is blocked.
type Block struct {
	Part string
	// Until is when a request may test the part again, zero if none may any more.
	Until time.Time
	// Crashes is the number of crashes on which the block is based.
	Crashes int
}

// Tracker keeps the evidence of one node. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	log      *slog.Logger
	suspects map[string]*suspect
	// served and servedRequests are when parts of prompts, and requests, were answered last.
	served         map[string]time.Time
	servedRequests map[string]time.Time
	blocks         map[string]Block
	// decideAt is when the time to object ends for a part; zero if it does for none.
	decideAt time.Time
	forgotAt time.Time
}

// suspect is a part with which engines crashed.
type suspect struct {
	part    string
	crashes []crash // since the last answer, in the order of their times
	served  time.Time
	// strongSince is when the crashes reached crashesToBlockUnserved.
	strongSince time.Time
	// wasStrong is set if they ever reached it, so that other nodes learn of an answer.
	wasStrong   bool
	changedAt   time.Time
	testedUntil time.Time
	tests       int
	// askedAt is when the part was last refused here.
	askedAt time.Time
}

type crash struct {
	engine fleet.Key
	at     time.Time
}

// New returns a Tracker without evidence.
func New(log *slog.Logger) *Tracker {
	return &Tracker{
		log:      log,
		suspects: make(map[string]*suspect),
		blocks:   make(map[string]Block),

		served:         make(map[string]time.Time),
		servedRequests: make(map[string]time.Time),
	}
}

// RecordServed records that a request with the given parts was answered.
func (t *Tracker) RecordServed(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, part := range parts {
		t.recordServed(part, now)
		if s := t.suspects[part]; s != nil && s.clear(now) {
			s.changedAt = now
			cleared = true
		}
	}
	if cleared {
		t.decide(now)
	}
}

// servedOf returns the times of answers to parts of the kind of the given one.
func (t *Tracker) servedOf(part string) map[string]time.Time {
	if IsRequest(part) {
		return t.servedRequests
	}
	return t.served
}

func (t *Tracker) recordServed(part string, at time.Time) {
	served := t.servedOf(part)
	if _, ok := served[part]; !ok && len(served) >= maxServed {
		trimServed(served, at)
	}
	if at.After(served[part]) {
		served[part] = at
	}
}

// trimServed drops the older half of the times of answers, by age between the oldest
// and now.
func trimServed(served map[string]time.Time, now time.Time) {
	oldest := now
	for _, at := range served {
		if at.Before(oldest) {
			oldest = at
		}
	}
	limit := oldest.Add(now.Sub(oldest) / 2)
	maps.DeleteFunc(served, func(_ string, at time.Time) bool { return !at.After(limit) })
}

// RecordCrash records that an engine crashed before it had answered a request with the
// given parts for long. One crash may be recorded for several requests.
func (t *Tracker) RecordCrash(at time.Time, engine fleet.Key, request string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		s := t.ensureSuspect(part)
		if s.add(crash{engine: engine, at: at}) {
			s.changedAt = at
		}
	}
	t.log.Warn("engine crashed under request", "request", request, "endpoint", engine.ID, "parts", parts)
	t.decide(at)
}

// AllServed reports whether requests with each of the parts have been answered, none of
// them before the last crash under that part.
func (t *Tracker) AllServed(parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if _, ok := t.servedOf(part)[part]; !ok {
			return false
		}
		if s := t.suspects[part]; s != nil && len(s.crashes) > 0 {
			return false
		}
	}
	return true
}

// Crashes returns how many endpoints have crashed under a part since its last answer.
func (t *Tracker) Crashes(part string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[part]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// ensureSuspect returns the evidence against a part, a new one without crashes if there
// is none yet.
func (t *Tracker) ensureSuspect(part string) *suspect {
	s := t.suspects[part]
	if s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.dropSuspect()
	}
	s = &suspect{
		part:   part,
		served: t.servedOf(part)[part],
	}
	t.suspects[part] = s
	return s
}

// dropSuspect drops the evidence that has not changed for longest, blocked parts last.
func (t *Tracker) dropSuspect() {
	var oldest *suspect
	for _, s := range t.suspects {
		if oldest == nil || t.keptUntil(s).Before(t.keptUntil(oldest)) {
			oldest = s
		}
	}
	delete(t.suspects, oldest.part)
	delete(t.blocks, oldest.part)
}

// keptUntil returns when the evidence against a part is dropped.
func (t *Tracker) keptUntil(s *suspect) time.Time {
	last := s.changedAt
	if n := len(s.crashes); n > 0 {
		last = s.crashes[n-1].at
	}
	if _, blocked := t.blocks[s.part]; blocked {
		if IsRequest(s.part) && s.askedAt.After(last) {
			// It still comes, and would crash endpoints anew.
			last = s.askedAt
		}
		return last.Add(forgetBlockedAfter)
	}
	return last.Add(forgetWeakAfter)
}

// add adds a crash unless the part was answered since, or the crash is known. It
// reports whether the evidence has changed.
func (s *suspect) add(c crash) bool {
	if !c.at.After(s.served) {
		return false
	}
	for i, known := range s.crashes {
		if known.engine == c.engine {
			if c.at.Before(known.at) {
				// The first node that saw it knows its time best.
				s.crashes[i].at = c.at
				s.sort()
			}
			return false
		}
	}
	s.crashes = append(s.crashes, c)
	s.sort()
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
	return true
}

func (s *suspect) sort() {
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// clear records an answer and drops the crashes before it. It reports whether the
// evidence has changed: there were any, or no answer was known before.
func (s *suspect) clear(at time.Time) bool {
	if !at.After(s.served) {
		return false
	}
	first := s.served.IsZero()
	s.served = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	return first || len(s.crashes) < before
}

// forgetInterval is how often evidence is looked at for its age.
const forgetInterval = time.Second

// forget drops evidence that is too old.
func (t *Tracker) forget(now time.Time) {
	if now.Sub(t.forgotAt) < forgetInterval {
		return
	}
	t.forgotAt = now
	maps.DeleteFunc(t.suspects, func(_ string, s *suspect) bool { return now.After(t.keptUntil(s)) })
}

// Check reports whether one of the parts is blocked. After Block.Until, a node that may
// test lets one request through at a time; only one node of the fleet may.
func (t *Tracker) Check(now time.Time, parts []string, mayTest bool) (b Block, blocked, test bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return Block{}, false, false
	}
	if !t.decideAt.IsZero() && !now.Before(t.decideAt) {
		t.decide(now)
	}
	for _, part := range parts {
		b, ok := t.blocks[part]
		if !ok {
			continue
		}
		s := t.suspects[part]
		s.askedAt = now
		if !mayTest || b.Until.IsZero() || now.Before(b.Until) || now.Before(s.testedUntil) {
			return b, true, false
		}
		s.testedUntil = now.Add(testTime)
		if s.tests++; IsRequest(part) && s.tests >= maxRequestTests {
			b.Until = time.Time{}
			t.blocks[part] = b
		}
		test = true
		t.log.Info("blocked part tested", "part", part, "crashes", b.Crashes, "tests", s.tests)
	}
	return Block{}, false, test
}

// IsEmpty reports whether nothing is suspected.
func (t *Tracker) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) == 0
}

// Blocked returns the number of blocked parts.
func (t *Tracker) Blocked() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.blocks)
}
