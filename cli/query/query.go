// Package query holds the commands that read releases and nodes and change nothing.
package query

import (
	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
)

// Register adds the commands of this package to app.
func Register(app *kingpin.Application, c *console.Console) {
	registerVerify(app, c)
	registerDiff(app, c)
	registerStatus(app, c)
	registerAudit(app, c)
	registerExplain(app, c)
}
