package place

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Static is the baseline policy that computes one placement, in the order of
// demand at the first plan, and restores it after endpoints restart. It computes
// the placement anew only when the usable endpoints, the models, their versions
// or their sizes change. A model that does not fit is not loaded until then.
type Static struct {
	target  map[string][]Item // by endpoint
	viewKey string
}

// NewStatic returns a static policy that has not computed a placement yet.
func NewStatic() *Static { return &Static{} }

// Name implements Policy.
func (s *Static) Name() string { return "static" }

// Plan implements Policy.
func (s *Static) Plan(v *View) []Move {
	var key strings.Builder
	for _, e := range v.Endpoints {
		fmt.Fprintf(&key, "%s=%d;", e.Name, e.MemoryMiB)
	}
	for _, m := range v.Models {
		fmt.Fprintf(&key, "%s@%s=%d;", m.Spec.Name, m.Spec.Version, m.Spec.MemoryMiB)
	}
	if key.String() != s.viewKey {
		s.viewKey = key.String()
		s.computeTarget(v)
	}
	sizes := modelIndex(v)
	var out []Move
	for _, e := range v.Endpoints {
		if !e.Idle || len(out) >= v.MaxLoads {
			continue
		}
		want := s.target[e.Name]
		var evict []Item
		for _, it := range e.Items {
			if it.Adapter == "" && !slices.Contains(want, it.Item) {
				evict = append(evict, it.Item)
			}
		}
		for _, i := range want {
			if slices.ContainsFunc(e.Items, func(it ItemView) bool { return it.Item == i }) {
				continue
			}
			out = append(out, Move{
				Endpoint:    e.Name,
				Evict:       evict,
				Load:        i,
				MiB:         sizes[i.Model].Spec.MemoryMiB,
				Reason:      ReasonInitial,
				Explanation: fmt.Sprintf("%s is loaded on %s because the fixed placement assigns it there.", i.Model, e.Name),
			})
			break
		}
	}
	return out
}

func (s *Static) computeTarget(v *View) {
	s.target = map[string][]Item{}
	free := make([]int64, len(v.Endpoints))
	for i, e := range v.Endpoints {
		free[i] = e.MemoryMiB
	}
	models := slices.Clone(v.Models)
	slices.SortStableFunc(models, func(a, b ModelView) int { return cmp.Compare(b.Requests, a.Requests) })
	for round := 0; ; round++ {
		placed := false
		for _, m := range models {
			i := Item{
				Model:   m.Spec.Name,
				Version: m.Spec.Version,
			}
			best := -1
			for ep, e := range v.Endpoints {
				if free[ep] < m.memoryAt(&v.Endpoints[ep]) || slices.Contains(s.target[e.Name], i) {
					continue
				}
				if best < 0 || free[ep] > free[best] {
					best = ep
				}
			}
			if best < 0 {
				continue
			}
			name := v.Endpoints[best].Name
			s.target[name] = append(s.target[name], i)
			free[best] -= m.memoryAt(&v.Endpoints[best])
			placed = true
		}
		if !placed || round == len(v.Endpoints) {
			return
		}
	}
}

func modelIndex(v *View) map[string]*ModelView {
	out := make(map[string]*ModelView, len(v.Models))
	for i := range v.Models {
		out[v.Models[i].Spec.Name] = &v.Models[i]
	}
	return out
}

// LRU is the baseline policy that loads a model when a request waits for it and
// evicts the least recently used models when memory is short.
type LRU struct{}

// NewLRU returns the policy that swaps models in least recently used order.
func NewLRU() *LRU { return &LRU{} }

// Name implements Policy.
func (*LRU) Name() string { return "lru" }

// Plan implements Policy.
func (*LRU) Plan(v *View) []Move {
	index := modelIndex(v)
	resident := map[Item]bool{}
	idle := make([]bool, len(v.Endpoints))
	for ep, e := range v.Endpoints {
		idle[ep] = e.Idle
		for _, it := range e.Items {
			resident[it.Item] = true
		}
	}
	var waiting []*ModelView
	for i := range v.Models {
		m := &v.Models[i]
		if !m.WaitingSince.IsZero() && !resident[Item{Model: m.Spec.Name, Version: m.Spec.Version}] {
			waiting = append(waiting, m)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *ModelView) int { return a.WaitingSince.Compare(b.WaitingSince) })

	lastUse := func(it ItemView) time.Time {
		if m := index[it.Model]; m != nil && m.Spec.Version == it.Version {
			if m.LastUse.After(it.ResidentSince) {
				return m.LastUse
			}
			return it.ResidentSince
		}
		return time.Time{}
	}
	var out []Move
	for _, m := range waiting {
		if len(out) >= v.MaxLoads {
			break
		}
		best := -1
		var bestEvict []Item
		var bestAge time.Time
		for ep, e := range v.Endpoints {
			need := m.memoryAt(&v.Endpoints[ep])
			if !idle[ep] || need > e.MemoryMiB {
				continue
			}
			items := slices.DeleteFunc(slices.Clone(e.Items), func(it ItemView) bool {
				return it.Adapter != "" || !it.Ready || v.Now.Sub(it.ResidentSince) < e.BookedFor
			})
			slices.SortStableFunc(items, func(a, b ItemView) int { return lastUse(a).Compare(lastUse(b)) })
			free := e.FreeMiB
			var evict []Item
			var newest time.Time
			for _, it := range items {
				if free >= need {
					break
				}
				free += it.MiB
				evict = append(evict, it.Item)
				newest = lastUse(it)
			}
			if free < need {
				continue
			}
			if best < 0 || newest.Before(bestAge) {
				best, bestEvict, bestAge = ep, evict, newest
			}
		}
		if best < 0 {
			continue
		}
		idle[best] = false
		e := v.Endpoints[best]
		out = append(out, Move{
			Endpoint: e.Name,
			Evict:    bestEvict,
			Load: Item{
				Model:   m.Spec.Name,
				Version: m.Spec.Version,
			},
			MiB:         m.Spec.MemoryMiB,
			Reason:      ReasonOnDemand,
			Explanation: fmt.Sprintf("%s is loaded on %s because a request waits for it; the models unused for longest are unloaded if memory is short.", m.Spec.Name, e.Name),
		})
	}
	return out
}
