package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/fake/site"
)

// The addresses, files and times that all cases share.
const (
	loopback      = "127.0.0.1"
	program       = "target/trefoild"
	template      = "deploy/node.yaml"
	startTimeout  = 15 * time.Second
	heartbeat     = 1200 * time.Millisecond
	endTimeout    = 10 * time.Second
	pollInterval  = 50 * time.Millisecond
	entriesTable  = "servers"
	settingsEnv   = "TREFOILDALE_NODE_FILE"
	callerHost    = "club.example"
	callerKey     = "key-club"
	failureDomain = "north"
)

// world is a small deployment: the platform's store, engines and entry processes.
type world struct {
	dir   string
	began time.Time
	store *site.Store

	mu      sync.Mutex
	record  *os.File
	closers []func()
	nodes   []*node
	taken   map[string]bool // addresses of entry processes
}

// newWorld returns a deployment without engines and processes, which writes its record to
// a file.
func newWorld(recordFile string) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir:    dir,
		began:  time.Now(),
		record: record,
		taken:  make(map[string]bool),
	}
	store, closeStore := site.NewStore(site.StoreOptions{
		Reads:  2000,
		Writes: 400,
	})
	w.store = store
	w.onClose(closeStore)
	return w, nil
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and servers that the case has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// setConfig writes a configuration as the operator does.
func (w *world) setConfig(c site.Config) error {
	w.logf("operator writes configuration %d", c.Version)
	return w.store.SetConfig(c)
}

// gate is a listener whose connections can be cut with a reset.
type gate struct {
	net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		if g.isCut {
			g.mu.Unlock()
			reset(c)
			continue
		}
		g.conns[c] = true
		g.mu.Unlock()
		return c, nil
	}
}

// cut resets all connections, and new ones until heal is called.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = true
	for c := range g.conns {
		reset(c)
	}
	clear(g.conns)
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = false
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve serves a handler on a free port and returns its address and gate.
func (w *world) serve(h http.Handler) (string, *gate, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", nil, err
	}
	g := &gate{
		Listener: l,
		conns:    make(map[net.Conn]bool),
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = srv.Serve(g) }()
	w.onClose(func() { _ = srv.Close() })
	return l.Addr().String(), g, nil
}

// node is an entry process.
type node struct {
	name     string
	callers  string
	ready    string
	metrics  string
	storeTo  *gate
	settings string
	logFile  string
	cmd      *exec.Cmd
	done     chan struct{}
	running  bool
}

// addNodes starts entry processes, each with its own path to the store.
func (w *world) addNodes(names ...string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	var seeds []string
	peers := make([]string, len(names))
	for i := range names {
		if peers[i], err = w.freeAddress(); err != nil {
			return err
		}
		if i < 3 {
			seeds = append(seeds, peers[i])
		}
	}
	for i, name := range names {
		n := &node{
			name:     name,
			settings: filepath.Join(w.dir, name+".yaml"),
			logFile:  filepath.Join(w.dir, name+".log"),
		}
		var storeAddress string
		if storeAddress, n.storeTo, err = w.serve(w.store.Handler(name)); err != nil {
			return err
		}
		for _, a := range []*string{&n.callers, &n.ready, &n.metrics} {
			if *a, err = w.freeAddress(); err != nil {
				return err
			}
		}
		_, metricsPort, _ := strings.Cut(n.metrics, ":")
		settings := render(string(text), seeds, map[string]any{
			"node":                    name,
			"zone":                    failureDomain,
			"limits.cpu_share":        0.4,
			"limits.memory_mb":        284,
			"listen.front":            n.callers,
			"listen.ready_addr":       n.ready,
			"listen.control":          peers[i],
			"ip":                      loopback,
			"port_range.0":            metricsPort,
			"provider.addr":           storeAddress,
			"bounds.lease_ms":         3000,
			"bounds.grace_s":          8,
			"bounds.config_apply_ms":  2000,
			"bounds.retry_ratio":      0.2,
			"bounds.retry_slack":      52,
			"bounds.retry_window_s":   10,
			"bounds.quota_slack":      7500,
			"bounds.revoke_ms":        5000,
			"bounds.rollback_slack":   250,
			"bounds.lost_slack_ms":    200,
			"bounds.drain_ms":         2000,
			"bounds.stable_ms":        3000,
			"bounds.quota_window_s":   8,
			"bounds.quota_excess":     0.1,
			"bounds.max_skew_ms":      5000,
			"bounds.recover_s":        12,
			"bounds.ceiling_window_s": 5,
		})
		if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := w.start(n); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	return w.await("all processes are ready", startTimeout, func() bool {
		for _, n := range w.nodes {
			if !isReady(n) {
				return false
			}
		}
		return true
	})
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills the template of the settings as the platform does.
func render(text string, seeds []string, values map[string]any) string {
	list := make([]string, len(seeds))
	for i, s := range seeds {
		list[i] = quote(s)
	}
	text = strings.ReplaceAll(text, "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", strings.Join(list, ","))
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		m := placeholder.FindStringSubmatch(match)
		v, ok := values[m[1]]
		switch {
		case !ok:
			return ""
		case m[2] != "":
			return quote(v)
		}
		return fmt.Sprint(v)
	})
}

func quote(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic("review: " + err.Error())
	}
	return string(b)
}

// The ports of entry processes lie below those that the system gives to connections, so
// that none is taken between the search for it and the start of the process.
const (
	lowestPort   = 15_000
	portCount    = 15_000
	portAttempts = 200
)

// freeAddress returns a free address that it has not returned before.
func (w *world) freeAddress() (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("%s:%d", loopback, lowestPort+rand.IntN(portCount))
		if w.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		w.taken[address] = true
		return address, l.Close()
	}
	return "", errors.New("no port is free")
}

// start starts the process of a node with the command of the deploy file.
func (w *world) start(n *node) error {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command(program, "fleet")
	n.cmd.Env = []string{settingsEnv + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	// The process ends with this one, whatever happens.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.logf("process %s starts, callers at %s", n.name, n.callers)
	n.done, n.running = make(chan struct{}), true
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

func (n *node) kill() {
	if n.running {
		_ = n.cmd.Process.Kill()
		<-n.done
		n.running = false
	}
}

// hasEnded reports whether the process of a node has ended by itself.
func (n *node) hasEnded() bool {
	select {
	case <-n.done:
		return n.running
	default:
		return false
	}
}

func isReady(n *node) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	res, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

var errNotInTime = errors.New("not in time")

// await waits until a condition holds.
func (w *world) await(what string, limit time.Duration, ok func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, errNotInTime)
}
