package once

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed default seed makes runs reproducible; flags override it.
	for _, d := range []string{"seed=1", "checks=4000", "steps=60", "shrinktime=5s", "nofailfile=true"} {
		name, value, _ := strings.Cut("rapid."+d, "=")
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fakeTable is a platform table with faults: it can be unavailable, lose a response
// before or after the operation takes effect, or delay the effect.
type fakeTable struct {
	rows  map[string]store.Row
	late  []func()
	down  bool
	fault func() string
	// between runs before each operation, to interleave actions of other nodes.
	between func()
}

func (f *fakeTable) do(op func() error) error {
	f.between()
	if f.down {
		return store.ErrUnavailable
	}
	switch f.fault() {
	case "unavailable":
		return store.ErrUnavailable
	case "lost":
		return store.ErrUnknown
	case "lost-after":
		_ = op()
		return store.ErrUnknown
	case "late":
		f.late = append(f.late, func() { _ = op() })
		return store.ErrUnknown
	}
	return op()
}

func (f *fakeTable) Get(_ context.Context, key string) (row store.Row, err error) {
	err = f.do(func() error {
		row = f.rows[key]
		if row.Version == 0 {
			return store.ErrNotFound
		}
		return nil
	})
	return row, err
}

func (f *fakeTable) put(key string, value []byte, version int64) (row store.Row, err error) {
	err = f.do(func() error {
		if f.rows[key].Version != version {
			return store.ErrConflict
		}
		row = store.Row{Key: key, Value: value, Version: version + 1}
		f.rows[key] = row
		return nil
	})
	return row, err
}

func (f *fakeTable) Insert(_ context.Context, key string, value []byte) (store.Row, error) {
	return f.put(key, value, 0)
}

func (f *fakeTable) Update(_ context.Context, key string, value []byte, version int64) (store.Row, error) {
	return f.put(key, value, version)
}

func (f *fakeTable) Delete(_ context.Context, key string, version int64) error {
	return f.do(func() error {
		if f.rows[key].Version != version {
			return store.ErrConflict
		}
		delete(f.rows, key)
		return nil
	})
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) (rows []store.Row, err error) {
	err = f.do(func() error {
		for key, row := range f.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
		rows = rows[:min(limit, len(rows))]
		return nil
	})
	return rows, err
}

// lostInsertAccepter treats an insert with a lost response as a success. It simulates
// a guard that does not read the row back.
type lostInsertAccepter struct{ store.Table }

func (f lostInsertAccepter) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	row, err := f.Table.Insert(ctx, key, value)
	if errors.Is(err, store.ErrUnknown) {
		return store.Row{Key: key, Value: value, Version: 1}, nil
	}
	return row, err
}

// claimReuser returns the claims of other processes as proved not run. It simulates a
// guard that reuses the claims of processes that died.
type claimReuser struct {
	store.Table
	node string
}

func (f claimReuser) Get(ctx context.Context, key string) (store.Row, error) {
	row, err := f.Table.Get(ctx, key)
	if err != nil {
		return row, err
	}
	existing, err := decodeRow(row.Value)
	if err == nil && existing.Phase == phaseClaimed && !strings.HasPrefix(existing.AttemptID, f.node+"/") {
		existing.Phase = phaseNotRun
		row.Value = existing.encode()
	}
	return row, nil
}

// execution is one run of a call at the service.
type execution struct {
	at                    time.Time
	request, body, answer string
}

// call is a call that holds a ticket, and its node.
type call struct {
	node   int
	ticket *Ticket
	// result is the outcome of the last attempt; 0 before the first one.
	result            Outcome
	key, body, answer string
	// mayHaveRun is set when an attempt with the ticket is not proved not run.
	mayHaveRun bool
}

type model struct {
	t         *rapid.T
	mutant    string
	clock     *clock.Fake
	table     *fakeTable
	nodes     []*Guard
	processes int
	calls     []*call
	requests  int
	runs      map[string][]execution
	notRun    map[string]string
	depth     int
	// coverage counts decisions by kind, and expired rows that were removed.
	coverage map[string]int
}

func (m *model) start(node int) {
	m.processes++
	g := &Guard{Table: m.table, Clock: m.clock, Node: fmt.Sprintf("vm%d-%d", node, m.processes), MaxBodyBytes: 64}
	switch m.mutant {
	case "treat lost responses as success":
		g.Table = lostInsertAccepter{m.table}
	case "reuse claims of dead processes":
		g.Table = claimReuser{Table: m.table, node: g.Node}
	}
	m.nodes[node] = g
}

