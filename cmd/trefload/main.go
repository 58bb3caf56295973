// Command trefload runs load scenarios and reports on them.
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
	code := cmds.Run(ctx, cmds.Trefload(), os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
