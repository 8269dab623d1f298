// Package console holds what all commands share: output streams, exit codes and
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
	ExitOK = 0
	// ExitFailed means that a check was made and failed.
	ExitFailed = 1
	// ExitUsage means wrong usage or input that can't be read.
	ExitUsage = 2
)

// Output formats of reads.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Console is where a command writes, its clock, and how it ends after help.
type Console struct {
	Out  io.Writer
	Err  io.Writer
	Now  func() time.Time
	Exit func(code int)
}

// Printf writes to the standard output.
func (c *Console) Printf(format string, args ...any) {
	fmt.Fprintf(c.Out, format, args...)
}

// JSON writes v indented to the standard output.
func (c *Console) JSON(v any) error {
	enc := json.NewEncoder(c.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// FormatFlag adds the flag --output to cmd.
func FormatFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Output format: table or json.").Short('o').
		Default(FormatTable).Enum(FormatTable, FormatJSON)
}

// FailedError reports that a check was made and failed.
type FailedError struct {
	Err error
}

// Error describes the failed check.
func (e *FailedError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error {
	return e.Err
}

// Failed returns a FailedError with a formatted message.
func Failed(format string, args ...any) error {
	return &FailedError{Err: fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the outcome of a command.
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
