package cmds

import (
	"os"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/pkg/admin"
)

// defaultServer is the admin address of a node on the same VM.
const defaultServer = "127.0.0.1:7070"

// trefoilCommands are the commands of trefoil, in the order of the help text.
var trefoilCommands = []func() *cli.Command{
	configCommand,
	keyCommand,
	statusCommand,
	explainCommand,
	devCommand,
}

// Trefoil returns the command line of trefoil, the program for operators.
func Trefoil() *cli.Command {
	root := &cli.Command{
		Name:  "trefoil",
		Usage: "operate a trefoildale fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "server",
				Usage:   "admin address of any node",
				Value:   defaultServer,
				Sources: cli.EnvVars("TREFOIL_SERVER"),
			},
		},
	}
	for _, c := range trefoilCommands {
		root.Commands = append(root.Commands, c())
	}
	return root
}

func newClient(cmd *cli.Command) (*admin.Client, error) {
	c, err := admin.New(cmd.String("server"), nil)
	if err != nil {
		return nil, Usagef("--server: %w", err)
	}
	return c, nil
}

// The flags of commands that change something.

func authorFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "author",
		Usage:   "name that the change is recorded under",
		Value:   "operator",
		Sources: cli.EnvVars("TREFOIL_AUTHOR", "USER"),
	}
}

func opIDFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "op-id",
		Usage: "repeat the operation with this id after its outcome was reported as unknown",
	}
}

func readFile(cmd *cli.Command, name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, Usagef("%s: FILE: %w", cmd.FullName(), err)
	}
	return data, nil
}
