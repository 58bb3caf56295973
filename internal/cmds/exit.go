// Package cmds implements the command-line interfaces of the programs, with one
// file per command.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// The exit codes of all programs.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnavailable = 4
)

// codedError is an error with the exit code of the program.
type codedError struct {
	code int
	err  error
}

func (c *codedError) Error() string { return c.err.Error() }

func (c *codedError) Unwrap() error { return c.err }

// Usagef returns an error with the exit code ExitUsage.
func Usagef(format string, args ...any) error {
	return &codedError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// Refusedf returns an error with the exit code ExitRefused.
func Refusedf(format string, args ...any) error {
	return &codedError{code: ExitRefused, err: fmt.Errorf(format, args...)}
}

// Unavailablef returns an error with the exit code ExitUnavailable.
func Unavailablef(format string, args ...any) error {
	return &codedError{code: ExitUnavailable, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error, or ExitOK for nil.
func exitCode(err error) int {
	var coded *codedError
	var refused *admin.RefusedError
	var conflict *admin.ConflictError
	var unavailable *admin.UnavailableError
	var unknown *admin.UnknownError
	var findings spec.Findings
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &refused), errors.As(err, &conflict), errors.As(err, &findings):
		return ExitRefused
	case errors.As(err, &unavailable), errors.As(err, &unknown):
		return ExitUnavailable
	}
	return ExitInternal
}

// Run runs a program and returns its exit code. Errors go to stderr.
func Run(ctx context.Context, root *cli.Command, args []string, stdout, stderr io.Writer) int {
	root.Writer, root.ErrWriter = stdout, stderr
	// The library's default handler would exit the process.
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	setUsageErrors(root, root.Name)
	err := root.Run(ctx, args)
	if err != nil {
		// Usage errors already begin with the full command.
		text := strings.TrimPrefix(strings.TrimPrefix(err.Error(), root.Name), ": ")
		fmt.Fprintf(stderr, "%s: %s\n", root.Name, strings.TrimSpace(text))
	}
	return exitCode(err)
}

// setUsageErrors configures a command and its subcommands to report wrong flags, unknown
// commands and missing commands as usage errors.
func setUsageErrors(c *cli.Command, path string) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		// The library's messages show flags with one hyphen.
		return Usagef("%s: %s", path, strings.Replace(err.Error(), ": -", ": --", 1))
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return Usagef("%s: no command %q; see %s --help", path, name, path)
			}
			return Usagef("%s: a command is missing; see %s --help", path, path)
		}
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub, path+" "+sub.Name)
	}
}

// operands returns the arguments of a command that takes exactly the named ones.
func operands(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < len(names) {
		return nil, Usagef("%s: %s is missing", cmd.FullName(), names[len(args)])
	}
	if len(args) > len(names) {
		return nil, Usagef("%s: unexpected argument %q", cmd.FullName(), args[len(names)])
	}
	return args, nil
}
