package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

const sampleStream = "id: 1\ndata: {\"a\":1}\n\n: note\r\n\r\ndata: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n"

func readAll(r io.Reader) (raw []byte, done bool, err error) {
	events := newEventReader(r, 1<<12)
	for {
		ev, err := events.next()
		if err != nil {
			return raw, done, err
		}
		raw = append(raw, ev.Raw...)
		done = done || ev.Done
	}
}

// TestEventReader guards against events that depend on how the network splits
// the data.
func TestEventReader(t *testing.T) {
	for name, r := range map[string]io.Reader{
		"at once":      strings.NewReader(sampleStream),
		"by byte":      iotest.OneByteReader(strings.NewReader(sampleStream)),
		"data and EOF": iotest.DataErrReader(strings.NewReader(sampleStream)),
	} {
		raw, done, err := readAll(r)
		if string(raw) != sampleStream || !done || err != io.EOF {
			t.Errorf("%s: got %q, %t, %v", name, raw, done, err)
		}
	}
	for body, want := range map[string]error{
		"data: {\"a\":1}\n":                  io.ErrUnexpectedEOF,
		"data: {\"a\":1\n\n":                 errEventMalformed,
		"~~~~\n\n":                           errEventMalformed,
		"id: 0\ndata: {}\n\n":                errEventMalformed,
		"data: {\"usage\":{\"x\"}}\n\n":      errEventMalformed,
		"data: {\"error\":{}}\n\n":           errStreamError,
		strings.Repeat("data: {}", 1<<10):    errEventTooLarge,
		"data: {}\ndata: {}\n\ndata: [DONE]": errEventMalformed,
	} {
		if _, _, err := readAll(strings.NewReader(body)); !errors.Is(err, want) {
			t.Errorf("%.30q: got %v, want %v", body, err, want)
		}
	}
}

// TestEventAllocations guards against allocations for each event of a stream.
func TestEventAllocations(t *testing.T) {
	body := strings.Repeat("id: 1\ndata: {\"choices\":[{\"text\":\"word \"}]}\n\n", 2000)
	events := newEventReader(strings.NewReader(body), 1<<12)
	if n := testing.AllocsPerRun(1000, func() {
		if _, err := events.next(); err != nil {
			t.Fatal(err)
		}
	}); n > 0 {
		t.Errorf("%g allocations per event", n)
	}
}

func BenchmarkEvent(b *testing.B) {
	event := []byte("id: 123\ndata: {\"id\":\"1-abc-2f\",\"object\":\"chat.completion.chunk\",\"created\":1796372534,\"model\":\"m1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"with \"},\"finish_reason\":null}]}\n\n")
	body := bytes.Repeat(event, 1000)
	b.ReportAllocs()
	for b.Loop() {
		events := newEventReader(bytes.NewReader(body), 1<<12)
		for range 1000 {
			if _, err := events.next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/event")
}

// FuzzEvents guards against a stream that crashes the reader, exceeds its
// bounds, or is not forwarded byte for byte.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{sampleStream, "", "\n\n", "data:\n\n", "id: 9999999999999999999\n\n", "data: {\"usage\":{}}\n\n", "\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		raw, _, err := readAll(bytes.NewReader(body))
		if !bytes.HasPrefix(body, raw) {
			t.Error("events differ from the bytes received")
		}
		if err == io.EOF && len(bytes.TrimSpace(body[len(raw):])) > 0 {
			t.Errorf("%d bytes were dropped", len(body)-len(raw))
		}
		again, _, err2 := readAll(iotest.OneByteReader(bytes.NewReader(body)))
		if !bytes.Equal(raw, again) || (err == io.EOF) != (err2 == io.EOF) {
			t.Errorf("read at once: %q, %v; by byte: %q, %v", raw, err, again, err2)
		}
	})
}

// FuzzAnswers guards against control responses and requests that crash their
// decoders, or that are accepted with values that would corrupt the memory
// ledger.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		`{"id":"o1","phase":"done"}`,
		`{"incarnation":"i","memory-mib":10,"resident":[{"model":"m","memory-mib":5}],"running":[{"id":"o"}]}`,
		`{"running":1,"queued":2,"tokens-per-second":3.5}`,
		`[{"seq":1,"model":"m","prefix":"p"},{"seq":3}]`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":3}`,
		`{"model":"m","prompt":["a","b"]}`,
		`{"error":{"code":"stale-fence","not-run":true}}`,
		`null`, `[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var st State
		if decodeJSON(body, &st) == nil && st.validate() == nil {
			for _, r := range st.Resident {
				if r.MemoryMiB < 0 {
					t.Errorf("accepted resident %+v", r)
				}
			}
		}
		var o OrderStatus
		if decodeJSON(body, &o) == nil && o.validate("o1") == nil && o.Phase == "" {
			t.Error("accepted an order without a phase")
		}
		var events []CacheEvent
		if decodeJSON(body, &events) == nil && validateEvents(events, 0) == nil {
			for _, e := range events {
				if e.Seq < 1 {
					t.Errorf("accepted event %+v", e)
				}
			}
		}
		var l Load
		if decodeJSON(body, &l) == nil {
			_ = l.validate()
		}
		if u, err := decodeUsage(body); err == nil && u != nil && u.CompletionTokens < 0 {
			t.Errorf("accepted usage %+v", u)
		}
		if r, err := DecodeRequest(body); err == nil && (r.Model == "" || r.MaxTokens < 1 || r.PromptTokens() < 1) {
			t.Errorf("accepted request %+v", r)
		}
		if err := statusError(&Response{Body: body}); err == nil {
			t.Error("an error answer became a success")
		}
	})
}
