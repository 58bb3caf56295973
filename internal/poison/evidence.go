package poison

import (
	"errors"
	"fmt"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

const (
	// maxPartLength limits the length of a part's id in bytes.
	maxPartLength = 128
	// maxCrashes is how many crashes are kept for a part, the newest ones.
	maxCrashes = 8
	// MaxShared is how many parts one message to another node contains at most.
	MaxShared = 64
)

// Crash is the crash of an engine, with its age when the message was sent.
type Crash struct {
	Engine fleet.Key     `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Evidence is what a node tells others about a part of prompts.
type Evidence struct {
	Part string `cbor:"1,keyasint"`
	// Crashes are the engines that crashed while requests with the part were about to
	// be answered.
	Crashes []Crash `cbor:"2,keyasint,omitempty"`
	// Served is set if a request with the part is known to have been answered, ServedAge
	// is the time since the last such answer.
	Served    bool          `cbor:"3,keyasint,omitempty"`
	ServedAge time.Duration `cbor:"4,keyasint,omitempty"`
}

// Validate checks the lengths and ages of decoded evidence.
func (e *Evidence) Validate() error {
	if e.Part == "" || len(e.Part) > maxPartLength {
		return fmt.Errorf("poison: the id of a part has %d bytes, 1 to %d are allowed", len(e.Part), maxPartLength)
	}
	if len(e.Crashes) > maxCrashes {
		return fmt.Errorf("poison: part %.64q has %d crashes, at most %d are allowed", e.Part, len(e.Crashes), maxCrashes)
	}
	if e.ServedAge < 0 {
		return fmt.Errorf("poison: part %.64q was served in the future", e.Part)
	}
	for _, c := range e.Crashes {
		if c.Engine.ID == "" {
			return fmt.Errorf("poison: a crash of part %.64q names no engine", e.Part)
		}
		if c.Age < 0 {
			return fmt.Errorf("poison: a crash of part %.64q is in the future", e.Part)
		}
	}
	return nil
}

// ValidateAll checks a list of decoded evidence.
func ValidateAll(list []Evidence) error {
	if len(list) > MaxShared {
		return fmt.Errorf("poison: %d parts in a message, at most %d are allowed", len(list), MaxShared)
	}
	var errs []error
	for i := range list {
		errs = append(errs, list[i].Validate())
	}
	return errors.Join(errs...)
}
