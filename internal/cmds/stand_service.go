package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/fake/plain"
)

func standService() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "name in the answers", Value: "service"},
			&cli.DurationFlag{Name: "work", Usage: "how long a call takes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, release := plain.New(plain.Options{
				Name: c.String("name"),
				Work: c.Duration("work"),
			})
			defer release()
			return serveStand(ctx, c, s.Handler())
		},
	}
}
