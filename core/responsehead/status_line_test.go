package responsehead_test

import (
	"regexp"
	"strconv"
	"testing"

	"auburnladder.example/core/responsehead"
)

// valid is the beginning of a status line that may be used, written independently of
// CheckStatusLine.
var valid = regexp.MustCompile(`^HTTP/1\.[01] (100|103|[2-5][0-9]{2})[ \r]`)

var seeds = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.0 599\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 X\r\n", "HTTP/1.1 000 X\r\n",
	"HTTP/2.7 200 OK\r\n", "HTTP/1.1 600 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X\r\n",
	"HTTP/1.1 2000 X", "HTTP/1.1  200 X", "HTTP/1.2 200 X", "http/1.1 200 X", "\r\nHTTP/1.1 200 OK", "", "HTTP/1.1 20",
}

// Guards against a malformed line that is taken for a valid one or the reverse, and against a decision
// that depends on how many bytes of the line have arrived.
func FuzzCheckStatusLine(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		got := responsehead.CheckStatusLine(b)
		if match := valid.FindSubmatch(b); match != nil {
			status, _ := strconv.Atoi(string(match[1]))
			want := responsehead.Final
			if status < 200 {
				want = responsehead.Interim
			}
			if got != want {
				t.Fatalf("%q: kind %d, want %d", b, got, want)
			}
		} else if got == responsehead.Final || got == responsehead.Interim {
			t.Fatalf("%q is taken for valid", b)
		}
		if got == responsehead.Incomplete && len(b) >= responsehead.CheckedBytes {
			t.Fatalf("%q: %d bytes are not enough", b, len(b))
		}
		for i := range b {
			if k := responsehead.CheckStatusLine(b[:i]); k != responsehead.Incomplete && k != got {
				t.Fatalf("%q: kind %d after %d bytes, %d at the end", b, k, i, got)
			}
		}
	})
}
