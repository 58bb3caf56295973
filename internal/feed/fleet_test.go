package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/keys"
	"trefoildale.example/trefoildale/pkg/spec"
)

// process is one entry process of the simulated fleet.
type process struct {
	w      *simulation
	name   string
	domain string
	// offset is added to the simulated time, so that the clocks of the processes
	// differ.
	offset     time.Duration
	paused     bool
	relay      *feed.Relay
	log        *feed.Log
	keyChecker *keys.Checker
	// answers holds the last answer of each relay, by node name.
	answers     map[string]feed.ConfigResponse
	replication *feed.Replication
	// peers holds the names of the nodes of the domain.
	peers []string
}

// Now implements clock.Clock.
func (p *process) Now() time.Time { return p.w.now.Add(p.offset) }

// GoString shortens the output of a failing rapid check.
func (p *process) GoString() string { return p.name }

// simulation is a fleet on a network that delays, drops and repeats messages.
type simulation struct {
	now      time.Time
	table    *table
	nodes    []*process
	messages []message
	// partitions holds the pairs of domains, and of a domain and "platform", that
	// cannot reach each other.
	partitions map[[2]string]bool
	// withdrawalAckedAt holds when the withdrawal of each key was acknowledged, by
	// the key's secret.
	withdrawalAckedAt map[string]time.Time
	// revisionAckedAt holds when each revision was acknowledged.
	revisionAckedAt map[int64]time.Time
	// disabled names the mechanism that is switched off; "spread" is the wait for
	// replication before an acknowledgement.
	disabled string
	// started counts the processes; each uses the count as the issuer of its echo
	// timestamps.
	started int
}

// message is a request, or the response to it when answer is set.
type message struct {
	from, to *process
	sent     time.Time
	due      time.Time
	request  feed.ConfigRequest
	answer   []byte
}

func secretOf(k int) string { return fmt.Sprintf("tfd-secret-%d", k) }

func newSimulation(domains, perDomain, keyCount int) *simulation {
	w := &simulation{
		now:               time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		table:             newTable(),
		partitions:        map[[2]string]bool{},
		withdrawalAckedAt: map[string]time.Time{},

		revisionAckedAt: map[int64]time.Time{},
	}
	first := spec.Change{OpID: "0-first", Author: "t", Puts: []spec.Item{{Workspace: &spec.Workspace{Name: "desk", RateTokensPerSecond: 1, BurstTokens: 1}}}}
	for d := range domains {
		first.Puts = append(first.Puts, spec.Item{Domain: &spec.Domain{Name: fmt.Sprintf("d%d", d), Region: "r"}})
		for n := range perDomain {
			p := &process{w: w, name: fmt.Sprintf("d%d-n%d", d, n), domain: fmt.Sprintf("d%d", d), offset: time.Duration(d*perDomain+n) * time.Hour}
			w.nodes = append(w.nodes, p)
		}
	}
	for k := range keyCount {
		first.Puts = append(first.Puts, spec.Item{Key: &spec.Key{ID: fmt.Sprintf("k%d", k), Workspace: "desk", Digest: spec.Digest(secretOf(k))}})
	}
	for i, p := range w.nodes {
		w.start(p)
		if i == 0 {
			if _, _, err := p.log.Append(context.Background(), p.relay.View.State(), first); err != nil {
				panic(err)
			}
		}
		p.poll()
	}
	return w
}

func (w *simulation) start(p *process) {
	w.started++
	p.relay = &feed.Relay{View: feed.NewView(), Fleet: feed.NewFleet(), Members: feed.NewMembers(p.domain, uint64(w.started), p.Now())}
	p.log = feed.NewLog(w.table, objects{table: w.table}, p)
	p.keyChecker = keys.NewChecker(p)
	p.answers = map[string]feed.ConfigResponse{}
	p.paused = false
	p.peers = nil
	for _, n := range w.nodes {
		if n.domain == p.domain {
			p.peers = append(p.peers, n.name)
		}
		if !slices.Contains(p.relay.Domains, n.domain) {
			p.relay.Domains = append(p.relay.Domains, n.domain)
		}
	}
	p.relay.LiveNodes = p.peers
}

func (w *simulation) reachable(a, b string) bool {
	return !w.partitions[[2]string{a, b}] && !w.partitions[[2]string{b, a}]
}

