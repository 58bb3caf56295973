package poison

import (
	"cmp"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// count counts crashes under a suspect, those of several engines at the same time once.
func (s *suspect) count(crashes []crash) int {
	within := simultaneousCrashes
	if IsRequest(s.part) {
		within = simultaneousForRequest
	}
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) >= within {
			n++
			last = c.at
		}
	}
	return n
}

// decide derives the blocked parts from the evidence. Crashes under a blocked part are
// not held against the other parts that were there. A part that was answered before is the
// cause only of crashes that no part without an answer explains, or may explain once the
// time to object is over. Requests come before parts of prompts, and one that crashed
// crashesToBlock endpoints without any answer is blocked whatever else explains the crashes:
// nobody is refused for it but those who send the same.
func (t *Tracker) decide(now time.Time) {
	t.forget(now)
	var order []*suspect
	counts := make(map[string]int)
	for _, s := range t.suspects {
		if len(s.crashes) < crashesToBlockUnserved {
			// Nearly all: whatever stood on a crashed endpoint.
			s.strongSince = time.Time{}
			continue
		}
		order = append(order, s)
		counts[s.part] = s.count(s.crashes)
	}
	slices.SortFunc(order, func(a, b *suspect) int {
		return cmp.Or(compareTrue(a.served.IsZero(), b.served.IsZero()), compareTrue(IsRequest(a.part), IsRequest(b.part)),
			cmp.Compare(counts[b.part], counts[a.part]), a.served.Compare(b.served), cmp.Compare(a.part, b.part))
	})
	explained, mayBeExplained := make(map[fleet.Key]bool), make(map[fleet.Key]bool)
	// byRequest are the crashes that a request without an answer may explain.
	byRequest := make(map[fleet.Key]bool)
	blocks := make(map[string]Block)
	t.decideAt = time.Time{}
	for _, s := range order {
		isRequest := IsRequest(s.part)
		rest := slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool {
			return explained[c.engine] || !s.served.IsZero() && mayBeExplained[c.engine] || !isRequest && byRequest[c.engine]
		})
		count := s.count(rest)
		if isRequest && s.served.IsZero() && counts[s.part] >= crashesToBlock {
			count = counts[s.part]
		}
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
				for _, c := range s.crashes {
					mayBeExplained[c.engine] = true
					byRequest[c.engine] = byRequest[c.engine] || isRequest
				}
				continue
			}
		}
		for _, c := range s.crashes {
			explained[c.engine] = true
		}
		blocks[s.part] = Block{
			Part:    s.part,
			Until:   s.testAt(count),
			Crashes: count,
		}
	}
	t.replaceBlocks(now, blocks)
}

// testAt returns when a part that is blocked for so many crashes may be tested, zero if it may
// not any more.
func (s *suspect) testAt(count int) time.Time {
	if IsRequest(s.part) && (s.tests >= maxRequestTests || count >= crashesToBlock+maxRequestTests) {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at.Add(blockTime(count))
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
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
			t.log.Warn("prompt part blocked", "part", part, "is-request", IsRequest(part), "crashes", b.Crashes,
				"tested", !b.Until.IsZero(), "tested-in-ms", max(0, b.Until.Sub(now).Milliseconds()))
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
