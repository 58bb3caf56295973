package local

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/node"
	"trefoildale.example/trefoildale/internal/store"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Guards against an accepted change that takes longer than 2 s to be in force on
// all 8 nodes, against one that is reverted, and against reporting success to
// both of two operators who race.
func TestChangesAreInForceEverywhere(t *testing.T) {
	t.Parallel()
	f, _ := testFleet(t, Options{
		Config:         testConfig(4),
		NodesPerDomain: 2,
	})
	clients := make([]*admin.Client, len(f.Nodes))
	for i := range f.Nodes {
		c, err := f.Admin(i)
		if err != nil {
			t.Fatal(err)
		}
		clients[i] = c
	}
	slowest := time.Duration(0)
	for round := range 5 {
		var race sync.WaitGroup
		won := make([]int64, 2)
		weights := []float64{float64(10 + 2*round), float64(11 + 2*round)}
		base, err := clients[0].Config(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for i := range won {
			race.Go(func() {
				w := base.Workspaces[0]
				w.Weight = weights[i]
				done, err := clients[3*i].Apply(t.Context(), spec.Change{
					OpID:   spec.NewOpID(base.Revision),
					Author: "operator",
					Base:   base.Revision,
					Puts:   []spec.Item{{Workspace: &w}},
				})
				if err == nil {
					won[i] = done.Revision
				}
			})
		}
		race.Wait()
		accepted := time.Now()
		if (won[0] == 0) == (won[1] == 0) {
			t.Fatalf("round %d: revisions %v were reported to racing operators, want exactly one winner", round, won)
		}
		want, revision := weights[0], won[0]
		if won[1] != 0 {
			want, revision = weights[1], won[1]
		}
		for i, c := range clients {
			eventually(t, 2*time.Second, func() error {
				cfg, err := c.Config(t.Context())
				if err != nil {
					return err
				}
				if cfg.Revision < revision || cfg.Workspaces[0].Weight != want {
					return fmt.Errorf("node %d has revision %d and weight %v, want %d and %v",
						i, cfg.Revision, cfg.Workspaces[0].Weight, revision, want)
				}
				return nil
			})
		}
		slowest = max(slowest, time.Since(accepted))
	}
	t.Logf("slowest change was in force on all 8 nodes after %s", slowest.Round(time.Millisecond))
}

// Guards against a booking that runs twice when its caller repeats it on other
// nodes while answers between node and service are lost.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(2),
		NodesPerDomain: 2,
	})
	for name, s := range f.Services {
		if err := s.Faults().Add(fault.Fault{
			Kind:   fault.LoseAnswer,
			Method: http.MethodPost,
			Count:  5,
		}); err != nil {
			t.Fatal(name, err)
		}
	}
	var all sync.WaitGroup
	for k := range 40 {
		all.Go(func() {
			key := fmt.Sprintf("booking-%d", k)
			ran := false
			for try := range 6 {
				a := do(t, f, (k+try)%len(f.Nodes), http.MethodPost, "/booking/lanes", keys["club"],
					fmt.Sprintf(`{"lane":%d}`, k), "Idempotency-Key", key)
				ran = ran || a.status == http.StatusCreated
				if n := executions(f, key); n > 1 || a.notRun && n > 0 {
					t.Errorf("%s: %d executions after %d %s", key, n, a.status, a.body)
				}
			}
			if n := executions(f, key); ran && n != 1 {
				t.Errorf("%s: reported as run with %d executions", key, n)
			}
		})
	}
	all.Wait()
	for name, s := range f.Services {
		if seen := s.Stats().KeysSeen; seen != 0 {
			t.Errorf("service %s saw %d keys", name, seen)
		}
	}
}

func executions(f *Fleet, key string) int64 {
	n := int64(0)
	for _, s := range f.Services {
		n += s.Executions(key)
	}
	return n
}