func (p *process) apply(r feed.Read) error {
	_, err := p.relay.Apply(p.name, r, p.Now())
	p.keyChecker.SetConfig(p.relay.View.Config(), p.relay.View.FreshAt())
	return err
}

func (p *process) reachesPlatform() bool {
	return !p.w.table.down && p.w.reachable(p.domain, "platform") && !p.paused
}

func (p *process) poll() {
	if !p.reachesPlatform() {
		return
	}
	if r, err := p.log.Poll(context.Background(), p.relay.View.Revision()); err == nil {
		if err := p.apply(r); err != nil {
			panic(err)
		}
	}
}

func (p *process) sendRequest(to *process, scope feed.Scope) {
	if p.paused || p == to {
		return
	}
	last := p.answers[to.name]
	p.w.messages = append(p.w.messages, message{
		from:    p,
		to:      to,
		sent:    p.Now(),
		due:     p.w.now,
		request: p.relay.View.ConfigRequest(p.name, p.domain, scope, last.Revision, last.Echo),
	})
}

// deliver delivers a message, unless its sender or receiver is paused or cut off.
func (w *simulation) deliver(f message) error {
	if f.from.paused || f.to.paused || !w.reachable(f.from.domain, f.to.domain) {
		return nil
	}
	if f.answer == nil {
		a := f.request
		if err := a.Validate(); err != nil {
			return err
		}
		f.to.relay.Refresh(f.to.name, f.to.Now())
		answer, err := f.to.relay.Answer(a, f.to.Now())
		if err != nil {
			return err
		}
		if err := f.to.apply(feed.Read{}); err != nil {
			return err
		}
		f.answer, err = cbor.Marshal(answer)
		w.messages = append(w.messages, f)
		return err
	}
	var answer feed.ConfigResponse
	if err := cbor.Unmarshal(f.answer, &answer); err != nil {
		return err
	}
	if err := answer.Validate(); err != nil {
		return err
	}
	sent := f.sent
	if w.disabled == "request time" {
		sent = f.from.Now()
	}
	f.from.answers[f.to.name] = answer
	if f.from.replication != nil {
		f.from.replication.RecordAnswer(f.to.name, f.to.domain, f.request)
	}
	if _, err := f.from.relay.ApplyAnswer(f.from.name, &answer, sent, f.from.Now()); err != nil {
		return err
	}
	return f.from.apply(feed.Read{})
}

// check fails if a key works more than 5 s after its withdrawal was acknowledged,
// or if a view is considered fresh for a time after a higher revision was
// acknowledged.
func (w *simulation) check(t *rapid.T, streams []keys.Verdict) {
	for _, p := range w.nodes {
		v := p.relay.View
		for revision, at := range w.revisionAckedAt {
			if ahead := v.FreshAt().Add(-p.offset).Sub(at); revision > v.Revision() && ahead > 0 {
				t.Fatalf("%s holds revision %d and is fresh for %s after revision %d was acknowledged", p.name, v.Revision(), ahead, revision)
			}
		}
	}
	for k, at := range w.withdrawalAckedAt {
		if w.now.Sub(at) <= 5*time.Second {
			continue
		}
		for _, p := range w.nodes {
			if r := p.keyChecker.Check(k).Result; r == keys.OK {
				t.Fatalf("%s accepts a key %s after its withdrawal was acknowledged", p.name, w.now.Sub(at))
			}
		}
	}
	for i, v := range streams {
		at, withdrawn := w.withdrawalAckedAt[secretOf(i%3)]
		if withdrawn && w.now.Sub(at) > 5*time.Second && w.nodes[i/3].keyChecker.Recheck(v) == keys.OK {
			t.Fatalf("%s continues a stream %s after the withdrawal of its key was acknowledged", w.nodes[i/3].name, w.now.Sub(at))
		}
	}
}

// isOnlyNodeKnowingLatest reports whether p is the only node that knows of the highest
// revision that was acknowledged.
func (w *simulation) isOnlyNodeKnowingLatest(p *process) bool {
	highest := int64(0)
	for revision := range w.revisionAckedAt {
		highest = max(highest, revision)
	}
	// With replication disabled, the check has to find the loss of a revision
	// that only one node knows of.
	if w.disabled == "spread" || highest == 0 || p.relay.View.Known() < highest {
		return false
	}
	for _, other := range w.nodes {
		if other != p && other.relay.View.Known() >= highest {
			return false
		}
	}
	return true
}

