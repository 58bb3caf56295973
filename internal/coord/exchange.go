package coord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/poison"
)

// requestExchange makes the next exchange with the coordinator start without
// waiting for the interval.
func (n *Node) requestExchange() { signal(n.exchangeRequested) }

// runExchanges exchanges messages with the coordinator at regular intervals and
// whenever one is requested early. Exchanges between two regular ones are about
// tokens only.
func (n *Node) runExchanges(ctx context.Context) {
	lost := false
	tokensOnly := false
	var fullDue time.Time // when the next full exchange is due
	for {
		began := n.opts.Clock.Now()
		err := n.exchangeOnce(ctx, tokensOnly)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.mu.Lock()
			n.coordinatorLost = true
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
		if !tokensOnly {
			fullDue = began.Add(n.interval())
		}
		if !sleep(ctx, minExchangePause) {
			return
		}
		t := time.NewTimer(fullDue.Sub(n.opts.Clock.Now()))
		select {
		case <-t.C:
			tokensOnly = false
		case <-n.exchangeRequested:
			tokensOnly = n.opts.Clock.Now().Before(fullDue) && err == nil
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

// exchangeInterval returns the time between two full exchanges of a node in a
// fleet with the given number of members.
func exchangeInterval(members int) time.Duration {
	return min(maxExchangeInterval, minExchangeInterval*time.Duration(max(1, members/membersPerInterval)))
}

var errNoCoordinator = errors.New("coord: no coordinator is known")

// exchangeOnce sends one message to the coordinator and applies the reply. If
// tokensOnly is set, the reply contains no engine loads, members or lease.
func (n *Node) exchangeOnce(ctx context.Context, tokensOnly bool) error {
	n.mu.Lock()
	address := n.coordinatorAddress
	own := n.isCoordinator
	n.mu.Unlock()
	if address == "" {
		return errNoCoordinator
	}
	sent := n.opts.Clock.Now()
	x := n.newExchange(sent)
	x.TokensOnly = tokensOnly
	n.usage.fill(x)
	if !tokensOnly {
		n.addPaces(sent, x)
	}
	r, err := n.send(ctx, address, own, x)
	if err != nil {
		return err
	}
	n.applyReply(ctx, sent, r, "coordinator")
	n.noteReply(address, r)
	if !r.Coordinator {
		n.mu.Lock()
		n.coordinatorEnded = n.coordinatorAddress == address
		n.mu.Unlock()
		n.adoptCoordinator(r)
		return errNoCoordinator
	}
	n.mu.Lock()
	n.coordinatorSeenAt, n.coordinatorEnded = sent, false
	if r.Lease != nil {
		n.coordinatorLease = r.Lease
	}
	n.recordStoreView(sent, r)
	n.mu.Unlock()
	n.Admitter.applyReply(sent, r.Grants, r.Shortages, r.Fraction)
	n.Pacer.applyReply(sent, r.Places, r.PlaceShortages, r.Fraction)
	return n.sendMissing(ctx, address, own, r)
}

// adoptCoordinator adopts the coordinator that another node knows if that node
// has seen a newer row of the lease.
func (n *Node) adoptCoordinator(r *Reply) {
	n.mu.Lock()
	newer := r.CoordinatorAddress != "" && r.CoordinatorAddress != n.coordinatorAddress && r.LeaseVersion > n.leaseVersion
	n.mu.Unlock()
	if newer {
		n.setCoordinator(r.CoordinatorAddress, false, r.LeaseVersion)
	}
}

// sendMissing sends the configuration and the list of endpoints to a node whose
// reply names older versions of them, unless that node fetches them itself.
func (n *Node) sendMissing(ctx context.Context, address string, own bool, r *Reply) error {
	if r.FetchesDocuments {
		return nil
	}
	n.mu.Lock()
	x := &Exchange{}
	if r.ConfigVersion < n.document.Version {
		doc := n.document
		x.Config = &doc
	}
	if r.ListingVersion < n.registry.Version() {
		x.Listing = n.listing()
	}
	n.mu.Unlock()
	if own || x.Config == nil && x.Listing == nil {
		return nil
	}
	sent := n.opts.Clock.Now()
	y := n.newExchange(sent)
	y.Config, y.Listing = x.Config, x.Listing
	_, err := n.send(ctx, address, own, y)
	return err
}

// newExchange returns an Exchange with the fields that every message contains.
func (n *Node) newExchange(now time.Time) *Exchange {
	tokenRequests, placeRequests := n.Admitter.tokenRequests(now), n.Pacer.tokenRequests(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Exchange{
		Node:           n.opts.Node,
		Address:        n.opts.Address,
		Domain:         n.opts.Domain,
		Incarnation:    n.opts.Incarnation,
		ConfigVersion:  n.document.Version,
		ListingVersion: n.registry.Version(),
		TokenRequests:  tokenRequests,
		Term:           n.replyTerm,
		Seq:            n.replySeq,
		Capacity:       n.opts.Capacity,
		StoreAge:       n.storeAge(now),
		ViewAge:        n.viewAge(now),
		VersionsOnly:   true,
		Parts:          n.opts.Parts.Share(now),
		LeavingEngines: n.opts.Table.Health().Share(now),
		LimitedEngines: n.opts.Table.Health().ShareLimits(now),
		PlaceRequests:  placeRequests,
	}
}

// addPaces adds the engines' paces that this node has measured if paceInterval
// has passed since it last sent them.
func (n *Node) addPaces(now time.Time, x *Exchange) {
	n.mu.Lock()
	due := now.Sub(n.pacesSentAt) > paceInterval
	if due {
		n.pacesSentAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for key, pace := range n.opts.Table.MeanPaces() {
		x.Paces = append(x.Paces, Pace{
			Key:  key,
			Pace: pace,
		})
	}
}

// listing returns the endpoints for another node, from which it is not to be
// changed. The caller holds the lock.
func (n *Node) listing() *Listing {
	if version := n.registry.Version(); n.packedListing == nil || n.packedVersion != version {
		n.packedListing, n.packedVersion = newListing(version), version
		n.packedListing.Packed = packEntries(n.registry.Changes())
	}
	return n.packedListing
}

// applyDocument puts the configuration of another node into force if it is newer.
func (n *Node) applyDocument(ctx context.Context, d *Document, source string) {
	if c := n.opts.Server.Config(); d == nil || c != nil && c.Version >= d.Version {
		return
	}
	raw, err := d.raw()
	if err == nil {
		err = n.SetRawConfig(ctx, raw, source)
	}
	if err != nil {
		n.opts.Log.Warn("configuration of another node not usable", "config", d.Version, "source", source, "error", err.Error())
	}
}

func (n *Node) send(ctx context.Context, address string, own bool, x *Exchange) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if own {
		return n.handleExchange(ctx, x)
	}
	r, err := n.exchange(ctx, address, x)
	if err != nil && ctx.Err() != nil {
		// The connection may be dead without an error, so the next call must not
		// use it.
		n.opts.Peers.Forget(address)
	}
	return r, err
}

// exchange sends a message to another node.
func (n *Node) exchange(ctx context.Context, address string, x *Exchange) (*Reply, error) {
	x.split()
	r, err := n.opts.Peers.Exchange(ctx, address, x)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.join(n.newestEra())
	return r, nil
}

// applyReply applies the configuration, endpoints and members of another node's
// reply, and the engine loads if it is a full reply of the coordinator.
func (n *Node) applyReply(ctx context.Context, sent time.Time, r *Reply, source string) {
	if n.acceptsView(r.ViewAge) {
		n.applyDocument(ctx, r.Config, source)
		n.applyListing(ctx, r.Listing, source)
	}
	n.opts.Parts.Merge(sent, r.Parts)
	n.mergeLeaving(sent, r.LeavingEngines, source)
	n.mergeLimits(sent, r.LimitedEngines, source)
	n.setMembers(ctx, r.Members, r.MembersVersion)
	if !r.Coordinator || r.Seq == 0 {
		return
	}
	n.applyReports(sent, r)
	unloads := make(map[fleet.Key][]string, len(r.PendingUnloads))
	for _, u := range r.PendingUnloads {
		unloads[u.Key] = u.Models
	}
	n.opts.Table.SetPendingUnloads(unloads)
	n.opts.Table.SetLoads(sent, r.Loads)
}

// applyReports applies the engine loads of a full reply. The reply contains an
// engine's state only where it changed since the last reply that this node
// applied; otherwise the known state is used.
func (n *Node) applyReports(sent time.Time, r *Reply) {
	n.mu.Lock()
	if r.Term != n.replyTerm {
		clear(n.engineStates)
	}
	n.replyTerm, n.replySeq = r.Term, r.Seq
	reports := make([]fleet.Report, 0, len(r.Reports))
	ages := make([]time.Duration, 0, len(r.Reports))
	for _, l := range r.Reports {
		if l.State != nil {
			n.engineStates[l.Engine] = l.State
		}
		s := n.engineStates[l.Engine]
		if s == nil {
			continue
		}
		reports = append(reports, fleet.Report{
			Key:            s.Key,
			Models:         s.Models,
			OrdersAccepted: s.OrdersAccepted,
			CacheTotal:     s.CacheTotal,
			Busy:           l.Busy,
			Active:         l.Active,
			Queued:         l.Queued,
			CacheUsed:      l.CacheUsed,
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

// setMembers replaces the members of the fleet unless the list is empty or not
// newer than the known one.
func (n *Node) setMembers(ctx context.Context, members []Member, version MembersVersion) {
	n.mu.Lock()
	if len(members) == 0 || len(n.members) > 0 && !version.after(n.membersVersion) {
		n.mu.Unlock()
		return
	}
	n.members, n.membersVersion = members, version
	n.deputies = deputiesOf(members)
	n.isDeputy = slices.Contains(n.deputies, n.opts.Node)
	n.mu.Unlock()
	n.coord.post(ctx, membersReceived{
		list: members,
	})
	n.opts.Server.SetNodes(len(members))
	n.opts.Table.SetNodes(len(members))
}

func (n *Node) applyListing(ctx context.Context, l *Listing, source string) {
	if l == nil {
		return
	}
	n.changeEndpoints(ctx, source, func(r *fleet.Registry) bool {
		if l.Version <= r.Version() {
			return false
		}
		entries, err := l.entries()
		if err != nil {
			n.opts.Log.Warn("endpoints of another node not usable", "version", l.Version, "source", source, "error", err.Error())
			return false
		}
		n.dropOddEntries(entries, source)
		return r.Adopt(n.opts.Clock.Now(), entries, l.Version)
	})
}

// dropOddEntries makes entries name no endpoint that are not usable. The sender may be of
// a build that took them over from the store.
func (n *Node) dropOddEntries(entries []fleet.Change, source string) {
	logged := 0
	for i := range entries {
		e := entries[i].Endpoint
		if e == nil {
			continue
		}
		err := e.Validate()
		if err == nil && e.ID == entries[i].Name {
			continue
		}
		entries[i].Endpoint = nil
		if logged++; logged <= maxOddLogged {
			n.opts.Log.Warn("entry names no endpoint", "entry", e.ID[:min(len(e.ID), 200)], "source", source, "error", fmt.Sprint(err))
		}
	}
}

// maxOddLogged is how many odd entries of one list are logged.
const maxOddLogged = 8

// HandleExchange answers a message of another node.
func (n *Node) HandleExchange(ctx context.Context, x *Exchange) (*Reply, error) {
	joined := *x
	n.mu.Lock()
	joined.join(n.newestEra())
	n.mu.Unlock()
	r, err := n.handleExchange(ctx, &joined)
	if err != nil {
		return nil, err
	}
	r.split()
	return r, nil
}

// handleExchange answers a message of another node, or of this one if it is the
// coordinator itself.
func (n *Node) handleExchange(ctx context.Context, x *Exchange) (*Reply, error) {
	if x.UsePool {
		return n.servePool(x), nil
	}
	if n.acceptsView(x.ViewAge) {
		n.applyDocument(ctx, x.Config, x.Node)
		n.applyListing(ctx, x.Listing, x.Node)
	}
	n.noteVersions(x.Address, documentVersions{
		config:  x.ConfigVersion,
		listing: x.ListingVersion,
	})
	n.opts.Parts.Merge(n.opts.Clock.Now(), x.Parts)
	n.mergeLeaving(n.opts.Clock.Now(), x.LeavingEngines, x.Node)
	n.mergeLimits(n.opts.Clock.Now(), x.LimitedEngines, x.Node)
	if x.DocumentsOnly {
		return n.replyWithDocuments(x), nil
	}
	reply := make(chan Reply, 1)
	n.coord.post(ctx, exchangeReceived{
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
	if r.Handover != nil && x.Resign > n.leaseVersion {
		n.coordinatorAddress, n.leaseVersion, n.isCoordinator = x.Address, x.Resign, false
	}
	r.CoordinatorAddress, r.LeaseVersion = n.coordinatorAddress, n.leaseVersion
	if !r.Coordinator {
		r.Members, r.MembersVersion = n.members, n.membersVersion
	}
	now := n.opts.Clock.Now()
	if x.ConfigVersion <= n.document.Version && x.ListingVersion <= n.registry.Version() {
		// The sender knows nothing newer, so its last read of the store also
		// confirms the data of this node.
		if at := now.Add(-x.StoreAge); at.After(n.confirmedAt) {
			n.confirmedAt = at
		}
	}
	n.fillDocuments(&r, x)
	if r.Coordinator {
		r.Parts = n.opts.Parts.ShareStrong(now, maxReplyParts)
	} else {
		r.Parts = n.opts.Parts.Share(now)
	}
	if objections := n.opts.Parts.Objections(now, x.Parts); len(objections) > 0 {
		r.Parts = append(r.Parts, objections[:min(len(objections), poison.MaxShared-len(r.Parts))]...)
	}
	r.LeavingEngines = n.opts.Table.Health().Share(now)
	r.LimitedEngines = n.opts.Table.Health().ShareLimits(now)
	if !x.TokensOnly {
		r.Lease = n.ownLease
	}
	return &r, nil
}

// maxReplyParts is how many parts of prompts a reply of the coordinator contains at most.
// Usually there is none.
const maxReplyParts = 16

// replyWithDocuments answers a message that requests documents only.
func (n *Node) replyWithDocuments(x *Exchange) *Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &Reply{
		Coordinator:        n.isCoordinator,
		CoordinatorAddress: n.coordinatorAddress,
		LeaseVersion:       n.leaseVersion,
	}
	n.fillDocuments(r, x)
	return r
}

// fillDocuments fills the part of a reply that is about the configuration and the
// endpoints. The caller holds the lock.
func (n *Node) fillDocuments(r *Reply, x *Exchange) {
	now := n.opts.Clock.Now()
	r.ConfigVersion, r.ListingVersion = n.document.Version, n.registry.Version()
	r.Config, r.Listing = n.documentsFor(x)
	r.StoreAge, r.ViewAge = n.storeAge(now), n.viewAge(now)
	r.FetchesDocuments = true
}

// HandleFetch answers a request to load an adapter. It returns when the adapter
// is usable or the load has failed.
func (n *Node) HandleFetch(ctx context.Context, f *Fetch) (*Fetched, error) {
	reply := make(chan Fetched, 1)
	n.coord.post(ctx, &adapterFetch{
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

// runGossip exchanges messages with other nodes while the store or the
// coordinator does not answer, so that new configurations and withdrawn keys
// still reach this node and only a few nodes read the store. Rounds alternate
// between a random deputy, or a seed if no deputy is known, and a random member
// or seed.
func (n *Node) runGossip(ctx context.Context) {
	for round := 0; sleep(ctx, gossipInterval); round++ {
		n.mu.Lock()
		now := n.opts.Clock.Now()
		needed := now.Sub(n.coordinatorSeenAt) > gossipAfter || now.Sub(n.relayedAt) > gossipAfter && !n.isCoordinator || n.document.Version == 0 || n.storeSilent
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
	x := n.newExchange(sent)
	x.TokenRequests, x.PlaceRequests = nil, nil
	r, err := n.send(ctx, address, false, x)
	if err != nil {
		return
	}
	n.applyReply(ctx, sent, r, address)
	n.noteReply(address, r)
	n.mu.Lock()
	n.recordStoreView(sent, r)
	n.mu.Unlock()
	if err := n.sendMissing(ctx, address, false, r); err != nil {
		n.opts.Log.Info("node not reached", "address", address, "error", err.Error())
	}
	n.adoptCoordinator(r)
	for _, m := range r.Members {
		if m.Node == n.opts.Node {
			n.setFraction(m.Fraction)
		}
	}
}

// setFraction sets this node's fraction of the rates as other nodes know it.
func (n *Node) setFraction(fraction float64) {
	n.Admitter.setFraction(fraction)
	n.Pacer.setFraction(fraction)
}
