package engine

import (
	"fmt"
	"slices"
)

// Error codes in an engine's refusal of an order or a request.
const (
	CodeStaleFence  = "stale-fence"
	CodeNoMemory    = "no-memory"
	CodeDeadline    = "deadline-passed"
	CodeNotResident = "not-resident"
	CodeKeyReceived = "key-seen"
)

func (s OrderStatus) validate(id string) error {
	if s.ID != id {
		return fmt.Errorf("status of order %q instead of %q", s.ID, id)
	}
	if !slices.Contains([]OrderPhase{OrderRunning, OrderDone, OrderFailed, OrderUnknown}, s.Phase) {
		return fmt.Errorf("order %q has unknown phase %q", id, s.Phase)
	}
	return nil
}

func (s State) validate() error {
	if s.Incarnation == "" {
		return fmt.Errorf("state has no incarnation")
	}
	if s.MemoryMiB < 0 {
		return fmt.Errorf("state has memory %d", s.MemoryMiB)
	}
	for _, r := range s.Resident {
		if r.Model == "" || r.MemoryMiB < 0 {
			return fmt.Errorf("state has resident %q with memory %d", r.Model, r.MemoryMiB)
		}
	}
	for _, o := range s.Running {
		if o.ID == "" || o.MemoryMiB < 0 {
			return fmt.Errorf("state has order %q with memory %d", o.ID, o.MemoryMiB)
		}
	}
	return nil
}

func (l Load) validate() error {
	if l.Running < 0 || l.Queued < 0 || l.TokensPerSecond < 0 {
		return fmt.Errorf("load report has running %d, queued %d, %g tokens per second", l.Running, l.Queued, l.TokensPerSecond)
	}
	return nil
}

func validateEvents(events []CacheEvent, after int64) error {
	for _, e := range events {
		if e.Seq <= after {
			return fmt.Errorf("cache event %d follows %d", e.Seq, after)
		}
		after = e.Seq
	}
	return nil
}
