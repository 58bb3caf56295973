package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the output limit of a request that does not set one.
const DefaultMaxTokens = 16

// Request is the decoded body of a completion or chat completion request.
type Request struct {
	Model     string
	Stream    bool
	MaxTokens int64
	// Prompt is the prompt, or the concatenated roles and contents of the
	// messages.
	Prompt string
	// PromptBytes is the size of the prompt, or of the contents of the messages
	// without their roles.
	PromptBytes int
}

// PromptTokens estimates the size of the prompt in tokens.
func (r Request) PromptTokens() int64 {
	return CountTokens(r.PromptBytes)
}

// CountTokens estimates the number of tokens of a text from its size in bytes:
// one token per four bytes, rounded up, and at least one. It needs no tokenizer.
func CountTokens(size int) int64 {
	return max(1, int64(size+3)/4)
}

// DecodeRequest decodes the body of a completion request. Both forms, a prompt
// and a list of messages, are accepted on either path.
func DecodeRequest(body []byte) (Request, error) {
	var raw struct {
		Model               string          `json:"model"`
		Stream              bool            `json:"stream"`
		MaxTokens           *int64          `json:"max_tokens"`
		MaxCompletionTokens *int64          `json:"max_completion_tokens"`
		Prompt              json.RawMessage `json:"prompt"`
		Messages            []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return Request{}, fmt.Errorf("decode completion request: %w", err)
	}
	if raw.Model == "" {
		return Request{}, errors.New("decode completion request: model is missing")
	}
	r := Request{
		Model:     raw.Model,
		Stream:    raw.Stream,
		MaxTokens: DefaultMaxTokens,
	}
	switch {
	case raw.MaxCompletionTokens != nil:
		r.MaxTokens = *raw.MaxCompletionTokens
	case raw.MaxTokens != nil:
		r.MaxTokens = *raw.MaxTokens
	}
	if r.MaxTokens < 1 {
		return Request{}, errors.New("decode completion request: max_tokens must be at least 1")
	}
	if len(raw.Messages) == 0 {
		text, err := decodeText(raw.Prompt)
		if err != nil {
			return Request{}, fmt.Errorf("decode completion request: prompt: %w", err)
		}
		r.Prompt = text
		r.PromptBytes = len(text)
		return r, nil
	}
	var b strings.Builder
	for i, m := range raw.Messages {
		text, err := decodeText(m.Content)
		if err != nil {
			return Request{}, fmt.Errorf("decode completion request: message %d: %w", i, err)
		}
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(text)
		b.WriteByte('\n')
		r.PromptBytes += len(text)
	}
	r.Prompt = b.String()
	return r, nil
}

// decodeText decodes a string, a list of strings, or a list of content parts
// with a text field.
func decodeText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if raw[0] == '"' {
		err := json.Unmarshal(raw, &text)
		return text, err
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return "", errors.New("want a text or a list of texts")
	}
	var b strings.Builder
	for _, item := range list {
		var part struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(item, &part); err == nil {
			b.WriteString(part.Text)
			continue
		}
		if err := json.Unmarshal(item, &text); err != nil {
			return "", errors.New("want a text or a list of texts")
		}
		b.WriteString(text)
	}
	return b.String(), nil
}

// PrefixBlockBytes is the size in bytes of the blocks in which prompts are
// cached. It corresponds to 64 tokens.
const PrefixBlockBytes = 256

// Prefixes returns the identifiers of a prompt's cacheable prefixes, shortest
// first: one for each whole block. Each identifier is a hash of the model and of
// all blocks up to that one. Cache events carry these identifiers.
func Prefixes(model, prompt string) []string {
	n := len(prompt) / PrefixBlockBytes
	if n == 0 {
		return nil
	}
	out := make([]string, 0, n)
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		out = append(out, strconv.FormatUint(d.Sum64(), 36))
	}
	return out
}
