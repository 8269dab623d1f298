package responsehead_test

import (
	"errors"
	"regexp"
	"strings"
	"testing"

	"auburnladder.example/core/responsehead"
	. "github.com/smartystreets/goconvey/convey"
)

// fieldLines is a sequence of field lines and the empty line behind them, written independently of Scanner.
const fieldLines = "([-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n"

var (
	validHead = regexp.MustCompile(`^HTTP/1\.[01] (100|103|[2-5][0-9]{2})( [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n` + fieldLines)
	// chunksOfHTTP10 is a head that validHead matches although it is malformed.
	chunksOfHTTP10 = regexp.MustCompile(`(?i)^HTTP/1\.0[^\n]*\n([^\n]+\n)*Transfer-Encoding:`)
	validTrailer   = regexp.MustCompile("^" + fieldLines)
)

// fields are field lines, some of which are malformed.
var fields = []string{
	"A: b\r\n", "A:\r\n", "A:b\t\xe4 \r\n", "!#$%&'*+-.^_`|~: b\r\n", "A B: c\r\n", "A : b\r\n", "A\t: b\r\n", " A: b\r\n",
	"A: b\r\n C: d\r\n", "A\x00: b\r\n", "A\x7f: b\r\n", "\xe4: b\r\n", ": b\r\n", "A\r\n", "A: b\n", "A: b\r", "A: \x01\r\n", "A\r: b\r\n", "",
	"Transfer-Encoding: chunked\r\n", "transfer-encoding:\r\n", "Transfer-Encodings: a\r\n", "ATransfer-Encoding: a\r\n", "A: b\r\nTRANSFER-ENCODING: a\r\n",
}

// scan returns the number of bytes of the section at the beginning of b, 0 if it is malformed or incomplete. It
// passes b in parts of the given size.
func scan(s responsehead.Scanner, b []byte, part int) (consumed int, err error) {
	for len(b) > 0 && !s.Complete() {
		n, err := s.Scan(b[:min(part, len(b))])
		consumed += n
		if err != nil {
			return 0, err
		}
		b = b[n:]
	}
	if !s.Complete() {
		return 0, nil
	}
	return consumed, nil
}

func checkSection(t *testing.T, s responsehead.Scanner, valid *regexp.Regexp, b []byte) {
	t.Helper()
	section := valid.Find(b)
	want := len(section)
	if chunksOfHTTP10.Match(section) {
		want = 0
	}
	for _, part := range []int{1, 5, len(b) + 1} {
		got, err := scan(s, b, part)
		if got != want {
			t.Fatalf("%q in parts of %d: %d bytes, want %d (%v)", b, part, got, want, err)
		}
		var malformed *responsehead.Error
		if err != nil && (!errors.As(err, &malformed) || len(malformed.Line) > 64) {
			t.Fatalf("%q: error %v", b, err)
		}
	}
}

// Guards against a malformed head or trailer section that is taken for a valid one or the reverse, and against a
// decision that depends on how the bytes arrive.
func FuzzScanner(f *testing.F) {
	for _, field := range fields {
		for _, line := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 404\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 103 \r\n", "HTTP/1.1 000 X\r\n", "HTTP/1.1 200 O\x01K\r\n", ""} {
			f.Add([]byte(line + "X: y\r\n" + field + "Z: z\r\n\r\nhello"))
		}
	}
	f.Add([]byte("HTTP/1.1 200 OK\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		checkSection(t, responsehead.Scanner{}, validHead, b)
		checkSection(t, responsehead.NewTrailerScanner(), validTrailer, b)
	})
}

// Guards against a log entry of the size that a faulty server chooses, or with the value of a field.
func TestErrorIsBounded(t *testing.T) {
	Convey("An error keeps the status line or the field name only, up to a bound", t, func() {
		for text, line := range map[string]string{
			"HTTP/1.1 000 X\r\nX-Seal: secret":                       "HTTP/1.1 000 X",
			strings.Repeat("x", 1000):                                strings.Repeat("x", 64),
			"HTTP/1.1 200 OK\rX-Seal: secret":                        "HTTP/1.1 200 OK",
			"HTTP/1.1 200 OK\r\nX-Seal : secret":                     "X-Seal ",
			"HTTP/1.1 200 OK\r\nX-Seal: secret\x00":                  "X-Seal",
			"HTTP/1.1 200 OK\r\nX-Seal: s\r\n secret: x\r\n":         " ",
			"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1000) + " :": strings.Repeat("x", 64),
		} {
			var s responsehead.Scanner
			_, err := s.Scan([]byte(text))
			var malformed *responsehead.Error
			So(errors.As(err, &malformed), ShouldBeTrue)
			So(malformed.Line, ShouldEqual, line)
		}
	})
}

// responseHead is a head of usual size.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: 512\r\n" +
	"X-Request-Id: 9c41d07be2a35f68\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n" +
	"X-Server-Load: 3,0,8\r\nDate: Mon, 07 Dec 2026 02:30:00 GMT\r\n\r\n"

func BenchmarkScanner(b *testing.B) {
	head := []byte(responseHead)
	b.SetBytes(int64(len(head)))
	b.ReportAllocs()
	for b.Loop() {
		var s responsehead.Scanner
		if _, err := s.Scan(head); err != nil || !s.Complete() {
			b.Fatal(err)
		}
	}
}

// Guards against a field that a scanner takes for valid and ValidField doesn't, or the reverse.
func TestValidField(t *testing.T) {
	Convey("Fields are valid by the same rule as lines of a head", t, func() {
		for _, part := range []string{"", "A", "a-1", "A B", "A ", " A", "A\t", "\x00", "A\x7f", "\xe4", "(A)", "A\r\nB"} {
			for _, line := range []string{"X" + part + ": y", "X: " + part} {
				name, value, _ := strings.Cut(line, ":")
				var s responsehead.Scanner
				_, err := s.Scan([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"))
				SoMsg(line, responsehead.ValidField(name, value), ShouldEqual, err == nil && !strings.Contains(line, "\n"))
			}
		}
		So(responsehead.ValidField("", "y"), ShouldBeFalse)
	})
}
