// Package rig starts entry processes for the cases of the second review: each as a process of
// its own with the command of the deploy file, on loopback addresses, with settings rendered
// from the template of the deploy file.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and template are those of deploy/system.toml.
	program  = "target/trefoild"
	command  = "fleet"
	template = "deploy/node.yaml"
	// settingsVariable holds the path of the settings, as DEPLOY.md says.
	settingsVariable = "TREFOILDALE_NODE_FILE"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a case, written to record.txt.
type Record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{
		start: time.Now(),
		out:   bufio.NewWriter(f),
		file:  f,
	}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) { r.printAt(time.Now(), format, args...) }

// PrintAt is Printf for an earlier time.
func (r *Record) PrintAt(at time.Time, format string, args ...any) { r.printAt(at, format, args...) }

func (r *Record) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.out.Flush(), r.file.Close())
}

// Entry is one machine with its entry process.
type Entry struct {
	Name string
	// Callers, Ready and Peers are the addresses that the process listens on.
	Callers, Ready, Peers string

	settings string
	log      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Options are the settings of an entry process that differ between cases.
type Options struct {
	Name string
	Zone string
	// IP is a loopback address of its own, so that a restarted process gets its ports again.
	IP    string
	Store string
	Seeds []string
	// MemoryMB is the machine's memory.
	MemoryMB float64
	// Folder is a temporary folder.
	Folder string
}

// LoopbackIP returns a loopback address for the machine with the given number.
func LoopbackIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 7, i) }

// NewEntry writes the settings of an entry process.
func NewEntry(o Options) (*Entry, error) {
	e := &Entry{
		Name:     o.Name,
		Callers:  net.JoinHostPort(o.IP, "8221"),
		Ready:    net.JoinHostPort(o.IP, "8224"),
		Peers:    net.JoinHostPort(o.IP, "8229"),
		settings: filepath.Join(o.Folder, o.Name+".yaml"),
		log:      filepath.Join(o.Folder, o.Name+".log"),
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	out, err := render(string(text), map[string]any{
		"node":                   o.Name,
		"zone":                   o.Zone,
		"ip":                     o.IP,
		"port_range.0":           7600,
		"listen.front":           e.Callers,
		"listen.ready_addr":      e.Ready,
		"listen.control":         e.Peers,
		"provider.addr":          o.Store,
		"heartbeat_ms":           1200,
		"limits.cpu_share":       0.4,
		"limits.memory_mb":       o.MemoryMB,
		"bounds.lease_ms":        3000,
		"bounds.grace_s":         8,
		"bounds.config_apply_ms": 2000,
		"bounds.retry_ratio":     0.2,
		"bounds.retry_slack":     52,
		"bounds.retry_window_s":  10,
		"bounds.quota_slack":     7500,
	}, o.Seeds)
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settings, []byte(out), 0o600)
}

var (
	seedsPattern = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	fieldPattern = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// render fills in the template of the deploy file.
func render(text string, fields map[string]any, seeds []string) (string, error) {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	text = seedsPattern.ReplaceAllLiteralString(text, strings.Join(quoted, ","))
	var missing []string
	text = fieldPattern.ReplaceAllStringFunc(text, func(place string) string {
		m := fieldPattern.FindStringSubmatch(place)
		value, ok := fields[m[1]]
		if !ok {
			missing = append(missing, m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		out, err := json.Marshal(value)
		if err != nil {
			missing = append(missing, m[1])
		}
		return string(out)
	})
	if len(missing) > 0 || strings.Contains(text, "{{") {
		return "", fmt.Errorf("rig: the template has other fields: %q", missing)
	}
	return text, nil
}

// Start starts the process.
func (e *Entry) Start() error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, command)
	cmd.Env = append(os.Environ(), settingsVariable+"="+e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// How it ended does not matter here.
		_ = cmd.Wait()
		close(exited)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, exited
	started.add(e)
	return nil
}

// started holds the entries whose processes were started, for a case that is ended early.
var started entries

type entries struct {
	mu    sync.Mutex
	all   map[*Entry]bool
	ended bool
}

func (l *entries) add(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[*Entry]bool)
	}
	l.all[e] = true
	if l.ended {
		_ = e.cmd.Process.Kill()
	}
}

// killAll ends all processes, those that are started from now on too.
func (l *entries) killAll() {
	l.mu.Lock()
	l.ended = true
	all := slices.Collect(maps.Keys(l.all))
	l.mu.Unlock()
	for _, e := range all {
		e.Kill()
	}
}

// Exited returns a channel that is closed once the process has ended.
func (e *Entry) Exited() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// Signal sends a signal to the process, if it runs.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (e *Entry) Kill() {
	if e.Exited() == nil {
		return
	}
	e.Signal(syscall.SIGCONT)
	e.Signal(syscall.SIGKILL)
	<-e.Exited()
}

// Resident returns the resident memory of the process in bytes, 0 if it has ended.
func (e *Entry) Resident() int64 {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// AwaitReady waits until the process says that it is ready.
func (e *Entry) AwaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", e.Ready, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
		if err == nil && strings.HasPrefix(line, "HTTP/1.1 200") {
			return nil
		}
	}
	return fmt.Errorf("rig: %s does not get ready", e.Name)
}
