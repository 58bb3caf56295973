package soak

import (
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestWaitExit guards against reporting a process as not stopped that was suspended when
// the signal came, and against missing one that runs on.
func TestWaitExit(t *testing.T) {
	const within = 600 * time.Millisecond
	for _, tc := range []struct {
		name       string
		suspended  time.Duration
		terminated bool
		want       bool
	}{
		{name: "stops", terminated: true, want: true},
		{name: "suspended for longer than the bound", suspended: 2 * within, terminated: true, want: true},
		{name: "runs on"},
		{name: "runs on after it was suspended", suspended: within},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command("sleep", "60")
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			n := &node{
				cmd:    cmd,
				exited: make(chan struct{}),
			}
			go func() {
				// The exit status is that of the signal.
				_ = cmd.Wait()
				close(n.exited)
			}()
			defer n.kill()
			if tc.suspended > 0 {
				n.signal(syscall.SIGSTOP)
				// Of two pending signals the other one would be delivered first.
				time.Sleep(100 * time.Millisecond)
				time.AfterFunc(tc.suspended, func() { n.signal(syscall.SIGCONT) })
			}
			if tc.terminated {
				n.signal(syscall.SIGTERM)
			}
			began := time.Now()
			if got := n.waitExit(within); got != tc.want {
				t.Errorf("exited: %v, want %v", got, tc.want)
			}
			if took := time.Since(began); !tc.want && took < within+tc.suspended/2 {
				t.Errorf("gave up after %v", took)
			}
		})
	}
}
