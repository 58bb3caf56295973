package lead

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// hurry has the next exchange begin at once.
func (n *Node) hurry() { signal(n.kick) }

// exchange talks to the coordinator, at intervals and when tokens are needed.
func (n *Node) exchange(ctx context.Context) {
	lost := false
	brief := false
	var full time.Time // when the next full exchange is due
	for {
		began := n.opts.Clock.Now()
		err := n.exchangeOnce(ctx, brief)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.mu.Lock()
			n.lost = true
			n.mu.Unlock()
		}
		if (err != nil) != lost {
			lost = err != nil
			if lost {
				n.opts.Log.Warn("coordinator not reached", "error", err.Error())
			} else {
				n.opts.Log.Info("coordinator reached")
			}
		}
		if !brief {
			full = began.Add(n.interval())
		}
		if !wait(ctx, kickPause) {
			return
		}
		t := time.NewTimer(full.Sub(n.opts.Clock.Now()))
		select {
		case <-t.C:
			brief = false
		case <-n.kick:
			brief = n.opts.Clock.Now().Before(full) && err == nil
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return exchangeInterval(len(n.members))
}

// exchangeInterval is the time between two full exchanges of a node.
func exchangeInterval(members int) time.Duration {
	return min(exchangeMost, exchangeEvery*time.Duration(max(1, members/exchangeNodes)))
}

var errNoCoordinator = errors.New("lead: no coordinator is known")

// exchangeOnce talks to the coordinator. A brief exchange is about tokens only.
func (n *Node) exchangeOnce(ctx context.Context, brief bool) error {
	n.mu.Lock()
	address := n.leader
	own := n.holds
	n.mu.Unlock()
	if address == "" {
		return errNoCoordinator
	}
	sent := n.opts.Clock.Now()
	x := n.message(sent)
	x.Brief = brief
	n.usage.fill(x)
	if !brief {
		n.addPaces(sent, x)
	}
	r, err := n.ask(ctx, address, own, x)
	if err != nil {
		return err
	}
	n.take(ctx, sent, r, "coordinator")
	if !r.Coordinator {
		n.mu.Lock()
		n.ended = n.leader == address
		n.mu.Unlock()
		n.follow(r)
		return errNoCoordinator
	}
	n.mu.Lock()
	n.touched, n.ended = sent, false
	if r.Lease != nil {
		n.heard = r.Lease
	}
	n.relay(sent, r)
	n.mu.Unlock()
	n.Desk.receive(sent, r)
	return n.push(ctx, address, own, r)
}

// follow takes over whom another node follows, if it knows of a newer holder.
func (n *Node) follow(r *Reply) {
	n.mu.Lock()
	newer := r.Leader != "" && r.Leader != n.leader && r.Since > n.since
	n.mu.Unlock()
	if newer {
		n.setLeader(r.Leader, false, r.Since)
	}
}

// push gives the other side what it lacks.
func (n *Node) push(ctx context.Context, address string, own bool, r *Reply) error {
	n.mu.Lock()
	x := &Exchange{}
	if r.ConfigVersion < n.doc.Version {
		doc := n.doc
		x.Config = &doc
	}
	if r.ListingFrom < n.registry.Version() {
		x.Listing = n.listing()
	}
	n.mu.Unlock()
	if own || x.Config == nil && x.Listing == nil {
		return nil
	}
	sent := n.opts.Clock.Now()
	y := n.message(sent)
	y.Config, y.Listing = x.Config, x.Listing
	_, err := n.ask(ctx, address, own, y)
	return err
}

// message returns what every exchange says.
func (n *Node) message(now time.Time) *Exchange {
	draws := n.Desk.draws(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Exchange{
		Node:          n.opts.Node,
		Address:       n.opts.Address,
		Domain:        n.opts.Domain,
		Incarnation:   n.opts.Incarnation,
		ConfigVersion: n.doc.Version,
		ListingFrom:   n.registry.Version(),
		Draws:         draws,
		Term:          n.term,
		Seq:           n.seq,
		Capacity:      n.opts.Capacity,
		StoreAge:      n.storeAge(now),
	}
}

// addPaces tells what this node has learned of the engines, now and then.
func (n *Node) addPaces(now time.Time, x *Exchange) {
	n.mu.Lock()
	due := now.Sub(n.paced) > paceEvery
	if due {
		n.paced = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for key, pace := range n.opts.Table.Paces() {
		x.Paces = append(x.Paces, Pace{
			Key:  key,
			Pace: pace,
		})
	}
}

// listing returns the endpoints for another node. The lock is held.
func (n *Node) listing() *Listing {
	return &Listing{
		Version: n.registry.Version(),
		Entries: n.registry.Changes(),
	}
}

func (n *Node) ask(ctx context.Context, address string, own bool, x *Exchange) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if own {
		return n.HandleExchange(ctx, x)
	}
	r, err := n.opts.Peers.Exchange(ctx, address, x)
	if err != nil && ctx.Err() != nil {
		// The connection may have fallen silent for good.
		n.opts.Peers.Forget(address)
	}
	return r, err
}

// take takes over what another node told.
func (n *Node) take(ctx context.Context, sent time.Time, r *Reply, source string) {
	if r.Config != nil {
		if err := n.SetDocument(ctx, r.Config.Raw, source); err != nil {
			n.opts.Log.Warn("configuration of another node not usable", "config", r.Config.Version, "error", err.Error())
		}
	}
	n.takeListing(ctx, r.Listing, source)
	n.know(ctx, r.Members, r.MembersAs)
	if !r.Coordinator || r.Seq == 0 {
		return
	}
	n.takeReports(sent, r)
	closing := make(map[fleet.Key][]string, len(r.Closing))
	for _, c := range r.Closing {
		closing[c.Key] = c.Models
	}
	n.opts.Table.SetClosing(closing)
}

// takeReports takes over the engines' loads from a full answer.
func (n *Node) takeReports(sent time.Time, r *Reply) {
	n.mu.Lock()
	if r.Term != n.term {
		clear(n.engines)
	}
	n.term, n.seq = r.Term, r.Seq
	reports := make([]fleet.Report, 0, len(r.Reports))
	ages := make([]time.Duration, 0, len(r.Reports))
	for _, l := range r.Reports {
		if l.State != nil {
			n.engines[l.Engine] = l.State
		}
		s := n.engines[l.Engine]
		if s == nil {
			continue
		}
		reports = append(reports, fleet.Report{
			Key:        s.Key,
			Models:     s.Models,
			Orders:     s.Orders,
			CacheTotal: s.CacheTotal,
			Busy:       l.Busy,
			Active:     l.Active,
			Queued:     l.Queued,
			CacheUsed:  l.CacheUsed,
		})
		ages = append(ages, l.Age)
	}
	n.mu.Unlock()
	for _, p := range r.Plain {
		n.opts.Table.SetReport(sent, fleet.Report{
			Key:    p.Key,
			Active: p.Active,
		})
	}
	for i, rep := range reports {
		n.opts.Table.SetReport(sent.Add(-ages[i]), rep)
	}
}

// know takes over the members of the fleet.
func (n *Node) know(ctx context.Context, members []Member, as MembersVersion) {
	n.mu.Lock()
	if len(members) == 0 || len(n.members) > 0 && !as.after(n.membersAs) {
		n.mu.Unlock()
		return
	}
	n.members, n.membersAs = members, as
	n.deputies = deputiesOf(members)
	n.deputy = slices.Contains(n.deputies, n.opts.Node)
	n.mu.Unlock()
	n.coord.post(ctx, membersKnown{
		list: members,
	})
	n.opts.Server.SetNodes(len(members))
	n.opts.Table.SetNodes(len(members))
}

func (n *Node) takeListing(ctx context.Context, l *Listing, source string) {
	if l == nil {
		return
	}
	n.mu.Lock()
	if l.Version <= n.registry.Version() {
		n.mu.Unlock()
		return
	}
	n.registry.Apply(n.opts.Clock.Now(), l.Entries, l.Version, true)
	list := n.registry.List()
	n.mu.Unlock()
	n.spreadList(ctx, list, source)
}

// HandleExchange answers an exchange of another node, or of this one.
func (n *Node) HandleExchange(ctx context.Context, x *Exchange) (*Reply, error) {
	if x.Pooled {
		return n.Desk.serve(x), nil
	}
	if x.Config != nil {
		if err := n.SetDocument(ctx, x.Config.Raw, x.Node); err != nil {
			n.opts.Log.Warn("configuration of another node not usable", "config", x.Config.Version, "error", err.Error())
		}
	}
	n.takeListing(ctx, x.Listing, x.Node)
	reply := make(chan Reply, 1)
	n.coord.post(ctx, exchanged{
		x:     x,
		reply: reply,
	})
	var r Reply
	select {
	case r = <-reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Handover != nil && x.Resign > n.since {
		n.leader, n.since, n.holds = x.Address, x.Resign, false
	}
	r.Leader, r.Since = n.leader, n.since
	if !r.Coordinator {
		r.Members, r.MembersAs = n.members, n.membersAs
	}
	now := n.opts.Clock.Now()
	if x.ConfigVersion <= n.doc.Version && x.ListingFrom <= n.registry.Version() {
		// The sender's reads of the store confirm what this node knows.
		if at := now.Add(-x.StoreAge); at.After(n.confirmed) {
			n.confirmed = at
		}
	}
	r.ConfigVersion = n.doc.Version
	if x.ConfigVersion < n.doc.Version {
		doc := n.doc
		r.Config = &doc
	}
	r.ListingFrom = n.registry.Version()
	if x.ListingFrom < n.registry.Version() {
		r.Listing = n.listing()
	}
	r.StoreAge = n.storeAge(now)
	r.ViewAge = min(r.StoreAge, now.Sub(n.confirmed))
	if !x.Brief {
		r.Lease = n.own
	}
	return &r, nil
}

// HandleFetch answers a request for an adapter.
func (n *Node) HandleFetch(ctx context.Context, f *Fetch) (*Fetched, error) {
	reply := make(chan Fetched, 1)
	n.coord.post(ctx, &fetch{
		Fetch: *f,
		reply: reply,
	})
	select {
	case r := <-reply:
		return &r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// gossip asks another node while the store or the coordinator is silent, so
// that configurations and withdrawn keys still arrive and few nodes read the
// store.
func (n *Node) gossip(ctx context.Context) {
	for round := 0; wait(ctx, gossipEvery); round++ {
		n.mu.Lock()
		now := n.opts.Clock.Now()
		needed := now.Sub(n.touched) > gossipAfter || now.Sub(n.relayed) > gossipAfter && !n.holds || n.doc.Version == 0 || n.silent
		var others []string
		for _, m := range n.members {
			if round%2 == 0 && !slices.Contains(n.deputies, m.Node) {
				continue
			}
			if m.Address != n.opts.Address {
				others = append(others, m.Address)
			}
		}
		if round%2 != 0 || len(others) == 0 {
			for _, s := range n.seeds {
				if s != n.opts.Address {
					others = append(others, s)
				}
			}
		}
		n.mu.Unlock()
		if needed && len(others) > 0 {
			n.gossipWith(ctx, others[rand.IntN(len(others))])
		}
	}
}

func (n *Node) gossipWith(ctx context.Context, address string) {
	sent := n.opts.Clock.Now()
	x := n.message(sent)
	x.Draws = nil
	r, err := n.ask(ctx, address, false, x)
	if err != nil {
		return
	}
	n.take(ctx, sent, r, address)
	n.mu.Lock()
	n.relay(sent, r)
	n.mu.Unlock()
	if err := n.push(ctx, address, false, r); err != nil {
		n.opts.Log.Info("node not reached", "address", address, "error", err.Error())
	}
	n.follow(r)
	for _, m := range r.Members {
		if m.Node == n.opts.Node {
			n.Desk.setFraction(m.Fraction)
		}
	}
}
