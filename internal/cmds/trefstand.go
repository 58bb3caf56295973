package cmds

import "github.com/urfave/cli/v3"

// trefstandCommands are the commands of trefstand, in the order of the help text.
var trefstandCommands = []func() *cli.Command{
	standPlatformCommand,
	standSiteCommand,
	standWeightsCommand,
	standEngineCommand,
	standServiceCommand,
}

// Trefstand returns the command line of trefstand, the program that runs stand-ins
// for outside systems.
func Trefstand() *cli.Command {
	root := &cli.Command{
		Name:  "trefstand",
		Usage: "run the stand-ins for outside systems as processes",
	}
	for _, c := range trefstandCommands {
		root.Commands = append(root.Commands, c())
	}
	return root
}
