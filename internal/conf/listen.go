package conf

import (
	"net"
	"strconv"
)

// Listen holds the listen addresses of this process.
type Listen struct {
	// Callers is where callers connect.
	Callers string `yaml:"callers"`
	// Peers is where other entry processes connect. PeersAdvertised is the address
	// that is announced to them.
	Peers           string `yaml:"peers"`
	PeersAdvertised string `yaml:"peers-advertised"`
	// Admin is where operators connect. It has no authentication and must only be
	// reachable from the operators' network.
	Admin string `yaml:"admin"`
}

// Defaults of Listen.
const (
	DefaultCallers = ":8080"
	DefaultPeers   = ":7946"
	DefaultAdmin   = "127.0.0.1:7070"
)

func (l *Listen) check(c *checker) {
	setDefault(&l.Callers, DefaultCallers)
	setDefault(&l.Peers, DefaultPeers)
	setDefault(&l.Admin, DefaultAdmin)
	seen := map[string]string{}
	for _, f := range []struct{ field, value string }{
		{field: "callers", value: l.Callers},
		{field: "peers", value: l.Peers},
		{field: "admin", value: l.Admin},
	} {
		_, port, ok := splitAddress(f.value)
		if !ok {
			c.add(f.field, "%q is not host:port", f.value)
		} else if other, dup := seen[f.value]; dup && port != 0 {
			c.add(f.field, "%q is also the address for %s", f.value, other)
		}
		seen[f.value] = f.field
	}
	if l.PeersAdvertised == "" {
		// A listen address with a host and a port can be announced to peers as it is.
		if host, port, ok := splitAddress(l.Peers); ok {
			if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() || port == 0 {
				c.add("peers-advertised", "is missing; the address %q is not one that others can connect to", l.Peers)
			}
		}
		l.PeersAdvertised = l.Peers
		return
	}
	if host, port, ok := splitAddress(l.PeersAdvertised); !ok || host == "" || port == 0 {
		c.add("peers-advertised", "%q is not an address that others can connect to", l.PeersAdvertised)
	}
}

func splitAddress(a string) (host string, port int, ok bool) {
	host, p, err := net.SplitHostPort(a)
	if err != nil {
		return "", 0, false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return host, int(n), err == nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
