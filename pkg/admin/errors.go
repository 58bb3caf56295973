package admin

import (
	"errors"
	"fmt"
)

// RefusedError means that the change was not made, for the reasons given.
type RefusedError struct {
	Problem
}

// Error implements error.
func (e *RefusedError) Error() string {
	if len(e.Findings) > 0 {
		return "refused:\n" + e.Findings.Error()
	}
	return "refused: " + e.Message
}

// ConflictError means that the change was not made because another change to the
// same item was accepted first. Revision is the revision of that change.
type ConflictError struct {
	Problem
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Message }

// UnavailableError means that this request changed nothing. If an earlier attempt
// of the same operation returned an UnknownError, its outcome is still unknown.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "unavailable: " + e.Err.Error() }

// Unwrap implements the interface of package errors.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError means that the change may have been made or may still be made.
// Repeating the request with the same operation id determines the outcome.
type UnknownError struct {
	OpID string
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown, repeat with operation id %s: %v", e.OpID, e.Err)
}

// Unwrap implements the interface of package errors.
func (e *UnknownError) Unwrap() error { return e.Err }

func (p Problem) err(opID string) error {
	switch p.Code {
	case CodeInvalid, CodeRefused, CodeNotFound:
		return &RefusedError{Problem: p}
	case CodeConflict:
		return &ConflictError{Problem: p}
	case CodeUnavailable:
		return &UnavailableError{Err: errors.New(p.Message)}
	}
	if opID == "" {
		return fmt.Errorf("admin: %s: %s", p.Code, p.Message)
	}
	return &UnknownError{OpID: opID, Err: errors.New(p.Message)}
}
