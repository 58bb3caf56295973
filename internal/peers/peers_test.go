package peers

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The fixed seed makes runs reproducible; flags override the defaults.
	for _, d := range []string{"seed=1", "checks=40", "steps=30", "shrinktime=5s", "nofailfile=true"} {
		name, value, _ := strings.Cut("rapid."+d, "=")
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	tick = 100 * time.Millisecond
	// callTimeout is the timeout of the transport; a later response is lost.
	callTimeout = time.Second
	// convergenceBound is the stated bound for convergence after the last fault:
	// the platform's list is read every 30 s, an address that did not answer is
	// probed every 10 s, a silent process is considered live for 3 s, and two
	// exchanges distribute the result.
	convergenceBound = listInterval + maxBackoff + LiveTerm + 2*time.Second
)

// The faults that TestCheckFindsBrokenMembership injects into the mechanisms.
const (
	timeoutProves = "a timeout is treated as a proof of death"
	noListedVMs   = "listed addresses of unknown nodes are not probed"
)

// node is one process. A paused one is alive: the kernel accepts connections,
// and requests are handled when it resumes.
type node struct {
	*Peers
	paused                bool
	inbox                 []func()
	sent, received, bytes int
}

// network simulates a network of processes, by address.
type network struct {
	t               *rapid.T
	now             time.Time
	nodes           map[string]*node
	unresponsive    map[string]bool
	events          map[time.Time][]func()
	partitioned     func(a, b Settings) bool
	vmList          []store.VM
	delay           func() time.Duration
	lastIncarnation uint64
	// disabled is the injected fault, or empty.
	disabled string
	seeds    []Seed
}

func newNetwork(domains, size int) *network {
	w := &network{
		now:          time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:        map[string]*node{},
		unresponsive: map[string]bool{},
		events:       map[time.Time][]func(){},
		delay:        func() time.Duration { return 0 },
	}
	for d := range domains {
		w.seeds = append(w.seeds, Seed{Address: fmt.Sprintf("10.%d.0.0:7400", d), Domain: fmt.Sprintf("d%02d", d)})
	}
	for d := range domains {
		for i := range size {
			w.start(fmt.Sprintf("vm-%02d-%02d", d, i), fmt.Sprintf("10.%d.0.%d:7400", d, i), fmt.Sprintf("d%02d", d))
		}
	}
	w.vmList = w.currentVMs()
	return w
}

func (w *network) start(name, address, domain string) {
	w.lastIncarnation++
	w.nodes[address] = &node{Peers: New(Settings{
		Name: name, Domain: domain, Address: address, Seeds: w.seeds,
		// Nanoseconds of the start are 9 bytes on the wire, as in a real node.
		Incarnation: uint64(w.now.UnixNano()) + w.lastIncarnation,
	}, w.now)}
	delete(w.unresponsive, address)
}

// currentVMs lists the VMs that have a process.
func (w *network) currentVMs() []store.VM {
	var out []store.VM
	for _, a := range slices.Sorted(maps.Keys(w.nodes)) {
		s := w.nodes[a].settings
		out = append(out, store.VM{Name: s.Name, Address: s.Address, Domain: s.Domain})
	}
	return out
}

func (w *network) after(d time.Duration, f func()) {
	at := w.now.Add(max(d, tick).Truncate(tick))
	w.events[at] = append(w.events[at], f)
}

func (n *node) deliver(f func()) {
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, f := range w.events[w.now] {
			f()
		}
		delete(w.events, w.now)
		for _, a := range slices.Sorted(maps.Keys(w.nodes)) {
			n := w.nodes[a]
			if n.paused {
				continue
			}
			if n.VMListDue(w.now) {
				n.SetVMs(w.now, w.vmList)
			}
			for _, pb := range n.Step(w.now) {
				w.send(n, pb)
			}
		}
		w.check()
	}
}

// roundTrip encodes, decodes and validates a message.
func roundTrip[M interface{ Validate() error }](from, to *node, m M) M {
	data, err := cbor.Marshal(m)
	from.bytes += len(data)
	to.bytes += len(data)
	var out M
	err = errors.Join(err, cbor.Unmarshal(data, &out))
	if err = errors.Join(err, out.Validate()); err != nil {
		panic(err)
	}
	return out
}

