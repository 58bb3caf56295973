// Package site simulates the users' platform for tests: its store, the operator
// who writes configurations into it, and the engines and plain services that
// register there. It implements the server side of the protocol that package
// platform translates, and records the requests and orders that reached the
// endpoints.
package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Tables that only the operator and the endpoints write, and the key of the
// configuration.
const (
	operatorTable = "op"
	endpointTable = "servers"
	configKey     = "config"
)

// Config is a configuration as the operator writes it.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route maps requests with a host and path prefix to a service.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"` // idempotent, non_idempotent or stream
	TimeoutMS   float64 `json:"timeout_ms"`
	ObjectiveMS float64 `json:"slo_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	Attempts    int     `json:"attempts"`
	Resumable   bool    `json:"resumable"`
	PauseMS     float64 `json:"gap_target_ms"` // longest pause between events
	// Split divides the requests among services, if Service is empty.
	Split []Share `json:"split,omitempty"`
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// LeadsTo reports whether requests of the route may go to a service.
func (r Route) LeadsTo(service string) bool {
	return r.Service == service || slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
}

// RunsAtMostOnce reports whether a request of the route must run at most once.
func (r Route) RunsAtMostOnce() bool {
	return r.Kind == kindOnce || r.Kind == KindStream && !r.Resumable
}

// The kinds of routes.
const (
	KindIdempotent = "idempotent"
	KindStream     = "stream"
	kindOnce       = "non_idempotent"
)

// ConfigPath is the store's path for reading the operator's configuration.
const ConfigPath = "/rows-get?part=&table=" + operatorTable

// Service is a group of endpoints; Engine is nil for plain services.
type Service struct {
	Name       string       `json:"name"`
	HealthPath string       `json:"health_path"`
	Engine     *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the engines of a service, which are all alike.
type EngineClass struct {
	Slots          int     `json:"slots"`
	CacheTokens    int     `json:"kv_cap"`
	Models         []Model `json:"models"`
	WeightsMB      float64 `json:"weights_mb"`
	AdapterSlots   int     `json:"lora_slots"`
	LoadsPerSecond float64 `json:"loads_per_s"`
}

// Model describes a model that engines can load. Its adapters are named a1, a2,
// and so on.
type Model struct {
	Name      string  `json:"name"`
	MB        float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	DiskS     float64 `json:"disk_s"`
	WarmS     float64 `json:"warm_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
}

// Limits bound the size of caller requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

