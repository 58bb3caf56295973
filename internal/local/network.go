package local

import (
	"context"
	"errors"
	"net"
	"sync"

	"trefoildale.example/trefoildale/internal/conn"
)

// PlatformSite is the name of the platform, which is in no domain, in calls of Cut
// and Heal.
const PlatformSite = "platform"

// errCut is the error of a connection attempt across a cut. Such an attempt lasts
// until its context ends, since a partition drops packets and does not refuse
// connections.
var errCut = errors.New("local: domains are cut off from each other")

// Network opens connections between the domains of a fleet and can cut them.
type Network struct {
	mu    sync.Mutex
	sites map[string]string
	cut   map[[2]string]bool
	conns map[*cutConn]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		sites: make(map[string]string),
		cut:   make(map[[2]string]bool),
		conns: make(map[*cutConn]bool),
	}
}

// setSite records the domain of an address, or PlatformSite for the platform's.
func (n *Network) setSite(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = domain
}

// Cut separates two domains, or a domain and the platform, in both directions. It
// closes the open connections between them.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = true
	for c := range n.conns {
		if c.sites == pair(a, b) {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// Heal removes a cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

// pair returns the key of two sites, which does not depend on their order.
func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dialer returns the function that opens connections from a domain.
func (n *Network) dialer(domain string) conn.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		sites := pair(domain, n.sites[address])
		cut := n.cut[sites]
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, errCut
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(c, sites)
	}
}

// track registers a connection so that Cut can close it.
func (n *Network) track(c net.Conn, sites [2]string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[sites] {
		_ = c.Close()
		return nil, errCut
	}
	t := &cutConn{
		Conn:    c,
		network: n,
		sites:   sites,
	}
	n.conns[t] = true
	return t, nil
}

// cutConn is a connection that Cut closes.
type cutConn struct {
	net.Conn
	network *Network
	sites   [2]string
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
