package poison

import (
	"cmp"
	"slices"
	"time"
)

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
	s = t.ensureSuspect(e.Part)
	if e.Served {
		changed = s.clear(now.Add(-e.ServedAge))
	}
	if known := t.knownAnswer(e.Part); !known.IsZero() && (!e.Served || now.Add(-e.ServedAge).Before(known)) {
		changed = s.clear(known) || changed
		if len(e.Crashes) >= crashesToBlockUnserved {
			// The other node does not know of that answer and may block the part.
			s.changedAt, s.wasStrong = now, true
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

// knownAnswer returns the time of the last answer to a part that this node has given or
// heard of.
func (t *Tracker) knownAnswer(part string) time.Time {
	at := t.servedOf(part)[part]
	if s := t.suspects[part]; s != nil && s.served.After(at) {
		at = s.served
	}
	return at
}

// Objections returns what this node knows of answers to the parts in another node's
// evidence that the other node does not know.
func (t *Tracker) Objections(now time.Time, list []Evidence) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Evidence
	for _, e := range list {
		served := t.knownAnswer(e.Part)
		if served.IsZero() || e.Served && !served.After(now.Add(-e.ServedAge)) {
			continue
		}
		out = append(out, Evidence{
			Part:      e.Part,
			Served:    true,
			ServedAge: max(0, now.Sub(served)),
		})
	}
	return out
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
		count := s.count(s.crashes)
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
