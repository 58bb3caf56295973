package cmds_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoildale.example/trefoildale/internal/fake/proxy"
)

// scriptState holds the processes, proxies and background jobs of one script.
type scriptState struct {
	ctx       context.Context
	processes map[string]*process
	proxies   map[string]*proxy.Proxy
	jobs      map[string]chan string
}

type scriptStateKey struct{}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newScriptState(env *testscript.Env) *scriptState {
	ctx, stop := context.WithCancel(context.Background())
	env.Defer(stop)
	return &scriptState{
		ctx:       ctx,
		processes: map[string]*process{},
		proxies:   map[string]*proxy.Proxy{},
		jobs:      map[string]chan string{},
	}
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// startNodes starts entry processes that use each other as seeds and the platform
// at the address in the variable platform_listening: nodes NAME=DOMAIN...
func startNodes(ts *testscript.TestScript, _ bool, args []string) {
	peers := make([]string, len(args))
	var listeners []net.Listener
	for i := range args {
		l, err := listenOutsideEphemeral()
		ts.Check(err)
		listeners = append(listeners, l)
		peers[i] = l.Addr().String()
	}
	for _, l := range listeners {
		ts.Check(l.Close())
	}
	for i, arg := range args {
		name, domain, _ := strings.Cut(arg, "=")
		text := fmt.Sprintf("node: {name: %s, domain: %s}\n"+
			"listen: {callers: 127.0.0.1:0, peers: %q, admin: 127.0.0.1:0}\n"+
			"platform: {url: %q}\npeers: {seeds: [%s]}\n",
			name, domain, peers[i], "http://"+ts.Getenv("platform_listening"), quoteAll(slices.Delete(slices.Clone(peers), i, i+1)))
		ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), name+".yaml"), []byte(text), 0o600))
	}
	for _, arg := range args {
		name, _, _ := strings.Cut(arg, "=")
		start(ts, false, []string{name, "trefoild", "--settings", name + ".yaml"})
	}
}

// listenOutsideEphemeral listens on an unused port below those that the kernel assigns.
// A port that it assigned can go to a connection of another process between the
// closing of the listener and the start of the process that is to use it.
func listenOutsideEphemeral() (net.Listener, error) {
	const first, count = 20000, 12000
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func quoteAll(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// signal sends a signal to a process: signal NAME TERM|KILL|STOP|CONT.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	sig, ok := map[string]os.Signal{
		"TERM": syscall.SIGTERM,
		"KILL": syscall.SIGKILL,
		"STOP": syscall.SIGSTOP,
		"CONT": syscall.SIGCONT,
	}[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	ts.Check(stateOf(ts).processes[args[0]].cmd.Process.Signal(sig))
}

// exited waits until a process has ended and checks its exit code: exited NAME CODE.
func exited(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).processes[args[0]]
	select {
	case <-p.done:
	case <-time.After(30 * time.Second):
		ts.Fatalf("%s has not ended after 30 s", args[0])
	}
	if code := fmt.Sprint(p.cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with code %s, want %s: %v", args[0], code, args[1], p.err)
	}
}

// startJob runs work in the background. collect waits for its output.
func startJob(ts *testscript.TestScript, name string, work func(context.Context) string) {
	s := stateOf(ts)
	out := make(chan string, 1)
	s.jobs[name] = out
	go func() { out <- work(s.ctx) }()
}

// collect waits for a background job and writes its output to stdout. With a
// leading "!", it checks that the job is still running: collect NAME.
func collect(ts *testscript.TestScript, neg bool, args []string) {
	out := stateOf(ts).jobs[args[0]]
	if neg {
		select {
		case text := <-out:
			ts.Fatalf("%s has ended:\n%s", args[0], text)
		default:
		}
		return
	}
	select {
	case text := <-out:
		fmt.Fprint(ts.Stdout(), text)
	case <-time.After(60 * time.Second):
		ts.Fatalf("%s has not ended after 60 s", args[0])
	}
}

