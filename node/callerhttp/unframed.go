package callerhttp

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// A caller that does not know chunked encoding, as one of HTTP/1.0, can tell the end of a response by
// its length or by the end of the connection. A streamed body is read ahead to know its length, as far
// as the budget goes. One that doesn't fit ends with its connection.

// errNoMoreRoom ends reading ahead when the budget is used up.
var errNoMoreRoom = errors.New("no room for more of the response")

// lacksLength reports whether the response of x has a streamed body whose end its caller could not tell.
func lacksLength(x *Exchange) bool {
	resp := &x.Response
	return !x.Request.Header.IsHTTP11() && !x.Request.Header.IsHead() && resp.IsBodyStream() && resp.Header.ContentLength() < 0
}

// readAhead reads the body of a response that lacks its length. If the body is complete, the response
// has a length from then on. If it fails, the response becomes status 502.
func (c *conn) readAhead(x *Exchange) {
	resp := &x.Response
	body, err := c.readBuffered(x, resp.BodyStream())
	switch {
	case errors.Is(err, errNoMoreRoom):
		x.ahead = body
	case errors.Is(err, io.EOF):
		_ = resp.CloseBodyStream()
		resp.SetBodyRaw(body)
	default:
		_ = resp.CloseBodyStream()
		resp.Reset()
		resp.SetStatusCode(fasthttp.StatusBadGateway)
	}
}

// readBuffered reads from body until an error, which it returns with what was read: io.EOF at the end,
// errNoMoreRoom once the budget is used up.
func (c *conn) readBuffered(x *Exchange, body io.Reader) ([]byte, error) {
	data := make([]byte, 0, firstChunkedBytes)
	if !x.buffered.reserve(c.server.cfg.Responses, cap(data), false) {
		return nil, errNoMoreRoom
	}
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err != nil:
			return data, err
		case len(data) < cap(data):
			continue
		case !x.buffered.reserve(c.server.cfg.Responses, 2*cap(data), false):
			return data, errNoMoreRoom
		}
		larger := make([]byte, len(data), 2*cap(data))
		copy(larger, data)
		x.buffered.release(cap(data))
		data = larger
	}
}

// writeUntilClose writes a response whose body ends with the connection. Until it is complete, the
// connection would be reset when it closes, also if this process ends, so that the caller can tell.
func (c *conn) writeUntilClose(x *Exchange) error {
	setLinger(c.nc, lingerReset)
	if err := writeIdentity(c.bw, &x.Response, x.ahead); err != nil {
		return err
	}
	setLinger(c.nc, lingerDefault)
	return nil
}

// closeDelimited is fasthttp's length of a body that ends with its connection.
const closeDelimited = -2

// writeIdentity writes a response without a length: its head, the part of the body that was read
// ahead, and the rest as it comes.
func writeIdentity(w *bufio.Writer, resp *fasthttp.Response, ahead []byte) error {
	resp.Header.Del(fasthttp.HeaderTransferEncoding)
	resp.Header.SetContentLength(closeDelimited)
	if err := resp.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.Write(ahead); err != nil {
		return err
	}
	body, part := resp.BodyStream(), make([]byte, writeBufferBytes)
	for {
		if err := w.Flush(); err != nil {
			return err
		}
		n, err := body.Read(part)
		if _, writeErr := w.Write(part[:n]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return errors.Join(w.Flush(), resp.CloseBodyStream())
		}
		if err != nil {
			return err
		}
	}
}

// Values for setLinger, in seconds.
const (
	lingerDefault = -1
	lingerReset   = 0
)

// setLinger sets how the kernel closes conn, if it is a TCP connection.
func setLinger(conn net.Conn, seconds int) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(seconds)
	}
}