// Tenant is a workspace. A rate of 0 means no limit.
type Tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"keys"`
	Unit        string   `json:"unit"`
	PlainTokens float64  `json:"plain_tokens"`
	Rate        float64  `json:"rate_per_s"`
	Burst       float64  `json:"burst"`
}

// SampleConfig returns the configuration of a small deployment: a booking service,
// and a service whose engines serve three models, two of them with adapters.
func SampleConfig() Config {
	route := func(name, prefix, kind, service string) Route {
		return Route{
			Name:        name,
			Host:        "club.example",
			Prefix:      prefix,
			Kind:        kind,
			TimeoutMS:   8000,
			ObjectiveMS: 500,
			Priority:    1,
			Service:     service,
			Attempts:    2,
			PauseMS:     200,
		}
	}
	stream := route("notes", "/notes/", KindStream, "assistant")
	resumable := route("plans", "/plans/", KindStream, "assistant")
	resumable.Resumable = true
	return Config{
		Version: 1,
		Routes: []Route{
			stream,
			resumable,
			route("book", "/book/", kindOnce, "booking"),
			route("read", "/read/", KindIdempotent, "booking"),
		},
		Services: []Service{
			{
				Name:       "assistant",
				HealthPath: "/health",
				Engine: &EngineClass{
					Slots:          8,
					CacheTokens:    20_000,
					WeightsMB:      100,
					AdapterSlots:   3,
					LoadsPerSecond: 4,
					Models: []Model{
						{Name: "rules", MB: 60, LoadS: 0.3, DiskS: 0.15, WarmS: 0.1, Adapters: 4, AdapterMB: 1},
						{Name: "coach", MB: 60, LoadS: 0.3, DiskS: 0.15, WarmS: 0.1, Adapters: 4, AdapterMB: 1},
						{Name: "season", MB: 30, LoadS: 0.2, DiskS: 0.1, WarmS: 0.1, AdapterMB: 1},
					},
				},
			},
			{
				Name:       "booking",
				HealthPath: "/health",
			},
		},
		Limits: Limits{
			MaxHeaderBytes:  16_384,
			MaxBodyBytes:    1 << 20,
			HeaderTimeoutMS: 3000,
			IdleTimeoutMS:   15_000,
		},
		Tenants: []Tenant{
			{Name: "club", Keys: []string{"key-club"}, Unit: "tokens", PlainTokens: 20, Rate: 20_000, Burst: 20_000},
			{Name: "league", Keys: []string{"key-league"}, Unit: "tokens", PlainTokens: 20, Rate: 4000, Burst: 4000},
		},
	}
}

// SetConfig writes a configuration into the operator's table.
func (s *Store) SetConfig(c Config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.PutRow(operatorTable, configKey, body)
	return nil
}

// CallerRequest is a caller's request to a node.
type CallerRequest struct {
	Address                    string // host and port of the node
	ID                         string
	Host                       string
	Path                       string
	Method                     string
	Key                        string
	Model                      string // MODEL or MODEL/ADAPTER, empty for plain services
	PromptTokens, OutputTokens int
	// Parts are the ids of the parts of the prompt before the request's own; one fixed
	// part if there are none.
	Parts   []string
	Timeout time.Duration
	// Body and BodyBytes are the request's body, {} if there is none.
	Body      io.Reader
	BodyBytes int64
	// LastEventID is the id of the last event received, if the request resumes a
	// stream.
	LastEventID string
}

// requestBody is the body of caller requests without one of their own.
const requestBody = "{}"

// Request encodes a caller's request.
func (c CallerRequest) Request() (*http.Request, error) {
	r, err := http.NewRequest(c.Method, "http://"+c.Address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	// net/http resends a request when the server closes the connection, unless
	// its body cannot be rewound. NopCloser hides the rewind, so that each request
	// id is sent once.
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(requestBody)), int64(len(requestBody))
	if c.Body != nil {
		r.Body, r.ContentLength = io.NopCloser(c.Body), c.BodyBytes
	}
	r.Host = c.Host
	for name, value := range c.header() {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r, nil
}

func (c CallerRequest) header() map[string]string {
	h := map[string]string{
		headerRequestID: c.ID,
		headerLastEvent: c.LastEventID,
	}
	if c.Key != "" {
		h["Authorization"] = "Bearer " + c.Key
	}
	if c.Timeout > 0 {
		h[headerDeadline] = fmt.Sprint(c.Timeout.Milliseconds())
	}
	if c.Model != "" {
		h[headerModel] = c.Model
		h[headerTokens] = fmt.Sprintf("%d,%d", c.PromptTokens, c.OutputTokens)
		h[headerPrefix] = c.prefix()
	}
	return h
}

// prefix returns the parts of the prompt. The shared ones have half of its tokens.
func (c CallerRequest) prefix() string {
	parts := c.Parts
	if len(parts) == 0 {
		parts = []string{"5c1e07a2"}
	}
	text := ""
	for _, part := range parts {
		text += fmt.Sprintf("%s:%d,", part, c.PromptTokens/2/len(parts))
	}
	return text + fmt.Sprintf("%x:%d", c.ID, c.PromptTokens-c.PromptTokens/2)
}

// Curl returns a curl command line that sends the request.
func (c CallerRequest) Curl() string {
	text := fmt.Sprintf("curl -N -X %s http://%s%s -H 'Host: %s'", c.Method, c.Address, c.Path, c.Host)
	for _, name := range []string{headerRequestID, "Authorization", headerModel, headerTokens, headerPrefix, headerDeadline} {
		if value := c.header()[name]; value != "" {
			text += fmt.Sprintf(" -H '%s: %s'", name, value)
		}
	}
	return text
}

// Serve serves a handler on a free port of the loopback interface until release
// is called.
func Serve(h http.Handler) (address string, release func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic("site: serve: " + err.Error())
		}
	}()
	return l.Addr().String(), func() {
		// Close closes the listener even when it returns an error, and there is no
		// state to save.
		_ = srv.Close()
		<-done
	}, nil
}
