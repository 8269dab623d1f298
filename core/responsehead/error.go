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
	// ExcessInterim is an interim response after MaxInterim others.
	ExcessInterim Part = "excess interim response"
	Field         Part = "field"
	Trailer       Part = "trailer field"
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

// statusLineError returns the error for the status line, whose kept part rest follows up to the end of the line.
func (s *Scanner) statusLineError(rest []byte) *Error {
	s.keep(rest)
	return &Error{Part: StatusLine, Line: s.lineUpTo("\r\n")}
}

// fieldError returns the error for a field line, whose kept part rest follows up to the malformed byte.
func (s *Scanner) fieldError(rest []byte) *Error {
	s.keep(rest)
	return &Error{Part: s.part, Line: s.lineUpTo(":")}
}

// lineUpTo returns the kept part of the line before the first of the bytes in ends.
func (s *Scanner) lineUpTo(ends string) string {
	line := s.line[:s.lineLength]
	if i := bytes.IndexAny(line, ends); i >= 0 {
		line = line[:i]
	}
	return string(line)
}
