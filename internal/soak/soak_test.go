package soak_test

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/cmds"
	"trefoildale.example/trefoildale/internal/soak"
)

// programEnv makes the test binary run as the entry process.
const programEnv = "TREFOILD_IN_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(cmds.Run(context.Background(), cmds.Trefoild(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// readSeeds reads regression seeds with the cause of their failures.
func readSeeds(t *testing.T, path string) map[uint64]string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	out := map[uint64]string{}
	in := bufio.NewScanner(f)
	for in.Scan() {
		line := strings.TrimSpace(in.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		number, cause, ok := strings.Cut(line, ":")
		seed, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || strings.TrimSpace(cause) == "" {
			t.Fatalf("%s: %q is not of the form SEED: CAUSE", path, line)
		}
		out[seed] = strings.TrimSpace(cause)
	}
	return out
}

// TestSoak guards against broken guarantees under overlapping faults. It runs a
// fixed seed and the seeds that once failed, one after the other, since the
// processes of parallel runs disturb the timing of other packages.
func TestSoak(t *testing.T) {
	all := readSeeds(t, "testdata/seeds.txt")
	all[1] = "fixed seed"
	for seed, cause := range all {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, cause, soak.Options{Seed: seed}) })
	}
}

// TestSoakIncidents guards against configurations that do not reach all processes while
// they grow and the store turns processes away, and against engines that crash one after
// the other under a part of prompts, beside the faults of TestSoak.
func TestSoakIncidents(t *testing.T) {
	for _, seed := range []uint64{1001, 1004} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, "fixed seed", soak.Options{Seed: seed, Incidents: true}) })
	}
}

// TestSoakRestores guards against processes that go on from before a restore of the store
// from a copy, or undo what was done since, beside the faults of TestSoak.
func TestSoakRestores(t *testing.T) {
	runSeed(t, "fixed seed", soak.Options{
		Seed:     5001,
		Restores: true,
	})
}

// TestSoakStatements guards against requests to endpoints that have said in an answer that
// they leave or want none for a time, beside the faults of TestSoak.
func TestSoakStatements(t *testing.T) {
	runSeed(t, "fixed seed", soak.Options{
		Seed:       2001,
		Statements: true,
	})
}

// TestSoakLimits guards against requests beyond the limits that endpoints name, summed over
// all processes, beside planned work. Where the limits are not obeyed, the seed fails.
func TestSoakLimits(t *testing.T) {
	runSeed(t, "fixed seed", soak.Options{
		Seed:    4002,
		Planned: true,
		Limits:  true,
		Nodes:   8,
		Callers: 48,
		Faults:  12 * time.Second,
	})
}

// TestSoakPlanned guards against requests that are lost beside planned work (stops, reloads,
// configurations) while engines are silent for a moment, with nothing else wrong.
func TestSoakPlanned(t *testing.T) {
	runSeed(t, "fixed seed", soak.Options{
		Seed:    9001,
		Planned: true,
		Nodes:   8,
		Callers: 48,
		Faults:  10 * time.Second,
	})
}

// TestSoakCrowds guards against processes that end, or lose requests of ordinary callers,
// beside clients outside the limits, and against answers that are none or are reset and
// reach callers as whole ones.
func TestSoakCrowds(t *testing.T) {
	runSeed(t, "fixed seed", soak.Options{
		Seed:    46001,
		Planned: true,
		Crowds:  true,
		Nodes:   8,
		Callers: 48,
		Faults:  10 * time.Second,
	})
}

// TestSoakPlannedTrouble guards against requests that are lost, or accepted and cut, beside
// planned work while endpoints and the store are in trouble too. It runs the seeds that once
// failed.
func TestSoakPlannedTrouble(t *testing.T) {
	for seed, cause := range readSeeds(t, "testdata/planned-seeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runSeed(t, cause, soak.Options{
				Seed:       seed,
				Planned:    true,
				Incidents:  true,
				Statements: true,
				Restores:   true,
				Nodes:      8,
				Callers:    48,
				Faults:     12 * time.Second,
			})
		})
	}
}

// runSeed runs a seed with the kinds of faults in the options.
func runSeed(t *testing.T, cause string, o soak.Options) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// At its exit, a program with the race detector sleeps for a second by default, which
	// would count as time of a stop.
	o.Program, o.Env, o.Dir = []string{program}, []string{programEnv + "=1", "GORACE=atexit_sleep_ms=0"}, t.TempDir()
	if o.Nodes == 0 {
		o.Nodes, o.Callers, o.Faults = 4, 12, 15*time.Second
	}
	r, err := soak.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d requests, %d served, %d faults; not served: %v; noted: %v", cause, r.Requests, r.Served, r.Faults, r.Unserved, r.Noted)
	for _, b := range r.Violations {
		t.Error(b)
	}
	timelines, err := filepath.Glob(filepath.Join(o.Dir, "*.timeline"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range timelines {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s:\n%s", filepath.Base(path), text)
	}
	if r.Served == 0 || r.Faults == 0 {
		t.Errorf("%d requests were served under %d faults", r.Served, r.Faults)
	}
}
