package node

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/audit"
	"trefoildale.example/trefoildale/internal/entry"
	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/internal/peers"
	"trefoildale.example/trefoildale/internal/wire"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// operator serves the requests of operators. It implements the interfaces of
// package oper.
type operator struct {
	node *Node
}

// Config implements oper.ConfigSource.
func (o *operator) Config() *spec.Config {
	return o.node.loop.config.Load()
}

// Append implements oper.Appender.
func (o *operator) Append(ctx context.Context, c spec.Change) (feed.Appended, error) {
	return o.node.loop.appendChange(ctx, c)
}

// statusView is the state that the control loop publishes for operator requests.
type statusView struct {
	status  admin.Status
	members []peers.Member
	local   []peers.Peer
	relays  []peers.Peer
}

// refreshStatus publishes a new statusView.
func (l *loop) refreshStatus(now time.Time) {
	own := l.node.settings.Node
	v := &statusView{
		status: admin.Status{
			Node:      own.Name,
			Domain:    own.Domain,
			Ready:     l.node.entry.Ready(),
			Revision:  l.view.Revision(),
			ViewAge:   spec.Duration(-1),
			Confirmed: l.confirmed,
		},
	}
	if at := l.view.FreshAt(); !at.IsZero() {
		v.status.ViewAge = spec.Duration(now.Sub(at).Round(time.Millisecond))
	}
	for _, d := range l.relay.Fleet.States(now) {
		v.status.Domains = append(v.status.Domains, admin.DomainStatus{
			Domain:  d.Domain,
			Highest: d.Highest,
			Lowest:  d.Lowest,
			Age:     spec.Duration(d.Age.Round(time.Millisecond)),
		})
	}
	local := l.peers.LiveNodes()
	for _, name := range local {
		if p, ok := l.peers.Lookup(own.Domain, name); ok && name != own.Name {
			v.local = append(v.local, p)
		}
	}
	for _, d := range l.peers.Domains() {
		if d.Name != own.Domain && len(d.Relays) > 0 {
			v.relays = append(v.relays, d.Relays[0])
		}
	}
	v.status.Lines = l.statusLines(now, local)
	l.status.Store(v)
}

func (l *loop) statusLines(now time.Time, local []string) []string {
	planner := l.planner()
	if planner == "" {
		planner = "no node"
	}
	out := []string{
		fmt.Sprintf("%d entry VMs of this failure domain are live; %s places the models.", len(local), planner),
	}
	if l.platformDown {
		out = append(out, fmt.Sprintf("The platform has not answered for %s.", now.Sub(l.lastPollOKAt).Round(time.Second)))
	}
	for _, e := range l.manager.Layout().Endpoints {
		models := make([]string, 0, len(e.Models))
		for _, m := range e.Models {
			models = append(models, m.Model)
		}
		out = append(out, fmt.Sprintf("Endpoint %s holds %v.", e.Endpoint, models))
	}
	return out
}

// Status implements oper.StatusSource.
func (o *operator) Status(ctx context.Context) (admin.Status, error) {
	v := o.node.loop.status.Load()
	if v == nil {
		return admin.Status{}, fmt.Errorf("node %s is starting", o.node.settings.Node.Name)
	}
	s := v.status
	if snap, err := o.node.limiter.Snapshot(ctx); err == nil {
		s.Lines = append(s.Lines[:len(s.Lines):len(s.Lines)], fmt.Sprintf(
			"This VM holds %d of 64 slots of its domain's rate limits.", snap.Slots))
		for _, w := range snap.Workspaces {
			s.Lines = append(s.Lines, fmt.Sprintf(
				"Workspace %s: %d requests admitted and %d refused here; its tokens are pooled at %s.",
				w.Workspace, w.Admitted, w.Refused, w.Pool))
		}
	}
	return s, nil
}

// findTimeout bounds the collection of records from other nodes.
const findTimeout = 2 * time.Second

// Explain implements oper.Explainer.
func (o *operator) Explain(ctx context.Context, q admin.Query) ([]string, error) {
	query := audit.Query{
		Request:   q.Request,
		Workspace: q.Workspace,
		Model:     q.Model,
	}
	if q.Last > 0 {
		query.To = o.node.clock.Now()
		query.From = query.To.Add(-time.Duration(q.Last))
	}
	answer := o.node.find(ctx, query)
	if q.Request != "" && len(answer.Events) == 0 {
		return []string{o.explainNoEvents(q, answer)}, nil
	}
	text := audit.Explain(query, answer, time.UTC)
	return strings.Split(strings.TrimSpace(text), "\n"), nil
}

