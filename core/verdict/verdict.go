// Package verdict states whether a request may have run at a backend server.
//
// Every layer that handles a call reports its outcome with a Verdict, and every
// error on the path of a call carries one. The verdict decides whether another
// attempt is allowed, and it is told to the caller in a response header.
package verdict

import (
	"errors"
	"fmt"
)

// Header names the response header that carries the verdict to the caller.
const Header = "X-Auburnladder-Verdict"

// Verdict says whether a request may have run at a backend server.
// The zero value is MayHaveRun, the answer that is always safe.
type Verdict uint8

const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a backend server.
	NotRun
	// Ran means that a backend server answered the request.
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

// Parse reads a value written by String.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict %q is none of not-run, may-have-run, ran", s)
}

// Error is an error together with the verdict on the request that met it.
type Error struct {
	Verdict Verdict
	Err     error
}

// Error describes the cause and the verdict.
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

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
