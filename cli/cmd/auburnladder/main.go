// Command auburnladder compiles questionnaires into configuration releases, approves
// them, and queries and audits which release is active on each node.
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
