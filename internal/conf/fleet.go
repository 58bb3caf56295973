package conf

import (
	"fmt"
	"os"
	"time"
)

// Fleet are the settings of an entry process on the users' platform.
type Fleet struct {
	Node   Node        `yaml:"node"`
	Listen FleetListen `yaml:"listen"`
	Store  FleetStore  `yaml:"store"`
	Bounds Bounds      `yaml:"bounds"`
	// Seeds are addresses of nodes that may be there.
	Seeds []string `yaml:"seeds"`
}

// FleetListen holds the addresses of a process on the platform.
type FleetListen struct {
	Callers string `yaml:"callers"`
	// Ready is where the platform's balancer asks whether to send connections.
	Ready string `yaml:"ready"`
	// Peers is where other nodes connect.
	Peers string `yaml:"peers"`
	// PeersAdvertised is the address that others are told, where it differs.
	PeersAdvertised string `yaml:"peers-advertised"`
	// Metrics is where counters and histograms are served.
	Metrics string `yaml:"metrics"`
}

// FleetStore is the platform's store.
type FleetStore struct {
	Address string `yaml:"address"`
}

// Bounds are what the platform's operators require, over all nodes together.
type Bounds struct {
	// Lease is how long two holders' orders to an engine must be apart.
	Lease Duration `yaml:"lease"`
	// Grace is the time between the request to stop and the kill.
	Grace Duration `yaml:"grace"`
	// RetryRatio, RetrySlack and RetryWindow bound repeats for each service.
	RetryRatio  float64  `yaml:"retry-ratio"`
	RetrySlack  float64  `yaml:"retry-slack"`
	RetryWindow Duration `yaml:"retry-window"`
	// QuotaSlack is how many tokens a workspace may exceed its rate by in a window.
	QuotaSlack float64 `yaml:"quota-slack"`
}

// LoadFleet reads the settings of a process on the platform from a file.
func LoadFleet(file string) (*Fleet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return DecodeFleet(file, data)
}

// DecodeFleet reads the settings of a process on the platform, like Decode.
func DecodeFleet(name string, data []byte) (*Fleet, error) {
	s := new(Fleet)
	err := decode(name, data, s, []section{
		{path: "node", part: &s.Node},
		{path: "listen", part: &s.Listen},
		{path: "store", part: &s.Store},
		{path: "bounds", part: &s.Bounds},
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (l *FleetListen) check(c *checker) {
	for _, f := range []struct{ field, value string }{
		{field: "callers", value: l.Callers},
		{field: "ready", value: l.Ready},
		{field: "peers", value: l.Peers},
		{field: "metrics", value: l.Metrics},
	} {
		if host, port, ok := splitAddress(f.value); !ok || host == "" || port == 0 {
			c.add(f.field, "%q is not an address that others can connect to", f.value)
		}
	}
	fill(&l.PeersAdvertised, l.Peers)
	if host, port, ok := splitAddress(l.PeersAdvertised); !ok || host == "" || port == 0 {
		c.add("peers-advertised", "%q is not an address that others can connect to", l.PeersAdvertised)
	}
}

func (s *FleetStore) check(c *checker) {
	if host, port, ok := splitAddress(s.Address); !ok || host == "" || port == 0 {
		c.add("address", "%q is not host:port", s.Address)
	}
}

// Defaults of Bounds.
const (
	DefaultLease       = Duration(3 * time.Second)
	DefaultGrace       = Duration(8 * time.Second)
	DefaultRetryWindow = Duration(10 * time.Second)
)

func (b *Bounds) check(c *checker) {
	fill(&b.Lease, DefaultLease)
	fill(&b.Grace, DefaultGrace)
	fill(&b.RetryWindow, DefaultRetryWindow)
	if b.Lease < 0 || b.Grace < 0 || b.RetryWindow < 0 {
		c.add("lease", "a duration is below zero")
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 || b.QuotaSlack < 0 {
		c.add("retry-ratio", "a bound is below zero")
	}
}
