// Package admin is the operators' client of a node. Every node answers for the
// whole fleet.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Client talks to the admin address of one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// maxBody bounds a response. A configuration of the design size has less than 1 MB.
const maxBody = 64 << 20

// New returns a client of the node at server, for example "10.0.0.7:7070" or
// "http://10.0.0.7:7070". A nil hc stands for a client with a timeout of 30 s.
func New(server string, hc *http.Client) (*Client, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("admin: %q is not the address of a node", server)
	}
	if hc == nil {
		hc = &http.Client{Timeout: 30 * time.Second}
	}
	return &Client{base: strings.TrimSuffix(u.String(), "/"), http: hc}, nil
}

// Applied is the outcome of an accepted change.
type Applied struct {
	// Revision is the one that holds the change.
	Revision int64 `json:"revision"`
	// Repeated is set when an earlier attempt had already made the change.
	Repeated bool `json:"repeated,omitempty"`
	// Unspread is set when no other nodes have confirmed the revision yet. It is
	// in the log, but if this node is lost just before an outage of the store, a
	// withdrawn key can work until the store responds again.
	Unspread bool   `json:"unspread,omitempty"`
	OpID     string `json:"op-id"`
}

// Diffed is the difference between a configuration and the active one.
type Diffed struct {
	Change spec.Change `json:"change"`
	// Findings tell why the change would be refused.
	Findings spec.Findings `json:"findings,omitempty"`
}

