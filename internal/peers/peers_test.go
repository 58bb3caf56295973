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
	// A fixed seed gives the same verdict in each run; another one can be given.
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
	// callTimeout is the transport's; a response that takes longer is lost.
	callTimeout = time.Second
	// converge is the stated bound after the last fault: the platform's list is
	// read every 30 s, an address that did not answer is probed every 10 s, a
	// silent process counts as live for 3 s, and two exchanges pass it on.
	converge = listEvery + maxBackoff + LiveTerm + 2*time.Second
)

// The mechanisms that a check is run without.
const (
	timeoutProves = "a timeout is taken for a proof of death"
	noHints       = "listed addresses that nobody hears are not probed"
)

// node is one process. A paused one is alive: the kernel accepts connections,
// and what arrives is handled late.
type node struct {
	*Peers
	paused                bool
	inbox                 []func()
	sent, received, bytes int
}

// world is a network of processes by address.
type world struct {
	t     *rapid.T
	now   time.Time
	vms   map[string]*node
	gone  map[string]bool
	later map[time.Time][]func()
	cut   func(a, b Settings) bool
	list  []store.VM
	delay func() time.Duration
	inc   uint64
	// mutant names the mechanism that is switched off.
	mutant string
	seeds  []Seed
}

func newWorld(domains, size int) *world {
	w := &world{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		vms:   map[string]*node{},
		gone:  map[string]bool{},
		later: map[time.Time][]func(){},
		delay: func() time.Duration { return 0 },
	}
	for d := range domains {
		w.seeds = append(w.seeds, Seed{Address: fmt.Sprintf("10.%d.0.0:7400", d), Domain: fmt.Sprintf("d%02d", d)})
	}
	for d := range domains {
		for i := range size {
			w.start(fmt.Sprintf("vm-%02d-%02d", d, i), fmt.Sprintf("10.%d.0.%d:7400", d, i), fmt.Sprintf("d%02d", d))
		}
	}
	w.list = w.truth()
	return w
}

func (w *world) start(name, address, domain string) {
	w.inc++
	w.vms[address] = &node{Peers: New(Settings{
		Name: name, Domain: domain, Address: address, Seeds: w.seeds,
		// Nanoseconds of the start are 9 bytes on the wire, as in a real node.
		Incarnation: uint64(w.now.UnixNano()) + w.inc,
	}, w.now)}
	delete(w.gone, address)
}

// truth lists the VMs that have a process.
func (w *world) truth() []store.VM {
	var out []store.VM
	for _, a := range slices.Sorted(maps.Keys(w.vms)) {
		s := w.vms[a].set
		out = append(out, store.VM{Name: s.Name, Address: s.Address, Domain: s.Domain})
	}
	return out
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(max(d, tick).Truncate(tick))
	w.later[at] = append(w.later[at], f)
}

func (n *node) deliver(f func()) {
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, f := range w.later[w.now] {
			f()
		}
		delete(w.later, w.now)
		for _, a := range slices.Sorted(maps.Keys(w.vms)) {
			n := w.vms[a]
			if n.paused {
				continue
			}
			if n.ListDue(w.now) {
				n.List(w.now, w.list)
			}
			for _, pb := range n.Step(w.now) {
				w.send(n, pb)
			}
		}
		w.check()
	}
}

