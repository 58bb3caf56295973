package poison

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run has the same result. Flags on the
// command line take precedence.
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
