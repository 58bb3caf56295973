package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"trefoildale.example/trefoildale/internal/fake/reply"
)

// Client manages the faults of a simulated server in another process.
type Client struct {
	// URL is the server's base URL, without a trailing slash.
	URL string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
}

// Add activates a fault.
func (c Client) Add(ctx context.Context, f Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("add fault: %w", err)
	}
	if _, err := c.call(ctx, http.MethodPost, "", body); err != nil {
		return fmt.Errorf("add fault %s: %w", f.Kind, err)
	}
	return nil
}

// Clear removes the faults of a kind, or all if kind is empty.
func (c Client) Clear(ctx context.Context, kind Kind) error {
	if _, err := c.call(ctx, http.MethodDelete, url.PathEscape(string(kind)), nil); err != nil {
		return fmt.Errorf("clear faults: %w", err)
	}
	return nil
}

// List returns the faults that have not been cleared, also those whose Count is
// used up.
func (c Client) List(ctx context.Context) ([]Fault, error) {
	faults, err := c.call(ctx, http.MethodGet, "", nil)
	if err != nil {
		return nil, fmt.Errorf("list faults: %w", err)
	}
	return faults, nil
}

func (c Client) call(ctx context.Context, method, name string, body []byte) ([]Fault, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+"/faults/"+name, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		var f reply.Failure
		if err := json.Unmarshal(answer, &f); err != nil {
			return nil, fmt.Errorf("status %d: %w", res.StatusCode, err)
		}
		return nil, fmt.Errorf("status %d: %s", res.StatusCode, f.Error.Message)
	}
	var faults []Fault
	if err := json.Unmarshal(answer, &faults); err != nil {
		return nil, err
	}
	return faults, nil
}
