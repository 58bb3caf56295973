package conn

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead guards against heads that the judge takes for an answer and net/http reads in
// another way: with another status, or with a field whose name hides something.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.0 200\n\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		var whole, parts headJudge
		err := whole.add(data)
		step = max(1, step)
		var partsErr error
		for rest := data; len(rest) > 0 && partsErr == nil; rest = rest[min(step, len(rest)):] {
			partsErr = parts.add(rest[:min(step, len(rest))])
		}
		if (err == nil) != (partsErr == nil) || whole.isDone != parts.isDone {
			t.Fatalf("in one piece: %v, %v; in pieces: %v, %v", whole.isDone, err, parts.isDone, partsErr)
		}
		if err != nil || !whole.isDone {
			return
		}
		in := bufio.NewReader(bytes.NewReader(data))
		for {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				// net/http may refuse more.
				return
			}
			if res.StatusCode < 100 || res.StatusCode > 599 || res.StatusCode == http.StatusSwitchingProtocols {
				t.Fatalf("status %d", res.StatusCode)
			}
			for name := range res.Header {
				if strings.ContainsAny(name, " \t\r\n:") || name == "" {
					t.Fatalf("a field has the name %q", name)
				}
			}
			if res.StatusCode >= http.StatusOK {
				return
			}
		}
	})
}
