package conf

import (
	"fmt"
	"os"
	"time"
)

// Fleet holds the settings of an entry process on the users' platform.
type Fleet struct {
	Node   Node        `yaml:"node"`
	Listen FleetListen `yaml:"listen"`
	Store  FleetStore  `yaml:"store"`
	Bounds Bounds      `yaml:"bounds"`
	// Seeds lists peer addresses of nodes to contact first; some may not be running.
	Seeds []string `yaml:"seeds"`
}

// FleetListen holds the listen addresses of a process on the users' platform.
type FleetListen struct {
	Callers string `yaml:"callers"`
	// Ready is the address of the readiness check of the platform's load balancer.
	Ready string `yaml:"ready"`
	// Peers is where other nodes connect.
	Peers string `yaml:"peers"`
	// PeersAdvertised is the address that is announced to other nodes; the default
	// is Peers.
	PeersAdvertised string `yaml:"peers-advertised"`
	// Metrics is the address that serves counters and histograms.
	Metrics string `yaml:"metrics"`
}

// FleetStore holds the settings for requests to the platform's store.
type FleetStore struct {
	Address string `yaml:"address"`
	// Heartbeat is how often endpoints write their entries.
	Heartbeat Milliseconds `yaml:"heartbeat-ms"`
}

// Bounds holds the limits that the platform's operators set for all nodes
// together.
type Bounds struct {
	// Lease is the minimum time between the orders of two successive lease holders
	// to an engine.
	Lease Duration `yaml:"lease"`
	// Grace is the time from the request to stop until the process is killed.
	Grace Duration `yaml:"grace"`
	// ConfigApply is the time from the acknowledgement of a configuration until all
	// nodes have it in force.
	ConfigApply Duration `yaml:"config-apply"`
	// RetryRatio, RetrySlack and RetryWindow limit the retries of each service.
	RetryRatio  float64  `yaml:"retry-ratio"`
	RetrySlack  float64  `yaml:"retry-slack"`
	RetryWindow Duration `yaml:"retry-window"`
	// QuotaSlack is the number of tokens by which a workspace may exceed its rate in
	// a window.
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

// DecodeFleet is Decode for the settings of a process on the platform.
func DecodeFleet(name string, data []byte) (*Fleet, error) {
	s := new(Fleet)
	err := decode(name, data, s, []section{
		{path: "node", settings: &s.Node},
		{path: "listen", settings: &s.Listen},
		{path: "store", settings: &s.Store},
		{path: "bounds", settings: &s.Bounds},
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
	setDefault(&l.PeersAdvertised, l.Peers)
	if host, port, ok := splitAddress(l.PeersAdvertised); !ok || host == "" || port == 0 {
		c.add("peers-advertised", "%q is not an address that others can connect to", l.PeersAdvertised)
	}
}

func (s *FleetStore) check(c *checker) {
	if host, port, ok := splitAddress(s.Address); !ok || host == "" || port == 0 {
		c.add("address", "%q is not host:port", s.Address)
	}
	setDefault(&s.Heartbeat, DefaultHeartbeat)
}

// Defaults of FleetStore and Bounds.
const (
	DefaultHeartbeat   = Milliseconds(1200 * time.Millisecond)
	DefaultLease       = Duration(3 * time.Second)
	DefaultGrace       = Duration(8 * time.Second)
	DefaultConfigApply = Duration(2 * time.Second)
	DefaultRetryWindow = Duration(10 * time.Second)
)

func (b *Bounds) check(c *checker) {
	setDefault(&b.Lease, DefaultLease)
	setDefault(&b.Grace, DefaultGrace)
	setDefault(&b.ConfigApply, DefaultConfigApply)
	setDefault(&b.RetryWindow, DefaultRetryWindow)
	for _, f := range []struct {
		field string
		value float64
	}{
		{field: "lease", value: float64(b.Lease)},
		{field: "grace", value: float64(b.Grace)},
		{field: "config-apply", value: float64(b.ConfigApply)},
		{field: "retry-window", value: float64(b.RetryWindow)},
		{field: "retry-ratio", value: b.RetryRatio},
		{field: "retry-slack", value: b.RetrySlack},
		{field: "quota-slack", value: b.QuotaSlack},
	} {
		if f.value < 0 {
			c.add(f.field, "is below zero")
		}
	}
}
