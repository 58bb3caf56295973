package place

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/pkg/spec"
)

// TestMain sets a fixed seed and the depth of the fuzz. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "1",
		"rapid.checks": "200",
		"rapid.steps":  "120",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var errLost = errors.New("no answer")

// fakeEngine is an endpoint that accepts every order that its fence and
// deadline allow, even one that overcommits its memory.
type fakeEngine struct {
	name     string
	memory   int64
	fencing  bool
	deadline bool // refuses orders after their deadline
	keeps    bool // keeps its fence when it restarts

	incarnation int
	fence       engine.Fence
	role        engine.Role
	resident    map[Item]int64
	running     map[string]engine.Order
	finish      map[string]time.Time
	seen        map[string]engine.OrderPhase
}

func newFakeEngine(name string, memory int64, fencing, deadline bool) *fakeEngine {
	f := &fakeEngine{
		name:     name,
		memory:   memory,
		fencing:  fencing,
		deadline: deadline,
		role:     engine.RoleMixed,
	}
	f.restart()
	return f
}

// restart empties the memory and forgets the orders.
func (f *fakeEngine) restart() {
	f.incarnation++
	if !f.keeps {
		f.fence = engine.Fence{}
	}
	f.resident = map[Item]int64{}
	f.running = map[string]engine.Order{}
	f.finish = map[string]time.Time{}
	f.seen = map[string]engine.OrderPhase{}
}

func (f *fakeEngine) receive(now time.Time, o engine.Order, takes time.Duration) (engine.OrderStatus, string) {
	if p, ok := f.seen[o.ID]; ok {
		return engine.OrderStatus{ID: o.ID, Phase: p}, ""
	}
	if f.fencing && o.Fence.Less(f.fence) {
		return engine.OrderStatus{}, engine.CodeStaleFence
	}
	if f.deadline && !now.Before(o.Deadline) {
		return engine.OrderStatus{}, "deadline"
	}
	if f.fencing {
		f.fence = o.Fence
	}
	f.seen[o.ID] = engine.OrderRunning
	f.running[o.ID] = o
	f.finish[o.ID] = now.Add(takes)
	f.advance(now)
	return engine.OrderStatus{ID: o.ID, Phase: f.seen[o.ID]}, ""
}

// advance finishes the orders whose time has come.
func (f *fakeEngine) advance(now time.Time) {
	for id, o := range f.running {
		if now.Before(f.finish[id]) {
			continue
		}
		delete(f.running, id)
		delete(f.finish, id)
		f.seen[id] = engine.OrderDone
		i := itemOf(o)
		switch o.Kind {
		case engine.OrderLoad:
			f.resident[i] = max(f.resident[i], o.MemoryMiB)
		case engine.OrderLoadAdapter:
			if _, ok := f.resident[Item{Model: i.Model, Version: i.Version}]; !ok {
				f.seen[id] = engine.OrderFailed
				continue
			}
			f.resident[i] = max(f.resident[i], o.MemoryMiB)
		case engine.OrderUnload:
			for j := range f.resident {
				if j.Model == i.Model && j.Version == i.Version {
					delete(f.resident, j)
				}
			}
		case engine.OrderUnloadAdapter:
			delete(f.resident, i)
		case engine.OrderRole:
			f.role = o.Role
		}
	}
}

func (f *fakeEngine) status(id string) engine.OrderStatus {
	p, ok := f.seen[id]
	if !ok {
		p = engine.OrderUnseen
	}
	return engine.OrderStatus{ID: id, Phase: p}
}

func (f *fakeEngine) state() engine.State {
	st := engine.State{
		Incarnation: fmt.Sprint(f.incarnation),
		MemoryMiB:   f.memory,
		Fence:       f.fence,
		Role:        f.role,
	}
	for i, mib := range f.resident {
		st.Resident = append(st.Resident, engine.Resident{
			Model:     i.Model,
			Version:   i.Version,
			Adapter:   i.Adapter,
			MemoryMiB: mib,
		})
	}
	for _, o := range f.running {
		st.Running = append(st.Running, o)
	}
	return st
}

// used is the memory that is resident or being loaded.
func (f *fakeEngine) used() int64 {
	all := map[Item]int64{}
	for i, mib := range f.resident {
		all[i] = mib
	}
	for _, o := range f.running {
		if takesMemory(o.Kind) {
			all[itemOf(o)] = max(all[itemOf(o)], o.MemoryMiB)
		}
	}
	var sum int64
	for _, mib := range all {
		sum += mib
	}
	return sum
}

// message is an action on its way to an endpoint, or its result on the way back.
type message struct {
	to     *process
	action Action
	state  *StateResult
	order  *OrderResult
}

// process is one manager with its view of the lease.
type process struct {
	m    *Manager
	auth Authority
	in   Inputs
	node uint64
	held Layout // as a node that follows the replies has it
}

