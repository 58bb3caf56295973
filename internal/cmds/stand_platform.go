package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/fake/plat"
)

func standPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table, objects and list of VMs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "reads", Usage: "reads per second", Value: 2000},
			&cli.FloatFlag{Name: "writes", Usage: "writes per second", Value: 300},
			&cli.DurationFlag{Name: "lag", Usage: "how late the list of VMs is"},
		},
		Before: checkStandArgs,
		Action: func(ctx context.Context, c *cli.Command) error {
			opts := plat.Options{
				ReadsPerSecond:  c.Float("reads"),
				WritesPerSecond: c.Float("writes"),
				Lag:             c.Duration("lag"),
			}
			if err := opts.Validate(); err != nil {
				return Usagef("%w", err)
			}
			p, release := plat.New(opts)
			defer release()
			return serveStandIns(ctx, c, p.Handler())
		},
	}
}
