// Package console provides what all commands share: output streams, exit codes and
// output formats.
package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that a check failed or that a node could not be queried.
	// Commands return a FailedError for it.
	ExitFailed = 1
	// ExitUsage means wrong usage, input that can't be read, or any other error.
	ExitUsage = 2
)

// Values of the flag --output.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Console holds the output streams and the clock of a command. Tests replace them.
type Console struct {
	// Out is the standard output.
	Out io.Writer
	// Err is the standard error, for errors and progress.
	Err io.Writer
	// Now returns the current time.
	Now func() time.Time
	// Exit ends the program after help was printed.
	Exit func(code int)
}

// Printf writes to the standard output.
func (c *Console) Printf(format string, args ...any) {
	fmt.Fprintf(c.Out, format, args...)
}

// JSON writes v to the standard output as indented JSON.
func (c *Console) JSON(v any) error {
	enc := json.NewEncoder(c.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// FormatFlag adds the flag --output to cmd and returns its value, which is set when
// the command line is parsed. The default is FormatTable.
func FormatFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Output format: table or json.").Short('o').
		Default(FormatTable).Enum(FormatTable, FormatJSON)
}

// FailedError is an error that ends the program with ExitFailed, such as a check that
// failed or a node that did not respond.
type FailedError struct {
	Err error
}

// Error returns the text of Err.
func (e *FailedError) Error() string {
	return e.Err.Error()
}

// Unwrap returns Err.
func (e *FailedError) Unwrap() error {
	return e.Err
}

// Failed returns a FailedError with a message formatted as by fmt.Errorf.
func Failed(format string, args ...any) error {
	return &FailedError{Err: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command: ExitOK for nil,
// ExitFailed for a FailedError in its chain, and else ExitUsage.
func ExitCode(err error) int {
	var failed *FailedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &failed):
		return ExitFailed
	default:
		return ExitUsage
	}
}
