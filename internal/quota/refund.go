package quota

import (
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// Refund gives back what a charge did not use.
func (n *Node) Refund(now time.Time, workspace string, tokens int64) {
	sp := n.spaces[workspace]
	if sp == nil || tokens <= 0 {
		return
	}
	if sp.home == n.self.node {
		n.creditHere(now, sp, tokens, true)
		return
	}
	n.queueRefund(now, sp.home, workspace, tokens)
}

func (n *Node) queueRefund(now time.Time, to, workspace string, tokens int64) {
	if epoch, known := n.epochs[to]; known {
		n.queue(now, lender{
			node:  to,
			epoch: epoch,
		}, ReturnItem{
			Workspace: workspace,
			Tokens:    tokens,
		})
	}
}

// GiveBack returns an unused loan. The caller has taken it out of its wallet.
func (n *Node) GiveBack(now time.Time, l Loan) {
	n.repay(now, l.Workspace, Part{
		Lender: l.Lender,
		Epoch:  l.Epoch,
		ID:     l.ID,
		Tokens: l.Tokens,
	}, false)
}

// Spent reports a charged part of a loan to its lender, which may refill its
// cap from then on instead of from the loan's deadline. A workspace whose burst
// is a few seconds of its rate would otherwise lose a part of its rate.
func (n *Node) Spent(now time.Time, workspace string, p Part) {
	n.repay(now, workspace, p, true)
}

func (n *Node) repay(now time.Time, workspace string, p Part, spent bool) {
	switch sp := n.spaces[workspace]; {
	case sp == nil || p.ID == 0 || p.Tokens <= 0:
	case p.Lender == n.self.node:
		sp.bucket.repay(now, p.ID, p.Tokens, spent)
	default:
		n.queue(now, lender{
			node:  p.Lender,
			epoch: p.Epoch,
		}, ReturnItem{
			Workspace: workspace,
			Tokens:    p.Tokens,
			Loan:      p.ID,
			Spent:     spent,
		})
	}
}

// creditHere credits a refund. What finds no room goes once to the domain that
// had the least left, since a domain without a share would lose every refund.
func (n *Node) creditHere(now time.Time, sp *space, tokens int64, pass bool) {
	got := sp.bucket.credit(now, float64(tokens))
	if got > 0 {
		n.credit(sp.name, got)
	}
	sh := n.shares.items[sp.name]
	rest := tokens - int64(got)
	if !pass || rest <= 0 || sh == nil {
		return
	}
	to := ""
	for _, d := range sh.domains {
		if d != n.domain && len(n.pools[d]) > 0 && (to == "" || sp.left[d] < sp.left[to]) {
			to = d
		}
	}
	if to != "" {
		sp.left[to] += rest
		n.queueRefund(now, rank.First(sp.name, n.pools[to]), sp.name, rest)
	}
}

// HandleReturn credits returned tokens, each return once.
func (n *Node) HandleReturn(now time.Time, req ReturnRequest) ReturnReply {
	reply := ReturnReply{
		Seq:   req.ID.Seq,
		Epoch: n.credits.epoch,
	}
	if req.Epoch != n.credits.epoch || !n.credits.first(req.ID) && !n.faults.creditTwice {
		return reply
	}
	n.credited(now, req.Items, req.Passed)
	return reply
}

// ReturnDone takes the reply to a return.
func (n *Node) ReturnDone(to string, reply ReturnReply, err error) {
	if err == nil {
		n.epochs[to] = reply.Epoch
	}
}
