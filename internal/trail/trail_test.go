package trail

import (
	"bytes"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// TestNeverBlocks guards against requests that wait for the log, and against an
// unbounded log: lines above the rate limit are dropped, counted and reported.
func TestNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	log, closeLog := New(w, "node", "n1")
	began := time.Now()
	for range 50000 {
		log.Info("request sent", "request", "r")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("50,000 lines took %v with an output that blocks", took)
	}
	if log.Dropped() < 40000 {
		t.Errorf("%d lines were dropped", log.Dropped())
	}
	time.Sleep(1100 * time.Millisecond)
	log.Warn("request failed", "request", "r")
	close(w.release)
	closeLog()
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(w.out.String()), "\n")
	reported := 0.0
	for _, l := range lines {
		var fields map[string]any
		if err := json.Unmarshal([]byte(l), &fields); err != nil || fields["node"] != "n1" {
			t.Fatalf("line %q: %v", l, err)
		}
		// On a loaded machine the lines spread over several seconds, and each second
		// reports its own count.
		if fields["msg"] == "log lines dropped" {
			reported += fields["count"].(float64)
		}
	}
	if reported <= 40000 || !strings.Contains(lines[len(lines)-1], "request failed") {
		t.Errorf("the dropped lines were not reported: %q", lines[max(0, len(lines)-3):])
	}
}

// TestWarningsSurvive guards against warnings that are dropped because of many
// lines of level info.
func TestWarningsSurvive(t *testing.T) {
	var out bytes.Buffer
	log, closeLog := New(&out)
	for range 5 * infoPerSecond {
		log.Info("request sent")
	}
	log.Warn("request failed")
	closeLog()
	if !strings.Contains(out.String(), "request failed") {
		t.Error("the failure is not in the log")
	}
}

// TestExplain guards against an explanation that lacks lines of the request or
// earlier lines of its node, or that contains lines of other requests or nodes.
func TestExplain(t *testing.T) {
	logs := []string{`
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"coordinator known","node":"n1","address":"old"}
{"time":"2026-01-01T00:00:08Z","level":"WARN","msg":"store lost","node":"n1","error":"no answer"}
noise
{"time":"2026-01-01T00:00:10Z","level":"INFO","msg":"request sent","node":"n1","request":"r1","endpoint":"e1","load":3.5,"report-age-ms":120,"config":7}
{"time":"2026-01-01T00:00:10.5Z","level":"INFO","msg":"request sent","node":"n1","request":"r2","endpoint":"e2","load":1,"report-age-ms":1,"config":7}
  10.2 n1 {"time":"2026-01-01T00:00:11Z","level":"WARN","msg":"request failed","node":"n1","request":"r1","status":502,"code":"answer-lost","why":"it broke off","sent":1,"ran":1,"error":"reset"}
`, `
{"time":"2026-01-01T00:00:09Z","level":"WARN","msg":"store lost","node":"n2","error":"elsewhere"}
`}
	got, err := Explain("r1", readers(logs)...)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"00:00:08.000 The store no longer answered n1: no answer.",
		"00:00:10.000 n1 sent the request to e1, which had 3.5 requests by a report of 120 ms before, under configuration 7.",
		"00:00:11.000 n1 ended the request with status 502 (answer-lost): it broke off. Attempts sent: 1; that may have run: 1. Last error: reset.",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("explained as\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func readers(texts []string) []io.Reader {
	out := make([]io.Reader, len(texts))
	for i, text := range texts {
		out[i] = strings.NewReader(text)
	}
	return out
}

// TestSentencesAreLogged guards against sentences for messages that no process
// writes: explain then leaves out what it was meant to explain.
func TestSentencesAreLogged(t *testing.T) {
	var source bytes.Buffer
	for _, root := range []string{"..", filepath.Join("..", "..", "platform")} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || entry.Name() == "explain.go" {
				return err
			}
			data, err := os.ReadFile(path)
			source.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for message := range sentences {
		if !bytes.Contains(source.Bytes(), []byte(`"`+message+`"`)) {
			t.Errorf("no code logs %q", message)
		}
	}
}
