package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/plain"
	"trefoildale.example/trefoildale/pkg/spec"
)

// The targets of section 1 of the design: 95 in 100 requests get the first
// token in time, and 95 in 100 tokens follow within the gap. Deferrable
// requests have only a bound on the first token.
const (
	firstTokenTarget = 1500 * time.Millisecond
	deferrableTarget = 30 * time.Second
	gapTarget        = 48 * time.Millisecond
	slowShare        = 0.05
)

// Record is what a caller saw of one request. Times count from its sending.
type Record struct {
	Arrival *Arrival
	// Sent counts from the start of the warm-up.
	Sent   time.Duration
	Status int
	Code   string
	NotRun bool
	// Served means that the whole answer arrived.
	Served     bool
	FirstToken time.Duration
	Total      time.Duration
	Gaps       []time.Duration
	Tokens     int64
	// Lost is how many tokens of a finished answer are missing or repeated.
	Lost int64
	// Wrong means that a part of the answer is not the answer to the prompt.
	Wrong bool
	// Resent is how often the caller turned to another node.
	Resent int
	Error  string
	// Node is the address of the node that was asked last.
	Node string
}

// onTarget tells whether the request met the target of its class.
func (r *Record) onTarget() bool {
	if !r.Served {
		return false
	}
	if r.Arrival.Class == spec.ClassDeferrable {
		return r.FirstToken <= deferrableTarget
	}
	slow := 0
	for _, g := range r.Gaps {
		if g > gapTarget {
			slow++
		}
	}
	return r.FirstToken <= firstTokenTarget && float64(slow) <= slowShare*float64(len(r.Gaps))
}

// caller sends requests to entry nodes.
type caller struct {
	client *http.Client
	// target returns the address of a ready node, another one for each try.
	target func(a *Arrival, try int) string
	keys   map[string]string
}

func newCaller(target func(*Arrival, int) string, keys map[string]string) (*caller, func()) {
	t := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
	return &caller{
		client: &http.Client{Transport: t},
		target: target,
		keys:   keys,
	}, t.CloseIdleConnections
}

// tries is how many nodes a caller turns to while connections break.
const tries = 3

func (c *caller) do(ctx context.Context, a *Arrival) Record {
	r := Record{Arrival: a}
	sent := time.Now()
	for try := range tries {
		r.Resent = try
		r.Node = c.target(a, try)
		var err error
		if a.Path != "" {
			err = c.call(ctx, a, &r, sent, try)
		} else {
			err = c.complete(ctx, a, &r, sent, try)
		}
		r.Error = ""
		if err != nil {
			r.Error = err.Error()
		}
		if err == nil || ctx.Err() != nil || r.Status != 0 {
			break
		}
	}
	r.Total = time.Since(sent)
	return r
}

func (c *caller) request(ctx context.Context, a *Arrival, method, path string, body []byte, try int) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.target(a, try)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key := c.keys[a.Workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if c.keys == nil {
		// An engine wants the id that an entry node would send.
		req.Header.Set("X-Request-Id", a.ID)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Priority", string(a.Class))
	return c.client.Do(req)
}

// failure reads an error response.
func failure(res *http.Response, r *Record) error {
	var body struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not-run"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	r.Code, r.NotRun = body.Error.Code, body.Error.NotRun
	if err != nil {
		return fmt.Errorf("read error response: %w", err)
	}
	return nil
}

func (c *caller) complete(ctx context.Context, a *Arrival, r *Record, sent time.Time, try int) error {
	prompt := a.Prompt()
	name := a.Model
	if a.Adapter != "" {
		name = a.Adapter
	}
	body, err := json.Marshal(map[string]any{
		"model":      name,
		"prompt":     prompt,
		"max_tokens": a.OutputTokens,
		"stream":     !a.Whole,
	})
	if err != nil {
		return err
	}
	res, err := c.request(ctx, a, http.MethodPost, "/v1/completions", body, try)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	r.Status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		return failure(res, r)
	}
	if a.Whole {
		return whole(res.Body, a, prompt, r, sent)
	}
	return stream(res.Body, a, prompt, r, sent)
}

