package cmds

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestDevPlatform guards against printed commands that do not work, and against a
// command that does not end when its context is cancelled.
func TestDevPlatform(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listen, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	out, in := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- Run(ctx, Trefoil(), []string{"trefoil", "dev", "--platform", "--listen", listen}, in, io.Discard)
		in.Close()
	}()
	text := make(chan string, 1)
	go func() {
		var seen strings.Builder
		buf := make([]byte, 4096)
		for !strings.Contains(seen.String(), "Ctrl-C") {
			n, err := out.Read(buf)
			seen.Write(buf[:n])
			if err != nil {
				break
			}
		}
		text <- seen.String()
	}()
	select {
	case got := <-text:
		if !strings.Contains(got, "curl -N -X POST http://"+listen+"/notes/1") {
			t.Fatalf("the command printed %q", got)
		}
	case <-time.After(2 * devReadyTimeout):
		t.Fatal("the command printed nothing")
	}
	for _, a := range sampleRequests(listen, site.SampleConfig()) {
		r, err := a.Request()
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			t.Errorf("request %s of the printed commands was answered with %d", a.ID, res.StatusCode)
		}
	}
	cancel()
	select {
	case got := <-code:
		if got != ExitOK {
			t.Errorf("exit code %d", got)
		}
	case <-time.After(10 * time.Second):
		t.Error("the command did not end")
	}
}
