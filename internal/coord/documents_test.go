package coord

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// slowLink delays replies and messages by the time that their documents take on a
// slow link.
type slowLink struct {
	*testNode
	bytesPerSecond float64
}

// Exchange implements Peers.
func (l slowLink) Exchange(ctx context.Context, address string, x *Exchange) (*Reply, error) {
	if err := l.transfer(ctx, x.Config, x.Listing); err != nil {
		return nil, err
	}
	r, err := l.testNode.Exchange(ctx, address, x)
	if err != nil {
		return nil, err
	}
	return r, l.transfer(ctx, r.Config, r.Listing)
}

func (l slowLink) transfer(ctx context.Context, d *Document, listing *Listing) error {
	size := 0
	if d != nil {
		size += len(d.Packed)
	}
	if listing != nil {
		size += len(listing.Packed)
	}
	if !sleep(ctx, time.Duration(float64(size)/l.bytesPerSecond*float64(time.Second))) {
		return ctx.Err()
	}
	return nil
}

// TestLargeConfigurationOnSlowLinks guards against a configuration that never arrives,
// and nodes that lose the coordinator, because its transfer takes longer than the time
// limit of an exchange.
func TestLargeConfigurationOnSlowLinks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		transfer time.Duration
		within   time.Duration
	}{
		{name: "twice the limit of an exchange", transfer: 2 * exchangeTimeout, within: 2 * time.Second},
		{name: "longer than the first limit of a transfer", transfer: 3 * minDocumentTimeout / 2, within: 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			size := float64(len(pack([]byte("42"))))
			f.wrapPeers = func(n *testNode) Peers {
				return slowLink{
					testNode:       n,
					bytesPerSecond: size / tc.transfer.Seconds(),
				}
			}
			nodes := []*testNode{f.start("a"), f.start("b"), f.start("c")}
			first := f.awaitCoordinator(5*time.Second, nodes...)
			if err := first.SetRawConfig(context.Background(), []byte("42"), "test"); err != nil {
				t.Fatal(err)
			}
			f.eventually("the configuration at all nodes", tc.within, func() bool {
				for _, n := range nodes {
					if n.CoordinatorAge() > coordinatorSilentAfter {
						t.Fatalf("%s has not heard from the coordinator for %v", n.opts.Node, n.CoordinatorAge())
					}
					if c := n.opts.Server.Config(); c == nil || c.Version != 42 {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestNewerConfigurationIsNamed guards against refusals by an old configuration, since the
// server is not told of a newer one that another node has named.
func TestNewerConfigurationIsNamed(t *testing.T) {
	n := newTestFleet(t).prepare("a", 1)
	if err := n.SetRawConfig(context.Background(), []byte("42"), "test"); err != nil {
		t.Fatal(err)
	}
	for _, version := range []int64{41, 43} {
		n.noteReply("b", &Reply{
			ConfigVersion: version,
		})
		if got, want := n.opts.Server.NewestConfig(), max(version, 42); got != want {
			t.Errorf("configuration %d was named: the newest one is %d, want %d", version, got, want)
		}
	}
}

// TestDocumentsForOtherBuilds guards against nodes of the two former builds that get no
// new configuration or endpoints from a node of this one.
func TestDocumentsForOtherBuilds(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name         string
		message      Exchange
		wantUnpacked bool
	}{
		{name: "a build without compression", message: Exchange{Node: "b", Address: "b"}, wantUnpacked: true},
		{name: "a build with compression", message: Exchange{Node: "b", Address: "b", ViewAge: time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			n := f.start("a")
			if err := n.SetRawConfig(ctx, []byte("42"), "test"); err != nil {
				t.Fatal(err)
			}
			n.SetEndpoints(ctx, testEndpoints, 9, true)
			r, err := n.HandleExchange(ctx, &tc.message)
			if err != nil {
				t.Fatal(err)
			}
			if r.Config == nil || r.Listing == nil {
				t.Fatal("the reply contains no configuration or no endpoints")
			}
			if got := string(r.Config.Raw) == "42" && len(r.Listing.Entries) == 1; got != tc.wantUnpacked {
				t.Errorf("uncompressed documents %v, want %v", got, tc.wantUnpacked)
			}
			if got := len(r.Config.Packed) > 0 && len(r.Listing.Packed) > 0; got == tc.wantUnpacked {
				t.Errorf("compressed documents %v, want %v", got, !tc.wantUnpacked)
			}
		})
	}
}

// TestDocumentsOfFormerBuild guards against a node that gets no new configuration or
// endpoints from a node of the build without compression.
func TestDocumentsOfFormerBuild(t *testing.T) {
	f := newTestFleet(t)
	n := f.prepare("a", 1)
	n.applyReply(context.Background(), n.opts.Clock.Now(), &Reply{
		Config: &Document{
			Version: 3,
			Raw:     []byte("3"),
		},
		Listing: &Listing{
			Version: 5,
			Entries: []fleet.Change{testEndpoints[0]},
		},
	}, "peer")
	if c := n.opts.Server.Config(); c == nil || c.Version != 3 {
		t.Error("the configuration is not in force")
	}
	if got := len(n.opts.Table.Endpoints()); got != 1 {
		t.Errorf("%d endpoints, want 1", got)
	}
}

// TestViewWithoutItsData guards against a node that does not read the store, because
// another node's view of it is recent, although it lacks the data of that view: the
// transfer fails, or the other node's build sends it in a form that cannot be read.
func TestViewWithoutItsData(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reply Reply
		want  bool
	}{
		{name: "the data is held", reply: Reply{Coordinator: true, ConfigVersion: 3, ListingVersion: 5}, want: true},
		{name: "a newer configuration", reply: Reply{Coordinator: true, ConfigVersion: 4, ListingVersion: 5}},
		{name: "a newer list of endpoints", reply: Reply{Coordinator: true, ConfigVersion: 3, ListingVersion: 6}},
		{name: "a configuration that cannot be read", reply: Reply{Coordinator: true, ConfigVersion: 4, ListingVersion: 5, Config: &Document{Version: 4, Packed: []byte("?")}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			n := newTestFleet(t).prepare("a", 1)
			if err := n.SetRawConfig(ctx, []byte("3"), "test"); err != nil {
				t.Fatal(err)
			}
			n.SetEndpoints(ctx, testEndpoints, 5, true)
			sent := n.opts.Clock.Now()
			n.applyReply(ctx, sent, &tc.reply, "peer")
			n.mu.Lock()
			n.recordStoreView(sent, &tc.reply)
			n.mu.Unlock()
			if got := n.IsStoreRelayed(); got != tc.want {
				t.Errorf("the store is left to another node: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestConfigurationsInOrder guards against an older configuration that stays in force in
// a part of the process, here the rates, because two arrive at the same time.
func TestConfigurationsInOrder(t *testing.T) {
	ctx := context.Background()
	f := newTestFleet(t)
	f.decode = func(raw []byte) (*fleet.Config, error) {
		c, err := testDocument(raw)
		if err == nil {
			c.Workspaces["w"].Rate = float64(c.Version)
		}
		return c, err
	}
	n := f.start("a")
	for version := 1; version < 400; version += 2 {
		var wg sync.WaitGroup
		for _, v := range []int{version, version + 1} {
			wg.Go(func() { _ = n.SetRawConfig(ctx, []byte(strconv.Itoa(v)), "test") })
		}
		wg.Wait()
		n.Admitter.mu.Lock()
		rate := n.Admitter.limits["w"].Rate
		n.Admitter.mu.Unlock()
		if want := float64(n.opts.Server.Config().Version); rate != want {
			t.Fatalf("the rate of version %v is in force with version %v", rate, want)
		}
	}
}

// TestEndpointsInOrder guards against an endpoint that has left and gets requests again,
// because two lists arrive at the same time and the older one is passed on last.
func TestEndpointsInOrder(t *testing.T) {
	ctx := context.Background()
	n := newTestFleet(t).start("a")
	for version := int64(1); version < 16000; version += 4 {
		n.SetEndpoints(ctx, []fleet.Change{{Name: "e", Version: version, Endpoint: testEndpoints[0].Endpoint}}, version, true)
		other := *testEndpoints[0].Endpoint
		other.ID = "f"
		var wg sync.WaitGroup
		for _, change := range []fleet.Change{
			{Name: "f", Version: version + 1, Endpoint: &other},
			{Name: "e", Version: version + 2},
		} {
			wg.Go(func() { n.SetEndpoints(ctx, []fleet.Change{change}, change.Version, false) })
		}
		wg.Wait()
		for _, e := range n.opts.Table.Endpoints() {
			if e.ID == "e" {
				t.Fatalf("the endpoint that left with version %d is in use", version+2)
			}
		}
	}
}
