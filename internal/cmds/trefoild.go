package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/drain"
	"trefoildale.example/trefoildale/internal/node"
)

// Trefoild returns the command line of trefoild, the entry process.
func Trefoild() *cli.Command {
	return &cli.Command{
		Name:      "trefoild",
		Usage:     "serve callers as an entry process",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "settings",
				Usage: "YAML file with the settings of this process",
				Local: true,
			},
		},
		Commands: []*cli.Command{fleetCommand()},
		Action:   runTrefoild,
	}
}

func runTrefoild(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usagef("trefoild: unexpected argument %q", cmd.Args().First())
	}
	if !cmd.IsSet("settings") {
		return Usagef("trefoild: Required flag \"settings\" not set")
	}
	set, err := conf.Load(cmd.String("settings"))
	var findings conf.Findings
	if errors.As(err, &findings) {
		return Usagef("--settings:\n%w", findings)
	}
	if err != nil {
		return Usagef("--settings: %w", err)
	}
	if err := setVerbosity(set.Log.Verbosity); err != nil {
		return err
	}
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(stops)
	clk := clock.NewReal()
	n, _, err := node.New(node.Options{
		Settings: set,
		Clock:    clk,
	})
	if err != nil {
		return err
	}
	n.Stats().Publish()
	w := cmd.Root().Writer
	fmt.Fprintf(w, "callers %s\npeers %s\nadmin %s\n", n.CallersAddr, n.PeersAddr, n.AdminAddr)
	arrived := awaitStop(ctx, clk, func() <-chan time.Time { return time.After(aliveInterval) }, stops)
	klog.InfoS("Stop begins", "signal-age-ms", clk.Now().Sub(arrived).Milliseconds(), "drain", time.Duration(set.Shutdown.Drain).String())
	return shutdown(n, set, arrived, stops)
}

// aliveInterval is how often the process notes that it is not suspended.
const aliveInterval = 50 * time.Millisecond

// awaitStop waits for a signal, or for the end of ctx. It returns the earliest time at
// which the signal may have arrived. Each call of next returns when the process is to note
// that it is not suspended.
func awaitStop(ctx context.Context, clk clock.Clock, next func() <-chan time.Time, stops <-chan os.Signal) time.Time {
	pulse := drain.NewPulse(clk.Now())
	for {
		select {
		case <-stops:
			return pulse.Since()
		case <-ctx.Done():
			return pulse.Since()
		case <-next():
			pulse.Beat(clk.Now())
		}
	}
}

// shutdown stops the node after a signal that may have arrived at the given time. It stops
// waiting for running requests on a second signal or after the drain time in the settings.
func shutdown(n *node.Node, set *conf.Settings, arrived time.Time, stops <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var endsAt time.Time
	if d := time.Duration(set.Shutdown.Drain); d > 0 {
		endsAt = arrived.Add(d)
	}
	go func() {
		select {
		case <-stops:
			cancel()
		case <-ctx.Done():
		}
	}()
	if cut := n.ShutdownBy(ctx, endsAt); len(cut) > 0 {
		return Unavailablef("%d requests were interrupted: %v", len(cut), cut)
	}
	return nil
}

func setVerbosity(level int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return fs.Set("v", strconv.Itoa(level))
}
