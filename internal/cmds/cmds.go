// Package cmds holds the command lines of all programs: a file per command,
// registered in one table.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// The exit codes of all programs.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnavailable = 4
)

// ExitError is an error with the exit code that it leads to.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func usageError(err error) error {
	return &ExitError{
		Code: ExitUsage,
		Err:  err,
	}
}

type program struct {
	usage    string
	commands []func() *cli.Command
}

// programs is the table of all programs and their commands.
var programs = map[string]program{
	"trefstand": {
		usage: "run the stand-ins for outside systems as processes",
		commands: []func() *cli.Command{
			standPlatform,
			standWeights,
			standEngine,
			standService,
		},
	},
}

// Run runs the program with the arguments, the first of which is its name as
// called, and returns its exit code.
func Run(ctx context.Context, name string, args []string, stdout, stderr io.Writer) int {
	p := programs[name]
	root := &cli.Command{
		Name:      name,
		Usage:     p.usage,
		Writer:    stdout,
		ErrWriter: stderr,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError(fmt.Errorf("unknown command %q", c.Args().First()))
			}
			return usageError(errors.New("a command is missing; see --help"))
		},
		OnUsageError: onUsageError,
		// Without it, the library ends the process itself.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, f := range p.commands {
		c := f()
		c.OnUsageError = onUsageError
		root.Commands = append(root.Commands, c)
	}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitInternal
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError(err)
}
