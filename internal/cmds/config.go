package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, compare, apply and show the configuration",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a file without a node",
				ArgsUsage: "FILE",
				Action:    configCheck,
			},
			{
				Name:      "diff",
				Usage:     "show what applying a file would change",
				ArgsUsage: "FILE",
				Action:    configDiff,
			},
			{
				Name:      "apply",
				Usage:     "make a file the configuration",
				ArgsUsage: "FILE",
				Description: "The file replaces all sections. Keys are left as they are when it has no\n" +
					"section for them. A file with a revision, as show prints it, is applied only\n" +
					"while that revision is the active one.",
				Flags:  []cli.Flag{authorFlag(), opIDFlag()},
				Action: configApply,
			},
			{
				Name:   "show",
				Usage:  "print the active configuration as YAML",
				Action: configShow,
			},
		},
	}
}

func decodeFile(cmd *cli.Command) (*spec.Config, error) {
	args, err := operands(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	data, err := readFile(cmd, args[0])
	if err != nil {
		return nil, err
	}
	c, findings := spec.Decode(args[0], data)
	if err := findings.Err(); err != nil {
		return nil, Refusedf("%d finding(s) in %s:\n%w", len(findings), args[0], err)
	}
	return c, nil
}

func configCheck(_ context.Context, cmd *cli.Command) error {
	c, err := decodeFile(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "ok: %d domains, %d services, %d endpoints, %d models, %d adapters, %d workspaces, %d keys\n",
		len(c.Domains), len(c.Services), len(c.Endpoints), len(c.Models), len(c.Adapters), len(c.Workspaces), len(c.Keys))
	return nil
}

func configDiff(ctx context.Context, cmd *cli.Command) error {
	want, err := decodeFile(cmd)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	d, err := client.Diff(ctx, want)
	if err != nil {
		return err
	}
	printChange(cmd.Root().Writer, &d.Change)
	if err := d.Findings.Err(); err != nil {
		return Refusedf("the change would be refused:\n%w", err)
	}
	return nil
}

func printChange(w io.Writer, c *spec.Change) {
	if c.Empty() {
		fmt.Fprintf(w, "no difference from revision %d\n", c.Base)
		return
	}
	fmt.Fprintf(w, "against revision %d:\n", c.Base)
	for _, p := range c.Puts {
		if r, ok := p.Ref(); ok {
			fmt.Fprintf(w, "put    %s\n", r)
		}
	}
	for _, r := range c.Deletes {
		fmt.Fprintf(w, "delete %s\n", r)
	}
}

func configApply(ctx context.Context, cmd *cli.Command) error {
	want, err := decodeFile(cmd)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	active, err := client.Config(ctx)
	if err != nil {
		return err
	}
	opID := cmd.String("op-id")
	if want.Revision != 0 && want.Revision != active.Revision && opID == "" {
		// Applying the difference would revert the changes made since that revision.
		return Refusedf("the file is from revision %d, but %d is active; show it again and repeat the edit", want.Revision, active.Revision)
	}
	change := spec.Diff(active, want)
	if change.Empty() {
		fmt.Fprintf(cmd.Root().Writer, "no difference from revision %d\n", active.Revision)
		return nil
	}
	change.Author = cmd.String("author")
	if change.OpID = opID; opID == "" {
		change.OpID = spec.NewOpID(change.Base)
	} else if change.Base, err = spec.BaseOf(opID); err != nil {
		return Usagef("--op-id: %w", err)
	}
	done, err := client.Apply(ctx, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "revision %d is active: %d put, %d deleted\n", done.Revision, len(change.Puts), len(change.Deletes))
	warnUnspread(cmd, done)
	return nil
}

func warnUnspread(cmd *cli.Command, done *admin.Applied) {
	if done.Unspread {
		fmt.Fprintf(cmd.Root().ErrWriter, "warning: revision %d is in the log, but no other nodes have confirmed it yet; see status\n", done.Revision)
	}
}

func configShow(ctx context.Context, cmd *cli.Command) error {
	if _, err := operands(cmd); err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	c, err := client.Config(ctx)
	if err != nil {
		return err
	}
	data, err := c.Encode()
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	_, err = cmd.Root().Writer.Write(data)
	return err
}