func checkWithdrawals(t rapid.TB, disabled string) {
	rapid.Check(t, func(t *rapid.T) {
		const keyCount = 3
		w := newSimulation(3, 2, keyCount)
		w.disabled = disabled
		var streams []keys.Verdict
		for _, p := range w.nodes {
			for k := range keyCount {
				streams = append(streams, p.keyChecker.Check(secretOf(k)))
			}
		}
		node := func(t *rapid.T) *process { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		toggle := func(a, b string) { w.partitions[[2]string{a, b}] = !w.partitions[[2]string{a, b}] }
		domain := rapid.SampledFrom([]string{"d0", "d1", "d2"})
		advance := func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		sendRequest := func(t *rapid.T) {
			from, to := node(t), node(t)
			from.sendRequest(to, feed.ScopeFleet)
		}
		// deliver delivers one of the four newest messages, so that exchanges
		// complete. One in ten is kept and can be delivered again.
		deliver := func(t *rapid.T) {
			if len(w.messages) == 0 {
				return
			}
			i := len(w.messages) - 1 - rapid.IntRange(0, min(3, len(w.messages)-1)).Draw(t, "flight")
			f := w.messages[i]
			if rapid.IntRange(0, 9).Draw(t, "again") > 0 {
				w.messages = slices.Delete(w.messages, i, i+1)
			}
			if err := w.deliver(f); err != nil {
				t.Fatal(err)
			}
		}
		// exchangeWithAll completes an exchange of one node with every node that it
		// reaches. Older messages stay in transit.
		exchangeWithAll := func(t *rapid.T, from *process) {
			for _, to := range w.nodes {
				old := w.messages
				w.messages = nil
				from.sendRequest(to, feed.ScopeFleet)
				for range 2 {
					if len(w.messages) == 0 {
						break
					}
					f := w.messages[0]
					w.messages = w.messages[1:]
					if err := w.deliver(f); err != nil {
						t.Fatal(err)
					}
				}
				w.messages = old
			}
		}
		round := func(t *rapid.T) {
			for _, from := range w.nodes {
				exchangeWithAll(t, from)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance":  advance,
			"advance2": advance,
			"ask":      sendRequest,
			"deliver":  deliver,
			"deliver2": deliver,
			"round":    round,
			"round2":   round,
			"poll":     func(t *rapid.T) { node(t).poll() },
			"outage":   func(*rapid.T) { w.table.down = !w.table.down },
			"platform": func(t *rapid.T) { toggle(domain.Draw(t, "domain"), "platform") },
			"cut":      func(t *rapid.T) { toggle(domain.Draw(t, "a"), domain.Draw(t, "b")) },
			"pause":    func(t *rapid.T) { p := node(t); p.paused = !p.paused },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
				p := w.nodes[i]
				if w.isOnlyNodeKnowingLatest(p) {
					// Replication does not protect against the loss of all nodes
					// that know of a revision.
					return
				}
				w.start(p)
				// Answers to requests of the old process do not reach the new one.
				w.messages = slices.DeleteFunc(w.messages, func(f message) bool { return f.from == p })
				for k := range keyCount {
					// The streams ended with the process.
					streams[i*keyCount+k] = keys.Verdict{}
				}
				if p.reachesPlatform() {
					p.poll()
				} else {
					// It applies the highest revision that a reachable node holds.
					exchangeWithAll(t, p)
				}
			},
			"withdraw": func(t *rapid.T) {
				p, k := node(t), rapid.IntRange(0, keyCount-1).Draw(t, "key")
				if !p.reachesPlatform() {
					return
				}
				s := p.relay.View.State()
				done, read, err := p.log.Append(context.Background(), s, spec.Change{
					OpID:    spec.NewOpID(s.Revision()),
					Author:  "t",
					Base:    s.Revision(),
					Deletes: []spec.Ref{{Kind: spec.KindOfKey, Name: fmt.Sprintf("k%d", k)}},
				})
				if bad := p.apply(read); bad != nil {
					t.Fatal(bad)
				}
				if err != nil {
					return
				}
				p.replication = feed.NewReplication(p.domain, done.Revision)
				if w.disabled != "spread" {
					exchangeWithAll(t, p)
				}
				if w.disabled == "spread" || p.replication.Done(map[string]int{"d0": 2, "d1": 2, "d2": 2}) {
					// The acknowledgement may be delayed by a slow node.
					advance(t)
					w.withdrawalAckedAt[secretOf(k)] = w.now
					w.revisionAckedAt[done.Revision] = w.now
				}
			},
			"": func(t *rapid.T) { w.check(t, streams) },
		})
	})
}

