// Package fleet describes what the request pipeline works on: the
// configuration in force and the endpoints that are known.
package fleet

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells how often a request may run.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events. They run at most
	// once, unless their route is resumable.
	Stream
)

// String returns the name that logs use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is a service that serves a part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route decides which service a request goes to, and within which bounds.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is when a request of the route gets its final answer at the latest.
	Timeout time.Duration
	// Objective is the latency target: for streams up to the first event.
	Objective time.Duration
	// MaxPause is the longest pause between events of an answer that is on time.
	MaxPause time.Duration
	// MaxAttempts is how many endpoints may run one request.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority  int
	Open      bool
	Resumable bool
	Targets   []Target
}

// RunsOnce reports whether a request of the route may run only once.
func (r *Route) RunsOnce() bool {
	return r.Kind == NonIdempotent || r.Kind == Stream && !r.Resumable
}

// Target picks the service for a request; the same id gets the same service.
func (r *Route) Target(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	// 53 bits fill the mantissa.
	at := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a model that engines can load.
type Model struct {
	Name string
	MB   float64
	// StoreLoad, DiskLoad and MemoryLoad are how long a load takes from the
	// weight store, from the engine's disk and from its memory.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	Adapters   int
	AdapterMB  float64
}

// EngineClass describes the engines of a service.
type EngineClass struct {
	Slots        int
	CacheTokens  int
	WeightsMB    float64
	AdapterSlots int
	// StoreLoadsPerSecond is what the weight store allows over all engines.
	StoreLoadsPerSecond float64
	Models              map[string]Model
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Engine is nil for plain services.
	Engine *EngineClass
}

// Workspace is a customer with its rate.
type Workspace struct {
	Name string
	// Priority replaces that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
	// CountsTokens tells that rate and burst are in tokens, else in requests.
	CountsTokens bool
	// PlainTokens is the charge of a request that names no tokens.
	PlainTokens float64
	// Rate per second and Burst are for all nodes together; a Rate of 0 is no limit.
	Rate  float64
	Burst float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Digest identifies a key without containing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Workspaces is nil when requests need no key.
	Workspaces map[string]*Workspace
	Keys       map[Digest]string
	Limits     Limits

	byHost map[string][]*Route
}

// Prepare checks the configuration and builds its indexes.
func (c *Config) Prepare() error {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return fmt.Errorf("fleet: route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		if len(r.Targets) == 0 {
			return fmt.Errorf("fleet: route %q has no service", r.Name)
		}
		for _, t := range r.Targets {
			if c.Services[t.Service] == nil {
				return fmt.Errorf("fleet: route %q names the unknown service %q", r.Name, t.Service)
			}
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes := c.byHost[host]
	if routes == nil {
		if name, _, ok := strings.Cut(host, ":"); ok {
			routes = c.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceOf returns the workspace that holds a key, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace {
	if key == "" {
		return nil
	}
	name, ok := c.Keys[DigestOf(key)]
	if !ok {
		return nil
	}
	return c.Workspaces[name]
}

// Engines returns the services whose endpoints are engines.
func (c *Config) Engines() []*Service {
	var out []*Service
	for _, s := range c.Services {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}
