// Package admin is the client for the admin API of a node. Any node can be used
// to operate the whole fleet.
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

// Client sends requests to the admin address of one node. It is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

// maxBody limits the size of a response in bytes. A configuration of the design
// size takes less than 1 MB.
const maxBody = 64 << 20

// New returns a client of the node at server, for example "10.0.0.7:7070" or
// "http://10.0.0.7:7070". If hc is nil, a client with a timeout of 30 s is used.
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

// Applied is the result of an accepted change.
type Applied struct {
	// Revision is the revision that contains the change.
	Revision int64 `json:"revision"`
	// Repeated is set if an earlier attempt had already made the change.
	Repeated bool `json:"repeated,omitempty"`
	// Unspread is set if no other node has confirmed the revision yet. The change
	// is in the log, but if this node fails just before an outage of the store, a
	// withdrawn key can work until the store responds again.
	Unspread bool   `json:"unspread,omitempty"`
	OpID     string `json:"op-id"`
}

// Diffed is the difference between the active configuration and another one.
type Diffed struct {
	Change spec.Change `json:"change"`
	// Findings lists the reasons why the change would be refused.
	Findings spec.Findings `json:"findings,omitempty"`
}

// Status is the state of a node and of the fleet as that node sees it.
type Status struct {
	Node     string `json:"node"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Revision int64  `json:"revision"`
	// ViewAge is the time since the node's configuration was last known to be
	// current.
	ViewAge spec.Duration `json:"view-age"`
	// Confirmed is the revision that every node of every domain is known to have
	// reached.
	Confirmed int64 `json:"confirmed"`
	// Domains is the state of the other domains.
	Domains []DomainStatus `json:"domains,omitempty"`
	// Lines holds further details as sentences.
	Lines []string `json:"lines,omitempty"`
}

// DomainStatus is the last known state of a domain: its highest and lowest
// revision, and the age of this information.
type DomainStatus struct {
	Domain  string        `json:"domain"`
	Highest int64         `json:"highest"`
	Lowest  int64         `json:"lowest"`
	Age     spec.Duration `json:"age"`
}

// NewKey is a key that was added. Only the digest of the secret is stored.
type NewKey struct {
	Applied
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// Query selects what to explain; exactly one field is set.
type Query struct {
	Request   string        `json:"request,omitempty"`
	Workspace string        `json:"workspace,omitempty"`
	Model     string        `json:"model,omitempty"`
	Last      spec.Duration `json:"last,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Findings spec.Findings `json:"findings,omitempty"`
	// Revision is the revision of the change that was accepted first in a conflict.
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

// Config returns the active configuration, including its revision.
func (c *Client) Config(ctx context.Context) (*spec.Config, error) {
	out := new(spec.Config)
	return out, c.do(ctx, http.MethodGet, "/admin/config", nil, out, "")
}

// Diff returns the change from the active configuration to want, and the reasons
// why it would be refused. If want has no list of keys, the keys do not change.
func (c *Client) Diff(ctx context.Context, want *spec.Config) (*Diffed, error) {
	active, err := c.Config(ctx)
	if err != nil {
		return nil, err
	}
	d := &Diffed{Change: spec.Diff(active, want)}
	if d.Change.Empty() {
		return d, nil
	}
	trial := d.Change
	trial.OpID, trial.Author = spec.NewOpID(trial.Base), "diff"
	_, d.Findings = active.Apply(trial)
	return d, nil
}

const (
	// maxAttempts is the number of requests after which Apply gives up on
	// determining an unknown outcome.
	maxAttempts = 3
	retryPause  = 200 * time.Millisecond
)

// Apply makes a change. The error is a *RefusedError, *ConflictError,
// *UnavailableError or *UnknownError. If the response is lost, Apply repeats the
// request to determine the outcome. If that fails too, a later call with the same
// change determines it. The change is made at most once.
func (c *Client) Apply(ctx context.Context, ch spec.Change) (*Applied, error) {
	var unknown *UnknownError
	for try := 0; ; try++ {
		out := new(Applied)
		err := c.do(ctx, http.MethodPost, "/admin/changes", ch, out, ch.OpID)
		var unavailable *UnavailableError
		switch {
		case err == nil:
			return out, nil
		case errors.As(err, &unknown):
		case unknown != nil && errors.As(err, &unavailable):
			// This request changed nothing, but an earlier one may have.
		default:
			return nil, err
		}
		if try+1 == maxAttempts {
			return nil, unknown
		}
		select {
		case <-ctx.Done():
			return nil, unknown
		case <-time.After(retryPause):
		}
	}
}

// KeyRequest holds the parameters of AddKey.
type KeyRequest struct {
	Author    string
	ID        string
	Workspace string
	// OpID and Secret are empty for a new operation. To repeat an operation after
	// an *UnknownError, set them to the values of the NewKey returned with it.
	OpID   string
	Secret string
}

// AddKey adds a key to a workspace and returns its secret. The secret is
// generated by the client, and only its digest is sent. AddKey also returns the
// NewKey with an *UnknownError, so that the operation can be repeated.
func (c *Client) AddKey(ctx context.Context, r KeyRequest) (*NewKey, error) {
	if r.OpID == "" {
		active, err := c.Config(ctx)
		if err != nil {
			return nil, err
		}
		if active.Index().Keys[r.ID] != nil {
			// A put would replace the key, and callers with the old secret would be
			// refused.
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

// WithdrawKey removes a key. The key stops working within 5 s of the response. An
// empty opID starts a new operation; the id in an *UnknownError repeats that
// operation.
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

// Status returns the state of the node and of the fleet as the node sees it.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	out := new(Status)
	return out, c.do(ctx, http.MethodGet, "/admin/status", nil, out, "")
}

// Explain returns sentences that describe what happened and why.
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

// do sends one request. opID is set if the request can change the configuration.
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
		return noResponseError(err, opID)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(data) > maxBody {
		err = errors.New("response is too large")
	}
	if err != nil {
		return noResponseError(err, opID)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return noResponseError(fmt.Errorf("decode response: %w", err), opID)
		}
		return nil
	}
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == "" {
		return noResponseError(fmt.Errorf("status %s", resp.Status), opID)
	}
	return p.err(opID)
}

// noResponseError returns the error for a request without a usable response. If
// the connection could not be established, the request changed nothing.
func noResponseError(err error, opID string) error {
	var opErr *net.OpError
	unsent := errors.As(err, &opErr) && opErr.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
	if opID == "" || unsent {
		return &UnavailableError{Err: err}
	}
	return &UnknownError{OpID: opID, Err: err}
}
