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
	// maxForeignAnswers bounds the answers to other requests that are skipped before the
	// one that belongs to the request.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
	// identityEncoding is the name of no encoding.
	identityEncoding = "identity"
)

var (
	errForeignAnswer = errors.New("the server answered another request")
	errNoSeal        = errors.New("the server's answer is not sealed")
	errEncoded       = errors.New("the server's answer has an encoded body")
)

// readHead reads the head of the answer that belongs to the request. Answers to other
// requests, which come late or twice, are skipped.
func (x *exchange) readHead(conn *serverConn, resp *fasthttp.Response) error {
	for range maxForeignAnswers + 1 {
		if err := resp.ReadLimitBody(conn.br, 0); err != nil {
			return err
		}
		if x.belongs(resp) {
			return x.checkSuccess(resp)
		}
		egressStats.Add("foreign_answers", 1)
		if err := skipBody(resp); err != nil {
			return err
		}
		resp.Reset()
		resp.StreamBody = true
		resp.SkipBody = x.call.GetMethod() == fasthttp.MethodHead
		resp.Header.SetNoDefaultContentType(true)
	}
	return errForeignAnswer
}

// belongs reports whether the answer repeats the request's id. A refusal may come
// without one.
func (x *exchange) belongs(resp *fasthttp.Response) bool {
	name := x.egress.Headers.RequestID
	if name == "" {
		return true
	}
	id := string(resp.Header.Peek(name))
	if id == "" {
		return x.notExecuted(resp)
	}
	return id == x.requestID()
}

// requestID returns the id that the caller gave the request.
func (x *exchange) requestID() string {
	name := cmp.Or(x.egress.Headers.RequestID, proxy.RequestIDHeader)
	for _, h := range x.call.GetHeaders() {
		if h.GetName() == name {
			return h.GetValue()
		}
	}
	return ""
}

// checkSuccess refuses a success that no server signed or whose body is encoded: servers
// sign bodies as they are, and callers ask for no encoding.
func (x *exchange) checkSuccess(resp *fasthttp.Response) error {
	name := x.egress.Headers.Seal
	if name == "" || resp.StatusCode()/100 != 2 {
		return nil
	}
	if len(resp.Header.Peek(name)) == 0 {
		return errNoSeal
	}
	if encoding := string(resp.Header.ContentEncoding()); encoding != "" && encoding != identityEncoding {
		return fmt.Errorf("%w: %q", errEncoded, encoding)
	}
	return nil
}

func skipBody(resp *fasthttp.Response) error {
	if resp.Header.ContentLength() == sizeToClose {
		return errForeignAnswer
	}
	body := resp.BodyStream()
	if body == nil {
		return nil
	}
	if _, err := io.CopyN(io.Discard, body, maxForeignBytes); !errors.Is(err, io.EOF) {
		return errors.Join(errForeignAnswer, err)
	}
	return resp.CloseBodyStream()
}

// notExecuted reports whether the server says that it did not run the request.
func (x *exchange) notExecuted(resp *fasthttp.Response) bool {
	name := x.egress.Headers.NotExecuted
	if name == "" {
		return false
	}
	return resp.StatusCode() == fasthttp.StatusMisdirectedRequest || len(resp.Header.Peek(name)) > 0
}

// refusedByServer replies that the server received the request and did not run it.
func (x *exchange) refusedByServer(conn *serverConn, resp *fasthttp.Response, stop func() bool) (verdict.Verdict, error) {
	status := resp.StatusCode()
	err := skipBody(resp)
	if err != nil || !stop() || resp.ConnectionClose() || conn.br.Buffered() > 0 {
		x.egress.pool.discard(conn)
	} else {
		x.egress.pool.put(conn)
	}
	shed := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	x.release(admission.Result{Shed: shed, Unmeasured: true})
	egressStats.Add("refused_by_server", 1)
	r := &peerpb.Reply{
		Verdict:       peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal:       peerpb.Refusal_REFUSAL_SHED,
		Detail:        fmt.Sprintf("the server answered with status %d and did not run the request", status),
		ReachedServer: true,
	}
	if status == fasthttp.StatusMisdirectedRequest {
		r.Refusal = peerpb.Refusal_REFUSAL_SERVER_DOWN
	}
	x.reply(r)
	return verdict.NotRun, fmt.Errorf("refused by the server with status %d", status)
}
