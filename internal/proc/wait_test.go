package proc

import (
	"sync"
	"testing"
	"time"
)

// TestWaitFor guards against a process that has answered all requests and is killed, because
// it waits without a limit for what it does beside them.
func TestWaitFor(t *testing.T) {
	t.Parallel()
	var ended, stuck sync.WaitGroup
	ended.Go(func() {})
	if !waitFor(&ended, time.Minute) {
		t.Error("goroutines that end were not waited for")
	}
	release := make(chan struct{})
	stuck.Go(func() { <-release })
	defer close(release)
	if waitFor(&stuck, 10*time.Millisecond) {
		t.Error("a goroutine that does not end counts as ended")
	}
}