// TestWithdrawals guards against a key that works longer than 5 s after its
// withdrawal was acknowledged, under partitions, pauses, restarts, outages and
// delayed messages.
func TestWithdrawals(t *testing.T) { checkWithdrawals(t, "") }

// TestWithdrawalsNotices verifies that TestWithdrawals detects freshness computed
// from the time of the answer instead of the request, and an acknowledgement of
// a revision that only one node knows of.
func TestWithdrawalsNotices(t *testing.T) {
	for _, off := range []string{"request time", "spread"} {
		t.Run(off, func(t *testing.T) {
			mustFail(t, func(t rapid.TB) { checkWithdrawals(t, off) })
		})
	}
}

// TestDelayedRequest guards against a node state that is dated to the receipt of
// a delayed request: the node may have appended a revision after sending it.
func TestDelayedRequest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := now.Add(4 * time.Second)
	issued := feed.NewMembers("d0", 7, now).EchoTimestamp(now)
	for _, test := range []struct {
		name string
		echo feed.EchoTimestamp
		age  time.Duration
		ok   bool
	}{
		{name: "no echo timestamp yet", echo: feed.EchoTimestamp{}},
		{name: "echo timestamp of another process", echo: feed.EchoTimestamp{Issuer: 8, At: issued.At}},
		{name: "request delayed by 4 s", echo: issued, age: 4 * time.Second, ok: true},
		{name: "echo timestamp issued at the receipt", echo: feed.EchoTimestamp{Issuer: 7, At: later.UnixNano()}, ok: true},
	} {
		m := feed.NewMembers("d0", 7, now)
		m.RecordRequest(feed.ConfigRequest{Domain: "d0", Node: "n1", Held: 5, Echo: test.echo}, later)
		if s, ok := m.State(later, []string{"n1"}); ok != test.ok || s.Age != test.age {
			t.Errorf("%s: state %+v, %v", test.name, s, ok)
		}
	}
}

// run simulates the fleet with its regular request intervals for d and calls each
// every 50 ms. Messages take up to delay, and one in lossEvery is lost.
func (w *simulation) run(rnd *rand.Rand, d, delay time.Duration, lossEvery int, each func()) error {
	schedules := map[string]*feed.Schedule{}
	for _, p := range w.nodes {
		schedules[p.name] = feed.NewSchedule(w.now, rnd.Float64)
	}
	round := 0
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		round++
		inTransit := w.messages
		w.messages = nil
		for _, f := range inTransit {
			if f.due.After(w.now) {
				w.messages = append(w.messages, f)
				continue
			}
			firstNew := len(w.messages)
			if err := w.deliver(f); err != nil {
				return err
			}
			for i := firstNew; i < len(w.messages); i++ {
				w.messages[i].due = w.now.Add(time.Duration(rnd.Int64N(int64(delay))))
			}
		}
		for _, p := range w.nodes {
			p.relay.LiveNodes = p.relay.Members.FilterLive(p.Now(), p.peers)
			firstNew, relays := len(w.messages), w.relaysOf(p.domain)
			isRelay := slices.Contains(relays, p)
			due := schedules[p.name].Due(w.now, p.relay.View.Intervals(p.Now()), isRelay)
			if due.Poll {
				p.poll()
			}
			switch {
			case due.Sync && isRelay:
				for _, to := range relays {
					p.sendRequest(to, feed.ScopeFleet)
				}
			case due.Sync:
				p.sendRequest(relays[rnd.IntN(len(relays))], feed.ScopeSummary)
			}
			for d := 0; due.Exchange && w.disabled != "exchange" && d < len(p.relay.Domains); d++ {
				if others := w.relaysOf(p.relay.Domains[d]); p.relay.Domains[d] != p.domain {
					p.sendRequest(others[rnd.IntN(len(others))], feed.ScopeDomain)
				}
			}
			for i := len(w.messages) - 1; i >= firstNew; i-- {
				w.messages[i].due = w.now.Add(time.Duration(rnd.Int64N(int64(delay))))
				if rnd.IntN(lossEvery) == 0 {
					w.messages = slices.Delete(w.messages, i, i+1)
				}
			}
		}
		if round%5 == 0 {
			each()
		}
	}
	return nil
}

