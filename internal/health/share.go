package health

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// MaxShared is how many statements one message contains at most. Engines leave a few at
// a time.
const MaxShared = 128

// maxAge bounds the age of another node's statement.
const maxAge = 24 * time.Hour

// Statement is an engine's word that it leaves, as one node tells it to another.
type Statement struct {
	Key fleet.Key `cbor:"1,keyasint"`
	// Age is the time since the engine was first heard to say it.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// ValidateAll checks the decoded statements of a message.
func ValidateAll(list []Statement) error {
	if len(list) > MaxShared {
		return fmt.Errorf("health: %d statements, at most %d are allowed", len(list), MaxShared)
	}
	for _, s := range list {
		if s.Key.ID == "" {
			return errors.New("health: statement without an engine")
		}
		if s.Age < 0 || s.Age > maxAge {
			return fmt.Errorf("health: statement about engine %.64q has age %v", s.Key.ID, s.Age)
		}
	}
	return nil
}

// Share returns the statements that other nodes may not know: those of listed engines
// that the list does not name as leaving. The newest come first.
func (t *Table) Share(now time.Time) []Statement {
	records := *t.records.Load()
	var out []Statement
	for id, r := range records {
		if r.saidLeaving.IsZero() || !r.listedLeaving.IsZero() || !r.unlistedSince.IsZero() {
			continue
		}
		out = append(out, Statement{
			Key: fleet.Key{
				ID:          id,
				Incarnation: r.incarnation,
			},
			Age: boundedAge(now, r.saidLeaving),
		})
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key.ID, b.Key.ID))
	})
	return out[:min(len(out), MaxShared)]
}

// Merge adds the statements of another node and returns those that are new.
func (t *Table) Merge(now time.Time, list []Statement) []Statement {
	var added []Statement
	for _, s := range list {
		if t.SetLeaving(now.Add(-s.Age), s.Key, Peer) {
			added = append(added, s)
		}
	}
	return added
}
