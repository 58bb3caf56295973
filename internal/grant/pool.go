package grant

import "time"

// PoolTerm is how long tokens stay in a pool, and how long tokens issued by a
// pool may be spent. Together with localBurstTime it limits the time between
// minting and spending a token to 0.85 s (350 ms + 2 * 250 ms). That is less than
// the allowed excess of a tenth, 0.9 s for a burst of one second and a window of
// eight seconds.
const PoolTerm = 250 * time.Millisecond

// Pool collects the tokens that the nodes of a failure domain mint while they do
// not reach the coordinator. In a large fleet the fraction of one node is too
// small for a request, but the fractions of all nodes of a domain together
// suffice. It is not safe for concurrent use.
type Pool struct {
	batches map[string][]batch
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		batches: make(map[string][]batch),
	}
}

// Deposit adds tokens that a node minted.
func (p *Pool) Deposit(now time.Time, list []Grant) {
	for _, grant := range list {
		if grant.Tokens > 0 {
			p.batches[grant.Workspace] = append(dropExpired(p.batches[grant.Workspace], now), batch{
				tokens:    grant.Tokens,
				expiresAt: now.Add(PoolTerm),
			})
		}
	}
}

// Issue takes up to want tokens of a workspace, the oldest first. It takes none
// if the pool holds fewer than need.
func (p *Pool) Issue(now time.Time, workspace string, want, need float64) float64 {
	list := dropExpired(p.batches[workspace], now)
	issued := min(want, totalTokens(list))
	if issued < need {
		issued = 0
	}
	p.batches[workspace] = spend(list, issued)
	return issued
}