// later sends a request in the background: later NAME METHOD URL KEY BODY [HEADER=VALUE].
func later(ts *testscript.TestScript, _ bool, args []string) {
	startJob(ts, args[0], func(context.Context) string {
		status, body := send(ts, args[1:])
		return fmt.Sprintf("status %d\n%s\n", status, body)
	})
}

// steady repeats completion requests in the background and counts the responses by
// status. Its output includes the first failed response:
// steady NAME DURATION KEY ADDRESS...
func steady(ts *testscript.TestScript, _ bool, args []string) {
	length, err := time.ParseDuration(args[1])
	ts.Check(err)
	startJob(ts, args[0], func(ctx context.Context) string {
		counts, first := map[int]int{}, ""
		for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			for _, address := range args[3:] {
				status, body := send(ts, []string{
					"POST", "http://" + address + "/v1/completions", args[2], `{"model":"lane-rules","prompt":"x","max_tokens":2}`,
				})
				counts[status]++
				if status != http.StatusOK && first == "" {
					first = fmt.Sprintf("first failure at %s: %d %s\n", address, status, body)
				}
			}
		}
		return fmt.Sprintf("answers %v\n%s", counts, first)
	})
}

// book makes bookings in the background and counts their results. Each booking has
// an idempotency key and is sent to one node after the other until there is a final
// answer: book NAME DURATION KEY ADDRESS...
func book(ts *testscript.TestScript, _ bool, args []string) {
	length, err := time.ParseDuration(args[1])
	ts.Check(err)
	addresses := args[3:]
	startJob(ts, args[0], func(ctx context.Context) string {
		var mu sync.Mutex
		counts := map[string]int{}
		var all sync.WaitGroup
		end := time.Now().Add(length)
		for caller := range 8 {
			all.Go(func() {
				for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
					result := bookOnce(ts, args[2], fmt.Sprintf("%s-%d-%d", args[0], caller, n), addresses, caller+n)
					mu.Lock()
					counts[result]++
					mu.Unlock()
				}
			})
		}
		all.Wait()
		var out strings.Builder
		for result, n := range counts {
			fmt.Fprintf(&out, "%s %d\n", result, n)
		}
		return out.String()
	})
}

// bookOnce repeats one booking, starting at the given node, and returns its result:
// booked, unknown or unresolved.
func bookOnce(ts *testscript.TestScript, key, id string, addresses []string, first int) string {
	result, last := "unresolved", ""
	for try := range 60 {
		status, body := send(ts, []string{
			"POST", "http://" + addresses[(first+try)%len(addresses)] + "/booking/lanes", key, `{"lane":1}`, "Idempotency-Key=" + id,
		})
		switch {
		case status == http.StatusCreated:
			result = "booked"
		case strings.Contains(body, "repeat-unknown"):
			result = "unknown"
		default:
			last = fmt.Sprintf("%d %s", status, body)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		// Send the booking to each node at least once, even after a final answer.
		if try >= len(addresses)-1 {
			return result
		}
	}
	if result == "unresolved" {
		return result + " " + last
	}
	return result
}

// startProxy starts a fault-injecting proxy in front of TARGET and sets the
// variable NAME_listening to the address of the proxy: proxy NAME TARGET.
func startProxy(ts *testscript.TestScript, _ bool, args []string) {
	p, stop, err := proxy.New(args[1])
	ts.Check(err)
	ts.Defer(stop)
	stateOf(ts).proxies[args[0]] = p
	ts.Setenv(args[0]+"_listening", p.Addr())
}

// link injects or ends a fault of a proxy: link cut|freeze|heal NAME.
func link(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).proxies[args[1]]
	switch args[0] {
	case "cut":
		p.Cut()
	case "freeze":
		p.Freeze()
	case "heal":
		ts.Check(p.Heal())
	default:
		ts.Check(errors.New("unknown fault " + args[0]))
	}
}
