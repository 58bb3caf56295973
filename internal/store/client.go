package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"trefoildale.example/trefoildale/internal/conn"
)

// MaxResponseSize is the maximum size of a response in bytes. A snapshot object
// at the design size is below 4 MiB.
const MaxResponseSize = 64 << 20

// WriteRequest is the body of a write to the table. Value is empty for a delete,
// Version for an insert.
type WriteRequest struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version,omitempty"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		// NotRun means that the request had no effect.
		NotRun bool `json:"not-run"`
	} `json:"error"`
}

// The codes of an ErrorResponse that the client maps to errors of their own.
const (
	CodeAbsent   = "absent"
	CodeConflict = "conflict"
)

// Client is an HTTP client of the platform. It implements Table and VMs; its
// method Objects returns the implementation of Objects.
//
// The protocol is JSON, except for the values of objects:
//
//	GET  /table/row?key=K                      a Row
//	GET  /table/scan?prefix=P&after=K&limit=N  a list of Row
//	POST /table/insert                         a WriteRequest; the Row without its value
//	POST /table/update                         the same, with the version to replace
//	POST /table/delete                         the same, with the version to delete
//	GET  /objects?key=K                        the value
//	PUT  /objects?key=K                        the value
//	GET  /vms                                  a list of VM
//
// A successful response has status 200; any other one has an ErrorResponse as its
// body. Each response echoes X-Request-Id.
type Client struct {
	base      string
	transport *conn.Transport
	seq       atomic.Uint64
}

var (
	_ Table   = (*Client)(nil)
	_ VMs     = (*Client)(nil)
	_ Objects = objects{}
)

// NewClient returns a Client of the platform at baseURL, for example
// "http://10.0.0.1:7000", and a function that releases its connections.
func NewClient(baseURL string) (*Client, func()) {
	return NewClientDial(baseURL, nil)
}

// NewClientDial is like NewClient, but the Client opens its connections with dial.
func NewClientDial(baseURL string, dial conn.Dial) (*Client, func()) {
	t, release := conn.NewTransport(conn.Options{
		Dial: dial,
	})
	return &Client{
		base:      strings.TrimSuffix(baseURL, "/"),
		transport: t,
	}, release
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	body, err := c.read(ctx, "get row", "/table/row?"+url.Values{"key": {key}}.Encode())
	if err != nil {
		return Row{}, err
	}
	row, err := decodeRow(body, key)
	if err != nil {
		return Row{}, fmt.Errorf("get row: %w: %w", ErrUnavailable, err)
	}
	return row, nil
}

// Insert implements Table.
func (c *Client) Insert(ctx context.Context, key string, value []byte) (Row, error) {
	return c.write(ctx, "insert row", "/table/insert", WriteRequest{
		Key:   key,
		Value: value,
	})
}

// Update implements Table.
func (c *Client) Update(ctx context.Context, key string, value []byte, version int64) (Row, error) {
	return c.write(ctx, "update row", "/table/update", WriteRequest{
		Key:     key,
		Value:   value,
		Version: version,
	})
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.write(ctx, "delete row", "/table/delete", WriteRequest{
		Key:     key,
		Version: version,
	})
	return err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	body, err := c.read(ctx, "scan rows", "/table/scan?"+q.Encode())
	if err != nil {
		return nil, err
	}
	rows, err := decodeRows(body, prefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("scan rows: %w: %w", ErrUnavailable, err)
	}
	return rows, nil
}

// List implements VMs.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	body, err := c.read(ctx, "list VMs", "/vms")
	if err != nil {
		return nil, err
	}
	vms, err := decodeVMs(body)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w: %w", ErrUnavailable, err)
	}
	return vms, nil
}

// Objects returns the object store of the same platform.
func (c *Client) Objects() Objects {
	return objects{c: c}
}

type objects struct {
	c *Client
}

// Put implements Objects.
func (o objects) Put(ctx context.Context, key string, value []byte) error {
	_, err := o.c.call(ctx, "put object", http.MethodPut, objectPath(key), value)
	return err
}

// Get implements Objects.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.c.read(ctx, "get object", objectPath(key))
}

func objectPath(key string) string {
	return "/objects?" + url.Values{"key": {key}}.Encode()
}

// read sends a GET request. It has no effect, so that a failure with an unclear
// outcome is ErrUnavailable instead of ErrUnknown.
func (c *Client) read(ctx context.Context, op, path string) ([]byte, error) {
	return c.call(ctx, op, http.MethodGet, path, nil)
}

