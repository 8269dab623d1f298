// Command bench measures parts of auburnladder on one machine. It is not shipped.
package main

import (
	"fmt"
	"os"

	"auburnladder.example/bench/distribution"
	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bench", "Measures parts of auburnladder on one machine.")
	app.HelpFlag.Short('h')
	distribution.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "bench: %v\n", err)
		os.Exit(1)
	}
}