func (w *simulation) relaysOf(domain string) []*process {
	var out []*process
	for _, p := range w.nodes {
		if p.domain == domain && len(out) < 2 {
			out = append(out, p)
		}
	}
	return out
}

// TestOutageRefusesNoKey guards against valid keys that are refused because the
// store is down, and against a fully partitioned domain that keeps accepting keys.
func TestOutageRefusesNoKey(t *testing.T) {
	for _, size := range []struct {
		domains, nodes int
		disabled       string
	}{
		{domains: 3, nodes: 3},
		{domains: 30, nodes: 2},
		// The check has to fail when the domains do not exchange their states.
		{domains: 3, nodes: 3, disabled: "exchange"},
	} {
		w := newSimulation(size.domains, size.nodes, 1)
		w.disabled = size.disabled
		rnd := rand.New(rand.NewPCG(1, 2))
		refused, checked := 0, 0
		all := func() {
			for _, p := range w.nodes {
				checked++
				if p.keyChecker.Check(secretOf(0)).Result != keys.OK {
					refused++
				}
			}
		}
		run := func(d time.Duration, each func()) {
			t.Helper()
			if err := w.run(rnd, d, 40*time.Millisecond, 1000, each); err != nil {
				t.Fatal(err)
			}
		}
		run(10*time.Second, all)
		w.table.down = true
		run(10*time.Second, all)
		if size.disabled == "" {
			// A VM that stops during the outage may cause refusals for at most 13 s.
			w.nodes[len(w.nodes)-1].paused = true
			w.nodes = w.nodes[:len(w.nodes)-1]
			run(13*time.Second, func() {})
			run(2*time.Second, all)
		}
		w.table.down = false
		run(5*time.Second, all)
		t.Logf("%d domains, off %q: %d of %d checks refused", size.domains, size.disabled, refused, checked)
		if size.disabled != "" {
			if refused == 0 {
				t.Error("the check passes without the exchange")
			}
			continue
		}
		for _, p := range w.nodes {
			for to, a := range p.answers {
				if a.Confirmed != 1 {
					t.Errorf("%s answered %s with confirmed revision %d, want 1", to, p.name, a.Confirmed)
				}
			}
		}
		if refused > 0 {
			t.Errorf("%d domains: %d of %d checks refused while only the store was down", size.domains, refused, checked)
		}
		for d := range size.domains {
			w.partitions[[2]string{"d0", fmt.Sprintf("d%d", d)}] = d != 0
		}
		w.partitions[[2]string{"d0", "platform"}] = true
		run(4*time.Second, func() {})
		run(2*time.Second, func() {
			for _, p := range w.nodes {
				if got := p.keyChecker.Check(secretOf(0)).Result; (got == keys.OK) == (p.domain == "d0") {
					t.Fatalf("%s answers %s with d0 cut off from everything", p.name, got)
				}
			}
		})
	}
}

// BenchmarkSyncSize reports the sizes of Sync messages in bytes of CBOR at the
// design size.
func BenchmarkSyncSize(b *testing.B) {
	w := newSimulation(30, 2, 1)
	if err := w.run(rand.New(rand.NewPCG(1, 2)), 5*time.Second, 10*time.Millisecond, 1000, func() {}); err != nil {
		b.Fatal(err)
	}
	from, to := w.nodes[1], w.nodes[2]
	size := func(name string, message any) {
		data, err := cbor.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), name+"-bytes")
	}
	for name, scope := range map[string]feed.Scope{"node": feed.ScopeSummary, "relay": feed.ScopeDomain, "all-domains": feed.ScopeFleet} {
		a := from.relay.View.ConfigRequest(from.name, from.domain, scope, 1, from.answers[to.name].Echo)
		size("ask-"+name, a)
		answer, err := to.relay.Answer(a, to.Now())
		if err != nil {
			b.Fatal(err)
		}
		size("answer-"+name, answer)
	}
}
