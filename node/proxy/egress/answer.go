package egress

import (
	"context"
	"errors"
	"fmt"
	"io"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/verdict"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// Body sizes as fasthttp reports them in place of a length.
const (
	sizeChunked = -1
	sizeToClose = -2
)

// receive reads the server's answer and passes it on with bounded memory. stop ends the
// supervision of the connection and reports whether the call was not cancelled.
func (x *exchange) receive(ctx context.Context, conn *serverConn, stop func() bool) (verdict.Verdict, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	resp.SkipBody = x.call.GetMethod() == fasthttp.MethodHead
	resp.Header.SetNoDefaultContentType(true)
	if err := x.readHead(conn, resp); err != nil {
		return x.fail(ctx, conn, unexpectedEOF(err))
	}
	x.status = resp.StatusCode()
	if x.notExecuted(resp) {
		return x.refusedByServer(conn, resp, stop)
	}
	head := &peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_RAN,
		Status:  uint32(resp.StatusCode()),
		Headers: responseHeaders(&resp.Header),
	}
	body, err := x.openBody(resp)
	if err != nil {
		return x.reject(conn, head.GetStatus(), err)
	}
	switch size := resp.Header.ContentLength(); {
	case body == nil || size >= 0 && size <= x.egress.cfg.InlineBytes:
		err = x.relayWhole(conn, resp, head, body, stop)
	case size >= 0 && size <= x.egress.cfg.BufferBytes:
		return x.relayBuffered(ctx, conn, resp, head, body, stop)
	default:
		err = x.relayParts(ctx, conn, resp, head, body, stop)
	}
	if err != nil {
		return x.fail(ctx, conn, err)
	}
	return verdict.Ran, nil
}

// openBody returns the answer's body, nil if it has none.
func (x *exchange) openBody(resp *fasthttp.Response) (io.Reader, error) {
	if resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil, nil
	}
	size := resp.Header.ContentLength()
	if size == sizeToClose && !x.egress.ByList {
		return nil, errUnbounded
	}
	x.endsByClose = size == sizeToClose
	if limit := x.call.GetMaxResponseBytes(); limit > 0 && int64(size) > limit {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", errTooLong, size, limit)
	}
	if body := resp.BodyStream(); body != nil {
		return body, nil
	}
	if size == 0 {
		return nil, nil
	}
	return nil, errUnbounded
}

// relayWhole sends the answer in one message once all of it was read.
func (x *exchange) relayWhole(conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) error {
	if body != nil {
		data, err := readBody(body, resp.Header.ContentLength())
		if err != nil {
			return err
		}
		head.Body = data
	}
	x.finish(conn, resp, stop)
	x.reply(head)
	return nil
}

func readBody(body io.Reader, size int) ([]byte, error) {
	data := make([]byte, size)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("answer broken off: %w", unexpectedEOF(err))
	}
	return data, nil
}

// relayParts sends the head at once and the body as it comes. It returns an error only
// while the connection is still in use.
func (x *exchange) relayParts(ctx context.Context, conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) error {
	head.More = true
	x.reply(head)
	x.extendStream()
	buf := make([]byte, x.egress.cfg.ChunkBytes)
	var total int64
	var last []byte
	x.beginTransfer(max(0, resp.Header.ContentLength()))
	for {
		n, err := body.Read(buf)
		total += int64(n)
		if err := x.checkPart(resp, total, err); err != nil {
			return err
		}
		if err != nil {
			last = buf[:n]
			break
		}
		if err := x.sendPart(ctx, &peerpb.Body{Data: buf[:n]}); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	x.finish(conn, resp, stop)
	x.sendLast(last, total)
	return nil
}

// checkPart returns an error unless the answer is whole so far. err is what the read of
// the part returned; io.EOF ends the answer.
func (x *exchange) checkPart(resp *fasthttp.Response, total int64, err error) error {
	size := int64(resp.Header.ContentLength())
	limit := x.call.GetMaxResponseBytes()
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return fmt.Errorf("answer broken off after %d bytes: %w", total, err)
	case err != nil && size >= 0 && total != size:
		return fmt.Errorf("answer broken off after %d of %d bytes", total, size)
	case limit > 0 && total > limit:
		return fmt.Errorf("%w: %d bytes so far, at most %d", errTooLong, total, limit)
	default:
		return nil
	}
}

func (x *exchange) sendLast(data []byte, total int64) {
	last := &peerpb.Body{Data: data, Last: true, Total: uint64(total)}
	if err := x.stream.Send(last); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "reply-lost").Msg("end of the answer could not be sent")
	}
}

// finish gives back the slot and the connection after a whole answer.
func (x *exchange) finish(conn *serverConn, resp *fasthttp.Response, stop func() bool) {
	reusable := stop() && !resp.ConnectionClose() && !x.endsByClose
	_ = resp.CloseBodyStream()
	x.release(x.result(resp.StatusCode()))
	if reusable && conn.br.Buffered() == 0 {
		x.egress.pool.put(conn)
		return
	}
	x.egress.pool.discard(conn)
}

// result tells the limiter what a whole answer says about the server. A status 503 after
// one of the server's own calls failed is passed on rather than shed.
func (x *exchange) result(status int) admission.Result {
	res := admission.Result{ServiceTime: x.egress.Now().Sub(x.started)}
	if status == fasthttp.StatusServiceUnavailable {
		res.Unmeasured = x.egress.dependencyFailedSince(x.started)
		res.Shed = !res.Unmeasured
	}
	return res
}

// reject replaces an answer that can't be passed on whole. The server ran the call.
func (x *exchange) reject(conn *serverConn, status uint32, err error) (verdict.Verdict, error) {
	x.egress.pool.discard(conn)
	x.release(admission.Result{Unmeasured: true})
	x.reply(&peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_RAN,
		Status:  fasthttp.StatusBadGateway,
		Detail:  fmt.Sprintf("answer with status %d: %v", status, err),
	})
	return verdict.Ran, err
}

// responseHeaders returns the headers of an answer that are passed on.
func responseHeaders(h *fasthttp.ResponseHeader) []*peerpb.Header {
	var out []*peerpb.Header
	for k, v := range h.All() {
		if name := string(k); proxy.EndToEnd(name) {
			out = append(out, &peerpb.Header{Name: name, Value: string(v)})
		}
	}
	return out
}