func (m *model) arrive() {
	node := m.node()
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(m.t, "key")
	body := rapid.SampledFrom([]string{"b", "b", "b", "other"}).Draw(m.t, "body")
	m.requests++
	request := fmt.Sprintf("r%d", m.requests)
	g := m.nodes[node]
	d, err := g.Begin(context.Background(), "lanes", key, []byte(body), request)
	if err != nil {
		m.t.Fatal(err)
	}
	if m.nodes[node] != g {
		// The process was killed during Begin, so the decision is lost.
		return
	}
	m.coverage[d.Kind.String()]++
	switch d.Kind {
	case Run:
		m.calls = append(m.calls, &call{node: node, key: key, body: body, ticket: d.Ticket})
	case Replay:
		runs := m.runs[key]
		if len(runs) == 0 {
			m.t.Fatalf("%s: a response of %s is replayed and nothing ran", request, d.Holder)
		}
		last := runs[len(runs)-1]
		if last.request != d.Holder || last.body != body || !d.Response.Omitted && last.answer != string(d.Response.Body) {
			m.t.Fatalf("%s: replayed %q of %s, but %s ran and answered %q", request, d.Response.Body, d.Holder, last.request, last.answer)
		}
	case NotProvable, DifferentBody:
		m.notRun[request] = d.Kind.String()
	case InProgress, Unknown:
	default:
		m.t.Fatalf("%s: decision %v", request, d.Kind)
	}
}

func (m *model) pick() *call {
	if len(m.calls) == 0 {
		m.t.Skip("no call")
	}
	return m.calls[rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")]
}

// send makes the first attempt of a call, or a retry that the policy allows.
func (m *model) send() {
	c := m.pick()
	if c.result != 0 {
		p := Policy{MaxAttempts: 9}
		if v := p.Next(Call{Deadline: m.clock.Now().Add(time.Hour)}, c.result, 1, !c.mayHaveRun, m.clock.Now()); v.Action != Retry {
			m.t.Skip(v.Action)
		}
	}
	if !c.ticket.MaySend(m.clock.Now()) {
		c.result = NotSent
		return
	}
	c.result = rapid.SampledFrom([]Outcome{NotSent, Declined, Lost, Mismatched, Faulted, Answered, Answered}).Draw(m.t, "result")
	if c.result.ProvedNotRun() {
		return
	}
	c.mayHaveRun = true
	if c.result == Lost && rapid.Bool().Draw(m.t, "lost on the way") {
		return
	}
	now := m.clock.Now()
	runs := m.runs[c.key]
	if len(runs) > 0 && now.Sub(runs[len(runs)-1].at) < Retention-time.Hour {
		m.t.Fatalf("%s ran for %s at %v and runs again for %s at %v",
			c.key, runs[len(runs)-1].request, runs[len(runs)-1].at, c.ticket.Holder(), now)
	}
	c.answer = fmt.Sprintf("answer %d %s", len(runs), strings.Repeat("x", rapid.SampledFrom([]int{1, 80}).Draw(m.t, "size")))
	m.runs[c.key] = append(runs, execution{at: now, request: c.ticket.Holder(), body: c.body, answer: c.answer})
}

func (m *model) finish() {
	c := m.pick()
	if c.result == 0 {
		m.t.Skip("not sent yet")
	}
	m.calls = slices.DeleteFunc(m.calls, func(o *call) bool { return o == c })
	g, ctx := m.nodes[c.node], context.Background()
	// After an error the outcome is pending until FlushPending.
	switch {
	case c.result == Answered || c.result == Faulted:
		_ = g.Finish(ctx, c.ticket, Response{Status: 200, Body: []byte(c.answer)})
	case !c.mayHaveRun:
		m.notRun[c.ticket.Holder()] = c.result.String()
		_ = g.FinishNotRun(ctx, c.ticket)
	default:
		_ = g.FinishUnknown(ctx, c.ticket)
	}
}

func (m *model) node() int {
	return rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "node")
}

func (m *model) kill() {
	node := m.node()
	m.calls = slices.DeleteFunc(m.calls, func(c *call) bool { return c.node == node })
	m.start(node)
}

// interleave randomly applies a delayed write, a request or a kill during an
// operation.
func (m *model) interleave() {
	if m.depth > 1 {
		return
	}
	m.depth++
	defer func() { m.depth-- }()
	if i := rapid.IntRange(0, 9).Draw(m.t, "interleave"); i < 3 {
		[]func(){m.deliverLateWrite, m.arrive, m.kill}[i]()
	}
}

func (m *model) deliverLateWrite() {
	if len(m.table.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.table.late)-1).Draw(m.t, "late")
	op := m.table.late[i]
	m.table.late = slices.Delete(m.table.late, i, i+1)
	op()
}

