package quota

import (
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// Refund returns the unused tokens of a charge.
func (n *Node) Refund(now time.Time, workspace string, tokens int64) {
	ws := n.workspaces[workspace]
	if ws == nil || tokens <= 0 {
		return
	}
	if ws.pool == n.self.node {
		n.creditLocal(now, ws, tokens, true)
		return
	}
	n.queueRefund(now, ws.pool, workspace, tokens)
}

func (n *Node) queueRefund(now time.Time, to, workspace string, tokens int64) {
	if epoch, known := n.epochs[to]; known {
		n.queueReturn(now, lender{
			node:  to,
			epoch: epoch,
		}, ReturnItem{
			Workspace: workspace,
			Tokens:    tokens,
		})
	}
}

// ReturnLoan returns an unused loan to its lender. The caller has removed it from
// its wallet.
func (n *Node) ReturnLoan(now time.Time, l Loan) {
	n.repay(now, l.Workspace, Part{
		Lender: l.Lender,
		Epoch:  l.Epoch,
		ID:     l.ID,
		Tokens: l.Tokens,
	}, false)
}

// ReportSpent reports a charged part of a loan to its lender, which restores its
// capacity from then on instead of at the loan's deadline. A workspace whose
// burst is a few seconds of its rate would otherwise lose a part of its rate.
func (n *Node) ReportSpent(now time.Time, workspace string, p Part) {
	n.repay(now, workspace, p, true)
}

func (n *Node) repay(now time.Time, workspace string, p Part, spent bool) {
	switch ws := n.workspaces[workspace]; {
	case ws == nil || p.ID == 0 || p.Tokens <= 0:
	case p.Lender == n.self.node:
		ws.bucket.repay(now, p.ID, p.Tokens, spent)
	default:
		n.queueReturn(now, lender{
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

// creditLocal credits a refund to the local bucket. The part above the capacity
// is forwarded once to the domain with the fewest available tokens, because a
// domain without a share would otherwise lose every refund.
func (n *Node) creditLocal(now time.Time, ws *workspaceState, tokens int64, forward bool) {
	got := ws.bucket.credit(now, float64(tokens))
	if got > 0 {
		n.onCredit(ws.name, got)
	}
	sh := n.shares.byWorkspace[ws.name]
	rest := tokens - int64(got)
	if !forward || rest <= 0 || sh == nil {
		return
	}
	to := ""
	for _, d := range sh.domains {
		if d != n.domain && len(n.pools[d]) > 0 && (to == "" || ws.estimated[d] < ws.estimated[to]) {
			to = d
		}
	}
	if to != "" {
		ws.estimated[to] += rest
		n.queueRefund(now, rank.First(ws.name, n.pools[to]), ws.name, rest)
	}
}

// HandleReturn credits returned tokens. Duplicates and returns that name an
// earlier epoch have no effect.
func (n *Node) HandleReturn(now time.Time, req ReturnRequest) ReturnReply {
	reply := ReturnReply{
		Seq:   req.ID.Seq,
		Epoch: n.received.epoch,
	}
	if req.Epoch != n.received.epoch || !n.received.isNew(req.ID) && !n.faults.creditTwice {
		return reply
	}
	n.applyReturns(now, req.Items, req.CrossDomain)
	return reply
}

// ReturnDone applies the reply to a return, or its failure.
func (n *Node) ReturnDone(to string, reply ReturnReply, err error) {
	if err == nil {
		n.epochs[to] = reply.Epoch
	}
}
