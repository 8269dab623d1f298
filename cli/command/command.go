// Package command implements the commands that write files on the operator's machine:
// questionnaires, keys, releases and approvals.
package command

import (
	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
)

// Register adds the commands of this package to app. They print to c.
func Register(app *kingpin.Application, c *console.Console) {
	registerQuestionnaire(app, c)
	registerCompile(app, c)
	registerKeygen(app, c)
	registerApprove(app, c)
	registerFetch(app, c)
}
