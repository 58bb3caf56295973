package load

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/local"
)

// Event is a fault, or the end of one, in the course of a run.
type Event struct {
	// At is the time since the end of the warm-up, in seconds.
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// step is an action that begins or ends a fault. It returns the text of its
// event.
type step struct {
	at time.Duration
	do func() string
}

// runFaults carries out the faults of the scenario at their scheduled times.
func (r *run) runFaults(ctx context.Context) {
	var steps []step
	for _, f := range r.scenario.Faults {
		begin, end := r.actionsOf(f)
		at := time.Duration(r.scenario.WarmUp + f.At)
		steps = append(steps, step{at: at, do: begin})
		if end != nil && f.For > 0 {
			steps = append(steps, step{at: at + time.Duration(f.For), do: end})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, st := range steps {
		if !sleepUntil(ctx, r.begin.Add(st.at)) {
			return
		}
		text := st.do()
		r.mu.Lock()
		r.events = append(r.events, Event{
			At:   (time.Since(r.begin) - time.Duration(r.scenario.WarmUp)).Seconds(),
			Text: text,
		})
		r.mu.Unlock()
		r.progress("%s", text)
	}
}

// actionsOf returns the actions that begin and end a fault. end is nil for faults
// that happen at one instant.
func (r *run) actionsOf(f Fault) (begin, end func() string) {
	switch f.Kind {
	case KillNode:
		return func() string { return r.killNode(f.Domain) }, nil
	case AddNode:
		return func() string {
			r.added++
			name := fmt.Sprintf("%s-added-%d", f.Domain, r.added)
			if err := r.addNode(name, f.Domain); err != nil {
				return err.Error()
			}
			return "Entry node " + name + " was added."
		}, nil
	case RestartEngine:
		return func() string {
			e := r.fleet.Engines[f.Endpoint]
			if e == nil {
				return f.Endpoint + " is not an engine; nothing was done."
			}
			e.Restart()
			return "Engine " + f.Endpoint + " crashed and restarted."
		}, nil
	case PlatformOutage:
		return func() string {
				if err := r.fleet.Platform.Faults().Add(fault.Fault{Kind: fault.Refuse}); err != nil {
					return err.Error()
				}
				return "The platform stopped answering."
			}, func() string {
				r.fleet.Platform.Faults().Clear(fault.Refuse)
				return "The platform answers again."
			}
	}
	return func() string { return r.changeLinks(f, r.network.Cut, "was cut off from") },
		func() string { return r.changeLinks(f, r.network.Heal, "is connected again to") }
}

// killNode kills the node of a domain that was added last.
func (r *run) killNode(domain string) string {
	r.mu.Lock()
	name := ""
	for i := len(r.nodes) - 1; i >= 0; i-- {
		if r.nodes[i].domain == domain {
			name = r.nodes[i].name
			r.nodes = slices.Delete(r.nodes, i, i+1)
			break
		}
	}
	r.mu.Unlock()
	if name == "" {
		return "No entry node was left in " + domain + "."
	}
	if err := r.fleet.KillNode(name); err != nil {
		return err.Error()
	}
	return "Entry node " + name + " was killed."
}

// changeLinks applies a change to the links between a domain and all others, and
// to its link to the platform if the fault includes that.
func (r *run) changeLinks(f Fault, change func(a, b string), what string) string {
	for _, d := range r.scenario.Fleet.Config.Domains {
		if d.Name != f.Domain {
			change(f.Domain, d.Name)
		}
	}
	text := "Domain " + f.Domain + " " + what + " the other domains"
	if f.FromPlatform {
		change(f.Domain, local.PlatformSite)
		text += " and the platform"
	}
	return text + "."
}
