package responsehead

import (
	"bytes"
	"fmt"
)

// maxQuoted is the number of bytes of a line that an Error keeps.
const maxQuoted = 64

// Part is a part of a response that may be malformed.
type Part string

// Parts of a response.
const (
	StatusLine Part = "status line"
	// InterimHeads are more interim responses than MaxInterim.
	InterimHeads Part = "sequence of interim responses, at"
	Field        Part = "field"
	Trailer      Part = "trailer field"
)

// Error reports a malformed response. Its text quotes the response, which may hold secrets of another one, and
// is only for logs.
type Error struct {
	Part Part
	// Line is the beginning of the line: of a status line at most 64 bytes, of a field the name up to the byte
	// that is malformed, and never the value.
	Line string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed %s %q", e.Part, e.Line)
}

// newError returns the error for the current line, whose kept part rest follows. The malformed byte is the last
// of the first scanned bytes of rest.
func (s *Scanner) newError(rest []byte, scanned int) *Error {
	if s.part == "" {
		s.keep(rest)
		return &Error{Part: StatusLine, Line: cutLine(s.line[:s.lineLength], "\r\n")}
	}
	s.keep(rest[:scanned])
	return &Error{Part: s.part, Line: cutLine(s.line[:s.lineLength], ":")}
}

// cutLine returns the part of b before the first of the bytes in ends.
func cutLine(b []byte, ends string) string {
	if i := bytes.IndexAny(b, ends); i >= 0 {
		b = b[:i]
	}
	return string(b)
}
