package responsehead

const (
	// MinStatus and MaxStatus are the lowest and the highest status of a final response.
	MinStatus = 200
	MaxStatus = 599
	// CheckedBytes is the number of bytes after which CheckStatusLine never returns Incomplete.
	CheckedBytes = 13
	// MaxInterim is the number of interim responses that may precede a final one.
	MaxInterim = 8
)

// Interim statuses that are skipped. Others are never sent to a client that does not ask for them.
const (
	statusContinue   = 100
	statusEarlyHints = 103
)

// Kind is what a status line announces.
type Kind uint8

const (
	// Incomplete means that more bytes are needed.
	Incomplete Kind = iota
	// Malformed is anything other than HTTP/1.0 or HTTP/1.1 with a status of MinStatus to MaxStatus, 100 or
	// 103.
	Malformed
	// Interim is a response with status 100 or 103, which another one follows.
	Interim
	// Final is a response with a status of MinStatus to MaxStatus.
	Final
)

// layout is the beginning of a status line. An x stands for 0 or 1, a 0 for a digit of the status, and an
// underscore for the end of the status: a space or the end of the line.
const (
	layout       = "HTTP/1.x 000_"
	minorVersion = 7
	statusStart  = 9
)

// CheckStatusLine returns the kind of the status line at the beginning of b. It returns Malformed as soon as no
// further bytes can make the line valid up to the end of the status.
func CheckStatusLine(b []byte) Kind {
	status := 0
	for i := range min(len(b), len(layout)) {
		c, valid := b[i], false
		switch want := layout[i]; want {
		case 'x':
			valid = c == '0' || c == '1'
		case '0':
			status = status*10 + int(c-'0')
			valid = c >= '0' && c <= '9' && mayBecomeValid(status, i-statusStart+1)
		case '_':
			valid = c == ' ' || c == '\r'
		default:
			valid = c == want
		}
		if !valid {
			return Malformed
		}
	}
	if len(b) < len(layout) {
		return Incomplete
	}
	return kindOf(status)
}

// mayBecomeValid reports whether a status whose first digits are given may be valid.
func mayBecomeValid(first, digits int) bool {
	switch digits {
	case 1:
		return first >= statusContinue/100 && first <= MaxStatus/100
	case 2:
		return first >= MinStatus/10 || first == statusContinue/10
	default:
		return kindOf(first) != Malformed
	}
}

func kindOf(status int) Kind {
	switch {
	case ValidStatus(status):
		return Final
	case status == statusContinue || status == statusEarlyHints:
		return Interim
	default:
		return Malformed
	}
}

// ValidStatus reports whether a final response may have the status.
func ValidStatus(status int) bool {
	return status >= MinStatus && status <= MaxStatus
}
