package egress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"auburnladder.example/core/responsehead"
	"auburnladder.example/node/decisions"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// validHeads are the heads of interim responses and that of a final one.
var validHeads = regexp.MustCompile(`^(HTTP/1\.[01] 10[03]` + restOfHead + `)*HTTP/1\.[01] [2-5][0-9]{2}` + restOfHead)

// restOfHead is what follows the status in a head.
const restOfHead = `( [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n([!#$%&'*+.^_|~0-9A-Za-z\x60-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n`

// Guards against a response with a malformed head, and against a failure text that quotes the server.
// Each response is read whole and byte by byte.
func FuzzReadResponse(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 000 X", "HTTP/2.7 200 OK", "HTTP/1.1 600 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 999 X",
		"HTTP/1.1 20 X", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX Bad: y", "HTTP/1.1 200 OK\r\nX-Bad : y", "HTTP/1.1 200 OK\r\n X-Bad: y", "HTTP/1.0 204", "HTTP/1.1 304 X", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK",
		strings.Repeat("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", responsehead.MaxInterim+1) + "HTTP/1.1 200 OK",
	} {
		f.Add([]byte(head + "\r\nContent-Length: 2\r\nX-Seal: s\r\n\r\nhi"))
	}
	for _, chunks := range []string{
		"2\r\nhi\r\n0\r\n\r\n", "2\r\nhi\r\n0\r\nA: b\r\n\r\n", "2\r\nhi\r\n0\r\nA b: c\r\n\r\n", "2\r\nhi\r\n0\r\nA : b\r\n\r\n", "2\r\nhi\r\n0\r\nA: b",
		"2\nhi\r\n0\r\n\r\n", "2;a=b\r\nhi\r\n1\r\n!\r\n0\r\n\r\n", "3\r\nhi\r\n0\r\n\r\n", "x\r\n", "",
	} {
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		status, body, err := readFuzzed(bufio.NewReaderSize(bytes.NewReader(b), readBufferBytes))
		slowStatus, slowBody, slowErr := readFuzzed(bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(b)), readBufferBytes))
		if (err == nil) != (slowErr == nil) || status != slowStatus || body != slowBody {
			t.Fatalf("%q: %d %q %v at once, %d %q %v byte by byte", b, status, body, err, slowStatus, slowBody, slowErr)
		}
		if err == nil && !responsehead.ValidStatus(status) {
			t.Fatalf("%q: status %d", b, status)
		}
		if err == nil && !validHeads.Match(b) {
			t.Fatalf("%q: the head is taken for valid", b)
		}
		if err != nil && len(err.Error()) > 2*maxErrorText {
			t.Fatalf("error of %d bytes", len(err.Error()))
		}
	})
}

// readFuzzed reads a response with its body.
func readFuzzed(br *bufio.Reader) (status int, body string, err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := readResponse(br, resp); err != nil {
		return 0, "", err
	}
	if resp.BodyStream() == nil {
		return resp.StatusCode(), "", nil
	}
	data, err := io.ReadAll(resp.BodyStream())
	return resp.StatusCode(), string(data), err
}

// Guards against an allocation for each well-formed response.
func TestWellFormedHeadAllocatesNothing(t *testing.T) {
	Convey("Looking at a well-formed head allocates nothing", t, func() {
		br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n"))
		So(testing.AllocsPerRun(100, func() {
			var head responsehead.Scanner
			_ = peekSection(br, &head)
		}), ShouldEqual, 0)
	})
}

// Guards against a malformed head that is reported only at the deadline, because the server sends no more.
func TestMalformedHeadIsReportedAtOnce(t *testing.T) {
	for sent, text := range map[string]string{
		"HTTP/1.1 0":                       `malformed status line "HTTP/1.1 0"`,
		"HTTP/1.1 200 OK\r\nX Bad":         `malformed field "X "`,
		"HTTP/1.1 200 OK\r\nX-Seal: s\x01": `malformed field "X-Seal"`,
	} {
		Convey(fmt.Sprintf("A head that no further byte can make valid is malformed at once: %q", sent), t, func() {
			ours, servers := net.Pipe()
			defer ours.Close()
			defer servers.Close()
			go func() { _, _ = servers.Write([]byte(sent)) }()
			err := peekSection(bufio.NewReader(ours), &responsehead.Scanner{})
			So(err, ShouldHaveSameTypeAs, &responsehead.Error{})
			So(err.Error(), ShouldEqual, text)
		})
	}
}

