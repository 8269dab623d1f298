// Command auburnladder turns questionnaires into approved configuration releases and
// reads back which release is in force on every node.
package main

import (
	"os"
	"time"

	"auburnladder.example/cli/app"
	"auburnladder.example/cli/console"
)

func main() {
	c := &console.Console{Out: os.Stdout, Err: os.Stderr, Now: time.Now, Exit: os.Exit}
	os.Exit(app.Run(os.Args[1:], c))
}