func (w *network) send(from *node, pb Probe) {
	if w.disabled == noListedVMs && pb.To.Name == "" {
		return
	}
	from.sent++
	deadline := w.now.Add(callTimeout)
	done := false
	finish := func(f func()) {
		if !done {
			done = true
			from.deliver(f)
		}
	}
	fail := func(f Failure) func() {
		if w.disabled == timeoutProves {
			f = Refused
		}
		return func() { from.HandleFailure(w.now, pb, f) }
	}
	w.after(callTimeout, func() { finish(fail(Timeout)) })
	w.after(w.delay(), func() {
		to, ok := w.nodes[pb.To.Address]
		switch {
		case w.unresponsive[pb.To.Address], w.partitioned != nil && w.partitioned(from.settings, Settings{Address: pb.To.Address, Domain: pb.To.Domain}):
			return
		case !ok:
			w.after(w.delay(), func() { finish(fail(Refused)) })
			return
		}
		to.deliver(func() {
			to.received++
			reply := roundTrip(to, from, to.HandleRequest(w.now, roundTrip(from, to, pb.Request)))
			w.after(w.delay(), func() {
				if !w.now.After(deadline) {
					finish(func() { from.HandleResponse(w.now, pb, reply) })
				}
			})
		})
	})
}

// check fails if a process that runs or is paused is reported as dead.
func (w *network) check() {
	if w.t == nil {
		return
	}
	alive := map[Process]bool{}
	for _, n := range w.nodes {
		alive[n.self()] = true
	}
	for _, n := range w.nodes {
		for _, id := range n.DeadProcesses() {
			if alive[id] {
				w.t.Fatalf("%s reports %s/%d as proved dead, and it is alive", n.settings.Name, id.Name, id.Incarnation)
			}
		}
	}
}

// findDivergence describes the first node whose view differs from the running
// processes, or returns an empty string.
func (w *network) findDivergence() string {
	want := map[string][]string{}
	for _, n := range w.nodes {
		if !n.leaving {
			want[n.settings.Domain] = append(want[n.settings.Domain], n.settings.Name)
		}
	}
	for _, names := range want {
		slices.Sort(names)
	}
	for _, a := range slices.Sorted(maps.Keys(w.nodes)) {
		n := w.nodes[a]
		if got := n.LiveNodes(); !slices.Equal(got, want[n.settings.Domain]) {
			return fmt.Sprintf("%s reports %v as live, want %v", n.settings.Name, got, want[n.settings.Domain])
		}
		for _, d := range n.Domains() {
			var got []string
			for _, m := range d.Members {
				if m.State == Live {
					got = append(got, m.Name)
				}
			}
			if len(want[d.Name]) > 0 && !slices.Equal(got, want[d.Name]) {
				return fmt.Sprintf("%s lists %v in %s, want %v", n.settings.Name, got, d.Name, want[d.Name])
			}
		}
		if len(n.Domains()) != len(want) {
			return fmt.Sprintf("%s knows %d domains of %d", n.settings.Name, len(n.Domains()), len(want))
		}
	}
	return ""
}

