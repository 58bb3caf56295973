package model

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// maxBody bounds the body of a request.
const maxBody = 8 << 20

var words = []string{
	"the ", "lane ", "is ", "free ", "from ", "nine ", "until ", "noon ",
	"and ", "a ", "bow ", "can ", "be ", "booked ", "at ", "the ",
	"desk ", "fan ", "wiring ", "check ", "is ", "done ", "on ", "site ",
	"with ", "two ", "notes ", "for ", "each ", "job ", "of ", "today ",
}

// Word returns token n, from 1, of the answer to a prompt. Clients use it to
// check that an answer belongs to their request.
func Word(prompt string, n int64) string {
	return wordAt(xxhash.Sum64String(prompt), n)
}

func wordAt(seed uint64, n int64) string {
	// A multiplicative hash, so that consecutive tokens differ.
	x := (seed + uint64(n)) * 0x9e3779b97f4a7c15
	return words[x>>59]
}

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt string, n int64) string {
	seed := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(wordAt(seed, i+1))
	}
	return b.String()
}

func (e *Engine) newRequest(id string, in engine.Request, chat bool) *request {
	r := &request{
		id:           id,
		model:        in.Model,
		prompt:       in.Prompt,
		chat:         chat,
		prefixes:     engine.Prefixes(in.Model, in.Prompt),
		promptTokens: in.PromptTokens(),
		maxTokens:    in.MaxTokens,
		answerTokens: in.MaxTokens,
	}
	if e.opts.MinAnswer < 1 {
		part := float64(xxhash.Sum64String(in.Prompt)>>11) / (1 << 53)
		part = e.opts.MinAnswer + (1-e.opts.MinAnswer)*part
		r.answerTokens = max(1, int64(part*float64(in.MaxTokens)))
	}
	return r
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "the body is incomplete or too large")
		return
	}
	in, err := engine.DecodeRequest(body)
	if err != nil {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	id := r.Header.Get(reply.RequestID)
	if id == "" {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "X-Request-Id is missing")
		return
	}
	req := e.newRequest(id, in, chat)
	req.rank = priorityRank(r.Header.Get("X-Priority"))
	if ref := e.submit(req, r.Header.Get("X-Adapter")); ref != nil {
		reply.Refuse(w, ref.status, ref.code, ref.message)
		return
	}
	if in.Stream {
		e.stream(w, r, req, 0)
		return
	}
	reason, err := e.follow(r.Context(), req, 0, func(int64, int64) error { return nil })
	if err != nil {
		e.cancel(req)
		return
	}
	if reason == reasonCancelled {
		reply.JSON(w, http.StatusGone, reply.Failure{
			Error: reply.Detail{
				Code:    "cancelled",
				Message: "the request was cancelled",
			},
		})
		return
	}
	reply.JSON(w, http.StatusOK, wholeAnswer(req, reason))
}

// JSON types of a response that is not streamed.
type (
	answer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []choice     `json:"choices"`
		Usage   engine.Usage `json:"usage"`
	}
	choice struct {
		Index        int      `json:"index"`
		Text         string   `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}
	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

func wholeAnswer(r *request, reason string) answer {
	text := Text(r.prompt, r.answerTokens)
	c := choice{FinishReason: reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{
			Role:    "assistant",
			Content: text,
		}
	} else {
		c.Text = text
	}
	return answer{
		ID:      r.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   r.model,
		Choices: []choice{c},
		Usage:   usageOf(r),
	}
}

func usageOf(r *request) engine.Usage {
	return engine.Usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: r.answerTokens,
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "from must be a number")
		return
	}
	e.mu.Lock()
	req, ok := e.requests[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		reply.Refuse(w, http.StatusNotFound, "unknown-stream", "no such stream")
		return
	}
	if from > req.answerTokens {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "the stream has fewer tokens")
		return
	}
	e.stream(w, r, req, from)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	req, ok := e.requests[r.PathValue("id")]
	if ok {
		e.finish(req, reasonCancelled)
	}
	e.mu.Unlock()
	if !ok {
		reply.Refuse(w, http.StatusNotFound, "unknown-stream", "no such stream")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

// stream writes the tokens after token from as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *request, from int64) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	// Send the header now so that the client knows that the request was accepted;
	// the first token may take long.
	if err := rc.Flush(); err != nil {
		return
	}
	f := newFormat(req)
	var buf []byte
	write := func() error {
		if _, err := w.Write(buf); err != nil {
			return err
		}
		buf = buf[:0]
		return rc.Flush()
	}
	reason, err := e.follow(r.Context(), req, from, func(first, last int64) error {
		for n := first; n <= last; n++ {
			buf = f.token(buf, n)
		}
		return write()
	})
	if err != nil {
		return
	}
	if reason == reasonCancelled {
		buf = append(buf, "data: {\"error\":{\"code\":\"cancelled\",\"message\":\"the request was cancelled\"}}\n\n"...)
	} else {
		buf = f.finish(buf, req, reason)
	}
	// A write fails if the client has disconnected; the stream can be resumed.
	_ = write()
}

// eventFormat encodes the events of one stream.
type eventFormat struct {
	seed       uint64
	header     []byte
	textPrefix string
	textSuffix string
}

func newFormat(r *request) *eventFormat {
	object, before, after := "text_completion", `"text":"`, `"`
	if r.chat {
		object, before, after = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	id, _ := json.Marshal(r.id)
	model, _ := json.Marshal(r.model)
	return &eventFormat{
		seed:       xxhash.Sum64String(r.prompt),
		header:     fmt.Appendf(nil, `data: {"id":%s,"object":"%s","created":%d,"model":%s,"choices":[{"index":0,`, id, object, time.Now().Unix(), model),
		textPrefix: before,
		textSuffix: after,
	}
}

func (f *eventFormat) token(buf []byte, n int64) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, n, 10)
	buf = append(buf, '\n')
	buf = append(buf, f.header...)
	buf = append(buf, f.textPrefix...)
	buf = append(buf, wordAt(f.seed, n)...)
	buf = append(buf, f.textSuffix...)
	return append(buf, ",\"finish_reason\":null}]}\n\n"...)
}

func (f *eventFormat) finish(buf []byte, r *request, reason string) []byte {
	u := usageOf(r)
	buf = append(buf, f.header...)
	buf = append(buf, f.textPrefix...)
	buf = append(buf, f.textSuffix...)
	return fmt.Appendf(buf, ",\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		reason, u.PromptTokens, u.CompletionTokens, u.PromptTokens+u.CompletionTokens)
}
