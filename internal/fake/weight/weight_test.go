package weight

import "testing"

// TestValidate guards against settings that are accepted although they are out of
// range.
func TestValidate(t *testing.T) {
	for _, tc := range []struct {
		name string
		opts Options
	}{
		{name: "loads", opts: Options{LoadsPerSecond: -1}},
		{name: "parallel", opts: Options{Parallel: -1}},
		{name: "speed", opts: Options{MiBPerSecond: -1}},
		{name: "queue", opts: Options{MaxQueued: -1}},
	} {
		if tc.opts.Validate() == nil {
			t.Errorf("%s below zero was accepted", tc.name)
		}
	}
}
