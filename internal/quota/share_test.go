package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/pkg/spec"
)

// sharesModel changes domains, bursts and workspaces while nodes hold different
// revisions. It returns a description of the first violation, or "".
func sharesModel(t *rapid.T, f *faults) string {
	all := []string{"a", "b", "c", "d"}
	now := time.Unix(0, 0)
	var configs []*spec.Config
	change := func() {
		cfg := &spec.Config{
			Revision: int64(len(configs) + 1),
		}
		for _, d := range all[:rapid.IntRange(1, len(all)).Draw(t, "domains")] {
			cfg.Domains = append(cfg.Domains, spec.Domain{Name: d})
		}
		if len(configs) == 0 || rapid.IntRange(0, 3).Draw(t, "removed") > 0 {
			cfg.Workspaces = []spec.Workspace{{
				Name:                "w",
				RateTokensPerSecond: 1,
				BurstTokens:         rapid.Int64Range(0, 5*DefaultMinShareTokens).Draw(t, "burst"),
			}}
		}
		configs = append(configs, cfg)
	}
	change()
	type holder struct {
		domain string
		shares *Shares
	}
	var nodes []*holder
	confirmed := func() int64 {
		low := int64(len(configs))
		for _, n := range nodes {
			if n.shares != nil {
				low = min(low, n.shares.revision)
			}
		}
		return low
	}
	start := func(n *holder) {
		// A starting node may begin with any revision from the confirmed one on.
		first := rapid.IntRange(int(confirmed()), len(configs)).Draw(t, "first")
		n.shares = NewShares(n.domain)
		n.shares.faults = f
		n.shares.SetConfig(now, configs[first-1], 0)
	}
	for i := range 8 {
		n := &holder{
			domain: all[i%len(all)],
		}
		nodes = append(nodes, n)
		start(n)
	}
	fraction := func(n *holder) float64 {
		if sh := n.shares.byWorkspace["w"]; sh != nil {
			return sh.fraction
		}
		return 0
	}
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		n := rapid.SampledFrom(nodes).Draw(t, "node")
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			change()
		case 1:
			start(n)
		case 2, 3, 4:
			next := int(n.shares.revision) + rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, "skip")
			n.shares.SetConfig(now, configs[min(next, len(configs))-1], confirmed())
		default:
			now = now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		largest := make(map[string]float64)
		for _, n := range nodes {
			n.shares.Step(now)
			largest[n.domain] = max(largest[n.domain], fraction(n))
		}
		sum := 0.0
		for _, d := range all {
			sum += largest[d]
		}
		if sum > 1+1e-9 {
			return fmt.Sprintf("fractions %v add up to %.3f", largest, sum)
		}
	}
	last := configs[len(configs)-1]
	for range 2 {
		for _, n := range nodes {
			n.shares.SetConfig(now, last, confirmed())
		}
	}
	now = now.Add(DepositorTerm)
	sum := make(map[string]float64)
	for _, n := range nodes {
		n.shares.SetConfig(now, last, confirmed())
		sum[n.domain] = fraction(n)
	}
	if total := sum["a"] + sum["b"] + sum["c"] + sum["d"]; total < float64(len(last.Workspaces))-1e-9 {
		return fmt.Sprintf("fractions %v add up to %.3f after all nodes confirmed the revision", sum, total)
	}
	return ""
}

// Guards against domains that use shares of different splits at the same time,
// which would add up to more than the whole, and against shares that stay unused
// after the last change.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if bad := sharesModel(t, &faults{}); bad != "" {
			t.Fatal(bad)
		}
	})
	run := rapid.Custom(func(t *rapid.T) string { return sharesModel(t, &faults{raiseUnconfirmed: true}) })
	for seed := range 100 {
		if bad := run.Example(seed); bad != "" {
			t.Logf("without confirmation, seed %d: %s", seed, bad)
			return
		}
	}
	t.Error("shares raised without confirmation never add up to more than 1")
}
