package responsehead

import "strings"

// tokenPunctuation are the bytes of a token other than letters and digits (RFC 9110, section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// byteSet tells for each byte whether it is a member.
type byteSet [256]bool

var (
	// tokenBytes are the bytes of a token, such as a field name.
	tokenBytes = newByteSet(isTokenByte)
	// textBytes are the bytes of a field value and of a reason phrase: no control byte other than a tab.
	textBytes = newByteSet(func(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' })
)

func newByteSet(isMember func(c byte) bool) (set byteSet) {
	for c := range len(set) {
		set[c] = isMember(byte(c))
	}
	return set
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	default:
		return strings.IndexByte(tokenPunctuation, c) >= 0
	}
}
