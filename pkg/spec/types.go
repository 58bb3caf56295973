// Package spec defines the configuration of a fleet: its schema, its validation
// and the changes from one revision to the next.
package spec

import "time"

// Config is the complete configuration at one revision. Files and the admin API
// share this schema.
type Config struct {
	Revision   int64       `json:"revision,omitempty" yaml:"revision,omitempty"`
	Domains    []Domain    `json:"domains" yaml:"domains"`
	Services   []Service   `json:"services" yaml:"services"`
	Endpoints  []Endpoint  `json:"endpoints" yaml:"endpoints"`
	Models     []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters   []Adapter   `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Workspaces []Workspace `json:"workspaces" yaml:"workspaces"`
	Keys       []Key       `json:"keys,omitempty" yaml:"keys,omitempty"`
	Limits     Limits      `json:"limits" yaml:"limits"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// ServiceKind distinguishes model services from plain HTTP services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a group of equivalent endpoints that callers address as one.
type Service struct {
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Prefix is the path prefix of a plain service, for example "/booking/".
	// Model services answer under /v1/.
	Prefix string `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	// Open allows requests without a key.
	Open    bool     `json:"open,omitempty" yaml:"open,omitempty"`
	Methods []Method `json:"methods,omitempty" yaml:"methods,omitempty"`
}

// Method is a call that a plain service offers. Calls that are not listed are
// refused.
type Method struct {
	Method string `json:"method" yaml:"method"`
	// Path is relative to the service's prefix; a trailing "*" matches any suffix.
	Path       string `json:"path" yaml:"path"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
}

// Endpoint is a back end: a model engine or an instance of a plain service.
type Endpoint struct {
	Name      string  `json:"name" yaml:"name"`
	Service   string  `json:"service" yaml:"service"`
	Domain    string  `json:"domain" yaml:"domain"`
	Address   string  `json:"address" yaml:"address"`
	MemoryMiB int64   `json:"memory-mib,omitempty" yaml:"memory-mib,omitempty"`
	Fencing   bool    `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	Speed     float64 `json:"speed,omitempty" yaml:"speed,omitempty"`
}

// Model is a language model that a model service serves.
type Model struct {
	Name             string `json:"name" yaml:"name"`
	Service          string `json:"service" yaml:"service"`
	Version          string `json:"version" yaml:"version"`
	MemoryMiB        int64  `json:"memory-mib" yaml:"memory-mib"`
	MaxContextTokens int64  `json:"max-context-tokens" yaml:"max-context-tokens"`
	// OnDemand bounds the time to the first token when the model is not resident.
	OnDemand Duration `json:"on-demand" yaml:"on-demand"`
}

// Adapter is a small addition to a model, loaded on demand.
type Adapter struct {
	Name      string `json:"name" yaml:"name"`
	Model     string `json:"model" yaml:"model"`
	MemoryMiB int64  `json:"memory-mib" yaml:"memory-mib"`
}

// Class is the priority class of a request.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassNormal      Class = "normal"
	ClassDeferrable  Class = "deferrable"
)

// Workspace is a customer.
type Workspace struct {
	Name                string  `json:"name" yaml:"name"`
	RateTokensPerSecond float64 `json:"rate-tokens-per-second" yaml:"rate-tokens-per-second"`
	BurstTokens         int64   `json:"burst-tokens" yaml:"burst-tokens"`
	// Weight is the workspace's share of a busy endpoint relative to other
	// workspaces.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// Class is the class of requests that do not set one.
	Class Class `json:"class,omitempty" yaml:"class,omitempty"`
}

// Key gives access to a workspace. Only the digest of the secret is kept.
type Key struct {
	ID        string `json:"id" yaml:"id"`
	Workspace string `json:"workspace" yaml:"workspace"`
	// Digest is "sha256:" and 64 hexadecimal digits.
	Digest string `json:"digest" yaml:"digest"`
}

// Isolation is the policy for requests with a key while a node cannot determine
// whether the key was withdrawn.
type Isolation string

// The choices of Isolation.
const (
	IsolationRefuse Isolation = "refuse"
	// IsolationServe keeps serving. A withdrawn key then works in an isolated
	// domain until the domain is connected again.
	IsolationServe Isolation = "serve"
)

// Limits holds the limits that apply to the whole fleet.
type Limits struct {
	MinShareTokens       int64     `json:"min-share-tokens,omitempty" yaml:"min-share-tokens,omitempty"`
	WeightLoadsPerSecond float64   `json:"weight-loads-per-second,omitempty" yaml:"weight-loads-per-second,omitempty"`
	WeightLoadsParallel  int       `json:"weight-loads-parallel,omitempty" yaml:"weight-loads-parallel,omitempty"`
	WhenIsolated         Isolation `json:"when-isolated,omitempty" yaml:"when-isolated,omitempty"`
	// SlotTerm is the longest platform outage during which rate limiting continues.
	SlotTerm Duration `json:"slot-term,omitempty" yaml:"slot-term,omitempty"`
}

// Duration is a time.Duration that is encoded as text, for example "1m30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
