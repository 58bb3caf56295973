package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/cutter"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// node is one entry process, with a proxy on each way to it and from it that can
// be disturbed.
type node struct {
	run     *run
	name    string
	domain  string
	callers string
	readyAt string
	// store is between the process and the platform's store, peers between it and
	// the other processes.
	store *cutter.Proxy
	peers *cutter.Proxy

	// restarting is held by the fault that restarts the process.
	restarting sync.Mutex

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // it was told to stop
	killed   bool // it was killed, or is about to be
	// wrong is how many disturbances of the process and its ways are under way, and
	// calm since when there is none.
	wrong int
	calm  time.Time
}

// The ports of each process, below those that the system gives to connections.
const (
	callersPort = 8221 + iota
	readyPort
	peersPort
	metricsPort
)

func (r *run) newNode(i int) (*node, error) {
	n := &node{
		run:    r,
		name:   fmt.Sprintf("node-%d", i+1),
		domain: []string{"north", "south"}[i%2],
		calm:   time.Now(),
	}
	store, release, err := site.Serve(r.site.Store.Handler(n.name))
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, release)
	var closeProxy func()
	if n.store, closeProxy, err = cutter.New(store); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, closeProxy)
	// An address of its own, with ports that the system gives to nobody, cannot be
	// taken by others while the process is down.
	host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, r.o.Seed%250, i+1)
	address := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	n.callers, n.readyAt = address(callersPort), address(readyPort)
	if n.peers, closeProxy, err = cutter.New(address(peersPort)); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, closeProxy, n.end)
	seeds := ""
	for _, other := range r.nodes {
		seeds += fmt.Sprintf("%q, ", other.peers.Addr())
	}
	settings := fmt.Sprintf(`node: {name: %s, domain: %s, capacity: 1}
listen: {callers: %q, ready: %q, peers: %q, peers-advertised: %q, metrics: %q}
store: {address: %q}
bounds: {lease: %v, grace: %v, retry-ratio: 0.2, retry-slack: 50, quota-slack: %d}
seeds: [%s]
`, n.name, n.domain, n.callers, n.readyAt, address(peersPort), n.peers.Addr(), address(metricsPort), n.store.Addr(), leaseBound, graceBound, quotaSlack, seeds)
	return n, os.WriteFile(r.file(n.name+".yaml"), []byte(settings), 0o600)
}

// start starts the process, whose output goes to a file that later starts append to.
func (n *node) start() error {
	out, err := n.run.create(n.name + ".log")
	if err != nil {
		return err
	}
	p := n.run.o.Program
	cmd := exec.Command(p[0], append(append([]string{}, p[1:]...), "fleet", "--settings", n.run.file(n.name+".yaml"))...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), n.run.o.Env...)
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	exited := make(chan struct{})
	n.cmd, n.exited, n.stopping, n.killed = cmd, exited, false, false
	n.calm = time.Now()
	go func() {
		err := cmd.Wait()
		out.Close()
		n.mu.Lock()
		unasked := !n.stopping && !n.killed
		n.calm = time.Time{}
		n.mu.Unlock()
		if unasked {
			n.run.broken("ENDED: process %s ended by itself: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this run started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		n.stopping = true
	case syscall.SIGKILL:
		n.killed = true
	}
	// The process may have ended meanwhile.
	_ = n.cmd.Process.Signal(s)
}

// disturbed notes that something is wrong with the process or its ways, until
// settled is called as often.
func (n *node) disturbed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrong++
}

func (n *node) settled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrong--
	n.calm = time.Now()
}

// inTouch reports whether nothing has been wrong for as long as rules with a time
// bound ask for.
func (n *node) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wrong == 0 && !n.calm.IsZero() && !n.stopping && !n.killed && time.Since(n.calm) > calmFor
}

func (n *node) state() (stopping, killed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping, n.killed
}

// gone waits for the end of the process. It reports false after a time.
func (n *node) gone(within time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// end kills the process at the end of the run.
func (n *node) end() {
	n.mu.Lock()
	started := n.cmd != nil
	n.mu.Unlock()
	if !started {
		return
	}
	n.signal(syscall.SIGKILL)
	n.gone(graceBound)
}

func (n *node) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	res, err := client.Get("http://" + n.readyAt + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
