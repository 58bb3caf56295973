// Command trefoild is the entry process that runs on every VM.
package main

import (
	"context"
	"os"

	"trefoildale.example/trefoildale/internal/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), cmds.Trefoild(), os.Args, os.Stdout, os.Stderr))
}
