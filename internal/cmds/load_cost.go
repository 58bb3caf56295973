package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/internal/cost"
)

func loadCostCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "measure the resources that the control plane uses on each node of idle fleets of several sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "sizes",
				Usage: "fleets as DOMAINSxNODES/ENDPOINTS/MODELS/WORKSPACES, separated by commas",
				Value: "2x2/8/20/5,2x4/8/20/5,4x4/8/20/5,8x4/8/20/5",
			},
			&cli.DurationFlag{
				Name:  "length",
				Usage: "how long each fleet is measured",
				Value: 15 * time.Second,
			},
		},
		Action: runLoadCost,
	}
}

func runLoadCost(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usagef("%s: unexpected argument %q", cmd.FullName(), cmd.Args().First())
	}
	var sizes []cost.Size
	for text := range strings.SplitSeq(cmd.String("sizes"), ",") {
		size, err := parseSize(text)
		if err != nil {
			return Usagef("--sizes: %w", err)
		}
		sizes = append(sizes, size)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "domains\tnodes\tendpoints\tmodels\tworkspaces\tcpu %\theap MiB\tgoroutines\tsent B/s\tbusiest B/s\tmessages/s\treads/s\twrites/s\t")
	for _, size := range sizes {
		r, err := cost.Measure(ctx, size, cmd.Duration("length"))
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.2f\t\n",
			r.Domains, r.Nodes, r.Endpoints, r.Models, r.Workspaces, 100*r.CPU, r.MemoryMiB, r.Goroutines,
			r.SentBytes, r.MaxSentBytes, r.Messages, r.Reads, r.Writes)
	}
	return w.Flush()
}

func parseSize(text string) (cost.Size, error) {
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == 'x' || r == '/' })
	if len(parts) != 5 {
		return cost.Size{}, fmt.Errorf("size %q: want DOMAINSxNODES/ENDPOINTS/MODELS/WORKSPACES", text)
	}
	numbers := make([]int, len(parts))
	for i, p := range parts {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 || n > 10_000 || i < 2 && n == 0 {
			return cost.Size{}, fmt.Errorf("size %q: %q is out of range", text, p)
		}
		numbers[i] = n
	}
	return cost.Size{
		Domains:        numbers[0],
		NodesPerDomain: numbers[1],
		Endpoints:      numbers[2],
		Models:         numbers[3],
		Workspaces:     numbers[4],
	}, nil
}
