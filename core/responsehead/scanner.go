// Package responsehead says which responses of HTTP/1 are well-formed, and checks them before a parser sees them.
// Parsers accept more than the protocol allows: fasthttp takes status 000 for 200, HTTP/2.7 for a version, and a
// blank as a part of a field name.
package responsehead

import (
	"cmp"
	"strings"
)

// Scanner checks a head of a response, or a trailer section, while its bytes arrive. It reports a malformed
// byte as soon as it sees it. The zero value checks a head.
//
// The rule is the grammar of RFC 9112 (sections 4, 5 and 7.1.2) and RFC 9110 (section 5). Where the RFCs let a
// recipient repair a message, it is malformed here: a line that doesn't end with CRLF, a line that begins with
// white space (the folding of earlier versions), and white space between a field name and the colon. So is a
// Transfer-Encoding in HTTP/1.0, as the length of its body can't be trusted (RFC 9112, section 6.1).
type Scanner struct {
	state state
	kind  Kind
	// part is Field or Trailer; "" in the status line.
	part Part
	// http10 is set in a head of HTTP/1.0.
	http10 bool
	// interim is the number of interim heads that were scanned before.
	interim int
	// line is the beginning of the current line as far as earlier calls of Scan consumed it.
	line       [maxQuoted]byte
	lineLength int
}

// NewTrailerScanner returns a Scanner of the trailer section that follows the last chunk of a body.
func NewTrailerScanner() Scanner {
	return Scanner{state: atLineStart, part: Trailer}
}

// state is what the next byte belongs to.
type state uint8

const (
	// inStatus is the status line up to the status.
	inStatus state = iota
	// inReason is the rest of the status line.
	inReason
	atLineStart
	inName
	inValue
	// atLineEnd and atSectionEnd follow the carriage return of a line, and of the empty line.
	atLineEnd
	atSectionEnd
	complete
	malformed
)

// run returns the number of bytes at the beginning of b that do not end the state.
func (s state) run(b []byte) int {
	var members *byteSet
	switch s {
	case inName:
		members = &tokenBytes
	case inReason, inValue:
		members = &textBytes
	default:
		return 0
	}
	for i, c := range b {
		if !members[c] {
			return i
		}
	}
	return len(b)
}

// next returns the state after the byte c, which ends the state.
func (s state) next(c byte) state {
	switch {
	case s == inName && c == ':':
		return inValue
	case (s == inValue || s == inReason) && c == '\r':
		return atLineEnd
	case s == atLineEnd && c == '\n':
		return atLineStart
	case s == atLineStart && tokenBytes[c]:
		return inName
	case s == atLineStart && c == '\r':
		return atSectionEnd
	case s == atSectionEnd && c == '\n':
		return complete
	default:
		return malformed
	}
}

// Complete reports whether the end of the section was scanned.
func (s *Scanner) Complete() bool { return s.state == complete }

// Kind returns what a complete head announces, Interim or Final.
func (s *Scanner) Kind() Kind { return s.kind }

// Next prepares for the head that follows a complete interim one.
func (s *Scanner) Next() { *s = Scanner{interim: s.interim + 1} }

// Scan takes the bytes that follow those of earlier calls, and returns how many of them belong to the section:
// all, unless it ends within them. It returns an *Error at the first malformed byte and must not be called after
// that.
func (s *Scanner) Scan(b []byte) (n int, err error) {
	if s.state == inStatus {
		if n, err = s.scanStatus(b); err != nil {
			return n, err
		}
	}
	lineStart := n
	for s.state != complete {
		n += s.state.run(b[n:])
		if n == len(b) {
			break
		}
		next := s.state.next(b[n])
		n++
		switch next {
		case malformed:
			if s.part == "" {
				return n, s.statusLineError(b[lineStart:])
			}
			return n, s.fieldError(b[lineStart:n])
		case inValue:
			if s.http10 && s.isTransferEncoding(b[lineStart:n-1]) {
				return n, s.fieldError(b[lineStart:n])
			}
		case atLineStart:
			lineStart, s.lineLength = n, 0
			s.part = cmp.Or(s.part, Field)
		}
		s.state = next
	}
	if s.state != inStatus {
		s.keep(b[lineStart:n])
	}
	return n, nil
}

// scanStatus takes the bytes of the status line up to the status.
func (s *Scanner) scanStatus(b []byte) (n int, err error) {
	kept := s.lineLength
	s.keep(b[:min(len(b), CheckedBytes-kept)])
	switch kind := CheckStatusLine(s.line[:s.lineLength]); kind {
	case Incomplete:
		return len(b), nil
	case Malformed:
		n = s.lineLength - kept
		return n, s.statusLineError(b[n:])
	default:
		if kind == Interim && s.interim == MaxInterim {
			return s.lineLength - kept, &Error{Part: ExcessInterim, Line: string(s.line[:s.lineLength])}
		}
		s.http10 = s.line[minorVersion] == '0'
		// The last byte checked is the first one of the reason.
		s.kind, s.state, s.lineLength = kind, inReason, CheckedBytes-1
		return s.lineLength - kept, nil
	}
}

// transferEncoding is the name of the field that HTTP/1.0 does not have.
const transferEncoding = "Transfer-Encoding"

// isTransferEncoding reports whether the name of the current line, whose kept part rest follows, is
// transferEncoding.
func (s *Scanner) isTransferEncoding(rest []byte) bool {
	if s.lineLength+len(rest) != len(transferEncoding) {
		return false
	}
	return strings.EqualFold(string(s.line[:s.lineLength])+string(rest), transferEncoding)
}

// keep appends b to the kept part of the line, up to its bound.
func (s *Scanner) keep(b []byte) {
	s.lineLength += copy(s.line[s.lineLength:], b)
}
