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

	"trefoildale.example/trefoildale/internal/fake/proxy"
	"trefoildale.example/trefoildale/internal/fake/site"
)

// node is one entry process, with proxies that can disturb its connections to the
// store and from other processes.
type node struct {
	run         *run
	name        string
	program     []string
	domain      string
	callersAddr string
	readyAddr   string
	// store is the proxy between the process and the platform's store, peers
	// the one through which other processes reach it.
	store *proxy.Proxy
	peers *proxy.Proxy

	// restartMu is held by the fault that restarts the process.
	restartMu sync.Mutex

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // SIGTERM was sent, or is about to be
	killed   bool // SIGKILL was sent, or is about to be
	// suspended is set from SIGSTOP to SIGCONT.
	suspended bool
	// disturbances counts the faults that affect the process or its links now.
	// stableSince is the end of the last one, or the last start; it is zero
	// after the process has exited.
	disturbances int
	stableSince  time.Time
	// refusals counts the faults for which the store turns the process away now,
	// refusedUntil is the end of the last one.
	refusals     int
	refusedUntil time.Time
}

// formerDomain is the failure domain of the processes of another build, if there are any.
const formerDomain = "south"

// The ports on which each process listens, below the range of ephemeral ports.
const (
	callersPort = 8221 + iota
	readyPort
	peersPort
	metricsPort
)

// newNode starts the proxies of the process with index i and writes its settings.
// It does not start the process.
func (r *run) newNode(i int) (*node, error) {
	n := &node{
		run:         r,
		name:        fmt.Sprintf("node-%d", i+1),
		program:     r.opts.Program,
		domain:      r.domains()[i%len(r.domains())],
		stableSince: time.Now(),
	}
	if n.isFormer() {
		n.program = r.opts.Former
	}
	store, release, err := site.Serve(r.site.Store.Handler(n.name))
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, release)
	var closeProxy func()
	if n.store, closeProxy, err = proxy.New(store); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, closeProxy)
	// With an IP address of its own and ports outside the ephemeral range, no other
	// process can take the address while this one is down.
	host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, r.opts.Seed%250, i+1)
	address := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	n.callersAddr, n.readyAddr = address(callersPort), address(readyPort)
	if n.peers, closeProxy, err = proxy.New(address(peersPort)); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, closeProxy, n.kill)
	seeds := ""
	for _, other := range r.nodes {
		seeds += fmt.Sprintf("%q, ", other.peers.Addr())
	}
	memoryMB := 0
	if r.opts.Crowds {
		memoryMB = crowdMemoryMB
	}
	settings := fmt.Sprintf(`node: {name: %s, domain: %s, capacity: 1, memory-mb: %d}
listen: {callers: %q, ready: %q, peers: %q, peers-advertised: %q, metrics: %q}
store: {address: %q}
bounds: {lease: %v, grace: %v, retry-ratio: 0.2, retry-slack: 50, quota-slack: %d}
seeds: [%s]
`, n.name, n.domain, memoryMB, n.callersAddr, n.readyAddr, address(peersPort), n.peers.Addr(), address(metricsPort), n.store.Addr(), leaseBound, graceBound, quotaSlack, seeds)
	return n, os.WriteFile(r.file(n.name+".yaml"), []byte(settings), 0o600)
}

// isFormer reports whether the process is of another build.
func (n *node) isFormer() bool { return len(n.run.opts.Former) > 0 && n.domain == formerDomain }

// start starts the process. Its output is appended to a log file that all its
// starts share.
func (n *node) start() error {
	out, err := n.run.create(n.name + ".log")
	if err != nil {
		return err
	}
	p := n.program
	cmd := exec.Command(p[0], append(append([]string{}, p[1:]...), "fleet", "--settings", n.run.file(n.name+".yaml"))...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), n.run.opts.Env...)
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	n.run.noteInterruption(n.name)
	n.mu.Lock()
	defer n.mu.Unlock()
	exited := make(chan struct{})
	n.cmd, n.exited, n.stopping, n.killed, n.suspended = cmd, exited, false, false, false
	n.stableSince = time.Now()
	go func() {
		err := cmd.Wait()
		out.Close()
		n.mu.Lock()
		unexpected := !n.stopping && !n.killed
		n.stableSince = time.Time{}
		n.mu.Unlock()
		if unexpected {
			n.run.reportViolation("ENDED: process %s exited unexpectedly: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process and records whether that is meant to end
// it.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		n.stopping = true
	case syscall.SIGKILL:
		n.killed = true
	case syscall.SIGSTOP:
		n.suspended = true
	case syscall.SIGCONT:
		n.suspended = false
	}
	// An error means that the process has already exited.
	_ = n.cmd.Process.Signal(s)
}

// beginDisturbance records a fault that affects the process or its links. Each
// call needs a call of endDisturbance.
func (n *node) beginDisturbance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances++
}

func (n *node) endDisturbance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances--
	n.stableSince = time.Now()
}

// setRefused records that the store begins or ends to turn the process away, which does
// not make it unstable.
func (n *node) setRefused(refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused {
		n.refusals++
		return
	}
	n.refusals--
	n.refusedUntil = time.Now()
}

// wasRefused reports whether the store turned the process away within stablePeriod.
func (n *node) wasRefused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusals > 0 || time.Since(n.refusedUntil) < stablePeriod+skewBound
}

// stable reports whether the process has run undisturbed for stablePeriod,
// so that rules with a time bound apply to it.
func (n *node) stable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbances == 0 && !n.stableSince.IsZero() && !n.stopping && !n.killed && time.Since(n.stableSince) > stablePeriod
}

// isUndisturbed reports whether the process was not killed, and neither it nor its links
// are disturbed now.
func (n *node) isUndisturbed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbances == 0 && !n.killed
}

func (n *node) state() (stopping, killed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping, n.killed
}

// exitCheckInterval is how often waitExit checks whether the process is suspended.
const exitCheckInterval = 20 * time.Millisecond

// waitExit waits for the process to exit. It returns false on timeout. Time in which the
// process is suspended does not count, since it cannot act on a signal then.
func (n *node) waitExit(within time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	tick := time.NewTicker(exitCheckInterval)
	defer tick.Stop()
	last := time.Now()
	for deadline := last.Add(within); ; {
		select {
		case <-exited:
			return true
		case <-tick.C:
		}
		now := time.Now()
		n.mu.Lock()
		if n.suspended {
			deadline = deadline.Add(now.Sub(last))
		}
		n.mu.Unlock()
		if last = now; !now.Before(deadline) {
			return false
		}
	}
}

// awaitExit waits for the process to exit, suspended or not. It returns false at the
// deadline.
func (n *node) awaitExit(deadline time.Time) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

// kill kills the process at the end of the run.
func (n *node) kill() {
	n.mu.Lock()
	started := n.cmd != nil
	n.mu.Unlock()
	if !started {
		return
	}
	n.signal(syscall.SIGKILL)
	n.waitExit(graceBound)
}

func (n *node) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	res, err := client.Get("http://" + n.readyAddr + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
