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
		ws := n.workspaces[it.Workspace]
		switch {
		case ws == nil:
			n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
		case ws.pool == n.self.node || now.Before(n.unreachableUntil[ws.pool]):
			n.serveLocal(now, ws, it)
		default:
			remote[ws.pool] = append(remote[ws.pool], it)
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

func (n *Node) serveLocal(now time.Time, ws *workspaceState, it DrawItem) {
	unanswered := 1
	n.serve(now, ws, &pendingItem{
		item:       it,
		unanswered: &unanswered,
		since:      now,
	}, true)
}

// HandleDraw lends tokens. If done is false, the reply follows in Effects.
func (n *Node) HandleDraw(now time.Time, req DrawRequest) (reply DrawReply, done bool) {
	cached, first := n.replies.start(now, req.ID)
	if !first {
		if cached.done {
			return cached.reply, true
		}
		// The first copy of the request is still being served. Its reply carries
		// the grants; this one is empty.
		return DrawReply{
			ID:    req.ID,
			Epoch: n.received.epoch,
		}, true
	}
	cached.reply = DrawReply{
		ID:    req.ID,
		Epoch: n.received.epoch,
	}
	if req.Hops == 1 && n.forward(now, req, cached) {
		return DrawReply{}, false
	}
	unanswered := len(req.Items)
	for _, it := range req.Items {
		p := &pendingItem{
			item:       it,
			reply:      cached,
			unanswered: &unanswered,
			grantAll:   req.Hops > 0,
			since:      now,
		}
		ws := n.workspaces[it.Workspace]
		if ws == nil {
			n.answer(now, p, nil, ReasonUnknown, 0, time.Hour)
			continue
		}
		n.serve(now, ws, p, req.Hops == 0)
	}
	if !cached.done {
		return DrawReply{}, false
	}
	n.effects.Replies = slices.DeleteFunc(n.effects.Replies, func(r DrawReply) bool {
		return r.ID == req.ID
	})
	return cached.reply, true
}

// forward sends a draw of another domain on to the pool of this domain. It
// returns false if this node has to serve the draw itself.
func (n *Node) forward(now time.Time, req DrawRequest, cached *cachedReply) bool {
	ws := n.workspaces[req.Items[0].Workspace]
	if ws == nil || ws.pool == n.self.node || len(req.Items) != 1 {
		return false
	}
	n.sendDraw(now, &draw{
		to:        ws.pool,
		items:     req.Items,
		forwarded: cached,
	}, 2)
	return true
}

// serve grants an item from local tokens, or queues it while other domains are
// asked.
func (n *Node) serve(now time.Time, ws *workspaceState, p *pendingItem, mayBorrow bool) {
	if len(ws.waiting) == 0 || p.item.Need == 0 {
		if n.tryGrant(now, ws, p) {
			return
		}
	}
	if !mayBorrow || p.item.Need == 0 {
		n.refuse(now, ws, p)
		return
	}
	ws.waiting = append(ws.waiting, p)
	if ws.openBorrows == 0 {
		ws.domainUnreachable = false
		clear(ws.tried)
		n.borrow(now, ws)
	}
}

// available returns the tokens that the node can lend for the workspace now.
func (n *Node) available(now time.Time, ws *workspaceState) int64 {
	ws.bucket.advance(now)
	return int64(ws.bucket.level) + ws.borrowed.Tokens(now)
}

// tryGrant grants an item if at least its Need is available.
func (n *Node) tryGrant(now time.Time, ws *workspaceState, p *pendingItem) bool {
	have := n.available(now, ws)
	if have < p.item.Need || have <= 0 {
		return false
	}
	amount := min(p.item.Want, have)
	if !p.grantAll {
		// Beyond the need, at most a quarter of the rest is lent, so that most of
		// it stays available to the other nodes.
		amount = min(p.item.Want, p.item.Need+(have-p.item.Need)/4)
	}
	if amount <= 0 {
		return false
	}
	var grants []Loan
	got := int64(0)
	// Borrowed tokens are lent first: they expire, the level does not.
	for _, l := range ws.borrowed.Split(now, amount) {
		got += l.Tokens
		grants = append(grants, l)
	}
	if got < amount {
		n.seq++
		x, by := ws.bucket.lend(now, n.seq, amount-got)
		if x > 0 {
			got += x
			grants = append(grants, Loan{
				Workspace: ws.name,
				Lender:    n.self.node,
				Epoch:     n.received.epoch,
				ID:        n.seq,
				Tokens:    x,
				SpendBy:   by,
			})
		}
	}
	if got < p.item.Need {
		// The deposits that back the level expire too soon: cancel the loans.
		for _, g := range grants {
			if g.Lender == n.self.node {
				ws.bucket.repay(now, g.ID, g.Tokens, false)
			} else {
				ws.borrowed.Add(g)
			}
		}
		return false
	}
	n.answer(now, p, grants, ReasonNone, n.available(now, ws), 0)
	return true
}

// refuse answers an item whose need can't be met.
func (n *Node) refuse(now time.Time, ws *workspaceState, p *pendingItem) {
	have := n.available(now, ws)
	reason, after := ReasonRate, emptyRetryDelay
	sh := n.shares.byWorkspace[ws.name]
	switch {
	case sh == nil || len(sh.domains) == 0:
		reason, after = ReasonUnknown, time.Hour
	case float64(p.item.Need) > sh.burst:
		reason, after = ReasonBurst, time.Hour
	default:
		after = max(sh.refillTime(float64(max(1, p.item.Need-have))), 10*time.Millisecond)
		switch {
		case ws.domainUnreachable:
			reason = ReasonDomainUnreachable
		case ws.bucket.rate() == 0 && slices.Contains(sh.domains, n.domain):
			reason = ReasonNoSlots
		}
	}
	n.answer(now, p, nil, reason, have, after)
}

func (n *Node) answer(now time.Time, p *pendingItem, grants []Loan, reason Reason, available int64, after time.Duration) {
	*p.unanswered--
	if p.reply == nil {
		n.effects.Grants = append(n.effects.Grants, grants...)
		if len(grants) == 0 && p.item.Need > 0 {
			n.deny(now, p.item.Workspace, reason, available, after)
		}
		return
	}
	r := &p.reply.reply
	for _, g := range grants {
		grant := DrawGrant{
			Workspace:  p.item.Workspace,
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
			Workspace:   p.item.Workspace,
			Available:   available,
			AfterMillis: millis(after),
			Reason:      reason,
		})
	}
	if *p.unanswered == 0 {
		p.reply.done = true
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
func (n *Node) borrow(now time.Time, ws *workspaceState) {
	missing := -n.available(now, ws)
	for _, p := range ws.waiting {
		missing += p.item.Need
	}
	if missing > 0 {
		n.borrowFromDomains(now, ws, missing)
	}
	if ws.openBorrows == 0 {
		n.finishBorrow(now, ws)
	}
}

func (n *Node) borrowFromDomains(now time.Time, ws *workspaceState, missing int64) {
	sh := n.shares.byWorkspace[ws.name]
	if sh == nil {
		return
	}
	var untried, remaining []string
	for _, d := range append([]string{formerPoolDomain}, sh.domains...) {
		switch {
		case d == n.domain || len(n.lendersOf(now, ws, d)) == 0 || now.Before(ws.retryAt[d]):
		case !ws.tried[d]:
			untried = append(untried, d)
		case ws.available[d] > 0:
			remaining = append(remaining, d)
		}
	}
	// Ask the domains with the most available tokens first.
	slices.SortStableFunc(untried, func(a, b string) int {
		return cmp.Compare(ws.estimated[b], ws.estimated[a])
	})
	untried = untried[:min(len(untried), maxParallelBorrows)]
	if len(untried) == 0 {
		for _, d := range remaining {
			want := min(missing, ws.available[d])
			delete(ws.available, d)
			n.borrowFrom(now, ws, d, want)
			if missing -= want; missing <= 0 {
				return
			}
		}
		return
	}
	// The additional tokens keep a busy domain from borrowing for every single
	// request.
	want := missing + int64(ws.borrowing.value(now)*prefetchHigh.Seconds()/2)
	if len(ws.tried) == 0 {
		ws.borrowing.add(now, missing)
	}
	each := (want + int64(len(untried)) - 1) / int64(len(untried))
	for _, d := range untried {
		ws.tried[d] = true
		delete(ws.available, d)
		n.borrowFrom(now, ws, d, each)
	}
}

func (n *Node) borrowFrom(now time.Time, ws *workspaceState, domain string, want int64) {
	ws.openBorrows++
	hops := 1
	if domain == formerPoolDomain {
		// With two hops the former pool serves the draw itself and doesn't forward
		// it.
		hops = 2
	}
	n.sendDraw(now, &draw{
		to: rank.First(ws.name, n.lendersOf(now, ws, domain)),
		items: []DrawItem{{
			Workspace: ws.name,
			Want:      want,
		}},
		borrower: ws,
		domain:   domain,
	}, hops)
}

// finishBorrow answers the waiting items in the order of their arrival.
func (n *Node) finishBorrow(now time.Time, ws *workspaceState) {
	waiting := ws.waiting
	ws.waiting = nil
	for _, p := range waiting {
		if !n.tryGrant(now, ws, p) {
			n.refuse(now, ws, p)
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
			if ws := n.workspaces[it.Workspace]; ws != nil {
				n.serveLocal(now, ws, it)
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
		a := DrawAvailability{
			Reason: ReasonTimeout,
		}
		if i := slices.IndexFunc(reply.Available, func(o DrawAvailability) bool {
			return o.Workspace == it.Workspace
		}); i >= 0 {
			a = reply.Available[i]
		}
		if ws := n.workspaces[it.Workspace]; ws != nil && a.Reason == ReasonNoSlots {
			// The pool has just changed and has no deposits yet; those of this node may
			// still be its own.
			n.serveLocal(now, ws, it)
			continue
		}
		n.deny(now, it.Workspace, a.Reason, a.Available, time.Duration(a.AfterMillis)*time.Millisecond)
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
	ws := d.borrower
	ws.openBorrows--
	got := int64(0)
	for _, g := range reply.Grants {
		got += g.Tokens
		ws.borrowed.Add(d.loan(g, reply.Epoch))
	}
	ws.estimated[d.domain] = 0
	for _, a := range reply.Available {
		ws.available[d.domain], ws.estimated[d.domain] = a.Available, a.Available
	}
	switch {
	case err != nil && d.domain != formerPoolDomain:
		n.unreachableUntil[d.to] = now.Add(unreachableRetryDelay)
		// While there is another node of the domain, the next round asks that one.
		delete(ws.tried, d.domain)
		ws.domainUnreachable = ws.domainUnreachable || len(n.lendersOf(now, ws, d.domain)) == 0
	case err != nil:
		ws.domainUnreachable = true
		ws.retryAt[d.domain] = now.Add(unreachableRetryDelay)
	case got == 0:
		// Back off: a workspace above its rate would otherwise ask all domains all
		// the time.
		ws.retryAt[d.domain] = now.Add(emptyRetryDelay << min(ws.emptyReplies[d.domain], 4))
		ws.emptyReplies[d.domain]++
	default:
		delete(ws.emptyReplies, d.domain)
	}
	if ws.openBorrows > 0 {
		return
	}
	n.borrow(now, ws)
}
