package triage

import (
	"sync/atomic"
	"time"
)

const (
	// MaxConfigWait is how long a request that the configuration in force refuses waits
	// for a newer one.
	MaxConfigWait = time.Second
	// MaxConfigDelay is how long a newer configuration may take to arrive. One that takes
	// longer may not be usable at this node at all.
	MaxConfigDelay = 5 * time.Second
)

// Newest is the highest version of the configuration that other nodes have named. It is safe
// for concurrent use, and the zero value is ready for use.
type Newest struct {
	named atomic.Pointer[namedVersion]
}

type namedVersion struct {
	version int64
	at      time.Time
}

// Record records that a version was named, and reports whether it is higher than all before.
func (n *Newest) Record(now time.Time, version int64) bool {
	for {
		old := n.named.Load()
		if old != nil && old.version >= version {
			return false
		}
		if n.named.CompareAndSwap(old, &namedVersion{
			version: version,
			at:      now,
		}) {
			return true
		}
	}
}

// Version returns the highest version that was named, 0 if there is none.
func (n *Newest) Version() int64 {
	v := n.named.Load()
	if v == nil {
		return 0
	}
	return v.version
}

// KnownFor returns for how long a version as high as the given one is known, 0 if it is not.
func (n *Newest) KnownFor(now time.Time, version int64) time.Duration {
	v := n.named.Load()
	if v == nil || v.version < version {
		return 0
	}
	return now.Sub(v.at)
}

// IsExpected reports whether a higher version than the one in force is expected to arrive.
func (n *Newest) IsExpected(now time.Time, inForce int64) bool {
	v := n.named.Load()
	return v != nil && v.version > inForce && now.Before(v.at.Add(MaxConfigDelay))
}
