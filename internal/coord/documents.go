package coord

import (
	"context"
	"time"
)

const (
	// minDocumentTimeout limits the first transfer of a configuration or a list of
	// endpoints. The limit doubles after each transfer that does not end within it,
	// up to maxDocumentTimeout, so that a large document on a slow link arrives at last.
	minDocumentTimeout = time.Second
	maxDocumentTimeout = 16 * time.Second
	// documentHedgeDelay is after which time a second source is asked as well.
	documentHedgeDelay = 500 * time.Millisecond
	maxDocumentFetches = 2
)

// documentVersions are the versions of the configuration and of the list of endpoints
// that a node holds.
type documentVersions struct {
	config  int64
	listing int64
}

// newerThan reports whether one of the versions is higher than the other's.
func (v documentVersions) newerThan(o documentVersions) bool {
	return v.config > o.config || v.listing > o.listing
}

// held returns the versions that this node holds. The caller holds the lock.
func (n *Node) held() documentVersions {
	return documentVersions{
		config:  n.document.Version,
		listing: n.registry.Version(),
	}
}

// noteVersions records what another node holds, and requests that it be fetched if it
// is newer than what this node holds.
func (n *Node) noteVersions(address string, v documentVersions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == n.opts.Address || !v.newerThan(n.held()) {
		delete(n.documentSources, address)
		return
	}
	if v.config > n.document.Version && n.opts.Server.Newest().Record(n.opts.Clock.Now(), v.config) {
		n.opts.Log.Info("newer configuration known", "config", v.config, "in-force", n.document.Version, "source", address)
	}
	n.documentSources[address] = v
	signal(n.documentsRequested)
}

// noteReply records which versions a reply names.
func (n *Node) noteReply(address string, r *Reply) {
	n.noteVersions(address, documentVersions{
		config:  r.ConfigVersion,
		listing: r.ListingVersion,
	})
}

// takeSource removes and returns a node that holds newer documents than this one,
// preferably the coordinator.
func (n *Node) takeSource(except map[string]bool) (address string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, v := range n.documentSources {
		if !v.newerThan(n.held()) {
			delete(n.documentSources, a)
			continue
		}
		if !except[a] && (!ok || a == n.coordinatorAddress) {
			address, ok = a, true
		}
	}
	delete(n.documentSources, address)
	return address, ok
}

// documentsFetched is the end of one transfer.
type documentsFetched struct {
	address  string
	err      error
	timedOut bool
}

// runDocuments fetches configurations and lists of endpoints from nodes that hold
// newer ones. They are not part of the regular exchanges, whose time limit shows in
// time that the coordinator is silent and is too short for a large document.
func (n *Node) runDocuments(ctx context.Context) {
	ended := make(chan documentsFetched)
	active := make(map[string]bool)
	limit := minDocumentTimeout
	hedge := time.NewTimer(documentHedgeDelay)
	defer hedge.Stop()
	start := func() {
		if len(active) == maxDocumentFetches {
			return
		}
		address, ok := n.takeSource(active)
		if !ok {
			return
		}
		active[address] = true
		hedge.Reset(documentHedgeDelay)
		go func(limit time.Duration) {
			e := n.fetchDocuments(ctx, address, limit)
			select {
			case ended <- e:
			case <-ctx.Done():
			}
		}(limit)
	}
	for {
		select {
		case <-n.documentsRequested:
			if len(active) == 0 {
				start()
			}
		case <-hedge.C:
			start()
		case e := <-ended:
			delete(active, e.address)
			switch {
			case e.err == nil:
				limit = minDocumentTimeout
			case e.timedOut:
				limit = min(2*limit, maxDocumentTimeout)
			}
			start()
		case <-ctx.Done():
			return
		}
	}
}

// fetchDocuments fetches the documents of one node and applies them.
func (n *Node) fetchDocuments(ctx context.Context, address string, limit time.Duration) documentsFetched {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := n.opts.Clock.Now()
	x := n.newExchange(sent)
	x.TokenRequests, x.Parts, x.LeavingEngines, x.TokensOnly, x.VersionsOnly, x.DocumentsOnly = nil, nil, nil, true, false, true
	r, err := n.exchange(bounded, address, x)
	if err != nil {
		n.opts.Log.Warn("newer documents not fetched", "source", address, "limit-ms", limit.Milliseconds(), "error", err.Error())
		return documentsFetched{
			address:  address,
			err:      err,
			timedOut: bounded.Err() != nil,
		}
	}
	n.applyReply(ctx, sent, r, address)
	n.mu.Lock()
	n.recordStoreView(sent, r)
	n.mu.Unlock()
	return documentsFetched{
		address: address,
	}
}

// documentsFor returns the documents that are newer than the sender's of x. The
// caller holds the lock.
func (n *Node) documentsFor(x *Exchange) (*Document, *Listing) {
	if x.VersionsOnly {
		return nil, nil
	}
	var document *Document
	var listing *Listing
	// Senders of builds that read no packed documents do not send ViewAge.
	unpacked := !x.DocumentsOnly && x.ViewAge == 0
	if x.ConfigVersion < n.document.Version {
		d := n.document
		if unpacked {
			d.Raw, _ = d.raw()
			d.Packed = nil
		}
		document = &d
	}
	if x.ListingVersion < n.registry.Version() {
		listing = n.listing()
		if unpacked {
			listing = newListing(n.registry.Version())
			listing.Entries = plainEntries(n.registry.Changes())
		}
	}
	return document, listing
}
