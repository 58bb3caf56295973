package coord

import (
	"context"
	"testing"
	"time"
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
