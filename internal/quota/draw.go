package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// pendingItem is an item of a draw that may have to wait for other domains.
type pendingItem struct {
	item       DrawItem
	reply      *cachedReply // nil when this node itself needs the tokens
	unanswered *int         // unanswered items of the same draw
	grantAll   bool         // grant the whole Want; set for draws of other domains, which request only what they need
	since      time.Time
}

// draw is a request that this node sent and that has no reply yet.
type draw struct {
	sentAt time.Time
	to     string
	items  []DrawItem
	// borrower is set when this node, as the pool of this workspace, borrows from
	// another domain.
	borrower *workspaceState
	domain   string
	// forwarded is the open reply to the draw that this node forwarded to its pool.
	forwarded *cachedReply
}

// Need requests tokens for this node: at least Need and up to Want of each item.
// The result is a grant or a denial in Effects; an item with a Need of 0 may get
// neither.
func (n *Node) Need(now time.Time, items ...DrawItem) {
	remote := make(map[string][]DrawItem)
	for _, it := range items {
		sp := n.workspaces[it.Workspace]
		switch {
		case sp == nil:
			n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
		case sp.pool == n.self.node || now.Before(n.unreachableUntil[sp.pool]):
			n.serveLocal(now, sp, it)
		default:
			remote[sp.pool] = append(remote[sp.pool], it)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(remote)) {
		n.sendDraw(now, &draw{
			to:    to,
			items: remote[to],
		}, 0)
	}
}

func (n *Node) sendDraw(now time.Time, d *draw, hops int) {
	id := n.nextID()
	d.sentAt = now
	n.draws[id.Seq] = d
	n.effects.Draws = append(n.effects.Draws, Send[DrawRequest]{
		To: d.to,
		Msg: DrawRequest{
			ID:    id,
			Hops:  hops,
			Items: d.items,
		},
	})
}

func (n *Node) serveLocal(now time.Time, sp *workspaceState, it DrawItem) {
	unanswered := 1
	n.serve(now, sp, &pendingItem{
		item:       it,
		unanswered: &unanswered,
		since:      now,
	}, true)
}

// HandleDraw lends tokens. If done is false, the reply follows in Effects.
func (n *Node) HandleDraw(now time.Time, req DrawRequest) (reply DrawReply, done bool) {
	past, first := n.replies.start(now, req.ID)
	if !first {
		if past.done {
			return past.reply, true
		}
		// The first copy of the request is still being served. Its reply carries
		// the grants; this one is empty.
		return DrawReply{
			ID:    req.ID,
			Epoch: n.received.epoch,
		}, true
	}
	past.reply = DrawReply{
		ID:    req.ID,
		Epoch: n.received.epoch,
	}
	if req.Hops == 1 && n.forward(now, req, past) {
		return DrawReply{}, false
	}
	unanswered := len(req.Items)
	for _, it := range req.Items {
		w := &pendingItem{
			item:       it,
			reply:      past,
			unanswered: &unanswered,
			grantAll:   req.Hops > 0,
			since:      now,
		}
		sp := n.workspaces[it.Workspace]
		if sp == nil {
			n.answer(now, w, nil, ReasonUnknown, 0, time.Hour)
			continue
		}
		n.serve(now, sp, w, req.Hops == 0)
	}
	if !past.done {
		return DrawReply{}, false
	}
	n.effects.Replies = slices.DeleteFunc(n.effects.Replies, func(r DrawReply) bool {
		return r.ID == req.ID
	})
	return past.reply, true
}

// forward sends a draw of another domain on to the pool of this domain. It
// returns false if this node has to serve the draw itself.
func (n *Node) forward(now time.Time, req DrawRequest, past *cachedReply) bool {
	sp := n.workspaces[req.Items[0].Workspace]
	if sp == nil || sp.pool == n.self.node || len(req.Items) != 1 {
		return false
	}
	n.sendDraw(now, &draw{
		to:        sp.pool,
		items:     req.Items,
		forwarded: past,
	}, 2)
	return true
}

// serve grants an item from local tokens, or queues it while other domains are
// asked.
func (n *Node) serve(now time.Time, sp *workspaceState, w *pendingItem, mayBorrow bool) {
	if len(sp.waiting) == 0 || w.item.Need == 0 {
		if n.tryGrant(now, sp, w) {
			return
		}
	}
	if !mayBorrow || w.item.Need == 0 {
		n.refuse(now, sp, w)
		return
	}
	sp.waiting = append(sp.waiting, w)
	if sp.openBorrows == 0 {
		sp.domainUnreachable = false
		clear(sp.tried)
		n.borrow(now, sp)
	}
}

// available returns the tokens that the node can lend for the workspace now.
func (n *Node) available(now time.Time, sp *workspaceState) int64 {
	sp.bucket.advance(now)
	return int64(sp.bucket.level) + sp.borrowed.Tokens(now)
}

// tryGrant grants an item if at least its Need is available.
func (n *Node) tryGrant(now time.Time, sp *workspaceState, w *pendingItem) bool {
	have := n.available(now, sp)
	if have < w.item.Need || have <= 0 {
		return false
	}
	amount := min(w.item.Want, have)
	if !w.grantAll {
		// Beyond the need, at most a quarter of the rest is lent, so that most of
		// it stays available to the other nodes.
		amount = min(w.item.Want, w.item.Need+(have-w.item.Need)/4)
	}
	if amount <= 0 {
		return false
	}
	var grants []Loan
	got := int64(0)
	// Borrowed tokens are lent first: they expire, the level does not.
	for _, l := range sp.borrowed.Split(now, amount) {
		got += l.Tokens
		grants = append(grants, l)
	}
	if got < amount {
		n.seq++
		x, by := sp.bucket.lend(now, n.seq, amount-got)
		if x > 0 {
			got += x
			grants = append(grants, Loan{
				Workspace: sp.name,
				Lender:    n.self.node,
				Epoch:     n.received.epoch,
				ID:        n.seq,
				Tokens:    x,
				SpendBy:   by,
			})
		}
	}
	if got < w.item.Need {
		// The deposits that back the level expire too soon; take the loans back.
		for _, g := range grants {
			if g.Lender == n.self.node {
				sp.bucket.repay(now, g.ID, g.Tokens, false)
			} else {
				sp.borrowed.Add(g)
			}
		}
		return false
	}
	n.answer(now, w, grants, ReasonNone, n.available(now, sp), 0)
	return true
}

// refuse answers an item whose need can't be met.
func (n *Node) refuse(now time.Time, sp *workspaceState, w *pendingItem) {
	have := n.available(now, sp)
	reason, after := ReasonRate, emptyRetryDelay
	sh := n.shares.byWorkspace[sp.name]
	switch {
	case sh == nil || len(sh.domains) == 0:
		reason, after = ReasonUnknown, time.Hour
	case float64(w.item.Need) > sh.burst:
		reason, after = ReasonBurst, time.Hour
	default:
		after = max(sh.refillTime(float64(max(1, w.item.Need-have))), 10*time.Millisecond)
		switch {
		case sp.domainUnreachable:
			reason = ReasonDomainUnreachable
		case sp.bucket.rate() == 0 && slices.Contains(sh.domains, n.domain):
			reason = ReasonNoSlots
		}
	}
	n.answer(now, w, nil, reason, have, after)
}

func (n *Node) answer(now time.Time, w *pendingItem, grants []Loan, reason Reason, available int64, after time.Duration) {
	*w.unanswered--
	if w.reply == nil {
		n.effects.Grants = append(n.effects.Grants, grants...)
		if len(grants) == 0 && w.item.Need > 0 {
			n.deny(now, w.item.Workspace, reason, available, after)
		}
		return
	}
	r := &w.reply.reply
	for _, g := range grants {
		grant := DrawGrant{
			Workspace:  w.item.Workspace,
			Tokens:     g.Tokens,
			TermMillis: millis(g.SpendBy.Sub(now)),
			Loan:       g.ID,
		}
		if g.Lender != n.self.node {
			grant.Lender, grant.Epoch = g.Lender, g.Epoch
		}
		r.Grants = append(r.Grants, grant)
	}
	if len(grants) == 0 || available > 0 {
		r.Available = append(r.Available, DrawAvailability{
			Workspace:   w.item.Workspace,
			Available:   available,
			AfterMillis: millis(after),
			Reason:      reason,
		})
	}
	if *w.unanswered == 0 {
		w.reply.done = true
		n.effects.Replies = append(n.effects.Replies, *r)
	}
}

func (n *Node) deny(now time.Time, workspace string, reason Reason, available int64, after time.Duration) {
	n.effects.Denials = append(n.effects.Denials, Denial{
		Workspace: workspace,
		Reason:    reason,
		Available: available,
		Retry:     now.Add(after),
	})
}

// borrow asks other domains for the tokens that the waiting items lack, a few
// domains at a time: first those not asked yet, then those that reported
// remaining tokens.
func (n *Node) borrow(now time.Time, sp *workspaceState) {
	missing := -n.available(now, sp)
	for _, w := range sp.waiting {
		missing += w.item.Need
	}
	if missing > 0 {
		n.borrowFromDomains(now, sp, missing)
	}
	if sp.openBorrows == 0 {
		n.finishBorrow(now, sp)
	}
}

func (n *Node) borrowFromDomains(now time.Time, sp *workspaceState, missing int64) {
	sh := n.shares.byWorkspace[sp.name]
	if sh == nil {
		return
	}
	var untried, remaining []string
	for _, d := range append([]string{formerPoolDomain}, sh.domains...) {
		switch {
		case d == n.domain || len(n.lendersOf(now, sp, d)) == 0 || now.Before(sp.retryAt[d]):
		case !sp.tried[d]:
			untried = append(untried, d)
		case sp.available[d] > 0:
			remaining = append(remaining, d)
		}
	}
	// Ask the domains with the most available tokens first.
	slices.SortStableFunc(untried, func(a, b string) int {
		return cmp.Compare(sp.estimated[b], sp.estimated[a])
	})
	untried = untried[:min(len(untried), maxParallelBorrows)]
	if len(untried) == 0 {
		for _, d := range remaining {
			ask := min(missing, sp.available[d])
			delete(sp.available, d)
			n.borrowFrom(now, sp, d, ask)
			if missing -= ask; missing <= 0 {
				return
			}
		}
		return
	}
	// The additional tokens keep a busy domain from borrowing for every single
	// request.
	want := missing + int64(sp.borrowing.value(now)*prefetchHigh.Seconds()/2)
	if len(sp.tried) == 0 {
		sp.borrowing.add(now, missing)
	}
	each := (want + int64(len(untried)) - 1) / int64(len(untried))
	for _, d := range untried {
		sp.tried[d] = true
		delete(sp.available, d)
		n.borrowFrom(now, sp, d, each)
	}
}

func (n *Node) borrowFrom(now time.Time, sp *workspaceState, domain string, want int64) {
	sp.openBorrows++
	hops := 1
	if domain == formerPoolDomain {
		// With two hops the former pool serves the draw itself and doesn't forward
		// it.
		hops = 2
	}
	n.sendDraw(now, &draw{
		to: rank.First(sp.name, n.lendersOf(now, sp, domain)),
		items: []DrawItem{{
			Workspace: sp.name,
			Want:      want,
		}},
		borrower: sp,
		domain:   domain,
	}, hops)
}

// finishBorrow answers the waiting items in the order of their arrival.
func (n *Node) finishBorrow(now time.Time, sp *workspaceState) {
	waiting := sp.waiting
	sp.waiting = nil
	for _, w := range waiting {
		if !n.tryGrant(now, sp, w) {
			n.refuse(now, sp, w)
		}
	}
}

// DrawDone applies the reply to a draw of this node, or its failure.
func (n *Node) DrawDone(now time.Time, to string, seq uint64, reply DrawReply, err error) {
	d := n.draws[seq]
	if d == nil || d.to != to || err == nil && reply.ID.Seq != seq {
		return
	}
	delete(n.draws, seq)
	if err == nil {
		n.epochs[to] = reply.Epoch
	}
	switch {
	case d.forwarded != nil:
		n.forwardDone(d, reply)
	case d.borrower != nil:
		n.borrowDone(now, d, reply, err)
	case err != nil:
		n.unreachableUntil[to] = now.Add(unreachableRetryDelay)
		// The pool can't be reached: use local tokens and ask the other domains.
		for _, it := range d.items {
			if sp := n.workspaces[it.Workspace]; sp != nil {
				n.serveLocal(now, sp, it)
			} else {
				n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
			}
		}
	default:
		n.drawDone(now, d, reply)
	}
}

// loan converts a grant in the reply to this draw.
func (d *draw) loan(g DrawGrant, epoch uint64) Loan {
	l := Loan{
		Workspace: g.Workspace,
		Lender:    d.to,
		Epoch:     epoch,
		ID:        g.Loan,
		Tokens:    g.Tokens,
		SpendBy:   d.sentAt.Add(time.Duration(g.TermMillis) * time.Millisecond),
	}
	if g.Lender != "" {
		l.Lender, l.Epoch = g.Lender, g.Epoch
	}
	return l
}

func (n *Node) drawDone(now time.Time, d *draw, reply DrawReply) {
	for _, g := range reply.Grants {
		n.effects.Grants = append(n.effects.Grants, d.loan(g, reply.Epoch))
	}
	for _, it := range d.items {
		granted := slices.ContainsFunc(reply.Grants, func(g DrawGrant) bool {
			return g.Workspace == it.Workspace
		})
		if granted || it.Need == 0 {
			continue
		}
		s := DrawAvailability{
			Reason: ReasonTimeout,
		}
		if i := slices.IndexFunc(reply.Available, func(s DrawAvailability) bool {
			return s.Workspace == it.Workspace
		}); i >= 0 {
			s = reply.Available[i]
		}
		n.deny(now, it.Workspace, s.Reason, s.Available, time.Duration(s.AfterMillis)*time.Millisecond)
	}
}

func (n *Node) forwardDone(d *draw, reply DrawReply) {
	p := d.forwarded
	for _, g := range reply.Grants {
		// The borrower counts the term from before it sent its request, which is
		// earlier than the request that this node forwarded.
		if g.Lender == "" && g.Loan != 0 {
			g.Lender, g.Epoch = d.to, reply.Epoch
		}
		p.reply.Grants = append(p.reply.Grants, g)
	}
	p.reply.Available = append(p.reply.Available, reply.Available...)
	p.done = true
	n.effects.Replies = append(n.effects.Replies, p.reply)
}

func (n *Node) borrowDone(now time.Time, d *draw, reply DrawReply, err error) {
	sp := d.borrower
	sp.openBorrows--
	got := int64(0)
	for _, g := range reply.Grants {
		got += g.Tokens
		sp.borrowed.Add(d.loan(g, reply.Epoch))
	}
	sp.estimated[d.domain] = 0
	for _, s := range reply.Available {
		sp.available[d.domain], sp.estimated[d.domain] = s.Available, s.Available
	}
	switch {
	case err != nil:
		sp.domainUnreachable = true
		sp.retryAt[d.domain] = now.Add(unreachableRetryDelay)
	case got == 0:
		// Back off: a workspace above its rate would otherwise ask all domains all
		// the time.
		sp.retryAt[d.domain] = now.Add(emptyRetryDelay << min(sp.emptyReplies[d.domain], 4))
		sp.emptyReplies[d.domain]++
	default:
		delete(sp.emptyReplies, d.domain)
	}
	if sp.openBorrows > 0 {
		return
	}
	n.borrow(now, sp)
}