// advance moves the clock. Delayed writes are dropped when it moves by
// MaxWriteDelay or more.
func (m *model) advance(d time.Duration) {
	if d >= MaxWriteDelay {
		m.table.late = nil
	}
	m.clock.Advance(d)
}

func checkAtMostOnce(t *rapid.T, mutant string, reached map[string]int) {
	m := &model{
		t: t, mutant: mutant, coverage: reached, clock: clock.NewFake(),
		table: &fakeTable{rows: map[string]store.Row{}}, nodes: make([]*Guard, 3),
		runs: map[string][]execution{}, notRun: map[string]string{},
	}
	m.table.between = m.interleave
	m.table.fault = func() string {
		return rapid.SampledFrom([]string{"", "", "", "", "", "", "", "", "", "", "unavailable", "lost", "lost-after", "late", "late"}).Draw(m.t, "fault")
	}
	for i := range m.nodes {
		m.start(i)
	}
	with := func(op func()) func(*rapid.T) {
		return func(t *rapid.T) {
			m.t = t
			op()
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": with(m.arrive),
		"again":  with(m.arrive),
		"send":   with(m.send),
		"finish": with(m.finish),
		"kill":   with(m.kill),
		"late":   with(m.deliverLateWrite),
		"outage": with(func() { m.table.down = rapid.IntRange(0, 3).Draw(m.t, "down") == 0 }),
		"sweep":  with(func() { _ = m.nodes[m.node()].FlushPending(context.Background()) }),
		"pause": with(func() {
			m.advance(rapid.SampledFrom([]time.Duration{time.Second, DefaultTerm, MaxWriteDelay, time.Hour}).Draw(m.t, "pause"))
		}),
		"expire": with(func() {
			if rapid.IntRange(0, 9).Draw(m.t, "week") == 0 {
				m.advance(Retention + time.Hour)
			}
			node := m.node()
			for range rapid.IntRange(1, 3).Draw(m.t, "rounds") {
				_, n, _ := m.nodes[node].Expire(context.Background(), "", 10)
				m.coverage["expired"] += n
				m.advance(rapid.SampledFrom([]time.Duration{0, MaxWriteDelay}).Draw(m.t, "pause"))
			}
		}),
		"": func(t *rapid.T) {
			for _, runs := range m.runs {
				for _, r := range runs {
					if why, ok := m.notRun[r.request]; ok {
						t.Fatalf("%s ran, and its caller got %q", r.request, why)
					}
				}
			}
		},
	})
}

// TestAtMostOnce guards against a second run of a call, a "not run" for a call
// that ran, and a replayed response that is not the one of the run. Table
// responses are lost or delayed, processes are killed, and time passes between
// the steps.
func TestAtMostOnce(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	reached := map[string]int{}
	rapid.Check(t, func(t *rapid.T) { checkAtMostOnce(t, "", reached) })
	t.Logf("decisions: %v", reached)
	for _, k := range []string{"run", "replay", "in-progress", "unknown", "different-body", "not-provable", "expired"} {
		if reached[k] == 0 {
			t.Errorf("the check never reached %q, so its result proves little", k)
		}
	}
}

// recorder is a testing.TB for a check that is expected to fail.
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

// TestCheckFindsBrokenGuards guards against a check that cannot fail: with a
// mechanism of the guard disabled, the check must find a second run.
func TestCheckFindsBrokenGuards(t *testing.T) {
	shrink := flag.Lookup("rapid.shrinktime")
	defer func(old string) { _ = shrink.Value.Set(old) }(shrink.Value.String())
	_ = shrink.Value.Set("100ms")
	for _, mutant := range []string{"treat lost responses as success", "reuse claims of dead processes"} {
		r := &recorder{TB: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(r, func(t *rapid.T) { checkAtMostOnce(t, mutant, map[string]int{}) })
		}()
		<-done
		found := slices.IndexFunc(r.log, func(line string) bool { return strings.Contains(line, "runs again") })
		if !r.failed || found < 0 {
			t.Errorf("%s: the check did not find the second run:\n%s", mutant, strings.Join(r.log, "\n"))
			continue
		}
		t.Logf("%s: %s", mutant, strings.SplitN(r.log[found], "\n", 2)[0])
	}
}

