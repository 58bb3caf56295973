package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/rank"
)

// wish is an item of a draw that waits for other domains.
type wish struct {
	item  DrawItem
	reply *pastReply // nil for this node itself
	left  *int       // open items of the same draw
	whole bool       // another domain asks, which counts what it needs itself
	since time.Time
}

// draw is a request of this node that is out.
type draw struct {
	at    time.Time
	to    string
	items []DrawItem
	// borrower is the workspace for which a pool asks another domain.
	borrower *space
	domain   string
	// passed is set when this node passes a draw on to its pool.
	passed *pastReply
}

// Need asks for tokens for this node: at least need, and up to want. The answer
// comes as a grant or a denial in the effects; a need of 0 may get neither.
func (n *Node) Need(now time.Time, items ...DrawItem) {
	remote := make(map[string][]DrawItem)
	for _, it := range items {
		sp := n.spaces[it.Workspace]
		switch {
		case sp == nil:
			n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
		case sp.home == n.self.node || now.Before(n.lost[sp.home]):
			n.serveSelf(now, sp, it)
		default:
			remote[sp.home] = append(remote[sp.home], it)
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
	id := n.id()
	d.at = now
	n.draws[id.Seq] = d
	n.fx.Draws = append(n.fx.Draws, Send[DrawRequest]{
		To: d.to,
		Msg: DrawRequest{
			ID:    id,
			Hops:  hops,
			Items: d.items,
		},
	})
}

func (n *Node) serveSelf(now time.Time, sp *space, it DrawItem) {
	left := 1
	n.serve(now, sp, &wish{
		item:  it,
		left:  &left,
		since: now,
	}, true)
}

// HandleDraw lends tokens. If done is false, the reply follows in the effects.
func (n *Node) HandleDraw(now time.Time, req DrawRequest) (reply DrawReply, done bool) {
	past, first := n.replies.start(now, req.ID)
	if !first {
		if past.done {
			return past.reply, true
		}
		// The first copy still waits; its reply answers the caller.
		return DrawReply{
			ID:    req.ID,
			Epoch: n.credits.epoch,
		}, true
	}
	past.reply = DrawReply{
		ID:    req.ID,
		Epoch: n.credits.epoch,
	}
	if req.Hops == 1 && n.pass(now, req, past) {
		return DrawReply{}, false
	}
	left := len(req.Items)
	for _, it := range req.Items {
		w := &wish{
			item:  it,
			reply: past,
			left:  &left,
			whole: req.Hops > 0,
			since: now,
		}
		sp := n.spaces[it.Workspace]
		if sp == nil {
			n.answer(now, w, nil, ReasonUnknown, 0, time.Hour)
			continue
		}
		n.serve(now, sp, w, req.Hops == 0)
	}
	if !past.done {
		return DrawReply{}, false
	}
	n.fx.Replies = slices.DeleteFunc(n.fx.Replies, func(r DrawReply) bool {
		return r.ID == req.ID
	})
	return past.reply, true
}

// pass hands a draw of another domain on to the pool of this one.
func (n *Node) pass(now time.Time, req DrawRequest, past *pastReply) bool {
	sp := n.spaces[req.Items[0].Workspace]
	if sp == nil || sp.home == n.self.node || len(req.Items) != 1 {
		return false
	}
	n.sendDraw(now, &draw{
		to:     sp.home,
		items:  req.Items,
		passed: past,
	}, 2)
	return true
}

// serve meets a wish from what is here, or queues it while other domains are asked.
func (n *Node) serve(now time.Time, sp *space, w *wish, mayBorrow bool) {
	if len(sp.waiting) == 0 || w.item.Need == 0 {
		if n.fill(now, sp, w) {
			return
		}
	}
	if !mayBorrow || w.item.Need == 0 {
		n.short(now, sp, w)
		return
	}
	sp.waiting = append(sp.waiting, w)
	if sp.asked == 0 {
		sp.lost = false
		clear(sp.tried)
		n.borrow(now, sp)
	}
}

// available is what the node can lend for the workspace now.
func (n *Node) available(now time.Time, sp *space) int64 {
	sp.bucket.settle(now)
	return int64(sp.bucket.level) + sp.borrowed.Tokens(now)
}

// fill grants a wish if its need can be met.
func (n *Node) fill(now time.Time, sp *space, w *wish) bool {
	have := n.available(now, sp)
	if have < w.item.Need || have <= 0 {
		return false
	}
	amount := min(w.item.Want, have)
	if !w.whole {
		// What goes beyond the need leaves most of the rest to the other nodes.
		amount = min(w.item.Want, w.item.Need+(have-w.item.Need)/4)
	}
	if amount <= 0 {
		return false
	}
	var grants []Loan
	got := int64(0)
	// Borrowed tokens go first: they expire, the level does not.
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
				Epoch:     n.credits.epoch,
				ID:        n.seq,
				Tokens:    x,
				SpendBy:   by,
			})
		}
	}
	if got < w.item.Need {
		// The deposits behind the level end too soon; take the loans back.
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

// short answers a wish that can't be met.
func (n *Node) short(now time.Time, sp *space, w *wish) {
	have := n.available(now, sp)
	reason, after := ReasonRate, askAgain
	sh := n.shares.items[sp.name]
	switch {
	case sh == nil || len(sh.domains) == 0:
		reason, after = ReasonUnknown, time.Hour
	case float64(w.item.Need) > sh.burst:
		reason, after = ReasonBurst, time.Hour
	default:
		after = max(sh.wait(float64(max(1, w.item.Need-have))), 10*time.Millisecond)
		switch {
		case sp.lost:
			reason = ReasonDomains
		case sp.bucket.rate() == 0 && slices.Contains(sh.domains, n.domain):
			reason = ReasonSlots
		}
	}
	n.answer(now, w, nil, reason, have, after)
}

func (n *Node) answer(now time.Time, w *wish, grants []Loan, reason Reason, available int64, after time.Duration) {
	*w.left--
	if w.reply == nil {
		n.fx.Grants = append(n.fx.Grants, grants...)
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
		r.Short = append(r.Short, DrawShort{
			Workspace:   w.item.Workspace,
			Available:   available,
			AfterMillis: millis(after),
			Reason:      reason,
		})
	}
	if *w.left == 0 {
		w.reply.done = true
		n.fx.Replies = append(n.fx.Replies, *r)
	}
}

func (n *Node) deny(now time.Time, workspace string, reason Reason, available int64, after time.Duration) {
	n.fx.Denials = append(n.fx.Denials, Denial{
		Workspace: workspace,
		Reason:    reason,
		Available: available,
		Retry:     now.Add(after),
	})
}

// borrow asks other domains for what the waiting wishes lack, a few at a time:
// first each that was not asked yet, then those that said to have more.
func (n *Node) borrow(now time.Time, sp *space) {
	missing := -n.available(now, sp)
	for _, w := range sp.waiting {
		missing += w.item.Need
	}
	if missing > 0 {
		n.askDomains(now, sp, missing)
	}
	if sp.asked == 0 {
		n.finishBorrow(now, sp)
	}
}

func (n *Node) askDomains(now time.Time, sp *space, missing int64) {
	sh := n.shares.items[sp.name]
	if sh == nil {
		return
	}
	var fresh, more []string
	for _, d := range append([]string{beforeKey}, sh.domains...) {
		switch {
		case d == n.domain || len(n.poolsOf(now, sp, d)) == 0 || now.Before(sp.retry[d]):
		case !sp.tried[d]:
			fresh = append(fresh, d)
		case sp.spare[d] > 0:
			more = append(more, d)
		}
	}
	// Those that had most left come first.
	slices.SortStableFunc(fresh, func(a, b string) int {
		return cmp.Compare(sp.left[b], sp.left[a])
	})
	fresh = fresh[:min(len(fresh), askAtOnce)]
	if len(fresh) == 0 {
		for _, d := range more {
			ask := min(missing, sp.spare[d])
			delete(sp.spare, d)
			n.askDomain(now, sp, d, ask)
			if missing -= ask; missing <= 0 {
				return
			}
		}
		return
	}
	// The addition keeps a busy domain from asking for every single request.
	want := missing + int64(sp.borrowing.value(now)*prefetchHigh.Seconds()/2)
	if len(sp.tried) == 0 {
		sp.borrowing.add(now, missing)
	}
	each := (want + int64(len(fresh)) - 1) / int64(len(fresh))
	for _, d := range fresh {
		sp.tried[d] = true
		delete(sp.spare, d)
		n.askDomain(now, sp, d, each)
	}
}

func (n *Node) askDomain(now time.Time, sp *space, domain string, want int64) {
	sp.asked++
	hops := 1
	if domain == beforeKey {
		// It serves from what it holds and passes nothing on.
		hops = 2
	}
	n.sendDraw(now, &draw{
		to: rank.First(sp.name, n.poolsOf(now, sp, domain)),
		items: []DrawItem{{
			Workspace: sp.name,
			Want:      want,
		}},
		borrower: sp,
		domain:   domain,
	}, hops)
}

// finishBorrow answers the waiting wishes in the order of their arrival.
func (n *Node) finishBorrow(now time.Time, sp *space) {
	waiting := sp.waiting
	sp.waiting = nil
	for _, w := range waiting {
		if !n.fill(now, sp, w) {
			n.short(now, sp, w)
		}
	}
}

// DrawDone takes the reply to a draw of this node, or its failure.
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
	case d.passed != nil:
		n.passedDone(d, reply)
	case d.borrower != nil:
		n.borrowDone(now, d, reply, err)
	case err != nil:
		n.lost[to] = now.Add(askLost)
		// The pool can't be reached: use what is here and ask the other domains.
		for _, it := range d.items {
			if sp := n.spaces[it.Workspace]; sp != nil {
				n.serveSelf(now, sp, it)
			} else {
				n.deny(now, it.Workspace, ReasonUnknown, 0, time.Hour)
			}
		}
	default:
		n.drawDone(now, d, reply)
	}
}

