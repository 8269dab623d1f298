package callerhttp

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoRoom reports a request whose body doesn't fit into the budget of request bodies now. None of
// the body beyond that was read.
var ErrNoRoom = errors.New("no room for the body of the request now")

const (
	// maxPooledBodyBytes is the largest body that is read into a buffer of fasthttp's pool, which keeps
	// it. A longer one has a buffer of its own, which is garbage with its exchange.
	maxPooledBodyBytes = 64 << 10
	// firstChunkedBytes is the size of the first buffer of a body of unknown length. Each further one
	// is twice as large.
	firstChunkedBytes = 16 << 10
	// smallBodiesDivisor is the part of the budget of bodies that only those of up to maxPooledBodyBytes
	// may use, one in so many bytes, unless nothing of it is in use.
	smallBodiesDivisor = 8
)

// reserveBody takes the budget for the body of x, as far as its length is known.
func (c *conn) reserveBody(x *Exchange) error {
	switch size := x.Request.Header.ContentLength(); {
	case size > c.server.handler.MaxBodyBytes():
		return fasthttp.ErrBodyTooLarge
	case size > 0:
		return c.reserve(x, size)
	case size < 0 && chunked(x):
		return c.reserve(x, firstChunkedBytes)
	default:
		return nil
	}
}

// hasBody reports whether a body follows the head of x.
func (x *Exchange) hasBody() bool { return x.Request.Header.ContentLength() > 0 || chunked(x) }

// boundBody ends reading the body of x when its caller stops waiting, unless all of it is there.
func (c *conn) boundBody(x *Exchange) {
	if size := x.Request.Header.ContentLength(); !x.hasBody() || size > 0 && c.br.Buffered() >= size {
		return
	}
	deadline := c.server.handler.BodyDeadline(x)
	if !deadline.IsZero() && time.Until(deadline) < c.server.cfg.ReadTimeout {
		c.setReadDeadline(deadline)
	}
}

// chunked reports whether x has a body of unknown length.
func chunked(x *Exchange) bool {
	const lengthOfChunked = -1 // of fasthttp; another negative one means no body
	return x.Request.Header.ContentLength() == lengthOfChunked
}

// reserve takes n bytes of the budget of request bodies for x, until x is released.
func (c *conn) reserve(x *Exchange, n int) error {
	cfg := &c.server.cfg
	// Without an account nothing can make room for a small body.
	keep := cfg.Account != nil && x.body.bytes+int64(n) > maxPooledBodyBytes
	if !x.body.reserve(cfg.Bodies, n, keep) && !cfg.Account.makeRoom(c, func() bool { return x.body.reserve(cfg.Bodies, n, keep) }) {
		return ErrNoRoom
	}
	return x.charge(int64(n))
}

// readBody reads the body of x, for which reserveBody was called.
func (c *conn) readBody(x *Exchange) error {
	req := &x.Request
	size := req.Header.ContentLength()
	if chunked(x) {
		return c.readChunkedBody(x)
	}
	if size <= maxPooledBodyBytes {
		// Without pre-parsing, a multipart body is forwarded as it was sent.
		const preParseMultipart = false
		return req.ContinueReadBody(c.br, c.server.handler.MaxBodyBytes(), preParseMultipart)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c.br, body); err != nil {
		return truncated(err)
	}
	req.SetBodyRaw(body)
	return nil
}

// readChunkedBody reads a body of unknown length. Each buffer is reserved before it is allocated.
func (c *conn) readChunkedBody(x *Exchange) error {
	req, limit := &x.Request, c.server.handler.MaxBodyBytes()
	const preParseMultipart = false
	received, _ := c.br.Peek(c.br.Buffered())
	defer c.in.trailer.end()
	if err := c.in.trailer.begin(x, received, c.br.Size()); err != nil {
		return err
	}
	if err := req.ContinueReadBodyStream(c.br, limit, preParseMultipart); err != nil {
		return err
	}
	stream, body := req.BodyStream(), make([]byte, 0, firstChunkedBytes)
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			setChunkedBody(req, body)
			return nil
		case err != nil:
			return err
		case len(body) == cap(body):
			if body, err = c.grow(x, body); err != nil {
				return err
			}
		}
	}
}

// grow returns a copy of body in a buffer of twice its size.
func (c *conn) grow(x *Exchange, body []byte) ([]byte, error) {
	old := cap(body)
	if err := c.reserve(x, 2*old); err != nil {
		return body, err
	}
	larger := make([]byte, len(body), 2*old)
	copy(larger, body)
	x.body.release(old)
	x.discharge(int64(old))
	return larger, nil
}

// setChunkedBody replaces the stream of a body of unknown length by its bytes.
func setChunkedBody(req *fasthttp.Request, body []byte) {
	req.SetBodyRaw(body)
	if len(body) == 0 {
		req.Header.SetContentLength(0)
	}
}

// truncated replaces io.EOF, with which a body cannot end early.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
