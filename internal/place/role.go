package place

import (
	"fmt"
	"slices"

	"trefoildale.example/trefoildale/internal/engine"
)

const (
	// minReplicasForRoles is the number of replicas from which prefill and decode are
	// separated. With fewer, one busy replica of a role would block the whole model.
	minReplicasForRoles = 4
	// prefillShare is the fraction of the replicas that do prefill.
	prefillShare = 0.25
)

// planRoles assigns the prefill or decode role to endpoints that hold only one
// model, if that model has enough such endpoints, and the mixed role to all
// others.
func planRoles(v *View, moves []Move) []Move {
	soleModel := map[string][]int{}
	for ep, e := range v.Endpoints {
		model, n := "", 0
		for _, it := range e.Items {
			if it.Adapter == "" {
				model = it.Model
				n++
			}
		}
		if n == 1 {
			soleModel[model] = append(soleModel[model], ep)
		}
	}
	want := make([]engine.Role, len(v.Endpoints))
	for i := range want {
		want[i] = engine.RoleMixed
	}
	for _, list := range soleModel {
		if len(list) < minReplicasForRoles {
			continue
		}
		prefill := max(1, int(float64(len(list))*prefillShare))
		// Endpoints with the prefill role come first and keep it, so that a growing
		// group changes few roles.
		slices.SortStableFunc(list, func(a, b int) int { return roleOrder(v, a) - roleOrder(v, b) })
		for n, ep := range list {
			want[ep] = engine.RoleDecode
			if n < prefill {
				want[ep] = engine.RolePrefill
			}
		}
	}
	var out []Move
	for ep, e := range v.Endpoints {
		have := e.Role
		if have == "" {
			have = engine.RoleMixed
		}
		if !e.Idle || have == want[ep] || slices.ContainsFunc(moves, func(x Move) bool { return x.Endpoint == e.Name }) {
			continue
		}
		out = append(out, Move{
			Endpoint:    e.Name,
			Role:        want[ep],
			Reason:      ReasonRole,
			Explanation: fmt.Sprintf("%s changes its role to %s because of the number of accelerators that serve its model.", e.Name, want[ep]),
		})
	}
	return out
}

func roleOrder(v *View, ep int) int {
	if v.Endpoints[ep].Role == engine.RolePrefill {
		return 0
	}
	return 1
}
