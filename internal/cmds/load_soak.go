package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"trefoildale.example/trefoildale/internal/soak"
)

func loadSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entry processes on a stand-in of the users' platform under random faults, and check the guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run", Value: 1},
			&cli.IntFlag{Name: "runs", Usage: "how many seeds, counted up from the first", Value: 1},
			&cli.IntFlag{Name: "parallel", Usage: "runs at a time", Value: 1},
			&cli.StringFlag{Name: "program", Usage: "the entry process", Value: "bin/trefoild"},
			&cli.StringFlag{Name: "former", Usage: "an entry process of another build, which every second process runs"},
			&cli.IntFlag{Name: "nodes", Usage: "entry processes of a run", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "callers of a run", Value: 12},
			&cli.DurationFlag{Name: "faults", Usage: "for how long faults are injected", Value: 15 * time.Second},
			&cli.StringFlag{Name: "out", Usage: "directory for settings and logs; those of runs without violations are removed", Value: "out/soak"},
			&cli.BoolFlag{Name: "incidents", Usage: "add configurations that grow while the store turns processes away, and prompts that crash engines (--incidents=false for none)", Value: true},
			&cli.BoolFlag{Name: "statements", Usage: "add endpoints that say that they leave or want no requests for a time; with --planned, answers in other forms too (--statements=false for none)", Value: true},
			&cli.BoolFlag{Name: "limits", Usage: "add endpoints that name how many requests per second they take (--limits=false for none)", Value: true},
			&cli.BoolFlag{Name: "crowds", Usage: "with --planned, add clients outside the limits, and endpoints whose answers are none or are reset"},
			&cli.BoolFlag{Name: "restores", Usage: "add restores of the store from a copy some seconds old"},
			&cli.BoolFlag{Name: "planned", Usage: "planned work (stops, reloads, configurations) in place of all faults, beside engines that are silent for a moment and what the other flags add, in a deployment with three domains; use --nodes 8 --callers 48"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: runSoak,
	}
}

// errGuaranteesViolated is returned if at least one run violated a guarantee.
var errGuaranteesViolated = errors.New("guarantees were violated")

func runSoak(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usagef("%s: unexpected argument %q", cmd.FullName(), cmd.Args().First())
	}
	runs, parallel := cmd.Int("runs"), cmd.Int("parallel")
	if runs < 1 || parallel < 1 || cmd.Int("nodes") < 1 || cmd.Int("callers") < 1 || cmd.Duration("faults") <= 0 {
		return Usagef("%s: runs, parallel, nodes, callers and faults must be above zero", cmd.FullName())
	}
	for _, flag := range []string{"program", "former"} {
		path := cmd.String(flag)
		if flag == "former" && path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			return Usagef("%s: --%s: %w", cmd.FullName(), flag, err)
		}
	}
	// On a signal, each run ends the processes that it started.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	failed := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for i := range runs {
		seed := cmd.Uint64("seed") + uint64(i)
		group.Go(func() error {
			r, err := soakOnce(ctx, cmd, seed)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			printSoak(cmd.Root().Writer, r)
			if len(r.Violations) > 0 {
				failed++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%d of %d seeds violated a guarantee\n", failed, runs)
	if failed > 0 {
		return errGuaranteesViolated
	}
	return nil
}

func soakOnce(ctx context.Context, cmd *cli.Command, seed uint64) (*soak.Result, error) {
	dir := filepath.Join(cmd.String("out"), strconv.FormatUint(seed, 10))
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var former []string
	if program := cmd.String("former"); program != "" {
		former = []string{program}
	}
	var progress io.Writer
	if cmd.Bool("verbose") {
		progress = cmd.Root().Writer
	}
	r, err := soak.Run(ctx, soak.Options{
		Seed:       seed,
		Program:    []string{cmd.String("program")},
		Former:     former,
		Dir:        dir,
		Nodes:      cmd.Int("nodes"),
		Callers:    cmd.Int("callers"),
		Faults:     cmd.Duration("faults"),
		Incidents:  cmd.Bool("incidents"),
		Statements: cmd.Bool("statements"),
		Crowds:     cmd.Bool("crowds"),
		Limits:     cmd.Bool("limits"),
		Restores:   cmd.Bool("restores"),
		Planned:    cmd.Bool("planned"),
		Progress:   progress,
	})
	if err != nil {
		return nil, err
	}
	if len(r.Violations) == 0 {
		return r, os.RemoveAll(dir)
	}
	return r, nil
}

func printSoak(w io.Writer, r *soak.Result) {
	fmt.Fprintf(w, "seed %d: %d requests, %d served (%.1f %%), %d of %d after recovery, %d faults, %d broken\n", r.Seed, r.Requests, r.Served, 100*float64(r.Served)/float64(max(1, r.Requests)), r.RecoveredServed, r.Recovered, r.Faults, len(r.Violations))
	for _, answer := range slices.Sorted(maps.Keys(r.Unserved)) {
		fmt.Fprintf(w, "  %d not served: %s\n", r.Unserved[answer], answer)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Noted)) {
		fmt.Fprintf(w, "  %d noted: %s\n", r.Noted[reason], reason)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}
