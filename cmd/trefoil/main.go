// Command trefoil is the command-line tool for operators of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"trefoildale.example/trefoildale/internal/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, cmds.Trefoil(), os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
