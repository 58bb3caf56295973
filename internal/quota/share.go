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

// maxSplits bounds the splits that are kept for a workspace. Beyond it the two
// oldest ones are merged into their minimum, which exceeds neither of them.
const maxSplits = 8

// DomainsOf returns the domains that hold a share of the workspace's rate and
// burst. A workspace with a small burst is divided over fewer domains, so that
// each share has at least minShare tokens unless the burst itself is smaller.
func DomainsOf(w spec.Workspace, domains []string, minShare int64) []string {
	if minShare <= 0 {
		minShare = DefaultMinShareTokens
	}
	if len(domains) == 0 {
		return nil
	}
	k := min(max(w.BurstTokens/minShare, 1), int64(len(domains)))
	return rank.Order(w.Name, domains)[:k]
}

// Shares tracks the share of one domain in each workspace over all configuration
// revisions that some node may still use.
type Shares struct {
	domain      string
	revision    int64
	confirmed   int64
	started     bool
	gapRevision int64 // the revision after the last gap in the revisions
	byWorkspace map[string]*share
	faults      *faults
}

type share struct {
	name        string
	rate, burst float64 // for the whole fleet
	fraction    float64 // the part that this domain uses now
	domains     []string
	splits      []split
	raiseDue    time.Time
	raiseTo     float64
}

// split is the fraction of this domain from a revision on. -1 means that the
// workspace did not exist, which doesn't limit later fractions.
type split struct {
	revision int64
	fraction float64
}

// NewShares returns the shares of a domain.
func NewShares(domain string) *Shares {
	return &Shares{
		domain:      domain,
		byWorkspace: make(map[string]*share),
		faults:      &faults{},
	}
}

// SetConfig applies a configuration and returns the workspaces whose split
// changed. confirmed is a revision that every node in every domain that may hold
// slots has applied. All revisions have to be set in order: a fraction may not
// exceed the smallest one of any revision from confirmed on, because another
// domain may still use the split of that revision. After a gap, and at the
// start, the shares stay empty until the revision is confirmed, so a starting
// node should first set a confirmed one, such as that of its snapshot.
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
		s.gapRevision = cfg.Revision
	}
	// Until the revision after the gap is confirmed, a workspace that this node
	// doesn't know may have existed in the gap.
	blind := !s.started || s.confirmed < s.gapRevision
	var changed []string
	present := make(map[string]bool, len(cfg.Workspaces))
	for _, w := range cfg.Workspaces {
		present[w.Name] = true
		sh := s.byWorkspace[w.Name]
		isNew := sh == nil
		if isNew {
			sh = &share{
				name: w.Name,
			}
			s.byWorkspace[w.Name] = sh
		}
		shareDomains := DomainsOf(w, domains, cfg.Limits.MinShareTokens)
		f := 0.0
		if slices.Contains(shareDomains, s.domain) {
			f = 1 / float64(len(shareDomains))
		}
		if !slices.Equal(shareDomains, sh.domains) {
			sh.domains = shareDomains
			changed = append(changed, w.Name)
		}
		sh.rate = max(0, w.RateTokensPerSecond)
		sh.burst = max(0, float64(w.BurstTokens))
		if gap || isNew && blind {
			sh.addSplit(s.revision+1, 0)
		}
		sh.addSplit(cfg.Revision, f)
		if isNew && !blind {
			// The workspace is new, so no domain can still use an earlier share.
			sh.fraction = f
		}
	}
	for name, sh := range s.byWorkspace {
		if !present[name] && sh.splits[len(sh.splits)-1].fraction >= 0 {
			sh.rate, sh.burst, sh.fraction, sh.domains = 0, 0, 0, nil
			sh.addSplit(cfg.Revision, -1)
			changed = append(changed, name)
		}
	}
	return changed
}

// addSplit records the fraction from a revision on.
func (s *share) addSplit(revision int64, fraction float64) {
	if n := len(s.splits); n > 0 && s.splits[n-1].fraction == fraction {
		return
	}
	s.splits = append(s.splits, split{
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

// Step puts raised fractions into effect. A raise takes effect DepositorTerm after
// its confirmation, when all loans made under the old split have expired.
func (s *Shares) Step(now time.Time) {
	for name, sh := range s.byWorkspace {
		for len(sh.splits) > 1 && sh.splits[1].revision <= s.confirmed {
			sh.splits = sh.splits[1:]
		}
		target := 1.0
		for _, sp := range sh.splits {
			if sp.fraction >= 0 {
				target = min(target, sp.fraction)
			}
		}
		last := sh.splits[len(sh.splits)-1].fraction
		if last < 0 {
			target = 0
			if len(sh.splits) == 1 {
				delete(s.byWorkspace, name)
				continue
			}
		}
		if s.faults.raiseUnconfirmed && last >= 0 {
			sh.fraction = last
			continue
		}
		switch {
		case target <= sh.fraction:
			sh.fraction = target
			sh.raiseDue = time.Time{}
		case sh.raiseDue.IsZero() || sh.raiseTo != target:
			sh.raiseDue, sh.raiseTo = now.Add(DepositorTerm), target
		case !now.Before(sh.raiseDue) || s.faults.raiseNoWait:
			sh.fraction = target
			sh.raiseDue = time.Time{}
		}
	}
}

// perSlot returns the rate and capacity of one slot of the domain.
func (s *share) perSlot() (rate, capacity float64) {
	return s.rate * s.fraction / SlotCount, s.burst * s.fraction / SlotCount
}

// refillTime estimates how long the whole fleet takes to refill tokens, up to an
// hour.
func (s *share) refillTime(tokens float64) time.Duration {
	if s.rate <= 0 {
		return time.Hour
	}
	return time.Duration(math.Min(tokens/s.rate, 3600) * float64(time.Second))
}
