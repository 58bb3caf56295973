package cmds_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/cmds"
)

func TestMain(m *testing.M) {
	programs := map[string]func(){}
	for name, root := range map[string]func() *cli.Command{
		"trefoil":   cmds.Trefoil,
		"trefoild":  cmds.Trefoild,
		"trefstand": cmds.Trefstand,
	} {
		programs[name] = func() {
			os.Exit(cmds.Run(context.Background(), root(), os.Args, os.Stdout, os.Stderr))
		}
	}
	testscript.Main(m, programs)
}

// TestScripts guards the programs end to end. Each script runs them as separate
// processes, from the command line to the response that a caller gets.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[scriptStateKey{}] = newScriptState(env)
			data, err := os.ReadFile("testdata/fleet.yaml")
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(env.WorkDir, "small.yaml"), data, 0o600)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"nodes":   startNodes,
			"signal":  signal,
			"exited":  exited,
			"later":   later,
			"steady":  steady,
			"book":    book,
			"collect": collect,
			"proxy":   startProxy,
			"link":    link,
			"start":   start,
			"render":  render,
			"call":    call,
			"await":   await,
			"port":    port,
			"secret":  secret,
		},
	})
}

// start runs a program in the background and sets variables to the addresses that
// it prints: start NAME PROGRAM ARGS.
func start(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	cmd := exec.Command(args[1], args[2:]...)
	path, err := exec.LookPath(args[1])
	if err != nil {
		path = filepath.Join(strings.SplitN(ts.Getenv("PATH"), string(os.PathListSeparator), 2)[0], args[1])
	}
	cmd.Path, cmd.Err = path, nil
	cmd.Dir = ts.Getenv("WORK")
	logs, err := os.Create(filepath.Join(cmd.Dir, name+".log"))
	ts.Check(err)
	cmd.Stderr = logs
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	p := &process{
		cmd:  cmd,
		done: make(chan struct{}),
	}
	stateOf(ts).processes[name] = p
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		<-p.done
	})
	lines := 1
	if args[1] == "trefoild" {
		lines = 3
	}
	r := bufio.NewReader(out)
	defer func() {
		go func() {
			_, _ = io.Copy(io.Discard, r)
			p.err = cmd.Wait()
			close(p.done)
		}()
	}()
	for range lines {
		line, err := r.ReadString('\n')
		if err != nil {
			text, _ := os.ReadFile(logs.Name())
			ts.Fatalf("%s ended before it listened:\n%s", name, text)
		}
		kind, address, _ := strings.Cut(strings.TrimSpace(line), " ")
		ts.Setenv(name+"_"+kind, address)
	}
}

// render replaces ${name} variables in a file: render FROM TO.
func render(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// call sends a request and writes the status and the body to stdout:
// call METHOD URL KEY BODY [HEADER=VALUE].
func call(ts *testscript.TestScript, _ bool, args []string) {
	status, body := send(ts, args)
	fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", status, body)
}

// await repeats a request until the response has the status:
// await STATUS METHOD URL KEY BODY.
func await(ts *testscript.TestScript, _ bool, args []string) {
	var status int
	var body string
	for range 150 {
		if status, body = send(ts, args[1:]); fmt.Sprint(status) == args[0] {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("status is %d after 15 s, want %s:\n%s", status, args[0], body)
}

func send(ts *testscript.TestScript, args []string) (int, string) {
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(args[3]))
	ts.Check(err)
	if args[2] != "-" {
		req.Header.Set("Authorization", "Bearer "+args[2])
	}
	for _, h := range args[4:] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.Check(err)
	return res.StatusCode, string(body)
}

// port sets a variable to an unused port: port NAME.
func port(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	defer l.Close()
	_, p, err := net.SplitHostPort(l.Addr().String())
	ts.Check(err)
	ts.Setenv(args[0], p)
}

// secret sets SECRET from the output of trefoil key add: secret FILE.
func secret(ts *testscript.TestScript, _ bool, args []string) {
	_, s, ok := strings.Cut(ts.ReadFile(args[0]), "secret: ")
	if !ok {
		ts.Fatalf("no secret in %s", args[0])
	}
	ts.Setenv("SECRET", strings.TrimSpace(s))
}