func (d *draw) loan(g DrawGrant, epoch uint64) Loan {
	l := Loan{
		Workspace: g.Workspace,
		Lender:    d.to,
		Epoch:     epoch,
		ID:        g.Loan,
		Tokens:    g.Tokens,
		SpendBy:   d.at.Add(time.Duration(g.TermMillis) * time.Millisecond),
	}
	if g.Lender != "" {
		l.Lender, l.Epoch = g.Lender, g.Epoch
	}
	return l
}

func (n *Node) drawDone(now time.Time, d *draw, reply DrawReply) {
	for _, g := range reply.Grants {
		n.fx.Grants = append(n.fx.Grants, d.loan(g, reply.Epoch))
	}
	for _, it := range d.items {
		granted := slices.ContainsFunc(reply.Grants, func(g DrawGrant) bool {
			return g.Workspace == it.Workspace
		})
		if granted || it.Need == 0 {
			continue
		}
		s := DrawShort{
			Reason: ReasonTimeout,
		}
		if i := slices.IndexFunc(reply.Short, func(s DrawShort) bool {
			return s.Workspace == it.Workspace
		}); i >= 0 {
			s = reply.Short[i]
		}
		n.deny(now, it.Workspace, s.Reason, s.Available, time.Duration(s.AfterMillis)*time.Millisecond)
	}
}

