package grant

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that every run tests the same cases. Flags on
// the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "1",
		"rapid.checks": "300",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
