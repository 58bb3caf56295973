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

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/fake/plain"
	"trefoildale.example/trefoildale/pkg/spec"
)

// The latency targets of the design, section 1: 95 % of the requests meet the
// target of their class, that is, the first token arrives in time and at least
// 95 % of the other tokens within gapTarget of the one before. Deferrable requests
// have a target for the first token only.
const (
	firstTokenTarget = 1500 * time.Millisecond
	deferrableTarget = 30 * time.Second
	gapTarget        = 48 * time.Millisecond
	slowShare        = 0.05
)

// Record is the outcome of one request as its caller saw it. Durations start when
// the request is sent.
type Record struct {
	Arrival *Arrival
	// Sent is the time since the start of the warm-up.
	Sent   time.Duration
	Status int
	Code   string
	NotRun bool
	// Served is set if the whole answer arrived.
	Served     bool
	FirstToken time.Duration
	Total      time.Duration
	Gaps       []time.Duration
	Tokens     int64
	// LostTokens is the number of tokens that are missing from or repeated in a
	// finished answer.
	LostTokens int64
	// WrongAnswer is set if a part of the answer does not belong to the prompt
	// or the booking.
	WrongAnswer bool
	// Retries is how often the caller sent the request again, to another node.
	Retries int
	Error   string
	// Node is the address of the node that was called last.
	Node string
}

// metTarget reports whether the request met the target of its class.
func (r *Record) metTarget() bool {
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

// caller sends requests to entry nodes, or directly to engines if keys is nil.
type caller struct {
	client *http.Client
	// pickAddress returns the address for an attempt; later attempts get other
	// nodes where there are any.
	pickAddress func(a *Arrival, try int) string
	keys        map[string]string
}

func newCaller(pickAddress func(*Arrival, int) string, keys map[string]string) (*caller, func()) {
	t := &http.Transport{
		DialContext:         conn.Judged(nil),
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
	return &caller{
		client:      &http.Client{Transport: t},
		pickAddress: pickAddress,
		keys:        keys,
	}, t.CloseIdleConnections
}

// maxAttempts is the number of attempts after which a caller gives up on a request
// that gets no response.
const maxAttempts = 3

func (c *caller) do(ctx context.Context, a *Arrival) Record {
	r := Record{Arrival: a}
	sent := time.Now()
	for try := range maxAttempts {
		r.Retries = try
		r.Node = c.pickAddress(a, try)
		var err error
		if a.Path != "" {
			err = c.callService(ctx, a, &r, sent, try)
		} else {
			err = c.requestCompletion(ctx, a, &r, sent, try)
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.pickAddress(a, try)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key := c.keys[a.Workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if c.keys == nil {
		// Engines expect the request ID that an entry node would send.
		req.Header.Set("X-Request-Id", a.ID)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Priority", string(a.Class))
	return c.client.Do(req)
}

// readError reads the code of an error response.
func readError(res *http.Response, r *Record) error {
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

func (c *caller) requestCompletion(ctx context.Context, a *Arrival, r *Record, sent time.Time, try int) error {
	prompt := a.Prompt()
	name := a.Model
	if a.Adapter != "" {
		name = a.Adapter
	}
	body, err := json.Marshal(map[string]any{
		"model":      name,
		"prompt":     prompt,
		"max_tokens": a.OutputTokens,
		"stream":     !a.NonStreaming,
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
		return readError(res, r)
	}
	if a.NonStreaming {
		return readWhole(res.Body, a, prompt, r, sent)
	}
	return readStream(res.Body, a, prompt, r, sent)
}

// chunk holds the fields that are read from an event or from a whole answer.
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

// readWhole reads an answer that is not streamed and compares it with the
// expected one.
func readWhole(body io.Reader, a *Arrival, prompt string, r *Record, sent time.Time) error {
	var in chunk
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	// Without streaming, the first token arrives with all others.
	r.FirstToken = time.Since(sent)
	if len(in.Choices) != 1 || in.Usage == nil {
		return errors.New("read answer: no choice or no usage")
	}
	r.Tokens = in.Usage.CompletionTokens
	r.LostTokens = a.OutputTokens - r.Tokens
	r.WrongAnswer = in.Choices[0].Text != model.Text(prompt, a.OutputTokens)
	r.Served = true
	return nil
}

var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

// readStream reads the events of a streamed answer and compares each token with
// the expected one.
func readStream(body io.Reader, a *Arrival, prompt string, r *Record, sent time.Time) error {
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
			r.LostTokens++
		}
		if len(c.Choices) != 1 || c.Choices[0].Text != model.Word(prompt, token) {
			r.WrongAnswer = true
		}
		token = 0
	}
	if r.Tokens != a.OutputTokens || usage != a.OutputTokens {
		r.LostTokens += max(1, a.OutputTokens-r.Tokens)
	}
	r.Served = true
	return nil
}

// callService creates a booking, repeats it with the same key if the arrival says
// so, and reads it back.
func (c *caller) callService(ctx context.Context, a *Arrival, r *Record, sent time.Time, try int) error {
	body := fmt.Appendf(nil, `{"booking":%q}`, a.ID)
	booked, err := c.book(ctx, a, r, body, try)
	if err != nil {
		return err
	}
	r.FirstToken = time.Since(sent)
	r.Served = r.Status < http.StatusMultipleChoices
	if a.Repeat {
		// The answer to a repeat depends on the state of the first call, so it is
		// not checked here. readStandIns checks that the service ran only once.
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
	// Each stand-in stores its own bookings. Another one has no booking at this
	// location, or a different one.
	if read.Service == booked.Service && !bytes.Equal(bytes.TrimSpace(read.Body), body) {
		r.WrongAnswer = true
	}
	return nil
}

func (c *caller) book(ctx context.Context, a *Arrival, r *Record, body []byte, try int) (plain.Result, error) {
	var out plain.Result
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.pickAddress(a, try)+a.Path, bytes.NewReader(body))
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
		return out, readError(res, r)
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("read booking: %w", err)
	}
	if !strings.HasPrefix(out.Location, strings.TrimSuffix(a.Path, "/")) {
		r.WrongAnswer = true
	}
	return out, nil
}
