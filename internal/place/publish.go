package place

import (
	"maps"
	"math"
	"slices"

	"trefoildale.example/trefoildale/internal/engine"
)

// publish brings the layout up to date and numbers what changed.
func (m *Manager) publish() {
	for _, name := range m.names {
		e := m.eps[name]
		next := m.layoutOf(e)
		if e.layout.Seq > 0 && equalLayout(e.layout, next) {
			continue
		}
		m.seq++
		next.Seq = m.seq
		e.layout = next
		delete(m.removed, name)
	}
	for name := range m.published {
		if _, ok := m.models[name]; !ok && m.published[name].Requests != 0 {
			m.seq++
			m.published[name] = ModelDemand{
				Model: name,
				Seq:   m.seq,
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
			// In tenths, so that the layout does not change all the time.
			next.Excess = float32(math.Round(m.excess[name]/max(d.tokens.level, 1)*10) / 10 * d.tokens.level)
		}
		next.Model = name
		old, ok := m.published[name]
		next.Seq = old.Seq
		if old == next || !ok && next.Requests == 0 {
			continue
		}
		m.seq++
		next.Seq = m.seq
		m.published[name] = next
	}
}

func (m *Manager) layoutOf(e *endpoint) EndpointLayout {
	out := EndpointLayout{
		Endpoint: e.Name,
		Role:     e.role,
		Leaving:  e.leaving || e.listed,
	}
	if e.fails >= 3 {
		return out
	}
	if e.move != nil && e.move.Load != (Item{}) && !e.ledger.Has(e.move.Load) {
		out.Models = append(out.Models, ModelLayout{
			Model:   e.move.Load.Model,
			Version: e.move.Load.Version,
			Coming:  true,
		})
	}
	// Items are in order: a model comes directly before its adapters.
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
		return x.Model == y.Model && x.Version == y.Version && x.Ready == y.Ready && x.Coming == y.Coming && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Layout is the whole layout.
func (m *Manager) Layout() Layout {
	out := Layout{
		Domain: m.set.Domain,
		Term:   m.term,
		Seq:    m.seq,
	}
	for _, name := range m.names {
		if e := m.eps[name]; e.layout.Seq > 0 {
			out.Endpoints = append(out.Endpoints, e.layout)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.published)) {
		out.Demand = append(out.Demand, m.published[name])
	}
	return out
}

// Reply is what a node that holds the layout of a term and number needs.
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
