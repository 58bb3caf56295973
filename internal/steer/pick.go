package steer

import (
	"math"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/rank"
)

// Query is what a choice depends on.
type Query struct {
	Service string
	Model   string
	Adapter string
	// Session identifies the prompt part that requests share.
	Session string
	Exclude map[fleet.Key]bool
}

// Choice is a chosen endpoint with the inputs of the choice.
type Choice struct {
	Endpoint   fleet.Endpoint
	HasAdapter bool
	// Load is the estimated number of requests there, Candidates how many
	// endpoints could have served, and ReportAge how old the load report was.
	Load       float64
	Candidates int
	ReportAge  time.Duration
}

type closingKey struct {
	key   fleet.Key
	model string
}

// Pick chooses an endpoint and counts the request there until Done.
func (t *Table) Pick(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *end
	var bestCost float64
	out := Choice{}
	holders, served := 0, 0
	affinity := t.affinity(q)
	noise := spreadUnit * math.Sqrt(float64(t.nodes-1))
	for _, e := range t.ends {
		if e.Service != q.Service || e.Leaving {
			continue
		}
		served++
		var r *fleet.Resident
		if q.Model != "" {
			if r = fleet.Find(e.Models, q.Model); r == nil {
				continue
			}
		}
		if now.Before(e.awayUntil) {
			continue
		}
		holders++
		if q.Exclude[e.Key()] {
			continue
		}
		out.Candidates++
		cost := t.cost(now, e, &q, r, e.ID == affinity) + noise*t.spread()
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	switch {
	case best != nil:
	case q.Model != "" && holders == 0 && served > 0:
		return Choice{}, ErrNotResident
	default:
		return Choice{}, ErrNoEndpoint
	}
	out.Endpoint = best.Endpoint
	out.Load = best.load(now, t.nodes)
	out.HasAdapter = true
	if q.Adapter != "" {
		r := fleet.Find(best.Models, q.Model)
		out.HasAdapter = r.Has(q.Adapter)
	}
	if !best.reported.IsZero() {
		out.ReportAge = now.Sub(best.reported)
	}
	t.try(best)
	best.running++
	best.sends = append(best.sends, now)
	if best.owed.IsZero() {
		best.owed = now
	}
	return out, nil
}

// affinity names the endpoint that requests of the same session prefer.
func (t *Table) affinity(q Query) string {
	if q.Session == "" {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, e := range t.ends {
		if e.Service != q.Service || e.Leaving || fleet.Find(e.Models, q.Model) == nil {
			continue
		}
		if s := rank.Score(q.Session, e.ID); best == "" || s > bestScore {
			best, bestScore = e.ID, s
		}
	}
	return best
}

// load estimates the requests at an endpoint of all nodes.
func (e *end) load(now time.Time, nodes int) float64 {
	if !e.reported.IsZero() && now.Sub(e.reported) < reportMaxAge {
		return max(float64(e.running), float64(e.report.Active+e.report.Queued+len(e.sends)))
	}
	return float64(e.running * nodes)
}

func (t *Table) cost(now time.Time, e *end, q *Query, r *fleet.Resident, preferred bool) float64 {
	load := e.load(now, t.nodes)
	cost := idlePlain + load
	if r != nil {
		cost = idleCost(e.Slots) + load
		if preferred {
			cost -= affinityGain
		}
		if !r.Has(q.Adapter) {
			cost += fetchCost
			if e.report.Busy || t.busy[e.Key()] {
				cost += busyCost
			}
		}
	}
	if e.Domain != t.domain {
		cost += farCost * idlePlain / 4
		if r != nil {
			cost += farCost
		}
	}
	if fresh := now.Sub(e.reported) < reportMaxAge; fresh && !e.reported.IsZero() {
		cost += queueCost * float64(e.report.Queued)
		if total := e.report.CacheTotal; total > 0 {
			if used := float64(e.report.CacheUsed) / float64(total); used > memoryHigh {
				cost *= 1 + 4*(used-memoryHigh)
			}
		}
	}
	if !e.reported.IsZero() && t.newest.Sub(e.reported) > reportMaxAge {
		cost += staleCost
	}
	if slots := float64(e.Slots); slots > 0 && load >= slots*nearFull {
		cost += fullCost * (load - slots*nearFull + 1)
	}
	cost *= e.pace
	cost *= 1 + failCost*e.failRate
	if now.Before(e.fullUntil) {
		cost = cost*4 + 100
	}
	if t.domains[e.Domain].blocked(now) {
		cost += cutCost
	}
	if e.silent(now) {
		cost = cost*10 + 1000
	}
	if t.closing[closingKey{key: e.Key(), model: q.Model}] {
		cost = cost*6 + 500
	}
	return cost
}

// idleCost is the load that an idle engine counts as.
func idleCost(slots int) float64 {
	if slots <= 0 {
		return idleLoad
	}
	return min(idleLoad, idleSlots*float64(slots))
}

func (e *end) silent(now time.Time) bool {
	return !e.owed.IsZero() && now.Sub(e.owed) > silentAfter
}
