package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/pkg/spec"
)

// appendTimeout bounds an operator's change: a few reads and writes of the table.
const appendTimeout = 10 * time.Second

// appendChange adds a change to the log for an operator. It returns after the
// view has taken what was read on the way.
func (l *loop) appendChange(ctx context.Context, c spec.Change) (feed.Appended, error) {
	state := make(chan feed.State, 1)
	if !l.post(stateAsked{reply: state}) {
		return feed.Appended{}, errStopped
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	from, err := receive(ctx, state)
	if err != nil {
		return feed.Appended{}, err
	}
	if domains := from.Config.Domains; len(domains) > 0 && !slices.ContainsFunc(domains, l.isOwn) {
		// Other domains would not wait for this node's word before they call
		// their views fresh.
		return feed.Appended{}, &feed.Unavailable{
			Err: errors.New("the node's failure domain is not in the configuration"),
		}
	}
	done, read, appendErr := l.log.Append(ctx, from, c)
	taken := make(chan bool, 1)
	m := appended{
		read: read,
		done: taken,
	}
	if appendErr == nil {
		m.revision = done.Revision
	}
	if !l.post(m) {
		return done, errStopped
	}
	spread, err := receive(context.WithoutCancel(ctx), taken)
	if err != nil {
		return done, err
	}
	done.Unspread = appendErr == nil && !spread
	return done, appendErr
}

func (l *loop) isOwn(d spec.Domain) bool {
	return d.Name == l.node.set.Node.Domain
}

var errStopped = errors.New("node: the control loop has stopped")

func receive[T any](ctx context.Context, c <-chan T) (T, error) {
	select {
	case v := <-c:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// stateAsked asks for the configuration that the view holds.
type stateAsked struct {
	reply chan<- feed.State
}

func (m stateAsked) handle(l *loop) {
	m.reply <- l.view.State()
}

// appended is what an operator's change read and wrote.
type appended struct {
	read feed.Read
	// revision is the one to spread before done, 0 for none.
	revision int64
	// done gets whether the revision has spread.
	done chan<- bool
}

// spreadTimeout bounds the wait for other nodes to hear of a change.
const spreadTimeout = 2 * time.Second

func (m appended) handle(l *loop) {
	l.take(m.read)
	if m.revision == 0 {
		m.done <- false
		return
	}
	l.spreads = append(l.spreads, spreading{
		Spread:   feed.NewSpread(l.node.set.Node.Domain, m.revision),
		done:     m.done,
		deadline: l.node.clock.Now().Add(spreadTimeout),
	})
	l.stepSpread(l.node.clock.Now())
}

// spreading is a change whose operator waits until other nodes have heard of it.
type spreading struct {
	*feed.Spread
	done     chan<- bool
	deadline time.Time
	askAt    time.Time
}

// spreadEvery is how often nodes are told of a change that has not spread.
const spreadEvery = 200 * time.Millisecond

// stepSpread answers operators whose changes have spread, and tells a few nodes
// of the others.
func (l *loop) stepSpread(now time.Time) {
	others := l.otherNodes()
	left := l.spreads[:0]
	for _, s := range l.spreads {
		if done := s.Done(others); done || !now.Before(s.deadline) {
			s.done <- done
			continue
		}
		if !now.Before(s.askAt) {
			s.askAt = now.Add(spreadEvery)
			l.tellFew()
		}
		left = append(left, s)
	}
	l.spreads = left
}

// otherNodes counts the live nodes that this node knows in each domain.
func (l *loop) otherNodes() map[string]int {
	out := map[string]int{
		l.node.set.Node.Domain: len(l.peers.Local()) - 1,
	}
	for _, d := range l.peers.Domains() {
		if d.Name != l.node.set.Node.Domain {
			out[d.Name] = len(d.Relays)
		}
	}
	return out
}

// tellFew sends a heartbeat to two nodes of the domain and to a relay of two
// other domains, out of turn.
func (l *loop) tellFew() {
	own := l.node.set.Node
	var to []peers.Peer
	for _, name := range l.peers.Local() {
		if p, ok := l.peers.Lookup(own.Domain, name); ok && name != own.Name && len(to) < 2 {
			to = append(to, p)
		}
	}
	most := len(to) + 2
	for _, d := range l.peers.Domains() {
		if d.Name != own.Domain && len(d.Relays) > 0 && len(to) < most {
			to = append(to, d.Relays[0])
		}
	}
	for _, p := range to {
		l.sync(l.peers.Greet(l.node.clock.Now(), p))
	}
}

func (l *loop) noteSpread(node, domain string, a feed.Ask) {
	if len(l.spreads) == 0 {
		return
	}
	for _, s := range l.spreads {
		s.Answered(node, domain, a)
	}
	l.stepSpread(l.node.clock.Now())
}
