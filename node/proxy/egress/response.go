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

// Values that fasthttp returns in place of a Content-Length.
const (
	sizeChunked        = -1
	sizeCloseDelimited = -2
)

// receiveResponse reads the server's response and relays it with bounded memory. stop
// ends the cancellation of the connection and reports whether the call was not cancelled.
func (x *exchange) receiveResponse(ctx context.Context, conn *serverConn, stop func() bool) (verdict.Verdict, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = x.call.GetMethod() == fasthttp.MethodHead
	resp.Header.SetNoDefaultContentType(true)
	if err := x.readResponseHead(conn, resp); err != nil {
		return x.fail(ctx, conn, unexpectedEOF(err))
	}
	x.status = resp.StatusCode()
	if x.notExecuted(resp) {
		return x.replyServerRefusal(conn, resp, stop)
	}
	head := &peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_RAN,
		Status:  uint32(resp.StatusCode()),
		Headers: responseHeaders(&resp.Header),
	}
	body, err := x.responseBody(resp)
	if err != nil {
		return x.rejectResponse(conn, head.GetStatus(), err)
	}
	switch size := resp.Header.ContentLength(); {
	case body == nil || size >= 0 && size <= x.egress.cfg.InlineBytes:
		err = x.relayInline(conn, resp, head, body, stop)
	case size >= 0 && size <= x.egress.cfg.BufferBytes && x.egress.cfg.Buffers.Reserve(int64(size)):
		defer x.egress.cfg.Buffers.Release(int64(size))
		return x.relayBuffered(ctx, conn, resp, head, body, stop)
	default:
		return x.relayUnbuffered(ctx, conn, resp, head, body, stop)
	}
	if err != nil {
		return x.fail(ctx, conn, err)
	}
	return verdict.Ran, nil
}

// responseBody returns a reader for the response body, or nil if the response has none.
// It fails if the body has no known end or exceeds the size limit of the call.
func (x *exchange) responseBody(resp *fasthttp.Response) (io.Reader, error) {
	if resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil, nil
	}
	size := resp.Header.ContentLength()
	if size == sizeCloseDelimited && !x.egress.AdmitByVMList {
		return nil, errUnknownLength
	}
	x.closeDelimited = size == sizeCloseDelimited
	if limit := x.call.GetMaxResponseBytes(); limit > 0 && int64(size) > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errResponseTooLarge, size, limit)
	}
	if body := resp.BodyStream(); body != nil {
		return body, nil
	}
	if size == 0 {
		return nil, nil
	}
	return nil, errUnknownLength
}

// relayInline reads the complete response and sends it in one message.
func (x *exchange) relayInline(conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) error {
	if body != nil {
		data, err := readBody(body, resp.Header.ContentLength())
		if err != nil {
			return err
		}
		head.Body = data
	}
	x.finishResponse(conn, resp, stop)
	x.sendReply(head)
	return nil
}

// readBody reads a body of exactly size bytes.
func readBody(body io.Reader, size int) ([]byte, error) {
	data := make([]byte, size)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("response body truncated: %w", unexpectedEOF(err))
	}
	return data, nil
}

// deliveryContext returns a context for sending a response that the server has given or begun: it
// ends when the caller's node ends the stream, or at the end of the call.
func (x *exchange) deliveryContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.caller, x.end.Sub(x.egress.Now()))
}

// relayUnbuffered relays a response that is too long to be held, or of unknown length. The deadline
// does not end it any more, as the server has begun its response; the end of the call does.
func (x *exchange) relayUnbuffered(ctx context.Context, conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) (verdict.Verdict, error) {
	if !stop() {
		return x.fail(ctx, conn, ctx.Err())
	}
	delivery, cancel := x.deliveryContext()
	defer cancel()
	stop = context.AfterFunc(delivery, func() { x.interrupt(conn, true) })
	defer stop()
	err := x.relayStreaming(delivery, conn, resp, head, body, stop)
	switch {
	case err == nil:
		return verdict.Ran, nil
	case errors.Is(err, errResponseTooLarge) && !x.replySent:
		return x.rejectResponse(conn, head.GetStatus(), err)
	default:
		return x.fail(delivery, conn, err)
	}
}