// Status is what a node knows of itself and the fleet.
type Status struct {
	Node     string `json:"node"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Revision int64  `json:"revision"`
	// ViewAge is how long ago the node's configuration was known to be current.
	ViewAge spec.Duration `json:"view-age"`
	// Confirmed is the revision that every node of every domain holds at least.
	Confirmed int64 `json:"confirmed"`
	// Domains are the other domains as the node knows them.
	Domains []DomainStatus `json:"domains,omitempty"`
	// Lines are further statements in plain language.
	Lines []string `json:"lines,omitempty"`
}

// DomainStatus is what a node knows of a domain.
type DomainStatus struct {
	Domain  string        `json:"domain"`
	Highest int64         `json:"highest"`
	Lowest  int64         `json:"lowest"`
	Age     spec.Duration `json:"age"`
}

// NewKey is a key that was added. The secret is not stored anywhere.
type NewKey struct {
	Applied
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// Query says what to explain; exactly one field is set.
type Query struct {
	Request   string        `json:"request,omitempty"`
	Workspace string        `json:"workspace,omitempty"`
	Model     string        `json:"model,omitempty"`
	Last      spec.Duration `json:"last,omitempty"`
}

// Problem is the body of a response that is not a success.
type Problem struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Findings spec.Findings `json:"findings,omitempty"`
	// Revision is the one that won a conflict.
	Revision int64  `json:"revision,omitempty"`
	OpID     string `json:"op-id,omitempty"`
}

// The codes of a Problem.
const (
	CodeInvalid     = "invalid"
	CodeRefused     = "refused"
	CodeConflict    = "conflict"
	CodeNotFound    = "not-found"
	CodeUnavailable = "unavailable"
	CodeUnknown     = "unknown-outcome"
	CodeInternal    = "internal"
)

// Config returns the active configuration with its revision.
func (c *Client) Config(ctx context.Context) (*spec.Config, error) {
	out := new(spec.Config)
	return out, c.do(ctx, http.MethodGet, "/admin/config", nil, out, "")
}

// Diff returns the change from the active configuration to the given one, and
// why it would be refused. Keys are left as they are where want has none.
func (c *Client) Diff(ctx context.Context, want *spec.Config) (*Diffed, error) {
	active, err := c.Config(ctx)
	if err != nil {
		return nil, err
	}
	d := &Diffed{Change: spec.Diff(active, want)}
	if d.Change.Empty() {
		return d, nil
	}
	tried := d.Change
	tried.OpID, tried.Author = spec.NewOpID(tried.Base), "diff"
	_, d.Findings = active.Apply(tried)
	return d, nil
}

const (
	// settleTries bounds the requests with which Apply settles a lost answer.
	settleTries = 3
	settlePause = 200 * time.Millisecond
)

// Apply makes a change. The error is a *RefusedError, *ConflictError,
// *UnavailableError or *UnknownError. A lost answer is settled by repeating the
// request; where that fails too, Apply with the same change settles it later.
// The change is made at most once.
func (c *Client) Apply(ctx context.Context, ch spec.Change) (*Applied, error) {
	var unsettled *UnknownError
	for try := 0; ; try++ {
		out := new(Applied)
		err := c.do(ctx, http.MethodPost, "/admin/changes", ch, out, ch.OpID)
		var unavailable *UnavailableError
		switch {
		case err == nil:
			return out, nil
		case errors.As(err, &unsettled):
		case unsettled != nil && errors.As(err, &unavailable):
			// This request changed nothing, an earlier one may have.
		default:
			return nil, err
		}
		if try+1 == settleTries {
			return nil, unsettled
		}
		select {
		case <-ctx.Done():
			return nil, unsettled
		case <-time.After(settlePause):
		}
	}
}

// KeyRequest asks for a key to be added.
type KeyRequest struct {
	Author    string
	ID        string
	Workspace string
	// OpID and Secret are empty for a new operation. After an *UnknownError they
	// are those of the NewKey returned with it.
	OpID   string
	Secret string
}

// AddKey adds a key of a workspace and returns its secret. The secret is made
// here; only its digest is sent. With an *UnknownError the NewKey is returned
// too, so that the operation can be repeated.
func (c *Client) AddKey(ctx context.Context, r KeyRequest) (*NewKey, error) {
	if r.OpID == "" {
		active, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		if active.Index().Keys[r.ID] != nil {
			// A put would replace it, and its holders would be cut off.
			return nil, &RefusedError{Problem: Problem{
				Code:    CodeRefused,
				Message: "key " + r.ID + " exists already",
			}}
		}
		r.OpID = spec.NewOpID(active.Revision)
	}
	base, err := spec.BaseOf(r.OpID)
	if err != nil {
		return nil, err
	}
	if r.Secret == "" {
		r.Secret, _ = keys.Generate()
	}
	out := &NewKey{Applied: Applied{OpID: r.OpID}, ID: r.ID, Secret: r.Secret}
	applied, err := c.Apply(ctx, spec.Change{
		OpID:   r.OpID,
		Author: r.Author,
		Base:   base,
		Puts:   []spec.Item{{Key: &spec.Key{ID: r.ID, Workspace: r.Workspace, Digest: spec.Digest(r.Secret)}}},
	})
	var unknown *UnknownError
	switch {
	case errors.As(err, &unknown):
		return out, err
	case err != nil:
		return nil, err
	}
	out.Applied = *applied
	return out, nil
}

// WithdrawKey removes a key. It stops working within 5 s of the answer. An empty
// opID starts a new operation; after an *UnknownError the id in it repeats the
// same one.
func (c *Client) WithdrawKey(ctx context.Context, author, id, opID string) (*Applied, error) {
	if opID == "" {
		active, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		opID = spec.NewOpID(active.Revision)
	}
	base, err := spec.BaseOf(opID)
	if err != nil {
		return nil, err
	}
	return c.Apply(ctx, spec.Change{
		OpID:    opID,
		Author:  author,
		Base:    base,
		Deletes: []spec.Ref{{Kind: spec.KindOfKey, Name: id}},
	})
}

// Status returns what the node knows of itself and the fleet.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	out := new(Status)
	return out, c.do(ctx, http.MethodGet, "/admin/status", nil, out, "")
}

// Explain returns sentences that tell what happened and why.
func (c *Client) Explain(ctx context.Context, q Query) ([]string, error) {
	v := url.Values{}
	for name, value := range map[string]string{"request": q.Request, "workspace": q.Workspace, "model": q.Model} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.Last != 0 {
		v.Set("last", time.Duration(q.Last).String())
	}
	var out struct {
		Sentences []string `json:"sentences"`
	}
	err := c.do(ctx, http.MethodGet, "/admin/explain?"+v.Encode(), nil, &out, "")
	return out.Sentences, err
}

// do sends one request. opID is set when the request may change something.
func (c *Client) do(ctx context.Context, method, path string, in, out any, opID string) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("admin: encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("admin: %s %s: %w", method, path, err)
	}
	req.Header.Set("Accept", "application/json")
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lost(err, opID)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(data) > maxBody {
		err = errors.New("response is too large")
	}
	if err != nil {
		return lost(err, opID)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return lost(fmt.Errorf("decode response: %w", err), opID)
		}
		return nil
	}
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == "" {
		return lost(fmt.Errorf("status %s", resp.Status), opID)
	}
	return p.err(opID)
}

// lost returns the error for a request without a usable response. A connection
// that was never made proves that a change was not made by it.
func lost(err error, opID string) error {
	var dial *net.OpError
	unsent := errors.As(err, &dial) && dial.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
	if opID == "" || unsent {
		return &UnavailableError{Err: err}
	}
	return &UnknownError{OpID: opID, Err: err}
}
