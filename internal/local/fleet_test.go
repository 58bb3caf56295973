package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/pkg/spec"
)

// testConfig returns a configuration with a model service, a booking service and
// an open notice service, each with one endpoint in every domain.
func testConfig(domains int, workspaces ...spec.Workspace) *spec.Config {
	c := spec.New()
	c.Services = []spec.Service{
		{
			Name: "assistant",
			Kind: spec.KindModel,
		},
		{
			Name:   "booking",
			Kind:   spec.KindPlain,
			Prefix: "/booking/",
			Methods: []spec.Method{
				{
					Method:     "GET",
					Path:       "*",
					Repeatable: true,
				},
				{
					Method: "POST",
					Path:   "*",
				},
			},
		},
		{
			Name:   "notice",
			Kind:   spec.KindPlain,
			Prefix: "/notice/",
			Open:   true,
			Methods: []spec.Method{{
				Method:     "GET",
				Path:       "*",
				Repeatable: true,
			}},
		},
	}
	c.Models = []spec.Model{{
		Name:             "lane-rules",
		Service:          "assistant",
		Version:          "1",
		MemoryMiB:        4000,
		MaxContextTokens: 8192,
		OnDemand:         spec.Duration(30 * time.Second),
	}}
	for i := range domains {
		domain := fmt.Sprintf("d%d", i+1)
		c.Domains = append(c.Domains, spec.Domain{
			Name:   domain,
			Region: "r",
		})
		for j, service := range []string{"assistant", "booking", "notice"} {
			e := spec.Endpoint{
				Name:    service + "-" + domain,
				Service: service,
				Domain:  domain,
				// Start replaces the address.
				Address: fmt.Sprintf("127.0.0.1:%d", 1+10*i+j),
			}
			if service == "assistant" {
				e.MemoryMiB = 20_000
				e.Fencing = true
				e.Speed = 1
			}
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	if len(workspaces) == 0 {
		workspaces = []spec.Workspace{{
			Name:                "club",
			RateTokensPerSecond: 100_000,
			BurstTokens:         100_000,
			Weight:              1,
		}}
	}
	c.Workspaces = workspaces
	return c
}

// testFleet starts a fleet, creates a key for each workspace and waits until
// every node accepts every key.
func testFleet(t *testing.T, opts Options) (*Fleet, map[string]string) {
	t.Helper()
	if opts.Engine.Speed == 0 {
		opts.Engine = fastEngine()
	}
	opts.Weights.LoadsPerSecond = 20
	f, stop, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	keys := make(map[string]string)
	for _, w := range opts.Config.Workspaces {
		secret, err := f.AddKey(t.Context(), "key-"+w.Name, w.Name)
		if err != nil {
			t.Fatal(err)
		}
		keys[w.Name] = secret
	}
	for i := range f.Nodes {
		for name := range keys {
			eventually(t, 20*time.Second, func() error {
				a := complete(t, f, i, keys[name], 4)
				if a.status != http.StatusOK {
					return fmt.Errorf("node %d: status %d: %s", i, a.status, a.body)
				}
				return nil
			})
		}
	}
	return f, keys
}

// fastEngine returns settings for engines that answer without the delays of a
// real one, to keep the tests short.
func fastEngine() model.Options {
	return model.Options{
		Speed:       20_000,
		StreamSpeed: 2000,
	}
}

type answer struct {
	status int
	body   string
	code   string
	notRun bool
	header http.Header
}

// do sends one request to a node.
func do(t *testing.T, f *Fleet, node int, method, path, key, body string, headers ...string) answer {
	t.Helper()
	return doAt(t, f.Nodes[node].CallersAddr, method, path, key, body, headers...)
}

// doAt sends one request to an address. Tests that add nodes concurrently use it,
// since it does not read the list of nodes.
func doAt(t *testing.T, address, method, path, key, body string, headers ...string) answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{
			body: err.Error(),
		}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a := answer{
		status: res.StatusCode,
		body:   string(data),
		header: res.Header,
	}
	if err != nil {
		a.status = 0
		a.body = err.Error()
	}
	var p struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not-run"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &p) == nil {
		a.code, a.notRun = p.Error.Code, p.Error.NotRun
	}
	return a
}

// complete requests a completion of a one-token prompt with at most the given
// number of output tokens.
func complete(t *testing.T, f *Fleet, node int, key string, tokens int) answer {
	t.Helper()
	return do(t, f, node, http.MethodPost, "/v1/completions", key,
		fmt.Sprintf(`{"model":"lane-rules","prompt":"x","max_tokens":%d}`, tokens))
}

// eventually repeats a check until it passes, and fails the test when the limit
// is exceeded.
func eventually(t *testing.T, limit time.Duration, check func() error) {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after %s: %v", limit, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
