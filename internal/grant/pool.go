package grant

import "time"

// PoolTerm is how long tokens stay in a pool, and how long what a pool issued may
// be spent. With localBurst it bounds the time between the minting of a token
// without contact and its use: 0.85 s, which with a burst of one second and the
// window of eight stays below the tenth of both that may be exceeded.
const PoolTerm = 250 * time.Millisecond

// Pool collects what the nodes of a failure domain mint while they do not reach
// the coordinator. The fraction of one node of many is smaller than a request;
// those of all nodes of a domain together are not. It is not safe for concurrent
// use.
type Pool struct {
	batches map[string][]batch
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		batches: make(map[string][]batch),
	}
}

// Deposit takes over tokens that a node minted.
func (p *Pool) Deposit(now time.Time, list []Loan) {
	for _, l := range list {
		if l.Tokens > 0 {
			p.batches[l.Workspace] = append(expired(p.batches[l.Workspace], now), batch{
				tokens:  l.Tokens,
				spendBy: now.Add(PoolTerm),
			})
		}
	}
}

// Issue takes up to want tokens of a workspace, the oldest first, and nothing
// when there are fewer than need.
func (p *Pool) Issue(now time.Time, workspace string, want, need float64) float64 {
	list := expired(p.batches[workspace], now)
	got := min(want, total(list))
	if got < need {
		got = 0
	}
	p.batches[workspace] = spend(list, got)
	return got
}
