package place

import (
	"fmt"
	"slices"

	"trefoildale.example/trefoildale/internal/engine"
)

const (
	// rolesFrom is the number of replicas from which a model is divided into
	// prefill and decode. With fewer, one busy replica of a role would stop all.
	rolesFrom = 4
	// prefillShare is the part of the replicas that do prefill.
	prefillShare = 0.25
)

// planRoles divides the endpoints that serve only one busy model into prefill
// and decode, and gives the others the mixed role back.
func planRoles(v *View, moves []Move) []Move {
	only := map[string][]int{}
	for at, e := range v.Endpoints {
		model, n := "", 0
		for _, it := range e.Items {
			if it.Adapter == "" {
				model = it.Model
				n++
			}
		}
		if n == 1 {
			only[model] = append(only[model], at)
		}
	}
	want := make([]engine.Role, len(v.Endpoints))
	for i := range want {
		want[i] = engine.RoleMixed
	}
	for _, list := range only {
		if len(list) < rolesFrom {
			continue
		}
		prefill := max(1, int(float64(len(list))*prefillShare))
		// Those that have the role keep it, so that a growing group moves few.
		slices.SortStableFunc(list, func(a, b int) int { return roleOrder(v, a) - roleOrder(v, b) })
		for n, at := range list {
			want[at] = engine.RoleDecode
			if n < prefill {
				want[at] = engine.RolePrefill
			}
		}
	}
	var out []Move
	for at, e := range v.Endpoints {
		have := e.Role
		if have == "" {
			have = engine.RoleMixed
		}
		if !e.Idle || have == want[at] || slices.ContainsFunc(moves, func(x Move) bool { return x.Endpoint == e.Name }) {
			continue
		}
		out = append(out, Move{
			Endpoint: e.Name,
			Role:     want[at],
			Reason:   ReasonRole,
			Sentence: fmt.Sprintf("%s changes its part of the work to %s because of how many accelerators share its model.", e.Name, want[at]),
		})
	}
	return out
}

func roleOrder(v *View, at int) int {
	if v.Endpoints[at].Role == engine.RolePrefill {
		return 0
	}
	return 1
}
