package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell in plain sentences what happened and why",
		ArgsUsage: "request ID | workspace NAME | model NAME | last DURATION",
		Action:    explain,
	}
}

func explain(ctx context.Context, cmd *cli.Command) error {
	args, err := operands(cmd, "request, workspace, model or last", "what to explain")
	if err != nil {
		return err
	}
	var q admin.Query
	switch args[0] {
	case "request":
		q.Request = args[1]
	case "workspace":
		q.Workspace = args[1]
	case "model":
		q.Model = args[1]
	case "last":
		d, err := time.ParseDuration(args[1])
		if err != nil || d <= 0 {
			return Usagef("explain last: %q is not a duration above zero, for example 10m", args[1])
		}
		q.Last = spec.Duration(d)
	default:
		return Usagef("explain: %q is none of request, workspace, model and last", args[0])
	}
	client, err := clientOf(cmd)
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
