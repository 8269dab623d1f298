package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/platform/standin"
)

const (
	// answerFields are the fields that each answer of a backend server has, for a request ID.
	answerFields = "X-Request-Id: %s\r\nX-Server-Seal: s\r\n"
	// sizedBody and chunkedBody end the head of an answer and are the body "hello".
	sizedBody   = "Content-Length: 5\r\n\r\nhello"
	chunkedBody = chunks + "\r\n"
	// chunks end the head of an answer and are the body "hello" without its trailer section.
	chunks = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
	// chunkedAnswer is an answer without its trailer section.
	chunkedAnswer = "HTTP/1.1 200 OK\r\n" + answerFields + chunks
)

// wellFormedAnswers are answers that callers get.
var wellFormedAnswers = map[string]string{
	"sized":           "HTTP/1.1 200 OK\r\n" + answerFields + sizedBody,
	"chunked":         "HTTP/1.1 200 OK\r\n" + answerFields + chunkedBody,
	"trailer fields":  chunkedAnswer + "X-Good: y\r\nX-More:\r\n\r\n",
	"HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + answerFields + "\r\nhello",
	"unusual name":    "HTTP/1.1 200 OK\r\n!#$%%&'*+-.^_`|~: y\r\n" + answerFields + sizedBody,
	"unusual value":   "HTTP/1.1 200 OK\r\nX-Good:\t\xe4 : y \r\nX-Empty:\r\n" + answerFields + sizedBody,
	"interim answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + answerFields + sizedBody,
}

// malformedHeads are answers that no caller may get any part of.
var malformedHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 OK\r\n" + answerFields + sizedBody,
	"blank in a name":           "HTTP/1.1 200 OK\r\nX Bad: y\r\n" + answerFields + sizedBody,
	"blank behind a name":       "HTTP/1.1 200 OK\r\nX-Bad : y\r\n" + answerFields + sizedBody,
	"blank before a name":       "HTTP/1.1 200 OK\r\n" + answerFields + " X-Bad: y\r\n" + sizedBody,
	"tab in a name":             "HTTP/1.1 200 OK\r\nX\tBad: y\r\n" + answerFields + sizedBody,
	"NUL in a name":             "HTTP/1.1 200 OK\r\nX\x00Bad: y\r\n" + answerFields + sizedBody,
	"escape in a name":          "HTTP/1.1 200 OK\r\nX\x1bBad: y\r\n" + answerFields + sizedBody,
	"DEL in a name":             "HTTP/1.1 200 OK\r\nX\x7fBad: y\r\n" + answerFields + sizedBody,
	"carriage return in a name": "HTTP/1.1 200 OK\r\nX\rBad: y\r\n" + answerFields + sizedBody,
	"no name":                   "HTTP/1.1 200 OK\r\n: y\r\n" + answerFields + sizedBody,
	"control byte in a value":   "HTTP/1.1 200 OK\r\nX-Bad: y\x01\r\n" + answerFields + sizedBody,
	"blank in the length":       "HTTP/1.1 200 OK\r\n" + answerFields + "Content Length: 5\r\n\r\nhello and more",
	"blank in the encoding":     "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(chunkedBody, "-", " ", 1),
	"chunks of HTTP/1.0":        strings.Replace(chunkedAnswer, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n",
	"length in HTTP/1.0 chunks": "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n" + answerFields + chunks + "\r\n",
	"two lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + answerFields + sizedBody,
	"length with a sign":        "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(sizedBody, "5", "+5", 1),
	"length that is no number":  "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(sizedBody, "5", "5 5", 1),
	"empty length":              "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(sizedBody, "5", "", 1),
	"huge length":               "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(sizedBody, "5", "18446744073709551621", 1),
	"unknown encoding":          "HTTP/1.1 200 OK\r\n" + answerFields + strings.Replace(chunks, "chunked", "gzip", 1) + "\r\n",
	"encoding named twice":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + answerFields + chunks + "\r\n",
	"interim answer":            "HTTP/1.1 103 X\r\nX Bad: y\r\n\r\nHTTP/1.1 200 OK\r\n" + answerFields + sizedBody,
	"failure":                   "HTTP/1.1 500 X\r\nX Bad: y\r\n" + answerFields + sizedBody,
	"not executed":              "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX Bad: y\r\n" + answerFields + sizedBody,
}

