// Command bench runs performance measurements of auburnladder on one machine. It is not
// part of a distribution.
package main

import (
	"fmt"
	"os"

	"auburnladder.example/bench/distribution"
	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bench", "Performance measurements of auburnladder with small stand-ins.")
	commands := map[string]func() error{}
	addCalls(app, commands)
	distribution.Register(app, commands)
	distribution.RegisterMemory(app, commands)
	distribution.RegisterSessions(app, commands)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := commands[name](); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
