package spec

import "time"

// Defaults of the limits.
const (
	// DefaultMinShareTokens is the size of about one typical request.
	DefaultMinShareTokens       = 4096
	DefaultWeightLoadsPerSecond = 1.0
	DefaultWeightLoadsParallel  = 2
	DefaultWhenIsolated         = IsolationRefuse
	DefaultSlotTerm             = Duration(time.Hour)
)

// minSlotTerm limits the load of renewals on the platform's table: there is one
// renewal per quarter of the term.
const minSlotTerm = Duration(time.Second)

func (l *Limits) setDefaults() {
	if l.MinShareTokens == 0 {
		l.MinShareTokens = DefaultMinShareTokens
	}
	if l.WeightLoadsPerSecond == 0 {
		l.WeightLoadsPerSecond = DefaultWeightLoadsPerSecond
	}
	if l.WeightLoadsParallel == 0 {
		l.WeightLoadsParallel = DefaultWeightLoadsParallel
	}
	if l.WhenIsolated == "" {
		l.WhenIsolated = DefaultWhenIsolated
	}
	if l.SlotTerm == 0 {
		l.SlotTerm = DefaultSlotTerm
	}
}

func (k *checker) limits() {
	l := k.c.Limits
	l.setDefaults()
	s := k.scope("limits", -1, KindOfLimits, "")
	if l.MinShareTokens < 0 {
		s.add("min-share-tokens", "is below zero")
	}
	if !finite(l.WeightLoadsPerSecond) || l.WeightLoadsPerSecond < 0 {
		s.add("weight-loads-per-second", "is not above zero")
	}
	if l.WeightLoadsParallel < 0 {
		s.add("weight-loads-parallel", "is below zero")
	}
	if l.WhenIsolated != IsolationRefuse && l.WhenIsolated != IsolationServe {
		s.add("when-isolated", "%q is neither refuse nor serve", string(l.WhenIsolated))
	}
	if l.SlotTerm < minSlotTerm {
		s.add("slot-term", "is below %s", time.Duration(minSlotTerm))
	}
}
