// Package verdict defines whether a request may have run at a backend server.
//
// Every layer that handles a call reports its outcome with a Verdict, and every
// error on the path of a call carries one. The verdict determines whether the call may be
// retried, and is returned to the caller in a response header.
package verdict

import (
	"errors"
	"fmt"
)

// Header is the name of the response header that carries the verdict to the caller.
const Header = "X-Auburnladder-Verdict"

// Verdict is the knowledge about whether a request ran at a backend server. The zero value
// is MayHaveRun, which is always safe to assume.
type Verdict uint8

const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a backend server.
	NotRun
	// Ran means that a backend server responded to the request.
	Ran
)

// String returns the value used in the response header and in logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses a value returned by String. It returns MayHaveRun and an error for any other
// text.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("invalid verdict %q: want not-run, may-have-run or ran", s)
}

// Error is an error with the verdict on the request that failed with it.
type Error struct {
	Verdict Verdict
	Err     error
}

// Error returns the text of the cause, followed by the verdict in parentheses.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (%s)", e.Err, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Wrap attaches a verdict to err. It returns nil for a nil err.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Err: err}
}

// Of returns the outermost verdict in the error tree of err, or MayHaveRun if there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
