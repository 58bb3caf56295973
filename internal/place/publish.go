package place

import (
	"maps"
	"math"
	"slices"

	"trefoildale.example/trefoildale/internal/engine"
)

// publish updates the layout and gives each changed entry the next layout number.
func (m *Manager) publish() {
	for _, name := range m.endpointNames {
		e := m.endpoints[name]
		next := m.layoutOf(e)
		if e.layout.Seq > 0 && equalLayout(e.layout, next) {
			continue
		}
		m.layoutSeq++
		next.Seq = m.layoutSeq
		e.layout = next
		delete(m.removed, name)
	}
	for name := range m.publishedDemand {
		if _, ok := m.models[name]; !ok && m.publishedDemand[name].Requests != 0 {
			m.layoutSeq++
			m.publishedDemand[name] = ModelDemand{
				Model: name,
				Seq:   m.layoutSeq,
			}
		}
	}
	for name := range m.models {
		var next ModelDemand
		if d := m.demand.models[name]; d != nil {
			next = ModelDemand{
				Requests: float32(d.requests.level),
				Tokens:   float32(d.tokens.level),
				Value:    float32(d.value.level),
			}
			// The ratio is rounded to tenths, so that small changes do not change the
			// layout.
			next.Excess = float32(math.Round(m.excess[name]/max(d.tokens.level, 1)*10) / 10 * d.tokens.level)
		}
		next.Model = name
		old, ok := m.publishedDemand[name]
		next.Seq = old.Seq
		if old == next || !ok && next.Requests == 0 {
			continue
		}
		m.layoutSeq++
		next.Seq = m.layoutSeq
		m.publishedDemand[name] = next
	}
}

func (m *Manager) layoutOf(e *endpoint) EndpointLayout {
	out := EndpointLayout{
		Endpoint: e.Name,
		Role:     e.role,
		Leaving:  e.reportedLeaving || e.listedLeaving,
	}
	if e.failedReads >= 3 {
		return out
	}
	if e.move != nil && e.move.Load != (Item{}) && !e.ledger.Has(e.move.Load) {
		out.Models = append(out.Models, ModelLayout{
			Model:   e.move.Load.Model,
			Version: e.move.Load.Version,
			Loading: true,
		})
	}
	// Items are sorted: a model comes directly before its adapters.
	for _, i := range e.ledger.Resident() {
		if i.Adapter == "" {
			out.Models = append(out.Models, ModelLayout{
				Model:   i.Model,
				Version: i.Version,
				Ready:   !e.evicting(i),
			})
			continue
		}
		n := len(out.Models)
		if n > 0 && out.Models[n-1].Model == i.Model && out.Models[n-1].Version == i.Version && !e.evicting(i) {
			out.Models[n-1].Adapters = append(out.Models[n-1].Adapters, i.Adapter)
		}
	}
	return out
}

func equalLayout(a, b EndpointLayout) bool {
	return a.Role == b.Role && a.Leaving == b.Leaving && slices.EqualFunc(a.Models, b.Models, func(x, y ModelLayout) bool {
		return x.Model == y.Model && x.Version == y.Version && x.Ready == y.Ready && x.Loading == y.Loading && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Layout returns the complete current layout.
func (m *Manager) Layout() Layout {
	out := Layout{
		Domain: m.settings.Domain,
		Term:   m.term,
		Seq:    m.layoutSeq,
	}
	for _, name := range m.endpointNames {
		if e := m.endpoints[name]; e.layout.Seq > 0 {
			out.Endpoints = append(out.Endpoints, e.layout)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.publishedDemand)) {
		out.Demand = append(out.Demand, m.publishedDemand[name])
	}
	return out
}

// Reply returns the update for a node that holds the layout with the given term
// and number: a delta if possible, otherwise the full layout.
func (m *Manager) Reply(term engine.Fence, seq int64) LayoutReply {
	full := m.Layout()
	out := LayoutReply{
		Domain: full.Domain,
		Term:   full.Term,
		Seq:    full.Seq,
	}
	if term != full.Term || seq > full.Seq || seq <= 0 {
		out.Full, out.Changed, out.Demand = true, full.Endpoints, full.Demand
		return out
	}
	out.Base = seq
	for _, e := range full.Endpoints {
		if e.Seq > seq {
			out.Changed = append(out.Changed, e)
		}
	}
	for _, d := range full.Demand {
		if d.Seq > seq {
			out.Demand = append(out.Demand, d)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.removed)) {
		if m.removed[name] > seq {
			out.Removed = append(out.Removed, name)
		}
	}
	return out
}
