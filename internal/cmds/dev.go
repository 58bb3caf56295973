package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/local"
	"trefoildale.example/trefoildale/pkg/spec"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run one entry node with stand-ins on loopback, to try the system",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "address for callers; port 0 picks a free port",
				Value: "127.0.0.1:8080",
			},
			&cli.StringFlag{
				Name:  "admin",
				Usage: "address for operators",
				Value: defaultServer,
			},
			&cli.BoolFlag{
				Name:  "platform",
				Usage: "run the entry process for the users' platform, with a stand-in of that platform",
			},
			&cli.BoolFlag{
				Name:  "log",
				Usage: "with --platform, print the log of the process",
			},
		},
		Action: runDev,
	}
}

// devConfig returns the configuration of a fleet with two engines and a booking
// service in one domain.
func devConfig() *spec.Config {
	c := spec.New()
	c.Domains = []spec.Domain{{
		Name:   "local",
		Region: "home",
	}}
	c.Services = []spec.Service{
		{
			Name: "assistant",
			Kind: spec.KindModel,
		},
		{
			Name:   "booking",
			Kind:   spec.KindPlain,
			Prefix: "/booking/",
			Methods: []spec.Method{
				{
					Method:     "GET",
					Path:       "*",
					Repeatable: true,
				},
				{
					Method: "POST",
					Path:   "*",
				},
			},
		},
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		c.Endpoints = append(c.Endpoints, spec.Endpoint{
			Name:      name,
			Service:   "assistant",
			Domain:    "local",
			Address:   "127.0.0.1:1",
			MemoryMiB: 40_000,
			Fencing:   true,
			Speed:     1,
		})
	}
	c.Endpoints = append(c.Endpoints, spec.Endpoint{
		Name:    "booking-a",
		Service: "booking",
		Domain:  "local",
		Address: "127.0.0.1:2",
	})
	for _, name := range []string{"lane-rules", "coach-notes", "season-plans"} {
		c.Models = append(c.Models, spec.Model{
			Name:             name,
			Service:          "assistant",
			Version:          "1",
			MemoryMiB:        16_000,
			MaxContextTokens: 8192,
			OnDemand:         spec.Duration(30 * time.Second),
		})
	}
	c.Workspaces = []spec.Workspace{{
		Name:                "club",
		RateTokensPerSecond: 2000,
		BurstTokens:         20_000,
		Weight:              1,
		Class:               spec.ClassInteractive,
	}}
	return c
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usagef("%s: unexpected argument %q", cmd.FullName(), cmd.Args().First())
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if cmd.Bool("platform") {
		return runDevPlatform(ctx, cmd)
	}
	f, release, err := local.Start(local.Options{
		Config:        devConfig(),
		CallersListen: cmd.String("listen"),
		AdminListen:   cmd.String("admin"),
	})
	if err != nil {
		return err
	}
	defer release()
	secret, err := f.AddKey(ctx, "dev", "club")
	if err != nil {
		return err
	}
	if err := f.WaitResident(ctx, "lane-rules"); err != nil {
		return err
	}
	printDev(cmd.Root().Writer, f, secret)
	<-ctx.Done()
	return nil
}

func printDev(w io.Writer, f *local.Fleet, secret string) {
	n := f.Nodes[0]
	fmt.Fprintf(w, `One entry node with stand-ins is running. Stream an answer:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"lane-rules","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"May I step over the line?"}]}'

Book a lane, which runs at most once for each Idempotency-Key:

  curl http://%s/booking/lanes -H 'Authorization: Bearer %s' -H 'Idempotency-Key: lane-7' -d '{"lane":7}'

Operate it:

  trefoil --server %s status

Stop it with Ctrl-C.
`, n.CallersAddr, secret, n.CallersAddr, secret, n.AdminAddr)
}
