// Package app assembles the command line of the program from its commands.
package app

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/command"
	"auburnladder.example/cli/console"
	"auburnladder.example/cli/query"
)

const help = "Turns questionnaires into approved configuration releases and shows which release is in force on every node."

// Run runs the command in args, which exclude the program's name, and returns the exit
// code. It prints errors to c.Err. Help ends the program through c.Exit instead.
func Run(args []string, c *console.Console) int {
	app := kingpin.New("auburnladder", help)
	app.UsageWriter(c.Out)
	app.ErrorWriter(c.Err)
	app.HelpFlag.Short('h')
	app.Terminate(c.Exit)
	command.Register(app, c)
	query.Register(app, c)
	if len(args) == 0 {
		app.Usage(nil)
		return console.ExitUsage
	}
	_, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(c.Err, "auburnladder: %v\n", err)
	}
	return console.ExitCode(err)
}
