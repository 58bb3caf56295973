package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/conf"
	"trefoildale.example/trefoildale/internal/proc"
	"trefoildale.example/trefoildale/platform"
)

// fleetCommand returns the command that runs the entry process on the users'
// platform.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:      "fleet",
		Usage:     "serve callers on the users' platform",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "YAML file with the settings of this process",
				Sources:  cli.EnvVars(platform.SettingsVariable),
				Required: true,
			},
			&cli.IntFlag{
				Name:  "max-fds",
				Usage: "number of descriptors that this process may open, in place of that in the settings",
			},
		},
		Action: runFleet,
	}
}

// loadFleetSettings reads the settings of a process. A maxFDs above 0 replaces the setting.
func loadFleetSettings(file string, maxFDs int) (*conf.Fleet, error) {
	set, err := conf.LoadFleet(file)
	var findings conf.Findings
	if errors.As(err, &findings) {
		return nil, Usagef("--settings:\n%w", findings)
	}
	if err != nil {
		return nil, Usagef("--settings: %w", err)
	}
	if maxFDs > 0 {
		set.Node.MaxFDs = maxFDs
	}
	return set, nil
}

func runFleet(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usagef("trefoild fleet: unexpected argument %q", cmd.Args().First())
	}
	// Without this, a SIGHUP to reload the settings would terminate the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	file, maxFDs := cmd.String("settings"), cmd.Int("max-fds")
	if maxFDs < 0 {
		return Usagef("--max-fds: %d is below zero", maxFDs)
	}
	set, err := loadFleetSettings(file, maxFDs)
	if err != nil {
		return err
	}
	p, release, err := proc.New(set, cmd.Root().Writer)
	if err != nil {
		return err
	}
	defer release()
	p.Run(ctx, signals, func() (*conf.Fleet, error) { return loadFleetSettings(file, maxFDs) })
	return nil
}
