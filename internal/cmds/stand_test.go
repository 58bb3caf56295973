package cmds

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// TestUsage guards against wrong exit codes for usage errors; scripts depend on
// them.
func TestUsage(t *testing.T) {
	for _, args := range []string{
		"",
		"nonsense",
		"engine --nonsense",
		"engine extra",
		"engine --resident m",
		"weights --loads many",
		"service --listen",
		"service --listen nowhere",
		"service --count=-1",
		"platform --writes=-1",
		"site --endpoints=-1",
		"site --config /nowhere/config.json",
		"weights --parallel=-1",
		"engine --speed=-1",
		"engine --memory-mib 10 --resident m,1,11",
	} {
		var stdout, stderr bytes.Buffer
		code := Run(context.Background(), Trefstand(), append([]string{"trefstand"}, strings.Fields(args)...), &stdout, &stderr)
		if code != ExitUsage || stderr.Len() == 0 {
			t.Errorf("%q: exit code %d, standard error %q", args, code, stderr.String())
		}
	}
	var stdout, stderr bytes.Buffer
	if code := Run(context.Background(), Trefstand(), []string{"trefstand", "engine", "--help"}, &stdout, &stderr); code != ExitOK {
		t.Errorf("--help: exit code %d", code)
	}
}

// TestStands guards against a wrong first line of output, from which scripts read
// the address, and against a planned stop that does not exit with ExitOK.
func TestStands(t *testing.T) {
	for args, path := range map[string]string{
		"platform --lag 1s":          "/vms",
		"site --domain a --domain b": site.ConfigPath,
		"weights":                    "/stats",
		"engine --name e1 --memory-mib 2000 --speed 50 --fencing --resident m,1,1000": "/state",
		"service --name booking": "/bookings",
	} {
		t.Run(args, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, w := io.Pipe()
			code := make(chan int, 1)
			go func() {
				code <- Run(ctx, Trefstand(), append([]string{"trefstand"}, strings.Fields(args)...), w, io.Discard)
			}()
			line, err := bufio.NewReader(r).ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
			if !ok {
				t.Fatalf("first line %q", line)
			}
			res, err := http.Get("http://" + addr + path)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if res.StatusCode != http.StatusOK {
				t.Errorf("status %d", res.StatusCode)
			}
			cancel()
			select {
			case got := <-code:
				if got != ExitOK {
					t.Errorf("exit code %d", got)
				}
			case <-time.After(3 * time.Second):
				t.Error("the command did not stop")
			}
		})
	}
}
