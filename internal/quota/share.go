package quota

import (
	"math"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
	"trefoildale.example/trefoildale/pkg/spec"
)

// DefaultMinShareTokens keeps a domain's share no smaller than a typical request.
const DefaultMinShareTokens = 4096

// maxSplits bounds the remembered splits of a workspace. The oldest ones are
// merged into their minimum, which is never more than either allows.
const maxSplits = 8

// Split returns the domains that hold a part of the workspace's rate and burst.
func Split(w spec.Workspace, domains []string, minShare int64) []string {
	if minShare <= 0 {
		minShare = DefaultMinShareTokens
	}
	if len(domains) == 0 {
		return nil
	}
	k := min(max(w.BurstTokens/minShare, 1), int64(len(domains)))
	return rank.Order(w.Name, domains)[:k]
}

// Shares tracks the share of one domain in each workspace over the revisions
// that some node may still hold.
type Shares struct {
	domain    string
	revision  int64
	confirmed int64
	started   bool
	blind     int64 // the revision after the last gap
	items     map[string]*share
	faults    *faults
}

type share struct {
	name        string
	rate, burst float64 // of the whole fleet
	fraction    float64 // that this domain uses now
	domains     []string
	splits      []splitAt
	raiseAt     time.Time
	raiseTo     float64
}

// splitAt is the fraction of this domain from a revision on; -1 means that the
// workspace did not exist, which restricts nothing.
type splitAt struct {
	revision int64
	fraction float64
}

// NewShares returns the shares of a domain.
func NewShares(domain string) *Shares {
	return &Shares{
		domain: domain,
		items:  make(map[string]*share),
		faults: &faults{},
	}
}

// SetConfig applies a configuration. confirmed is a revision that every node
// that may hold slots has applied, in every domain. Revisions have to be given
// one by one: a fraction may not exceed the smallest one of any revision from
// confirmed on, because another domain may still use the split of that
// revision. After a gap, and at the start, the shares stay empty until the
// revision is confirmed, so a starting node should first give a confirmed one,
// such as that of its snapshot. It returns the workspaces whose split changed.
func (s *Shares) SetConfig(now time.Time, cfg *spec.Config, confirmed int64) []string {
	s.confirmed = max(s.confirmed, confirmed)
	var changed []string
	if !s.started || cfg.Revision > s.revision {
		gap := (!s.started || cfg.Revision > s.revision+1) && s.confirmed < cfg.Revision
		changed = s.apply(cfg, gap)
		s.revision = cfg.Revision
		s.started = true
	}
	s.Step(now)
	return changed
}

func (s *Shares) apply(cfg *spec.Config, gap bool) []string {
	domains := make([]string, 0, len(cfg.Domains))
	for _, d := range cfg.Domains {
		domains = append(domains, d.Name)
	}
	if gap {
		s.blind = cfg.Revision
	}
	// Until then a workspace that is new here may have existed in the gap.
	blind := !s.started || s.confirmed < s.blind
	var changed []string
	present := make(map[string]bool, len(cfg.Workspaces))
	for _, w := range cfg.Workspaces {
		present[w.Name] = true
		it := s.items[w.Name]
		fresh := it == nil
		if fresh {
			it = &share{
				name: w.Name,
			}
			s.items[w.Name] = it
		}
		split := Split(w, domains, cfg.Limits.MinShareTokens)
		f := 0.0
		if slices.Contains(split, s.domain) {
			f = 1 / float64(len(split))
		}
		if !slices.Equal(split, it.domains) {
			it.domains = split
			changed = append(changed, w.Name)
		}
		it.rate = max(0, w.RateTokensPerSecond)
		it.burst = max(0, float64(w.BurstTokens))
		if gap || fresh && blind {
			it.push(s.revision+1, 0)
		}
		it.push(cfg.Revision, f)
		if fresh && !blind {
			// No domain had a share before this revision, so none has to give one up.
			it.fraction = f
		}
	}
	for name, it := range s.items {
		if !present[name] && it.splits[len(it.splits)-1].fraction >= 0 {
			it.rate, it.burst, it.fraction, it.domains = 0, 0, 0, nil
			it.push(cfg.Revision, -1)
			changed = append(changed, name)
		}
	}
	return changed
}

func (s *share) push(revision int64, fraction float64) {
	if n := len(s.splits); n > 0 && s.splits[n-1].fraction == fraction {
		return
	}
	s.splits = append(s.splits, splitAt{
		revision: revision,
		fraction: fraction,
	})
	if len(s.splits) > maxSplits {
		a, b := s.splits[0].fraction, s.splits[1].fraction
		if a >= 0 && (b < 0 || a < b) {
			s.splits[1].fraction = a
		}
		s.splits = s.splits[1:]
	}
}

// Step lets raised fractions take effect. A raise waits ResumeAfter beyond the
// confirmation, since loans that were given under the old split end only then.
func (s *Shares) Step(now time.Time) {
	for name, it := range s.items {
		for len(it.splits) > 1 && it.splits[1].revision <= s.confirmed {
			it.splits = it.splits[1:]
		}
		target := 1.0
		for _, sp := range it.splits {
			if sp.fraction >= 0 {
				target = min(target, sp.fraction)
			}
		}
		last := it.splits[len(it.splits)-1].fraction
		if last < 0 {
			target = 0
			if len(it.splits) == 1 {
				delete(s.items, name)
				continue
			}
		}
		if s.faults.raiseAtOnce && last >= 0 {
			it.fraction = last
			continue
		}
		switch {
		case target <= it.fraction:
			it.fraction = target
			it.raiseAt = time.Time{}
		case it.raiseAt.IsZero() || it.raiseTo != target:
			it.raiseAt, it.raiseTo = now.Add(ResumeAfter), target
		case !now.Before(it.raiseAt) || s.faults.raiseNoWait:
			it.fraction = target
			it.raiseAt = time.Time{}
		}
	}
}

// perSlot returns the rate and cap of one slot of the domain.
func (s *share) perSlot() (rate, limit float64) {
	return s.rate * s.fraction / SlotCount, s.burst * s.fraction / SlotCount
}

// wait estimates how long the whole fleet takes to refill tokens.
func (s *share) wait(tokens float64) time.Duration {
	if s.rate <= 0 {
		return time.Hour
	}
	return time.Duration(math.Min(tokens/s.rate, 3600) * float64(time.Second))
}
