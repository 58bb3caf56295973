package local

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// charge is the number of tokens that a completion used, and when its answer
// arrived, which is after its admission.
type charge struct {
	at     time.Time
	tokens int64
}

// Guards against nodes that together admit more than a workspace's rate and
// burst, and against a fleet that refuses most of the requests within them.
func TestRateAndBurstHoldOverAllNodes(t *testing.T) {
	t.Parallel()
	const (
		rate  = 2000
		burst = 6000
	)
	f, keys := testFleet(t, Options{
		Config: testConfig(3, spec.Workspace{
			Name:                "club",
			RateTokensPerSecond: rate,
			BurstTokens:         burst,
			Weight:              1,
		}),
		NodesPerDomain: 2,
	})
	// The bucket fills up before the measurement begins.
	time.Sleep(burst * time.Second / rate)
	start := time.Now()
	var mu sync.Mutex
	var charges []charge
	refused := 0
	var all sync.WaitGroup
	for i := range f.Nodes {
		for range 4 {
			all.Go(func() {
				for time.Since(start) < 8*time.Second {
					a := complete(t, f, i, keys["club"], 49)
					mu.Lock()
					if a.status == http.StatusOK {
						charges = append(charges, charge{
							at:     time.Now(),
							tokens: usedTokens(a.body),
						})
					} else {
						refused++
					}
					mu.Unlock()
					if a.status != http.StatusOK {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	all.Wait()
	total := int64(0)
	for _, c := range charges {
		total += c.tokens
	}
	elapsed := time.Since(start).Seconds()
	limit := burst + rate*elapsed
	t.Logf("%d requests served with %d tokens in %.1f s, %d refused; the limit is %.0f tokens", len(charges), total, elapsed, refused, limit)
	if float64(total) > limit {
		t.Errorf("%d tokens were used, more than the %.0f that rate and burst allow", total, limit)
	}
	if float64(total) < 0.7*rate*elapsed {
		t.Errorf("%d tokens were used although the load was far above the rate; want at least 70%% of %.0f", total, rate*elapsed)
	}
}

func usedTokens(body string) int64 {
	var a struct {
		Usage struct {
			Prompt     int64 `json:"prompt_tokens"`
			Completion int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	// A body without usage adds no tokens, which fails the lower bound.
	_ = json.Unmarshal([]byte(body), &a)
	return a.Usage.Prompt + a.Usage.Completion
}

// Guards against refusing requests of a workspace that stays within its rate
// because most of them arrive at one VM: 9 of 10 go to the first node.
func TestSkewedTrafficInsideTheRateIsNotRefused(t *testing.T) {
	t.Parallel()
	const rate = 10_000
	f, keys := testFleet(t, Options{
		Config: testConfig(3, spec.Workspace{
			Name:                "club",
			RateTokensPerSecond: rate,
			BurstTokens:         2 * rate,
			Weight:              1,
		}),
		NodesPerDomain: 2,
	})
	time.Sleep(3 * time.Second)
	// 80 requests per second of 50 tokens each are 40% of the rate.
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, refused := 0, 0
	tick := time.NewTicker(time.Second / 80)
	defer tick.Stop()
	for n := range 1000 {
		<-tick.C
		node := 0
		if n%10 == 9 {
			node = 1 + n/10%(len(f.Nodes)-1)
		}
		all.Go(func() {
			a := complete(t, f, node, keys["club"], 49)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status != http.StatusOK {
				refused++
				t.Logf("node %d: %d %s", node, a.status, a.body)
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d requests refused", refused, sent)
	if refused > sent/1000 {
		t.Errorf("%d of %d requests within the rate were refused, want at most 1 in 1,000", refused, sent)
	}
}
