package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print the state of a node and of the fleet as the node sees it",
		Action: status,
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	if _, err := operands(cmd); err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(w, "node %s in domain %s is %s\n", s.Node, s.Domain, ready)
	fmt.Fprintf(w, "configuration: revision %d, known to be current %s ago; every node holds revision %d or later\n",
		s.Revision, time.Duration(s.ViewAge).Round(time.Millisecond), s.Confirmed)
	for _, d := range s.Domains {
		fmt.Fprintf(w, "domain %s: revisions %d to %d, as of %s ago\n", d.Domain, d.Lowest, d.Highest, time.Duration(d.Age).Round(time.Millisecond))
	}
	for _, line := range s.Lines {
		fmt.Fprintln(w, line)
	}
	return nil
}