// malformedBodies are answers whose body or trailer section is malformed. A caller may get their beginning.
var malformedBodies = map[string]string{
	"blank in a trailer name":    chunkedAnswer + "X Bad: y\r\n\r\n",
	"blank behind a trailer":     chunkedAnswer + "X-Bad : y\r\n\r\n",
	"blank before a trailer":     chunkedAnswer + "X-Good: y\r\n X-Bad: y\r\n\r\n",
	"control byte in a trailer":  chunkedAnswer + "X\x01Bad: y\r\n\r\n",
	"length as a trailer":        chunkedAnswer + "Content-Length: 5\r\n\r\n",
	"end within a trailer":       chunkedAnswer + "X-Good: y\r\n",
	"line feed behind a size":    strings.Replace(chunkedAnswer, "5\r\n", "5\n", 1) + "\r\n",
	"size that is no number":     strings.Replace(chunkedAnswer, "5\r\n", "x\r\n", 1) + "\r\n",
	"negative size":              strings.Replace(chunkedAnswer, "5\r\n", "-5\r\n", 1) + "\r\n",
	"blank before a size":        strings.Replace(chunkedAnswer, "5\r\n", " 5\r\n", 1) + "\r\n",
	"chunk longer than its size": strings.Replace(chunkedAnswer, "5\r\n", "4\r\n", 1) + "\r\n",
}

// sendRaw is an answer of a backend server that consists of the bytes of text, with the request ID filled in. The
// connection ends behind them.
func sendRaw(w http.ResponseWriter, req *http.Request, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, text, req.Header.Get(standin.RequestIDHeader))
}

// callerAnswer is what a caller has when its connection has ended.
type callerAnswer struct {
	status int
	seal   string
	body   string
	// complete is set if the answer did not end early.
	complete bool
}

// callOnce sends a request to a node and reads until the connection ends.
func callOnce(addr, method, host, version string) (a callerAnswer, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callerPatience))
	_, err = fmt.Fprintf(conn, "%s /1 HTTP/%s\r\nHost: %s\r\n%s: raw\r\n%s: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		method, version, host, standin.RequestIDHeader, standin.DeadlineHeader)
	if err != nil {
		return a, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a, nil
	}
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal"), body: string(body), complete: err == nil}, nil
}

// Guards against an answer of a faulty server that callers take for an answer, with real nodes between them.
func TestMalformedAnswersDoNotReachCallers(t *testing.T) {
	Convey("Callers get well-formed answers as they are, and no malformed one as a complete answer", t, func() {
		c := startShortRoutes(t)
		var text atomic.Pointer[string]
		answer := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { sendRaw(w, req, *text.Load()) })
		c.VMs[1].Server.Answer.Store(&answer)
		// wrong returns a description of each call whose answer is not as expected.
		wrong := func(answers map[string]string, isExpected func(a callerAnswer) bool) (wrong []string) {
			for name, bytes := range answers {
				text.Store(&bytes)
				for method, host := range map[string]string{http.MethodGet: "files.example", http.MethodPost: "uploads.example"} {
					for _, version := range []string{"1.1", "1.0"} {
						a, err := callOnce(c.VMs[0].CallerAddress(), method, host, version)
						So(err, ShouldBeNil)
						if !isExpected(a) {
							wrong = append(wrong, fmt.Sprintf("%s to %s of HTTP/%s: %+v\n", name, method, version, a))
						}
					}
				}
			}
			return wrong
		}
		So(wrong(wellFormedAnswers, func(a callerAnswer) bool {
			return a == callerAnswer{http.StatusOK, "s", "hello", true}
		}), ShouldBeEmpty)
		isRefused := func(a callerAnswer) bool {
			return a.complete && a.status == http.StatusBadGateway && a.seal == "" && !strings.Contains(a.body, "hello")
		}
		So(wrong(malformedHeads, isRefused), ShouldBeEmpty)
		So(wrong(malformedBodies, func(a callerAnswer) bool { return !a.complete || isRefused(a) }), ShouldBeEmpty)
	})
}
