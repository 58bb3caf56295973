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

// TestMain sets a fixed seed and the number of checks and steps of the fuzz test.
// Flags on the command line take precedence.
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

// fakeEngine simulates an endpoint. It accepts every order that its fencing token
// and the order's deadline permit, even one that overcommits its memory.
type fakeEngine struct {
	name           string
	memory         int64
	fencing        bool
	checksDeadline bool // whether it refuses orders after their deadline
	keepsFence     bool // whether its fencing token survives a restart

	incarnation int
	fence       engine.Fence
	role        engine.Role
	resident    map[Item]int64
	running     map[string]engine.Order
	finishAt    map[string]time.Time
	phases      map[string]engine.OrderPhase
}

func newFakeEngine(name string, memory int64, fencing, deadline bool) *fakeEngine {
	f := &fakeEngine{
		name:           name,
		memory:         memory,
		fencing:        fencing,
		checksDeadline: deadline,
		role:           engine.RoleMixed,
	}
	f.restart()
	return f
}

// restart empties the memory and forgets the orders.
func (f *fakeEngine) restart() {
	f.incarnation++
	if !f.keepsFence {
		f.fence = engine.Fence{}
	}
	f.resident = map[Item]int64{}
	f.running = map[string]engine.Order{}
	f.finishAt = map[string]time.Time{}
	f.phases = map[string]engine.OrderPhase{}
}

func (f *fakeEngine) receive(now time.Time, o engine.Order, takes time.Duration) (engine.OrderStatus, string) {
	if p, ok := f.phases[o.ID]; ok {
		return engine.OrderStatus{ID: o.ID, Phase: p}, ""
	}
	if f.fencing && o.Fence.Less(f.fence) {
		return engine.OrderStatus{}, engine.CodeStaleFence
	}
	if f.checksDeadline && !now.Before(o.Deadline) {
		return engine.OrderStatus{}, "deadline"
	}
	if f.fencing {
		f.fence = o.Fence
	}
	f.phases[o.ID] = engine.OrderRunning
	f.running[o.ID] = o
	f.finishAt[o.ID] = now.Add(takes)
	f.advance(now)
	return engine.OrderStatus{ID: o.ID, Phase: f.phases[o.ID]}, ""
}