func (c *Client) write(ctx context.Context, op, path string, w WriteRequest) (Row, error) {
	sent, err := json.Marshal(w)
	if err != nil {
		return Row{}, fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
	}
	body, err := c.call(ctx, op, http.MethodPost, path, sent)
	if err != nil {
		return Row{}, err
	}
	row, err := decodeRow(body, w.Key)
	if err != nil {
		return Row{}, fmt.Errorf("%s: %w: %w", op, ErrUnknown, err)
	}
	if row.Version < w.Version {
		return Row{}, fmt.Errorf("%s: %w: version %d follows %d", op, ErrUnknown, row.Version, w.Version)
	}
	row.Value = w.Value
	return row, nil
}

// call sends one request and returns the body of a successful response. A failure
// is ErrUnavailable only if the request had no effect: it is a read, no byte of it
// was sent, or the response says so.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte) ([]byte, error) {
	ambiguousErr := ErrUnknown
	if method == http.MethodGet {
		ambiguousErr = ErrUnavailable
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
	}
	id := strconv.FormatUint(c.seq.Add(1), 36)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.transport.Send(req, body)
	if err != nil {
		var notSent *conn.NotSentError
		if errors.As(err, &notSent) {
			ambiguousErr = ErrUnavailable
		}
		return nil, fmt.Errorf("%s: %w: %w", op, ambiguousErr, err)
	}
	defer res.Body.Close()
	resBody, err := io.ReadAll(io.LimitReader(res.Body, MaxResponseSize+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: read response: %w", op, ambiguousErr, err)
	}
	if len(resBody) > MaxResponseSize {
		return nil, fmt.Errorf("%s: %w: response larger than %d bytes", op, ambiguousErr, MaxResponseSize)
	}
	if got := res.Header.Get("X-Request-Id"); got != id {
		return nil, fmt.Errorf("%s: %w: response to request %q instead of %q", op, ambiguousErr, got, id)
	}
	if res.StatusCode == http.StatusOK {
		return resBody, nil
	}
	return nil, fmt.Errorf("%s: %w", op, parseErrorResponse(res.StatusCode, resBody, ambiguousErr))
}

// parseErrorResponse maps an error response to an error of this package.
func parseErrorResponse(status int, body []byte, ambiguousErr error) error {
	var res ErrorResponse
	if err := json.Unmarshal(body, &res); err != nil {
		return fmt.Errorf("%w: status %d: %w", ambiguousErr, status, err)
	}
	switch {
	case status == http.StatusNotFound && res.Error.Code == CodeAbsent:
		return ErrNotFound
	case status == http.StatusConflict && res.Error.Code == CodeConflict:
		return ErrConflict
	case res.Error.NotRun:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, res.Error.Message)
	default:
		return fmt.Errorf("%w: status %d: %s", ambiguousErr, status, res.Error.Message)
	}
}

func decodeRow(body []byte, key string) (Row, error) {
	var row Row
	if err := decodeStrict(body, &row); err != nil {
		return Row{}, err
	}
	if row.Key != key {
		return Row{}, fmt.Errorf("response has row %q instead of %q", row.Key, key)
	}
	if row.Version < 1 {
		return Row{}, fmt.Errorf("row %q has version %d", row.Key, row.Version)
	}
	return row, nil
}

func decodeRows(body []byte, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	if err := decodeStrict(body, &rows); err != nil {
		return nil, err
	}
	if len(rows) > limit {
		return nil, fmt.Errorf("response has %d rows, at most %d were requested", len(rows), limit)
	}
	last := after
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, prefix) || r.Key <= last || r.Version < 1 {
			return nil, fmt.Errorf("row %q at version %d does not follow %q", r.Key, r.Version, last)
		}
		last = r.Key
	}
	return rows, nil
}

func decodeVMs(body []byte) ([]VM, error) {
	var vms []VM
	if err := decodeStrict(body, &vms); err != nil {
		return nil, err
	}
	for _, v := range vms {
		if v.Name == "" {
			return nil, errors.New("VM without a name")
		}
	}
	return vms, nil
}

// decodeStrict decodes a JSON body and rejects trailing bytes and a null value,
// which a corrupted response can contain.
func decodeStrict(body []byte, v any) error {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return errors.New("response is null")
	}
	return json.Unmarshal(body, v)
}