func checkPeers(t *rapid.T, disabled string) {
	const size = 4
	w := newNetwork(3, size)
	w.t = t
	w.run(2 * time.Second)
	w.disabled = disabled
	addresses := slices.Sorted(maps.Keys(w.nodes))
	pick := func(t *rapid.T) (string, *node) {
		a := rapid.SampledFrom(addresses).Draw(t, "address")
		return a, w.nodes[a]
	}
	cuts := map[string]bool{}
	w.partitioned = func(a, b Settings) bool {
		return cuts[a.Address] || cuts[b.Address] || a.Domain != b.Domain && (cuts[a.Domain+b.Domain] || cuts[b.Domain+a.Domain])
	}
	w.delay = func() time.Duration {
		return rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 300 * time.Millisecond, 900 * time.Millisecond, 8 * time.Second}).Draw(w.t, "delay")
	}
	resume := func(n *node) {
		if n == nil {
			return
		}
		n.paused = false
		for _, f := range n.inbox {
			f()
		}
		n.inbox = nil
	}
	name := func(a string) string { return "vm-" + strings.ReplaceAll(strings.TrimSuffix(a, ":7400"), ".", "-") }
	domain := func(a string) string { return fmt.Sprintf("d%02d", slices.Index(addresses, a)/size) }
	restart := func(a string) { w.start(name(a), a, domain(a)) }
	actions := map[string]func(*rapid.T){
		"run": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick) },
		"kill": func(t *rapid.T) {
			a, _ := pick(t)
			delete(w.nodes, a)
			w.unresponsive[a] = rapid.Bool().Draw(t, "with its VM")
		},
		"restart": func(t *rapid.T) {
			a, _ := pick(t)
			restart(a)
			if rapid.IntRange(0, 3).Draw(t, "clock back") == 0 {
				w.nodes[a].settings.Incarnation -= 1e12
			}
		},
		"replace": func(t *rapid.T) {
			a, _ := pick(t)
			w.lastIncarnation++
			w.start(fmt.Sprintf("new-%d", w.lastIncarnation), a, domain(a))
		},
		"pause": func(t *rapid.T) {
			if _, n := pick(t); n != nil {
				n.paused = true
			}
		},
		"resume": func(t *rapid.T) {
			_, n := pick(t)
			resume(n)
		},
		"leave": func(t *rapid.T) {
			if _, n := pick(t); n != nil && !n.paused {
				n.Leave()
			}
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "node") {
				a, _ := pick(t)
				cuts[a] = !cuts[a]
				return
			}
			pair := domain(addresses[0]) + domain(rapid.SampledFrom(addresses[size:]).Draw(t, "other"))
			cuts[pair] = !cuts[pair]
		},
		"list": func(t *rapid.T) {
			w.vmList = w.currentVMs()
			for i := range w.vmList {
				switch rapid.IntRange(0, 5).Draw(t, "wrong") {
				case 0:
					w.vmList[i].Address = rapid.SampledFrom(addresses).Draw(t, "address")
				case 1:
					w.vmList[i].Domain = domain(rapid.SampledFrom(addresses).Draw(t, "address"))
				case 2:
					w.vmList[i] = store.VM{Name: "ghost", Address: "10.9.9.9:7400", Domain: "d01"}
				}
			}
		},
	}
	all := maps.Clone(actions)
	for name, op := range actions {
		all[name] = func(t *rapid.T) { w.t = t; op(t) }
	}
	t.Repeat(all)
	w.t = t
	// All faults end, and every VM gets a process that is not leaving.
	clear(cuts)
	w.delay = func() time.Duration { return 0 }
	for _, a := range addresses {
		if n := w.nodes[a]; n == nil || n.leaving {
			restart(a)
		}
		resume(w.nodes[a])
	}
	w.vmList = w.currentVMs()
	w.run(convergenceBound)
	if d := w.findDivergence(); d != "" {
		t.Fatalf("%v after the last fault %s", convergenceBound, d)
	}
}

// TestMembershipUnderFaults guards against a live process reported as proved
// dead, and against nodes that do not find each other again within the bound after
// kills, pauses, restarts, partitions, delayed messages and a wrong VM list.
func TestMembershipUnderFaults(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(t *rapid.T) { checkPeers(t, "") })
}

// recorder is a testing.TB that records the failure of a check that is expected
// to fail.
type recorder struct {
	testing.TB
	failed bool
	log    []string
}

func (r *recorder) Failed() bool              { return r.failed }
func (r *recorder) Fail()                     { r.failed = true }
func (r *recorder) FailNow()                  { r.failed = true; runtime.Goexit() }
func (r *recorder) Logf(f string, a ...any)   { r.log = append(r.log, fmt.Sprintf(f, a...)) }
func (r *recorder) Errorf(f string, a ...any) { r.Logf(f, a...); r.Fail() }
func (r *recorder) Fatalf(f string, a ...any) { r.Logf(f, a...); r.FailNow() }

// TestCheckFindsBrokenMembership verifies that the check of
// TestMembershipUnderFaults can fail: with a fault injected it has to find a live
// process reported as dead, or nodes that do not converge.
func TestCheckFindsBrokenMembership(t *testing.T) {
	shrink := flag.Lookup("rapid.shrinktime")
	defer func(old string) { _ = shrink.Value.Set(old) }(shrink.Value.String())
	_ = shrink.Value.Set("100ms")
	for disabled, want := range map[string]string{timeoutProves: "it is alive", noListedVMs: "after the last fault"} {
		r := &recorder{TB: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(r, func(t *rapid.T) { checkPeers(t, disabled) })
		}()
		<-done
		found := slices.IndexFunc(r.log, func(line string) bool { return strings.Contains(line, want) })
		if !r.failed || found < 0 {
			t.Errorf("%s: the check did not find it:\n%s", disabled, strings.Join(r.log, "\n"))
			continue
		}
		t.Logf("%s: %s", disabled, strings.SplitN(r.log[found], "\n", 2)[0])
	}
}

