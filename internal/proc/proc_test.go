package proc

import "testing"

// TestSoftMemoryLimit guards against a limit above the memory of the smallest VMs: the
// process is killed before the garbage collector runs more often.
func TestSoftMemoryLimit(t *testing.T) {
	for _, tc := range []struct {
		memoryMB float64
		want     int64
	}{
		{memoryMB: 0, want: defaultSoftMemory},
		{memoryMB: 144, want: 100_800_000},
		{memoryMB: 536, want: 375_200_000},
	} {
		if got := softMemoryLimit(tc.memoryMB); got != tc.want {
			t.Errorf("the limit for %v MB is %d bytes, want %d", tc.memoryMB, got, tc.want)
		}
	}
}
