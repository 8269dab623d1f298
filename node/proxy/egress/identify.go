package egress

import (
	"cmp"
	"errors"
	"fmt"
	"io"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/verdict"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

const (
	// maxMismatchedResponses is the number of responses to other requests that are
	// skipped before the matching one.
	maxMismatchedResponses = 2
	// maxMismatchedBytes limits the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// identityEncoding is the Content-Encoding value of a body that is not encoded.
	identityEncoding = "identity"
)

var (
	errMismatchedResponse = errors.New("backend response does not match the request ID")
	errMissingSeal        = errors.New("successful backend response has no seal")
	errEncodedBody        = errors.New("successful backend response has an encoded body")
)

// readResponseHead reads the head of the response that matches the request. Late and
// duplicate responses to other requests are skipped.
func (x *exchange) readResponseHead(conn *serverConn, resp *fasthttp.Response) error {
	for range maxMismatchedResponses + 1 {
		if err := readResponse(conn.br, resp); err != nil {
			return err
		}
		if x.matchesRequest(conn, resp) {
			x.recordAnnouncements(resp)
			return x.validateSuccess(resp)
		}
		egressStats.Add("foreign_answers", 1)
		if err := discardResponseBody(resp); err != nil {
			return err
		}
		resp.Reset()
		resp.SkipBody = x.call.GetMethod() == fasthttp.MethodHead
		resp.Header.SetNoDefaultContentType(true)
	}
	return errMismatchedResponse
}

// matchesRequest reports whether the response repeats the request's ID. A response that says
// that the request was not run may omit the ID if no earlier request of the connection can be
// meant.
func (x *exchange) matchesRequest(conn *serverConn, resp *fasthttp.Response) bool {
	name := x.egress.Headers.RequestID
	if name == "" {
		return true
	}
	id := string(resp.Header.Peek(name))
	if id == "" {
		return conn.requests == 1 && x.notExecuted(resp)
	}
	return id == x.requestID()
}

// requestID returns the ID that the caller gave to the request, "" if none.
func (x *exchange) requestID() string {
	name := cmp.Or(x.egress.Headers.RequestID, proxy.RequestIDHeader)
	for _, h := range x.call.GetHeaders() {
		if h.GetName() == name {
			return h.GetValue()
		}
	}
	return ""
}

// validateSuccess rejects a 2xx response without a seal or with an encoded body: servers
// sign the body as sent, and callers request no encoding.
func (x *exchange) validateSuccess(resp *fasthttp.Response) error {
	name := x.egress.Headers.Seal
	if name == "" || resp.StatusCode()/100 != 2 {
		return nil
	}
	if len(resp.Header.Peek(name)) == 0 {
		return errMissingSeal
	}
	if encoding := string(resp.Header.ContentEncoding()); encoding != "" && encoding != identityEncoding {
		return fmt.Errorf("%w: %.64q", errEncodedBody, encoding)
	}
	return nil
}

// discardResponseBody reads the rest of a response so that the connection can be reused.
// It fails if the body exceeds maxMismatchedBytes or ends only with the connection.
func discardResponseBody(resp *fasthttp.Response) error {
	if resp.Header.ContentLength() == sizeCloseDelimited {
		return errMismatchedResponse
	}
	body := resp.BodyStream()
	if body == nil {
		return nil
	}
	if _, err := io.CopyN(io.Discard, body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
		return errors.Join(errMismatchedResponse, err)
	}
	return resp.CloseBodyStream()
}

// notExecuted reports whether the server's response says that it did not run the request:
// status 421 or the NotExecuted header.
func (x *exchange) notExecuted(resp *fasthttp.Response) bool {
	name := x.egress.Headers.NotExecuted
	if name == "" {
		return false
	}
	return resp.StatusCode() == fasthttp.StatusMisdirectedRequest || len(resp.Header.Peek(name)) > 0
}

// replyServerRefusal replies that the server received the request and did not run it.
// stop ends the cancellation of the connection and reports whether the call was not
// cancelled.
func (x *exchange) replyServerRefusal(conn *serverConn, resp *fasthttp.Response, stop func() bool) (verdict.Verdict, error) {
	status := resp.StatusCode()
	err := discardResponseBody(resp)
	if err != nil || !stop() || resp.ConnectionClose() || conn.br.Buffered() > 0 {
		x.egress.pool.discard(conn)
	} else {
		x.egress.pool.put(conn)
	}
	shed := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	x.releaseSlot(admission.Result{Shed: shed, Unmeasured: true})
	egressStats.Add("refused_by_server", 1)
	r := &peerpb.Reply{
		Verdict:       peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal:       peerpb.Refusal_REFUSAL_SHED,
		Detail:        fmt.Sprintf("the backend server responded with status %d and did not run the request", status),
		ReachedServer: true,
	}
	if status == fasthttp.StatusMisdirectedRequest {
		x.egress.limiter.ForgetStart(x.admittedAt)
		r.Refusal = peerpb.Refusal_REFUSAL_SERVER_DOWN
	}
	x.sendReply(r)
	return verdict.NotRun, fmt.Errorf("backend server refused the request with status %d", status)
}
