// Package fleet defines the data that request handling is based on: the
// configuration in force and the registered endpoints.
package fleet

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines how often the requests of a route may run.
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

// Target is a service that gets a part of a route's requests, in proportion to
// its weight.
type Target struct {
	Service string
	Weight  float64
}

// Route maps requests with a host and path prefix to services and sets the limits
// for them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a request gets its final answer.
	Timeout time.Duration
	// Objective is the latency target, for streams that of the first event.
	Objective time.Duration
	// MaxPause is the longest pause between events of an answer that is on time.
	MaxPause time.Duration
	// Patience is how long callers wait for the first part of an answer or between two
	// parts before they give up, 0 if they wait until their deadline.
	Patience time.Duration
	// MaxAttempts is how many endpoints may run one request.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// AllowAnonymous makes the route accept requests without a valid key.
	AllowAnonymous bool
	// Resumable routes may run a stream again after it broke off.
	Resumable bool
	Targets   []Target
}

// AtMostOnce reports whether a request of the route may run only once.
func (r *Route) AtMostOnce() bool {
	return r.Kind == NonIdempotent || r.Kind == Stream && !r.Resumable
}

// Target returns the service for a request, chosen by the targets' weights. The
// same request ID always gets the same service.
func (r *Route) Target(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	// A float64 has a mantissa of 53 bits.
	remaining := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * sum
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// LeadsTo reports whether a part of the route's requests goes to a service.
func (r *Route) LeadsTo(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && (t.Weight > 0 || len(r.Targets) == 1) {
			return true
		}
	}
	return false
}

// Model is a model that engines can load.
type Model struct {
	Name string
	// WeightsMB is the size of the weights.
	WeightsMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the load times from the weight
	// store, from the engine's disk and from its memory.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	// Adapters is the number of adapters of the model, AdapterMB the size of each.
	Adapters  int
	AdapterMB float64
}

// EngineClass is the capacity of the engines of a service.
type EngineClass struct {
	Slots       int
	CacheTokens int
	// WeightsMB is the memory for weights and adapters together.
	WeightsMB    float64
	AdapterSlots int
	// StoreLoadsPerSecond limits the loads from the weight store by all engines
	// together.
	StoreLoadsPerSecond float64
	Models              map[string]Model
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Engine is nil for plain services, whose endpoints are not engines.
	Engine *EngineClass
}

// Workspace is a customer's rate limit and priority.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// CountsTokens is set if Rate and Burst are in tokens, not in requests.
	CountsTokens bool
	// PlainTokens is the charge for a request that states no number of tokens.
	PlainTokens float64
	// Rate (per second) and Burst apply to all nodes together. A Rate of 0 means
	// no limit.
	Rate  float64
	Burst float64
}

// Limits restrict the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Digest is the SHA-256 hash of a key, stored instead of the key itself.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Workspaces is nil if requests need no key.
	Workspaces map[string]*Workspace
	// Keys maps the digests of keys to the names of workspaces.
	Keys   map[Digest]string
	Limits Limits

	byHost map[string][]*Route
}

// Prepare checks the routes and builds the index that Match uses.
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

// Match returns the host's route with the longest prefix of the path, or nil. If
// no route has the host with its port, it is matched without the port.
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

// WorkspaceOf returns the workspace that a key belongs to, or nil.
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
