package local

import (
	"fmt"
	"testing"
	"time"
)

// TestRestartedEngineIsLoadedAgain guards against an engine that stays empty after a restart
// until the next periodic read of its state, while no request is sent to it.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	t.Parallel()
	f, _ := testFleet(t, Options{
		Config:         testConfig(1),
		NodesPerDomain: 1,
	})
	engine := f.Engines["assistant-d1"]
	before := engine.Stats().Loads
	engine.Restart()
	eventually(t, 15*time.Second, func() error {
		if loads := engine.Stats().Loads; loads == before {
			return fmt.Errorf("the engine has loaded nothing since its restart, %d loads before", loads)
		}
		return nil
	})
}