// relayStreaming sends the body as it is read, and the head with its first part: until then a server
// that crashes is reported to the caller's node, which may repeat the request. It returns an error
// only before finishResponse, when the connection is still in use.
func (x *exchange) relayStreaming(ctx context.Context, conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) error {
	head.More = true
	buffer := x.egress.relayBuffer()
	defer x.egress.relayBuffers.Put(buffer)
	buf := *buffer
	var total int64
	var last []byte
	x.beginTransfer(max(0, resp.Header.ContentLength()))
	for {
		n, err := body.Read(buf)
		total += int64(n)
		if err := x.checkBodyRead(resp, total, err); err != nil {
			return err
		}
		if err != nil {
			last = buf[:n]
			break
		}
		if err := x.sendBodyPart(ctx, head, &peerpb.Body{Data: buf[:n]}); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	x.finishResponse(conn, resp, stop)
	x.beginReply(head)
	x.sendLastPart(last, total)
	return nil
}

// relayBuffer returns a buffer for the parts of a response body, to be put back to relayBuffers.
func (e *Egress) relayBuffer() *[]byte {
	if buffer, ok := e.relayBuffers.Get().(*[]byte); ok {
		return buffer
	}
	buffer := make([]byte, e.cfg.ChunkBytes)
	return &buffer
}

// checkBodyRead checks the result of one read from the response body, after total bytes.
// err is the error of the read; io.EOF marks the end of the body. It returns an error if
// the body is truncated or exceeds the size limit of the call.
func (x *exchange) checkBodyRead(resp *fasthttp.Response, total int64, err error) error {
	size := int64(resp.Header.ContentLength())
	limit := x.call.GetMaxResponseBytes()
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return fmt.Errorf("response body truncated after %d bytes: %w", total, err)
	case err != nil && size >= 0 && total != size:
		return fmt.Errorf("response body truncated after %d of %d bytes", total, size)
	case limit > 0 && total > limit:
		return fmt.Errorf("%w: %d bytes so far, limit %d", errResponseTooLarge, total, limit)
	default:
		return nil
	}
}

func (x *exchange) sendLastPart(data []byte, total int64) {
	last := &peerpb.Body{Data: data, Last: true, Total: uint64(total)}
	if err := x.stream.Send(last); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "reply-lost").Msg("last part of the response could not be sent to the caller's node")
	}
}

// finishResponse releases the slot and the connection after a complete response.
func (x *exchange) finishResponse(conn *serverConn, resp *fasthttp.Response, stop func() bool) {
	reusable := stop() && !resp.ConnectionClose() && !x.closeDelimited
	_ = resp.CloseBodyStream()
	x.releaseSlot(x.admissionResult(resp.StatusCode()))
	x.egress.Quarantine.RecordAnswer(x.fingerprint())
	if reusable && conn.br.Buffered() == 0 {
		x.egress.pool.put(conn)
		return
	}
	x.egress.pool.discard(conn)
}

// admissionResult returns the limiter's measurement for a complete response. Status 503
// counts as load shedding by the server, unless a call of the server to another service
// has failed since the request was sent: then the server forwards that failure.
func (x *exchange) admissionResult(status int) admission.Result {
	res := admission.Result{ServiceTime: x.egress.Now().Sub(x.started)}
	if status == fasthttp.StatusServiceUnavailable {
		res.Unmeasured = x.egress.dependencyFailedSince(x.started)
		res.Shed = !res.Unmeasured
	}
	return res
}

// rejectResponse replies with status 502 instead of a response that can't be relayed
// completely. The verdict is Ran, because the server responded.
func (x *exchange) rejectResponse(conn *serverConn, status uint32, err error) (verdict.Verdict, error) {
	x.egress.pool.discard(conn)
	x.releaseSlot(admission.Result{Unmeasured: true})
	x.sendReply(rejection(status, err))
	return verdict.Ran, err
}

// rejection returns the reply in place of a response with the given status.
func rejection(status uint32, err error) *peerpb.Reply {
	return &peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_RAN,
		Status:  fasthttp.StatusBadGateway,
		Detail:  fmt.Sprintf("response with status %d rejected: %v", status, err),
	}
}

// responseHeaders returns the end-to-end headers of a response.
func responseHeaders(h *fasthttp.ResponseHeader) []*peerpb.Header {
	var out []*peerpb.Header
	for k, v := range h.All() {
		if name := string(k); proxy.EndToEnd(name) {
			out = append(out, &peerpb.Header{Name: name, Value: string(v)})
		}
	}
	return out
}