// advance completes the orders that are due.
func (f *fakeEngine) advance(now time.Time) {
	for id, o := range f.running {
		if now.Before(f.finishAt[id]) {
			continue
		}
		delete(f.running, id)
		delete(f.finishAt, id)
		f.phases[id] = engine.OrderDone
		i := itemOf(o)
		switch o.Kind {
		case engine.OrderLoad:
			f.resident[i] = max(f.resident[i], o.MemoryMiB)
		case engine.OrderLoadAdapter:
			if _, ok := f.resident[Item{Model: i.Model, Version: i.Version}]; !ok {
				f.phases[id] = engine.OrderFailed
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
	p, ok := f.phases[id]
	if !ok {
		p = engine.OrderUnknown
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

// used returns the memory of the items that are resident or being loaded.
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

// message is an action in transit to an endpoint, or its result in transit to the
// manager.
type message struct {
	to     *process
	action Action
	state  *StateResult
	order  *OrderResult
}

// process is a manager with its authority, its next inputs and the layout that a
// node would hold.
type process struct {
	m      *Manager
	auth   Authority
	in     Inputs
	node   uint64
	layout Layout // updated from replies, as on a node
}

// syncLayout updates the held layout from an encoded reply and compares it with
// the manager's layout.
func (p *process) syncLayout() error {
	data, err := cbor.Marshal(p.m.Reply(p.layout.Term, p.layout.Seq))
	if err != nil {
		return err
	}
	var r LayoutReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return err
	}
	if err := errors.Join(r.Validate(), p.layout.Apply(r), p.layout.Validate()); err != nil {
		return err
	}
	if want := p.m.Layout(); fmt.Sprint(p.layout) != fmt.Sprint(want) {
		return fmt.Errorf("after a reply the layout is\n%+v, want\n%+v", p.layout, want)
	}
	return nil
}

// cluster connects managers with fake endpoints in simulated time.
type cluster struct {
	now         time.Time
	cfg         *spec.Config
	set         Settings
	engines     map[string]*fakeEngine
	procs       []*process
	holder      *process
	epoch       int64
	outage      bool
	outageSince time.Time
	oneStandIn  bool // only the first process is stand-in planner during an outage
	net         []message
	holdLoads   bool // load orders are delayed in transit
	copyLoads   bool // a copy of each load order is delayed in transit
	heldLoads   []message
	nodes       uint64
	duration    func(engine.Order) time.Duration
}

func (c *cluster) newProcess() *process {
	c.nodes++
	set := c.set
	set.Node, set.Incarnation = c.nodes, fmt.Sprint(c.nodes)
	p := &process{
		m:    NewManager(set),
		node: c.nodes,
	}
	p.in.Config = c.cfg
	return p
}

const testTerm = 10 * time.Second

// renew extends the lease of its holder. It transfers the lease to another process
// once the holder's lease has expired and the margin has passed.
func (c *cluster) renew(p *process) {
	if c.outage {
		return
	}
	if c.holder != p {
		if c.holder != nil && c.now.Before(c.holder.auth.Until.Add(testTerm/10)) {
			return
		}
		c.holder = p
		p.auth.Since = c.now
	}
	c.epoch++
	p.auth.Until, p.auth.Epoch = c.now.Add(testTerm), c.epoch
}

// step runs one step of a manager and puts its actions on the network.
func (c *cluster) step(p *process) {
	in := p.in
	p.in = Inputs{}
	in.Authority = p.auth
	if c.outage && (!c.oneStandIn || p == c.procs[0]) {
		in.Authority.OutageSince = c.outageSince
	}
	for _, a := range p.m.Step(c.now, in) {
		c.net = append(c.net, message{
			to:     p,
			action: a,
		})
	}
}

// deliver delivers a message: an action takes effect and its result is put on the
// network, or a result becomes an input of its manager.
func (c *cluster) deliver(msg message) {
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
		f := c.engines[a.Endpoint]
		if !f.checksDeadline && !c.now.Before(a.Order.Deadline) {
			// Ledger assumes that an endpoint without this check gets no order
			// later than its deadline.
			return
		}
		st, refused := f.receive(c.now, a.Order, c.duration(a.Order))
		back.order = &OrderResult{
			Endpoint:  a.Endpoint,
			ID:        a.Order.ID,
			Status:    st,
			ErrorCode: refused,
		}
	case ReadOrder:
		back.order = &OrderResult{
			Endpoint: a.Endpoint,
			ID:       a.ID,
			Status:   c.engines[a.Endpoint].status(a.ID),
		}
	case ReadState:
		back.state = &StateResult{
			Endpoint:    a.Endpoint,
			RequestedAt: a.RequestedAt,
			State:       c.engines[a.Endpoint].state(),
		}
	}
	c.net = append(c.net, back)
}

// fail reports to the manager that its action got no answer. The loss of a
// ReadOrder or of a result is not reported.
func (c *cluster) fail(msg message) {
	switch a := msg.action.(type) {
	case SendOrder:
		msg.to.in.Orders = append(msg.to.in.Orders, OrderResult{Endpoint: a.Endpoint, ID: a.Order.ID, Err: errLost})
	case ReadState:
		msg.to.in.States = append(msg.to.in.States, StateResult{Endpoint: a.Endpoint, RequestedAt: a.RequestedAt, Err: errLost})
	}
}

func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, f := range c.engines {
		f.advance(c.now)
	}
}

// run steps the processes every 200 ms for the duration d and calls each after
// every round. Messages are delivered at once, except for load orders while
// holdLoads is set.
func (c *cluster) run(d time.Duration, procs []*process, each func()) {
	for end := c.now.Add(d); c.now.Before(end); c.advance(200 * time.Millisecond) {
		for _, p := range procs {
			if c.holder == nil || c.holder == p || !c.now.Before(c.holder.auth.Until) {
				c.renew(p)
			}
			c.step(p)
		}
		for len(c.net) > 0 {
			msg := c.net[0]
			c.net = c.net[1:]
			if a, ok := msg.action.(SendOrder); ok && (c.holdLoads || c.copyLoads) && takesMemory(a.Order.Kind) {
				c.heldLoads = append(c.heldLoads, msg)
				if c.holdLoads {
					continue
				}
			}
			c.deliver(msg)
		}
		each()
	}
}

// overcommitted describes an endpoint whose memory is exceeded, "" if there is
// none.
func (c *cluster) overcommitted() string {
	for _, f := range c.engines {
		if f.used() > f.memory {
			return fmt.Sprintf("%s (fencing %v) holds %d of %d MiB: resident %v, running %v", f.name, f.fencing, f.used(), f.memory, f.resident, f.running)
		}
	}
	return ""
}
