// Command trefstand runs stand-ins for outside systems as separate processes.
package main

import (
	"context"
	"os"

	"trefoildale.example/trefoildale/internal/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), cmds.Trefstand(), os.Args, os.Stdout, os.Stderr))
}