// Guards against sending requests to an endpoint more than 3 s after the platform
// listed its VM as leaving.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(2),
		NodesPerDomain: 2,
	})
	var e spec.Endpoint
	for _, x := range f.Config.Endpoints {
		if x.Name == "assistant-d1" {
			e = x
		}
	}
	f.Platform.PutVM(store.VM{
		Name:    e.Name,
		Address: e.Address,
		Domain:  e.Domain,
		Leaving: true,
	})
	listed := time.Now()
	var before int64
	counting := false
	for time.Since(listed) < 6*time.Second {
		if !counting && time.Since(listed) > 3*time.Second {
			before, counting = f.Engines[e.Name].Stats().Requests, true
		}
		for i := range f.Nodes {
			if a := complete(t, f, i, keys["club"], 2); a.status != http.StatusOK {
				t.Fatalf("node %d: %d %s", i, a.status, a.body)
			}
		}
	}
	if after := f.Engines[e.Name].Stats().Requests; after != before {
		t.Errorf("the leaving endpoint got %d requests later than 3 s after it was listed", after-before)
	}
}

// Guards against a planned replacement of VMs that cuts off or refuses requests.
// Every node is replaced, one after another, under load.
func TestRollingReplacementLosesNothing(t *testing.T) {
	t.Parallel()
	f, keys := testFleet(t, Options{
		Config:         testConfig(2),
		NodesPerDomain: 2,
	})
	var mu sync.Mutex
	live := append([]*node.Node(nil), f.Nodes...)
	ctx, stop := context.WithCancel(t.Context())
	var served, failed atomic.Int64
	var all sync.WaitGroup
	for c := range 8 {
		all.Go(func() {
			for n := c; ctx.Err() == nil; n++ {
				// The load balancer sends requests to ready nodes only.
				mu.Lock()
				target := live[n%len(live)]
				mu.Unlock()
				if !target.Ready() {
					continue
				}
				a := doAt(t, target.CallersAddr, http.MethodPost, "/v1/completions", keys["club"],
					`{"model":"lane-rules","prompt":"x","max_tokens":200}`)
				if a.status == http.StatusOK {
					served.Add(1)
					continue
				}
				failed.Add(1)
				t.Errorf("node at %s: %d %s", target.CallersAddr, a.status, a.body)
			}
		})
	}
	for i := range len(live) {
		mu.Lock()
		old := live[i]
		domain := f.Config.Domains[i/2].Name
		replacement, err := f.AddNode(fmt.Sprintf("%s-new-%d", domain, i), domain)
		mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, 15*time.Second, func() error {
			if !replacement.Ready() {
				return fmt.Errorf("replacement %d is not ready", i)
			}
			return nil
		})
		mu.Lock()
		live[i] = replacement
		mu.Unlock()
		shutdownCtx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		if cut := old.Shutdown(shutdownCtx); len(cut) > 0 {
			t.Errorf("replacing node %d cut %v", i, cut)
		}
		cancel()
	}
	stop()
	all.Wait()
	t.Logf("%d requests served while 4 nodes were replaced, %d failed", served.Load(), failed.Load())
	if served.Load() == 0 {
		t.Error("no request was served")
	}
}

// TestShutdownAnswersRequestsReadInPart guards against requests that a node reads and
// drops without an answer, because a part of them was read when its listener closed.
func TestShutdownAnswersRequestsReadInPart(t *testing.T) {
	t.Parallel()
	f, _ := testFleet(t, Options{
		Config:         testConfig(1),
		NodesPerDomain: 1,
	})
	n := f.Nodes[0]
	c, err := net.Dial("tcp", n.CallersAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET /healthz HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	ended := make(chan []string, 1)
	go func() { ended <- n.Shutdown(t.Context()) }()
	eventually(t, 15*time.Second, func() error {
		other, err := net.Dial("tcp", n.CallersAddr)
		if err != nil {
			return nil
		}
		other.Close()
		return errors.New("the listener is open")
	})
	if _, err := c.Write([]byte("Host: caller.example\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("the request got %d, connection closes: %v", res.StatusCode, res.Close)
	}
	if cut := <-ended; len(cut) > 0 {
		t.Errorf("cut %v", cut)
	}
}