// wire passes a message through its encoding and its validation.
func wire[M interface{ Validate() error }](from, to *node, m M) M {
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

func (w *world) send(from *node, pb Probe) {
	if w.mutant == noHints && pb.To.Name == "" {
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
		if w.mutant == timeoutProves {
			f = Refused
		}
		return func() { from.Failed(w.now, pb, f) }
	}
	w.after(callTimeout, func() { finish(fail(Timeout)) })
	w.after(w.delay(), func() {
		to, ok := w.vms[pb.To.Address]
		switch {
		case w.gone[pb.To.Address], w.cut != nil && w.cut(from.set, Settings{Address: pb.To.Address, Domain: pb.To.Domain}):
			return
		case !ok:
			w.after(w.delay(), func() { finish(fail(Refused)) })
			return
		}
		to.deliver(func() {
			to.received++
			reply := wire(to, from, to.Answer(w.now, wire(from, to, pb.Hello)))
			w.after(w.delay(), func() {
				if !w.now.After(deadline) {
					finish(func() { from.Heard(w.now, pb, reply) })
				}
			})
		})
	})
}

// check holds at any time: a process that runs, or is paused, is not dead.
func (w *world) check() {
	if w.t == nil {
		return
	}
	alive := map[Process]bool{}
	for _, n := range w.vms {
		alive[n.self()] = true
	}
	for _, n := range w.vms {
		for _, id := range n.DeadIncarnations() {
			if alive[id] {
				w.t.Fatalf("%s reports %s/%d as proved dead, and it is alive", n.set.Name, id.Name, id.Incarnation)
			}
		}
	}
}

// diverged names the first node whose view differs from the truth.
func (w *world) diverged() string {
	want := map[string][]string{}
	for _, n := range w.vms {
		if !n.leaving {
			want[n.set.Domain] = append(want[n.set.Domain], n.set.Name)
		}
	}
	for _, names := range want {
		slices.Sort(names)
	}
	for _, a := range slices.Sorted(maps.Keys(w.vms)) {
		n := w.vms[a]
		if got := n.Local(); !slices.Equal(got, want[n.set.Domain]) {
			return fmt.Sprintf("%s takes %v for live, and %v are", n.set.Name, got, want[n.set.Domain])
		}
		for _, d := range n.Domains() {
			var got []string
			for _, m := range d.Members {
				if m.State == Live {
					got = append(got, m.Name)
				}
			}
			if len(want[d.Name]) > 0 && !slices.Equal(got, want[d.Name]) {
				return fmt.Sprintf("%s lists %v in %s, and %v are", n.set.Name, got, d.Name, want[d.Name])
			}
		}
		if len(n.Domains()) != len(want) {
			return fmt.Sprintf("%s knows %d domains of %d", n.set.Name, len(n.Domains()), len(want))
		}
	}
	return ""
}

func checkPeers(t *rapid.T, mutant string) {
	const size = 4
	w := newWorld(3, size)
	w.t = t
	w.run(2 * time.Second)
	w.mutant = mutant
	addresses := slices.Sorted(maps.Keys(w.vms))
	pick := func(t *rapid.T) (string, *node) {
		a := rapid.SampledFrom(addresses).Draw(t, "address")
		return a, w.vms[a]
	}
	cuts := map[string]bool{}
	w.cut = func(a, b Settings) bool {
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
			delete(w.vms, a)
			w.gone[a] = rapid.Bool().Draw(t, "with its VM")
		},
		"restart": func(t *rapid.T) {
			a, _ := pick(t)
			restart(a)
			if rapid.IntRange(0, 3).Draw(t, "clock back") == 0 {
				w.vms[a].set.Incarnation -= 1e12
			}
		},
		"replace": func(t *rapid.T) {
			a, _ := pick(t)
			w.inc++
			w.start(fmt.Sprintf("new-%d", w.inc), a, domain(a))
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
			w.list = w.truth()
			for i := range w.list {
				switch rapid.IntRange(0, 5).Draw(t, "wrong") {
				case 0:
					w.list[i].Address = rapid.SampledFrom(addresses).Draw(t, "address")
				case 1:
					w.list[i].Domain = domain(rapid.SampledFrom(addresses).Draw(t, "address"))
				case 2:
					w.list[i] = store.VM{Name: "ghost", Address: "10.9.9.9:7400", Domain: "d01"}
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
	// The faults end: every VM has a process that is not leaving.
	clear(cuts)
	w.delay = func() time.Duration { return 0 }
	for _, a := range addresses {
		if n := w.vms[a]; n == nil || n.leaving {
			restart(a)
		}
		resume(w.vms[a])
	}
	w.list = w.truth()
	w.run(converge)
	if d := w.diverged(); d != "" {
		t.Fatalf("%v after the last fault %s", converge, d)
	}
}

// Guards against a live process reported as proved dead, and against nodes
// that do not find each other again within the bound after kills, pauses,
// restarts, partitions, late messages and a wrong VM list.
func TestMembershipUnderFaults(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(t *rapid.T) { checkPeers(t, "") })
}

// recorder takes the verdict of a check that has to fail.
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

// Guards against an oracle that cannot fail: with a mechanism switched off, the
// same check has to find a live process among the dead, or nodes apart.
func TestCheckFindsBrokenMembership(t *testing.T) {
	shrink := flag.Lookup("rapid.shrinktime")
	defer func(old string) { _ = shrink.Value.Set(old) }(shrink.Value.String())
	_ = shrink.Value.Set("100ms")
	for mutant, want := range map[string]string{timeoutProves: "it is alive", noHints: "after the last fault"} {
		r := &recorder{TB: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(r, func(t *rapid.T) { checkPeers(t, mutant) })
		}()
		<-done
		found := slices.IndexFunc(r.log, func(line string) bool { return strings.Contains(line, want) })
		if !r.failed || found < 0 {
			t.Errorf("%s: the check did not find it:\n%s", mutant, strings.Join(r.log, "\n"))
			continue
		}
		t.Logf("%s: %s", mutant, strings.SplitN(r.log[found], "\n", 2)[0])
	}
}

// Guards against a process whose end is never proved, so that its slots stay
// unused, and against a leaving node that is still given work.
func TestProofsOfDeath(t *testing.T) {
	w := newWorld(1, 6)
	w.run(6 * time.Second)
	killed, replaced, paused, leaving := w.vms["10.0.0.1:7400"], w.vms["10.0.0.2:7400"], w.vms["10.0.0.3:7400"], w.vms["10.0.0.4:7400"]
	delete(w.vms, "10.0.0.1:7400")
	w.start("vm-00-02", "10.0.0.2:7400", "d00")
	paused.paused = true
	leaving.Leave()
	// A suspect is probed in the ring, and a relay passes the proof on.
	w.run(LiveTerm + 2*RingEvery + 2*SyncEvery)
	for _, n := range w.vms {
		if n == paused {
			continue
		}
		want := []Process{killed.self(), replaced.self()}
		if got := n.DeadIncarnations(); !slices.Equal(got, want) {
			t.Errorf("%s has proofs for %v, want %v", n.set.Name, got, want)
		}
		if got := n.Local(); !slices.Equal(got, []string{"vm-00-00", "vm-00-02", "vm-00-05"}) {
			t.Errorf("%s takes %v for live", n.set.Name, got)
		}
		if m, ok := n.Lookup("d00", "vm-00-04"); !ok || !m.Leaving {
			t.Errorf("%s does not find the leaving node", n.set.Name)
		}
	}
}

// Guards against control traffic that grows with the fleet, and against more
// than the 5 KB/s that a node may use.
func TestTrafficPerNode(t *testing.T) {
	// A request and its response over a stream that is kept open take three
	// packets with 52 bytes of TCP/IP headers and two gRPC frames of 14 bytes.
	// As a call of its own they also take an acknowledgement and headers.
	const stream, call = 3*52 + 2*14, 4*52 + 110
	const limit, seconds = 5 << 10, 10
	t.Logf("%5s %7s %5s %11s %8s %10s %10s", "nodes", "domains", "role", "exchanges/s", "messages", "as stream", "as calls")
	for _, c := range []struct{ domains, size int }{{4, 2}, {8, 7}, {30, 14}} {
		w := newWorld(c.domains, c.size)
		w.run(10 * time.Second)
		if d := w.diverged(); d != "" {
			t.Fatalf("%d nodes: %s", c.domains*c.size, d)
		}
		for _, n := range w.vms {
			n.sent, n.received, n.bytes = 0, 0, 0
		}
		w.run(seconds * time.Second)
		for _, relay := range []bool{false, true} {
			role, worst := map[bool]string{false: "node", true: "relay"}[relay], &node{}
			for _, n := range w.vms {
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
