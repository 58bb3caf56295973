package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/fake/weight"
)

func standWeightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "loads", Usage: "loads per second", Value: 2},
			&cli.IntFlag{Name: "parallel", Usage: "loads at once", Value: 4},
			&cli.FloatFlag{Name: "mib-per-second", Usage: "speed of one load", Value: 8192},
		},
		Before: checkStandArgs,
		Action: func(ctx context.Context, c *cli.Command) error {
			opts := weight.Options{
				LoadsPerSecond: c.Float("loads"),
				Parallel:       c.Int("parallel"),
				MiBPerSecond:   c.Float("mib-per-second"),
			}
			if err := opts.Validate(); err != nil {
				return Usagef("%w", err)
			}
			s, release := weight.New(opts)
			defer release()
			return serveStandIns(ctx, c, s.Handler())
		},
	}
}
