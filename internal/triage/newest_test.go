package triage

import (
	"testing"
	"time"
)

// TestNewest guards against requests that wait for a configuration that is in force already
// or does not arrive, and against an older version that replaces a newer one.
func TestNewest(t *testing.T) {
	start := time.Unix(1000, 0)
	var n Newest
	if n.Version() != 0 || n.IsExpected(start, 0) || n.KnownFor(start, 1) != 0 {
		t.Error("a version is known before one was named")
	}
	for i, version := range []int64{3, 3, 2} {
		if got := n.Record(start, version); got != (i == 0) {
			t.Errorf("version %d: recorded as the highest: %v", version, got)
		}
	}
	if n.Version() != 3 {
		t.Errorf("the highest version is %d, want 3", n.Version())
	}
	tests := []struct {
		name     string
		after    time.Duration
		inForce  int64
		expected bool
		knownFor time.Duration // of the version after the one in force
	}{
		{name: "at once", inForce: 2, expected: true},
		{name: "later", after: time.Second, inForce: 2, expected: true, knownFor: time.Second},
		{name: "in force", after: time.Second, inForce: 3},
		{name: "not arrived for long", after: MaxConfigDelay, inForce: 2, knownFor: MaxConfigDelay},
	}
	for _, tt := range tests {
		now := start.Add(tt.after)
		if got := n.IsExpected(now, tt.inForce); got != tt.expected {
			t.Errorf("%s: expected %v, want %v", tt.name, got, tt.expected)
		}
		if got := n.KnownFor(now, tt.inForce+1); got != tt.knownFor {
			t.Errorf("%s: known for %v, want %v", tt.name, got, tt.knownFor)
		}
	}
}
