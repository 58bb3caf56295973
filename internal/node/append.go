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

// appendChange appends an operator's change to the configuration log. It returns
// after the control loop has applied the rows read on the way and, when the
// change was written, has waited for its replication.
func (l *loop) appendChange(ctx context.Context, c spec.Change) (feed.Appended, error) {
	state := make(chan feed.State, 1)
	if !l.post(stateRequest{reply: state}) {
		return feed.Appended{}, errStopped
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	from, err := receive(ctx, state)
	if err != nil {
		return feed.Appended{}, err
	}
	if domains := from.Config.Domains; len(domains) > 0 && !slices.ContainsFunc(domains, l.isOwnDomain) {
		// Other domains do not wait for confirmation from this node's domain
		// before they treat their configuration as fresh.
		return feed.Appended{}, &feed.Unavailable{
			Err: errors.New("the node's failure domain is not in the configuration"),
		}
	}
	done, read, appendErr := l.log.Append(ctx, from, c)
	replicated := make(chan bool, 1)
	m := appendDone{
		read: read,
		done: replicated,
	}
	if appendErr == nil {
		m.revision = done.Revision
	}
	if !l.post(m) {
		return done, errStopped
	}
	ok, err := receive(context.WithoutCancel(ctx), replicated)
	if err != nil {
		return done, err
	}
	done.Unreplicated = appendErr == nil && !ok
	return done, appendErr
}

func (l *loop) isOwnDomain(d spec.Domain) bool {
	return d.Name == l.node.settings.Node.Domain
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

// stateRequest requests the configuration that the view currently holds.
type stateRequest struct {
	reply chan<- feed.State
}

func (m stateRequest) handle(l *loop) {
	m.reply <- l.view.State()
}

// appendDone carries what an operator's change read from the table and the
// revision it wrote.
type appendDone struct {
	read feed.Read
	// revision is the revision to be replicated before done is answered; 0 if
	// nothing was written.
	revision int64
	// done receives whether the revision was replicated in time.
	done chan<- bool
}

// replicationTimeout bounds the wait for other nodes to receive a change.
const replicationTimeout = 2 * time.Second

func (m appendDone) handle(l *loop) {
	l.applyRead(m.read)
	if m.revision == 0 {
		m.done <- false
		return
	}
	l.pendingReplications = append(l.pendingReplications, pendingReplication{
		Replication: feed.NewReplication(l.node.settings.Node.Domain, m.revision),
		done:        m.done,
		deadline:    l.node.clock.Now().Add(replicationTimeout),
	})
	l.stepReplications(l.node.clock.Now())
}

// pendingReplication is a change whose operator waits until other nodes have
// received it.
type pendingReplication struct {
	*feed.Replication
	done            chan<- bool
	deadline        time.Time
	nextHeartbeatAt time.Time
}

// extraHeartbeatEvery is the interval between the extra heartbeats that are sent
// while a change is not replicated.
const extraHeartbeatEvery = 200 * time.Millisecond

// stepReplications answers the operators whose changes are replicated or timed
// out, and sends extra heartbeats for the remaining changes.
func (l *loop) stepReplications(now time.Time) {
	others := l.countOtherNodes()
	left := l.pendingReplications[:0]
	for _, s := range l.pendingReplications {
		if done := s.Done(others); done || !now.Before(s.deadline) {
			s.done <- done
			continue
		}
		if !now.Before(s.nextHeartbeatAt) {
			s.nextHeartbeatAt = now.Add(extraHeartbeatEvery)
			l.sendExtraHeartbeats()
		}
		left = append(left, s)
	}
	l.pendingReplications = left
}

// countOtherNodes returns the number of other live nodes that this node knows in
// each domain.
func (l *loop) countOtherNodes() map[string]int {
	out := map[string]int{
		l.node.settings.Node.Domain: len(l.peers.LiveNodes()) - 1,
	}
	for _, d := range l.peers.Domains() {
		if d.Name != l.node.settings.Node.Domain {
			out[d.Name] = len(d.Relays)
		}
	}
	return out
}

// sendExtraHeartbeats sends an unscheduled heartbeat to up to two nodes of the
// own domain and to one relay each of up to two other domains.
func (l *loop) sendExtraHeartbeats() {
	own := l.node.settings.Node
	var to []peers.Peer
	for _, name := range l.peers.LiveNodes() {
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
		l.sendHeartbeat(l.peers.NewProbe(l.node.clock.Now(), p))
	}
}

// recordReplication records that a node answered a heartbeat, which carried the
// changes that it lacked.
func (l *loop) recordReplication(node, domain string, a feed.ConfigRequest) {
	if len(l.pendingReplications) == 0 {
		return
	}
	for _, s := range l.pendingReplications {
		s.RecordAnswer(node, domain, a)
	}
	l.stepReplications(l.node.clock.Now())
}