// chunk is what the load reads of an event or of a whole answer.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not-run"`
	} `json:"error"`
}

func whole(body io.Reader, a *Arrival, prompt string, r *Record, sent time.Time) error {
	var in chunk
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	// A caller of a whole answer sees its first token with all others.
	r.FirstToken = time.Since(sent)
	if len(in.Choices) != 1 || in.Usage == nil {
		return errors.New("read answer: no choice or no usage")
	}
	r.Tokens = in.Usage.CompletionTokens
	r.Lost = a.OutputTokens - r.Tokens
	r.Wrong = in.Choices[0].Text != model.Text(prompt, a.OutputTokens)
	r.Served = true
	return nil
}

var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

// stream reads the events of an answer and compares each token.
func stream(body io.Reader, a *Arrival, prompt string, r *Record, sent time.Time) error {
	in := bufio.NewReaderSize(body, 4096)
	var last time.Time
	token, done, usage := int64(0), false, int64(-1)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && done {
				break
			}
			return fmt.Errorf("stream ended after %d of %d tokens: %w", r.Tokens, a.OutputTokens, err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idField); ok {
			token, _ = strconv.ParseInt(string(id), 10, 64)
			continue
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneData) {
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("read event: %w", err)
		}
		if c.Error != nil {
			r.Code, r.NotRun = c.Error.Code, c.Error.NotRun
			return fmt.Errorf("stream ended after %d of %d tokens: %s", r.Tokens, a.OutputTokens, c.Error.Code)
		}
		if c.Usage != nil {
			usage = c.Usage.CompletionTokens
		}
		if token == 0 {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.FirstToken = now.Sub(sent)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		r.Tokens++
		if token != r.Tokens {
			r.Lost++
		}
		if len(c.Choices) != 1 || c.Choices[0].Text != model.Word(prompt, token) {
			r.Wrong = true
		}
		token = 0
	}
	if r.Tokens != a.OutputTokens || usage != a.OutputTokens {
		r.Lost += max(1, a.OutputTokens-r.Tokens)
	}
	r.Served = true
	return nil
}

// call books, repeats the booking where the arrival says so, and reads it back.
func (c *caller) call(ctx context.Context, a *Arrival, r *Record, sent time.Time, try int) error {
	body := fmt.Appendf(nil, `{"booking":%q}`, a.ID)
	booked, err := c.book(ctx, a, r, body, try)
	if err != nil {
		return err
	}
	r.FirstToken = time.Since(sent)
	r.Served = r.Status < http.StatusMultipleChoices
	if a.Repeat {
		// What a repeat answers depends on the state of the first call. Whether
		// the service ran twice is checked at the services.
		var again Record
		if _, err := c.book(ctx, a, &again, body, try+1); err != nil && again.Status == 0 {
			return err
		}
	}
	if !r.Served || !a.Read || booked.Location == "" {
		return nil
	}
	res, err := c.request(ctx, a, http.MethodGet, booked.Location, nil, try+1)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil
	}
	var read plain.Result
	if err := json.NewDecoder(res.Body).Decode(&read); err != nil {
		return fmt.Errorf("read booking: %w", err)
	}
	// Each stand-in stores its own bookings; another one has no such booking,
	// or a different one under the same number.
	if read.Service == booked.Service && !bytes.Equal(bytes.TrimSpace(read.Body), body) {
		r.Wrong = true
	}
	return nil
}

func (c *caller) book(ctx context.Context, a *Arrival, r *Record, body []byte, try int) (plain.Result, error) {
	var out plain.Result
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target(a, try)+a.Path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+c.keys[a.Workspace])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", a.Key)
	res, err := c.client.Do(req)
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	r.Status = res.StatusCode
	if res.StatusCode >= http.StatusMultipleChoices {
		return out, failure(res, r)
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("read booking: %w", err)
	}
	if !strings.HasPrefix(out.Location, strings.TrimSuffix(a.Path, "/")) {
		r.Wrong = true
	}
	return out, nil
}
