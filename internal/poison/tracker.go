// Package poison finds the parts of prompts that crash engines, and blocks requests
// that contain them.
//
// A part is suspected when an engine crashes before it has answered a request with that
// part for long. An answer to any request with the part clears it: a part that crashes
// every engine is never answered. Nodes exchange what they have seen, so that a part is
// blocked at all of them after a few crashes. Times of other nodes arrive as ages, so
// clocks need not agree.
package poison

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
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
	// minBlock is how long after the last crash a part is blocked before one request
	// tests it again. Each further crash doubles the time up to maxBlock.
	minBlock = time.Minute
	maxBlock = 30 * time.Minute
	// minBlockUnserved replaces minBlock for a part that is blocked by crashesToBlockUnserved.
	minBlockUnserved = 10 * time.Second
	// trialTime is how long a test may take before the next one.
	trialTime = 30 * time.Second
	// forgetWeakAfter and forgetBlockedAfter are how long after its last crash the
	// evidence against a part is dropped.
	forgetWeakAfter    = 10 * time.Minute
	forgetBlockedAfter = 2 * maxBlock
	// maxSuspects and maxServed limit how many suspected parts, and times of answers to
	// parts, are kept.
	maxSuspects = 512
	maxServed   = 4096
	// shareFor is how long a change of the evidence is sent with every message. Several
	// messages within this time reach every node, even if one is lost.
	shareFor = 3 * time.Second
)

// Block says that a part is blocked.
type Block struct {
	Part string
	// Until is when a request may test the part again.
	Until time.Time
	// Crashes is the number of crashes on which the block is based.
	Crashes int
}

// Tracker keeps the evidence of one node. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	log      *slog.Logger
	suspects map[string]*suspect
	served   map[string]time.Time
	blocks   map[string]Block
	// decideAt is when the time to object ends for a part; zero if it does for none.
	decideAt time.Time
}

// suspect is a part with which engines crashed.
type suspect struct {
	part    string
	crashes []crash // since the last answer, in the order of their times
	served  time.Time
	// strongSince is when the crashes reached crashesToBlockUnserved.
	strongSince time.Time
	// wasStrong is set if they ever reached it, so that other nodes learn of an answer.
	wasStrong  bool
	changedAt  time.Time
	trialUntil time.Time
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
		served:   make(map[string]time.Time),
		blocks:   make(map[string]Block),
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

func (t *Tracker) recordServed(part string, at time.Time) {
	if _, ok := t.served[part]; !ok && len(t.served) >= maxServed {
		t.trimServed(at)
	}
	if at.After(t.served[part]) {
		t.served[part] = at
	}
}

// trimServed drops the older half of the times of answers, by age between the oldest
// and now.
func (t *Tracker) trimServed(now time.Time) {
	oldest := now
	for _, at := range t.served {
		if at.Before(oldest) {
			oldest = at
		}
	}
	limit := oldest.Add(now.Sub(oldest) / 2)
	maps.DeleteFunc(t.served, func(_ string, at time.Time) bool { return !at.After(limit) })
}

// RecordCrash records that an engine crashed before it had answered a request with the
// given parts for long. One crash may be recorded for several requests.
func (t *Tracker) RecordCrash(at time.Time, engine fleet.Key, request string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		s := t.suspect(part)
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
		if _, ok := t.served[part]; !ok {
			return false
		}
		if s := t.suspects[part]; s != nil && len(s.crashes) > 0 {
			return false
		}
	}
	return true
}

// suspect returns the evidence against a part, which may be empty.
func (t *Tracker) suspect(part string) *suspect {
	s := t.suspects[part]
	if s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.dropSuspect()
	}
	s = &suspect{
		part:   part,
		served: t.served[part],
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
}

// keptUntil returns when the evidence against a part is dropped.
func (t *Tracker) keptUntil(s *suspect) time.Time {
	last := s.changedAt
	if n := len(s.crashes); n > 0 {
		last = s.crashes[n-1].at
	}
	if _, blocked := t.blocks[s.part]; blocked {
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

// clear records an answer and drops the crashes before it. It reports whether there
// were any.
func (s *suspect) clear(at time.Time) bool {
	if !at.After(s.served) {
		return false
	}
	s.served = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	return len(s.crashes) < before
}

// countCrashes counts crashes, those of several engines at the same time once.
func countCrashes(crashes []crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) >= simultaneousCrashes {
			n++
			last = c.at
		}
	}
	return n
}