// follow brings the held layout up to date over the wire and compares it with
// the manager's.
func (p *process) follow() error {
	data, err := cbor.Marshal(p.m.Reply(p.held.Term, p.held.Seq))
	if err != nil {
		return err
	}
	var r LayoutReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return err
	}
	if err := errors.Join(r.Validate(), p.held.Apply(r), p.held.Validate()); err != nil {
		return err
	}
	if want := p.m.Layout(); fmt.Sprint(p.held) != fmt.Sprint(want) {
		return fmt.Errorf("after a reply the layout is\n%+v, want\n%+v", p.held, want)
	}
	return nil
}

// world connects managers with fake endpoints. Time is simulated.
type world struct {
	now     time.Time
	cfg     *spec.Config
	set     Settings
	engines map[string]*fakeEngine
	procs   []*process
	holder  *process
	epoch   int64
	outage  bool
	outAt   time.Time
	alone   bool // only the first process stands in during an outage
	net     []message
	hold    bool // loads on their way to endpoints are held up
	copies  bool // a copy of each load is held up
	held    []message
	nodes   uint64
	takes   func(engine.Order) time.Duration
}

func (w *world) join() *process {
	w.nodes++
	set := w.set
	set.Node, set.Incarnation = w.nodes, fmt.Sprint(w.nodes)
	p := &process{
		m:    NewManager(set),
		node: w.nodes,
	}
	p.in.Config = w.cfg
	return p
}

const testTerm = 10 * time.Second

// renew extends the lease of its holder, or gives it to a process once the old
// holder's validity and the margin are over.
func (w *world) renew(p *process) {
	if w.outage {
		return
	}
	if w.holder != p {
		if w.holder != nil && w.now.Before(w.holder.auth.Until.Add(testTerm/10)) {
			return
		}
		w.holder = p
		p.auth.Since = w.now
	}
	w.epoch++
	p.auth.Until, p.auth.Epoch = w.now.Add(testTerm), w.epoch
}

// step runs a manager and puts its actions on the net.
func (w *world) step(p *process) {
	in := p.in
	p.in = Inputs{}
	in.Authority = p.auth
	if w.outage && (!w.alone || p == w.procs[0]) {
		in.Authority.Outage = w.outAt
	}
	for _, a := range p.m.Step(w.now, in) {
		w.net = append(w.net, message{
			to:     p,
			action: a,
		})
	}
}

// deliver moves one message on: an action takes effect and its result starts
// its way back, or a result reaches its manager.
func (w *world) deliver(msg message) {
	switch {
	case msg.state != nil:
		msg.to.in.States = append(msg.to.in.States, *msg.state)
		return
	case msg.order != nil:
		msg.to.in.Orders = append(msg.to.in.Orders, *msg.order)
		return
	}
	back := message{
		to: msg.to,
	}
	switch a := msg.action.(type) {
	case SendOrder:
		f := w.engines[a.Endpoint]
		if !f.deadline && !w.now.Before(a.Order.Deadline) {
			// The stated limit: an endpoint without this check gets no order
			// later than its deadline.
			return
		}
		st, refused := f.receive(w.now, a.Order, w.takes(a.Order))
		back.order = &OrderResult{
			Endpoint: a.Endpoint,
			ID:       a.Order.ID,
			Status:   st,
			Refused:  refused,
		}
	case ReadOrder:
		back.order = &OrderResult{
			Endpoint: a.Endpoint,
			ID:       a.ID,
			Status:   w.engines[a.Endpoint].status(a.ID),
		}
	case ReadState:
		back.state = &StateResult{
			Endpoint: a.Endpoint,
			Asked:    a.Asked,
			State:    w.engines[a.Endpoint].state(),
		}
	}
	w.net = append(w.net, back)
}

// fail gives a message's manager the news that there is no answer.
func (w *world) fail(msg message) {
	switch a := msg.action.(type) {
	case SendOrder:
		msg.to.in.Orders = append(msg.to.in.Orders, OrderResult{Endpoint: a.Endpoint, ID: a.Order.ID, Err: errLost})
	case ReadState:
		msg.to.in.States = append(msg.to.in.States, StateResult{Endpoint: a.Endpoint, Asked: a.Asked, Err: errLost})
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, f := range w.engines {
		f.advance(w.now)
	}
}

// run lets the processes work for a while. Their messages take no time, but
// loads are held up while hold is set.
func (w *world) run(d time.Duration, procs []*process, each func()) {
	for end := w.now.Add(d); w.now.Before(end); w.advance(200 * time.Millisecond) {
		for _, p := range procs {
			if w.holder == nil || w.holder == p || !w.now.Before(w.holder.auth.Until) {
				w.renew(p)
			}
			w.step(p)
		}
		for len(w.net) > 0 {
			msg := w.net[0]
			w.net = w.net[1:]
			if a, ok := msg.action.(SendOrder); ok && (w.hold || w.copies) && takesMemory(a.Order.Kind) {
				w.held = append(w.held, msg)
				if w.hold {
					continue
				}
			}
			w.deliver(msg)
		}
		each()
	}
}

// overcommitted names an endpoint whose memory is exceeded.
func (w *world) overcommitted() string {
	for _, f := range w.engines {
		if f.used() > f.memory {
			return fmt.Sprintf("%s (fencing %v) holds %d of %d MiB: resident %v, running %v", f.name, f.fencing, f.used(), f.memory, f.resident, f.running)
		}
	}
	return ""
}
