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

// ValidField reports whether a response may have a field with the name and the value, which are as a parser returns
// them.
func ValidField(name, value string) bool {
	return name != "" && tokenBytes.containsAll(name) && textBytes.containsAll(value)
}

func (set *byteSet) containsAll(s string) bool {
	for i := range len(s) {
		if !set[s[i]] {
			return false
		}
	}
	return true
}

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