// decide derives the blocked parts from the evidence. Crashes under a blocked part are
// not held against the other parts that were there.
func (t *Tracker) decide(now time.Time) {
	t.forget(now)
	order := slices.Collect(maps.Values(t.suspects))
	counts := make(map[string]int, len(order))
	for _, s := range order {
		counts[s.part] = countCrashes(s.crashes)
	}
	slices.SortFunc(order, func(a, b *suspect) int {
		// Of two with the same crashes, the one that was never answered is the cause.
		return cmp.Or(cmp.Compare(counts[b.part], counts[a.part]), a.served.Compare(b.served), cmp.Compare(a.part, b.part))
	})
	explained := make(map[fleet.Key]bool)
	blocks := make(map[string]Block)
	t.decideAt = time.Time{}
	for _, s := range order {
		rest := slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return explained[c.engine] })
		count := countCrashes(rest)
		if count < crashesToBlockUnserved {
			s.strongSince = time.Time{}
			continue
		}
		if s.strongSince.IsZero() {
			s.strongSince, s.wasStrong = now, true
		}
		if count < crashesToBlock {
			if !s.served.IsZero() {
				continue
			}
			if end := s.strongSince.Add(objectionTime); now.Before(end) {
				if t.decideAt.IsZero() || end.Before(t.decideAt) {
					t.decideAt = end
				}
				continue
			}
		}
		for _, c := range s.crashes {
			explained[c.engine] = true
		}
		blocks[s.part] = Block{
			Part:    s.part,
			Until:   s.crashes[len(s.crashes)-1].at.Add(blockTime(count)),
			Crashes: count,
		}
	}
	t.replaceBlocks(now, blocks)
}

// blockTime returns how long a part is blocked after its last crash.
func blockTime(crashes int) time.Duration {
	if crashes < crashesToBlock {
		return minBlockUnserved
	}
	d := minBlock
	for range crashes - crashesToBlock {
		d = min(2*d, maxBlock)
	}
	return d
}

// replaceBlocks sets the blocked parts and logs what has changed.
func (t *Tracker) replaceBlocks(now time.Time, blocks map[string]Block) {
	for part, b := range blocks {
		if _, ok := t.blocks[part]; !ok {
			t.log.Warn("prompt part blocked", "part", part, "crashes", b.Crashes, "tested-in-ms", b.Until.Sub(now).Milliseconds())
		}
	}
	for part := range t.blocks {
		if _, ok := blocks[part]; ok {
			continue
		}
		why := "its crashes have another cause"
		if s := t.suspects[part]; s == nil || len(s.crashes) == 0 {
			why = "a request with it was answered"
		}
		t.log.Info("prompt part no longer blocked", "part", part, "why", why)
	}
	t.blocks = blocks
}

// forget drops evidence that is too old.
func (t *Tracker) forget(now time.Time) {
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
		if !mayTest || now.Before(b.Until) || now.Before(s.trialUntil) {
			return b, true, false
		}
		s.trialUntil = now.Add(trialTime)
		test = true
		t.log.Info("prompt part tested", "part", part, "crashes", b.Crashes)
	}
	return Block{}, false, test
}

// Merge adds the evidence of another node.
func (t *Tracker) Merge(now time.Time, list []Evidence) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range list {
		if t.merge(now, &list[i]) {
			changed = true
		}
	}
	if changed {
		t.decide(now)
	}
}

func (t *Tracker) merge(now time.Time, e *Evidence) (changed bool) {
	s := t.suspects[e.Part]
	if s == nil && len(e.Crashes) == 0 {
		return false
	}
	s = t.suspect(e.Part)
	if e.Served {
		changed = s.clear(now.Add(-e.ServedAge))
	}
	if own := t.served[e.Part]; !own.IsZero() && (!e.Served || now.Add(-e.ServedAge).Before(own)) {
		// This node has seen an answer that the other one does not know of.
		changed = s.clear(own) || changed
		if !e.Served {
			s.changedAt = now
		}
	}
	for _, c := range e.Crashes {
		if s.add(crash{engine: c.Engine, at: now.Add(-c.Age)}) {
			changed = true
		}
	}
	if changed {
		s.changedAt = now
	}
	return changed
}

// Share returns the evidence for another node: parts with several crashes, and what
// changed recently. Those with the most crashes come first.
func (t *Tracker) Share(now time.Time) []Evidence { return t.share(now, 1, MaxShared) }

// ShareStrong is like Share, but leaves out parts with a single crash. It is for
// messages to all nodes.
func (t *Tracker) ShareStrong(now time.Time, limit int) []Evidence {
	return t.share(now, crashesToBlockUnserved, limit)
}

func (t *Tracker) share(now time.Time, minCrashes, limit int) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*suspect
	for _, s := range t.suspects {
		recent := now.Sub(s.changedAt) < shareFor
		count := countCrashes(s.crashes)
		cleared := recent && len(s.crashes) == 0 && s.wasStrong
		if count >= crashesToBlockUnserved || recent && count >= minCrashes || cleared {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), b.changedAt.Compare(a.changedAt), cmp.Compare(a.part, b.part))
	})
	out := make([]Evidence, 0, min(limit, len(chosen)))
	for _, s := range chosen[:min(limit, len(chosen))] {
		out = append(out, s.evidence(now))
	}
	return out
}

func (s *suspect) evidence(now time.Time) Evidence {
	e := Evidence{
		Part: s.part,
	}
	if !s.served.IsZero() {
		e.Served, e.ServedAge = true, max(0, now.Sub(s.served))
	}
	for _, c := range s.crashes {
		e.Crashes = append(e.Crashes, Crash{
			Engine: c.engine,
			Age:    max(0, now.Sub(c.at)),
		})
	}
	return e
}

// Blocked returns the number of blocked parts.
func (t *Tracker) Blocked() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.blocks)
}