// TestProofsOfDeath guards against a process whose death is never proved, so that
// its slots stay unused, and against a leaving node that still receives work.
func TestProofsOfDeath(t *testing.T) {
	w := newNetwork(1, 6)
	w.run(6 * time.Second)
	killed, replaced, paused, leaving := w.nodes["10.0.0.1:7400"], w.nodes["10.0.0.2:7400"], w.nodes["10.0.0.3:7400"], w.nodes["10.0.0.4:7400"]
	delete(w.nodes, "10.0.0.1:7400")
	w.start("vm-00-02", "10.0.0.2:7400", "d00")
	paused.paused = true
	leaving.Leave()
	// A silent process is probed in the ring, and a relay forwards the proof.
	w.run(LiveTerm + 2*RingProbeInterval + 2*SyncInterval)
	for _, n := range w.nodes {
		if n == paused {
			continue
		}
		want := []Process{killed.self(), replaced.self()}
		if got := n.DeadProcesses(); !slices.Equal(got, want) {
			t.Errorf("%s has proofs for %v, want %v", n.settings.Name, got, want)
		}
		if got := n.LiveNodes(); !slices.Equal(got, []string{"vm-00-00", "vm-00-02", "vm-00-05"}) {
			t.Errorf("%s reports %v as live", n.settings.Name, got)
		}
		if m, ok := n.Lookup("d00", "vm-00-04"); !ok || !m.Leaving {
			t.Errorf("%s does not find the leaving node", n.settings.Name)
		}
	}
}

// TestTrafficPerNode guards against control traffic that grows with the fleet, and
// against more than the 5 KB/s that a node may use.
func TestTrafficPerNode(t *testing.T) {
	// A request and its response over an open stream take three packets with 52
	// bytes of TCP/IP headers and two gRPC frames of 14 bytes. A separate call
	// takes one more packet for an acknowledgement and 110 bytes of headers.
	const stream, call = 3*52 + 2*14, 4*52 + 110
	const limit, seconds = 5 << 10, 10
	t.Logf("%5s %7s %5s %11s %8s %10s %10s", "nodes", "domains", "role", "exchanges/s", "messages", "as stream", "as calls")
	for _, c := range []struct{ domains, size int }{{4, 2}, {8, 7}, {30, 14}} {
		w := newNetwork(c.domains, c.size)
		w.run(10 * time.Second)
		if d := w.findDivergence(); d != "" {
			t.Fatalf("%d nodes: %s", c.domains*c.size, d)
		}
		for _, n := range w.nodes {
			n.sent, n.received, n.bytes = 0, 0, 0
		}
		w.run(seconds * time.Second)
		for _, relay := range []bool{false, true} {
			role, worst := map[bool]string{false: "node", true: "relay"}[relay], &node{}
			for _, n := range w.nodes {
				if n.IsRelay() == relay && n.sent+n.received > worst.sent+worst.received {
					worst = n
				}
			}
			if worst.sent == 0 {
				continue
			}
			exchanges, bytes := float64(worst.sent+worst.received)/seconds, float64(worst.bytes)/seconds
			t.Logf("%5d %7d %5s %11.1f %4.0f B/s %6.0f B/s %6.0f B/s",
				c.domains*c.size, c.domains, role, exchanges, bytes, bytes+exchanges*stream, bytes+exchanges*call)
			if bytes+exchanges*stream > limit {
				t.Errorf("a %s of %d nodes uses %.0f B/s, at most %d are allowed", role, c.domains*c.size, bytes+exchanges*stream, limit)
			}
			// Two requests to relays a second, and three probes each way in 2 s.
			if !relay && exchanges > 2+3 {
				t.Errorf("a node of %d exchanges %.1f times a second, which grows with the fleet", c.domains*c.size, exchanges)
			}
		}
	}
}
