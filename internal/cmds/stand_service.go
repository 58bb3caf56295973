package cmds

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/fake/plain"
)

func standServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service",
		Flags: []cli.Flag{
			listenFlag(),
			countFlag(),
			&cli.StringFlag{Name: "name", Usage: "name in the answers", Value: "service"},
			&cli.DurationFlag{Name: "work", Usage: "how long a call takes"},
		},
		Before: checkStandArgs,
		Action: func(ctx context.Context, c *cli.Command) error {
			handlers := make([]http.Handler, c.Int("count"))
			for i := range handlers {
				s, release := plain.New(plain.Options{
					Name: numberedName(c.String("name"), i, len(handlers)),
					Work: c.Duration("work"),
				})
				defer release()
				handlers[i] = s.Handler()
			}
			return serveStandIns(ctx, c, handlers...)
		},
	}
}