// TestLaterRequestsGetTheOutcome guards against a call that is refused although
// it is proved not to have run, and against an outcome that is not replayed on
// other nodes.
func TestLaterRequestsGetTheOutcome(t *testing.T) {
	ctx := context.Background()
	c := clock.NewFake()
	fault := ""
	f := &fakeTable{rows: map[string]store.Row{}, between: func() {}, fault: func() string { return fault }}
	a, b := &Guard{Table: f, Clock: c, Node: "a"}, &Guard{Table: f, Clock: c, Node: "b"}
	begin := func(g *Guard, request string, want Kind) Decision {
		t.Helper()
		d, err := g.Begin(ctx, "lanes", "k", []byte("b"), request)
		if err != nil || d.Kind != want {
			t.Fatalf("%s: got %v, %v; want %v", request, d.Kind, err, want)
		}
		return d
	}
	// The claim is written, but the responses to all operations are lost.
	fault = "lost-after"
	begin(a, "r1", NotProvable)
	fault = ""
	begin(b, "r2", InProgress)
	if err := a.FlushPending(ctx); err != nil || a.Pending() != 0 {
		t.Fatal(err, a.Pending())
	}
	d := begin(b, "r3", Run)
	if err := b.FinishNotRun(ctx, d.Ticket); err != nil {
		t.Fatal(err)
	}
	if err := b.Finish(ctx, d.Ticket, Response{}); !errors.Is(err, ErrTicketUsed) || d.Ticket.MaySend(c.Now()) {
		t.Fatal("an ended ticket may still be used", err)
	}
	d = begin(a, "r4", Run)
	f.down = true
	if err := a.Finish(ctx, d.Ticket, Response{Status: 201, Body: []byte("lane 4")}); err == nil {
		t.Fatal("the outcome is stored although the table is down")
	}
	begin(a, "r5", NotProvable)
	f.down = false
	if got := begin(a, "r6", Replay).Response; string(got.Body) != "lane 4" {
		t.Fatalf("replayed %+v", got)
	}
	begin(b, "r7", InProgress)
	c.Advance(DefaultTerm + time.Second)
	begin(b, "r8", Unknown)
	if err := a.FlushPending(ctx); err != nil {
		t.Fatal(err)
	}
	if got := begin(b, "r9", Replay).Response; got.Status != 201 || string(got.Body) != "lane 4" {
		t.Fatalf("replayed %+v", got)
	}
	c.Advance(Retention)
	for _, want := range []int{0, 0, 1} {
		if _, n, err := b.Expire(ctx, "", 10); n != want || err != nil {
			t.Fatalf("removed %d rows, %v; want %d", n, err, want)
		}
		c.Advance(MaxWriteDelay / 2)
	}
}

// TestRetryPolicy guards against a retry of a call that may have run, a "not
// run" that is not proved, and retries beyond the deadline or the budget.
func TestRetryPolicy(t *testing.T) {
	now := clock.NewFake().Now()
	soon, later := now.Add(10*time.Millisecond), now.Add(time.Minute)
	for _, c := range []struct {
		call     Call
		outcome  Outcome
		attempts int
		proved   bool
		want     Action
		notRun   bool
	}{
		{Call{Deadline: later}, NotSent, 1, true, Retry, true},
		{Call{Deadline: later}, Declined, 1, true, Retry, true},
		{Call{Deadline: later}, Lost, 1, true, Forbidden, false},
		{Call{Deadline: later}, Mismatched, 1, true, Forbidden, false},
		{Call{Deadline: later}, Faulted, 1, true, Stop, false},
		{Call{Deadline: later}, Answered, 1, true, Stop, false},
		{Call{Deadline: later}, NotSent, 2, false, Forbidden, false},
		{Call{Deadline: soon}, NotSent, 1, true, NoTimeLeft, true},
		{Call{Deadline: later}, NotSent, 3, true, NoAttemptsLeft, true},
		{Call{Deadline: later, Repeatable: true}, Lost, 1, true, Retry, false},
		{Call{Deadline: later, Repeatable: true}, Faulted, 2, false, Retry, false},
		{Call{Deadline: later, Repeatable: true, Delivered: true}, Lost, 1, true, Forbidden, false},
	} {
		p := DefaultPolicy()
		v := p.Next(c.call, c.outcome, c.attempts, c.proved, now)
		if v.Action != c.want || v.NotRun != c.notRun {
			t.Errorf("%+v: got %+v", c, v)
		}
	}
	p := Policy{MaxAttempts: 2, Budget: NewBudget(0.1, 2)}
	retries := 0
	for range 1000 {
		p.Budget.Credit()
		if p.Next(Call{Deadline: later, Repeatable: true}, Lost, 1, true, now).Action == Retry {
			retries++
		}
	}
	if retries < 100 || retries > 102 {
		t.Errorf("%d retries for 1,000 requests, want a tenth and the reserve of 2", retries)
	}
}