// Guards against a head or a trailer section that is waited for without end, and a log that doesn't say what was too large.
func TestSectionLargerThanTheReadBuffer(t *testing.T) {
	fields := strings.Repeat("A: b\r\n", readBufferBytes)
	for name, text := range map[string]string{
		"head":            "HTTP/1.1 200 OK\r\n" + fields,
		"trailer section": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields,
	} {
		Convey("It is an error of its own: "+name, t, func() {
			_, _, err := readFuzzed(bufio.NewReaderSize(strings.NewReader(text), readBufferBytes))
			So(errors.Is(err, errSectionTooLarge), ShouldBeTrue)
		})
	}
}

// Guards against a request of the node itself, such as a health check, that takes status 000 for 200.
func TestNodeRequestsRejectMalformedResponses(t *testing.T) {
	Convey("A malformed response to a request of the node is an error", t, func() {
		for head, valid := range map[string]bool{
			"HTTP/1.1 200 OK": true, "HTTP/1.1 503 X": true, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK": true,
			"HTTP/1.1 000 X": false, "HTTP/2.7 200 OK": false, "HTTP/1.1 600 X": false, "HTTP/1.1 101 X": false,
			"HTTP/1.1 200 OK\r\nX Bad: y": false, "HTTP/1.1 200 OK\r\nX-Bad : y": false, "HTTP/1.1 200 OK\r\nX\x01Bad: y": false,
			"HTTP/1.1 200 OK\r\nX-Good: y\r\n X-Bad: y": false, "HTTP/1.1 100 X\r\nX Bad: y\r\n\r\nHTTP/1.1 200 OK": false,
		} {
			r := newEgressRig(newRawServer(respondRaw(head + "\r\nContent-Length: 0\r\n\r\n")))
			r.egress.applyServerLimits()
			_, err := r.egress.sendNodeRequest(context.Background(), http.MethodGet, "/health")
			SoMsg(head, err == nil, ShouldEqual, valid)
			r.close()
		}
	})
}

// Guards against a request of the node itself that takes a body whose end is malformed, or too long, for a response.
func TestNodeRequestsRejectMalformedBodies(t *testing.T) {
	Convey("A response to a request of the node is read to its end", t, func() {
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for text, valid := range map[string]bool{
			chunked + "2\r\nok\r\n0\r\n\r\n": true, chunked + "0\r\nX-Good: y\r\n\r\n": true,
			"HTTP/1.1 200 OK\r\n\r\nok":       true,
			chunked + "0\r\nX Bad: y\r\n\r\n": false, chunked + "0\r\nX-Bad : y\r\n\r\n": false, chunked + "0\r\nX-Good: y\r\n": false,
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok":                                                 false,
			"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", maxNodeResponseBytes+1): false,
			"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxNodeResponseBytes+1):                          false,
		} {
			r := newEgressRig(newRawServer(respondRaw(text)))
			r.egress.applyServerLimits()
			_, err := r.egress.sendNodeRequest(context.Background(), http.MethodGet, "/health")
			SoMsg(fmt.Sprintf("%.80q", text), err == nil, ShouldEqual, valid)
			r.close()
		}
	})
}

// Guards against a malformed response that can't be found in the log, or whose seal is there too.
func TestMalformedLineIsLogged(t *testing.T) {
	Convey("The beginning of the line is logged and not sent to the caller's node", t, func() {
		r := newEgressRig(newRawServer(respondRaw("HTTP/1.1 000 " + strings.Repeat("x", 500) + "\r\nX-Seal: secret\r\n\r\n")))
		var log bytes.Buffer
		r.egress.Decisions = decisions.New(zerolog.New(&log), time.Now())
		reply := r.do(r.call())
		r.close()
		So(reply.GetVerdict(), ShouldEqual, peerpb.Verdict_VERDICT_MAY_HAVE_RUN)
		So(reply.GetDetail(), ShouldEqual, "backend server: malformed response")
		So(log.String(), ShouldContainSubstring, "HTTP/1.1 0")
		So(log.String(), ShouldNotContainSubstring, "secret")
		So(log.String(), ShouldNotContainSubstring, strings.Repeat("x", 65))
	})
}
