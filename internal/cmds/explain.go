package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/trail"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain in plain sentences what happened and why",
		ArgsUsage: "request ID | workspace NAME | model NAME | last DURATION | rates WORKSPACE",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:  "log",
				Usage: "read a log file instead of querying a node, - for standard input; may be repeated",
			},
		},
		Action: explain,
	}
}

// explainLogs prints from log files what happened to a request, or how the refusals
// of a workspace compare with an ideal rate limit.
func explainLogs(cmd *cli.Command, kind, id string, files []string) error {
	if kind != "request" && kind != "rates" {
		return Usagef("explain: --log supports only request ID and rates WORKSPACE, not %s", kind)
	}
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, cmd.Root().Reader)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return Usagef("--log: %w", err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if kind == "rates" {
		rates, err := trail.CompareRates(id, logs...)
		if err != nil {
			return err
		}
		for _, l := range rates.Sentences() {
			fmt.Fprintln(cmd.Root().Writer, l)
		}
		return nil
	}
	lines, err := trail.Explain(id, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		lines = []string{"The logs have no line about request " + id + "."}
	}
	for _, l := range lines {
		fmt.Fprintln(cmd.Root().Writer, l)
	}
	return nil
}

func explain(ctx context.Context, cmd *cli.Command) error {
	args, err := operands(cmd, "request, workspace, model or last", "what to explain")
	if err != nil {
		return err
	}
	if files := cmd.StringSlice("log"); len(files) > 0 {
		return explainLogs(cmd, args[0], args[1], files)
	}
	var q admin.Query
	switch args[0] {
	case "request":
		q.Request = args[1]
	case "workspace":
		q.Workspace = args[1]
	case "model":
		q.Model = args[1]
	case "rates":
		return Usagef("explain rates: needs --log")
	case "last":
		d, err := time.ParseDuration(args[1])
		if err != nil || d <= 0 {
			return Usagef("explain last: %q is not a duration above zero, for example 10m", args[1])
		}
		q.Last = spec.Duration(d)
	default:
		return Usagef("explain: %q is none of request, workspace, model and last", args[0])
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	sentences, err := client.Explain(ctx, q)
	if err != nil {
		return err
	}
	if len(sentences) == 0 {
		sentences = []string{"Nothing is recorded about this."}
	}
	for _, s := range sentences {
		fmt.Fprintln(cmd.Root().Writer, s)
	}
	return nil
}
