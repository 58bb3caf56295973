// Package store defines the interfaces to the platform's transactional table,
// object store and VM list, and implements them with an HTTP client.
package store

import (
	"context"
	"errors"
)

// The errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("store: no such row")
	// ErrConflict means that the condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("store: condition failed")
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	// Reading the row shows whether it has.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Row is one row of the table. Version starts at 1 and increases with each write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get reads one row.
	Get(ctx context.Context, key string) (Row, error)
	// Insert writes a row that must not exist.
	Insert(ctx context.Context, key string, value []byte) (Row, error)
	// Update replaces a row that must have the given version.
	Update(ctx context.Context, key string, value []byte, version int64) (Row, error)
	// Delete removes a row that must have the given version.
	Delete(ctx context.Context, key string, version int64) error
	// Scan lists up to limit rows with the prefix and a key above after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put writes an object and replaces an existing one.
	Put(ctx context.Context, key string, value []byte) error
	// Get reads an object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VM is an entry of the platform's list of VMs. The list is updated with a delay.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	// List reads the whole list.
	List(ctx context.Context) ([]VM, error)
}