func (o *operator) explainNoEvents(q admin.Query, answer audit.Answer) string {
	if node, _, ok := entry.OwnerOf(q.Request); !ok {
		return fmt.Sprintf("%q is not the id of a request. The id is in the X-Request-Id header of each response.", q.Request)
	} else if len(answer.Nodes) == 0 {
		return fmt.Sprintf("The VM %s, which handled the request, cannot be reached, so its record of the request is not available.", node)
	}
	return "Nothing unusual was recorded for this request: it was served, or it is older than the record."
}

// find collects audit records. For a single request, only the node that handled
// it is queried. Other queries go to all nodes of the domain and to one relay of
// each other domain, which adds the records of its whole domain.
func (n *Node) find(ctx context.Context, q audit.Query) audit.Answer {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if owner, _, ok := entry.OwnerOf(q.Request); ok && q.Request != "" {
		if owner == n.settings.Node.Name {
			return n.audit.Answer(q)
		}
		if a, ok := n.findOn(ctx, owner, &wire.FindRequest{Query: q}); ok {
			return a
		}
		return audit.Answer{
			Missing: []string{owner},
		}
	}
	answers := append(n.findInDomain(ctx, q), n.audit.Answer(q))
	if v := n.loop.status.Load(); v != nil {
		answers = append(answers, n.findAll(ctx, v.relays, &wire.FindRequest{
			Query:  q,
			Domain: true,
		})...)
	}
	return audit.Merge(q, answers...)
}

// findInDomain queries the other nodes of the domain.
func (n *Node) findInDomain(ctx context.Context, q audit.Query) []audit.Answer {
	v := n.loop.status.Load()
	if v == nil {
		return nil
	}
	return n.findAll(ctx, v.local, &wire.FindRequest{
		Query: q,
	})
}

func (n *Node) findAll(ctx context.Context, to []peers.Peer, req *wire.FindRequest) []audit.Answer {
	out := make([]audit.Answer, len(to))
	var all sync.WaitGroup
	for i, p := range to {
		all.Go(func() {
			reply, err := n.wire.Find(ctx, p.Address, req)
			if err != nil {
				out[i].Missing = []string{p.Name}
				return
			}
			out[i] = reply.Answer
		})
	}
	all.Wait()
	return out
}

func (n *Node) findOn(ctx context.Context, node string, req *wire.FindRequest) (audit.Answer, bool) {
	address, err := n.transport.address(node)
	if err != nil {
		return audit.Answer{}, false
	}
	reply, err := n.wire.Find(ctx, address, req)
	if err != nil {
		return audit.Answer{}, false
	}
	return reply.Answer, true
}

// cancel cancels a request on the node that runs it, which is part of the
// request id.
func (o *operator) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	owner, _, ok := entry.OwnerOf(id)
	if !ok {
		http.Error(w, "not the id of a request", http.StatusBadRequest)
		return
	}
	found := false
	if owner == o.node.settings.Node.Name {
		found = o.node.entry.Cancel(id)
	} else if address, err := o.node.transport.address(owner); err == nil {
		reply, err := o.node.wire.Find(r.Context(), address, &wire.FindRequest{Cancel: id})
		if err != nil {
			http.Error(w, "node "+owner+" did not answer", http.StatusServiceUnavailable)
			return
		}
		found = reply.Found
	}
	if !found {
		http.Error(w, "no such request is running", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// vars publishes the counters of this node. They are not registered in expvar,
// whose names are global, because a process may hold several nodes in tests.
func (o *operator) vars(w http.ResponseWriter, _ *http.Request) {
	out := map[string]json.RawMessage{
		"events":  json.RawMessage(o.node.audit.Counts().String()),
		"latency": json.RawMessage(o.node.stats.Latency().String()),
	}
	for name, v := range o.node.stats.Groups() {
		out[name] = json.RawMessage(v.String())
	}
	if data, err := json.Marshal(o.node.meter.Read()); err == nil {
		out["control-traffic"] = data
	}
	if v := expvar.Get("memstats"); v != nil {
		out["memstats"] = json.RawMessage(v.String())
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has closed the connection.
	_ = json.NewEncoder(w).Encode(out)
}