func (n *Node) passedDone(d *draw, reply DrawReply) {
	p := d.passed
	for _, g := range reply.Grants {
		// The borrower counts the term from before it asked this node, which is
		// earlier than this node's own request.
		if g.Lender == "" && g.Loan != 0 {
			g.Lender, g.Epoch = d.to, reply.Epoch
		}
		p.reply.Grants = append(p.reply.Grants, g)
	}
	p.reply.Short = append(p.reply.Short, reply.Short...)
	p.done = true
	n.fx.Replies = append(n.fx.Replies, p.reply)
}

func (n *Node) borrowDone(now time.Time, d *draw, reply DrawReply, err error) {
	sp := d.borrower
	sp.asked--
	got := int64(0)
	for _, g := range reply.Grants {
		got += g.Tokens
		sp.borrowed.Add(d.loan(g, reply.Epoch))
	}
	sp.left[d.domain] = 0
	for _, s := range reply.Short {
		sp.spare[d.domain], sp.left[d.domain] = s.Available, s.Available
	}
	switch {
	case err != nil:
		sp.lost = true
		sp.retry[d.domain] = now.Add(askLost)
	case got == 0:
		// A workspace above its rate would otherwise ask all domains all the time.
		sp.retry[d.domain] = now.Add(askAgain << min(sp.empty[d.domain], 4))
		sp.empty[d.domain]++
	default:
		delete(sp.empty, d.domain)
	}
	if sp.asked > 0 {
		return
	}
	n.borrow(now, sp)
}
