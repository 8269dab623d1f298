// Package query implements the read-only commands verify, diff, status, audit and
// explain.
package query

import (
	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
)

// Register adds the commands of this package to app. They print to c.
func Register(app *kingpin.Application, c *console.Console) {
	registerVerify(app, c)
	registerDiff(app, c)
	registerStatus(app, c)
	registerAudit(app, c)
	registerExplain(app, c)
}
